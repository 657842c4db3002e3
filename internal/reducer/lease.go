package reducer

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/redwingpick/redwingpick/internal/hasher"
)

// promiseFor is how long a voter backs a holder after a request: at least the holder's lease, and so long that a host which is
// followed by another and follows it again cannot do so within the time in which no two hosts may order by turns.
func (s *State) promiseFor() time.Duration {
	return max(leaseFor, s.Limits.OrderLeaseFor/2) + leaseMargin
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
	r, ok := s.Rights[backend]
	return ok && now.Before(r.ValidUntil)
}

// tickRights seeks, renews and gives up leases at each round of gossip, and gives the orders that are due.
func tickRights(s *State, now time.Time) {
	if s.Gossip.ClaimedBeat != s.Gossip.Beat {
		s.Gossip.ClaimedBeat = s.Gossip.Beat
		tickClaims(s, now)
	}
	for _, id := range sortedKeys(s.Rights) {
		if s.holds(now, id) {
			tickLedger(s, now, id, s.Rights[id])
		}
	}
}

func tickClaims(s *State, now time.Time) {
	claims := map[string][]Claim{}
	for _, id := range s.engineIDs() {
		tickRight(s, now, id, claims)
	}
	for id := range s.Rights {
		if b, ok := s.Backends[id]; !ok || !s.isEngine(b) {
			delete(s.Rights, id)
		}
	}
	sent := s.age(now)
	for _, host := range sortedKeys(claims) {
		s.send(host, LeaseRequest{SentAt: sent, Claims: claims[host]})
	}
}

func tickRight(s *State, now time.Time, backend string, claims map[string][]Claim) {
	r, ok := s.Rights[backend]
	if ok && !r.HeldSince.IsZero() && !now.Before(r.ValidUntil) {
		loseRight(s, backend, r)
		return
	}
	if !ok || r.HeldSince.IsZero() {
		if !s.mayClaim(now, backend) {
			yieldRight(s, now, backend, r)
			return
		}
	}
	if r == nil {
		r = &Right{Backed: map[string]time.Duration{}, SoughtAt: s.age(now), Ledger: newLedger()}
		s.Rights[backend] = r
	}
	// Renewals leave with every second round of gossip, whose envelopes they share in a small fleet.
	if s.Gossip.Beat%leaseRounds != 0 && !r.AskedAt.IsZero() {
		return
	}
	r.AskedAt = now
	claimRight(s, now, backend, r, claims)
}

// mayClaim reports whether this host is the one that should seek a backend server that nobody orders.
func (s *State) mayClaim(now time.Time, backend string) bool {
	if s.Draining.Active || s.Documents.Catalogue == nil || !s.mayLead(now) || s.holderOf(now, backend) != "" {
		return false
	}
	ranked := s.ranked(now, rankKey{Key: leaseGroup(backend)}, 1)
	return len(ranked) > 0 && ranked[0] == s.Self.HostID
}

