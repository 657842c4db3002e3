package reducer

import (
	"cmp"
	"slices"
	"time"

	"github.com/redwingpick/redwingpick/internal/selector"
)

func newInventory() Inventory {
	return Inventory{Entries: map[AdapterKey]*InventoryEntry{}, UnloadedAt: map[AdapterKey]time.Time{}, Usage: map[string]*HostUsage{}}
}

// tickInventory completes loads that are due, requests the backend server's report if it is due, and sends the next order.
func tickInventory(s *State, now time.Time, backend string, l *Lease) {
	b, ok := s.Backends[backend]
	if !ok {
		return
	}
	completeLoads(s, now, backend, l)
	if l.reportDue(now, s.reportInterval(b)) && !now.Before(b.BackoffUntil) && s.controlAllows(now, b) {
		l.Inventory.ReportRequestedAt = now
		s.spendControl(now, b)
		s.emit(ReadReport{Backend: backend, Address: b.Info.Address, StartedUnixMs: b.Info.StartedUnixMs})
	}
	sendNextOrder(s, now, backend, l)
}

// reportInterval returns the least time between two requests for the report of a backend server. One that names a limit gets two orders for each.
func (s *State) reportInterval(b *Backend) time.Duration {
	if !b.limited() || !b.Throttle.Control.Open {
		return reportInterval
	}
	return max(reportInterval, time.Duration(ordersPerReport/b.Throttle.Control.Bucket.Rate*float64(time.Second)))
}

// ordersPerReport is the number of calls to a backend server that names a limit in the time of one report call, so that reports do not take the
// place of orders.
const ordersPerReport = 3

// reportDue reports whether the inventory needs a report from the backend server to be complete or certain.
func (l *Lease) reportDue(now time.Time, interval time.Duration) bool {
	inv := &l.Inventory
	if now.Sub(inv.ReportRequestedAt) < interval || now.Sub(l.HeldSince) < reportLag {
		return false
	}
	if inv.ReportReadAt.IsZero() || inv.Uncertain {
		return true
	}
	for _, e := range inv.Entries {
		if (e.Stage == StageUnloading || !e.Verified) && now.Sub(e.OrderedAt) > reportInterval {
			return true
		}
	}
	return false
}

// completeLoads marks adapters as ready whose expected load time has passed, and drops the usage of hosts that no longer report any.
func completeLoads(s *State, now time.Time, backend string, l *Lease) {
	for _, key := range sortedAdapters(l.Inventory.Entries) {
		e := l.Inventory.Entries[key]
		if e.Stage == StageLoading && !now.Before(e.ReadyAt) {
			e.Stage = StageReady
			s.logEvent(EventAdapterLoaded, Field{"backend_server", backend}, Field{"adapter", key.Adapter},
				msField("took_ms", now.Sub(e.OrderedAt)))
		}
	}
	for host, u := range l.Inventory.Usage {
		if now.Sub(u.ReceivedAt) > hostUsageTTL {
			delete(l.Inventory.Usage, host)
		}
	}
}

// sortedAdapters returns the keys of a map by model and adapter, so that the same state always gives the same effects.
func sortedAdapters[V any](m map[AdapterKey]V) []AdapterKey {
	keys := make([]AdapterKey, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b AdapterKey) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
	})
	return keys
}

// sendAdapterRequest sends an adapter request to the backend server's lease holder, if one is known.
func sendAdapterRequest[P selector.Policy](s *State, now time.Time, m AdapterRequest) {
	switch holder := s.holderOf(now, m.Backend); holder {
	case "":
	case s.Self.HostID:
		receiveAdapterRequest[P](s, now, holder, m)
	default:
		s.send(holder, m)
	}
}

