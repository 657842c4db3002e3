package throttler

import (
	"math"
	"time"

	"github.com/redwingpick/redwingpick/internal/limiter"
)

const (
	// burst is the number of requests that a sender may save up. All hosts may send their savings at once, so it is the least that lets a request
	// pass; a bucket with less would let its first request pass early, and a gate that opens would add requests.
	burst = 1
	// roundingError is the part of a request that may be missing, so that a gate opens at the time that OpensIn has named.
	roundingError = 1e-9
	// longestWait limits what OpensIn returns: the wait for a very small share does not fit a time.Duration.
	longestWait = time.Hour
)

// Gate is this host's part of the rate of one backend server; the zero value is closed.
type Gate[P Policy] struct {
	// Open is set while this host is a sender of the server.
	Open bool
	// Bucket holds the requests that this host may send.
	Bucket limiter.Bucket
	// Rate and Hosts are what Division, the division of the rate at the last update, follows from.
	Rate     float64
	Hosts    int
	Division Division
}

// Update applies the rate of the server in requests per second, the number of known hosts, and whether this host is one of the senders that
// Divide states for them. A gate that opens has nothing saved, and still owes what it owed when it closed.
func (g *Gate[P]) Update(now time.Time, rate float64, hosts int, sender bool) {
	if rate != g.Rate || hosts != g.Hosts {
		g.Rate, g.Hosts, g.Division = rate, hosts, Divide[P](rate, hosts)
	}
	if !sender || g.Division.Senders == 0 {
		g.Close()
		return
	}
	g.Bucket.Set(now, g.Division.Share, burst)
	if !g.Open {
		g.Open = true
		g.Bucket.Level = min(g.Bucket.Level, 0)
	}
}

// Close closes the gate: this host sends nothing to the server, or the server has no bound.
func (g *Gate[P]) Close() { g.Open = false }

// Allows reports whether this host may send a request now.
func (g *Gate[P]) Allows(now time.Time) bool {
	wait, ok := g.OpensIn(now)
	return ok && wait <= 0
}

// OpensIn returns the time until this host may send a request, at most an hour, and false if it is no sender.
func (g *Gate[P]) OpensIn(now time.Time) (time.Duration, bool) {
	if !g.Open {
		return 0, false
	}
	g.Bucket.Refill(now)
	missing := 1 - g.Bucket.Level
	if missing <= roundingError {
		return 0, true
	}
	wait := math.Ceil(missing / g.Bucket.Rate * float64(time.Second))
	return time.Duration(min(wait, float64(longestWait))), true
}

// Spend takes one request from an open gate, whether it is allowed or not: one that is sent all the same delays the next one.
func (g *Gate[P]) Spend(now time.Time) {
	if !g.Open {
		return
	}
	g.Bucket.Refill(now)
	g.Bucket.Level--
}
