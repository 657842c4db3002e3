package estimator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var startTime = time.Unix(1_700_000_000, 0)

// Load: prompts whose shared part may be cached. Guards against a sample that counts work which the engine did not do.
func TestAmbiguousWorkGivesNoSample(t *testing.T) {
	amounts := []float64{9190, 2890}
	work, ok := Plausible(amounts, 76*time.Millisecond, 25_000)
	assert.Assert(t, ok && work == 2890, "38 or 121 tokens/ms")
	_, ok = Plausible(amounts, 138*time.Millisecond, 38_000)
	assert.Assert(t, !ok, "67 or 21 tokens/ms beside 38 expected")
	_, ok = Plausible(amounts, time.Second, 38_000)
	assert.Assert(t, !ok, "neither")
}

// Load: a server that gets no requests for a while. Guards against old samples outweighing what is known of its failure domain.
func TestOldSamplesYieldToThePrior(t *testing.T) {
	p := Pace{}
	p.Add(startTime, 8000, time.Second)
	prior := Prior{Rate: 32_000, Work: 8000}
	assert.Equal(t, p.Rate(startTime, prior), 12_800.0)
	assert.Assert(t, p.Rate(startTime.Add(10*HalfLife), prior) > 31_900)
}
