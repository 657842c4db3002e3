package reducer

import "time"

// receiveUsage records what a host has running on a backend server and replies with the load of the other hosts.
func receiveUsage(s *State, now time.Time, from string, m Usage) {
	l, ok := s.Leases[m.Backend]
	if !ok || !s.holdsLease(now, m.Backend) {
		return
	}
	inv := &l.Inventory
	u, ok := inv.Usage[from]
	if !ok {
		u = &HostUsage{RunningByAdapter: map[AdapterKey]int{}}
		inv.Usage[from] = u
	}
	u.Running, u.Tokens, u.PrefillTokens, u.ReceivedAt = m.Running, m.Tokens, m.PrefillTokens, now
	if from != s.Self.HostID {
		s.recordReportedAnswers(now, m)
	}
	freed := m.Full && len(u.RunningByAdapter) > 0
	if m.Full {
		// The report that ended the use of an adapter may have been lost.
		clear(u.RunningByAdapter)
	}
	for _, a := range m.Adapters {
		u.RunningByAdapter[a.Adapter] = a.Running
		l.verifyAdapter(s, now, m.Backend, a)
		if a.Running == 0 {
			delete(u.RunningByAdapter, a.Adapter)
			freed = true
		}
		if e, ok := inv.Entries[a.Adapter]; ok {
			e.Use.Add(now, float64(a.DispatchCount), useHalfLife)
			e.Requesters[from] = now
		}
	}
	load := inv.loadFor(s, now, m.Backend, from)
	load.Demands = s.receiveWork(now, from, m, inv)
	samples := s.receivePace(now, inv, u, m)
	load.PaceWork, load.PaceBusy = samples.Work, samples.Busy
	s.reportSlowStart(now, from, inv, &load)
	if freed {
		sendNextOrder(s, now, m.Backend, l)
	}
	if from == s.Self.HostID {
		receiveBackendLoad(s, now, load)
		return
	}
	s.send(from, load)
}

// loadFor returns the load on a backend server of all hosts but one.
func (inv *Inventory) loadFor(s *State, now time.Time, backend, to string) BackendLoad {
	load := BackendLoad{Backend: backend, FreeSlots: inv.freeSlots(s, now, backend)}
	for host, u := range inv.Usage {
		if host != to && now.Sub(u.ReceivedAt) < 3*s.usageInterval() {
			load.Running += u.Running
			load.Tokens += u.Tokens
			load.PrefillTokens += u.PrefillTokens
		}
	}
	return load
}

// verifyAdapter marks an adapter as verified if a response has shown it to be resident, and adapts the expected load time.
func (l *Lease) verifyAdapter(s *State, now time.Time, backend string, a AdapterUsage) {
	e, ok := l.Inventory.Entries[a.Adapter]
	if !ok || e.Verified || !a.Verified || a.Version < e.Version || e.Stage == StageUnloading {
		return
	}
	e.Verified = true
	e.Stage = StageReady
	b, ok := s.Backends[backend]
	if !ok || e.Cached || e.Overdue {
		return
	}
	service := s.service(b.Info.Service)
	s.recordUsualLoad(now, service)
	service.LoadTime = time.Duration(float64(service.LoadTime) * onTimeLoadFactor)
	if service.MinLoadTime == 0 || service.LoadTime < service.MinLoadTime {
		service.MinLoadTime = service.LoadTime
	}
}

// markOverdue marks a load as overdue whose adapter was absent at the expected time, and raises the expected load time.
//
// The adapter is expected again after a fraction of the time that the load has taken so far.
func (s *State) markOverdue(now time.Time, backend string, e *InventoryEntry) {
	if now.Before(e.ReadyAt) {
		return
	}
	elapsed := now.Sub(e.OrderedAt)
	e.ReadyAt = now.Add(max(elapsed/overdueDivisor, retryDelay))
	e.Stage = StageLoading
	b, ok := s.Backends[backend]
	if !ok || e.Cached {
		return
	}
	e.Overdue = true
	service := s.service(b.Info.Service)
	s.recordSlowLoad(now, b, service, elapsed)
	service.LoadTime = min(time.Duration(float64(service.LoadTime)*overdueLoadFactor), maxLoadTime)
}

// concurrentLoadLimit returns the number of adapters that may load at once on one backend server. It is lower while concurrent loads slow
// each other down.
func (s *Service) concurrentLoadLimit() int {
	switch {
	case s.MinLoadTime == 0 || float64(s.LoadTime) < slowLoadRatio*float64(s.MinLoadTime):
		return maxConcurrentLoads
	case float64(s.LoadTime) < verySlowLoadRatio*float64(s.MinLoadTime):
		return maxConcurrentLoads / 2
	}
	return 1
}

// receiveBackendLoad records the load of the other hosts on a backend server.
func receiveBackendLoad(s *State, now time.Time, m BackendLoad) {
	s.receiveDemands(now, m)
	if b, ok := s.Backends[m.Backend]; ok {
		b.OtherHosts = m
		b.OtherHostsAt = now
		s.mergePace(now, b, m)
		s.adoptSlowStart(now, b, m)
	}
}
