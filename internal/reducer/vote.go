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
	// RefusalGrantedToOther means that the lease is granted to another host.
	RefusalGrantedToOther
	// RefusalStaleTerm means that the term of the claim is below that of the voter's last grant, or equal to it for another holder.
	RefusalStaleTerm
	// RefusalOutdated means that the claim is older than one that the voter has granted.
	RefusalOutdated
	// RefusalGrantsUncertain means that the claim is new, and the voter may have lost its lease grants in a restart or may not know the
	// holder.
	RefusalGrantsUncertain
	// RefusalMinority means that the receiver does not know the voter set, or does not reach a majority of it.
	RefusalMinority
	// RefusalNotVoter means that the receiver does not count itself among the voters on the lease.
	RefusalNotVoter
	// RefusalOtherVoters means that the claim is new and goes to other voters than those that the receiver knows for the lease.
	RefusalOtherVoters
)

var refusalNames = [...]string{"none", "promised", "stale_term", "outdated", "forgetful", "minority", "no_voter", "other_voters"}

// String returns the refusal's name in logs.
func (r Refusal) String() string { return refusalNames[r] }

// receiveLeaseRequest replies to the claims of a host.
func receiveLeaseRequest(s *State, now time.Time, e PeerReceived, m LeaseRequest) {
	reply := LeaseReply{SentAtUptime: m.SentAtUptime}
	for _, c := range m.Claims {
		reply.Votes = append(reply.Votes, s.vote(now, e.From, e.Incarnation, m.SentAtUptime, c))
	}
	s.send(e.From, reply)
}

// vote grants a claim, or refuses it and returns the term of this voter's last grant for the backend server.
func (s *State) vote(now time.Time, from string, incarnation uint64, sent time.Duration, c Claim) Vote {
	g, ok := s.LeaseGrants[c.Backend]
	if !ok {
		g = &LeaseGrant{}
	}
	if refusal := s.claimRefusal(now, g, from, incarnation, sent, c); refusal != RefusalNone {
		s.Counters.ClaimsRefused++
		s.logEvent(EventClaimRefused, Field{"backend_server", c.Backend}, Field{"peer", from}, intField("term", int(c.Term)),
			Field{"reason", refusal.String()}, Field{"holder", g.Holder}, intField("seen_term", int(g.Term)))
		return Vote{Backend: c.Backend, Term: g.Term}
	}
	if g.Holder != from {
		s.logGrant(now, g, from, c)
	}
	s.advanceTerm(now, c.Term)
	s.LeaseGrants[c.Backend] = g
	g.setHolder(from)
	g.Incarnation, g.SentAtUptime, g.ValidUntil, g.Term = incarnation, sent, now.Add(s.grantDuration()), c.Term
	return Vote{Backend: c.Backend, Granted: true, Term: c.Term, HeldBefore: g.FormerHolders[from]}
}

// claimRefusal returns why a claim is not granted: this host must not vote on it, the lease is granted to another host, or the claim is
// outdated. It returns RefusalNone if the claim is granted.
func (s *State) claimRefusal(now time.Time, g *LeaseGrant, from string, incarnation uint64, sent time.Duration, c Claim) Refusal {
	if refusal := s.voterRefusal(now, c); refusal != RefusalNone {
		return refusal
	}
	switch {
	case g.Holder != "" && g.Holder != from && now.Before(g.ValidUntil):
		return RefusalGrantedToOther
	case c.Term < g.Term || c.Term == g.Term && g.Holder != "" && g.Holder != from:
		return RefusalStaleTerm
	case g.newerThan(from, incarnation, sent):
		return RefusalOutdated
	}
	return RefusalNone
}

// voterRefusal returns why this host must not vote on a claim: it does not know the voters or is none of them, it may have lost a grant, or
// the claimant knows other voters. It returns RefusalNone if this host may vote.
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
func (s *State) logGrant(now time.Time, g *LeaseGrant, holder string, c Claim) {
	ids, _ := s.votersOf(now, c.Backend)
	s.logEvent(EventLeaseGranted, Field{"backend_server", c.Backend}, Field{"holder", holder}, Field{"former", g.Holder},
		intField("term", int(c.Term)), boolField("valid", c.Renewal), intField("known_hosts", len(s.Hosts)),
		Field{"voters", strings.Join(ids, ",")}, msField("up_ms", s.uptime(now)))
}

// newerThan reports whether the voter has granted a later request of the same host; the given one, such as a message delayed by a
// partition, then does not count.
func (g *LeaseGrant) newerThan(from string, incarnation uint64, sent time.Duration) bool {
	return g.Holder == from && (incarnation < g.Incarnation || incarnation == g.Incarnation && sent < g.SentAtUptime)
}

// setHolder sets the holder and records the previous one as a former holder.
func (g *LeaseGrant) setHolder(holder string) {
	if g.Holder == holder {
		return
	}
	if g.FormerHolders == nil {
		g.FormerHolders = map[string]bool{}
	}
	if g.Holder != "" {
		g.FormerHolders[g.Holder] = true
	}
	g.Holder = holder
}

// releaseLeaseGrants ends the lease grants that their holder releases.
func releaseLeaseGrants(s *State, now time.Time, from string, incarnation uint64, m LeaseRelease) {
	for _, id := range m.Backends {
		if g, ok := s.LeaseGrants[id]; ok && g.Holder == from && !g.newerThan(from, incarnation, m.SentAtUptime) {
			g.ValidUntil = now
		}
	}
}

// pruneLeaseGrants drops lease grants that expired long ago.
func pruneLeaseGrants(s *State, now time.Time) {
	for id, g := range s.LeaseGrants {
		if now.Sub(g.ValidUntil) > tombstoneTTL {
			delete(s.LeaseGrants, id)
		}
	}
}
