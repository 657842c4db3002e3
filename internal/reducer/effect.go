package reducer

import (
	"time"

	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// Effect is something for the executor to carry out; each kind is a plain struct of this file.
type Effect any

// SendPeer sends one envelope of messages to a peer.
type SendPeer struct {
	To       string
	Address  string
	Messages []Message
	// NotAfter is the time after which the envelope must not leave: the ages in it count from when it was made.
	NotAfter time.Time
}

// Refuse ends a request with an answer of this host.
type Refuse struct {
	ID     string
	Reason Reason
	// MayHaveRun is set when a backend server may have run the request.
	MayHaveRun bool
	RetryAfter time.Duration
}

// DeliverFailure hands the caller the failure that a backend server answered with.
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
	// Priority is the rank at the backend server from 0 to 9, 0 first; negative for none.
	Priority int
	// Version is the adapter version that must serve; 0 for any.
	Version int64
	// Stream is set where the answer is a stream of events.
	Stream bool
	// Resumable is set where a stream that breaks off may go on elsewhere.
	Resumable bool
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// SilentAfter bounds the wait for the first sign of an answer; 0 for none.
	SilentAfter time.Duration
	// GapAfter bounds the pauses in a stream that may go on elsewhere; 0 for none.
	GapAfter time.Duration
	// Connections bounds this host's connections to the backend server.
	Connections int
}

// Cancel stops a dispatched request.
type Cancel struct {
	ID     string
	Reason Reason
}

// OrderAdapter orders a backend server to load or unload an adapter.
type OrderAdapter struct {
	Backend       string
	Address       string
	StartedUnixMs int64
	Adapter       AdapterKey
	Version       int64
	Unload        bool
	Holder        string
	Fence         int64
	NotAfter      time.Time
}

// ReadReport asks a backend server for its state.
type ReadReport struct {
	Backend       string
	Address       string
	StartedUnixMs int64
}

// ForgetBackend drops the connections to a backend server.
type ForgetBackend struct {
	Backend string
}

// LocateResponse tells a caller which hosts to use.
type LocateResponse struct {
	ReplyID   string
	Addresses []string
	TTL       time.Duration
}

// WatchPlatform asks the platform for changes after Since and lets the call wait.
type WatchPlatform struct {
	Since int64
	Wait  time.Duration
}

// ListPlatform reads all items of the platform.
type ListPlatform struct{}

// ReadUpdates asks a peer for the documents that changed after Since.
type ReadUpdates struct {
	From    string
	Address string
	Since   int64
}

// UpdatesResponse answers a peer's question for changed documents.
type UpdatesResponse struct {
	ReplyID  string
	Snapshot bool
	Revision int64
	// SignificantRevision is the highest revision of a change that other hosts need to know.
	SignificantRevision int64
	Documents           []cataloguer.Document
}

// CallerLimits puts the bounds on what callers may send into force.
type CallerLimits struct {
	Limits cataloguer.CallerLimits
}

// StatusResponse answers an operator.
type StatusResponse struct {
	ReplyID string
	Status  Status
}

// Ready says whether the host may be sent new requests.
type Ready struct {
	Ready bool
}

// DrainStarted says that the host tells its callers to go elsewhere.
type DrainStarted struct{}

// Drained says that a leaving host may end.
type Drained struct{}

// WakeAt asks for a Tick at a time that comes before the next regular one.
type WakeAt struct {
	At time.Time
}

// RequestMeasured tells how long a request took from its arrival to its end.
type RequestMeasured struct {
	Kind    string
	Service string
	Outcome string
	Took    time.Duration
}

// LogEvent records a numbered event.
type LogEvent struct {
	Number int
	Fields []Field
}

// Field is one named value of a Note.
type Field struct {
	Name  string
	Value string
}
