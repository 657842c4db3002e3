package exerciser

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/internal/reducer"
	"github.com/redwingpick/redwingpick/internal/selector"
)

// seedHostCount is the number of hosts that the settings of the simulated hosts name as seeds; they are the first hosts.
const seedHostCount = 3

// longPartition is longer than the time after which an unreachable host is removed from the records.
const longPartition = 75 * time.Second

var voterSchedules = []struct {
	schedule
	hosts []int
	// failedSeeds holds random seeds that once failed, in addition to 1 to 3.
	failedSeeds []uint64
}{
	// Guards against a second voter set bootstrapped by the smaller side of a partition, which contains all seeds and is killed.
	{schedule{name: "seeds_killed_in_partition", inject: seedsKilledInPartition}, []int{7, 12, 40}, nil},
	// Guards against the same when the seeds are drained and restart behind a partition.
	{schedule{name: "seeds_stopped_then_partition", inject: seedsStoppedThenPartition}, []int{6, 12}, nil},
	// Guards against a voter set bootstrapped by the only seed, which is killed while it is isolated.
	{schedule{name: "one_seed_killed_in_partition", inject: oneSeedKilledInPartition}, []int{6, 12}, nil},
	// Guards against a majority that resumes with the former voter set after the other hosts were killed and bootstrapped a new one.
	{schedule{name: "majority_frozen_rest_killed", inject: majorityFrozenRestKilled}, []int{7, 12, 40}, nil},
	// Guards against many hosts that are promoted to voters just after a partition has separated the lease holders.
	{schedule{name: "partition_during_promotions", inject: partitionDuringPromotions}, []int{6, 12}, nil},
	// Guards against voters that were drained and restart on the other side of a partition from the hosts that stayed.
	{schedule{name: "partition_as_hosts_return", inject: partitionAsHostsReturn}, []int{6}, nil},
	// Guards against a host that is isolated until its records of all other hosts have been removed and its voter set is itself alone.
	{schedule{name: "one_partitioned_for_long", inject: func(sim *Simulation[selector.LeastDelay]) { partitionForLong(sim, 1) }},
		[]int{6, 12}, nil},
	// Guards against the smaller side of a partition after its records of the larger side have been removed.
	{schedule{name: "third_partitioned_for_long",
		inject: func(sim *Simulation[selector.LeastDelay]) { partitionForLong(sim, len(sim.Hosts)/3) }}, []int{6, 12}, nil},
	// Guards against a new host that reaches no seed and bootstraps a voter set of itself alone after a minute.
	{schedule{name: "host_added_without_seeds", inject: hostAddedWithoutSeeds}, []int{12}, nil},
	// Guards against fences lower than those from before all hosts were killed, when their clocks had been ahead.
	{schedule{name: "all_killed_clocks_were_ahead", fromStart: true, inject: allKilledClocksWereAhead}, []int{6}, []uint64{4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20}},
}

// TestSingleVoterSetUnderFaults guards against two voter sets that each grant leases.
func TestSingleVoterSetUnderFaults(t *testing.T) {
	for _, s := range voterSchedules {
		for _, hosts := range s.hosts {
			for _, seed := range append([]uint64{1, 2, 3}, s.failedSeeds...) {
				runSchedule(t, s.schedule, scheduleRun{hosts, seed})
			}
		}
	}
}

func seedsKilledInPartition(sim *Simulation[selector.LeastDelay]) {
	side := sim.Hosts[:max(len(sim.Hosts)/3, seedHostCount)]
	sim.Partition(side, false, 10*time.Second)
	sim.Run(sim.RandomDuration(0, time.Second))
	sim.KillGroup(side, 300*time.Millisecond, 1200*time.Millisecond)
	sim.Run(14 * time.Second)
}

func seedsStoppedThenPartition(sim *Simulation[selector.LeastDelay]) {
	side := sim.Hosts[:4]
	sim.RollingRestart(side, len(side), time.Second)
	sim.Run(2500 * time.Millisecond)
	sim.Partition(side, false, 12*time.Second)
	sim.Run(16 * time.Second)
}

func oneSeedKilledInPartition(sim *Simulation[selector.LeastDelay]) {
	for _, h := range sim.Hosts {
		h.State.Self.Seeds = h.State.Self.Seeds[:1]
	}
	side := sim.Hosts[:1]
	sim.Partition(side, false, 10*time.Second)
	sim.kill(side[0], time.Second)
	sim.Run(1001 * time.Millisecond)
	side[0].State.Self.Seeds = side[0].State.Self.Seeds[:1]
	sim.Run(14 * time.Second)
}

func majorityFrozenRestKilled(sim *Simulation[selector.LeastDelay]) {
	killed := sim.Hosts[:max(len(sim.Hosts)/3, seedHostCount)]
	sim.FreezeGroup(sim.Hosts[len(killed):], sim.RandomDuration(8*time.Second, 10*time.Second))
	sim.KillGroup(killed, 300*time.Millisecond, time.Second)
	sim.Run(16 * time.Second)
}

