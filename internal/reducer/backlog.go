package reducer

import "time"

// expectedResponse returns the expected time to the first response of a request, without the penalties that only rank candidates and without
// the work that the server does after this request, and the part of it that is the backlog ahead.
func (s *State) expectedResponse(now time.Time, b *Backend, delay time.Duration, share float64) (expected, ahead time.Duration) {
	backlog := s.backlog(now, b)
	ahead = s.backlogAhead(now, b, share)
	penalty := time.Duration(b.FailureRate * float64(failureDelay))
	return max(delay-penalty-backlog+ahead, 0), ahead
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

// backlogAhead returns the part of the backlog that a server works off before a request; engines serve the more urgent requests first.
func (s *State) backlogAhead(now time.Time, b *Backend, share float64) time.Duration {
	backlog := s.backlog(now, b)
	if !s.isEngine(b) {
		return backlog
	}
	return time.Duration(float64(backlog) * share)
}

// aheadShare returns the share of a service's work that is as urgent as a request or more, by what this host sent.
func (s *State) aheadShare(now time.Time, r *Request) float64 {
	work := &s.service(r.Service).Admission.Work
	ahead, total := 0.0, 0.0
	for priority := range work {
		rate := work[priority].At(now, workHalfLife)
		total += rate
		if priority <= r.Priority {
			ahead += rate
		}
	}
	if total == 0 {
		return 1
	}
	return ahead / total
}
