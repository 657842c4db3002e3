package reducer

import (
	"time"

	"github.com/redwingpick/redwingpick/internal/ramper"
	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// isEngine reports whether a backend server runs models, as configured for its service.
func (s *State) isEngine(b *Backend) bool { return s.engineOf(b) != nil }

// engineOf returns the engine configuration of a backend server's service, or nil if the service runs no models.
func (s *State) engineOf(b *Backend) *cataloguer.Engine {
	return s.Documents.Services[b.Info.Service].Engine
}

// service returns this host's state of a service and creates it if needed.
func (s *State) service(name string) *Service {
	service, ok := s.Services[name]
	if !ok {
		service = &Service{LoadTime: initialLoadTime, PrefillRate: initialPrefillRate}
		s.Services[name] = service
	}
	return service
}

// applyBackend applies a published entry of a backend server; a new start time or address replaces the former incarnation.
func applyBackend(s *State, now time.Time, info cataloguer.Backend) {
	b, known := s.Backends[info.ID]
	if !known || b.Info.StartedUnixMs != info.StartedUnixMs || b.Info.Address != info.Address {
		if known {
			s.confirmCrash(now, b)
			dropBackend(s, b)
		}
		former := b
		b = addBackend(s, now, info)
		if known {
			s.inheritLosses(now, former, b)
		}
		s.beginNewSlowStart(now, b)
		s.logEvent(EventBackendJoined, Field{"backend_server", info.ID}, Field{"service", info.Service},
			Field{"address", info.Address}, Field{"failure_domain", info.FailureDomain}, msField("cold_ms", info.ColdRemaining))
	}
	s.recordObservedOrder(now, b.Info, info)
	if info.Draining && !b.Info.Draining {
		s.logEvent(EventBackendDraining, Field{"backend_server", info.ID})
	}
	if b.Info.Service != info.Service || b.Info.FailureDomain != info.FailureDomain {
		s.invalidateBackendIndex()
	}
	returns := !b.RemovedAt.IsZero() && !b.Expired || b.Info.Draining && !info.Draining
	b.Info = info
	if returns {
		s.beginSlowStart(now, now, b, ramper.ReasonReturned)
	}
	b.RemovedAt = time.Time{}
	b.Expired = false
	s.recordColdStart(now, b)
}

// addBackend adds a backend server that this host has not seen before, or a new incarnation of one.
func addBackend(s *State, now time.Time, info cataloguer.Backend) *Backend {
	b := &Backend{Info: info, FirstSeenAt: now, Adapters: map[AdapterKey]*Residency{}, HeldAt: map[AdapterKey]time.Time{}}
	s.Backends[info.ID] = b
	s.assumeNewCold(now, b)
	s.invalidateBackendIndex()
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// dropBackend deletes an incarnation of a backend server with its state and queues the requests that waited for its adapters.
func dropBackend(s *State, b *Backend) {
	delete(s.Backends, b.Info.ID)
	delete(s.Starting, b.Info.ID)
	delete(s.Throttled, b.Info.ID)
	delete(s.Limited, b.Info.ID)
	delete(s.Isolation.Canceled, b.key())
	s.invalidateBackendIndex()
	if l, ok := s.Leases[b.Info.ID]; ok {
		l.Inventory = newInventory()
	}
	for _, key := range sortedAdapters(b.Adapters) {
		for _, id := range b.Adapters[key].Waiting {
			if r, ok := s.Requests[id]; ok && r.Phase == PhaseAwaitingAdapter {
				r.Phase = PhaseQueued
				r.Backend = ""
			}
		}
	}
	s.emit(CloseConnections{Backend: b.Info.ID})
}

// markBackendRemoved handles the removal of a backend server's entry.
//
// An entry that is removed while the configuration service is degraded is marked as expired: the entry may be published again.
func markBackendRemoved(s *State, now time.Time, id string) {
	b, ok := s.Backends[id]
	if !ok || !b.RemovedAt.IsZero() {
		return
	}
	b.RemovedAt = now
	b.Expired = !s.healthy(now)
	s.Removed[id] = true
	s.logEvent(EventBackendRemoved, Field{"backend_server", id}, ageField("platform_well_ms", now, s.Watch.HealthySince))
}

// tickBackends deletes backend servers whose entries stayed removed, and reports this host's usage of the backend servers in use to
// their lease holders.
func tickBackends(s *State, now time.Time) {
	for _, id := range sortedKeys(s.Removed) {
		b, ok := s.Backends[id]
		if !ok || b.RemovedAt.IsZero() {
			delete(s.Removed, id)
			continue
		}
		if now.Sub(b.RemovedAt) > expiredEntryTTL {
			delete(s.Removed, id)
			dropBackend(s, b)
		}
	}
	for _, id := range sortedKeys(s.InUse) {
		b, ok := s.Backends[id]
		if !ok || b.Running == 0 && now.Sub(b.LastDispatchAt) > cachedPartTTL {
			delete(s.InUse, id)
			continue
		}
		if s.isEngine(b) && now.Sub(b.UsageSentAt) >= s.usageIntervalOf(b) && (b.Running > 0 || b.LastDispatchAt.After(b.UsageSentAt)) {
			sendUsage(s, now, b, true)
		}
		b.SentPrompts.Prune(now, cachedPartTTL)
	}
}

// cachedPartTTL is how long this host expects a backend server to cache a prompt part after the part was sent.
const cachedPartTTL = 20 * time.Second

// sendUsage reports to the lease holder of a backend server what this host has running there.
//
// A full report covers all adapters in use, other reports only the adapters whose use has changed.
func sendUsage(s *State, now time.Time, b *Backend, full bool) {
	holder := s.holderOf(now, b.Info.ID)
	if holder == "" {
		return
	}
	if full {
		b.UsageSentAt = now
	}
	samples := s.takeUnreported(now, b)
	usage := Usage{
		Backend: b.Info.ID, Running: b.Running, Tokens: b.Tokens, PrefillTokens: b.PrefillTokens,
		PaceWork: samples.Work, PaceBusy: samples.Busy, Full: full,
	}
	b.SlowStart.report(&usage)
	for _, key := range sortedAdapters(b.Adapters) {
		adapter := b.Adapters[key]
		if !adapter.UsageUnreported && (!full || adapter.Running == 0) {
			continue
		}
		usage.Adapters = append(usage.Adapters, AdapterUsage{
			Adapter: key, DispatchCount: adapter.DispatchCount, Running: adapter.Running,
			Verified: adapter.VerificationUnreported, Version: adapter.VerifiedVersion,
		})
		adapter.VerificationUnreported = false
		adapter.DispatchCount = 0
		adapter.UsageUnreported = false
	}
	s.addWorkReport(b, &usage)
	if holder == s.Self.HostID {
		receiveUsage(s, now, holder, usage)
		return
	}
	s.send(holder, usage)
}

// usageInterval returns the time between two full usage reports on a backend server in use.
func (s *State) usageInterval() time.Duration {
	if len(s.Hosts) >= smallFleet {
		return maxUsageInterval
	}
	return minUsageInterval
}

// markAbsent records that an adapter is not resident on a backend server.
func markAbsent(now time.Time, b *Backend, key AdapterKey) {
	b.rememberHeld(now, key)
	if adapter, ok := b.Adapters[key]; ok && len(adapter.Waiting) == 0 && adapter.Running == 0 {
		delete(b.Adapters, key)
		return
	}
	adapter := b.residency(key)
	adapter.Stage = StageAbsent
	adapter.Verified = false
	adapter.UpdatedAt = now
}

// residency returns the state of an adapter on a backend server and creates it if needed.
func (b *Backend) residency(key AdapterKey) *Residency {
	r, ok := b.Adapters[key]
	if !ok {
		r = &Residency{}
		b.Adapters[key] = r
	}
	return r
}

// recordFailure records a failed exchange and, after consecutive ones, ejects the backend server for an exponentially growing time.
func (s *State) recordFailure(now time.Time, b *Backend, weight float64) {
	b.FailureRate = b.FailureRate*failureRateDecay + (1-failureRateDecay)*weight
	if weight < 1 {
		return
	}
	b.ConsecutiveFailures++
	if b.ConsecutiveFailures < ejectionThreshold {
		return
	}
	if s.ejectionLimitReached(now, b) {
		s.beginSlowStart(now, now, b, ramper.ReasonEjected)
		return
	}
	ejectionTime := min(baseEjectionTime<<min(b.ConsecutiveFailures-ejectionThreshold, maxEjectionDoublings), maxEjectionTime)
	b.EjectedUntil = now.Add(ejectionTime)
	s.beginSlowStart(now, b.EjectedUntil, b, ramper.ReasonEjected)
	s.Counters.Ejections++
	s.logEvent(EventBackendEjected, Field{"backend_server", b.Info.ID}, intField("failures", b.ConsecutiveFailures),
		msField("pause_ms", ejectionTime))
}

// ejectionThreshold is the number of consecutive failures that ejects a backend server, and maxEjectionDoublings bounds how often the
// ejection time doubles.
const (
	ejectionThreshold    = 2
	maxEjectionDoublings = 5
)

// ejectionLimitReached reports whether one more ejection would eject more than half of the service's backend servers.
func (s *State) ejectionLimitReached(now time.Time, b *Backend) bool {
	all, ejected := 0, 0
	for _, other := range s.serviceBackends(b.Info.Service) {
		all++
		if now.Before(other.EjectedUntil) {
			ejected++
		}
	}
	return 2*(ejected+1) > all+1
}

// recordSuccess records a successful exchange, which ends a series of consecutive failures.
func (s *State) recordSuccess(b *Backend) {
	b.ConsecutiveFailures = 0
	b.FailureRate *= failureRateDecay
}
