package reducer

import (
	"slices"
	"time"

	"github.com/redwingpick/redwingpick/internal/selector"
)

// orderLoad orders a backend server to load an adapter and records the load in the inventory.
func orderLoad(s *State, now time.Time, b *Backend, l *Lease, load PendingLoad) {
	inv := &l.Inventory
	cached := s.cachedAfterUnload(now, inv, load.Adapter)
	expected := s.loadTime(b, cached)
	previous := inv.Entries[load.Adapter]
	entry := &InventoryEntry{
		Stage: StageLoading, Version: load.Version, OrderedAt: now, ReadyAt: now.Add(expected), Cached: cached, Requesters: load.Requesters,
	}
	if previous != nil {
		entry.Use = previous.Use
	}
	entry.Use.Add(now, float64(len(load.Requesters)), useHalfLife)
	inv.Entries[load.Adapter] = entry
	inv.OrderPending = true
	s.Counters.Loads++
	s.recordLoadBegan(now, b, cached)
	s.emitOrder(now, b, l, load.Adapter, load.Version, false)
}

// loadTime returns the expected time to load an adapter; an adapter that was unloaded recently is still cached and loads faster.
func (s *State) loadTime(b *Backend, cached bool) time.Duration {
	expected := s.service(b.Info.Service).LoadTime
	if cached {
		expected = time.Duration(float64(expected) * cachedLoadFraction)
	}
	return expected + loadMargin
}

// orderUnload orders a backend server to unload an adapter, and notifies the hosts that requested it.
func orderUnload(s *State, now time.Time, b *Backend, l *Lease, key AdapterKey) {
	e := l.Inventory.Entries[key]
	e.Stage = StageUnloading
	e.OrderedAt = now
	l.Inventory.OrderPending = true
	s.pruneUnloaded(now, &l.Inventory)
	s.Counters.Unloads++
	for _, host := range sortedKeys(e.Requesters) {
		if host != s.Self.HostID {
			s.send(host, e.residency(now, b.Info.ID, key))
		}
	}
	markAbsent(now, b, key)
	s.emitOrder(now, b, l, key, 0, true)
}

// emitOrder emits and logs an order, which is valid until the lease ends.
func (s *State) emitOrder(now time.Time, b *Backend, l *Lease, key AdapterKey, version int64, unload bool) {
	s.spendControl(now, b)
	s.emit(OrderAdapter{
		Backend: b.Info.ID, Address: b.Info.Address, StartedUnixMs: b.Info.StartedUnixMs, Adapter: key, Version: version, Unload: unload,
		Holder: s.Self.HostID, Fence: l.Fence, NotAfter: l.ValidUntil,
	})
	s.logEvent(EventOrderSent, Field{"backend_server", b.Info.ID}, Field{"adapter", key.Adapter}, boolField("unload", unload),
		intField("places", len(l.Inventory.Entries)), intField("wants", len(l.Inventory.Pending)), intField("term", int(l.Term)), intField("fence", int(l.Fence)),
		msField("held_ms", now.Sub(l.HeldSince)))
}

// orderEnded records a backend server's response to an order in the inventory.
func orderEnded[P selector.Policy](s *State, now time.Time, e OrderEnded) {
	l, ok := s.Leases[e.Backend]
	b, known := s.Backends[e.Backend]
	if !ok || !known || b.Info.StartedUnixMs != e.StartedUnixMs {
		return
	}
	s.recordNotice(now, b, e.Notice)
	s.recordRateLimit(now, b, e.Notice)
	s.recordAcceptedOrder(now, e)
	inv := &l.Inventory
	inv.OrderPending = false
	if e.Adapter.Adapter == "" {
		if e.Result == OrderUnknown {
			s.recordFailure(now, b, 1)
		}
		return
	}
	entry, ok := inv.Entries[e.Adapter]
	if !ok {
		return
	}
	// The server may carry out the order at any time until the order has ended, so an earlier report does not verify the adapter.
	entry.OrderedAt = now
	if e.Result != OrderAccepted && e.Result != OrderDone {
		s.logEvent(EventOrderFailed, Field{"backend_server", e.Backend}, Field{"adapter", e.Adapter.Adapter},
			boolField("unload", e.Unload), Field{"result", e.Result.String()})
	}
	if e.Result == OrderUnknown {
		s.recordFailure(now, b, 1)
		inv.NextOrderAt = now.Add(reportInterval)
	}
	if e.Unload {
		unloadEnded(inv, now, e, entry)
	} else {
		loadEnded[P](s, now, e, l, entry)
	}
	sendNextOrder(s, now, e.Backend, l)
}

// unloadEnded applies the result of an order to unload.
func unloadEnded(inv *Inventory, now time.Time, e OrderEnded, entry *InventoryEntry) {
	switch e.Result {
	case OrderDone:
		delete(inv.Entries, e.Adapter)
		inv.UnloadedAt[e.Adapter] = now
	case OrderAccepted:
		inv.UnloadedAt[e.Adapter] = now
	case OrderBusy, OrderRefused:
		entry.Stage = StageReady
		inv.NextOrderAt = now.Add(orderRetryDelay)
		inv.Uncertain = true
	case OrderUnknown:
		inv.Uncertain = true
	}
}

// loadEnded applies the result of an order to load and, if it was accepted, notifies the hosts that requested the adapter.
func loadEnded[P selector.Policy](s *State, now time.Time, e OrderEnded, l *Lease, entry *InventoryEntry) {
	inv := &l.Inventory
	switch e.Result {
	case OrderDone:
		entry.ReadyAt = now
		entry.Stage = StageReady
	case OrderAccepted:
	case OrderBusy, OrderRefused:
		// Nothing shows who wrote the answer to an order, so the adapter keeps its place until a report shows that it is absent.
		entry.Stage = StageAbsent
		inv.NextOrderAt = now.Add(orderRetryDelay)
		inv.Uncertain = true
		return
	case OrderUnknown:
		inv.Uncertain = true
		return
	}
	inv.Pending = slices.DeleteFunc(inv.Pending, func(p PendingLoad) bool { return p.Adapter == e.Adapter })
	for _, host := range sortedKeys(entry.Requesters) {
		sendEntryResidency[P](s, now, host, e.Backend, e.Adapter, entry)
	}
}

// effectExpired handles an order that was dropped unsent and schedules the next one after a short delay.
func effectExpired(s *State, now time.Time, e EffectExpired) {
	s.Counters.EffectsExpired++
	l, ok := s.Leases[e.Backend]
	if !ok {
		return
	}
	l.Inventory.OrderPending = false
	l.Inventory.Uncertain = true
	l.Inventory.NextOrderAt = now.Add(retryDelay)
}
