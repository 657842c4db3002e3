package reducer

import (
	"maps"
	"slices"
	"time"

	"github.com/redwingpick/redwingpick/internal/hasher"
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
	Replicas map[AdapterKey]*placer.Replicas
	// Unreported is the work that has not been reported yet, by the backend server whose lease holder gets the report.
	Unreported map[string]*UnreportedWork
	PrunedAt   time.Time
	Fast       map[string]bool
	FastAt     time.Time
}

// UnreportedWork is the work of requests, in prompt tokens, since the last report to a lease holder.
type UnreportedWork struct {
	Since  time.Time
	Tokens map[AdapterKey]int
}

const (
	// replicaShare is the part of an engine's prefill rate that one adapter may take, so that bursts and other adapters fit.
	replicaShare = 0.4
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
	// replicaReserveDivisor is the divisor of a route's target that gives how much longer the replicas that a request has drawn may take before
	// it uses another one.
	replicaReserveDivisor = 2
	// replicaPreloads is the number of replicas that one request may have loaded ahead.
	replicaPreloads = 2
	// occupancyTargets is the multiple of a route's target for which a request counts as occupying an engine at most.
	occupancyTargets = 4
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
	work, rate := p.Demands.Work(now, key), s.service(service).PrefillRate
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
	replicas := make([]placer.Replica, 0, count)
	for rank, b := range backends {
		candidates[rank] = selector.Candidate{
			Backend: b.Info.ID, Rank: rank, Replica: rank < count, Delay: s.engineDelay(now, r, b, service.Engine),
			SameDomain: b.Info.FailureDomain == s.Self.FailureDomain, TieBreaker: s.random(),
		}
		if rank < count {
			replicas = append(replicas, placer.Replica{
				Ready: !s.needsAdapterLoad(now, r, b), SameDomain: candidates[rank].SameDomain, Draw: s.random(),
			})
		}
	}
	if count == 1 {
		return candidates
	}
	handicaps := placer.Order(replicas, placer.Preferences{
		OtherDomain: otherDomainValue, Reserve: r.Route.LatencyTarget / replicaReserveDivisor,
	})
	for i, handicap := range handicaps {
		candidates[i].Handicap = handicap
	}
	return candidates
}

