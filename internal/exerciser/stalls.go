package exerciser

import (
	"time"

	"github.com/redwingpick/redwingpick/internal/reducer"
)

// StallEngines stops all streams that engines have begun, for a time; new requests are answered. A host may let another engine resume them.
func (s *Simulation[P]) StallEngines(engines []*Backend, duration time.Duration) {
	s.logFault("the streams of %s stall for %v", backendIDs(engines), duration)
	for _, b := range engines {
		for _, a := range b.answers {
			if a.begun {
				a.stalledUntil = s.Now.Add(duration)
				a.reportStall()
			}
		}
	}
}

// addStallHandlers sets how an answer reports a stall to its host, and how the host ends the attempt.
func (s *Simulation[P]) addStallHandlers(a *answer, h *Host, b *Backend, r *Request, e reducer.Dispatch, key reducer.AdapterKey) {
	incarnation, engine, startedAt := h.Incarnation, b.Engine, s.Now
	r.answer, a.attempt = a, e.Attempt
	a.reportStall = func() {
		if e.StreamIdleTimeout <= 0 {
			return
		}
		s.after(e.StreamIdleTimeout, func() {
			if !a.aborted && s.Now.Before(a.stalledUntil) {
				s.post(h, incarnation, reducer.AttemptStalled{ID: e.ID, Attempt: e.Attempt})
			}
		})
	}
	a.end = func() {
		a.aborted = true
		b.endAnswer(a)
		engine.FinishRequest(s.Now, key)
		s.post(h, incarnation, reducer.DispatchEnded{
			ID: e.ID, Backend: e.Backend, Attempt: e.Attempt, Outcome: reducer.OutcomeTimeout, Delivered: true, Took: s.Now.Sub(startedAt),
		})
	}
}

// endAttempt ends the attempt of a request whose answer has stalled.
func (s *Simulation[P]) endAttempt(h *Host, e reducer.EndAttempt) {
	r := s.Traffic.requests[requestKey(h.ID, h.Incarnation, e.ID)]
	if r == nil || r.answer == nil || r.answer.aborted || r.answer.attempt != e.Attempt {
		return
	}
	s.after(s.messageDelay(), func() {
		if a := r.answer; !a.aborted && a.attempt == e.Attempt && s.Now.Before(a.stalledUntil) {
			a.end()
		}
	})
}
