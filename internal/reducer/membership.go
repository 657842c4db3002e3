package reducer

import (
	"math/bits"
	"time"

	"github.com/redwingpick/redwingpick/internal/hasher"
)

// Membership is this host's part in the set of hosts that vote on leases; the seats of the others stand in their records.
//
// A host that has started takes no part until it has settled: it learns the seats from a host that knows them, or founds the roster
// anew where no host knows of any. Seats belong to names of hosts, so a host that restarts keeps its own.
type Membership struct {
	// VotersKnownAt is when this host learned who votes; zero before.
	VotersKnownAt time.Time
	// Voter is set while this host votes.
	Voter bool
	// PromoteAt is when this host, as a new one, takes a seat; zero if it seeks none.
	PromoteAt time.Time
	// PromotedAt is when this host, as a new one, took a seat that was not there before.
	PromotedAt time.Time
	// MajoritySince is since when this host has heard of most of the hosts that vote: since its start if it did when it settled; zero
	// while it does not.
	MajoritySince time.Time
	// HostDiscoveredAt is when a host was last heard of for the first time.
	HostDiscoveredAt time.Time
	// Term is the least term of a new lease at the time TermAt; it grows with time.
	Term   int64
	TermAt time.Time
	// SeenUntil is the time up to which this host's reads of the platform tell what had been published.
	SeenUntil time.Time
	// WatchedSince is since when this host has read the platform itself without a failure; zero if its last read failed.
	WatchedSince time.Time
	// WatchedAt is when it last did.
	WatchedAt time.Time
	// OrderedAt is when the platform last told that a backend server has carried out an order.
	OrderedAt time.Time
}

// Times of the roster.
const (
	// admitAfter is how long a new host hears of most of the roster before it seeks a seat.
	admitAfter = 10 * time.Second
	// leaverFor is how much longer than any other a host that leaves may be silent until it has restarted and is heard of again.
	leaverFor = 3 * time.Second
	// propagationRounds is the least number of rounds of gossip in which news reaches all hosts.
	propagationRounds = 2
)

// votersKnown reports whether this host knows who votes.
func (s *State) votersKnown() bool { return !s.Membership.VotersKnownAt.IsZero() }

// propagationDelay is the time in which gossip brings news to all hosts.
func (s *State) propagationDelay() time.Duration {
	rounds := propagationRounds
	if len(s.Hosts) >= smallFleet {
		rounds += bits.Len(uint(len(s.Hosts)))
	}
	return time.Duration(rounds) * s.gossipPause()
}

// shareCount is the number of hosts among which is divided what all of them may use together: those heard of lately or those that vote,
// whichever are more. A host that does not know who votes takes that there are at least as many as its seeds name.
func (s *State) shareCount(now time.Time) int {
	shares := max(len(s.recentHosts(now)), len(s.voterHosts(now)), 1)
	if !s.votersKnown() {
		shares = max(shares, len(s.Self.Seeds))
	}
	return shares
}

// stableAfter is how long a host must have heard of most of the roster for its word on a new holder to count: until all leases that it
// may not know of, or has forgotten, have ended, and all hosts have heard of it.
func (s *State) stableAfter() time.Duration { return max(s.grantDuration(), s.propagationDelay()) }

// promotionDelay is how long a new host tells of its seat before it takes it: so long that all who hear of each other have heard of it, and that a
// lost majority is noticed.
func (s *State) promotionDelay() time.Duration { return s.stableAfter() + s.suspectAfter() }

// maySeekLeases reports whether this host has known the roster, and heard of most of it, for long enough to seek leases.
func (s *State) maySeekLeases(now time.Time) bool {
	r := s.Membership
	return s.votersKnown() && s.reachesMajority() && now.Sub(r.VotersKnownAt) >= s.propagationDelay() && now.Sub(r.MajoritySince) >= s.stableAfter()
}

// mayGrantToNewHolder reports whether this host, as a voter, may back another holder than before.
func (s *State) mayGrantToNewHolder(now time.Time) bool {
	return s.maySeekLeases(now) && now.Sub(s.Membership.PromotedAt) >= s.stableAfter()
}

// reachesMajority reports whether this host hears of most of the hosts that vote.
func (s *State) reachesMajority() bool { return !s.Membership.MajoritySince.IsZero() }

