package reducer

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/redwingpick/redwingpick/internal/hasher"
)

// grantDuration returns how long a voter's grant lasts after a request: at least the holder's lease, and long enough that a host that loses
// the lease to another host and regains it cannot do so within OrderLeaseDuration.
func (s *State) grantDuration() time.Duration {
	return max(leaseDuration, s.Limits.OrderLeaseDuration/2) + leaseMargin
}

// votersOf returns the hosts that vote on the lease of a backend server, and the size of a quorum of them.
//
// Any two quorums of one set of voters intersect, and a voter grants a lease to a new holder only if the holder's claim goes to the same
// set of voters as the voter's own.
func (s *State) votersOf(now time.Time, backend string) (ids []string, quorum int) {
	hosts := s.voterHosts(now)
	if len(hosts) <= leaseVoters {
		return hosts, len(hosts)/2 + 1
	}
	return s.ranked(now, rankKey{Voting: true, Key: leaseGroup(backend)}, leaseVoters), leaseQuorum
}

// leaseGroup returns the group of a backend server. All backend servers of a group have the same voters and the same preferred holder, so
// that the claims of a holder share an envelope.
func leaseGroup(backend string) string {
	return "lease/" + strconv.FormatUint(hasher.Key(backend)%leaseGroups, 10)
}

// holdsLease reports whether this host holds the lease of an engine at time now. A server whose entry was dropped, or whose service is none that
// runs models, has no lease, although its record stays until the next round of gossip.
func (s *State) holdsLease(now time.Time, backend string) bool {
	l, ok := s.Leases[backend]
	if !ok || !now.Before(l.ValidUntil) {
		return false
	}
	b, ok := s.Backends[backend]
	return ok && s.isEngine(b)
}

// tickLeases claims, renews and releases leases in each round of gossip, and issues the orders that are due.
func tickLeases(s *State, now time.Time) {
	if s.Gossip.ClaimedHeartbeat != s.Gossip.Heartbeat {
		s.Gossip.ClaimedHeartbeat = s.Gossip.Heartbeat
		tickClaims(s, now)
	}
	for _, id := range sortedKeys(s.Leases) {
		if s.holdsLease(now, id) {
			tickInventory(s, now, id, s.Leases[id])
		}
	}
}

// tickClaims sends all claims of one round, in one message to each voter.
func tickClaims(s *State, now time.Time) {
	claims := map[string][]Claim{}
	for _, id := range s.engineIDs() {
		tickLease(s, now, id, claims)
	}
	for id := range s.Leases {
		if b, ok := s.Backends[id]; !ok || !s.isEngine(b) {
			delete(s.Leases, id)
		}
	}
	sent := s.uptime(now)
	for _, host := range sortedKeys(claims) {
		s.send(host, LeaseRequest{SentAtUptime: sent, Claims: claims[host]})
	}
}

// tickLease drops the lease of one backend server if it has ended, and otherwise claims or renews it if this host may. It adds to
// claims, by voter, what it has to send.
func tickLease(s *State, now time.Time, backend string, claims map[string][]Claim) {
	l, ok := s.Leases[backend]
	if ok && !l.HeldSince.IsZero() && !now.Before(l.ValidUntil) {
		loseLease(s, backend, l)
		return
	}
	if !ok || l.HeldSince.IsZero() {
		if !s.mayClaim(now, backend) {
			abandonClaim(s, now, backend, l)
			return
		}
	}
	if l == nil {
		l = &Lease{Votes: map[string]time.Duration{}, ClaimedAtUptime: s.uptime(now), Inventory: newInventory()}
		s.Leases[backend] = l
	}
	// Renewals are sent with every second round of gossip; in a small fleet they share its envelopes.
	if s.Gossip.Heartbeat%renewalRounds != 0 && !l.RequestedAt.IsZero() {
		return
	}
	l.RequestedAt = now
	claimLease(s, now, backend, l, claims)
}

// mayClaim reports whether this host is the one to claim the lease of a backend server that no host holds.
func (s *State) mayClaim(now time.Time, backend string) bool {
	if s.Draining.Active || s.Documents.Catalogue == nil || !s.maySeekLeases(now) || !s.noOtherVoterSet(now) ||
		s.holderOf(now, backend) != "" {
		return false
	}
	ranked := s.ranked(now, rankKey{Key: leaseGroup(backend)}, 1)
	return len(ranked) > 0 && ranked[0] == s.Self.HostID
}

// claimLease adds a claim or a renewal for each voter to claims, and records the vote of this host if it is one of the voters.
func claimLease(s *State, now time.Time, backend string, l *Lease, claims map[string][]Claim) {
	if l.Term == 0 {
		l.Term = s.currentTerm(now)
	}
	sent := s.uptime(now)
	ids, _ := s.votersOf(now, backend)
	claim := Claim{Backend: backend, Term: l.Term, Renewal: s.holdsLease(now, backend)}
	if !claim.Renewal {
		claim.VotersDigest = votersDigest(ids)
		l.restartClaim(sent, claim.VotersDigest)
	}
	for _, id := range ids {
		if id != s.Self.HostID {
			claims[id] = append(claims[id], claim)
			continue
		}
		vote := s.vote(now, s.Self.HostID, s.Self.Incarnation, sent, claim)
		recordVote(s, now, s.Self.HostID, sent, vote)
	}
}

// restartClaim drops the votes for a claim if the claim goes to other voters than before.
func (l *Lease) restartClaim(sent time.Duration, digest uint32) {
	if l.VotersDigest == digest {
		return
	}
	l.VotersDigest = digest
	l.ClaimedAtUptime = sent
	clear(l.Votes)
}

