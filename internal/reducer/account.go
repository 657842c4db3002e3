package reducer

import (
	"time"

	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// demandHalfLife is how fast this host forgets what an account has asked for.
const demandHalfLife = time.Second

// charge takes a request's cost from the account's part on this host and reports whether it was there.
func charge(s *State, now time.Time, account cataloguer.Account, tokens int) (taken bool, wait time.Duration) {
	if !account.Limited() {
		return true, 0
	}
	cost := account.Cost(tokens)
	a := s.account(now, account)
	a.Demand.Add(now, cost, demandHalfLife)
	setShare(s, now, account, a)
	if a.Bucket.Take(now, cost) {
		return true, 0
	}
	a.Refused++
	return false, a.Bucket.Wait(now, cost)
}

// account returns the state of an account; a new bucket starts half full, since a former incarnation may have spent the rest.
func (s *State) account(now time.Time, account cataloguer.Account) *Account {
	a, ok := s.Accounts[account.Name]
	if ok {
		return a
	}
	a = &Account{}
	s.Accounts[account.Name] = a
	setShare(s, now, account, a)
	a.Bucket.Level = a.Bucket.Burst / 2
	return a
}

// setShare puts this host's part of the account's rate into force; without a keeper's word it is an even one.
func setShare(s *State, now time.Time, account cataloguer.Account, a *Account) {
	fraction := 1 / float64(max(len(s.memberHosts(now)), 1))
	if !a.SharedAt.IsZero() && now.Sub(a.SharedAt) < shareValid {
		fraction = a.Fraction
	}
	a.Bucket.Set(now, account.Rate*fraction*quotaHeadroom, account.Burst*fraction)
}

// keeperOf returns the host that divides an account's rate.
func (s *State) keeperOf(now time.Time, account string) string {
	ranked := rankHosts("account/"+account, s.aliveHosts(now), 1)
	if len(ranked) == 0 {
		return s.Self.HostID
	}
	return ranked[0]
}

// tickAccounts tells the keepers what the accounts in use ask of this host.
func tickAccounts(s *State, now time.Time) {
	for name, a := range s.Accounts {
		if _, ok := s.Documents.Accounts[name]; !ok {
			delete(s.Accounts, name)
			continue
		}
		if now.Sub(a.ReportedAt) < demandEvery {
			continue
		}
		a.ReportedAt = now
		report := DemandReport{Account: name, PerSecond: a.Demand.At(now, demandHalfLife)}
		keeper := s.keeperOf(now, name)
		if keeper != s.Self.HostID {
			s.send(keeper, report)
			continue
		}
		receiveDemand(s, now, s.Self.HostID, report)
	}
	for name := range s.Keepers {
		if _, ok := s.Documents.Accounts[name]; !ok {
			delete(s.Keepers, name)
		}
	}
}

// receiveDemand notes a host's demand and tells it its part: a tenth is divided evenly, the rest by demand.
func receiveDemand(s *State, now time.Time, from string, m DemandReport) {
	k, ok := s.Keepers[m.Account]
	if !ok {
		k = &Keeper{Demands: map[string]KeptDemand{}}
		s.Keepers[m.Account] = k
	}
	k.Demands[from] = KeptDemand{PerSecond: m.PerSecond, At: now}
	share := AccountShare{Account: m.Account, Fraction: k.fraction(s, now, from)}
	if from == s.Self.HostID {
		receiveShare(s, now, share)
		return
	}
	s.send(from, share)
}

// evenPart is the part of an account's rate that all hosts share evenly.
const evenPart = 0.1

func (k *Keeper) fraction(s *State, now time.Time, host string) float64 {
	members := s.memberHosts(now)
	total := 0.0
	for id, d := range k.Demands {
		if now.Sub(d.At) > forgetAfter {
			delete(k.Demands, id)
			continue
		}
		total += d.PerSecond
	}
	even := 1 / float64(max(len(members), 1))
	if total <= 0 {
		return even
	}
	// A host that the keeper has not heard yet keeps its even part.
	unheard := max(len(members)-len(k.Demands), 0)
	left := (1 - evenPart) * (1 - float64(unheard)*even)
	return evenPart*even + left*k.Demands[host].PerSecond/total
}

func receiveShare(s *State, now time.Time, m AccountShare) {
	a, ok := s.Accounts[m.Account]
	if !ok {
		return
	}
	a.Fraction = m.Fraction
	a.SharedAt = now
}
