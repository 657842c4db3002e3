package estimator

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestEveryLossIsRecoveredFrom loses a host, eight hosts of one of two failure domains of a region, and a failure domain.
func TestEveryLossIsRecoveredFrom(t *testing.T) {
	f := MeasureFleet(Scaled(0.25), 1)
	for name, d := range map[string]interface{ Seconds() float64 }{
		"start": f.StartedAfter, "change": f.ChangeEverywhere, "restart": f.RestartOwnedAfter, "rack": f.RackOwnedAfter, "domain": f.DomainOwnedAfter,
	} {
		assert.Check(t, d.Seconds() < longestWait.Seconds(), name)
	}
	assert.Equal(t, len(f.Violations), 0, "%v", f.Violations)
}
