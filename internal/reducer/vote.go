package reducer

import (
	"slices"
	"strings"
	"time"
)

// Refusal is the reason why a voter does not grant a claim.
type Refusal uint8

// Refusals of claims.
const (
	// RefusalNone means that the claim is granted.
	RefusalNone Refusal = iota
	// RefusalGranted means that the lease is granted to another host.
	RefusalGranted
	// RefusalStaleTerm means that the term of the claim is not above the highest term that the voter has seen.
	RefusalStaleTerm
	// RefusalOutdated means that the claim is older than one that the voter has granted.
	RefusalOutdated
	// RefusalGrantsUncertain means that the claim is new, and the voter may have lost its lease grants in a restart or may not know the holder.
	RefusalGrantsUncertain
	// RefusalMinority means that the receiver does not know the voter set, or does not reach a majority of it.
	RefusalMinority
	// RefusalNotVoter means that the receiver does not count itself among the voters for the backend server.
	RefusalNotVoter
	// RefusalOtherVoters means that the claim is new and goes to other voters than the receiver has for the backend server.
	RefusalOtherVoters
)

var refusalNames = [...]string{"none", "promised", "stale_term", "outdated", "forgetful", "minority", "no_voter", "other_voters"}

// String returns the refusal's name in logs.
func (r Refusal) String() string { return refusalNames[r] }

// receiveLeaseRequest replies to the claims of a host.
func receiveLeaseRequest(s *State, now time.Time, e PeerReceived, m LeaseRequest) {
	reply := LeaseReply{SentAt: m.SentAt}
	for _, c := range m.Claims {
		reply.Votes = append(reply.Votes, s.vote(now, e.From, e.Incarnation, m.SentAt, c))
	}
	s.send(e.From, reply)
}

// vote grants a claim, or refuses it and returns the highest term that this voter has seen.
func (s *State) vote(now time.Time, from string, incarnation uint64, sent time.Duration, c Claim) Vote {
	p, ok := s.LeaseGrants[c.Backend]
	if !ok {
		p = &LeaseGrant{}
	}
	if refusal := s.claimRefusal(now, p, from, incarnation, sent, c); refusal != RefusalNone {
		s.Counters.ClaimsRefused++
		s.logEvent(EventClaimRefused, Field{"backend_server", c.Backend}, Field{"peer", from}, intField("term", int(c.Term)),
			Field{"reason", refusal.String()}, Field{"holder", p.Holder}, intField("seen_term", int(p.Term)))
		return Vote{Backend: c.Backend, Term: p.Term}
	}
	if p.Holder != from {
		s.logGrant(now, p, from, c)
	}
	s.advanceTerm(now, c.Term)
	s.LeaseGrants[c.Backend] = p
	p.setHolder(from)
	p.Incarnation, p.SentAt, p.ValidUntil, p.Term = incarnation, sent, now.Add(s.grantDuration()), c.Term
	return Vote{Backend: c.Backend, Granted: true, Term: c.Term, HeldBefore: p.FormerHolders[from]}
}

// claimRefusal returns why a claim is not granted: the lease is granted to another host, this voter may have lost such a grant, or the claimant
// and this host do not have the same voters.
func (s *State) claimRefusal(now time.Time, p *LeaseGrant, from string, incarnation uint64, sent time.Duration, c Claim) Refusal {
	if refusal := s.voterRefusal(now, c); refusal != RefusalNone {
		return refusal
	}
	switch {
	case p.Holder != "" && p.Holder != from && now.Before(p.ValidUntil):
		return RefusalGranted
	case c.Term < p.Term || c.Term == p.Term && p.Holder != "" && p.Holder != from:
		return RefusalStaleTerm
	case p.newerThan(from, incarnation, sent):
		return RefusalOutdated
	}
	return RefusalNone
}

// voterRefusal returns why this host must not vote on a claim.
func (s *State) voterRefusal(now time.Time, c Claim) Refusal {
	ids, _ := s.votersOf(now, c.Backend)
	switch {
	case !s.votersKnown() || !s.reachesMajority():
		return RefusalMinority
	case !slices.Contains(ids, s.Self.HostID):
		return RefusalNotVoter
	case !c.Renewal && !s.mayGrantToNewHolder(now):
		return RefusalGrantsUncertain
	case !c.Renewal && c.VotersDigest != votersDigest(ids):
		return RefusalOtherVoters
	}
	return RefusalNone
}

// logGrant logs a new holder with what this voter knew when it granted the lease.
func (s *State) logGrant(now time.Time, p *LeaseGrant, holder string, c Claim) {
	ids, _ := s.votersOf(now, c.Backend)
	s.logEvent(EventLeaseGranted, Field{"backend_server", c.Backend}, Field{"holder", holder}, Field{"former", p.Holder},
		intField("term", int(c.Term)), boolField("valid", c.Renewal), intField("known_hosts", len(s.Hosts)),
		Field{"voters", strings.Join(ids, ",")}, msField("up_ms", s.uptime(now)))
}

// newerThan reports whether the voter has granted a later request of the same host; the given one, such as a message delayed by a partition,
// then does not count.
func (p *LeaseGrant) newerThan(from string, incarnation uint64, sent time.Duration) bool {
	return p.Holder == from && (incarnation < p.Incarnation || incarnation == p.Incarnation && sent < p.SentAt)
}

// setHolder sets the holder and records the previous one as a former holder.
func (p *LeaseGrant) setHolder(holder string) {
	if p.Holder == holder {
		return
	}
	if p.FormerHolders == nil {
		p.FormerHolders = map[string]bool{}
	}
	if p.Holder != "" {
		p.FormerHolders[p.Holder] = true
	}
	p.Holder = holder
}

// releaseLeaseGrants ends the lease grants that their holder releases.
func releaseLeaseGrants(s *State, now time.Time, from string, incarnation uint64, m LeaseRelease) {
	for _, id := range m.Backends {
		if p, ok := s.LeaseGrants[id]; ok && p.Holder == from && !p.newerThan(from, incarnation, m.SentAt) {
			p.ValidUntil = now
		}
	}
}

// pruneLeaseGrants drops lease grants that expired long ago.
func pruneLeaseGrants(s *State, now time.Time) {
	for id, p := range s.LeaseGrants {
		if now.Sub(p.ValidUntil) > tombstoneTTL {
			delete(s.LeaseGrants, id)
		}
	}
}
