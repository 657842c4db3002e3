package exerciser

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/internal/selector"
)

// seedCount is the number of hosts that the seeds of the modelled hosts name, the first ones.
const seedCount = 3

// longCut is longer than a silent host is remembered.
const longCut = 75 * time.Second

var rosterSchedules = []struct {
	schedule
	hosts []int
	// failed holds seeds that once failed, besides the first three.
	failed []uint64
}{
	// Guards against a second roster that is founded by the lesser side of a partition, which names all seeds and is killed.
	{schedule{name: "seeds_killed_in_split", play: seedsKilledInSplit}, []int{7, 12, 40}, nil},
	// Guards against the same where the hosts with the seeds are stopped in a planned way and come back behind a partition.
	{schedule{name: "seeds_stopped_then_split", play: seedsStoppedThenSplit}, []int{6, 12}, nil},
	// Guards against a roster founded by the only seed, which is killed while it is cut off.
	{schedule{name: "one_seed_killed_in_split", play: oneSeedKilledInSplit}, []int{6, 12}, nil},
	// Guards against most hosts waking with the roster of before, while the others were killed and founded one anew.
	{schedule{name: "most_frozen_rest_killed", play: mostFrozenRestKilled}, []int{7, 12, 40}, nil},
	// Guards against many hosts that take their seats just after a partition has cut off those that hold the leases.
	{schedule{name: "split_as_many_are_seated", play: splitAsManyAreSeated}, []int{6, 12}, nil},
	// Guards against hosts that left, and come back with their seats on the far side of those that stayed.
	{schedule{name: "split_as_many_return", play: splitAsManyReturn}, []int{6}, nil},
	// Guards against a host that is cut off for so long that it has forgotten all others and takes itself for the whole roster.
	{schedule{name: "one_cut_off_for_long", play: func(w *World[selector.LeastDelay]) { cutForLong(w, 1) }}, []int{6, 12}, nil},
	// Guards against the lesser side of a partition that has forgotten the greater one.
	{schedule{name: "third_cut_off_for_long", play: func(w *World[selector.LeastDelay]) { cutForLong(w, len(w.Hosts)/3) }}, []int{6, 12}, nil},
	// Guards against a new host that finds no seed alive, and takes itself for the whole roster after a minute.
	{schedule{name: "added_without_seeds", play: addedWithoutSeeds}, []int{12}, nil},
	// Guards against fences below those from before all hosts were killed, whose clocks had been ahead.
	{schedule{name: "all_killed_clocks_were_ahead", fromStart: true, play: allKilledClocksWereAhead}, []int{6}, []uint64{4, 8}},
}

// TestRosterStaysOne guards against two sets of hosts that each choose holders.
func TestRosterStaysOne(t *testing.T) {
	for _, s := range rosterSchedules {
		for _, hosts := range s.hosts {
			for _, seed := range append([]uint64{1, 2, 3}, s.failed...) {
				playIncident(t, s.schedule, incident{hosts, seed})
			}
		}
	}
}

func seedsKilledInSplit(w *World[selector.LeastDelay]) {
	side := w.Hosts[:max(len(w.Hosts)/3, seedCount)]
	w.Split(side, false, 10*time.Second)
	w.Run(w.Between(0, time.Second))
	w.KillGroup(side, 300*time.Millisecond, 1200*time.Millisecond)
	w.Run(14 * time.Second)
}

func seedsStoppedThenSplit(w *World[selector.LeastDelay]) {
	side := w.Hosts[:4]
	w.RollingStop(side, len(side), time.Second)
	w.Run(2500 * time.Millisecond)
	w.Split(side, false, 12*time.Second)
	w.Run(16 * time.Second)
}

func oneSeedKilledInSplit(w *World[selector.LeastDelay]) {
	for _, h := range w.Hosts {
		h.State.Self.Seeds = h.State.Self.Seeds[:1]
	}
	side := w.Hosts[:1]
	w.Split(side, false, 10*time.Second)
	w.kill(side[0], time.Second)
	w.Run(1001 * time.Millisecond)
	side[0].State.Self.Seeds = side[0].State.Self.Seeds[:1]
	w.Run(14 * time.Second)
}

