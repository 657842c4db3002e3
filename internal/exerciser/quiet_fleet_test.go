package exerciser

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/internal/selector"
)

// quietSchedule cuts restarted hosts off from hosts that live and hold the leases, while nobody asks for an adapter.
type quietSchedule struct {
	name string
	// side returns the hosts that are cut off from the others and killed.
	side func(sim *Simulation[selector.LeastDelay]) []*Host
	// quiet is the time without requests, from the partition on, and cut the length of the partition.
	quiet, cut time.Duration
	// downtime is the longest time that a killed host is down.
	downtime time.Duration
	// fresh is set for a fleet that has had no request before.
	fresh bool
	// passing is the direction in which envelopes pass all the same.
	passing direction
	hosts   []int
}

// direction is a direction of envelopes between the two sides of a partition.
type direction int

const (
	fromSide direction = iota + 1
	toSide
)

var quietSchedules = []quietSchedule{
	{name: "all_seeds", side: smallSideWithSeeds, quiet: 4300 * time.Millisecond, cut: 5500 * time.Millisecond,
		downtime: 501 * time.Millisecond, hosts: []int{3, 6, 7, 48, 195}},
	{name: "all_seeds_of_fresh_fleet", side: smallSideWithSeeds, quiet: 4300 * time.Millisecond, cut: 5500 * time.Millisecond,
		downtime: 501 * time.Millisecond, fresh: true, hosts: []int{3, 6, 7, 48}},
	{name: "all_seeds_short", side: smallSideWithSeeds, quiet: 1800 * time.Millisecond, cut: 2500 * time.Millisecond,
		downtime: 301 * time.Millisecond, hosts: []int{3, 6, 7, 48}},
	{name: "all_seeds_for_a_minute", side: smallSideWithSeeds, quiet: 59 * time.Second, cut: 64 * time.Second,
		downtime: 3 * time.Second, hosts: []int{3, 6, 7}},
	{name: "all_seeds_heard", side: smallSideWithSeeds, quiet: 13 * time.Second, cut: 18 * time.Second,
		downtime: time.Second, passing: fromSide, hosts: []int{3, 6, 7}},
	{name: "all_seeds_hear", side: smallSideWithSeeds, quiet: 13 * time.Second, cut: 18 * time.Second,
		downtime: time.Second, passing: toSide, hosts: []int{3, 6, 7}},
	{name: "no_seed", side: lastHosts, quiet: 13 * time.Second, cut: 18 * time.Second, downtime: time.Second, hosts: []int{3, 6, 7, 48}},
	{name: "one_seed", side: lastSeedAndOthers, quiet: 13 * time.Second, cut: 18 * time.Second, downtime: time.Second, hosts: []int{6, 7, 48}},
}

// smallSide returns the number of hosts of the smaller side of a partition.
func smallSide(sim *Simulation[selector.LeastDelay]) int { return (len(sim.Hosts) - 1) / 2 }

func smallSideWithSeeds(sim *Simulation[selector.LeastDelay]) []*Host {
	return sim.Hosts[:max(smallSide(sim), min(seedHostCount, len(sim.Hosts)-1))]
}

func lastHosts(sim *Simulation[selector.LeastDelay]) []*Host {
	return sim.Hosts[len(sim.Hosts)-smallSide(sim):]
}

func lastSeedAndOthers(sim *Simulation[selector.LeastDelay]) []*Host {
	return sim.Hosts[seedHostCount-1:][:smallSide(sim)]
}

// separate cuts a side off from the other hosts, except for envelopes in the direction that passes.
func (s quietSchedule) separate(sim *Simulation[selector.LeastDelay], side []*Host) {
	if s.passing == 0 {
		sim.Partition(side, false, s.cut)
		return
	}
	var blocked [][2]string
	for _, h := range side {
		for _, other := range sim.Hosts {
			link := [2]string{h.ID, other.ID}
			if s.passing == fromSide {
				link = [2]string{other.ID, h.ID}
			}
			if !slices.Contains(side, other) {
				blocked = append(blocked, link)
			}
		}
	}
	for _, link := range blocked {
		sim.blockedLinks[link] = true
	}
	sim.recordFaultOnAll()
	sim.after(s.cut, func() {
		for _, link := range blocked {
			delete(sim.blockedLinks, link)
		}
		sim.recordFaultOnAll()
	})
}

func (s quietSchedule) run(t *testing.T, hosts int, seed uint64) {
	t.Parallel()
	sim := New[selector.LeastDelay](scheduleOptions(hosts, seed))
	sim.Run(warmUpDuration)
	if !s.fresh {
		stop := sim.StartTraffic(requestRate * float64(hosts))
		sim.Run(2 * time.Second)
		stop()
		sim.Run(3 * time.Second)
	}
	side := s.side(sim)
	s.separate(sim, side)
	sim.KillGroup(side, 300*time.Millisecond, s.downtime)
	sim.Run(s.quiet)
	sim.StartTraffic(requestRate * float64(hosts))
	sim.Run(s.cut - s.quiet + settleDuration)
	assert.Equal(t, len(sim.Checker.Violations), 0, "%s\nfaults:\n%s",
		strings.Join(firstPerRule(sim.Checker.Violations), "\n"), strings.Join(sim.FaultLog, "\n"))
}

// TestQuietFleetKeepsItsLeasesDuringPartition guards against two holders of one lease: hosts that restart on one side of a partition take
// the others, which order nothing because nobody asks for an adapter, for gone, and bootstrap a voter set of their own.
func TestQuietFleetKeepsItsLeasesDuringPartition(t *testing.T) {
	for _, s := range quietSchedules {
		for _, hosts := range s.hosts {
			for seed := range uint64(2) {
				t.Run(fmt.Sprintf("%s/hosts_%d/seed_%d", s.name, hosts, seed+1), func(t *testing.T) { s.run(t, hosts, seed+1) })
			}
		}
	}
}