// tickMembership follows who is heard of, and takes this host and new ones into the roster.
func tickMembership(s *State, now time.Time) {
	s.indexHosts(now)
	followMajority(s, now)
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

// followMajority notes since when most of the roster is heard of.
func followMajority(s *State, now time.Time) {
	heard := 0
	for _, id := range s.Index.Voters {
		if id == s.Self.HostID || s.reachable(now, id) {
			heard++
		}
	}
	most := 2*heard > len(s.Index.Voters)
	if most == s.reachesMajority() {
		return
	}
	s.Membership.MajoritySince = time.Time{}
	if most {
		s.Membership.MajoritySince = now
	}
	s.logEvent(EventMajorityChanged, boolField("heard", most), intField("heard_hosts", heard), intField("seats", len(s.Index.Voters)))
}

// promoteHosts gives a seat to the other hosts whose time has come.
//
// Hosts do so at the same time for all hosts that have heard of them. A host that has not heard of most of the roster since they told
// of it gives them none: on the lesser side of a partition new hosts would make up a majority.
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

// seekPromotion makes this host, as a new one, tell of its seat and take it when its time has come.
func seekPromotion(s *State, now time.Time) {
	r := &s.Membership
	switch {
	case r.Voter || s.Draining.Active:
	case r.PromoteAt.IsZero():
		if s.reachedMajoritySince(now.Add(-admitAfter)) && now.Sub(r.VotersKnownAt) >= admitAfter {
			r.PromoteAt = now.Add(s.promotionDelay())
		}
	case !now.Before(r.PromoteAt):
		if s.reachedMajorityDuringPromotion(r.PromoteAt) {
			r.PromotedAt = now
			becomeVoter(s, now)
		}
		r.PromoteAt = time.Time{}
	}
}

// reachedMajorityDuringPromotion reports whether this host has heard of most of the roster since a new host told that it takes a seat at a time.
func (s *State) reachedMajorityDuringPromotion(seatAt time.Time) bool {
	return s.reachedMajoritySince(seatAt.Add(-s.promotionDelay()))
}

func (s *State) reachedMajoritySince(at time.Time) bool {
	return s.reachesMajority() && !s.Membership.MajoritySince.After(at)
}

// addVoter counts another host among those that vote.
func (s *State) addVoter(now time.Time, h *Host) {
	h.Record.Voter = true
	h.ChangedAt = now
	s.hostsChanged()
}

// becomeVoter gives this host a seat.
func becomeVoter(s *State, now time.Time) {
	if s.Membership.Voter {
		return
	}
	s.Membership.Voter = true
	s.hostsChanged()
	s.logEvent(EventBecameVoter, intField("known_hosts", len(s.Hosts)), msField("up_ms", s.age(now)))
}

// evictVoter takes a host off the roster that has been silent for long: its last word to a claimant is over, so quorums from before
// meet those from after.
func evictVoter(s *State, now time.Time, id string, h *Host) {
	if !h.Record.Voter || !s.shouldEvict(now, h) {
		return
	}
	h.Record.Voter = false
	h.EvictedIncarnation = h.Record.Incarnation
	s.hostsChanged()
	s.logEvent(EventVoterEvicted, Field{"peer", id}, ageField("heard_age_ms", now, h.LastHeartbeatAt), boolField("leaving", h.Record.Draining),
		boolField("heard_most", s.reachesMajority()))
}

// shouldEvict reports whether a silent host loses its seat. A host that hears of most of the roster takes others off: soon those that said that
// they leave, and later those of whom the platform has confirmed that this host is not cut off from it as well. A host that does not
// hear of most may be on the lesser side of a partition; it does so only while the platform shows that nobody orders backend servers.
func (s *State) shouldEvict(now time.Time, h *Host) bool {
	silent := now.Sub(h.LastHeartbeatAt)
	if h.Record.Draining && s.reachesMajority() && silent >= s.suspectAfter()+leaverFor {
		return true
	}
	if silent < voterTimeout || s.Watch.ConfirmedAt.Before(h.LastHeartbeatAt.Add(voterTimeout)) {
		return false
	}
	return s.reachesMajority() || s.sawNoOrders(now, orderlessFor)
}

// learnVoters makes this host take part, with what it has learned from a host that knows the roster; term is the least for a lease now.
func learnVoters(s *State, now time.Time, from string, term int64) {
	if s.votersKnown() {
		return
	}
	s.Membership.VotersKnownAt = now
	s.Membership.Term, s.Membership.TermAt = term, now
	s.hostsChanged()
	s.indexHosts(now)
	followMajority(s, now)
	if s.reachesMajority() {
		s.Membership.MajoritySince = s.Self.StartedAt
	}
	s.logEvent(EventVotersKnown, Field{"peer", from}, intField("seats", len(s.voterHosts(now))), intField("known_hosts", len(s.Hosts)),
		msField("up_ms", s.age(now)))
}

// sendMembership answers a host that has not settled with all that this host knows of others.
func sendMembership(s *State, now time.Time, to string) {
	for _, r := range s.gossipTable(now) {
		s.send(to, r)
	}
	s.send(to, MembershipReply{VotersKnown: s.votersKnown(), Term: s.firstTerm(now)})
}

// receiveMembership takes the end of such an answer.
func receiveMembership(s *State, now time.Time, from string, m MembershipReply) {
	if m.VotersKnown {
		learnVoters(s, now, from, m.Term)
	}
}

// votersDigest is a number that two hosts have alike if they take the same hosts for the voters on a backend server.
func votersDigest(ids []string) uint32 {
	digest := uint64(len(ids))
	for _, id := range ids {
		digest = hasher.Mix(digest ^ hasher.Key(id))
	}
	return uint32(digest)
}
