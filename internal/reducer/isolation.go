package reducer

import (
	"slices"
	"strconv"
	"time"

	"github.com/redwingpick/redwingpick/internal/hasher"
	"github.com/redwingpick/redwingpick/internal/isolator"
)

// Isolation is what this host knows of the content of requests that crashes backend servers.
type Isolation struct {
	// Content tracks the content that requests share, by the names that Request.Content returns.
	Content isolator.Tracker[string]
	// SharedAt is when changes were last sent to other hosts between two rounds of gossip.
	SharedAt time.Time
	// Canceled holds the IDs of the backend servers at which this host has ended requests lately, by their keys.
	Canceled map[uint64]string
}

// LostRequest is a request that this host lost when a backend server closed its connection.
type LostRequest struct {
	// Request identifies the content of the request, so that it is the same when the caller sends the request again.
	Request uint64
	Content []string
	At      time.Time
	// ID is the request's ID on this host, AnswerBegun is set if its answer had just begun, and Trial if it was sent as a trial.
	ID          string
	AnswerBegun bool
	Trial       bool
}

const (
	// maxCrashDelay is the longest time from the start of a response to a crash that the request has caused.
	maxCrashDelay = time.Second
	// maxBeginning is the time from the start of a response to its loss up to which the answer counts as just begun, if no event has come.
	maxBeginning = 250 * time.Millisecond
	// canceledTTL is the time from the end of a request by its host to a crash that it may have caused, and canceledMemory how long such a request is
	// remembered, until other hosts have told of the crash.
	canceledTTL    = 250 * time.Millisecond
	canceledMemory = 3 * time.Second
	// maxLost bounds the lost requests that are kept for one backend server.
	maxLost = 64
	// maxSuspects bounds the suspects in one message.
	maxSuspects = 48
)

// recordLoss records that a backend server closed the connection of a request, and finds out whether the server has crashed. A request whose response
// began long before cannot be the cause.
//
// What belongs to a request alone is suspect if its answer had just begun. A service without models answers in one piece, so there it always is.
func (s *State) recordLoss(now time.Time, b *Backend, r *Request, e DispatchEnded) {
	r.TrialLost = r.Trial
	begun := !r.RespondedAt.IsZero()
	age := now.Sub(r.RespondedAt)
	lost := LostRequest{
		Request: r.contentKey(), Content: r.Content(), At: now, ID: r.ID, AnswerBegun: begun && age <= maxBeginning && e.Events == 0, Trial: r.Trial,
	}
	if lost.AnswerBegun || !s.isEngine(b) {
		lost.Content = r.AllContent()
	}
	if len(lost.Content) == 0 || begun && age > maxCrashDelay {
		return
	}
	if crashedAt := s.crashedAt(b); !crashedAt.IsZero() && r.SentAt.After(crashedAt) && !s.isEngine(b) {
		// It has reached the next incarnation, whose entry this host has not read yet.
		b.LostNext = append(b.LostNext[:min(len(b.LostNext), maxLost-1)], lost)
		return
	}
	if !b.CrashedAt.IsZero() {
		s.recordCrash(now, b, lost)
		return
	}
	if len(b.Lost) == 0 || r.Trial {
		s.inspect(now, b, s.trialWitnesses(r)...)
	}
	b.keepLost(lost)
}

// keepCanceled keeps a request that this host ends while a server without models runs it: if the server crashes just after, that may be the cause.
func (s *State) keepCanceled(now time.Time, r *Request) {
	b, ok := s.Backends[r.Backend]
	if !ok || r.Phase != PhaseRunning || s.isEngine(b) {
		return
	}
	b.Canceled = slices.DeleteFunc(b.Canceled, func(l LostRequest) bool { return now.Sub(l.At) > canceledMemory })
	if len(b.Canceled) < maxLost {
		b.Canceled = append(b.Canceled, LostRequest{Request: r.contentKey(), Content: r.AllContent(), At: now, ID: r.ID, Trial: r.Trial})
		s.Isolation.Canceled[b.key()] = b.Info.ID
	}
}

