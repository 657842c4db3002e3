package exerciser

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/internal/selector"
)

// publishInterval is roughly the mean time between two published catalogues.
const publishInterval = 1500 * time.Millisecond

var configurationSchedules = []schedule{
	// Guards against late changes on hosts that a partition separates from the hosts that watch the configuration service.
	{name: "partition", inject: func(sim *Simulation[selector.LeastDelay]) {
		for range 3 {
			sim.Partition(sim.RandomShareOfHosts(sim.RandomShare(0.2, 0.5)), false, 5500*time.Millisecond)
			sim.Run(8 * time.Second)
		}
	}},
	// Guards against the same when connections to the configuration service have died since they were last used.
	{name: "dead_connections_and_partition", inject: func(sim *Simulation[selector.LeastDelay]) {
		for range 3 {
			sim.BreakConfigServiceConnections(sim.Hosts)
			sim.Run(5 * time.Second)
			sim.Partition(sim.RandomShareOfHosts(sim.RandomShare(0.2, 0.5)), false, 6*time.Second)
			sim.Run(9 * time.Second)
		}
	}},
	// Guards against missed changes when the hosts that watch the configuration service are separated from it.
	{name: "some_partitioned_from_platform", inject: func(sim *Simulation[selector.LeastDelay]) {
		for range 3 {
			sim.PartitionFromConfigService(sim.RandomShareOfHosts(0.5), 7*time.Second)
			sim.Run(10 * time.Second)
		}
	}},
	// Guards against delayed responses that are dated from their arrival instead of from when they were formed.
	{name: "delayed_responses", inject: func(sim *Simulation[selector.LeastDelay]) {
		for range 3 {
			sim.DelayConfigServiceResponses(900*time.Millisecond, 5*time.Second)
			sim.Run(8 * time.Second)
		}
	}},
	// Guards against confirmations by peers that are dated from their arrival, although they waited at a frozen host.
	{name: "freezes", inject: func(sim *Simulation[selector.LeastDelay]) {
		for range 4 {
			sim.FreezeGroup(sim.RandomShareOfHosts(0.4), sim.RandomDuration(time.Second, 3500*time.Millisecond))
			sim.Run(6 * time.Second)
		}
	}},
	// Guards against late changes while killed hosts restart without documents or with other revisions than the rest.
	{name: "kills", inject: func(sim *Simulation[selector.LeastDelay]) {
		for range 4 {
			sim.KillGroup(sim.RandomShareOfHosts(0.3), 500*time.Millisecond, 2*time.Second)
			sim.Run(5 * time.Second)
		}
	}},
}

// TestConfigurationIsAppliedInTime guards against a host without faults that applies a published catalogue after the deadline, and against
// hosts that confirm an outdated catalogue as up to date (CONFIG).
func TestConfigurationIsAppliedInTime(t *testing.T) {
	for _, s := range configurationSchedules {
		inject := s.inject
		s.inject = func(sim *Simulation[selector.LeastDelay]) {
			sim.PublishCatalogues(publishInterval)
			inject(sim)
		}
		for _, hosts := range []int{6, 12, 40} {
			for seed := range uint64(2) {
				runSchedule(t, s, scheduleRun{hosts, seed + 1})
			}
		}
	}
}

// TestIdleHostsRequestNoUpdates guards against hosts with equal documents that request updates from each other endlessly.
func TestIdleHostsRequestNoUpdates(t *testing.T) {
	for _, hosts := range []int{6, 12, 40} {
		for seed := range uint64(4) {
			checkIdleAfterKills(t, hosts, seed+1)
		}
	}
	checkIdleAfterKills(t, 80, 1)
}

// checkIdleAfterKills kills a third of the hosts and checks that no updates are requested once all have restarted and caught up.
func checkIdleAfterKills(t *testing.T, hosts int, seed uint64) {
	t.Run(fmt.Sprintf("hosts_%d/seed_%d", hosts, seed), func(t *testing.T) {
		t.Parallel()
		sim := New[selector.LeastDelay](scheduleOptions(hosts, seed))
		sim.Run(warmUpDuration)
		sim.StartTraffic(requestRate * float64(hosts))
		sim.KillGroup(sim.RandomShareOfHosts(0.34), 500*time.Millisecond, time.Second)
		before := sim.PeerReads()
		sim.Run(7 * time.Second)
		t.Logf("%d requests for documents while hosts were killed and restarted", sim.PeerReads()-before)
		before = sim.PeerReads()
		sim.Run(5 * time.Second)
		assert.Equal(t, sim.PeerReads()-before, uint64(0))
	})
}

// TestStartingHostsDropRemovedBackendServers guards against hosts that start while entries are removed and keep a removed entry that a
// peer had listed earlier (DRAIN).
func TestStartingHostsDropRemovedBackendServers(t *testing.T) {
	s := schedule{name: "entries_removed_during_restart", inject: func(sim *Simulation[selector.LeastDelay]) {
		sim.KillGroup(sim.Hosts, 300*time.Millisecond, 900*time.Millisecond)
		for i := range 3 {
			sim.Run(250 * time.Millisecond)
			sim.RemoveWithoutDrain(sim.Backends[fmt.Sprintf("engine-%02d", i)])
		}
		sim.Run(6 * time.Second)
	}}
	for _, hosts := range []int{6, 12, 40} {
		for seed := range uint64(4) {
			runSchedule(t, s, scheduleRun{hosts, seed + 1})
		}
	}
}
