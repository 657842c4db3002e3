package isolator

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Crash is one crash of a server process at which requests were lost.
type Crash struct {
	// Server identifies the process, and Request one of the lost requests that had the suspect content.
	Server  uint64
	Request uint64
	At      time.Time
	// AnswerBegun is set if the answer to the request had just begun: that is when content crashes servers, and few other requests are lost in
	// that moment.
	AnswerBegun bool
	// Trial is set if the request was sent alone, as a trial.
	Trial bool
}

// Suspect is content that requests may share, with the crashes that it may have caused.
type Suspect[K cmp.Ordered] struct {
	Key K
	// Crashes holds the crashes at which a request with the content was lost, and after which no request with it was answered; the oldest
	// first.
	Crashes []Crash
	// SoundAt is when a request with the content was last answered completely, which content that crashes servers never is; zero if no answer
	// is known.
	SoundAt time.Time
	// AnsweredHereAt is when this host itself last saw such an answer. It excuses each earlier crash; SoundAt has the error of the times that hosts
	// tell each other.
	AnsweredHereAt time.Time
	// Depth is the position of the content in its requests; deeper content is shared by fewer of them.
	Depth int
	// QuarantinedUntil is the end of the quarantine; zero for none.
	QuarantinedUntil time.Time
	// ClearedAt is when the last quarantine ended; earlier crashes do not count any more.
	ClearedAt time.Time
	// Strikes counts the quarantines; content with a strike is quarantined again after a single crash.
	Strikes int
	// ChangedAt is when the crashes or the quarantine last changed on this host.
	ChangedAt time.Time
}

// Tracker holds the suspects of one host.
type Tracker[K cmp.Ordered] struct {
	// Suspects holds the content with which several servers crashed, that was in quarantine, or of which other hosts told.
	Suspects map[K]*Suspect[K]
	// SoundAt holds when requests with each content were last answered completely at this host, and ToldAt the same of other hosts, as far as these have told.
	SoundAt, ToldAt Answers[K]
	// Losses holds the requests that were lost at crashes, the one first that this host learned of first, and Candidates their content. LossContent is
	// the sum of their contents, and LossCount the number of losses that this host has recorded itself.
	Losses      []*Loss[K]
	Candidates  map[K]*Candidate
	LossContent int
	LossCount   uint64
	// Excusable is set once a candidate was answered, until the losses are reduced.
	Excusable bool
	// QuarantinedUntil is a time from which no content is in quarantine.
	QuarantinedUntil time.Time
	// JudgeAt is when the evidence is next judged; zero if there is none.
	JudgeAt time.Time
	// PrunedAt is when old state was last removed.
	PrunedAt time.Time
	// Reminded counts the unchanged quarantines that were told to other hosts, which are told in turn.
	Reminded int
}

// Bounds of the evidence.
const (
	// minIncidents is the number of incidents that quarantines content for the first time, and minRequests the number of different requests
	// that must have been lost in them: a single request, sent again by its caller, may be lost several times by accident.
	minIncidents = 3
	minRequests  = 2
	// minBegunIncidents is the number of incidents that suffices if the answers to all the requests had just begun, and minRepeatedIncidents the
	// same for one request that its caller sends again and again.
	minBegunIncidents    = 2
	minRepeatedIncidents = 3
	// minLostTrials is the number of lost trials that suffices.
	minLostTrials = 2
	// incidentGap is the time within which crashes count as one incident, since a failure of a whole failure domain takes many servers at
	// once, and any content with them.
	incidentGap = 500 * time.Millisecond
	// settleTime is the age from which a crash counts: by then other hosts have told which content they have seen answered since.
	settleTime = 600 * time.Millisecond
	// soundMargin is the error of the times that hosts tell each other, by which an answer must be later than a crash.
	soundMargin = 500 * time.Millisecond
	// crashTTL is how long a crash counts, and strikeTTL how long content is remembered after its quarantine.
	crashTTL  = 10 * time.Minute
	strikeTTL = time.Hour
	// maxDoublings bounds how often the length of the quarantine doubles.
	maxDoublings = 4
)

// NewTracker returns a tracker without suspects.
func NewTracker[K cmp.Ordered]() Tracker[K] {
	return Tracker[K]{Suspects: map[K]*Suspect[K]{}, SoundAt: newAnswers[K](), ToldAt: newAnswers[K](), Candidates: map[K]*Candidate{}}
}