// recordCanceled records the requests that this host ended at a server up to canceledTTL before it crashed.
func (s *State) recordCanceled(now time.Time, b *Backend, crashedAt time.Time) {
	for _, canceled := range b.Canceled {
		if crashedAt.Sub(canceled.At) <= canceledTTL {
			s.recordCrash(now, b, canceled)
		}
	}
	b.Canceled = nil
	delete(s.Isolation.Canceled, b.key())
}

// crashTold records what another host's word of a crash says about the requests that this host ended at the server just before, of whose connections it
// has seen nothing.
func (s *State) crashTold(now time.Time, crash isolator.Crash) {
	id, ok := s.Isolation.Canceled[crash.Server]
	if !ok {
		return
	}
	if b, known := s.Backends[id]; known && b.key() == crash.Server {
		s.recordCanceled(now, b, crash.At)
	}
	delete(s.Isolation.Canceled, crash.Server)
}

// key identifies the incarnation of a backend server in what hosts tell each other of crashes.
func (b *Backend) key() uint64 {
	return hasher.Key(b.Info.ID + "@" + strconv.FormatInt(b.Info.StartedUnixMs, 10))
}

// crashedAt returns when a backend server crashed, as far as this host or another one has lost requests there; zero if neither has.
func (s *State) crashedAt(b *Backend) time.Time {
	if !b.CrashedAt.IsZero() {
		return b.CrashedAt
	}
	return s.Isolation.Content.CrashedAt(b.key())
}

// inheritLosses gives a new incarnation of a server the requests that were lost there before this host knew of it.
func (s *State) inheritLosses(now time.Time, former, b *Backend) {
	if len(former.LostNext) == 0 {
		return
	}
	b.Lost = former.LostNext
	s.inspect(now, b)
}

// inspect finds out whether a backend server runs: by its report, or, as only engines have one, by whether it accepts connections.
//
// Others are the addresses of servers that are probed too.
func (s *State) inspect(now time.Time, b *Backend, others ...string) {
	if s.isEngine(b) {
		s.readReport(now, b)
		return
	}
	s.emit(ProbeBackend{Backend: b.Info.ID, Address: b.Info.Address, StartedUnixMs: b.Info.StartedUnixMs, Others: others})
}

// backendProbed decides whether a backend server without models has crashed since it lost requests.
func backendProbed(s *State, now time.Time, e BackendProbed) {
	b, ok := s.Backends[e.Backend]
	if !ok || b.Info.StartedUnixMs != e.StartedUnixMs {
		return
	}
	if !e.Refused {
		b.ProbedAt = e.RequestedAt
	}
	if e.OthersRefuse {
		// Servers that crash together do so for a reason of their own, so that a trial shows nothing.
		for i := range b.Lost {
			b.Lost[i].Trial = false
		}
	}
	s.checkLosses(now, b, e.Refused, e.RequestedAt)
}

// keepLost keeps a lost request until it is known whether the server has crashed. If there are too many, one whose answer had just begun, which
// has probably caused the crash, replaces another one.
func (b *Backend) keepLost(lost LostRequest) {
	if len(b.Lost) < maxLost {
		b.Lost = append(b.Lost, lost)
		return
	}
	i := slices.IndexFunc(b.Lost, func(l LostRequest) bool { return !l.AnswerBegun })
	if lost.AnswerBegun && i >= 0 {
		b.Lost[i] = lost
	}
}

func (s *State) readReport(now time.Time, b *Backend) {
	s.spendControl(now, b)
	s.emit(ReadReport{Backend: b.Info.ID, Address: b.Info.Address, StartedUnixMs: b.Info.StartedUnixMs})
}

