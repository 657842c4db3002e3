package exerciser

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/redwingpick/redwingpick/internal/reducer"
	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// The faults of this file draw from Simulation.faultRNG and leave the draws of InjectRandomFault unchanged.

// partition divides the hosts into sides that cannot reach each other; all hosts reach the backend servers.
type partition struct {
	// sides holds the side of each host; backend servers have none.
	sides map[string]int
	// configBlocked is set if the separated hosts cannot reach the configuration service either.
	configBlocked bool
}

// mainSide is the side of the hosts that are not separated from the rest.
const mainSide = 1

// Partition separates a group of hosts from all other hosts, in both directions.
func (s *Simulation[P]) Partition(group []*Host, configBlocked bool, duration time.Duration) {
	s.logFault("partition of %s from the other hosts for %v, from the configuration service: %v", hostIDs(group), duration, configBlocked)
	s.addPartition([][]*Host{group}, configBlocked, duration)
}

// Isolate separates each host of a group from all other hosts, in both directions.
func (s *Simulation[P]) Isolate(group []*Host, configBlocked bool, duration time.Duration) {
	s.logFault("isolation of each of %s from all hosts for %v, from the configuration service: %v", hostIDs(group), duration, configBlocked)
	var groups [][]*Host
	for _, h := range group {
		groups = append(groups, []*Host{h})
	}
	s.addPartition(groups, configBlocked, duration)
}

func (s *Simulation[P]) addPartition(groups [][]*Host, configBlocked bool, duration time.Duration) {
	p := &partition{sides: map[string]int{}, configBlocked: configBlocked}
	for _, h := range s.Hosts {
		p.sides[h.ID] = mainSide
	}
	for i, group := range groups {
		for _, h := range group {
			p.sides[h.ID] = mainSide + 1 + i
		}
	}
	s.partitions = append(s.partitions, p)
	s.recordPartitionFault(configBlocked)
	s.after(duration, func() {
		s.partitions = slices.DeleteFunc(s.partitions, func(other *partition) bool { return other == p })
		s.recordPartitionFault(configBlocked)
	})
}

func (s *Simulation[P]) recordPartitionFault(configBlocked bool) {
	if configBlocked {
		s.recordFaultOnAll()
	}
	for _, h := range s.Hosts {
		h.LastFaultAt = s.Now
	}
}

func (s *Simulation[P]) partitioned(a, b string) bool {
	for _, p := range s.partitions {
		from, to := p.sides[a], p.sides[b]
		if from != 0 && to != 0 && from != to {
			return true
		}
	}
	return false
}

// partitionBlocksConfigService reports whether a partition separates a host from the configuration service.
func (s *Simulation[P]) partitionBlocksConfigService(h *Host) bool {
	for _, p := range s.partitions {
		if p.configBlocked && p.sides[h.ID] > mainSide {
			return true
		}
	}
	return false
}

// DropEnvelopes makes the network lose envelopes between hosts and replies to them with the given probability.
func (s *Simulation[P]) DropEnvelopes(rate float64, duration time.Duration) {
	s.logFault("loss of %.2f of all envelopes for %v", rate, duration)
	s.lossRate = rate
	s.recordFaultOnAll()
	s.after(duration, func() { s.lossRate = 0; s.recordFaultOnAll() })
}

// lost draws whether an envelope or a reply is lost to the fault of DropEnvelopes.
func (s *Simulation[P]) lost() bool { return s.lossRate > 0 && s.faultRNG.Float64() < s.lossRate }

// KillGroup kills hosts simultaneously; each restarts after a random time from minDowntime to maxDowntime.
func (s *Simulation[P]) KillGroup(group []*Host, minDowntime, maxDowntime time.Duration) {
	s.logFault("kill of %s for %v to %v", hostIDs(group), minDowntime, maxDowntime)
	for _, h := range group {
		s.kill(h, s.RandomDuration(minDowntime, maxDowntime))
	}
}

// FreezeGroup pauses the processes of hosts for a time.
func (s *Simulation[P]) FreezeGroup(group []*Host, duration time.Duration) {
	s.logFault("freeze of %s for %v", hostIDs(group), duration)
	for _, h := range group {
		s.freeze(h, duration)
	}
}

// RollingRestart drains batches of hosts at an interval, and restarts each host after its drain has ended.
func (s *Simulation[P]) RollingRestart(group []*Host, batchSize int, interval time.Duration) {
	s.logFault("rolling restart of %d hosts, %d at a time, each %v: %s", len(group), batchSize, interval, hostIDs(group))
	delay := time.Duration(0)
	for batch := range slices.Chunk(group, batchSize) {
		s.after(delay, func() {
			for _, h := range batch {
				s.restartAfterDrain(h)
			}
		})
		delay += interval
	}
}

// restartAfterDrain drains a host and restarts it once its process has ended or its grace period is over.
func (s *Simulation[P]) restartAfterDrain(h *Host) {
	if !h.Up || h.Frozen || h.State.Draining.Active {
		return
	}
	s.recordFault(h)
	incarnation, startedAt := h.Incarnation, s.Now
	s.post(h, incarnation, reducer.DrainRequested{})
	var poll func()
	poll = func() {
		if h.Incarnation != incarnation {
			return
		}
		if h.Up && s.Now.Sub(startedAt) < s.Options.Limits.GracePeriod {
			s.after(tickInterval, poll)
			return
		}
		s.startHost(h)
	}
	s.after(tickInterval, poll)
}

