package reducer

import (
	"slices"
	"time"

	"github.com/redwingpick/redwingpick/internal/selector"
)

// orderLoad orders a backend server to load an adapter and records the load in the inventory.
func orderLoad(s *State, now time.Time, b *Backend, r *Lease, want PendingLoad) {
	l := &r.Inventory
	_, recent := l.UnloadedAt[want.Adapter]
	took := s.loadTime(b, recent)
	former := l.Entries[want.Adapter]
	entry := &InventoryEntry{
		Stage: StageLoading, Version: want.Version, OrderedAt: now, ReadyAt: now.Add(took), Cached: recent, Requesters: want.Requesters,
	}
	if former != nil {
		entry.Use = former.Use
	}
	entry.Use.Add(now, float64(len(want.Requesters)), useHalfLife)
	l.Entries[want.Adapter] = entry
	l.OrderPending = true
	s.Counters.Loads++
	s.emitOrder(now, b, r, want.Adapter, want.Version, false)
}

// loadTime returns the expected time to load an adapter; an adapter that was unloaded recently is still cached and loads faster.
func (s *State) loadTime(b *Backend, recent bool) time.Duration {
	took := s.service(b.Info.Service).LoadTime
	if recent {
		took = time.Duration(float64(took) * cachedLoadFraction)
	}
	return took + loadMargin
}

// orderUnload orders a backend server to unload an adapter, and notifies the hosts that requested it.
func orderUnload(s *State, now time.Time, b *Backend, r *Lease, key AdapterKey) {
	e := r.Inventory.Entries[key]
	e.Stage = StageUnloading
	e.OrderedAt = now
	r.Inventory.OrderPending = true
	s.Counters.Unloads++
	for _, host := range sortedKeys(e.Requesters) {
		if host != s.Self.HostID {
			s.send(host, e.residency(now, b.Info.ID, key))
		}
	}
	markAbsent(now, b, key)
	s.emitOrder(now, b, r, key, 0, true)
}

// emitOrder emits and logs an order, which is valid until the lease ends.
func (s *State) emitOrder(now time.Time, b *Backend, r *Lease, key AdapterKey, version int64, unload bool) {
	s.emit(OrderAdapter{
		Backend: b.Info.ID, Address: b.Info.Address, StartedUnixMs: b.Info.StartedUnixMs, Adapter: key, Version: version, Unload: unload,
		Holder: s.Self.HostID, Fence: r.Fence, NotAfter: r.ValidUntil,
	})
	s.logEvent(EventOrderSent, Field{"backend_server", b.Info.ID}, Field{"adapter", key.Adapter}, boolField("unload", unload),
		intField("places", len(r.Inventory.Entries)), intField("wants", len(r.Inventory.Pending)), intField("term", int(r.Term)),
		msField("held_ms", now.Sub(r.HeldSince)))
}

// orderEnded records a backend server's response to an order in the inventory.
func orderEnded[P selector.Policy](s *State, now time.Time, e OrderEnded) {
	r, ok := s.Leases[e.Backend]
	b, known := s.Backends[e.Backend]
	if !ok || !known || b.Info.StartedUnixMs != e.StartedUnixMs {
		return
	}
	l := &r.Inventory
	l.OrderPending = false
	if e.Adapter.Adapter == "" {
		if e.Result == OrderUnknown {
			s.recordFailure(now, b, 1)
		}
		return
	}
	entry, ok := l.Entries[e.Adapter]
	if !ok {
		return
	}
	// The server may carry out an order at any time until the order has ended, so a report made before then does not verify the adapter.
	entry.OrderedAt = now
	if e.Result != OrderAccepted && e.Result != OrderDone {
		s.logEvent(EventOrderFailed, Field{"backend_server", e.Backend}, Field{"adapter", e.Adapter.Adapter},
			boolField("unload", e.Unload), Field{"result", e.Result.String()})
	}
	if e.Result == OrderUnknown {
		s.recordFailure(now, b, 1)
		l.NextOrderAt = now.Add(reportInterval)
	}
	if e.Unload {
		unloadEnded(l, now, e, entry)
	} else {
		loadEnded[P](s, now, e, r, entry)
	}
	sendNextOrder(s, now, e.Backend, r)
}

func unloadEnded(l *Inventory, now time.Time, e OrderEnded, entry *InventoryEntry) {
	switch e.Result {
	case OrderDone:
		delete(l.Entries, e.Adapter)
		l.UnloadedAt[e.Adapter] = now
	case OrderAccepted:
		l.UnloadedAt[e.Adapter] = now
	case OrderBusy, OrderRefused:
		entry.Stage = StageReady
		l.NextOrderAt = now.Add(orderRetryDelay)
		l.Uncertain = true
	case OrderUnknown:
		l.Uncertain = true
	}
}

func loadEnded[P selector.Policy](s *State, now time.Time, e OrderEnded, r *Lease, entry *InventoryEntry) {
	l := &r.Inventory
	switch e.Result {
	case OrderDone:
		entry.ReadyAt = now
		entry.Stage = StageReady
	case OrderAccepted:
	case OrderBusy, OrderRefused:
		delete(l.Entries, e.Adapter)
		l.NextOrderAt = now.Add(orderRetryDelay)
		l.Uncertain = true
		return
	case OrderUnknown:
		l.Uncertain = true
		return
	}
	l.Pending = slices.DeleteFunc(l.Pending, func(w PendingLoad) bool { return w.Adapter == e.Adapter })
	for _, host := range sortedKeys(entry.Requesters) {
		sendEntryResidency[P](s, now, host, e.Backend, e.Adapter, entry)
	}
}

// effectExpired handles an order that was dropped unsent and schedules the next one after a short delay.
func effectExpired(s *State, now time.Time, e EffectExpired) {
	s.Counters.EffectsExpired++
	r, ok := s.Leases[e.Backend]
	if !ok {
		return
	}
	r.Inventory.OrderPending = false
	r.Inventory.Uncertain = true
	r.Inventory.NextOrderAt = now.Add(retryDelay)
}