// checkLosses decides by what a backend server said of itself at a time whether it has crashed since it lost requests.
func (s *State) checkLosses(now time.Time, b *Backend, crashed bool, asOf time.Time) {
	if crashed {
		s.confirmCrash(now, b)
		return
	}
	var later []LostRequest
	for _, lost := range b.Lost {
		if lost.At.After(asOf) {
			later = append(later, lost)
		}
	}
	if b.Lost = later; len(later) > 0 {
		s.inspect(now, b)
	}
}

// confirmCrash records the crash of a backend server if this host has lost requests there.
func (s *State) confirmCrash(now time.Time, b *Backend) {
	if len(b.Lost) == 0 {
		return
	}
	b.CrashedAt = now
	s.Counters.BackendCrashes++
	s.logEvent(EventBackendCrashed, Field{"backend_server", b.Info.ID}, intField("lost", len(b.Lost)), ageField("lost_age_ms", now, b.Lost[0].At))
	s.recordCanceled(now, b, b.Lost[0].At)
	for _, lost := range b.Lost {
		s.recordCrash(now, b, lost)
	}
	b.Lost = nil
}

// recordCrash records the content of a request that was lost at a crash as suspect. A request whose answer had just begun has probably caused
// the crash, so that its retry is given up.
func (s *State) recordCrash(now time.Time, b *Backend, lost LostRequest) {
	crash := isolator.Crash{
		Server: b.key(), Request: lost.Request, At: lost.At,
		AnswerBegun: lost.AnswerBegun, Trial: lost.Trial,
	}
	s.Isolation.Content.RecordCrash(now, crash, lost.Content)
	if r, ok := s.Requests[lost.ID]; ok && lost.AnswerBegun && r.Phase != PhaseResponding {
		s.cancelRequest(now, r, ReasonBroken, 0)
	}
}

// recordSoundContent records that a request was answered completely, so that none of its content crashes backend servers.
func (s *State) recordSoundContent(now time.Time, r *Request) {
	content := r.Content()
	if own, ok := r.ownContent(); ok && s.Isolation.Content.Tracks(own) {
		content = append(content, own)
	}
	s.logReleased(s.Isolation.Content.RecordSound(now, content))
}

// tickIsolation judges the suspects, ends quarantines and tells other hosts of changes.
func tickIsolation(s *State, now time.Time) {
	tracker := &s.Isolation.Content
	s.logReleased(tracker.Tick(now))
	for _, content := range tracker.Judge(now, s.Limits.Quarantine) {
		s.quarantineBegan(now, content, "")
	}
	if !tracker.ChangedSince(s.Isolation.SharedAt) {
		return
	}
	s.Isolation.SharedAt = now
	for _, id := range s.gossipTargets(now) {
		s.sendIsolation(now, id)
	}
}

// quarantineBegan logs the quarantine of content, which this host or another one has begun, and ends the requests with the content. A response
// that has begun is left to end by itself.
func (s *State) quarantineBegan(now time.Time, content, from string) {
	suspect := s.Isolation.Content.Suspects[content]
	s.Counters.Quarantines++
	s.logEvent(EventContentQuarantined, Field{"content", content}, Field{"peer", from}, intField("crashes", len(suspect.Crashes)),
		ageField("answered_age_ms", now, suspect.SoundAt), msField("quarantine_ms", suspect.QuarantinedUntil.Sub(now)))
	for _, id := range sortedKeys(s.Requests) {
		r := s.Requests[id]
		if r.Phase != PhaseResponding && slices.Contains(r.AllContent(), content) {
			s.refuseForContent(now, r, content)
		}
	}
}

func (s *State) logReleased(contents []string) {
	for _, content := range contents {
		s.logEvent(EventContentReleased, Field{"content", content})
	}
}

// refuseQuarantined refuses a request that has content in quarantine, and reports whether it did.
func refuseQuarantined(s *State, now time.Time, r *Request) bool {
	if !s.Isolation.Content.AnyQuarantined(now) {
		return false
	}
	content, ok := s.Isolation.Content.Quarantined(now, r.AllContent())
	if ok {
		s.refuseForContent(now, r, content)
	}
	return ok
}

