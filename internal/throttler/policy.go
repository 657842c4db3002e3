package throttler

import "time"

// Bound states how many requests may reach a backend server from all hosts within any Window: Factor times its rate, and Extra more.
type Bound struct {
	Window time.Duration
	Factor float64
	Extra  float64
}

// Policy is a kind of bound on the requests of a backend server.
type Policy interface {
	// Bound returns the bound that the users state.
	Bound() Bound
}

// ColdStart is the bound of a backend server in its cold start, which bears one and a half times its rate and 5 requests in any second.
type ColdStart struct{}

// Bound implements Policy.
func (ColdStart) Bound() Bound { return Bound{Window: time.Second, Factor: 1.5, Extra: 5} }

// NamedLimit is the bound on requests to a backend server that names a limit, over the hosts that know the limit. The server bears one and a half
// times its limit and 5 calls in any four seconds; 2 of the 5 are kept for ControlCalls. The limit may change, vanish and come back.
type NamedLimit struct{}

// Bound implements Policy.
func (NamedLimit) Bound() Bound { return Bound{Window: 4 * time.Second, Factor: 1.5, Extra: 3} }

// ControlCalls is the bound on the orders and report calls to a backend server that names a limit, which one host makes at a time.
type ControlCalls struct{}

// Bound implements Policy.
func (ControlCalls) Bound() Bound { return Bound{Window: 4 * time.Second, Factor: 1.5, Extra: 2} }
