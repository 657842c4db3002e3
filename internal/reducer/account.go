package reducer

import (
	"slices"
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
	reserveFor = 400 * time.Millisecond
	// grantTimeout is how long a host waits for a keeper before it uses its even part of the rate.
	grantTimeout = 80 * time.Millisecond
	// returnEvery is the time between two returns of tokens that are not needed.
	returnEvery = 500 * time.Millisecond
)

// charge spends a request's cost from the tokens that this host has been granted.
//
// Without enough of them the request waits for the answer of the account's keeper; known tells that there is an answer.
func charge(s *State, now time.Time, r *Request, account cataloguer.Account) (taken bool) {
	if !account.Limited() || r.Charged {
		return true
	}
	a := s.account(now, account.Name)
	if !r.Counted {
		r.Counted = true
		a.Demand.Add(now, r.Cost, demandHalfLife)
	}
	if a.Level >= r.Cost {
		a.Level -= r.Cost
		r.Charged = true
		return true
	}
	if !slices.Contains(a.Waiting, r.ID) {
		a.Waiting = append(a.Waiting, r.ID)
	}
	askTokens(s, now, account.Name, a)
	return false
}

// account returns this host's state of a client account, or of another fleet-wide budget.
func (s *State) account(now time.Time, name string) *Account {
	a, ok := s.Accounts[name]
	if !ok {
		a = &Account{}
		a.Alone.Set(now, 0, 0)
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
	for _, id := range a.Waiting {
		if r, ok := s.Requests[id]; ok {
			need += r.Cost
		}
	}
	a.AskedAt = now
	a.Sequence++
	request := TokenRequest{
		Account: name, Sequence: a.Sequence, Needed: max(need-a.Level, 0), Wanted: a.Demand.At(now, demandHalfLife) * reserveFor.Seconds(),
	}
	s.wakeAt(now.Add(grantTimeout))
	s.sendKeeper(now, request)
}

func (s *State) sendKeeper(now time.Time, m TokenRequest) {
	if keeper := s.keeperOf(now, m.Account); keeper != s.Self.HostID {
		s.send(keeper, m)
		return
	}
	if grant, ok := grantTokens(s, now, m); ok {
		s.Granted = append(s.Granted, grant)
		s.wakeAt(now)
	}
}

// keeperOf returns the host that grants an account's tokens.
func (s *State) keeperOf(now time.Time, account string) string {
	ranked := rankHosts("account/"+account, s.aliveHosts(now), 1)
	if len(ranked) == 0 {
		return s.Self.HostID
	}
	return ranked[0]
}

// receiveTokenRequest answers a host that asks for tokens.
func receiveTokenRequest(s *State, now time.Time, from string, m TokenRequest) {
	if grant, ok := grantTokens(s, now, m); ok {
		s.send(from, grant)
	}
}

// grantTokens takes what is asked for from the account's bucket, as far as it is there.
func grantTokens(s *State, now time.Time, m TokenRequest) (TokenGrant, bool) {
	rate, burst, ok := s.pool(m.Account)
	if !ok {
		return TokenGrant{}, false
	}
	k, ok := s.Keepers[m.Account]
	if !ok {
		k = &limiter.Bucket{}
		s.Keepers[m.Account] = k
		s.setKeeper(now, rate, burst, k)
		k.Level = k.Burst * newKeeperShare
	}
	s.setKeeper(now, rate, burst, k)
	k.Level = min(k.Level+m.Returned, k.Burst)
	grant := TokenGrant{Account: m.Account, Sequence: m.Sequence}
	if m.Needed+m.Wanted <= 0 {
		return grant, false
	}
	// The reserve comes from what others do not need soon, so that no host hoards the last tokens.
	grant.Tokens = min(m.Needed, max(k.Level, 0))
	if spare := (k.Level - grant.Tokens) / reserveParts; spare > 0 {
		grant.Tokens += min(m.Wanted, spare)
	}
	k.Level -= grant.Tokens
	if grant.Tokens < m.Needed {
		grant.Wait = k.Wait(now, m.Needed)
	}
	return grant, true
}

// newKeeperShare is the part of the burst that a new keeper starts with, since a former one may have granted the rest, and
// reserveParts the number of parts of the level of which one may become a host's reserve.
const (
	newKeeperShare = 0.3
	reserveParts   = 8
)

// setKeeper puts the bounds into force; a keeper that reaches only some of the hosts grants only their part.
func (s *State) setKeeper(now time.Time, rate, burst float64, k *limiter.Bucket) {
	reached := float64(len(s.aliveHosts(now))) / float64(max(len(s.memberHosts(now)), 1))
	k.Set(now, rate*min(reached, 1), burst)
}

// fleetBurst is the burst over all hosts: what a window allows beyond the rate, less a part for keepers that start anew.
func (s *State) fleetBurst(account cataloguer.Account) float64 {
	window := s.Limits.QuotaWindow.Seconds()
	allowed := (account.Rate*window+account.Burst)*(1+s.Limits.QuotaOvershoot) + s.Limits.QuotaSlack
	return (allowed - account.Rate*window*quotaHeadroom) * quotaBurstShare
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
		if a.Level >= r.Cost {
			a.Level -= r.Cost
			r.Charged = true
			r.Phase = PhaseQueued
			place[P](s, now, r)
			continue
		}
		if wait <= 0 {
			a.Waiting = append(a.Waiting, id)
			continue
		}
		a.Refused++
		s.note(EventOverRate, Field{"account", r.Account}, floatField("cost", r.Cost), floatField("level", a.Level), msField("wait_ms", wait))
		refuse(s, now, r, ReasonOverRate, max(wait, refusedRetryWait))
	}
}

// Asked reports whether an answer of the keeper is still awaited.
func (a *Account) Asked(now time.Time) bool {
	return !a.AskedAt.IsZero() && now.Sub(a.AskedAt) < grantTimeout
}

// tickAccounts ends waits for keepers that do not answer, and returns tokens that are not needed.
func tickAccounts[P selector.Policy](s *State, now time.Time) {
	granted := s.Granted
	s.Granted = nil
	for _, g := range granted {
		receiveGrant[P](s, now, g)
	}
	for _, name := range sortedKeys(s.Accounts) {
		a := s.Accounts[name]
		rate, _, ok := s.pool(name)
		if !ok {
			delete(s.Accounts, name)
			delete(s.Keepers, name)
			continue
		}
		if !a.AskedAt.IsZero() && !a.Asked(now) {
			a.AskedAt = time.Time{}
			goAlone[P](s, now, rate, a)
		}
		returnTokens(s, now, name, a)
	}
}

// goAlone uses this host's even part of the rate while the keeper cannot be reached.
func goAlone[P selector.Policy](s *State, now time.Time, rate float64, a *Account) {
	hosts := float64(max(len(s.memberHosts(now)), 1))
	a.Alone.Set(now, rate/hosts, rate/hosts)
	for _, id := range a.Waiting {
		if r, ok := s.Requests[id]; ok && a.Alone.Take(now, r.Cost) {
			a.Level += r.Cost
		}
	}
	settleWaiting[P](s, now, a, max(a.Alone.Wait(now, a.Alone.Burst), time.Millisecond))
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
		s.sendKeeper(now, TokenRequest{Account: name, Returned: surplus})
	}
}
