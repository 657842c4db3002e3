package reducer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// end ends the first attempt of a request with a notice from its backend server.
func (f *fixture) end(d Dispatch, outcome Outcome, notice BackendNotice) []Effect {
	return f.reduce(DispatchEnded{ID: d.ID, Backend: d.Backend, Attempt: d.Attempt, Outcome: outcome, Status: 200, Notice: notice})
}

func (f *fixture) sendStateOf(id string) SendState {
	state, _ := f.state.sendState(f.now, f.state.Backends[id])
	return state
}

// Guards against requests going to a backend server that has said in a response that it drains, although its entry does not say so.
func TestLeavingServerGetsNoNewRequests(t *testing.T) {
	for name, tell := range map[string]func(f *fixture, d Dispatch){
		"response": func(f *fixture, d Dispatch) { f.end(d, OutcomeDone, BackendNotice{Leaving: true}) },
		"refusal":  func(f *fixture, d Dispatch) { f.end(d, OutcomeFull, BackendNotice{Leaving: true}) },
		"start of a stream": func(f *fixture, d Dispatch) {
			f.reduce(ResponseStarted{ID: d.ID, Attempt: 1, Notice: BackendNotice{Leaving: true}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			first := must[Dispatch](t, f.arrive("first", "/once/x", "secret"))
			tell(f, first)
			assert.Equal(t, f.sendStateOf(first.Backend), SendLeaving)
			for i := range 20 {
				d := must[Dispatch](t, f.arrive(string(rune('a'+i)), "/once/x", "secret"))
				assert.Assert(t, d.Backend != first.Backend)
				f.end(d, OutcomeDone, BackendNotice{})
			}
		})
	}
}

// Guards against the state of a former incarnation staying with a backend server that has restarted under its ID, and against a late
// response of the former incarnation marking the new one.
func TestRestartClearsTheNoticesOfTheFormerIncarnation(t *testing.T) {
	f := newFixture(t)
	early := must[Dispatch](t, f.arrive("early", "/once/x", "secret"))
	late := must[Dispatch](t, f.arrive("late", "/once/x", "secret"))
	for late.Backend != early.Backend {
		late = must[Dispatch](t, f.arrive("late"+late.ID, "/once/x", "secret"))
	}
	f.end(early, OutcomeFull, BackendNotice{Leaving: true, Backoff: time.Minute})
	assert.Equal(t, f.sendStateOf(early.Backend), SendLeaving)
	f.advance(time.Second / 2)
	f.publishBackend(cataloguer.Backend{ID: early.Backend, Service: "desk", Address: "10.0.1.1:80", FailureDomain: "east", StartedUnixMs: 2, Slots: 6})
	assert.Equal(t, f.sendStateOf(early.Backend), SendAllowed)
	assert.Equal(t, f.state.Requests[late.ID].Phase, PhaseRunning)
	f.reduce(ResponseStarted{ID: late.ID, Attempt: 1, Notice: BackendNotice{Leaving: true}})
	f.end(late, OutcomeDone, BackendNotice{Leaving: true})
	assert.Equal(t, f.sendStateOf(early.Backend), SendAllowed)
}

// Guards against requests going to a backend server that has asked for none, and against a host forgetting the longer of two pauses.
func TestBackoffIsKept(t *testing.T) {
	f := newFixture(t)
	first := must[Dispatch](t, f.arrive("first", "/safe/x", "secret"))
	f.end(first, OutcomeFull, BackendNotice{Backoff: 2 * time.Second})
	f.state.recordNotice(f.now, f.state.Backends[first.Backend], BackendNotice{Backoff: 100 * time.Millisecond})
	for i := range 38 {
		f.advance(50 * time.Millisecond)
		d := must[Dispatch](t, f.arrive(string(rune('a'+i)), "/once/x", "secret"))
		assert.Assert(t, d.Backend != first.Backend, "sent %v after the response", time.Duration(i)*50*time.Millisecond)
		f.end(d, OutcomeDone, BackendNotice{})
	}
	f.advance(200 * time.Millisecond)
	assert.Equal(t, f.sendStateOf(first.Backend), SendAllowed)
	f.state.recordNotice(f.now, f.state.Backends[first.Backend], BackendNotice{Backoff: 1 << 62})
	assert.Assert(t, f.state.Backends[first.Backend].BackoffUntil.Sub(f.now) <= maxBackoff)
}

// Guards against callers waiting for backend servers of which the host knows that none can be used in time.
func TestRequestIsRefusedAtOnceWhileAllServersWantNone(t *testing.T) {
	f := newFixture(t)
	for _, b := range f.state.Backends {
		f.state.recordNotice(f.now, b, BackendNotice{Backoff: 1500 * time.Millisecond})
	}
	refusal := must[Refuse](t, f.arrive("1", "/once/x", "secret"))
	assert.Assert(t, !refusal.MayHaveRun)
	assert.Equal(t, refusal.RetryAfter, 1500*time.Millisecond)
}

func TestSaturatedServerIsNotUsed(t *testing.T) {
	f := newFixture(t)
	limit := f.state.connectionLimit(f.now, f.state.Documents.Services["desk"])
	for i := range 2 * limit {
		must[Dispatch](t, f.arrive(string(rune('0'+i)), "/once/x", "secret"))
	}
	_, sent := find[Dispatch](f.arrive("more", "/once/x", "secret"))
	assert.Assert(t, !sent)
	assert.Equal(t, f.sendStateOf("desk-1"), SendSaturated)
}

// Guards against requests that arrive at the end of a drain being accepted and then cut off.
func TestDrainedHostRefusesArrivals(t *testing.T) {
	f := newFixture(t)
	running := must[Dispatch](t, f.arrive("long", "/once/x", "secret"))
	f.reduce(DrainRequested{})
	f.advance(100 * time.Millisecond)
	must[Dispatch](t, f.arrive("early", "/once/x", "secret"))
	f.state.Requests[running.ID].Deadline = f.now.Add(time.Minute)
	f.advance(f.state.Limits.GracePeriod / 2)
	refusal := must[Refuse](t, f.arrive("late", "/once/x", "secret"))
	assert.Equal(t, refusal.Reason, ReasonDraining)
	assert.Assert(t, !refusal.MayHaveRun)
}
