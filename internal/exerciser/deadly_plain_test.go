package exerciser

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/internal/reducer"
	"github.com/redwingpick/redwingpick/internal/selector"
)

// unaryShare is the share of the simulated requests that run on the unary service.
const unaryShare = 1 - generationShare

// maxHostsOfAllSeeds is the size of a fleet up to which all seeds are played; a run of a larger one takes up to 25 s of processor time.
const maxHostsOfAllSeeds = 40

// TestDeadlyPlainRequestStopsReachingServers guards against a request to a service without models that crashes each server which begins to run it, and
// reaches servers more than three times once the third has crashed and hosts have had the time to learn of it (BUDGET).
func TestDeadlyPlainRequestStopsReachingServers(t *testing.T) {
	for _, c := range []struct{ hosts, servers, rate int }{{3, 4, 24}, {6, 4, 24}, {6, 2, 24}, {40, 8, 80}, {84, 12, 80}, {195, 12, 80}} {
		seeds := *crashSeeds
		if c.hosts > maxHostsOfAllSeeds {
			seeds = 1
		}
		for seed := uint64(1); seed <= seeds; seed++ {
			t.Run(fmt.Sprintf("hosts_%d/servers_%d/seed_%d", c.hosts, c.servers, seed), func(t *testing.T) {
				t.Parallel()
				o := defaultOptions(seed)
				o.Hosts, o.UnaryServers = c.hosts, c.servers
				sim := New[selector.LeastDelay](o)
				sim.Run(warmUpDuration)
				sim.StartDeadlyPart(0, deadlyPlain)
				sim.StartTraffic(float64(c.rate))
				sim.Run(6 * time.Second)
				sim.DeadlyPart.Share = deadlyPartRate / (float64(c.rate) * unaryShare)
				sim.Run(25 * time.Second)
				d := sim.DeadlyPart
				t.Logf("crashes %d, late arrivals %d, sound before %+v, after %+v", len(d.CrashTimes), d.LateArrivals, d.Before, d.After)
				assert.Assert(t, len(d.CrashTimes) >= repeatedCrashes)
				assert.Equal(t, len(sim.Checker.Violations), 0, "%v", sim.Checker.Violations)
				assert.DeepEqual(t, quarantined(sim), []string{fmt.Sprintf("request/%x", deadlyFingerprint)})
				assert.Assert(t, d.After.Begun*d.Before.Sent*10 >= d.Before.Begun*d.After.Sent*9, "sound requests before %+v, after %+v", d.Before, d.After)
			})
		}
	}
}

// plainCrashes are the crashes of unary servers by other causes in one run: for each a number of servers that crash at once.
var plainCrashes = []struct {
	name    string
	servers int
	// at returns the servers that crash at once, by their index, and pause the time to the next crashes.
	at    func(crash, servers int) []int
	pause time.Duration
}{
	{"one_after_the_other", 4, func(crash, servers int) []int { return []int{crash % servers} }, 400 * time.Millisecond},
	{"half_four_times", 4, func(crash, _ int) []int { return []int{crash % 2 * 2, crash%2*2 + 1} }, 3500 * time.Millisecond},
	{"all", 4, func(_, _ int) []int { return []int{0, 1, 2, 3} }, 4 * time.Second},
	{"all_again_as_they_start", 3, func(_, _ int) []int { return []int{0, 1, 2} }, crashedDuration + 150*time.Millisecond},
}

// TestPlainCrashesByOtherCausesRefuseNothing guards against refusing sound requests because servers without models crash for reasons of their own while
// users repeat their lookups, which are alike.
func TestPlainCrashesByOtherCausesRefuseNothing(t *testing.T) {
	for _, c := range plainCrashes {
		for seed := uint64(1); seed <= *crashSeeds; seed++ {
			t.Run(fmt.Sprintf("%s/seed_%d", c.name, seed), func(t *testing.T) {
				t.Parallel()
				o := defaultOptions(seed)
				o.UnaryServers = c.servers
				sim := New[selector.LeastDelay](o)
				sim.Run(warmUpDuration)
				sim.StartDeadlyPart(0, deadlyPlain)
				sim.StartTraffic(100)
				sim.Run(3 * time.Second)
				for crash := range 16 {
					for _, i := range c.at(crash, c.servers) {
						if b := sim.Backends[fmt.Sprintf("plain-%02d", i)]; b.Up {
							sim.crashByRequest(b)
						}
					}
					sim.Run(c.pause)
				}
				sim.Run(4 * time.Second)
				assert.Equal(t, sim.Traffic.Refused[reducer.ReasonQuarantined.String()], 0)
				assert.DeepEqual(t, quarantined(sim), []string(nil))
				assert.Equal(t, len(sim.Checker.Violations), 0, "%v", sim.Checker.Violations)
				for _, h := range sim.Hosts {
					assert.Equal(t, h.State.Counters.Quarantines, uint64(0), h.ID)
				}
			})
		}
	}
}
