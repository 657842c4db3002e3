package reducer

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/redwingpick/redwingpick/internal/hasher"
)

// grantDuration is how long a voter backs a holder after a request: at least the holder's lease, and so long that a host which is
// followed by another and follows it again cannot do so within the time in which no two hosts may order by turns.
func (s *State) grantDuration() time.Duration {
	return max(leaseDuration, s.Limits.OrderLeaseDuration/2) + leaseMargin
}

// votersOf returns the hosts that vote on a backend server, and how many of them make a quorum.
//
// Any two quorums of one set of voters have a host in common, and voters back a new holder only if it asks the same set as theirs.
func (s *State) votersOf(now time.Time, backend string) (ids []string, quorum int) {
	members := s.voterHosts(now)
	if len(members) <= voters {
		return members, len(members)/2 + 1
	}
	return s.ranked(now, rankKey{Voting: true, Key: leaseGroup(backend)}, voters), largeQuorum
}

// leaseGroup names the group of a backend server, whose members have the same voters and the same first host in rank, so that a
// holder's claims for them share an envelope.
func leaseGroup(backend string) string {
	return "lease/" + strconv.FormatUint(hasher.Key(backend)%leaseGroups, 10)
}

// holds reports whether this host may order a backend server at the time now.
func (s *State) holds(now time.Time, backend string) bool {
	r, ok := s.Leases[backend]
	return ok && now.Before(r.ValidUntil)
}

// tickLeases seeks, renews and gives up leases at each round of gossip, and gives the orders that are due.
func tickLeases(s *State, now time.Time) {
	if s.Gossip.ClaimedHeartbeat != s.Gossip.Heartbeat {
		s.Gossip.ClaimedHeartbeat = s.Gossip.Heartbeat
		tickClaims(s, now)
	}
	for _, id := range sortedKeys(s.Leases) {
		if s.holds(now, id) {
			tickInventory(s, now, id, s.Leases[id])
		}
	}
}

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
	sent := s.age(now)
	for _, host := range sortedKeys(claims) {
		s.send(host, LeaseRequest{SentAt: sent, Claims: claims[host]})
	}
}

func tickLease(s *State, now time.Time, backend string, claims map[string][]Claim) {
	r, ok := s.Leases[backend]
	if ok && !r.HeldSince.IsZero() && !now.Before(r.ValidUntil) {
		loseLease(s, backend, r)
		return
	}
	if !ok || r.HeldSince.IsZero() {
		if !s.mayClaim(now, backend) {
			abandonClaim(s, now, backend, r)
			return
		}
	}
	if r == nil {
		r = &Lease{Votes: map[string]time.Duration{}, ClaimedAt: s.age(now), Inventory: newInventory()}
		s.Leases[backend] = r
	}
	// Renewals leave with every second round of gossip, whose envelopes they share in a small fleet.
	if s.Gossip.Heartbeat%leaseRounds != 0 && !r.AskedAt.IsZero() {
		return
	}
	r.AskedAt = now
	claimLease(s, now, backend, r, claims)
}

// mayClaim reports whether this host is the one that should seek a backend server that nobody orders.
func (s *State) mayClaim(now time.Time, backend string) bool {
	if s.Draining.Active || s.Documents.Catalogue == nil || !s.maySeekLeases(now) || s.holderOf(now, backend) != "" {
		return false
	}
	ranked := s.ranked(now, rankKey{Key: leaseGroup(backend)}, 1)
	return len(ranked) > 0 && ranked[0] == s.Self.HostID
}

func claimLease(s *State, now time.Time, backend string, r *Lease, claims map[string][]Claim) {
	if r.Term == 0 {
		r.Term = s.firstTerm(now)
	}
	sent := s.age(now)
	ids, _ := s.votersOf(now, backend)
	claim := Claim{Backend: backend, Term: r.Term, Renewal: s.holds(now, backend)}
	if !claim.Renewal {
		claim.VotersDigest = votersDigest(ids)
		r.restartClaim(sent, claim.VotersDigest)
	}
	for _, id := range ids {
		if id != s.Self.HostID {
			claims[id] = append(claims[id], claim)
			continue
		}
		vote := s.vote(now, s.Self.HostID, s.Self.Incarnation, sent, claim)
		takeVote(s, now, s.Self.HostID, sent, vote)
	}
}

// restartClaim drops the votes for a claim if it goes to other voters now.
func (r *Lease) restartClaim(sent time.Duration, voters uint32) {
	if r.VotersDigest == voters {
		return
	}
	r.VotersDigest = voters
	r.ClaimedAt = sent
	clear(r.Votes)
}

// firstTerm is the term that a host claims which knows of no other: it grows with time, alike on all hosts, and so past the terms
// that voters may have forgotten.
func (s *State) firstTerm(now time.Time) int64 {
	return s.Membership.Term + now.Sub(s.Membership.TermAt).Milliseconds()/termStepMs
}

