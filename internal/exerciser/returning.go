package exerciser

import (
	"time"

	"github.com/redwingpick/redwingpick/internal/reducer"
)

// Callers counts what callers that return once after a refusal got in the end, with Options.ReturningCallers.
type Callers struct {
	// InTime and Late count the answered requests whose response began within returnTarget of the first try, and later.
	InTime int
	Late   int
	// Returned counts the returns, and RefusedTwice those that were refused again.
	Returned     int
	RefusedTwice int
}

const (
	// returnTarget is the latency target that Callers are counted by: that of the routes with streams.
	returnTarget = time.Second
	// returnDivisor is the divisor of a caller's remaining time that gives the longest Retry-After that it follows.
	returnDivisor = 3
)

// returnLater makes the caller of a refused request return once to any host, if the refusal says so and leaves it enough time.
func (s *Simulation[P]) returnLater(r *Request, e reducer.Refuse) {
	if !s.Options.ReturningCallers || e.MayHaveRun || e.RetryAfter <= 0 {
		return
	}
	if r.returned {
		s.Traffic.Callers.RefusedTwice++
		return
	}
	deadline := r.sentAt.Add(r.event.TimeLeft)
	if e.RetryAfter > deadline.Sub(s.Now)/returnDivisor {
		return
	}
	s.after(e.RetryAfter, func() {
		h := s.Hosts[s.rng.IntN(len(s.Hosts))]
		if !h.Up || !h.State.Ready {
			return
		}
		s.Traffic.Callers.Returned++
		event := r.event.RequestArrived
		event.ID, event.At, event.TimeLeft = event.ID+"-again", s.Now, deadline.Sub(s.Now)
		again := &Request{host: h, sentAt: r.sentAt, account: r.account, atMostOnce: r.atMostOnce, returned: true}
		s.deliverRequest(h, again, event)
	})
}

// recordAnswer counts a complete answer by when it began.
func (s *Simulation[P]) recordAnswer(r *Request) {
	if r.beganAt.Sub(r.sentAt) <= returnTarget {
		s.Traffic.Callers.InTime++
		return
	}
	s.Traffic.Callers.Late++
}
