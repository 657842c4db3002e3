package placer

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
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
