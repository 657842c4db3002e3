package reducer

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Load: requests for thousands of rare adapters, none of which gets a slot. Guards against state that grows with backend servers times adapters,
// which each usage report sorts.
func TestAbsentAdaptersAreForgotten(t *testing.T) {
	for _, places := range []bool{false, true} {
		f := newPlacesFixture(t)
		f.state.Limits.Adaptive.Places = places
		for i := range 500 {
			key := AdapterKey{Model: "m", Adapter: strconv.Itoa(i)}
			f.reduce(PeerReceived{From: "b", Messages: []Message{ResidencyUpdate{Backend: "e0", Adapter: key, Stage: StageAbsent}}})
			f.reduce(PeerReceived{From: "b", Messages: []Message{ResidencyUpdate{Backend: "e1", Adapter: key, Stage: StageLoading, ReadyIn: time.Second}}})
		}
		f.advance(20 * time.Second)
		assert.Equal(t, len(f.state.Backends["e0"].Adapters), 0)
		assert.Equal(t, len(f.state.Backends["e1"].Adapters), 500, "adapters that may be resident")
	}
}

// Guards against forgetting an adapter for which a request waits or runs, or whose use has not been reported: its engine could then lose it
// while it is in use.
func TestAbsentAdaptersInUseAreKept(t *testing.T) {
	f := newPlacesFixture(t)
	b := f.state.Backends["e0"]
	uses := map[string]Residency{
		"waiting": {Waiting: []string{"1"}}, "running": {Running: 1}, "reported late": {UsageUnreported: true}, "counted": {DispatchCount: 1},
		"verified": {VerificationUnreported: true}, "overdue": {Overdue: true}, "requested": {RequestedAt: f.now.Add(15 * time.Second)},
	}
	for name, r := range uses {
		b.Adapters[AdapterKey{Model: "m", Adapter: name}] = &r
	}
	f.advance(20 * time.Second)
	assert.Equal(t, len(b.Adapters), len(uses))
}
