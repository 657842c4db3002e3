package reducer

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against loads that are expected ten times too early, and against state that grows with the adapters that an engine has ever held: engines
// drop what they have not held for long.
func TestUnloadedAdaptersCountAsCachedForLimitedTime(t *testing.T) {
	f := newPlacesFixture(t)
	inv := newInventory()
	for i := range 2 * heldKept {
		inv.UnloadedAt[AdapterKey{Model: "m", Adapter: strconv.Itoa(i)}] = f.now
	}
	recent := AdapterKey{Model: "m", Adapter: "recent"}
	inv.UnloadedAt[recent] = f.now.Add(heldTTL / 2)
	old := AdapterKey{Model: "m", Adapter: "0"}
	assert.Assert(t, f.state.cachedAfterUnload(f.now.Add(time.Second), &inv, old))
	now := f.now.Add(heldTTL)
	assert.Assert(t, !f.state.cachedAfterUnload(now, &inv, old))
	assert.Assert(t, f.state.cachedAfterUnload(now, &inv, recent))
	f.state.pruneUnloaded(now, &inv)
	assert.Equal(t, len(inv.UnloadedAt), 1)
	f.state.Limits.Adaptive.Places = false
	assert.Assert(t, f.state.cachedAfterUnload(now.Add(time.Hour), &inv, recent), "fixed rules keep it")
}
