package reducer

import (
	"time"

	"github.com/redwingpick/redwingpick/internal/selector"
)

// Lease is this host's lease to order one backend server, and what it knows as its holder.
type Lease struct {
	Term  int64
	Fence int64
	// ClaimedAt is the time since the start at which this host began to ask; older replies do not count.
	ClaimedAt  time.Duration
	Votes      map[string]time.Duration
	ValidUntil time.Time
	HeldSince  time.Time
	AskedAt    time.Time
	// VotersDigest is the digest of the voters that a claim goes to.
	VotersDigest uint32
	// HeldBefore is set when a voter remembers this host as a holder that another one followed.
	HeldBefore bool
	Inventory  Inventory
}

// Inventory is the holder's account of the adapters on one backend server.
type Inventory struct {
	// ReportReadAt is when the backend server's report was read; nothing is ordered before.
	ReportReadAt      time.Time
	ReportRequestedAt time.Time
	// OrderPending is set while an order has no answer yet.
	OrderPending bool
	NextOrderAt  time.Time
	Entries      map[AdapterKey]*InventoryEntry
	// UnloadedAt holds when adapters were last dropped; these load fast.
	UnloadedAt map[AdapterKey]time.Time
	Pending    []PendingLoad
	Usage      map[string]*HostUsage
	// Uncertain is set when an order may or may not have been taken.
	Uncertain bool
}

// InventoryEntry is one adapter that takes a place on the backend server.
type InventoryEntry struct {
	Stage     Stage
	Version   int64
	OrderedAt time.Time
	ReadyAt   time.Time
	Use       selector.DecayingCount
	// Verified is set once an answer or a report has shown the adapter to be resident.
	Verified bool
	// Overdue is set once a load was not over at the expected time.
	Overdue bool
	// Cached is set for a load of an adapter that the backend server had at hand.
	Cached bool
	// LastRequestedAt is when a host last asked for the adapter.
	LastRequestedAt time.Time
	// Requesters are the hosts that are told when the adapter comes or goes.
	Requesters map[string]time.Time
}

// PendingLoad is an adapter that somebody waits for.
type PendingLoad struct {
	Adapter    AdapterKey
	Version    int64
	QueuedAt   time.Time
	Requesters map[string]time.Time
}

// HostUsage is what one host has told of its requests on a backend server.
type HostUsage struct {
	Running       int
	Tokens        int
	PrefillTokens int
	// RunningByAdapter counts the running requests of each adapter in use.
	RunningByAdapter map[AdapterKey]int
	ReceivedAt       time.Time
}

// LeaseGrant is the backing that this host, as a voter, has given a host.
type LeaseGrant struct {
	Holder      string
	Incarnation uint64
	Until       time.Time
	Term        int64
	// SentAt is the holder's time at its last request that was backed; older messages do not count.
	SentAt time.Duration
	// FormerHolders are the hosts that were backed before the holder.
	FormerHolders map[string]bool
}
