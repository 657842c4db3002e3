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

// StartTime is the virtual time at which every simulation begins.
var StartTime = time.Unix(1_700_000_000, 0).UTC()

// Times of the simulated network and hosts.
const (
	tickInterval         = 50 * time.Millisecond
	peerTimeout          = 600 * time.Millisecond
	callTimeout          = time.Second
	configServiceLatency = 4 * time.Millisecond
	// maxClockSkewMs bounds the error of a host's time of day.
	maxClockSkewMs = 2000
)

// Options configures a simulation; its fields are set before New is called.
type Options struct {
	Seed         uint64
	Hosts        int
	Domains      int
	Engines      int
	UnaryServers int
	EngineSpec   modeler.Spec
	Limits       reducer.Limits
	// Latency is the one-way delay of all messages, and Jitter the upper bound of the random delay added to it.
	Latency time.Duration
	Jitter  time.Duration
	// DropRate is the probability that an envelope between hosts is lost; replies are not affected.
	DropRate float64
	// ExtendedWorkload adds callers that disconnect, account rates too small for the traffic and engines with slow loads, and is used
	// with PublishAdapterVersions. Its draws come from a random source of their own.
	ExtendedWorkload bool
	// ServerNotices makes draining backend servers say so in their responses, and full engines ask for fullBackoff without requests.
	ServerNotices bool
	// ReturningCallers makes callers of refused requests return once to any host, as Retry-After says.
	ReturningCallers bool
	// UniformAdapters makes all requests use adapters that are drawn uniformly, which means that most requests need a load order, and
	// publishes the resident adapters in the entries of engines.
	UniformAdapters bool
	// UnevenServers gives backend servers different speeds (speeds.go) and makes them report their load.
	UnevenServers bool
	// PrefixCache makes engines prefill each prompt part once for each adapter.
	PrefixCache bool
	// StoreTransit is the number of adapters that the weight store delivers at once at full speed; with more in transit over all engines,
	// loads take proportionally longer. 0 means no limit.
	StoreTransit int
	// MeasureCost enables the measurement of envelope sizes and of the time spent in Reduce.
	MeasureCost bool
}

// Simulation is a fleet of hosts with its network, backend servers, callers and configuration service in virtual time.
type Simulation[P selector.Policy] struct {
	Options  Options
	Now      time.Time
	Hosts    []*Host
	Backends map[string]*Backend
	// ConfigService simulates the configuration service, the only part of the platform that hosts call.
	ConfigService modeler.ConfigService
	Checker       Checker
	Traffic       Traffic
	// Envelopes, EnvelopeBytes and ReduceTime are measured with Options.MeasureCost; a reply to an envelope counts as an envelope.
	Envelopes     int
	EnvelopeBytes int
	ReduceTime    time.Duration
	// Messages and MessageBytes count the messages in envelopes and their bytes by message type.
	Messages     map[string]int
	MessageBytes map[string]int
	// ConfigServiceCalls counts the watches of the configuration service, and ConfigServiceLists the lists.
	ConfigServiceCalls int
	ConfigServiceLists int
	// DeadlyPart, if set, makes a part of some prompts crash engines.
	DeadlyPart *DeadlyPart
	// Return is the last return of the configuration service from an older copy.
	Return serviceReturn
	// FaultLog describes the faults injected by a schedule (scheduled_faults.go).
	FaultLog []string

	rng *rand.Rand
	// extendedRNG is the random source of Options.ExtendedWorkload.
	extendedRNG *rand.Rand
	// faultRNG is the random source of the faults in scheduled_faults.go.
	faultRNG                     *rand.Rand
	hostsByName                  map[string]*Host
	queue                        actionQueue
	sequence                     uint64
	blockedLinks                 map[[2]string]bool
	partitionedFromConfigService map[string]bool
	// configServiceDelay is added to the delivery of responses of the configuration service after they have been formed.
	configServiceDelay time.Duration
	// configServiceDown is set while the configuration service responds to no host.
	configServiceDown bool
	partitions        []*partition
	// lossRate is the probability, set by DropEnvelopes, that an envelope or a reply to one is lost.
	lossRate float64
	// leaseHolders holds, by backend server, the hosts that were last seen holding its lease.
	leaseHolders map[string][]*Host
	// hostAtAcquisition describes, by host and backend server, the state of the host when it last acquired the lease.
	hostAtAcquisition map[[2]string]string
	// onAnswer, if set, is called when a backend server begins to answer a request.
	onAnswer func(b *Backend, r *Request)
	// reportedKeys holds the keys of violations that have been reported and are not reported again.
	reportedKeys map[string]bool
	// coldSenders holds, by backend server, the hosts that the host which last took it for cold lets send to it.
	coldSenders map[string][]string
	// withdrawn holds the failure domains that the operators want withdrawn.
	withdrawn map[string]bool
}

