package arbiter

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	start  = time.Unix(1_700_000_000, 0)
	first  = Trial{Host: "host-a", Content: "request/1", Sequence: 1}
	second = Trial{Host: "host-b", Content: "request/2", Sequence: 1}
)

// Guards against two trials at one service at a time, whose servers' crashes could not be told apart.
func TestOneTrialAtATime(t *testing.T) {
	a := New()
	assert.Assert(t, a.Request(start, "desk", first))
	assert.Assert(t, !a.Request(start, "desk", second))
	assert.Assert(t, a.Request(start, "other", second), "a trial at another service has to wait")
	again := first
	again.Sequence++
	assert.Assert(t, !a.Request(start, "desk", again), "a host has two trials")

	renewed := start.Add(lease * 3 / 4)
	assert.Assert(t, a.Request(renewed, "desk", first))
	assert.Assert(t, !a.Request(start.Add(lease*5/4), "desk", second), "a renewed trial has ended")
	a.End(renewed, "desk", second, false)
	assert.Assert(t, !a.Request(renewed, "desk", second), "a host has ended another one's trial")
	a.End(renewed, "desk", first, false)
	assert.Assert(t, a.Request(renewed, "desk", second))
}

// Guards against a host that stops during its trial and keeps the others waiting for ever.
func TestTrialWithoutRenewalEnds(t *testing.T) {
	a := New()
	assert.Assert(t, a.Request(start, "desk", first))
	assert.Assert(t, a.Request(start.Add(lease), "desk", second))
}

// Guards against trials that crash one server after the other before hosts have judged the last one.
func TestLostTrialsArePaused(t *testing.T) {
	a, now := New(), start
	for _, pause := range []time.Duration{firstPause, 2 * firstPause, 4 * firstPause, maxPause, maxPause} {
		assert.Assert(t, a.Request(now, "desk", first))
		a.End(now, "desk", first, true)
		assert.Assert(t, !a.Request(now.Add(pause-1), "desk", second), "%v", pause)
		now = now.Add(pause)
	}
	assert.Assert(t, a.Request(now, "desk", first))
	a.End(now, "desk", first, false)
	assert.Assert(t, a.Request(now, "desk", second), "a trial that was not lost is followed by a pause")
	a.Prune(now.Add(memory))
	assert.Equal(t, len(a.Services), 1)
	a.Prune(now.Add(memory + 1))
	assert.Equal(t, len(a.Services), 0)
}