// refuseForContent refuses a request for content in quarantine and cancels its attempt if one is running.
func (s *State) refuseForContent(now time.Time, r *Request, content string) {
	r.QuarantinedContent = content
	s.cancelRequest(now, r, ReasonQuarantined, s.Isolation.Content.Suspects[content].QuarantinedUntil.Sub(now))
}

// sendIsolation sends a host what changed recently of the losses and the suspects, and the quarantines in turn.
func (s *State) sendIsolation(now time.Time, to string) {
	s.sendLosses(now, to)
	s.sendSuspects(now, to)
}

// sendLosses sends a host the losses that changed recently.
func (s *State) sendLosses(now time.Time, to string) {
	var m Losses
	for _, loss := range s.Isolation.Content.SharedLosses(now) {
		m.Requests = append(m.Requests, Loss{ID: loss.ID, Crash: toldCrash(now, loss.Crash), Contents: loss.Content})
	}
	if len(m.Requests) > 0 {
		s.send(to, m)
	}
}

// receiveLosses adds what another host knows of requests that were lost at crashes.
func receiveLosses(s *State, now time.Time, m Losses) {
	for _, told := range m.Requests {
		loss := isolator.Loss[string]{ID: told.ID, Crash: told.Crash.crash(now), Content: told.Contents}
		s.logReleased(s.Isolation.Content.MergeLoss(now, loss))
	}
}

// toldCrash returns a crash as this host tells others of it.
func toldCrash(now time.Time, c isolator.Crash) SuspectCrash {
	return SuspectCrash{Server: c.Server, Request: c.Request, Age: now.Sub(c.At), AnswerBegun: c.AnswerBegun, Trial: c.Trial}
}

// crash returns a crash of which another host has told.
func (c SuspectCrash) crash(now time.Time) isolator.Crash {
	return isolator.Crash{Server: c.Server, Request: c.Request, At: now.Add(-c.Age), AnswerBegun: c.AnswerBegun, Trial: c.Trial}
}

// sendSuspects sends a host the suspects that changed recently and those in quarantine.
func (s *State) sendSuspects(now time.Time, to string) {
	var m Suspects
	for _, suspect := range s.Isolation.Content.Shared(now, maxSuspects) {
		told := SuspectContent{
			Content: suspect.Key, Depth: suspect.Depth, Strikes: suspect.Strikes, QuarantineLeft: max(suspect.QuarantinedUntil.Sub(now), 0),
			Answered: !suspect.SoundAt.IsZero(),
		}
		if told.Answered {
			told.AnsweredAge = now.Sub(suspect.SoundAt)
		}
		for _, crash := range suspect.Crashes {
			told.Crashes = append(told.Crashes, toldCrash(now, crash))
		}
		m.Contents = append(m.Contents, told)
	}
	if len(m.Contents) > 0 {
		s.send(to, m)
	}
}

// receiveSuspects adds what another host knows of content that may crash backend servers.
func receiveSuspects(s *State, now time.Time, from string, m Suspects) {
	for _, told := range m.Contents {
		suspect := isolator.Suspect[string]{Key: told.Content, Depth: told.Depth, Strikes: told.Strikes}
		if told.Answered {
			suspect.SoundAt = now.Add(-told.AnsweredAge)
		}
		if told.QuarantineLeft > 0 {
			suspect.QuarantinedUntil = now.Add(told.QuarantineLeft)
		}
		for _, crash := range told.Crashes {
			suspect.Crashes = append(suspect.Crashes, crash.crash(now))
			s.crashTold(now, crash.crash(now))
		}
		released, quarantined := s.Isolation.Content.Merge(now, suspect, s.Limits.Quarantine)
		if released {
			s.logReleased([]string{told.Content})
		}
		if quarantined {
			s.quarantineBegan(now, told.Content, from)
		}
	}
}
