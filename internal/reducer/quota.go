package reducer

import (
	"time"

	"github.com/redwingpick/redwingpick/internal/limiter"
	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// QuotaUsage is the usage of a fleet-wide quota, as recorded by the quota coordinator.
type QuotaUsage struct {
	// CoordinatorSince is the time since which this host has made all grants.
	CoordinatorSince time.Time
	Hosts            map[string]*HostQuotaUsage
}

// HostQuotaUsage is the usage of a quota by one host, as recorded by the quota coordinator.
type HostQuotaUsage struct {
	// Granted is what this coordinator granted to the host in the window, less what the host returned.
	Granted limiter.Window
	// Spent is what the host reported as spent in the window, including tokens that former coordinators granted.
	Spent limiter.Window
	// Outstanding is what the host holds and has not spent: the amount that it last reported, and what was granted since.
	Outstanding float64
	// SpentKnownSince is the time since which the host has a record of its spending; zero until the host reports its
	// spending to this coordinator.
	SpentKnownSince time.Time
	// ReportedAt is when the host last reported its spending.
	ReportedAt time.Time
	// ReceivedAt is the time of the last request from the host.
	ReceivedAt time.Time
}

// coordinatorOf returns the quota coordinator of an account: the active host that ranks first for it.
func (s *State) coordinatorOf(now time.Time, account string) string {
	ranked := s.ranked(now, rankKey{Key: "account/" + account}, 1)
	if len(ranked) == 0 {
		return s.Self.HostID
	}
	return ranked[0]
}

// tickQuotas handles a change of the active hosts: it drops the quotas that another host coordinates now.
func tickQuotas(s *State, now time.Time) {
	s.indexHosts(now)
	if s.QuotasCheckedAt.Equal(s.Index.ActiveChangedAt) {
		return
	}
	s.QuotasCheckedAt = s.Index.ActiveChangedAt
	for _, name := range sortedKeys(s.Quotas) {
		if s.coordinatorOf(now, name) != s.Self.HostID {
			delete(s.Quotas, name)
		}
	}
}

// receiveTokenRequest replies to a host's request for tokens.
func receiveTokenRequest(s *State, now time.Time, from string, m TokenRequest) {
	if grant, ok := grantTokens(s, now, from, m); ok {
		s.send(from, grant)
	}
}

// grantTokens records a host's token request and grants what the quota's window still allows.
//
// It reports false if there is nothing to reply: this host is not the coordinator or is isolated, or the request asks for no tokens.
func grantTokens(s *State, now time.Time, from string, m TokenRequest) (TokenGrant, bool) {
	q, ok := s.quota(m.Account)
	if !ok || s.isolated() || s.coordinatorOf(now, m.Account) != s.Self.HostID {
		return TokenGrant{}, false
	}
	u, ok := s.Quotas[m.Account]
	if !ok {
		s.indexHosts(now)
		u = &QuotaUsage{CoordinatorSince: s.Index.ActiveChangedAt, Hosts: map[string]*HostQuotaUsage{}}
		s.Quotas[m.Account] = u
	}
	h := u.update(now, q.Window, from, m)
	grant := TokenGrant{Account: m.Account, Sequence: m.Sequence}
	if m.Needed+m.Reserve <= 0 {
		return grant, false
	}
	used := u.used(now, q.Window)
	allowed := q.Allowed * s.reachableShare(now) * (1 - s.unknownFraction(now, q, u))
	left := max(allowed-used.Total(now), 0)
	grant.Tokens = min(m.Needed, left)
	// The reserve is limited to a fraction of the rest, so that no host hoards the last tokens.
	grant.Tokens += min(m.Reserve, (left-grant.Tokens)/reserveDivisor)
	h.Granted.Add(now, 0, grant.Tokens)
	h.Outstanding += grant.Tokens
	if grant.Tokens < m.Needed {
		grant.Wait = max(used.Wait(now, allowed-m.Needed), minGrantWait)
		s.logEvent(EventTokensInsufficient, m.Origin.fields(Field{"account", m.Account}, Field{"peer", from}, floatField("needed", m.Needed),
			floatField("left", left), floatField("allowed", q.Allowed), floatField("may_grant", allowed),
			msField("kept_ms", now.Sub(u.CoordinatorSince)), msField("wait_ms", grant.Wait))...)
	}
	return grant, true
}

const (
	// reserveDivisor is the divisor of the remaining tokens that gives the most that one grant may add to a host's reserve.
	reserveDivisor = 8
	// minGrantWait is the least wait in a grant of fewer tokens than needed: a wait of 0 means that the grant is sufficient.
	minGrantWait = 10 * time.Millisecond
)

// update records a host's reported spending and the tokens that it returns.
func (u *QuotaUsage) update(now time.Time, window time.Duration, from string, m TokenRequest) *HostQuotaUsage {
	h, ok := u.Hosts[from]
	if !ok {
		h = &HostQuotaUsage{}
		u.Hosts[from] = h
	}
	h.ReceivedAt = now
	h.Granted.Length = window
	h.Granted.Add(now, 0, -min(m.Returned, h.Granted.Total(now)))
	h.Outstanding = max(h.Outstanding-m.Returned, 0)
	if m.SpentPeriod > 0 {
		h.Outstanding = m.Unspent
		h.SpentKnownSince, h.ReportedAt = now.Add(-m.SpentPeriod), now
		h.Spent = limiter.Window{Length: window}
		for i, spent := range m.Spent {
			h.Spent.Add(now, time.Duration(i)*window/time.Duration(len(m.Spent)), spent)
		}
	}
	return h
}

// used returns the known usage of all hosts, and drops the hosts without a request for two windows.
//
// Each host counts with its grants, or with its reported spending and outstanding tokens if that is more.
func (u *QuotaUsage) used(now time.Time, window time.Duration) limiter.Window {
	sum := limiter.Window{Length: window}
	for _, id := range sortedKeys(u.Hosts) {
		h := u.Hosts[id]
		if now.Sub(h.ReceivedAt) > 2*window {
			delete(u.Hosts, id)
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

// unknownFraction returns the fraction of the window's usage that this coordinator cannot know.
//
// It counts an equal share for each reachable host and for the time before this host became the coordinator, or before the host became
// reachable again, unless the host has since reported what it spent then. Until then another host may have made grants to it, on the other
// side of a partition or while this host was suspended. A host that restarted has lost that record.
func (s *State) unknownFraction(now time.Time, q Quota, u *QuotaUsage) float64 {
	// A draining host still spends tokens, so all reachable hosts count.
	hosts := s.reachableHosts(now)
	unknown := time.Duration(0)
	for _, id := range hosts {
		until := u.CoordinatorSince
		if remote, ok := s.Hosts[id]; ok {
			until = later(until, remote.ReachableSince)
		}
		if h, ok := u.Hosts[id]; ok && h.knownSince(until) {
			until = h.SpentKnownSince
		}
		unknown += max(until.Sub(now.Add(-q.Window)), 0)
	}
	return min(float64(unknown)/float64(q.Window)/float64(len(hosts)), 1)
}

// knownSince reports whether the host has reported, at the given time or later, what it spent before that time.
func (h *HostQuotaUsage) knownSince(at time.Time) bool {
	return !h.SpentKnownSince.IsZero() && h.SpentKnownSince.Before(at) && !h.ReportedAt.Before(at)
}

// reachableShare returns the fraction of the fleet that this host sees as active; a coordinator grants at most that part of a quota.
func (s *State) reachableShare(now time.Time) float64 {
	return min(float64(len(s.activeHosts(now)))/float64(s.shareCount(now)), 1)
}

// allowedUse returns the units of an account that may be granted in a window, less a part for the reserves that hosts hold.
func (s *State) allowedUse(account cataloguer.Account) float64 {
	window := s.Limits.QuotaWindow.Seconds()
	return ((account.Rate*window+account.Burst)*(1+s.Limits.QuotaOvershoot) + s.Limits.QuotaSlack) * grantableFraction
}
