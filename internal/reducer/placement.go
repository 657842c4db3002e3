package reducer

import (
	"cmp"
	"slices"
	"time"

	"github.com/redwingpick/redwingpick/internal/hasher"
	"github.com/redwingpick/redwingpick/internal/selector"
	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// placeRequest dispatches a request to a backend server, lets it wait for its adapter or for capacity, or refuses it if no backend server
// can take it in time.
func placeRequest[P selector.Policy](s *State, now time.Time, r *Request) {
	if !now.Before(r.Deadline) {
		expireRequest(s, now, r)
		return
	}
	service, ok := s.Documents.Services[r.Service]
	if !ok {
		s.refuseUnplaced(now, r, ReasonNoBackend)
		return
	}
	if r.PossibleRuns == 0 {
		r.Version = max(r.Version, s.Documents.Versions[r.Adapter])
	}
	if refuseQuarantined(s, now, r) || s.holdForTrial(now, r) {
		return
	}
	candidates := s.candidates(now, r, service)
	if s.placesAdapters(service, r.Adapter) {
		s.recordDemand(now, r, candidates)
	}
	candidates, refused := s.admissible(now, r, candidates)
	if refused {
		return
	}
	candidates = s.withinBounds(now, r, candidates)
	held := heldRequest{}
	for len(candidates) > 0 {
		var policy P
		i := policy.Choose(candidates)
		b := s.Backends[candidates[i].Backend]
		if opensIn := s.slowStartOpensIn(now, r, b); opensIn > 0 {
			held.add(opensIn, s.readyDelay(now, r, b))
			candidates = slices.Delete(candidates, i, i+1)
			continue
		}
		if !s.requiresLoad(now, r, b) {
			s.dispatch(now, r, b, service)
			preloadReplicas[P](s, now, r, candidates)
			return
		}
		if s.prefersHeldServer(now, r, b, held, candidates[i].Delay) {
			break
		}
		if !s.admits() && r.Phase != PhaseAwaitingAdapter && r.Attempt == 0 && s.loadIsUseless(now, r, b, candidates[i].Delay) {
			r.Backend = b.Info.ID
			s.refuseUnplaced(now, r, ReasonNotLoaded)
			return
		}
		requestAdapter[P](s, now, r, b)
		return
	}
	if held.Servers > 0 {
		s.waitForSlowStart(now, r, held)
		return
	}
	s.waitForCapacity(now, r)
}

// withinBounds returns the candidates that the bounds on their rates leave for a request: those without a bound, and those to which this host may
// send now or, where the adapter has to be loaded first, once it is loaded. A server that names a limit takes few orders, and gets one only if
// there is no other candidate.
func (s *State) withinBounds(now time.Time, r *Request, candidates []selector.Candidate) []selector.Candidate {
	bounded := func(c selector.Candidate) bool { return s.throttled(now, s.Backends[c.Backend]) }
	if !slices.ContainsFunc(candidates, bounded) {
		return candidates
	}
	var left, ordered []selector.Candidate
	for _, c := range candidates {
		b := s.Backends[c.Backend]
		switch {
		case !s.throttled(now, b):
			left = append(left, c)
		case !s.isSender(now, b):
		case s.requiresLoad(now, r, b):
			if b.limited() {
				ordered = append(ordered, c)
				continue
			}
			left = append(left, c)
		case s.throttleAllows(now, b):
			left = append(left, c)
		default:
			s.countThrottled(now, b)
		}
	}
	if len(left) == 0 {
		return ordered
	}
	return left
}

// requiresLoad reports whether the adapter of a request must be loaded at a backend server before the request can be sent there.
func (s *State) requiresLoad(now time.Time, r *Request, b *Backend) bool {
	engine := s.engineOf(b)
	return engine != nil && engine.AdapterSlots > 0 && r.Adapter.Adapter != "" && s.needsAdapterLoad(now, r, b)
}

// loadIsUseless reports whether a request that has not been sent yet should not wait for its adapter to be loaded: it would miss its target,
// or no host may order the load for longer than the request may wait.
func (s *State) loadIsUseless(now time.Time, r *Request, b *Backend, delay time.Duration) bool {
	return s.wouldMissTarget(now, r, b, delay) || s.ordersIn(now, b.Info.ID) > r.Route.LatencyTarget/slotWaitDivisor
}

// wouldMissTarget reports whether a response whose first piece takes the given time would miss the route's target, so that loading the
// adapter would be useless.
//
// A large prompt may take most of the target by itself. Such a request is judged by the time that its own prompt needs, or the largest
// requests of a route would hardly ever be served.
func (s *State) wouldMissTarget(now time.Time, r *Request, b *Backend, delay time.Duration) bool {
	prefill := float64(s.uncachedTokens(now, r, b)) / s.prefillRate(now, b)
	limit := max(r.Route.LatencyTarget, time.Duration(largePromptAllowance*prefill*float64(time.Second)))
	return now.Sub(r.ArrivedAt)+delay > limit
}

// largePromptAllowance is the multiple of the prefill time of a request's own prompt that the request may take at least.
const largePromptAllowance = 2

// waitForCapacity queues a request for a fraction of its route's target, and then refuses it as not run. It refuses the request at once if
// no backend server becomes usable in that time.
func (s *State) waitForCapacity(now time.Time, r *Request) {
	if r.Phase == PhaseAwaitingAdapter {
		s.stopWaiting(r)
		r.WaitSince = now
	}
	r.Phase = PhaseQueued
	r.Backend = ""
	limit := s.queueLimit(r, r.Route.LatencyTarget/queueWaitDivisor)
	waited := now.Sub(r.WaitSince)
	if wait, ends := s.usableIn(now, r.Service); waited < limit && !(ends && waited+wait > limit) {
		return
	}
	s.refuseUnplaced(now, r, ReasonNoBackend)
}

// refuseUnplaced refuses a request that no backend server takes. The refusal states that the request has not run, unless an earlier attempt
// may have run.
func (s *State) refuseUnplaced(now time.Time, r *Request, reason Reason) {
	if r.PossibleRuns > 0 {
		refuse(s, now, r, ReasonBroken, 0)
		return
	}
	if s.admits() {
		s.refuseWithPromise(now, r, reason, 0)
		return
	}
	wait := time.Duration(0)
	if reason == ReasonNotLoaded {
		wait = s.ordersIn(now, r.Backend)
	} else if usableIn, ends := s.usableIn(now, r.Service); ends {
		wait = usableIn
	}
	refuse(s, now, r, reason, min(max(wait, defaultRetryAfter), maxRetryAfter))
}

// maxAdapterWait returns how long a request may wait for its adapter: longer once the adapter is known to be loading.
func (s *State) maxAdapterWait(r *Request, adapter *Residency, now time.Time) time.Duration {
	if adapter.Stage != StageAbsent && adapter.fresh(now, r.Version) {
		return s.adapterLimit(now, r, r.Route.LatencyTarget)
	}
	return s.adapterLimit(now, r, r.Route.LatencyTarget/slotWaitDivisor)
}

// slotWaitDivisor is the divisor of a route's target that gives the time for which a request may wait for a slot for its adapter.
const slotWaitDivisor = 3

// queueWaitDivisor is the divisor of a route's target that gives the time for which a request may wait for capacity.
const queueWaitDivisor = 8

// maxCandidates is the number of backend servers, by rendezvous rank, on which an adapter may be loaded.
const maxCandidates = 3

// candidates returns the backend servers that may take a request, with the expected delay of each.
func (s *State) candidates(now time.Time, r *Request, service cataloguer.Service) []selector.Candidate {
	if s.placesAdapters(service, r.Adapter) {
		return s.replicaCandidates(now, r, service)
	}
	usable := s.usableBackends(now, r)
	if service.Engine != nil && r.Adapter.Adapter != "" {
		usable = s.rankBackends(now, r, usable)
	}
	candidates := make([]selector.Candidate, 0, len(usable))
	for rank, b := range usable {
		c := selector.Candidate{Backend: b.Info.ID, SameDomain: b.Info.FailureDomain == s.Self.FailureDomain, TieBreaker: s.random()}
		if service.Engine != nil {
			c.Delay = s.engineDelay(now, r, b, service.Engine)
			if r.Adapter.Adapter != "" {
				c.Rank = rank
			}
		} else {
			c.Delay = s.unaryDelay(now, b)
		}
		candidates = append(candidates, c)
	}
	if service.Engine == nil {
		s.deferMost(candidates)
	}
	return candidates
}

// usableBackends returns the backend servers of the request's service that may get it. The servers that failed it are returned only if
// there is no other and the request has not run.
func (s *State) usableBackends(now time.Time, r *Request) []*Backend {
	var untried, tried []*Backend
	for _, b := range s.serviceBackends(r.Service) {
		if !s.usable(now, b) || r.Adapter.Model != "" && s.isEngine(b) && !b.holdsModel(r.Adapter.Model) {
			continue
		}
		if slices.Contains(r.TriedBackends, b.Info.ID) {
			tried = append(tried, b)
			continue
		}
		untried = append(untried, b)
	}
	if len(untried) == 0 && r.PossibleRuns == 0 {
		return tried
	}
	return untried
}

// rankBackends returns the first backend servers by rendezvous rank for a request's adapter, followed by the servers without a lease holder
// that have published the adapter as resident.
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
		if i < maxCandidates || s.publishedResident(now, r, a.backend) {
			ranked = append(ranked, a.backend)
		}
	}
	return ranked
}

