package reducer

import (
	"time"

	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// recordStay adds a complete response of an engine to the mean time that a request spends there.
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

// admissionDelay returns the expected time until an engine has a batch slot and cache for a request, from the rate at which its requests
// complete: as many as it runs in the mean time that one spends there.
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

// decodeDelay returns how much the requests that an engine runs prolong the step that gives the first event of another one.
func (s *State) decodeDelay(now time.Time, b *Backend, engine *cataloguer.Engine, load engineLoad) time.Duration {
	service, _ := s.meanRates(b)
	return time.Duration(float64(min(load.running, engine.Slots)) * float64(decodeStepShare) * service / s.presentRate(now, b))
}