// followClock sets the roster's clock forward to a term that another host has told: hosts that founded the roster at one time did so by their
// own times of day, and a term that any voter may forget must not be ahead of the clock.
func (s *State) followClock(now time.Time, term int64) {
	if s.votersKnown() && term > s.firstTerm(now) {
		s.Membership.Term, s.Membership.TermAt = term, now
	}
}

// bootstrapTerm is the first term of a roster that is founded now.
//
// It grows twice as fast as the time of day, and terms within a roster once: a later roster's terms pass those of one that all hosts
// have forgotten although the time of day may have been ahead then.
func (s *State) bootstrapTerm(now time.Time) int64 {
	return 2 * (s.Self.StartedUnixMs - termEpochMs + s.age(now).Milliseconds()) / termStepMs
}

func countVotes(s *State, now time.Time, from string, m LeaseReply) {
	for _, v := range m.Votes {
		takeVote(s, now, from, m.SentAt, v)
	}
}

// takeVote counts one vote; a refusal with a higher term raises the term of the next request.
func takeVote(s *State, now time.Time, from string, sent time.Duration, v Vote) {
	r, ok := s.Leases[v.Backend]
	if !ok || sent < r.ClaimedAt {
		return
	}
	if !v.Granted {
		s.followClock(now, v.Term)
		if v.Term >= r.Term && r.HeldSince.IsZero() {
			r.Term = v.Term + 1
			r.ClaimedAt = s.age(now)
			clear(r.Votes)
		}
		return
	}
	r.Votes[from] = max(r.Votes[from], sent)
	r.HeldBefore = r.HeldBefore || v.HeldBefore
	extendLease(s, now, v.Backend, r)
}

// extendLease sets the end of the lease from the time at which the quorum's requests were sent.
func extendLease(s *State, now time.Time, backend string, r *Lease) {
	ids, quorum := s.votersOf(now, backend)
	if r.HeldSince.IsZero() && r.VotersDigest != votersDigest(ids) {
		return
	}
	var sent []time.Duration
	for _, id := range ids {
		if at, ok := r.Votes[id]; ok {
			sent = append(sent, at)
		}
	}
	if len(sent) < quorum {
		return
	}
	slices.Sort(sent)
	until := s.Self.StartedAt.Add(sent[len(sent)-quorum] + leaseDuration)
	if until.After(r.ValidUntil) {
		r.ValidUntil = until
	}
	if r.HeldSince.IsZero() && now.Before(r.ValidUntil) {
		acquireLease(s, now, backend, r)
	}
}

func acquireLease(s *State, now time.Time, backend string, r *Lease) {
	r.HeldSince = now
	r.Fence = r.Term<<fenceBits | int64(hasher.Key(s.Self.HostID)&(1<<fenceBits-1))
	r.Inventory = newInventory()
	if r.HeldBefore {
		r.Inventory.NextOrderAt = now.Add(s.Limits.OrderLeaseDuration)
	}
	s.Counters.LeasesAcquired++
	ids, quorum := s.votersOf(now, backend)
	s.logEvent(EventLeaseTaken, Field{"backend_server", backend}, intField("term", int(r.Term)), intField("fence", int(r.Fence)),
		intField("known_hosts", len(s.Hosts)), Field{"voters", strings.Join(ids, ",")}, intField("quorum", quorum),
		Field{"backed_by", strings.Join(sortedKeys(r.Votes), ",")}, boolField("held_before", r.HeldBefore), msField("up_ms", s.age(now)))
}

func loseLease(s *State, backend string, r *Lease) {
	s.Counters.LeasesLost++
	s.logEvent(EventLeaseLost, Field{"backend_server", backend}, intField("term", int(r.Term)))
	delete(s.Leases, backend)
}

// abandonClaim gives up a claim that was never held, so that the votes for it are free for another host.
func abandonClaim(s *State, now time.Time, backend string, r *Lease) {
	if r == nil {
		return
	}
	delete(s.Leases, backend)
	s.releaseVotes(now, []string{backend})
}

// releaseLeases gives up everything that this host holds.
func releaseLeases(s *State, now time.Time) {
	ids := sortedKeys(s.Leases)
	if len(ids) == 0 {
		return
	}
	clear(s.Leases)
	s.releaseVotes(now, ids)
}

func (s *State) releaseVotes(now time.Time, backends []string) {
	for _, id := range s.voterHosts(now) {
		s.send(id, LeaseRelease{SentAt: s.age(now), Backends: backends})
	}
	releaseLeaseGrants(s, now, s.Self.HostID, s.Self.Incarnation, LeaseRelease{SentAt: s.age(now), Backends: backends})
}