// receiveAdapterRequest replies with the adapter's residency, or queues a pending load until it can be ordered.
func receiveAdapterRequest[P selector.Policy](s *State, now time.Time, from string, m AdapterRequest) {
	l, ok := s.Leases[m.Backend]
	if !ok || !s.holdsLease(now, m.Backend) {
		return
	}
	completeLoads(s, now, m.Backend, l)
	if e, ok := l.Inventory.Entries[m.Adapter]; ok && e.serves(m.Version) {
		if m.Overdue && !e.Verified {
			s.markOverdue(now, m.Backend, e)
		}
		e.Use.Add(now, 1, useHalfLife)
		e.Requesters[from] = now
		e.LastRequestedAt = now
		sendEntryResidency[P](s, now, from, m.Backend, m.Adapter, e)
		return
	}
	queueLoad(l, now, from, m)
	sendNextOrder(s, now, m.Backend, l)
	logAdapterRequest(s, now, from, m, l)
	if !l.Inventory.residentOrLoading(m.Adapter) && l.Inventory.freeSlots(s, now, m.Backend) < 0 {
		// The load has to wait for a slot; the requesting host may choose another backend server.
		sendResidency[P](s, now, from, ResidencyUpdate{Backend: m.Backend, Adapter: m.Adapter, Stage: StageAbsent})
	}
}

// logAdapterRequest logs an adapter request that the inventory could not serve at once, with the state that explains the delay.
func logAdapterRequest(s *State, now time.Time, from string, m AdapterRequest, l *Lease) {
	inv := &l.Inventory
	s.logEvent(EventAdapterRequested, m.Origin.fields(Field{"peer", from}, Field{"backend_server", m.Backend},
		Field{"adapter", m.Adapter.Adapter}, boolField("comes", inv.residentOrLoading(m.Adapter)),
		intField("free_places", inv.freeSlots(s, now, m.Backend)), intField("wants", len(inv.Pending)),
		intField("in_transit", inv.loadingCount()), ageField("report_age_ms", now, inv.ReportReadAt),
		msField("held_ms", now.Sub(l.HeldSince)))...)
}

// residentOrLoading reports whether an adapter is ready or loading.
func (inv *Inventory) residentOrLoading(key AdapterKey) bool {
	e, ok := inv.Entries[key]
	return ok && (e.Stage == StageReady || e.Stage == StageLoading)
}

// freeSlots returns the number of slots that are empty or can be freed at once, less the slots that pending loads will take.
func (inv *Inventory) freeSlots(s *State, now time.Time, backend string) int {
	b, ok := s.Backends[backend]
	if !ok || !s.isEngine(b) {
		return 0
	}
	free := s.engineOf(b).AdapterSlots - len(inv.Entries) - len(inv.Pending)
	for key, e := range inv.Entries {
		if inv.evictable(now, key, e) {
			free++
		}
	}
	return free
}

// serves reports whether the adapter is ready or loading in at least the given version.
func (e *InventoryEntry) serves(version int64) bool {
	return (e.Stage == StageReady || e.Stage == StageLoading) && e.Version >= version
}

// queueLoad adds a pending load, or adds the requester and the version to the one that is queued for the adapter.
func queueLoad(l *Lease, now time.Time, from string, m AdapterRequest) {
	for i := range l.Inventory.Pending {
		p := &l.Inventory.Pending[i]
		if p.Adapter == m.Adapter {
			p.Requesters[from] = now
			p.Version = max(p.Version, m.Version)
			return
		}
	}
	l.Inventory.Pending = append(l.Inventory.Pending, PendingLoad{
		Adapter: m.Adapter, Version: m.Version, QueuedAt: now, Requesters: map[string]time.Time{from: now},
	})
}

// sendEntryResidency sends a host the residency of one adapter.
func sendEntryResidency[P selector.Policy](s *State, now time.Time, to, backend string, key AdapterKey, e *InventoryEntry) {
	sendResidency[P](s, now, to, e.residency(now, backend, key))
}

// sendResidency sends a residency update to a host, or applies it if that is this host.
func sendResidency[P selector.Policy](s *State, now time.Time, to string, update ResidencyUpdate) {
	if to == s.Self.HostID {
		receiveResidencyUpdate[P](s, now, update)
		return
	}
	s.send(to, update)
}

// residency returns the update that reports an adapter's residency to a host.
func (e *InventoryEntry) residency(now time.Time, backend string, key AdapterKey) ResidencyUpdate {
	return ResidencyUpdate{
		Backend: backend, Adapter: key, Version: e.Version, Stage: e.Stage, ReadyIn: max(e.ReadyAt.Sub(now), 0),
	}
}

