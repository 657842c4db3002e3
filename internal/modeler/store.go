package modeler

import "time"

// Store is the weight store: a load takes LoadTime while no more than MaxInFlight are in transit, and longer beyond.
type Store struct {
	LoadTime    time.Duration
	MaxInFlight int
	// Rate is the loads a second that the store allows; it refuses what comes faster.
	Rate     float64
	InFlight int
	// Over counts the loads that began above the limits.
	Over    uint64
	Loads   uint64
	Refused uint64
	level   float64
	last    time.Time
}

// storeBurst is how many seconds of the rate the store lets come at once.
const storeBurst = 1

// Admit reports whether the store's rate allows a load now.
func (s *Store) Admit(now time.Time) bool {
	if s.Rate <= 0 {
		return true
	}
	if s.last.IsZero() {
		s.level = storeBurst * s.Rate
	} else {
		s.level = min(s.level+now.Sub(s.last).Seconds()*s.Rate, storeBurst*s.Rate)
	}
	s.last = now
	if s.level < 1 {
		s.Refused++
		return false
	}
	s.level--
	return true
}

// Begin starts a load and returns how long it takes.
func (s *Store) Begin() time.Duration {
	s.Loads++
	s.InFlight++
	if s.InFlight <= s.MaxInFlight {
		return s.LoadTime
	}
	s.Over++
	return s.LoadTime * time.Duration(s.InFlight) / time.Duration(s.MaxInFlight)
}

// End finishes a load.
func (s *Store) End() {
	s.InFlight--
}
