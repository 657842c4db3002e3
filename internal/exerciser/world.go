package exerciser

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/redwingpick/redwingpick/internal/executor"
	"github.com/redwingpick/redwingpick/internal/modeler"
	"github.com/redwingpick/redwingpick/internal/reducer"
	"github.com/redwingpick/redwingpick/internal/selector"
	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// Start is the virtual time at which every run begins.
var Start = time.Unix(1_700_000_000, 0).UTC()

// Options describes one run; its fields are set before New.
type Options struct {
	Seed   uint64
	Shards []cataloguer.Shard
	Engine modeler.Spec
	Limits reducer.Limits
	// Latency is the one-way delay between hosts, and between hosts and backend servers.
	Latency time.Duration
	// Jitter is the largest random addition to each delay; it reorders messages.
	Jitter time.Duration
	// DropShare and DoubleShare are the parts of the control messages that are lost or come twice.
	DropShare   float64
	DoubleShare float64
	// Drift is the largest relative error of a host's clock rate.
	Drift float64
	// LateShare is the part of the effects that leave their host only after a pause.
	LateShare float64
	// Encode sends every envelope through its wire form and counts the bytes.
	Encode bool
	// Sparse checks the holders of rights alone, so that large fleets run in reasonable time.
	Sparse bool
	// PlatformCalls is the calls a second that the platform allows; 0 for no limit.
	PlatformCalls int
	// ServiceTime is how long a call to a plain service takes.
	ServiceTime time.Duration
}

// World is one fleet in virtual time.
type World[P selector.Policy] struct {
	Options  Options
	Now      time.Time
	Hosts    []*Host
	Engines  map[string]*Engine
	Services map[string]*Service
	Store    modeler.Store
	Platform Platform
	Callers  Callers
	Checks   Checks

	random   *rand.Rand
	queue    actionQueue
	sequence uint64
	hosts    map[string]*Host
	servers  map[string]cataloguer.BackendServer
	cuts     map[[2]string]bool
	tracked  map[string]*tracked
	// troubledAt is when the exchange of configuration was last disturbed.
	troubledAt time.Time
	// Events counts the events that were reduced.
	Events uint64
	// Messages and MessageCount count control messages between hosts.
	Messages uint64
	// Envelopes and EnvelopeBytes count what carries the messages, the bytes only with Options.Encode.
	Envelopes     uint64
	EnvelopeBytes uint64
	// Busy is the real time spent in Reduce.
	Busy time.Duration
}

// Host is one entry host.
type Host struct {
	ID            string
	FailureDomain string
	State         *reducer.State
	Up            bool
	PausedUntil   time.Time
	Leaving       bool
	// Starts counts how often the host was started.
	Starts uint64

	rate     float64
	waiting  []reducer.Event
	revision map[string]uint64
	taken    uint64
}

// action is something that happens at a time.
type action struct {
	at       time.Time
	sequence uint64
	run      func()
}

type actionQueue []action

// Len is part of heap.Interface.
func (q actionQueue) Len() int { return len(q) }

// Less is part of heap.Interface.
func (q actionQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].sequence < q[j].sequence
}

