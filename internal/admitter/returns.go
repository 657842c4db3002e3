package admitter

import "time"

// Return is the promise to one refused caller.
type Return struct {
	// FirstAt is when the request first arrived.
	FirstAt time.Time
	// PromisedAt is when the caller was refused, and DueAt when it was told to return.
	PromisedAt time.Time
	DueAt      time.Time
	// Refusals is the number of times that the request was refused with a promise.
	Refusals int

	slot int64
}

// Returns records when refused callers were told to return.
type Returns[K comparable] struct {
	Promises map[K]*Return
	// Slots holds the slots of the promises, and Oldest the promises in the order in which they were made.
	Slots  map[int64]bool
	Oldest []PromiseRef[K]
}

// PromiseRef identifies one promise.
type PromiseRef[K comparable] struct {
	Key K
	At  time.Time
}

const (
	// returnSlot is the time between two returns: a host handles one request in less.
	returnSlot = 4 * time.Millisecond
	// maxReturns bounds the record; a caller whose promise is dropped counts as new.
	maxReturns = 4096
	// overdueAfter is the time after which a caller that has not returned has given up, or has gone to another host.
	overdueAfter = 2 * time.Second
	// earlyDivisor gives the part of the promised wait by which a caller may be early, and minEarly the least such time: callers round.
	earlyDivisor = 4
	minEarly     = 15 * time.Millisecond
)

// Promise records a refused request and returns when its caller should return: in the first free slot from the expected time to the latest
// useful one. If all of these are taken it takes the last free slot before them, and the latest time if there is none.
func (r *Returns[K]) Promise(now time.Time, key K, refused Return, expected, latest time.Duration) time.Duration {
	r.prune(now)
	r.forget(key)
	first, last := now.Add(min(expected, latest)).UnixNano()/int64(returnSlot)+1, now.Add(latest).UnixNano()/int64(returnSlot)
	slot := r.freeSlot(now, first, last)
	refused.slot = slot
	refused.PromisedAt = now
	refused.DueAt = now.Add(min(max(time.Duration(slot*int64(returnSlot)-now.UnixNano()), 0), latest))
	refused.Refusals++
	if r.Promises == nil {
		r.Promises, r.Slots = map[K]*Return{}, map[int64]bool{}
	}
	r.Promises[key] = &refused
	r.Slots[slot] = true
	r.Oldest = append(r.Oldest, PromiseRef[K]{key, now})
	return refused.DueAt.Sub(now)
}

// freeSlot returns the first free slot from first to last, or else the last one before that is still to come.
func (r *Returns[K]) freeSlot(now time.Time, first, last int64) int64 {
	for slot := first; slot <= last; slot++ {
		if !r.Slots[slot] {
			return slot
		}
	}
	for slot := min(first, last); slot > now.UnixNano()/int64(returnSlot); slot-- {
		if !r.Slots[slot] {
			return slot
		}
	}
	return last
}

// Due returns the promise to the caller of a request that has arrived, and whether the caller is well before its time. A promise that is
// due ends; an early caller keeps its promise.
func (r *Returns[K]) Due(now time.Time, key K) (promise Return, early, ok bool) {
	p, ok := r.Promises[key]
	if !ok || now.Sub(p.DueAt) > overdueAfter {
		return Return{}, false, false
	}
	tolerance := max(p.DueAt.Sub(p.PromisedAt)/earlyDivisor, minEarly)
	if p.DueAt.Sub(now) > tolerance {
		return *p, true, true
	}
	r.forget(key)
	return *p, false, true
}

// Before returns the number of callers that are expected within the given time.
func (r *Returns[K]) Before(now time.Time, within time.Duration) int {
	count := 0
	for _, p := range r.Promises {
		if !p.DueAt.Before(now) && p.DueAt.Sub(now) <= within {
			count++
		}
	}
	return count
}

func (r *Returns[K]) forget(key K) {
	if p, ok := r.Promises[key]; ok {
		delete(r.Slots, p.slot)
		delete(r.Promises, key)
	}
}

// prune drops the promises whose callers have not returned, and the oldest ones beyond the bound of the record.
func (r *Returns[K]) prune(now time.Time) {
	for len(r.Oldest) > 0 {
		ref := r.Oldest[0]
		p, ok := r.Promises[ref.Key]
		current := ok && p.PromisedAt.Equal(ref.At)
		if current && len(r.Oldest) < maxReturns && now.Sub(p.DueAt) <= overdueAfter {
			return
		}
		if current {
			r.forget(ref.Key)
		}
		r.Oldest = r.Oldest[1:]
	}
}
