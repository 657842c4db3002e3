package reducer

import (
	"time"

	"github.com/redwingpick/redwingpick/internal/selector"
)

func (s *State) sendBack(now time.Time, r *Request, reason Reason) {
	if r.Forwarded {
		s.giveBack(r, reason, s.notOwnerHint(s.Config.BackendServers[r.Backend], now))
		return
	}
	r.Tried = append(r.Tried, r.Backend)
	s.delay(now, r)
}

func retryPlaced[P selector.Policy](s *State, now time.Time, r *Request) {
	r.Attempt++
	if r.Attempt >= s.Limits.MaxAttempts {
		refuse(s, r, OutcomeNotRun, ReasonOverloaded, time.Second)
		return
	}
	if len(r.Tried) < candidateCount/2 {
		place[P](s, now, r)
	}
}

func giveUpFailed[P selector.Policy](s *State, now time.Time, b *Backend) {
	reason := ReasonNone
	switch {
	case !s.Config.eligible(s.Config.BackendServers[b.ID]):
		reason = ReasonNoBackend
	case now.Before(b.FailedUntil):
		reason = ReasonBackendFailed
	}
	if reason != ReasonNone {
		moveAll[P](s, now, b, reason)
	}
}

func settleLost[P selector.Policy](s *State, now time.Time) {
	for _, id := range sortedKeys(s.Backends) {
		b := s.Backends[id]
		if b.Lost {
			moveAll[P](s, now, b, ReasonNotOwner)
			s.forgetLost(b)
		}
	}
}

func moveAll[P selector.Policy](s *State, now time.Time, b *Backend, reason Reason) {
	for _, r := range s.takeWaiting(b) {
		if r.Forwarded {
			s.giveBack(r, reason, "")
			continue
		}
		if reason != ReasonNotOwner {
			r.Tried = append(r.Tried, b.ID)
		}
		r.Attempt++
		if r.Attempt >= s.Limits.MaxAttempts {
			refuse(s, r, OutcomeNotRun, reason, time.Second)
			continue
		}
		s.delay(now, r)
	}
}

func (s *State) takeWaiting(b *Backend) []*Request {
	var moved []*Request
	for _, id := range b.Queue.Remove(func(string) bool { return true }) {
		r := s.Requests[id]
		b.unpin(r)
		moved = append(moved, r)
	}
	for _, key := range b.residentKeys() {
		resident := b.Residents[key]
		for _, id := range resident.Waiting {
			moved = append(moved, s.Requests[id])
		}
		b.waiting -= len(resident.Waiting)
		resident.Waiting = nil
		if resident.Stage == ResidencyWanted {
			b.forget(key)
		}
	}
	sortRequests(moved)
	return moved
}

func refreshBackends[P selector.Policy](s *State, now time.Time) {
	if !s.Config.withdrawn(s.Self.FailureDomain) {
		s.WithdrawnAt = time.Time{}
	} else if s.WithdrawnAt.IsZero() {
		s.WithdrawnAt = now
	}
	for _, id := range sortedKeys(s.Backends) {
		b := s.Backends[id]
		server, ok := s.Config.BackendServers[id]
		if !ok {
			b.Lost = true
			continue
		}
		b.Slots = server.AdapterSlots
		if !s.Config.eligible(server) {
			b.Limit = server.ColdRunning
			b.Healthy = 0
		}
	}
	settleLost[P](s, now)
}

func effectExpired[P selector.Policy](s *State, now time.Time, e EffectExpired) {
	s.Counters.EffectsExpired++
	switch f := e.Effect.(type) {
	case Dispatch:
		dispatchEnded[P](s, now, DispatchEnded{ID: f.ID, Backend: f.Backend, Outcome: OutcomeNotRun, Reason: ReasonNotOwner})
	case LoadAdapter:
		loadEnded[P](s, now, LoadEnded{
			Backend: f.Backend, Adapter: f.Adapter, PermitFrom: f.PermitFrom, PermitSequence: f.PermitSequence, Failed: true,
		})
	}
}
