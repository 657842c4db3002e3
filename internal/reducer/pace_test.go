package reducer

import (
	"math"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// newPaceFixture returns a fixture with two engines in each of two failure domains, with Adaptive.Pace as given.
func newPaceFixture(t *testing.T, pace bool) *fixture {
	f := newEngineFixture(t, 0)
	f.state.Limits.Adaptive.Pace = pace
	for _, id := range []string{"east0", "east1", "west0", "west1"} {
		f.publishIn(id[:4], id, 1)
	}
	f.publishBackend(cataloguer.Backend{ID: "desk-3", Service: "desk", Address: "10.0.1.1:80", FailureDomain: "east", StartedUnixMs: 1, Slots: 6})
	return f
}

func (f *fixture) publishIn(domain, id string, startedUnixMs int64) {
	b := engine(id)
	b.FailureDomain, b.StartedUnixMs = domain, startedUnixMs
	f.publishBackend(b)
}

// begin sends a request with the given prompt to a backend server, without choosing one.
func (f *fixture) begin(id string, prompt int) *Request {
	b := f.state.Backends[id]
	r := &Request{ID: strconv.Itoa(int(f.state.Counters.Dispatches)), Service: b.Info.Service, PromptTokens: prompt, Tokens: prompt}
	f.state.Requests[r.ID] = r
	f.state.dispatch(f.now, r, b, f.state.Documents.Services[b.Info.Service])
	return r
}

// serve lets a backend server respond to a request with the given prompt after some time, with the given load.
func (f *fixture) serve(id string, prompt int, took time.Duration, load Load) {
	r := f.begin(id, prompt)
	f.now = f.now.Add(took)
	f.reduce(ResponseStarted{ID: r.ID, Attempt: 1, Latency: took, Load: load})
	f.reduce(DispatchEnded{ID: r.ID, Backend: id, Attempt: 1, Outcome: OutcomeDone, Status: 200, Took: took, Load: load})
}

// deviation returns the factor by which the expected delay of a request with 6,000 tokens at an engine is wrong.
func (f *fixture) deviation(id string, actual time.Duration) float64 {
	b := f.state.Backends[id]
	expected := f.state.engineDelay(f.now, &Request{PromptTokens: 6000, Tokens: 6000}, b, f.state.engineOf(b))
	return math.Exp(math.Abs(math.Log(expected.Seconds() / actual.Seconds())))
}

// firstResponse is how long an engine takes for a prompt at a fraction of the nominal speed of the second deployment.
func firstResponse(prompt int, speed float64) time.Duration {
	return time.Duration(float64(prompt) / (38_100 * speed) * float64(time.Second))
}

// Load: the engines of one failure domain work at 0.55 of the nominal speed, the others at 1.2. Guards against expecting the same of all,
// also of an engine that has just joined.
func TestRatesOfASlowFailureDomainAreKnownAfterAFewRequests(t *testing.T) {
	worst := map[bool]float64{}
	for _, pace := range []bool{false, true} {
		f := newPaceFixture(t, pace)
		for range 3 {
			f.serve("west0", 6000, firstResponse(6000, 0.55), Load{})
			f.serve("east0", 6000, firstResponse(6000, 1.2), Load{})
		}
		for domain, v := range map[string]float64{"east": 1.2, "west": 0.55} {
			f.publishIn(domain, domain+"-new", 1)
			for _, id := range []string{"0", "1", "-new"} {
				worst[pace] = max(worst[pace], f.deviation(domain+id, firstResponse(6000, v)))
			}
		}
	}
	assert.Assert(t, worst[true] < 1.3 && worst[false] > 1.5, "expected delays are wrong by factors of up to %.2f, before %.2f", worst[true], worst[false])
}

// Load: noisy neighbours slow a server by 2.5 for 600 ms at a time. Guards against learning that as its rate, and against using an old figure.
func TestNoisyNeighboursCountOnlyWhileTheyAreReported(t *testing.T) {
	f := newPaceFixture(t, true)
	usual := firstResponse(6000, 1)
	for i := range 20 {
		slowdown := []float64{1, 2.5}[i%2]
		f.serve("east0", 6000, time.Duration(float64(usual)*slowdown), Load{Known: true, Slots: 64, Percent: 100 * slowdown})
	}
	assert.Assert(t, f.deviation("east0", usual*5/2) < 1.1, "while the figure is fresh")
	f.now = f.now.Add(600 * time.Millisecond)
	assert.Assert(t, f.deviation("east0", usual) < 1.1, "when it is old")
	assert.Assert(t, f.deviation("east1", usual) < 1.2, "another engine of the failure domain")
}

// Load: a unary server is full for a while. Guards against a server that looks slow since its calls wait, idle once it gets none, and then
// fast.
func TestFullServerDoesNotLookSlow(t *testing.T) {
	expected := map[bool]time.Duration{}
	for _, pace := range []bool{false, true} {
		f := newPaceFixture(t, pace)
		for range 10 {
			f.serve("desk-1", 0, 30*time.Millisecond, Load{Known: true, Running: 2, Slots: 6})
		}
		for range 40 {
			f.serve("desk-1", 0, 200*time.Millisecond, Load{Known: true, Running: 6, Waiting: 20, Slots: 6})
		}
		f.now = f.now.Add(2 * time.Second)
		expected[pace] = f.state.unaryDelay(f.now, f.state.Backends["desk-1"])
	}
	assert.Assert(t, expected[true] < 33*time.Millisecond && expected[true] > 27*time.Millisecond, "%v at an idle server", expected[true])
	assert.Assert(t, expected[false] > 150*time.Millisecond, "the rule before expected %v", expected[false])
}

// Load: one engine reports wrong figures. Guards against a server that takes all requests or none, and against wrong means.
func TestWrongFiguresStayBounded(t *testing.T) {
	for _, load := range []Load{{Known: true, Percent: 10}, {Known: true, Percent: 10_000}, {Known: true, Percent: 1e9}, {Known: true, Percent: 1}} {
		for _, took := range []time.Duration{time.Microsecond, 5 * time.Second} {
			f := newPaceFixture(t, true)
			for range 20 {
				f.serve("east0", 6000, took, load)
				f.serve("east1", 6000, firstResponse(6000, 1), Load{})
				f.serve("west0", 6000, firstResponse(6000, 1), Load{})
			}
			service, _ := f.state.meanRates(f.state.Backends["east0"])
			rate := f.state.presentRate(f.now, f.state.Backends["east0"])
			assert.Assert(t, rate <= service*8.001 && rate >= service/8.001, "%v, %v: %.0f beside %.0f", load, took, rate, service)
			assert.Assert(t, f.deviation("east1", firstResponse(6000, 1)) < 2, "%v, %v: sound engine", load, took)
		}
	}
}

// Load: an engine restarts while it serves. Guards against the samples and the responses of the former process counting for the new one.
func TestRestartForgetsSamples(t *testing.T) {
	f := newPaceFixture(t, true)
	f.serve("west0", 6000, firstResponse(6000, 0.55), Load{})
	r := f.begin("west0", 6000)
	f.now = f.now.Add(time.Millisecond)
	f.publishIn("west", "west0", 2)
	f.reduce(ResponseStarted{ID: r.ID, Attempt: 1, Latency: time.Second, Load: Load{Known: true, Running: 60, Slots: 64}})
	b := f.state.Backends["west0"]
	assert.DeepEqual(t, b.Pacing, Pacing{})
	assert.Assert(t, !b.ReportedLoad.Known)
}

// Load: hosts share samples through the lease holder; messages get lost, are late, or come from the build before. Guards against a host's own
// samples coming back to it, and against a message without samples erasing those before it.
func TestSamplesOfOtherHostsSurviveLostAndOldMessages(t *testing.T) {
	f := newPaceFixture(t, true)
	inv, first, second := newInventory(), &HostUsage{}, &HostUsage{}
	f.state.receivePace(f.now, &inv, first, Usage{PaceWork: 18_000, PaceBusy: firstResponse(18_000, 0.55)})
	f.state.receivePace(f.now, &inv, &HostUsage{}, Usage{})
	assert.Equal(t, f.state.receivePace(f.now, &inv, first, Usage{PaceWork: math.Inf(1), PaceBusy: -time.Second}).Work, 0.0)
	others := f.state.receivePace(f.now, &inv, second, Usage{PaceWork: 6000, PaceBusy: time.Second})
	assert.Equal(t, others.Work, 18_000.0)
	f.reduce(PeerReceived{From: "b", Messages: []Message{BackendLoad{Backend: "west0", PaceWork: others.Work, PaceBusy: others.Busy}}})
	f.reduce(PeerReceived{From: "b", Messages: []Message{BackendLoad{Backend: "west0"}, BackendLoad{Backend: "west0", PaceWork: math.NaN(), PaceBusy: 1}}})
	assert.Assert(t, f.deviation("west0", firstResponse(6000, 0.55)) < 1.2)
	assert.Assert(t, f.deviation("west1", firstResponse(6000, 0.55)) < 1.3, "another engine of the failure domain")
}

// Load: long streams. Guards against the load in a header counting as new when the stream ends.
func TestLoadCountsFromTheResponseHeader(t *testing.T) {
	for _, pace := range []bool{false, true} {
		f := newPaceFixture(t, pace)
		r := f.begin("east0", 100)
		load := Load{Known: true, Running: 60, Slots: 64}
		f.reduce(ResponseStarted{ID: r.ID, Attempt: 1, Load: load})
		headerAt := f.now
		f.now = f.now.Add(3 * time.Second)
		f.reduce(DispatchEnded{ID: r.ID, Backend: "east0", Attempt: 1, Outcome: OutcomeDone, Load: load})
		assert.Equal(t, f.state.Backends["east0"].ReportedAt.Equal(headerAt), pace)
	}
}

// Load: an engine's cache is a little too small for one more request. Guards against a penalty that has nothing to do with how soon the
// engine has room.
func TestFullCacheCostsWhatItTakesToFreeIt(t *testing.T) {
	f := newPaceFixture(t, true)
	f.serve("east0", 6000, 2*time.Second, Load{})
	b := f.state.Backends["east0"]
	load := engineLoad{running: 30, tokens: 199_000}
	delay := f.state.admissionDelay(b, &Request{Tokens: 11_000}, f.state.engineOf(b), load)
	assert.Assert(t, delay > 90*time.Millisecond && delay < 110*time.Millisecond, "%v for a twentieth of what is freed in 2 s", delay)
}

// Load: all hosts know the same load. Guards against all of them choosing the same of several unary servers with about the same delay.
func TestHostsSpreadCallsOverNearEqualServers(t *testing.T) {
	most := map[bool]int{}
	for _, pace := range []bool{false, true} {
		for host := range 60 {
			f := newPaceFixture(t, pace)
			f.state.Random = uint64(host)
			f.serve("desk-1", 0, 30*time.Millisecond, Load{Known: true, Running: 2, Slots: 6})
			f.serve("desk-2", 0, 31*time.Millisecond, Load{Known: true, Running: 2, Slots: 6})
			f.serve("desk-3", 0, 32*time.Millisecond, Load{Known: true, Running: 2, Slots: 6})
			if must[Dispatch](t, f.arrive("call", "/safe/x", "secret")).Backend == "desk-1" {
				most[pace]++
			}
		}
	}
	assert.Assert(t, most[true] <= 45 && most[false] == 60, "%d of 60 hosts chose the same server, %d by the rule before", most[true], most[false])
}

// Load: a server reports the largest load figures that are accepted. Guards against an expected delay that overflows, with which the server
// would be preferred to all others.
func TestLargestLoadFiguresGiveNoNegativeDelay(t *testing.T) {
	const largest = 1 << 31
	for _, stay := range []time.Duration{100 * time.Millisecond, time.Second, 3 * time.Second, 10 * time.Second, time.Minute} {
		f := newPaceFixture(t, true)
		f.serve("east0", 6000, stay, Load{Known: true, Running: largest, Waiting: largest, Slots: 64})
		b := f.state.Backends["east0"]
		delay := f.state.engineDelay(f.now, &Request{PromptTokens: 600, Tokens: 600}, b, f.state.engineOf(b))
		assert.Assert(t, delay > time.Minute, "%v", delay)
	}
}
