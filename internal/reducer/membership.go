package reducer

import (
	"math/bits"
	"time"

	"github.com/redwingpick/redwingpick/internal/hasher"
)

// Membership is this host's part in the voter set, the hosts that vote on leases; whether another host is a voter is in its record.
//
// A host that has started neither votes nor claims leases until it knows the voter set: it receives the set from a host that knows it, or
// bootstraps a new one if no host knows any. Membership of the voter set belongs to the host ID, so a host that restarts stays a voter.
type Membership struct {
	// VotersKnownAt is when the voter set became known to this host; zero before.
	VotersKnownAt time.Time
	// Voter is set while this host is a voter.
	Voter bool
	// PromoteAt is when this host, as a new one, becomes a voter; zero if it seeks no promotion.
	PromoteAt time.Time
	// PromotedAt is when this host, as a new one, was promoted to voter.
	PromotedAt time.Time
	// MajoritySince is the time since which this host has reached a majority of the voters. It is the start of the host if the host reached
	// a majority when the voter set became known, and zero while the host does not reach one.
	MajoritySince time.Time
	// HostDiscoveredAt is when this host last received the record of a host that it had not known.
	HostDiscoveredAt time.Time
	// Term is the lowest term of a new lease at the time TermAt; it grows with time.
	Term   int64
	TermAt time.Time
	// HolderKnownUntil is until when some host of the voter set is known to have held a lease just before.
	HolderKnownUntil time.Time
	// ConfigReadUpTo is the time up to which this host's reads of the configuration service cover all that had been published.
	ConfigReadUpTo time.Time
	// ConfigReadsSince is the time since which this host has read the configuration service itself without a failure; zero if its last
	// read failed.
	ConfigReadsSince time.Time
	// ConfigReadAt is when this host last read the configuration service itself.
	ConfigReadAt time.Time
	// OrderSeenAt is when the configuration service last showed that a backend server had carried out an order.
	OrderSeenAt time.Time
}

// Durations and bounds of changes to the voter set.
const (
	// seekPromotionAfter is how long a new host must have reached a majority of the voters before it seeks promotion.
	seekPromotionAfter = 10 * time.Second
	// drainingEvictionDelay is the time from when a draining voter becomes unreachable to its eviction: the time to restart and to be
	// reachable again.
	drainingEvictionDelay = 3 * time.Second
	// propagationRounds is the least number of gossip rounds in which an update reaches all hosts.
	propagationRounds = 2
)

// votersKnown reports whether this host knows the voter set.
func (s *State) votersKnown() bool { return !s.Membership.VotersKnownAt.IsZero() }

// propagationDelay returns the time in which gossip brings an update to all hosts.
func (s *State) propagationDelay() time.Duration {
	rounds := propagationRounds
	if len(s.Hosts) >= smallFleet {
		rounds += bits.Len(uint(len(s.Hosts)))
	}
	return time.Duration(rounds) * s.roundInterval()
}

// shareCount returns the number of hosts among which fleet-wide limits are divided: the recent hosts or the voters, whichever are more. A
// host that does not know the voter set assumes at least as many hosts as it has seeds.
func (s *State) shareCount(now time.Time) int {
	shares := max(len(s.recentHosts(now)), len(s.voterHosts(now)), 1)
	if !s.votersKnown() {
		shares = max(shares, len(s.Self.Seeds))
	}
	return shares
}

// stableAfter returns how long a host must have reached a majority of the voters before it may claim a lease or grant one to a new holder:
// until all lease grants that it may not know of or may have lost have expired, and all hosts have received its record.
func (s *State) stableAfter() time.Duration { return max(s.grantDuration(), s.propagationDelay()) }

// promotionDelay returns how long a new host announces its promotion before it becomes a voter: long enough for all hosts that reach each
// other to receive the announcement, and for a lost majority to be noticed.
func (s *State) promotionDelay() time.Duration { return s.stableAfter() + s.suspectAfter() }

// maySeekLeases reports whether this host has known the voter set, and reached a majority of it, for long enough to claim leases.
func (s *State) maySeekLeases(now time.Time) bool {
	m := s.Membership
	return s.votersKnown() && s.reachesMajority() &&
		now.Sub(m.VotersKnownAt) >= s.propagationDelay() && now.Sub(m.MajoritySince) >= s.stableAfter()
}

