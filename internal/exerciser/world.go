package exerciser

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/redwingpick/redwingpick/internal/asserter"
	"github.com/redwingpick/redwingpick/internal/modeler"
	"github.com/redwingpick/redwingpick/internal/reducer"
	"github.com/redwingpick/redwingpick/internal/selector"
	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// Start is the virtual time at which every run begins.
var Start = time.Unix(1_700_000_000, 0).UTC()

// Times of the modelled network and hosts.
const (
	tickEvery    = 50 * time.Millisecond
	peerTimeout  = 600 * time.Millisecond
	callTimeout  = time.Second
	platformTime = 4 * time.Millisecond
	// skewMs is the largest error of a host's time of day.
	skewMs = 2000
)

// Options describes one run; its fields are set before New.
type Options struct {
	Seed    uint64
	Hosts   int
	Domains int
	Engines int
	Plain   int
	Spec    modeler.Spec
	Limits  reducer.Limits
	// Latency is the one-way delay of all messages, and Jitter the largest random addition.
	Latency time.Duration
	Jitter  time.Duration
	// DropShare is the part of the envelopes between hosts that is lost.
	DropShare float64
	// More adds declared versions of adapters and callers that leave, drawn apart from all other luck.
	More bool
	// Orders makes all requests ask for adapters that are drawn evenly, so that most of them need an order, and entries of engines tell
	// what they hold.
	Orders bool
	// Count makes the run count the bytes of envelopes and the time in Reduce.
	Count bool
}

// World is one fleet in virtual time.
type World[P selector.Policy] struct {
	Options  Options
	Now      time.Time
	Hosts    []*Host
	Backends map[string]*Backend
	Store    modeler.Store
	Checks   Checks
	Callers  Callers
	// Envelopes, EnvelopeBytes and Busy are counted with Options.Count; an answer to an envelope counts as one.
	Envelopes     int
	EnvelopeBytes int
	Busy          time.Duration
	// Messages and MessageBytes count, by kind, the messages in the envelopes.
	Messages      map[string]int
	MessageBytes  map[string]int
	PlatformCalls int
	// Troubles tells of the troubles of incidents.go.
	Troubles []string

	random *rand.Rand
	// more is the luck of what Options.More adds.
	more *rand.Rand
	// trouble is the luck of the troubles of incidents.go.
	trouble  *rand.Rand
	byName   map[string]*Host
	queue    actionQueue
	sequence uint64
	cuts     map[[2]string]bool
	storeCut map[string]bool
	// storeSlow is the time by which answers of the platform come later than they were formed.
	storeSlow time.Duration
	// storeDown is set while the configuration service answers nobody.
	storeDown bool
	splits    []*split
	// askedAt is when the envelope left that a host is reducing.
	askedAt time.Time
	// loss is the part of the envelopes and answers between hosts that Lose makes the network lose.
	loss float64
	// holders are the hosts that were last seen with a lease of a backend server.
	holders map[string][]*Host
	// takenAs tells of each host and backend server with which view the lease was taken last.
	takenAs map[[2]string]string
	// failed holds the keys of violations that are reported once.
	failed map[string]bool
}

// Host is one entry host; its machine outlives its processes.
type Host struct {
	ID     string
	Domain string
	Up     bool
	Frozen bool
	State  *reducer.State
	// Incarnation counts the processes; what belongs to an earlier one is dropped.
	Incarnation uint64
	waiting     []func()
	StartedAt   time.Time
	// DisturbedAt is when something last went wrong at the host or on its way to other hosts.
	DisturbedAt time.Time
	// FaultAt is when something last went wrong at the host itself or on its way to the platform.
	FaultAt time.Time
	// inForce is the version of the configuration that the process was last seen to follow.
	inForce int64
	// silentCalls counts the calls to the platform that are yet to go out on a connection that has gone silent.
	silentCalls int
}

// Backend is one backend server of the model.
type Backend struct {
	Info   cataloguer.Backend
	Up     bool
	Engine *modeler.Engine
	// Told is what its entry last said that it holds.
	Told []cataloguer.Resident
	// LeftAt is when it was published as leaving or gone.
	LeftAt time.Time
	// Arrivals holds the times at which requests came.
	Arrivals []time.Time
	ColdFrom time.Time
	Orders   modeler.OrderLog
}

type action struct {
	at       time.Time
	sequence uint64
	run      func()
}

type actionQueue []action

// Len returns the number of actions.
func (q actionQueue) Len() int { return len(q) }

// Less orders actions by time, then by when they were planned.
func (q actionQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].sequence < q[j].sequence
}

