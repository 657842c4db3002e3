package exerciser

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/internal/selector"
)

// TestSoakWithPace plays random faults before servers of uneven speeds while hosts estimate the speeds.
func TestSoakWithPace(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+uint64(max(*seeds/4, 1)); seed++ {
		o := defaultOptions(seed)
		o.UnevenServers, o.Limits.Adaptive.Pace = true, true
		checkSeed(t, o)
	}
}

// Load: a slow failure domain and noisy neighbours, without faults. Guards against estimates that are right in themselves and make requests
// wait longer.
func TestPaceShortensWaits(t *testing.T) {
	mean := map[bool]map[string]time.Duration{false: {}, true: {}}
	const seeds = 5
	for seed := range uint64(2 * seeds) {
		o, pace := defaultOptions(1+seed/2), seed%2 == 1
		o.UnevenServers, o.Limits.Adaptive.Pace = true, pace
		sim := New[selector.LeastDelay](o)
		sim.Run(8 * time.Second)
		sim.StartTraffic(90)
		sim.Run(50 * time.Second)
		assert.Equal(t, len(sim.Checker.Violations), 0, "%v", sim.Checker.Violations)
		for service, times := range sim.Traffic.ResponseTimes {
			for _, took := range times {
				mean[pace][service] += took / time.Duration(seeds*len(times))
			}
		}
	}
	for _, service := range []string{engineService, unaryService} {
		before, now := mean[false][service], mean[true][service]
		t.Logf("%s: mean time to the first response %v, before %v", service, now, before)
		assert.Assert(t, now < before*95/100, "%s: mean %v to the first response, before %v", service, now, before)
	}
}