// Host is a simulated host; its process may be restarted.
type Host struct {
	ID     string
	Domain string
	Up     bool
	Frozen bool
	State  *reducer.State
	// Incarnation counts the processes that have run on the host; events for an earlier process are dropped.
	Incarnation uint64
	// deferred holds the work of the process that waits while it is frozen.
	deferred  []func()
	StartedAt time.Time
	// LastFaultAt is when a fault last affected the host, or its connection to the configuration service or to other hosts.
	LastFaultAt time.Time
	// LastLocalFaultAt is when a fault last affected the host itself or its connection to the configuration service.
	LastLocalFaultAt time.Time
	// appliedVersion is the catalogue version that the process had applied at the last check.
	appliedVersion int64
	// seen is what the process has held, for checkNothingUndone.
	seen seenDocuments
	// sendState is the state in which the host took the backend server of its last request to be.
	sendState string
	// deadConnectionCalls is the number of calls to the configuration service that will still be made on a dead connection and time out.
	deadConnectionCalls int
}

// Backend is a simulated backend server.
type Backend struct {
	Info   cataloguer.Backend
	Up     bool
	Engine *modeler.Engine
	// PublishedModels are the resident models in its last published entry.
	PublishedModels []cataloguer.ResidentModel
	// EntryChangedAt is when its entry was last published or removed.
	EntryChangedAt time.Time
	// DrainingAt is when it was published as draining, or when its entry was removed without a drain.
	DrainingAt time.Time
	// Arrivals holds the requests that arrived within the last second, since the start of a cold start in one.
	Arrivals []Arrival
	// ColdSince is when the server last became cold, as far as the bound on cold servers counts.
	ColdSince time.Time
	Orders    modeler.OrderLog

	// leaving is set while the server says in its responses that it drains.
	leaving bool
	// unlisted is set while the server publishes no entry: once its entry was removed without a drain, and until the first one of an incarnation
	// that publishes late.
	unlisted bool
	// answers holds the answers in progress.
	answers []*answer
	// refuses is set after a crash until the restart: connections are refused at once.
	refuses bool

	// cachedParts holds the prompt parts that the engine has prefilled, by adapter and part.
	cachedParts map[string]bool

	// limits is what the server names as its rate limit, and what it gets.
	limits rateLimits

	// told holds what the server has told each process of a host about itself, by host ID.
	told map[string]*toldHost
}

// toldHost is what a backend server has told one process of a host.
type toldHost struct {
	incarnation uint64
	// leavingAt is when the server first said that it drains, and pauseEnds the last time until which it wants no requests.
	leavingAt, pausedAt, pauseEnds time.Time
	// arrivals counts the requests in the pause.
	arrivals int
}

type action struct {
	at       time.Time
	sequence uint64
	run      func()
}

type actionQueue []action

// Len returns the number of actions.
func (q actionQueue) Len() int { return len(q) }

// Less orders actions by time, then by the order in which they were scheduled.
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
	queue := *q
	last := queue[len(queue)-1]
	*q = queue[:len(queue)-1]
	return last
}

// New returns a fleet whose hosts start immediately; one second later the catalogue is published and the backend servers start.
func New[P selector.Policy](o Options) *Simulation[P] {
	s := &Simulation[P]{
		Options: o, Now: StartTime, Backends: map[string]*Backend{}, rng: rand.New(rand.NewPCG(o.Seed, 1)),
		extendedRNG: rand.New(rand.NewPCG(o.Seed, 2)),
		faultRNG:    rand.New(rand.NewPCG(o.Seed, 3)), hostsByName: map[string]*Host{},
		blockedLinks: map[[2]string]bool{}, partitionedFromConfigService: map[string]bool{}, leaseHolders: map[string][]*Host{},
		reportedKeys:      map[string]bool{},
		coldSenders:       map[string][]string{},
		withdrawn:         map[string]bool{},
		hostAtAcquisition: map[[2]string]string{},
	}
	s.Messages, s.MessageBytes = map[string]int{}, map[string]int{}
	s.Traffic.requests, s.Traffic.ResponseTimes = map[string]*Request{}, map[string][]time.Duration{}
	s.Checker = Checker{
		requestTimes: map[string][]time.Time{}, retryTimes: map[string][]time.Time{}, latestVersions: map[reducer.AdapterKey]int64{},
		versionPublishedAt: map[reducer.AdapterKey]time.Time{},
	}
	for range o.Hosts {
		s.startHost(s.addHost())
	}
	s.after(time.Second, func() {
		s.publishCatalogue()
		for i := range o.Engines {
			s.startBackend(fmt.Sprintf("engine-%02d", i), engineService, s.domain(i))
		}
		for i := range o.UnaryServers {
			s.startBackend(fmt.Sprintf("plain-%02d", i), unaryService, s.domain(i))
		}
	})
	return s
}

