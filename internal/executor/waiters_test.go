package executor

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/internal/reducer"
)

// TestUnregisterKeepsLaterWaiter guards against the end of one registration canceling a later one under the same id, as when a
// request is repeated under its id while its first run is still ending.
func TestUnregisterKeepsLaterWaiter(t *testing.T) {
	var waiters Waiters
	earlier := waiters.Register(context.Background(), "a")
	later := waiters.Register(context.Background(), "a")
	waiters.Unregister("a", earlier)
	assert.NilError(t, later.Context.Err())
	assert.Assert(t, waiters.Deliver("a", reducer.SetReady{}))
	waiters.Unregister("a", later)
	assert.Assert(t, !waiters.Deliver("a", reducer.SetReady{}))
}
