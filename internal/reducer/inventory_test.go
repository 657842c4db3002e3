package reducer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// TestDelayedReportDoesNotRestoreAnUnloadedAdapter covers a report that was processed late because the host was suspended: it must not
// restore an adapter that was unloaded after the report was made.
func TestDelayedReportDoesNotRestoreAnUnloadedAdapter(t *testing.T) {
	f := newFixture(t)
	key := AdapterKey{Model: "m", Adapter: "a1"}
	requestedAt := f.now
	inv := newInventory()
	inv.UnloadedAt[key] = requestedAt.Add(-reportLag / 2)
	b := &Backend{Info: cataloguer.Backend{ID: "e1", Service: "engines"}}
	processedAt := requestedAt.Add(2 * time.Second)
	inv.mergeReported(f.state, processedAt, requestedAt.Add(-reportLag), b, ReportedAdapter{Adapter: key, Stage: StageReady})
	assert.Equal(t, len(inv.Entries), 0)
	inv.mergeReported(f.state, processedAt, requestedAt, b, ReportedAdapter{Adapter: key, Stage: StageReady})
	assert.Equal(t, len(inv.Entries), 1, "a report made after the unload counts")
}
