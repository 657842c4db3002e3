package reducer

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// limited is what a response says whose server names a limit.
func limited(perSecond float64) BackendNotice {
	return BackendNotice{Answered: true, RateLimit: perSecond}
}

// nameLimit ends a request to a backend server with a response that names a limit; 0 for none.
func (f *fixture) nameLimit(backend string, notice BackendNotice) {
	for i := range 200 {
		d := must[Dispatch](f.t, f.arrive("name-"+f.now.String()+strconv.Itoa(i), "/safe/x", "secret"))
		if d.Backend == backend {
			f.end(d, OutcomeDone, notice)
			return
		}
		f.end(d, OutcomeDone, BackendNotice{Answered: true})
		f.advance(100 * time.Millisecond)
	}
	f.t.Fatalf("%s got no request", backend)
}

// sendFor sends requests, each of which is answered with the notice of its server, and returns how many each server got.
func (f *fixture) sendFor(d time.Duration, notices map[string]BackendNotice) map[string]int {
	sent := map[string]int{}
	for i := range d / (10 * time.Millisecond) {
		f.now = f.now.Add(10 * time.Millisecond)
		f.reduce(Tick{})
		if d, ok := find[Dispatch](f.arrive("send-"+f.now.String()+strconv.Itoa(int(i)), "/safe/x", "secret")); ok {
			sent[d.Backend]++
			f.end(d, OutcomeDone, notices[d.Backend])
		}
	}
	return sent
}

// Guards against a backend server that gets more requests than the limit that it names allows.
func TestNamedLimitIsKept(t *testing.T) {
	f := newFixture(t)
	f.nameLimit("desk-1", limited(1))
	sent := f.sendFor(4*time.Second, map[string]BackendNotice{"desk-1": limited(1), "desk-2": {Answered: true}})
	assert.Assert(t, sent["desk-1"] <= 11, "%d requests in 4 s", sent["desk-1"])
	assert.Assert(t, sent["desk-2"] > 380, "the server without a limit got %d requests", sent["desk-2"])
}

// Guards against a limit that stays in force after the server has stopped naming one, and against one that is lifted by what is no answer of
// the server, names an invalid limit, or began before the limit was named.
func TestOnlyALaterAnswerLiftsTheLimit(t *testing.T) {
	f := newFixture(t)
	f.nameLimit("desk-1", limited(1))
	b := f.state.Backends["desk-1"]
	for _, notice := range []BackendNotice{{}, {Leaving: false, Backoff: 0}, {Answered: true, RateLimitFault: "is no number"}} {
		f.state.recordRateLimit(f.now, b, notice)
		assert.Equal(t, b.RateLimit.PerSecond, 1.0)
	}
	f.state.recordRateLimit(f.now, b, limited(0.5))
	assert.Equal(t, b.RateLimit.PerSecond, 0.5)
	for range 3 {
		// A server of which one part does not know the limit keeps it.
		f.state.recordRateLimit(f.now, b, BackendNotice{Answered: true})
		assert.Equal(t, f.sendStateOf("desk-1"), SendLimited)
		f.state.recordRateLimit(f.now, b, limited(0.5))
	}
	f.state.recordRateLimit(f.now, b, BackendNotice{Answered: true})
	f.state.recordRateLimit(f.now, b, BackendNotice{Answered: true})
	assert.Equal(t, f.sendStateOf("desk-1"), SendAllowed)
	sent := f.sendFor(time.Second, map[string]BackendNotice{"desk-1": {Answered: true}, "desk-2": {Answered: true}})
	assert.Assert(t, sent["desk-1"] > 30, "%d requests after the limit was lifted", sent["desk-1"])
}

// Guards against the end of a long stream that undoes what later responses have said about the limit.
func TestEndOfAStreamSaysNothingAboutTheLimit(t *testing.T) {
	f := newFixture(t)
	stream := must[Dispatch](t, f.arrive("stream", "/once/x", "secret"))
	f.reduce(ResponseStarted{ID: stream.ID, Attempt: 1, Notice: BackendNotice{Answered: true}})
	f.nameLimit(stream.Backend, limited(1))
	f.end(stream, OutcomeDone, BackendNotice{Answered: true})
	assert.Equal(t, f.state.Backends[stream.Backend].RateLimit.PerSecond, 1.0)
}

