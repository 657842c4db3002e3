package reducer

import (
	"time"

	"github.com/redwingpick/redwingpick/internal/hasher"
	"github.com/redwingpick/redwingpick/internal/limiter"
	"github.com/redwingpick/redwingpick/internal/queuer"
	"github.com/redwingpick/redwingpick/internal/selector"
)

// State is all that one host knows; only Reduce changes it.
type State struct {
	Self         Self
	Limits       Limits
	Random       uint64
	Config       Config
	Peers        map[string]*Peer
	Leases       Leases
	Wallets      map[string]*Wallet
	Backends     map[string]*Backend
	Notes        map[string]KeptNote
	Stores       map[string]*Store
	Wants        Wants
	Requests     map[string]*Request
	Permits      Permits
	Hints        map[string]Hint
	HolderHints  map[Right]HolderHint
	RetryBudgets map[string]*limiter.Bucket
	// WithdrawnAt is when this host learned that its failure domain was withdrawn.
	WithdrawnAt time.Time
	Watch       Watch
	Ready       bool
	Draining    Draining
	Counters    Counters

	effects []Effect
	outbox  map[string][]Message
	order   []string
}

// Self is the identity of this host, from its settings.
type Self struct {
	HostID        string
	Incarnation   uint64
	FailureDomain string
	Region        string
	StartedAt     time.Time
	Seeds         []string
}

// Peer is what this host knows about another host at first hand.
type Peer struct {
	Incarnation  uint64
	SuspectUntil time.Time
	Leaving      bool
	// AckedDigests holds, for each anchor, the digest of the list of rights that the peer has acknowledged.
	AckedDigests map[string]uint64
}

// Kind tells what a right is about.
type Kind uint8

// Kinds of right.
const (
	KindHost Kind = iota + 1
	KindBackend
	KindAccount
	KindStore
)

// Right is something that at most one host may hold at a time.
type Right struct {
	Kind   Kind
	Name   string
	Region string
}

// Leases is the rights that this host holds or seeks, and the promises that it has made as a voter.
type Leases struct {
	Holdings map[Right]*Holding
	Promises map[Right]*Promise
	Groups   map[groupKey]*group
	Wanted   map[Right]bool
	// Vacant holds the rights that a voter has offered, with the time until which the offer stands.
	Vacant    map[Right]time.Time
	RenewedAt time.Time
}

// Holding is a right that this host holds or seeks.
type Holding struct {
	Anchor    string
	Voters    []string
	OldVoters []string
	Backed    map[string]time.Duration
	// SoughtAt is the time since the start at which this host began to ask; older replies do not count.
	SoughtAt   time.Duration
	ValidUntil time.Time
	HeldSince  time.Time
	Term       uint64
	// Holder is the host that voters named when they refused.
	Holder    string
	ClaimedAt time.Time
	Handover  *LeaseHandover
	// HandoverAt is when the handover came.
	HandoverAt time.Time
	// SilentUntil is the time before which the rights of a former holder may still be in use.
	SilentUntil time.Time
	Account     *Keeper
}

// Promise is the backing that this host, as a voter, has given a holder.
type Promise struct {
	Holder      string
	Incarnation uint64
	Until       time.Time
	Term        uint64
	// SentAt is the holder's time at its last request that was backed.
	SentAt  time.Duration
	Offered time.Time
	// Offers counts the offers since the holder went silent.
	Offers int
}

// Keeper is the bucket of one client account and the grants made from it.
type Keeper struct {
	Bucket limiter.Bucket
	Grants map[string]*Grantee
}

// Grantee is one host's part of the outstanding grants.
type Grantee struct {
	Incarnation uint64
	Sequence    uint64
	Grants      []Grant
}

// Grant is tokens given to a host and not yet reported spent.
type Grant struct {
	Sequence uint64
	Tokens   float64
	Until    time.Time
}

// Wallet is the tokens of one client account that this host may charge.
type Wallet struct {
	Lots         []Lot
	Sequence     uint64
	Acknowledged uint64
	Keeper       string
	Timeouts     int
	AskedAt      time.Time
	RetryAt      time.Time
	Waiting      []string
	Refunds      []PendingRefund
	Static       limiter.Bucket
	// Spent is the tokens charged here, less those refunded.
	Spent float64
	// Refused is the number of requests refused because the account was over its rate.
	Refused    uint64
	RefundedAt time.Time
	// ShortSince is when the keeper first said that it is short of tokens.
	ShortSince time.Time
}

// Lot is tokens of one grant.
type Lot struct {
	Tokens   float64
	NotAfter time.Time
}

