package reducer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against requests that are accepted late in a planned stop and cut off at its end.
func TestRequestThatMayOutlastADrainIsRefused(t *testing.T) {
	f := newEngineFixture(t, 2)
	f.reduce(DrainRequested{})
	must[Dispatch](t, f.generateWith("early"))
	f.advance(freeArrivalTime + 50*time.Millisecond)
	refusal := must[Refuse](t, f.generateWith("late"))
	assert.Equal(t, refusal.Reason, ReasonDraining)
	assert.Assert(t, !refusal.MayHaveRun)
	short := f.reduce(RequestArrived{ID: "short", CallerID: "short", At: f.now, HostName: "h", Path: "/once/x", Key: "secret", TimeLeft: time.Second})
	must[Dispatch](t, short)
}

// Guards against requests that end without an answer because a planned stop is over.
func TestRequestsLeftAtTheEndOfADrainAreAnswered(t *testing.T) {
	f := newEngineFixture(t, 2)
	f.state.Limits.RetrySlack = 0
	f.reduce(DrainRequested{})
	f.advance(freeArrivalTime - 100*time.Millisecond)
	must[Dispatch](t, f.generateWith("running"))
	effects := f.advance(graceOfFixture - freeArrivalTime)
	refusal := must[Refuse](t, effects)
	assert.Equal(t, refusal.ID, "running")
	assert.Equal(t, refusal.Reason, ReasonDraining)
	assert.Assert(t, refusal.MayHaveRun)
	must[Cancel](t, effects)
	must[Drained](t, effects)
}

// graceOfFixture is the grace period of the fixture.
const graceOfFixture = 8 * time.Second
