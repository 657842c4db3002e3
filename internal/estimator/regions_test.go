package estimator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/internal/exerciser"
	"github.com/redwingpick/redwingpick/internal/modeler"
	"github.com/redwingpick/redwingpick/internal/reducer"
	"github.com/redwingpick/redwingpick/internal/selector"
)

// TestRegionsCutFromEachOther cuts one region off from the others and from the platform, and heals it.
func TestRegionsCutFromEachOther(t *testing.T) {
	size := Size{Hosts: 21, Backends: 21, Accounts: 3, Adapters: 60}
	w := exerciser.New[selector.Adaptive](exerciser.Options{
		Seed: 1, Shards: size.Shards(), Engine: modeler.DefaultSpec(), Limits: reducer.DefaultLimits(),
		Latency: 5 * time.Millisecond, Jitter: 25 * time.Millisecond,
	})
	w.Run(20 * time.Second)
	assert.Equal(t, owned(w), size.Backends)
	cutRegion(w, "region-0")
	for range 12 {
		w.Run(10 * time.Second)
		assert.Equal(t, owned(w), size.Backends)
	}
	w.HealAll()
	w.Run(20 * time.Second)
	assert.Equal(t, owned(w), size.Backends)
	assert.DeepEqual(t, w.Finish(), []string(nil))
}
