package exerciser

import (
	"fmt"
	"time"
)

// checkConfigurations checks at each tick that hosts without recent faults apply published catalogues in time, and that no host returns
// to an older version.
func (s *Simulation[P]) checkConfigurations() {
	for _, h := range s.Hosts {
		if h.Up && !h.Frozen && h.State.Documents.Catalogue != nil {
			s.checkAppliedVersion(h)
		}
	}
	s.after(tickInterval, s.checkConfigurations)
}

func (s *Simulation[P]) checkAppliedVersion(h *Host) {
	applied := h.State.Documents.Catalogue.Version
	if applied < h.appliedVersion {
		s.Checker.addViolation(s.Now, "never_back", fmt.Sprintf("%s: version %d after %d", h.ID, applied, h.appliedVersion))
	}
	h.appliedVersion = applied
	if applied >= s.Traffic.catalogueVersion {
		return
	}
	// Versions start at 1: the entry at the index of the applied version belongs to the next version.
	publishedAt := s.Traffic.cataloguePublishedAt[applied]
	if confirmedAt := h.State.Watch.ConfirmedAt; confirmedAt.After(publishedAt) {
		s.reportVersionOnce("confirmed_is_true", h, applied,
			fmt.Sprintf("confirmed version %d as the newest as of %v after the next was published", applied, roundMs(confirmedAt.Sub(publishedAt))))
	}
	if overdue := s.Now.Sub(publishedAt) - s.Options.Limits.ConfigDeadline; overdue > 0 && s.locallyFaultFree(h) {
		s.reportVersionOnce("in_force", h, applied, fmt.Sprintf("has applied version %d, the next was published %v ago, confirmed as of %v ago",
			applied, roundMs(s.Now.Sub(publishedAt)), roundMs(s.Now.Sub(h.State.Watch.ConfirmedAt))))
	}
}

// reportVersionOnce reports a violation for a host and a catalogue version once.
func (s *Simulation[P]) reportVersionOnce(rule string, h *Host, version int64, detail string) {
	s.reportOnce(fmt.Sprint(rule, h.ID, h.Incarnation, version), rule, h.ID+" "+detail)
}

// DelayConfigServiceResponses delays responses of the configuration service after they have been formed.
func (s *Simulation[P]) DelayConfigServiceResponses(delay, duration time.Duration) {
	s.logFault("responses of the configuration service are delayed by %v after they are formed, for %v", delay, duration)
	s.configServiceDelay = delay
	s.recordFaultOnAll()
	s.after(duration, func() { s.configServiceDelay = 0; s.recordFaultOnAll() })
}

// BreakConfigServiceConnections makes the connections of hosts to the configuration service dead without a reset; the next call of each
// host times out.
func (s *Simulation[P]) BreakConfigServiceConnections(group []*Host) {
	s.logFault("connections of %s to the configuration service are dead", hostIDs(group))
	for _, h := range group {
		h.deadConnectionCalls = 1
		s.recordFault(h)
	}
}

// PartitionFromConfigService separates hosts from the configuration service for a time.
func (s *Simulation[P]) PartitionFromConfigService(group []*Host, duration time.Duration) {
	s.logFault("partition of %s from the configuration service for %v", hostIDs(group), duration)
	for _, h := range group {
		s.partitionHostFromConfigService(h, duration)
	}
}

// PublishCatalogues publishes catalogues at random times until the simulation ends, and checks that hosts apply them.
func (s *Simulation[P]) PublishCatalogues(meanInterval time.Duration) {
	var next func()
	next = func() {
		s.publishCatalogue()
		s.after(s.RandomDuration(meanInterval/4, 2*meanInterval), next)
	}
	next()
	s.after(tickInterval, s.checkConfigurations)
}

// PeerReads returns the number of requests for documents that the running hosts have sent to each other.
func (s *Simulation[P]) PeerReads() (reads uint64) {
	for _, h := range s.Hosts {
		if h.Up {
			reads += h.State.Counters.PeerReads
		}
	}
	return reads
}