// Guards against log lines for each response of a server that names an invalid limit.
func TestInvalidLimitIsLoggedOnceAMinute(t *testing.T) {
	f := newFixture(t)
	f.nameLimit("desk-1", limited(2))
	lines := 0
	for range 10 {
		f.state.recordRateLimit(f.now, f.state.Backends["desk-1"], BackendNotice{Answered: true, RateLimitFault: "is negative"})
		for _, e := range f.advance(time.Second) {
			if l, ok := e.(LogEvent); ok && l.Number == EventRateLimitIgnored {
				lines++
			}
		}
	}
	assert.Equal(t, lines, 1)
	assert.Equal(t, f.state.Counters.RateLimitFaults, uint64(10))
	assert.Equal(t, f.state.Backends["desk-1"].RateLimit.PerSecond, 2.0)
}

// Guards against hosts that keep an outdated limit, or take an older one for a newer one, when they tell each other.
func TestNewestLimitHoldsBetweenHosts(t *testing.T) {
	f := newFleetFixture(t)
	tell := func(perSecond float64, sequence uint64, incarnation int64) float64 {
		f.reduce(PeerReceived{From: "host-1", Incarnation: 3, Messages: []Message{RateLimits{Servers: []ServerRateLimit{
			{Backend: "e1", StartedUnixMs: incarnation, PerSecond: perSecond, Sequence: sequence}, {Backend: "unknown", PerSecond: 1, Sequence: 9},
		}}}})
		return f.state.Backends["e1"].RateLimit.PerSecond
	}
	started := f.state.Backends["e1"].Info.StartedUnixMs
	assert.Equal(t, tell(5, 1, started+1), 0.0)
	assert.Equal(t, tell(3, 4, started), 3.0)
	assert.Equal(t, tell(8, 2, started), 3.0)
	assert.Equal(t, tell(2, 4, started), 2.0)
	assert.Equal(t, tell(0, 4, started), 2.0)
	assert.Equal(t, tell(0, 5, started), 0.0)
	f.state.recordRateLimit(f.now, f.state.Backends["e1"], limited(7))
	assert.Equal(t, f.state.Backends["e1"].RateLimit.Sequence, uint64(6))
	found := false
	for _, e := range f.advance(gossipInterval) {
		if p, ok := e.(SendPeer); ok {
			for _, m := range p.Messages {
				_, isLimits := m.(RateLimits)
				found = found || isLimits
			}
		}
	}
	assert.Assert(t, found, "no host is told of the limit")
}

// Guards against a limit that nobody hears of any more and that keeps a server from getting requests for ever.
func TestLimitIsGivenUpAfterAMinuteWithoutNews(t *testing.T) {
	f := newFixture(t)
	f.nameLimit("desk-1", limited(1))
	f.pollConfigService(rateLimitTTL - time.Second)
	assert.Equal(t, f.sendStateOf("desk-1"), SendLimited)
	f.pollConfigService(2 * time.Second)
	assert.Equal(t, f.sendStateOf("desk-1"), SendAllowed)
}

// Guards against requests that wait although all servers have reached their limits for longer than the requests may wait.
func TestRequestIsRefusedAtOnceWhereAllServersAreAtTheirLimits(t *testing.T) {
	f := newFixture(t)
	for _, id := range []string{"desk-1", "desk-2"} {
		f.state.recordRateLimit(f.now, f.state.Backends[id], limited(0.5))
	}
	refusal := must[Refuse](t, f.arrive("1", "/safe/x", "secret"))
	assert.Equal(t, refusal.Reason, ReasonNoBackend)
	assert.Assert(t, !refusal.MayHaveRun && refusal.RetryAfter > time.Second, "%v", refusal.RetryAfter)
}

