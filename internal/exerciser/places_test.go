package exerciser

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/internal/reducer"
	"github.com/redwingpick/redwingpick/internal/selector"
	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// adapterLoad is a load of requests for adapters, and what became of it.
type adapterLoad struct {
	sim *Simulation[selector.LeastDelay]
	rng *rand.Rand
	// rate is in requests per second. Popularity moves to other adapters after each shift; 0 for never.
	rate  float64
	shift time.Duration
	// path is the path of the requests, and atMostOnce is set if they must not run twice.
	path       string
	atMostOnce bool
	// adapters is the number of adapters, and brief makes all prompts short, which an engine answers at a high rate.
	adapters int
	brief    bool
	// unary sends requests without an adapter to the unary servers.
	unary bool
	// uniform draws all adapters with the same probability; otherwise popularity follows a Zipf law.
	uniform bool

	firstAdapter int
	sent         int
	inTime       int
	// answers counts the answers by engine.
	answers map[string]int
}

const (
	zipfExponent = 1.2
	adapterCount = 3000
	// prefixCount is the number of shared prompt parts of each size.
	prefixCount = 8
	// answerTarget is the latency target of the routes to engines.
	answerTarget = time.Second
)

// newAdapterLoad returns a fleet of 20 hosts and 40 engines that holds its leases; change may alter its options.
//
// 14 adapters in transit for 40 engines are the share that the deployment with 140 engines has.
func newAdapterLoad(places bool, rate float64, change func(o *Options)) *adapterLoad {
	o := defaultOptions(7)
	o.Hosts, o.Engines, o.Domains, o.PrefixCache, o.StoreTransit = 20, 40, 4, true, 14
	o.EngineSpec.Slots, o.EngineSpec.QueueSize = 48, 600
	o.Limits.Adaptive.Places = places
	if change != nil {
		change(&o)
	}
	l := &adapterLoad{sim: New[selector.LeastDelay](o), rng: rand.New(rand.NewPCG(o.Seed, 7)), rate: rate, answers: map[string]int{}}
	l.path, l.atMostOnce, l.adapters = "/stream/x", true, adapterCount
	l.sim.Run(8 * time.Second)
	l.sim.Traffic.catalogueVersion++
	c := l.sim.catalogue(l.sim.Traffic.catalogueVersion, 0)
	c.Accounts = append(c.Accounts, cataloguer.Account{Name: unlimitedAccount, Keys: []string{"key-unlimited"}, Priority: -1})
	l.sim.ConfigService.Put(cataloguer.Document{Key: "catalogue", Kind: cataloguer.KindCatalogue, Catalogue: c, Raw: []byte("load")})
	l.sim.Run(4 * time.Second)
	l.sim.onAnswer = func(b *Backend, r *Request) {
		l.answers[b.Info.ID]++
		if l.sim.Now.Sub(r.sentAt) <= answerTarget {
			l.inTime++
		}
	}
	return l
}

// run sends requests for some time and waits until all have ended.
func (l *adapterLoad) run(d time.Duration) {
	l.start(d)
	l.sim.Run(d + 6*time.Second)
}

// start sends requests for some time.
func (l *adapterLoad) start(d time.Duration) {
	start := l.sim.Now
	var next func()
	next = func() {
		elapsed := l.sim.Now.Sub(start)
		if elapsed >= d {
			return
		}
		if l.shift > 0 {
			l.firstAdapter = int(elapsed/l.shift) * 100
		}
		l.send()
		l.sim.after(time.Duration(l.rng.ExpFloat64()/l.rate*float64(time.Second)), next)
	}
	next()
}

// drawAdapter draws the popularity rank of an adapter; the first one gets a sixth of all requests.
func (l *adapterLoad) drawAdapter() int {
	for !l.uniform {
		if rank := math.Pow(l.rng.Float64(), -1/(zipfExponent-1)) - 1; rank < float64(l.adapters) {
			return int(rank)
		}
	}
	return l.rng.IntN(l.adapters)
}

// send sends one request, a long or a short prompt, to a random host.
func (l *adapterLoad) send() {
	s := l.sim
	h := s.Hosts[l.rng.IntN(len(s.Hosts))]
	if l.unary {
		l.sendUnary(h)
		return
	}
	adapter := l.firstAdapter + l.drawAdapter()
	shared, own, output := 198, 628, 294
	if l.rng.IntN(2) == 0 {
		shared, own, output = 6300, 2890, 54
	}
	if l.brief {
		shared, own, output = 198, 100, 150
	}
	prefix := fmt.Sprintf("shared-%d-%d", shared, l.rng.IntN(prefixCount))
	if !h.Up {
		return
	}
	l.sent++
	s.Checker.requestTimes[engineService] = append(s.Checker.requestTimes[engineService], s.Now)
	s.Traffic.Sent++
	id := fmt.Sprint(s.Traffic.Sent)
	s.deliverRequest(h, &Request{host: h, sentAt: s.Now, account: unlimitedAccount, atMostOnce: l.atMostOnce}, reducer.RequestArrived{
		ID: id, CallerID: id, At: s.Now, HostName: routeHostName, Path: l.path, TimeLeft: 5 * time.Second, Key: "key-unlimited",
		Model: modelName, Adapter: fmt.Sprintf("a%d", adapter), PromptTokens: shared + own, OutputTokens: output,
		Parts: []reducer.Part{{ID: prefix, Tokens: shared}, {ID: "own-" + id, Tokens: own}},
	})
}

