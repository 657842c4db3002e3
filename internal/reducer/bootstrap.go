package reducer

import (
	"reflect"
	"slices"
	"time"

	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// Times of founding the roster.
const (
	// bootstrapAfter is the age from which a host that finds no roster may found one.
	bootstrapAfter = 1500 * time.Millisecond
	// bootstrapQuietRounds is the number of rounds of gossip without a new host that must pass before.
	bootstrapQuietRounds = 2
	// bootstrapWithoutSeedsAfter is the age from which a host may do so that does not hear of all seeds.
	bootstrapWithoutSeedsAfter = 7 * time.Second
	// orderlessFor is how long a host must have seen that no backend server is being ordered to take the hosts that it does not hear of for
	// gone, and orderlessAtStart to found a roster with all seeds. Entries of backend servers follow their orders within a heartbeat.
	orderlessFor     = 5 * time.Second
	orderlessAtStart = 1500 * time.Millisecond
	// watchGap is the longest pause between two reads of the platform that count as one stretch.
	watchGap = 1500 * time.Millisecond
)

// mayBootstrap reports whether this host may found the roster: nobody has told it of one, it has heard of no new host lately, it hears of all
// seeds, and the platform shows that nobody orders backend servers. No two sides of a partition can both hear of all seeds, but hosts that
// restart on one side may know nothing of the other. Without all seeds the host watches the platform for longer, and where it knows of
// hosts with seats it waits until a partition would be over.
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

// isolated reports whether this host knows no other although its seeds say that there are some; it may then be cut off.
func (s *State) isolated() bool {
	others := slices.ContainsFunc(s.Self.Seeds, func(address string) bool { return address != s.Self.PeerAddress })
	return others && len(s.Hosts) == 0
}

func (s *State) hearsSeeds(now time.Time) bool {
	return !slices.ContainsFunc(s.Self.Seeds, func(address string) bool {
		return address != s.Self.PeerAddress && !s.knowsAddress(now, address)
	})
}

// sawNoOrders reports whether this host has read the platform for as long as given and found that no backend server carries out orders.
func (s *State) sawNoOrders(now time.Time, lasting time.Duration) bool {
	r := s.Membership
	return !r.WatchedSince.IsZero() && now.Sub(r.WatchedAt) < watchGap && r.SeenUntil.Sub(later(r.WatchedSince, r.OrderedAt)) >= lasting
}

// mustSeeOrders reports whether this host needs to read the platform itself, to see whether others order backend servers.
func (s *State) mustSeeOrders(now time.Time) bool {
	return s.votersKnown() && !s.reachesMajority() && slices.ContainsFunc(s.voterHosts(now), func(id string) bool {
		h, ok := s.Hosts[id]
		return ok && now.Sub(h.LastHeartbeatAt) >= voterTimeout-orderlessFor
	})
}

// watched notes that this host has read the platform, or has failed to.
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

// noteResidency notes that two entries of one start of a backend server differ in what it holds, which orders alone change.
func (s *State) noteResidency(now time.Time, former, info cataloguer.Backend) {
	if s.votersKnown() && s.reachesMajority() {
		return
	}
	if former.StartedUnixMs == info.StartedUnixMs && !reflect.DeepEqual(former.Models, info.Models) {
		s.Membership.OrderedAt = now
	}
}

// bootstrap gives all hosts that are heard of a seat.
func bootstrap(s *State, now time.Time) {
	for _, id := range s.reachableHosts(now) {
		if h, ok := s.Hosts[id]; ok {
			s.addVoter(now, h)
		}
	}
	becomeVoter(s, now)
	learnVoters(s, now, s.Self.HostID, s.bootstrapTerm(now))
}
