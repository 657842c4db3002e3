package reducer

// Outcome tells how a request ended at a backend server.
type Outcome uint8

// Outcomes of a dispatch.
const (
	// OutcomeDone is a whole answer that has been delivered.
	OutcomeDone Outcome = iota + 1
	// OutcomeNotSent is a request of which no byte left this host.
	OutcomeNotSent
	// OutcomeFull is a request that the backend server says it did not run for lack of room.
	OutcomeFull
	// OutcomeMisdirected is a request that reached another incarnation, which did not run it.
	OutcomeMisdirected
	// OutcomeNotLoaded is a request whose adapter or version the backend server does not hold; it did not run.
	OutcomeNotLoaded
	// OutcomeFailed is a whole answer that states a failure; the request has run.
	OutcomeFailed
	// OutcomeBroken is a request that was sent and has no whole answer.
	OutcomeBroken
	// OutcomeTimeout is a request that was sent and got no sign of an answer in its time.
	OutcomeTimeout
)

var outcomeNames = [...]string{"", "done", "not_sent", "full", "misdirected", "absent", "failed", "broken", "silent"}

// String returns the outcome's name in logs.
func (o Outcome) String() string { return outcomeNames[o] }

// NotRun reports whether the backend server certainly did not run the request.
func (o Outcome) NotRun() bool {
	return o == OutcomeNotSent || o == OutcomeFull || o == OutcomeMisdirected || o == OutcomeNotLoaded
}

// OrderResult tells how a backend server took an order.
type OrderResult uint8

// Results of an order.
const (
	// OrderAccepted is an order that is being carried out.
	OrderAccepted OrderResult = iota + 1
	// OrderDone is an order that already holds or was carried out at once.
	OrderDone
	// OrderBusy is an order that was not taken because another one is under way.
	OrderBusy
	// OrderRefused is an order that was not taken for another reason.
	OrderRefused
	// OrderUnknown is an order without an answer, which may have been taken.
	OrderUnknown
)

var orderNames = [...]string{"", "accepted", "holds", "busy", "refused", "unknown"}

// String returns the result's name in logs.
func (r OrderResult) String() string { return orderNames[r] }

// Reason tells why a request was refused or given up.
type Reason uint8

// Reasons of a refusal.
const (
	ReasonNone Reason = iota
	ReasonNoCatalogue
	ReasonNoRoute
	ReasonNoKey
	ReasonRateLimited
	ReasonNoBackend
	ReasonFull
	ReasonNotLoaded
	ReasonTimeout
	ReasonBroken
	ReasonRetryBudget
	ReasonMailboxFull
	ReasonBadRequest
	ReasonTooLarge
	ReasonCount
)

var reasonNames = [ReasonCount]string{
	"none", "no_catalogue", "no_route", "no_key", "over_rate", "no_backend_server", "full", "not_loaded", "timeout", "broken",
	"retries_spent", "mailbox_full", "bad_request", "too_large",
}

// String returns the reason's name in logs and counters.
func (r Reason) String() string { return reasonNames[r] }
