package reducer

import (
	"slices"
	"time"

	"github.com/redwingpick/redwingpick/internal/throttler"
)

// Throttle is this host's part in the bounds on the rate of one backend server that hold over all hosts.
type Throttle struct {
	Cold  throttler.Gate[throttler.ColdStart]
	Named throttler.Gate[throttler.NamedLimit]
	// Control is for orders and report calls, which a server counts against the limit that it names. The lease holder alone makes such calls.
	Control throttler.Gate[throttler.ControlCalls]
	// Senders caches who may send requests to the server.
	Senders RankedSenders
}

const (
	// controlFraction is the part of an engine's named limit that is kept for orders and report calls, up to maxControlRate calls per second: a load
	// takes up to two orders, and adapters change less often than requests come.
	controlFraction = 0.3
	maxControlRate  = 4
	// maxThrottleWait is the longest time until a request that is expected at a server with a very low limit.
	maxThrottleWait = time.Minute
)

// isCold reports whether this host takes a backend server for cold and the service bounds the requests to cold servers.
func (s *State) isCold(now time.Time, b *Backend) bool {
	service := s.Documents.Services[b.Info.Service]
	return service.ColdRate > 0 && now.Before(s.coldUntil(b, service))
}

// limited reports whether a backend server names a limit.
func (b *Backend) limited() bool { return b.RateLimit.PerSecond > 0 }

// throttled reports whether a backend server has a bound on its rate now.
func (s *State) throttled(now time.Time, b *Backend) bool { return b.limited() || s.isCold(now, b) }

// updateThrottle opens or closes this host's part in the bounds that a backend server has now.
func (s *State) updateThrottle(now time.Time, b *Backend) {
	t := &b.Throttle
	if !s.throttled(now, b) {
		t.Cold.Close()
		t.Named.Close()
		t.Control.Close()
		return
	}
	hosts, sender := s.directedVoterCount(now), s.isSender(now, b)
	t.Cold.Update(now, s.coldRate(now, b), hosts, sender)
	t.Named.Update(now, s.requestLimit(b), hosts, sender)
	t.Control.Update(now, s.controlLimit(b), 1, s.holdsLease(now, b.Info.ID))
}

// coldRate returns the rate of a cold backend server; 0 if the server is not cold.
func (s *State) coldRate(now time.Time, b *Backend) float64 {
	if !s.isCold(now, b) {
		return 0
	}
	return s.Documents.Services[b.Info.Service].ColdRate
}

// controlLimit returns the part of a named limit that is for orders and report calls; 0 for a server that gets none.
func (s *State) controlLimit(b *Backend) float64 {
	if engine := s.engineOf(b); engine == nil || engine.AdapterSlots <= 0 {
		return 0
	}
	return min(b.RateLimit.PerSecond*controlFraction, maxControlRate)
}

// requestLimit returns the part of a named limit that is for requests; 0 if the server names no limit.
func (s *State) requestLimit(b *Backend) float64 { return b.RateLimit.PerSecond - s.controlLimit(b) }

// maySend reports whether this host is one of those that may send requests to a backend server now.
func (s *State) maySend(now time.Time, b *Backend) bool {
	return !s.throttled(now, b) || s.isSender(now, b)
}

// throttleOpensIn returns the time until the bounds on the rate of a backend server allow a request of this host; for a host that may not send,
// until the server is not cold any more, or is expected to take another request of the senders.
func (s *State) throttleOpensIn(now time.Time, b *Backend) time.Duration {
	if !s.throttled(now, b) {
		return 0
	}
	s.updateThrottle(now, b)
	wait := time.Duration(0)
	if s.isCold(now, b) {
		opensIn, ok := b.Throttle.Cold.OpensIn(now)
		if !ok {
			opensIn = s.coldUntil(b, s.Documents.Services[b.Info.Service]).Sub(now)
		}
		wait = opensIn
	}
	if b.limited() {
		opensIn, ok := b.Throttle.Named.OpensIn(now)
		if !ok {
			opensIn = time.Duration(min(float64(time.Second)/b.RateLimit.PerSecond, float64(maxThrottleWait)))
		}
		wait = max(wait, min(opensIn, maxThrottleWait))
	}
	return wait
}

// throttleAllows reports whether the bounds on the rate of a backend server allow a request of this host now.
func (s *State) throttleAllows(now time.Time, b *Backend) bool { return s.throttleOpensIn(now, b) <= 0 }

