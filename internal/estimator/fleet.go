package estimator

import (
	"fmt"
	"time"

	"github.com/redwingpick/redwingpick/internal/exampler"
	"github.com/redwingpick/redwingpick/internal/exerciser"
	"github.com/redwingpick/redwingpick/internal/modeler"
	"github.com/redwingpick/redwingpick/internal/reducer"
	"github.com/redwingpick/redwingpick/internal/selector"
	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// Size is the size of a fleet.
type Size struct {
	Hosts    int
	Backends int
	Accounts int
	Adapters int
}

// Target is the size that the users name; the number of client accounts is ours.
var Target = Size{Hosts: 340, Backends: 1000, Accounts: 100, Adapters: 180_000}

const (
	failureDomains = 7
	regions        = 3
	// adapterShards is the number of shards of up to a megabyte that 180,000 adapters take.
	adapterShards = 23
)

// Scaled returns the fleet with a share of the target's hosts, backend servers and accounts.
func Scaled(share float64) Size {
	return Size{
		Hosts:    int(float64(Target.Hosts) * share),
		Backends: int(float64(Target.Backends) * share),
		Accounts: max(int(float64(Target.Accounts)*share), 1),
		Adapters: 2000,
	}
}

// Shards returns a catalogue of the size, spread over seven failure domains in three regions.
func (s Size) Shards() []cataloguer.Shard {
	fleet := cataloguer.Shard{Name: "fleet", WeightStore: &cataloguer.WeightStore{LoadsPerSecond: 200, MaxInFlight: 400, LoadTime: 250 * time.Millisecond}}
	list := &cataloguer.HostList{}
	for i := range failureDomains {
		fleet.FailureDomains = append(fleet.FailureDomains, cataloguer.FailureDomain{Name: domain(i), Region: fmt.Sprintf("region-%d", i%regions)})
	}
	for i := range s.Hosts {
		id := fmt.Sprintf("host-%04d", i)
		list.Live = append(list.Live, id)
		fleet.Hosts = append(fleet.Hosts, cataloguer.Host{
			ID: id, Address: address(1, i), PeerAddress: address(2, i), FailureDomain: domain(i),
		})
	}
	for i := range s.Backends {
		fleet.BackendServers = append(fleet.BackendServers, cataloguer.BackendServer{
			ID: fmt.Sprintf("engine-%04d", i), Kind: cataloguer.KindEngine, Address: address(3, i), FailureDomain: domain(i),
			BaseModel: fmt.Sprintf("base-%d", i%3), MaxRunning: 32, AdapterSlots: 24, ColdRunning: 4, ColdFor: 5 * time.Second,
		})
	}
	accounts := cataloguer.Shard{Name: "accounts"}
	for i := range s.Accounts {
		accounts.ClientAccounts = append(accounts.ClientAccounts, cataloguer.ClientAccount{
			ID: fmt.Sprintf("account-%04d", i), Rate: 10_000, Burst: 30_000, Weight: 1,
			Keys: []cataloguer.Key{{Digest: fmt.Sprintf("%064x", i+1)}},
		})
	}
	shards := []cataloguer.Shard{fleet, accounts, {Name: "host_list", HostList: list}}
	step := (s.Adapters + adapterShards - 1) / adapterShards
	for first := 0; first < s.Adapters; first += step {
		shards = append(shards, s.adapters(first, min(first+step, s.Adapters)))
	}
	return shards
}

func domain(i int) string { return fmt.Sprintf("domain-%d", i%failureDomains) }

func address(net, i int) string { return fmt.Sprintf("127.%d.%d.%d:7000", net, i/250, i%250+1) }

func (s Size) adapters(first, end int) cataloguer.Shard {
	shard := cataloguer.Shard{Name: fmt.Sprintf("adapters-%06d", first)}
	for i := first; i < end; i++ {
		shard.Adapters = append(shard.Adapters, cataloguer.Adapter{
			Name: exampler.AdapterName(i), Version: 1, BaseModel: fmt.Sprintf("base-%d", i%3), Owner: fmt.Sprintf("account-%04d", i%s.Accounts),
			Class: cataloguer.Classes[i%len(cataloguer.Classes)], MaxTokens: 2048,
		})
	}
	return shard
}

// Fleet is what a fleet of one size costs in virtual time.
type Fleet struct {
	Size             Size
	EnvelopesAHost   float64
	MessagesAHost    float64
	BytesAHost       float64
	BusyAHost        time.Duration
	PlatformCalls    float64
	StartedAfter     time.Duration
	StartPeakCalls   int
	ChangeEverywhere time.Duration
	DomainOwnedAfter time.Duration
	// RestartReadyAfter and RestartOwnedAfter are how long a killed and at once restarted host takes to be ready, and its
	// backend servers to have an owner again.
	RestartReadyAfter time.Duration
	RestartOwnedAfter time.Duration
	// RackOwnedAfter is how long it takes after the loss of rackHosts hosts of one failure domain.
	RackOwnedAfter    time.Duration
	DomainOwnedBefore float64
	Violations        []string
}

const (
	// longestWait bounds the wait for anything in a run.
	longestWait = 2 * time.Minute
	// recoverFor is the time that a fleet is given before the next loss.
	recoverFor = 15 * time.Second
	// measuredFor is the virtual time over which the quiet cost is taken.
	measuredFor = 10 * time.Second
)

// MeasureFleet runs a fleet from a start of all hosts at once, through quiet time and one change, to the loss of a failure domain.
func MeasureFleet(size Size, seed uint64) Fleet {
	w := exerciser.New[selector.Adaptive](exerciser.Options{
		Seed: seed, Shards: size.Shards(), Engine: modeler.DefaultSpec(), Limits: reducer.DefaultLimits(),
		Latency: 5 * time.Millisecond, Jitter: 25 * time.Millisecond, Encode: true, PlatformCalls: 2000, Sparse: true,
	})
	f := Fleet{Size: size}
	f.StartedAfter = until(w, func() bool { return allReady(w) && owned(w) >= size.Backends })
	f.StartPeakCalls = w.Platform.PeakCalls
	w.Run(20 * time.Second)
	f.measureQuiet(w)
	f.ChangeEverywhere = change(w)
	f.measureRestart(w)
	f.measureRack(w)
	f.measureDomain(w)
	f.Violations = w.Finish()
	return f
}

func (f *Fleet) measureQuiet(w *exerciser.World[selector.Adaptive]) {
	envelopes, messages, bytes, busy, calls := w.Envelopes, w.Messages, w.EnvelopeBytes, w.Busy, w.Platform.Calls
	w.Run(measuredFor)
	seconds := measuredFor.Seconds()
	hosts := float64(f.Size.Hosts)
	f.EnvelopesAHost = float64(w.Envelopes-envelopes) / seconds / hosts
	f.MessagesAHost = float64(w.Messages-messages) / seconds / hosts
	f.BytesAHost = float64(w.EnvelopeBytes-bytes) / seconds / hosts
	f.BusyAHost = time.Duration(float64(w.Busy-busy) / seconds / hosts)
	f.PlatformCalls = float64(w.Platform.Calls-calls) / seconds
}

// change publishes one account's new rate and returns how long it takes to be in force on every host.
func change(w *exerciser.World[selector.Adaptive]) time.Duration {
	shard := w.Shard("accounts")
	shard.ClientAccounts = append([]cataloguer.ClientAccount(nil), shard.ClientAccounts...)
	shard.ClientAccounts[0].Rate++
	revision := w.Publish(shard)
	return until(w, func() bool { return inForce(w, revision) })
}

// inForce reports whether every host has a revision.
func inForce(w *exerciser.World[selector.Adaptive], revision uint64) bool {
	for _, h := range w.Hosts {
		if h.State.Config.Revision < revision {
			return false
		}
	}
	return true
}

// rackHosts is the number of hosts behind one rack or switch.
const rackHosts = 8

// measureRestart kills one host and starts it again at once.
func (f *Fleet) measureRestart(w *exerciser.World[selector.Adaptive]) {
	h := w.Hosts[len(w.Hosts)/2]
	w.Kill(h)
	w.StartHost(h)
	f.RestartReadyAfter = until(w, func() bool { return h.State.Ready })
	f.RestartOwnedAfter = f.RestartReadyAfter + until(w, func() bool { return owned(w) >= f.Size.Backends })
	w.Run(recoverFor)
}

// measureRack kills some hosts of one failure domain, waits for their rights to be held, and starts them again.
func (f *Fleet) measureRack(w *exerciser.World[selector.Adaptive]) {
	var lost []*exerciser.Host
	for _, h := range w.Hosts {
		if h.FailureDomain == domain(1) && len(lost) < rackHosts {
			w.Kill(h)
			lost = append(lost, h)
		}
	}
	f.RackOwnedAfter = until(w, func() bool { return owned(w) >= f.Size.Backends })
	for _, h := range lost {
		w.StartHost(h)
	}
	w.Run(recoverFor)
}

// Cut is what a region cut off from the others and from the platform does to a fleet.
type Cut struct {
	Size Size
	For  time.Duration
	// LeastOwned is the least share of backend servers with an owner at any minute of the cut.
	LeastOwned float64
	// HealedAfter is how long after its end every host has the newest revision.
	HealedAfter time.Duration
	// HealBytes is the bytes of envelopes of the whole fleet in that time.
	HealBytes  float64
	Violations []string
}

// MeasureCut cuts the first region off, publishes a change a minute meanwhile, and heals the cut.
func MeasureCut(size Size, seed uint64, d time.Duration) Cut {
	w := exerciser.New[selector.Adaptive](exerciser.Options{
		Seed: seed, Shards: size.Shards(), Engine: modeler.DefaultSpec(), Limits: reducer.DefaultLimits(),
		Latency: 5 * time.Millisecond, Jitter: 25 * time.Millisecond, Encode: true, Sparse: true,
	})
	w.Run(30 * time.Second)
	cutRegion(w, "region-0")
	c := Cut{Size: size, For: d, LeastOwned: 1}
	for waited := time.Duration(0); waited < d; waited += time.Minute {
		w.Publish(w.Shard("accounts"))
		w.Run(time.Minute)
		c.LeastOwned = min(c.LeastOwned, float64(owned(w))/float64(size.Backends))
	}
	w.HealAll()
	before := w.EnvelopeBytes
	newest := w.Revision()
	c.HealedAfter = until(w, func() bool { return inForce(w, newest) })
	c.HealBytes = float64(w.EnvelopeBytes - before)
	c.Violations = w.Finish()
	return c
}

func cutRegion(w *exerciser.World[selector.Adaptive], region string) {
	for _, a := range w.Hosts {
		if a.State.Self.Region != region {
			continue
		}
		w.Cut(a.ID, "platform")
		for _, b := range w.Hosts {
			if b.State.Self.Region != region {
				w.Cut(a.ID, b.ID)
			}
		}
	}
}

// measureDomain kills all hosts of a failure domain at once and waits until every backend server has an owner again.
func (f *Fleet) measureDomain(w *exerciser.World[selector.Adaptive]) {
	before := owned(w)
	for _, h := range w.Hosts {
		if h.FailureDomain == domain(0) {
			w.Kill(h)
		}
	}
	f.DomainOwnedBefore = float64(owned(w)) / float64(max(before, 1))
	f.DomainOwnedAfter = until(w, func() bool { return owned(w) >= f.Size.Backends })
}

func until(w *exerciser.World[selector.Adaptive], holds func() bool) time.Duration {
	const step = 50 * time.Millisecond
	for waited := time.Duration(0); waited < longestWait; waited += step {
		if holds() {
			return waited
		}
		w.Run(step)
	}
	return longestWait
}

func allReady(w *exerciser.World[selector.Adaptive]) bool {
	for _, h := range w.Hosts {
		if !h.State.Ready {
			return false
		}
	}
	return true
}

func owned(w *exerciser.World[selector.Adaptive]) int {
	count := 0
	for _, h := range w.Hosts {
		if !h.Up {
			continue
		}
		for _, b := range h.State.Backends {
			if b.Known && !b.Lost {
				count++
			}
		}
	}
	return count
}
