package reducer

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/redwingpick/redwingpick/internal/hasher"
	"github.com/redwingpick/redwingpick/internal/isolator"
)

// Isolation is what this host knows of the content that crashes backend servers.
type Isolation struct {
	// Parts tracks the shared parts of prompts by their IDs.
	Parts isolator.Tracker[string]
	// SharedAt is when changes were last sent to other hosts between two rounds of gossip.
	SharedAt time.Time
}

// LostRequest is a request that this host lost when a backend server closed its connection.
type LostRequest struct {
	// Request identifies the content of the request, so that it is the same when the caller sends the request again.
	Request uint64
	Parts   []string
	At      time.Time
	// ID is the request's ID on this host, and AnswerBegun is set if its answer had just begun.
	ID          string
	AnswerBegun bool
}

const (
	// maxCrashDelay is the longest time from the start of a response to a crash that the request has caused.
	maxCrashDelay = time.Second
	// maxBeginning is the time from the start of a response to its loss up to which the answer counts as just begun, if no event has come.
	maxBeginning = 250 * time.Millisecond
	// maxLost bounds the lost requests that are kept for one backend server.
	maxLost = 64
	// maxSuspectParts bounds the parts in one message.
	maxSuspectParts = 48
)

// recordLoss records that a backend server closed the connection of a request, and requests the server's report to learn whether the server
// has crashed. A request whose response began long before cannot be the cause.
func (s *State) recordLoss(now time.Time, b *Backend, r *Request, e DispatchEnded) {
	parts, begun := partNames(r), !r.RespondedAt.IsZero()
	age := now.Sub(r.RespondedAt)
	if len(parts) == 0 || !s.isEngine(b) || begun && age > maxCrashDelay {
		return
	}
	lost := LostRequest{
		Request: hasher.Key(r.Parts[len(r.Parts)-1].ID), Parts: parts, At: now, ID: r.ID, AnswerBegun: begun && age <= maxBeginning && e.Events == 0,
	}
	if !b.CrashedAt.IsZero() {
		s.recordCrash(now, b, lost)
		return
	}
	if len(b.Lost) == 0 {
		s.readReport(b)
	}
	if len(b.Lost) < maxLost {
		b.Lost = append(b.Lost, lost)
	}
}

func (s *State) readReport(b *Backend) {
	s.emit(ReadReport{Backend: b.Info.ID, Address: b.Info.Address, StartedUnixMs: b.Info.StartedUnixMs})
}

