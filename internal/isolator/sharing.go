package isolator

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// shareTime is how long a change is told to other hosts, and maxReminders the number of unchanged quarantines that are told at a time, so
	// that hosts which have started learn of them.
	shareTime    = 1500 * time.Millisecond
	maxReminders = 4
	// lossTellTime is the age of a crash up to which hosts add losses of which others tell, so that a loss which some hosts have forgotten does not
	// circulate for ever.
	lossTellTime = 10 * time.Second
	// maxToldContent bounds the contents of the losses in one message.
	maxToldContent = 2048
	// maxPushedContent is the number of contents up to which a loss is told between two rounds of gossip each time that it is reduced.
	maxPushedContent = 256
)

// Shared returns the suspects to tell other hosts: up to count of those that changed recently, the ones in quarantine and then those with the
// most crashes first, as many that were excused recently, the last ones first, and reminders of other quarantines. So the evidence against some
// content never takes the place of the answers that excuse other content.
func (t *Tracker[K]) Shared(now time.Time, count int) []Suspect[K] {
	var changed, excused []Suspect[K]
	var steady []*Suspect[K]
	for _, key := range slices.Sorted(maps.Keys(t.Suspects)) {
		s := t.Suspects[key]
		switch {
		case now.Sub(s.ChangedAt) < shareTime && len(s.Crashes) == 0:
			excused = append(excused, *s)
		case now.Sub(s.ChangedAt) < shareTime:
			changed = append(changed, s.withCrashes(s.Crashes))
		case now.Before(s.QuarantinedUntil):
			steady = append(steady, s)
		}
	}
	slices.SortStableFunc(changed, func(a, b Suspect[K]) int {
		if c := b.QuarantinedUntil.Compare(a.QuarantinedUntil); c != 0 {
			return c
		}
		return cmp.Compare(len(b.Crashes), len(a.Crashes))
	})
	slices.SortStableFunc(excused, func(a, b Suspect[K]) int { return b.SoundAt.Compare(a.SoundAt) })
	shared := append(changed[:min(len(changed), count)], excused[:min(len(excused), count)]...)
	return append(shared, t.reminders(steady)...)
}

// reminders returns some of the unchanged quarantines, each time the next ones, with one crash each: other hosts need no more.
func (t *Tracker[K]) reminders(steady []*Suspect[K]) []Suspect[K] {
	var reminders []Suspect[K]
	for range min(len(steady), maxReminders) {
		s := steady[t.Reminded%len(steady)]
		t.Reminded++
		reminders = append(reminders, s.withCrashes(s.Crashes[max(len(s.Crashes)-1, 0):]))
	}
	return reminders
}

// withCrashes returns a copy of a suspect with a copy of the given crashes.
func (s *Suspect[K]) withCrashes(crashes []Crash) Suspect[K] {
	out := *s
	out.Crashes = slices.Clone(crashes)
	return out
}

// ChangedSince reports whether something changed after a time that is told at once: a suspect or a loss. A long loss that was only reduced is told with
// the next round of gossip.
func (t *Tracker[K]) ChangedSince(at time.Time) bool {
	if slices.ContainsFunc(t.Losses, func(l *Loss[K]) bool {
		return l.AnswerBegun && (l.LearnedAt.After(at) || l.ChangedAt.After(at) && len(l.Content) <= maxPushedContent)
	}) {
		return true
	}
	for _, s := range t.Suspects {
		if s.ChangedAt.After(at) {
			return true
		}
	}
	return false
}
