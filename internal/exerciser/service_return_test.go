package exerciser

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/internal/modeler"
	"github.com/redwingpick/redwingpick/internal/selector"
)

var (
	returnSeeds     = flag.Int("return-seeds", 0, "number of seeds of each schedule and size of TestConfigurationServiceReturnsFromOlderCopy, instead of the fixed ones")
	returnFirstSeed = flag.Uint64("return-first", 1, "first seed of TestConfigurationServiceReturnsFromOlderCopy")
)

// changeWhileCopyAges makes changes of each kind that will be lost, and returns the copy of the time before them. One withdrawal begins and another
// one ends, two servers drain, one is removed without a drain and one restarts.
func changeWhileCopyAges(sim *Simulation[selector.LeastDelay]) modeler.ConfigService {
	sim.Withdraw(sim.domain(1), true)
	sim.Run(sim.RandomDuration(time.Second, 4*time.Second))
	saved := sim.ConfigService.Copy()
	sim.Withdraw(sim.domain(1), false)
	sim.Withdraw(sim.domain(2), true)
	servers := sim.domainEngines(sim.domain(0))
	sim.DrainServer(servers[0])
	sim.Run(sim.RandomDuration(200*time.Millisecond, 2*time.Second))
	sim.DrainServer(sim.Backends["plain-00"])
	if len(servers) > 1 {
		sim.RemoveWithoutDrain(servers[1])
	}
	sim.crashRandomEngine(time.Second)
	sim.Run(sim.RandomDuration(200*time.Millisecond, 5*time.Second))
	return saved
}

// returnFromCopy plays one return and runs until all lost changes are written again and settled.
func returnFromCopy(sim *Simulation[selector.LeastDelay]) {
	saved := changeWhileCopyAges(sim)
	sim.ReturnFromCopy(saved, sim.RandomDuration(100*time.Millisecond, 2500*time.Millisecond))
	sim.Run(9 * time.Second)
}

var returnSchedules = []schedule{
	// Guards against hosts that keep waiting for the revisions of before the return.
	{name: "quiet", inject: func(sim *Simulation[selector.LeastDelay]) {
		sim.PublishCatalogues(publishInterval)
		returnFromCopy(sim)
	}},
	// Guards against changes that are skipped because new revisions have passed the old one before a host reads again.
	{name: "storm_of_changes", inject: func(sim *Simulation[selector.LeastDelay]) {
		sim.PublishCatalogues(50 * time.Millisecond)
		saved := changeWhileCopyAges(sim)
		sim.ReturnFromCopy(saved, sim.RandomDuration(100*time.Millisecond, 600*time.Millisecond))
		sim.Run(10 * time.Second)
	}},
	// Guards against hosts that take the state of before the second return for that of after it.
	{name: "second_return", inject: func(sim *Simulation[selector.LeastDelay]) {
		sim.PublishCatalogues(publishInterval)
		saved := changeWhileCopyAges(sim)
		sim.ReturnFromCopy(saved, sim.RandomDuration(100*time.Millisecond, 1500*time.Millisecond))
		sim.Run(sim.RandomDuration(1600*time.Millisecond, 5*time.Second))
		sim.ReturnFromCopy(saved, sim.RandomDuration(100*time.Millisecond, 2500*time.Millisecond))
		sim.Run(9 * time.Second)
	}},
	// Guards against hosts that learn of the return from peers alone, or after a partition, and apply updates of hosts that are behind.
	{name: "partition", inject: func(sim *Simulation[selector.LeastDelay]) {
		sim.PublishCatalogues(publishInterval)
		saved := changeWhileCopyAges(sim)
		sim.Partition(sim.RandomShareOfHosts(sim.RandomShare(0.2, 0.5)), sim.RandomBool(), sim.RandomDuration(time.Second, 6*time.Second))
		sim.ReturnFromCopy(saved, sim.RandomDuration(100*time.Millisecond, 2500*time.Millisecond))
		sim.Run(14 * time.Second)
	}},
	// Guards against watchers that are separated from the configuration service over the return.
	{name: "some_partitioned_from_platform", inject: func(sim *Simulation[selector.LeastDelay]) {
		sim.PublishCatalogues(publishInterval)
		saved := changeWhileCopyAges(sim)
		sim.PartitionFromConfigService(sim.RandomShareOfHosts(0.5), sim.RandomDuration(time.Second, 6*time.Second))
		sim.ReturnFromCopy(saved, sim.RandomDuration(100*time.Millisecond, 2500*time.Millisecond))
		sim.Run(14 * time.Second)
	}},
	// Guards against hosts that miss the return while they are frozen.
	{name: "freezes", inject: func(sim *Simulation[selector.LeastDelay]) {
		sim.PublishCatalogues(publishInterval)
		saved := changeWhileCopyAges(sim)
		sim.FreezeGroup(sim.RandomShareOfHosts(0.4), sim.RandomDuration(time.Second, 5*time.Second))
		sim.ReturnFromCopy(saved, sim.RandomDuration(100*time.Millisecond, 2500*time.Millisecond))
		sim.Run(12 * time.Second)
	}},
	// Guards against hosts that start in between and have read one era only.
	{name: "kills", inject: func(sim *Simulation[selector.LeastDelay]) {
		sim.PublishCatalogues(publishInterval)
		saved := changeWhileCopyAges(sim)
		sim.ReturnFromCopy(saved, sim.RandomDuration(100*time.Millisecond, 2500*time.Millisecond))
		sim.KillGroup(sim.RandomShareOfHosts(0.4), 300*time.Millisecond, 3*time.Second)
		sim.Run(12 * time.Second)
	}},
	// Guards against a fleet without any memory of the time before the return.
	{name: "all_killed", inject: func(sim *Simulation[selector.LeastDelay]) {
		sim.PublishCatalogues(publishInterval)
		saved := changeWhileCopyAges(sim)
		sim.ReturnFromCopy(saved, sim.RandomDuration(100*time.Millisecond, 2500*time.Millisecond))
		sim.KillGroup(sim.Hosts, 300*time.Millisecond, 2*time.Second)
		sim.Run(12 * time.Second)
	}},
}