// PendingRefund is tokens not used by a request that was charged at ChargedAt.
type PendingRefund struct {
	Tokens    float64
	ChargedAt time.Time
}

// AdapterKey names one version of one adapter.
type AdapterKey struct {
	Name    string
	Version uint32
}

// Residency tells how far an adapter is resident on a backend server.
type Residency uint8

// Stages of residency.
const (
	ResidencyWanted Residency = iota + 1
	ResidencyLoading
	ResidencyReady
	// ResidencyEvicting is an adapter that leaves when the load that takes its slot succeeds.
	ResidencyEvicting
)

// KeptNote is a BackendNote with the time at which it came.
type KeptNote struct {
	Note BackendNote
	At   time.Time
}

// Resident is one adapter on one backend server, or on its way there.
type Resident struct {
	Stage    Residency
	Pins     int
	Foreign  int
	Use      selector.Use
	Waiting  []string
	WantedAt time.Time
	ReadyAt  time.Time
	RetryAt  time.Time
	// Victim is the adapter whose slot the load takes.
	Victim AdapterKey
}

// Backend is a backend server that this host owns.
type Backend struct {
	ID            string
	Known         bool
	Incarnation   uint64
	Fence         uint64
	Limit         int
	LimitRaisedAt time.Time
	Healthy       int
	Running       int
	Foreign       int
	FirstToken    float64
	ReadFrom      time.Time
	FadedAt       time.Time
	// Strangers holds when reports first named an adapter that this host did not order.
	Strangers map[AdapterKey]time.Time
	PolledAt  time.Time
	// ColdUntil is the time before which the limit is not raised.
	ColdUntil time.Time
	// Noted is the note that was last sent to the next host in rank.
	Noted       BackendNote
	NotedAt     time.Time
	FailedUntil time.Time
	Failures    int
	Residents   map[AdapterKey]*Resident
	Queue       queuer.Fair[string, string]
	Slots       int
	// Lost is set when the lease is over and running requests still end here.
	Lost        bool
	History     map[AdapterKey]selector.Use
	SilentUntil time.Time
	AcquiredAt  time.Time
	waiting     int
}

// Store is the keeper's view of one region's part of the weight store.
type Store struct {
	Bucket   limiter.Bucket
	Wants    map[string][]LoadWant
	InFlight map[uint64]InFlight
	Sequence uint64
}

// InFlight is one load that the keeper has permitted.
type InFlight struct {
	Host  string
	Until time.Time
}

// Wants remembers when this host last sent its list of loads.
type Wants struct {
	SentAt time.Time
	Count  int
	Dirty  bool
}

// Phase tells how far a request has come.
type Phase uint8

// Phases of a request.
const (
	PhasePermit Phase = iota + 1
	PhaseTokens
	PhaseBackoff
	PhaseForwarded
	PhaseWaiting
	PhaseQueued
	PhaseRunning
)

// Request is one request that this host handles.
type Request struct {
	ID         string
	Account    string
	KeyDigest  string
	Open       bool
	Adapter    AdapterKey
	Service    string
	Class      int
	Tokens     float64
	Charged    float64
	ChargedAt  time.Time
	ArrivedAt  time.Time
	Deadline   time.Time
	RetryAt    time.Time
	Repeatable bool
	Permit     string
	Forwarded  bool
	From       string
	Phase      Phase
	Backend    string
	Attempt    int
	Tried      []string
	// MayHaveRun is set once a backend server may have received the request.
	MayHaveRun    bool
	PromptTokens  int
	PermitAskedAt time.Time
	Stalled       bool
	QueuedAt      time.Time
}

// Permits holds the permits that this host incarnation has issued for requests that may not be repeated.
type Permits struct {
	Next   uint64
	Issued map[string]*Permit
}

// Permit is one permit; it is consumed at most once.
type Permit struct {
	ExpiresAt  time.Time
	ConsumedBy string
}

// Hint is the number of replicas of an adapter, as its owner last told.
type Hint struct {
	Replicas int
	Until    time.Time
}

// Watch is the state of reading the platform and the peers' configuration.
type Watch struct {
	Waiting     bool
	ReadingPeer bool
	// PeerAddress is where the last question for updates went.
	PeerAddress string
	RetryAt     time.Time
	Failures    int
	SummaryAt   time.Time
	SummaryStep int
	// StartAfter is the age from which a host that has just started reads the platform itself.
	StartAfter time.Duration
	AskPeerAt  time.Time
	// PlatformAnswered is set once the platform has answered this incarnation.
	PlatformAnswered bool
	PeersAnswered    map[string]bool
}

