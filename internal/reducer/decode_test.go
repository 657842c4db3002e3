package reducer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// stream lets an engine serve a stream whose typical gap between events is the given one.
func (f *fixture) stream(id string, gap time.Duration) {
	r := f.begin(id, 600)
	f.now = f.now.Add(100 * time.Millisecond)
	f.reduce(DispatchEnded{ID: r.ID, Backend: id, Attempt: 1, Outcome: OutcomeDone, Status: 200, TypicalGap: gap})
}

// Load: short prompts only, whose first responses give no samples. Guards against engines that decode slowly being expected to work as fast as
// the others of their service.
func TestGapsOfStreamsTellEnginesApart(t *testing.T) {
	f := newPaceFixture(t, true)
	for range 12 {
		f.stream("west0", 60*time.Millisecond)
		f.stream("east0", 30*time.Millisecond)
	}
	slow, fast := f.state.usualRate(f.now, f.state.Backends["west0"]), f.state.usualRate(f.now, f.state.Backends["east0"])
	assert.Assert(t, fast > 1.7*slow && fast < 2.1*slow, "%.0f beside %.0f tokens/s", fast, slow)
}

// Guards against a rate from the gaps of too few streams, of streams without a typical gap, and of those of a former process.
func TestStreamsWithoutAKnownGapGiveNoRate(t *testing.T) {
	f := newPaceFixture(t, true)
	for range 11 {
		f.stream("east0", 30*time.Millisecond)
	}
	f.stream("east0", 0)
	f.stream("east0", -time.Second)
	r := f.begin("west0", 600)
	f.now = f.now.Add(time.Millisecond)
	f.publishIn("west", "west0", 2)
	f.reduce(DispatchEnded{ID: r.ID, Backend: "west0", Attempt: 1, Outcome: OutcomeDone, TypicalGap: 30 * time.Millisecond})
	assert.Assert(t, !f.state.service("engines").Pacing.Gaps.Known())
	assert.Equal(t, f.state.Backends["east0"].Pacing.Estimate.Own.Work, 0.0)
}

// Load: the gaps of one engine's streams are far from possible. Guards against a rate that is not bounded by that of the service, and against
// wrong rates of the other engines.
func TestImpossibleGapsStayBounded(t *testing.T) {
	for _, gap := range []time.Duration{1, time.Hour, 1 << 62} {
		f := newPaceFixture(t, true)
		for range 100 {
			f.stream("east0", 30*time.Millisecond)
			f.stream("west0", 30*time.Millisecond)
		}
		for range 3 {
			f.stream("east1", gap)
		}
		service, _ := f.state.meanRates(f.state.Backends["east1"])
		rate := f.state.usualRate(f.now, f.state.Backends["east1"])
		assert.Assert(t, rate >= service/8.001 && rate <= service*8.001, "%v: %.0f beside %.0f", gap, rate, service)
		f.stream("west0", 30*time.Millisecond)
		other := f.state.usualRate(f.now, f.state.Backends["west0"])
		assert.Assert(t, other > service/1.5 && other < service*1.5, "%v: %.0f at another engine beside %.0f", gap, other, service)
	}
}

// Guards against streams changing anything while Adaptive.Pace is off.
func TestGapsDoNotCountWithoutPace(t *testing.T) {
	f := newPaceFixture(t, false)
	for range 20 {
		f.stream("west0", 60*time.Millisecond)
	}
	assert.DeepEqual(t, f.state.service("engines").Pacing, ServicePacing{})
	assert.DeepEqual(t, f.state.Backends["west0"].Pacing, Pacing{})
}