// sendNextOrder sends the next order that the inventory allows: one order at a time, and never more adapters than there are slots.
func sendNextOrder(s *State, now time.Time, backend string, l *Lease) {
	inv := &l.Inventory
	b, ok := s.Backends[backend]
	if !ok || !s.holdsLease(now, backend) || inv.ReportReadAt.IsZero() || inv.OrderPending || now.Before(inv.NextOrderAt) ||
		!s.acceptsOrders(now, b) {
		return
	}
	if model, missing := s.missingModel(b); missing {
		s.orderModel(now, b, l, model)
		return
	}
	inv.dropStalePending(now, s.requestTTL())
	if len(inv.Pending) == 0 || inv.loadingCount() >= s.service(b.Info.Service).concurrentLoadLimit() {
		return
	}
	engine := s.engineOf(b)
	next, ok := s.nextLoad(now, b, inv)
	if !ok {
		return
	}
	if e, ok := inv.Entries[next.Adapter]; ok {
		reload(s, now, backend, l, next, e)
		return
	}
	if len(inv.Entries) < engine.AdapterSlots {
		orderLoad(s, now, b, l, next)
		return
	}
	if key, ok := inv.evictionCandidate(now); ok {
		orderUnload(s, now, b, l, key)
	}
}

// acceptsOrders reports whether a backend server may be sent orders. Those for a saturated server do not use the connections of requests.
func (s *State) acceptsOrders(now time.Time, b *Backend) bool {
	state, _ := s.sendState(now, b)
	return (state.Usable() || state == SendSaturated) && s.controlAllows(now, b)
}

// dropStalePending drops the requesters that have not repeated their request, and the pending loads that have no requester left.
func (inv *Inventory) dropStalePending(now time.Time, ttl time.Duration) {
	inv.Pending = slices.DeleteFunc(inv.Pending, func(p PendingLoad) bool {
		for host, at := range p.Requesters {
			if now.Sub(at) > ttl {
				delete(p.Requesters, host)
			}
		}
		return len(p.Requesters) == 0
	})
}

// loadingCount returns the number of adapters that are loading.
func (inv *Inventory) loadingCount() int {
	n := 0
	for _, e := range inv.Entries {
		if e.Stage == StageLoading {
			n++
		}
	}
	return n
}

// reload orders an adapter again that has a place: a newer version of one that is ready, or one whose last order was refused. An adapter that is
// loading or unloading must finish first.
func reload(s *State, now time.Time, backend string, l *Lease, load PendingLoad, e *InventoryEntry) {
	if e.Stage != StageReady && e.Stage != StageAbsent {
		return
	}
	orderLoad(s, now, s.Backends[backend], l, load)
}

// evictionCandidate returns the adapter to unload, the least used of the evictable ones; the use count decays with useHalfLife.
func (inv *Inventory) evictionCandidate(now time.Time) (AdapterKey, bool) {
	var best AdapterKey
	found := false
	least := 0.0
	for _, key := range sortedAdapters(inv.Entries) {
		e := inv.Entries[key]
		if !inv.evictable(now, key, e) {
			continue
		}
		if use := e.Use.Value(now, useHalfLife); !found || use < least {
			best, least, found = key, use, true
		}
	}
	return best, found
}

// evictable reports whether an adapter may be unloaded: it is verified resident, and no request for it is running or expected to arrive.
func (inv *Inventory) evictable(now time.Time, key AdapterKey, e *InventoryEntry) bool {
	if e.Stage != StageReady || !e.Verified || now.Sub(e.LastRequestedAt) < evictionGracePeriod || now.Sub(e.ReadyAt) < evictionGracePeriod {
		return false
	}
	for _, u := range inv.Usage {
		if u.RunningByAdapter[key] > 0 {
			return false
		}
	}
	return true
}