// Guards against orders and report calls of the lease holder, which the server counts against its limit too.
func TestOrdersAndReportCallsKeepTheLimit(t *testing.T) {
	f := newFixture(t)
	f.publish(cataloguer.Document{Key: "c", Kind: cataloguer.KindCatalogue, Raw: []byte("c"), Catalogue: engineCatalogue()})
	f.publishBackend(engine("e1"))
	report := must[ReadReport](t, f.advance(3*time.Second))
	f.reduce(BackendReported{Backend: "e1", StartedUnixMs: report.StartedUnixMs, RequestedAt: f.now})
	assert.Assert(t, f.state.holdsLease(f.now, "e1"))
	b := f.state.Backends["e1"]
	f.state.recordRateLimit(f.now, b, limited(1))
	var calls []time.Time
	for i := range 2000 {
		f.now = f.now.Add(10 * time.Millisecond)
		effects := append(f.generate("g"+strconv.Itoa(i), "a"+strconv.Itoa(i)), f.reduce(Tick{})...)
		for len(effects) > 0 {
			next := effects[0]
			effects = effects[1:]
			switch e := next.(type) {
			case Dispatch:
				calls = append(calls, f.now)
			case ReadReport:
				calls = append(calls, f.now)
				effects = append(effects, f.reduce(BackendReported{Backend: e.Backend, StartedUnixMs: e.StartedUnixMs, RequestedAt: f.now})...)
			case OrderAdapter:
				calls = append(calls, f.now)
				ended := OrderEnded{Backend: e.Backend, StartedUnixMs: e.StartedUnixMs, Adapter: e.Adapter, Unload: e.Unload, Result: OrderDone}
				effects = append(effects, f.reduce(ended)...)
			}
		}
		recent := slices.DeleteFunc(slices.Clone(calls), func(at time.Time) bool { return f.now.Sub(at) > 4*time.Second })
		assert.Assert(t, len(recent) <= 11, "%d calls in 4 s", len(recent))
	}
	assert.Assert(t, len(calls) > 0)
}

// Guards against a host that has heard nothing for a minute, as after a freeze, and lifts a limit that other hosts have just read.
func TestLimitGivenUpByAgeDoesNotOverruleAFreshOne(t *testing.T) {
	f := newFleetFixture(t)
	b := f.state.Backends["e1"]
	f.state.recordRateLimit(f.now, b, limited(1))
	tell := func(perSecond float64, age time.Duration) {
		f.reduce(PeerReceived{From: "host-1", Incarnation: 3, Messages: []Message{RateLimits{Servers: []ServerRateLimit{
			{Backend: "e1", StartedUnixMs: b.Info.StartedUnixMs, PerSecond: perSecond, Sequence: 1, Age: age},
		}}}})
	}
	tell(0, 61*time.Second)
	assert.Equal(t, b.RateLimit.PerSecond, 1.0)
	f.now = f.now.Add(rateLimitTTL + time.Second)
	f.reduce(Tick{})
	assert.Equal(t, b.RateLimit.PerSecond, 0.0)
	tell(1, rateLimitTTL+time.Second)
	assert.Equal(t, b.RateLimit.PerSecond, 0.0)
	tell(1, time.Second)
	assert.Equal(t, b.RateLimit.PerSecond, 1.0)
}

// Guards against a stalled attempt that goes on since all other servers name limits, although they have room.
func TestStalledAttemptMovesToALimitedServerWithRoom(t *testing.T) {
	f := newFixture(t)
	f.limitAll(1000)
	f.advance(time.Second)
	d := must[Dispatch](t, f.arrive("1", "/safe/x", "secret"))
	must[EndAttempt](t, f.reduce(AttemptStalled{ID: d.ID, Attempt: d.Attempt}))
}

// Guards against a lease holder that is silent since it prefers a watched server that takes no orders to one that names a limit.
func TestKeepAliveOrdersGoToALimitedServerIfNoOtherTakesAny(t *testing.T) {
	f := newFixture(t)
	f.publish(cataloguer.Document{Key: "c", Kind: cataloguer.KindCatalogue, Raw: []byte("c"), Catalogue: engineCatalogue()})
	for _, id := range []string{"e1", "e2"} {
		f.publishBackend(engine(id))
	}
	f.advance(3 * time.Second)
	for _, id := range []string{"e1", "e2"} {
		f.reduce(BackendReported{Backend: id, StartedUnixMs: f.state.Backends[id].Info.StartedUnixMs, RequestedAt: f.now})
		assert.Assert(t, f.state.holdsLease(f.now, id))
	}
	server, _ := f.state.keepAliveServer(f.now)
	assert.Assert(t, server != "")
	f.state.recordRateLimit(f.now, f.state.Backends["e1"], limited(50))
	server, _ = f.state.keepAliveServer(f.now)
	assert.Equal(t, server, "e2")
	f.state.Backends["e2"].EjectedUntil = f.now.Add(time.Hour)
	f.now = f.now.Add(time.Second)
	server, _ = f.state.keepAliveServer(f.now)
	assert.Equal(t, server, "e1")
}
