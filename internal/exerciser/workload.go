package exerciser

import (
	"math"
	"math/rand/v2"
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
	// ShiftEvery is how often the order of popularity of one client account changes; 0 for never.
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
	shift    map[string]int
	shifts   int
	// random is apart from that of the world, so that all policies get the same calls.
	random *rand.Rand
}

// shiftBy is the number of ranks by which one shift moves the popularity.
const shiftBy = 37

// Begin starts the calls of the workload, which go on until the given virtual time.
func (w *World[P]) Begin(load *Workload, until time.Time) {
	load.prepare(w)
	load.random = rand.New(rand.NewPCG(w.Options.Seed, 1))
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
	load.shift = map[string]int{}
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
	gap := time.Duration(load.random.ExpFloat64() / load.Rate[account] * float64(time.Second))
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
	if load.random.Float64() < load.ServiceShare {
		call.Service = load.Service
		return call
	}
	names := load.adapters[account]
	sums := load.weights[account]
	rank := sort.SearchFloat64s(sums, load.random.Float64()*sums[len(sums)-1])
	call.Model = names[(rank+load.shift[account])%len(names)]
	call.PromptTokens = 1 + load.random.IntN(2*load.PromptTokens)
	call.MaxTokens = 1 + load.random.IntN(2*load.MaxTokens)
	return call
}

// shiftLater moves the popularity of one client account after another to other adapters, without notice.
func (w *World[P]) shiftLater(load *Workload, until time.Time) {
	w.after(load.ShiftEvery, func() {
		if w.Now.After(until) {
			return
		}
		accounts := sortedIDs(load.Rate)
		load.shift[accounts[load.shifts%len(accounts)]] += shiftBy
		load.shifts++
		w.shiftLater(load, until)
	})
}