// Penalties in expected delay, and how long the reports behind them count.
const (
	// batchSlotDelay is the penalty for each request beyond the slots of an engine's batch.
	batchSlotDelay = 100 * time.Millisecond
	// cacheFullDelay is the penalty if an engine's cache cannot hold the tokens of the request and of those that run.
	cacheFullDelay = time.Second
	// failureDelay is the penalty at a failure rate of 1.
	failureDelay = time.Second
	// loadReportTTL is the age up to which reported load counts.
	loadReportTTL = time.Second
)

// noSlotDelay is the expected wait for an adapter slot at an engine without a free one, and noSlotTTL how long a report of that counts.
const (
	noSlotDelay = 500 * time.Millisecond
	noSlotTTL   = adapterRequestInterval
)

// placeQueued tries to place the requests that wait for capacity, by priority and then by arrival, or in the order of the admission control.
func placeQueued[P selector.Policy](s *State, now time.Time) {
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
	if s.admits() {
		queued = s.orderQueued(now, queued)
	}
	for _, r := range queued {
		if _, ok := s.Requests[r.ID]; ok && r.Phase == PhaseQueued {
			placeRequest[P](s, now, r)
		}
	}
}

// dispatch sends a request to a backend server and counts it there.
func (s *State) dispatch(now time.Time, r *Request, b *Backend, service cataloguer.Service) {
	r.AwaitedAdapter = r.Phase == PhaseAwaitingAdapter
	if r.AwaitedAdapter {
		s.Counters.LoadStallMillis += uint64(now.Sub(r.WaitSince).Milliseconds())
		s.stopWaiting(r)
	}
	state, _ := s.sendState(now, b)
	s.recordSlowStartDispatch(now, r, b)
	s.spendThrottle(now, b)
	r.Phase = PhaseRunning
	r.Backend = b.Info.ID
	r.Attempt++
	r.SentAt, r.RespondedAt = now, time.Time{}
	r.PrefillTokens = s.uncachedTokens(now, r, b)
	r.Uncontended = s.uncontended(now, b)
	b.LastDispatchAt = now
	s.InUse[b.Info.ID] = true
	b.Running++
	b.Tokens += r.Tokens
	b.PrefillTokens += r.PrefillTokens
	if service.Engine != nil {
		b.SentPrompts.Record(now, r.promptPrefixes())
	}
	if r.Adapter.Adapter != "" && service.Engine != nil {
		adapter := b.residency(r.Adapter)
		adapter.Running++
		adapter.DispatchCount++
		s.markUseChanged(now, b, adapter, adapter.Running == 1)
	}
	s.Counters.Dispatches++
	s.logEvent(EventRequestSent, s.requestFields(now, r, Field{"server_state", state.String()}, intField("running", b.Running), intField("others_running", b.OtherHosts.Running),
		intField("prefill_tokens", r.PrefillTokens), Field{"content", r.loggedContent()},
		ageField("confirmed_age_ms", now, s.Watch.ConfirmedAt))...)
	s.emit(Dispatch{
		ID: r.ID, Attempt: r.Attempt, Backend: b.Info.ID, Address: b.Info.Address, Account: r.Account, Priority: s.dispatchPriority(now, r, service),
		Version: r.Version, Stream: r.Route.RetryPolicy == cataloguer.RetryStream, Resumable: r.Route.Resumable,
		Deadline: r.Deadline, ResponseHeaderTimeout: s.responseHeaderTimeout(r, b), StreamIdleTimeout: s.streamIdleTimeout(r),
		MaxConnections: s.connectionLimit(now, service),
	})
}

