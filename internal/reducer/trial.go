package reducer

import (
	"time"

	"github.com/redwingpick/redwingpick/internal/arbiter"
	"github.com/redwingpick/redwingpick/internal/selector"
)

// Trials is the state of the trials of requests that were lost at several crashes.
type Trials struct {
	// Arbiter grants trials at the services for which this host is the arbiter.
	Arbiter arbiter.Arbiter
	// Questions holds this host's questions to the arbiters, by service, and Sequence numbers them.
	Questions map[string]*TrialQuestion
	Sequence  uint64
}

// TrialQuestion is what this host asks the arbiter of a service, until it has no request to try there.
type TrialQuestion struct {
	Content  string
	Sequence uint64
	// RequestID is the request that is being tried; empty while the arbiter has not granted the trial.
	RequestID string
	// AskedAt is when the arbiter was last asked, and AnsweredAt when it last answered, or when this host first asked.
	AskedAt, AnsweredAt time.Time
}

const (
	// probationCrashes is the number of server processes at whose crashes a request must have been lost for it to be sent as a trial only.
	probationCrashes = 3
	// trialInterval is the time between two questions to an arbiter, and arbiterTimeout the time without an answer after which this host decides by itself:
	// the arbiter may be cut off, or of an older build.
	trialInterval  = 150 * time.Millisecond
	arbiterTimeout = 600 * time.Millisecond
)

// probation returns the name of a request that was lost at so many crashes that it may only be sent as a trial.
func (s *State) probation(r *Request) (content string, ok bool) {
	if len(s.Isolation.Content.Suspects) == 0 || len(r.Parts) > 0 {
		return "", false
	}
	content, ok = r.ownContent()
	if !ok {
		return "", false
	}
	suspect, known := s.Isolation.Content.Suspects[content]
	return content, known && len(suspect.Crashes) >= probationCrashes
}

// holdForTrial makes a request wait that may only be sent as a trial, and reports whether it does.
func (s *State) holdForTrial(now time.Time, r *Request) bool {
	if r.Trial {
		return false
	}
	if _, ok := s.probation(r); !ok {
		return false
	}
	s.stopWaiting(r)
	if r.Phase != PhaseAwaitingTrial {
		s.Counters.TrialWaits++
		s.wakeAt(now)
	}
	r.Phase, r.Backend, r.WaitSince = PhaseAwaitingTrial, "", now
	return true
}

// tickTrials releases the requests that need no trial any more, and asks the arbiters for the trials of the others.
func tickTrials[P selector.Policy](s *State, now time.Time) {
	s.Trials.Arbiter.Prune(now)
	if len(s.Trials.Questions) == 0 && !s.awaitsTrials() {
		return
	}
	waiting := s.releaseTried(now)
	for _, service := range sortedKeys(waiting) {
		if s.Trials.Questions[service] == nil {
			content, _ := waiting[service].ownContent()
			s.Trials.Sequence++
			s.Trials.Questions[service] = &TrialQuestion{Content: content, Sequence: s.Trials.Sequence, AnsweredAt: now}
		}
	}
	for _, service := range sortedKeys(s.Trials.Questions) {
		askArbiter[P](s, now, service, waiting[service] != nil)
	}
}

// releaseTried queues the requests that need no trial any more, and returns, by service, the one of the others that arrived first where a server is usable.
func (s *State) releaseTried(now time.Time) map[string]*Request {
	waiting := map[string]*Request{}
	for _, id := range sortedKeys(s.Requests) {
		r := s.Requests[id]
		if r.Phase != PhaseAwaitingTrial {
			continue
		}
		if _, ok := s.probation(r); !ok {
			r.Phase, r.WaitSince = PhaseQueued, now
			continue
		}
		first := waiting[r.Service]
		if (first == nil || r.ArrivedAt.Before(first.ArrivedAt)) && len(s.usableBackends(now, r)) > 0 {
			waiting[r.Service] = r
		}
	}
	return waiting
}

// awaitsTrials reports whether a request waits for its trial. Few ticks find one, so that the requests need not be sorted in the others.
func (s *State) awaitsTrials() bool {
	for _, r := range s.Requests {
		if r.Phase == PhaseAwaitingTrial {
			return true
		}
	}
	return false
}

// askArbiter asks for the trial of a question or renews it, and drops the question if there is nothing to try any more.
func askArbiter[P selector.Policy](s *State, now time.Time, service string, waiting bool) {
	q := s.Trials.Questions[service]
	if q.RequestID == "" && !waiting {
		delete(s.Trials.Questions, service)
		return
	}
	if now.Sub(q.AskedAt) < trialInterval {
		return
	}
	q.AskedAt = now
	host := s.arbiterOf(now, service)
	if host != s.Self.HostID && now.Sub(q.AnsweredAt) < arbiterTimeout {
		s.send(host, TrialRequest{Service: service, Content: q.Content, Sequence: q.Sequence})
		return
	}
	if s.Trials.Arbiter.Request(now, service, arbiter.Trial{Host: s.Self.HostID, Content: q.Content, Sequence: q.Sequence}) {
		beginTrial[P](s, now, service, q)
	}
}

