package reducer

import (
	"slices"
	"time"
)

// BoundStatus is the bound on the requests to a backend server over all hosts as shown to operators; it is empty for a server without one.
type BoundStatus struct {
	// LimitPerSecond is the limit that the server names, in requests per second of all hosts together, and LimitAgeMs the time since this host
	// learned of it.
	LimitPerSecond float64 `json:"limit_per_second,omitempty"`
	LimitAgeMs     int64   `json:"limit_age_ms,omitempty"`
	// Sender is set if this host is one of those that may send requests there while the server is cold or limited, and SendPerSecond the rate at
	// which it may.
	Sender        bool    `json:"sender,omitempty"`
	SendPerSecond float64 `json:"send_per_second,omitempty"`
	// Senders names the hosts that may send requests there, as far as this host knows; it is empty if this host does not know the voter set.
	Senders []string `json:"senders,omitempty"`
}

// boundStatus describes the bound on the requests to a backend server. It leaves the server's gates as they are.
func (s *State) boundStatus(now time.Time, b *Backend) BoundStatus {
	if !s.throttled(now, b) {
		return BoundStatus{}
	}
	limit := b.RateLimit.PerSecond
	status := BoundStatus{LimitPerSecond: limit, Senders: s.senders(now, b)}
	if limit > 0 {
		status.LimitAgeMs = now.Sub(b.RateLimit.ChangedAt).Milliseconds()
	}
	status.Sender = slices.Contains(status.Senders, s.Self.HostID)
	trial := *b
	s.updateThrottle(now, &trial)
	status.SendPerSecond = trial.Throttle.sendRate()
	return status
}

// sendRate returns the requests per second that the open gates allow this host; 0 if none is open.
func (t Throttle) sendRate() float64 {
	rate := 0.0
	if t.Cold.Open {
		rate = t.Cold.Bucket.Rate
	}
	if named := t.Named.Bucket.Rate; t.Named.Open && (!t.Cold.Open || named < rate) {
		rate = named
	}
	return rate
}

// countThrottled counts a request that a bound keeps from a backend server; a server that is cold and limited counts as cold.
func (s *State) countThrottled(now time.Time, b *Backend) {
	if s.isCold(now, b) {
		s.Counters.ColdHeld++
		return
	}
	s.Counters.LimitedHeld++
}

// gaugeBounds sets the gauges on the backend servers with a bound on their requests over all hosts.
func gaugeBounds(s *State, now time.Time, g *Gauges) {
	for _, b := range s.Backends {
		if s.isCold(now, b) {
			g.BackendsCold++
		}
		if b.limited() {
			g.BackendsLimited++
		}
	}
}
