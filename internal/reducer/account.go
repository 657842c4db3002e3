package reducer

import (
	"time"

	"github.com/redwingpick/redwingpick/internal/limiter"
	"github.com/redwingpick/redwingpick/internal/selector"
	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// Durations that govern how a host uses a client account's quota.
const (
	// demandHalfLife is the half-life of the average of an account's demand on this host.
	demandHalfLife = time.Second
	// reserveDuration is the time whose expected demand is covered by the reserve of tokens that a host holds for requests to come.
	reserveDuration = 300 * time.Millisecond
	// grantTimeout is how long a host waits for the quota coordinator before it uses its fallback share of the rate.
	grantTimeout = 80 * time.Millisecond
	// returnInterval is the time between two returns of surplus tokens.
	returnInterval = 500 * time.Millisecond
)

// chargeRequest spends a request's cost from the tokens that this host has been granted and reports whether they were enough.
//
// If they were not, the request waits and this host requests tokens from the account's quota coordinator.
func chargeRequest(s *State, now time.Time, r *Request, account cataloguer.Account) (charged bool) {
	if !account.Limited() {
		return true
	}
	a := s.account(now, account.Name)
	a.Demand.Add(now, r.QuotaCost, demandHalfLife)
	if a.trySpend(now, r) {
		return true
	}
	a.Waiting = append(a.Waiting, r.ID)
	requestTokens(s, now, account.Name, a)
	return false
}

// trySpend charges a request and reports true if the account has enough granted tokens.
func (a *Account) trySpend(now time.Time, r *Request) bool {
	if a.Level < r.QuotaCost {
		return false
	}
	a.charge(now, r.QuotaCost)
	return true
}

// charge deducts a cost from the granted tokens and records it as spent.
func (a *Account) charge(now time.Time, cost float64) {
	a.Level -= cost
	a.Spent.Add(now, 0, cost)
}

// account returns this host's state of a client account, or of another account with a fleet-wide quota, and creates it if needed.
func (s *State) account(now time.Time, name string) *Account {
	a, ok := s.Accounts[name]
	if !ok {
		a = &Account{Spent: limiter.Window{Length: s.Limits.QuotaWindow}}
		if q, ok := s.quota(name); ok {
			a.Spent.Length = q.Window
		}
		a.Fallback.Set(now, 0, 0)
		s.Accounts[name] = a
	}
	return a
}

// requestTokens requests the tokens that the waiting requests lack, and a reserve, from the quota coordinator unless a request is pending.
func requestTokens(s *State, now time.Time, name string, a *Account) {
	if !a.RequestedAt.IsZero() && now.Sub(a.RequestedAt) < grantTimeout {
		return
	}
	needed := a.NeededForModelLoad
	var origin Origin
	for _, id := range a.Waiting {
		r, ok := s.Requests[id]
		if !ok {
			continue
		}
		needed += r.QuotaCost
		if origin.Request == "" {
			origin = r.origin(now)
		}
	}
	a.RequestedAt = now
	a.Sequence++
	request := TokenRequest{
		Account: name, Sequence: a.Sequence, Needed: max(needed-a.Level, 0),
		Reserve: a.Demand.At(now, demandHalfLife) * reserveDuration.Seconds(), Spent: a.spentParts(now), Unspent: a.Level,
		SpentPeriod: min(s.uptime(now), a.Spent.Length), Origin: origin,
	}
	s.wakeAt(now.Add(grantTimeout))
	s.sendCoordinator(now, request)
}

// spentParts returns what this host spent in each part of the window, for a coordinator that has no record of the spending.
func (a *Account) spentParts(now time.Time) []float64 {
	return a.Spent.Parts(now, spentPartCount)
}

// spentPartCount is the number of parts of the window in which spending is reported.
const spentPartCount = 8

// sendCoordinator sends a token request to the quota coordinator, or grants the tokens here if that is this host.
func (s *State) sendCoordinator(now time.Time, m TokenRequest) {
	if coordinator := s.coordinatorOf(now, m.Account); coordinator != s.Self.HostID {
		s.send(coordinator, m)
		return
	}
	if grant, ok := grantTokens(s, now, s.Self.HostID, m); ok {
		s.LocalGrants = append(s.LocalGrants, grant)
		s.wakeAt(now)
	}
}

// receiveTokenGrant adds granted tokens and, if the grant replies to the newest token request, decides on the requests that wait for
// tokens.
func receiveTokenGrant[P selector.Policy](s *State, now time.Time, m TokenGrant) {
	a, ok := s.Accounts[m.Account]
	if !ok || a.recordGrant(m.Sequence) {
		return
	}
	a.Level += m.Tokens
	if m.Sequence != a.Sequence {
		return
	}
	a.RequestedAt = time.Time{}
	admitWaiting[P](s, now, a, m.Wait)
	if len(a.Waiting) > 0 {
		requestTokens(s, now, m.Account, a)
	}
}

// grantsRemembered is the number of grants among which a repeated one is recognized.
const grantsRemembered = 16

// recordGrant records that a grant has arrived, and reports whether it has arrived before.
func (a *Account) recordGrant(sequence uint64) (repeated bool) {
	slot := &a.Granted[sequence%grantsRemembered]
	repeated = *slot == sequence
	*slot = sequence
	return repeated
}

// admitWaiting places the waiting requests that the granted tokens cover.
//
// A positive wait means that there are too few tokens, and the other requests are refused. With a wait of 0 they arrived after the tokens
// were requested, and they keep waiting.
func admitWaiting[P selector.Policy](s *State, now time.Time, a *Account, wait time.Duration) {
	waiting := a.Waiting
	a.Waiting = nil
	for _, id := range waiting {
		r, ok := s.Requests[id]
		if !ok || r.Phase != PhaseAwaitingTokens {
			continue
		}
		if a.trySpend(now, r) {
			r.Phase = PhaseQueued
			placeArrived[P](s, now, r)
			continue
		}
		if wait <= 0 {
			a.Waiting = append(a.Waiting, id)
			continue
		}
		a.Refused++
		s.logEvent(EventRateExceeded, r.origin(now).fields(Field{"account", r.Account}, floatField("cost", r.QuotaCost),
			floatField("level", a.Level), msField("wait_ms", wait))...)
		refuse(s, now, r, ReasonRateLimited, max(wait, defaultRetryAfter))
	}
}

// RequestPending reports whether a token request has been sent and has neither a reply nor timed out.
func (a *Account) RequestPending(now time.Time) bool {
	return !a.RequestedAt.IsZero() && now.Sub(a.RequestedAt) < grantTimeout
}

// tickAccounts applies the grants of this host to itself, switches accounts whose coordinator does not respond to the fallback share, and
// returns surplus tokens.
func tickAccounts[P selector.Policy](s *State, now time.Time) {
	tickQuotas(s, now)
	granted := s.LocalGrants
	s.LocalGrants = nil
	for _, g := range granted {
		receiveTokenGrant[P](s, now, g)
	}
	for _, name := range sortedKeys(s.Accounts) {
		a := s.Accounts[name]
		q, ok := s.quota(name)
		if !ok {
			delete(s.Accounts, name)
			delete(s.Quotas, name)
			continue
		}
		if !a.RequestedAt.IsZero() && !a.RequestPending(now) {
			a.RequestedAt = time.Time{}
			useFallback[P](s, now, q, a)
		}
		returnTokens(s, now, name, a)
	}
}

// useFallback grants tokens from this host's fallback share, an equal part of the quota, while the coordinator does not respond.
//
// What the host has spent in the window counts against the share. A request that is larger than the share is admitted once a window, when
// the host has spent nothing in it.
func useFallback[P selector.Policy](s *State, now time.Time, q Quota, a *Account) {
	hosts := float64(s.shareCount(now))
	first := a.Fallback.Burst == 0
	a.Fallback.Set(now, q.Rate/hosts, q.Rate/hosts)
	if first {
		a.Fallback.Level = a.Fallback.Burst
	}
	for _, id := range a.Waiting {
		r, ok := s.Requests[id]
		if !ok {
			continue
		}
		spent := a.Spent.Total(now) + a.Level
		if (spent == 0 || spent+r.QuotaCost <= q.Allowed/hosts) && a.Fallback.Take(now, r.QuotaCost) {
			a.Level += r.QuotaCost
		}
	}
	admitWaiting[P](s, now, a, max(a.Fallback.Wait(now, a.Fallback.Burst), time.Millisecond))
}

// returnTokens returns tokens beyond twice the reserve to the coordinator, unless a model load needs them.
func returnTokens(s *State, now time.Time, name string, a *Account) {
	if now.Sub(a.ReturnedAt) < returnInterval {
		return
	}
	a.ReturnedAt = now
	if a.NeededForModelLoad > 0 {
		return
	}
	reserve := a.Demand.At(now, demandHalfLife) * reserveDuration.Seconds()
	if surplus := a.Level - 2*reserve; surplus > 0 {
		a.Level -= surplus
		s.sendCoordinator(now, TokenRequest{Account: name, Returned: surplus})
	}
}
