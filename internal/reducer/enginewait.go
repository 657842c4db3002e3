package reducer

import (
	"time"

	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

func (s *State) recordStay(b *Backend, took time.Duration) {
	if !s.Limits.Adaptive.Pace || !s.isEngine(b) {
		return
	}
	pacing := &s.service(b.Info.Service).Pacing
	if pacing.MeanStay == 0 {
		pacing.MeanStay = took
		return
	}
	pacing.MeanStay += time.Duration(sampleWeight * float64(took-pacing.MeanStay))
}

func (s *State) admissionDelay(b *Backend, r *Request, engine *cataloguer.Engine, load engineLoad) time.Duration {
	stay := s.service(b.Info.Service).Pacing.MeanStay
	if stay == 0 {
		return fixedAdmissionDelay(r, engine, load)
	}
	admitted := max(min(load.running-load.waiting, engine.Slots), 1)
	queued := max(load.running-engine.Slots+1, load.waiting, 0)
	delay := time.Duration(min(float64(stay)*float64(queued)/float64(admitted), float64(maxAdmissionDelay)))
	if excess := load.tokens + r.Tokens - engine.KVCacheTokens; engine.KVCacheTokens > 0 && excess > 0 {
		delay = max(delay, time.Duration(float64(stay)*float64(excess)/float64(max(load.tokens, excess))))
	}
	return delay
}

func (s *State) decodeDelay(now time.Time, b *Backend, engine *cataloguer.Engine, load engineLoad) time.Duration {
	service, _ := s.meanRates(b)
	return time.Duration(float64(min(load.running, engine.Slots)) * float64(decodeStepShare) * service / s.presentRate(now, b))
}
