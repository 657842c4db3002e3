package reducer

import (
	"slices"
	"strconv"
	"time"

	"github.com/redwingpick/redwingpick/internal/selector"
	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// arrive admits a request or refuses it.
func arrive[P selector.Policy](s *State, now time.Time, e RequestArrived) {
	s.Counters.RequestsArrived++
	r := &Request{
		ID: e.ID, CallerID: e.CallerID, Connection: e.Connection, Adapter: AdapterKey{Model: e.Model, Adapter: e.Adapter}, ArrivedAt: e.At,
		PromptTokens: e.PromptTokens, Tokens: e.PromptTokens + e.OutputTokens, Parts: e.Parts,
		Phase: PhaseQueued, WaitSince: now,
	}
	if s.Documents.Catalogue == nil {
		refuse(s, now, r, ReasonNoCatalogue, refusedRetryWait)
		return
	}
	route, ok := s.Documents.Catalogue.Find(e.HostName, e.Path)
	if !ok {
		refuse(s, now, r, ReasonNoRoute, 0)
		return
	}
	r.Route = route
	name, known := s.Documents.Keys[e.Key]
	if !known && !route.Open && len(s.Documents.Accounts) > 0 {
		refuse(s, now, r, ReasonNoKey, 0)
		return
	}
	r.Account = name
	r.Priority = route.Priority
	if known {
		account := s.Documents.Accounts[name]
		if account.Priority >= 0 {
			r.Priority = account.Priority
		}
		r.Cost = account.Cost(r.Tokens)
	}
	r.Deadline = e.At.Add(timeLeft(e, route))
	r.Service = s.pickService(route)
	s.earnRetry(now, r.Service)
	s.Requests[r.ID] = r
	if known && !charge(s, now, r, s.Documents.Accounts[name]) {
		r.Phase = PhaseTokens
		return
	}
	place[P](s, now, r)
}

// timeLeft is how long the caller may be kept waiting.
func timeLeft(e RequestArrived, route cataloguer.Route) time.Duration {
	if e.TimeLeft <= 0 || route.Timeout > 0 && route.Timeout < e.TimeLeft {
		return route.Timeout
	}
	return e.TimeLeft
}

// pickService draws one of the route's services by weight.
func (s *State) pickService(route cataloguer.Route) string {
	total := 0.0
	for _, share := range route.Split {
		total += share.Weight
	}
	drawn := float64(s.random()>>11) / (1 << 53) * total
	for _, share := range route.Split {
		drawn -= share.Weight
		if drawn < 0 {
			return share.Service
		}
	}
	if len(route.Split) == 0 {
		return ""
	}
	return route.Split[len(route.Split)-1].Service
}

// refuse ends a request with an answer of this host.
func refuse(s *State, now time.Time, r *Request, reason Reason, retryAfter time.Duration) {
	s.Counters.RefusedByReason[reason]++
	s.logEvent(EventRequestRefused, s.requestFields(now, r, Field{"reason", reason.String()}, boolField("may_have_run", r.PossibleRuns > 0),
		msField("retry_after_ms", retryAfter), Field{"last_failure", r.LastFailure.String()})...)
	s.emit(Refuse{ID: r.ID, Reason: reason, MayHaveRun: r.PossibleRuns > 0, RetryAfter: retryAfter})
	s.endRequest(now, r, "refused_"+reason.String())
}

// requestFields are the fields that each line of a request bears.
func (s *State) requestFields(now time.Time, r *Request, more ...Field) []Field {
	fields := []Field{{"request", r.CallerID}, {"connection", r.Connection}, {"route", r.Route.Name}, msField("age_ms", now.Sub(r.ArrivedAt)), {"backend_server", r.Backend},
		{"adapter", r.Adapter.Adapter}, {"account", r.Account}, intField("attempt", r.Attempt)}
	return append(fields, more...)
}

// requestShed counts and notes a request that was refused before it came to this state.
func requestShed(s *State, now time.Time, e RequestShed) {
	s.Counters.RefusedByReason[e.Reason]++
	r := &Request{CallerID: e.CallerID, Connection: e.Connection, ArrivedAt: e.At}
	s.logEvent(EventRequestRefused, s.requestFields(now, r, Field{"reason", e.Reason.String()}, boolField("may_have_run", false))...)
	s.measure(now, r, "refused_"+e.Reason.String())
}

// measure tells how long a request took, by what bounds the number of names.
func (s *State) measure(now time.Time, r *Request, outcome string) {
	s.emit(RequestMeasured{Kind: r.Route.RetryPolicy.String(), Service: r.Service, Outcome: outcome, Took: now.Sub(r.ArrivedAt)})
}

// endRequest forgets a request, takes it out of everything that counts it and measures it under its outcome.
func (s *State) endRequest(now time.Time, r *Request, outcome string) {
	s.measure(now, r, outcome)
	s.leaveBackend(now, r)
	s.stopWaiting(r)
	delete(s.Requests, r.ID)
}

// stopWaiting takes a request out of those that wait for an adapter.
func (s *State) stopWaiting(r *Request) {
	b, ok := s.Backends[r.Backend]
	if !ok || r.Phase != PhaseLoading {
		return
	}
	if p, ok := b.Adapters[r.Adapter]; ok {
		p.Waiting = slices.DeleteFunc(p.Waiting, func(id string) bool { return id == r.ID })
	}
}

// abandon ends a request whose caller is gone.
func abandon(s *State, now time.Time, e RequestAbandoned) {
	r, ok := s.Requests[e.ID]
	if !ok {
		return
	}
	s.Counters.RequestsAbandoned++
	s.logEvent(EventCallerDisconnected, s.requestFields(now, r)...)
	s.endRequest(now, r, "caller_left")
}

// responseStarted notes the first piece of an answer.
func responseStarted(s *State, now time.Time, e ResponseStarted) {
	r, ok := s.Requests[e.ID]
	if !ok || r.Phase != PhaseRunning || r.Attempt != e.Attempt {
		return
	}
	r.Phase = PhaseResponding
	b, ok := s.Backends[r.Backend]
	if !ok {
		return
	}
	if p, ok := b.Adapters[r.Adapter]; ok && p.Stage != StageAbsent {
		p.Stage = StageReady
		p.KnownAt = now
		if !p.Verified && r.Version >= p.Version {
			p.Verified = true
			p.Served = true
			p.ServedVersion = r.Version
			s.useChanged(now, b, p, true)
		}
	}
	b.learnLatency(e.Latency)
	s.learnPrefill(b, r, e.Latency)
	b.Prefill -= r.Prefill
	r.Prefill = 0
}

// latencyWeight is the weight of a new sample in a running mean.
const latencyWeight = 0.1

func (b *Backend) learnLatency(took time.Duration) {
	if b.Latency == 0 {
		b.Latency = took
		return
	}
	b.Latency += time.Duration(latencyWeight * float64(took-b.Latency))
}

// smallPrefill is the least prompt tokens from which the reading rate of a backend server can be told.
const smallPrefill = 1500

// learnPrefill takes the reading rate from a request that had to itself what there was to read.
func (s *State) learnPrefill(b *Backend, r *Request, took time.Duration) {
	if r.Prefill < smallPrefill || b.Prefill > r.Prefill || b.OtherHosts.Prefill > 0 || took <= 0 {
		return
	}
	v := s.service(b.Info.Service)
	v.PrefillRate += latencyWeight * (float64(r.Prefill)/took.Seconds() - v.PrefillRate)
}

// dispatchEnded ends the request or decides how it goes on.
func dispatchEnded[P selector.Policy](s *State, now time.Time, e DispatchEnded) {
	s.Counters.MismatchedResponses += uint64(e.Mismatched)
	r, ok := s.Requests[e.ID]
	if !ok || r.Attempt != e.Attempt {
		return
	}
	b, known := s.Backends[e.Backend]
	if known {
		s.learnOutcome(now, b, r, e)
	}
	s.leaveBackend(now, r)
	if !e.Outcome.NotRun() {
		r.PossibleRuns++
	}
	r.Delivered = r.Delivered || e.Delivered
	if e.Outcome == OutcomeDone {
		s.Counters.RequestsDone++
		s.logEvent(EventRequestEnded, s.requestFields(now, r, intField("status", e.Status), msField("took_ms", e.Took))...)
		s.endRequest(now, r, "answered_"+strconv.Itoa(e.Status))
		return
	}
	s.logEvent(EventAttemptFailed, s.requestFields(now, r, Field{"outcome", e.Outcome.String()}, intField("status", e.Status),
		msField("took_ms", e.Took), boolField("delivered", e.Delivered))...)
	goOn[P](s, now, r, e)
}

// leaveBackend takes a request off the counts of its backend server.
func (s *State) leaveBackend(now time.Time, r *Request) {
	if r.Phase != PhaseRunning && r.Phase != PhaseResponding {
		return
	}
	r.Phase = PhaseQueued
	r.WaitSince = now
	b, ok := s.Backends[r.Backend]
	if !ok || b.SeenAt.After(r.SentAt) {
		return
	}
	b.Running--
	b.Tokens -= r.Tokens
	b.Prefill -= r.Prefill
	r.Prefill = 0
	if p, ok := b.Adapters[r.Adapter]; ok {
		p.Running--
		s.useChanged(now, b, p, p.Running == 0)
	}
}

// learnOutcome takes what an exchange tells of the backend server.
func (s *State) learnOutcome(now time.Time, b *Backend, r *Request, e DispatchEnded) {
	if e.Load.Known {
		b.Reported = e.Load
		b.ReportedAt = now
	}
	switch e.Outcome {
	case OutcomeDone, OutcomeFailed:
		s.works(b)
	case OutcomeNotSent, OutcomeBroken, OutcomeTimeout:
		s.fails(now, b, 1)
	case OutcomeFull:
		s.fails(now, b, fullWeight)
	case OutcomeMisdirected:
		b.EjectedUntil = later(b.EjectedUntil, now.Add(misdirectedPause))
	case OutcomeNotLoaded:
		s.adapterMissing(now, b, r)
	}
}

// fullWeight is what a refusal for lack of room counts as a failure, and misdirectedPause how long a backend server is left
// alone whose address another one has.
const (
	fullWeight       = 0.5
	misdirectedPause = time.Second
)

// adapterMissing notes that an adapter is not there; shortly after its load was expected to end, it is still on its way.
func (s *State) adapterMissing(now time.Time, b *Backend, r *Request) {
	p := b.residency(r.Adapter)
	missed := p.Stage != StageAbsent && !p.Verified && now.Sub(p.ReadyAt) < loadOverrun
	markAbsent(now, b, r.Adapter)
	p = b.residency(r.Adapter)
	p.KnownAt = now
	p.Overdue = missed
	p.AskedAt = time.Time{}
}

// loadOverrun is the time after its expected end for which a load may still be under way.
const loadOverrun = 1500 * time.Millisecond

// goOn decides what becomes of a request whose last attempt failed.
func goOn[P selector.Policy](s *State, now time.Time, r *Request, e DispatchEnded) {
	if e.Delivered && !r.Route.Resumable {
		s.Counters.RequestsFailed++
		refuse(s, now, r, ReasonBroken, 0)
		return
	}
	if !e.Outcome.NotRun() && !s.mayRetry(r) {
		s.giveUp(now, r, e)
		return
	}
	if e.Outcome != OutcomeNotSent && !s.spendRetry(r.Service) {
		r.LastFailure = ReasonRetryBudget
		s.giveUp(now, r, e)
		return
	}
	if e.Outcome != OutcomeNotLoaded && !slices.Contains(r.Tried, e.Backend) {
		r.Tried = append(r.Tried, e.Backend)
	}
	s.Counters.Retries++
	if r.Delivered {
		s.Counters.Resumes++
	}
	if e.Outcome == OutcomeFull {
		r.RetryAt = now.Add(s.jitter(retryPause))
		s.wakeAt(r.RetryAt)
		return
	}
	place[P](s, now, r)
}

// mayRetry reports whether a request that may have run may run again.
func (s *State) mayRetry(r *Request) bool {
	if r.PossibleRuns >= r.Route.MaxAttempts {
		return false
	}
	return r.Route.RetryPolicy == cataloguer.RetrySafe || r.Route.RetryPolicy == cataloguer.RetryStream && r.Route.Resumable
}

// giveUp ends a request with the best true answer: the backend server's own failure, or this host's.
func (s *State) giveUp(now time.Time, r *Request, e DispatchEnded) {
	s.Counters.RequestsFailed++
	if e.Outcome == OutcomeFailed && !r.Delivered {
		s.logEvent(EventRequestEnded, s.requestFields(now, r, intField("status", e.Status), msField("took_ms", e.Took))...)
		s.emit(DeliverFailure{ID: r.ID})
		s.endRequest(now, r, "answered_"+strconv.Itoa(e.Status))
		return
	}
	if e.Outcome.NotRun() {
		s.refuseWaiting(now, r, reasonOf(e.Outcome))
		return
	}
	refuse(s, now, r, ReasonBroken, 0)
}

func reasonOf(outcome Outcome) Reason {
	switch outcome {
	case OutcomeFull:
		return ReasonFull
	case OutcomeNotLoaded:
		return ReasonNotLoaded
	}
	return ReasonNoBackend
}

// earnRetry counts a request towards the repeats that its service bears.
func (s *State) earnRetry(now time.Time, service string) {
	b := &s.service(service).Retries
	burst := max(s.Limits.RetrySlack*retrySlackShare/float64(s.shareCount(now)), 1)
	if b.Burst == 0 {
		b.Level = burst
	}
	b.Burst = burst
	b.Level = min(b.Level+s.Limits.RetryRatio, burst)
}

func (s *State) spendRetry(service string) bool {
	b := &s.service(service).Retries
	if b.Level < 1 {
		return false
	}
	b.Level--
	return true
}

// tickRequests ends requests whose time is over and places those that wait.
func tickRequests[P selector.Policy](s *State, now time.Time) {
	for _, id := range sortedKeys(s.Requests) {
		if r, ok := s.Requests[id]; ok && !now.Before(r.Deadline) {
			expire(s, now, r)
		}
	}
	wakeLoaded[P](s, now)
	placeWaiting[P](s, now)
}

// expire gives the final answer at the end of the time that the caller may be kept waiting.
func expire(s *State, now time.Time, r *Request) {
	if r.Phase == PhaseRunning || r.Phase == PhaseResponding {
		r.PossibleRuns++
		s.emit(Cancel{ID: r.ID, Reason: ReasonTimeout})
	}
	s.Counters.RequestsFailed++
	refuse(s, now, r, ReasonTimeout, refusedRetryWait)
}