// sendUnary sends one request without an adapter to a host.
func (l *adapterLoad) sendUnary(h *Host) {
	s := l.sim
	if !h.Up {
		return
	}
	l.sent++
	s.Checker.requestTimes[unaryService] = append(s.Checker.requestTimes[unaryService], s.Now)
	s.Traffic.Sent++
	id := fmt.Sprint(s.Traffic.Sent)
	s.deliverRequest(h, &Request{host: h, sentAt: s.Now, account: unlimitedAccount, atMostOnce: true}, reducer.RequestArrived{
		ID: id, CallerID: id, At: s.Now, HostName: routeHostName, Path: "/once/x", TimeLeft: 5 * time.Second, Key: "key-unlimited",
	})
}

// missed returns the number of requests without an answer in time.
func (l *adapterLoad) missed() int { return l.sent - l.inTime }

// imbalance returns the answers of the busiest engine as a multiple of the mean.
func (l *adapterLoad) imbalance() float64 {
	busiest, all := 0, 0
	for _, n := range l.answers {
		busiest = max(busiest, n)
		all += n
	}
	return float64(busiest) * float64(l.sim.Options.Engines) / float64(max(all, 1))
}

// resumes returns the number of streams that the running hosts have resumed.
func (l *adapterLoad) resumes() (resumes uint64) {
	for _, h := range l.sim.Hosts {
		resumes += h.State.Counters.Resumes
	}
	return resumes
}

func (l *adapterLoad) String() string {
	loads := uint64(0)
	for _, h := range l.sim.Hosts {
		loads += h.State.Counters.Loads
	}
	return fmt.Sprintf("%d sent, %d not in time, refused %v, %d loads, busiest %.1f", l.sent, l.missed(), l.sim.Traffic.Refused, loads, l.imbalance())
}

// compareLoads plays the same load without and with placement.
func compareLoads(t *testing.T, rate float64, change func(o *Options), play func(l *adapterLoad)) (before, after *adapterLoad) {
	t.Helper()
	before, after = newAdapterLoad(false, rate, change), newAdapterLoad(true, rate, change)
	for _, l := range []*adapterLoad{before, after} {
		play(l)
		t.Logf("places %v: %v", l.sim.Options.Limits.Adaptive.Places, l)
		for _, v := range l.sim.Checker.Violations {
			t.Errorf("violation: %s", v)
		}
	}
	return before, after
}

// TestPopularAdaptersAndShifts guards against engines that are overloaded by popular adapters while others are idle: Zipf popularity that
// moves every 15 s, at 1.3 times the rate of normal load.
func TestPopularAdaptersAndShifts(t *testing.T) {
	before, after := compareLoads(t, 160, nil, func(l *adapterLoad) {
		l.shift = 15 * time.Second
		l.run(40 * time.Second)
	})
	assert.Assert(t, after.missed()*2 < before.missed())
	assert.Assert(t, after.imbalance() < 2 && after.imbalance() < before.imbalance())
}

// TestRareAdaptersAtOnce guards against more loads in transit than the weight store serves at full speed: 3,000 equally popular adapters.
func TestRareAdaptersAtOnce(t *testing.T) {
	before, after := compareLoads(t, 70, nil, func(l *adapterLoad) {
		l.uniform = true
		l.run(20 * time.Second)
	})
	assert.Assert(t, after.missed() < before.missed())
}

// TestStaleFigures guards against hosts that all choose the same engine: a tenth of the messages between hosts is lost, the others are late.
func TestStaleFigures(t *testing.T) {
	before, after := compareLoads(t, 125, func(o *Options) { o.DropRate, o.Latency, o.Jitter = 0.1, 20*time.Millisecond, 60*time.Millisecond },
		func(l *adapterLoad) { l.run(25 * time.Second) })
	assert.Assert(t, after.imbalance() < 0.75*before.imbalance())
}

// TestLostDemandCoordinator guards against replicas that are given up when the lease holder that sums the demand is lost: a popular adapter at
// normal load.
func TestLostDemandCoordinator(t *testing.T) {
	l := newAdapterLoad(true, 100, nil)
	popular := reducer.AdapterKey{Model: modelName, Adapter: "a0"}
	var coordinator *Host
	l.sim.after(12*time.Second, func() {
		for _, h := range l.sim.Hosts {
			if coordinator == nil || h.State.Places.Totals.Recorded(l.sim.Now, popular) > coordinator.State.Places.Totals.Recorded(l.sim.Now, popular) {
				coordinator = h
			}
		}
		assert.Check(t, coordinator.State.Places.Totals.Recorded(l.sim.Now, popular) > 0)
		coordinator.Up = false
	})
	for _, after := range []time.Duration{time.Second, 3 * time.Second, 8 * time.Second} {
		l.sim.after(12*time.Second+after, func() {
			for _, h := range l.sim.Hosts {
				if replicas := h.State.Places.Replicas[popular]; h.Up {
					assert.Check(t, replicas != nil && replicas.Count >= 2, "%s has %+v %v after the loss", h.ID, replicas, after)
				}
			}
		})
	}
	l.run(22 * time.Second)
	t.Logf("%v", l)
	summed := 0.0
	for _, h := range l.sim.Hosts {
		if h.Up {
			summed = max(summed, float64(h.State.Counters.DemandsSent))
		}
	}
	assert.Assert(t, summed > 0)
}
