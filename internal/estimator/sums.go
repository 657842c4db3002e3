package estimator

import (
	"math"
	"time"
)

// HalfLife is the time in which the samples of a backend server lose half of their weight.
const HalfLife = 20 * time.Second

// Sums is the work of samples and the time that it took; both decay with their age.
type Sums struct {
	Work float64
	Busy time.Duration
	// UpdatedAt is the time as of which Work and Busy are decayed.
	UpdatedAt time.Time
}

// At returns the sums decayed to the time now. Sums of a later time are returned as they are.
func (s Sums) At(now time.Time) Sums {
	age := now.Sub(s.UpdatedAt)
	if s.UpdatedAt.IsZero() || age <= 0 {
		return s
	}
	left := math.Exp2(-age.Seconds() / HalfLife.Seconds())
	return Sums{Work: s.Work * left, Busy: time.Duration(float64(s.Busy) * left), UpdatedAt: now}
}

// Add adds work that took the given time.
func (s *Sums) Add(now time.Time, work float64, took time.Duration) {
	*s = s.At(now)
	s.Work += work
	s.Busy += took
	s.UpdatedAt = now
}

// Minus returns what the sums hold beyond other ones, or nothing if they hold less work or less time.
func (s Sums) Minus(now time.Time, other Sums) Sums {
	a, b := s.At(now), other.At(now)
	if a.Work <= b.Work || a.Busy <= b.Busy {
		return Sums{}
	}
	return Sums{Work: a.Work - b.Work, Busy: a.Busy - b.Busy, UpdatedAt: now}
}

// The largest sums of samples that a server could give within some half-lives.
const (
	maxWork = 1e12
	maxBusy = time.Hour
)

// Valid reports whether work and time can be sums of samples.
func Valid(work float64, busy time.Duration) bool {
	return work > 0 && work < maxWork && busy > 0 && busy < maxBusy
}
