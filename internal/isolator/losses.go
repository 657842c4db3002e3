package isolator

import (
	"cmp"
	"slices"
	"time"

	"github.com/redwingpick/redwingpick/internal/hasher"
)

// Loss is a request that was lost at a crash of a server.
//
// Content that causes crashes is in the losses of several of them, and is not answered after any of them. So hosts tell each other of losses: each leaves
// out what it has seen answered since, and keeps what is in its own list and in those of the others.
type Loss[K cmp.Ordered] struct {
	Crash
	// ID identifies the loss on all hosts.
	ID uint64
	// Content is what may have caused the crash, in the order of the request.
	Content []K
	// LearnedAt is when this host learned of the loss, and ChangedAt when its content was last reduced here, or the same time.
	LearnedAt time.Time
	ChangedAt time.Time
	// ToldCount counts the messages with the loss since its last change.
	ToldCount int
}

// Candidate is content of at least one loss.
type Candidate struct {
	// LossCount is the number of losses with the content.
	LossCount int
	// Server is the server process of the first loss with the content. Several is set if there was a loss at another one.
	Server  uint64
	Several bool
	// AnsweredAt is when a request with the content was last answered since the first loss, as far as this host knows, and AnsweredHereAt the same at
	// this host; zero if none was.
	AnsweredAt     time.Time
	AnsweredHereAt time.Time
}

// excuses reports whether an answer after a crash shows that the content did not cause it.
func (c *Candidate) excuses(crash Crash) bool {
	return c.AnsweredHereAt.After(crash.At) || c.AnsweredAt.After(crash.At.Add(soundMargin))
}

// lossID returns an identifier for the next loss that this host records.
func (t *Tracker[K]) lossID(crash Crash) uint64 {
	t.LossCount++
	id := hasher.Mix(crash.Server) ^ hasher.Mix(crash.Request+1) ^ hasher.Mix(uint64(crash.At.UnixNano())+2)
	return hasher.Mix(id ^ t.LossCount)
}

// addLoss adds a loss without the content that was answered since the crash, and suspects the content that other servers crashed with too.
func (t *Tracker[K]) addLoss(now time.Time, loss Loss[K], content []K) {
	t.excuseLosses(now)
	loss.LearnedAt, loss.ChangedAt = now, now
	seen, common := make(map[K]bool, len(content)), map[K]bool{}
	// known holds the positions of the content that is suspect already.
	var known []int
	for _, key := range content {
		if seen[key] || t.SoundAt.At(key).After(loss.At) || t.answeredAt(key).After(loss.At.Add(soundMargin)) {
			continue
		}
		seen[key] = true
		loss.Content = append(loss.Content, key)
		several := t.candidate(key, loss.Server)
		switch {
		case t.Suspects[key] != nil:
			known = append(known, len(loss.Content)-1)
		case several:
			common[key] = true
		}
	}
	t.Losses = append(t.Losses, &loss)
	t.LossContent += len(loss.Content)
	for _, depth := range known {
		t.addCrash(now, t.Suspects[loss.Content[depth]], loss.Crash, depth)
	}
	t.suspectCommon(now, common)
	t.boundLosses()
}

// candidate counts one more loss at a server with some content, and reports whether there were losses with it at several servers.
func (t *Tracker[K]) candidate(key K, server uint64) (several bool) {
	c, ok := t.Candidates[key]
	if !ok {
		c = &Candidate{Server: server}
		t.Candidates[key] = c
	}
	c.LossCount++
	c.Several = c.Several || c.Server != server
	return c.Several
}

// suspectCommon creates suspects for some content, with the crashes of all losses that have it.
func (t *Tracker[K]) suspectCommon(now time.Time, common map[K]bool) {
	if len(common) == 0 {
		return
	}
	for _, l := range t.Losses {
		for depth, key := range l.Content {
			if common[key] {
				t.addCrash(now, t.suspect(key), l.Crash, depth)
			}
		}
	}
}

// addCrash adds a crash to a suspect that was at the given position of the lost request.
func (t *Tracker[K]) addCrash(now time.Time, s *Suspect[K], crash Crash, depth int) {
	s.Depth = max(s.Depth, depth)
	if s.addCrash(crash) {
		t.changed(now, s)
	}
}

