package reducer

import (
	"maps"
	"time"

	"github.com/redwingpick/redwingpick/internal/selector"
)

// preloadReplicas asks for loads at replicas that lack the adapter of a request that was just sent to another one, so that they can serve
// requests to come.
func preloadReplicas[P selector.Policy](s *State, now time.Time, r *Request, candidates []selector.Candidate) {
	if !s.Limits.Adaptive.Places || s.service(r.Service).slowsLoads() || !s.lacksReplicas(now, r, candidates) || s.awaitsLoads() {
		return
	}
	asked := 0
	for _, i := range s.randomOrder(len(candidates)) {
		c := candidates[i]
		b := s.Backends[c.Backend]
		if !c.Replica || asked >= replicaPreloads || !s.needsAdapterLoad(now, r, b) {
			continue
		}
		adapter := b.residency(r.Adapter)
		if s.lacksFreeSlot(now, b) || now.Sub(adapter.RequestedAt) < adapterRequestInterval || adapter.Overdue || now.Before(adapter.ReadyAt) {
			continue
		}
		adapter.RequestedAt = now
		asked++
		s.Counters.ReplicaPreloads++
		sendAdapterRequest[P](s, now, AdapterRequest{Backend: c.Backend, Adapter: r.Adapter, Version: r.Version, Origin: r.origin(now)})
	}
}

// lacksReplicas reports whether the demand for a request's adapter exceeds what the replicas that hold the adapter should take.
func (s *State) lacksReplicas(now time.Time, r *Request, candidates []selector.Candidate) bool {
	rate := 0.0
	for _, c := range candidates {
		if b := s.Backends[c.Backend]; c.Replica && !s.needsAdapterLoad(now, r, b) {
			rate += s.prefillRate(now, b)
		}
	}
	return s.Places.Demands.Work(now, r.Adapter) > preloadShare*rate
}

// awaitsLoads reports whether more than one request of this host waits for an adapter. Such requests need the weight store more than loads ahead
// of their use do.
func (s *State) awaitsLoads() bool {
	waiting := 0
	for _, r := range s.Requests {
		if r.Phase == PhaseAwaitingAdapter {
			waiting++
		}
	}
	return waiting > 1
}

// lacksFreeSlot reports whether the lease holder of an engine has reported that no adapter slot is free.
func (s *State) lacksFreeSlot(now time.Time, b *Backend) bool {
	return now.Sub(b.OtherHostsAt) < loadReportTTL && b.OtherHosts.FreeSlots <= 0
}

// mayHoldUnknown reports whether an engine may hold a request's adapter, for another host, without this host knowing it. Then its lease holder
// is asked before the adapter is loaded on another engine.
func (s *State) mayHoldUnknown(r *Request, b *Backend) bool {
	if !s.Limits.Adaptive.Places {
		return false
	}
	ranking := s.adapterRanking(r.Service, r.Adapter).Order
	return len(ranking) > 0 && ranking[0] == b
}

// heldRecently reports whether an engine has held an adapter within heldTTL, as far as this host knows, and loads it faster therefore.
func (s *State) heldRecently(now time.Time, b *Backend, key AdapterKey) bool {
	if !s.Limits.Adaptive.Places {
		return false
	}
	adapter, ok := b.Adapters[key]
	return now.Sub(b.HeldAt[key]) < heldTTL || ok && adapter.Stage != StageAbsent && now.Sub(adapter.UpdatedAt) < heldTTL
}

// rememberHeld records that an engine, which is about to lose an adapter, has held it.
func (b *Backend) rememberHeld(now time.Time, key AdapterKey) {
	adapter, ok := b.Adapters[key]
	if !ok || adapter.Stage == StageAbsent || adapter.Stage == StageLoading && now.Before(adapter.ReadyAt) {
		return
	}
	b.HeldAt[key] = now
	if len(b.HeldAt) > heldKept {
		maps.DeleteFunc(b.HeldAt, func(_ AdapterKey, at time.Time) bool { return now.Sub(at) >= heldTTL })
	}
}

// requestTTL returns the time after which a lease holder drops an adapter request that is not repeated. With placement, a host whose request
// went to another engine does not cause a load that nobody waits for.
func (s *State) requestTTL() time.Duration {
	if s.Limits.Adaptive.Places {
		return adapterRequestInterval + adapterRequestMargin
	}
	return adapterRequestAttempts * adapterRequestInterval
}

// slowsLoads reports whether loads take longer than usual because too many adapters are in transit.
func (s *Service) slowsLoads() bool {
	return s.MinLoadTime > 0 && float64(s.LoadTime) >= slowLoadRatio*float64(s.MinLoadTime)
}

// randomOrder returns the numbers below n in random order.
func (s *State) randomOrder(n int) []int {
	order := make([]int, n)
	for i := range order {
		j := int(s.random() % uint64(i+1))
		order[i] = order[j]
		order[j] = i
	}
	return order
}