// RecordCrash records that a request with the given content, in the order of the request, was lost at a crash.
//
// A crash ends many requests whose answers had not begun, and which have rarely caused it. Of the content of such a request, only the first
// maxBystanderContent are suspect at once and so told to other hosts.
func (t *Tracker[K]) RecordCrash(now time.Time, crash Crash, content []K) {
	t.addLoss(now, Loss[K]{ID: t.lossID(crash), Crash: crash}, content)
	if !crash.AnswerBegun {
		for depth, key := range content[:min(len(content), maxBystanderContent)] {
			t.addCrash(now, t.suspect(key), crash, depth)
		}
	}
	t.bound(now)
}

// RecordSound records that a request with the given content was answered completely, and returns the content whose quarantine that ends.
func (t *Tracker[K]) RecordSound(now time.Time, content []K) (released []K) {
	for _, key := range content {
		t.SoundAt.Record(now, key)
		if c, ok := t.Candidates[key]; ok {
			c.AnsweredAt, c.AnsweredHereAt = now, now
			t.Excusable = true
		}
		s, ok := t.Suspects[key]
		if !ok {
			continue
		}
		s.AnsweredHereAt = now
		s.SoundAt = s.answerTime(now, s.Crashes)
		if t.excuse(now, s) {
			released = append(released, key)
		}
		if len(s.Crashes) == 0 {
			s.Strikes = 0
		}
	}
	t.bound(now)
	return released
}

// Merge adds what another host knows of a suspect, and reports whether that ends or begins its quarantine. A quarantine that the other host
// has begun lasts here for at most as long as one that this host would begin for the given time.
func (t *Tracker[K]) Merge(now time.Time, other Suspect[K], quarantine time.Duration) (released, quarantined bool) {
	t.bound(now)
	released = !other.SoundAt.IsZero() && t.recordAnswer(now, other.Key, other.SoundAt)
	s, known := t.Suspects[other.Key]
	if !known && len(other.Crashes) == 0 {
		return released, false
	}
	if !known {
		s = t.suspect(other.Key)
		t.suspectCandidate(now, other.Key)
	}
	if s.SoundAt.After(other.SoundAt) && slices.ContainsFunc(other.Crashes, s.excuses) {
		// The other host does not know of the answer.
		s.SoundAt, s.ChangedAt = s.answerTime(s.SoundAt, other.Crashes), now
	}
	for _, crash := range other.Crashes {
		t.addCrash(now, s, crash, other.Depth)
	}
	length := quarantineTime(quarantine, other.Strikes)
	until := earlier(other.QuarantinedUntil, now.Add(length))
	if !until.After(s.QuarantinedUntil.Add(soundMargin)) || len(s.Crashes) == 0 || s.refutes(until.Add(-length)) {
		return released, false
	}
	quarantined = s.QuarantinedUntil.IsZero()
	s.QuarantinedUntil, s.Strikes = until, max(s.Strikes, other.Strikes)
	t.QuarantinedUntil = later(t.QuarantinedUntil, until)
	t.changed(now, s)
	return released, quarantined
}

// Quarantined returns the first of the given content that is in quarantine.
func (t *Tracker[K]) Quarantined(now time.Time, content []K) (key K, ok bool) {
	for _, key := range content {
		if t.InQuarantine(now, key) {
			return key, true
		}
	}
	return key, false
}

// Tracks reports whether some content is suspect or was lost at a crash, so that its answers matter.
func (t *Tracker[K]) Tracks(key K) bool { return t.Suspects[key] != nil || t.Candidates[key] != nil }

// AnyQuarantined reports whether some content may be in quarantine; if not, requests need not be checked.
func (t *Tracker[K]) AnyQuarantined(now time.Time) bool { return now.Before(t.QuarantinedUntil) }

// InQuarantine reports whether content is in quarantine.
func (t *Tracker[K]) InQuarantine(now time.Time, key K) bool {
	s, ok := t.Suspects[key]
	return ok && now.Before(s.QuarantinedUntil)
}

// Judge quarantines, for the given time, the content that explains the crashes so far, and returns it. Content that shares its crashes with
// quarantined content is not quarantined for these.
func (t *Tracker[K]) Judge(now time.Time, quarantine time.Duration) (quarantined []K) {
	if t.JudgeAt.IsZero() || now.Before(t.JudgeAt) {
		return nil
	}
	t.JudgeAt = time.Time{}
	explained := t.explainedServers()
	for {
		worst, found := t.worst(now, explained)
		if !found {
			return quarantined
		}
		s := t.Suspects[worst]
		s.Strikes++
		s.QuarantinedUntil = now.Add(quarantineTime(quarantine, s.Strikes))
		s.ChangedAt = now
		t.QuarantinedUntil = later(t.QuarantinedUntil, s.QuarantinedUntil)
		quarantined = append(quarantined, worst)
		for _, crash := range s.Crashes {
			explained[crash.Server] = true
		}
	}
}