// spendThrottle counts a request that is being sent against the bounds on the rate of its backend server.
func (s *State) spendThrottle(now time.Time, b *Backend) {
	s.updateThrottle(now, b)
	b.Throttle.Cold.Spend(now)
	b.Throttle.Named.Spend(now)
}

// controlAllows reports whether the limit that a backend server names allows an order or a report call of this host, the server's lease holder.
func (s *State) controlAllows(now time.Time, b *Backend) bool { return s.controlOpensIn(now, b) <= 0 }

// controlOpensIn returns the time until the limit that a backend server names allows an order or a report call of this host.
func (s *State) controlOpensIn(now time.Time, b *Backend) time.Duration {
	if !b.limited() {
		return 0
	}
	s.updateThrottle(now, b)
	opensIn, ok := b.Throttle.Control.OpensIn(now)
	if !ok {
		return maxThrottleWait
	}
	return min(opensIn, maxThrottleWait)
}

// spendControl counts an order or a report call against the limit that a backend server names.
func (s *State) spendControl(now time.Time, b *Backend) {
	s.updateThrottle(now, b)
	b.Throttle.Control.Spend(now)
}

// tickThrottles opens this host's part in the bounds of the backend servers that have any, so that it can save up a request before the first
// one arrives.
func tickThrottles(s *State, now time.Time) {
	for _, id := range sortedKeys(s.Throttled) {
		b, ok := s.Backends[id]
		if !ok {
			delete(s.Throttled, id)
			continue
		}
		s.updateThrottle(now, b)
		if !s.throttled(now, b) {
			delete(s.Throttled, id)
		}
	}
}

// senders returns the hosts that may send requests to a backend server with a bound on its rate: the first by rank of the voters that callers
// are directed to. It returns none while this host does not know the voter set, since hosts that are starting or cut off do not form one of their own.
func (s *State) senders(now time.Time, b *Backend) []string {
	if !s.votersKnown() {
		return nil
	}
	s.indexHosts(now)
	key := SenderKey{Cold: s.coldRate(now, b), Named: s.requestLimit(b), Voters: s.Index.DirectedVersion}
	if c := &b.Throttle.Senders; c.Key != key || c.Hosts == nil {
		*c = RankedSenders{Key: key, Hosts: s.rankSenders(b, key)}
	}
	return b.Throttle.Senders.Hosts
}

// SenderKey is what the senders of a backend server follow from: the rates of its bounds, and the version of the voters that callers are directed to.
type SenderKey struct {
	Cold, Named float64
	Voters      int
}

// RankedSenders caches the senders of a backend server.
type RankedSenders struct {
	Key   SenderKey
	Hosts []string
}

// rankSenders ranks the senders of a backend server; the bound with fewer of them counts.
func (s *State) rankSenders(b *Backend, key SenderKey) []string {
	hosts := len(s.Index.DirectedVoters)
	count := hosts
	if key.Cold > 0 {
		count = min(count, throttler.Divide[throttler.ColdStart](key.Cold, hosts).Senders)
	}
	if key.Named > 0 {
		count = min(count, throttler.Divide[throttler.NamedLimit](key.Named, hosts).Senders)
	}
	return rankHosts("throttle/"+b.Info.ID, s.Index.DirectedVoters, count)
}

// isSender reports whether this host may send requests to a backend server with a bound on its rate.
func (s *State) isSender(now time.Time, b *Backend) bool {
	return slices.Contains(s.senders(now, b), s.Self.HostID)
}

// directedVoterCount returns the number of voters that callers are directed to.
func (s *State) directedVoterCount(now time.Time) int {
	s.indexHosts(now)
	return len(s.Index.DirectedVoters)
}

// directedVoters returns the voters that callers are directed to while all of them are ready. Readiness itself is left out, since hosts learn of it
// at different times, and the senders would change with it.
func (s *State) directedVoters(voters []string) []string {
	if len(voters) <= smallDirectory {
		return voters
	}
	var records []HostRecord
	for _, id := range voters {
		if id == s.Self.HostID {
			records = append(records, HostRecord{ID: id, FailureDomain: s.Self.FailureDomain, CapacityMillicores: s.Self.CapacityMillicores})
			continue
		}
		records = append(records, s.Hosts[id].Record)
	}
	return sortedKeys(directedHosts(records))
}
