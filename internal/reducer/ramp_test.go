package reducer

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/internal/ramper"
	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// burst delivers requests at once and returns how many each server gets; none may wait or be refused.
func (f *fixture) burst(requests int) map[string]int {
	sent := map[string]int{}
	for i := range requests {
		sent[must[Dispatch](f.t, f.arrive("burst-"+strconv.Itoa(i), "/safe/x", "secret")).Backend]++
	}
	return sent
}

// Load: a burst when a failure domain is no longer withdrawn. Guards against its servers getting their part of the burst at once, and against
// requests that wait for them while others can serve.
func TestReturningDomainGetsFewRequestsAtFirst(t *testing.T) {
	returned := func(start bool) map[string]int {
		f := newFixture(t)
		f.state.Limits.Adaptive.Start = start
		f.publishBackend(cataloguer.Backend{ID: "desk-1", Service: "desk", Address: "10.0.1.1:80", FailureDomain: "west", StartedUnixMs: 1, Slots: 6})
		withdrawal := cataloguer.Document{Key: "w/west", Kind: cataloguer.KindWithdrawnDomain, Name: "west", Raw: []byte("w")}
		f.publish(withdrawal)
		withdrawal.Deleted = true
		f.publish(withdrawal)
		return f.burst(40)
	}
	before, after := returned(false), returned(true)
	assert.Assert(t, before["desk-1"] > 15, "%v", before)
	assert.Assert(t, after["desk-1"] > 0 && after["desk-1"] <= 3, "%v", after)
}

// Load: a burst when an ejection ends. Guards against a server that gets everything at once, or nothing because it has failed before.
func TestServerIsTriedWithFewRequestsAfterItsEjection(t *testing.T) {
	f := newFixture(t)
	f.state.Limits.Adaptive.Start = true
	b := f.state.Backends["desk-1"]
	for range ejectionThreshold {
		f.state.recordFailure(f.now, b, 1)
	}
	f.advance(2 * baseEjectionTime)
	assert.Equal(t, f.sendStateOf("desk-1"), SendStarting)
	assert.Equal(t, f.burst(20)["desk-1"], 1)
	for id, r := range f.state.Requests {
		if r.Backend == "desk-1" {
			f.reduce(ResponseStarted{ID: id, Attempt: 1, Latency: 10 * time.Millisecond})
		}
	}
	assert.Assert(t, b.SlowStart.Ramp.Limit(f.now) >= 2)
}

// Load: all hosts start. Guards against hosts that limit healthy servers because they have not seen them before.
func TestNewHostLimitsOnlyServersThatStartedLately(t *testing.T) {
	f := newFixture(t)
	f.state.Limits.Adaptive.Start = true
	f.state.Self.StartedAt, f.state.Self.StartedUnixMs = f.now, f.now.UnixMilli()
	for id, age := range map[string]time.Duration{"old": time.Hour, "young": time.Second} {
		f.publishBackend(cataloguer.Backend{ID: id, Service: "desk", Address: "10.0.1.9:80", StartedUnixMs: f.now.Add(-age).UnixMilli(), Slots: 6})
	}
	assert.Equal(t, f.sendStateOf("old"), SendAllowed)
	assert.Equal(t, f.sendStateOf("young"), SendStarting)
}

// Load: a server starts while its lease holder falls silent. Guards against a limit that is divided among hosts that do not send, and against
// one that stays after the holder has ended it.
func TestLimitFollowsTheLeaseHolderWhileItReports(t *testing.T) {
	f := newFixture(t)
	f.state.Limits.Adaptive.Start = true
	f.addFiveHosts()
	b := f.state.Backends["desk-1"]
	report := func(limit float64) {
		f.reduce(PeerReceived{From: "host-0", Incarnation: 2, Messages: []Message{BackendLoad{Backend: "desk-1", StartLimit: limit, Senders: 2}}})
	}
	report(5)
	assert.Equal(t, b.SlowStart.Ramp.Reason, ramper.ReasonReported)
	assert.Equal(t, b.SlowStart.Ramp.Share(f.now, f.state.slowStartSenders(f.now, b)), 2.5)
	f.advance(1800 * time.Millisecond)
	assert.Equal(t, f.state.slowStartSenders(f.now, b), len(f.state.readyHosts(f.now)))
	report(0)
	assert.Equal(t, f.sendStateOf("desk-1"), SendAllowed)
}

