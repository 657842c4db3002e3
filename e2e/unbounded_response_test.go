package e2e

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/platform/standin"
)

// TestUnboundedResponsesFailOnlyUnsafeRequests guards against two failures when one backend server sends response headers without end:
// requests that may be retried fail, or requests that must not be retried run twice.
func TestUnboundedResponsesFailOnlyUnsafeRequests(t *testing.T) {
	f := newFleet(t, 3)
	f.platform.Server("desk-0").SetBehavior(standin.BehaviorUnboundedHeader)
	for i := range 20 {
		safe := f.send(f.hosts[i%3], unaryCall(fmt.Sprintf("safe-%d", i), "safe"))
		assert.Check(t, safe.Status == http.StatusOK && safe.Body == "done order", "safe-%d: %d %q %v", i, safe.Status, safe.Body, safe.Err)
		once := f.send(f.hosts[i%3], unaryCall(fmt.Sprintf("once-%d", i), "once"))
		assert.Check(t, once.Status == http.StatusOK || once.Status == http.StatusBadGateway, "once-%d: %d %v", i, once.Status, once.Err)
		assert.Check(t, f.runs(fmt.Sprintf("once-%d", i)) == 1)
	}
	assert.Check(t, len(f.platform.Server("desk-0").Stats().RunCounts) > 0)
}
