package reducer

import (
	"maps"
	"slices"
	"time"

	"github.com/redwingpick/redwingpick/internal/selector"
)

// needsAdapterLoad reports whether the request's adapter must be loaded on the backend server first, as far as this host knows.
func (s *State) needsAdapterLoad(now time.Time, r *Request, b *Backend) bool {
	if s.publishedResident(now, r, b) {
		return false
	}
	adapter, ok := b.Adapters[r.Adapter]
	return !ok || adapter.Stage == StageAbsent || !adapter.fresh(now, r.Version) || now.Before(adapter.ReadyAt)
}

// requestAdapter lets a request wait for its adapter on a backend server, and sends an adapter request to the lease holder if one is due.
//
// A request that has waited too long is refused.
func requestAdapter[P selector.Policy](s *State, now time.Time, r *Request, b *Backend) {
	adapter := b.residency(r.Adapter)
	if r.Phase != PhaseAwaitingAdapter {
		r.WaitSince = now
	}
	if now.Sub(r.WaitSince) > s.maxAdapterWait(r, adapter, now) {
		s.stopWaiting(r)
		r.Phase = PhaseQueued
		s.refuseUnplaced(now, r, ReasonNotLoaded)
		return
	}
	if r.Phase != PhaseAwaitingAdapter || r.Backend != b.Info.ID {
		s.stopWaiting(r)
		r.Phase = PhaseAwaitingAdapter
		r.Backend = b.Info.ID
		adapter.Waiting = append(adapter.Waiting, r.ID)
		b.SlowStart.Ramp.Sent(now)
		s.Counters.LoadStalls++
		s.logEvent(EventRequestWaiting, s.requestFields(now, r, Field{"stage", adapter.Stage.String()},
			ageField("known_age_ms", now, adapter.UpdatedAt), ageField("asked_age_ms", now, adapter.RequestedAt),
			Field{"holder", s.holderOf(now, b.Info.ID)}, intField("free_places", b.OtherHosts.FreeSlots))...)
	}
	if adapter.Stage != StageAbsent && adapter.fresh(now, r.Version) && now.Before(adapter.ReadyAt) {
		s.wakeAt(adapter.ReadyAt)
		return
	}
	if now.Sub(adapter.RequestedAt) < adapterRequestInterval {
		s.wakeAt(adapter.RequestedAt.Add(adapterRequestInterval))
		return
	}
	adapter.RequestedAt = now
	overdue := adapter.Overdue
	adapter.Overdue = false
	sendAdapterRequest[P](s, now, AdapterRequest{
		Backend: b.Info.ID, Adapter: r.Adapter, Version: r.Version, Overdue: overdue, Origin: r.origin(now),
	})
}

// receiveResidencyUpdate applies the lease holder's update on an adapter and places the requests that wait for the adapter.
func receiveResidencyUpdate[P selector.Policy](s *State, now time.Time, m ResidencyUpdate) {
	b, ok := s.Backends[m.Backend]
	if !ok {
		return
	}
	if m.Stage == StageAbsent {
		b.residency(m.Adapter).NoSlotReportedAt = now
		placeAdapterWaiters[P](s, now, b.residency(m.Adapter))
		return
	}
	if m.Stage == StageUnloading {
		markAbsent(now, b, m.Adapter)
		return
	}
	adapter := b.residency(m.Adapter)
	adapter.Verified = adapter.Verified && m.Version <= adapter.Version
	adapter.Stage = m.Stage
	adapter.Version = m.Version
	adapter.UpdatedAt = now
	adapter.ReadyAt = now.Add(m.ReadyIn)
	if m.ReadyIn > 0 {
		s.wakeAt(adapter.ReadyAt)
		return
	}
	placeAdapterWaiters[P](s, now, adapter)
}

// placeAdapterWaiters places the requests that wait for an adapter.
func placeAdapterWaiters[P selector.Policy](s *State, now time.Time, adapter *Residency) {
	waiting := slices.Clone(adapter.Waiting)
	for _, id := range waiting {
		if r, ok := s.Requests[id]; ok && r.Phase == PhaseAwaitingAdapter {
			placeRequest[P](s, now, r)
		}
	}
}

// retryAdapterWaiters places the requests whose adapters are ready or must be requested again.
func retryAdapterWaiters[P selector.Policy](s *State, now time.Time) {
	for _, id := range sortedKeys(s.Requests) {
		r, ok := s.Requests[id]
		if !ok || r.Phase != PhaseAwaitingAdapter {
			continue
		}
		b, known := s.Backends[r.Backend]
		if !known {
			continue
		}
		adapter, ok := b.Adapters[r.Adapter]
		if ok && (adapter.Stage != StageAbsent && !now.Before(adapter.ReadyAt) || now.Sub(adapter.RequestedAt) >= adapterRequestInterval) {
			placeRequest[P](s, now, r)
		}
	}
}

// pruneResidencies drops the adapters that backend servers lack and that no request has needed for residencyTTL.
func (s *State) pruneResidencies(now time.Time) {
	for _, b := range s.Backends {
		maps.DeleteFunc(b.Adapters, func(_ AdapterKey, r *Residency) bool { return r.forgettable(now) })
	}
}

// forgettable reports whether an absent adapter is not in use and its times no longer count.
func (r *Residency) forgettable(now time.Time) bool {
	used := r.Running > 0 || len(r.Waiting) > 0 || r.DispatchCount > 0 || r.UsageUnreported || r.VerificationUnreported || r.Overdue
	if used || r.Stage != StageAbsent {
		return false
	}
	latest := later(later(r.UpdatedAt, r.RequestedAt), later(r.NoSlotReportedAt, r.ReadyAt))
	return now.Sub(latest) >= residencyTTL
}

// residencyTTL is how long the last known residency of an adapter counts without an update.
const residencyTTL = 10 * time.Second

// fresh reports whether the residency was updated within residencyTTL and the adapter has at least the given version.
func (r *Residency) fresh(now time.Time, version int64) bool {
	return now.Sub(r.UpdatedAt) < residencyTTL && r.Version >= version
}
