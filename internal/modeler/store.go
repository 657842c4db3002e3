package modeler

import "time"

// Store is the weight store: a load takes LoadTime while no more than MaxInFlight are in transit, and longer beyond.
type Store struct {
	LoadTime    time.Duration
	MaxInFlight int
	Rate        float64
	InFlight    int
	// Over counts the loads that began above the limits.
	Over  uint64
	Loads uint64
	begun []time.Time
}

// Begin starts a load and returns how long it takes.
func (s *Store) Begin(now time.Time) time.Duration {
	s.Loads++
	s.InFlight++
	s.countRate(now)
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

// RateWithin returns how many loads began in the window before now.
func (s *Store) RateWithin(now time.Time, window time.Duration) int {
	count := 0
	for _, b := range s.begun {
		if now.Sub(b) < window {
			count++
		}
	}
	return count
}

func (s *Store) countRate(now time.Time) {
	const kept = 256
	s.begun = append(s.begun, now)
	if len(s.begun) > kept {
		s.begun = s.begun[len(s.begun)-kept:]
	}
}