func partitionDuringPromotions(sim *Simulation[selector.LeastDelay]) {
	originalHosts := len(sim.Hosts)
	sim.AddHosts(5 * originalHosts)
	sim.Run(sim.RandomDuration(9500*time.Millisecond, 10500*time.Millisecond))
	sim.Partition(sim.Hosts[originalHosts/3:originalHosts], false, 12*time.Second)
	sim.Run(16 * time.Second)
}

func partitionAsHostsReturn(sim *Simulation[selector.LeastDelay]) {
	side := sim.Hosts[2:]
	sim.RollingRestart(side, len(side), time.Second)
	anyReturned := func() bool {
		for _, h := range side {
			if h.Up && h.StartedAt.After(StartTime) && !h.State.Membership.VotersKnownAt.IsZero() {
				return true
			}
		}
		return false
	}
	for range 400 {
		if sim.Run(tickInterval); anyReturned() {
			break
		}
	}
	sim.Partition(side, false, 12*time.Second)
	sim.Run(16 * time.Second)
}

func partitionForLong(sim *Simulation[selector.LeastDelay], count int) {
	sim.Partition(sim.Hosts[len(sim.Hosts)-count:], false, longPartition)
	sim.Run(longPartition + 4*time.Second)
}

func hostAddedWithoutSeeds(sim *Simulation[selector.LeastDelay]) {
	for _, h := range sim.Hosts[:seedHostCount] {
		sim.kill(h, time.Hour)
	}
	sim.Run(time.Second)
	sim.AddHosts(1)
	sim.Run(longPartition)
}

// clockOffset is how far the clocks were ahead; the users' clock_step moves clocks by some seconds.
const clockOffset = 4 * time.Second

func allKilledClocksWereAhead(sim *Simulation[selector.LeastDelay]) {
	for _, h := range sim.Hosts {
		h.State.Self.StartedUnixMs += clockOffset.Milliseconds()
	}
	sim.Run(4500 * time.Millisecond)
	sim.KillGroup(sim.Hosts, 300*time.Millisecond, 301*time.Millisecond)
	sim.Run(12 * time.Second)
}

// leaseRecoveryTime is the time after the restart of all hosts by which all leases must be held; the users' requirements allow 12 s to
// recover.
const leaseRecoveryTime = 12 * time.Second

// TestLeasesAreReacquiredAfterAllHostsRestart guards against a fleet without lease holders for long after all hosts were killed.
func TestLeasesAreReacquiredAfterAllHostsRestart(t *testing.T) {
	for _, c := range []struct {
		name string
		// removedSeeds is the number of seeds that do not restart.
		removedSeeds int
	}{
		// Guards against hosts that wait longer than necessary.
		{"all_killed", 0},
		// Guards against hosts that wait for a seed that has been removed.
		{"all_killed_and_one_seed_removed", 1},
	} {
		for _, hosts := range []int{6, 80} {
			t.Run(fmt.Sprintf("%s/hosts_%d", c.name, hosts), func(t *testing.T) {
				t.Parallel()
				sim := New[selector.LeastDelay](scheduleOptions(hosts, 1))
				sim.Run(warmUpDuration)
				for _, h := range sim.Hosts[:c.removedSeeds] {
					sim.kill(h, time.Hour)
				}
				sim.KillGroup(sim.Hosts, 300*time.Millisecond, 301*time.Millisecond)
				sim.Run(302*time.Millisecond + leaseRecoveryTime)
				held := map[string]bool{}
				for _, h := range sim.Hosts {
					for backend := range h.State.Leases {
						held[backend] = held[backend] || sim.holdsLease(h, backend)
					}
				}
				heldCount := 0
				for _, h := range held {
					if h {
						heldCount++
					}
				}
				assert.Equal(t, heldCount, sim.Options.Engines)
			})
		}
	}
}

// TestLateRecordOfAVoterDoesNotDelayLeases guards against a fleet without lease holders for long after all hosts were killed: a host that was
// about to stop still sent one of the restarted hosts its record as a voter, and no host knows the voter set.
func TestLateRecordOfAVoterDoesNotDelayLeases(t *testing.T) {
	sim := New[selector.LeastDelay](scheduleOptions(6, 1))
	sim.Run(warmUpDuration)
	sim.KillGroup(sim.Hosts, 300*time.Millisecond, 301*time.Millisecond)
	sim.Run(400 * time.Millisecond)
	late := reducer.HostRecord{ID: sim.Hosts[0].ID, Incarnation: 1, Voter: true}
	sim.post(sim.Hosts[0], sim.Hosts[0].Incarnation, reducer.PeerReceived{From: sim.Hosts[5].ID, Incarnation: 1, Messages: []reducer.Message{late}})
	sim.Run(leaseRecoveryTime)
	assert.Equal(t, sim.heldLeases(), sim.Options.Engines)
}
