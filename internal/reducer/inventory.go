package reducer

import (
	"cmp"
	"slices"
	"time"

	"github.com/redwingpick/redwingpick/internal/selector"
)

func newInventory() Inventory {
	return Inventory{Entries: map[AdapterKey]*InventoryEntry{}, RecentlyDropped: map[AdapterKey]time.Time{}, Usage: map[string]*HostUsage{}}
}

// tickInventory reads the backend server's report when that is due and gives the next order.
func tickInventory(s *State, now time.Time, backend string, r *Lease) {
	b, ok := s.Backends[backend]
	if !ok {
		return
	}
	settleEntries(s, now, backend, r)
	if r.reportDue(now) {
		r.Inventory.ReportRequestedAt = now
		s.emit(ReadReport{Backend: backend, Address: b.Info.Address, StartedUnixMs: b.Info.StartedUnixMs})
	}
	nextOrder(s, now, backend, r)
}

// reportDue reports whether the ledger lacks something that only the backend server can tell.
func (r *Lease) reportDue(now time.Time) bool {
	l := &r.Inventory
	if now.Sub(l.ReportRequestedAt) < reportEvery || now.Sub(r.HeldSince) < reportLag {
		return false
	}
	if l.ReportReadAt.IsZero() || l.Uncertain {
		return true
	}
	for _, e := range l.Entries {
		if (e.Stage == StageUnloading || !e.Verified) && now.Sub(e.OrderedAt) > reportEvery {
			return true
		}
	}
	return false
}

// settleEntries turns loads whose expected time is over into adapters that are ready.
func settleEntries(s *State, now time.Time, backend string, r *Lease) {
	for _, key := range sortedAdapters(r.Inventory.Entries) {
		e := r.Inventory.Entries[key]
		if e.Stage == StageLoading && !now.Before(e.ReadyAt) {
			e.Stage = StageReady
			s.logEvent(EventAdapterLoaded, Field{"backend_server", backend}, Field{"adapter", key.Adapter}, msField("took_ms", now.Sub(e.OrderedAt)))
		}
	}
	for host, u := range r.Inventory.Usage {
		if now.Sub(u.ReceivedAt) > askersKept {
			delete(r.Inventory.Usage, host)
		}
	}
}

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

// sendAdapterRequest sends a want to the host that orders the backend server, if one is known.
func sendAdapterRequest[P selector.Policy](s *State, now time.Time, want AdapterRequest) {
	switch holder := s.holderOf(now, want.Backend); holder {
	case "":
	case s.Self.HostID:
		receiveAdapterRequest[P](s, now, holder, want)
	default:
		s.send(holder, want)
	}
}

// receiveAdapterRequest answers with the adapter's place, or queues the want until a load can be ordered.
func receiveAdapterRequest[P selector.Policy](s *State, now time.Time, from string, m AdapterRequest) {
	r, ok := s.Leases[m.Backend]
	if !ok || !s.holdsLease(now, m.Backend) {
		return
	}
	settleEntries(s, now, m.Backend, r)
	if e, ok := r.Inventory.Entries[m.Adapter]; ok && e.serves(m.Version) {
		if m.Overdue && !e.Verified {
			s.loadOverran(now, m.Backend, e)
		}
		e.Use.Add(now, 1, usesDecay)
		e.Requesters[from] = now
		e.RequestedAt = now
		sendEntryResidency[P](s, now, from, m.Backend, m.Adapter, e)
		return
	}
	queueLoad(r, now, from, m)
	nextOrder(s, now, m.Backend, r)
	logAdapterRequest(s, now, from, m, r)
	if !r.Inventory.comes(m.Adapter) && r.Inventory.freeSlots(s, now, m.Backend) < 0 {
		// The adapter has to wait for a place.
		sendResidency[P](s, now, from, ResidencyUpdate{Backend: m.Backend, Adapter: m.Adapter, Stage: StageAbsent})
	}
}

// logAdapterRequest tells what became of a want that the ledger could not serve at once.
func logAdapterRequest(s *State, now time.Time, from string, m AdapterRequest, r *Lease) {
	l := &r.Inventory
	s.logEvent(EventAdapterRequested, m.Origin.fields(Field{"peer", from}, Field{"backend_server", m.Backend}, Field{"adapter", m.Adapter.Adapter},
		boolField("comes", l.comes(m.Adapter)), intField("free_places", l.freeSlots(s, now, m.Backend)), intField("wants", len(l.Pending)),
		intField("in_transit", l.inTransit()), ageField("report_age_ms", now, l.ReportReadAt), msField("held_ms", now.Sub(r.HeldSince)))...)
}