func claimRight(s *State, now time.Time, backend string, r *Right, claims map[string][]Claim) {
	if r.Term == 0 {
		r.Term = s.firstTerm(now)
	}
	sent := s.age(now)
	ids, _ := s.votersOf(now, backend)
	claim := Claim{Backend: backend, Term: r.Term, Valid: s.holds(now, backend)}
	if !claim.Valid {
		claim.Voters = votersDigest(ids)
		r.askAnew(sent, claim.Voters)
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

// askAnew drops the votes for a claim if it goes to other voters now.
func (r *Right) askAnew(sent time.Duration, voters uint32) {
	if r.Voters == voters {
		return
	}
	r.Voters = voters
	r.SoughtAt = sent
	clear(r.Backed)
}

// firstTerm is the term that a host claims which knows of no other: it grows with time, alike on all hosts, and so past the terms
// that voters may have forgotten.
func (s *State) firstTerm(now time.Time) int64 {
	return s.Roster.Term + now.Sub(s.Roster.TermAt).Milliseconds()/termStepMs
}

// followClock sets the roster's clock forward to a term that another host has told: hosts that founded the roster at one time did so by their
// own times of day, and a term that any voter may forget must not be ahead of the clock.
func (s *State) followClock(now time.Time, term int64) {
	if s.settled() && term > s.firstTerm(now) {
		s.Roster.Term, s.Roster.TermAt = term, now
	}
}

// foundingTerm is the first term of a roster that is founded now.
//
// It grows twice as fast as the time of day, and terms within a roster once: a later roster's terms pass those of one that all hosts
// have forgotten although the time of day may have been ahead then.
func (s *State) foundingTerm(now time.Time) int64 {
	return 2 * (s.Self.StartedUnixMs - termEpochMs + s.age(now).Milliseconds()) / termStepMs
}

func countVotes(s *State, now time.Time, from string, m LeaseReply) {
	for _, v := range m.Votes {
		takeVote(s, now, from, m.SentAt, v)
	}
}

// takeVote counts one vote; a refusal with a higher term raises the term of the next request.
func takeVote(s *State, now time.Time, from string, sent time.Duration, v Vote) {
	r, ok := s.Rights[v.Backend]
	if !ok || sent < r.SoughtAt {
		return
	}
	if !v.Backed {
		s.followClock(now, v.Term)
		if v.Term >= r.Term && r.HeldSince.IsZero() {
			r.Term = v.Term + 1
			r.SoughtAt = s.age(now)
			clear(r.Backed)
		}
		return
	}
	r.Backed[from] = max(r.Backed[from], sent)
	r.HeldBefore = r.HeldBefore || v.HeldBefore
	extendRight(s, now, v.Backend, r)
}

// extendRight sets the end of the lease from the time at which the quorum's requests were sent.
func extendRight(s *State, now time.Time, backend string, r *Right) {
	ids, quorum := s.votersOf(now, backend)
	if r.HeldSince.IsZero() && r.Voters != votersDigest(ids) {
		return
	}
	var sent []time.Duration
	for _, id := range ids {
		if at, ok := r.Backed[id]; ok {
			sent = append(sent, at)
		}
	}
	if len(sent) < quorum {
		return
	}
	slices.Sort(sent)
	until := s.Self.StartedAt.Add(sent[len(sent)-quorum] + leaseFor)
	if until.After(r.ValidUntil) {
		r.ValidUntil = until
	}
	if r.HeldSince.IsZero() && now.Before(r.ValidUntil) {
		takeRight(s, now, backend, r)
	}
}

func takeRight(s *State, now time.Time, backend string, r *Right) {
	r.HeldSince = now
	r.Fence = r.Term<<fenceBits | int64(hasher.Key(s.Self.HostID)&(1<<fenceBits-1))
	r.Ledger = newLedger()
	if r.HeldBefore {
		r.Ledger.RetryAt = now.Add(s.Limits.OrderLeaseFor)
	}
	s.Counters.LeasesTaken++
	ids, quorum := s.votersOf(now, backend)
	s.note(EventLeaseTaken, Field{"backend_server", backend}, intField("term", int(r.Term)), intField("fence", int(r.Fence)),
		intField("known_hosts", len(s.Hosts)), Field{"voters", strings.Join(ids, ",")}, intField("quorum", quorum),
		Field{"backed_by", strings.Join(sortedKeys(r.Backed), ",")}, boolField("held_before", r.HeldBefore), msField("up_ms", s.age(now)))
}

func loseRight(s *State, backend string, r *Right) {
	s.Counters.LeasesLost++
	s.note(EventLeaseLost, Field{"backend_server", backend}, intField("term", int(r.Term)))
	delete(s.Rights, backend)
}

// yieldRight gives up a claim that was never held, so that the votes for it are free for another host.
func yieldRight(s *State, now time.Time, backend string, r *Right) {
	if r == nil {
		return
	}
	delete(s.Rights, backend)
	s.releaseVotes(now, []string{backend})
}

// releaseRights gives up everything that this host holds.
func releaseRights(s *State, now time.Time) {
	ids := sortedKeys(s.Rights)
	if len(ids) == 0 {
		return
	}
	clear(s.Rights)
	s.releaseVotes(now, ids)
}

func (s *State) releaseVotes(now time.Time, backends []string) {
	for _, id := range s.voterHosts(now) {
		s.send(id, LeaseRelease{SentAt: s.age(now), Backends: backends})
	}
	releasePromises(s, now, s.Self.HostID, s.Self.Incarnation, LeaseRelease{SentAt: s.age(now), Backends: backends})
}
