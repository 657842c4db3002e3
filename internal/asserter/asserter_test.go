package asserter

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/internal/reducer"
)

// Guards against a crash of the checked process: for an order to an unknown backend server, the check has no backend state to read.
func TestOrderToAnUnknownBackendIsAViolation(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	s := reducer.NewState(reducer.Self{HostID: "host-a", StartedAt: now}, reducer.Limits{}, 1)
	s.Leases["e1"] = &reducer.Lease{ValidUntil: now.Add(time.Second)}
	found := Check(s, now, []reducer.Effect{reducer.OrderAdapter{Backend: "e1", NotAfter: now}})
	assert.DeepEqual(t, found, []Violation{{"order_known", "e1"}})
}
