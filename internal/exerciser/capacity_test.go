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

// TestCapacity prints what control costs a host in fleets up to the target's size.
func TestCapacity(t *testing.T) {
	if !*capacity {
		t.Skip("run with -capacity")
	}
	t.Logf("%6s %8s %12s %12s %12s %12s %10s %9s %s", "hosts", "engines", "envelopes/s", "bytes/s", "Reduce us/s", "heap MB", "calls/s", "refused", "broken")
	for _, hosts := range []int{34, 85, 170, 340} {
		o := options(1)
		o.Hosts, o.Engines, o.Domains, o.Plain, o.Count = hosts, hosts*1000/340, 7, 4, true
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		w := New[selector.LeastDelay](o)
		w.Run(10 * time.Second)
		w.Traffic(1600.0 / 340 * float64(hosts))
		w.Run(2 * time.Second)
		w.Envelopes, w.EnvelopeBytes, w.Busy, w.PlatformCalls = 0, 0, 0, 0
		w.Messages, w.MessageBytes = map[string]int{}, map[string]int{}
		const measured = 4
		w.Run(measured * time.Second)
		runtime.GC()
		runtime.ReadMemStats(&after)
		each := float64(measured * hosts)
		refused := 0
		for _, n := range w.Callers.Refused {
			refused += n
		}
		t.Logf("%6d %8d %12.1f %12.0f %12.0f %12.1f %10.1f %9d %d", hosts, o.Engines, float64(w.Envelopes)/each, float64(w.EnvelopeBytes)/each,
			float64(w.Busy.Microseconds())/each, float64(after.HeapAlloc-before.HeapAlloc)/float64(hosts)/(1<<20), float64(w.PlatformCalls)/measured,
			refused, len(w.Checks.Violations))
		t.Logf("refused by reason: %v of %d sent", w.Callers.Refused, w.Callers.Sent)
		for _, kind := range slices.Sorted(maps.Keys(w.Messages)) {
			t.Logf("    %-14s %7.2f a second and host, %8.1f bytes", kind, float64(w.Messages[kind])/each, float64(w.MessageBytes[kind])/each)
		}
		runtime.KeepAlive(w)
	}
}
