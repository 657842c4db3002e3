package reducer

import (
	"maps"
	"time"
)

// recoveringLoadRatio is the ratio of the expected load time to the lowest one above which the expected time falls quickly.
const recoveringLoadRatio = 1.3

// recoveredLoadFactor is the factor by which the expected load time falls with each load that is complete in time while it is far above the
// lowest one. Loads are then held back, so that they soon take the usual time again.
const recoveredLoadFactor = 0.98

// nextLoad returns the pending load to order next: the first one that is still cached on the backend server, or that the pace of loads from the
// weight store allows.
func (s *State) nextLoad(now time.Time, b *Backend, inv *Inventory) (PendingLoad, bool) {
	if !s.Limits.Adaptive.Places || s.service(b.Info.Service).LoadPace.Allows(now) {
		return inv.Pending[0], true
	}
	for _, p := range inv.Pending {
		if s.cachedAfterUnload(now, inv, p.Adapter) {
			return p, true
		}
	}
	s.Counters.LoadsHeldBack++
	return PendingLoad{}, false
}

// recordLoadBegan counts a load in the pace of loads unless the backend server still has the adapter cached.
func (s *State) recordLoadBegan(now time.Time, b *Backend, cached bool) {
	if s.Limits.Adaptive.Places && !cached {
		s.service(b.Info.Service).LoadPace.Began(now)
	}
}

// recordUsualLoad raises the pace of loads after one that was complete in time.
func (s *State) recordUsualLoad(now time.Time, service *Service) {
	if !s.Limits.Adaptive.Places {
		return
	}
	if service.MinLoadTime > 0 && float64(service.LoadTime) > recoveringLoadRatio*float64(service.MinLoadTime) {
		service.LoadTime = time.Duration(float64(service.LoadTime) * recoveredLoadFactor)
	}
	service.LoadPace.Usual(now, service.LoadTime)
}

// recordSlowLoad lowers the pace of loads after one that took longer than usual.
func (s *State) recordSlowLoad(now time.Time, b *Backend, service *Service, took time.Duration) {
	if !s.Limits.Adaptive.Places {
		return
	}
	usual := service.MinLoadTime
	if usual == 0 {
		usual = initialLoadTime
	}
	held := 0
	for id := range s.Leases {
		if s.holdsLease(now, id) {
			held++
		}
	}
	if service.LoadPace.Slow(now, took, usual, held) {
		s.logEvent(EventLoadsSlowed, Field{"service", b.Info.Service}, Field{"backend_server", b.Info.ID}, msField("took_ms", took),
			msField("usual_ms", usual), floatField("loads_per_s", service.LoadPace.Bucket.Rate), intField("leases", held))
	}
}

// cachedAfterUnload reports whether a backend server is expected to have an adapter cached since it was unloaded. Servers drop what they have
// not held for long, so with placement an adapter counts as cached for heldTTL only.
func (s *State) cachedAfterUnload(now time.Time, inv *Inventory, key AdapterKey) bool {
	unloadedAt, ok := inv.UnloadedAt[key]
	return ok && (!s.Limits.Adaptive.Places || now.Sub(unloadedAt) < heldTTL)
}

// pruneUnloaded forgets when adapters were unloaded that no longer count as cached, so that the map does not grow with the adapters ever held.
func (s *State) pruneUnloaded(now time.Time, inv *Inventory) {
	if !s.Limits.Adaptive.Places || len(inv.UnloadedAt) <= heldKept {
		return
	}
	maps.DeleteFunc(inv.UnloadedAt, func(_ AdapterKey, at time.Time) bool { return now.Sub(at) >= heldTTL })
}
