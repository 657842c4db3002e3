package e2e

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/platform/standin"
)

// TestConfigurationServiceReturnsFromOlderCopy guards against hosts that wait for revisions of before a return: they serve no route that was added
// after it, and send to servers that drain.
func TestConfigurationServiceReturnsFromOlderCopy(t *testing.T) {
	f := newFleet(t, 3)
	saved := f.platform.Config.Copy()
	for extra := 1; extra <= 3; extra++ {
		f.platform.Configure(extra)
		time.Sleep(300 * time.Millisecond)
	}
	f.platform.Config.SetDown(true)
	time.Sleep(500 * time.Millisecond)
	lost := f.platform.Config.ReturnFromCopy(saved)
	f.platform.Config.SetDown(false)
	time.Sleep(time.Second)
	for _, h := range f.hosts {
		result := f.send(h, standin.Call{ID: "kept-" + h.name, Route: "extra-2", Key: standin.KeyLarge})
		assert.Equal(t, result.Status, 200, "%s fell back to the configuration of the copy", h.name)
	}
	f.platform.Config.WriteAgain(saved, lost)
	f.platform.Configure(4)
	f.platform.Drain("desk-0")
	time.Sleep(drainDeadline)
	before := len(f.platform.Server("desk-0").Stats().RunCounts)
	for i := range 30 {
		h := f.hosts[i%len(f.hosts)]
		result := f.send(h, standin.Call{ID: fmt.Sprintf("new-%d", i), Route: "extra-3", Key: standin.KeyLarge})
		assert.Equal(t, result.Status, 200, "%s lacks the route that was added after the return", h.name)
	}
	assert.Equal(t, len(f.platform.Server("desk-0").Stats().RunCounts), before, "a server that has drained since the return gets requests")
}
