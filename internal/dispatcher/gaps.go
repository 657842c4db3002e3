package dispatcher

import (
	"slices"
	"time"
)

const (
	// maxGaps bounds the gaps of one stream that are kept.
	maxGaps = 64
	// minGaps is the number of gaps from which the typical one is known.
	minGaps = 4
	// typicalGapDivisor selects the typical gap: the one below which that fraction of the gaps lies. Longer ones contain the prefill of other
	// requests, and the very shortest ones follow an event that came late.
	typicalGapDivisor = 8
)

// gapRecorder records the times between the events of a stream.
type gapRecorder struct {
	lastAt  time.Time
	longest time.Duration
	gaps    []time.Duration
	started bool
}

// start records the time of the header.
func (g *gapRecorder) start(now time.Time) { g.lastAt = now }

// event records that events have become complete. The time from the header to the first event is not typical.
func (g *gapRecorder) event(now time.Time) {
	gap := now.Sub(g.lastAt)
	g.lastAt = now
	g.longest = max(g.longest, gap)
	if g.started && len(g.gaps) < maxGaps {
		g.gaps = append(g.gaps, gap)
	}
	g.started = true
}

// typical returns the typical gap, or 0 if there are too few.
func (g *gapRecorder) typical() time.Duration {
	if len(g.gaps) < minGaps {
		return 0
	}
	slices.Sort(g.gaps)
	return g.gaps[len(g.gaps)/typicalGapDivisor]
}
