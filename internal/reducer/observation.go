package reducer

import (
	"time"

	"github.com/redwingpick/redwingpick/internal/hasher"
)

// Observation is what this host has seen of other hosts' orders, in the reports of the watched backend servers.
//
// A restarted host that finds no voter set cannot tell by its peers whether the other hosts are gone or cut off. All hosts reach the backend
// servers, so they show it: a fleet that may order keeps the counts of accepted orders moving (keepalive.go), and counts that stand still for longer
// than that fleet may be silent mean that there is none.
type Observation struct {
	// Servers holds, by ID, the watched servers that have reported.
	Servers map[string]*ObservedServer
	// RequestedAt is when the reports were last requested.
	RequestedAt time.Time
}

// ObservedServer is what this host has observed at one incarnation of a backend server.
type ObservedServer struct {
	StartedUnixMs int64
	// AcceptedOrders is the number of orders in the last report.
	AcceptedOrders int64
	// FirstReportAt and LastReportAt are when the first and the last report were requested.
	FirstReportAt, LastReportAt time.Time
	// OrderSeenAt is when the last report was requested that counted more orders than the one before; zero for none.
	OrderSeenAt time.Time
}

// Durations and bounds of the observation of backend servers.
const (
	// watchedServerCount bounds the servers that show whether a fleet lives, and with it what showing and observing cost in a large fleet.
	watchedServerCount = 16
	// observationInterval is the time between two reports of a watched server to a host that observes it.
	observationInterval = noOrdersBootstrapPeriod
	// maxObservationAge is the age of the last report from which a server shows nothing.
	maxObservationAge = 2 * time.Second
	// noHolderPeriod is how long a host of a voter set without any holder observes the servers before it claims a lease. A voter set that other
	// hosts have bootstrapped meanwhile sends its first orders within that time.
	noHolderPeriod = 3 * time.Second
)

// watchedServers returns the engines that show whether a fleet lives: the same ones on all hosts that have read the same entries.
func (s *State) watchedServers() []string {
	s.indexBackends()
	return s.Index.Watched
}

// rankWatched returns the first of the engines by their rendezvous rank.
func rankWatched(engines []string) []string {
	if len(engines) <= watchedServerCount {
		return engines
	}
	names := make([]hasher.Name, len(engines))
	for i, id := range engines {
		names[i] = hasher.NewName(id)
	}
	return hasher.Top(hasher.Key("watched"), names, watchedServerCount)
}

// observesOrders reports whether this host needs to know whether other hosts order backend servers: before it bootstraps a voter set, evicts
// voters without a majority, or claims a lease in a voter set without any holder.
func (s *State) observesOrders(now time.Time) bool {
	if s.Draining.Active {
		return false
	}
	if s.votersKnown() {
		return s.mustObserveOrders(now) || s.reachesMajority() && !now.Before(s.Membership.HolderKnownUntil)
	}
	return !s.isolated() && (s.isSeed() || s.uptime(now) >= bootstrapWithoutSeedsAfter-noOrdersPeriod-observationInterval)
}

// tickObservation requests the reports of the watched servers when they are due.
func tickObservation(s *State, now time.Time) {
	o := &s.Observation
	if !s.observesOrders(now) {
		o.Servers = nil
		return
	}
	watched := s.watchedServers()
	if len(watched) == 0 || now.Sub(o.RequestedAt) < observationInterval {
		return
	}
	o.RequestedAt = now
	for _, id := range watched {
		b := s.Backends[id]
		s.emit(ReadReport{Backend: id, Address: b.Info.Address, StartedUnixMs: b.Info.StartedUnixMs})
	}
}

// observeReport records the count of accepted orders in a report.
func (s *State) observeReport(now time.Time, e BackendReported) {
	if e.Failed || !s.observesOrders(now) {
		return
	}
	if s.Observation.Servers == nil {
		s.Observation.Servers = map[string]*ObservedServer{}
	}
	o, ok := s.Observation.Servers[e.Backend]
	if !ok || o.StartedUnixMs != e.StartedUnixMs {
		s.Observation.Servers[e.Backend] = &ObservedServer{
			StartedUnixMs: e.StartedUnixMs, AcceptedOrders: e.AcceptedOrders, FirstReportAt: e.RequestedAt, LastReportAt: e.RequestedAt,
		}
		return
	}
	o.LastReportAt = later(o.LastReportAt, e.RequestedAt)
	if e.AcceptedOrders != o.AcceptedOrders {
		o.AcceptedOrders, o.OrderSeenAt = e.AcceptedOrders, e.RequestedAt
		s.logEvent(EventForeignOrderSeen, Field{"backend_server", e.Backend}, intField("orders", int(e.AcceptedOrders)),
			boolField("voters_known", s.votersKnown()), msField("up_ms", s.uptime(now)))
	}
}

// serversSilent reports whether the watched servers have accepted no order for at least the given time. Those that do not answer, or have
// just started, show nothing; at least half must show something.
func (s *State) serversSilent(now time.Time, period time.Duration) bool {
	watched := s.watchedServers()
	silent := 0
	for _, id := range watched {
		o, ok := s.Observation.Servers[id]
		if !ok || now.Sub(o.LastReportAt) >= maxObservationAge {
			continue
		}
		if !o.OrderSeenAt.IsZero() && o.LastReportAt.Sub(o.OrderSeenAt) < period {
			return false
		}
		if o.LastReportAt.Sub(later(o.FirstReportAt, o.OrderSeenAt)) >= period {
			silent++
		}
	}
	return 2*silent >= len(watched)
}

// recordHolder records that a host of this host's voter set held a lease at the given time: until holders would have to be replaced, a new one
// need not observe the servers.
func (s *State) recordHolder(at time.Time) {
	s.Membership.HolderKnownUntil = later(s.Membership.HolderKnownUntil, at.Add(noOrdersBootstrapPeriod))
}

// tickHolders records which hosts of the voter set hold leases. Without any engine there is no lease to hold.
func tickHolders(s *State, now time.Time) {
	if len(s.watchedServers()) == 0 {
		s.recordHolder(now)
		return
	}
	for id := range s.Leases {
		if s.holdsLease(now, id) {
			s.recordHolder(now)
			return
		}
	}
	for _, h := range s.Hosts {
		if len(h.Record.Leases) > 0 {
			s.recordHolder(h.LastHeartbeatAt)
		}
	}
}

// noOtherVoterSet reports whether no other voter set can order the servers: that of this host had a holder just before, so that none can have been
// bootstrapped, or the servers show that there is none.
func (s *State) noOtherVoterSet(now time.Time) bool {
	return now.Before(s.Membership.HolderKnownUntil) || s.serversSilent(now, noHolderPeriod)
}