// currentTerm returns the lowest term for a new claim. It grows with time, at the same rate on all hosts, and therefore exceeds the terms
// that voters may have lost.
func (s *State) currentTerm(now time.Time) int64 {
	return s.Membership.Term + now.Sub(s.Membership.TermAt).Milliseconds()/termStepMs
}

// advanceTerm raises the current term to a term that another host has sent. Hosts that bootstrap the voter set at the same time derive the
// first term from their own clocks, and a term that any voter may lose must not be ahead of the current term.
func (s *State) advanceTerm(now time.Time, term int64) {
	if s.votersKnown() && term > s.currentTerm(now) {
		s.Membership.Term, s.Membership.TermAt = term, now
	}
}

// bootstrapTerm returns the first term of a voter set that is bootstrapped now.
//
// The bootstrap term grows twice as fast as the time of day, and terms within a voter set grow once as fast. The terms of a later voter set
// therefore exceed those of an earlier one that all hosts have lost, even if the clocks were ahead at that time.
func (s *State) bootstrapTerm(now time.Time) int64 {
	return 2 * (s.Self.StartedUnixMs - termEpochMs + s.uptime(now).Milliseconds()) / termStepMs
}

func receiveLeaseReply(s *State, now time.Time, from string, m LeaseReply) {
	for _, v := range m.Votes {
		recordVote(s, now, from, m.SentAtUptime, v)
	}
}

// recordVote counts one vote. A refusal whose term is not below the claim's restarts the claim with a higher term.
func recordVote(s *State, now time.Time, from string, sent time.Duration, v Vote) {
	l, ok := s.Leases[v.Backend]
	if !ok || sent < l.ClaimedAtUptime {
		return
	}
	if !v.Granted {
		s.advanceTerm(now, v.Term)
		if v.Term >= l.Term && l.HeldSince.IsZero() {
			l.Term = v.Term + 1
			l.ClaimedAtUptime = s.uptime(now)
			clear(l.Votes)
		}
		return
	}
	l.Votes[from] = max(l.Votes[from], sent)
	l.HeldBefore = l.HeldBefore || v.HeldBefore
	extendLease(s, now, v.Backend, l)
}

// extendLease sets the end of the lease, counted from the time at which the requests to the quorum were sent.
func extendLease(s *State, now time.Time, backend string, l *Lease) {
	ids, quorum := s.votersOf(now, backend)
	if l.HeldSince.IsZero() && l.VotersDigest != votersDigest(ids) {
		return
	}
	var sent []time.Duration
	for _, id := range ids {
		if at, ok := l.Votes[id]; ok {
			sent = append(sent, at)
		}
	}
	if len(sent) < quorum {
		return
	}
	slices.Sort(sent)
	until := s.Self.StartedAt.Add(sent[len(sent)-quorum] + leaseDuration)
	if until.After(l.ValidUntil) {
		l.ValidUntil = until
	}
	if l.HeldSince.IsZero() && now.Before(l.ValidUntil) {
		acquireLease(s, now, backend, l)
	}
}

// acquireLease makes this host the holder. A host that has held the lease before sends no order for OrderLeaseDuration.
func acquireLease(s *State, now time.Time, backend string, l *Lease) {
	l.HeldSince = now
	l.Inventory = newInventory()
	if l.HeldBefore {
		l.Inventory.NextOrderAt = now.Add(s.Limits.OrderLeaseDuration)
	}
	s.Counters.LeasesAcquired++
	ids, quorum := s.votersOf(now, backend)
	s.logEvent(EventLeaseAcquired, Field{"backend_server", backend}, intField("term", int(l.Term)),
		intField("known_hosts", len(s.Hosts)), Field{"voters", strings.Join(ids, ",")}, intField("quorum", quorum),
		Field{"backed_by", strings.Join(sortedKeys(l.Votes), ",")}, boolField("held_before", l.HeldBefore), msField("up_ms", s.uptime(now)))
}

// fence returns the fence of a new holder's orders, which exceeds those of all earlier holders.
//
// Within a voter set the term alone would do. Where all hosts have lost their terms and their clocks were ahead at the time, the server still knows
// more: it has accepted orders since the earlier holder took its fence. A server that starts anew counts from 0, so its start counts for as many orders as
// it can have accepted before.
func (s *State) fence(term, startedUnixMs, acceptedOrders int64) int64 {
	started := max(startedUnixMs-termEpochMs, 0) / time.Second.Milliseconds() * maxOrderRate
	return (term+(started+acceptedOrders)*termStepsPerOrder)<<fenceBits | int64(hasher.Key(s.Self.HostID)&(1<<fenceBits-1))
}

func loseLease(s *State, backend string, l *Lease) {
	s.Counters.LeasesLost++
	s.logEvent(EventLeaseLost, Field{"backend_server", backend}, intField("term", int(l.Term)))
	delete(s.Leases, backend)
}

// abandonClaim gives up a claim that was never held, so that the voters may grant the lease to another host.
func abandonClaim(s *State, now time.Time, backend string, l *Lease) {
	if l == nil {
		return
	}
	delete(s.Leases, backend)
	s.sendLeaseRelease(now, []string{backend})
}

// releaseLeases releases all leases and claims of this host.
func releaseLeases(s *State, now time.Time) {
	ids := sortedKeys(s.Leases)
	if len(ids) == 0 {
		return
	}
	clear(s.Leases)
	s.sendLeaseRelease(now, ids)
}

func (s *State) sendLeaseRelease(now time.Time, backends []string) {
	for _, id := range s.voterHosts(now) {
		s.send(id, LeaseRelease{SentAtUptime: s.uptime(now), Backends: backends})
	}
	releaseLeaseGrants(s, now, s.Self.HostID, s.Self.Incarnation, LeaseRelease{SentAtUptime: s.uptime(now), Backends: backends})
}