// explainedServers returns the crashes of the content in quarantine.
func (t *Tracker[K]) explainedServers() map[uint64]bool {
	explained := map[uint64]bool{}
	for _, s := range t.Suspects {
		if s.QuarantinedUntil.IsZero() {
			continue
		}
		for _, crash := range s.Crashes {
			explained[crash.Server] = true
		}
	}
	return explained
}

// begunServers returns the crashes at which the answer to a request had just begun that has content which was not answered since.
func (t *Tracker[K]) begunServers() map[uint64]bool {
	begun := map[uint64]bool{}
	for _, l := range t.Losses {
		if l.AnswerBegun && len(l.Content) > 0 {
			begun[l.Server] = true
		}
	}
	return begun
}

// CrashedAt returns when a server process crashed at which a request was lost that is still suspect; zero if none was.
func (t *Tracker[K]) CrashedAt(server uint64) time.Time { return t.crashTimes()[server] }

// crashTimes returns when each server process crashed at which a request was lost that is still suspect.
func (t *Tracker[K]) crashTimes() map[uint64]time.Time {
	times := map[uint64]time.Time{}
	for _, s := range t.Suspects {
		for _, crash := range s.Crashes {
			times[crash.Server] = crash.At
		}
	}
	return times
}

// worst returns the content that has to be quarantined first: the one with the most incidents, those in which an answer had just begun first,
// of these the one that was answered least recently, and of these the one that the fewest requests share. Crashes that are not settled are
// judged later.
func (t *Tracker[K]) worst(now time.Time, explained map[uint64]bool) (worst K, found bool) {
	most, begun, crashes := evidence[K]{}, t.begunServers(), t.crashTimes()
	for _, key := range slices.Sorted(maps.Keys(t.Suspects)) {
		s := t.Suspects[key]
		if !s.QuarantinedUntil.IsZero() {
			continue
		}
		e := gather(now, s, explained, begun, crashes)
		if e.unsettled {
			t.judgeAt(now.Add(settleTime / 4))
		}
		if e.sufficient() && (!found || e.worseThan(most)) {
			worst, most, found = key, e, true
		}
	}
	return worst, found
}

// Tick ends quarantines that are over and returns their content, and removes old state.
func (t *Tracker[K]) Tick(now time.Time) (released []K) {
	t.excuseLosses(now)
	for key, s := range t.Suspects {
		if !s.QuarantinedUntil.IsZero() && !now.Before(s.QuarantinedUntil) {
			s.QuarantinedUntil, s.Crashes, s.ChangedAt, s.ClearedAt = time.Time{}, nil, now, now
			released = append(released, key)
		}
	}
	slices.Sort(released)
	if now.Sub(t.PrunedAt) >= pruneInterval {
		t.prune(now)
	}
	return released
}

// Limit shortens the quarantines to at most the given time from now.
func (t *Tracker[K]) Limit(now time.Time, quarantine time.Duration) {
	for _, s := range t.Suspects {
		s.QuarantinedUntil = earlier(s.QuarantinedUntil, now.Add(quarantineTime(quarantine, s.Strikes)))
	}
}

// suspect returns the suspect with a key and creates it if needed.
func (t *Tracker[K]) suspect(key K) *Suspect[K] {
	s, ok := t.Suspects[key]
	if !ok {
		s = &Suspect[K]{Key: key, SoundAt: t.answeredAt(key), AnsweredHereAt: t.SoundAt.At(key)}
		t.Suspects[key] = s
	}
	return s
}

// suspectCandidate adds the crashes of the losses with some content to its suspect.
func (t *Tracker[K]) suspectCandidate(now time.Time, key K) {
	if _, ok := t.Candidates[key]; ok {
		t.suspectCommon(now, map[K]bool{key: true})
	}
}

// answeredAt returns when a request with the content was last answered, as far as that is known.
func (t *Tracker[K]) answeredAt(key K) time.Time {
	at := later(t.SoundAt.At(key), t.ToldAt.At(key))
	if c, ok := t.Candidates[key]; ok {
		at = later(at, c.AnsweredAt)
	}
	return at
}

