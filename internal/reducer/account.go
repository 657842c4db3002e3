package reducer

import (
	"time"

	"github.com/redwingpick/redwingpick/internal/limiter"
	"github.com/redwingpick/redwingpick/internal/selector"
	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// Times of a host's use of a client account.
const (
	// demandHalfLife is how fast this host forgets what an account has asked for.
	demandHalfLife = time.Second
	// reserveFor is the time for whose demand a host holds tokens.
	reserveFor = 300 * time.Millisecond
	// grantTimeout is how long a host waits for a keeper before it uses its even part of the rate.
	grantTimeout = 80 * time.Millisecond
	// returnEvery is the time between two returns of tokens that are not needed.
	returnEvery = 500 * time.Millisecond
)

// charge spends a request's cost from the tokens that this host has been granted.
//
// Without enough of them the request waits for the answer of the account's keeper.
func charge(s *State, now time.Time, r *Request, account cataloguer.Account) (taken bool) {
	if !account.Limited() {
		return true
	}
	a := s.account(now, account.Name)
	a.Demand.Add(now, r.Cost, demandHalfLife)
	if a.spend(now, r) {
		return true
	}
	a.Waiting = append(a.Waiting, r.ID)
	askTokens(s, now, account.Name, a)
	return false
}

// spend charges a request if the tokens suffice.
func (a *Account) spend(now time.Time, r *Request) bool {
	if a.Level < r.Cost {
		return false
	}
	a.charge(now, r.Cost)
	return true
}

// charge takes tokens out of those at hand and remembers it.
func (a *Account) charge(now time.Time, cost float64) {
	a.Level -= cost
	a.Spent.Add(now, 0, cost)
}

// account returns this host's state of a client account, or of another fleet-wide budget.
func (s *State) account(now time.Time, name string) *Account {
	a, ok := s.Accounts[name]
	if !ok {
		a = &Account{Spent: limiter.Window{Length: s.Limits.QuotaWindow}}
		if p, ok := s.quota(name); ok {
			a.Spent.Length = p.Window
		}
		a.Fallback.Set(now, 0, 0)
		s.Accounts[name] = a
	}
	return a
}

// askTokens asks the keeper for what the waiting requests lack and for a reserve.
func askTokens(s *State, now time.Time, name string, a *Account) {
	if !a.AskedAt.IsZero() && now.Sub(a.AskedAt) < grantTimeout {
		return
	}
	need := a.Extra
	var origin Origin
	for _, id := range a.Waiting {
		r, ok := s.Requests[id]
		if !ok {
			continue
		}
		need += r.Cost
		if origin.Request == "" {
			origin = r.origin(now)
		}
	}
	a.AskedAt = now
	a.Sequence++
	request := TokenRequest{
		Account: name, Sequence: a.Sequence, Needed: max(need-a.Level, 0), Wanted: a.Demand.At(now, demandHalfLife) * reserveFor.Seconds(), Spent: a.spentParts(now),
		Held: a.Level, KnownFor: min(s.uptime(now), a.Spent.Length), Origin: origin,
	}
	s.wakeAt(now.Add(grantTimeout))
	s.sendCoordinator(now, request)
}

// spentParts is what this host spent in the window, for a keeper that has not heard of it.
func (a *Account) spentParts(now time.Time) []float64 {
	return a.Spent.Parts(now, spentParts)
}

// spentParts is the number of parts of the window in which spending is told.
const spentParts = 8

func (s *State) sendCoordinator(now time.Time, m TokenRequest) {
	if keeper := s.coordinatorOf(now, m.Account); keeper != s.Self.HostID {
		s.send(keeper, m)
		return
	}
	if grant, ok := grantTokens(s, now, s.Self.HostID, m); ok {
		s.LocalGrants = append(s.LocalGrants, grant)
		s.wakeAt(now)
	}
}

// receiveGrant adds tokens and decides on the requests that wait for them.
func receiveGrant[P selector.Policy](s *State, now time.Time, m TokenGrant) {
	a, ok := s.Accounts[m.Account]
	if !ok {
		return
	}
	a.Level += m.Tokens
	if m.Sequence != a.Sequence {
		return
	}
	a.AskedAt = time.Time{}
	settleWaiting[P](s, now, a, m.Wait)
	if len(a.Waiting) > 0 {
		askTokens(s, now, m.Account, a)
	}
}

// settleWaiting places the waiting requests that the tokens suffice for; the rest is refused if the keeper was short, which a
// wait above 0 tells, and otherwise came after the keeper was asked.
func settleWaiting[P selector.Policy](s *State, now time.Time, a *Account, wait time.Duration) {
	waiting := a.Waiting
	a.Waiting = nil
	for _, id := range waiting {
		r, ok := s.Requests[id]
		if !ok || r.Phase != PhaseTokens {
			continue
		}
		if a.spend(now, r) {
			r.Phase = PhaseQueued
			place[P](s, now, r)
			continue
		}
		if wait <= 0 {
			a.Waiting = append(a.Waiting, id)
			continue
		}
		a.Refused++
		s.logEvent(EventRateExceeded, r.origin(now).fields(Field{"account", r.Account}, floatField("cost", r.Cost), floatField("level", a.Level), msField("wait_ms", wait))...)
		refuse(s, now, r, ReasonRateLimited, max(wait, refusedRetryWait))
	}
}

// Asked reports whether an answer of the keeper is still awaited.
func (a *Account) Asked(now time.Time) bool {
	return !a.AskedAt.IsZero() && now.Sub(a.AskedAt) < grantTimeout
}

// tickAccounts ends waits for keepers that do not answer, and returns tokens that are not needed.
func tickAccounts[P selector.Policy](s *State, now time.Time) {
	tickQuotas(s, now)
	granted := s.LocalGrants
	s.LocalGrants = nil
	for _, g := range granted {
		receiveGrant[P](s, now, g)
	}
	for _, name := range sortedKeys(s.Accounts) {
		a := s.Accounts[name]
		p, ok := s.quota(name)
		if !ok {
			delete(s.Accounts, name)
			delete(s.Quotas, name)
			continue
		}
		if !a.AskedAt.IsZero() && !a.Asked(now) {
			a.AskedAt = time.Time{}
			useFallback[P](s, now, p, a)
		}
		returnTokens(s, now, name, a)
	}
}

// useFallback uses this host's even part of the rate while the keeper cannot be reached, less what it has spent in the window already; a
// request that is larger than the even part is let through once a window.
func useFallback[P selector.Policy](s *State, now time.Time, p Quota, a *Account) {
	hosts := float64(s.shareCount(now))
	first := a.Fallback.Burst == 0
	a.Fallback.Set(now, p.Rate/hosts, p.Rate/hosts)
	if first {
		a.Fallback.Level = a.Fallback.Burst
	}
	for _, id := range a.Waiting {
		r, ok := s.Requests[id]
		if !ok {
			continue
		}
		spent := a.Spent.Total(now) + a.Level
		if (spent == 0 || spent+r.Cost <= p.Allowed/hosts) && a.Fallback.Take(now, r.Cost) {
			a.Level += r.Cost
		}
	}
	settleWaiting[P](s, now, a, max(a.Fallback.Wait(now, a.Fallback.Burst), time.Millisecond))
}

func returnTokens(s *State, now time.Time, name string, a *Account) {
	if now.Sub(a.ReturnedAt) < returnEvery {
		return
	}
	a.ReturnedAt = now
	if a.Extra > 0 {
		return
	}
	reserve := a.Demand.At(now, demandHalfLife) * reserveFor.Seconds()
	if surplus := a.Level - 2*reserve; surplus > 0 {
		a.Level -= surplus
		s.sendCoordinator(now, TokenRequest{Account: name, Returned: surplus})
	}
}
