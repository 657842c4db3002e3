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
	var found []Violation
	for _, e := range effects {
		switch f := e.(type) {
		case reducer.Dispatch:
			found = append(found, checkDispatch(s, now, f)...)
		case reducer.OrderAdapter:
			found = append(found, checkOrder(s, now, f)...)
		case reducer.Refuse:
			found = append(found, checkRefusal(f)...)
		}
	}
	return found
}

func checkDispatch(s *reducer.State, now time.Time, f reducer.Dispatch) []Violation {
	var found []Violation
	r, ok := s.Requests[f.ID]
	b, known := s.Backends[f.Backend]
	if !ok || !known {
		return append(found, Violation{"dispatch_known", f.ID + " to " + f.Backend})
	}
	if f.Account != r.Account {
		found = append(found, Violation{"own_account", fmt.Sprintf("%s dispatched for account %s instead of %s", f.ID, f.Account, r.Account)})
	}
	if b.Info.Draining || s.Documents.Withdrawn[b.Info.FailureDomain] {
		found = append(found, Violation{"withdrawn_gets_no_work", f.ID + " to " + f.Backend})
	}
	if r.PossibleRuns > 0 && r.Route.RetryPolicy != cataloguer.RetrySafe && !r.Route.Resumable {
		found = append(found, Violation{"at_most_once", f.ID})
	}
	if r.PossibleRuns >= max(r.Route.MaxAttempts, 1) {
		found = append(found, Violation{"max_attempts", f.ID})
	}
	if !now.Before(f.Deadline) {
		found = append(found, Violation{"deadline", f.ID})
	}
	return found
}

func checkOrder(s *reducer.State, now time.Time, f reducer.OrderAdapter) []Violation {
	var found []Violation
	r, ok := s.Leases[f.Backend]
	if !ok || !now.Before(r.ValidUntil) || f.NotAfter.After(r.ValidUntil) {
		return append(found, Violation{"holder_orders", f.Backend})
	}
	b, known := s.Backends[f.Backend]
	if !known {
		return append(found, Violation{"order_known", f.Backend})
	}
	engine := s.Documents.Services[b.Info.Service].Engine
	if engine == nil || len(r.Inventory.Entries) > engine.AdapterSlots {
		found = append(found, Violation{"places", fmt.Sprintf("%d adapters on %s", len(r.Inventory.Entries), f.Backend)})
	}
	return found
}

func checkRefusal(f reducer.Refuse) []Violation {
	if f.MayHaveRun && (f.Reason == reducer.ReasonFull || f.Reason == reducer.ReasonNoBackend || f.Reason == reducer.ReasonNotLoaded) {
		return []Violation{{"not_run_is_true", f.ID}}
	}
	return nil
}
