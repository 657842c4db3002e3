package reducer

import (
	"time"
)

func (s *State) learnFromAnswer(now time.Time, b *Backend, e DispatchEnded) {
	if e.Reason == ReasonConnection || e.Reason == ReasonBackendFailed {
		b.Failures++
		b.FailedUntil = now.Add(s.jitter(failedFor << min(b.Failures-1, 3)))
		b.Limit = s.Config.BackendServers[b.ID].ColdRunning
		s.note(EventBackendFailed, Field{"backend_server", b.ID}, Field{"reason", e.Reason.String()})
		return
	}
	if e.Reason == ReasonNotLoaded {
		s.notLoaded(now, b, e.ID)
	}
	if e.Outcome != OutcomeDone {
		return
	}
	b.Failures = 0
	if e.BackendIncarnation != 0 && e.BackendIncarnation != b.Incarnation {
		s.restarted(now, b, e.BackendIncarnation)
	}
	s.watchFirstToken(now, b, e.FirstTokenAfter.Seconds())
}

func (s *State) watchFirstToken(now time.Time, b *Backend, seconds float64) {
	if seconds <= 0 {
		return
	}
	if b.FirstToken > 0 && seconds > slowFirstToken && seconds > s.Limits.SlowFirstToken*b.FirstToken {
		s.turnCold(now, b)
		return
	}
	b.Healthy++
	if b.FirstToken == 0 {
		b.FirstToken = seconds
		return
	}
	b.FirstToken += firstTokenShare * (seconds - b.FirstToken)
}

func (s *State) turnCold(now time.Time, b *Backend) {
	server := s.Config.BackendServers[b.ID]
	b.Limit = server.ColdRunning
	b.LimitRaisedAt = now
	b.ColdUntil = now.Add(server.ColdFor)
	b.Healthy = 0
	s.Counters.ColdDetected++
	s.note(EventBackendCold, Field{"backend_server", b.ID})
}

func (s *State) raiseLimit(now time.Time, b *Backend) {
	server := s.Config.BackendServers[b.ID]
	if b.Limit >= server.MaxRunning {
		b.Limit = server.MaxRunning
		return
	}
	if b.LimitRaisedAt.IsZero() {
		b.LimitRaisedAt = now
	}
	if now.Before(b.ColdUntil) {
		return
	}
	if now.Sub(b.LimitRaisedAt) < s.Limits.RampEvery || b.Healthy < b.Limit {
		return
	}
	b.Limit = min(2*b.Limit, server.MaxRunning)
	b.LimitRaisedAt = now
	b.Healthy = 0
}

const (
	// noteEvery is how often a note is repeated, since messages can be lost.
	noteEvery = 3 * time.Second
	// noteFor is how long a note is believed.
	noteFor = 30 * time.Second
)

func (s *State) sendNote(now time.Time, b *Backend) {
	if !b.Known {
		return
	}
	note := BackendNote{Backend: b.ID, Incarnation: b.Incarnation, Limit: b.Limit}
	if note == b.Noted && now.Sub(b.NotedAt) < noteEvery {
		return
	}
	next := s.candidateExcept(s.backendRight(s.Config.BackendServers[b.ID]), now, s.Self.HostID)
	if next == "" {
		return
	}
	b.Noted = note
	b.NotedAt = now
	s.send(next, BackendNotes{Notes: []BackendNote{note}})
}

func receiveNotes(s *State, now time.Time, m BackendNotes) {
	for _, n := range m.Notes {
		s.Notes[n.Backend] = KeptNote{Note: n, At: now}
	}
}

func (s *State) takeNote(now time.Time, b *Backend) {
	kept, ok := s.Notes[b.ID]
	delete(s.Notes, b.ID)
	server := s.Config.BackendServers[b.ID]
	warm := ok && now.Sub(kept.At) <= noteFor && kept.Note.Incarnation == b.Incarnation && kept.Note.Limit > server.ColdRunning
	if !warm {
		b.ColdUntil = now.Add(server.ColdFor)
		return
	}
	b.Limit = min(kept.Note.Limit, server.MaxRunning)
	b.ColdUntil = now
}
