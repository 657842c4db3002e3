package reducer

import (
	"slices"
	"time"

	"github.com/redwingpick/redwingpick/internal/selector"
)

func orderLoad(s *State, now time.Time, b *Backend, r *Lease, want PendingLoad) {
	l := &r.Inventory
	_, recent := l.RecentlyDropped[want.Adapter]
	took := s.loadTime(b, recent)
	former := l.Entries[want.Adapter]
	entry := &InventoryEntry{
		Stage: StageLoading, Version: want.Version, OrderedAt: now, ReadyAt: now.Add(took), RecentlyDropped: recent, Requesters: want.Requesters,
	}
	if former != nil {
		entry.Use = former.Use
	}
	entry.Use.Add(now, float64(len(want.Requesters)), usesDecay)
	l.Entries[want.Adapter] = entry
	l.OrderPending = true
	s.Counters.Loads++
	s.emitOrder(now, b, r, want.Adapter, want.Version, false)
}

// loadTime is the expected time until an adapter can be used; one that was dropped lately is still at hand.
func (s *State) loadTime(b *Backend, recent bool) time.Duration {
	took := s.service(b.Info.Service).LoadTime
	if recent {
		took = time.Duration(float64(took) * recentLoadShare)
	}
	return took + loadMargin
}

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

func (s *State) emitOrder(now time.Time, b *Backend, r *Lease, key AdapterKey, version int64, unload bool) {
	s.emit(OrderAdapter{
		Backend: b.Info.ID, Address: b.Info.Address, StartedUnixMs: b.Info.StartedUnixMs, Adapter: key, Version: version, Unload: unload,
		Holder: s.Self.HostID, Fence: r.Fence, NotAfter: r.ValidUntil,
	})
	s.logEvent(EventOrderSent, Field{"backend_server", b.Info.ID}, Field{"adapter", key.Adapter}, boolField("unload", unload),
		intField("places", len(r.Inventory.Entries)), intField("wants", len(r.Inventory.Pending)), intField("term", int(r.Term)),
		msField("held_ms", now.Sub(r.HeldSince)))
}

// orderEnded takes the backend server's answer to an order into the ledger.
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
			s.fails(now, b, 1)
		}
		return
	}
	entry, ok := l.Entries[e.Adapter]
	if !ok {
		return
	}
	// What is not answered may be carried out until it is given up; reports from before that prove nothing.
	entry.OrderedAt = now
	if e.Result != OrderAccepted && e.Result != OrderDone {
		s.logEvent(EventOrderFailed, Field{"backend_server", e.Backend}, Field{"adapter", e.Adapter.Adapter},
			boolField("unload", e.Unload), Field{"result", e.Result.String()})
	}
	if e.Result == OrderUnknown {
		s.fails(now, b, 1)
		l.RetryAt = now.Add(reportEvery)
	}
	if e.Unload {
		unloadEnded(l, now, e, entry)
	} else {
		loadEnded[P](s, now, e, r, entry)
	}
	nextOrder(s, now, e.Backend, r)
}

func unloadEnded(l *Inventory, now time.Time, e OrderEnded, entry *InventoryEntry) {
	switch e.Result {
	case OrderDone:
		delete(l.Entries, e.Adapter)
		l.RecentlyDropped[e.Adapter] = now
	case OrderAccepted:
		l.RecentlyDropped[e.Adapter] = now
	case OrderBusy, OrderRefused:
		entry.Stage = StageReady
		l.RetryAt = now.Add(orderPause)
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
		l.RetryAt = now.Add(orderPause)
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

func effectExpired(s *State, now time.Time, e EffectExpired) {
	s.Counters.EffectsExpired++
	r, ok := s.Leases[e.Backend]
	if !ok {
		return
	}
	r.Inventory.OrderPending = false
	r.Inventory.Uncertain = true
	r.Inventory.RetryAt = now.Add(retryPause)
}
