package exerciser

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/internal/modeler"
	"github.com/redwingpick/redwingpick/internal/reducer"
	"github.com/redwingpick/redwingpick/internal/selector"
)

var (
	seeds     = flag.Int("seeds", 12, "number of seeds of TestSoak")
	firstSeed = flag.Uint64("first-seed", 1, "first seed of TestSoak")
)

func defaultOptions(seed uint64) Options {
	return Options{
		Seed: seed, Hosts: 6, Domains: 3, Engines: 9, UnaryServers: 4, Latency: time.Millisecond, Jitter: 2 * time.Millisecond, DropRate: 0.01,
		EngineSpec: modeler.Spec{
			Slots: 64, QueueSize: 192, AdapterSlots: 6, LoadTime: 250 * time.Millisecond, CachedLoadTime: 25 * time.Millisecond,
			PrefillRate: 38000, TokenTime: 5 * time.Millisecond, ReportLag: 400 * time.Millisecond,
		},
		Limits: reducer.Limits{
			ConfigDeadline: 2 * time.Second, DrainDeadline: 2 * time.Second, HostTimeout: 3 * time.Second, GracePeriod: 8 * time.Second,
			OrderLeaseDuration: 3 * time.Second, RetryRatio: 0.2, RetrySlack: 52, QuotaWindow: quotaWindow, QuotaOvershoot: quotaOvershoot,
			QuotaSlack: quotaSlack, LoadWindow: 5 * time.Second, DirectoryTTL: 5 * time.Second, Quarantine: 5 * time.Minute,
		},
	}
}

// runSeed simulates a warm-up, a minute of random faults and a final period without faults, and returns descriptions of the faults.
func runSeed(o Options) (sim *Simulation[selector.LeastDelay], faults []string) {
	sim = New[selector.LeastDelay](o)
	sim.Run(8 * time.Second)
	sim.StartTraffic(45)
	if o.ExtendedWorkload {
		sim.PublishAdapterVersions(3 * time.Second)
	}
	for range 20 {
		faults = append(faults, sim.InjectRandomFault())
		sim.Run(3 * time.Second)
	}
	sim.Run(20 * time.Second)
	return sim, faults
}

// regressionSeeds are seeds that once violated a rule; the causes are given in the commits and in docs/PROOFS.md.
var regressionSeeds = []uint64{2, 6, 8, 16, 22, 24, 32, 35, 36, 44, 53, 55, 5072}

// extendedRegressionSeeds are seeds that once violated a rule with Options.ExtendedWorkload (adapter versions and callers that disconnect).
var extendedRegressionSeeds = []uint64{1, 8, 13, 15, 17, 20, 21, 30, 48, 55, 68, 69, 97}

func TestRegressionSeeds(t *testing.T) {
	for _, seed := range regressionSeeds {
		checkSeed(t, defaultOptions(seed))
	}
	for _, seed := range extendedRegressionSeeds {
		o := defaultOptions(seed)
		o.ExtendedWorkload = true
		checkSeed(t, o)
	}
}

func TestSoak(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+uint64(*seeds); seed++ {
		o := defaultOptions(seed)
		o.ExtendedWorkload = true
		checkSeed(t, o)
	}
}

// TestSoakWithServerNotices plays random faults before engines that are often full and say so, and servers that say when they drain.
func TestSoakWithServerNotices(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+uint64(max(*seeds/2, 1)); seed++ {
		o := defaultOptions(seed)
		o.ServerNotices = true
		o.EngineSpec.QueueSize, o.EngineSpec.Slots = 1, 2
		checkSeed(t, o)
	}
}

// TestSoakWithPlacement plays random faults with adapter placement, which asks for loads ahead of requests.
func TestSoakWithPlacement(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+uint64(max(*seeds/2, 1)); seed++ {
		o := defaultOptions(seed)
		o.ExtendedWorkload = seed%2 == 0
		o.Limits.Adaptive.Places = true
		checkSeed(t, o)
	}
}

func checkSeed(t *testing.T, o Options) {
	seed := o.Seed
	t.Run(fmt.Sprintf("seed_%d", seed), func(t *testing.T) {
		t.Parallel()
		sim, faults := runSeed(o)
		t.Logf("seed %d: %d sent, refused for %d reasons %v", seed, sim.Traffic.Sent, len(sim.Traffic.Refused), sim.Traffic.Refused)
		if len(sim.Checker.Violations) > 0 {
			shown := sim.Checker.Violations[:min(len(sim.Checker.Violations), 10)]
			t.Errorf("seed %d:\n%s\nfaults:\n%s", seed, strings.Join(shown, "\n"), strings.Join(faults, "\n"))
		}
	})
}

func TestFaultFreeFleetServesRequests(t *testing.T) {
	sim := New[selector.LeastDelay](defaultOptions(7))
	sim.Run(8 * time.Second)
	sim.StartTraffic(45)
	sim.Run(30 * time.Second)
	assert.Equal(t, len(sim.Checker.Violations), 0, "%v", sim.Checker.Violations)
	refused := 0
	for _, n := range sim.Traffic.Refused {
		refused += n
	}
	assert.Assert(t, refused*50 < sim.Traffic.Sent, "refused %v of %d", sim.Traffic.Refused, sim.Traffic.Sent)
}

// TestSoakWithSlowStart plays random faults before hosts that find how much a server takes after it has started or failed.
func TestSoakWithSlowStart(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+uint64(max(*seeds/2, 1)); seed++ {
		o := defaultOptions(seed)
		o.ExtendedWorkload = true
		o.Limits.Adaptive.Start = true
		checkSeed(t, o)
	}
}
