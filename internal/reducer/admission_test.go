package reducer

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/internal/selector"
)

// newAdmissionFixture returns a fixture with engines and the admission control on.
func newAdmissionFixture(t *testing.T, engines int) *fixture {
	f := newEngineFixture(t, engines)
	f.state.Limits.Adaptive.Admission = true
	return f
}

// Guards against kinds being equal at engines, and against a header from hosts that do without the admission control.
func TestDispatchCarriesThePriority(t *testing.T) {
	f := newAdmissionFixture(t, 1)
	assert.Equal(t, must[Dispatch](t, f.generateWith("1")).Priority, 0)
	f.state.Documents.Catalogue.Routes[3].Priority = 2
	assert.Equal(t, must[Dispatch](t, f.generateWith("2")).Priority, 2)
	assert.Equal(t, must[Dispatch](t, f.arrive("3", "/once/x", "secret")).Priority, -1)
	f.state.Limits.Adaptive.Admission = false
	assert.Equal(t, must[Dispatch](t, f.generateWith("4")).Priority, -1)
}

// Load: servers want no work for longer than a third of the callers' time, and 40 callers are refused at once and return together. Guards
// against a Retry-After that callers do not follow, against returns in one moment, and against a second refusal.
func TestRefusedCallersReturnSpreadAndAreServed(t *testing.T) {
	f := newFixture(t)
	f.state.Limits.Adaptive.Admission = true
	for _, b := range f.state.Backends {
		f.state.recordNotice(f.now, b, BackendNotice{Backoff: 500 * time.Millisecond})
	}
	const callers = 40
	dueAt := map[time.Duration]int{}
	for i := range callers {
		refusal := must[Refuse](t, f.arrive(strconv.Itoa(i), "/once/x", "secret"))
		assert.Check(t, refusal.RetryAfter > 0 && refusal.RetryAfter <= time.Second/3, "%v", refusal.RetryAfter)
		dueAt[refusal.RetryAfter]++
	}
	assert.Equal(t, len(dueAt), callers)
	early := must[Refuse](t, f.arrive("0", "/once/x", "secret"))
	assert.Equal(t, f.state.Counters.EarlyReturns, uint64(1))
	assert.Check(t, early.RetryAfter > 0)
	f.advance(350 * time.Millisecond)
	answered := 0
	for i := range callers {
		f.arrive(strconv.Itoa(i), "/once/x", "secret")
	}
	assert.Equal(t, f.state.Counters.ReturnsKept, uint64(callers))
	for _, e := range f.advance(250 * time.Millisecond) {
		if _, ok := e.(Dispatch); ok {
			answered++
		}
	}
	assert.Equal(t, answered, callers)
}

// Load: a burst of large prompts of one kind on a single engine. Guards against all of them being late, and against a request that no server can
// answer before its deadline.
func TestBurstBeyondTheTargetIsRefusedAtOnce(t *testing.T) {
	f := newAdmissionFixture(t, 1)
	sent, refused := 0, 0
	for i := range 100 {
		effects := f.generateWith(strconv.Itoa(i))
		if refusal, ok := find[Refuse](effects); ok {
			refused++
			assert.Check(t, !refusal.MayHaveRun && refusal.Reason == ReasonFull && refusal.RetryAfter < 5*time.Second/3)
		}
		if _, ok := find[Dispatch](effects); ok {
			sent++
		}
	}
	// 100 prompts of 1,000 tokens take 4 s at the initial rate of 25,000 a second; the target is one second.
	assert.Check(t, sent > 20 && sent < 30 && refused == 100-sent, "%d sent, %d refused", sent, refused)
}

// Load: an engine with a backlog of less urgent work. Guards against an urgent request being refused because of work that engines do after it.
func TestUrgentRequestIsSentBeforeALessUrgentBacklog(t *testing.T) {
	f := newAdmissionFixture(t, 1)
	gen := &f.state.Documents.Catalogue.Routes[3]
	gen.Priority = 1
	for i := range 40 {
		f.generateWith(strconv.Itoa(i))
	}
	must[Refuse](t, f.generateWith("less"))
	gen.Priority = 0
	assert.Equal(t, must[Dispatch](t, f.generateWith("urgent")).Priority, 0)
}

