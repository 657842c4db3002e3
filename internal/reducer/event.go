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
	Messages    []Message
	// ReplyID names who waits for the envelope that answers this one, or is empty.
	ReplyID string
	// AskedAt is when the envelope left that this one answers; it is zero for an envelope that came by itself, which may be of any age.
	AskedAt time.Time
}

// RequestArrived says that a caller asks for work.
type RequestArrived struct {
	// ID is unique on this host; CallerID is what the caller named the request.
	ID       string
	CallerID string
	// Connection names the caller's connection.
	Connection string
	// At is when the request reached this host; its time left counts from then.
	At       time.Time
	HostName string
	Path     string
	Key      string
	Model    string
	Adapter  string
	// PromptTokens and OutputTokens are what the request states; both are 0 for plain services.
	PromptTokens int
	OutputTokens int
	Parts        []Part
	// TimeLeft is how long the caller will wait; 0 if it did not say.
	TimeLeft time.Duration
	// ResumeAfter is the last event of a stream that the caller has, or empty.
	ResumeAfter string
}

// Part is one part of a prompt that requests may share.
type Part struct {
	ID     string
	Tokens int
}

// RequestShed says that a request was refused before it could be decided on.
type RequestShed struct {
	CallerID   string
	Connection string
	At         time.Time
	Reason     Reason
}

// RequestAbandoned says that the caller of a request is gone.
type RequestAbandoned struct {
	ID string
}

// ResponseStarted says that a backend server has sent the first piece of its answer.
type ResponseStarted struct {
	ID      string
	Attempt int
	After   time.Duration
}

// DispatchEnded says how a request ended that was sent to a backend server.
type DispatchEnded struct {
	ID      string
	Backend string
	Attempt int
	Outcome Outcome
	// Status is the backend server's status code where it answered.
	Status int
	// Load is what the backend server told of its load.
	Load Load
	// Mismatched is the number of answers to other requests that were discarded.
	Mismatched int
	// Delivered is set once a piece of the answer has gone to the caller.
	Delivered bool
	Took      time.Duration
}

// Load is what a backend server told of its load with an answer.
type Load struct {
	Known   bool
	Running int
	Waiting int
	Slots   int
}

// OrderEnded says how an order to a backend server ended.
type OrderEnded struct {
	Backend       string
	StartedUnixMs int64
	Adapter       AdapterKey
	Unload        bool
	Result        OrderResult
}

// BackendReported carries the state that a backend server reports of itself.
type BackendReported struct {
	Backend       string
	StartedUnixMs int64
	AskedAt       time.Time
	Failed        bool
	Adapters      []ReportedAdapter
}

// ReportedAdapter is one adapter that a backend server holds or that is on its way there.
type ReportedAdapter struct {
	Adapter AdapterKey
	Version int64
	Stage   Stage
}

// LocateRequested says that a caller asks which hosts to use.
type LocateRequested struct {
	ReplyID       string
	HostName      string
	Region        string
	FailureDomain string
}

// PlatformRead is the platform's answer to a list or a watch, or a failure.
type PlatformRead struct {
	AskedAt time.Time
	Failed  bool
	// Snapshot is set for a list: what it lacks is gone.
	Snapshot bool
	// Expired is set when the platform no longer has the changes that were asked for.
	Expired bool
	// Revision is the one up to which the documents tell all that has changed; a list may show some of what has changed since.
	Revision  int64
	Documents []cataloguer.Document
}

// UpdatesRequested says that a peer asks for the documents that changed after a revision.
type UpdatesRequested struct {
	ReplyID string
	Since   int64
}

// UpdatesRead is a peer's answer with changed documents, or a failure.
type UpdatesRead struct {
	From     string
	Failed   bool
	Snapshot bool
	Revision int64
	// SignificantRevision is the highest revision of a change that other hosts need to know, as the peer tells it.
	SignificantRevision int64
	Documents           []cataloguer.Document
}

// SettingsRead brings the settings that a running host can follow.
type SettingsRead struct {
	Limits Limits
	Seeds  []string
}

// StatusRequested says that an operator asks for the state of this host.
type StatusRequested struct {
	ReplyID string
}

// DrainRequested says that the host must leave without cutting a request.
type DrainRequested struct{}

// EffectExpired says that an order was dropped because its NotAfter had passed.
type EffectExpired struct {
	Backend string
	Adapter AdapterKey
	Unload  bool
}
