package reducer

import (
	"slices"
	"time"

	"github.com/redwingpick/redwingpick/internal/hasher"
	"github.com/redwingpick/redwingpick/internal/placer"
)

// replicaBackends returns the first usable engines by rank for a request's adapter. If none of them holds the adapter, the engines follow
// that have published it as resident and have no lease holder.
func (s *State) replicaBackends(now time.Time, r *Request, count int) []*Backend {
	var untried, tried, published []*Backend
	ready := false
	for _, b := range s.adapterRanking(r.Service, r.Adapter).Order {
		if len(untried) >= count && ready {
			break
		}
		if !s.usable(now, b) || r.Adapter.Model != "" && !b.holdsModel(r.Adapter.Model) {
			continue
		}
		switch {
		case slices.Contains(r.TriedBackends, b.Info.ID):
			tried = append(tried, b)
		case len(untried) < count:
			untried = append(untried, b)
			ready = ready || !s.needsAdapterLoad(now, r, b)
		case s.publishedResident(now, r, b):
			published = append(published, b)
		}
	}
	if len(untried) == 0 && r.PossibleRuns == 0 {
		return tried[:min(len(tried), count)]
	}
	return append(untried, published...)
}

// rankedAdapter identifies the ranking of a service's engines for an adapter.
type rankedAdapter struct {
	Service string
	Adapter AdapterKey
}

// adapterRank is the order of a service's engines for an adapter.
type adapterRank struct {
	// Order is the order in which the engines get replicas.
	Order []*Backend
	// Coordinators are the first engines by the hash alone, the same on all hosts whatever service rates they know.
	Coordinators []*Backend
}

// adapterRanking returns the order of all engines of a service for an adapter.
func (s *State) adapterRanking(service string, key AdapterKey) adapterRank {
	backends := s.serviceBackends(service)
	id := rankedAdapter{service, key}
	if ranking, ok := s.Index.AdapterRanks[id]; ok {
		return ranking
	}
	servers := make([]placer.Server, len(backends))
	for i, b := range backends {
		servers[i] = placer.Server{ID: b.Info.ID, FailureDomain: b.Info.FailureDomain}
	}
	hash := hasher.Key(key.Model + "/" + key.Adapter)
	plain := orderBackends(backends, placer.Rank(hash, servers))
	ranking := adapterRank{Order: plain, Coordinators: plain[:min(len(plain), maxCandidates)]}
	if s.Limits.Adaptive.Pace {
		for i, b := range backends {
			servers[i].Weight = b.PlaceWeight
		}
		ranking.Order = orderBackends(backends, placer.Rank(hash, servers))
	}
	if len(s.Index.AdapterRanks) >= rankingsKept {
		clear(s.Index.AdapterRanks)
	}
	s.Index.AdapterRanks[id] = ranking
	return ranking
}

// orderBackends returns the backend servers in the order of the indices.
func orderBackends(backends []*Backend, indices []int) []*Backend {
	ordered := make([]*Backend, len(indices))
	for rank, i := range indices {
		ordered[rank] = backends[i]
	}
	return ordered
}

// updatePlaceWeights adapts the share of adapters of each engine to its service rate.
func (s *State) updatePlaceWeights(now time.Time) {
	s.indexBackends()
	changed := false
	for _, backends := range s.Index.ByService {
		if !s.isEngine(backends[0]) {
			continue
		}
		mean := 0.0
		for _, b := range backends {
			mean += s.usualRate(now, b) / float64(len(backends))
		}
		for _, b := range backends {
			if weight := placer.Weight(b.PlaceWeight, s.usualRate(now, b)/mean); weight != b.PlaceWeight {
				b.PlaceWeight = weight
				changed = true
			}
		}
	}
	if changed {
		clear(s.Index.AdapterRanks)
	}
}

// demandServer returns the backend server whose lease holder sums the demand for an adapter: the first by hash that has one. It returns "" if
// none of the first has one.
func (s *State) demandServer(now time.Time, service string, key AdapterKey) string {
	for _, b := range s.adapterRanking(service, key).Coordinators {
		if s.holderOf(now, b.Info.ID) != "" {
			return b.Info.ID
		}
	}
	return ""
}
