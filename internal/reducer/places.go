package reducer

import (
	"cmp"
	"slices"
	"time"

	"github.com/redwingpick/redwingpick/internal/placer"
	"github.com/redwingpick/redwingpick/internal/selector"
	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// Places is what this host knows of the demand for adapters and of the number of their replicas.
type Places struct {
	// Demands is the demand at this host, with the figures of all hosts that lease holders have returned.
	Demands placer.Demands[AdapterKey]
	// Totals is the demand at all hosts for the adapters that hosts report to this host as a lease holder.
	Totals   placer.Demands[AdapterKey]
	Prefixes placer.Prefixes[AdapterKey]
	Replicas map[AdapterKey]*placer.Replicas
	// Unreported is the work that has not been reported yet, by the backend server whose lease holder gets the report.
	Unreported map[string]*UnreportedWork
	PrunedAt   time.Time
}

// UnreportedWork is the work of requests, in prompt tokens, since the last report to a lease holder.
type UnreportedWork struct {
	Since  time.Time
	Tokens map[AdapterKey]int
}

const (
	// replicaShare is the part of an engine's prefill rate that one adapter may take, so that bursts and other adapters fit.
	replicaShare = 0.4
	// preloadShare is the part of an engine's prefill rate up to which an adapter gets no further replica ahead of its use. It is larger than
	// replicaShare, so that an adapter whose demand varies around a bound is not loaded again and again.
	preloadShare = 0.6
	// replicaEngines is the number of engines for each replica that an adapter may have at most.
	replicaEngines = 4
	// replicaFallDelay is how long the demand for an adapter must be lower before it loses replicas.
	replicaFallDelay = 4 * time.Second
	// workReportInterval is the longest time for which work stays unreported if the lease holder is known, and workReportTTL otherwise.
	workReportInterval = 300 * time.Millisecond
	workReportTTL      = 2 * time.Second
	// replicaPruneInterval is the time between two removals of unused demands.
	replicaPruneInterval = 5 * time.Second
	// otherDomainValue is the delay that not moving a prompt to another failure domain is worth.
	otherDomainValue = 20 * time.Millisecond
	// unreadyRankDelay is the handicap of each rank if no replica is known to hold the adapter.
	unreadyRankDelay = 5 * time.Millisecond
	// replicaReserveDivisor is the divisor of a route's target that gives how much longer the replicas that a request has drawn may take before
	// it uses another one.
	replicaReserveDivisor = 2
	// replicaPreloads is the number of replicas that one request may have loaded ahead.
	replicaPreloads = 2
	// occupancyTargets is the multiple of a route's target for which a request counts as occupying an engine at most.
	occupancyTargets = 4
	// heldTTL is how long hosts remember that an engine has held an adapter, and heldKept the number of adapters of one engine from which
	// older ones are dropped.
	heldTTL  = 30 * time.Second
	heldKept = 64
	// adapterRequestMargin is how late a repeated adapter request may arrive.
	adapterRequestMargin = 100 * time.Millisecond
	// rankingsKept is the number of adapters whose rankings are cached.
	rankingsKept = 1024
)

// placesAdapters reports whether the replicas of adapters follow their demand at a service.
func (s *State) placesAdapters(service cataloguer.Service, key AdapterKey) bool {
	return s.Limits.Adaptive.Places && service.Engine != nil && key.Adapter != ""
}

// replicaCount returns the number of replicas that an adapter has at a service.
func (s *State) replicaCount(now time.Time, service string, key AdapterKey) int {
	p := &s.Places
	p.Demands.Hosts = len(s.activeHosts(now))
	engines := len(s.serviceBackends(service))
	limits := placer.Limits{
		Share: replicaShare, FallAfter: replicaFallDelay,
		Most: max((engines+replicaEngines-1)/replicaEngines, min(engines, maxCandidates)),
	}
	work, rate := p.Demands.Work(now, key), s.meanPrefillRate(service)
	needed := placer.Places(work, rate, limits)
	replicas, ok := p.Replicas[key]
	if !ok {
		if needed <= 1 {
			return 1
		}
		replicas = &placer.Replicas{Count: 1, UpdatedAt: now}
		p.Replicas[key] = replicas
	}
	before := replicas.Count
	if replicas.Update(now, needed, limits) {
		s.Counters.ReplicaChanges++
		s.logEvent(EventReplicasChanged, Field{"adapter", key.Adapter}, Field{"service", service}, intField("from", before),
			intField("to", replicas.Count), floatField("tokens_per_s", work), floatField("prefill_rate", rate),
			intField("most", limits.Most))
	}
	return replicas.Count
}

// replicaCandidates returns the engines that may take a request: the replicas of its adapter, and at least maxCandidates by rank.
func (s *State) replicaCandidates(now time.Time, r *Request, service cataloguer.Service) []selector.Candidate {
	count := s.replicaCount(now, r.Service, r.Adapter)
	backends := s.replicaBackends(now, r, max(count, maxCandidates))
	candidates := make([]selector.Candidate, len(backends))
	for rank, b := range backends {
		candidates[rank] = selector.Candidate{
			Backend: b.Info.ID, Rank: rank, Replica: rank < count, Delay: s.engineDelay(now, r, b, service.Engine),
			SameDomain: b.Info.FailureDomain == s.Self.FailureDomain, TieBreaker: s.random(),
		}
	}
	if count > 1 {
		s.orderReplicas(now, r, backends[:min(count, len(backends))], candidates)
	}
	return candidates
}

// orderReplicas sets the handicaps of the candidates that are replicas.
func (s *State) orderReplicas(now time.Time, r *Request, backends []*Backend, candidates []selector.Candidate) {
	homes := s.prefixHomes(now, r, backends)
	replicas := make([]placer.Replica, len(backends))
	for i, b := range backends {
		rate := s.prefillRate(now, b)
		tokens := s.uncachedTokens(now, r, b)
		replicas[i] = placer.Replica{
			Ready: !s.needsAdapterLoad(now, r, b), SameDomain: candidates[i].SameDomain, Draw: s.random(),
			Prefill: prefillTime(tokens, rate),
		}
		if homes != nil && homes[i] {
			replicas[i].PrefixHome = true
			replicas[i].Saved = prefillTime(max(tokens-r.ownTokens(), 0), rate)
		}
	}
	handicaps := placer.Order(replicas, placer.Preferences{
		OtherDomain: otherDomainValue, Unready: unreadyRankDelay, Reserve: r.Route.LatencyTarget / replicaReserveDivisor,
	})
	for i, handicap := range handicaps {
		candidates[i].Handicap = handicap
	}
}

// tickPlaces reports work that has waited for a usage report, and drops what is no longer used.
func tickPlaces(s *State, now time.Time) {
	for _, id := range sortedKeys(s.Places.Unreported) {
		age := now.Sub(s.Places.Unreported[id].Since)
		b, ok := s.Backends[id]
		if ok && age >= workReportInterval {
			sendUsage(s, now, b, false)
		}
		if !ok || age >= workReportTTL {
			delete(s.Places.Unreported, id)
		}
	}
	if now.Sub(s.Places.PrunedAt) < replicaPruneInterval {
		return
	}
	s.Places.PrunedAt = now
	s.pruneResidencies(now)
	if s.Limits.Adaptive.Places && s.Limits.Adaptive.Pace {
		s.updatePlaceWeights(now)
	}
	s.Places.Demands.Prune(now)
	s.Places.Totals.Prune(now)
	s.Places.Prefixes.Prune(now)
	for key := range s.Places.Replicas {
		if _, ok := s.Places.Demands.ByKey[key]; !ok {
			delete(s.Places.Replicas, key)
		}
	}
}

// hotAdaptersShown is the largest number of adapters in the status.
const hotAdaptersShown = 20

// hotAdapters returns the adapters with more than one replica, those with the largest demand first.
func (s *State) hotAdapters(now time.Time) []AdapterStatus {
	var hot []AdapterStatus
	for _, key := range sortedAdapters(s.Places.Replicas) {
		replicas := s.Places.Replicas[key]
		if replicas.Count <= 1 || now.Sub(replicas.UpdatedAt) > workReportTTL {
			continue
		}
		a := AdapterStatus{Model: key.Model, Adapter: key.Adapter, Replicas: replicas.Count, TokensPerSecond: int64(s.Places.Demands.Work(now, key))}
		for _, b := range s.Backends {
			if adapter, ok := b.Adapters[key]; ok && adapter.Stage == StageReady && adapter.fresh(now, 0) {
				a.Ready++
			}
		}
		hot = append(hot, a)
	}
	slices.SortStableFunc(hot, func(a, b AdapterStatus) int { return cmp.Compare(b.TokensPerSecond, a.TokensPerSecond) })
	return hot[:min(len(hot), hotAdaptersShown)]
}
