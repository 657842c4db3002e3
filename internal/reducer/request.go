package reducer

import (
	"slices"
	"strconv"
	"time"

	"github.com/redwingpick/redwingpick/internal/selector"
	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// requestArrived routes a request, charges its account and places it, or refuses it.
func requestArrived[P selector.Policy](s *State, now time.Time, e RequestArrived) {
	s.Counters.RequestsArrived++
	r := newRequest(now, e)
	if s.refusesArrivals(now) {
		refuse(s, now, r, ReasonDraining, drainRetryAfter)
		return
	}
	if s.Documents.Catalogue == nil {
		refuse(s, now, r, ReasonNoCatalogue, s.spreadArrival(e.TimeLeft))
		return
	}
	route, ok := s.Documents.Catalogue.MatchRoute(e.HostName, e.Path)
	if !ok {
		refuse(s, now, r, ReasonNoRoute, 0)
		return
	}
	r.Route = route
	name, known := s.Documents.Keys[e.Key]
	if !known && !route.Anonymous && len(s.Documents.Accounts) > 0 {
		refuse(s, now, r, ReasonNoKey, 0)
		return
	}
	s.assignAccount(r, e, name, known)
	s.depositRetry(now, r.Service)
	s.Requests[r.ID] = r
	if refuseQuarantined(s, now, r) {
		return
	}
	if s.mayOutlastDrain(now, r) {
		refuse(s, now, r, ReasonDraining, drainRetryAfter)
		return
	}
	if refuseEarlyReturn(s, now, r, e.TimeLeft) {
		return
	}
	if known && !chargeRequest(s, now, r, s.Documents.Accounts[name]) {
		r.Phase = PhaseAwaitingTokens
		return
	}
	placeArrived[P](s, now, r)
}

// newRequest returns the request that an arrival states, without a route.
func newRequest(now time.Time, e RequestArrived) *Request {
	return &Request{
		ID: e.ID, CallerID: e.CallerID, Connection: e.Connection, Adapter: AdapterKey{Model: e.Model, Adapter: e.Adapter}, ArrivedAt: e.At,
		PromptTokens: e.PromptTokens, Tokens: e.PromptTokens + e.OutputTokens, Parts: e.Parts, Fingerprint: e.Fingerprint,
		Phase: PhaseQueued, WaitSince: now, Admission: RequestAdmission{FirstAt: e.At},
	}
}

// assignAccount sets what a request's route and account decide: priority, cost, deadline and service.
func (s *State) assignAccount(r *Request, e RequestArrived, name string, known bool) {
	r.Account = name
	r.Priority = r.Route.Priority
	if known {
		account := s.Documents.Accounts[name]
		if account.Priority >= 0 {
			r.Priority = account.Priority
		}
		r.QuotaCost = account.Cost(r.Tokens)
	}
	r.Deadline = e.At.Add(timeLeft(e, r.Route))
	r.Service = s.pickService(r.Route)
}

// timeLeft returns the time limit of a request: the shorter of the caller's and the route's.
func timeLeft(e RequestArrived, route cataloguer.Route) time.Duration {
	if e.TimeLeft <= 0 || route.Timeout > 0 && route.Timeout < e.TimeLeft {
		return route.Timeout
	}
	return e.TimeLeft
}

// pickService selects one of the route's services at random by weight.
func (s *State) pickService(route cataloguer.Route) string {
	total := 0.0
	for _, share := range route.TrafficSplit {
		total += share.Weight
	}
	drawn := float64(s.random()>>11) / (1 << 53) * total
	for _, share := range route.TrafficSplit {
		drawn -= share.Weight
		if drawn < 0 {
			return share.Service
		}
	}
	if len(route.TrafficSplit) == 0 {
		return ""
	}
	return route.TrafficSplit[len(route.TrafficSplit)-1].Service
}

// refuse ends a request with a response from this host.
func refuse(s *State, now time.Time, r *Request, reason Reason, retryAfter time.Duration) {
	s.Counters.RefusedByReason[reason]++
	s.logEvent(EventRequestRefused, s.requestFields(now, r, Field{"service", r.Service}, Field{"reason", reason.String()}, boolField("may_have_run", r.PossibleRuns > 0),
		msField("retry_after_ms", retryAfter), Field{"last_failure", r.LastFailure.String()}, Field{"content", r.QuarantinedContent})...)
	s.emit(Refuse{ID: r.ID, Reason: reason, MayHaveRun: r.PossibleRuns > 0, RetryAfter: retryAfter})
	s.endRequest(now, r, "refused_"+reason.String())
}

// requestFields returns the fields of each log line about a request, followed by more.
func (s *State) requestFields(now time.Time, r *Request, more ...Field) []Field {
	fields := []Field{{"request", r.CallerID}, {"connection", r.Connection}, {"route", r.Route.Name}, msField("age_ms", now.Sub(r.ArrivedAt)),
		{"backend_server", r.Backend}, {"adapter", r.Adapter.Adapter}, {"account", r.Account}, intField("attempt", r.Attempt)}
	return append(fields, more...)
}

// requestShed counts and logs a request that was rejected before it reached the reducer.
func requestShed(s *State, now time.Time, e RequestShed) {
	s.Counters.RefusedByReason[e.Reason]++
	r := &Request{CallerID: e.CallerID, Connection: e.Connection, ArrivedAt: e.At}
	s.logEvent(EventRequestRefused, s.requestFields(now, r, Field{"reason", e.Reason.String()}, boolField("may_have_run", false))...)
	s.recordLatency(now, r, "refused_"+e.Reason.String())
}

// recordLatency records the latency of a request under its retry policy, service and outcome, which bound the number of names.
func (s *State) recordLatency(now time.Time, r *Request, outcome string) {
	s.emit(RecordLatency{Kind: r.Route.RetryPolicy.String(), Service: r.Service, Outcome: outcome, Took: now.Sub(r.ArrivedAt)})
}

// endRequest deletes a request, removes it from all counts and records its latency under its outcome.
func (s *State) endRequest(now time.Time, r *Request, outcome string) {
	s.recordLatency(now, r, outcome)
	s.detachBackend(now, r)
	s.stopWaiting(r)
	delete(s.Requests, r.ID)
	s.requestTried(now, r)
}

// stopWaiting removes a request from those that wait for an adapter.
func (s *State) stopWaiting(r *Request) {
	b, ok := s.Backends[r.Backend]
	if !ok || r.Phase != PhaseAwaitingAdapter {
		return
	}
	if adapter, ok := b.Adapters[r.Adapter]; ok {
		adapter.Waiting = slices.DeleteFunc(adapter.Waiting, func(id string) bool { return id == r.ID })
	}
}

// requestAbandoned ends a request whose caller has disconnected.
func requestAbandoned(s *State, now time.Time, e RequestAbandoned) {
	r, ok := s.Requests[e.ID]
	if !ok {
		return
	}
	s.Counters.RequestsAbandoned++
	s.keepCanceled(now, r)
	s.logEvent(EventCallerDisconnected, s.requestFields(now, r)...)
	s.endRequest(now, r, "caller_left")
}

// responseStarted handles the first piece of a response, which verifies the adapter and gives latency and prefill rate samples.
func responseStarted(s *State, now time.Time, e ResponseStarted) {
	r, ok := s.Requests[e.ID]
	if !ok || r.Phase != PhaseRunning || r.Attempt != e.Attempt {
		return
	}
	r.Phase = PhaseResponding
	r.RespondedAt = now
	b, ok := s.Backends[r.Backend]
	if !ok || b.FirstSeenAt.After(r.SentAt) {
		return
	}
	s.recordNotice(now, b, e.Notice)
	s.recordRateLimit(now, b, e.Notice)
	s.recordAnswer(now, b, r, e.Latency)
	if adapter, ok := b.Adapters[r.Adapter]; ok && adapter.Stage != StageAbsent {
		adapter.Stage = StageReady
		adapter.UpdatedAt = now
		if !adapter.Verified && r.Version >= adapter.Version {
			adapter.Verified = true
			adapter.VerificationUnreported = true
			adapter.VerifiedVersion = r.Version
			s.markUseChanged(now, b, adapter, true)
		}
	}
	b.updateLatency(e.Latency)
	s.updatePrefillRate(b, r, e.Latency)
	s.recordPace(now, b, r, e)
	b.PrefillTokens -= r.PrefillTokens
	r.PrefillTokens = 0
}

// sampleWeight is the weight of a new sample in the moving averages of latency and prefill rate.
const sampleWeight = 0.1

// updateLatency adds a sample to the moving average of the time to the first piece of a response.
func (b *Backend) updateLatency(took time.Duration) {
	if b.MeanLatency == 0 {
		b.MeanLatency = took
		return
	}
	b.MeanLatency += time.Duration(sampleWeight * float64(took-b.MeanLatency))
}

// minPrefillSample is the least number of prefill tokens from which the prefill rate of a backend server is measured.
const minPrefillSample = 1500

// updatePrefillRate adds a sample to the service's prefill rate if no other request was in prefill on the backend server, as far as known.
func (s *State) updatePrefillRate(b *Backend, r *Request, took time.Duration) {
	if r.PrefillTokens < minPrefillSample || b.PrefillTokens > r.PrefillTokens || b.OtherHosts.PrefillTokens > 0 || took <= 0 {
		return
	}
	service := s.service(b.Info.Service)
	service.PrefillRate += sampleWeight * (float64(r.PrefillTokens)/took.Seconds() - service.PrefillRate)
}

// dispatchEnded handles the end of an attempt: it ends the request, retries it or refuses it.
func dispatchEnded[P selector.Policy](s *State, now time.Time, e DispatchEnded) {
	s.Counters.MismatchedResponses += uint64(e.Mismatched)
	r, ok := s.Requests[e.ID]
	if !ok || r.Attempt != e.Attempt {
		return
	}
	if b, known := s.Backends[e.Backend]; known {
		s.recordAttempt(now, b, r, e)
	}
	s.detachBackend(now, r)
	if !e.Outcome.NotRun() {
		r.PossibleRuns++
	}
	r.Delivered = r.Delivered || e.Delivered
	if e.Outcome == OutcomeDone {
		s.returnReserved(r)
		s.Counters.RequestsDone++
		s.recordTimeliness(now, r, e)
		if b, known := s.Backends[e.Backend]; known {
			s.recordDecode(now, b, r, e)
		}
		s.logEvent(EventRequestEnded, s.requestFields(now, r, intField("status", e.Status), msField("took_ms", e.Took),
			msField("first_ms", r.RespondedAt.Sub(r.ArrivedAt)), msField("longest_gap_ms", e.LongestGap))...)
		s.endRequest(now, r, "answered_"+strconv.Itoa(e.Status))
		requestDone[P](s, now, r)
		return
	}
	s.logEvent(EventAttemptFailed, s.requestFields(now, r, Field{"outcome", e.Outcome.String()}, intField("status", e.Status),
		msField("took_ms", e.Took), boolField("delivered", e.Delivered), boolField("disconnected", e.Disconnected), intField("events", e.Events),
		Field{"content", r.loggedContent()})...)
	retryOrFail[P](s, now, r, e)
}

// recordAttempt records the outcome of an attempt, unless it was sent before the present incarnation of its server was seen. Such an attempt may
// have reached that incarnation all the same, at the address of the former one, and have crashed it.
func (s *State) recordAttempt(now time.Time, b *Backend, r *Request, e DispatchEnded) {
	switch {
	case !b.FirstSeenAt.After(r.SentAt):
		s.recordOutcome(now, b, r, e)
	case e.Disconnected && !s.isEngine(b):
		s.recordLoss(now, b, r, e)
	}
}

// recordTimeliness counts an answer that came late: its first response after the target, or an event after the stream gap target.
func (s *State) recordTimeliness(now time.Time, r *Request, e DispatchEnded) {
	started := r.RespondedAt
	if started.IsZero() {
		started = now
	}
	if r.Route.LatencyTarget > 0 && started.Sub(r.ArrivedAt) > r.Route.LatencyTarget {
		s.Counters.LateResponses++
	}
	if r.Route.StreamGapTarget > 0 && e.LongestGap > r.Route.StreamGapTarget {
		s.Counters.SlowStreams++
	}
}

// detachBackend removes a request from the counts of its backend server and queues it.
func (s *State) detachBackend(now time.Time, r *Request) {
	if r.Phase != PhaseRunning && r.Phase != PhaseResponding {
		return
	}
	unanswered := r.Phase == PhaseRunning
	r.Phase = PhaseQueued
	r.WaitSince = now
	b, ok := s.Backends[r.Backend]
	if !ok || b.FirstSeenAt.After(r.SentAt) {
		return
	}
	s.recordOccupancy(now, r, b)
	if unanswered {
		s.recordUnanswered(now, b, r)
	}
	b.Running--
	b.Tokens -= r.Tokens
	b.PrefillTokens -= r.PrefillTokens
	r.PrefillTokens = 0
	if adapter, ok := b.Adapters[r.Adapter]; ok {
		adapter.Running--
		s.markUseChanged(now, b, adapter, adapter.Running == 0)
	}
}

// recordOutcome updates the state of the backend server from the outcome of an attempt.
func (s *State) recordOutcome(now time.Time, b *Backend, r *Request, e DispatchEnded) {
	s.recordNotice(now, b, e.Notice)
	if r.RespondedAt.IsZero() {
		// The header of a response that has begun was recorded then: at its end it is old.
		s.recordRateLimit(now, b, e.Notice)
	}
	if !s.Limits.Adaptive.Pace || r.RespondedAt.IsZero() {
		s.recordLoad(now, b, e.Load)
	}
	switch e.Outcome {
	case OutcomeDone:
		s.recordSuccess(b)
		s.recordSoundContent(now, r)
		s.recordStay(b, e.Took)
	case OutcomeFailed:
		s.recordSuccess(b)
	case OutcomeNotSent, OutcomeBroken, OutcomeTimeout:
		s.recordStartFailure(now, b, r)
		s.recordFailure(now, b, 1)
		if e.Disconnected {
			s.recordLoss(now, b, r, e)
		}
	case OutcomeFull:
		s.recordStartRefusal(now, b, r)
		s.recordFailure(now, b, fullFailureWeight)
	case OutcomeMisdirected:
		b.EjectedUntil = later(b.EjectedUntil, now.Add(misdirectedEjectionTime))
	case OutcomeNotLoaded:
		s.recordNotLoaded(now, b, r)
	}
}

const (
	// fullFailureWeight is the weight of a rejection for lack of capacity in the failure rate, where a failure has weight 1.
	fullFailureWeight = 0.5
	// misdirectedEjectionTime is the ejection time of a backend server whose address another one has taken.
	misdirectedEjectionTime = time.Second
)

// recordNotLoaded records that an adapter is not resident.
//
// Shortly after the expected end of its load, the adapter is marked as overdue, since the load may still be running.
func (s *State) recordNotLoaded(now time.Time, b *Backend, r *Request) {
	adapter := b.residency(r.Adapter)
	overdue := adapter.Stage != StageAbsent && !adapter.Verified && now.Sub(adapter.ReadyAt) < maxLoadOverrun
	markAbsent(now, b, r.Adapter)
	adapter = b.residency(r.Adapter)
	adapter.UpdatedAt = now
	adapter.Overdue = overdue
	adapter.RequestedAt = time.Time{}
}

// maxLoadOverrun is the time after its expected end for which a load may still be running.
const maxLoadOverrun = 1500 * time.Millisecond

// tickRequests ends requests whose deadline has passed and places those that wait.
func tickRequests[P selector.Policy](s *State, now time.Time) {
	for _, id := range sortedKeys(s.Requests) {
		if r, ok := s.Requests[id]; ok && !now.Before(r.Deadline) {
			expireRequest(s, now, r)
		}
	}
	retryAdapterWaiters[P](s, now)
	placeQueued[P](s, now)
}

// expireRequest refuses a request at its deadline and cancels its attempt if one is running.
func expireRequest(s *State, now time.Time, r *Request) {
	s.cancelRequest(now, r, ReasonTimeout, defaultRetryAfter)
}

// cancelRequest cancels the attempt of a request, if one is running, and refuses the request.
func (s *State) cancelRequest(now time.Time, r *Request, reason Reason, retryAfter time.Duration) {
	s.Counters.RequestsFailed++
	if r.Phase == PhaseRunning || r.Phase == PhaseResponding {
		r.PossibleRuns++
		s.keepCanceled(now, r)
		s.emit(Cancel{ID: r.ID, Reason: reason})
	}
	refuse(s, now, r, reason, retryAfter)
}