// MergeLoss adds what another host knows of a loss, and returns the content whose quarantine that ends.
func (t *Tracker[K]) MergeLoss(now time.Time, told Loss[K]) (released []K) {
	i := slices.IndexFunc(t.Losses, func(l *Loss[K]) bool { return l.ID == told.ID })
	if i < 0 {
		if now.Sub(told.At) < lossTellTime {
			t.addLoss(now, Loss[K]{ID: told.ID, Crash: told.Crash}, told.Content)
		}
		return nil
	}
	l, kept := t.Losses[i], make(map[K]bool, len(told.Content))
	for _, key := range told.Content {
		kept[key] = true
	}
	for _, key := range t.reduce(now, l, func(key K) bool { return kept[key] }) {
		if t.recordAnswer(now, key, l.At.Add(soundMargin+1)) {
			released = append(released, key)
		}
	}
	return released
}

// recordAnswer records that some content was answered at the given time or later, and reports whether that ends its quarantine. A suspect keeps
// the time, so that hosts which do not know of the answer yet cannot have it quarantined again.
func (t *Tracker[K]) recordAnswer(now time.Time, key K, at time.Time) (released bool) {
	if at.After(t.ToldAt.At(key)) {
		t.ToldAt.Record(at, key)
	}
	if c, ok := t.Candidates[key]; ok && at.After(c.AnsweredAt) {
		c.AnsweredAt = at
		t.Excusable = true
	}
	s, ok := t.Suspects[key]
	if !ok || !at.After(s.SoundAt) {
		return false
	}
	s.SoundAt = at
	return t.excuse(now, s)
}

// excuseLosses removes from all losses the content that this host has seen answered since.
func (t *Tracker[K]) excuseLosses(now time.Time) {
	if !t.Excusable {
		return
	}
	t.Excusable = false
	for _, l := range t.Losses {
		t.reduce(now, l, func(key K) bool { return !t.Candidates[key].excuses(l.Crash) })
	}
}

// reduce removes from a loss the content that is not kept, which has been answered since the crash, and returns it.
func (t *Tracker[K]) reduce(now time.Time, l *Loss[K], keep func(K) bool) (removed []K) {
	var left []K
	for _, key := range l.Content {
		if keep(key) {
			left = append(left, key)
			continue
		}
		removed = append(removed, key)
		t.releaseCandidate(key)
	}
	if len(removed) > 0 {
		t.LossContent -= len(removed)
		l.Content, l.ChangedAt, l.ToldCount = left, now, 0
	}
	return removed
}

func (t *Tracker[K]) releaseCandidate(key K) {
	c := t.Candidates[key]
	if c.LossCount--; c.LossCount == 0 {
		delete(t.Candidates, key)
	}
}

// removeLoss forgets a loss. The suspects keep its crash.
func (t *Tracker[K]) removeLoss(i int) {
	l := t.Losses[i]
	for _, key := range l.Content {
		t.releaseCandidate(key)
	}
	t.LossContent -= len(l.Content)
	t.Losses = slices.Delete(t.Losses, i, i+1)
}

// boundLosses forgets losses while there are too many: first those without content, then those of requests whose answers had not begun, and of
// each the oldest.
func (t *Tracker[K]) boundLosses() {
	for len(t.Losses) > maxLosses || t.LossContent > maxLossContent {
		i := slices.IndexFunc(t.Losses, func(l *Loss[K]) bool { return len(l.Content) == 0 })
		if i < 0 {
			i = slices.IndexFunc(t.Losses, func(l *Loss[K]) bool { return !l.AnswerBegun })
		}
		t.removeLoss(max(i, 0))
	}
}

// expireLosses forgets the losses that no longer count.
func (t *Tracker[K]) expireLosses(now time.Time) {
	for i := len(t.Losses) - 1; i >= 0; i-- {
		if now.Sub(t.Losses[i].At) > crashTTL {
			t.removeLoss(i)
		}
	}
}

// SharedLosses returns the losses to tell other hosts, of requests whose answers had just begun and that changed recently: first those that were told
// least often. They have at most maxToldContent contents in all, but at least the first is told whole.
func (t *Tracker[K]) SharedLosses(now time.Time) []Loss[K] {
	t.excuseLosses(now)
	var changed []*Loss[K]
	for _, l := range t.Losses {
		if l.AnswerBegun && now.Sub(l.ChangedAt) < shareTime {
			changed = append(changed, l)
		}
	}
	slices.SortStableFunc(changed, func(a, b *Loss[K]) int { return cmp.Compare(a.ToldCount, b.ToldCount) })
	var shared []Loss[K]
	contents := 0
	for _, l := range changed {
		if contents += len(l.Content); contents > maxToldContent && len(shared) > 0 {
			break
		}
		l.ToldCount++
		shared = append(shared, *l)
	}
	return shared
}
