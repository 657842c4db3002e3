package reducer

import (
	"slices"
	"time"

	"github.com/redwingpick/redwingpick/internal/selector"
)

func orderLoad(s *State, now time.Time, b *Backend, r *Right, want Want) {
	l := &r.Ledger
	_, recent := l.Recent[want.Adapter]
	took := s.loadTime(b, recent)
	former := l.Entries[want.Adapter]
	entry := &Entry{
		Stage: StageLoading, Version: want.Version, OrderedAt: now, ReadyAt: now.Add(took), Recent: recent, Askers: want.Askers,
	}
	if former != nil {
		entry.Use = former.Use
	}
	entry.Use.Add(now, float64(len(want.Askers)), usesDecay)
	l.Entries[want.Adapter] = entry
	l.Ordering = true
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

func orderUnload(s *State, now time.Time, b *Backend, r *Right, key AdapterKey) {
	e := r.Ledger.Entries[key]
	e.Stage = StageUnloading
	e.OrderedAt = now
	r.Ledger.Ordering = true
	s.Counters.Unloads++
	for _, host := range sortedKeys(e.Askers) {
		if host != s.Self.HostID {
			s.send(host, e.place(now, b.Info.ID, key))
		}
	}
	markAbsent(now, b, key)
	s.emitOrder(now, b, r, key, 0, true)
}

func (s *State) emitOrder(now time.Time, b *Backend, r *Right, key AdapterKey, version int64, unload bool) {
	s.emit(OrderAdapter{
		Backend: b.Info.ID, Address: b.Info.Address, Born: b.Info.Born, Adapter: key, Version: version, Unload: unload,
		Holder: s.Self.HostID, Fence: r.Fence, NotAfter: r.ValidUntil,
	})
	s.note(EventOrdered, Field{"backend_server", b.Info.ID}, Field{"adapter", key.Adapter}, boolField("unload", unload),
		intField("places", len(r.Ledger.Entries)), intField("wants", len(r.Ledger.Wants)), intField("term", int(r.Term)),
		msField("held_ms", now.Sub(r.HeldSince)))
}

// orderEnded takes the backend server's answer to an order into the ledger.
func orderEnded[P selector.Policy](s *State, now time.Time, e OrderEnded) {
	r, ok := s.Rights[e.Backend]
	b, known := s.Backends[e.Backend]
	if !ok || !known || b.Info.Born != e.Born {
		return
	}
	l := &r.Ledger
	l.Ordering = false
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
	if e.Result != OrderAccepted && e.Result != OrderHolds {
		s.note(EventOrderFailed, Field{"backend_server", e.Backend}, Field{"adapter", e.Adapter.Adapter},
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

func unloadEnded(l *Ledger, now time.Time, e OrderEnded, entry *Entry) {
	switch e.Result {
	case OrderHolds:
		delete(l.Entries, e.Adapter)
		l.Recent[e.Adapter] = now
	case OrderAccepted:
		l.Recent[e.Adapter] = now
	case OrderBusy, OrderRefused:
		entry.Stage = StageReady
		l.RetryAt = now.Add(orderPause)
		l.Doubtful = true
	case OrderUnknown:
		l.Doubtful = true
	}
}

func loadEnded[P selector.Policy](s *State, now time.Time, e OrderEnded, r *Right, entry *Entry) {
	l := &r.Ledger
	switch e.Result {
	case OrderHolds:
		entry.ReadyAt = now
		entry.Stage = StageReady
	case OrderAccepted:
	case OrderBusy, OrderRefused:
		delete(l.Entries, e.Adapter)
		l.RetryAt = now.Add(orderPause)
		l.Doubtful = true
		return
	case OrderUnknown:
		l.Doubtful = true
		return
	}
	l.Wants = slices.DeleteFunc(l.Wants, func(w Want) bool { return w.Adapter == e.Adapter })
	for _, host := range sortedKeys(entry.Askers) {
		tellPlace[P](s, now, host, e.Backend, e.Adapter, entry)
	}
}

func effectExpired(s *State, now time.Time, e EffectExpired) {
	s.Counters.EffectsExpired++
	r, ok := s.Rights[e.Backend]
	if !ok {
		return
	}
	r.Ledger.Ordering = false
	r.Ledger.Doubtful = true
	r.Ledger.RetryAt = now.Add(retryPause)
}
