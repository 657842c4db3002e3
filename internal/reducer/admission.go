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
	// Deadlines holds the time that requests have left on arrival, by route, of which a catalogue has few.
	Deadlines map[string]*admitter.Deadlines
	// Completions is the requests that ended with an answer per second on this host.
	Completions limiter.DecayingRate
	// Work is the prompt tokens per second that this host sent to be prefilled, by priority.
	Work [admitter.Priorities]limiter.DecayingRate
}

// RequestAdmission is the state of one request in the admission control.
type RequestAdmission struct {
	// FirstAt is when the request first arrived at a host; it is before its arrival if its caller was refused and has returned.
	FirstAt time.Time
	// Refusals is the number of earlier refusals, and Returned is set if there was one.
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
	// workHalfLife is the half-life of the rates by which a service's capacity is known; a host completes a few requests a second.
	workHalfLife = 10 * time.Second
	// contentionDivisor is the divisor of a target that gives the backlog from which requests compete for a server.
	contentionDivisor = 4
	// answerDivisor is the divisor of the time between arrival and deadline that gives the time needed after the first response.
	answerDivisor = 16
)

// admits reports whether the admission control is on.
func (s *State) admits() bool { return s.Limits.Adaptive.Admission }

// returnKey identifies a request that a caller sends again after a refusal.
func (r *Request) returnKey() uint64 {
	return hasher.Mix(r.contentKey() ^ hasher.Key(r.Account+"/"+r.Route.Name+"/"+r.Adapter.Adapter+"/"+strconv.Itoa(r.Tokens)))
}

// refuseEarlyReturn records the arrival of a request with the given time left. It refuses the request and reports true if its caller was told to
// return later.
func refuseEarlyReturn(s *State, now time.Time, r *Request, left time.Duration) bool {
	if !s.admits() {
		return false
	}
	a := &s.service(r.Service).Admission
	promise, early, ok := a.Returns.Due(now, r.returnKey())
	if ok && early {
		dueIn := promise.DueAt.Sub(now)
		s.Counters.EarlyReturns++
		s.logEvent(EventEarlyReturn, s.requestFields(now, r, msField("due_in_ms", dueIn), msField("promised_age_ms", now.Sub(promise.PromisedAt)))...)
		refuse(s, now, r, ReasonFull, dueIn)
		return true
	}
	elapsed, returned := a.deadlines(r.Route.Name).Elapsed(left)
	a.deadlines(r.Route.Name).Add(left)
	switch {
	case ok:
		r.Admission = RequestAdmission{FirstAt: promise.FirstAt, Refusals: promise.Refusals, Returned: true}
	case returned:
		r.Admission = RequestAdmission{FirstAt: r.ArrivedAt.Add(-elapsed), Refusals: 1, Returned: true}
	}
	if r.Admission.Returned {
		s.Counters.ReturnsKept++
		s.logEvent(EventCallerReturned, s.requestFields(now, r, boolField("promised", ok), ageField("late_ms", now, promise.DueAt),
			msField("first_age_ms", now.Sub(r.Admission.FirstAt)), intField("refusals", r.Admission.Refusals))...)
	}
	a.Urgency.Arrived(r.Priority, float64(r.Tokens))
	a.Shares.Record(now, r.Account, r.Priority, r.cost())
	return false
}

