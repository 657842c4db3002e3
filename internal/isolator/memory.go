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
	// pruneInterval is the time between two removals of old state.
	pruneInterval = 10 * time.Second
)

// bound removes old state ahead of time once there is much of it, as when a caller invents content.
func (t *Tracker[K]) bound(now time.Time) {
	if len(t.Suspects) > 2*maxSuspects || len(t.SoundAt) > 2*maxSound {
		t.prune(now)
	}
}

// prune removes old suspects, and the oldest ones and the oldest answers where there are too many.
func (t *Tracker[K]) prune(now time.Time) {
	t.PrunedAt = now
	maps.DeleteFunc(t.Suspects, func(_ K, s *Suspect[K]) bool { return s.forgettable(now) })
	evictOldest(t.Suspects, maxSuspects, func(s *Suspect[K]) time.Time { return later(s.ChangedAt, s.QuarantinedUntil) })
	evictOldest(t.SoundAt, maxSound, func(at time.Time) time.Time { return at })
}

// forgettable reports whether a suspect is of no further use.
func (s *Suspect[K]) forgettable(now time.Time) bool {
	if !s.QuarantinedUntil.IsZero() || now.Sub(s.ChangedAt) < shareTime {
		return false
	}
	s.Crashes = slices.DeleteFunc(s.Crashes, func(c Crash) bool { return now.Sub(c.At) > crashTTL })
	return len(s.Crashes) == 0 && (s.Strikes == 0 || now.Sub(s.ChangedAt) > strikeTTL)
}

// evictOldest removes the oldest entries of a map that has more than limit of them.
func evictOldest[K cmp.Ordered, V any](entries map[K]V, limit int, at func(V) time.Time) {
	if len(entries) <= limit {
		return
	}
	keys := slices.SortedFunc(maps.Keys(entries), func(a, b K) int {
		if c := at(entries[a]).Compare(at(entries[b])); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	for _, key := range keys[:len(entries)-limit] {
		delete(entries, key)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
