package reducer

import (
	"time"

	"github.com/redwingpick/redwingpick/internal/hasher"
	"github.com/redwingpick/redwingpick/internal/limiter"
	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// State is all that one host knows; only Reduce changes it.
type State struct {
	Self      Self
	Limits    Limits
	Random    uint64
	Hosts     map[string]*Host
	Documents Documents
	Accounts  map[string]*Account
	Quotas    map[string]*QuotaUsage
	// QuotasCheckedAt is the change of the hosts in use that Quotas has followed.
	QuotasCheckedAt time.Time
	// Granted holds grants of this host to itself until they are taken in.
	Granted  []TokenGrant
	Services map[string]*Service
	Backends map[string]*Backend
	// Missing holds the backend servers whose entries vanished, and InUse those that requests were sent to lately.
	Missing     map[string]bool
	InUse       map[string]bool
	Leases      map[string]*Lease
	LeaseGrants map[string]*LeaseGrant
	Requests    map[string]*Request
	Watch       Watch
	Gossip      Gossip
	Membership  Membership
	Ready       bool
	Draining    Draining
	Counters    Counters
	Index       Index

	effects []Effect
	outbox  map[string][]Message
	order   []string
	wake    time.Time
}

// Self is the identity of this host, from its settings.
type Self struct {
	HostID        string
	Incarnation   uint64
	Address       string
	PeerAddress   string
	FailureDomain string
	Region        string
	StartedAt     time.Time
	// StartedUnixMs is the time of day at the start; terms grow from it when all voters have forgotten theirs.
	StartedUnixMs int64
	Seeds         []string
}

// Host is what this host knows of another one.
type Host struct {
	Record HostRecord
	// LastHeartbeatAt is when the host's beat last grew.
	LastHeartbeatAt time.Time
	// ChangedAt is when the host's record last told something else than a new beat.
	ChangedAt time.Time
	// PromoteAt is when the host, as a new one, takes a seat; zero if it seeks none.
	PromoteAt time.Time
	// EvictedIncarnation is the last incarnation with a seat that this host has taken off the roster; 0 if it has taken off none.
	EvictedIncarnation uint64
	// ReportedUnreachable is set once the host has been noted as silent.
	ReportedUnreachable bool
	// Revision is the highest revision of a change that others need to know, as the host last told it.
	Revision int64
}

// Gossip is the state of telling other hosts about hosts.
type Gossip struct {
	Heartbeat  uint64
	NextAt     time.Time
	NextSeedAt time.Time
	// ClaimedHeartbeat is the beat at which leases were last seen to.
	ClaimedHeartbeat uint64
	// LastRecord is what this host last told of itself, and RecordChangedAt when that last changed.
	LastRecord      HostRecord
	RecordChangedAt time.Time
}

// AdapterKey names an adapter of a model; Adapter is empty for the model itself.
type AdapterKey struct {
	Model   string
	Adapter string
}

// Stage tells how far an adapter is resident on a backend server.
type Stage uint8

// Stages of residency.
const (
	// StageAbsent is an adapter that the backend server does not hold.
	StageAbsent Stage = iota
	// StageLoading is an adapter on its way to the backend server.
	StageLoading
	// StageReady is an adapter that requests can use.
	StageReady
	// StageUnloading is an adapter that leaves once its requests have ended.
	StageUnloading
)

var stageNames = [...]string{"absent", "loading", "ready", "unloading"}

// String returns the stage's name in logs.
func (s Stage) String() string { return stageNames[s] }

// Account is the use of one client account on this host.
type Account struct {
	// Level is the granted tokens that are not spent.
	Level float64
	// Spent is what this host charged in the window.
	Spent limiter.Window
	// Demand is the asked units a second, decayed.
	Demand      limiter.DecayingRate
	Sequence    uint64
	RequestedAt time.Time
	// Fallback is this host's even part of the rate, for the time in which no keeper answers.
	Fallback limiter.Bucket
	Waiting  []string
	// NeededForModelLoad is what is needed besides what requests wait for.
	NeededForModelLoad float64
	ReturnedAt         time.Time
	Refused            uint64
}

// Service is the state of one service on this host.
type Service struct {
	RetryBudget limiter.Bucket
	// LoadTime is the expected time of loading an adapter from the weight store.
	LoadTime time.Duration
	// MinLoadTime is the shortest load that was seen; 0 if none was.
	MinLoadTime time.Duration
	// PrefillRate is the prompt tokens that a backend server reads in a second.
	PrefillRate float64
}

// Backend is what this host knows of one backend server.
type Backend struct {
	Info cataloguer.Backend
	// FirstSeenAt is when this incarnation was first seen.
	FirstSeenAt time.Time
	ColdUntil   time.Time
	ColdBucket  limiter.Bucket
	// RemovedAt is set while the entry is missing but may come back.
	RemovedAt time.Time
	// Expired is set for an entry that vanished while the platform was unwell: the backend server may live and stays in use.
	Expired bool
	// EjectedUntil is the time until which this host sends it nothing, from its own experience.
	EjectedUntil        time.Time
	ConsecutiveFailures int
	// FailureRate is the decayed share of requests that failed here.
	FailureRate float64
	// Running, Tokens and Prefill count this host's requests there.
	Running       int
	Tokens        int
	PrefillTokens int
	// OtherHosts is what the other hosts have running there, as last told.
	OtherHosts   BackendLoad
	OtherHostsAt time.Time
	// ReportedLoad is the load that the backend server told with its last answer.
	ReportedLoad Load
	ReportedAt   time.Time
	Adapters     map[AdapterKey]*Residency
	// CachedParts remembers the prompt parts that were sent here.
	CachedParts map[string]time.Time
	// LastDispatchAt is when a request was last sent here, and UsageSentAt when the use was last told.
	LastDispatchAt time.Time
	UsageSentAt    time.Time
	// PartsPrunedAt is when old prompt parts were last forgotten.
	PartsPrunedAt time.Time
	MeanLatency   time.Duration
}

// Residency is what this host knows of an adapter on a backend server, and who waits for it.
type Residency struct {
	Stage   Stage
	Version int64
	ReadyAt time.Time
	// UpdatedAt is when the stage was last confirmed.
	UpdatedAt   time.Time
	RequestedAt time.Time
	// NoSlotReportedAt is when the holder last said that it has no place for the adapter.
	NoSlotReportedAt time.Time
	DispatchCount    int
	Running          int
	Waiting          []string
	// Verified is set while this host knows from an answer that the adapter is resident.
	Verified bool
	// VerificationUnreported is set when an answer has proved that the adapter is resident, until the holder has been told.
	VerificationUnreported bool
	// VerifiedVersion is the version that the answered request asked for.
	VerifiedVersion int64
	// Overdue is set when the adapter was not there at the time that the holder told, until the holder has been told.
	Overdue bool
	// UsageUnreported is set while the holder has not been told of the present use.
	UsageUnreported bool
}

// Phase tells how far a request has come.
type Phase uint8

// Phases of a request.
const (
	// PhaseAwaitingTokens waits for tokens of its account.
	PhaseAwaitingTokens Phase = iota + 1
	// PhaseQueued waits for room on a backend server.
	PhaseQueued
	// PhaseAwaitingAdapter waits for its adapter.
	PhaseAwaitingAdapter
	// PhaseRunning is at a backend server.
	PhaseRunning
	// PhaseResponding is at a backend server that has begun to answer.
	PhaseResponding
)

// Request is one request that this host handles.
type Request struct {
	ID         string
	CallerID   string
	Connection string
	Account    string
	Route      cataloguer.Route
	Service    string
	Adapter    AdapterKey
	Version    int64
	// Tokens and PromptTokens are the stated size.
	Tokens       int
	PromptTokens int
	// QuotaCost is what the request counts against its account's rate.
	QuotaCost float64
	Parts     []Part
	Priority  int
	ArrivedAt time.Time
	Deadline  time.Time
	Phase     Phase
	Backend   string
	Attempt   int
	// PossibleRuns counts the backend servers that may have run the request.
	PossibleRuns int
	// TriedBackends holds the backend servers that failed it.
	TriedBackends []string
	SentAt        time.Time
	RetryAt       time.Time
	WaitSince     time.Time
	LastFailure   Reason
	// PrefillTokens is the part of the prompt that counts at the backend server until the answer begins.
	PrefillTokens int
	// Delivered is set once a piece of an answer has gone to the caller: no other answer can follow, only the rest of it.
	Delivered bool
}

// Draining is the state of leaving.
type Draining struct {
	Active bool
	Since  time.Time
	Done   bool
}

// NewState returns the state of a host that has just started.
func NewState(self Self, limits Limits, seed uint64) *State {
	return &State{
		Self:        self,
		Limits:      limits,
		Random:      seed,
		Hosts:       map[string]*Host{},
		Documents:   newDocuments(),
		Accounts:    map[string]*Account{},
		Quotas:      map[string]*QuotaUsage{},
		Services:    map[string]*Service{},
		Backends:    map[string]*Backend{},
		Missing:     map[string]bool{},
		InUse:       map[string]bool{},
		Index:       Index{Holders: map[string]string{}, Incarnations: map[uint64]string{}, Ranks: map[rankKey][]string{}},
		Leases:      map[string]*Lease{},
		LeaseGrants: map[string]*LeaseGrant{},
		Requests:    map[string]*Request{},
		Watch:       Watch{ListNext: true},
		outbox:      map[string][]Message{},
	}
}

func (s *State) emit(effect Effect) {
	s.effects = append(s.effects, effect)
}

func (s *State) logEvent(number int, fields ...Field) {
	s.emit(LogEvent{Number: number, Fields: fields})
}

// wakeAt makes the executor tick at the given time, if that is before the next regular tick.
func (s *State) wakeAt(at time.Time) {
	if s.wake.IsZero() || at.Before(s.wake) {
		s.wake = at
	}
}

// send queues a message for a peer; all messages of one Reduce to one peer leave in one envelope.
func (s *State) send(to string, message Message) {
	if to == s.Self.HostID {
		return
	}
	if _, ok := s.outbox[to]; !ok {
		s.order = append(s.order, to)
	}
	s.outbox[to] = append(s.outbox[to], message)
}

func (s *State) flush(now time.Time) []Effect {
	for _, to := range s.order {
		if h, ok := s.Hosts[to]; ok {
			s.emit(SendPeer{To: to, Address: h.Record.PeerAddress, Messages: append([]Message{s.documentSummary(now)}, s.outbox[to]...), NotAfter: now.Add(envelopeTTL)})
		}
		delete(s.outbox, to)
	}
	s.order = s.order[:0]
	if !s.wake.IsZero() {
		s.emit(WakeAt{At: s.wake})
		s.wake = time.Time{}
	}
	effects := s.effects
	s.effects = nil
	return effects
}

func (s *State) random() uint64 {
	s.Random += 0x9e3779b97f4a7c15
	return hasher.Mix(s.Random)
}

// jitter returns a random duration in [d/2, d).
func (s *State) jitter(d time.Duration) time.Duration {
	half := d / 2
	if half <= 0 {
		return d
	}
	return half + time.Duration(s.random()%uint64(half))
}

// age returns the time since this host started.
func (s *State) age(now time.Time) time.Duration {
	return now.Sub(s.Self.StartedAt)
}
