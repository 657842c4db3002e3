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
	// bootstrapToOrders is the time from a bootstrap to the first order that others can see, beside the time in which records reach all hosts.
	bootstrapToOrders = 2 * time.Second
	// noOrdersPeriod is how long a host must have observed no orders to backend servers before it acts without the hosts that it does not
	// reach: before it evicts them without a majority, or bootstraps a voter set without them. noOrdersBootstrapPeriod is how long before
	// any bootstrap. A backend server shows the effect of an order in its published entry within one of its heartbeats.
	noOrdersPeriod          = 5 * time.Second
	noOrdersBootstrapPeriod = 1500 * time.Millisecond
	// maxReadGap is the longest pause between two reads of the configuration service that count as one uninterrupted observation.
	maxReadGap = 1500 * time.Millisecond
)

// mayBootstrap reports whether this host may bootstrap the voter set: it has received none, it has discovered no host recently, it reaches
// all seeds, and it observes that no host orders backend servers. No two sides of a partition can both reach all seeds, but hosts that restart on one
// side may have no record of the other side. Without all seeds, or if it knows of voters, the host observes for longer.
func (s *State) mayBootstrap(now time.Time) bool {
	quiet := now.Sub(later(s.Self.StartedAt, s.Membership.HostDiscoveredAt))
	switch {
	case s.Draining.Active || s.isolated():
		return false
	case s.uptime(now) < bootstrapAfter || quiet < bootstrapQuietRounds*s.roundInterval() || !s.observedNoOrders(now, noOrdersBootstrapPeriod):
		return false
	case len(s.voterHosts(now)) == 0 && s.reachesSeeds(now):
		return true
	}
	return s.uptime(now) >= s.bootstrapDelay(now) && s.observedNoOrders(now, noOrdersPeriod)
}

// bootstrapDelay returns the uptime from which this host may bootstrap without reaching all seeds. Sides of a partition on which all
// hosts restart would otherwise do so at the same time: only one of them reaches most seeds, and the others wait until they would see its orders.
func (s *State) bootstrapDelay(now time.Time) time.Duration {
	if 2*s.reachedSeeds(now) > len(s.Self.Seeds) {
		return bootstrapWithoutSeedsAfter
	}
	return bootstrapWithoutSeedsAfter + s.propagationDelay() + bootstrapToOrders
}

// isSeed reports whether the settings of this host name it as a seed.
func (s *State) isSeed() bool {
	return len(s.Self.Seeds) == 0 || slices.Contains(s.Self.Seeds, s.Self.PeerAddress)
}

// isolated reports whether this host knows no other host although its seeds name some; it may then be cut off.
func (s *State) isolated() bool {
	others := slices.ContainsFunc(s.Self.Seeds, func(address string) bool { return address != s.Self.PeerAddress })
	return others && len(s.Hosts) == 0
}

// reachesSeeds reports whether this host reaches all of its seeds.
func (s *State) reachesSeeds(now time.Time) bool { return s.reachedSeeds(now) == len(s.Self.Seeds) }

// reachedSeeds returns the number of seeds that this host reaches, itself included.
func (s *State) reachedSeeds(now time.Time) int {
	reached := 0
	for _, address := range s.Self.Seeds {
		if address == s.Self.PeerAddress || s.reachesAddress(now, address) {
			reached++
		}
	}
	return reached
}

// observedNoOrders reports whether the watched servers and this host's reads of the configuration service show no order for at least the given
// time.
func (s *State) observedNoOrders(now time.Time, period time.Duration) bool {
	m := s.Membership
	return s.serversSilent(now, period) && !m.ConfigReadsSince.IsZero() && now.Sub(m.ConfigReadAt) < maxReadGap &&
		m.ConfigReadUpTo.Sub(later(m.ConfigReadsSince, m.OrderSeenAt)) >= period
}

// mustObserveOrders reports whether this host needs to read the configuration service itself, to observe whether other hosts order backend
// servers: it does not reach a majority and will soon have to decide on evicting a voter.
func (s *State) mustObserveOrders(now time.Time) bool {
	return s.votersKnown() && !s.reachesMajority() && slices.ContainsFunc(s.voterHosts(now), func(id string) bool {
		h, ok := s.Hosts[id]
		return ok && now.Sub(h.LastHeartbeatAt) >= voterTimeout-noOrdersPeriod
	})
}

// recordConfigRead records that this host has read the configuration service or has failed to.
func (s *State) recordConfigRead(now time.Time, e ConfigRead) {
	m := &s.Membership
	if e.Failed || now.Sub(m.ConfigReadAt) >= maxReadGap {
		m.ConfigReadsSince = time.Time{}
	}
	if e.Failed {
		return
	}
	m.ConfigReadAt = now
	m.ConfigReadUpTo = later(m.ConfigReadUpTo, readAsOf(now, e))
	if m.ConfigReadsSince.IsZero() {
		m.ConfigReadsSince = now
	}
}

// recordObservedOrder records that a backend server has carried out an order: two entries from the same start of the server differ in the
// models or adapters that it holds, which only orders change.
func (s *State) recordObservedOrder(now time.Time, previous, info cataloguer.Backend) {
	if s.votersKnown() && s.reachesMajority() {
		return
	}
	if previous.StartedUnixMs == info.StartedUnixMs && !reflect.DeepEqual(previous.Models, info.Models) {
		s.Membership.OrderSeenAt = now
	}
}

// bootstrap makes this host and all reachable hosts the voter set.
func bootstrap(s *State, now time.Time) {
	for _, id := range s.reachableHosts(now) {
		if h, ok := s.Hosts[id]; ok {
			s.addVoter(now, h)
		}
	}
	becomeVoter(s, now)
	learnVoters(s, now, s.Self.HostID, s.bootstrapTerm(now))
}