// changed records a change of a suspect, after which the evidence is judged.
func (t *Tracker[K]) changed(now time.Time, s *Suspect[K]) {
	s.ChangedAt = now
	t.judgeAt(now)
}

func (t *Tracker[K]) judgeAt(at time.Time) {
	if t.JudgeAt.IsZero() || at.Before(t.JudgeAt) {
		t.JudgeAt = at
	}
}

// excuse drops the crashes of a suspect after which it was answered, and reports whether that ends its quarantine.
func (t *Tracker[K]) excuse(now time.Time, s *Suspect[K]) (released bool) {
	left := slices.DeleteFunc(s.Crashes, func(c Crash) bool { return s.excuses(c) })
	if len(left) == len(s.Crashes) {
		return false
	}
	s.Crashes = left
	s.ChangedAt = now
	if len(left) > 0 {
		return false
	}
	released = !s.QuarantinedUntil.IsZero()
	s.QuarantinedUntil, s.Strikes = time.Time{}, 0
	return released
}

// excuses reports whether an answer after a crash shows that the content did not cause it.
func (s *Suspect[K]) excuses(c Crash) bool {
	return s.AnsweredHereAt.After(c.At) || s.SoundAt.After(c.At.Add(soundMargin))
}

// answerTime returns the time to tell other hosts of the last answer, which is the given one or later: the answer that this host has seen itself is later
// than the crashes before it, whatever the error of the times at which the others saw these. Crashes within that error count as one incident.
func (s *Suspect[K]) answerTime(at time.Time, crashes []Crash) time.Time {
	for _, crash := range crashes {
		if crash.At.Before(s.AnsweredHereAt) {
			at = later(at, crash.At.Add(2*soundMargin))
		}
	}
	return at
}

// refutes reports whether an answer is later than the crashes for which a quarantine began at the given time. Crashes since then, at which requests with
// the content were lost by chance, do not bring it back.
func (s *Suspect[K]) refutes(beganAt time.Time) bool {
	return s.SoundAt.After(beganAt.Add(soundMargin - settleTime))
}

// addCrash adds a crash that is not excused, and reports whether it adds to the evidence.
func (s *Suspect[K]) addCrash(crash Crash) bool {
	if s.excuses(crash) || !crash.At.After(s.ClearedAt) {
		return false
	}
	if i := slices.IndexFunc(s.Crashes, func(c Crash) bool { return c.Server == crash.Server }); i >= 0 {
		known := &s.Crashes[i]
		adds := crash.AnswerBegun && !known.AnswerBegun || crash.Trial && !known.Trial
		if adds {
			known.Request, known.AnswerBegun, known.Trial = crash.Request, known.AnswerBegun || crash.AnswerBegun, known.Trial || crash.Trial
		}
		return adds
	}
	s.Crashes = append(s.Crashes, crash)
	slices.SortStableFunc(s.Crashes, func(a, b Crash) int { return a.At.Compare(b.At) })
	if len(s.Crashes) > maxCrashes {
		s.dropCrash()
	}
	return true
}

// dropCrash drops one crash of a suspect that has too many, so that those that are left are spread over as many incidents and requests: of the requests
// that were lost most often, the crash that follows another one soonest. Where there are any, it is one at which no answer had just begun.
func (s *Suspect[K]) dropCrash() {
	lost := map[uint64]int{}
	for _, crash := range s.Crashes {
		lost[crash.Request]++
	}
	drop := 1
	for i := 2; i < len(s.Crashes); i++ {
		if s.moreRedundant(i, drop, lost) {
			drop = i
		}
	}
	s.Crashes = slices.Delete(s.Crashes, drop, drop+1)
}

// moreRedundant reports whether one crash adds less to the evidence than another one, by their positions, which are above 0. The crashes of each
// request are counted in lost.
func (s *Suspect[K]) moreRedundant(i, j int, lost map[uint64]int) bool {
	x, y := s.Crashes[i], s.Crashes[j]
	if x.Trial != y.Trial {
		return y.Trial
	}
	if x.AnswerBegun != y.AnswerBegun {
		return y.AnswerBegun
	}
	if lost[x.Request] != lost[y.Request] {
		return lost[x.Request] > lost[y.Request]
	}
	return x.At.Sub(s.Crashes[i-1].At) < y.At.Sub(s.Crashes[j-1].At)
}

// quarantineTime returns the length of the quarantine that begins with the given number of strikes.
func quarantineTime(first time.Duration, strikes int) time.Duration {
	return first << min(max(strikes-1, 0), maxDoublings)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
