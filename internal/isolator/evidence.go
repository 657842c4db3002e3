package isolator

import (
	"cmp"
	"time"
)

// evidence is what speaks against a suspect.
type evidence[K cmp.Ordered] struct {
	suspect   *Suspect[K]
	incidents int
	requests  int
	// unsettled is set if the suspect has crashes that are too recent to count.
	unsettled bool
}

// gather returns the evidence against a suspect from its settled crashes, without those that quarantined content explains.
func gather[K cmp.Ordered](now time.Time, s *Suspect[K], explained map[uint64]bool) evidence[K] {
	e := evidence[K]{suspect: s}
	requests := map[uint64]bool{}
	var incidentAt time.Time
	for _, crash := range s.Crashes {
		if explained[crash.Server] {
			continue
		}
		if now.Sub(crash.At) < settleTime {
			e.unsettled = true
			continue
		}
		requests[crash.Request] = true
		if incidentAt.IsZero() || crash.At.Sub(incidentAt) >= incidentGap {
			incidentAt = crash.At
			e.incidents++
		}
	}
	e.requests = len(requests)
	return e
}

// sufficient reports whether the suspect has to be quarantined.
func (e evidence[K]) sufficient() bool {
	if e.suspect.Strikes > 0 {
		return e.incidents > 0
	}
	return e.incidents >= minIncidents && e.requests >= minRequests
}

// worseThan reports whether the suspect explains the crashes better than another one.
func (e evidence[K]) worseThan(other evidence[K]) bool {
	if e.incidents != other.incidents {
		return e.incidents > other.incidents
	}
	if c := e.suspect.SoundAt.Compare(other.suspect.SoundAt); c != 0 {
		return c < 0
	}
	return e.suspect.Depth > other.suspect.Depth
}
