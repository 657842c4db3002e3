package exerciser

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/internal/isolator"
	"github.com/redwingpick/redwingpick/internal/selector"
)

// Bounds of what control may cost, from the target that the users state for a host, and of the time without leases after a restart of all
// hosts, from recovery_s of the deployment of 195 hosts less the 5 s in which its callers come back.
const (
	maxIdleBytesPerSecond = 6 << 10
	maxStoreCalls         = 5
	maxLeaseRecovery      = 10 * time.Second
)

// TestControlCostAtScale guards against control that grows with the fleet: heartbeats that name each host, records that go to all hosts when
// all start at once, and confirmations that reach hosts so late that they read the configuration service themselves.
func TestControlCostAtScale(t *testing.T) {
	for _, hosts := range []int{40, 195} {
		o := defaultOptions(1)
		o.Hosts, o.Engines, o.Domains, o.UnaryServers, o.MeasureCost = hosts, hosts*123/195, 6, 4, true
		sim := New[selector.LeastDelay](o)
		sim.Run(20 * time.Second)
		assert.Equal(t, sim.heldLeases(), o.Engines, "%d hosts: leases 20 s after the start", hosts)
		sim.measureIdle(t)
		killedAt := sim.Now
		for _, h := range sim.Hosts {
			h.Up = false
		}
		sim.Run(500 * time.Millisecond)
		for _, h := range sim.Hosts {
			sim.startHost(h)
		}
		for sim.heldLeases() < o.Engines && sim.Now.Sub(killedAt) < maxLeaseRecovery {
			sim.Run(100 * time.Millisecond)
		}
		assert.Equal(t, sim.heldLeases(), o.Engines, "%d hosts: leases %v after all hosts were killed", hosts, maxLeaseRecovery)
		t.Logf("%d hosts: all leases %v after all hosts were killed", hosts, sim.Now.Sub(killedAt))
		assert.Equal(t, len(sim.Checker.Violations), 0, "%v", sim.Checker.Violations)
	}
}

// measureIdle measures what control costs for some seconds without requests and checks its bounds.
func (s *Simulation[P]) measureIdle(t *testing.T) {
	t.Helper()
	const seconds = 4
	s.Envelopes, s.EnvelopeBytes, s.ConfigServiceCalls = 0, 0, 0
	s.Run(seconds * time.Second)
	hosts := len(s.Hosts)
	bytes, calls := s.EnvelopeBytes/hosts/seconds, s.ConfigServiceCalls/seconds
	t.Logf("%d hosts: %d envelopes/s and %d bytes/s a host, %d store calls/s", hosts, s.Envelopes/hosts/seconds, bytes, calls)
	assert.Assert(t, bytes <= maxIdleBytesPerSecond, "%d bytes/s a host among %d", bytes, hosts)
	assert.Assert(t, calls <= maxStoreCalls, "%d store calls/s from %d hosts", calls, hosts)
}

// heldLeases returns the number of leases that hosts hold.
func (s *Simulation[P]) heldLeases() int {
	held := 0
	for _, h := range s.Hosts {
		for _, l := range h.State.Leases {
			if h.Up && s.Now.Before(l.ValidUntil) {
				held++
			}
		}
	}
	return held
}

// TestQuarantinesCostLittle guards against hosts that tell each other all of a quarantine in each round of gossip.
func TestQuarantinesCostLittle(t *testing.T) {
	o := defaultOptions(1)
	o.Hosts, o.Engines, o.Domains, o.MeasureCost = 40, 20, 6, true
	sim := New[selector.LeastDelay](o)
	sim.Run(12 * time.Second)
	const quarantines = 20
	tracker := &sim.Hosts[0].State.Isolation.Content
	for i := range quarantines {
		for crash := range uint64(10) {
			at := sim.Now.Add(-time.Duration(1+crash) * time.Second)
			tracker.RecordCrash(sim.Now, isolator.Crash{Server: uint64(i)<<8 + crash, Request: crash, At: at}, []string{fmt.Sprintf("part/%d", i)})
		}
	}
	sim.Run(5 * time.Second)
	for _, h := range sim.Hosts {
		assert.Equal(t, h.State.Counters.Quarantines, uint64(quarantines), h.ID)
	}
	sim.measureIdle(t)
}
