package reducer

import "time"

// KeepAlive is the state of the orders by which this host shows, at the watched backend servers that it holds, that its fleet lives.
type KeepAlive struct {
	// OrderedAt is when a watched server last accepted an order of this host.
	OrderedAt time.Time
	// TriedAt is when this host last ordered something for that purpose alone.
	TriedAt time.Time
}

// Intervals of keep-alive orders.
const (
	// keepAliveInterval is how long a holder may be silent: half of what a host observes before it bootstraps a voter set.
	keepAliveInterval = noOrdersBootstrapPeriod / 2
	// keepAliveRetryDelay is the delay before the next watched server is tried.
	keepAliveRetryDelay = 150 * time.Millisecond
)

// tickKeepAlive reloads an idle adapter on one of the watched servers that this host holds, if none has accepted an order of this host lately.
func tickKeepAlive(s *State, now time.Time) {
	k := &s.KeepAlive
	if now.Sub(later(k.OrderedAt, k.TriedAt.Add(keepAliveRetryDelay-keepAliveInterval))) < keepAliveInterval {
		return
	}
	server, chosen := s.keepAliveServer(now)
	if chosen == nil {
		return
	}
	k.TriedAt = now
	chosen.Inventory.KeptAliveAt = now
	reloadIdleAdapter(s, now, server, chosen)
}

// keepAliveServer returns the watched server, of those that this host holds and that take orders now, for which the last keep-alive order is the
// oldest, with its lease. One that names a limit is chosen only if there is no other, since it takes few orders.
func (s *State) keepAliveServer(now time.Time) (server string, chosen *Lease) {
	chosenLimited := false
	for _, id := range s.watchedServers() {
		l, ok := s.Leases[id]
		if !ok || !s.holdsLease(now, id) || !l.Inventory.idle(now) || !s.acceptsOrders(now, s.Backends[id]) {
			continue
		}
		limited := s.Backends[id].limited()
		better := chosen == nil || chosenLimited && !limited ||
			chosenLimited == limited && l.Inventory.KeptAliveAt.Before(chosen.Inventory.KeptAliveAt)
		if better {
			server, chosen, chosenLimited = id, l, limited
		}
	}
	return server, chosen
}

// idle reports whether the holder knows what the server holds and has nothing to order.
func (inv *Inventory) idle(now time.Time) bool {
	return !inv.ReportReadAt.IsZero() && !inv.OrderPending && !now.Before(inv.NextOrderAt) && len(inv.Pending) == 0
}

// reloadIdleAdapter unloads the least used adapter that no request needs and loads it again, which is fast, since the server still has it cached. A
// server without any adapter loads the model's sample adapter.
//
// An order that changes nothing would be cheaper, but servers do not count it.
func reloadIdleAdapter(s *State, now time.Time, backend string, l *Lease) {
	b, ok := s.Backends[backend]
	if !ok || !s.acceptsOrders(now, b) {
		return
	}
	inv := &l.Inventory
	s.Counters.KeepAlives++
	if key, ok := inv.evictionCandidate(now); ok {
		requesters := inv.Entries[key].Requesters
		version := inv.Entries[key].Version
		orderUnload(s, now, b, l, key)
		queueLoad(l, now, s.Self.HostID, AdapterRequest{Backend: backend, Adapter: key, Version: version})
		for host := range requesters {
			queueLoad(l, now, host, AdapterRequest{Backend: backend, Adapter: key, Version: version})
		}
		return
	}
	if key, ok := s.sampleAdapter(b); ok && len(inv.Entries) == 0 {
		queueLoad(l, now, s.Self.HostID, AdapterRequest{Backend: backend, Adapter: key})
		sendNextOrder(s, now, backend, l)
	}
}

// sampleAdapter returns some adapter of a model that a backend server holds.
func (s *State) sampleAdapter(b *Backend) (AdapterKey, bool) {
	for _, model := range s.engineOf(b).Models {
		if model.SampleAdapter != "" && b.holdsModel(model.Name) {
			return AdapterKey{Model: model.Name, Adapter: model.SampleAdapter}, true
		}
	}
	return AdapterKey{}, false
}

// recordAcceptedOrder records that a server has accepted an order and counts it.
func (s *State) recordAcceptedOrder(now time.Time, e OrderEnded) {
	if e.Result == OrderAccepted || e.Result == OrderDone && e.Unload {
		s.KeepAlive.OrderedAt = now
	}
}
