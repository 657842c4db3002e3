package reducer

import "time"

// Message is what hosts tell each other; each kind is a plain struct of this file.
type Message any

// HostRecord is what the fleet knows of one host; higher incarnations and beats are newer.
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
	// PromotionIn is the time until the host, as a new one, takes a seat; 0 if it seeks none.
	PromotionIn time.Duration
	// SilentFor is the time since the sender last heard news of the host.
	SilentFor time.Duration
	// Leases names the backend servers that the host may order.
	Leases []string
	// Term is the roster's clock of the host when it told of itself; 0 while it does not know the roster.
	Term int64
}

// MembershipRequest asks for all that the receiver knows of hosts; the sender does not know yet who votes.
type MembershipRequest struct{}

// MembershipReply ends the answer to a MembershipRequest, whose records come before it.
type MembershipReply struct {
	// VotersKnown is set if the sender knows who votes.
	VotersKnown bool
	// Term is the term that the sender would claim with now if it knew of no other.
	Term int64
}

// Heartbeats tells of hosts whose records the receiver is likely to know.
type Heartbeats struct {
	Hosts []HostHeartbeat
}

// HostHeartbeat is the newest sign of life of one incarnation of a host.
type HostHeartbeat struct {
	Incarnation uint64
	Heartbeat   uint64
	SilentFor   time.Duration
}

// DocumentSummary tells how new the sender's documents are.
type DocumentSummary struct {
	Revision int64
	// ConfirmedAge is the time since the platform is known to have had nothing newer; negative if never.
	ConfirmedAge time.Duration
}

// LeaseRequest asks a voter to back the sender as the one host that orders the backend servers.
type LeaseRequest struct {
	// SentAt is the sender's time since its start; the reply repeats it.
	SentAt time.Duration
	Claims []Claim
}

// Claim is one backend server of a LeaseRequest.
type Claim struct {
	Backend string
	Term    int64
	// Renewal is set while the sender holds the lease, so that a voter that has forgotten may back it at once.
	Renewal bool
	// VotersDigest is the digest of the hosts that the sender takes for the voters; 0 if Renewal is set.
	VotersDigest uint32
}

// LeaseReply tells which claims the voter backs.
type LeaseReply struct {
	SentAt time.Duration
	Votes  []Vote
}

// Vote is a voter's answer to one claim.
type Vote struct {
	Backend string
	Granted bool
	// Term is the highest term that the voter has seen.
	Term int64
	// HeldBefore is set when another host has held the lease since the claimant last did.
	HeldBefore bool
}

// LeaseRelease gives up claims.
type LeaseRelease struct {
	SentAt   time.Duration
	Backends []string
}

// AdapterRequest asks the host that orders a backend server to load an adapter.
type AdapterRequest struct {
	Backend string
	Adapter AdapterKey
	Version int64
	// Overdue is set when the adapter was not there at the time that the holder told.
	Overdue bool
	Origin  Origin
}

// Origin is the request for which something is asked, so that the log of the host that answers names it too.
type Origin struct {
	// Request is what the caller named the request, and Age the request's age when it was asked for.
	Request string
	Age     time.Duration
}

// ResidencyUpdate tells how far an adapter is resident on a backend server.
type ResidencyUpdate struct {
	Backend string
	Adapter AdapterKey
	Version int64
	Stage   Stage
	// ReadyIn is the time until requests for the adapter are likely to be taken.
	ReadyIn time.Duration
}

// Usage tells the host that orders a backend server what the sender has running there.
type Usage struct {
	Backend string
	Running int
	Tokens  int
	// PrefillTokens is the prompt tokens of requests that have no answer yet.
	PrefillTokens int
	Adapters      []AdapterUsage
}

// AdapterUsage is one adapter of a Usage.
type AdapterUsage struct {
	Adapter       AdapterKey
	DispatchCount int
	Running       int
	// Verified is set once a request for the adapter has been answered, which proves that it is resident.
	Verified bool
	// Version is the version of the adapter that the answered request asked for.
	Version int64
}

// BackendLoad tells what all other hosts have running on a backend server.
type BackendLoad struct {
	Backend       string
	Running       int
	Tokens        int
	PrefillTokens int
	// FreeSlots is the number of places that are empty or could be freed at once.
	FreeSlots int
}

// TokenRequest asks the keeper of a client account for tokens, in the account's unit.
type TokenRequest struct {
	Account  string
	Sequence uint64
	// Needed is what waiting requests lack, and Wanted a reserve besides.
	Needed  float64
	Reserve float64
	// Returned is tokens that the sender gives back.
	Returned float64
	// Spent is what the sender charged in the window, in equal parts of it, the newest first.
	Spent []float64
	// Unspent is what the sender has been granted and has not spent.
	Unspent float64
	// SpentPeriod is the part of the window, up to now, for which Spent holds; 0 if the request tells nothing of it.
	SpentPeriod time.Duration
	// Origin is the first request that waits.
	Origin Origin
}

// TokenGrant answers a TokenRequest; Wait is the time until the keeper has what was needed, if it had not.
type TokenGrant struct {
	Account  string
	Sequence uint64
	Tokens   float64
	Wait     time.Duration
}
