package admitter

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Waiting is a request that waits for capacity.
type Waiting[K any] struct {
	Key K
	// Priority is the request's priority after a possible raise.
	Priority int
	// Returned is set for a request whose caller was refused before and has kept to its time.
	Returned bool
	// InTime is set while the request can still meet its target.
	InTime bool
	// Deficit is that of the request's account, as Shares returns it.
	Deficit float64
	// Cost is the work that the request needs, in tokens.
	Cost float64
	// FirstAt is when the request first arrived.
	FirstAt  time.Time
	Target   time.Duration
	Deadline time.Time
}

// Policy orders two waiting requests.
type Policy interface { // type constraint
	Compare(now time.Time, a, b Terms) int
}

// Terms is what a policy knows of a waiting request.
type Terms = Waiting[struct{}]

// Queue holds the requests that wait for the same capacity.
type Queue[K any, P Policy] struct {
	Items []Waiting[K]
}

// Push adds a request.
func (q *Queue[K, P]) Push(w Waiting[K]) { q.Items = append(q.Items, w) }

// Next removes and returns the request that comes first among those whose cost fits into the room. A request that is too large lets others
// pass until half of its target has passed; then the room is kept for it.
func (q *Queue[K, P]) Next(now time.Time, room float64) (key K, ok bool) {
	best := -1
	for i := range q.Items {
		if q.Items[i].Cost > room && now.Sub(q.Items[i].FirstAt) < q.Items[i].Target/2 {
			continue
		}
		var policy P
		if best < 0 || policy.Compare(now, q.Items[i].terms(), q.Items[best].terms()) < 0 {
			best = i
		}
	}
	if best < 0 || q.Items[best].Cost > room {
		return key, false
	}
	key = q.Items[best].Key
	q.Items = append(q.Items[:best], q.Items[best+1:]...)
	return key, true
}

// All removes and returns all requests in the order in which Next returns those that fit.
func (q *Queue[K, P]) All(now time.Time) []K {
	var policy P
	slices.SortStableFunc(q.Items, func(a, b Waiting[K]) int { return policy.Compare(now, a.terms(), b.terms()) })
	keys := make([]K, len(q.Items))
	for i := range q.Items {
		keys[i] = q.Items[i].Key
	}
	q.Items = nil
	return keys
}

func (w Waiting[K]) terms() Terms {
	return Terms{
		Priority: w.Priority, Returned: w.Returned, InTime: w.InTime, Deficit: w.Deficit, Cost: w.Cost, FirstAt: w.FirstAt, Target: w.Target,
		Deadline: w.Deadline,
	}
}

// Fair orders by priority, then returned callers, then what can be in time, then the account's share, then the cost for the time that is left,
// and then age.
type Fair struct{}

// Compare returns a negative number if a goes before b.
func (Fair) Compare(now time.Time, a, b Terms) int {
	if a.Returned && b.Returned && a.Priority == b.Priority {
		return a.FirstAt.Compare(b.FirstAt)
	}
	return cmp.Or(
		cmp.Compare(a.Priority, b.Priority), trueFirst(a.Returned, b.Returned), trueFirst(a.InTime, b.InTime),
		cmp.Compare(sharesUsed(a), sharesUsed(b)), cmp.Compare(costPerTime(now, a), costPerTime(now, b)), a.FirstAt.Compare(b.FirstAt),
	)
}

// Arrival orders by priority and then by arrival; it is the baseline for measurements of Fair.
type Arrival struct{}

// Compare returns a negative number if a goes before b.
func (Arrival) Compare(_ time.Time, a, b Terms) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), a.FirstAt.Compare(b.FirstAt))
}

func trueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// sharesUsed returns the number of further shares that the request's account uses beside its own; accounts within their share are equal.
func sharesUsed(t Terms) float64 { return math.Ceil(max(-t.Deficit, 0)) }

// costPerTime returns the cost of a request for the time that it has left. The cost counts less the longer the request has waited, so that
// large requests get their turn.
func costPerTime(now time.Time, t Terms) float64 {
	aged := 1 - float64(now.Sub(t.FirstAt))/float64(max(t.Target, 1))
	return max(aged, 0) * t.Cost / max(t.Deadline.Sub(now).Seconds(), time.Millisecond.Seconds())
}
