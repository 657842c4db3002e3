package reducer

import (
	"fmt"
	"sort"
	"time"

	"github.com/redwingpick/redwingpick/internal/hasher"
	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// presence is the right of this host to act as itself; it holds while a quorum of its voters backs it.
func (s *State) presence() Right {
	return Right{Kind: KindHost, Name: s.Self.HostID, Region: s.Self.Region}
}

func accountRight(account, region string) Right {
	return Right{Kind: KindAccount, Name: account, Region: region}
}

func storeRight(region string) Right {
	return Right{Kind: KindStore, Name: "weight_store", Region: region}
}

func (s *State) backendRight(b cataloguer.BackendServer) Right {
	return Right{Kind: KindBackend, Name: b.ID, Region: s.Config.regionOf(b.FailureDomain)}
}

// String returns the right as kind, name and region.
func (r Right) String() string {
	return fmt.Sprintf("%s/%s/%s", [...]string{"", "host", "backend_server", "client_account", "weight_store"}[r.Kind], r.Name, r.Region)
}

func (r Right) key() uint64 {
	return hasher.Mix(hasher.Key(r.Name) + uint64(r.Kind))
}

// anchor returns the host of the roster that the right belongs to while all hosts live; it fixes the voters.
func (s *State) anchor(r Right) string {
	if r.Kind == KindHost {
		return r.Name
	}
	return hasher.First(r.key(), s.Config.Tables.Roster[r.Region])
}

// candidate returns the host that should hold the right as far as this host knows.
func (s *State) candidate(r Right, now time.Time) string {
	return s.candidateExcept(r, now, "")
}

func (s *State) candidateExcept(r Right, now time.Time, except string) string {
	if r.Kind == KindHost {
		return r.Name
	}
	names := s.Config.Tables.Candidates[r.Region]
	best := hasher.First(r.key(), names)
	if best != except && !s.unfit(best, now) {
		return best
	}
	for _, id := range hasher.Top(r.key(), names, len(names)) {
		if id != except && !s.unfit(id, now) {
			return id
		}
	}
	return ""
}

// unfit reports whether a host is leaving or was lately found unreachable.
func (s *State) unfit(id string, now time.Time) bool {
	if id == s.Self.HostID {
		return s.Draining.Active
	}
	p, ok := s.Peers[id]
	return ok && (p.Leaving || now.Before(p.SuspectUntil))
}

// suspect marks a host as unreachable for a while, so that other hosts are tried first.
func (s *State) suspect(id string, now time.Time) {
	if id != s.Self.HostID && id != "" {
		s.peer(id).SuspectUntil = now.Add(s.Limits.SuspectFor)
	}
}

// votersOf returns the voters of an anchor: the highest ranked hosts, spread over failure domains.
func (s *State) votersOf(anchor, region string) []string {
	if voters, ok := s.Config.Tables.Voters[anchor]; ok {
		return voters
	}
	voters := s.spreadVoters(anchor, region, s.Config.Tables.Roster, s.Config.Hosts)
	s.Config.Tables.Voters[anchor] = voters
	return voters
}

// previousVotersOf returns the voters of a right by the roster before the present one, or nil if it had none.
func (s *State) previousVotersOf(r Right) []string {
	previous := s.Config.Tables.PreviousRoster[r.Region]
	if len(previous) == 0 {
		return nil
	}
	anchor := r.Name
	if r.Kind != KindHost {
		anchor = hasher.First(r.key(), previous)
	}
	return s.spreadVoters(anchor, r.Region, s.Config.Tables.PreviousRoster, s.Config.PreviousHosts)
}

// votersPerDomain is the most voters of one failure domain, so that the loss of one leaves a majority.
const votersPerDomain = 2

// spreadVoters takes the ranked hosts of the region, no more than votersPerDomain of a failure domain, and fills up with
// hosts of other regions where the region has too few failure domains.
func (s *State) spreadVoters(anchor, region string, roster map[string][]hasher.Name, hosts map[string]cataloguer.Host) []string {
	key := hasher.Key("voters/" + anchor)
	ranked := byRounds(hasher.Top(key, roster[region], len(roster[region])), hosts)
	var others []hasher.Name
	for _, other := range sortedKeys(roster) {
		if other != region {
			others = append(others, roster[other]...)
		}
	}
	ranked = append(ranked, byRounds(hasher.Top(key, others, s.Limits.Voters*s.Limits.Voters), hosts)...)
	perDomain := map[string]int{}
	var voters, spare []string
	for _, id := range ranked {
		domain := hosts[id].FailureDomain
		if perDomain[domain] >= votersPerDomain {
			spare = append(spare, id)
			continue
		}
		perDomain[domain]++
		voters = append(voters, id)
	}
	voters = append(voters, spare...)
	return voters[:min(s.Limits.Voters, len(voters))]
}

// byRounds orders ranked hosts so that each failure domain has its first before any has its second.
func byRounds(ranked []string, hosts map[string]cataloguer.Host) []string {
	perDomain := map[string]int{}
	rounds := make(map[string]int, len(ranked))
	for _, id := range ranked {
		domain := hosts[id].FailureDomain
		rounds[id] = perDomain[domain]
		perDomain[domain]++
	}
	sort.SliceStable(ranked, func(i, j int) bool { return rounds[ranked[i]] < rounds[ranked[j]] })
	return ranked
}

// RegionRights returns every right of this host's region but the presence of other hosts.
func (s *State) RegionRights() []Right {
	region := s.Self.Region
	rights := []Right{storeRight(region)}
	for _, id := range sortedKeys(s.Config.Accounts) {
		rights = append(rights, accountRight(id, region))
	}
	for _, id := range sortedKeys(s.Config.BackendServers) {
		r := s.backendRight(s.Config.BackendServers[id])
		if r.Region == region {
			rights = append(rights, r)
		}
	}
	return rights
}

// recomputeWanted lists the rights for which this host ranks first.
func recomputeWanted(s *State, now time.Time) {
	s.Leases.Wanted = map[Right]bool{}
	if _, member := s.Config.Hosts[s.Self.HostID]; !member {
		return
	}
	s.Leases.Wanted[s.presence()] = true
	if s.Draining.Active {
		return
	}
	for _, r := range s.RegionRights() {
		if s.candidate(r, now) == s.Self.HostID {
			s.Leases.Wanted[r] = true
		}
	}
}
