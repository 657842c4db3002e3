package exerciser

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/internal/selector"
)

// TestSoakWithAdmission guards against rules that hold only while the admission control is off.
func TestSoakWithAdmission(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+uint64(max(*seeds/2, 1)); seed++ {
		o := defaultOptions(seed)
		o.Limits.Adaptive.Admission = true
		o.ExtendedWorkload = seed%2 == 0
		checkSeed(t, o)
	}
}

// burst simulates callers that return after refusals: 20 s of the usual load, 10 s of three times as much, and 10 s of the usual load, on engines
// with too few adapter slots for it.
func burst(seed uint64, admission bool) *Simulation[selector.LeastDelay] {
	o := defaultOptions(seed)
	o.Hosts, o.Engines, o.ReturningCallers, o.Limits.Adaptive.Admission = 12, 4, true, admission
	sim := New[selector.LeastDelay](o)
	sim.Run(8 * time.Second)
	sim.StartTraffic(30)
	sim.Run(20 * time.Second)
	stop := sim.StartTraffic(60)
	sim.Run(10 * time.Second)
	stop()
	sim.Run(10 * time.Second)
	return sim
}

// Load: a burst of three times the usual rate. Guards against callers that are refused twice and against requests without an answer.
func TestMoreReturningCallersAreAnsweredInABurst(t *testing.T) {
	const seeds = 12
	var sent, answered, twice [2]float64
	for seed := range uint64(seeds) {
		for i, on := range []bool{false, true} {
			sim := burst(seed+1, on)
			c := sim.Traffic.Callers
			sent[i] += float64(sim.Traffic.Sent)
			answered[i] += float64(c.InTime + c.Late)
			twice[i] += float64(c.RefusedTwice)
			assert.Check(t, len(sim.Checker.Violations) == 0, "%v", sim.Checker.Violations)
		}
	}
	for i := range sent {
		answered[i] /= sent[i]
		twice[i] /= sent[i]
	}
	t.Logf("answered %.4f, without admission control %.4f; refused twice %.4f, without %.4f", answered[1], answered[0], twice[1], twice[0])
	assert.Check(t, answered[1] > answered[0] && twice[1] < twice[0])
}