// checkLosses decides by a backend server's report, or by its absence, whether the server has crashed since it lost requests.
func (s *State) checkLosses(now time.Time, b *Backend, e BackendReported) {
	if e.Failed {
		s.confirmCrash(now, b)
		return
	}
	var later []LostRequest
	for _, lost := range b.Lost {
		if lost.At.After(e.RequestedAt) {
			later = append(later, lost)
		}
	}
	if b.Lost = later; len(later) > 0 {
		s.readReport(b)
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
	for _, lost := range b.Lost {
		s.recordCrash(now, b, lost)
	}
	b.Lost = nil
}

// recordCrash records the parts of a request that was lost at a crash as suspects. A request whose answer had just begun has probably caused
// the crash, so that its retry is given up.
func (s *State) recordCrash(now time.Time, b *Backend, lost LostRequest) {
	crash := isolator.Crash{
		Server: hasher.Key(b.Info.ID + "@" + strconv.FormatInt(b.Info.StartedUnixMs, 10)), Request: lost.Request, At: lost.At,
		AnswerBegun: lost.AnswerBegun,
	}
	s.Isolation.Parts.RecordCrash(now, crash, lost.Parts)
	if r, ok := s.Requests[lost.ID]; ok && lost.AnswerBegun && r.Phase != PhaseResponding {
		s.cancelRequest(now, r, ReasonBroken, 0)
	}
}

// recordSoundParts records that a request was answered completely, so that none of its parts crashes backend servers.
func (s *State) recordSoundParts(now time.Time, r *Request) {
	s.logReleased(s.Isolation.Parts.RecordSound(now, partNames(r)))
}

// tickIsolation judges the suspects, ends quarantines and tells other hosts of changes.
func tickIsolation(s *State, now time.Time) {
	parts := &s.Isolation.Parts
	s.logReleased(parts.Tick(now))
	for _, part := range parts.Judge(now, s.Limits.Quarantine) {
		s.quarantineBegan(now, part, "")
	}
	if !parts.ChangedSince(s.Isolation.SharedAt) {
		return
	}
	s.Isolation.SharedAt = now
	for _, id := range s.gossipTargets(now) {
		s.sendSuspects(now, id)
	}
}

// quarantineBegan logs the quarantine of a part, which this host or another one has begun, and ends the requests with the part. A response
// that has begun is left to end by itself.
func (s *State) quarantineBegan(now time.Time, part, from string) {
	suspect := s.Isolation.Parts.Suspects[part]
	s.Counters.Quarantines++
	s.logEvent(EventPartQuarantined, Field{"part", part}, Field{"peer", from}, intField("crashes", len(suspect.Crashes)),
		ageField("answered_age_ms", now, suspect.SoundAt), msField("quarantine_ms", suspect.QuarantinedUntil.Sub(now)))
	for _, id := range sortedKeys(s.Requests) {
		r := s.Requests[id]
		if r.Phase == PhaseResponding {
			continue
		}
		if slices.Contains(partNames(r), part) {
			s.refuseForPart(now, r, part)
		}
	}
}

func (s *State) logReleased(parts []string) {
	for _, part := range parts {
		s.logEvent(EventPartReleased, Field{"part", part})
	}
}

// refuseQuarantined refuses a request that has a part in quarantine, and reports whether it did.
func refuseQuarantined(s *State, now time.Time, r *Request) bool {
	part, ok := s.Isolation.Parts.Quarantined(now, partNames(r))
	if ok {
		s.refuseForPart(now, r, part)
	}
	return ok
}

// refuseForPart refuses a request for a part in quarantine and cancels its attempt if one is running.
func (s *State) refuseForPart(now time.Time, r *Request, part string) {
	r.QuarantinedPart = part
	s.cancelRequest(now, r, ReasonQuarantined, s.Isolation.Parts.Suspects[part].QuarantinedUntil.Sub(now))
}

// sendSuspects sends a host the suspects that changed recently and those in quarantine.
func (s *State) sendSuspects(now time.Time, to string) {
	var m Suspects
	for _, suspect := range s.Isolation.Parts.Shared(now, maxSuspectParts) {
		part := SuspectPart{
			Part: suspect.Key, Depth: suspect.Depth, Strikes: suspect.Strikes, QuarantineLeft: max(suspect.QuarantinedUntil.Sub(now), 0),
			Answered: !suspect.SoundAt.IsZero(),
		}
		if part.Answered {
			part.AnsweredAge = now.Sub(suspect.SoundAt)
		}
		for _, crash := range suspect.Crashes {
			part.Crashes = append(part.Crashes, SuspectCrash{
				Server: crash.Server, Request: crash.Request, Age: now.Sub(crash.At), AnswerBegun: crash.AnswerBegun,
			})
		}
		m.Parts = append(m.Parts, part)
	}
	if len(m.Parts) > 0 {
		s.send(to, m)
	}
}

// receiveSuspects adds what another host knows of parts that may crash backend servers.
func receiveSuspects(s *State, now time.Time, from string, m Suspects) {
	for _, part := range m.Parts {
		suspect := isolator.Suspect[string]{Key: part.Part, Depth: part.Depth, Strikes: part.Strikes}
		if part.Answered {
			suspect.SoundAt = now.Add(-part.AnsweredAge)
		}
		if part.QuarantineLeft > 0 {
			suspect.QuarantinedUntil = now.Add(part.QuarantineLeft)
		}
		for _, crash := range part.Crashes {
			suspect.Crashes = append(suspect.Crashes, isolator.Crash{
				Server: crash.Server, Request: crash.Request, At: now.Add(-crash.Age), AnswerBegun: crash.AnswerBegun,
			})
		}
		released, quarantined := s.Isolation.Parts.Merge(now, suspect)
		if released {
			s.logReleased([]string{part.Part})
		}
		if quarantined {
			s.quarantineBegan(now, part.Part, from)
		}
	}
}

// sharedParts returns the parts of a request's prompt that other requests may share: all but the last, which belongs to the request itself.
func (r *Request) sharedParts() []Part {
	if len(r.Parts) == 0 {
		return nil
	}
	return r.Parts[:len(r.Parts)-1]
}

// partNames returns the IDs of the shared parts.
func partNames(r *Request) []string {
	var names []string
	for _, part := range r.sharedParts() {
		names = append(names, part.ID)
	}
	return names
}

// sharedPartNames returns the IDs of the shared parts for the log, separated by commas.
func sharedPartNames(r *Request) string { return strings.Join(partNames(r), ",") }
