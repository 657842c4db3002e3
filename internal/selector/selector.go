package selector

import (
	"math"
	"time"
)

// Candidate is one backend server that could serve a request, as the choosing host sees it.
type Candidate struct {
	Backend string
	// Rank is the place in the rendezvous order of the request's adapter; 0 is its home.
	Rank int
	// Delay is the expected time to the first piece of the answer.
	Delay time.Duration
	// Near is set for a backend server in the chooser's failure domain.
	Near bool
	// Tie is a random number that breaks ties.
	Tie uint64
}

// Policy chooses one of the candidates, of which there is at least one.
type Policy interface { // type constraint
	Choose(candidates []Candidate) int
}

// homeLead is the time by which another backend server must be faster than an adapter's home to take a request, and rankLead
// what each further rank must be faster, so that requests which leave an adapter's home meet again.
const (
	homeLead = 100 * time.Millisecond
	rankLead = 50 * time.Millisecond
)

// nearLead is the time that a backend server in another failure domain counts more.
const nearLead = 3 * time.Millisecond

// Expected chooses by the expected time to the first piece, with a lead for the adapter's home.
type Expected struct{}

// Choose returns the index of the candidate with the least delay.
func (Expected) Choose(candidates []Candidate) int {
	best := 0
	for i := range candidates {
		if less(candidates[i], candidates[best]) {
			best = i
		}
	}
	return best
}

func less(a, b Candidate) bool {
	x, y := weighed(a), weighed(b)
	if x != y {
		return x < y
	}
	return a.Tie < b.Tie
}

func weighed(c Candidate) time.Duration {
	delay := c.Delay + time.Duration(c.Rank)*rankLead
	if c.Rank > 0 {
		delay += homeLead
	}
	if !c.Near {
		delay += nearLead
	}
	return delay
}

// Home always chooses the adapter's home; it is the baseline of the measures.
type Home struct{}

// Choose returns the index of the candidate that ranks first.
func (Home) Choose(candidates []Candidate) int {
	best := 0
	for i := range candidates {
		if candidates[i].Rank < candidates[best].Rank {
			best = i
		}
	}
	return best
}

// Use is the decayed use of one adapter.
type Use struct {
	Count float64
	At    time.Time
}

// Add counts uses at the time now.
func (u *Use) Add(now time.Time, count float64, halfLife time.Duration) {
	u.Count = u.Value(now, halfLife) + count
	u.At = now
}

// Value returns the decayed number of uses as of now.
func (u *Use) Value(now time.Time, halfLife time.Duration) float64 {
	if u.At.IsZero() {
		return 0
	}
	return u.Count * math.Exp2(-now.Sub(u.At).Seconds()/halfLife.Seconds())
}
