package reducer

import (
	"time"

	"github.com/redwingpick/redwingpick/internal/ramper"
)

// recordSlowStartDispatch counts a request that is being sent, and notes from when on its first response is late.
func (s *State) recordSlowStartDispatch(now time.Time, r *Request, b *Backend) {
	b.SlowStart.Awaiting++
	b.SlowStart.Ramp.Sent(now)
	if !s.Limits.Adaptive.Start {
		return
	}
	r.LateAfter = max(lateFactor*s.usualResponse(now, r, b), r.Route.LatencyTarget/lateDivisor)
}

// usualResponse returns the time in which the first response to a request is expected, if it is sent now.
func (s *State) usualResponse(now time.Time, r *Request, b *Backend) time.Duration {
	if engine := s.engineOf(b); engine != nil {
		return s.engineDelay(now, r, b, engine) - b.failurePenalty()
	}
	typical := *b
	typical.MeanLatency = s.meanLatency(b.Info.Service)
	return s.unaryDelay(now, &typical) - b.failurePenalty()
}

// meanLatency returns the mean time to a first response of the service's servers that have answered this host.
func (s *State) meanLatency(service string) time.Duration {
	total, count := time.Duration(0), 0
	for _, b := range s.serviceBackends(service) {
		if b.MeanLatency > 0 {
			total += b.MeanLatency
			count++
		}
	}
	return total / time.Duration(max(count, 1))
}

// recordAnswer records the first response to a request. The time of an adapter load is not part of what it took: the request was sent after
// that, and an engine rejects requests for adapters that it does not hold.
func (s *State) recordAnswer(now time.Time, b *Backend, r *Request, took time.Duration) {
	if b.FirstSeenAt.After(r.SentAt) {
		return
	}
	b.SlowStart.Awaiting--
	b.SlowStart.AnsweredAt = now
	if !s.Limits.Adaptive.Start || r.LateAfter == 0 {
		return
	}
	b.SlowStart.Answers++
	if took > r.LateAfter {
		s.recordLate(now, b, r)
		return
	}
	ramp := &b.SlowStart.Ramp
	ramp.Measured(took)
	ramp.Answered(now, r.SentAt, true, s.answerWeight(now, b))
	if ramp.Active() && now.Sub(s.service(r.Service).HeldAt) < slowStartHeldTTL {
		s.wakeAt(now)
	}
}

// recordLate records a first response that is late or missing.
func (s *State) recordLate(now time.Time, b *Backend, r *Request) {
	b.SlowStart.SlowAnswers++
	if !b.SlowStart.Ramp.Active() {
		return
	}
	s.Counters.SlowStartBadAnswers++
	b.SlowStart.Ramp.Answered(now, r.SentAt, false, 1)
}

// answerWeight returns the number of answers that one of this host stands for: the lease holder is told of all answers, the other hosts know
// only their own until the holder reports the limit.
func (s *State) answerWeight(now time.Time, b *Backend) int {
	if s.holdsLease(now, b.Info.ID) {
		return 1
	}
	return s.slowStartSenders(now, b)
}

// recordUnanswered records the end of an attempt whose first response has not come.
func (s *State) recordUnanswered(now time.Time, b *Backend, r *Request) {
	b.SlowStart.Awaiting--
	if s.Limits.Adaptive.Start && r.LateAfter > 0 && now.Sub(r.SentAt) > r.LateAfter {
		b.SlowStart.Answers++
		s.recordLate(now, b, r)
	}
}

// recordStartFailure records an exchange that failed.
func (s *State) recordStartFailure(now time.Time, b *Backend, r *Request) {
	if s.Limits.Adaptive.Start {
		b.SlowStart.Refusals++
		b.SlowStart.Ramp.Failed(now, r.SentAt)
	}
}

// recordStartRefusal records a request that the server refused for lack of capacity.
func (s *State) recordStartRefusal(now time.Time, b *Backend, r *Request) {
	if s.Limits.Adaptive.Start {
		b.SlowStart.Refusals++
		b.SlowStart.Ramp.Refused(now, r.SentAt)
	}
}

// recordSilence begins the slow start of a server that has answered nothing since a stalled request was sent: it may be suspended, and would
// get all that has waited when it goes on.
func (s *State) recordSilence(now time.Time, r *Request) {
	b, ok := s.Backends[r.Backend]
	if !ok || r.Phase != PhaseRunning || b.FirstSeenAt.After(r.SentAt) || b.SlowStart.AnsweredAt.After(r.SentAt) {
		return
	}
	s.beginSlowStart(now, now, b, ramper.ReasonSilent)
}

// report adds the answers since the last report to a usage report.
func (w *SlowStart) report(m *Usage) {
	m.Answers, m.SlowAnswers, m.Refusals = w.Answers, w.SlowAnswers, w.Refusals
	w.Answers, w.SlowAnswers, w.Refusals = 0, 0, 0
}

// usageIntervalOf returns the time between two full usage reports on a backend server: a short one if the server is in slow start and has
// answered, so that the reports are at most as many as the answers.
func (s *State) usageIntervalOf(b *Backend) time.Duration {
	if b.SlowStart.Ramp.Active() && b.SlowStart.Answers > 0 {
		return s.usageInterval() / slowStartReportDivisor
	}
	return s.usageInterval()
}

// recordReportedAnswers records, at the lease holder, the answers that another host got.
func (s *State) recordReportedAnswers(now time.Time, m Usage) {
	b, ok := s.Backends[m.Backend]
	if !ok || !s.Limits.Adaptive.Start || !b.SlowStart.Ramp.Active() {
		return
	}
	ramp := &b.SlowStart.Ramp
	sentAt := now.Add(-ramp.RoundTrip)
	switch good := min(m.Answers-m.SlowAnswers, maxReportedAnswers); {
	case m.Refusals > 0 || m.SlowAnswers > 0:
		ramp.Refused(now, sentAt)
	case good > 0:
		ramp.Answered(now, sentAt, true, good)
	}
}

// reportSlowStart adds the limit of a backend server and the number of its senders to the lease holder's reply.
func (s *State) reportSlowStart(now time.Time, from string, inv *Inventory, m *BackendLoad) {
	if !s.Limits.Adaptive.Start {
		return
	}
	for host, u := range inv.Usage {
		if host == from || now.Sub(u.ReceivedAt) < 3*s.usageInterval() {
			m.Senders++
		}
	}
	if b, ok := s.Backends[m.Backend]; ok && !now.Before(b.SlowStart.Ramp.BeganAt) {
		m.StartLimit = b.SlowStart.Ramp.Limit(now)
	}
}

// adoptSlowStart applies the limit that the lease holder of a backend server has found with the answers that all hosts got.
func (s *State) adoptSlowStart(now time.Time, b *Backend, m BackendLoad) {
	if !s.Limits.Adaptive.Start || s.holdsLease(now, b.Info.ID) {
		return
	}
	if !(m.StartLimit > 0) {
		if b.SlowStart.Reported && m.Senders > 0 && b.SlowStart.Ramp.Active() {
			s.endSlowStart(now, b)
		}
		return
	}
	if !b.SlowStart.Ramp.Active() {
		s.beginSlowStart(now, now, b, ramper.ReasonReported)
	}
	b.SlowStart.Reported = true
	b.SlowStart.Ramp.Adopt(now, m.StartLimit)
}
