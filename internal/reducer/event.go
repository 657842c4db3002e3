package reducer

import (
	"time"

	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// Event is anything that happened; each kind is a plain struct of this file.
type Event any

// Tick says that time has passed.
type Tick struct{}

// PeerReceived carries the messages that came from one peer in one envelope.
type PeerReceived struct {
	From        string
	Incarnation uint64
	// ToIncarnation is the incarnation of this host that the sender knew, or 0 if it knew none.
	ToIncarnation uint64
	Leaving       bool
	Messages      []Message
	// ReplyID names who waits for the envelope that answers this one, or is empty.
	ReplyID string
}

// RequestArrived says that a caller, or another host for its caller, asks for work.
type RequestArrived struct {
	ID           string
	KeyDigest    string
	Model        string
	Service      string
	PromptTokens int
	MaxTokens    int
	Permit       string
	Deadline     time.Time
	// Forwarded is set when another host has already authenticated and charged the request.
	Forwarded bool
	From      string
	Account   string
	Version   uint32
	Backend   string
	Attempt   int
}

// RequestAbandoned says that the caller of a request is gone.
type RequestAbandoned struct {
	ID string
}

// ForwardEnded says how a request ended that was sent on to the owner of a backend server.
type ForwardEnded struct {
	ID       string
	To       string
	Outcome  Outcome
	Reason   Reason
	Holder   string
	Replicas int
	Tokens   int
}

// DispatchEnded says how a request ended that was sent to a backend server.
type DispatchEnded struct {
	ID                 string
	Backend            string
	BackendIncarnation uint64
	Outcome            Outcome
	Reason             Reason
	Tokens             int
	FirstTokenAfter    time.Duration
	// Mismatched is the number of pieces of other answers that were discarded.
	Mismatched int
}

// LoadEnded says how an order to load an adapter ended.
type LoadEnded struct {
	Backend            string
	BackendIncarnation uint64
	Adapter            AdapterKey
	PermitFrom         string
	PermitSequence     uint64
	Failed             bool
}

// BackendReported carries the state that a backend server reports of itself.
type BackendReported struct {
	Backend     string
	Failed      bool
	Incarnation uint64
	Running     int
	Fence       uint64
	Residents   []ReportedAdapter
}

// ReportedAdapter is one resident adapter of a backend server and the sequences that run on it.
type ReportedAdapter struct {
	Adapter AdapterKey
	Running int
}

// LocateAsked says that a caller asks which hosts to use for a model or service.
type LocateAsked struct {
	ReplyID string
	Model   string
	Service string
}

// PermitAsked says that a caller asks for a permit for one request that may not be repeated.
type PermitAsked struct {
	ReplyID string
}

// IndexRead is the platform's answer to a watch: the revision of each shard, or a failure.
type IndexRead struct {
	AskedAt time.Time
	Failed  bool
	Shards  map[string]uint64
}

// ShardRead is one shard as read from the platform; Fault is set when the shard was refused.
type ShardRead struct {
	Name     string
	Revision uint64
	Failed   bool
	Fault    string
	Shard    cataloguer.Shard
}

// UpdatesAsked says that a peer asks for the shards that are newer than those it has.
type UpdatesAsked struct {
	ReplyID string
	Have    map[string]uint64
}

// UpdatesRead is a peer's answer with newer shards, or a failure.
type UpdatesRead struct {
	From     string
	Failed   bool
	Revision uint64
	Updates  []ShardUpdate
	More     bool
}

// ShardUpdate brings one shard from one revision to another.
type ShardUpdate struct {
	Name  string
	Delta cataloguer.Delta
}

// StatusAsked says that an operator asks for the state of this host.
type StatusAsked struct {
	ReplyID string
}

// DrainRequested says that the host must leave without cutting a request.
type DrainRequested struct{}

// EffectExpired says that an effect was dropped because its NotAfter had passed.
type EffectExpired struct {
	Effect Effect
}
