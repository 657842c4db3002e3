package exerciser

import (
	"fmt"
	"hash/fnv"
	"testing"

	"gotest.tools/v3/assert"
)

// TestSameEventsSameEffects runs one seed twice: a run must be the same event by event, or it cannot be replayed.
func TestSameEventsSameEffects(t *testing.T) {
	assert.Equal(t, traceOf(t), traceOf(t))
}

func traceOf(t *testing.T) string {
	w := runSoak(t, *firstSeed, nil)
	h := fnv.New64a()
	for _, c := range w.Callers.Calls {
		fmt.Fprintln(h, c.ID, c.SentAt, c.EndedAt, c.Outcome, c.Reason, c.Tokens, c.Tries)
	}
	return fmt.Sprintf("%d events, %d messages, %x", w.Events, w.Messages, h.Sum64())
}
