package reducer

import (
	"time"

	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// Effect is an action for the executor to carry out; each kind is a plain struct in this file.
type Effect any

// SendPeer sends one envelope of messages to a peer.
type SendPeer struct {
	// To is the ID of the peer; it is empty for a seed, of which only the address is known.
	To       string
	Address  string
	Messages []Message
	// NotAfter is the time after which the envelope must not be sent: the ages in it count from when it was made.
	NotAfter time.Time
	// Datagram is set if the peer receives datagrams.
	Datagram bool
	// ReplyTo is the stamp of the envelope to which this one replies; it is zero for another one.
	ReplyTo Stamp
}

// Refuse ends a request with a response from this host.
type Refuse struct {
	ID     string
	Reason Reason
	// MayHaveRun is set when a backend server may have run the request.
	MayHaveRun bool
	// RetryAfter is the retry delay that the response suggests to the caller; 0 for none.
	RetryAfter time.Duration
}

// DeliverFailure delivers the failure response of a backend server to the caller.
type DeliverFailure struct {
	ID string
}

// Dispatch sends a request to a backend server.
type Dispatch struct {
	ID      string
	Attempt int
	Backend string
	Address string
	Account string
	// Priority is the scheduling priority at the backend server, from 0 (first) to 9; negative for none.
	Priority int
	// Version is the adapter version that must serve the request; 0 for any.
	Version int64
	// Stream is set if the response is a stream of events.
	Stream bool
	// Resumable is set if another backend server may resume an interrupted stream.
	Resumable bool
	// Deadline is the time at which the caller stops waiting.
	Deadline time.Time
	// ResponseHeaderTimeout is the time without a response header after which the attempt is reported as stalled; 0 for never.
	ResponseHeaderTimeout time.Duration
	// StreamIdleTimeout is the same between two events of a stream that another backend server may resume.
	StreamIdleTimeout time.Duration
	// MaxConnections limits this host's connections to the backend server; 0 for no limit.
	MaxConnections int
}

// EndAttempt ends an attempt that has stalled; its outcome is a timeout.
type EndAttempt struct {
	ID      string
	Attempt int
}

// Cancel stops a dispatched request.
type Cancel struct {
	ID     string
	Reason Reason
}

// OrderAdapter orders a backend server to load or unload an adapter, or to load a model if Adapter names only a model.
type OrderAdapter struct {
	Backend       string
	Address       string
	StartedUnixMs int64
	Adapter       AdapterKey
	Version       int64
	Unload        bool
	Holder        string
	Fence         int64
	// NotAfter is the end of the lease, after which the order must not be sent.
	NotAfter time.Time
}

// ReadReport requests a report of its resident adapters from a backend server.
type ReadReport struct {
	Backend       string
	Address       string
	StartedUnixMs int64
}

// ProbeBackend finds out whether a backend server's process still listens, without a request.
type ProbeBackend struct {
	Backend       string
	Address       string
	StartedUnixMs int64
	// Once is set if one try is enough, to learn soon that the server runs; a process that is about to end may accept a connection then.
	Once bool
	// Others holds the addresses of other backend servers of which it is enough to know whether one refuses connections.
	Others []string
}

// CloseConnections closes the connections to a backend server.
type CloseConnections struct {
	Backend string
}

// LocateResponse responds to a caller with the addresses of the hosts to use.
type LocateResponse struct {
	ReplyID   string
	Addresses []string
	TTL       time.Duration
}

// WatchConfigService requests the changes after the version Since from the configuration service, which may hold the call open for up to
// Wait.
type WatchConfigService struct {
	Since cataloguer.Version
	Wait  time.Duration
}

// ListConfigService requests a snapshot of all items from the configuration service.
type ListConfigService struct {
	// Era is the era to which an answer that states none counts.
	Era int64
}

// ReadUpdates requests the documents that changed after the version Since from a peer.
type ReadUpdates struct {
	From    string
	Address string
	Since   cataloguer.Version
}

// UpdatesResponse responds to a peer's request for changed documents.
type UpdatesResponse struct {
	ReplyID  string
	Snapshot bool
	Version  cataloguer.Version
	// SignificantVersion is the newest version of a change that other hosts need to know.
	SignificantVersion cataloguer.Version
	// EraAge is the time since a host first read the era of Version.
	EraAge    time.Duration
	Documents []cataloguer.Document
}

// ApplyCallerLimits applies the limits on what callers may send.
type ApplyCallerLimits struct {
	Limits cataloguer.CallerLimits
	// Accounts are the client accounts by key.
	Accounts map[string]string
}

// StatusResponse responds to an operator with the state of this host.
type StatusResponse struct {
	ReplyID string
	Status  Status
}

// SetReady sets whether the host may be sent new requests.
type SetReady struct {
	Ready bool
}

// DrainStarted reports that the host is draining, so that its callers are told to use other hosts.
type DrainStarted struct{}

// Drained reports that a draining host may exit.
type Drained struct{}

// WakeAt schedules a Tick before the next regular one.
type WakeAt struct {
	At time.Time
}

// RecordLatency records the time from a request's arrival to its end, by kind, service and outcome, which take a bounded number of values.
type RecordLatency struct {
	// Kind is the retry policy of the request's route.
	Kind    string
	Service string
	Outcome string
	Took    time.Duration
}

// LogEvent logs a numbered event.
type LogEvent struct {
	Number int
	Fields []Field
}

// Field is one named value of a LogEvent.
type Field struct {
	Name  string
	Value string
}
