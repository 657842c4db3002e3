package reducer

import (
	"time"
)

// lostSequence marks grants that no host will report on; they end by time alone.
const lostSequence = ^uint64(0)

// grantTokens answers a host that asks for tokens of a client account.
func grantTokens(s *State, now time.Time, from string, incarnation uint64, m GrantRequest) {
	s.send(from, s.grant(now, from, incarnation, m))
}

func (s *State) grant(now time.Time, from string, incarnation uint64, m GrantRequest) GrantReply {
	reply := GrantReply{Account: m.Account, Sequence: m.Sequence, SentAt: m.SentAt}
	right := accountRight(m.Account, s.Self.Region)
	if !s.holds(right, now) || !now.Before(s.actUntil(right)) {
		reply.NotKeeper = true
		seekOrphan(s, now, right)
		return reply
	}
	keeper := s.Leases.Holdings[right].Account
	keeper.Bucket.Refill(now)
	g := keeper.grantee(from, incarnation)
	if m.Sequence <= g.Sequence {
		return reply
	}
	g.Sequence = m.Sequence
	keeper.settle(now, g, m)
	for _, r := range m.Refunds {
		keeper.Bucket.Refund(now, r.Tokens, now.Add(-r.Age))
	}
	reply.Tokens = keeper.give(s, now, g, m)
	reply.Settling = len(keeper.Grants[""].Grants) > 0
	if m.Wanted > reply.Tokens {
		reply.Wait, _ = keeper.Bucket.Wait(max(m.Minimum, 1))
	}
	return reply
}

func (k *Keeper) grantee(host string, incarnation uint64) *Grantee {
	g, ok := k.Grants[host]
	if !ok {
		g = &Grantee{Incarnation: incarnation}
		k.Grants[host] = g
	}
	if g.Incarnation != incarnation {
		g.Incarnation = incarnation
		g.Sequence = 0
		for i := range g.Grants {
			g.Grants[i].Sequence = lostSequence
		}
	}
	return g
}

// settle replaces the grants that the host has acknowledged by the tokens that it still holds.
func (k *Keeper) settle(now time.Time, g *Grantee, m GrantRequest) {
	var kept []Grant
	acknowledged := Grant{Sequence: m.Acknowledged}
	for _, grant := range g.Grants {
		if grant.Sequence > m.Acknowledged {
			kept = append(kept, grant)
			continue
		}
		acknowledged.Tokens += grant.Tokens
		if grant.Until.After(acknowledged.Until) {
			acknowledged.Until = grant.Until
		}
	}
	spent := max(acknowledged.Tokens-m.Held, 0)
	k.Bucket.Settle(now, spent)
	acknowledged.Tokens -= spent
	if acknowledged.Tokens > 0 {
		kept = append(kept, acknowledged)
	}
	g.Grants = kept
}

// give moves tokens from the bucket to the host: at least the minimum that it can use, or none.
func (k *Keeper) give(s *State, now time.Time, g *Grantee, m GrantRequest) float64 {
	if m.Wanted <= 0 || k.Bucket.Level < m.Minimum {
		return 0
	}
	tokens := k.Bucket.Take(now, m.Wanted)
	if tokens <= 0 {
		return 0
	}
	until := now.Add(drifted(s.Limits.GrantTime, s.Limits.ClockDrift) + s.Limits.LeaseMargin)
	g.Grants = append(g.Grants, Grant{Sequence: m.Sequence, Tokens: tokens, Until: until})
	return tokens
}

// expireGrants settles the grants that can no longer be spent.
func expireGrants(s *State, now time.Time) {
	for _, h := range s.Leases.Holdings {
		if h.Account == nil {
			continue
		}
		for _, g := range h.Account.Grants {
			h.Account.expire(now, g)
		}
	}
}

func (k *Keeper) expire(now time.Time, g *Grantee) {
	kept := g.Grants[:0]
	for _, grant := range g.Grants {
		if now.Before(grant.Until) {
			kept = append(kept, grant)
			continue
		}
		k.Bucket.Settle(now, grant.Tokens)
	}
	g.Grants = kept
}

// refreshKeepers follows changed rates and bursts; a bucket never keeps more than its new burst.
func refreshKeepers(s *State, now time.Time) {
	for r, h := range s.Leases.Holdings {
		if h.Account == nil {
			continue
		}
		account, ok := s.Config.Accounts[r.Name]
		if !ok {
			continue
		}
		b := &h.Account.Bucket
		b.Refill(now)
		b.Rate = s.regionShare(account.Rate)
		b.Burst = s.regionShare(account.Burst)
		b.Level = max(min(b.Level, b.Burst-b.Outstanding), 0)
	}
}
