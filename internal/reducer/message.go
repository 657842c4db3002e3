package reducer

import (
	"time"

	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// Message is a message between hosts; each kind is a plain struct in this file.
type Message any

// HostRecord describes one host; a higher incarnation is newer, and within an incarnation a higher heartbeat.
type HostRecord struct {
	ID            string
	Incarnation   uint64
	Heartbeat     uint64
	Address       string
	PeerAddress   string
	FailureDomain string
	Ready         bool
	Draining      bool
	// Voter is set for a host that votes on leases, as far as the sender knows.
	Voter bool
	// PromotionIn is the time until the host, as a new one, becomes a voter; 0 if it seeks no promotion.
	PromotionIn time.Duration
	// HeartbeatAge is the time since the host's heartbeat last increased, as far as the sender knows.
	HeartbeatAge time.Duration
	// Leases names the backend servers whose leases the host holds.
	Leases []string
	// Term is the host's current term when it made the record; 0 while it does not know the voter set.
	Term int64
	// ChangedAtHeartbeat is the host's heartbeat when it last changed its record in more than the heartbeat; 0 from an older build.
	ChangedAtHeartbeat uint64
	// Datagrams is set for a host that receives datagrams, and heartbeat tables in them.
	Datagrams bool
	// CapacityMillicores is the processor capacity of the host in thousandths of a core; 0 if it is not known.
	CapacityMillicores int
}

// MembershipRequest asks for all host records that the receiver has; the sender does not know the voter set yet.
type MembershipRequest struct{}

// MembershipReply ends the reply to a MembershipRequest; the host records precede it.
type MembershipReply struct {
	// VotersKnown is set if the sender knows the voter set.
	VotersKnown bool
	// Term is the sender's current term: the lowest that it would use for a new claim.
	Term int64
}

// Heartbeats carries the heartbeats of hosts whose records the receiver probably has.
type Heartbeats struct {
	Hosts []HostHeartbeat
}

// HostHeartbeat is the latest heartbeat of one incarnation of a host.
type HostHeartbeat struct {
	Incarnation  uint64
	Heartbeat    uint64
	HeartbeatAge time.Duration
}

// DocumentSummary states how current the sender's documents are.
type DocumentSummary struct {
	// SignificantVersion is the newest version of a change that other hosts need to know.
	SignificantVersion cataloguer.Version
	// ConfirmedAge is the time since the sender's documents were last confirmed up to date; negative if never.
	ConfirmedAge time.Duration
}

// LeaseRequest asks a voter to grant the sender the leases of backend servers.
type LeaseRequest struct {
	// SentAtUptime is the sender's uptime when it sent the request; the reply repeats it.
	SentAtUptime time.Duration
	Claims       []Claim
}

// Claim is the claim to the lease of one backend server.
type Claim struct {
	Backend string
	Term    int64
	// Renewal is set while the sender holds the lease; a voter that may have lost its lease grants in a restart may then grant the claim.
	Renewal bool
	// VotersDigest is the digest of the voters that the sender asks; 0 if Renewal is set.
	VotersDigest uint32
}

// LeaseReply carries a voter's votes on the claims of a LeaseRequest.
type LeaseReply struct {
	SentAtUptime time.Duration
	Votes        []Vote
}

// Vote is a voter's reply to one claim.
type Vote struct {
	Backend string
	Granted bool
	// Term is the term of the voter's last grant for the backend server.
	Term int64
	// HeldBefore is set when the voter has granted the lease to the claimant before, and to another host after that.
	HeldBefore bool
}

// LeaseRelease releases leases and claims of the sender.
type LeaseRelease struct {
	SentAtUptime time.Duration
	Backends     []string
}

// AdapterRequest asks the lease holder of a backend server to load an adapter.
type AdapterRequest struct {
	Backend string
	Adapter AdapterKey
	Version int64
	// Overdue is set when the adapter was not loaded by the time that the lease holder gave.
	Overdue bool
	Origin  Origin
}

// Origin identifies the request that caused a message, so that the log of the receiving host names it too.
type Origin struct {
	// Request is the caller's name for the request, and Age the request's age when the message was sent.
	Request string
	Age     time.Duration
}

// ResidencyUpdate reports how far an adapter is resident on a backend server.
type ResidencyUpdate struct {
	Backend string
	Adapter AdapterKey
	Version int64
	Stage   Stage
	// ReadyIn is the expected time until the adapter can serve requests.
	ReadyIn time.Duration
}

// Usage reports to the lease holder of a backend server what the sender has running there.
type Usage struct {
	Backend string
	Running int
	Tokens  int
	// PrefillTokens is the prompt tokens of requests without a response yet.
	PrefillTokens int
	Adapters      []AdapterUsage
	// Full is set if Adapters names all adapters that the sender has running.
	Full bool
	// PaceWork is the work that the server did for the sender since the last report, in prompt tokens, and PaceBusy the time that it took.
	PaceWork float64
	PaceBusy time.Duration
	// Answers counts the server's responses to the sender since the last report, SlowAnswers those of them that began late for the server's
	// pace, and Refusals the requests that the server refused as not run.
	Answers     int
	SlowAnswers int
	Refusals    int
}

// AdapterUsage is one adapter of a Usage.
type AdapterUsage struct {
	Adapter AdapterKey
	// DispatchCount counts the sender's requests for the adapter since the last report.
	DispatchCount int
	Running       int
	// Verified is set when a response has verified the adapter as resident since the last report.
	Verified bool
	// Version is the adapter version that was requested when a response last verified the adapter.
	Version int64
	// Work is the prompt tokens of the requests for the adapter that the sender dispatched since the last report, to whichever server.
	Work int
}

// BackendLoad reports what all other hosts have running on a backend server.
type BackendLoad struct {
	Backend       string
	Running       int
	Tokens        int
	PrefillTokens int
	// FreeSlots is the number of adapter slots that are empty or can be freed at once, less those of pending loads.
	FreeSlots int
	// PaceWork and PaceBusy are the decayed sums of the reports of all other hosts.
	PaceWork float64
	PaceBusy time.Duration
	// StartLimit is the number of requests that all hosts together may have at a server whose pace is being found; 0 for no limit.
	StartLimit float64
	// Senders is the number of hosts, the receiver included, that have reported use of the server recently.
	Senders int
	// Demands is the demand for the adapters of which the server is the first by rank.
	Demands []AdapterDemand
}

// AdapterDemand is the demand for an adapter at all hosts, in prompt tokens per second.
type AdapterDemand struct {
	Adapter AdapterKey
	Work    float64
}

// TokenRequest asks the quota coordinator of a client account for tokens, in the account's unit.
type TokenRequest struct {
	Account  string
	Sequence uint64
	// Needed is what waiting requests and a model load lack. Reserve is what the sender wants to hold in addition, for requests to come.
	Needed  float64
	Reserve float64
	// Returned is the tokens that the sender gives back.
	Returned float64
	// Spent is what the sender charged in the quota window, in equal parts of the window, newest first.
	Spent []float64
	// Unspent is the tokens that the sender has been granted and has not spent.
	Unspent float64
	// SpentPeriod is the part of the window, up to now, that Spent covers; 0 if the request does not report spending.
	SpentPeriod time.Duration
	// Origin is the first waiting request.
	Origin Origin
}

// Suspects tells which content of requests may crash backend servers, and which is in quarantine.
type Suspects struct {
	Contents []SuspectContent
}

// SuspectContent is what the sender knows of some content.
type SuspectContent struct {
	Content string
	// Depth is the position of the content in its requests.
	Depth   int
	Crashes []SuspectCrash
	// Answered is set if a request with the content was answered completely, as far as the sender knows, and AnsweredAge the time since then.
	Answered    bool
	AnsweredAge time.Duration
	// QuarantineLeft is the time to the end of the quarantine; 0 for none. Strikes counts the quarantines of the content.
	QuarantineLeft time.Duration
	Strikes        int
}

// Losses tells which requests were lost at crashes of backend servers.
type Losses struct {
	Requests []Loss
}

// Loss is a request that was lost at a crash, with the content that no host has seen answered since, as far as the sender knows.
type Loss struct {
	// ID identifies the loss on all hosts.
	ID       uint64
	Crash    SuspectCrash
	Contents []string
}

// SuspectCrash is a crash of a backend server at which a request with suspect content was lost.
type SuspectCrash struct {
	// Server identifies the incarnation of the backend server, and Request the request.
	Server  uint64
	Request uint64
	Age     time.Duration
	// AnswerBegun is set if the answer to the request had just begun, and Trial if the request was sent as a trial.
	AnswerBegun bool
	Trial       bool
}

// TrialRequest asks the arbiter of a service for the trial of a request, renews the trial, or tells that it has ended.
type TrialRequest struct {
	Service string
	Content string
	// Sequence tells the sender's trials apart; the reply repeats it.
	Sequence uint64
	// Ended is set at the end of the trial, and Lost if the server then closed the connection without an answer.
	Ended bool
	Lost  bool
}

// TrialReply answers a host that has asked for a trial.
type TrialReply struct {
	Service  string
	Sequence uint64
	Granted  bool
}

// RateLimits tells which rate limits backend servers name, and which of them name none any more.
type RateLimits struct {
	Servers []ServerRateLimit
}

// ServerRateLimit is the rate limit of one incarnation of a backend server, as its latest response to some host states it.
type ServerRateLimit struct {
	Backend       string
	StartedUnixMs int64
	// PerSecond is the number of requests per second that the server takes from all hosts together; 0 if it names no limit any more.
	PerSecond float64
	// Sequence counts the changes of the limit. A host that a response tells of a change takes the next number, and the highest one holds.
	Sequence uint64
	// Age is the time since a response last stated the limit, as far as the sender knows.
	Age time.Duration
}

const (
	// MaxRateLimit is the highest number of requests per second that counts as a rate limit. It is far above what one backend server answers,
	// so a higher number is a fault of the server, and it can be added and multiplied without overflow.
	MaxRateLimit = 1e6
	// MaxRateLimitsTold is the largest number of servers in one RateLimits; a receiver ignores the rest.
	MaxRateLimitsTold = 1024
)

// TokenGrant replies to the TokenRequest with the same Sequence. If the coordinator could not grant all needed tokens, Wait is the time
// until it has them; otherwise Wait is 0.
type TokenGrant struct {
	Account  string
	Sequence uint64
	Tokens   float64
	Wait     time.Duration
}
