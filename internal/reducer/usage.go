package reducer

import "time"

// receiveUsage notes what a host has running on a backend server and tells it what the others have.
func receiveUsage(s *State, now time.Time, from string, m Usage) {
	r, ok := s.Leases[m.Backend]
	if !ok || !s.holdsLease(now, m.Backend) {
		return
	}
	l := &r.Inventory
	u, ok := l.Usage[from]
	if !ok {
		u = &HostUsage{Adapters: map[AdapterKey]int{}}
		l.Usage[from] = u
	}
	u.Running, u.Tokens, u.Prefill, u.ReceivedAt = m.Running, m.Tokens, m.Prefill, now
	freed := false
	for _, a := range m.Adapters {
		u.Adapters[a.Adapter] = a.Running
		r.prove(s, m.Backend, a)
		if a.Running == 0 {
			delete(u.Adapters, a.Adapter)
			freed = true
		}
		if e, ok := l.Entries[a.Adapter]; ok {
			e.Use.Add(now, float64(a.Count), usesDecay)
			e.Requesters[from] = now
		}
	}
	load := BackendLoad{Backend: m.Backend, FreeSlots: l.freeSlots(s, now, m.Backend)}
	for host, u := range l.Usage {
		if host != from && now.Sub(u.ReceivedAt) < 3*s.usagePause() {
			load.Running += u.Running
			load.Tokens += u.Tokens
			load.Prefill += u.Prefill
		}
	}
	if freed {
		nextOrder(s, now, m.Backend, r)
	}
	if from == s.Self.HostID {
		receiveLoad(s, now, load)
		return
	}
	s.send(from, load)
}

// prove notes that an answer has shown an adapter to be resident, and what its load took at most.
func (r *Lease) prove(s *State, backend string, a AdapterUsage) {
	e, ok := r.Inventory.Entries[a.Adapter]
	if !ok || e.Verified || !a.Served || a.Version < e.Version || e.Stage == StageUnloading {
		return
	}
	e.Verified = true
	e.Stage = StageReady
	b, ok := s.Backends[backend]
	if !ok || e.RecentlyDropped || e.Overdue {
		return
	}
	v := s.service(b.Info.Service)
	v.LoadTime = time.Duration(float64(v.LoadTime) * loadInTime)
	if v.LeastLoad == 0 || v.LoadTime < v.LeastLoad {
		v.LeastLoad = v.LoadTime
	}
}

// loadOverran takes that an adapter was not there when its load was expected to be over: it is expected again after a part of
// the time that it has taken so far.
func (s *State) loadOverran(now time.Time, backend string, e *InventoryEntry) {
	if now.Before(e.ReadyAt) {
		return
	}
	taken := now.Sub(e.OrderedAt)
	e.ReadyAt = now.Add(max(taken/overrunShare, retryPause))
	e.Stage = StageLoading
	b, ok := s.Backends[backend]
	if !ok || e.RecentlyDropped {
		return
	}
	e.Overdue = true
	v := s.service(b.Info.Service)
	v.LoadTime = min(time.Duration(float64(v.LoadTime)*loadLate), loadTimeMost)
}

// transitLimit is the number of adapters that may be on their way to one backend server: fewer while loads slow each other down.
func (v *Service) transitLimit() int {
	switch {
	case v.LeastLoad == 0 || float64(v.LoadTime) < slightlySlow*float64(v.LeastLoad):
		return transitMost
	case float64(v.LoadTime) < clearlySlow*float64(v.LeastLoad):
		return transitMost / 2
	}
	return 1
}

func receiveLoad(s *State, now time.Time, m BackendLoad) {
	if b, ok := s.Backends[m.Backend]; ok {
		b.OtherHosts = m
		b.OtherHostsAt = now
	}
}