// AddHosts starts new hosts, each on a random side of every partition.
func (s *Simulation[P]) AddHosts(count int) {
	s.logFault("%d hosts are added", count)
	for range count {
		h := s.addHost()
		for _, p := range s.partitions {
			p.sides[h.ID] = mainSide + s.faultRNG.IntN(2)
		}
		s.startHost(h)
	}
}

// RandomShareOfHosts draws the given share of the hosts, at least one.
func (s *Simulation[P]) RandomShareOfHosts(share float64) []*Host {
	return s.RandomHosts(max(int(share*float64(len(s.Hosts))), 1))
}

// RandomHosts draws count hosts, or all hosts if there are fewer.
func (s *Simulation[P]) RandomHosts(count int) []*Host {
	drawn := slices.Clone(s.Hosts)
	s.faultRNG.Shuffle(len(drawn), func(i, j int) { drawn[i], drawn[j] = drawn[j], drawn[i] })
	return drawn[:min(count, len(drawn))]
}

// RandomDuration draws a duration in whole milliseconds from minimum to maximum.
func (s *Simulation[P]) RandomDuration(minimum, maximum time.Duration) time.Duration {
	return minimum + time.Duration(s.faultRNG.Int64N(int64(maximum-minimum)+1)).Round(time.Millisecond)
}

// RandomShare draws a share from minimum to maximum.
func (s *Simulation[P]) RandomShare(minimum, maximum float64) float64 {
	return minimum + s.faultRNG.Float64()*(maximum-minimum)
}

// RandomBool draws true or false with equal probability.
func (s *Simulation[P]) RandomBool() bool { return s.faultRNG.IntN(2) == 0 }

func (s *Simulation[P]) logFault(format string, values ...any) {
	s.FaultLog = append(s.FaultLog, fmt.Sprintf("%7.3f s  ", s.Now.Sub(StartTime).Seconds())+fmt.Sprintf(format, values...))
}

func hostIDs(group []*Host) []string {
	var ids []string
	for _, h := range group {
		ids = append(ids, h.ID)
	}
	slices.Sort(ids)
	return ids
}

// CoolDomain withdraws a failure domain for a time and takes it back. Its engines are cold from then on, although they have not been restarted,
// and their entries say so after publishDelay.
func (s *Simulation[P]) CoolDomain(domain string, withdrawnFor, publishDelay time.Duration) {
	s.logFault("%s is withdrawn for %v; its engines are cold then and publish it after %v", domain, withdrawnFor, publishDelay)
	key := "withdrawn/" + domain
	s.ConfigService.Put(cataloguer.Document{Key: key, Kind: cataloguer.KindWithdrawnDomain, Name: domain, Raw: []byte(domain)})
	s.after(withdrawnFor, func() {
		s.ConfigService.Remove(key)
		for _, b := range s.domainEngines(domain) {
			s.coolEngine(b, publishDelay)
		}
	})
}

// CoolEngine makes a running engine cold; its entry says so at once.
func (s *Simulation[P]) CoolEngine(b *Backend) {
	s.logFault("%s is cold", b.Info.ID)
	s.coolEngine(b, 0)
}

// coolEngine makes a running engine cold. Its entry says so after publishDelay. The count of a server that is cold already goes on.
func (s *Simulation[P]) coolEngine(b *Backend, publishDelay time.Duration) {
	if !b.cold(s.Now) {
		b.Arrivals = nil
	}
	b.ColdSince = s.Now
	s.publishColdStart(b, publishDelay)
}

// publishColdStart publishes the rest of the cold start of an engine after publishDelay, and then once in a heartbeat until it has ended.
func (s *Simulation[P]) publishColdStart(b *Backend, publishDelay time.Duration) {
	startedUnixMs, coldSince := b.Info.StartedUnixMs, b.ColdSince
	var publish func()
	publish = func() {
		if !b.Up || b.Info.StartedUnixMs != startedUnixMs || !b.ColdSince.Equal(coldSince) {
			return
		}
		b.Info.ColdRemaining = max(coldSince.Add(coldDuration).Sub(s.Now), 0)
		s.publishBackend(b)
		if b.Info.ColdRemaining > 0 {
			s.after(heartbeatInterval, publish)
		}
	}
	s.after(publishDelay, publish)
}

// domainEngines returns the running engines of a failure domain, sorted by ID.
func (s *Simulation[P]) domainEngines(domain string) []*Backend {
	return s.domainServers(engineService, domain)
}

// domainServers returns the running backend servers of a service in a failure domain, sorted by ID.
func (s *Simulation[P]) domainServers(service, domain string) []*Backend {
	var servers []*Backend
	for _, b := range s.Backends {
		if b.Up && b.Info.Service == service && b.Info.FailureDomain == domain {
			servers = append(servers, b)
		}
	}
	slices.SortFunc(servers, func(a, b *Backend) int { return strings.Compare(a.Info.ID, b.Info.ID) })
	return servers
}
