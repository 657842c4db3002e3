package reducer

import (
	"time"

	"github.com/redwingpick/redwingpick/internal/selector"
	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

const (
	// unfencedWait is how long a new owner waits before it orders anything from a server that ignores fencing.
	unfencedWait = 500 * time.Millisecond
	// failedFor is how long a backend server that failed is left alone.
	failedFor = time.Second
	// reportSettles is how long a report must differ from this host's orders before it is believed.
	reportSettles = 5 * time.Second
	// slowFirstToken is the least time to the first token that counts as slow.
	slowFirstToken = 0.25
	// historyEvery is how often demand that has faded is forgotten.
	historyEvery = 30 * time.Second
	// historyRate is the rate of requests a second below which an adapter is forgotten.
	historyRate = 0.0008
	// firstTokenShare is the weight of a new sample in the mean time to the first token.
	firstTokenShare = 0.1
	// fenceShift leaves the low bits of a fencing number to the lease term.
	fenceShift = 20
)

// acquireBackend starts to own a backend server; nothing is ordered before its state has been read.
func acquireBackend(s *State, now time.Time, r Right, h *Holding) {
	server := s.Config.BackendServers[r.Name]
	b := &Backend{
		ID:          r.Name,
		Limit:       server.ColdRunning,
		Slots:       server.AdapterSlots,
		Residents:   map[AdapterKey]*Resident{},
		History:     map[AdapterKey]selector.Use{},
		Strangers:   map[AdapterKey]time.Time{},
		SilentUntil: now,
		AcquiredAt:  now,
		ColdUntil:   now.Add(server.ColdFor),
	}
	if former, ok := s.Backends[r.Name]; ok {
		b.Running = former.Running
		b.Residents = former.Residents
		b.History = former.History
		b.Queue = former.Queue
		b.waiting = former.waiting
	}
	b.ReadFrom = now.Add(s.Limits.ReportLag)
	if !server.ChecksFencing {
		b.SilentUntil = now.Add(unfencedWait)
	}
	b.Fence = s.Config.Revision<<fenceShift | (h.Term & (1<<fenceShift - 1))
	if h.Handover != nil && h.Handover.Backend != nil && now.Sub(h.HandoverAt) < s.Limits.GrantTime {
		takeBackend(now, b, h.Handover.Backend)
	}
	s.Backends[r.Name] = b
	s.emit(PollBackend{Backend: b.ID, Address: server.Address})
	b.PolledAt = now
}

// takeBackend continues with what the former owner passed on.
func takeBackend(now time.Time, b *Backend, h *BackendHandover) {
	b.Incarnation = h.Incarnation
	b.Limit = max(h.Limit, b.Limit)
	b.Foreign = h.Running
	b.ColdUntil = now.Add(h.ColdLeft)
	b.SilentUntil = now
	b.ReadFrom = now
	b.LimitRaisedAt = now
	for _, pin := range h.Pins {
		resident := b.resident(pin.Adapter)
		resident.Stage = ResidencyReady
		resident.Foreign = pin.Running
	}
}

func backendHandover(s *State, now time.Time, id string) *BackendHandover {
	b, ok := s.Backends[id]
	if !ok || !b.Known {
		return nil
	}
	h := &BackendHandover{ColdLeft: max(b.ColdUntil.Sub(now), 0), Incarnation: b.Incarnation, Limit: b.Limit, Running: b.Running + b.Foreign}
	for _, key := range b.residentKeys() {
		resident := b.Residents[key]
		if resident.Stage == ResidencyReady {
			h.Pins = append(h.Pins, ReportedAdapter{Adapter: key, Running: resident.Pins + resident.Foreign})
		}
	}
	return h
}

func (b *Backend) resident(key AdapterKey) *Resident {
	resident, ok := b.Residents[key]
	if !ok {
		resident = &Resident{Use: b.History[key]}
		delete(b.History, key)
		b.Residents[key] = resident
	}
	return resident
}

func (b *Backend) residentKeys() []AdapterKey {
	return sortedAdapters(b.Residents)
}

// enqueue lets a request wait for its adapter, or for its turn if the adapter is resident.
func enqueue[P selector.Policy](s *State, now time.Time, r *Request, b *Backend) {
	if b == nil || b.Lost {
		s.sendBack(now, r, ReasonNotOwner)
		return
	}
	if reason := s.crowded(now, r, b); reason != ReasonNone {
		s.sendBack(now, r, reason)
		if !r.Forwarded {
			retryPlaced[P](s, now, r)
		}
		return
	}
	r.Backend = b.ID
	r.QueuedAt = now
	if r.Service != "" {
		queue[P](s, now, r, b)
		pump[P](s, now, b)
		return
	}
	resident := b.resident(r.Adapter)
	resident.Use.Touch(now)
	if resident.Stage == ResidencyReady {
		queue[P](s, now, r, b)
		pump[P](s, now, b)
		return
	}
	waitForLoad(s, now, r, resident)
}

// sendBack gives a forwarded request back to its sender and marks a local one to be placed elsewhere.
// retryPlaced places a local request that a crowded backend server sent back at once, while untried servers are left.
// crowded returns why a backend server should not queue the request, or ReasonNone.
func (s *State) crowded(now time.Time, r *Request, b *Backend) Reason {
	tries := len(r.Tried)
	if r.Forwarded {
		tries = r.Attempt
	}
	server := s.Config.BackendServers[b.ID]
	switch {
	case !s.Config.eligible(server):
		return ReasonNoBackend
	case now.Before(b.FailedUntil):
		return ReasonSpill
	case b.Queue.Size+b.waiting >= s.Limits.MaxQueue:
		return ReasonOverloaded
	case tries < candidateCount/2 && b.Queue.Size >= max(server.MaxRunning/2, 1):
		return ReasonSpill
	}
	return ReasonNone
}

func waitForLoad(s *State, now time.Time, r *Request, resident *Resident) {
	r.Phase = PhaseWaiting
	r.Stalled = true
	s.Counters.LoadStalls++
	resident.Waiting = append(resident.Waiting, r.ID)
	s.Backends[r.Backend].waiting++
	if resident.Stage == 0 {
		resident.Stage = ResidencyWanted
		resident.WantedAt = now
	}
	s.Wants.Dirty = true
}

// queue puts a request whose adapter is resident into the fair queue and pins the adapter.
func queue[P selector.Policy](s *State, _ time.Time, r *Request, b *Backend) {
	var policy P
	r.Phase = PhaseQueued
	if r.Service == "" {
		b.Residents[r.Adapter].Pins++
	}
	b.Queue.Push(policy.Lane(r.Account), s.Config.Accounts[r.Account].Weight, r.ID)
}

// pump dispatches queued requests while the backend server may take more.
func pump[P selector.Policy](s *State, now time.Time, b *Backend) {
	right := s.backendRight(s.Config.BackendServers[b.ID])
	until := s.actUntil(right)
	if b.Lost || !b.Known || now.Before(b.SilentUntil) || now.Before(b.FailedUntil) || !now.Before(until) {
		return
	}
	cost := func(id string) float64 { return s.Requests[id].Tokens + 1 }
	for b.Running+b.Foreign < b.Limit {
		id, ok := b.Queue.Pop(cost)
		if !ok {
			return
		}
		dispatch(s, now, s.Requests[id], b, until)
	}
}

func pumpAll[P selector.Policy](s *State, now time.Time) {
	for _, id := range sortedKeys(s.Backends) {
		pump[P](s, now, s.Backends[id])
	}
}

func dispatch(s *State, now time.Time, r *Request, b *Backend, until time.Time) {
	r.Phase = PhaseRunning
	b.Running++
	s.Counters.Dispatches++
	s.endStall(now, r)
	s.emit(Dispatch{
		ID:         r.ID,
		Backend:    b.ID,
		Address:    s.Config.BackendServers[b.ID].Address,
		Adapter:    r.Adapter,
		Service:    r.Service,
		Account:    r.Account,
		Priority:   r.Class,
		Repeatable: r.Repeatable,
		Fence:      b.Fence,
		Replicas:   s.replicasOf(r),
		Deadline:   r.Deadline,
		NotAfter:   until,
	})
}

// endStall counts the time for which a request has waited for a load.
func (s *State) endStall(now time.Time, r *Request) {
	if r.Stalled {
		s.Counters.LoadStallMillis += uint64(now.Sub(r.QueuedAt).Milliseconds())
		r.Stalled = false
	}
}

// dispatchEnded frees the request's place on the backend server and follows its outcome.
func dispatchEnded[P selector.Policy](s *State, now time.Time, e DispatchEnded) {
	r, ok := s.Requests[e.ID]
	if !ok || r.Phase != PhaseRunning {
		return
	}
	s.Counters.MismatchedAnswers += uint64(e.Mismatched)
	b, owned := s.Backends[r.Backend]
	if owned {
		b.Running--
		b.unpin(r)
		s.learnFromAnswer(now, b, e)
	}
	switch {
	case e.Outcome == OutcomeDone:
		finish(s, r, e.Tokens)
	case r.Forwarded:
		s.emit(Refuse{ID: r.ID, Outcome: e.Outcome, Reason: e.Reason})
		delete(s.Requests, r.ID)
	case e.Outcome == OutcomeNotRun:
		if e.Reason != ReasonNotLoaded {
			r.Tried = append(r.Tried, r.Backend)
		}
		retry[P](s, now, r, OutcomeNotRun, e.Reason)
	default:
		retryUnknown[P](s, now, r, e.Reason, e.Tokens)
	}
	if owned {
		pump[P](s, now, b)
		s.forgetLost(b)
	}
}

func (b *Backend) unpin(r *Request) {
	if r.Service != "" {
		return
	}
	if resident, ok := b.Residents[r.Adapter]; ok && resident.Pins > 0 {
		resident.Pins--
	}
}

func (s *State) forgetLost(b *Backend) {
	if b.Lost && b.Running == 0 && b.Queue.Size == 0 && b.waiting == 0 {
		delete(s.Backends, b.ID)
	}
}

// learnFromAnswer watches for failures, restarts and a cold start that came without notice.
// notLoaded corrects a residency that the backend server has denied.
// restarted drops what a former incarnation of the backend server had resident.
// requeueUnloaded turns the queued requests of an adapter that is gone into requests that wait for its load.
// forget removes an adapter that is not resident and remembers the demand for it.
func (b *Backend) forget(key AdapterKey) {
	if resident, ok := b.Residents[key]; ok {
		if len(b.History) < historySize {
			b.History[key] = resident.Use
		}
		delete(b.Residents, key)
	}
}

// remove takes a request out of the queue or of the list that waits for its adapter.
func (b *Backend) remove(r *Request) {
	if r.Phase == PhaseWaiting {
		if resident, ok := b.Residents[r.Adapter]; ok {
			resident.Waiting = without(resident.Waiting, r.ID)
			b.waiting--
			if len(resident.Waiting) == 0 && resident.Stage == ResidencyWanted {
				b.forget(r.Adapter)
			}
		}
		return
	}
	removed := b.Queue.Remove(func(id string) bool { return id == r.ID })
	if len(removed) > 0 {
		b.unpin(r)
	}
}

// backendReported takes the state that a backend server reports.
// takeResidents follows what a backend server says is resident.
//
// Reports lag, so a difference from what this host has ordered counts only after reportSettles.
// meetStranger takes over an adapter that this host did not order, once reports have named it for long enough.
// tickBackends polls the owned backend servers, raises their limits and gives up what is lost or withdrawn.
func tickBackends[P selector.Policy](s *State, now time.Time) {
	settleLost[P](s, now)
	for _, id := range sortedKeys(s.Backends) {
		b := s.Backends[id]
		if b.Lost {
			continue
		}
		s.poll(now, b)
		b.fadeHistory(now)
		s.raiseLimit(now, b)
		s.sendNote(now, b)
		giveUpFailed[P](s, now, b)
		pump[P](s, now, b)
	}
}

func (b *Backend) fadeHistory(now time.Time) {
	if now.Sub(b.FadedAt) < historyEvery {
		return
	}
	b.FadedAt = now
	for key, use := range b.History {
		if use.Rate(now) < historyRate {
			delete(b.History, key)
		}
	}
}

// raiseLimit doubles the limit of a backend server that has answered well at its present limit.
// sendNote tells the host that would follow how much the backend server bears.
// takeNote keeps the limit of the former owner if the backend server has not restarted since, and else takes it as cold.
// giveUpFailed sends the requests of a failing, leaving or withdrawn backend server elsewhere.
// settleLost sends the requests on that waited for a backend server whose lease is over.
// moveAll places every request again that waits or queues at a backend server.
// refreshBackends follows changed backend servers and notes when this host's own failure domain is withdrawn.
// effectExpired undoes what was noted for an effect that did not leave in time.
// serves reports whether a backend server is an engine that holds adapters.
func serves(b cataloguer.BackendServer) bool {
	return b.Kind == cataloguer.KindEngine
}
