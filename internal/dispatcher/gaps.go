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
	// typicalGapDivisor selects the typical gap: the one below which that fraction of the gaps lies, but never the shortest.
	// Longer ones contain the prefill of other requests, and the very shortest ones follow an event that came late.
	typicalGapDivisor = 8
	// maxTakingTime is the time from which a caller counts as slow in taking events. A write to a socket with room takes far less.
	maxTakingTime = 2 * time.Millisecond
)

// gapRecorder records the times between the events of a stream.
type gapRecorder struct {
	lastAt  time.Time
	longest time.Duration
	gaps    []time.Duration
	// counts is set if the next gap shows how fast the server decodes.
	counts bool
}

// start records the time of the header.
func (g *gapRecorder) start(now time.Time) { g.lastAt = now }

// event records that events have become complete. The time from the header to the first event is not typical.
func (g *gapRecorder) event(now time.Time) {
	gap := now.Sub(g.lastAt)
	g.lastAt = now
	g.longest = max(g.longest, gap)
	if g.counts && len(g.gaps) < maxGaps {
		g.gaps = append(g.gaps, gap)
	}
}

// written records that the caller has taken the events. Until then no event is read, so the next gap is not typical if that took long.
func (g *gapRecorder) written(now time.Time) { g.counts = now.Sub(g.lastAt) <= maxTakingTime }

// typical returns the typical gap, or 0 if there are too few.
func (g *gapRecorder) typical() time.Duration {
	if len(g.gaps) < minGaps {
		return 0
	}
	slices.Sort(g.gaps)
	return g.gaps[max(len(g.gaps)/typicalGapDivisor, 1)]
}
