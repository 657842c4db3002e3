package reducer

import (
	"time"

	"github.com/redwingpick/redwingpick/internal/arbiter"
	"github.com/redwingpick/redwingpick/internal/hasher"
	"github.com/redwingpick/redwingpick/internal/isolator"
	"github.com/redwingpick/redwingpick/internal/limiter"
	"github.com/redwingpick/redwingpick/internal/placer"
	"github.com/redwingpick/redwingpick/internal/prefixer"
	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// State is the complete control state of one host. Only Reduce changes it.
type State struct {
	Self   Self
	Limits Limits
	// Random is the state of the random source.
	Random    uint64
	Hosts     map[string]*Host
	Documents Documents
	Accounts  map[string]*Account
	Quotas    map[string]*QuotaUsage
	// QuotasCheckedAt is the value of Index.ActiveChangedAt for which Quotas was last adjusted.
	QuotasCheckedAt time.Time
	// LocalGrants holds token grants of this host to itself until the next tick applies them.
	LocalGrants []TokenGrant
	Services    map[string]*Service
	Backends    map[string]*Backend
	// Removed holds the backend servers whose entries were removed, and InUse those that requests were sent to recently.
	Removed map[string]bool
	InUse   map[string]bool
	// Starting holds the backend servers in slow start, and Carriers the hosts that carry traffic, as the senders to such servers.
	Starting map[string]bool
	// Throttled holds the backend servers with a bound on their rate over all hosts.
	Throttled map[string]bool
	// Limited holds the backend servers that name a limit or have lifted one lately, and LimitsSharedAt is when changes were last sent to other hosts
	// between two rounds of gossip.
	Limited        map[string]bool
	LimitsSharedAt time.Time
	Carriers       Carriers
	Leases         map[string]*Lease
	LeaseGrants    map[string]*LeaseGrant
	Requests       map[string]*Request
	Watch          Watch
	Gossip         Gossip
	Membership     Membership
	Observation    Observation
	KeepAlive      KeepAlive
	Isolation      Isolation
	Trials         Trials
	Places         Places
	Ready          bool
	Draining       Draining
	Counters       Counters
	Index          Index

	effects     []Effect
	outbox      map[string][]Message
	outboxOrder []string
	// replyTo is the sender of the envelope that this Reduce call handles.
	replyTo replyTarget
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
	// StartedUnixMs is the time of day at the start. The first term of a bootstrapped voter set is derived from it, so that the term exceeds
	// those of an earlier voter set that all voters have lost.
	StartedUnixMs int64
	Seeds         []string
	// CapacityMillicores is the processor capacity of this host in thousandths of a core; 0 if it is not known.
	CapacityMillicores int
}

// replyTarget is the sender of an envelope, with the envelope's stamp.
type replyTarget struct {
	Host  string
	Stamp Stamp
}

// Host is the state of another host, as this host knows it.
type Host struct {
	Record HostRecord
	// LastHeartbeatAt is when the host's heartbeat counter last increased.
	LastHeartbeatAt time.Time
	// ReachableSince is when a heartbeat last made the present incarnation of the host reachable.
	ReachableSince time.Time
	// ChangedAt is when the host's record last changed in anything but the heartbeat.
	ChangedAt time.Time
	// PromoteAt is when the host, as a new one, becomes a voter; zero if it seeks no promotion.
	PromoteAt time.Time
	// EvictedIncarnation is the last incarnation of the host that this host evicted from the voter set; 0 if none.
	EvictedIncarnation uint64
	// ReportedUnreachable is set once the host has been logged as unreachable.
	ReportedUnreachable bool
	// SignificantVersion is the host's newest version of a change that other hosts need to know, as last received from the host.
	SignificantVersion cataloguer.Version
}

// Gossip is the state of the gossip protocol.
type Gossip struct {
	Heartbeat  uint64
	NextAt     time.Time
	NextSeedAt time.Time
	// ClaimedHeartbeat is the heartbeat at which leases were last claimed and renewed.
	ClaimedHeartbeat uint64
	// LastRecord is this host's own record as of its last change in more than the heartbeat, and RecordChangedAt the time of that change.
	LastRecord      HostRecord
	RecordChangedAt time.Time
	// RecordChangedHeartbeat is the heartbeat at that change.
	RecordChangedHeartbeat uint64
}

// AdapterKey identifies an adapter of a model; Adapter is empty for the model itself.
type AdapterKey struct {
	Model   string
	Adapter string
}

// Stage is how far an adapter is resident on a backend server.
type Stage uint8

// Stages of residency.
const (
	// StageAbsent means that the backend server does not hold the adapter, or has refused to load it and no report has shown yet that it is absent.
	StageAbsent Stage = iota
	// StageLoading means that the adapter is being loaded.
	StageLoading
	// StageReady means that requests can use the adapter.
	StageReady
	// StageUnloading means that the adapter is unloaded once its requests have ended.
	StageUnloading
)

var stageNames = [...]string{"absent", "loading", "ready", "unloading"}

// String returns the stage's name in logs.
func (s Stage) String() string { return stageNames[s] }

// Account is the use of one client account, or of another fleet-wide quota, on this host.
type Account struct {
	// Level is the granted tokens that are not spent.
	Level float64
	// Spent is what this host charged in the quota window.
	Spent limiter.Window
	// Demand is the requested units per second, decayed.
	Demand      limiter.DecayingRate
	Sequence    uint64
	RequestedAt time.Time
	// Granted holds the sequences of the last grants received, since a datagram may arrive twice.
	Granted [grantsRemembered]uint64
	// Fallback holds this host's equal share of the rate, used while the quota coordinator does not respond.
	Fallback limiter.Bucket
	Waiting  []string
	// NeededForModelLoad is the tokens that a model load needs, in addition to those for the waiting requests.
	NeededForModelLoad float64
	ReturnedAt         time.Time
	Refused            uint64
}

// Service is the state of one service on this host.
type Service struct {
	RetryBudget limiter.Bucket
	// LoadTime is the expected time to load an adapter from the weight store.
	LoadTime time.Duration
	// MinLoadTime is the lowest LoadTime after a verified load; 0 before the first.
	MinLoadTime time.Duration
	// LoadPace limits the rate at which this host orders loads from the weight store.
	LoadPace placer.LoadPace
	// PrefillRate is the prompt tokens that a backend server processes per second.
	PrefillRate float64
	Pacing      ServicePacing
	// Admission is the state of the admission control, which is empty while that is off.
	Admission ServiceAdmission
	// HeldAt is when the slow start of the service's servers last made a request wait.
	HeldAt time.Time
}

// Backend is the state of one backend server, as this host knows it.
type Backend struct {
	Info cataloguer.Backend
	// FirstSeenAt is when this incarnation was first seen.
	FirstSeenAt time.Time
	// ColdUntil is the published end of its cold start. ColdAssumedAt is since when the server has to be taken for cold although its entry may
	// not say so yet; zero for never.
	ColdUntil     time.Time
	ColdAssumedAt time.Time
	Throttle      Throttle
	RateLimit     RateLimit
	// RemovedAt is when the published entry was removed; zero while it is published.
	RemovedAt time.Time
	// Expired is set for an entry that was removed while the configuration service was degraded: the backend server may still run and
	// stays in use.
	Expired bool
	// EjectedUntil is the time until which this host sends the server no requests, because of failed exchanges with it.
	EjectedUntil time.Time
	// LeavingSince is when a response first told this host that the server drains; zero before.
	LeavingSince time.Time
	// BackoffUntil is the time until which the server has asked this host to send nothing.
	BackoffUntil        time.Time
	ConsecutiveFailures int
	// FailureRate is the decayed share of this host's exchanges with the server that failed.
	FailureRate float64
	// Running, Tokens and PrefillTokens count this host's requests there. PrefillTokens is the uncached prompt tokens of requests whose
	// response has not begun.
	Running       int
	Tokens        int
	PrefillTokens int
	// OtherHosts is the load from all other hosts, as last received from the lease holder.
	OtherHosts   BackendLoad
	OtherHostsAt time.Time
	// ReportedLoad is the load that the backend server reported with its last response.
	ReportedLoad Load
	ReportedAt   time.Time
	Adapters     map[AdapterKey]*Residency
	// PlaceWeight is the share of adapters that are placed on the server, relative to others of its service; 0 for the usual share.
	PlaceWeight float64
	// HeldAt holds when this host learned that the server no longer holds an adapter.
	HeldAt map[AdapterKey]time.Time
	// SentPrompts holds the prefixes of the prompts that were sent here.
	SentPrompts prefixer.Cache
	// LastDispatchAt is when a request was last sent here, and UsageSentAt when the use was last reported to the lease holder.
	LastDispatchAt time.Time
	UsageSentAt    time.Time
	MeanLatency    time.Duration
	Pacing         Pacing
	SlowStart      SlowStart
	// Lost holds the requests that this host lost there when the server closed their connections, until it is known whether the server has
	// crashed; CrashedAt is when that was confirmed.
	Lost      []LostRequest
	CrashedAt time.Time
	// LostNext holds the requests that were lost after the crash, which the next incarnation must have run.
	LostNext []LostRequest
	// ProbedAt is when a probe last found that the server accepts connections.
	ProbedAt time.Time
	// Canceled holds the requests that this host ended just now while the server ran them.
	Canceled []LostRequest
}

// Residency is the state of an adapter on a backend server, as this host knows it, and the requests that wait for the adapter.
type Residency struct {
	Stage   Stage
	Version int64
	ReadyAt time.Time
	// UpdatedAt is when the stage was last reported or observed.
	UpdatedAt   time.Time
	RequestedAt time.Time
	// NoSlotReportedAt is when the lease holder last reported that the backend server has no slot for the adapter.
	NoSlotReportedAt time.Time
	// DispatchCount counts the requests for the adapter since its last usage report.
	DispatchCount int
	Running       int
	Waiting       []string
	// Verified is set while a response has shown that the adapter is resident.
	Verified bool
	// VerificationUnreported is set when a response has verified the adapter as resident, until that is reported to the lease holder.
	VerificationUnreported bool
	// VerifiedVersion is the version that was requested when a response last verified the adapter.
	VerifiedVersion int64
	// Overdue is set when the adapter was not loaded by the time that the lease holder gave, until that is reported to the holder.
	Overdue bool
	// UsageUnreported is set while the present use has not been reported to the lease holder.
	UsageUnreported bool
}

// Phase is how far a request has been processed.
type Phase uint8

// Phases of a request.
const (
	// PhaseAwaitingTokens means that the request waits for tokens of its account.
	PhaseAwaitingTokens Phase = iota + 1
	// PhaseAwaitingTrial means that the request was lost at several crashes and waits until it may be tried alone.
	PhaseAwaitingTrial
	// PhaseQueued means that the request waits for capacity on a backend server.
	PhaseQueued
	// PhaseAwaitingAdapter means that the request waits for its adapter.
	PhaseAwaitingAdapter
	// PhaseRunning means that the request has been sent to a backend server.
	PhaseRunning
	// PhaseResponding means that the backend server has begun to respond.
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
	// Tokens is the size of prompt and output together, and PromptTokens that of the prompt alone, as the request states them.
	Tokens       int
	PromptTokens int
	// QuotaCost is what the request counts against its account's rate.
	QuotaCost float64
	Parts     []Part
	// Fingerprint identifies the request by what its caller sends, which is the same when the caller sends it again.
	Fingerprint uint64
	// Prefixes holds the prefixes of the prompt once promptPrefixes has computed them.
	Prefixes  []prefixer.Prefix
	Priority  int
	ArrivedAt time.Time
	Deadline  time.Time
	Phase     Phase
	Backend   string
	Attempt   int
	// PossibleRuns counts the attempts in which a backend server may have run the request.
	PossibleRuns int
	// TriedBackends holds the backend servers at which an attempt failed for another reason than an absent adapter.
	TriedBackends []string
	SentAt        time.Time
	// LateAfter is the time after SentAt from which the first response counts as late; 0 if the request was sent without the slow start.
	LateAfter time.Duration
	// RespondedAt is when the response of the present attempt began; zero before.
	RespondedAt time.Time
	RetryAt     time.Time
	// RetryReserved is set once a retry has been taken from the budget for a stalled attempt that is being ended.
	RetryReserved bool
	WaitSince     time.Time
	LastFailure   Reason
	// Trial is set once the request is sent as a trial, and TrialLost once the server has closed its connection then.
	Trial, TrialLost bool
	// TrialAt is when the trial began.
	TrialAt time.Time
	// QuarantinedContent is the content for which the request is refused with ReasonQuarantined.
	QuarantinedContent string
	// PrefillTokens is the prompt tokens that count at the backend server until the response begins.
	PrefillTokens int
	// Work is the prompt tokens that the request counts in the demand for its adapter, and DemandRecorded is set once it counts.
	Work           int
	DemandRecorded bool
	// Uncontended is set if, as far as was known, the present attempt found the backend server without anything to wait for.
	Uncontended bool
	// AwaitedAdapter is set if the request of the present attempt waited for its adapter to be loaded.
	AwaitedAdapter bool
	// Delivered is set once a piece of a response has been sent to the caller: no other response can follow, only the rest of that one.
	Delivered bool
	Admission RequestAdmission
}

// Draining is the state of a planned shutdown.
type Draining struct {
	Active bool
	Since  time.Time
	Done   bool
}

// NewState returns the state of a host that has just started; seed initializes its random source.
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
		Removed:     map[string]bool{},
		InUse:       map[string]bool{},
		Starting:    map[string]bool{},
		Throttled:   map[string]bool{},
		Limited:     map[string]bool{},
		Index:       Index{Holders: map[string]string{}, Incarnations: map[uint64]string{}, Ranks: map[rankKey][]string{}, AdapterRanks: map[rankedAdapter]adapterRank{}},
		Leases:      map[string]*Lease{},
		LeaseGrants: map[string]*LeaseGrant{},
		Requests:    map[string]*Request{},
		Watch:       Watch{ListNext: true},
		Isolation:   Isolation{Content: isolator.NewTracker[string](), Canceled: map[uint64]string{}},
		Trials:      Trials{Arbiter: arbiter.New(), Questions: map[string]*TrialQuestion{}},
		Places:      Places{Replicas: map[AdapterKey]*placer.Replicas{}, Unreported: map[string]*UnreportedWork{}},
		outbox:      map[string][]Message{},
	}
}

