package reducer

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against an attempt that is ended because its server is silent, without a retry left or another server that can take the request: it would
// have gone on.
func TestStalledAttemptEndsOnlyForASureRetry(t *testing.T) {
	f := newFixture(t)
	first := must[Dispatch](t, f.arrive("1", "/safe/x", "secret"))
	budget := &f.state.service("desk").RetryBudget
	budget.Level = 0.9
	_, ended := find[EndAttempt](f.reduce(AttemptStalled{ID: "1", Attempt: 1}))
	assert.Assert(t, !ended, "the retry budget is spent")

	budget.Level = 2
	other := map[string]string{"desk-1": "desk-2", "desk-2": "desk-1"}[first.Backend]
	f.state.Backends[other].Info.Draining = true
	_, ended = find[EndAttempt](f.reduce(AttemptStalled{ID: "1", Attempt: 1}))
	assert.Assert(t, !ended, "no other server takes requests")

	f.state.Backends[other].Info.Draining = false
	assert.Equal(t, must[EndAttempt](t, f.reduce(AttemptStalled{ID: "1", Attempt: 1})), EndAttempt{ID: "1", Attempt: 1})
	_, again := find[EndAttempt](f.reduce(AttemptStalled{ID: "1", Attempt: 1}))
	assert.Assert(t, !again && budget.Level == 1, "one retry is reserved")
	budget.Level = 0
	second := must[Dispatch](t, f.reduce(DispatchEnded{ID: "1", Backend: first.Backend, Attempt: 1, Outcome: OutcomeTimeout}))
	assert.Equal(t, second.Backend, other)
}

// Guards against a request that must not run twice, or has no run left, being ended for a retry; and against a reserved retry that is lost when the
// stalled attempt completes first.
func TestStalledAttemptThatMayNotRunAgainGoesOn(t *testing.T) {
	f := newFixture(t)
	must[Dispatch](t, f.arrive("1", "/once/x", "secret"))
	_, ended := find[EndAttempt](f.reduce(AttemptStalled{ID: "1", Attempt: 1}))
	assert.Assert(t, !ended)

	first := must[Dispatch](t, f.arrive("2", "/safe/x", "secret"))
	level := f.state.service("desk").RetryBudget.Level
	must[EndAttempt](t, f.reduce(AttemptStalled{ID: "2", Attempt: 1}))
	f.reduce(DispatchEnded{ID: "2", Backend: first.Backend, Attempt: 1, Outcome: OutcomeDone, Status: 200})
	assert.Equal(t, f.state.service("desk").RetryBudget.Level, level)
}