// addHost adds a host that has not started yet.
func (s *Simulation[P]) addHost() *Host {
	i := len(s.Hosts)
	h := &Host{ID: fmt.Sprintf("host-%02d", i), Domain: s.domain(i)}
	s.Hosts = append(s.Hosts, h)
	s.hostsByName[h.ID], s.hostsByName["peer-"+h.ID] = h, h
	return h
}

func (s *Simulation[P]) domain(i int) string { return fmt.Sprintf("domain-%d", i%s.Options.Domains) }

func (s *Simulation[P]) after(d time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.queue, action{at: s.Now.Add(d), sequence: s.sequence, run: run})
}

// Run advances virtual time by d and runs all actions that are due.
func (s *Simulation[P]) Run(d time.Duration) {
	end := s.Now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		next := heap.Pop(&s.queue).(action)
		s.Now = next.at
		next.run()
	}
	s.Now = end
}

// messageDelay draws the one-way delay of a message.
func (s *Simulation[P]) messageDelay() time.Duration {
	if s.Options.Jitter <= 0 {
		return s.Options.Latency
	}
	return s.Options.Latency + time.Duration(s.rng.Int64N(int64(s.Options.Jitter)))
}

func (s *Simulation[P]) startHost(h *Host) {
	h.Incarnation++
	h.Up = true
	h.Frozen = false
	h.deferred = nil
	h.StartedAt = s.Now
	h.appliedVersion, h.deadConnectionCalls = 0, 0
	h.seen = seenDocuments{leaving: map[string]int64{}, withdrawn: map[string]bool{}}
	s.recordFault(h)
	self := reducer.Self{
		HostID: h.ID, Incarnation: reducer.NewIncarnation(h.ID, s.Now), Address: h.ID, PeerAddress: "peer-" + h.ID, FailureDomain: h.Domain,
		Region: "region", StartedAt: s.Now, StartedUnixMs: s.Now.UnixMilli() + s.rng.Int64N(2*maxClockSkewMs) - maxClockSkewMs,
		Seeds: []string{"peer-host-00", "peer-host-01", "peer-host-02"},
	}
	h.State = reducer.NewState(self, s.Options.Limits, s.rng.Uint64())
	incarnation := h.Incarnation
	var tick func()
	tick = func() {
		if h.Incarnation != incarnation || !h.Up {
			return
		}
		if !h.Frozen {
			s.reduce(h, reducer.Tick{})
		}
		s.after(tickInterval, tick)
	}
	s.after(time.Duration(s.rng.Int64N(int64(300*time.Millisecond))), tick)
}

// post delivers an event to a process of the host, once it is not frozen.
func (s *Simulation[P]) post(h *Host, incarnation uint64, event reducer.Event) {
	s.runOnHost(h, incarnation, func() { s.reduce(h, event) })
}

// runOnHost runs a function in a process of the host: immediately, or once the process is not frozen. A function for a process that
// has ended is dropped.
func (s *Simulation[P]) runOnHost(h *Host, incarnation uint64, run func()) {
	if !h.Up || h.Incarnation != incarnation {
		return
	}
	if h.Frozen {
		h.deferred = append(h.deferred, run)
		return
	}
	run()
}

func (s *Simulation[P]) reduce(h *Host, event reducer.Event) []reducer.Effect {
	startedAt := time.Now()
	effects := reducer.Reduce[P](h.State, s.Now, event)
	if s.Options.MeasureCost {
		s.ReduceTime += time.Since(startedAt)
	}
	s.checkLeases(h)
	for _, v := range asserter.Check(h.State, s.Now, effects) {
		s.Checker.addViolation(s.Now, v.Rule, h.ID+": "+v.Detail)
	}
	for _, e := range effects {
		s.executeEffect(h, e)
	}
	return effects
}

// host returns the host with the given name or peer address, or nil.
func (s *Simulation[P]) host(id string) *Host { return s.hostsByName[id] }

// connected reports whether messages from a host reach another host or a backend server.
func (s *Simulation[P]) connected(a, b string) bool {
	return !s.blockedLinks[[2]string{a, b}] && !s.partitioned(a, b)
}
