package isolator

import (
	"cmp"
	"time"
)

// Answers remembers when requests with some content were last answered completely: for at least the maxSound contents that were answered last, and
// for at most twice as many. Its cost for each answer does not depend on how many contents callers send.
type Answers[K cmp.Ordered] struct {
	// Recent takes new answers until it is full; then it replaces Earlier.
	Recent, Earlier map[K]time.Time
}

func newAnswers[K cmp.Ordered]() Answers[K] {
	return Answers[K]{Recent: map[K]time.Time{}, Earlier: map[K]time.Time{}}
}

// Record records an answer.
func (a *Answers[K]) Record(now time.Time, key K) {
	if _, ok := a.Recent[key]; !ok && len(a.Recent) >= maxSound {
		a.Recent, a.Earlier = a.Earlier, a.Recent
		clear(a.Recent)
	}
	a.Recent[key] = now
}

// At returns when a request with the content was last answered; zero if that is not known.
func (a *Answers[K]) At(key K) time.Time {
	if at, ok := a.Recent[key]; ok {
		return at
	}
	return a.Earlier[key]
}

// Len returns the number of remembered answers, counting those twice that both halves hold.
func (a *Answers[K]) Len() int { return len(a.Recent) + len(a.Earlier) }
