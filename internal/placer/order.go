package placer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/redwingpick/redwingpick/internal/hasher"
)

// Server is a backend server as the ranking of an adapter sees it.
type Server struct {
	ID            string
	FailureDomain string
	// Weight is the share of adapters that the server gets, relative to others; servers without a weight have weight 1.
	Weight float64
}

// plainRanks is the number of first ranks that go by the hash alone; later ranks take the failure domains in turn.
const plainRanks = 3

// Rank returns the indices of the servers in the order in which they get replicas of an adapter: by rendezvous hashing, and from the fourth on
// with the failure domains in turn, so that the replicas of a popular adapter are spread over all domains.
func Rank(key uint64, servers []Server) []int {
	scores := make([]float64, len(servers))
	order := make([]int, len(servers))
	for i, server := range servers {
		scores[i] = server.score(key)
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(scores[b], scores[a]) })
	return spreadDomains(servers, order)
}

// score returns the weighted rendezvous score of a server: with a uniformly distributed hash u, the highest of ln(u)/weight belongs to each
// server with a probability in proportion to its weight.
func (s Server) score(key uint64) float64 {
	weight := s.Weight
	if weight <= 0 {
		weight = 1
	}
	uniform := (float64(hasher.Score(key, hasher.NewName(s.ID))) + 0.5) / (1 << 64)
	return math.Log(uniform) / weight
}

// Weights of servers are powers of 2 within bounds.
const (
	leastWeight = 0.125
	mostWeight  = 8
	// weightPower is the power of the service rate to which the weight is in proportion. Prompts on a slow engine take longer and also stretch the
	// gaps of the streams beside them, so faster engines rank first for more than their part of the rate; expected delays move requests on.
	weightPower = 3
	// weightMargin is the difference from the present weight, in octaves, from which the weight changes.
	weightMargin = 0.9
)

// Weight returns the weight of a server whose service rate is a multiple of the mean. The weight changes in few steps and late, so that servers
// keep their adapters, and hosts whose estimates differ a little rank them alike.
func Weight(present, rate float64) float64 {
	if rate <= 0 {
		return present
	}
	target := min(max(math.Pow(rate, weightPower), leastWeight), mostWeight)
	if present > 0 && math.Abs(math.Log2(target/present)) < weightMargin {
		return present
	}
	return math.Exp2(math.Round(math.Log2(target)))
}

// spreadDomains reorders the ranks from plainRanks on: each takes the next server of the failure domain that has had the fewest.
func spreadDomains(servers []Server, order []int) []int {
	taken := map[string]int{}
	turn := make([]int, len(order))
	for rank, i := range order {
		domain := servers[i].FailureDomain
		turn[i] = taken[domain]
		taken[domain]++
		if rank < plainRanks {
			turn[i] = -1
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(turn[a], turn[b]) })
	return order
}

// Replica is a backend server that is assigned to an adapter, as a request for the adapter sees it.
type Replica struct {
	// Ready is set if the backend server holds the adapter, as far as is known.
	Ready      bool
	SameDomain bool
	// PrefixHome is set if requests with the same shared prompt parts go to this replica, and Saved is the prefill time that this saves beyond
	// what the host knows to be cached.
	PrefixHome bool
	Saved      time.Duration
	// Prefill is the time that the replica needs for the prompt, less the parts that the host knows to be cached there.
	Prefill time.Duration
	// Draw is a random number.
	Draw uint64
}

// Preferences says what replicas that are not equal are worth.
type Preferences struct {
	// OtherDomain is the value of not moving the prompt to another failure domain.
	OtherDomain time.Duration
	// Unready is the handicap of each rank if no replica is known to be ready, so that the hosts ask for the same one.
	Unready time.Duration
	// Reserve is how much longer a replica that was drawn may take before one that was not drawn is used.
	Reserve time.Duration
}

// draws is the number of random replicas that a request compares.
const draws = 2

// Order returns, for each replica, the handicap in expected delay at which a request uses it.
//
// Hosts have figures of the load that are up to a second old. If each chose the least loaded replica, all would choose the same one, so each
// request compares only a few that are drawn at random.
func Order(replicas []Replica, p Preferences) []time.Duration {
	drawn := draw(replicas)
	handicaps := make([]time.Duration, len(replicas))
	for i, r := range replicas {
		if !r.SameDomain {
			handicaps[i] += p.OtherDomain
		}
		if r.PrefixHome {
			handicaps[i] -= r.Saved
		}
		if len(drawn) == 0 {
			handicaps[i] += time.Duration(i) * p.Unready
		} else if !slices.Contains(drawn, i) {
			handicaps[i] += p.Reserve
		}
	}
	return handicaps
}

// draw returns the replicas that a request compares, of those that are ready: random ones, a random one in the host's own failure domain, and
// the one that is known to have the most of the prompt cached. For requests with a shared prefix, the homes of the prefix take the place of all
// replicas, except that one replica is drawn from all, so that the load of the homes is bounded by that of the others.
func draw(replicas []Replica) []int {
	var ready, near, homes, nearHomes []int
	cached := -1
	for i, r := range replicas {
		if !r.Ready {
			continue
		}
		ready = append(ready, i)
		if cached < 0 || cmp.Or(cmp.Compare(r.Prefill, replicas[cached].Prefill), cmp.Compare(r.Draw, replicas[cached].Draw)) < 0 {
			cached = i
		}
		if r.SameDomain {
			near = append(near, i)
		}
		if r.PrefixHome {
			homes = append(homes, i)
		}
		if r.PrefixHome && r.SameDomain {
			nearHomes = append(nearHomes, i)
		}
	}
	if len(ready) == 0 {
		return nil
	}
	drawn := []int{cached}
	if len(homes) == 0 {
		drawn = append(drawn, lowest(replicas, ready, draws)...)
		return append(drawn, lowest(replicas, near, 1)...)
	}
	drawn = append(drawn, lowest(replicas, homes, draws)...)
	drawn = append(drawn, lowest(replicas, nearHomes, 1)...)
	return append(drawn, lowest(replicas, ready, 1)...)
}

// lowest returns up to count of the indices, those with the lowest draws.
func lowest(replicas []Replica, indices []int, count int) []int {
	slices.SortFunc(indices, func(a, b int) int { return cmp.Compare(replicas[a].Draw, replicas[b].Draw) })
	return indices[:min(count, len(indices))]
}
