package placer

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/internal/hasher"
)

var start = time.Unix(1_700_000_000, 0)

var testLimits = Limits{Share: 0.4, Most: 35, FallAfter: 4 * time.Second}

// TestPopularityShift guards against replicas that come too late: load of 40 requests/s with 3,000 prompt tokens each that begins at once.
func TestPopularityShift(t *testing.T) {
	var d Demands[string]
	var r Replicas
	now := start
	for range 40 {
		d.Record(now, "popular", 3000, 1)
		r.Update(now, Places(d.Recorded(now, "popular"), 38_000, testLimits), testLimits)
		now = now.Add(25 * time.Millisecond)
	}
	// 120,000 tokens/s at 38,000 tokens/s and a share of 0.4 need 8 replicas.
	assert.Assert(t, r.Count >= 5, "%d replicas after a second", r.Count)
	highest := r.Count
	for range 30 {
		r.Update(now, Places(d.Recorded(now, "popular"), 38_000, testLimits), testLimits)
		now = now.Add(100 * time.Millisecond)
	}
	assert.Equal(t, r.Count, highest, "the number falls within %v", testLimits.FallAfter)
	for range 200 {
		r.Update(now, Places(d.Recorded(now, "popular"), 38_000, testLimits), testLimits)
		now = now.Add(100 * time.Millisecond)
	}
	assert.Equal(t, r.Count, 1)
}

// TestRareAdaptersKeepOneReplica guards against loads for single requests: 1,000 adapters with one large prompt each at one of 68 hosts.
func TestRareAdaptersKeepOneReplica(t *testing.T) {
	d := Demands[string]{Hosts: 68}
	for i := range 1000 {
		key := fmt.Sprint(i)
		d.Record(start, key, 9190, 1)
		assert.Equal(t, Places(d.Work(start, key), 38_000, testLimits), 1)
	}
	d.Prune(start.Add(time.Minute))
	assert.Equal(t, len(d.ByKey), 0)
}

// TestFiguresOfAllHostsReplaceTheOwn guards against a host that takes its own share of an uneven load for that of all hosts.
func TestFiguresOfAllHostsReplaceTheOwn(t *testing.T) {
	d := Demands[string]{Hosts: 68}
	for range 50 {
		d.Record(start, "a", 3000, 1)
	}
	assert.Assert(t, d.Work(start, "a") > 1_000_000)
	d.Merge(start, "a", 20_000)
	assert.Equal(t, d.Work(start.Add(time.Second), "a"), 20_000.0)
}

func servers(n, domains int) []Server {
	list := make([]Server, n)
	for i := range list {
		list[i] = Server{ID: fmt.Sprint("engine-", i), FailureDomain: fmt.Sprint(i % domains)}
	}
	return list
}

// TestReplicasAreSpreadOverFailureDomains guards against replicas that are lost together: 20 replicas of 4 domains.
func TestReplicasAreSpreadOverFailureDomains(t *testing.T) {
	all := servers(140, 4)
	count := map[string]int{}
	seen := map[int]bool{}
	for rank, i := range Rank(12345, all) {
		seen[i] = true
		if rank < 20 {
			count[all[i].FailureDomain]++
		}
	}
	assert.Equal(t, len(seen), 140)
	for domain, n := range count {
		assert.Assert(t, n >= 4 && n <= 6, "domain %s has %d", domain, n)
	}
}

// TestSlowServersGetFewerAdapters guards against an even spread over uneven servers: a domain at half the rate of the others.
func TestSlowServersGetFewerAdapters(t *testing.T) {
	all := servers(40, 4)
	for i := range all {
		all[i].Weight = 1
		if all[i].FailureDomain == "0" {
			all[i].Weight = Weight(1, 0.53)
		}
	}
	slow := 0
	for key := range uint64(4000) {
		if all[Rank(hasher.Mix(key), all)[0]].FailureDomain == "0" {
			slow++
		}
	}
	// The slow domain has 10 of 40 servers and, by the third power of its rate, an eighth of the weight of the others: 1/25 of all adapters.
	assert.Assert(t, slow > 120 && slow < 200, "%d of 4000", slow)
	assert.Equal(t, Weight(1, 1.2), 1.0, "a small difference keeps the weight")
}

// TestStaleFiguresDoNotHerd guards against hosts that all send to the replica that was idle at their last report: 20 hosts, 10 replicas,
// figures that are a second old, 80 requests/s with 100 ms of work.
func TestStaleFiguresDoNotHerd(t *testing.T) {
	longest := func(choose func(delays []time.Duration) int) (worst time.Duration) {
		queues, known := make([]time.Duration, 10), make([]time.Duration, 10)
		for i := range 1600 {
			if i%80 == 0 {
				copy(known, queues)
			}
			queues[choose(known)] += 100 * time.Millisecond
			for r := range queues {
				worst = max(worst, queues[r])
				queues[r] = max(queues[r]-12500*time.Microsecond, 0)
			}
		}
		return worst
	}
	least := longest(func(delays []time.Duration) int { return slices.Index(delays, slices.Min(delays)) })
	rng := rand.New(rand.NewPCG(1, 1))
	drawn := longest(func(delays []time.Duration) int {
		replicas := make([]Replica, len(delays))
		for i := range replicas {
			replicas[i] = Replica{Ready: true, Draw: rng.Uint64(), Prefill: 100 * time.Millisecond}
		}
		total := Order(replicas, Preferences{Reserve: time.Minute})
		for i := range total {
			total[i] += delays[i]
		}
		best := 0
		for i := range total {
			if cmp.Or(cmp.Compare(total[i], total[best]), cmp.Compare(replicas[i].Draw, replicas[best].Draw)) < 0 {
				best = i
			}
		}
		return best
	})
	assert.Assert(t, drawn*3 < least, "%v with drawn replicas, %v with the least loaded one", drawn, least)
}

// TestPrefixesStayTogetherUnlessPopular guards against a copy of each prompt prefix on all replicas, and against one replica for a prefix that
// all requests share.
func TestPrefixesStayTogetherUnlessPopular(t *testing.T) {
	var p Prefixes[string]
	for i := range 400 {
		p.Record(start, "popular", 1)
		p.Record(start, "mixed", 100+uint64(i%20))
	}
	assert.Equal(t, p.HomeCount(start, "mixed", 100, 10), 1)
	assert.Assert(t, p.HomeCount(start, "popular", 1, 10) >= 9)
	p.Prune(start.Add(time.Minute))
	assert.Equal(t, len(p.ByHash)+len(p.Groups), 0)
}

// TestLoadsKeepToTheStore guards against loads that slow each other down: 20 hosts with 2 servers each want 100 loads/s from a store that
// delivers 14 at once in 250 ms.
func TestLoadsKeepToTheStore(t *testing.T) {
	const usual = 250 * time.Millisecond
	hosts := make([]LoadPace, 20)
	var ends []time.Time
	slow, all := 0, 0
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range 3000 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		ends = slices.DeleteFunc(ends, func(end time.Time) bool { return !end.After(now) })
		host := &hosts[rng.IntN(len(hosts))]
		if !host.Allows(now) {
			continue
		}
		host.Began(now)
		took := usual * time.Duration(max(len(ends)+1, 14)) / 14
		ends = append(ends, now.Add(took))
		if !host.Slow(now, took, usual, 2) {
			host.Usual(now, usual)
		}
		if i >= 1000 {
			all++
			if took > 2*usual {
				slow++
			}
		}
	}
	assert.Assert(t, all > 700, "%d loads in 20 s", all)
	assert.Assert(t, slow*10 < all, "%d of %d loads were slow", slow, all)
}