// deadlines returns the time that requests of a route have left on arrival.
func (a *ServiceAdmission) deadlines(route string) *admitter.Deadlines {
	d, ok := a.Deadlines[route]
	if !ok {
		if a.Deadlines == nil {
			a.Deadlines = map[string]*admitter.Deadlines{}
		}
		d = &admitter.Deadlines{}
		a.Deadlines[route] = d
	}
	return d
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
// A request goes nowhere if the response would begin too late for the deadline. It also yields where it would miss its target because others wait,
// which can still be in time. That holds for returned callers too: when these were held and served late, four requests in time
// were lost for every seven answered late in simulated bursts.
func (s *State) admissible(now time.Time, r *Request, candidates []selector.Candidate) (left []selector.Candidate, refused bool) {
	if !s.admits() || r.Attempt > 0 || len(candidates) == 0 {
		return candidates, false
	}
	best, first := time.Duration(math.MaxInt64), s.Backends[candidates[0].Backend]
	share := s.aheadShare(now, r)
	r.Admission.Late = true
	for _, c := range candidates {
		b := s.Backends[c.Backend]
		expected, ahead := s.expectedResponse(now, b, c.Delay, share)
		late := s.wouldMissTarget(now, r, b, expected)
		if expected < best {
			best, first = expected, b
		}
		if now.Add(expected).After(r.lastStart()) || late && s.yields(now, r, b, expected, ahead) {
			continue
		}
		r.Admission.Late = r.Admission.Late && late
		left = append(left, c)
	}
	r.Admission.Expected = best
	if len(left) > 0 {
		return left, false
	}
	s.stopWaiting(r)
	r.Phase = PhaseQueued
	reason := ReasonFull
	if s.lacksAdapter(now, r, first) {
		r.Backend, reason = first.Info.ID, ReasonNotLoaded
	}
	s.refuseUnplaced(now, r, reason)
	return nil, true
}

// lastStart returns the time by which the response must begin to be complete at the deadline.
func (r *Request) lastStart() time.Time {
	return r.Deadline.Add(-r.Deadline.Sub(r.ArrivedAt) / answerDivisor)
}

// lacksAdapter reports whether a request's adapter must be loaded on a server first.
func (s *State) lacksAdapter(now time.Time, r *Request, b *Backend) bool {
	engine := s.engineOf(b)
	return r.Adapter.Adapter != "" && engine != nil && engine.AdapterSlots > 0 && s.needsAdapterLoad(now, r, b)
}

// yields reports whether a request that would be late on a server leaves it to others: to those that wait there for their adapters, or to a
// backlog of requests that are as urgent or more.
//
// The backlog is compared with the longest target of the kinds that are as urgent or less, so that an urgent request is not refused while a less
// urgent one with a longer target is admitted. An account above its share yields where the backlog would make other requests of the kind late.
func (s *State) yields(now time.Time, r *Request, b *Backend, expected, ahead time.Duration) bool {
	if r.Phase == PhaseAwaitingAdapter {
		return false
	}
	if s.adapterContended(now, r, b) {
		return true
	}
	if ahead <= r.Route.LatencyTarget/contentionDivisor {
		return false
	}
	deficit := s.service(r.Service).Admission.Shares.Deficit(now, r.Account, r.Priority)
	return deficit < 0 || now.Sub(r.ArrivedAt)+expected > s.longestTarget(r)
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
	if !s.lacksAdapter(now, r, b) {
		return false
	}
	for key, adapter := range b.Adapters {
		if key == r.Adapter {
			continue
		}
		for _, id := range adapter.Waiting {
			other, ok := s.Requests[id]
			if ok && other.Priority <= r.Priority && !other.Admission.Late && now.Sub(other.ArrivedAt) < other.Route.LatencyTarget {
				return true
			}
		}
	}
	return false
}

// queueLimit returns how long after WaitSince a request may wait for any usable server, which is usually the given limit. A returned caller does
// not return again, so its request waits as long as it can be answered.
func (s *State) queueLimit(r *Request, usual time.Duration) time.Duration {
	if !s.admits() || !r.Admission.Returned {
		return usual
	}
	return max(usual, r.lastStart().Sub(r.WaitSince))
}

// adapterLimit returns how long after WaitSince a request may wait for its adapter, which is usually the given limit. A late request does not get
// earlier by another try: it waits as long as a refusal leaves its caller enough time for one, unless requests that can be in time wait for the same
// engine.
func (s *State) adapterLimit(now time.Time, r *Request, usual time.Duration) time.Duration {
	b, ok := s.Backends[r.Backend]
	if !s.admits() || !r.Admission.Late || ok && s.adapterContended(now, r, b) {
		return usual
	}
	return max(usual, r.Deadline.Sub(r.ArrivedAt)/returnDivisor)
}

// placeArrived places a request that has just arrived or got tokens, after those that wait for the same service and go before it.
func placeArrived[P selector.Policy](s *State, now time.Time, r *Request) {
	if s.holdsOlderRequests(now, r) || s.admits() && s.queuedBefore(r) > 0 {
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
	queue := admitter.Queue[*Request, admitter.Fair]{Items: make([]admitter.Waiting[*Request], 0, len(queued))}
	deficits := map[serviceShare]float64{}
	for _, r := range queued {
		share := serviceShare{r.Service, admitter.ShareKey{Account: r.Account, Priority: r.Priority}}
		deficit, known := deficits[share]
		if !known {
			deficit = s.service(r.Service).Admission.Shares.Deficit(now, r.Account, r.Priority)
			deficits[share] = deficit
		}
		queue.Push(admitter.Waiting[*Request]{
			Key: r, Priority: s.raisedPriority(now, r), Returned: r.Admission.Returned,
			InTime:  now.Sub(r.Admission.FirstAt) < r.Route.LatencyTarget,
			Deficit: deficit, Cost: r.cost(), FirstAt: r.Admission.FirstAt, Target: r.Route.LatencyTarget, Deadline: r.Deadline,
		})
	}
	return queue.All(now)
}

// serviceShare is an account at one priority of a service.
type serviceShare struct {
	Service string
	Share   admitter.ShareKey
}
