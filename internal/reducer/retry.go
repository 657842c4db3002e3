package reducer

import (
	"slices"
	"strconv"
	"time"

	"github.com/redwingpick/redwingpick/internal/selector"
	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// retryOrFail retries a request whose last attempt failed, or ends it if the retry policy or the retry budget does not allow that.
func retryOrFail[P selector.Policy](s *State, now time.Time, r *Request, e DispatchEnded) {
	if e.Delivered && !r.Route.Resumable {
		s.Counters.RequestsFailed++
		refuse(s, now, r, ReasonBroken, 0)
		return
	}
	if !e.Outcome.NotRun() && !s.mayRetry(r) {
		s.failRequest(now, r, e)
		return
	}
	reserved := r.RetryReserved
	if e.Outcome != OutcomeNotSent && !s.withdrawReserved(r) {
		r.LastFailure = ReasonRetryBudget
		s.failRequest(now, r, e)
		return
	}
	if e.Outcome != OutcomeNotLoaded && !slices.Contains(r.TriedBackends, e.Backend) {
		r.TriedBackends = append(r.TriedBackends, e.Backend)
	}
	s.Counters.Retries++
	if r.Delivered {
		s.Counters.Resumes++
	}
	if e.Outcome == OutcomeFull {
		r.RetryAt = now.Add(s.jitter(retryDelay))
		s.wakeAt(r.RetryAt)
		return
	}
	if !reserved || !s.dispatchReserved(now, r) {
		placeRequest[P](s, now, r)
	}
}

// mayRetry reports whether the route allows a request that may have run to run again.
func (s *State) mayRetry(r *Request) bool {
	if r.Trial || r.PossibleRuns >= r.Route.MaxAttempts {
		return false
	}
	return r.Route.RetryPolicy == cataloguer.RetrySafe || r.Route.RetryPolicy == cataloguer.RetryStream && r.Route.Resumable
}

// failRequest ends a failed request with the backend server's failure response if that can be delivered, and else with a refusal.
func (s *State) failRequest(now time.Time, r *Request, e DispatchEnded) {
	s.Counters.RequestsFailed++
	if e.Outcome == OutcomeFailed && !r.Delivered {
		s.logEvent(EventRequestEnded, s.requestFields(now, r, intField("status", e.Status), msField("took_ms", e.Took))...)
		s.emit(DeliverFailure{ID: r.ID})
		s.endRequest(now, r, "answered_"+strconv.Itoa(e.Status))
		return
	}
	if e.Outcome.NotRun() {
		s.refuseUnplaced(now, r, refusalReason(e.Outcome))
		return
	}
	refuse(s, now, r, ReasonBroken, 0)
}

// refusalReason returns the refusal reason for an outcome of a request that has not run.
func refusalReason(outcome Outcome) Reason {
	switch outcome {
	case OutcomeFull:
		return ReasonFull
	case OutcomeNotLoaded:
		return ReasonNotLoaded
	}
	return ReasonNoBackend
}

// depositRetry adds the retries that one more request allows to this host's share of the service's retry budget.
func (s *State) depositRetry(now time.Time, service string) {
	budget := &s.service(service).RetryBudget
	burst := max(s.Limits.RetrySlack*retrySlackFraction/float64(s.shareCount(now)), 1)
	if budget.Burst == 0 {
		budget.Level = burst
	}
	budget.Burst = burst
	budget.Level = min(budget.Level+s.Limits.RetryRatio, burst)
}

// withdrawRetry takes one retry from the service's retry budget and reports whether the budget held one.
func (s *State) withdrawRetry(service string) bool {
	budget := &s.service(service).RetryBudget
	if budget.Level < 1 {
		return false
	}
	budget.Level--
	return true
}
