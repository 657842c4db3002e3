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
	if s.Ready || s.startedRecently(now, b) {
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

// slowStartOpensIn returns the expected time until the slow start of a backend server allows a request of this host; 0 if it does now. A
// request that was let in to wait for its adapter there stays let in.
func (s *State) slowStartOpensIn(now time.Time, r *Request, b *Backend) time.Duration {
	if !b.SlowStart.Ramp.Active() || r.Phase == PhaseAwaitingAdapter && r.Backend == b.Info.ID {
		return 0
	}
	outstanding := b.SlowStart.Awaiting
	for _, adapter := range b.Adapters {
		outstanding += len(adapter.Waiting)
	}
	return max(b.SlowStart.Ramp.OpensIn(now, s.slowStartSenders(now, b), outstanding), 0)
}

// heldRequest counts the servers that a request does not get because of their slow start; the first allows it in OpensIn.
type heldRequest struct {
	Servers int
	OpensIn time.Duration
}

func (h *heldRequest) add(opensIn time.Duration) {
	if h.Servers == 0 || opensIn < h.OpensIn {
		h.OpensIn = opensIn
	}
	h.Servers++
}

// prefersHeldServer reports whether a request that does not wait yet should wait for a server in slow start, since the adapter would be loaded
// later on the best other one, or too late.
func (s *State) prefersHeldServer(now time.Time, r *Request, b *Backend, held heldRequest, delay time.Duration) bool {
	if held.Servers == 0 || r.Phase == PhaseAwaitingAdapter {
		return false
	}
	return held.OpensIn < s.adapterDelay(now, r, b) || s.loadIsUseless(now, r, b, delay)
}

// waitForSlowStart queues a request until a server in slow start allows it, or refuses it at once if none does in the time that a request
// may wait for a slot.
func (s *State) waitForSlowStart(now time.Time, r *Request, held heldRequest) {
	if r.Phase == PhaseAwaitingAdapter {
		s.stopWaiting(r)
		r.WaitSince = now
	}
	r.Phase = PhaseQueued
	r.Backend = ""
	if now.Sub(r.WaitSince)+held.OpensIn <= r.Route.LatencyTarget/slotWaitDivisor {
		if r.WaitSince.Equal(now) {
			s.Counters.SlowStartHeld++
		}
		s.service(r.Service).HeldAt = now
		s.wakeAt(now.Add(max(held.OpensIn, slowStartWake)))
		return
	}
	if r.PossibleRuns > 0 {
		refuse(s, now, r, ReasonBroken, 0)
		return
	}
	refuse(s, now, r, ReasonNoBackend, min(max(held.OpensIn, defaultRetryAfter), maxRetryAfter))
}

// recordSlowStartDispatch counts a request that is being sent, and notes from when on its first response is late.
func (s *State) recordSlowStartDispatch(now time.Time, r *Request, b *Backend) {
	b.SlowStart.Awaiting++
	b.SlowStart.Ramp.Sent(now)
	if !s.Limits.Adaptive.Start {
		return
	}
	r.LateAfter = max(lateFactor*s.usualResponse(now, r, b), r.Route.LatencyTarget/lateDivisor)
	adapter, ok := b.Adapters[r.Adapter]
	r.UnverifiedAdapter = r.Adapter.Adapter != "" && s.isEngine(b) && (!ok || !adapter.Verified)
}

// usualResponse returns the time in which the first response to a request is expected, if it is sent now.
func (s *State) usualResponse(now time.Time, r *Request, b *Backend) time.Duration {
	if engine := s.engineOf(b); engine != nil {
		return s.engineDelay(now, r, b, engine) - b.failurePenalty()
	}
	typical := *b
	typical.MeanLatency = s.meanLatency(b.Info.Service)
	return s.unaryDelay(now, &typical) - b.failurePenalty()
}

// meanLatency returns the mean time to a first response of the service's servers that have answered this host.
func (s *State) meanLatency(service string) time.Duration {
	total, count := time.Duration(0), 0
	for _, b := range s.serviceBackends(service) {
		if b.MeanLatency > 0 {
			total += b.MeanLatency
			count++
		}
	}
	return total / time.Duration(max(count, 1))
}

// failurePenalty returns the penalty in expected delay for failed exchanges. A server in slow start has none: its limit protects the requests,
// and a server that gets none could not show that it has recovered.
func (b *Backend) failurePenalty() time.Duration {
	if b.SlowStart.Ramp.Active() {
		return 0
	}
	return time.Duration(b.FailureRate * float64(failureDelay))
}

// recordAnswer records the first response to a request. A late one does not count if the adapter may have been loaded meanwhile.
func (s *State) recordAnswer(now time.Time, b *Backend, r *Request, took time.Duration) {
	if b.FirstSeenAt.After(r.SentAt) {
		return
	}
	b.SlowStart.Awaiting--
	b.SlowStart.AnsweredAt = now
	late := took > r.LateAfter
	if !s.Limits.Adaptive.Start || late && r.UnverifiedAdapter {
		return
	}
	b.SlowStart.Answers++
	if late {
		s.recordLate(now, b, r)
		return
	}
	ramp := &b.SlowStart.Ramp
	ramp.Measured(took)
	ramp.Answered(now, r.SentAt, true, s.answerWeight(now, b))
	if ramp.Active() && now.Sub(s.service(r.Service).HeldAt) < loadReportTTL {
		s.wakeAt(now)
	}
}

// recordLate records a first response that is late or missing.
func (s *State) recordLate(now time.Time, b *Backend, r *Request) {
	b.SlowStart.SlowAnswers++
	if !b.SlowStart.Ramp.Active() {
		return
	}
	s.Counters.SlowStartBadAnswers++
	b.SlowStart.Ramp.Answered(now, r.SentAt, false, 1)
}

// answerWeight returns the number of answers that one of this host stands for: the lease holder is told of all answers, the other hosts know
// only their own until the holder reports the limit.
func (s *State) answerWeight(now time.Time, b *Backend) int {
	if s.holdsLease(now, b.Info.ID) {
		return 1
	}
	return s.slowStartSenders(now, b)
}

// recordUnanswered records the end of an attempt whose first response has not come.
func (s *State) recordUnanswered(now time.Time, b *Backend, r *Request) {
	b.SlowStart.Awaiting--
	if s.Limits.Adaptive.Start && !r.UnverifiedAdapter && now.Sub(r.SentAt) > r.LateAfter {
		b.SlowStart.Answers++
		s.recordLate(now, b, r)
	}
}

// recordStartFailure records an exchange that failed.
func (s *State) recordStartFailure(now time.Time, b *Backend, r *Request) {
	if s.Limits.Adaptive.Start {
		b.SlowStart.Refusals++
		b.SlowStart.Ramp.Failed(now, r.SentAt)
	}
}

// recordStartRefusal records a request that the server refused for lack of capacity.
func (s *State) recordStartRefusal(now time.Time, b *Backend, r *Request) {
	if s.Limits.Adaptive.Start {
		b.SlowStart.Refusals++
		b.SlowStart.Ramp.Refused(now, r.SentAt)
	}
}

// recordSilence begins the slow start of a server that has answered nothing since a stalled request was sent: it may be suspended, and would
// get all that has waited when it goes on.
func (s *State) recordSilence(now time.Time, r *Request) {
	b, ok := s.Backends[r.Backend]
	if !ok || r.Phase != PhaseRunning || r.UnverifiedAdapter || b.FirstSeenAt.After(r.SentAt) || b.SlowStart.AnsweredAt.After(r.SentAt) {
		return
	}
	s.beginSlowStart(now, now, b, ramper.ReasonSilent)
}

// report adds the answers since the last report to a usage report.
func (w *SlowStart) report(m *Usage) {
	m.Answers, m.SlowAnswers, m.Refusals = w.Answers, w.SlowAnswers, w.Refusals
	w.Answers, w.SlowAnswers, w.Refusals = 0, 0, 0
}

// usageIntervalOf returns the time between two full usage reports on a backend server: a short one if the server is in slow start and has
// answered, so that the reports are at most as many as the answers.
func (s *State) usageIntervalOf(b *Backend) time.Duration {
	if b.SlowStart.Ramp.Active() && b.SlowStart.Answers > 0 {
		return s.usageInterval() / slowStartReportDivisor
	}
	return s.usageInterval()
}

// recordReportedAnswers records, at the lease holder, the answers that another host got.
func (s *State) recordReportedAnswers(now time.Time, m Usage) {
	b, ok := s.Backends[m.Backend]
	if !ok || !s.Limits.Adaptive.Start || !b.SlowStart.Ramp.Active() {
		return
	}
	ramp := &b.SlowStart.Ramp
	sentAt := now.Add(-ramp.RoundTrip)
	switch good := min(m.Answers-m.SlowAnswers, maxReportedAnswers); {
	case m.Refusals > 0 || m.SlowAnswers > 0:
		ramp.Refused(now, sentAt)
	case good > 0:
		ramp.Answered(now, sentAt, true, good)
	}
}

// reportSlowStart adds the limit of a backend server and the number of its senders to the lease holder's reply.
func (s *State) reportSlowStart(now time.Time, from string, inv *Inventory, m *BackendLoad) {
	if !s.Limits.Adaptive.Start {
		return
	}
	for host, u := range inv.Usage {
		if host == from || now.Sub(u.ReceivedAt) < 3*s.usageInterval() {
			m.Senders++
		}
	}
	if b, ok := s.Backends[m.Backend]; ok && !now.Before(b.SlowStart.Ramp.BeganAt) {
		m.StartLimit = b.SlowStart.Ramp.Limit(now)
	}
}

// adoptSlowStart applies the limit that the lease holder of a backend server has found with the answers that all hosts got.
func (s *State) adoptSlowStart(now time.Time, b *Backend, m BackendLoad) {
	if !s.Limits.Adaptive.Start || s.holdsLease(now, b.Info.ID) {
		return
	}
	if !(m.StartLimit > 0) {
		if b.SlowStart.Reported && m.Senders > 0 && b.SlowStart.Ramp.Active() {
			s.endSlowStart(now, b)
		}
		return
	}
	if !b.SlowStart.Ramp.Active() {
		s.beginSlowStart(now, now, b, ramper.ReasonReported)
	}
	b.SlowStart.Reported = true
	b.SlowStart.Ramp.Adopt(now, m.StartLimit)
}
