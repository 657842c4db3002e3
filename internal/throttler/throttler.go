package throttler

import (
	"time"

	"github.com/redwingpick/redwingpick/internal/limiter"
)

// Division states how the rate of one backend server is divided among the hosts.
type Division struct {
	// Senders is the number of hosts that may send to the server.
	Senders int
	// Fraction is the part of the server's rate that all senders together use.
	Fraction float64
	// Burst is the number of requests that a sender may save up while it has none to send.
	Burst float64
}

// Policy is a kind of bound on the rate of a backend server.
type Policy interface {
	// Division returns how the rate is divided.
	Division() Division
}

// Gate is this host's part of the rate of one backend server; the zero value is closed.
type Gate[P Policy] struct {
	// Open is set while this host is a sender of the server.
	Open bool
	// Bucket holds the requests that this host may send.
	Bucket limiter.Bucket
}

// Update applies the rate of the server in requests per second, and whether this host is one of its senders. A gate that opens is empty.
func (g *Gate[P]) Update(now time.Time, rate float64, sender bool) {
	if !sender || rate <= 0 {
		g.Close()
		return
	}
	if !g.Open {
		g.Bucket = limiter.Bucket{UpdatedAt: now}
		g.Open = true
	}
	var policy P
	d := policy.Division()
	g.Bucket.Set(now, rate*d.Fraction/float64(max(d.Senders, 1)), d.Burst)
}

// Close closes the gate: this host sends nothing to the server, or the server has no bound.
func (g *Gate[P]) Close() { *g = Gate[P]{} }

// Allows reports whether this host may send a request now.
func (g *Gate[P]) Allows(now time.Time) bool {
	wait, ok := g.OpensIn(now)
	return ok && wait <= 0
}

// OpensIn returns the time until this host may send a request, and false if it is no sender.
func (g *Gate[P]) OpensIn(now time.Time) (time.Duration, bool) {
	if !g.Open {
		return 0, false
	}
	return g.Bucket.Wait(now, 1), true
}

// Spend takes one request, whether it is allowed or not: one that is sent all the same delays the next one.
func (g *Gate[P]) Spend(now time.Time) {
	g.Bucket.Refill(now)
	g.Bucket.Level--
}
