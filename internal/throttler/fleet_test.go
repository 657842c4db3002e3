package throttler

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/internal/hasher"
)

const (
	tick = 10 * time.Millisecond
	// learnWithin is the longest time until a host learns of another limit.
	learnWithin = 300 * time.Millisecond
)

// viewFunc returns whether a host knows another one, drawn anew for each view.
type viewFunc func(r *rand.Rand, hosts, self int) func(other int) bool

// complete is the view of a host that knows all hosts.
func complete(*rand.Rand, int, int) func(int) bool { return func(int) bool { return true } }

// lacking returns views that each lack a part of the hosts of their own, between least and half.
func lacking(least float64) viewFunc {
	return func(r *rand.Rand, hosts, _ int) func(int) bool {
		order := r.Perm(hosts)
		lacks := int((least + (0.5-least)*r.Float64()) * float64(hosts))
		return func(other int) bool { return order[other] >= lacks }
	}
}

// sides returns the views of a fleet in sides that do not know each other.
func sides(count int) viewFunc {
	return func(_ *rand.Rand, _, self int) func(int) bool {
		return func(other int) bool { return other%count == self%count }
	}
}

// scenario is a simulated fleet before one server with heavy demand at every host.
type scenario struct {
	Hosts  int
	Rate   float64
	Length time.Duration
	View   viewFunc
	// Trouble is the mean time between changes of the views of all hosts, 0 for none. Single hosts change theirs half as often and are killed a
	// quarter as often, and back within the second; demand pauses as often everywhere and comes back at once.
	Trouble time.Duration
	// Changes lets the limit change, vanish and come back.
	Changes bool
}

// limitChange is a limit that the server names from At on; zero means none.
type limitChange struct {
	At   time.Duration
	Rate float64
}

// outcome is what the server saw.
type outcome struct {
	Arrivals []time.Duration
	Limits   []limitChange
	// Senders is the largest number of hosts that took themselves for senders at once.
	Senders int
}

type host[P Policy] struct {
	Gate Gate[P]
	// Rank is the host's rank in its own view, from 0.
	Rank, Known       int
	Limit             float64
	LearnsAt, UpSince time.Duration
}

func (h *host[P]) setView(names []hasher.Name, self int, knows func(int) bool) {
	key := hasher.Key("cold/i-1")
	score := hasher.Score(key, names[self])
	h.Known, h.Rank = 1, 0
	for i, n := range names {
		if i == self || !knows(i) {
			continue
		}
		h.Known++
		if hasher.Score(key, n) > score {
			h.Rank++
		}
	}
}

// simulate plays a scenario in virtual time.
func simulate[P Policy](s scenario, seed uint64) outcome {
	r := rand.New(rand.NewPCG(seed, 1))
	within := func(longest time.Duration) time.Duration { return time.Duration(r.Int64N(int64(longest) + 1)) }
	names := make([]hasher.Name, s.Hosts)
	hosts := make([]host[P], s.Hosts)
	for i := range names {
		names[i] = hasher.NewName(fmt.Sprintf("host-%d-%d", seed, i))
	}
	divided := map[[2]float64]int{}
	intended := func(rate float64, known int) int {
		key := [2]float64{rate, float64(known)}
		if _, ok := divided[key]; !ok {
			divided[key] = Divide[P](rate, known).Senders
		}
		return divided[key]
	}
	view := func(i int) { hosts[i].setView(names, i, s.View(r, s.Hosts, i)) }
	for i := range hosts {
		view(i)
		hosts[i].Limit = s.Rate
	}
	kill := func(i int, at time.Duration) {
		hosts[i].Gate, hosts[i].UpSince = Gate[P]{}, at+within(time.Second)
		view(i)
	}
	// happens draws whether something that comes once in the mean time comes in this tick.
	happens := func(mean time.Duration) bool { return mean > 0 && r.Float64() < tick.Seconds()/mean.Seconds() }
	out := outcome{Limits: []limitChange{{0, s.Rate}}}
	rate, resumes := s.Rate, time.Duration(0)
	for at := time.Duration(0); at < s.Length; at += tick {
		allChange, allKilled := happens(s.Trouble), happens(8*s.Trouble)
		if happens(s.Trouble) {
			resumes = at + within(2*s.Trouble)
		}
		if s.Changes && happens(6*time.Second) {
			rate = 0.3 * math.Pow(50/0.3, r.Float64())
			if r.IntN(3) == 0 {
				rate = 0
			}
			out.Limits = append(out.Limits, limitChange{at, rate})
			for i := range hosts {
				if at >= hosts[i].LearnsAt {
					hosts[i].LearnsAt = at + within(learnWithin)
				}
			}
		}
		senders := 0
		for i := range hosts {
			h := &hosts[i]
			if allChange || happens(2*s.Trouble) {
				view(i)
			}
			if allKilled || happens(4*s.Trouble) {
				kill(i, at)
			}
			if at >= h.LearnsAt {
				h.Limit = rate
			}
			if at < h.UpSince || h.Rank < 0 {
				h.Gate.Close()
				continue
			}
			now := start.Add(at)
			h.Gate.Update(now, h.Limit, h.Known, h.Rank < intended(h.Limit, h.Known))
			if h.Gate.Open {
				senders++
			}
			for at >= resumes && h.Gate.Allows(now) {
				h.Gate.Spend(now)
				out.Arrivals = append(out.Arrivals, at+within(longestTransit))
			}
		}
		out.Senders = max(out.Senders, senders)
	}
	slices.Sort(out.Arrivals)
	return out
}