func mostFrozenRestKilled(w *World[selector.LeastDelay]) {
	killed := w.Hosts[:max(len(w.Hosts)/3, seedCount)]
	w.FreezeGroup(w.Hosts[len(killed):], w.Between(8*time.Second, 10*time.Second))
	w.KillGroup(killed, 300*time.Millisecond, time.Second)
	w.Run(16 * time.Second)
}

func splitAsManyAreSeated(w *World[selector.LeastDelay]) {
	former := len(w.Hosts)
	w.AddHosts(5 * former)
	w.Run(w.Between(9500*time.Millisecond, 10500*time.Millisecond))
	w.Split(w.Hosts[former/3:former], false, 12*time.Second)
	w.Run(16 * time.Second)
}

func splitAsManyReturn(w *World[selector.LeastDelay]) {
	side := w.Hosts[2:]
	w.RollingStop(side, len(side), time.Second)
	returned := func() bool {
		for _, h := range side {
			if h.Up && h.StartedAt.After(Start) && !h.State.Membership.VotersKnownAt.IsZero() {
				return true
			}
		}
		return false
	}
	for range 400 {
		if w.Run(tickEvery); returned() {
			break
		}
	}
	w.Split(side, false, 12*time.Second)
	w.Run(16 * time.Second)
}

func cutForLong(w *World[selector.LeastDelay], count int) {
	w.Split(w.Hosts[len(w.Hosts)-count:], false, longCut)
	w.Run(longCut + 4*time.Second)
}

func addedWithoutSeeds(w *World[selector.LeastDelay]) {
	for _, h := range w.Hosts[:seedCount] {
		w.kill(h, time.Hour)
	}
	w.Run(time.Second)
	w.AddHosts(1)
	w.Run(longCut)
}

// clockStep is how far the clocks were ahead, as the users' clock_step sets them by some seconds.
const clockStep = 4 * time.Second

func allKilledClocksWereAhead(w *World[selector.LeastDelay]) {
	for _, h := range w.Hosts {
		h.State.Self.StartedUnixMs += clockStep.Milliseconds()
	}
	w.Run(4500 * time.Millisecond)
	w.KillGroup(w.Hosts, 300*time.Millisecond, 301*time.Millisecond)
	w.Run(12 * time.Second)
}

// leasesWithin is how soon after all hosts are back the leases must be held: the users' pages give 12 s to recover.
const leasesWithin = 12 * time.Second

// TestLeasesReturn guards against a fleet that orders no backend server for long after all hosts were killed.
func TestLeasesReturn(t *testing.T) {
	for _, c := range []struct {
		name string
		// gone is the number of seeds that do not come back.
		gone int
	}{
		// Guards against hosts that wait longer than they have to.
		{"all_killed", 0},
		// Guards against hosts that wait for a seed that has been removed.
		{"all_killed_and_a_seed_gone", 1},
	} {
		for _, hosts := range []int{6, 80} {
			t.Run(fmt.Sprintf("%s/hosts_%d", c.name, hosts), func(t *testing.T) {
				t.Parallel()
				w := New[selector.LeastDelay](incidentOptions(hosts, 1))
				w.Run(incidentStart)
				for _, h := range w.Hosts[:c.gone] {
					w.kill(h, time.Hour)
				}
				w.KillGroup(w.Hosts, 300*time.Millisecond, 301*time.Millisecond)
				w.Run(302*time.Millisecond + leasesWithin)
				held := map[string]bool{}
				for _, h := range w.Hosts {
					for backend := range h.State.Leases {
						held[backend] = held[backend] || w.believes(h, backend)
					}
				}
				count := 0
				for _, h := range held {
					if h {
						count++
					}
				}
				assert.Equal(t, count, w.Options.Engines)
			})
		}
	}
}
