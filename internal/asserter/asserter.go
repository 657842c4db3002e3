package asserter

import (
	"fmt"
	"time"

	"github.com/redwingpick/redwingpick/internal/reducer"
	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// Violation is one violated rule; Detail names the request, backend server or account concerned.
type Violation struct {
	Rule   string
	Detail string
}

// Error returns the rule and the detail as one text.
func (v Violation) Error() string { return v.Rule + ": " + v.Detail }

// Check returns the violations in the effects of one event; s is the state after that event.
func Check(s *reducer.State, now time.Time, effects []reducer.Effect) []Violation {
	var violations []Violation
	for _, e := range effects {
		switch f := e.(type) {
		case reducer.Dispatch:
			violations = append(violations, checkDispatch(s, now, f)...)
		case reducer.OrderAdapter:
			violations = append(violations, checkOrder(s, now, f)...)
		case reducer.Refuse:
			violations = append(violations, checkRefusal(f)...)
		}
	}
	return violations
}

func checkDispatch(s *reducer.State, now time.Time, dispatch reducer.Dispatch) []Violation {
	var violations []Violation
	r, ok := s.Requests[dispatch.ID]
	b, known := s.Backends[dispatch.Backend]
	if !ok || !known {
		return append(violations, Violation{"dispatch_known", dispatch.ID + " to " + dispatch.Backend})
	}
	if dispatch.Account != r.Account {
		violations = append(violations, Violation{"own_account", fmt.Sprintf("%s dispatched for account %s instead of %s",
			dispatch.ID, dispatch.Account, r.Account)})
	}
	if b.Info.Draining || s.Documents.Withdrawn[b.Info.FailureDomain] {
		violations = append(violations, Violation{"withdrawn_gets_no_work", dispatch.ID + " to " + dispatch.Backend})
	}
	if !b.LeavingSince.IsZero() {
		violations = append(violations, Violation{"leaving_gets_no_work", dispatch.ID + " to " + dispatch.Backend})
	}
	if now.Before(b.BackoffUntil) {
		violations = append(violations, Violation{"backoff_is_kept", dispatch.ID + " to " + dispatch.Backend})
	}
	if hasQuarantinedContent(s, now, r) {
		violations = append(violations, Violation{"quarantine_is_kept", dispatch.ID + " to " + dispatch.Backend})
	}
	if r.PossibleRuns > 0 && r.Route.RetryPolicy != cataloguer.RetrySafe && !r.Route.Resumable {
		violations = append(violations, Violation{"at_most_once", dispatch.ID})
	}
	if r.PossibleRuns >= max(r.Route.MaxAttempts, 1) {
		violations = append(violations, Violation{"max_attempts", dispatch.ID})
	}
	if !now.Before(dispatch.Deadline) {
		violations = append(violations, Violation{"deadline", dispatch.ID})
	}
	return violations
}

// hasQuarantinedContent reports whether a request has content in quarantine. Its content is named only if there is any quarantine, as a prompt may
// have thousands of parts.
func hasQuarantinedContent(s *reducer.State, now time.Time, r *reducer.Request) bool {
	for _, suspect := range s.Isolation.Content.Suspects {
		if now.Before(suspect.QuarantinedUntil) {
			_, quarantined := s.Isolation.Content.Quarantined(now, r.AllContent())
			return quarantined
		}
	}
	return false
}

func checkOrder(s *reducer.State, now time.Time, order reducer.OrderAdapter) []Violation {
	var violations []Violation
	lease, ok := s.Leases[order.Backend]
	if !ok || !now.Before(lease.ValidUntil) || order.NotAfter.After(lease.ValidUntil) {
		return append(violations, Violation{"holder_orders", order.Backend})
	}
	b, known := s.Backends[order.Backend]
	if !known {
		return append(violations, Violation{"order_known", order.Backend})
	}
	engine := s.Documents.Services[b.Info.Service].Engine
	if engine == nil || len(lease.Inventory.Entries) > engine.AdapterSlots {
		violations = append(violations, Violation{"places", fmt.Sprintf("%d adapters on %s", len(lease.Inventory.Entries), order.Backend)})
	}
	return violations
}

func checkRefusal(refusal reducer.Refuse) []Violation {
	if refusal.MayHaveRun && (refusal.Reason == reducer.ReasonFull || refusal.Reason == reducer.ReasonNoBackend ||
		refusal.Reason == reducer.ReasonNotLoaded) {
		return []Violation{{"not_run_is_true", refusal.ID}}
	}
	return nil
}