// ordersIn returns the time until some host may order a backend server that has no lease holder, after a start of all hosts: until leases are
// claimed and the holder has read the server's report. It is 0 if the server has a holder or the time has passed; the
// holder itself knows when a server that names a limit takes its next order.
func (s *State) ordersIn(now time.Time, backend string) time.Duration {
	switch s.holderOf(now, backend) {
	case "":
	case s.Self.HostID:
		return s.controlOpensIn(now, s.Backends[backend])
	default:
		return 0
	}
	votersKnownAt := s.Membership.VotersKnownAt
	if !s.votersKnown() {
		votersKnownAt = later(now, s.Self.StartedAt.Add(bootstrapAfter))
	}
	return max(votersKnownAt.Add(s.propagationDelay()+reportLag).Sub(now), 0)
}

// mayGrantToNewHolder reports whether this host, as a voter, may grant a lease to another holder than before.
func (s *State) mayGrantToNewHolder(now time.Time) bool {
	return s.maySeekLeases(now) && now.Sub(s.Membership.PromotedAt) >= s.stableAfter()
}

// reachesMajority reports whether this host reaches a majority of the voters.
func (s *State) reachesMajority() bool { return !s.Membership.MajoritySince.IsZero() }

// tickMembership updates whether this host reaches a majority of the voters, bootstraps the voter set if needed, and promotes this host and
// other new hosts to voters.
func tickMembership(s *State, now time.Time) {
	s.indexHosts(now)
	updateMajority(s, now)
	if s.votersKnown() && len(s.Index.Voters) == 0 {
		s.Membership.VotersKnownAt = time.Time{}
	}
	if !s.votersKnown() {
		if s.mayBootstrap(now) {
			bootstrap(s, now)
		}
		return
	}
	promoteHosts(s, now)
	seekPromotion(s, now)
}

// updateMajority updates the time since which this host has reached a majority of the voters.
func updateMajority(s *State, now time.Time) {
	reachable := 0
	for _, id := range s.Index.Voters {
		if id == s.Self.HostID || s.reachable(now, id) {
			reachable++
		}
	}
	majority := 2*reachable > len(s.Index.Voters)
	if majority == s.reachesMajority() {
		return
	}
	s.Membership.MajoritySince = time.Time{}
	if majority {
		s.Membership.MajoritySince = now
	}
	s.logEvent(EventMajorityChanged, boolField("heard", majority), intField("heard_hosts", reachable), intField("seats", len(s.Index.Voters)))
}

// promoteHosts makes the other hosts voters whose promotion is due.
//
// All hosts that received the announcement do this at the same time. A host that has not reached a majority of the voters ever since the
// announcement promotes none: on the minority side of a partition new hosts could otherwise make up a majority.
func promoteHosts(s *State, now time.Time) {
	for _, h := range s.Hosts {
		if h.PromoteAt.IsZero() || now.Before(h.PromoteAt) {
			continue
		}
		if s.reachedMajorityDuringPromotion(h.PromoteAt) {
			s.addVoter(now, h)
		}
		h.PromoteAt = time.Time{}
	}
}

// seekPromotion makes this host, as a new one, announce its promotion and become a voter when the promotion is due.
func seekPromotion(s *State, now time.Time) {
	m := &s.Membership
	switch {
	case m.Voter || s.Draining.Active:
	case m.PromoteAt.IsZero():
		if s.reachedMajoritySince(now.Add(-seekPromotionAfter)) && now.Sub(m.VotersKnownAt) >= seekPromotionAfter {
			m.PromoteAt = now.Add(s.promotionDelay())
		}
	case !now.Before(m.PromoteAt):
		if s.reachedMajorityDuringPromotion(m.PromoteAt) {
			m.PromotedAt = now
			becomeVoter(s, now)
		}
		m.PromoteAt = time.Time{}
	}
}

// reachedMajorityDuringPromotion reports whether this host has reached a majority of the voters ever since a new host announced its
// promotion for the given time.
func (s *State) reachedMajorityDuringPromotion(promoteAt time.Time) bool {
	return s.reachedMajoritySince(promoteAt.Add(-s.promotionDelay()))
}

