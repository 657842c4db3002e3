package asserter

import (
	"fmt"
	"math"
	"time"

	"github.com/redwingpick/redwingpick/internal/reducer"
)

// tolerance is the rounding error in tokens that a balance may show.
const tolerance = 1e-6

// Violation is one broken rule.
type Violation struct {
	Rule   string
	Detail string
}

// Error returns the violation as text.
func (v Violation) Error() string { return v.Rule + ": " + v.Detail }

// Check returns the rules that the effects of one event or the state after it break.
func Check(s *reducer.State, now time.Time, effects []reducer.Effect) []Violation {
	var found []Violation
	found = append(found, checkEffects(s, now, effects)...)
	found = append(found, checkBackends(s)...)
	found = append(found, checkKeepers(s)...)
	return found
}

func checkEffects(s *reducer.State, now time.Time, effects []reducer.Effect) []Violation {
	var found []Violation
	for _, e := range effects {
		switch f := e.(type) {
		case reducer.Dispatch:
			found = append(found, checkDispatch(s, now, f)...)
		case reducer.LoadAdapter:
			found = append(found, checkLoad(s, now, f)...)
		case reducer.Refuse:
			if f.Outcome == reducer.OutcomeDone {
				found = append(found, Violation{"refusal_outcome", "a refusal says done: " + f.ID})
			}
		}
	}
	return found
}

func checkDispatch(s *reducer.State, now time.Time, f reducer.Dispatch) []Violation {
	var found []Violation
	if !now.Before(f.NotAfter) {
		found = append(found, Violation{"owner_acts_in_time", fmt.Sprintf("dispatch %s after its lease", f.ID)})
	}
	r, ok := s.Requests[f.ID]
	if !ok {
		return found
	}
	if f.Adapter != r.Adapter {
		found = append(found, Violation{"own_adapter", fmt.Sprintf("dispatch %s on %v in place of %v", f.ID, f.Adapter, r.Adapter)})
	}
	if f.Account != r.Account {
		found = append(found, Violation{"own_account", fmt.Sprintf("dispatch %s for %s in place of %s", f.ID, f.Account, r.Account)})
	}
	b := s.Backends[f.Backend]
	if f.Adapter.Name != "" && (b == nil || b.Residents[f.Adapter] == nil || b.Residents[f.Adapter].Pins < 1) {
		found = append(found, Violation{"pinned_while_running", fmt.Sprintf("dispatch %s without a pin", f.ID)})
	}
	return found
}

func checkLoad(s *reducer.State, now time.Time, f reducer.LoadAdapter) []Violation {
	var found []Violation
	if !now.Before(f.NotAfter) {
		found = append(found, Violation{"owner_acts_in_time", "load after its lease on " + f.Backend})
	}
	b := s.Backends[f.Backend]
	if b == nil {
		return append(found, Violation{"load_by_owner", "load on a backend server not owned: " + f.Backend})
	}
	if victim, ok := b.Residents[f.Evict]; ok && f.Evict.Name != "" && victim.Pins+victim.Foreign > 0 {
		found = append(found, Violation{"no_eviction_in_use", fmt.Sprintf("%v on %s", f.Evict, f.Backend)})
	}
	return found
}

func checkBackends(s *reducer.State) []Violation {
	var found []Violation
	for id, b := range s.Backends {
		if b.Running < 0 {
			found = append(found, Violation{"running_not_negative", id})
		}
		taken := 0
		for key, r := range b.Residents {
			if r.Pins < 0 {
				found = append(found, Violation{"pins_not_negative", fmt.Sprintf("%s %v", id, key)})
			}
			if r.Stage == reducer.ResidencyLoading {
				taken++
			}
			if r.Stage == reducer.ResidencyReady && len(r.Waiting) > 0 {
				found = append(found, Violation{"ready_keeps_nobody_waiting", fmt.Sprintf("%s %v", id, key)})
			}
		}
		if b.Slots > 0 && taken > b.Slots {
			found = append(found, Violation{"slots", fmt.Sprintf("%s loads %d adapters into %d slots", id, taken, b.Slots)})
		}
	}
	return found
}

func checkKeepers(s *reducer.State) []Violation {
	var found []Violation
	for right, h := range s.Leases.Holdings {
		if h.Account == nil {
			continue
		}
		b := h.Account.Bucket
		outstanding := 0.0
		for _, g := range h.Account.Grants {
			for _, grant := range g.Grants {
				outstanding += grant.Tokens
			}
		}
		if b.Level > 0 && b.Level+b.Outstanding > b.Burst+tolerance*b.Burst {
			found = append(found, Violation{"burst", fmt.Sprintf("%s: %.3f+%.3f over %.3f", right, b.Level, b.Outstanding, b.Burst)})
		}
		if math.Abs(b.Outstanding-outstanding) > tolerance*max(b.Burst, 1) {
			found = append(found, Violation{"grants_counted", fmt.Sprintf("%s: %.3f of %.3f", right, b.Outstanding, outstanding)})
		}
	}
	return found
}
