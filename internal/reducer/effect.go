package reducer

import "time"

// Effect is something for the executor to carry out; each kind is a plain struct of this file.
type Effect any

// SendPeer sends one envelope of messages to a peer.
type SendPeer struct {
	To      string
	Address string
	// ToIncarnation is the incarnation of the peer that the messages are for, or 0 if it is unknown.
	ToIncarnation uint64
	Leaving       bool
	Messages      []Message
	NotAfter      time.Time
}

// Refuse ends a request with a typed refusal.
type Refuse struct {
	ID         string
	Outcome    Outcome
	Reason     Reason
	Holder     string
	Replicas   int
	RetryAfter time.Duration
}

// Forward sends a request on to the host that owns the backend server.
type Forward struct {
	ID         string
	To         string
	Address    string
	Backend    string
	Account    string
	Version    uint32
	Attempt    int
	Repeatable bool
	Deadline   time.Time
}

// Dispatch sends a request to a backend server.
type Dispatch struct {
	ID         string
	Backend    string
	Address    string
	Adapter    AdapterKey
	Service    string
	Account    string
	Priority   int
	Repeatable bool
	Fence      uint64
	Replicas   int
	Deadline   time.Time
	NotAfter   time.Time
}

// Cancel stops a dispatched or forwarded request.
type Cancel struct {
	ID     string
	Reason Reason
}

// LoadAdapter orders a backend server to load an adapter, after unloading another if Evict names one.
type LoadAdapter struct {
	Backend        string
	Address        string
	Adapter        AdapterKey
	Evict          AdapterKey
	Fence          uint64
	PermitFrom     string
	PermitSequence uint64
	NotAfter       time.Time
}

// PollBackend asks a backend server for its state.
type PollBackend struct {
	Backend string
	Address string
}

// LocateAnswer tells a caller which hosts to use.
type LocateAnswer struct {
	ReplyID   string
	Hosts     []string
	Addresses []string
	ValidFor  time.Duration
	Known     bool
	Permit    string
}

// PermitIssued gives a caller the permit for one request that may not be repeated.
type PermitIssued struct {
	ReplyID string
	Permit  string
	Refused bool
}

// WatchPlatform asks the platform for revisions newer than Since and lets the call wait.
type WatchPlatform struct {
	Since uint64
	Wait  time.Duration
}

// ReadShard reads one shard from the platform.
type ReadShard struct {
	Name     string
	Revision uint64
}

// ReadUpdates asks a peer for the shards that are newer than those this host has.
type ReadUpdates struct {
	From    string
	Address string
	Have    map[string]uint64
}

// UpdatesAnswer answers a peer's request for newer shards.
type UpdatesAnswer struct {
	ReplyID  string
	Revision uint64
	Updates  []ShardUpdate
	// More says that the asker should ask again for what is left.
	More bool
}

// StatusAnswer answers an operator's request for the state of this host.
type StatusAnswer struct {
	ReplyID string
	Status  Status
}

// Ready says whether the host may be sent new requests.
type Ready struct {
	Ready bool
}

// Drained says that the last request has ended and the process may exit.
type Drained struct{}

// Note records one numbered log event.
type Note struct {
	Number int
	Fields []Field
}

// Field is one name and value of a log event.
type Field struct {
	Name  string
	Value string
}