// Swap is part of heap.Interface.
func (q actionQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push is part of heap.Interface.
func (q *actionQueue) Push(x any) { *q = append(*q, x.(action)) }

// Pop is part of heap.Interface.
func (q *actionQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// New returns a fleet whose hosts all start at once.
func New[P selector.Policy](options Options) *World[P] {
	w := &World[P]{
		Options:  options,
		Now:      Start,
		Engines:  map[string]*Engine{},
		Services: map[string]*Service{},
		random:   rand.New(rand.NewPCG(options.Seed, options.Seed^0x9e3779b97f4a7c15)),
		hosts:    map[string]*Host{},
		servers:  map[string]cataloguer.BackendServer{},
		cuts:     map[[2]string]bool{},
		tracked:  map[string]*tracked{},
	}
	w.Checks.setUp()
	for _, s := range options.Shards {
		w.Publish(s)
		w.addServers(s)
	}
	for _, s := range options.Shards {
		for _, h := range s.Hosts {
			w.addHost(h)
		}
	}
	return w
}

func (w *World[P]) addServers(shard cataloguer.Shard) {
	if shard.WeightStore != nil {
		w.Store.LoadTime = shard.WeightStore.LoadTime
		w.Store.MaxInFlight = shard.WeightStore.MaxInFlight
		w.Store.Rate = shard.WeightStore.LoadsPerSecond
	}
	for _, b := range shard.BackendServers {
		w.servers[b.ID] = b
		if b.Kind == cataloguer.KindService {
			w.Services[b.ID] = &Service{ID: b.ID, Up: true, Incarnation: 1}
			continue
		}
		spec := w.Options.Engine
		spec.MaxRunning = b.MaxRunning
		spec.AdapterSlots = b.AdapterSlots
		spec.ColdRunning = b.ColdRunning
		spec.ChecksFencing = b.ChecksFencing
		w.Engines[b.ID] = &Engine{ID: b.ID, Up: true, Model: modeler.NewEngine(spec, 1, Start), ColdSince: Start, CanKnow: Start}
	}
}

func (w *World[P]) addHost(h cataloguer.Host) {
	host := &Host{ID: h.ID, FailureDomain: h.FailureDomain, rate: 1 + w.Options.Drift*(2*w.random.Float64()-1)}
	w.Hosts = append(w.Hosts, host)
	w.hosts[h.ID] = host
	w.StartHost(host)
	w.tickLater(host, time.Duration(w.random.Int64N(int64(executor.TickEvery))))
}

// StartHost starts a host that remembers nothing.
func (w *World[P]) StartHost(h *Host) {
	h.Up = true
	h.Leaving = false
	h.Starts++
	h.PausedUntil = time.Time{}
	h.waiting = nil
	h.revision = map[string]uint64{}
	h.taken = 0
	var seeds []string
	for _, other := range w.Options.Shards {
		for _, o := range other.Hosts {
			if o.ID != h.ID {
				seeds = append(seeds, o.PeerAddress)
			}
		}
	}
	self := reducer.Self{
		HostID: h.ID, Incarnation: uint64(w.Now.UnixNano()), FailureDomain: h.FailureDomain, StartedAt: w.localTime(h), Seeds: seeds,
	}
	h.State = reducer.NewState(self, w.Options.Limits, w.random.Uint64())
}

// Kill ends a host without warning.
func (w *World[P]) Kill(h *Host) {
	h.Up = false
	w.troubledAt = w.Now
	w.hostGone(h)
}

// Pause freezes a host; it wakes late and does not know it.
func (w *World[P]) Pause(h *Host, d time.Duration) {
	h.PausedUntil = w.Now.Add(d)
	w.after(d, func() { w.wake(h) })
}

func (w *World[P]) wake(h *Host) {
	if w.Now.Before(h.PausedUntil) {
		return
	}
	w.troubledAt = w.Now
	waiting := h.waiting
	h.waiting = nil
	for _, e := range waiting {
		w.reduce(h, e)
	}
}

// Drain tells a host to leave.
func (w *World[P]) Drain(h *Host) {
	h.Leaving = true
	w.post(h, reducer.DrainRequested{})
}

// Host returns the host of an id.
func (w *World[P]) Host(id string) *Host { return w.hosts[id] }

// localTime is what a host's clock shows.
func (w *World[P]) localTime(h *Host) time.Time {
	return Start.Add(time.Duration(float64(w.Now.Sub(Start)) * h.rate))
}

// Cut stops all exchange between two parts, each a host, a backend server or "platform".
func (w *World[P]) Cut(a, b string) {
	w.cuts[pair(a, b)] = true
	w.troubledAt = w.Now
}

// Heal ends a cut.
func (w *World[P]) Heal(a, b string) {
	delete(w.cuts, pair(a, b))
	w.troubledAt = w.Now
}

// HealAll ends every cut.
func (w *World[P]) HealAll() {
	w.cuts = map[[2]string]bool{}
	w.troubledAt = w.Now
}

func (w *World[P]) cut(a, b string) bool { return w.cuts[pair(a, b)] }

func pair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

// Run advances the virtual time by d.
func (w *World[P]) Run(d time.Duration) {
	end := w.Now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		a := heap.Pop(&w.queue).(action)
		w.Now = a.at
		a.run()
	}
	w.Now = end
}

// After runs an action at a later virtual time.
func (w *World[P]) After(d time.Duration, run func()) { w.after(d, run) }

func (w *World[P]) after(d time.Duration, run func()) {
	w.sequence++
	heap.Push(&w.queue, action{at: w.Now.Add(max(d, 0)), sequence: w.sequence, run: run})
}

func (w *World[P]) delay() time.Duration {
	if w.Options.Jitter <= 0 {
		return w.Options.Latency
	}
	return w.Options.Latency + time.Duration(w.random.Int64N(int64(w.Options.Jitter)))
}

func (w *World[P]) tickLater(h *Host, d time.Duration) {
	w.after(d, func() {
		if h.Up && !w.paused(h) {
			w.reduce(h, reducer.Tick{})
		}
		w.tickLater(h, executor.TickEvery)
	})
}

func (w *World[P]) paused(h *Host) bool { return w.Now.Before(h.PausedUntil) }

// post gives a host an event now, or when it wakes.
func (w *World[P]) post(h *Host, event reducer.Event) {
	switch {
	case !h.Up:
	case w.paused(h):
		h.waiting = append(h.waiting, event)
	default:
		w.reduce(h, event)
	}
}

// postLater gives a host an event after a delay, unless the host has restarted by then.
func (w *World[P]) postLater(h *Host, d time.Duration, event reducer.Event) {
	incarnation := h.Starts
	w.after(d, func() {
		if h.Starts == incarnation {
			w.post(h, event)
		}
	})
}

func (w *World[P]) reduce(h *Host, event reducer.Event) {
	w.Events++
	now := w.localTime(h)
	began := time.Now()
	effects := reducer.Reduce[P](h.State, now, event)
	w.Busy += time.Since(began)
	w.check(h, now, event, effects)
	for _, e := range effects {
		w.start(h, e)
	}
}

// start carries an effect out, sometimes only after the host has been paused between decision and execution.
func (w *World[P]) start(h *Host, effect reducer.Effect) {
	if w.Options.LateShare > 0 && w.random.Float64() < w.Options.LateShare {
		incarnation := h.Starts
		d := time.Duration(w.random.Int64N(int64(5 * time.Second)))
		w.after(d, func() {
			if h.Starts == incarnation && h.Up {
				w.carryOut(h, effect)
			}
		})
		return
	}
	w.carryOut(h, effect)
}

// SortedEngines returns the ids of the engines in order.
func (w *World[P]) SortedEngines() []string { return sortedIDs(w.Engines) }

func sortedIDs[V any](m map[string]V) []string {
	ids := make([]string, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// at formats the virtual time for reports.
func (w *World[P]) at() string { return fmt.Sprintf("%.3fs", w.Now.Sub(Start).Seconds()) }