// Swap exchanges two actions.
func (q actionQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push adds an action.
func (q *actionQueue) Push(x any) { *q = append(*q, x.(action)) }

// Pop removes the last action.
func (q *actionQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// New returns a fleet whose hosts start at once and whose catalogue is published a second later.
func New[P selector.Policy](o Options) *World[P] {
	w := &World[P]{
		Options: o, Now: Start, Backends: map[string]*Backend{}, random: rand.New(rand.NewPCG(o.Seed, 1)),
		more:    rand.New(rand.NewPCG(o.Seed, 2)),
		trouble: rand.New(rand.NewPCG(o.Seed, 3)), byName: map[string]*Host{},
		cuts: map[[2]string]bool{}, storeCut: map[string]bool{}, holders: map[string][]*Host{}, failed: map[string]bool{},
		takenAs: map[[2]string]string{},
	}
	w.Messages, w.MessageBytes = map[string]int{}, map[string]int{}
	w.Callers.requests = map[string]*Request{}
	w.Checks = Checks{
		asked: map[string][]time.Time{}, repeats: map[string][]time.Time{}, newest: map[reducer.AdapterKey]int64{},
		declaredAt: map[reducer.AdapterKey]time.Time{},
	}
	for range o.Hosts {
		w.startHost(w.newHost())
	}
	w.after(time.Second, func() {
		w.publishCatalogue()
		for i := range o.Engines {
			w.startBackend(fmt.Sprintf("engine-%02d", i), engineService, w.domain(i))
		}
		for i := range o.Plain {
			w.startBackend(fmt.Sprintf("plain-%02d", i), plainService, w.domain(i))
		}
	})
	return w
}

// newHost adds a host that has not started yet.
func (w *World[P]) newHost() *Host {
	i := len(w.Hosts)
	h := &Host{ID: fmt.Sprintf("host-%02d", i), Domain: w.domain(i)}
	w.Hosts = append(w.Hosts, h)
	w.byName[h.ID], w.byName["peer-"+h.ID] = h, h
	return h
}

func (w *World[P]) domain(i int) string { return fmt.Sprintf("domain-%d", i%w.Options.Domains) }

func (w *World[P]) after(d time.Duration, run func()) {
	w.sequence++
	heap.Push(&w.queue, action{at: w.Now.Add(d), sequence: w.sequence, run: run})
}

// Run lets virtual time pass.
func (w *World[P]) Run(d time.Duration) {
	end := w.Now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		next := heap.Pop(&w.queue).(action)
		w.Now = next.at
		next.run()
	}
	w.Now = end
}

// delay is the time of one message.
func (w *World[P]) delay() time.Duration {
	if w.Options.Jitter <= 0 {
		return w.Options.Latency
	}
	return w.Options.Latency + time.Duration(w.random.Int64N(int64(w.Options.Jitter)))
}

func (w *World[P]) startHost(h *Host) {
	h.Incarnation++
	h.Up = true
	h.Frozen = false
	h.waiting = nil
	h.StartedAt = w.Now
	h.inForce, h.silentCalls = 0, 0
	w.disturb(h)
	self := reducer.Self{
		HostID: h.ID, Incarnation: reducer.NewIncarnation(h.ID, w.Now), Address: h.ID, PeerAddress: "peer-" + h.ID, FailureDomain: h.Domain,
		Region: "region", StartedAt: w.Now, StartedUnixMs: w.Now.UnixMilli() + w.random.Int64N(2*skewMs) - skewMs,
		Seeds: []string{"peer-host-00", "peer-host-01", "peer-host-02"},
	}
	h.State = reducer.NewState(self, w.Options.Limits, w.random.Uint64())
	incarnation := h.Incarnation
	var tick func()
	tick = func() {
		if h.Incarnation != incarnation || !h.Up {
			return
		}
		if !h.Frozen {
			w.reduce(h, reducer.Tick{})
		}
		w.after(tickEvery, tick)
	}
	w.after(time.Duration(w.random.Int64N(int64(300*time.Millisecond))), tick)
}

// post delivers an event to the process that runs on the host now, or later if the host is frozen.
func (w *World[P]) post(h *Host, incarnation uint64, event reducer.Event) {
	w.awake(h, incarnation, func() { w.reduce(h, event) })
}

// awake does what the host's process does, once it is not frozen.
func (w *World[P]) awake(h *Host, incarnation uint64, run func()) {
	if !h.Up || h.Incarnation != incarnation {
		return
	}
	if h.Frozen {
		h.waiting = append(h.waiting, run)
		return
	}
	run()
}

func (w *World[P]) reduce(h *Host, event reducer.Event) []reducer.Effect {
	began := time.Now()
	effects := reducer.Reduce[P](h.State, w.Now, event)
	if w.Options.Count {
		w.Busy += time.Since(began)
	}
	w.checkLeases(h)
	for _, v := range asserter.Check(h.State, w.Now, effects) {
		w.Checks.fail(w.Now, v.Rule, h.ID+": "+v.Detail)
	}
	received, _ := event.(reducer.PeerReceived)
	answered := false
	for _, e := range effects {
		if envelope, ok := e.(reducer.SendPeer); ok && received.ReplyID != "" && !answered && envelope.To == received.From {
			answered = true
			w.answerPeer(h, envelope)
			continue
		}
		w.carryOut(h, e)
	}
	return effects
}

// host returns the host of a name or of an address for other hosts.
func (w *World[P]) host(id string) *Host { return w.byName[id] }

// connected reports whether messages get from one host to another, or to a backend server.
func (w *World[P]) connected(a, b string) bool {
	return !w.cuts[[2]string{a, b}] && !w.splitApart(a, b)
}
