package selector

import (
	"math"
	"time"
)

// Candidate is one backend server that could serve a request, with what the choosing host knows of it.
type Candidate struct {
	Backend string
	// Rank is the position in the rendezvous order of the request's adapter, starting at 0.
	Rank int
	// Replica is set if the backend server is assigned to the adapter, which then has no penalty for its rank.
	Replica bool
	// Handicap is added to the delay for the choice.
	Handicap time.Duration
	// Delay is the expected time to the first piece of the response.
	Delay time.Duration
	// SameDomain reports whether the backend server is in the failure domain of the choosing host.
	SameDomain bool
	// TieBreaker is a random number; the lowest breaks a tie.
	TieBreaker uint64
	// Deferred is set for a candidate that is chosen only if no other is left.
	Deferred bool
}

// Policy chooses one of the candidates, of which there is at least one.
type Policy interface { // type constraint
	Choose(candidates []Candidate) int
}

// notFirstPenalty is added to the delay of every candidate except the first by rank, and rankPenalty once per rank. Another candidate must
// therefore be faster by its penalties to be chosen, and requests that the first candidate does not get tend to go to the same next one.
const (
	notFirstPenalty = 100 * time.Millisecond
	rankPenalty     = 50 * time.Millisecond
)

// otherDomainPenalty is added to the delay of a backend server in another failure domain.
const otherDomainPenalty = 3 * time.Millisecond

// LeastDelay chooses by the expected time to the first piece of the response, with penalties for rank and for another failure domain.
type LeastDelay struct{}

// Choose returns the index of the candidate with the lowest delay after penalties.
func (LeastDelay) Choose(candidates []Candidate) int {
	best := 0
	for i := range candidates {
		if less(candidates[i], candidates[best]) {
			best = i
		}
	}
	return best
}

func less(a, b Candidate) bool {
	if a.Deferred != b.Deferred {
		return b.Deferred
	}
	x, y := penalizedDelay(a), penalizedDelay(b)
	if x != y {
		return x < y
	}
	return a.TieBreaker < b.TieBreaker
}

func penalizedDelay(c Candidate) time.Duration {
	delay := c.Delay + c.Handicap
	if c.Rank > 0 && !c.Replica {
		delay += notFirstPenalty + time.Duration(c.Rank)*rankPenalty
	}
	if !c.SameDomain {
		delay += otherDomainPenalty
	}
	return delay
}

// NearLeast returns the indices of the candidates whose delay after penalties exceeds the lowest by no more than a fraction of it.
func NearLeast(candidates []Candidate, divisor int) []int {
	if len(candidates) == 0 {
		return nil
	}
	least := penalizedDelay(candidates[0])
	for _, c := range candidates[1:] {
		least = min(least, penalizedDelay(c))
	}
	var near []int
	for i, c := range candidates {
		if penalizedDelay(c) <= least+least/time.Duration(divisor) {
			near = append(near, i)
		}
	}
	return near
}

// FirstRanked always chooses the candidate that ranks first; it is the baseline for measurements of other policies.
type FirstRanked struct{}

// Choose returns the index of the candidate with the lowest rank.
func (FirstRanked) Choose(candidates []Candidate) int {
	best := 0
	for i := range candidates {
		if candidates[i].Rank < candidates[best].Rank {
			best = i
		}
	}
	return best
}

// DecayingCount is a count of uses that decays exponentially with time.
type DecayingCount struct {
	Count     float64
	UpdatedAt time.Time
}

// Add adds uses at the time now; halfLife is the time in which the count decays by half.
func (c *DecayingCount) Add(now time.Time, count float64, halfLife time.Duration) {
	c.Count = c.Value(now, halfLife) + count
	c.UpdatedAt = now
}

// Value returns the decayed count at the time now.
func (c *DecayingCount) Value(now time.Time, halfLife time.Duration) float64 {
	if c.UpdatedAt.IsZero() {
		return 0
	}
	return c.Count * math.Exp2(-now.Sub(c.UpdatedAt).Seconds()/halfLife.Seconds())
}
