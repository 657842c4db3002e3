package exerciser

import (
	"fmt"
	"time"

	"github.com/redwingpick/redwingpick/internal/reducer"
)

// Fault is a kind of fault.
type Fault int

// Kinds of faults.
const (
	FaultKill Fault = iota
	FaultMassKill
	FaultFreeze
	FaultPartition
	FaultOneWayPartition
	FaultConfigServiceDown
	FaultConfigServicePartition
	FaultConfigServiceCompaction
	FaultBackendCrash
	FaultBackendDrain
	FaultCatalogue
	FaultHostDrain
	faultCount
)

var faultNames = [...]string{
	"kill", "herd_kill", "freeze", "cut", "one_way", "store_down", "store_cut", "compact", "crash", "leave", "catalogue", "drain",
}

// String returns the fault's name.
func (f Fault) String() string { return faultNames[f] }

// faultFree reports whether a host runs and has not been affected by a fault for HostTimeout, which the users' guarantees require.
func (s *Simulation[P]) faultFree(h *Host) bool {
	return h.Up && !h.Frozen && s.configServiceReachable(h) && s.Now.Sub(h.LastFaultAt) > s.Options.Limits.HostTimeout
}

// locallyFaultFree reports whether a host runs and has not been affected by a fault of its own or of the configuration service for
// HostTimeout. The guarantee on configurations also holds during faults between hosts, since each host reaches the configuration service.
func (s *Simulation[P]) locallyFaultFree(h *Host) bool {
	return h.Up && !h.Frozen && s.configServiceReachable(h) && s.Now.Sub(h.LastLocalFaultAt) > s.Options.Limits.HostTimeout
}

// InjectRandomFault injects a random fault that ends some seconds later, and returns its description.
func (s *Simulation[P]) InjectRandomFault() string {
	f := Fault(s.rng.IntN(int(faultCount)))
	h := s.Hosts[s.rng.IntN(len(s.Hosts))]
	duration := time.Second + time.Duration(s.rng.Int64N(int64(5*time.Second)))
	s.injectFault(f, h, duration)
	return fmt.Sprintf("%7.3f s  %s at %s for %v", s.Now.Sub(StartTime).Seconds(), f, h.ID, duration)
}

func (s *Simulation[P]) injectFault(f Fault, h *Host, duration time.Duration) {
	switch f {
	case FaultKill:
		s.kill(h, duration)
	case FaultMassKill:
		for _, other := range s.Hosts {
			if s.rng.IntN(10) < 6 {
				s.kill(other, duration)
			}
		}
	case FaultFreeze:
		s.freeze(h, duration)
	case FaultPartition, FaultOneWayPartition:
		s.partitionHost(h, f == FaultOneWayPartition, duration)
	case FaultConfigServiceDown:
		s.configServiceDown = true
		s.recordFaultOnAll()
		s.after(duration, func() { s.configServiceDown = false; s.recordFaultOnAll() })
	case FaultConfigServicePartition:
		s.partitionHostFromConfigService(h, duration)
	case FaultConfigServiceCompaction:
		s.ConfigService.Compact()
	case FaultBackendCrash:
		s.crashRandomEngine(duration)
	case FaultBackendDrain:
		s.drainRandomEngine(duration)
	case FaultCatalogue:
		s.publishCatalogue()
	case FaultHostDrain:
		s.drainHost(h, duration)
	}
}

// partitionHostFromConfigService separates a host from the configuration service.
func (s *Simulation[P]) partitionHostFromConfigService(h *Host, duration time.Duration) {
	s.partitionedFromConfigService[h.ID] = true
	s.recordFault(h)
	s.after(duration, func() { delete(s.partitionedFromConfigService, h.ID); s.recordFault(h) })
}

func (s *Simulation[P]) recordFault(h *Host) {
	h.LastFaultAt, h.LastLocalFaultAt = s.Now, s.Now
}

func (s *Simulation[P]) recordFaultOnAll() {
	for _, h := range s.Hosts {
		s.recordFault(h)
	}
}

func (s *Simulation[P]) kill(h *Host, downtime time.Duration) {
	if !h.Up {
		return
	}
	h.Up = false
	s.recordFault(h)
	s.after(downtime, func() {
		if !h.Up {
			s.startHost(h)
		}
	})
}

// freeze pauses a host's process; its events are deferred.
func (s *Simulation[P]) freeze(h *Host, duration time.Duration) {
	if !h.Up || h.Frozen {
		return
	}
	h.Frozen = true
	incarnation := h.Incarnation
	s.after(duration, func() {
		if h.Incarnation != incarnation || !h.Up {
			return
		}
		h.Frozen = false
		s.recordFault(h)
		deferred := h.deferred
		h.deferred = nil
		for _, run := range deferred {
			run()
		}
	})
}

// partitionHost separates a host from all others, in both directions or in one.
func (s *Simulation[P]) partitionHost(h *Host, oneWay bool, duration time.Duration) {
	for _, other := range s.Hosts {
		if other == h {
			continue
		}
		s.blockedLinks[[2]string{h.ID, other.ID}] = true
		if !oneWay {
			s.blockedLinks[[2]string{other.ID, h.ID}] = true
		}
	}
	s.recordFault(h)
	s.after(duration, func() {
		for _, other := range s.Hosts {
			delete(s.blockedLinks, [2]string{h.ID, other.ID})
			delete(s.blockedLinks, [2]string{other.ID, h.ID})
		}
		s.recordFault(h)
	})
}

func (s *Simulation[P]) randomEngine() *Backend {
	return s.Backends[fmt.Sprintf("engine-%02d", s.rng.IntN(s.Options.Engines))]
}

func (s *Simulation[P]) crashRandomEngine(downtime time.Duration) {
	b := s.randomEngine()
	if b == nil || !b.Up || !b.DrainingAt.IsZero() {
		return
	}
	s.crashBackend(b)
	s.after(downtime, func() {
		if !b.Up {
			s.startBackend(b.Info.ID, b.Info.Service, b.Info.FailureDomain)
		}
	})
}

func (s *Simulation[P]) drainRandomEngine(downtime time.Duration) {
	b := s.randomEngine()
	if b == nil || !b.Up || !b.DrainingAt.IsZero() {
		return
	}
	s.drainBackend(b)
	s.after(s.Options.Limits.DrainDeadline+6*time.Second+downtime, func() { s.startBackend(b.Info.ID, b.Info.Service, b.Info.FailureDomain) })
}

func (s *Simulation[P]) drainHost(h *Host, downtime time.Duration) {
	if !h.Up || h.Frozen {
		return
	}
	s.recordFault(h)
	incarnation := h.Incarnation
	s.post(h, incarnation, reducer.DrainRequested{})
	s.after(s.Options.Limits.GracePeriod+downtime, func() {
		if h.Incarnation == incarnation {
			s.startHost(h)
		}
	})
}
