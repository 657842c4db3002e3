package reducer

import (
	"slices"
	"time"
)

// Index holds what is derived from the rest of the state and asked for often; it is made anew after a change.
type Index struct {
	// Backends is whether Engines and ByService are up to date.
	Backends  bool
	Engines   []string
	ByService map[string][]*Backend
	// Holders names the host that each backend server's lease was last told of by.
	Holders map[string]string
	// Incarnations names the host of each incarnation that is known.
	Incarnations map[uint64]string
	// HostsAt is the time as of which Active and Recent are up to date.
	HostsAt time.Time
	Active  []string
	Recent  []string
	// Reachable is Active and the hosts that leave.
	Reachable []string
	// Voters are the hosts whose majority grants leases.
	Voters []string
	// Ranks are the hosts that rank first for a key among a set of hosts.
	Ranks map[rankKey][]string
	// ActiveChangedAt is when a host in use was last added or taken off.
	ActiveChangedAt time.Time
}

// backendsChanged says that a backend server came, went or is of another kind now.
func (s *State) backendsChanged() { s.Index.Backends = false }

// hostsChanged says that a host was heard of or forgotten.
func (s *State) hostsChanged() { s.Index.HostsAt = time.Time{} }

func (s *State) indexBackends() {
	if s.Index.Backends {
		return
	}
	s.Index.Backends = true
	s.Index.Engines = nil
	s.Index.ByService = map[string][]*Backend{}
	for _, id := range sortedKeys(s.Backends) {
		b := s.Backends[id]
		s.Index.ByService[b.Info.Service] = append(s.Index.ByService[b.Info.Service], b)
		if engine := s.engineOf(b); engine != nil && engine.AdapterSlots > 0 {
			s.Index.Engines = append(s.Index.Engines, id)
		}
	}
}

// engineIDs returns the backend servers that take adapters.
func (s *State) engineIDs() []string {
	s.indexBackends()
	return s.Index.Engines
}

// serviceBackends returns the backend servers of a service in the order of their ids.
func (s *State) serviceBackends(service string) []*Backend {
	s.indexBackends()
	return s.Index.ByService[service]
}

func (s *State) indexHosts(now time.Time) {
	if age := now.Sub(s.Index.HostsAt); !s.Index.HostsAt.IsZero() && age >= 0 && age < hostsIndexFor {
		return
	}
	s.Index.HostsAt = now
	var alive, heard, voting, members []string
	for _, id := range s.selectHosts(func(string) bool { return true }) {
		h, other := s.Hosts[id]
		if s.active(now, id) {
			alive = append(alive, id)
		}
		if !other || s.reachable(now, id) {
			heard = append(heard, id)
		}
		if !other && s.Membership.Voter || other && h.Record.Voter {
			voting = append(voting, id)
		}
		if !other || now.Sub(h.LastHeartbeatAt) < recentHostWindow && !h.Record.Draining {
			members = append(members, id)
		}
	}
	if !slices.Equal(alive, s.Index.Active) {
		s.Index.ActiveChangedAt = now
		clear(s.Index.Ranks)
	}
	if !slices.Equal(voting, s.Index.Voters) {
		clear(s.Index.Ranks)
	}
	s.Index.Active, s.Index.Reachable, s.Index.Voters, s.Index.Recent = alive, heard, voting, members
}

// hostsIndexFor is how long a host that falls silent may still be counted as in use.
const hostsIndexFor = 50 * time.Millisecond

// activeHosts returns the hosts in use, this one among them, sorted by name.
func (s *State) activeHosts(now time.Time) []string {
	s.indexHosts(now)
	return s.Index.Active
}

// reachableHosts returns the hosts that are heard of, whether they are leaving or not, and this one.
func (s *State) reachableHosts(now time.Time) []string {
	s.indexHosts(now)
	return s.Index.Reachable
}

// voterHosts returns the hosts that vote on leases.
func (s *State) voterHosts(now time.Time) []string {
	s.indexHosts(now)
	return s.Index.Voters
}

// recentHosts returns all hosts that have been heard of lately, whether they are in use or not.
func (s *State) recentHosts(now time.Time) []string {
	s.indexHosts(now)
	return s.Index.Recent
}

// noteHolds takes what a host's newest record says of its leases.
func (s *State) noteHolds(r HostRecord) {
	for _, backend := range r.Leases {
		s.Index.Holders[backend] = r.ID
	}
}

// holderOf returns the host that orders a backend server, or "" if none is known.
func (s *State) holderOf(now time.Time, backend string) string {
	if s.holds(now, backend) {
		return s.Self.HostID
	}
	id, ok := s.Index.Holders[backend]
	if !ok || id == s.Self.HostID || !s.active(now, id) || !slices.Contains(s.Hosts[id].Record.Leases, backend) {
		return ""
	}
	return id
}

// rankKey names a ranking: among the voters if Voting is set, else among the hosts in use.
type rankKey struct {
	Voting bool
	Key    string
}

// ranked returns up to count hosts by their rendezvous rank for a key, for which count is always the same.
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