// comes reports whether an adapter is resident or on its way.
func (l *Inventory) comes(key AdapterKey) bool {
	e, ok := l.Entries[key]
	return ok && (e.Stage == StageReady || e.Stage == StageLoading)
}

// freeSlots returns the number of places that are empty or can be freed at once, less those that wants will take.
func (l *Inventory) freeSlots(s *State, now time.Time, backend string) int {
	b, ok := s.Backends[backend]
	if !ok || !s.isEngine(b) {
		return 0
	}
	free := s.engineOf(b).AdapterSlots - len(l.Entries) - len(l.Pending)
	for key, e := range l.Entries {
		if l.droppable(now, key, e) {
			free++
		}
	}
	return free
}

// serves reports whether the entry will serve requests that need at least the given version.
func (e *InventoryEntry) serves(version int64) bool {
	return (e.Stage == StageReady || e.Stage == StageLoading) && e.Version >= version
}

func queueLoad(r *Lease, now time.Time, from string, m AdapterRequest) {
	for i := range r.Inventory.Pending {
		w := &r.Inventory.Pending[i]
		if w.Adapter == m.Adapter {
			w.Requesters[from] = now
			w.Version = max(w.Version, m.Version)
			return
		}
	}
	r.Inventory.Pending = append(r.Inventory.Pending, PendingLoad{
		Adapter: m.Adapter, Version: m.Version, QueuedAt: now, Requesters: map[string]time.Time{from: now},
	})
}

// sendEntryResidency tells one host how far an adapter is resident.
func sendEntryResidency[P selector.Policy](s *State, now time.Time, to, backend string, key AdapterKey, e *InventoryEntry) {
	sendResidency[P](s, now, to, e.residency(now, backend, key))
}

// sendResidency tells a host of a place, or takes it in where that is this host.
func sendResidency[P selector.Policy](s *State, now time.Time, to string, place ResidencyUpdate) {
	if to == s.Self.HostID {
		receiveResidency[P](s, now, place)
		return
	}
	s.send(to, place)
}

func (e *InventoryEntry) residency(now time.Time, backend string, key AdapterKey) ResidencyUpdate {
	return ResidencyUpdate{
		Backend: backend, Adapter: key, Version: e.Version, Stage: e.Stage, ReadyIn: max(e.ReadyAt.Sub(now), 0),
	}
}

// nextOrder gives the next order that the ledger allows: one at a time, and never more adapters than there are places.
func nextOrder(s *State, now time.Time, backend string, r *Lease) {
	l := &r.Inventory
	b, ok := s.Backends[backend]
	if !ok || !s.holdsLease(now, backend) || l.ReportReadAt.IsZero() || l.OrderPending || now.Before(l.RetryAt) || b.Info.Draining || !s.usable(now, b) {
		return
	}
	if model, missing := s.missingModel(b); missing {
		s.orderModel(now, b, r, model)
		return
	}
	l.dropStalePending(now)
	if len(l.Pending) == 0 || l.inTransit() >= s.service(b.Info.Service).transitLimit() {
		return
	}
	engine := s.engineOf(b)
	want := l.Pending[0]
	if e, ok := l.Entries[want.Adapter]; ok {
		reload(s, now, backend, r, want, e)
		return
	}
	if len(l.Entries) < engine.AdapterSlots {
		orderLoad(s, now, b, r, want)
		return
	}
	if victim, ok := l.victim(now); ok {
		orderUnload(s, now, b, r, victim)
	}
}

// dropStalePending forgets wants that nobody has repeated.
func (l *Inventory) dropStalePending(now time.Time) {
	l.Pending = slices.DeleteFunc(l.Pending, func(w PendingLoad) bool {
		for host, at := range w.Requesters {
			if now.Sub(at) > requestAttempts*requestInterval {
				delete(w.Requesters, host)
			}
		}
		return len(w.Requesters) == 0
	})
}

func (l *Inventory) inTransit() int {
	n := 0
	for _, e := range l.Entries {
		if e.Stage == StageLoading {
			n++
		}
	}
	return n
}

