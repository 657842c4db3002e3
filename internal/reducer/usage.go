package reducer

import "time"

// receiveUsage records what a host has running on a backend server and replies with the load of the other hosts.
func receiveUsage(s *State, now time.Time, from string, m Usage) {
	r, ok := s.Leases[m.Backend]
	if !ok || !s.holds(now, m.Backend) {
		return
	}
	l := &r.Inventory
	u, ok := l.Usage[from]
	if !ok {
		u = &HostUsage{RunningByAdapter: map[AdapterKey]int{}}
		l.Usage[from] = u
	}
	u.Running, u.Tokens, u.PrefillTokens, u.ReceivedAt = m.Running, m.Tokens, m.PrefillTokens, now
	freed := false
	for _, a := range m.Adapters {
		u.RunningByAdapter[a.Adapter] = a.Running
		r.verifyAdapter(s, m.Backend, a)
		if a.Running == 0 {
			delete(u.RunningByAdapter, a.Adapter)
			freed = true
		}
		if e, ok := l.Entries[a.Adapter]; ok {
			e.Use.Add(now, float64(a.DispatchCount), useHalfLife)
			e.Requesters[from] = now
		}
	}
	load := BackendLoad{Backend: m.Backend, FreeSlots: l.freeSlots(s, now, m.Backend)}
	for host, u := range l.Usage {
		if host != from && now.Sub(u.ReceivedAt) < 3*s.usageInterval() {
			load.Running += u.Running
			load.Tokens += u.Tokens
			load.PrefillTokens += u.PrefillTokens
		}
	}
	if freed {
		sendNextOrder(s, now, m.Backend, r)
	}
	if from == s.Self.HostID {
		receiveLoad(s, now, load)
		return
	}
	s.send(from, load)
}

// verifyAdapter marks an adapter as verified if a response has shown it to be resident, and adapts the expected load time.
func (r *Lease) verifyAdapter(s *State, backend string, a AdapterUsage) {
	e, ok := r.Inventory.Entries[a.Adapter]
	if !ok || e.Verified || !a.Verified || a.Version < e.Version || e.Stage == StageUnloading {
		return
	}
	e.Verified = true
	e.Stage = StageReady
	b, ok := s.Backends[backend]
	if !ok || e.Cached || e.Overdue {
		return
	}
	v := s.service(b.Info.Service)
	v.LoadTime = time.Duration(float64(v.LoadTime) * onTimeLoadFactor)
	if v.MinLoadTime == 0 || v.LoadTime < v.MinLoadTime {
		v.MinLoadTime = v.LoadTime
	}
}

// markOverdue marks a load as overdue whose adapter was absent at the expected time, and raises the expected load time.
//
// The adapter is expected again after a fraction of the time that the load has taken so far.
func (s *State) markOverdue(now time.Time, backend string, e *InventoryEntry) {
	if now.Before(e.ReadyAt) {
		return
	}
	taken := now.Sub(e.OrderedAt)
	e.ReadyAt = now.Add(max(taken/overdueDivisor, retryDelay))
	e.Stage = StageLoading
	b, ok := s.Backends[backend]
	if !ok || e.Cached {
		return
	}
	e.Overdue = true
	v := s.service(b.Info.Service)
	v.LoadTime = min(time.Duration(float64(v.LoadTime)*overdueLoadFactor), maxLoadTime)
}

// concurrentLoadLimit returns the number of adapters that may load at once on one backend server: fewer while concurrent loads slow each other down.
func (v *Service) concurrentLoadLimit() int {
	switch {
	case v.MinLoadTime == 0 || float64(v.LoadTime) < slowLoadRatio*float64(v.MinLoadTime):
		return maxConcurrentLoads
	case float64(v.LoadTime) < verySlowLoadRatio*float64(v.MinLoadTime):
		return maxConcurrentLoads / 2
	}
	return 1
}

// receiveLoad records the load of the other hosts on a backend server.
func receiveLoad(s *State, now time.Time, m BackendLoad) {
	if b, ok := s.Backends[m.Backend]; ok {
		b.OtherHosts = m
		b.OtherHostsAt = now
	}
}
