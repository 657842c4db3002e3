package placer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/redwingpick/redwingpick/internal/hasher"
	"github.com/redwingpick/redwingpick/internal/limiter"
)

// prefixHalfLife is the half-life of the rates of prefixes, about as long as engines keep an unused prompt part cached.
const prefixHalfLife = 20 * time.Second

// PrefixUse is the rate of requests that share a prompt prefix.
type PrefixUse struct {
	Requests limiter.DecayingRate
}

// Prefixes holds the rates of requests for each group, such as an adapter, and for each prefix that requests of a group share.
type Prefixes[K comparable] struct {
	Groups map[K]*PrefixUse
	ByHash map[uint64]*PrefixUse
}

// Record adds a request for a group with a shared prefix.
func (p *Prefixes[K]) Record(now time.Time, group K, hash uint64) {
	if p.Groups == nil {
		p.Groups, p.ByHash = map[K]*PrefixUse{}, map[uint64]*PrefixUse{}
	}
	addUse(now, p.Groups, group)
	addUse(now, p.ByHash, hash)
}

func addUse[K comparable](now time.Time, uses map[K]*PrefixUse, key K) {
	use, ok := uses[key]
	if !ok {
		use = &PrefixUse{}
		uses[key] = use
	}
	use.Requests.Add(now, 1, prefixHalfLife)
}

// HomeCount returns how many of a group's replicas are homes of a prefix: the part of the group's requests that share the prefix, less a
// standard error, and at least one. A prefix that all requests share therefore loads all replicas.
func (p *Prefixes[K]) HomeCount(now time.Time, group K, hash uint64, replicas int) int {
	of, all := p.ByHash[hash], p.Groups[group]
	if of == nil || all == nil {
		return 1
	}
	rate := of.Requests.At(now, prefixHalfLife)
	share := rate / max(all.Requests.At(now, prefixHalfLife), rate) * certainty(rate, prefixHalfLife, 1)
	return min(max(int(math.Ceil(share*float64(replicas))), 1), replicas)
}

// Prune drops what was not used for some time.
func (p *Prefixes[K]) Prune(now time.Time) {
	pruneUses(now, p.Groups)
	pruneUses(now, p.ByHash)
}

func pruneUses[K comparable](now time.Time, uses map[K]*PrefixUse) {
	for key, use := range uses {
		if now.Sub(use.Requests.UpdatedAt) > forgetAfter {
			delete(uses, key)
		}
	}
}

// Homes returns which of the servers are homes of a prefix: the first count by rendezvous hashing.
func Homes(hash uint64, servers []string, count int) []bool {
	order := make([]int, len(servers))
	scores := make([]uint64, len(servers))
	for i, id := range servers {
		order[i], scores[i] = i, hasher.Score(hash, hasher.NewName(id))
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(scores[b], scores[a]) })
	homes := make([]bool, len(servers))
	for _, i := range order[:min(count, len(order))] {
		homes[i] = true
	}
	return homes
}
