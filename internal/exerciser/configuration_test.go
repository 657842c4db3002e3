package exerciser

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/internal/selector"
)

// publishInterval is about the mean time between two configurations.
const publishInterval = 1500 * time.Millisecond

var configurationSchedules = []schedule{
	// Guards against changes that come late to hosts that a split has cut off from those that watch the platform.
	{name: "partition", inject: func(sim *Simulation[selector.LeastDelay]) {
		for range 3 {
			sim.Partition(sim.RandomShareOfHosts(sim.RandomShare(0.2, 0.5)), false, 5500*time.Millisecond)
			sim.Run(8 * time.Second)
		}
	}},
	// Guards against the same where connections to the platform have gone silent since they were last used.
	{name: "dead_connections_and_partition", inject: func(sim *Simulation[selector.LeastDelay]) {
		for range 3 {
			sim.BreakStoreConnections(sim.Hosts)
			sim.Run(5 * time.Second)
			sim.Partition(sim.RandomShareOfHosts(sim.RandomShare(0.2, 0.5)), false, 6*time.Second)
			sim.Run(9 * time.Second)
		}
	}},
	// Guards against changes that hosts miss because those that watch the platform are cut off from it.
	{name: "some_partitioned_from_platform", inject: func(sim *Simulation[selector.LeastDelay]) {
		for range 3 {
			sim.PartitionFromStore(sim.RandomShareOfHosts(0.5), 7*time.Second)
			sim.Run(10 * time.Second)
		}
	}},
	// Guards against answers that count as new when they come, though they were formed earlier.
	{name: "delayed_responses", inject: func(sim *Simulation[selector.LeastDelay]) {
		for range 3 {
			sim.DelayStoreResponses(900*time.Millisecond, 5*time.Second)
			sim.Run(8 * time.Second)
		}
	}},
	// Guards against words of peers that count as new when they come, though they waited at a host that stood still.
	{name: "freezes", inject: func(sim *Simulation[selector.LeastDelay]) {
		for range 4 {
			sim.FreezeGroup(sim.RandomShareOfHosts(0.4), sim.RandomDuration(time.Second, 3500*time.Millisecond))
			sim.Run(6 * time.Second)
		}
	}},
	// Guards against changes that are late while hosts are killed and know less, or other revisions, than the rest.
	{name: "kills", inject: func(sim *Simulation[selector.LeastDelay]) {
		for range 4 {
			sim.KillGroup(sim.RandomShareOfHosts(0.3), 500*time.Millisecond, 2*time.Second)
			sim.Run(5 * time.Second)
		}
	}},
}

// TestConfigurationIsAppliedInTime guards against a published configuration that a host in touch lacks after the time allowed, and against
// hosts that believe to know what they do not (CONFIG).
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

// TestIdleHostsRequestNoUpdates guards against hosts that know the same and ask each other for documents without end.
func TestIdleHostsRequestNoUpdates(t *testing.T) {
	for _, hosts := range []int{6, 12, 40} {
		for seed := range uint64(4) {
			checkIdleAfterKills(t, hosts, seed+1)
		}
	}
	checkIdleAfterKills(t, 80, 1)
}

// checkIdleAfterKills kills a third of the hosts and counts calls for documents once all are back.
func checkIdleAfterKills(t *testing.T, hosts int, seed uint64) {
	t.Run(fmt.Sprintf("hosts_%d/seed_%d", hosts, seed), func(t *testing.T) {
		t.Parallel()
		sim := New[selector.LeastDelay](scheduleOptions(hosts, seed))
		sim.Run(warmUpDuration)
		sim.StartTraffic(requestRate * float64(hosts))
		sim.KillGroup(sim.RandomShareOfHosts(0.34), 500*time.Millisecond, time.Second)
		before := sim.PeerReads()
		sim.Run(7 * time.Second)
		t.Logf("%d calls for documents while hosts were killed and came back", sim.PeerReads()-before)
		before = sim.PeerReads()
		sim.Run(5 * time.Second)
		assert.Equal(t, sim.PeerReads()-before, uint64(0))
	})
}

// TestStartingHostsDropRemovedBackendServers guards against hosts that start while entries are removed and keep what a peer had
// listed before (DRAIN).
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
