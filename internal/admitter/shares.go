package admitter

import (
	"math"
	"time"

	"github.com/redwingpick/redwingpick/internal/limiter"
)

// Shares records what each client account uses at each priority.
//
// An account may use what it usually uses, or an equal share if that is more. The deficit of an account is the part of this that it has not
// used; one at several times its usual rate has none.
type Shares struct {
	Uses map[ShareKey]*Use
	// Total is the recent use of all accounts at each priority, and Requests the requests per second behind it.
	Total    [Priorities]limiter.DecayingRate
	Requests [Priorities]limiter.DecayingRate

	prunedAt time.Time
}

// ShareKey is an account at one priority.
type ShareKey struct {
	Account  string
	Priority int
}

// Use is the recent and the usual use of one account at one priority, in tokens per second.
type Use struct {
	Recent limiter.DecayingRate
	Usual  limiter.DecayingRate
}

const (
	// recentHalfLife is about the target of the kinds that wait longest, so that a burst counts while it waits.
	recentHalfLife = 2 * time.Second
	// usualHalfLife is long against a burst.
	usualHalfLife = 60 * time.Second
	// toleratedRequests is the number of requests beyond its share that an account may send at once: a host sees few requests of each account,
	// so small numbers say nothing about its use.
	toleratedRequests = 4
	// idleUse is the use in tokens per second below which an account counts as idle.
	idleUse = 1
	// sharesPruneInterval is the time between two removals of idle accounts.
	sharesPruneInterval = 10 * time.Second
)

// Record adds the cost of a request that was asked for.
func (s *Shares) Record(now time.Time, account string, priority int, cost float64) {
	key := ShareKey{account, bounded(priority)}
	if s.Uses == nil {
		s.Uses = map[ShareKey]*Use{}
	}
	u, ok := s.Uses[key]
	if !ok {
		u = &Use{}
		s.Uses[key] = u
	}
	u.Recent.Add(now, cost, recentHalfLife)
	u.Usual.Add(now, cost, usualHalfLife)
	s.Total[key.Priority].Add(now, cost, recentHalfLife)
	s.Requests[key.Priority].Add(now, 1, recentHalfLife)
	s.prune(now)
}

// Deficit returns what an account may still use beside its recent use, as a fraction of what it may use; it is negative above that.
func (s *Shares) Deficit(now time.Time, account string, priority int) float64 {
	key := ShareKey{account, bounded(priority)}
	u, ok := s.Uses[key]
	if !ok {
		return 1
	}
	active := 0
	for other, use := range s.Uses {
		if other.Priority == key.Priority && use.Recent.At(now, recentHalfLife) >= idleUse {
			active++
		}
	}
	total := s.Total[key.Priority].At(now, recentHalfLife)
	cost := total / s.Requests[key.Priority].At(now, recentHalfLife)
	tolerated := toleratedRequests * cost * math.Ln2 / recentHalfLife.Seconds()
	allowed := max(u.Usual.At(now, usualHalfLife), total/float64(max(active, 1)), idleUse) + tolerated
	return 1 - u.Recent.At(now, recentHalfLife)/allowed
}

// prune removes the accounts that have been idle for long.
func (s *Shares) prune(now time.Time) {
	if now.Sub(s.prunedAt) < sharesPruneInterval {
		return
	}
	s.prunedAt = now
	for key, u := range s.Uses {
		if u.Usual.At(now, usualHalfLife) < idleUse {
			delete(s.Uses, key)
		}
	}
}