// used returns the largest part of the bound that arrived in any window. The largest limit that a host could know when it sent a request of the
// window counts.
func used(o outcome, b Bound) float64 {
	largest := 0.0
	first := 0
	for last, at := range o.Arrivals {
		for at-o.Arrivals[first] > b.Window {
			first++
		}
		rate := 0.0
		for i, l := range o.Limits {
			replaced := i+1 < len(o.Limits) && o.Limits[i+1].At < o.Arrivals[first]-longestTransit-learnWithin
			if l.At <= at && !replaced {
				rate = max(rate, l.Rate)
			}
		}
		largest = max(largest, float64(last-first+1)/(b.Factor*rate*b.Window.Seconds()+b.Extra))
	}
	return largest
}

var (
	fleets = []int{6, 38, 340}
	rates  = []float64{0.3, 2, 6.9, 20, 50}
)

// Guards against more requests than the server bears while hosts lack up to half of the fleet, change their views and are killed.
func TestBoundHoldsInTrouble(t *testing.T) {
	views := map[string]viewFunc{"lacking up to half": lacking(0), "lacking half": lacking(0.5), "two sides": sides(2)}
	for name, view := range views {
		for _, hosts := range fleets {
			for _, rate := range rates {
				s := scenario{Hosts: hosts, Rate: rate, Length: time.Minute, View: view, Trouble: 5 * time.Second}
				boundHolds[ColdStart](t, name+", cold start", s, 2)
				boundHolds[NamedLimit](t, name+", named limit", s, 2)
			}
			s := scenario{Hosts: hosts, Rate: 5, Length: 2 * time.Minute, View: view, Trouble: 10 * time.Second, Changes: true}
			boundHolds[NamedLimit](t, name+", changing limit", s, 2)
		}
	}
}

// Guards against a number of senders that jumps with the number of known hosts, which differs most between the views of a small fleet.
func TestBoundHoldsInSmallFleets(t *testing.T) {
	for _, hosts := range []int{6, 8, 10} {
		for _, rate := range []float64{6.9, 20} {
			s := scenario{Hosts: hosts, Rate: rate, Length: time.Minute, View: lacking(0.5), Trouble: 5 * time.Second}
			boundHolds[ColdStart](t, "small fleet, cold start", s, 40)
		}
	}
}

func boundHolds[P Policy](t *testing.T, name string, s scenario, seeds uint64) {
	t.Helper()
	var policy P
	largest, senders := 0.0, 0
	for seed := range seeds {
		o := simulate[P](s, seed)
		u := used(o, policy.Bound())
		assert.Check(t, u <= 1, "%s: %d hosts, %v/s, seed %d: %.2f of the bound", name, s.Hosts, s.Rate, seed, u)
		largest, senders = max(largest, u), max(senders, o.Senders)
	}
	t.Logf("%s: %d hosts, %v/s: at most %d senders at once, %d intended; %.2f of the bound", name, s.Hosts, s.Rate, senders,
		Divide[P](s.Rate, s.Hosts).Senders, largest)
}

// Guards against a division that leaves the server idle: in equal views, it gets at least half of its rate.
func TestHalfOfTheRateInACalmFleet(t *testing.T) {
	for _, hosts := range fleets {
		for _, rate := range rates {
			s := scenario{Hosts: hosts, Rate: rate, Length: 4 * time.Minute, View: complete}
			cold, named := simulate[ColdStart](s, 1), simulate[NamedLimit](s, 1)
			least := rate * s.Length.Seconds() / 2
			t.Logf("%d hosts, %v/s: %d and %d requests of at least %v", hosts, rate, len(cold.Arrivals), len(named.Arrivals), least)
			assert.Check(t, float64(len(cold.Arrivals)) >= least && float64(len(named.Arrivals)) >= least)
		}
	}
}
