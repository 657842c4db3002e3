package reducer

import (
	"time"

	"github.com/redwingpick/redwingpick/internal/estimator"
	"github.com/redwingpick/redwingpick/internal/selector"
)

// Lease is this host's lease, or claim to the lease, of one backend server, and what the host knows as the holder.
type Lease struct {
	Term int64
	// Fence is set with the first report of the server, which the first order waits for.
	Fence int64
	// ClaimedAtUptime is the uptime of this host at which the claim began; replies to earlier requests do not count.
	ClaimedAtUptime time.Duration
	// Votes holds, for each voter, the uptime at which the last granted request was sent.
	Votes      map[string]time.Duration
	ValidUntil time.Time
	// HeldSince is when this host acquired the lease; zero while it is only claimed.
	HeldSince time.Time
	// RequestedAt is when this host last sent a claim or a renewal.
	RequestedAt time.Time
	// VotersDigest is the digest of the voters that the claim goes to.
	VotersDigest uint32
	// HeldBefore is set when a voter has recorded this host as a former holder.
	HeldBefore bool
	Inventory  Inventory
}

// Inventory is what the lease holder knows of the adapters on one backend server.
type Inventory struct {
	// ReportReadAt is when the backend server's report was last read; the holder sends no order before the first report.
	ReportReadAt      time.Time
	ReportRequestedAt time.Time
	// OrderPending is set while the result of an order is awaited.
	OrderPending bool
	// NextOrderAt is the earliest time of the next order.
	NextOrderAt time.Time
	Entries     map[AdapterKey]*InventoryEntry
	// UnloadedAt holds when adapters were last unloaded; the backend server may still have them cached, and loads them faster.
	UnloadedAt map[AdapterKey]time.Time
	// Pending are the requested loads in the order of their requests.
	Pending []PendingLoad
	Usage   map[string]*HostUsage
	// Samples holds the samples of the server's service rate from all hosts.
	Samples estimator.Sums
	// KeptAliveAt is when an adapter was last reloaded only to show that this host lives.
	KeptAliveAt time.Time
	// Uncertain is set when an order was not accepted or has no known result, until a report shows what the backend server holds.
	Uncertain bool
}

// InventoryEntry is one adapter that takes a slot on the backend server.
type InventoryEntry struct {
	Stage     Stage
	Version   int64
	OrderedAt time.Time
	ReadyAt   time.Time
	Use       selector.DecayingCount
	// Verified is set once a response or a report has shown that the adapter is resident.
	Verified bool
	// Overdue is set once a load was not complete at the expected time.
	Overdue bool
	// Cached is set for a load of an adapter that was unloaded before and is expected to be still cached.
	Cached bool
	// LastRequestedAt is when a host last requested the adapter.
	LastRequestedAt time.Time
	// Requesters are the hosts that receive an update when the residency of the adapter changes.
	Requesters map[string]time.Time
}

// PendingLoad is an adapter that hosts have requested and whose load the backend server has not accepted yet.
type PendingLoad struct {
	Adapter    AdapterKey
	Version    int64
	QueuedAt   time.Time
	Requesters map[string]time.Time
}

// HostUsage is what one host last reported of its requests on a backend server.
type HostUsage struct {
	Running       int
	Tokens        int
	PrefillTokens int
	// RunningByAdapter counts the running requests for each adapter in use.
	RunningByAdapter map[AdapterKey]int
	ReceivedAt       time.Time
	// Samples holds the host's samples of the server's service rate.
	Samples estimator.Sums
}

// LeaseGrant is the grant of a backend server's lease that this host, as a voter, has made.
type LeaseGrant struct {
	Holder      string
	Incarnation uint64
	ValidUntil  time.Time
	Term        int64
	// SentAtUptime is the holder's uptime at its last granted request; older messages do not count.
	SentAtUptime time.Duration
	// FormerHolders are the hosts that the lease was granted to before the holder.
	FormerHolders map[string]bool
}
