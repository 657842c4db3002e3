package reducer

import (
	"time"

	"github.com/redwingpick/redwingpick/internal/merger"
	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// Era is what this host knows of the present era of the configuration service, which begins when the service comes back from an older copy.
type Era struct {
	// Entered is the version of the snapshot with which this host entered the era, and ReadAt when a host first read the era.
	Entered cataloguer.Version
	ReadAt  time.Time
	// Kept holds the keys of items of an earlier era that stay in force for a time although the configuration service has another state of them.
	Kept map[string]bool
}

// enterEra records that a snapshot of a later era is about to be applied.
func enterEra(s *State, now time.Time, r readResult) {
	e := &s.Documents.Era
	e.Entered, e.ReadAt = r.Version, now.Add(-r.EraAge)
	clear(e.Kept)
	for _, item := range s.Documents.Items {
		item.Shadow = nil
	}
}

// keepItem keeps an item of an earlier era in force, if that ends; without a shadow if the new era's snapshot does not list it.
func keepItem(s *State, key string, item *Item, listed bool) {
	if !listed {
		item.Shadow = nil
	}
	if _, ends := merger.HoldTime(&item.Held); ends {
		s.Documents.Era.Kept[key] = true
	}
}

// confirmItem gives a known item the version of one that changes nothing.
func confirmItem(s *State, item *Item, d cataloguer.Document) {
	item.Document.Version, item.Shadow = d.Version, nil
	delete(s.Documents.Era.Kept, d.Key)
}

// logEra logs that this host has entered an era in which the configuration service came back from an older copy. A host that starts, or a service
// that begins to state its era, is no return.
func logEra(s *State, now time.Time, r readResult, former cataloguer.Version) {
	if former.Era == 0 {
		return
	}
	changed, kept := 0, 0
	for _, item := range s.Documents.Items {
		switch {
		case item.Document.Version.Era < r.Version.Era && !item.Document.Deleted:
			kept++
		case item.LearnedAt.Equal(now):
			changed++
		}
	}
	s.Counters.EraReturns++
	s.logEvent(EventEraEntered, intField("former_era", int(former.Era)), intField("former_revision", int(former.Revision)),
		intField("era", int(r.Version.Era)), intField("revision", int(r.Version.Revision)), Field{"from", r.From}, msField("era_age_ms", r.EraAge),
		intField("items", len(r.Documents)), intField("changed", changed), intField("kept", kept), intField("to_settle", len(s.Documents.Era.Kept)))
}

// tickEra puts what the configuration service has into force in place of the kept items whose hold time has passed. The time counts to the last
// confirmation: while the service cannot be read, nobody can tell whether an item has been written again.
func tickEra(s *State, now time.Time) {
	e := &s.Documents.Era
	for _, key := range sortedKeys(e.Kept) {
		item, ok := s.Documents.Items[key]
		if !ok {
			delete(e.Kept, key)
			continue
		}
		hold, ends := merger.HoldTime(&item.Held)
		if !ends || s.Watch.ConfirmedAt.Sub(e.ReadAt) >= hold {
			settleItem(s, now, key, item, ends)
		}
	}
}

// settleItem ends the hold of an item.
func settleItem(s *State, now time.Time, key string, item *Item, ends bool) {
	delete(s.Documents.Era.Kept, key)
	if !ends {
		return
	}
	d := merger.Settle(&item.Held, s.Documents.Era.Entered)
	s.Counters.ItemsSettled++
	s.logEvent(EventItemSettled, Field{"key", key}, boolField("deleted", d.Deleted), msField("era_age_ms", now.Sub(s.Documents.Era.ReadAt)))
	takeDocument(s, now, readResult{From: fromConfigService, Snapshot: true, Version: d.Version, ConfirmedAt: s.Watch.ConfirmedAt}, item, d)
	if b, ok := s.Backends[d.Name]; ok && d.Kind == cataloguer.KindBackend && d.Deleted {
		b.Expired = false
	}
}

// knownEra returns the latest era that this host has heard of.
func (s *State) knownEra() int64 { return max(s.Documents.Version.Era, s.Watch.Era) }

// dropOldAnswer drops an answer of an earlier era than this host knows, or of a watch that began in another era than the one that this host has
// entered since: its changes do not continue what this host has read.
func dropOldAnswer(s *State, now time.Time, e ConfigRead) bool {
	old := e.Era < s.knownEra()
	discontinuous := !e.Snapshot && !e.Failed && e.Since.Era != s.Documents.Version.Era
	if !old && !discontinuous {
		return false
	}
	s.Counters.OldAnswers++
	s.logEvent(EventOldAnswerDropped, intField("era", int(e.Era)), intField("asked_era", int(e.Since.Era)), intField("known_era", int(s.knownEra())))
	s.Watch.NextAt = now
	if old {
		s.Watch.NextAt = now.Add(s.jitter(configServiceRetryDelay))
	}
	return true
}

// learnEra records an era that this host has not entered and reports whether the answer that states it is of no other use: only a list shows the
// state of a new era.
func learnEra(s *State, now time.Time, e ConfigRead) bool {
	if e.Era <= s.Documents.Version.Era || e.Snapshot && !e.Failed {
		return false
	}
	if e.Era > s.Watch.Era {
		s.logEvent(EventEraLearned, intField("former_era", int(s.Documents.Version.Era)), intField("era", int(e.Era)))
	}
	s.Watch.Era, s.Watch.ListNext = e.Era, true
	if e.Failed {
		return false
	}
	s.Watch.NextAt = now
	if s.Documents.Catalogue != nil && !s.watches(now) {
		s.Watch.NextAt = now.Add(s.jitter(peerEraPeriod))
	}
	return true
}

// peerEraPeriod is the time for which a host that does not watch waits for a peer to send it the state of a new era, before it lists all items itself:
// the calls after a return must not grow with the fleet.
const peerEraPeriod = 600 * time.Millisecond

// eraAge returns the time since a host first read the present era.
func (s *State) eraAge(now time.Time) time.Duration { return max(now.Sub(s.Documents.Era.ReadAt), 0) }
