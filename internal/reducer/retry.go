package reducer

import (
	"slices"
	"strconv"
	"time"

	"github.com/redwingpick/redwingpick/internal/selector"
	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

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

func (s *State) mayRetry(r *Request) bool {
	if r.PossibleRuns >= r.Route.MaxAttempts {
		return false
	}
	return r.Route.RetryPolicy == cataloguer.RetrySafe || r.Route.RetryPolicy == cataloguer.RetryStream && r.Route.Resumable
}

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

func refusalReason(outcome Outcome) Reason {
	switch outcome {
	case OutcomeFull:
		return ReasonFull
	case OutcomeNotLoaded:
		return ReasonNotLoaded
	}
	return ReasonNoBackend
}

func (s *State) depositRetry(now time.Time, service string) {
	budget := &s.service(service).RetryBudget
	burst := max(s.Limits.RetrySlack*retrySlackFraction/float64(s.shareCount(now)), 1)
	if budget.Burst == 0 {
		budget.Level = burst
	}
	budget.Burst = burst
	budget.Level = min(budget.Level+s.Limits.RetryRatio, burst)
}

func (s *State) withdrawRetry(service string) bool {
	budget := &s.service(service).RetryBudget
	if budget.Level < 1 {
		return false
	}
	budget.Level--
	return true
}
