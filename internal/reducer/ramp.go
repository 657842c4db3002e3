package reducer

import (
	"time"

	"github.com/redwingpick/redwingpick/internal/hasher"
	"github.com/redwingpick/redwingpick/internal/ramper"
)

// SlowStart is the slow start of one backend server, as this host knows it.
type SlowStart struct {
	Ramp ramper.Ramp
	// Reported is set once the lease holder has reported the limit, so that its report also ends the slow start.
	Reported bool
	// LoggedLimit is the limit that was last logged.
	LoggedLimit float64
	// Awaiting is the number of this host's requests at the server that wait for their first response, and AnsweredAt when the last one began.
	Awaiting   int
	AnsweredAt time.Time
	// Answers, SlowAnswers and Refusals count since the last usage report.
	Answers     int
	SlowAnswers int
	Refusals    int
}

// Carriers is the number of hosts that callers are directed to, as counted at CountedAt.
type Carriers struct {
	Count     int
	CountedAt time.Time
}

const (
	// lateFactor is the multiple of the expected time from which a first response is late, and lateDivisor the divisor of the latency target
	// that gives the least such time: a shorter delay does not matter to callers.
	lateFactor  = 2
	lateDivisor = 4
	// recentStart is the age up to which a server counts as just started for a host that knows nothing of its history.
	recentStart = 5 * time.Second
	// slowStartPause is the shortest pause asked for by a server that is followed by a slow start; shorter pauses are ordinary flow control.
	slowStartPause = time.Second
	// defaultSlots is the number of slots of a server that does not state it.
	defaultSlots = 8
	// limitLogFactor is the factor by which a limit changes between two log lines.
	limitLogFactor = 2
	// carriersTTL is how long the count of the hosts that carry traffic is used.
	carriersTTL = time.Second
	// slowStartWake is the least time until a request that a limit holds is placed again without an answer.
	slowStartWake = 5 * time.Millisecond
	// slowStartHeldTTL is how long after a slow start last made a request wait such requests are looked for.
	slowStartHeldTTL = 100 * time.Millisecond
	// maxReportedAnswers bounds the answers that one usage report counts for.
	maxReportedAnswers = 1000
	// slowStartReportDivisor is the divisor of the usage interval for servers in slow start that have answered.
	slowStartReportDivisor = 4
)

// beginSlowStart begins the slow start of a backend server at the given time. A lower limit of a slow start in progress stays.
func (s *State) beginSlowStart(now, at time.Time, b *Backend, reason ramper.Reason) {
	if !s.Limits.Adaptive.Start {
		return
	}
	ramp := &b.SlowStart.Ramp
	previous, limit := ramp.Reason, ramp.Limit(now)
	ramp.Begin(at, reason, s.slotsOf(b), turnPhase(b.Info.ID, s.Self.HostID))
	if limit > 0 {
		ramp.Level = min(ramp.Level, limit)
	}
	b.SlowStart.Reported = false
	s.Starting[b.Info.ID] = true
	if previous == reason {
		return
	}
	s.Counters.SlowStarts++
	b.SlowStart.LoggedLimit = ramp.Level
	s.logEvent(EventSlowStartBegan, Field{"backend_server", b.Info.ID}, Field{"reason", reason.String()}, floatField("limit", ramp.Level),
		intField("slots", s.slotsOf(b)), intField("senders", s.slowStartSenders(now, b)), msField("begins_in_ms", at.Sub(now)))
}

// slotsOf returns the number of requests that a backend server runs at once.
func (s *State) slotsOf(b *Backend) int {
	slots := b.Info.Slots
	if engine := s.engineOf(b); engine != nil {
		slots = engine.Slots
	}
	if slots <= 0 {
		return defaultSlots
	}
	return slots
}

// turnPhase returns the place of a host in the first round of turns at a backend server, from 0 to 1.
func turnPhase(backend, host string) float64 {
	score := hasher.Score(hasher.Key("start/"+backend), hasher.NewName(host))
	return float64(score>>11) / (1 << 53)
}

// beginNewSlowStart begins the slow start of a backend server that this host has not seen before. A host that has just started does not know
// the servers' history: it treats those as healthy whose entries do not say that they started lately.
func (s *State) beginNewSlowStart(now time.Time, b *Backend) {
	if s.Ready && s.uptime(now) >= readyAfter*4 || s.startedRecently(now, b) {
		s.beginSlowStart(now, now, b, ramper.ReasonStarted)
	}
}

