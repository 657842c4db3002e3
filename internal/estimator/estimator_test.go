package estimator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Load: prompts whose shared part may be cached. Guards against a sample that counts work which the engine did not do.
func TestAmbiguousWorkGivesNoSample(t *testing.T) {
	amounts := []float64{9190, 2890}
	work, ok := Plausible(amounts, 76*time.Millisecond, 25_000, false)
	assert.Assert(t, ok && work == 2890, "38 or 121 tokens/ms")
	_, ok = Plausible(amounts, 138*time.Millisecond, 38_000, false)
	assert.Assert(t, !ok, "67 or 21 tokens/ms beside 38 expected")
	work, ok = Plausible(amounts, 200*time.Millisecond, 25_000, true)
	assert.Assert(t, ok && work == 9190, "46 or 14 tokens/ms, and probably nothing cached")
	_, ok = Plausible(amounts, time.Second, 38_000, true)
	assert.Assert(t, !ok, "neither")
}

// Load: a server that gets no requests for a while. Guards against old samples outweighing what is known of its failure domain.
func TestOldSamplesYieldToThePrior(t *testing.T) {
	p, prior, now := Pace{}, Prior{Rate: 32_000, Work: 8000}, time.Unix(1_700_000_000, 0)
	p.Add(now, 8000, time.Second)
	assert.Assert(t, p.Rate(now, prior) == 12_800 && p.Rate(now.Add(10*HalfLife), prior) > 31_900)
}