// replicaBackends returns the first usable engines by rank for a request's adapter. If none of them holds the adapter, the engines follow
// that have published it as resident and have no lease holder.
func (s *State) replicaBackends(now time.Time, r *Request, count int) []*Backend {
	var untried, tried, published []*Backend
	ready := false
	for _, b := range s.adapterRanking(r.Service, r.Adapter, s.isLong(r)) {
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
	Long    bool
}

// adapterRanking returns all engines of a service in the order in which they get replicas of an adapter.
func (s *State) adapterRanking(service string, key AdapterKey, long bool) []*Backend {
	backends := s.serviceBackends(service)
	id := rankedAdapter{service, key, long}
	if ranking, ok := s.Index.AdapterRanks[id]; ok {
		return ranking
	}
	servers := make([]placer.Server, len(backends))
	for i, b := range backends {
		servers[i] = placer.Server{ID: b.Info.ID, FailureDomain: b.Info.FailureDomain, Weight: s.laneWeight(b, long)}
	}
	ranking := make([]*Backend, len(backends))
	for rank, i := range placer.Rank(hasher.Key(key.Model+"/"+key.Adapter), servers) {
		ranking[rank] = backends[i]
	}
	if len(s.Index.AdapterRanks) >= rankingsKept {
		clear(s.Index.AdapterRanks)
	}
	s.Index.AdapterRanks[id] = ranking
	return ranking
}

// recordDemand adds a request that has just arrived to the demand for its adapter; candidates are the engines that may take it.
//
// The work is the prompt tokens that the engine with the most of the prompt in its cache has to prefill.
func (s *State) recordDemand(now time.Time, r *Request, candidates []selector.Candidate) {
	if r.DemandRecorded || len(candidates) == 0 {
		return
	}
	r.DemandRecorded = true
	r.Work = r.PromptTokens
	for _, c := range candidates {
		r.Work = min(r.Work, s.uncachedTokens(now, r, s.Backends[c.Backend]))
	}
	s.addWork(now, r, r.Work, 1)
}

// recordOccupancy adds the batch slot and the KV cache tokens that a request has occupied to the demand for its adapter, if they are a larger
// part of an engine than its prefill was.
func (s *State) recordOccupancy(now time.Time, r *Request, b *Backend) {
	engine := s.engineOf(b)
	if !r.DemandRecorded || engine == nil {
		return
	}
	part := 1 / float64(max(engine.Slots, 1))
	if engine.KVCacheTokens > 0 {
		part = max(part, float64(r.Tokens)/float64(engine.KVCacheTokens))
	}
	held := min(now.Sub(r.SentAt), occupancyTargets*r.Route.LatencyTarget)
	if work := int(held.Seconds() * part * s.service(r.Service).PrefillRate); work > r.Work {
		s.addWork(now, r, work-r.Work, 0)
		r.Work = work
	}
}

// addWork adds to the demand for a request's adapter, and to the work to be reported to the lease holder that sums it.
func (s *State) addWork(now time.Time, r *Request, tokens, requests int) {
	s.Places.Demands.Record(now, r.Adapter, float64(tokens), requests)
	server := s.demandServer(now, r.Service, r.Adapter)
	if server == "" {
		return
	}
	u, ok := s.Places.Unreported[server]
	if !ok {
		u = &UnreportedWork{Since: now, Tokens: map[AdapterKey]int{}}
		s.Places.Unreported[server] = u
	}
	u.Tokens[r.Adapter] += tokens
}

// demandServer returns the backend server whose lease holder sums the demand for an adapter: the first by rank that has one. It returns ""
// if none of the first has one.
func (s *State) demandServer(now time.Time, service string, key AdapterKey) string {
	ranking := s.adapterRanking(service, key, false)
	for _, b := range ranking[:min(len(ranking), maxCandidates)] {
		if s.holderOf(now, b.Info.ID) != "" {
			return b.Info.ID
		}
	}
	return ""
}

// addWorkReport adds the unreported work to a usage report on the backend server whose lease holder sums it.
func (s *State) addWorkReport(b *Backend, usage *Usage) {
	u, ok := s.Places.Unreported[b.Info.ID]
	if !ok {
		return
	}
	delete(s.Places.Unreported, b.Info.ID)
	for i := range usage.Adapters {
		a := &usage.Adapters[i]
		a.Work = u.Tokens[a.Adapter]
		delete(u.Tokens, a.Adapter)
	}
	for _, key := range sortedAdapters(u.Tokens) {
		a := AdapterUsage{Adapter: key, Work: u.Tokens[key]}
		if adapter, ok := b.Adapters[key]; ok {
			a.Running = adapter.Running
		}
		usage.Adapters = append(usage.Adapters, a)
	}
}

// receiveWork adds the work of a usage report to the demand at all hosts, and returns that for the adapters of the report.
func (s *State) receiveWork(now time.Time, m Usage) []AdapterDemand {
	if !s.Limits.Adaptive.Places {
		return nil
	}
	var demands []AdapterDemand
	for _, a := range m.Adapters {
		if a.Work > 0 {
			s.Places.Totals.Record(now, a.Adapter, float64(a.Work), max(a.DispatchCount, 1))
		}
		if work := s.Places.Totals.Recorded(now, a.Adapter); work > 0 {
			demands = append(demands, AdapterDemand{Adapter: a.Adapter, Work: work})
		}
	}
	return demands
}

// receiveDemands records the demand at all hosts that a lease holder has returned.
func (s *State) receiveDemands(now time.Time, m BackendLoad) {
	if !s.Limits.Adaptive.Places {
		return
	}
	for _, d := range m.Demands {
		s.Places.Demands.Merge(now, d.Adapter, d.Work)
	}
}

// preloadReplicas asks for loads at replicas that lack the adapter of a request that was just sent to another one, so that they can serve
// requests to come.
func preloadReplicas[P selector.Policy](s *State, now time.Time, r *Request, candidates []selector.Candidate) {
	if !s.Limits.Adaptive.Places || s.service(r.Service).slowsLoads() {
		return
	}
	asked := 0
	for _, i := range s.randomOrder(len(candidates)) {
		c := candidates[i]
		b := s.Backends[c.Backend]
		if !c.Replica || asked >= replicaPreloads || !s.needsAdapterLoad(now, r, b) {
			continue
		}
		adapter := b.residency(r.Adapter)
		if now.Sub(adapter.RequestedAt) < adapterRequestInterval || adapter.Overdue || now.Before(adapter.ReadyAt) {
			continue
		}
		adapter.RequestedAt = now
		asked++
		s.Counters.ReplicaPreloads++
		sendAdapterRequest[P](s, now, AdapterRequest{Backend: c.Backend, Adapter: r.Adapter, Version: r.Version, Origin: r.origin(now)})
	}
}

// slowsLoads reports whether loads take longer than usual because too many adapters are in transit.
func (s *Service) slowsLoads() bool {
	return s.MinLoadTime > 0 && float64(s.LoadTime) >= slowLoadRatio*float64(s.MinLoadTime)
}

// randomOrder returns the numbers below n in random order.
func (s *State) randomOrder(n int) []int {
	order := make([]int, n)
	for i := range order {
		j := int(s.random() % uint64(i+1))
		order[i] = order[j]
		order[j] = i
	}
	return order
}

func (s *State) laneWeight(b *Backend, long bool) float64 {
	if !s.Places.Fast[b.Info.ID] {
		return 1
	}
	if long {
		return longFast
	}
	return shortFast
}

const (
	longFast  = 5
	shortFast = 0.5
)

func (s *State) isLong(r *Request) bool {
	return r.Route.StreamGapTarget > 0 && float64(r.PromptTokens)/30000 > r.Route.StreamGapTarget.Seconds()/2
}

func (s *State) tickFast(now time.Time) {
	if now.Sub(s.Places.FastAt) < time.Second {
		return
	}
	s.Places.FastAt = now
	fast := map[string]bool{}
	for id, b := range s.Backends {
		if !s.isEngine(b) {
			continue
		}
		mean, _ := s.meanRates(b)
		if rate := s.usualRate(now, b); rate > 1.35*mean || s.Places.Fast[id] && rate > 1.2*mean {
			fast[id] = true
		}
	}
	if !maps.Equal(fast, s.Places.Fast) {
		clear(s.Index.AdapterRanks)
	}
	s.Places.Fast = fast
}

// tickPlaces reports work that has waited for a usage report, and drops what is no longer used.
func tickPlaces(s *State, now time.Time) {
	s.tickFast(now)
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
	s.Places.Demands.Prune(now)
	s.Places.Totals.Prune(now)
	for key := range s.Places.Replicas {
		if _, ok := s.Places.Demands.ByKey[key]; !ok {
			delete(s.Places.Replicas, key)
		}
	}
}
