package reducer

import (
	"slices"
	"time"
)

// Index holds data that is derived from the rest of the state and often needed; it is rebuilt after a change.
type Index struct {
	// BackendsIndexed is set while Engines and ByService are up to date.
	BackendsIndexed bool
	Engines         []string
	// Watched is the engines whose reports show whether a fleet lives.
	Watched   []string
	ByService map[string][]*Backend
	// Holders names, for each backend server, the host whose record last listed its lease.
	Holders map[string]string
	// Incarnations holds the host of each known incarnation.
	Incarnations map[uint64]string
	// GroupsIndexed is set while Groups and GroupDigests, the hosts of each group of a HeartbeatTable and their digests, are up to date.
	GroupsIndexed bool
	Groups        [][]string
	GroupDigests  []uint32
	// HostsIndexedAt is the time as of which Active, Recent, Reachable and Voters are up to date.
	HostsIndexedAt time.Time
	Active         []string
	// Recent is this host and the hosts with a heartbeat within recentHostWindow that do not drain.
	Recent []string
	// Reachable is the reachable hosts, whether they drain or not, and this host.
	Reachable []string
	// Voters are the hosts that vote on leases, and DirectedVoters those of them that callers are directed to; nil if that is out of date.
	Voters         []string
	DirectedVoters []string
	// DirectedVersion counts the changes of DirectedVoters.
	DirectedVersion int
	// Ranks caches the results of ranked: the first hosts by rendezvous rank for each key.
	Ranks map[rankKey][]string
	// AdapterRanks caches the results of adapterRanking for the backend servers as indexed.
	AdapterRanks map[rankedAdapter]adapterRank
	// ActiveChangedAt is when the set of active hosts last changed.
	ActiveChangedAt time.Time
}

// invalidateBackendIndex marks the index of backend servers as out of date.
func (s *State) invalidateBackendIndex() { s.Index.BackendsIndexed = false }

// invalidateHostIndex marks the index of hosts as out of date.
func (s *State) invalidateHostIndex() {
	s.Index.HostsIndexedAt = time.Time{}
	s.Index.GroupsIndexed = false
}

// indexBackends rebuilds the index of backend servers if it is out of date.
func (s *State) indexBackends() {
	if s.Index.BackendsIndexed {
		return
	}
	s.Index.BackendsIndexed = true
	s.Index.Engines = nil
	s.Index.ByService = map[string][]*Backend{}
	clear(s.Index.AdapterRanks)
	for _, id := range sortedKeys(s.Backends) {
		b := s.Backends[id]
		s.Index.ByService[b.Info.Service] = append(s.Index.ByService[b.Info.Service], b)
		if engine := s.engineOf(b); engine != nil && engine.AdapterSlots > 0 {
			s.Index.Engines = append(s.Index.Engines, id)
		}
	}
	s.Index.Watched = rankWatched(s.Index.Engines)
}

// engineIDs returns the IDs of the engines that have adapter slots, sorted.
func (s *State) engineIDs() []string {
	s.indexBackends()
	return s.Index.Engines
}

// serviceBackends returns the backend servers of a service, sorted by ID.
func (s *State) serviceBackends(service string) []*Backend {
	s.indexBackends()
	return s.Index.ByService[service]
}

// indexHosts rebuilds the index of hosts if it is out of date or older than hostsIndexTTL.
func (s *State) indexHosts(now time.Time) {
	if age := now.Sub(s.Index.HostsIndexedAt); !s.Index.HostsIndexedAt.IsZero() && age >= 0 && age < hostsIndexTTL {
		return
	}
	s.Index.HostsIndexedAt = now
	var active, reachable, voters, recent []string
	for _, id := range s.selectHosts(func(string) bool { return true }) {
		h, remote := s.Hosts[id]
		if s.active(now, id) {
			active = append(active, id)
		}
		if !remote || s.reachable(now, id) {
			reachable = append(reachable, id)
		}
		if !remote && s.Membership.Voter || remote && h.Record.Voter {
			voters = append(voters, id)
		}
		if !remote || now.Sub(h.LastHeartbeatAt) < recentHostWindow && !h.Record.Draining {
			recent = append(recent, id)
		}
	}
	if !slices.Equal(active, s.Index.Active) {
		s.Index.ActiveChangedAt = now
		clear(s.Index.Ranks)
	}
	if s.Index.DirectedVoters == nil || !slices.Equal(voters, s.Index.Voters) {
		s.Index.DirectedVoters = append([]string{}, s.directedVoters(voters)...)
		s.Index.DirectedVersion++
		clear(s.Index.Ranks)
	}
	s.Index.Active, s.Index.Reachable, s.Index.Voters, s.Index.Recent = active, reachable, voters, recent
}

// hostsIndexTTL is how long a host that has become unreachable may still be counted as active.
const hostsIndexTTL = 50 * time.Millisecond

// activeHosts returns the IDs of the active hosts, sorted; this host is among them unless it drains.
func (s *State) activeHosts(now time.Time) []string {
	s.indexHosts(now)
	return s.Index.Active
}

// reachableHosts returns the reachable hosts, whether they drain or not, and this one.
func (s *State) reachableHosts(now time.Time) []string {
	s.indexHosts(now)
	return s.Index.Reachable
}

// voterHosts returns the hosts that vote on leases.
func (s *State) voterHosts(now time.Time) []string {
	s.indexHosts(now)
	return s.Index.Voters
}

// recentHosts returns this host and the hosts with a heartbeat within recentHostWindow that do not drain, whether they are active or not.
func (s *State) recentHosts(now time.Time) []string {
	s.indexHosts(now)
	return s.Index.Recent
}

// recordHolders applies the leases that a host's latest record lists.
func (s *State) recordHolders(r HostRecord) {
	for _, backend := range r.Leases {
		s.Index.Holders[backend] = r.ID
	}
}

// holderOf returns the host that holds the lease of a backend server, or "" if none is known.
func (s *State) holderOf(now time.Time, backend string) string {
	if s.holdsLease(now, backend) {
		return s.Self.HostID
	}
	id, ok := s.Index.Holders[backend]
	if !ok || id == s.Self.HostID || !s.active(now, id) || !slices.Contains(s.Hosts[id].Record.Leases, backend) {
		return ""
	}
	return id
}

// rankKey identifies a ranking: among the voters if Voting is set, otherwise among the active hosts.
type rankKey struct {
	Voting bool
	Key    string
}

// ranked returns up to count hosts by their rendezvous rank for a key; count must always be the same for a key.
func (s *State) ranked(now time.Time, key rankKey, count int) []string {
	s.indexHosts(now)
	if r, ok := s.Index.Ranks[key]; ok {
		return r
	}
	hosts := s.Index.Active
	if key.Voting {
		hosts = s.Index.Voters
	}
	r := rankHosts(key.Key, hosts, count)
	s.Index.Ranks[key] = r
	return r
}
