package reducer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// A report that waited in a suspended host must not bring back an adapter that was dropped after the report was made.
func TestReportThatWaitedBringsNoDroppedAdapterBack(t *testing.T) {
	f := newFixture(t)
	key := AdapterKey{Model: "m", Adapter: "a1"}
	asked := f.now
	l := newInventory()
	l.RecentlyDropped[key] = asked.Add(-reportLag / 2)
	b := &Backend{Info: cataloguer.Backend{ID: "e1", Service: "engines"}}
	later := asked.Add(2 * time.Second)
	l.adopt(f.state, later, asked.Add(-reportLag), b, ReportedAdapter{Adapter: key, Stage: StageReady})
	assert.Equal(t, len(l.Entries), 0)
	l.adopt(f.state, later, asked, b, ReportedAdapter{Adapter: key, Stage: StageReady})
	assert.Equal(t, len(l.Entries), 1, "a report from after the drop counts")
}