func (s *State) emit(effect Effect) {
	s.effects = append(s.effects, effect)
}

func (s *State) logEvent(number int, fields ...Field) {
	s.emit(LogEvent{Number: number, Fields: fields})
}

// wakeAt asks the executor for a tick at the given time, if that is before the next regular tick.
func (s *State) wakeAt(at time.Time) {
	if s.wake.IsZero() || at.Before(s.wake) {
		s.wake = at
	}
}

// send queues a message for a peer; all messages that one Reduce call queues for a peer share one envelope.
func (s *State) send(to string, message Message) {
	if to == s.Self.HostID {
		return
	}
	if _, ok := s.outbox[to]; !ok {
		s.outboxOrder = append(s.outboxOrder, to)
	}
	s.outbox[to] = append(s.outbox[to], message)
}

// flush adds the queued envelopes and the next wake time to the effects of this Reduce call and returns them. Envelopes to hosts without a
// known record are dropped.
func (s *State) flush(now time.Time) []Effect {
	for _, to := range s.outboxOrder {
		if h, ok := s.Hosts[to]; ok {
			envelope := SendPeer{
				To: to, Address: h.Record.PeerAddress, Messages: append([]Message{s.documentSummary(now)}, s.outbox[to]...),
				NotAfter: now.Add(envelopeTTL), Datagram: h.Record.Datagrams,
			}
			if to == s.replyTo.Host {
				envelope.ReplyTo = s.replyTo.Stamp
			}
			s.emit(envelope)
		}
		delete(s.outbox, to)
	}
	s.outboxOrder = s.outboxOrder[:0]
	s.replyTo = replyTarget{}
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

// uptime returns the time since this host started.
func (s *State) uptime(now time.Time) time.Duration {
	return now.Sub(s.Self.StartedAt)
}
