package reducer

import (
	"reflect"
	"slices"
	"time"

	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// Durations and bounds of the bootstrap of the voter set.
const (
	// bootstrapAfter is the uptime from which a host that finds no voter set may bootstrap one.
	bootstrapAfter = 1500 * time.Millisecond
	// bootstrapQuietRounds is the number of gossip rounds without a newly discovered host that must precede a bootstrap.
	bootstrapQuietRounds = 2
	// bootstrapWithoutSeedsAfter is the uptime from which a host that does not reach all seeds may bootstrap.
	bootstrapWithoutSeedsAfter = 7 * time.Second
	// orderlessFor is how long a host must have observed that no backend server is being ordered before it treats the hosts that it does
	// not reach as removed, and orderlessAtStart before it bootstraps a voter set with all seeds. The published entries of backend servers
	// show their orders within one heartbeat of the backend server.
	orderlessFor     = 5 * time.Second
	orderlessAtStart = 1500 * time.Millisecond
	// watchGap is the longest pause between two reads of the platform that count as one uninterrupted observation.
	watchGap = 1500 * time.Millisecond
)

// mayBootstrap reports whether this host may bootstrap the voter set: it has received none, it has discovered no host recently, it reaches
// all seeds, and the platform shows that no host orders backend servers. No two sides of a partition can both reach all seeds, but hosts
// that restart on one side may have no record of the other side. Without all seeds the host observes the platform for longer, and if it
// knows of voters it waits until a partition would be over.
func (s *State) mayBootstrap(now time.Time) bool {
	quiet := now.Sub(later(s.Self.StartedAt, s.Membership.HostDiscoveredAt))
	switch {
	case s.Draining.Active || s.isolated():
		return false
	case s.age(now) < bootstrapAfter || quiet < bootstrapQuietRounds*s.gossipPause() || !s.sawNoOrders(now, orderlessAtStart):
		return false
	case len(s.voterHosts(now)) > 0:
		return s.age(now) >= voterTimeout && s.sawNoOrders(now, orderlessFor)
	}
	return s.hearsSeeds(now) || s.age(now) >= bootstrapWithoutSeedsAfter && s.sawNoOrders(now, orderlessFor)
}

// isolated reports whether this host knows no other host although its seeds name some; it may then be cut off.
func (s *State) isolated() bool {
	others := slices.ContainsFunc(s.Self.Seeds, func(address string) bool { return address != s.Self.PeerAddress })
	return others && len(s.Hosts) == 0
}

// hearsSeeds reports whether this host reaches all of its seeds.
func (s *State) hearsSeeds(now time.Time) bool {
	return !slices.ContainsFunc(s.Self.Seeds, func(address string) bool {
		return address != s.Self.PeerAddress && !s.knowsAddress(now, address)
	})
}

// sawNoOrders reports whether this host's reads of the platform show no order carried out for at least the given time.
func (s *State) sawNoOrders(now time.Time, lasting time.Duration) bool {
	r := s.Membership
	return !r.WatchedSince.IsZero() && now.Sub(r.WatchedAt) < watchGap && r.SeenUntil.Sub(later(r.WatchedSince, r.OrderedAt)) >= lasting
}

// mustSeeOrders reports whether this host needs to read the platform itself, to observe whether other hosts order backend servers.
func (s *State) mustSeeOrders(now time.Time) bool {
	return s.votersKnown() && !s.reachesMajority() && slices.ContainsFunc(s.voterHosts(now), func(id string) bool {
		h, ok := s.Hosts[id]
		return ok && now.Sub(h.LastHeartbeatAt) >= voterTimeout-orderlessFor
	})
}

// watched records that this host has read the platform or has failed to.
func (s *State) watched(now time.Time, e PlatformRead) {
	r := &s.Membership
	if e.Failed || now.Sub(r.WatchedAt) >= watchGap {
		r.WatchedSince = time.Time{}
	}
	if e.Failed {
		return
	}
	r.WatchedAt = now
	r.SeenUntil = later(r.SeenUntil, formedAt(now, e))
	if r.WatchedSince.IsZero() {
		r.WatchedSince = now
	}
}

// noteResidency records that a backend server has carried out an order: two entries from the same start of the server differ in the models
// or adapters that it holds, which only orders change.
func (s *State) noteResidency(now time.Time, former, info cataloguer.Backend) {
	if s.votersKnown() && s.reachesMajority() {
		return
	}
	if former.StartedUnixMs == info.StartedUnixMs && !reflect.DeepEqual(former.Models, info.Models) {
		s.Membership.OrderedAt = now
	}
}

// bootstrap makes this host and all reachable hosts voters.
func bootstrap(s *State, now time.Time) {
	for _, id := range s.reachableHosts(now) {
		if h, ok := s.Hosts[id]; ok {
			s.addVoter(now, h)
		}
	}
	becomeVoter(s, now)
	learnVoters(s, now, s.Self.HostID, s.bootstrapTerm(now))
}
