package isolator

import (
	"cmp"
	"time"
)

// evidence is what speaks against a suspect.
type evidence[K cmp.Ordered] struct {
	suspect *Suspect[K]
	// all counts all crashes, and begun those in which the answer to the lost request had just begun.
	all, begun tally
	// trials counts the lost trials at whose crash no other server crashed.
	trials int
	// unsettled is set if the suspect has crashes that are too recent to count.
	unsettled bool
}

// tally counts crashes as incidents, and the different requests that were lost in them.
type tally struct {
	incidents  int
	incidentAt time.Time
	requests   map[uint64]bool
}

// add counts one crash; crashes are added in the order of their times.
func (t *tally) add(c Crash) {
	if t.requests == nil {
		t.requests = map[uint64]bool{}
	}
	t.requests[c.Request] = true
	if t.incidents == 0 || c.At.Sub(t.incidentAt) >= incidentGap {
		t.incidentAt = c.At
		t.incidents++
	}
}

// gather returns the evidence against a suspect from its settled crashes, without those that quarantined content explains. A crash at which the answer to
// a request had just begun counts against the content of such requests only.
func gather[K cmp.Ordered](now time.Time, s *Suspect[K], explained, begun map[uint64]bool, crashes map[uint64]time.Time) evidence[K] {
	e := evidence[K]{suspect: s}
	for _, crash := range s.Crashes {
		if explained[crash.Server] || begun[crash.Server] && !crash.AnswerBegun {
			continue
		}
		if now.Sub(crash.At) < settleTime {
			e.unsettled = true
			continue
		}
		e.all.add(crash)
		if crash.AnswerBegun {
			e.begun.add(crash)
		}
		if crash.Trial && alone(crash, crashes) {
			e.trials++
		}
	}
	return e
}

// alone reports whether no other server crashed at about the time of a crash: servers that crash together do so for a reason of their own.
func alone(crash Crash, crashes map[uint64]time.Time) bool {
	for server, at := range crashes {
		if server != crash.Server && at.Sub(crash.At).Abs() < incidentGap {
			return false
		}
	}
	return true
}

// sufficient reports whether the suspect has to be quarantined.
func (e evidence[K]) sufficient() bool {
	if e.suspect.Strikes > 0 {
		return e.all.incidents > 0
	}
	return e.trials >= minLostTrials || e.all.incidents >= minIncidents && len(e.all.requests) >= minRequests ||
		e.begun.incidents >= minBegunIncidents && len(e.begun.requests) >= minRequests || e.begun.incidents >= minRepeatedIncidents
}

// worseThan reports whether the suspect explains the crashes better than another one.
func (e evidence[K]) worseThan(other evidence[K]) bool {
	if e.begun.incidents != other.begun.incidents {
		return e.begun.incidents > other.begun.incidents
	}
	if e.all.incidents != other.all.incidents {
		return e.all.incidents > other.all.incidents
	}
	if c := e.suspect.SoundAt.Compare(other.suspect.SoundAt); c != 0 {
		return c < 0
	}
	return e.suspect.Depth > other.suspect.Depth
}
