package reducer

import (
	"math"
	"strconv"
	"time"

	"github.com/redwingpick/redwingpick/internal/admitter"
	"github.com/redwingpick/redwingpick/internal/hasher"
	"github.com/redwingpick/redwingpick/internal/limiter"
	"github.com/redwingpick/redwingpick/internal/selector"
	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// ServiceAdmission is what a host keeps for the admission control of one service.
type ServiceAdmission struct {
	Returns admitter.Returns[uint64]
	Shares  admitter.Shares
	Urgency admitter.Urgency
	// Completions is the requests that ended with an answer per second on this host.
	Completions limiter.DecayingRate
	// Work is the prompt tokens per second that this host sent to be prefilled, by priority.
	Work [admitter.Priorities]limiter.DecayingRate
}

// RequestAdmission is the state of one request in the admission control.
type RequestAdmission struct {
	// FirstAt is when the request first arrived at this host; it is before its arrival if its caller was refused and has returned.
	FirstAt time.Time
	// Refusals is the number of promises to the caller, and Returned is set if it has kept to the last one.
	Refusals int
	Returned bool
	// Raised is set if the request's priority is raised by one.
	Raised bool
	// Late is set if no backend server is expected to respond within the target.
	Late bool
	// Expected is the least expected time to the first response.
	Expected time.Duration
}

const (
	// workHalfLife is the half-life of the rates by which a service's capacity is known: about the target of the slowest kind.
	workHalfLife = 2 * time.Second
	// contentionDivisor is the divisor of a target that gives the backlog from which requests compete for a server.
	contentionDivisor = 4
	// answerDivisor is the divisor of the time between arrival and deadline that gives the time needed after the first response.
	answerDivisor = 16
	// returnDivisor is the divisor of a caller's remaining time that gives the longest Retry-After that it follows.
	returnDivisor = 3
	// returnMargin covers the transfer of a refusal, after which the caller's remaining time is less.
	returnMargin = 5 * time.Millisecond
	// startSpread is the time after a start of all hosts over which the returns of refused callers are spread.
	startSpread = time.Second
	// minCompletionRate is the completions per second below which they say nothing about capacity.
	minCompletionRate = 1
)

// admits reports whether the admission control is on.
func (s *State) admits() bool { return s.Limits.Adaptive.Admission }

// returnKey identifies a request that a caller sends again after a refusal.
func (r *Request) returnKey() uint64 {
	return hasher.Mix(r.contentKey() ^ hasher.Key(r.Account+"/"+r.Route.Name+"/"+r.Adapter.Adapter+"/"+strconv.Itoa(r.Tokens)))
}

// refuseEarlyReturn records the arrival of a request. It refuses the request and reports true if its caller was told to return later.
func refuseEarlyReturn(s *State, now time.Time, r *Request) bool {
	if !s.admits() {
		return false
	}
	a := &s.service(r.Service).Admission
	promise, early, ok := a.Returns.Due(now, r.returnKey())
	if ok && early {
		left := promise.DueAt.Sub(now)
		s.Counters.EarlyReturns++
		s.logEvent(EventEarlyReturn, s.requestFields(now, r, msField("due_in_ms", left), msField("promised_age_ms", now.Sub(promise.PromisedAt)))...)
		refuse(s, now, r, ReasonFull, left)
		return true
	}
	if ok {
		r.Admission = RequestAdmission{FirstAt: promise.FirstAt, Refusals: promise.Refusals, Returned: true}
		s.Counters.ReturnsKept++
		s.logEvent(EventCallerReturned, s.requestFields(now, r, msField("late_ms", now.Sub(promise.DueAt)),
			msField("first_age_ms", now.Sub(promise.FirstAt)), intField("refusals", promise.Refusals))...)
	}
	a.Urgency.Arrived(r.Priority, float64(r.Tokens))
	a.Shares.Record(now, r.Account, r.Priority, r.cost())
	return false
}

// cost returns the work that a request needs, in tokens; a call without tokens counts as one.
func (r *Request) cost() float64 { return float64(max(r.Tokens, 1)) }

// dispatchPriority returns the priority that a request has at its backend server; negative for none. It records the work that is sent.
func (s *State) dispatchPriority(now time.Time, r *Request, service cataloguer.Service) int {
	if !s.admits() {
		return noPriority
	}
	priority := s.raisedPriority(now, r)
	s.service(r.Service).Admission.Work[priority].Add(now, float64(r.PrefillTokens), workHalfLife)
	if r.Admission.Late && r.Attempt == 1 {
		s.Counters.LateAdmissions++
		s.logEvent(EventLateAdmission, s.requestFields(now, r, intField("priority", priority), msField("expected_ms", r.Admission.Expected),
			msField("target_ms", r.Route.LatencyTarget), msField("time_left_ms", r.Deadline.Sub(now)))...)
	}
	if service.Engine == nil {
		return noPriority
	}
	return priority
}

// noPriority is the priority of a dispatch without one.
const noPriority = -1

// raisedPriority returns a request's priority, which is raised by one if it has waited long and the credit of its kind allows that. The largest
// requests are raised earlier, since small ones find capacity before them.
func (s *State) raisedPriority(now time.Time, r *Request) int {
	urgency := &s.service(r.Service).Admission.Urgency
	patience := r.Route.LatencyTarget / 2
	if urgency.Large(r.Priority, float64(r.Tokens)) {
		patience = r.Route.LatencyTarget / 4
	}
	if !r.Admission.Raised && (r.Admission.Returned || now.Sub(r.Admission.FirstAt) > patience) && urgency.Raise(r.Priority) {
		r.Admission.Raised = true
		s.Counters.PriorityRaises++
	}
	priority := min(r.Priority, admitter.Priorities-1)
	if r.Admission.Raised {
		priority--
	}
	return max(priority, 0)
}

// admissible removes the candidates on which a request should not wait, and refuses the request and reports true if none is left.
//
// A request goes nowhere if the response would begin too late for the deadline. One that has not been refused before also yields where it
// would miss its target because others wait: those can still be in time, and it can return when they are served.
func (s *State) admissible(now time.Time, r *Request, candidates []selector.Candidate) (left []selector.Candidate, refused bool) {
	if !s.admits() || r.Attempt > 0 || len(candidates) == 0 {
		return candidates, false
	}
	best, reason := time.Duration(math.MaxInt64), ReasonNone
	r.Admission.Late = true
	for _, c := range candidates {
		b := s.Backends[c.Backend]
		expected := s.expectedResponse(now, r, b, c.Delay)
		late := s.wouldMissTarget(now, r, b, expected)
		if expected < best {
			best, reason = expected, s.missingOn(now, r, b)
			r.Admission.Expected = expected
		}
		if now.Add(expected).After(r.lastStart()) || late && !r.Admission.Returned && s.yields(now, r, b, expected) {
			continue
		}
		r.Admission.Late = r.Admission.Late && late
		left = append(left, c)
	}
	if len(left) > 0 {
		return left, false
	}
	s.stopWaiting(r)
	r.Phase = PhaseQueued
	s.refuseUnplaced(now, r, reason)
	return nil, true
}

// lastStart returns the time by which the response must begin to be complete at the deadline.
func (r *Request) lastStart() time.Time {
	return r.Deadline.Add(-r.Deadline.Sub(r.ArrivedAt) / answerDivisor)
}

// missingOn returns the reason for refusing a request that a server can not take in time.
func (s *State) missingOn(now time.Time, r *Request, b *Backend) Reason {
	if r.Adapter.Adapter != "" && s.isEngine(b) && s.needsAdapterLoad(now, r, b) {
		r.Backend = b.Info.ID
		return ReasonNotLoaded
	}
	return ReasonFull
}

// yields reports whether a request that would be late on a server leaves it to others: to those that wait there for their adapters, or to a
// backlog of requests that are as urgent or more.
//
// The backlog is compared with the longest target of the kinds that are as urgent or less, so that an urgent request is not refused while a less
// urgent one with a longer target is admitted. An account above its share yields to a shorter backlog.
func (s *State) yields(now time.Time, r *Request, b *Backend, expected time.Duration) bool {
	if r.Phase == PhaseAwaitingAdapter {
		return false
	}
	if s.adapterContended(now, r, b) {
		return true
	}
	backlog := s.backlogAhead(now, r, b)
	if backlog <= r.Route.LatencyTarget/contentionDivisor {
		return false
	}
	deficit := s.service(r.Service).Admission.Shares.Deficit(now, r.Account, r.Priority)
	return deficit < -1 || now.Sub(r.ArrivedAt)+expected > s.longestTarget(r)
}

// longestTarget returns the longest target of the routes of the request's service that are as urgent as the request or less.
func (s *State) longestTarget(r *Request) time.Duration {
	longest := r.Route.LatencyTarget
	if s.Documents.Catalogue == nil {
		return longest
	}
	for _, route := range s.Documents.Catalogue.Routes {
		for _, share := range route.TrafficSplit {
			if share.Service == r.Service && route.Priority >= r.Priority {
				longest = max(longest, route.LatencyTarget)
			}
		}
	}
	return longest
}

// adapterContended reports whether a request needs its adapter loaded on a server where others, as urgent or more, wait for other adapters and
// can still be in time.
func (s *State) adapterContended(now time.Time, r *Request, b *Backend) bool {
	if r.Adapter.Adapter == "" || !s.isEngine(b) || !s.needsAdapterLoad(now, r, b) {
		return false
	}
	for _, other := range s.Requests {
		if other.Phase == PhaseAwaitingAdapter && other.Backend == b.Info.ID && other.Adapter != r.Adapter && other.Priority <= r.Priority &&
			!other.Admission.Late && now.Sub(other.ArrivedAt) < other.Route.LatencyTarget {
			return true
		}
	}
	return false
}

// expectedResponse returns the expected time to the first response of a request, without the penalties that only rank candidates and without
// the work that the server does after this request.
func (s *State) expectedResponse(now time.Time, r *Request, b *Backend, delay time.Duration) time.Duration {
	penalty := time.Duration(b.FailureRate * float64(failureDelay))
	return max(delay-penalty-s.backlog(now, b)+s.backlogAhead(now, r, b), 0)
}

// backlog returns the time that a server needs for the requests that wait there, as far as known.
func (s *State) backlog(now time.Time, b *Backend) time.Duration {
	if !s.isEngine(b) {
		waiting := b.Running - max(b.Info.Slots, 1)
		if b.ReportedLoad.Known && now.Sub(b.ReportedAt) < loadReportTTL {
			waiting = max(waiting, b.ReportedLoad.Running+b.ReportedLoad.Waiting-max(b.Info.Slots, 1))
		}
		return time.Duration(max(waiting, 0)) * max(b.MeanLatency, time.Millisecond) / time.Duration(max(b.Info.Slots, 1))
	}
	tokens := b.PrefillTokens
	if now.Sub(b.OtherHostsAt) < loadReportTTL {
		tokens += b.OtherHosts.PrefillTokens
	}
	return time.Duration(float64(tokens) / s.prefillRate(now, b) * float64(time.Second))
}

// backlogAhead returns the part of the backlog that a server works off before a request: engines serve the more urgent ones first. How the work is
// divided among the priorities is taken from what this host sent.
func (s *State) backlogAhead(now time.Time, r *Request, b *Backend) time.Duration {
	backlog := s.backlog(now, b)
	if !s.isEngine(b) {
		return backlog
	}
	ahead, total := 0.0, 0.0
	for priority := range s.service(r.Service).Admission.Work {
		work := s.service(r.Service).Admission.Work[priority].At(now, workHalfLife)
		total += work
		if priority <= r.Priority {
			ahead += work
		}
	}
	if total == 0 {
		return backlog
	}
	return time.Duration(float64(backlog) * ahead / total)
}

// refuseWithPromise refuses a request that has not run, and tells its caller to return when capacity is expected.
func (s *State) refuseWithPromise(now time.Time, r *Request, reason Reason) {
	latest := r.Deadline.Sub(now)/returnDivisor - returnMargin
	if latest <= 0 || r.Route.Name == "" {
		refuse(s, now, r, reason, defaultRetryAfter)
		return
	}
	a := &s.service(r.Service).Admission
	expected := s.capacityIn(now, r, reason, latest)
	if r.Admission.Returned {
		s.Counters.ReturnsRefused++
	}
	wait := a.Returns.Promise(now, r.returnKey(), admitter.Return{FirstAt: r.Admission.FirstAt, Refusals: r.Admission.Refusals}, expected, latest)
	s.Counters.ReturnsPromised++
	s.Counters.PromisedWaitMillis += uint64(wait.Milliseconds())
	s.logEvent(EventReturnPromised, s.requestFields(now, r, Field{"reason", reason.String()}, msField("expected_ms", expected), msField("wait_ms", wait),
		msField("latest_ms", latest), intField("promises", len(a.Returns.Promises)), intField("refusals", r.Admission.Refusals+1))...)
	refuse(s, now, r, reason, wait)
}

// capacityIn returns the time after which capacity for a request is expected, at most the latest useful time.
//
// After a start of all hosts, no host knows what was promised before, so the returns are spread at random.
func (s *State) capacityIn(now time.Time, r *Request, reason Reason, latest time.Duration) time.Duration {
	if reason == ReasonNoBackend && s.uptime(now) < recentHostWindow && len(s.usableBackends(now, r)) == 0 {
		return s.jitter(min(startSpread, latest))
	}
	wait := r.Route.LatencyTarget / queueWaitDivisor
	switch reason {
	case ReasonNotLoaded:
		if b, ok := s.Backends[r.Backend]; ok {
			wait = max(wait, s.ordersIn(now, r.Backend), s.adapterDelay(now, r, b))
		}
	case ReasonFull:
		wait = max(wait, s.leastBacklog(now, r)-r.Route.LatencyTarget/contentionDivisor)
	default:
		usable, ends := s.usableIn(now, r.Service)
		if !ends {
			return latest
		}
		wait = max(wait, usable)
	}
	a := &s.service(r.Service).Admission
	if rate := a.Completions.At(now, workHalfLife); rate > minCompletionRate {
		wait += time.Duration(float64(s.queuedBefore(r)+a.Returns.Before(now, wait)) / rate * float64(time.Second))
	}
	return min(wait, latest)
}

// leastBacklog returns the backlog of the candidate that has the least.
func (s *State) leastBacklog(now time.Time, r *Request) time.Duration {
	least := time.Duration(math.MaxInt64)
	for _, c := range s.candidates(now, r, s.Documents.Services[r.Service]) {
		least = min(least, s.backlogAhead(now, r, s.Backends[c.Backend]))
	}
	if least == math.MaxInt64 {
		return 0
	}
	return least
}

// queuedBefore returns the number of requests that wait on this host for the same service and are as urgent or more.
func (s *State) queuedBefore(r *Request) int {
	count := 0
	for _, other := range s.Requests {
		if other != r && other.Phase == PhaseQueued && other.Service == r.Service && other.Priority <= r.Priority {
			count++
		}
	}
	return count
}

// spreadArrival returns the retry delay for a request that arrived before this host had a catalogue.
func (s *State) spreadArrival(timeLeft time.Duration) time.Duration {
	if !s.admits() || timeLeft <= 0 {
		return defaultRetryAfter
	}
	return s.jitter(min(startSpread, timeLeft/returnDivisor))
}

// waitLimit returns how long after WaitSince a request may wait, which is usually the given limit. A returned caller does not return again, and a
// late request does not get earlier by another try, so both wait as long as they can be answered.
func (s *State) waitLimit(r *Request, usual time.Duration) time.Duration {
	if !s.admits() || !r.Admission.Returned && !r.Admission.Late {
		return usual
	}
	return max(usual, r.lastStart().Sub(r.WaitSince))
}

// placeArrived places a request that has just arrived, after those that wait for the same service and go before it.
func placeArrived[P selector.Policy](s *State, now time.Time, r *Request) {
	if s.admits() && s.queuedBefore(r) > 0 {
		placeQueued[P](s, now)
		return
	}
	placeRequest[P](s, now, r)
}

// requestDone records that a service has answered a request, and gives the capacity to the waiting requests.
func requestDone[P selector.Policy](s *State, now time.Time, r *Request) {
	if !s.admits() {
		return
	}
	s.service(r.Service).Admission.Completions.Add(now, 1, workHalfLife)
	if s.queuedBefore(&Request{Service: r.Service, Priority: math.MaxInt}) > 0 {
		placeQueued[P](s, now)
	}
}

// orderQueued returns the waiting requests in the order in which they get capacity.
func (s *State) orderQueued(now time.Time, queued []*Request) []*Request {
	var queue admitter.Queue[*Request, admitter.Fair]
	for _, r := range queued {
		shares := &s.service(r.Service).Admission.Shares
		queue.Push(admitter.Waiting[*Request]{
			Key: r, Priority: s.raisedPriority(now, r), Returned: r.Admission.Returned,
			InTime:  now.Sub(r.Admission.FirstAt) < r.Route.LatencyTarget,
			Deficit: shares.Deficit(now, r.Account, r.Priority), Cost: r.cost(), FirstAt: r.Admission.FirstAt, Target: r.Route.LatencyTarget,
			Deadline: r.Deadline,
		})
	}
	ordered := make([]*Request, 0, len(queued))
	for {
		r, ok := queue.Next(now, math.Inf(1))
		if !ok {
			return ordered
		}
		ordered = append(ordered, r)
	}
}
