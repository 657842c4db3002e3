package dispatcher

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// recordGaps records events after the given gaps, the first of which follows the header; taking an event takes the caller some time.
func recordGaps(taking time.Duration, gaps ...time.Duration) *gapRecorder {
	g, now := &gapRecorder{}, time.Unix(1_700_000_000, 0)
	g.start(now)
	for _, gap := range gaps {
		now = now.Add(gap)
		g.event(now)
		g.written(now.Add(taking))
	}
	return g
}

// Guards against a typical gap that contains the prefill of other requests, or the wait for the first event.
func TestTypicalGapIsThatOfUninterruptedDecoding(t *testing.T) {
	const usual, interrupted = 30 * time.Millisecond, 300 * time.Millisecond
	gaps := []time.Duration{2 * time.Second}
	for i := range 48 {
		gap := usual
		if i%3 == 0 {
			gap = interrupted
		}
		gaps = append(gaps, gap)
	}
	g := recordGaps(0, gaps...)
	assert.Equal(t, g.typical(), usual)
	assert.Equal(t, g.longest, 2*time.Second)
}

// Guards against single events that arrive together with a late one making an engine look fast.
func TestShortestGapIsNotTypical(t *testing.T) {
	const usual = 30 * time.Millisecond
	g := recordGaps(0, usual, usual, usual, 2*usual, time.Microsecond, usual, usual, usual, usual)
	assert.Equal(t, g.typical(), usual)
	g = recordGaps(0, usual, usual, 2*usual, time.Microsecond, usual)
	assert.Equal(t, g.typical(), usual, "a stream of five events")
}

// Guards against a typical gap of a stream with hardly any event, or with none.
func TestFewGapsHaveNoTypicalOne(t *testing.T) {
	assert.Equal(t, (&gapRecorder{}).typical(), time.Duration(0))
	assert.Equal(t, recordGaps(0, time.Second, time.Second, time.Second, time.Second).typical(), time.Duration(0))
}

// Guards against memory that grows with the length of a stream.
func TestGapsOfALongStreamAreBounded(t *testing.T) {
	g := recordGaps(0, make([]time.Duration, 10_000)...)
	assert.Equal(t, len(g.gaps), maxGaps)
}

// Guards against a caller that reads slowly making its engine look slow: the relay reads the next event only when the caller has taken the last.
func TestSlowCallerGivesNoTypicalGap(t *testing.T) {
	const taking = 200 * time.Millisecond
	gaps := make([]time.Duration, 20)
	for i := range gaps {
		gaps[i] = taking + time.Microsecond
	}
	g := recordGaps(taking, gaps...)
	assert.Equal(t, g.typical(), time.Duration(0))
	assert.Equal(t, g.longest, taking+time.Microsecond)
}
