package reducer

import (
	"slices"
	"time"

	"github.com/redwingpick/redwingpick/internal/selector"
	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// Watch is the state of reading the configuration service and the peers' documents.
type Watch struct {
	// Reading is set while a call to the configuration service is in progress, and ReadingPeer while one to a peer is.
	Reading bool
	// NextAt is the earliest time of the next call to the configuration service.
	NextAt   time.Time
	Failures int
	// ListNext is set when the next call must list all items.
	ListNext bool
	// Era is the latest era that an answer of the configuration service stated, which this host may not have entered yet.
	Era int64
	// ConfirmedAt is the latest time for which this host's documents are confirmed up to date: no newer revision was published then.
	ConfirmedAt time.Time
	// Stale is set while ConfirmedAt is older than ConfigDeadline allows.
	Stale bool
	// HealthySince is the time since which the configuration service has been healthy: confirmations have come without a long gap.
	HealthySince     time.Time
	ReadingPeer      bool
	PeerReadDeadline time.Time
}

// maxConfirmationAge returns the age of the last confirmation from which a host reads the configuration service itself.
func (s *State) maxConfirmationAge() time.Duration {
	return time.Duration(float64(s.Limits.ConfigDeadline) * confirmationFraction)
}

// tickWatch reads the configuration service if this host is one of the watchers, or if it has no fresh confirmation from another host.
func tickWatch(s *State, now time.Time) {
	pruneDocuments(s, now)
	tickEra(s, now)
	logStaleConfiguration(s, now)
	if s.Watch.Reading || now.Before(s.Watch.NextAt) || !s.shouldWatch(now) {
		return
	}
	s.Watch.Reading = true
	s.Watch.NextAt = now.Add(watchInterval)
	s.Counters.ConfigReads++
	if s.Watch.ListNext {
		s.emit(ListConfigService{Era: s.knownEra()})
		return
	}
	s.emit(WatchConfigService{Since: s.Documents.Version, Wait: watchTimeout})
}

// logStaleConfiguration logs once that the configuration in effect may be older than ConfigDeadline allows.
func logStaleConfiguration(s *State, now time.Time) {
	if s.Watch.Stale || s.Watch.ConfirmedAt.IsZero() || now.Sub(s.Watch.ConfirmedAt) <= s.Limits.ConfigDeadline {
		return
	}
	s.Watch.Stale = true
	s.Counters.StaleConfigurations++
	s.logEvent(EventConfigurationStale, ageField("confirmed_age_ms", now, s.Watch.ConfirmedAt), intField("failures", s.Watch.Failures))
}

// watches reports whether this host is one of those that read the configuration service for the others.
func (s *State) watches(now time.Time) bool {
	return slices.Contains(s.ranked(now, rankKey{Key: "watch"}, configServiceWatchers), s.Self.HostID)
}

// shouldWatch reports whether this host should read the configuration service itself.
func (s *State) shouldWatch(now time.Time) bool {
	if s.watches(now) {
		return s.Documents.Catalogue != nil || s.uptime(now) > gossipInterval/2
	}
	if s.mustObserveOrders(now) {
		return true
	}
	if s.Watch.ConfirmedAt.IsZero() {
		return s.uptime(now) > gossipInterval+s.Limits.ConfigDeadline/4
	}
	return now.Sub(s.Watch.ConfirmedAt) > s.maxConfirmationAge()
}

// configRead applies the configuration service's response; each failure in a row increases the delay until the next call.
func configRead[P selector.Policy](s *State, now time.Time, e ConfigRead) {
	s.Watch.Reading = false
	if learnEra(s, now, e) || dropOldAnswer(s, now, e) {
		return
	}
	s.recordConfigRead(now, e)
	if e.Failed {
		s.Watch.Failures++
		if s.Watch.Failures == 1 {
			s.logEvent(EventConfigServiceUnavailable, ageField("confirmed_age_ms", now, s.Watch.ConfirmedAt))
		}
		s.Watch.NextAt = now.Add(s.jitter(configServiceRetryDelay << min(s.Watch.Failures-1, configServiceRetryDoublings)))
		return
	}
	if s.Watch.Failures > 0 {
		s.logEvent(EventConfigServiceRecovered, intField("failures", s.Watch.Failures))
	}
	s.Watch.Failures = 0
	s.Watch.ListNext = e.Expired
	if e.Expired {
		s.Watch.NextAt = now
		return
	}
	significant := s.Documents.SignificantVersion
	r := readResult{
		From: fromConfigService, Documents: e.Documents, Snapshot: e.Snapshot, Version: e.Version, ConfirmedAt: s.Watch.ConfirmedAt,
	}
	s.confirm(now, readAsOf(now, e))
	applyDocuments(s, now, r)
	if s.Documents.SignificantVersion.After(significant) {
		notifyPeers(s, now, "")
		placeQueued[P](s, now)
	}
}

// readAsOf returns the time as of which the configuration service's response is certainly current: when the request was sent, or the end of
// the wait for a watch that returned no changes.
func readAsOf(now time.Time, e ConfigRead) time.Time {
	waitEnd := e.RequestedAt.Add(watchTimeout)
	if e.Snapshot || len(e.Documents) > 0 || now.Before(waitEnd) {
		return e.RequestedAt
	}
	return waitEnd
}

// Delay after a failed call to the configuration service, and how many times it doubles.
const (
	configServiceRetryDelay     = 200 * time.Millisecond
	configServiceRetryDoublings = 3
)

// confirm records that no revision newer than those known to this host had been published at the given time.
func (s *State) confirm(now, at time.Time) {
	if !at.After(s.Watch.ConfirmedAt) {
		return
	}
	gap := at.Sub(s.Watch.ConfirmedAt)
	if gap > degradedAfter {
		s.Watch.HealthySince = now
	}
	if s.Watch.Stale {
		s.Watch.Stale = false
		s.logEvent(EventConfigurationConfirmed, msField("gap_ms", gap))
	}
	s.Watch.ConfirmedAt = at
}

// degradedAfter is the gap between two confirmations after which the configuration service counts as having been degraded.
const degradedAfter = 2 * time.Second

// healthy reports whether the configuration service has been healthy long enough for a removed entry to take effect at once.
func (s *State) healthy(now time.Time) bool {
	return now.Sub(s.Watch.HealthySince) > healthyAfter
}

// pruneDocuments drops deleted items whose deletion has reached all hosts by now.
func pruneDocuments(s *State, now time.Time) {
	for key, item := range s.Documents.Items {
		if item.Document.Deleted && now.Sub(item.LearnedAt) > tombstoneTTL {
			s.Documents.PrunedVersion = s.Documents.PrunedVersion.Max(item.Document.Version)
			delete(s.Documents.Items, key)
		}
	}
}

// kindNames holds the names of the kinds of documents in the status.
var kindNames = map[cataloguer.Kind]string{
	cataloguer.KindCatalogue: "catalogue", cataloguer.KindBackend: "backend_server",
	cataloguer.KindWithdrawnDomain: "withdrawn_domain", cataloguer.KindAdapterVersion: "adapter_version",
}