// backendReported merges the backend server's own list of adapters into the inventory.
//
// The report may be older than the last orders, so it neither removes an adapter whose load was ordered since nor restores an adapter that
// was unloaded since.
func backendReported[P selector.Policy](s *State, now time.Time, e BackendReported) {
	l, ok := s.Leases[e.Backend]
	b, known := s.Backends[e.Backend]
	if known && b.Info.StartedUnixMs == e.StartedUnixMs {
		s.checkLosses(now, b, e.Failed, e.RequestedAt)
		s.observeReport(now, e)
	}
	if !ok || !known || b.Info.StartedUnixMs != e.StartedUnixMs {
		return
	}
	s.recordNotice(now, b, e.Notice)
	s.recordRateLimit(now, b, e.Notice)
	if e.Failed {
		return
	}
	inv := &l.Inventory
	if inv.ReportReadAt.IsZero() {
		// The fence of one lease never falls: an entry of another writer can name an earlier start.
		l.Fence = max(l.Fence, s.fence(l.Term, b.Info.StartedUnixMs, e.AcceptedOrders))
	}
	listed := map[AdapterKey]ReportedAdapter{}
	for _, a := range e.Adapters {
		listed[a.Adapter] = a
	}
	asOf := e.RequestedAt.Add(-reportLag)
	if !inv.OrderPending {
		inv.dropUnlisted(now, asOf, listed)
	}
	for _, key := range sortedAdapters(listed) {
		inv.mergeReported(s, now, asOf, b, listed[key])
	}
	inv.ReportReadAt = now
	inv.Uncertain = inv.Uncertain && inv.OrderPending
	sendNextOrder(s, now, e.Backend, l)
}

// dropUnlisted deletes the adapters that were ordered before asOf and are missing from a report of the state at asOf or later.
func (inv *Inventory) dropUnlisted(now, asOf time.Time, listed map[AdapterKey]ReportedAdapter) {
	for _, key := range sortedAdapters(inv.Entries) {
		if _, ok := listed[key]; !ok && inv.Entries[key].OrderedAt.Before(asOf) {
			delete(inv.Entries, key)
			inv.UnloadedAt[key] = now
		}
	}
}

// reportLag is the greatest age of the state that a backend server's report shows.
const reportLag = 600 * time.Millisecond

// mergeReported adds a reported adapter that the inventory lacks; the report shows the state at asOf or later.
//
// An adapter that the inventory has is verified if the report shows it ready, in the ordered version or a newer one, and was made after
// the last order for the adapter.
func (inv *Inventory) mergeReported(s *State, now, asOf time.Time, b *Backend, a ReportedAdapter) {
	key, stage := a.Adapter, a.Stage
	if e, ok := inv.Entries[key]; ok {
		if e.Stage == StageAbsent {
			e.Stage, e.Version = stage, a.Version
		}
		shownReady := stage == StageReady && a.Version >= e.Version && e.OrderedAt.Before(asOf)
		e.Verified = e.Verified || shownReady && e.Stage != StageUnloading
		return
	}
	if unloadedAt, ok := inv.UnloadedAt[key]; ok && unloadedAt.After(asOf) {
		return
	}
	entry := &InventoryEntry{
		Stage: stage, Version: a.Version, OrderedAt: now, ReadyAt: now, Verified: stage == StageReady, Requesters: map[string]time.Time{},
	}
	if stage == StageLoading {
		entry.ReadyAt = now.Add(s.loadTime(b, false))
	}
	entry.Use.Add(now, 0, useHalfLife)
	inv.Entries[key] = entry
}

// Factors and bounds by which the expected load time adapts to observed loads.
const (
	// onTimeLoadFactor is the factor after a load that was complete at its expected time, and overdueLoadFactor that after an overdue one.
	onTimeLoadFactor  = 0.995
	overdueLoadFactor = 1.06
	maxLoadTime       = 3 * time.Second
	// overdueDivisor sets when an overdue load is expected again: after the time taken so far divided by overdueDivisor.
	overdueDivisor = 4
)

// Ratios of the expected load time to the shortest one at which fewer loads run at once on a backend server.
const (
	// slowLoadRatio halves the number of concurrent loads, and verySlowLoadRatio allows only one.
	slowLoadRatio     = 1.7
	verySlowLoadRatio = 2.5
)
