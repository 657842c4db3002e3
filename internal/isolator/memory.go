package isolator

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxCrashes, maxSuspects and maxSound bound the memory; up to twice as many suspects and answers are kept until old state is removed.
	maxCrashes  = 16
	maxSuspects = 1024
	maxSound    = 8192
	// maxLosses and maxLossContent bound the lost requests and the sum of their contents. The head of one request has room for some 4,000 parts.
	maxLosses      = 1024
	maxLossContent = 16 << 10
	// maxBystanderContent is the number of contents of a request whose answer had not begun that are suspect after one crash.
	maxBystanderContent = 32
	// pruneInterval is the time between two removals of old state.
	pruneInterval = 10 * time.Second
)

// bound removes old state ahead of time once there is much of it, as when a caller invents content.
func (t *Tracker[K]) bound(now time.Time) {
	if len(t.Suspects) > 2*maxSuspects {
		t.prune(now)
	}
}

// prune removes old losses and suspects, and where there are too many suspects those with the fewest crashes, of these the oldest.
func (t *Tracker[K]) prune(now time.Time) {
	t.PrunedAt = now
	t.expireLosses(now)
	maps.DeleteFunc(t.Suspects, func(_ K, s *Suspect[K]) bool { return s.forgettable(now) })
	t.evictSuspects()
}

// forgettable reports whether a suspect is of no further use.
func (s *Suspect[K]) forgettable(now time.Time) bool {
	if !s.QuarantinedUntil.IsZero() || now.Sub(s.ChangedAt) < shareTime {
		return false
	}
	s.Crashes = slices.DeleteFunc(s.Crashes, func(c Crash) bool { return now.Sub(c.At) > crashTTL })
	return len(s.Crashes) == 0 && (s.Strikes == 0 || now.Sub(s.ChangedAt) > strikeTTL)
}

// evictSuspects removes suspects beyond maxSuspects: first those that were never in quarantine, then those with the fewest crashes, then the oldest.
func (t *Tracker[K]) evictSuspects() {
	if len(t.Suspects) <= maxSuspects {
		return
	}
	keys := slices.SortedFunc(maps.Keys(t.Suspects), func(a, b K) int {
		x, y := t.Suspects[a], t.Suspects[b]
		return cmp.Or(
			cmp.Compare(min(x.Strikes, 1), min(y.Strikes, 1)), cmp.Compare(len(x.Crashes), len(y.Crashes)),
			later(x.ChangedAt, x.QuarantinedUntil).Compare(later(y.ChangedAt, y.QuarantinedUntil)), cmp.Compare(a, b),
		)
	})
	for _, key := range keys[:len(keys)-maxSuspects] {
		delete(t.Suspects, key)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