// Draining is the state of leaving.
type Draining struct {
	Active bool
	Since  time.Time
	Done   bool
}

// Counters counts what happened since the start; the executor publishes them.
type Counters struct {
	Ticks             uint64              `json:"ticks_total"`
	RequestsArrived   uint64              `json:"requests_arrived_total"`
	RequestsDone      uint64              `json:"requests_done_total"`
	RequestsNotRun    uint64              `json:"requests_not_run_total"`
	RequestsUnknown   uint64              `json:"requests_unknown_total"`
	Forwards          uint64              `json:"forwards_total"`
	Dispatches        uint64              `json:"dispatches_total"`
	LoadStalls        uint64              `json:"load_stalls_total"`
	LoadStallMillis   uint64              `json:"load_stall_ms_total"`
	Loads             uint64              `json:"loads_total"`
	LoadsFailed       uint64              `json:"loads_failed_total"`
	Evictions         uint64              `json:"evictions_total"`
	Prefetches        uint64              `json:"prefetches_total"`
	TokensCharged     float64             `json:"tokens_charged_total"`
	TokensRefunded    float64             `json:"tokens_refunded_total"`
	TokensUsed        float64             `json:"tokens_used_total"`
	GrantsAsked       uint64              `json:"grants_asked_total"`
	VotesRefused      uint64              `json:"votes_refused_total"`
	LeasesTaken       uint64              `json:"leases_taken_total"`
	LeasesLost        uint64              `json:"leases_lost_total"`
	Handovers         uint64              `json:"handovers_total"`
	EffectsExpired    uint64              `json:"effects_expired_total"`
	ConfigAdopted     uint64              `json:"config_adopted_total"`
	ShardsRefused     uint64              `json:"shards_refused_total"`
	PermitsIssued     uint64              `json:"permits_issued_total"`
	PermitsConsumed   uint64              `json:"permits_consumed_total"`
	ColdDetected      uint64              `json:"cold_detected_total"`
	Retries           uint64              `json:"retries_total"`
	MismatchedAnswers uint64              `json:"mismatched_answers_total"`
	RefusedByReason   [ReasonCount]uint64 `json:"refused_by_reason"`
	PlatformReads     uint64              `json:"platform_reads_total"`
	RequestsEndedKeys uint64              `json:"requests_ended_keys_total"`
}

// NewState returns the state of a host that has just started.
func NewState(self Self, limits Limits, seed uint64) *State {
	return &State{
		Self:         self,
		Limits:       limits,
		Random:       seed,
		Config:       newConfig(),
		Peers:        map[string]*Peer{},
		Leases:       newLeases(),
		Wallets:      map[string]*Wallet{},
		Backends:     map[string]*Backend{},
		Notes:        map[string]KeptNote{},
		Stores:       map[string]*Store{},
		Requests:     map[string]*Request{},
		Permits:      Permits{Issued: map[string]*Permit{}},
		Hints:        map[string]Hint{},
		HolderHints:  map[Right]HolderHint{},
		RetryBudgets: map[string]*limiter.Bucket{},
		Watch:        Watch{PeersAnswered: map[string]bool{}},
		outbox:       map[string][]Message{},
	}
}

func (s *State) emit(effect Effect) {
	s.effects = append(s.effects, effect)
}

func (s *State) note(number int, fields ...Field) {
	s.emit(Note{Number: number, Fields: fields})
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

// touch sends a peer an envelope even if there is nothing to say but the summary.
func (s *State) touch(to string) {
	if _, ok := s.outbox[to]; ok || to == s.Self.HostID {
		return
	}
	s.order = append(s.order, to)
	s.outbox[to] = []Message{}
}

func (s *State) flush(now time.Time) []Effect {
	for _, to := range s.order {
		s.effects = append(s.effects, s.envelope(now, to))
		delete(s.outbox, to)
	}
	effects := s.effects
	s.effects = nil
	s.order = s.order[:0]
	return effects
}

// envelope adds the summary of this host's configuration to the messages for a peer.
func (s *State) envelope(now time.Time, to string) SendPeer {
	return SendPeer{
		To:            to,
		Address:       s.Config.Hosts[to].PeerAddress,
		ToIncarnation: s.peer(to).Incarnation,
		Leaving:       s.Draining.Active,
		Messages:      append([]Message{s.summary(now)}, s.outbox[to]...),
	}
}

func (s *State) peer(id string) *Peer {
	p, ok := s.Peers[id]
	if !ok {
		p = &Peer{}
		s.Peers[id] = p
	}
	return p
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
