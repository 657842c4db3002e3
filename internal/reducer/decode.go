package reducer

import (
	"time"

	"github.com/redwingpick/redwingpick/internal/estimator"
)

// decodeSampleTokens is the work, in prompt tokens, as which one stream counts in the estimate of an engine's service rate. It equals
// priorTokens, since the gaps between events tell engines apart far better than the times to first responses.
const decodeSampleTokens = priorTokens

// ratedByDecode reports whether the rate of a backend server, relative to its service, is estimated from the events of streams. The times to
// first responses then only give the mean rate of the service: they hold waiting that hosts don't know of.
func (s *State) ratedByDecode(b *Backend) bool {
	return s.isEngine(b) && s.service(b.Info.Service).Pacing.Gaps.Known()
}

// recordDecode takes a sample of an engine's service rate from the typical time between the events of a complete stream.
//
// Few requests find an engine without other prefill, so samples of the prefill alone are rare. An engine that decodes faster than the others
// of its service also prefills faster, and each stream shows how fast it decodes.
func (s *State) recordDecode(now time.Time, b *Backend, r *Request, e DispatchEnded) {
	if !s.Limits.Adaptive.Pace || !s.isEngine(b) || e.TypicalGap <= 0 || b.FirstSeenAt.After(r.SentAt) {
		return
	}
	gaps := &s.service(b.Info.Service).Pacing.Gaps
	gaps.Add(e.TypicalGap)
	service, _ := s.meanRates(b)
	if !gaps.Known() || service <= 0 {
		return
	}
	took := time.Duration(decodeSampleTokens / service * gaps.Ratio(e.TypicalGap) * float64(time.Second))
	s.addSample(now, b, decodeSampleTokens, estimator.Limit(decodeSampleTokens, took, s.usualRate(now, b)))
}
