package reducer

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// newEngineFixture returns a fixture with engines that hold model m.
func newEngineFixture(t *testing.T, engines int) *fixture {
	f := newFixture(t)
	f.state.Limits.Quarantine = 5 * time.Minute
	// The seeds name another host that is unreachable, so this host claims no leases and sends no orders.
	f.state.Self.Seeds = []string{"10.0.0.9:81"}
	f.publish(cataloguer.Document{Key: "c", Kind: cataloguer.KindCatalogue, Raw: []byte("c"), Catalogue: engineCatalogue()})
	for i := range engines {
		f.publishEngine("e"+strconv.Itoa(i), 1)
	}
	return f
}

func (f *fixture) publishEngine(id string, startedUnixMs int64) {
	f.publishBackend(cataloguer.Backend{
		ID: id, Service: "engines", Address: "10.0.2.1:80", FailureDomain: "east", StartedUnixMs: startedUnixMs, Slots: 64,
		Models: []cataloguer.ResidentModel{{Model: "m"}},
	})
}

// generateWith delivers a request whose prompt has the given shared parts.
func (f *fixture) generateWith(id string, parts ...string) []Effect {
	e := RequestArrived{
		ID: id, CallerID: id, At: f.now, HostName: "h", Path: "/gen/x", Key: "secret", Model: "m", PromptTokens: 1000, OutputTokens: 10,
		TimeLeft: 5 * time.Second,
	}
	for _, part := range append(parts, "own-"+id) {
		e.Parts = append(e.Parts, Part{ID: part, Tokens: 100})
	}
	return f.reduce(e)
}

// lose ends an attempt by a closed connection, and the report of its server fails.
func (f *fixture) lose(d Dispatch) []Effect {
	effects := f.reduce(DispatchEnded{ID: d.ID, Backend: d.Backend, Attempt: d.Attempt, Outcome: OutcomeBroken, Disconnected: true})
	read := must[ReadReport](f.t, effects)
	f.reduce(BackendReported{Backend: read.Backend, StartedUnixMs: read.StartedUnixMs, RequestedAt: f.now, Failed: true})
	return effects
}

// quarantine makes three engines crash by requests with a part.
func (f *fixture) quarantine(part string) {
	for i := range 3 {
		f.lose(must[Dispatch](f.t, f.generateWith("crash-"+strconv.Itoa(i), "common", part)))
		f.advance(time.Second)
	}
	assert.Assert(f.t, f.state.Isolation.Content.InQuarantine(f.now, "part/"+part))
}

// Guards against requests with a part that crashes engines: they are refused as not run, and others are sent.
func TestRequestWithQuarantinedPartIsRefused(t *testing.T) {
	f := newEngineFixture(t, 6)
	f.quarantine("deadly")
	refusal := must[Refuse](t, f.generateWith("1", "common", "deadly", "other"))
	assert.Equal(t, refusal.Reason, ReasonQuarantined)
	assert.Assert(t, !refusal.MayHaveRun)
	assert.Assert(t, refusal.RetryAfter > time.Minute)
	f.advance(10 * time.Second)
	must[Dispatch](t, f.generateWith("2", "common", "other"))
}

// Guards against a further crash by a request that was sent just before its part was quarantined.
func TestAttemptWithQuarantinedPartIsCanceled(t *testing.T) {
	f := newEngineFixture(t, 6)
	running := must[Dispatch](t, f.generateWith("running", "deadly"))
	begun := must[Dispatch](t, f.generateWith("begun", "deadly"))
	f.reduce(ResponseStarted{ID: "begun", Attempt: begun.Attempt})
	var effects []Effect
	for i := range 3 {
		f.lose(must[Dispatch](t, f.generateWith("crash-"+strconv.Itoa(i), "common", "deadly")))
		effects = append(effects, f.advance(time.Second)...)
	}
	assert.Equal(t, must[Cancel](t, effects).ID, running.ID)
	refusal := must[Refuse](t, effects)
	assert.Equal(t, refusal.ID, running.ID)
	assert.Assert(t, refusal.MayHaveRun)
	_, stillRuns := f.state.Requests["begun"]
	assert.Assert(t, stillRuns)
}

// Guards against blaming requests for a server that only breaks off answers.
func TestBrokenAnswersOfALivingServerAreNoCrashes(t *testing.T) {
	f := newEngineFixture(t, 6)
	for i := range 6 {
		d := must[Dispatch](t, f.generateWith(strconv.Itoa(i), "part"))
		effects := f.reduce(DispatchEnded{ID: d.ID, Backend: d.Backend, Attempt: d.Attempt, Outcome: OutcomeBroken, Disconnected: true})
		read := must[ReadReport](t, effects)
		f.advance(50 * time.Millisecond)
		f.reduce(BackendReported{Backend: read.Backend, StartedUnixMs: read.StartedUnixMs, RequestedAt: f.now})
		f.advance(time.Second)
	}
	assert.Equal(t, len(f.state.Isolation.Content.Suspects), 0)
}

// Guards against a crash that goes unnoticed because the server is back before its report is requested.
func TestServerThatStartedAnewHasCrashed(t *testing.T) {
	f := newEngineFixture(t, 6)
	d := must[Dispatch](t, f.generateWith("1", "part"))
	f.reduce(DispatchEnded{ID: d.ID, Backend: d.Backend, Attempt: d.Attempt, Outcome: OutcomeBroken, Disconnected: true})
	f.publishEngine(d.Backend, 2)
	assert.Equal(t, len(f.state.Isolation.Content.Suspects["part/part"].Crashes), 1)
}

// Guards against suspecting requests whose answer had begun long before the crash.
func TestLongRunningAnswerIsNotSuspected(t *testing.T) {
	f := newEngineFixture(t, 6)
	d := must[Dispatch](t, f.generateWith("1", "part"))
	f.reduce(ResponseStarted{ID: "1", Attempt: d.Attempt})
	f.advance(2 * time.Second)
	effects := f.reduce(DispatchEnded{ID: d.ID, Backend: d.Backend, Attempt: d.Attempt, Outcome: OutcomeBroken, Disconnected: true})
	_, asked := find[ReadReport](effects)
	assert.Assert(t, !asked)
}
