package exerciser

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/internal/exampler"
	"github.com/redwingpick/redwingpick/internal/modeler"
	"github.com/redwingpick/redwingpick/internal/reducer"
	"github.com/redwingpick/redwingpick/internal/selector"
)

var (
	seeds     = flag.Int("seeds", 12, "number of seeds of the randomised runs")
	firstSeed = flag.Uint64("first-seed", 1, "first seed of the randomised runs")
)

// soakOptions returns a small fleet on a network that loses, doubles and reorders messages.
func soakOptions(seed uint64) Options {
	d := exampler.Sutokatha()
	if seed%2 == 0 {
		d = exampler.TsagaanTsuivan()
	}
	d.Adapters = 300
	engine := modeler.DefaultSpec()
	engine.ReportLag = 300 * time.Millisecond
	return Options{
		Seed: seed, Shards: d.Shards(20000), Engine: engine, Limits: reducer.DefaultLimits(),
		Latency: 500 * time.Microsecond, Jitter: 5 * time.Millisecond, DropShare: 0.02, DoubleShare: 0.02,
		Drift: 0.005, LateShare: 0.001, ServiceTime: 30 * time.Millisecond, Encode: seed%3 == 0,
	}
}

func soakLoad(seed uint64) *Workload {
	d := exampler.Sutokatha()
	if seed%2 == 0 {
		d = exampler.TsagaanTsuivan()
	}
	load := &Workload{
		Rate: map[string]float64{}, Skew: 1, ShiftEvery: 15 * time.Second, PromptTokens: 40, MaxTokens: 60,
		Timeout: 20 * time.Second, ServiceShare: 0.2, Service: d.Services,
	}
	for _, a := range d.Accounts {
		load.Rate[a.ID] = a.Rate / 400
	}
	return load
}

// runSoak lets faults come two at a time and returns the world after everything has ended.
func runSoak(t *testing.T, seed uint64, mutate func(*Options)) *World[selector.Adaptive] {
	t.Helper()
	options := soakOptions(seed)
	if mutate != nil {
		mutate(&options)
	}
	w := New[selector.Adaptive](options)
	w.Callers.Retries = 6
	w.Run(6 * time.Second)
	w.Begin(soakLoad(seed), w.Now.Add(60*time.Second))
	faults := rand.New(rand.NewPCG(seed, 77))
	for range 24 {
		w.Run(2500 * time.Millisecond)
		for range 2 {
			kind := Fault(faults.IntN(int(faultCount)))
			d := time.Duration(500+faults.IntN(9000)) * time.Millisecond
			what := w.Trouble(kind, d)
			t.Logf("%s %s for %v", w.at(), what, d)
		}
	}
	w.Run(40 * time.Second)
	return w
}

func TestSoak(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+uint64(*seeds); seed++ {
		w := runSoak(t, seed, nil)
		violations := w.Finish()
		done := 0
		for _, c := range w.Callers.Calls {
			if c.Outcome == reducer.OutcomeDone {
				done++
			}
		}
		t.Logf("seed %d: %d events, %d calls, %d done, %d violations", seed, w.Events, len(w.Callers.Calls), done, len(violations))
		assert.Check(t, len(violations) == 0, "seed %d: %v", seed, violations)
	}
}