// Load: one request whose servers respond slowly, and nothing else. Guards against the refusal of a request that can
// only be late, while nothing else waits for the server.
func TestLateRequestIsServedWhereNothingElseWaits(t *testing.T) {
	f := newFixture(t)
	f.state.Limits.Adaptive.Admission = true
	for _, b := range f.state.Backends {
		b.MeanLatency = 500 * time.Millisecond
	}
	must[Dispatch](t, f.arrive("slow", "/once/x", "secret"))
	assert.Equal(t, f.state.Counters.LateAdmissions, uint64(1))
}

// Guards against callers without a place returning together after a start of all hosts.
func TestCallersOfAHostWithoutACatalogueAreSpread(t *testing.T) {
	s := NewState(Self{HostID: "a", StartedAt: startTime}, Limits{Adaptive: Adaptive{Admission: true}}, 1)
	f := &fixture{t: t, state: s, now: startTime}
	waits := map[time.Duration]bool{}
	for i := range 50 {
		wait := must[Refuse](t, f.arrive(strconv.Itoa(i), "/once/x", "secret")).RetryAfter
		assert.Check(t, wait > 0 && wait <= time.Second)
		waits[wait] = true
	}
	assert.Check(t, len(waits) > 45)
}

// Load: a request waits for its adapter while another engine is expected to respond a little earlier. Guards against a request that is listed as
// waiting more than once, or where it no longer waits: that would count against the engine's slow start for ever.
func TestWaitingRequestIsListedAtItsEngineAlone(t *testing.T) {
	f := newAdmissionFixture(t, 2)
	f.generate("r", "a1")
	r := f.state.Requests["r"]
	assert.Equal(t, r.Phase, PhaseAwaitingAdapter)
	chosen := f.state.Backends[r.Backend]
	chosen.PrefillTokens += 500
	listed := func() (count int) {
		for _, b := range f.state.Backends {
			for _, adapter := range b.Adapters {
				count += len(adapter.Waiting)
			}
		}
		return count
	}
	f.advance(300 * time.Millisecond)
	assert.Equal(t, f.state.Requests["r"], r)
	assert.Equal(t, listed(), 1)
	f.reduce(RequestAbandoned{ID: "r"})
	assert.Equal(t, listed(), 0)
}

// Load: an account whose request has waited for tokens, while a more urgent one waits for the servers. Guards against a request that goes before
// others because its account had no tokens at first.
func TestRequestWithGrantedTokensGoesAfterMoreUrgentOnes(t *testing.T) {
	f := newFixture(t)
	f.state.Limits.Adaptive.Admission = true
	for _, b := range f.state.Backends {
		f.state.recordNotice(f.now, b, BackendNotice{Backoff: 5 * time.Millisecond})
	}
	f.arrive("urgent", "/once/x", "secret")
	assert.Equal(t, f.state.Requests["urgent"].Phase, PhaseQueued)
	f.state.Requests["urgent"].Priority = 0
	granted := *f.state.Requests["urgent"]
	granted.ID, granted.Priority, granted.Phase, granted.QuotaCost = "granted", 1, PhaseAwaitingTokens, 1
	f.state.Requests[granted.ID] = &granted
	f.now = f.now.Add(6 * time.Millisecond)
	account := f.state.account(f.now, "acme")
	account.Level, account.Waiting = 5, []string{granted.ID}
	admitWaiting[selector.LeastDelay](f.state, f.now, account, 0)
	var sent []string
	for _, e := range f.state.flush(f.now) {
		if d, ok := e.(Dispatch); ok {
			sent = append(sent, d.ID)
		}
	}
	assert.DeepEqual(t, sent, []string{"urgent", "granted"})
}
