package reducer

import (
	"time"

	"github.com/redwingpick/redwingpick/internal/limiter"
	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// QuotaUsage is the use of a fleet-wide budget, at the host that grants it.
type QuotaUsage struct {
	// CoordinatorSince is from when on this host has granted all that was granted.
	CoordinatorSince time.Time
	Hosts            map[string]*HostQuotaUsage
}

// HostQuotaUsage is what a keeper knows of one host's use.
type HostQuotaUsage struct {
	// Granted is what this keeper granted, less what came back.
	Granted limiter.Window
	// Spent is what the host told that it spent, under former keepers too.
	Spent limiter.Window
	// Outstanding is what the host holds and has not spent: as last told, and what was granted since.
	Outstanding float64
	// KnownSince is from when on the host knows what it spent.
	KnownSince time.Time
	ReceivedAt time.Time
}

// coordinatorOf returns the host that grants an account's tokens.
func (s *State) coordinatorOf(now time.Time, account string) string {
	ranked := s.ranked(now, rankKey{Key: "account/" + account}, 1)
	if len(ranked) == 0 {
		return s.Self.HostID
	}
	return ranked[0]
}

// tickQuotas follows a change of the hosts in use: it gives up the budgets that another host keeps now, and takes for the others that
// another host may have granted too until now, on the far side of a partition or while this host was suspended.
func tickQuotas(s *State, now time.Time) {
	s.indexHosts(now)
	if s.QuotasCheckedAt.Equal(s.Index.ActiveChangedAt) {
		return
	}
	s.QuotasCheckedAt = s.Index.ActiveChangedAt
	for _, name := range sortedKeys(s.Quotas) {
		if s.coordinatorOf(now, name) != s.Self.HostID {
			delete(s.Quotas, name)
			continue
		}
		k := s.Quotas[name]
		k.CoordinatorSince = now
		for _, h := range k.Hosts {
			h.KnownSince = time.Time{}
		}
	}
}

// receiveTokenRequest answers a host that asks for tokens.
func receiveTokenRequest(s *State, now time.Time, from string, m TokenRequest) {
	if grant, ok := grantTokens(s, now, from, m); ok {
		s.send(from, grant)
	}
}

// grantTokens takes what is asked for from what the pool's window still allows.
func grantTokens(s *State, now time.Time, from string, m TokenRequest) (TokenGrant, bool) {
	p, ok := s.quota(m.Account)
	if !ok || s.isolated() || s.coordinatorOf(now, m.Account) != s.Self.HostID {
		return TokenGrant{}, false
	}
	k, ok := s.Quotas[m.Account]
	if !ok {
		s.indexHosts(now)
		k = &QuotaUsage{CoordinatorSince: s.Index.ActiveChangedAt, Hosts: map[string]*HostQuotaUsage{}}
		s.Quotas[m.Account] = k
	}
	h := k.update(now, p.Window, from, m)
	grant := TokenGrant{Account: m.Account, Sequence: m.Sequence}
	if m.Needed+m.Wanted <= 0 {
		return grant, false
	}
	used := k.used(now, p.Window)
	allowed := p.Allowed * s.reachableShare(now) * (1 - s.unknownShare(now, p, k))
	left := max(allowed-used.Total(now), 0)
	grant.Tokens = min(m.Needed, left)
	// The reserve comes from what others do not need soon, so that no host hoards the last tokens.
	grant.Tokens += min(m.Wanted, (left-grant.Tokens)/reserveParts)
	h.Granted.Add(now, 0, grant.Tokens)
	h.Outstanding += grant.Tokens
	if grant.Tokens < m.Needed {
		grant.Wait = max(used.Wait(now, allowed-m.Needed), shortestWait)
		s.logEvent(EventTokensInsufficient, m.Origin.fields(Field{"account", m.Account}, Field{"peer", from}, floatField("needed", m.Needed),
			floatField("left", left), floatField("allowed", p.Allowed), floatField("may_grant", allowed), msField("kept_ms", now.Sub(k.CoordinatorSince)),
			msField("wait_ms", grant.Wait))...)
	}
	return grant, true
}

const (
	// reserveParts is the number of parts of what is left of which one may become a host's reserve.
	reserveParts = 8
	// shortestWait is told with a grant that falls short, so that it cannot be taken for one that does not.
	shortestWait = 10 * time.Millisecond
)

// update takes what a host tells of its spending, and what it gives back.
func (k *QuotaUsage) update(now time.Time, window time.Duration, from string, m TokenRequest) *HostQuotaUsage {
	h, ok := k.Hosts[from]
	if !ok {
		h = &HostQuotaUsage{}
		k.Hosts[from] = h
	}
	h.ReceivedAt = now
	h.Granted.Length = window
	h.Granted.Add(now, 0, -min(m.Returned, h.Granted.Total(now)))
	h.Outstanding = max(h.Outstanding-m.Returned, 0)
	if m.KnownFor > 0 {
		h.Outstanding = m.Held
		h.KnownSince = now.Add(-m.KnownFor)
		h.Spent = limiter.Window{Length: window}
		for i, spent := range m.Spent {
			h.Spent.Add(now, time.Duration(i)*window/time.Duration(len(m.Spent)), spent)
		}
	}
	return h
}

// used is the known use of all hosts: of each what was granted to it, or what it has spent and holds, whichever is more.
func (k *QuotaUsage) used(now time.Time, window time.Duration) limiter.Window {
	sum := limiter.Window{Length: window}
	for _, id := range sortedKeys(k.Hosts) {
		h := k.Hosts[id]
		if now.Sub(h.ReceivedAt) > 2*window {
			delete(k.Hosts, id)
			continue
		}
		if h.Spent.Length > 0 && h.Spent.Total(now)+h.Outstanding > h.Granted.Total(now) {
			sum.Merge(now, &h.Spent)
			sum.Add(now, 0, h.Outstanding)
			continue
		}
		sum.Merge(now, &h.Granted)
	}
	return sum
}

// unknownShare is the part of the window's use that this keeper cannot know: the hosts' even parts for the time before this host
// became the keeper, as far as they have not told, or have forgotten at a start, what they spent then.
func (s *State) unknownShare(now time.Time, p Quota, k *QuotaUsage) float64 {
	// A host that leaves still spends.
	hosts := s.reachableHosts(now)
	unknown := time.Duration(0)
	for _, id := range hosts {
		until := k.CoordinatorSince
		if h, ok := k.Hosts[id]; ok && !h.KnownSince.IsZero() && h.KnownSince.Before(until) {
			until = h.KnownSince
		}
		unknown += max(until.Sub(now.Add(-p.Window)), 0)
	}
	return min(float64(unknown)/float64(p.Window)/float64(len(hosts)), 1)
}

// reachableShare is the part of the hosts that this one reaches; a keeper grants no more than that part of what is allowed.
func (s *State) reachableShare(now time.Time) float64 {
	return min(float64(len(s.activeHosts(now)))/float64(s.shareCount(now)), 1)
}

// allowedUse is what an account may use in a window, less a part for the reserves that hosts hold.
func (s *State) allowedUse(account cataloguer.Account) float64 {
	window := s.Limits.QuotaWindow.Seconds()
	return ((account.Rate*window+account.Burst)*(1+s.Limits.QuotaOvershoot) + s.Limits.QuotaSlack) * quotaShare
}
