package reducer

// Outcome is how a request ended at a backend server.
type Outcome uint8

// Outcomes of a dispatch.
const (
	// OutcomeDone is a complete response that has been delivered.
	OutcomeDone Outcome = iota + 1
	// OutcomeNotSent is a request of which this host sent no byte.
	OutcomeNotSent
	// OutcomeFull is a request that the backend server rejected for lack of capacity and did not run.
	OutcomeFull
	// OutcomeMisdirected is a request that reached another incarnation or server, which did not run it.
	OutcomeMisdirected
	// OutcomeNotLoaded is a request whose adapter or adapter version is not resident on the backend server; it did not run.
	OutcomeNotLoaded
	// OutcomeFailed is a complete response of the backend server that states a failure; the request has run.
	OutcomeFailed
	// OutcomeBroken is a request that was sent and has no complete response of the backend server; it may have run.
	OutcomeBroken
	// OutcomeTimeout is a request that was sent and got no response, or no further part of one, within its time limit; it may have run.
	OutcomeTimeout
)

var outcomeNames = [...]string{"", "done", "not_sent", "full", "misdirected", "absent", "failed", "broken", "silent"}

// String returns the name of the outcome in logs.
func (o Outcome) String() string { return outcomeNames[o] }

// NotRun reports whether the backend server certainly did not run the request.
func (o Outcome) NotRun() bool {
	return o == OutcomeNotSent || o == OutcomeFull || o == OutcomeMisdirected || o == OutcomeNotLoaded
}

// OrderResult is how a backend server responded to an order.
type OrderResult uint8

// Results of an order.
const (
	// OrderAccepted is an order that the backend server is carrying out.
	OrderAccepted OrderResult = iota + 1
	// OrderDone is an order that was carried out at once, or whose result was in place already.
	OrderDone
	// OrderBusy is an order that was rejected because others are in progress.
	OrderBusy
	// OrderRefused is an order that was rejected for another reason.
	OrderRefused
	// OrderUnknown is an order without a response, which may have been carried out.
	OrderUnknown
)

var orderResultNames = [...]string{"", "accepted", "holds", "busy", "refused", "unknown"}

// String returns the name of the result in logs.
func (r OrderResult) String() string { return orderResultNames[r] }

// Reason is why a request was refused or canceled.
type Reason uint8

// Reasons for a refusal; ReasonCount is their number.
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
	ReasonDraining
	ReasonQuarantined
	ReasonCallerMemory
	ReasonHeadTooLarge
	ReasonCount
)

var reasonNames = [ReasonCount]string{
	"none", "no_catalogue", "no_route", "no_key", "over_rate", "no_backend_server", "full", "not_loaded", "timeout", "broken",
	"retries_spent", "mailbox_full", "bad_request", "too_large", "draining",
	"quarantined", "caller_memory", "head_too_large",
}

// String returns the name of the reason in logs and counters.
func (r Reason) String() string { return reasonNames[r] }