// markUseChanged marks an adapter's use as changed, and reports it to the lease holder at once if immediate is set: when the first request
// begins, when the last one ends, and when a response verifies the adapter.
func (s *State) markUseChanged(now time.Time, b *Backend, adapter *Residency, immediate bool) {
	adapter.UsageUnreported = true
	if immediate {
		sendUsage(s, now, b, false)
	}
}

// connectionLimit returns this host's share of the connections that a backend server accepts; 0 for no limit.
func (s *State) connectionLimit(now time.Time, service cataloguer.Service) int {
	if service.MaxConnections <= 0 {
		return 0
	}
	return max(service.MaxConnections*sharedConnectionPercent/100/s.shareCount(now), 2)
}

// sharedConnectionPercent is the percentage of a backend server's connections that is divided among the known hosts; the rest is for hosts
// that this host does not know yet.
const sharedConnectionPercent = 80

// responseHeaderTimeout returns the time limit for the response header of a request that may run again; 0 for none.
func (s *State) responseHeaderTimeout(r *Request, b *Backend) time.Duration {
	if !s.mayRetry(r) || r.PossibleRuns+1 >= r.Route.MaxAttempts {
		return 0
	}
	if r.Route.RetryPolicy == cataloguer.RetryStream {
		// An engine prefills the prompt before its response begins; a retry while it is busy with that would waste the work.
		return 2*r.Route.LatencyTarget + headerTimeoutLatencies*b.MeanLatency
	}
	return max(r.Route.LatencyTarget/2, headerTimeoutLatencies*b.MeanLatency)
}

// streamIdleTimeout returns the time limit between two events of a stream that another backend server may resume; 0 for none.
func (s *State) streamIdleTimeout(r *Request) time.Duration {
	if r.Route.RetryPolicy != cataloguer.RetryStream || !r.Route.Resumable || r.PossibleRuns+1 >= r.Route.MaxAttempts {
		return 0
	}
	return max(2*r.Route.StreamGapTarget, minStreamIdleTimeout)
}

// minStreamIdleTimeout is the shortest time without an event after which a stream is treated as interrupted.
const minStreamIdleTimeout = time.Second

// headerTimeoutLatencies is the multiple of a backend server's mean latency after which a request that may run again is retried.
const headerTimeoutLatencies = 6
