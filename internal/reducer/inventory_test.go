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
	asked := f.now
	l := newInventory()
	l.UnloadedAt[key] = asked.Add(-reportLag / 2)
	b := &Backend{Info: cataloguer.Backend{ID: "e1", Service: "engines"}}
	later := asked.Add(2 * time.Second)
	l.mergeReported(f.state, later, asked.Add(-reportLag), b, ReportedAdapter{Adapter: key, Stage: StageReady})
	assert.Equal(t, len(l.Entries), 0)
	l.mergeReported(f.state, later, asked, b, ReportedAdapter{Adapter: key, Stage: StageReady})
	assert.Equal(t, len(l.Entries), 1, "a report made after the unload counts")
}
