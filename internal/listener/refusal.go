package listener

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/redwingpick/redwingpick/internal/reducer"
)

// Refusal is the body of every answer that is not the whole result.
type Refusal struct {
	// Outcome is not_run when no backend server can have received the request, else unknown.
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	// RetryAfterMs is how long to wait before the request is sent again, or 0 if that is of no use.
	RetryAfterMs int64  `json:"retry_after_ms"`
	Message      string `json:"message"`
}

// ErrorBody wraps a Refusal as the error of an answer.
type ErrorBody struct {
	Error Refusal `json:"error"`
}

var statusByReason = map[reducer.Reason]int{
	reducer.ReasonUnauthorized:  http.StatusUnauthorized,
	reducer.ReasonKeyWithdrawn:  http.StatusUnauthorized,
	reducer.ReasonForbidden:     http.StatusForbidden,
	reducer.ReasonUnknownModel:  http.StatusNotFound,
	reducer.ReasonOverRate:      http.StatusTooManyRequests,
	reducer.ReasonTooLarge:      http.StatusRequestEntityTooLarge,
	reducer.ReasonDeadline:      http.StatusGatewayTimeout,
	reducer.ReasonPermitSpent:   http.StatusConflict,
	reducer.ReasonPermitUnknown: http.StatusConflict,
	reducer.ReasonConnection:    http.StatusBadGateway,
	reducer.ReasonBackendFailed: http.StatusBadGateway,
}

var messageByReason = map[reducer.Reason]string{
	reducer.ReasonUnauthorized:  "the key is missing, unknown or withdrawn",
	reducer.ReasonKeyWithdrawn:  "the key was withdrawn while the request ran",
	reducer.ReasonForbidden:     "the adapter or service belongs to another client account",
	reducer.ReasonUnknownModel:  "the catalogue has no such adapter or service",
	reducer.ReasonOverRate:      "the client account is over its rate",
	reducer.ReasonTooLarge:      "the request needs more tokens than the adapter or the burst allows",
	reducer.ReasonOverloaded:    "the queues of the backend servers are full",
	reducer.ReasonNotReady:      "the host does not know the newest configuration yet",
	reducer.ReasonIsolated:      "the host cannot confirm its configuration with the platform or its peers",
	reducer.ReasonStopped:       "the host is leaving; ask another one for addresses",
	reducer.ReasonNoBackend:     "no backend server is in service for the request",
	reducer.ReasonNotOwner:      "the owner of the backend server is changing",
	reducer.ReasonDeadline:      "the deadline of the request has passed",
	reducer.ReasonPermitSpent:   "the permit was used before; the request may have run",
	reducer.ReasonPermitUnknown: "the host that issued the permit cannot tell whether it was used",
	reducer.ReasonConnection:    "the connection broke before the answer was whole",
	reducer.ReasonBackendFailed: "the backend server failed",
	reducer.ReasonOwnerLost:     "the host that owns the backend server broke off",
}

func refusalOf(r reducer.Refuse) Refusal {
	message, ok := messageByReason[r.Reason]
	if !ok {
		message = r.Reason.String()
	}
	return Refusal{Outcome: r.Outcome.String(), Reason: r.Reason.String(), RetryAfterMs: r.RetryAfter.Milliseconds(), Message: message}
}

func statusOf(reason reducer.Reason) int {
	if status, ok := statusByReason[reason]; ok {
		return status
	}
	return http.StatusServiceUnavailable
}

func writeRefusal(w http.ResponseWriter, r reducer.Refuse) {
	if r.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int((r.RetryAfter+time.Second-1)/time.Second)))
	}
	writeJSON(w, statusOf(r.Reason), ErrorBody{Error: refusalOf(r)})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
