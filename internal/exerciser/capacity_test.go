package exerciser

import (
	"flag"
	"maps"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/redwingpick/redwingpick/internal/selector"
)

var capacity = flag.Bool("capacity", false, "run TestCapacity")

// TestCapacity prints the cost of the control traffic per host in fleets up to the target size.
func TestCapacity(t *testing.T) {
	if !*capacity {
		t.Skip("run with -capacity")
	}
	t.Logf("%6s %8s %12s %12s %12s %12s %10s %9s %s",
		"hosts", "engines", "envelopes/s", "bytes/s", "Reduce us/s", "heap MB", "calls/s", "refused", "violations")
	for _, hosts := range []int{34, 85, 170, 340} {
		o := defaultOptions(1)
		o.Hosts, o.Engines, o.Domains, o.UnaryServers, o.MeasureCost = hosts, hosts*1000/340, 7, 4, true
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		sim := New[selector.LeastDelay](o)
		sim.Run(10 * time.Second)
		sim.StartTraffic(1600.0 / 340 * float64(hosts))
		sim.Run(2 * time.Second)
		sim.Envelopes, sim.EnvelopeBytes, sim.ReduceTime, sim.ConfigServiceCalls = 0, 0, 0, 0
		sim.Messages, sim.MessageBytes = map[string]int{}, map[string]int{}
		const measured = 4
		sim.Run(measured * time.Second)
		runtime.GC()
		runtime.ReadMemStats(&after)
		hostSeconds := float64(measured * hosts)
		refused := 0
		for _, n := range sim.Traffic.Refused {
			refused += n
		}
		t.Logf("%6d %8d %12.1f %12.0f %12.0f %12.1f %10.1f %9d %d", hosts, o.Engines,
			float64(sim.Envelopes)/hostSeconds, float64(sim.EnvelopeBytes)/hostSeconds,
			float64(sim.ReduceTime.Microseconds())/hostSeconds, float64(after.HeapAlloc-before.HeapAlloc)/float64(hosts)/(1<<20),
			float64(sim.ConfigServiceCalls)/measured,
			refused, len(sim.Checker.Violations))
		t.Logf("refused by reason: %v of %d sent", sim.Traffic.Refused, sim.Traffic.Sent)
		for _, kind := range slices.Sorted(maps.Keys(sim.Messages)) {
			t.Logf("    %-14s %7.2f per second and host, %8.1f bytes", kind,
				float64(sim.Messages[kind])/hostSeconds, float64(sim.MessageBytes[kind])/hostSeconds)
		}
		runtime.KeepAlive(sim)
	}
}
