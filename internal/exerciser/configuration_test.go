package exerciser

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/internal/selector"
)

// publishEvery is about the mean time between two configurations.
const publishEvery = 1500 * time.Millisecond

var configurationSchedules = []schedule{
	// Guards against changes that come late to hosts that a split has cut off from those that watch the platform.
	{name: "split", play: func(sim *Simulation[selector.LeastDelay]) {
		for range 3 {
			sim.Partition(sim.RandomShareOfHosts(sim.RandomShare(0.2, 0.5)), false, 5500*time.Millisecond)
			sim.Run(8 * time.Second)
		}
	}},
	// Guards against the same where connections to the platform have gone silent since they were last used.
	{name: "silent_connections_and_split", play: func(sim *Simulation[selector.LeastDelay]) {
		for range 3 {
			sim.BreakStoreConnections(sim.Hosts)
			sim.Run(5 * time.Second)
			sim.Partition(sim.RandomShareOfHosts(sim.RandomShare(0.2, 0.5)), false, 6*time.Second)
			sim.Run(9 * time.Second)
		}
	}},
	// Guards against changes that hosts miss because those that watch the platform are cut off from it.
	{name: "some_cut_from_platform", play: func(sim *Simulation[selector.LeastDelay]) {
		for range 3 {
			sim.PartitionFromStore(sim.RandomShareOfHosts(0.5), 7*time.Second)
			sim.Run(10 * time.Second)
		}
	}},
	// Guards against answers that count as new when they come, though they were formed earlier.
	{name: "late_answers", play: func(sim *Simulation[selector.LeastDelay]) {
		for range 3 {
			sim.DelayStoreResponses(900*time.Millisecond, 5*time.Second)
			sim.Run(8 * time.Second)
		}
	}},
	// Guards against words of peers that count as new when they come, though they waited at a host that stood still.
	{name: "freezes", play: func(sim *Simulation[selector.LeastDelay]) {
		for range 4 {
			sim.FreezeGroup(sim.RandomShareOfHosts(0.4), sim.RandomDuration(time.Second, 3500*time.Millisecond))
			sim.Run(6 * time.Second)
		}
	}},
	// Guards against changes that are late while hosts are killed and know less, or other revisions, than the rest.
	{name: "kills", play: func(sim *Simulation[selector.LeastDelay]) {
		for range 4 {
			sim.KillGroup(sim.RandomShareOfHosts(0.3), 500*time.Millisecond, 2*time.Second)
			sim.Run(5 * time.Second)
		}
	}},
}

// TestConfigurationIsInForceInTime guards against a published configuration that a host in touch lacks after the time allowed, and against
// hosts that believe to know what they do not (CONFIG).
func TestConfigurationIsInForceInTime(t *testing.T) {
	for _, s := range configurationSchedules {
		play := s.play
		s.play = func(sim *Simulation[selector.LeastDelay]) {
			sim.PublishCatalogues(publishEvery)
			play(sim)
		}
		for _, hosts := range []int{6, 12, 40} {
			for seed := range uint64(2) {
				playIncident(t, s, incident{hosts, seed + 1})
			}
		}
	}
}

// TestHostsAtRestAskNobody guards against hosts that know the same and ask each other for documents without end.
func TestHostsAtRestAskNobody(t *testing.T) {
	for _, hosts := range []int{6, 12, 40} {
		for seed := range uint64(4) {
			restAfterKills(t, hosts, seed+1)
		}
	}
	restAfterKills(t, 80, 1)
}

// restAfterKills kills a third of the hosts and counts calls for documents once all are back.
func restAfterKills(t *testing.T, hosts int, seed uint64) {
	t.Run(fmt.Sprintf("hosts_%d/seed_%d", hosts, seed), func(t *testing.T) {
		t.Parallel()
		sim := New[selector.LeastDelay](incidentOptions(hosts, seed))
		sim.Run(incidentStart)
		sim.StartTraffic(incidentRate * float64(hosts))
		sim.KillGroup(sim.RandomShareOfHosts(0.34), 500*time.Millisecond, time.Second)
		before := sim.PeerReads()
		sim.Run(7 * time.Second)
		t.Logf("%d calls for documents while hosts were killed and came back", sim.PeerReads()-before)
		before = sim.PeerReads()
		sim.Run(5 * time.Second)
		assert.Equal(t, sim.PeerReads()-before, uint64(0))
	})
}

// TestRemovedBackendServersAreForgottenByHostsThatStart guards against hosts that start while entries are removed and keep what a peer had
// listed before (DRAIN).
func TestRemovedBackendServersAreForgottenByHostsThatStart(t *testing.T) {
	s := schedule{name: "entries_removed_as_all_start", play: func(sim *Simulation[selector.LeastDelay]) {
		sim.KillGroup(sim.Hosts, 300*time.Millisecond, 900*time.Millisecond)
		for i := range 3 {
			sim.Run(250 * time.Millisecond)
			sim.RemoveWithoutDrain(sim.Backends[fmt.Sprintf("engine-%02d", i)])
		}
		sim.Run(6 * time.Second)
	}}
	for _, hosts := range []int{6, 12, 40} {
		for seed := range uint64(4) {
			playIncident(t, s, incident{hosts, seed + 1})
		}
	}
}
