package reducer

import (
	"time"

	"github.com/redwingpick/redwingpick/internal/ramper"
)

// SendState is whether this host may send new requests to a backend server, and if not, why.
type SendState uint8

// States of a backend server towards new requests, the ones that last longest first.
const (
	// SendAllowed means that requests may be sent.
	SendAllowed SendState = iota
	// SendRemoved means that the server's published entry was removed.
	SendRemoved
	// SendDraining means that the published entry says that the server drains.
	SendDraining
	// SendLeaving means that a response of the server has told this host that the server drains.
	SendLeaving
	// SendWithdrawn means that the server's failure domain is withdrawn.
	SendWithdrawn
	// SendBackoff means that the server has asked this host to send nothing for a time.
	SendBackoff
	// SendEjected means that exchanges of this host with the server failed.
	SendEjected
	// SendSaturated means that this host uses all connections that it may open to the server.
	SendSaturated
	// SendCold means that the server is in its cold start and gets few requests.
	SendCold
	// SendLimited means that the server has named a limit on its requests from all hosts together.
	SendLimited
	// SendStarting means that the server is in slow start and gets as many requests as it answers in time.
	SendStarting
)

var sendStateNames = [...]string{
	"allowed", "removed", "draining", "leaving", "withdrawn", "backoff", "ejected", "saturated", "cold", "limited", "starting",
}

// String returns the state's name in logs and the status.
func (s SendState) String() string { return sendStateNames[s] }

// Usable reports whether new requests may be sent; a server that is cold, has named a limit or is in slow start gets those that its bounds
// allow.
func (s SendState) Usable() bool {
	return s == SendAllowed || s == SendCold || s == SendLimited || s == SendStarting
}

// sendState returns whether this host may send new requests to a backend server. The time is when the state ends by itself; it is zero for
// a state that only a change elsewhere ends.
func (s *State) sendState(now time.Time, b *Backend) (SendState, time.Time) {
	service := s.Documents.Services[b.Info.Service]
	switch {
	case !b.RemovedAt.IsZero() && !b.Expired:
		return SendRemoved, time.Time{}
	case b.Info.Draining:
		return SendDraining, time.Time{}
	case !b.LeavingSince.IsZero():
		return SendLeaving, time.Time{}
	case s.Documents.Withdrawn[b.Info.FailureDomain]:
		return SendWithdrawn, time.Time{}
	case now.Before(b.BackoffUntil):
		return SendBackoff, b.BackoffUntil
	case now.Before(b.EjectedUntil):
		return SendEjected, b.EjectedUntil
	}
	if limit := s.connectionLimit(now, service); limit > 0 && b.Running >= limit {
		return SendSaturated, time.Time{}
	}
	if s.isCold(now, b) {
		return SendCold, s.coldUntil(b, service)
	}
	if b.limited() {
		return SendLimited, time.Time{}
	}
	if b.SlowStart.Ramp.Active() {
		return SendStarting, time.Time{}
	}
	return SendAllowed, time.Time{}
}

// usable reports whether new requests may go to a backend server. A server that has named a limit is left to its senders, so that other hosts place
// requests elsewhere for as long as the limit holds.
func (s *State) usable(now time.Time, b *Backend) bool {
	state, _ := s.sendState(now, b)
	return state.Usable() && (state != SendLimited || s.maySend(now, b))
}

// BackendNotice is what a response says about the backend server itself.
type BackendNotice struct {
	// Leaving is set if the server drains: it wants no request that is sent later than DrainDeadline from now.
	Leaving bool
	// Backoff is how long the server wants nothing from this host; 0 if it does not say.
	Backoff time.Duration
	// Answered is set for a response to a request: only such a response shows, by naming none, that the server has no rate limit any more.
	Answered bool
	// RateLimit is the number of requests per second that the server takes from all hosts together; 0 if the response names no valid limit.
	RateLimit float64
	// RateLimitFault is why a limit that the response names is not valid; empty if it is, or if the response names none. A response with a fault
	// says neither that the server has a limit nor that it has none.
	RateLimitFault string
}

// recordNotice applies what a response says about the backend server. A server that restarts under its ID loses this state, because its new
// incarnation is a new Backend.
func (s *State) recordNotice(now time.Time, b *Backend, n BackendNotice) {
	if n.Leaving && b.LeavingSince.IsZero() {
		b.LeavingSince = now
		s.Counters.LeavingNotices++
		s.logEvent(EventBackendLeaving, Field{"backend_server", b.Info.ID}, intField("running", b.Running))
	}
	if n.Backoff <= 0 {
		return
	}
	until := now.Add(min(n.Backoff, maxBackoff))
	if !until.After(b.BackoffUntil) {
		return
	}
	s.Counters.Backoffs++
	s.logEvent(EventBackendBackoff, Field{"backend_server", b.Info.ID}, msField("backoff_ms", n.Backoff))
	b.BackoffUntil = until
	if n.Backoff >= slowStartPause {
		s.beginSlowStart(now, until, b, ramper.ReasonPaused)
	}
}

// maxBackoff is the longest time for which a host follows a backend server's request to send nothing; a server that asks for longer is
// faulty.
const maxBackoff = 10 * time.Minute

// usableIn returns the time until a backend server of a service can be sent requests again, if all that keeps this host from it ends by
// itself; 0 if one is usable or saturated now, and false if no server has such a time.
func (s *State) usableIn(now time.Time, service string) (time.Duration, bool) {
	soonest, found := time.Duration(0), false
	for _, b := range s.serviceBackends(service) {
		state, until := s.sendState(now, b)
		if state == SendCold || state == SendLimited {
			until = now.Add(s.throttleOpensIn(now, b))
		}
		if !until.After(now) && (state.Usable() || state == SendSaturated) {
			return 0, true
		}
		if until.IsZero() {
			continue
		}
		if wait := until.Sub(now); !found || wait < soonest {
			soonest, found = wait, true
		}
	}
	return soonest, found
}
