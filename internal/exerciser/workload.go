package exerciser

import (
	"math"
	"sort"
	"time"

	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// Workload describes the calls of a run.
type Workload struct {
	// Rate is the calls a second of each client account, by its id.
	Rate map[string]float64
	// Skew is the exponent of the Zipf law of the adapters' popularity.
	Skew float64
	// ShiftEvery is how often the order of popularity changes; 0 for never.
	ShiftEvery   time.Duration
	PromptTokens int
	MaxTokens    int
	Timeout      time.Duration
	// ServiceShare is the part of the calls that go to the plain service.
	ServiceShare float64
	Service      string

	adapters map[string][]string
	weights  map[string][]float64
	keys     map[string]string
	shift    int
}

// Begin starts the calls of the workload, which go on until the given virtual time.
func (w *World[P]) Begin(load *Workload, until time.Time) {
	load.prepare(w)
	for _, account := range sortedIDs(load.Rate) {
		w.nextCall(load, account, until)
	}
	if load.ShiftEvery > 0 {
		w.shiftLater(load, until)
	}
}

func (load *Workload) prepare(w interface {
	Shard(name string) cataloguer.Shard
	shardNames() []string
}) {
	load.adapters = map[string][]string{}
	load.weights = map[string][]float64{}
	load.keys = map[string]string{}
	for _, name := range w.shardNames() {
		shard := w.Shard(name)
		for _, a := range shard.Adapters {
			if !a.Open {
				load.adapters[a.Owner] = append(load.adapters[a.Owner], a.Name)
			}
		}
		for _, c := range shard.ClientAccounts {
			load.keys[c.ID] = c.Keys[0].Digest
		}
	}
	for account, names := range load.adapters {
		sum := 0.0
		for i := range names {
			sum += math.Pow(float64(i+1), -load.Skew)
			load.weights[account] = append(load.weights[account], sum)
		}
	}
}

func (w *World[P]) shardNames() []string { return sortedIDs(w.Platform.shards) }

func (w *World[P]) nextCall(load *Workload, account string, until time.Time) {
	gap := time.Duration(w.random.ExpFloat64() / load.Rate[account] * float64(time.Second))
	w.after(gap, func() {
		if w.Now.After(until) {
			return
		}
		w.Send(w.newCall(load, account))
		w.nextCall(load, account, until)
	})
}

func (w *World[P]) newCall(load *Workload, account string) *Call {
	call := &Call{Account: account, KeyDigest: load.keys[account], Timeout: load.Timeout}
	if w.random.Float64() < load.ServiceShare {
		call.Service = load.Service
		return call
	}
	names := load.adapters[account]
	sums := load.weights[account]
	rank := sort.SearchFloat64s(sums, w.random.Float64()*sums[len(sums)-1])
	call.Model = names[(rank+load.shift)%len(names)]
	call.PromptTokens = 1 + w.random.IntN(2*load.PromptTokens)
	call.MaxTokens = 1 + w.random.IntN(2*load.MaxTokens)
	return call
}

// shiftLater moves the popularity to other adapters without notice.
func (w *World[P]) shiftLater(load *Workload, until time.Time) {
	w.after(load.ShiftEvery, func() {
		if w.Now.After(until) {
			return
		}
		load.shift += 37
		w.shiftLater(load, until)
	})
}