// startedRecently reports whether a server's entry says that the server started at most recentStart ago, or is in its cold start.
func (s *State) startedRecently(now time.Time, b *Backend) bool {
	if b.Info.ColdRemaining > 0 {
		return true
	}
	if s.Self.StartedUnixMs == 0 || b.Info.StartedUnixMs == 0 {
		return false
	}
	age := time.Duration(s.Self.StartedUnixMs-b.Info.StartedUnixMs)*time.Millisecond + s.uptime(now)
	return age.Abs() <= recentStart
}

// beginDomainSlowStart begins the slow start of the backend servers of a failure domain that is no longer withdrawn.
func beginDomainSlowStart(s *State, now time.Time, domain string) {
	for _, id := range sortedKeys(s.Backends) {
		if b := s.Backends[id]; b.Info.FailureDomain == domain {
			s.beginSlowStart(now, now, b, ramper.ReasonReturned)
		}
	}
}

// endSlowStart ends the slow start of a backend server.
func (s *State) endSlowStart(now time.Time, b *Backend) {
	ramp := &b.SlowStart.Ramp
	s.logEvent(EventSlowStartEnded, Field{"backend_server", b.Info.ID}, Field{"reason", ramp.Reason.String()}, floatField("limit", ramp.Limit(now)),
		intField("good_answers", ramp.Good), msField("took_ms", now.Sub(ramp.BeganAt)))
	ramp.End()
	b.SlowStart.Reported = false
	delete(s.Starting, b.Info.ID)
}

// tickSlowStarts ends the slow starts that are done and logs coarse changes of the other limits.
func tickSlowStarts(s *State, now time.Time) {
	for _, id := range sortedKeys(s.Starting) {
		b, ok := s.Backends[id]
		if !ok {
			delete(s.Starting, id)
			continue
		}
		if b.SlowStart.Ramp.Done(now) {
			s.endSlowStart(now, b)
			continue
		}
		s.logSlowStartLimit(now, b)
	}
}

// logSlowStartLimit logs the limit of a server if it has changed by limitLogFactor since it was last logged.
func (s *State) logSlowStartLimit(now time.Time, b *Backend) {
	limit, logged := b.SlowStart.Ramp.Limit(now), b.SlowStart.LoggedLimit
	if limit < logged*limitLogFactor && limit > logged/limitLogFactor {
		return
	}
	b.SlowStart.LoggedLimit = limit
	s.logEvent(EventSlowStartLimit, Field{"backend_server", b.Info.ID}, floatField("limit", limit), floatField("limit_before", logged),
		intField("good_answers", b.SlowStart.Ramp.Good), intField("senders", s.slowStartSenders(now, b)))
}

// applySlowStartSetting ends all slow starts if the setting no longer selects them.
func applySlowStartSetting(s *State) {
	if s.Limits.Adaptive.Start {
		return
	}
	for id := range s.Starting {
		if b, ok := s.Backends[id]; ok {
			b.SlowStart.Ramp.End()
		}
	}
	clear(s.Starting)
}

// slowStartSenders returns the number of hosts among which the limit of a backend server is divided: those that the lease holder has counted
// lately, or else the hosts that callers are directed to.
func (s *State) slowStartSenders(now time.Time, b *Backend) int {
	if b.OtherHosts.Senders > 0 && now.Sub(b.OtherHostsAt) < 2*s.usageInterval() {
		return b.OtherHosts.Senders
	}
	return s.carrierCount(now)
}

// carrierCount returns the number of hosts that callers are directed to.
func (s *State) carrierCount(now time.Time) int {
	if s.Carriers.Count > 0 && now.Sub(s.Carriers.CountedAt) < carriersTTL {
		return s.Carriers.Count
	}
	ready := s.readyHosts(now)
	count := len(ready)
	if count > smallDirectory {
		count = len(directedHosts(ready))
	}
	s.Carriers = Carriers{Count: max(count, 1), CountedAt: now}
	return s.Carriers.Count
}

// directedHosts returns the IDs of the hosts that the callers of any failure domain are directed to.
func directedHosts(ready []HostRecord) map[string]bool {
	domains, directed := map[string]bool{}, map[string]bool{}
	for _, h := range ready {
		domains[h.FailureDomain] = true
	}
	for domain := range domains {
		for _, h := range nameHosts(ready, domain) {
			directed[h.ID] = true
		}
	}
	return directed
}
