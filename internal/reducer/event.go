package reducer

import (
	"time"

	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// Event is an input to Reduce; each kind is a plain struct in this file.
type Event any

// Tick marks the passing of time.
type Tick struct{}

// PeerReceived carries the messages of one envelope from a peer.
type PeerReceived struct {
	From        string
	Incarnation uint64
	Messages    []Message
	// ReplyID identifies the call that waits for the reply envelope; it is empty if none waits.
	ReplyID string
	// Stamp identifies an envelope that arrived as a datagram, so that the reply can name it; it is zero for one that a call carried.
	Stamp Stamp
	// Reply is set for an envelope that replies to one of this host, and RequestedAt is when that one was sent. It is zero for an unsolicited
	// envelope, which may be of any age, and for a reply to an earlier process.
	Reply       bool
	RequestedAt time.Time
}

// Stamp identifies an envelope by the process that sent it and the time since that process started.
type Stamp struct {
	Incarnation uint64
	Uptime      time.Duration
}

// RequestArrived reports a new request from a caller.
type RequestArrived struct {
	// ID is unique on this host; CallerID is the caller's name for the request.
	ID       string
	CallerID string
	// Connection identifies the caller's connection.
	Connection string
	// At is when the request reached this host; TimeLeft counts from then.
	At       time.Time
	HostName string
	Path     string
	Key      string
	Model    string
	Adapter  string
	// PromptTokens and OutputTokens are the sizes that the request states; both are 0 for services without an engine.
	PromptTokens int
	OutputTokens int
	Parts        []Part
	// TimeLeft is how long the caller waits; 0 if the request does not say.
	TimeLeft time.Duration
	// ResumeAfter is the last event of a stream that the caller has received, or empty.
	ResumeAfter string
	// Fingerprint is the same for requests with the same key, method, host name, path, query and body: a request that its caller sends again has
	// another CallerID.
	Fingerprint uint64
}

// Part is one part of a prompt that several requests may share.
type Part struct {
	ID     string
	Tokens int
}

// RequestShed reports a request that was rejected before it reached the reducer.
type RequestShed struct {
	CallerID   string
	Connection string
	At         time.Time
	Reason     Reason
}

// RequestAbandoned reports that the caller of a request has disconnected.
type RequestAbandoned struct {
	ID string
}

// ResponseStarted reports the first piece of a response from a backend server.
type ResponseStarted struct {
	ID      string
	Attempt int
	Latency time.Duration
	// Load is the load that the backend server reported in the header.
	Load   Load
	Notice BackendNotice
}

// AttemptStalled reports that an attempt has made no progress for its ResponseHeaderTimeout or StreamIdleTimeout. It goes on.
type AttemptStalled struct {
	ID      string
	Attempt int
}

// DispatchEnded reports how an attempt at a backend server ended.
type DispatchEnded struct {
	ID      string
	Backend string
	Attempt int
	Outcome Outcome
	// Status is the backend server's status code if it responded.
	Status int
	// Load is the load that the backend server reported.
	Load   Load
	Notice BackendNotice
	// Mismatched is the number of discarded responses to other requests.
	Mismatched int
	// Delivered is set once a piece of the response has been sent to the caller.
	Delivered bool
	// Disconnected is set if the server closed or reset the connection before the response was complete.
	Disconnected bool
	// Events is the number of complete events of a stream that the attempt delivered.
	Events int
	// LongestGap is the longest time between two of these events, or between the header and the first of them.
	LongestGap time.Duration
	// TypicalGap is the time between two of these events while the server decodes without interruption; 0 if it is not known.
	TypicalGap time.Duration
	Took       time.Duration
}

// Load is the load that a backend server reports with a response.
type Load struct {
	Known   bool
	Running int
	Waiting int
	Slots   int
	// Percent is how long work takes on the server's machine at the moment, where 100 is usual; 0 if the server does not say.
	Percent float64
}

// OrderEnded reports how an order to a backend server ended.
type OrderEnded struct {
	Backend       string
	StartedUnixMs int64
	Adapter       AdapterKey
	Unload        bool
	Result        OrderResult
	Notice        BackendNotice
}

// BackendReported carries the list of adapters that a backend server reports, or the failure to read it from that incarnation.
type BackendReported struct {
	Backend       string
	StartedUnixMs int64
	RequestedAt   time.Time
	Failed        bool
	// AcceptedOrders is the number of orders that the server has accepted since its start.
	AcceptedOrders int64
	Adapters       []ReportedAdapter
	Notice         BackendNotice
}

// BackendProbed tells whether a backend server's address refuses connections, as it does once its process has ended.
type BackendProbed struct {
	Backend       string
	StartedUnixMs int64
	RequestedAt   time.Time
	Refused       bool
	// OthersRefuse is set if one of the other addresses refuses connections too.
	OthersRefuse bool
}

// BackendReport is what a backend server reports about itself.
type BackendReport struct {
	// StartedUnixMs is the server's start time; 0 if the report does not say.
	StartedUnixMs int64
	// AcceptedOrders is the number of orders that the server has accepted since its start.
	AcceptedOrders int64
	Adapters       []ReportedAdapter
}

// ReportedAdapter is one adapter that a backend server holds or is loading.
type ReportedAdapter struct {
	Adapter AdapterKey
	Version int64
	Stage   Stage
}

// LocateRequested asks, for a caller, which hosts to use.
type LocateRequested struct {
	ReplyID       string
	HostName      string
	Region        string
	FailureDomain string
}

// ConfigRead carries the configuration service's response to a list or a watch, or a failure.
type ConfigRead struct {
	RequestedAt time.Time
	Failed      bool
	// Snapshot is set for a list: items that it lacks have been deleted.
	Snapshot bool
	// Expired is set when the configuration service no longer has the changes that were requested.
	Expired bool
	// Era is the era that the response states, of a failure too; the era that was asked for if it states none.
	Era int64
	// Since is the version after which a watch asked for changes.
	Since cataloguer.Version
	// Version is the version up to which Documents covers all changes; a list may also show some of the later changes.
	Version   cataloguer.Version
	Documents []cataloguer.Document
}

// UpdatesRequested asks, for a peer, for the documents that changed after a version.
type UpdatesRequested struct {
	ReplyID string
	Since   cataloguer.Version
	// WithoutEra is set if the peer, of an older build, knows no eras and means this host's.
	WithoutEra bool
}

// UpdatesRead carries a peer's response with changed documents, or a failure.
type UpdatesRead struct {
	From     string
	Failed   bool
	Snapshot bool
	Version  cataloguer.Version
	// SignificantVersion is the peer's newest version of a change that other hosts need to know.
	SignificantVersion cataloguer.Version
	// EraAge is the time since a host first read the era of Version.
	EraAge    time.Duration
	Documents []cataloguer.Document
}

// SettingsRead carries the settings that apply without a restart.
type SettingsRead struct {
	Limits Limits
	Seeds  []string
}

// StatusRequested asks, for an operator, for the state of this host.
type StatusRequested struct {
	ReplyID string
}

// DrainRequested asks the host to drain: to stop without cutting off a request.
type DrainRequested struct{}

// EffectExpired reports that an order was dropped because its NotAfter had passed.
type EffectExpired struct {
	Backend string
	Adapter AdapterKey
	Unload  bool
}
