package reducer

import (
	"slices"
	"time"

	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// isEngine reports whether a backend server runs models.
func (s *State) isEngine(b *Backend) bool { return s.engineOf(b) != nil }

func (s *State) engineOf(b *Backend) *cataloguer.Engine {
	return s.Documents.Services[b.Info.Service].Engine
}

// service returns this host's state of a service.
func (s *State) service(name string) *Service {
	v, ok := s.Services[name]
	if !ok {
		v = &Service{LoadTime: initialLoadTime, PrefillRate: initialPrefillRate}
		s.Services[name] = v
	}
	return v
}

// usable reports whether new requests may go to a backend server.
func (s *State) usable(now time.Time, b *Backend) bool {
	return !b.Info.Draining && (b.ExpiredAt.IsZero() || b.Expired) && !s.Documents.Withdrawn[b.Info.FailureDomain] && !now.Before(b.EjectedUntil)
}

// takeBackend takes a published entry of a backend server.
func takeBackend(s *State, now time.Time, info cataloguer.Backend) {
	b, known := s.Backends[info.ID]
	if !known || b.Info.StartedUnixMs != info.StartedUnixMs || b.Info.Address != info.Address {
		if known {
			forgetBackend(s, b)
		}
		b = newBackend(s, now, info)
		s.logEvent(EventBackendJoined, Field{"backend_server", info.ID}, Field{"service", info.Service},
			Field{"address", info.Address}, Field{"failure_domain", info.FailureDomain}, msField("cold_ms", info.ColdDuration))
	}
	s.recordObservedOrder(now, b.Info, info)
	if info.Draining && !b.Info.Draining {
		s.logEvent(EventBackendDraining, Field{"backend_server", info.ID})
	}
	if b.Info.Service != info.Service {
		s.invalidateBackendIndex()
	}
	b.Info = info
	b.ExpiredAt = time.Time{}
	b.Expired = false
	if info.ColdDuration > 0 {
		b.ColdUntil = later(b.ColdUntil, now.Add(info.ColdDuration))
	}
}

func newBackend(s *State, now time.Time, info cataloguer.Backend) *Backend {
	b := &Backend{Info: info, SeenAt: now, Adapters: map[AdapterKey]*Residency{}, Parts: map[string]time.Time{}}
	s.Backends[info.ID] = b
	s.invalidateBackendIndex()
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// forgetBackend drops an incarnation of a backend server and what this host knew of it.
func forgetBackend(s *State, b *Backend) {
	delete(s.Backends, b.Info.ID)
	s.invalidateBackendIndex()
	if r, ok := s.Leases[b.Info.ID]; ok {
		r.Inventory = newInventory()
	}
	for _, key := range sortedAdapters(b.Adapters) {
		for _, id := range b.Adapters[key].Waiting {
			if r, ok := s.Requests[id]; ok && r.Phase == PhaseLoading {
				r.Phase = PhaseQueued
				r.Backend = ""
			}
		}
	}
	s.emit(ForgetBackend{Backend: b.Info.ID})
}

// loseBackend takes the removal of an entry; while the platform was unwell the entry may still come back.
func loseBackend(s *State, now time.Time, id string) {
	b, ok := s.Backends[id]
	if !ok || !b.ExpiredAt.IsZero() {
		return
	}
	b.ExpiredAt = now
	b.Expired = !s.healthy(now)
	s.Missing[id] = true
	s.logEvent(EventBackendRemoved, Field{"backend_server", id}, ageField("platform_well_ms", now, s.Watch.HealthySince))
}

// tickBackends forgets backend servers that stayed away, and tells the holders what runs on those in use.
func tickBackends(s *State, now time.Time) {
	for _, id := range sortedKeys(s.Missing) {
		b, ok := s.Backends[id]
		if !ok || b.ExpiredAt.IsZero() {
			delete(s.Missing, id)
			continue
		}
		if now.Sub(b.ExpiredAt) > expiredEntryTTL {
			delete(s.Missing, id)
			forgetBackend(s, b)
		}
	}
	for _, id := range sortedKeys(s.InUse) {
		b, ok := s.Backends[id]
		if !ok || b.Running == 0 && now.Sub(b.UsedAt) > partsKept {
			delete(s.InUse, id)
			continue
		}
		if s.isEngine(b) && now.Sub(b.TouchedAt) >= s.usagePause() && (b.Running > 0 || b.UsedAt.After(b.TouchedAt)) {
			tellUsage(s, now, b, true)
		}
		trimParts(now, b)
	}
}

// partsKept is how long this host counts on a prompt part that it sent to a backend server.
const partsKept = 20 * time.Second

func trimParts(now time.Time, b *Backend) {
	if now.Sub(b.TrimmedAt) < partsKept/4 {
		return
	}
	b.TrimmedAt = now
	for id, at := range b.Parts {
		if now.Sub(at) > partsKept {
			delete(b.Parts, id)
		}
	}
}

// tellUsage tells the holder of a backend server what this host has running there: of all adapters in use, or of those
// whose use has changed.
func tellUsage(s *State, now time.Time, b *Backend, all bool) {
	holder := s.holderOf(now, b.Info.ID)
	if holder == "" {
		return
	}
	if all {
		b.TouchedAt = now
	}
	usage := Usage{Backend: b.Info.ID, Running: b.Running, Tokens: b.Tokens, Prefill: b.Prefill}
	for _, key := range sortedAdapters(b.Adapters) {
		p := b.Adapters[key]
		if !p.Changed && (!all || p.Running == 0) {
			continue
		}
		usage.Adapters = append(usage.Adapters, AdapterUsage{Adapter: key, Count: p.Count, Running: p.Running, Served: p.Served, Version: p.ServedVersion})
		p.Served = false
		p.Count = 0
		p.Changed = false
	}
	if holder == s.Self.HostID {
		receiveUsage(s, now, holder, usage)
		return
	}
	s.send(holder, usage)
}

// usagePause is the time between two words on a backend server in use.
func (s *State) usagePause() time.Duration {
	if len(s.Hosts) >= smallFleet {
		return usageEveryLarge
	}
	return usageEvery
}

// markAbsent notes that an adapter is not, or no longer, on a backend server.
func markAbsent(now time.Time, b *Backend, key AdapterKey) {
	if p, ok := b.Adapters[key]; ok && len(p.Waiting) == 0 && p.Running == 0 {
		delete(b.Adapters, key)
		return
	}
	p := b.residency(key)
	p.Stage = StageAbsent
	p.Verified = false
	p.KnownAt = now
}

func (b *Backend) residency(key AdapterKey) *Residency {
	p, ok := b.Adapters[key]
	if !ok {
		p = &Residency{}
		b.Adapters[key] = p
	}
	return p
}

// fails notes a failed exchange and leaves the backend server alone for a while after repeated ones.
func (s *State) fails(now time.Time, b *Backend, weight float64) {
	b.FailureRate = b.FailureRate*lossDecay + (1-lossDecay)*weight
	if weight < 1 {
		return
	}
	b.Failures++
	if b.Failures < failuresBorne || s.mostlyEjected(now, b) {
		return
	}
	pause := min(ejectFirst<<min(b.Failures-failuresBorne, maxDoublings), ejectMost)
	b.EjectedUntil = now.Add(pause)
	s.Counters.Ejections++
	s.logEvent(EventBackendEjected, Field{"backend_server", b.Info.ID}, intField("failures", b.Failures), msField("pause_ms", pause))
}

// failuresBorne is the number of failures in a row that a backend server may have; maxDoublings bounds the pause.
const (
	failuresBorne = 2
	maxDoublings  = 5
)

// mostlyEjected reports whether half of the backend servers of the service are left alone already.
func (s *State) mostlyEjected(now time.Time, b *Backend) bool {
	all, ejected := 0, 0
	for _, other := range s.serviceBackends(b.Info.Service) {
		all++
		if now.Before(other.EjectedUntil) {
			ejected++
		}
	}
	return 2*(ejected+1) > all+1
}

func (s *State) works(b *Backend) {
	b.Failures = 0
	b.FailureRate *= lossDecay
}

// allowsColdRequest takes one request from this host's part of what a cold backend server tolerates.
//
// Few hosts send to a cold backend server, so that the bound holds over all hosts whatever their number. They are drawn from the
// roster, of which hosts that start or are cut off have no view of their own.
func (s *State) allowsColdRequest(now time.Time, b *Backend) bool {
	service := s.Documents.Services[b.Info.Service]
	if service.ColdRate <= 0 || !now.Before(s.coldUntil(b, service)) {
		return true
	}
	if !s.votersKnown() {
		return false
	}
	senders := rankHosts("cold/"+b.Info.ID, s.voterHosts(now), coldHosts)
	if !slices.Contains(senders, s.Self.HostID) {
		return false
	}
	b.Cold.Set(now, service.ColdRate/float64(len(senders)), 1)
	return b.Cold.Take(now, 1)
}

// coldUntil is the end of the cold start: as published, and at least the service's time after the first sight.
func (s *State) coldUntil(b *Backend, service cataloguer.Service) time.Time {
	if b.SeenAt.Sub(s.Self.StartedAt) < readyAfter*4 {
		return b.ColdUntil
	}
	return later(b.ColdUntil, b.SeenAt.Add(service.ColdDuration))
}
