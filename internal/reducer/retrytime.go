package reducer

import (
	"math"
	"time"

	"github.com/redwingpick/redwingpick/internal/admitter"
)

// Times and rates that retry times are derived from.
const (
	// returnDivisor is the divisor of a caller's remaining time that gives the longest Retry-After that it follows.
	returnDivisor = 3
	// returnMargin covers the transfer of a refusal, after which the caller's remaining time is less.
	returnMargin = 5 * time.Millisecond
	// notLoadedReturn is the tenths of the target after which a caller returns whose adapter could not be loaded: of one to five
	// tenths, three gave the most answers in time in simulated bursts, by little.
	notLoadedReturn = 3
	// startSpread is the time after a start of all hosts over which the returns of refused callers are spread.
	startSpread = time.Second
	// minCompletionRate is the completions per second below which they say nothing about capacity.
	minCompletionRate = 1
	// headroom is the capacity of a service as a multiple of what it completes: it takes bursts of 1.7 times the usual rate.
	headroom = 1.7
)

// refuseWithPromise refuses a request that has not run, and tells its caller to return when capacity is expected, after the given time at the
// earliest.
func (s *State) refuseWithPromise(now time.Time, r *Request, reason Reason, earliest time.Duration) {
	latest := r.Deadline.Sub(now)/returnDivisor - returnMargin
	if latest <= 0 || r.Route.Name == "" {
		refuse(s, now, r, reason, defaultRetryAfter)
		return
	}
	a := &s.service(r.Service).Admission
	expected := max(s.capacityIn(now, r, reason, latest), min(earliest, latest))
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
		// Slots become free as requests end, which the target of the first try leaves little time to wait for.
		wait = max(notLoadedReturn*r.Route.LatencyTarget/10, s.ordersIn(now, r.Backend))
		return min(wait, latest)
	case ReasonFull:
		wait = max(wait, s.leastBacklog(now, r)-r.Route.LatencyTarget/contentionDivisor)
	default:
		usable, ends := s.usableIn(now, r.Service)
		if !ends {
			return latest
		}
		wait = max(wait, usable)
	}
	if wait >= latest {
		return latest
	}
	if end := wait + s.workBefore(now, r, wait); end <= latest {
		return end
	}
	return wait + time.Duration(s.random()%uint64(latest-wait))
}

// workBefore returns the time that this host's share of a service needs for the requests that wait, and for the callers that return by then.
func (s *State) workBefore(now time.Time, r *Request, wait time.Duration) time.Duration {
	a := &s.service(r.Service).Admission
	rate := a.Completions.At(now, workHalfLife) * headroom
	if rate < minCompletionRate {
		return 0
	}
	return time.Duration(float64(s.queuedBefore(r)+a.Returns.Before(now, wait)) / rate * float64(time.Second))
}

// leastBacklog returns the backlog of the candidate that has the least.
func (s *State) leastBacklog(now time.Time, r *Request) time.Duration {
	least, share := time.Duration(math.MaxInt64), s.aheadShare(now, r)
	for _, c := range s.candidates(now, r, s.Documents.Services[r.Service]) {
		least = min(least, s.backlogAhead(now, s.Backends[c.Backend], share))
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