// Load: a server restarts and many hosts use it. Guards against a lease holder that does not count the answers of the others.
func TestLeaseHolderSumsTheAnswersOfAllHosts(t *testing.T) {
	f := newFixture(t)
	f.state.Limits.Adaptive.Start = true
	f.publish(cataloguer.Document{Key: "c", Kind: cataloguer.KindCatalogue, Raw: []byte("c"), Catalogue: engineCatalogue()})
	f.publishBackend(engine("e1"))
	f.advance(3 * time.Second)
	assert.Assert(t, f.state.holdsLease(f.now, "e1"))
	f.state.beginSlowStart(f.now, f.now.Add(-time.Second), f.state.Backends["e1"], ramper.ReasonReturned)
	report := func(from string, u Usage) BackendLoad {
		u.Backend = "e1"
		f.reduce(PeerReceived{From: from, Incarnation: 9, Messages: []Message{u}})
		load := BackendLoad{Backend: "e1"}
		f.state.reportSlowStart(f.now, from, &f.state.Leases["e1"].Inventory, &load)
		return load
	}
	first := report("host-x", Usage{Answers: 4})
	second := report("host-y", Usage{Answers: 4})
	assert.Equal(t, second.Senders, 2)
	assert.Assert(t, second.StartLimit >= first.StartLimit+4)
	assert.Assert(t, report("host-x", Usage{Answers: 2, SlowAnswers: 1}).StartLimit <= second.StartLimit/2)
}

// Load: servers in slow start that take turns among many hosts, with the admission control on. Guards against a retry time that callers do not
// follow, and against refused callers that return together and count as new.
func TestCallersRefusedBySlowStartArePromisedATime(t *testing.T) {
	f := newFixture(t)
	f.state.Limits.Adaptive.Start, f.state.Limits.Adaptive.Admission = true, true
	f.state.Carriers = Carriers{Count: 100, CountedAt: f.now}
	for _, b := range f.state.Backends {
		f.state.beginSlowStart(f.now, f.now, b, ramper.ReasonSilent)
		b.SlowStart.Ramp.Sent(f.now)
	}
	waits := map[time.Duration]bool{}
	for i := range 20 {
		refusal := must[Refuse](t, f.arrive(strconv.Itoa(i), "/once/x", "secret"))
		assert.Check(t, refusal.Reason == ReasonNoBackend && refusal.RetryAfter <= time.Second/3, "%v", refusal)
		waits[refusal.RetryAfter] = true
	}
	assert.Equal(t, len(waits), 20)
	assert.Equal(t, f.state.Counters.ReturnsPromised, uint64(20))
}

// Load: an engine in slow start holds an adapter and opens later than a request may wait for it. Guards against a refusal while another engine
// could load the adapter in time.
func TestAdapterIsLoadedElsewhereIfASlowStartOpensTooLate(t *testing.T) {
	f := newFixture(t)
	f.publish(cataloguer.Document{Key: "c", Kind: cataloguer.KindCatalogue, Raw: []byte("c"), Catalogue: engineCatalogue()})
	f.publishBackend(engine("e1"))
	f.publishBackend(engine("e2"))
	f.advance(3 * time.Second)
	assert.Assert(t, f.state.holdsLease(f.now, "e1") && f.state.holdsLease(f.now, "e2"))
	f.state.Limits.Adaptive.Start = true
	f.state.Carriers = Carriers{Count: 10, CountedAt: f.now}
	key := AdapterKey{Model: "m", Adapter: "a1"}
	held := f.state.Backends["e1"]
	*held.residency(key) = Residency{Stage: StageReady, UpdatedAt: f.now}
	f.state.beginSlowStart(f.now, f.now, held, ramper.ReasonSilent)
	held.SlowStart.Ramp.Sent(f.now)
	f.state.Backends["e2"].residency(key).NoSlotReportedAt = f.now
	f.generate("r", "a1")
	r := f.state.Requests["r"]
	assert.Assert(t, r != nil)
	assert.Equal(t, r.Backend, "e2")
}

// Load: the setting selects the slow start while requests run. Guards against their answers, for which no expected time is known, counting as late
// at the lease holder.
func TestAnswersToRequestsOfBeforeTheSettingAreNotLate(t *testing.T) {
	f := newFixture(t)
	answered := must[Dispatch](t, f.arrive("1", "/safe/x", "secret"))
	unanswered := must[Dispatch](t, f.arrive("2", "/safe/x", "secret"))
	f.state.Limits.Adaptive.Start = true
	f.now = f.now.Add(10 * time.Millisecond)
	f.reduce(ResponseStarted{ID: "1", Attempt: answered.Attempt, Latency: 10 * time.Millisecond})
	f.reduce(RequestAbandoned{ID: "2"})
	for _, d := range []Dispatch{answered, unanswered} {
		assert.Equal(t, f.state.Backends[d.Backend].SlowStart.SlowAnswers, 0)
	}
}
