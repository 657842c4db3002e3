package exerciser

import (
	"slices"
	"time"
)

// The faults of this file play cold starts beside other faults; they draw from Simulation.faultRNG.

// RestartServers crashes backend servers; each is back after downtime, an engine cold, and its entry is published after publishDelay.
func (s *Simulation[P]) RestartServers(servers []*Backend, downtime, publishDelay time.Duration) {
	s.logFault("restart of %s after %v, their entries %v later", backendIDs(servers), downtime, publishDelay)
	for _, b := range servers {
		if !b.Up {
			continue
		}
		s.crashBackend(b)
		s.after(downtime, func() {
			if !b.Up {
				s.startBackendLate(b.Info.ID, b.Info.Service, b.Info.FailureDomain, publishDelay)
				if b.Info.Service == engineService {
					s.publishColdStart(b, publishDelay+heartbeatInterval)
				}
			}
		})
	}
}

// CoolEngines makes running engines cold; their entries say so at once.
func (s *Simulation[P]) CoolEngines(engines []*Backend) {
	for _, b := range engines {
		s.CoolEngine(b)
	}
}

// KillColdSenders kills the hosts that may send to a cold engine, as the host that last took it for cold sees them.
func (s *Simulation[P]) KillColdSenders(b *Backend, minDowntime, maxDowntime time.Duration) {
	var senders []*Host
	for _, id := range s.coldSenders[b.Info.ID] {
		if h := s.host(id); h != nil && h.Up {
			senders = append(senders, h)
		}
	}
	s.KillGroup(senders, minDowntime, maxDowntime)
}

// KillWatchers kills the hosts that read the configuration service at the moment.
func (s *Simulation[P]) KillWatchers(minDowntime, maxDowntime time.Duration) {
	var watchers []*Host
	for _, h := range s.Hosts {
		if h.Up && h.State.Watch.Reading {
			watchers = append(watchers, h)
		}
	}
	s.KillGroup(watchers, minDowntime, maxDowntime)
}

// StopConfigService makes the configuration service respond to no host for a time.
func (s *Simulation[P]) StopConfigService(duration time.Duration) {
	s.logFault("the configuration service is down for %v", duration)
	s.configServiceDown = true
	s.recordFaultOnAll()
	s.after(duration, func() { s.configServiceDown = false; s.recordFaultOnAll() })
}

// RandomEngine draws a running engine of a failure domain, or nil if there is none.
func (s *Simulation[P]) RandomEngine(domain string) *Backend {
	engines := s.domainEngines(domain)
	if len(engines) == 0 {
		return nil
	}
	return engines[s.faultRNG.IntN(len(engines))]
}

func backendIDs(group []*Backend) []string {
	var ids []string
	for _, b := range group {
		ids = append(ids, b.Info.ID)
	}
	slices.Sort(ids)
	return ids
}
