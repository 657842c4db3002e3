package reducer

import (
	"time"

	"github.com/redwingpick/redwingpick/internal/selector"
)

// answerClaim hands rights over to a host that ranks before this one.
func answerClaim[P selector.Policy](s *State, now time.Time, e PeerReceived, m LeaseClaim) {
	for _, r := range m.Rights {
		if s.holds(r, now) && s.candidate(r, now) == e.From {
			handOver[P](s, now, r, e.From)
		}
	}
}

// handOver stops to act under a right, frees it at the voters and passes on what the next holder needs.
func handOver[P selector.Policy](s *State, now time.Time, r Right, to string) {
	h := s.Leases.Holdings[r]
	message := LeaseHandover{Right: r}
	switch r.Kind {
	case KindAccount:
		message.Account = accountHandover(now, h)
	case KindBackend:
		message.Backend = backendHandover(s, now, r.Name)
	}
	s.Counters.Handovers++
	s.note(EventLeaseHandedOver, Field{"right", r.String()}, Field{"to", to})
	delete(s.Leases.Holdings, r)
	delete(s.Leases.Vacant, r)
	s.stopped(r)
	s.release(now, r, h)
	s.send(to, message)
	settleLost[P](s, now)
}

func (s *State) release(now time.Time, r Right, h *Holding) {
	for _, v := range distinctVoters(h) {
		if v == s.Self.HostID {
			own := PeerReceived{From: s.Self.HostID, Incarnation: s.Self.Incarnation}
			releasePromises(s, now, own, LeaseRelease{SentAt: s.age(now), Rights: []Right{r}})
			continue
		}
		delete(s.peer(v).AckedDigests, h.Anchor)
		s.send(v, LeaseRelease{SentAt: s.age(now), Rights: []Right{r}})
	}
}

// takeHandover keeps what the former holder passed on and asks the voters at once.
func takeHandover(s *State, now time.Time, m LeaseHandover) {
	if s.Draining.Active || s.holds(m.Right, now) || !s.rightExists(m.Right) {
		return
	}
	s.Leases.Vacant[m.Right] = now.Add(offerFor)
	s.seek(now, m.Right)
	h := s.Leases.Holdings[m.Right]
	h.Handover = &m
	h.HandoverAt = now
	h.Holder = ""
	s.requestVotes(now, map[string][]Right{h.Anchor: s.anchorRights(h.Anchor)})
}

// drain starts to leave: rights go to the next hosts in rank, and requests that wait here are sent on.
func drain[P selector.Policy](s *State, now time.Time) {
	if s.Draining.Active {
		return
	}
	s.Draining.Active = true
	s.Draining.Since = now
	s.note(EventDrainStarted)
	recomputeWanted(s, now)
	for _, r := range s.heldRights(now) {
		if r.Kind == KindHost {
			continue
		}
		if next := s.candidate(r, now); next != "" {
			handOver[P](s, now, r, next)
		}
	}
	for _, id := range s.chords() {
		s.touch(id)
	}
}

func (s *State) heldRights(now time.Time) []Right {
	var rights []Right
	for _, r := range s.soughtRights() {
		if s.holds(r, now) {
			rights = append(rights, r)
		}
	}
	return rights
}

// tickDrain ends the drain when no request is left and callers' addresses have run out, or when the time is over.
func tickDrain[P selector.Policy](s *State, now time.Time) {
	if !s.Draining.Active || s.Draining.Done {
		return
	}
	left := now.Sub(s.Draining.Since)
	quiet := len(s.Requests) == 0 && left >= s.Limits.LocateFor
	if quiet || left >= s.Limits.DrainFor {
		s.Draining.Done = true
		s.note(EventDrainDone)
		s.emit(Drained{})
	}
}
