package reducer

import "time"

// Limits holds the durations and bounds of the decisions; every host of a fleet uses the same.
type Limits struct {
	LeaseTime      time.Duration
	LeaseMargin    time.Duration
	RenewEvery     time.Duration
	GrantTime      time.Duration
	SummaryEvery   time.Duration
	WatchWait      time.Duration
	IsolatedAfter  time.Duration
	PollEvery      time.Duration
	RampEvery      time.Duration
	BackoffFirst   time.Duration
	BackoffMax     time.Duration
	SuspectFor     time.Duration
	LocateFor      time.Duration
	PermitFor      time.Duration
	LoadFor        time.Duration
	RequestTimeout time.Duration
	DrainFor       time.Duration
	WantsEvery     time.Duration
	// ReportLag is how far behind a backend server's report of its state may be.
	ReportLag      time.Duration
	MaxAttempts    int
	MaxQueue       int
	MaxWaiting     int
	Voters         int
	SlowFirstToken float64
	// ClockDrift is the largest relative error between the rates of two hosts' clocks.
	ClockDrift float64
}

// DefaultLimits returns the limits that the daemons run with.
func DefaultLimits() Limits {
	return Limits{
		LeaseTime:      2500 * time.Millisecond,
		LeaseMargin:    100 * time.Millisecond,
		RenewEvery:     800 * time.Millisecond,
		GrantTime:      1500 * time.Millisecond,
		SummaryEvery:   time.Second,
		WatchWait:      time.Second,
		IsolatedAfter:  3 * time.Second,
		PollEvery:      time.Second,
		RampEvery:      time.Second,
		BackoffFirst:   25 * time.Millisecond,
		BackoffMax:     800 * time.Millisecond,
		SuspectFor:     2 * time.Second,
		LocateFor:      5 * time.Second,
		PermitFor:      10 * time.Minute,
		LoadFor:        20 * time.Second,
		RequestTimeout: 2 * time.Minute,
		DrainFor:       5 * time.Minute,
		WantsEvery:     500 * time.Millisecond,
		ReportLag:      time.Second,
		MaxAttempts:    24,
		MaxQueue:       256,
		MaxWaiting:     1024,
		Voters:         5,
		SlowFirstToken: 4,
		ClockDrift:     0.01,
	}
}

// Outcome tells how a request ended.
type Outcome uint8

// Outcomes of a request.
const (
	OutcomeDone Outcome = iota + 1
	// OutcomeNotRun means that no backend server can have received the request.
	OutcomeNotRun
	// OutcomeUnknown means that a backend server may have run the request.
	OutcomeUnknown
)

// String returns the outcome in the form that callers see.
func (o Outcome) String() string {
	return [...]string{"", "done", "not_run", "unknown"}[o]
}

// Reason tells why a request was refused or ended early.
type Reason uint8

// Reasons of a refusal.
const (
	ReasonNone Reason = iota
	ReasonUnauthorized
	ReasonForbidden
	ReasonUnknownModel
	ReasonOverRate
	ReasonTooLarge
	ReasonOverloaded
	ReasonNotOwner
	ReasonNoBackend
	ReasonDeadline
	ReasonNotReady
	ReasonIsolated
	ReasonKeyWithdrawn
	ReasonPermitSpent
	ReasonPermitUnknown
	ReasonBackendFailed
	ReasonConnection
	ReasonCancelled
	ReasonStopped
	ReasonSpill
	ReasonVersion
	ReasonNotLoaded
	// ReasonOwnerLost means that the host that owns the backend server broke off.
	ReasonOwnerLost
	// ReasonCount is the number of reasons.
	ReasonCount
)

var reasonTexts = [ReasonCount]string{
	"", "unauthorized", "forbidden", "unknown_model", "over_rate", "too_large", "overloaded", "not_owner", "no_backend_server",
	"deadline", "not_ready", "isolated", "key_withdrawn", "permit_spent", "permit_unknown", "backend_server_failed",
	"connection", "cancelled", "stopped", "spill", "version", "not_loaded", "owner_lost",
}

// String returns the reason in the form that callers see.
func (r Reason) String() string { return reasonTexts[r] }

// ReasonOf returns the reason behind the form that callers see, or ReasonConnection if there is none.
func ReasonOf(text string) Reason {
	for i, t := range reasonTexts {
		if t == text {
			return Reason(i)
		}
	}
	return ReasonConnection
}
