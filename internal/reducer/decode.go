package reducer

import (
	"time"

	"github.com/redwingpick/redwingpick/internal/estimator"
)

// decodeSampleTokens is the work, in prompt tokens, as which the events of one stream count in the estimate of an engine's service rate.
const decodeSampleTokens = 2000

// recordDecode takes a sample of an engine's service rate from the typical time between the events of a complete stream.
//
// Few requests find an engine without other prefill, so samples of the prefill alone are rare. An engine that decodes faster than the others
// of its service also prefills faster, and each stream shows how fast it decodes.
func (s *State) recordDecode(now time.Time, b *Backend, r *Request, e DispatchEnded) {
	if !s.Limits.Adaptive.Pace || !s.isEngine(b) || e.TypicalGap <= 0 || b.FirstSeenAt.After(r.SentAt) {
		return
	}
	gaps := &s.service(b.Info.Service).Pacing.Gaps
	ratio, known := gaps.Ratio(e.TypicalGap)
	gaps.Add(e.TypicalGap)
	service, _ := s.meanRates(b)
	if !known || service <= 0 {
		return
	}
	took := time.Duration(decodeSampleTokens / service * ratio * float64(time.Second))
	took = estimator.Limit(decodeSampleTokens, took, s.usualRate(now, b))
	b.Pacing.Estimate.Add(now, decodeSampleTokens, took)
	b.Pacing.Unreported.Add(now, decodeSampleTokens, took)
	s.logRate(now, b)
}