// returnRuns returns the sizes and seeds that are played of each schedule of returns.
func returnRuns() (runs []scheduleRun) {
	seeds := max(*returnSeeds, 1)
	for _, hosts := range []int{3, 48} {
		for i := range uint64(seeds) {
			runs = append(runs, scheduleRun{hosts, *returnFirstSeed + i})
		}
	}
	if *returnSeeds > 0 {
		runs = append(runs, scheduleRun{195, *returnFirstSeed})
	}
	return runs
}

// TestConfigurationServiceReturnsFromOlderCopy guards against hosts that compare revisions of before and after a return: they miss changes, fall back to
// older states, or use servers and failure domains that they knew as gone (CONFIG, DRAIN, EVAC).
func TestConfigurationServiceReturnsFromOlderCopy(t *testing.T) {
	for _, s := range returnSchedules {
		for _, run := range returnRuns() {
			runReturn(t, s, run)
		}
	}
	runReturn(t, returnSchedules[0], scheduleRun{195, 1})
}

// endCheckDelay is the time without faults after which a host must hold, at the end of a run, what the configuration service holds.
const endCheckDelay = 3 * time.Second

func runReturn(t *testing.T, s schedule, run scheduleRun) {
	t.Run(fmt.Sprintf("%s/hosts_%d/seed_%d", s.name, run.hosts, run.seed), func(t *testing.T) {
		t.Parallel()
		sim := New[selector.LeastDelay](scheduleOptions(run.hosts, run.seed))
		sim.Run(warmUpDuration)
		sim.StartTraffic(requestRate * float64(run.hosts))
		sim.checkNothingUndone()
		s.inject(sim)
		sim.checkDocuments(sim.Now.Add(-endCheckDelay))
		if violations := sim.Checker.Violations; len(violations) > 0 {
			t.Errorf("%d violations, the first of each rule:\n%s\nfaults:\n%s", len(violations), strings.Join(firstPerRule(violations), "\n"),
				strings.Join(sim.FaultLog, "\n"))
		}
	})
}

// maxListsAfterReturn is the number of lists after a return in a fleet of any size: some for each of the two watchers.
const maxListsAfterReturn = 6

// TestCallsAfterReturn guards against hosts that all list the configuration service after its return, instead of asking the peers that have, and against
// lists without end.
func TestCallsAfterReturn(t *testing.T) {
	for _, hosts := range []int{6, 48, 195} {
		t.Run(fmt.Sprintf("hosts_%d", hosts), func(t *testing.T) {
			t.Parallel()
			sim := New[selector.LeastDelay](scheduleOptions(hosts, 1))
			sim.Run(warmUpDuration)
			saved := sim.ConfigService.Copy()
			sim.publishCatalogue()
			sim.Run(3 * time.Second)
			sim.ReturnFromCopy(saved, time.Second)
			sim.Run(time.Second)
			calls, lists := sim.ConfigServiceCalls, sim.ConfigServiceLists
			sim.Run(2 * time.Second)
			calls, lists = sim.ConfigServiceCalls-calls, sim.ConfigServiceLists-lists
			t.Logf("%d hosts: %d watches and %d lists in 2 s after the return", hosts, calls, lists)
			before := sim.ConfigServiceLists
			sim.Run(5 * time.Second)
			assert.Assert(t, lists <= maxListsAfterReturn, "%d lists", lists)
			assert.Equal(t, sim.ConfigServiceLists, before, "lists go on after the return")
		})
	}
}
