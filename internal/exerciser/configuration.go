package exerciser

import (
	"fmt"
	"time"
)

// checkConfigurations checks at each tick that hosts in touch have what was published in force in time, and that no host goes back.
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
	// Versions begin with 1, so that this is when the one after that in force was published.
	publishedAt := s.Traffic.cataloguePublishedAt[applied]
	if confirmedAt := h.State.Watch.ConfirmedAt; confirmedAt.After(publishedAt) {
		s.reportVersionOnce("confirmed_is_true", h, applied, fmt.Sprintf("believes that nothing newer than version %d had been published %v after the next",
			applied, roundMs(confirmedAt.Sub(publishedAt))))
	}
	if overdue := s.Now.Sub(publishedAt) - s.Options.Limits.ConfigDeadline; overdue > 0 && s.locallyFaultFree(h) {
		s.reportVersionOnce("in_force", h, applied, fmt.Sprintf("has version %d in force, the next was published %v ago, last word of %v ago",
			applied, roundMs(s.Now.Sub(publishedAt)), roundMs(s.Now.Sub(h.State.Watch.ConfirmedAt))))
	}
}

// reportVersionOnce reports what is wrong with a host's version once.
func (s *Simulation[P]) reportVersionOnce(rule string, h *Host, version int64, detail string) {
	s.reportOnce(fmt.Sprint(rule, h.ID, h.Incarnation, version), rule, h.ID+" "+detail)
}

// DelayStoreResponses makes answers of the platform come later than they were formed.
func (s *Simulation[P]) DelayStoreResponses(delay, duration time.Duration) {
	s.logFault("answers of the platform come %v after they were formed, for %v", delay, duration)
	s.storeDelay = delay
	s.recordFaultOnAll()
	s.after(duration, func() { s.storeDelay = 0; s.recordFaultOnAll() })
}

// BreakStoreConnections makes the connections of hosts to the platform go silent, which each finds with its next call.
func (s *Simulation[P]) BreakStoreConnections(group []*Host) {
	s.logFault("connections of %s to the platform go silent", hostIDs(group))
	for _, h := range group {
		h.deadConnectionCalls = 1
		s.recordFault(h)
	}
}

// PartitionFromStore cuts hosts off from the platform for a time.
func (s *Simulation[P]) PartitionFromStore(group []*Host, duration time.Duration) {
	s.logFault("cut of %s from the platform for %v", hostIDs(group), duration)
	for _, h := range group {
		s.partitionHostFromStore(h, duration)
	}
}

// PublishCatalogues publishes configurations at random times until the run ends.
func (s *Simulation[P]) PublishCatalogues(meanInterval time.Duration) {
	var next func()
	next = func() {
		s.publishCatalogue()
		s.after(s.RandomDuration(meanInterval/4, 2*meanInterval), next)
	}
	next()
	s.after(tickInterval, s.checkConfigurations)
}

// PeerReads returns how often the hosts that are up have asked each other for documents.
func (s *Simulation[P]) PeerReads() (reads uint64) {
	for _, h := range s.Hosts {
		if h.Up {
			reads += h.State.Counters.PeerReads
		}
	}
	return reads
}
