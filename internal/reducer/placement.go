package reducer

import (
	"cmp"
	"slices"
	"time"

	"github.com/redwingpick/redwingpick/internal/hasher"
	"github.com/redwingpick/redwingpick/internal/selector"
	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// place sends a request to a backend server, lets it wait for its adapter, or refuses it when nothing can take it soon.
func place[P selector.Policy](s *State, now time.Time, r *Request) {
	if !now.Before(r.Deadline) {
		expire(s, now, r)
		return
	}
	service, ok := s.Documents.Services[r.Service]
	if !ok {
		s.refuseWaiting(now, r, ReasonNoBackend)
		return
	}
	if r.PossibleRuns == 0 {
		r.Version = max(r.Version, s.Documents.Versions[r.Adapter])
	}
	candidates := s.candidates(now, r, service)
	for len(candidates) > 0 {
		var policy P
		i := policy.Choose(candidates)
		b := s.Backends[candidates[i].Backend]
		if service.Engine != nil && service.Engine.AdapterSlots > 0 && r.Adapter.Adapter != "" {
			if s.awaitAdapter(now, r, b) {
				if r.Phase != PhaseLoading && r.Attempt == 0 && r.tooLate(now, candidates[i].Delay) {
					s.refuseWaiting(now, r, ReasonNotLoaded)
					return
				}
				requestAdapter[P](s, now, r, b)
				return
			}
		}
		if s.allowsColdRequest(now, b) {
			s.dispatch(now, r, b, service)
			return
		}
		candidates = slices.Delete(candidates, i, i+1)
	}
	s.waitForRoom(now, r)
}

// tooLate reports whether an answer whose first piece takes the given time would miss its target, so that bringing the adapter
// would be in vain.
func (r *Request) tooLate(now time.Time, delay time.Duration) bool {
	return now.Sub(r.ArrivedAt)+delay > r.Route.LatencyTarget
}

// waitForRoom keeps a request for a part of its target, then refuses it with the word that it has not run.
func (s *State) waitForRoom(now time.Time, r *Request) {
	if r.Phase == PhaseLoading {
		s.stopWaiting(r)
		r.WaitSince = now
	}
	r.Phase = PhaseQueued
	r.Backend = ""
	if now.Sub(r.WaitSince) < r.Route.LatencyTarget/queueShare {
		return
	}
	s.refuseWaiting(now, r, ReasonNoBackend)
}

// refuseWaiting ends a request that nothing takes, with a promise that it has not run unless an earlier attempt may have.
func (s *State) refuseWaiting(now time.Time, r *Request, reason Reason) {
	if r.PossibleRuns > 0 {
		refuse(s, now, r, ReasonBroken, 0)
		return
	}
	refuse(s, now, r, reason, refusedRetryWait)
}

// maxAdapterWait is how long a request waits for its adapter: longer once the adapter is known to be on its way.
func (s *State) maxAdapterWait(r *Request, p *Residency, now time.Time) time.Duration {
	if p.Stage != StageAbsent && p.fresh(now, r.Version) {
		return r.Route.LatencyTarget
	}
	return r.Route.LatencyTarget / loadShare
}

// loadShare is the part of a request's target for which it may wait for a place for its adapter: one in loadShare.
const loadShare = 3

// queueShare is the part of a request's target for which it may wait for room: one in queueShare.
const queueShare = 8

// maxCandidates is the number of backend servers, in rendezvous order, that an adapter may be placed on.
const maxCandidates = 3

// candidates returns the backend servers that may take a request.
func (s *State) candidates(now time.Time, r *Request, service cataloguer.Service) []selector.Candidate {
	usable := s.usableBackends(now, r)
	if service.Engine != nil && r.Adapter.Adapter != "" {
		usable = s.rankBackends(now, r, usable)
	}
	candidates := make([]selector.Candidate, 0, len(usable))
	for rank, b := range usable {
		c := selector.Candidate{Backend: b.Info.ID, Near: b.Info.FailureDomain == s.Self.FailureDomain, Tie: s.random()}
		if service.Engine != nil {
			c.Delay = s.engineDelay(now, r, b, service.Engine)
			if r.Adapter.Adapter != "" {
				c.Rank = rank
			}
		} else {
			c.Delay = b.plainDelay(now)
		}
		candidates = append(candidates, c)
	}
	return candidates
}

// usableBackends returns the backend servers of the request's service that may get it, those that failed it only when there
// is no other.
func (s *State) usableBackends(now time.Time, r *Request) []*Backend {
	var fresh, tried []*Backend
	for _, b := range s.serviceBackends(r.Service) {
		if !s.usable(now, b) || r.Adapter.Model != "" && s.isEngine(b) && !b.holdsModel(r.Adapter.Model) {
			continue
		}
		if slices.Contains(r.Tried, b.Info.ID) {
			tried = append(tried, b)
			continue
		}
		fresh = append(fresh, b)
	}
	if len(fresh) == 0 && r.PossibleRuns == 0 {
		return tried
	}
	return fresh
}

// rankBackends returns the homes of a request's adapter in their order, and behind them the backend servers that have it though
// nobody orders them.
func (s *State) rankBackends(now time.Time, r *Request, backends []*Backend) []*Backend {
	hash := hasher.Key(r.Adapter.Model + "/" + r.Adapter.Adapter)
	type scored struct {
		backend *Backend
		score   uint64
	}
	all := make([]scored, len(backends))
	for i, b := range backends {
		all[i] = scored{b, hasher.Score(hash, hasher.NewName(b.Info.ID))}
	}
	slices.SortFunc(all, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	ranked := make([]*Backend, 0, maxCandidates)
	for i, a := range all {
		if i < maxCandidates || s.published(now, r, a.backend) {
			ranked = append(ranked, a.backend)
		}
	}
	return ranked
}

// Costs of a full batch and of full memory at an engine, and of a failed exchange, in expected time.
const (
	slotDelay   = 100 * time.Millisecond
	memoryDelay = time.Second
	lossDelay   = time.Second
	// othersFresh is the age up to which the load that a holder told counts.
	othersFresh = time.Second
)

// fullDelay is the expected wait for a place at an engine whose places are all in use, and fullFor how long that counts.
const (
	fullDelay = 500 * time.Millisecond
	fullFor   = requestInterval
)

// placeWaiting tries to place the requests that wait for room, the most urgent first.
func placeWaiting[P selector.Policy](s *State, now time.Time) {
	var queued []*Request
	for _, id := range sortedKeys(s.Requests) {
		if r := s.Requests[id]; r.Phase == PhaseQueued && !now.Before(r.RetryAt) {
			queued = append(queued, r)
		}
	}
	slices.SortStableFunc(queued, func(a, b *Request) int {
		if a.Priority != b.Priority {
			return cmp.Compare(a.Priority, b.Priority)
		}
		return a.ArrivedAt.Compare(b.ArrivedAt)
	})
	for _, r := range queued {
		if _, ok := s.Requests[r.ID]; ok && r.Phase == PhaseQueued {
			place[P](s, now, r)
		}
	}
}

// dispatch sends a request to a backend server.
func (s *State) dispatch(now time.Time, r *Request, b *Backend, service cataloguer.Service) {
	if r.Phase == PhaseLoading {
		s.Counters.LoadStallMillis += uint64(now.Sub(r.WaitSince).Milliseconds())
		s.stopWaiting(r)
	}
	r.Phase = PhaseRunning
	r.Backend = b.Info.ID
	r.Attempt++
	r.SentAt = now
	r.Prefill = s.uncachedTokens(now, r, b)
	b.UsedAt = now
	s.InUse[b.Info.ID] = true
	b.Running++
	b.Tokens += r.Tokens
	b.Prefill += r.Prefill
	for _, part := range r.Parts {
		b.Parts[partKey(r, part)] = now
	}
	if r.Adapter.Adapter != "" && service.Engine != nil {
		p := b.residency(r.Adapter)
		p.Running++
		p.Count++
		s.useChanged(now, b, p, p.Running == 1)
	}
	s.Counters.Dispatches++
	s.logEvent(EventRequestSent, s.requestFields(now, r, intField("running", b.Running), intField("others_running", b.OtherHosts.Running),
		intField("prefill_tokens", r.Prefill), ageField("confirmed_age_ms", now, s.Watch.ConfirmedAt))...)
	s.emit(Dispatch{
		ID: r.ID, Attempt: r.Attempt, Backend: b.Info.ID, Address: b.Info.Address, Account: r.Account, Priority: -1,
		Version: r.Version, Stream: r.Route.RetryPolicy == cataloguer.RetryStream, Resumable: r.Route.Resumable,
		Deadline: r.Deadline, SilentAfter: s.silentAfter(r, b), GapAfter: s.gapAfter(r), Connections: s.connections(now, service),
	})
}

// useChanged notes a change of an adapter's use, and tells the holder at once when the first request begins or the last ends.
func (s *State) useChanged(now time.Time, b *Backend, p *Residency, atOnce bool) {
	p.Changed = true
	if atOnce {
		tellUsage(s, now, b, false)
	}
}

// connections is this host's part of the connections that a backend server accepts.
func (s *State) connections(now time.Time, service cataloguer.Service) int {
	if service.MaxConnections <= 0 {
		return 0
	}
	return max(service.MaxConnections*connectionPercent/100/s.shareCount(now), 2)
}

// connectionPercent leaves room for the connections of hosts that this host does not know yet.
const connectionPercent = 80

// silentAfter bounds the wait for the first sign of an answer to a request that may run again.
func (s *State) silentAfter(r *Request, b *Backend) time.Duration {
	if !s.mayRetry(r) || r.PossibleRuns+1 >= r.Route.MaxAttempts {
		return 0
	}
	if r.Route.RetryPolicy == cataloguer.RetryStream {
		// A prompt is read before the first piece; giving up a backend server that only has much to read would waste that.
		return 2*r.Route.LatencyTarget + silentLatencies*b.Latency
	}
	return max(r.Route.LatencyTarget/2, silentLatencies*b.Latency)
}

// gapAfter bounds the pauses in a stream that another backend server may continue.
func (s *State) gapAfter(r *Request) time.Duration {
	if r.Route.RetryPolicy != cataloguer.RetryStream || !r.Route.Resumable || r.PossibleRuns+1 >= r.Route.MaxAttempts {
		return 0
	}
	return max(2*r.Route.StreamGapTarget, leastGap)
}

// leastGap is the least pause after which a stream is taken as broken off.
const leastGap = time.Second

// silentLatencies is the number of usual latencies after which a request that may run again is tried elsewhere.
const silentLatencies = 6