// reload orders a newer version of an adapter that is resident, or waits until one that leaves is gone.
func reload(s *State, now time.Time, backend string, r *Lease, want PendingLoad, e *InventoryEntry) {
	if e.Stage != StageReady {
		return
	}
	orderLoad(s, now, s.Backends[backend], r, want)
}

// victim returns the adapter to drop: the least used of those that no host has requests for.
func (l *Inventory) victim(now time.Time) (AdapterKey, bool) {
	var best AdapterKey
	found := false
	least := 0.0
	for _, key := range sortedAdapters(l.Entries) {
		e := l.Entries[key]
		if !l.droppable(now, key, e) {
			continue
		}
		if use := e.Use.Value(now, usesDecay); !found || use < least {
			best, least, found = key, use, true
		}
	}
	return best, found
}

// droppable reports whether an adapter is certainly resident and no request for it is running or on its way.
func (l *Inventory) droppable(now time.Time, key AdapterKey, e *InventoryEntry) bool {
	if e.Stage != StageReady || !e.Verified || now.Sub(e.RequestedAt) < quietFor || now.Sub(e.ReadyAt) < quietFor {
		return false
	}
	for _, u := range l.Usage {
		if u.Adapters[key] > 0 {
			return false
		}
	}
	return true
}

// backendReported takes the backend server's own list of adapters into the ledger.
//
// The report may be older than the last orders, so it neither removes a load nor revives an unload that was ordered since.
func backendReported[P selector.Policy](s *State, now time.Time, e BackendReported) {
	r, ok := s.Leases[e.Backend]
	b, known := s.Backends[e.Backend]
	if !ok || !known || e.Failed || b.Info.StartedUnixMs != e.StartedUnixMs {
		return
	}
	l := &r.Inventory
	named := map[AdapterKey]ReportedAdapter{}
	for _, a := range e.Adapters {
		named[a.Adapter] = a
	}
	asOf := e.RequestedAt.Add(-reportLag)
	if !l.OrderPending {
		l.dropUnnamed(now, asOf, named)
	}
	for _, key := range sortedAdapters(named) {
		l.adopt(s, now, asOf, b, named[key])
	}
	l.ReportReadAt = now
	l.Uncertain = l.Uncertain && l.OrderPending
	nextOrder(s, now, e.Backend, r)
}

// dropUnnamed forgets the adapters that a report, which shows the time asOf or later, does not name although they were ordered before.
func (l *Inventory) dropUnnamed(now, asOf time.Time, named map[AdapterKey]ReportedAdapter) {
	for _, key := range sortedAdapters(l.Entries) {
		if _, ok := named[key]; !ok && l.Entries[key].OrderedAt.Before(asOf) {
			delete(l.Entries, key)
			l.RecentlyDropped[key] = now
		}
	}
}

// reportLag is the age that a backend server's report may have.
const reportLag = 600 * time.Millisecond

// adopt adds an adapter that the report, which shows the time asOf or later, names and the ledger lacks.
//
// An adapter that the report shows in the version of the last order, and not from before that, is proved to be there.
func (l *Inventory) adopt(s *State, now, asOf time.Time, b *Backend, a ReportedAdapter) {
	key, stage := a.Adapter, a.Stage
	if e, ok := l.Entries[key]; ok {
		shown := stage == StageReady && a.Version >= e.Version && e.OrderedAt.Before(asOf)
		e.Verified = e.Verified || shown && e.Stage != StageUnloading
		return
	}
	if dropped, ok := l.RecentlyDropped[key]; ok && dropped.After(asOf) {
		return
	}
	entry := &InventoryEntry{Stage: stage, Version: a.Version, OrderedAt: now, ReadyAt: now, Verified: stage == StageReady, Requesters: map[string]time.Time{}}
	if stage == StageLoading {
		entry.ReadyAt = now.Add(s.loadTime(b, false))
	}
	entry.Use.Add(now, 0, usesDecay)
	l.Entries[key] = entry
}

// How the expected time of a load follows loads that were over in time and loads that were late, and the part of the time
// taken so far after which a late load is expected again: one in overrunShare.
const (
	loadInTime   = 0.995
	loadLate     = 1.06
	loadTimeMost = 3 * time.Second
	overrunShare = 4
)

// Multiples of the least time of a load from which fewer loads are started at once.
const (
	slightlySlow = 1.7
	clearlySlow  = 2.5
)
