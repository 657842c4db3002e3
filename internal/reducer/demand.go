package reducer

import (
	"time"

	"github.com/redwingpick/redwingpick/internal/selector"
)

// recordDemand adds a request that has just arrived to the demand for its adapter; candidates are the engines that may take it.
//
// The work is the prompt tokens that the engine with the most of the prompt in its cache has to prefill, and no more than an engine can hold: a
// larger request is refused by all of them, whatever its caller states.
func (s *State) recordDemand(now time.Time, r *Request, candidates []selector.Candidate) {
	if r.DemandRecorded || len(candidates) == 0 {
		return
	}
	r.DemandRecorded = true
	r.Work = r.PromptTokens
	for _, c := range candidates {
		r.Work = min(r.Work, s.uncachedTokens(now, r, s.Backends[c.Backend]))
	}
	if engine := s.Documents.Services[r.Service].Engine; engine != nil && engine.KVCacheTokens > 0 {
		r.Work = min(r.Work, engine.KVCacheTokens)
	}
	s.addWork(now, r, r.Work, 1)
	if hash, ok := r.sharedPrefix(); ok {
		s.Places.Prefixes.Record(now, r.Adapter, hash)
	}
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
		part = min(max(part, float64(r.Tokens)/float64(engine.KVCacheTokens)), 1)
	}
	held := min(now.Sub(r.SentAt), occupancyTargets*r.Route.LatencyTarget)
	if work := int(held.Seconds() * part * s.meanPrefillRate(r.Service)); work > r.Work {
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

// receiveWork adds the work of a usage report to the demand at all hosts, and returns that for the adapters of the report. If an adapter needs
// more replicas than before, all hosts are told at once: most would otherwise learn it after their next request.
func (s *State) receiveWork(now time.Time, from string, m Usage, inv *Inventory) []AdapterDemand {
	b, ok := s.Backends[m.Backend]
	if !s.Limits.Adaptive.Places || !ok {
		return nil
	}
	var demands, risen []AdapterDemand
	for _, a := range m.Adapters {
		if a.Work > 0 {
			s.Places.Totals.Record(now, a.Adapter, float64(a.Work), max(a.DispatchCount, 1))
		}
		work := s.Places.Totals.Recorded(now, a.Adapter)
		if work <= 0 {
			continue
		}
		demand := AdapterDemand{Adapter: a.Adapter, Work: work}
		demands = append(demands, demand)
		if s.mergeTotal(now, b.Info.Service, demand) {
			risen = append(risen, demand)
		}
	}
	if len(risen) > 0 {
		s.sendDemands(now, from, m.Backend, inv, risen)
	}
	return demands
}

// mergeTotal records the demand that this host has summed as a lease holder, and reports whether the adapter needs more replicas than before.
func (s *State) mergeTotal(now time.Time, service string, d AdapterDemand) bool {
	before := 1
	if replicas, ok := s.Places.Replicas[d.Adapter]; ok {
		before = replicas.Count
	}
	s.Places.Demands.Merge(now, d.Adapter, d.Work)
	return s.replicaCount(now, service, d.Adapter) > before
}

// sendDemands sends demands, with the load of a backend server that such messages carry, to all active hosts but the one that gets a reply.
func (s *State) sendDemands(now time.Time, except, backend string, inv *Inventory, demands []AdapterDemand) {
	s.Counters.DemandsSent++
	all := inv.loadFor(s, now, backend, "")
	all.Demands = demands
	s.reportSlowStart(now, "", inv, &all)
	for _, host := range s.activeHosts(now) {
		if host != except && host != s.Self.HostID {
			s.send(host, all.without(inv.recentUsage(s, now, host)))
		}
	}
}

// without returns the load of the other hosts, from that of all hosts and the usage of one of them.
func (m BackendLoad) without(u HostUsage) BackendLoad {
	m.Running -= u.Running
	m.Tokens -= u.Tokens
	m.PrefillTokens -= u.PrefillTokens
	return m
}

// recentUsage returns the usage of a host if it counts in the load, and otherwise that of a host without requests.
func (inv *Inventory) recentUsage(s *State, now time.Time, host string) HostUsage {
	u, ok := inv.Usage[host]
	if !ok || now.Sub(u.ReceivedAt) >= 3*s.usageInterval() {
		return HostUsage{}
	}
	return *u
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
