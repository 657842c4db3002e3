package commander

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/internal/reducer"
)

// Guards against a limit, its senders or the state of a server that the host's answer has and the printed text lacks.
func TestStatusAndWherePrintBounds(t *testing.T) {
	own := reducer.BoundStatus{LimitPerSecond: 8, LimitAgeMs: 1500, Sender: true, SendPerSecond: 2, Senders: []string{"a", "b"}}
	other := reducer.BoundStatus{LimitPerSecond: 0.5, Senders: []string{"b", "c"}}
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/where" {
			_ = json.NewEncoder(w).Encode(reducer.Where{
				Candidates: []reducer.WhereCandidate{{Backend: "d1", Held: "limited", HeldMs: 250, BoundStatus: own}},
				Excluded:   []reducer.WhereExcluded{{Backend: "d2", Why: "limited", BoundStatus: other}, {Backend: "d3", Why: "backoff", EndsMs: 70}},
			})
			return
		}
		_ = json.NewEncoder(w).Encode(HostStatus{Status: reducer.Status{Backends: []reducer.BackendStatus{
			{ID: "d1", State: "limited", BoundStatus: own}, {ID: "d3", State: "backoff", StateEndsInMs: 70},
		}}})
	}))
	defer host.Close()
	address := strings.TrimPrefix(host.URL, "http://")
	const ownText = ", names a limit of 8 requests/s, known for 1500 ms, this host may send 2 requests/s, senders a,b\n"
	for command, expected := range map[string][]string{
		"status": {ownText, "backoff for 70 ms more\n"},
		"where":  {"held for 250.0 ms (limited)" + ownText, "d2: excluded, limited, names a limit of 0.5 requests/s", ", senders b,c\n", "d3: excluded, backoff, for 70 ms\n"},
	} {
		args := []string{command, "--operator", address}
		if command == "where" {
			args = append(args, "h/safe/x")
		}
		out, err := run(t, "", args...)
		assert.NilError(t, err)
		for _, text := range expected {
			assert.Assert(t, strings.Contains(out, text), "%q is not in\n%s", text, out)
		}
	}
}