// reachedMajoritySince reports whether this host has reached a majority of the voters ever since the given time.
func (s *State) reachedMajoritySince(at time.Time) bool {
	return s.reachesMajority() && !s.Membership.MajoritySince.After(at)
}

// addVoter makes another host a voter.
func (s *State) addVoter(now time.Time, h *Host) {
	h.Record.Voter = true
	h.ChangedAt = now
	s.invalidateHostIndex()
}

// becomeVoter makes this host a voter.
func becomeVoter(s *State, now time.Time) {
	if s.Membership.Voter {
		return
	}
	s.Membership.Voter = true
	s.invalidateHostIndex()
	s.logEvent(EventBecameVoter, intField("known_hosts", len(s.Hosts)), msField("up_ms", s.uptime(now)))
}

// evictVoter removes a host from the voter set that has been unreachable for long. Its last lease grants have expired by then, so quorums
// from before the eviction intersect with those from after it.
func evictVoter(s *State, now time.Time, id string, h *Host) {
	if !h.Record.Voter || !s.shouldEvict(now, h) {
		return
	}
	h.Record.Voter = false
	h.EvictedIncarnation = h.Record.Incarnation
	s.invalidateHostIndex()
	s.logEvent(EventVoterEvicted, Field{"peer", id}, ageField("heard_age_ms", now, h.LastHeartbeatAt), boolField("leaving", h.Record.Draining),
		boolField("heard_most", s.reachesMajority()))
}

// shouldEvict reports whether an unreachable voter is evicted. A host that reaches a majority of the voters evicts draining hosts soon, and
// others after voterTimeout, once a later confirmation by the configuration service shows that this host is not cut off from that service
// as well. A host that does not reach a majority may be on the minority side of a partition; it evicts only while the configuration service
// shows that no host orders backend servers.
func (s *State) shouldEvict(now time.Time, h *Host) bool {
	heartbeatAge := now.Sub(h.LastHeartbeatAt)
	if h.Record.Draining && s.reachesMajority() && heartbeatAge >= s.suspectAfter()+drainingEvictionDelay {
		return true
	}
	if heartbeatAge < voterTimeout || s.Watch.ConfirmedAt.Before(h.LastHeartbeatAt.Add(voterTimeout)) {
		return false
	}
	return s.reachesMajority() || s.observedNoOrders(now, noOrdersPeriod)
}

// learnVoters records that this host knows the voter set: the host records that it has received from a host that knows the set, or has
// changed itself in a bootstrap, name the voters. The term is the lowest one for a lease now.
func learnVoters(s *State, now time.Time, from string, term int64) {
	if s.votersKnown() {
		return
	}
	s.Membership.VotersKnownAt = now
	s.Membership.Term, s.Membership.TermAt = term, now
	s.recordHolder(now.Add(s.propagationDelay()))
	s.invalidateHostIndex()
	s.indexHosts(now)
	updateMajority(s, now)
	if s.reachesMajority() {
		s.Membership.MajoritySince = s.Self.StartedAt
	}
	s.logEvent(EventVotersKnown, Field{"peer", from}, intField("seats", len(s.voterHosts(now))), intField("known_hosts", len(s.Hosts)),
		msField("up_ms", s.uptime(now)))
}

// sendMembership replies to a host that does not know the voter set with all host records that this host has. Hosts that do not know the
// voter set receive each other's records through their heartbeat tables.
func sendMembership(s *State, now time.Time, to string) {
	if h, ok := s.Hosts[to]; ok && h.Record.Datagrams && !s.votersKnown() {
		return
	}
	for _, r := range s.hostRecords(now) {
		s.send(to, r)
	}
	s.send(to, MembershipReply{VotersKnown: s.votersKnown(), Term: s.currentTerm(now)})
}

// receiveMembershipReply handles the end of a reply to a MembershipRequest, after the host records.
func receiveMembershipReply(s *State, now time.Time, from string, m MembershipReply) {
	if m.VotersKnown {
		learnVoters(s, now, from, m.Term)
	}
}

// votersDigest returns a number that is equal on two hosts if they have the same voters for a backend server.
func votersDigest(ids []string) uint32 {
	digest := uint64(len(ids))
	for _, id := range ids {
		digest = hasher.Mix(digest ^ hasher.Key(id))
	}
	return uint32(digest)
}