// arbiterOf returns the host that grants the trials at a service: the active host that ranks first for it.
func (s *State) arbiterOf(now time.Time, service string) string {
	ranked := s.ranked(now, rankKey{Key: "trial/" + service}, 1)
	if len(ranked) == 0 {
		return s.Self.HostID
	}
	return ranked[0]
}

// receiveTrialRequest answers another host's question, or records the end of its trial.
func receiveTrialRequest(s *State, now time.Time, from string, m TrialRequest) {
	trial := arbiter.Trial{Host: from, Content: m.Content, Sequence: m.Sequence}
	if m.Ended {
		s.Trials.Arbiter.End(now, m.Service, trial, m.Lost)
		return
	}
	granted := s.Trials.Arbiter.Request(now, m.Service, trial)
	s.send(from, TrialReply{Service: m.Service, Sequence: m.Sequence, Granted: granted})
}

// receiveTrialReply begins a trial that the arbiter has granted.
func receiveTrialReply[P selector.Policy](s *State, now time.Time, m TrialReply) {
	q, ok := s.Trials.Questions[m.Service]
	if !ok || q.Sequence != m.Sequence {
		return
	}
	q.AnsweredAt = now
	if m.Granted {
		beginTrial[P](s, now, m.Service, q)
	}
}

// beginTrial sends the waiting request with the content that has the most time left, unless one is being tried already: a trial that its deadline ends
// shows nothing.
func beginTrial[P selector.Policy](s *State, now time.Time, service string, q *TrialQuestion) {
	q.AnsweredAt = now
	if q.RequestID != "" {
		return
	}
	var tried *Request
	for _, id := range sortedKeys(s.Requests) {
		r := s.Requests[id]
		own, _ := r.ownContent()
		if r.Phase == PhaseAwaitingTrial && r.Service == service && own == q.Content && (tried == nil || r.Deadline.After(tried.Deadline)) {
			tried = r
		}
	}
	if tried == nil {
		s.endTrial(now, service, q, false)
		return
	}
	q.RequestID = tried.ID
	tried.Trial, tried.TrialAt, tried.Phase, tried.WaitSince = true, now, PhaseQueued, now
	s.Counters.Trials++
	s.logEvent(EventTrialBegan, s.requestFields(now, tried, Field{"service", service}, Field{"content", q.Content},
		Field{"peer", s.arbiterOf(now, service)}, intField("crashes", len(s.Isolation.Content.Suspects[q.Content].Crashes)))...)
	s.findWitnesses(now, tried)
	placeRequest[P](s, now, tried)
}

// findWitnesses finds out which other servers run at the beginning of a trial: whether they end with the server of the trial shows whether the trial
// is the cause.
func (s *State) findWitnesses(now time.Time, r *Request) {
	probed := 0
	for _, b := range s.usableBackends(now, r) {
		if probed < maxWitnesses && !s.isEngine(b) {
			s.emit(ProbeBackend{Backend: b.Info.ID, Address: b.Info.Address, StartedUnixMs: b.Info.StartedUnixMs, Once: true})
			probed++
		}
	}
}

// trialWitnesses returns the addresses of the other servers that ran at the beginning of a trial.
func (s *State) trialWitnesses(r *Request) (addresses []string) {
	if !r.Trial {
		return nil
	}
	for _, b := range s.serviceBackends(r.Service) {
		if b.Info.ID != r.Backend && !b.ProbedAt.Before(r.TrialAt) {
			addresses = append(addresses, b.Info.Address)
		}
	}
	return addresses
}

// maxWitnesses bounds the other servers that are probed after a lost trial.
const maxWitnesses = 4

// requestTried ends the trial of a request that has ended.
func (s *State) requestTried(now time.Time, r *Request) {
	if !r.Trial {
		return
	}
	if r.TrialLost {
		s.Counters.TrialsLost++
	}
	content, _ := r.ownContent()
	s.logEvent(EventTrialEnded, s.requestFields(now, r, Field{"service", r.Service}, Field{"content", content}, boolField("lost", r.TrialLost))...)
	if q, ok := s.Trials.Questions[r.Service]; ok && q.RequestID == r.ID {
		s.endTrial(now, r.Service, q, r.TrialLost)
	}
}

// endTrial ends a question, and tells the arbiter of the service that the trial has ended.
func (s *State) endTrial(now time.Time, service string, q *TrialQuestion, lost bool) {
	delete(s.Trials.Questions, service)
	s.Trials.Arbiter.End(now, service, arbiter.Trial{Host: s.Self.HostID, Content: q.Content, Sequence: q.Sequence}, lost)
	if host := s.arbiterOf(now, service); host != s.Self.HostID {
		s.send(host, TrialRequest{Service: service, Content: q.Content, Sequence: q.Sequence, Ended: true, Lost: lost})
	}
}
