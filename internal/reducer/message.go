package reducer

import "time"

// Message is one part of an envelope between hosts; each kind is a plain struct of this file.
type Message any

// LeaseRequest asks a voter to back the sender as holder of rights that share an anchor.
type LeaseRequest struct {
	Anchor string
	// SentAt is the sender's time since it started; the reply returns it.
	SentAt time.Duration
	Digest uint64
	// Rights is empty when the voter has answered a request with the same digest.
	Rights []Right
}

// LeaseReply tells which of the rights asked for the voter does not back.
type LeaseReply struct {
	Anchor string
	SentAt time.Duration
	Digest uint64
	// Unknown says that the voter needs the list of rights.
	Unknown bool
	Refused []Refusal
	// HighestTerm is the highest term that the voter has seen for any of the rights.
	HighestTerm uint64
}

// Refusal is one right that a voter backs another holder for, or none while it is silent.
type Refusal struct {
	Right  Right
	Holder string
}

// LeaseRelease tells voters that the sender no longer holds the rights.
type LeaseRelease struct {
	SentAt time.Duration
	Rights []Right
}

// LeaseVacant tells a host that a right has no holder.
type LeaseVacant struct {
	Rights []Right
}

// LeaseClaim asks the present holder to hand over rights to the sender, which ranks before it.
type LeaseClaim struct {
	Rights []Right
}

// LeaseHandover passes what the former holder knows about a right that it has given up.
type LeaseHandover struct {
	Right   Right
	Account *AccountHandover
	Backend *BackendHandover
}

// AccountHandover is the bucket of a client account at the moment of its handover.
type AccountHandover struct {
	Level       float64
	Outstanding float64
}

// BackendHandover is what the former owner knew about a backend server.
type BackendHandover struct {
	Incarnation uint64
	Limit       int
	Running     int
	Pins        []ReportedAdapter
	// ColdLeft is how long the limit is still not to be raised.
	ColdLeft time.Duration
}

// BackendNotes tells the next host in rank what it must know to take over backend servers without a handover.
type BackendNotes struct {
	Notes []BackendNote
}

// BackendNote is how much a backend server bears in one incarnation.
type BackendNote struct {
	Backend     string
	Incarnation uint64
	Limit       int
}

// GrantRequest asks the keeper of a client account for tokens and reports those that are held.
type GrantRequest struct {
	Account string
	// Sequence grows with each request of one host incarnation.
	Sequence uint64
	// Acknowledged is the sequence of the last grant received.
	Acknowledged uint64
	Held         float64
	Wanted       float64
	// Minimum is the least number of tokens that the first waiting request can use.
	Minimum float64
	Refunds []Refund
	SentAt  time.Duration
}

// Refund is tokens that were charged Age ago and not used.
type Refund struct {
	Tokens float64
	Age    time.Duration
}

// GrantReply gives tokens that may be charged until the validity, counted from the request, is over.
type GrantReply struct {
	Account  string
	Sequence uint64
	Tokens   float64
	SentAt   time.Duration
	// Wait is how long the keeper expects to need for the rest.
	Wait      time.Duration
	NotKeeper bool
	// Settling says that the keeper is new and must wait until the grants of the former one are over.
	Settling bool
}

// LoadWants lists the loads for which a host waits; it replaces the list sent before.
type LoadWants struct {
	Wants []LoadWant
}

// LoadWant is one adapter that a backend server should load.
type LoadWant struct {
	Backend string
	Adapter AdapterKey
	Urgency float64
}

// LoadPermit allows one load from the weight store.
type LoadPermit struct {
	Sequence uint64
	Backend  string
	Adapter  AdapterKey
}

// LoadReturn says that the load under a permit has ended or was not made.
type LoadReturn struct {
	Sequence uint64
	Unused   bool
}

// Summary tells which configuration the sender has in force and how old the platform's confirmation of it is.
type Summary struct {
	Revision     uint64
	ConfirmedAge time.Duration
	Confirmed    bool
}

// PermitConsume asks the host that issued a permit to consume it.
type PermitConsume struct {
	Permit    string
	RequestID string
}

// PermitAnswer tells whether a permit was consumed by this very request.
type PermitAnswer struct {
	Permit    string
	RequestID string
	Consumed  bool
	Known     bool
}
