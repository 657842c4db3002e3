package reducer

import (
	"slices"
	"time"

	"github.com/redwingpick/redwingpick/internal/selector"
	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// confirmWithin is the age of the last confirmation from which a host reads the platform itself.
func (s *State) confirmWithin() time.Duration {
	return time.Duration(float64(s.Limits.ConfigFor) * confirmShare)
}

// tickWatch reads the platform if this host is one of the watchers, or if nobody else's confirmation is fresh.
func tickWatch(s *State, now time.Time) {
	pruneDocuments(s, now)
	noteOldConfirmation(s, now)
	if s.Watch.Reading || now.Before(s.Watch.NextAt) || !s.shouldWatch(now) {
		return
	}
	s.Watch.Reading = true
	s.Watch.NextAt = now.Add(watchEvery)
	s.Counters.PlatformReads++
	if s.Watch.ListNext {
		s.emit(ListPlatform{})
		return
	}
	s.emit(WatchPlatform{Since: s.Documents.Revision, Wait: watchWait})
}

// noteOldConfirmation notes once that what is in force may be older than promised.
func noteOldConfirmation(s *State, now time.Time) {
	if s.Watch.Old || s.Watch.ConfirmedAt.IsZero() || now.Sub(s.Watch.ConfirmedAt) <= s.Limits.ConfigFor {
		return
	}
	s.Watch.Old = true
	s.Counters.ConfirmationsOld++
	s.note(EventConfirmationOld, ageField("confirmed_age_ms", now, s.Watch.ConfirmedAt), intField("failures", s.Watch.Failures))
}

func (s *State) shouldWatch(now time.Time) bool {
	if slices.Contains(s.ranked(now, rankKey{Key: "watch"}, watchers), s.Self.HostID) {
		return s.Documents.Catalogue != nil || s.age(now) > gossipEvery/2
	}
	if s.mustSeeOrders(now) {
		return true
	}
	if s.Watch.ConfirmedAt.IsZero() {
		return s.age(now) > gossipEvery+s.Limits.ConfigFor/4
	}
	return now.Sub(s.Watch.ConfirmedAt) > s.confirmWithin()
}

// platformRead takes the platform's answer; after a failure the next call waits longer each time.
func platformRead[P selector.Policy](s *State, now time.Time, e PlatformRead) {
	s.Watch.Reading = false
	s.watched(now, e)
	if e.Failed {
		s.Watch.Failures++
		if s.Watch.Failures == 1 {
			s.note(EventPlatformLost, ageField("confirmed_age_ms", now, s.Watch.ConfirmedAt))
		}
		s.Watch.NextAt = now.Add(s.jitter(platformPause << min(s.Watch.Failures-1, platformDoublings)))
		return
	}
	if s.Watch.Failures > 0 {
		s.note(EventPlatformBack, intField("failures", s.Watch.Failures))
	}
	s.Watch.Failures = 0
	s.Watch.ListNext = e.Expired
	if e.Expired {
		s.Watch.NextAt = now
		return
	}
	relayed := s.Documents.Relayed
	r := reading{From: fromPlatform, Documents: e.Documents, Whole: e.Whole, Revision: e.Revision, ConfirmedAt: s.Watch.ConfirmedAt}
	s.confirm(now, formedAt(now, e))
	applyDocuments(s, now, r)
	if s.Documents.Relayed > relayed {
		announce(s, now, "")
		placeWaiting[P](s, now)
	}
}

// formedAt is the time from which on the platform's answer was formed at the latest: when it was asked for, or at the end of the wait of a
// watch that brought nothing.
func formedAt(now time.Time, e PlatformRead) time.Time {
	waited := e.AskedAt.Add(watchWait)
	if e.Whole || len(e.Documents) > 0 || now.Before(waited) {
		return e.AskedAt
	}
	return waited
}

// Pauses after failed calls to the platform, and how often they double.
const (
	platformPause     = 200 * time.Millisecond
	platformDoublings = 3
)

// confirm notes that nothing newer than what this host knows had been published at the given time.
func (s *State) confirm(now, at time.Time) {
	if !at.After(s.Watch.ConfirmedAt) {
		return
	}
	gap := at.Sub(s.Watch.ConfirmedAt)
	if gap > unwellAfter {
		s.Watch.GoodSince = now
	}
	if s.Watch.Old {
		s.Watch.Old = false
		s.note(EventConfirmedAgain, msField("gap_ms", gap))
	}
	s.Watch.ConfirmedAt = at
}

// unwellAfter is the gap between two confirmations after which the platform counts as having been unwell.
const unwellAfter = 2 * time.Second

// well reports whether the platform has been answering long enough for a removed entry to count at once.
func (s *State) well(now time.Time) bool {
	return now.Sub(s.Watch.GoodSince) > wellAfter
}

// announce tells peers at once that this host has newer documents: all of a small fleet, those at distances 1, 2, 4, … in
// the ring of hosts of a larger one, which tell theirs.
func announce(s *State, now time.Time, except string) {
	ring := s.aliveHosts(now)
	if len(ring) <= smallFleet {
		if except == "" {
			for _, id := range ring {
				s.touch(id)
			}
		}
		return
	}
	at := slices.Index(ring, s.Self.HostID)
	for step := 1; step < len(ring); step *= 2 {
		if id := ring[(at+step)%len(ring)]; id != except {
			s.touch(id)
		}
	}
}

// touch sends a peer an envelope even if there is nothing to say but the summary.
func (s *State) touch(to string) {
	if _, ok := s.outbox[to]; ok || to == s.Self.HostID {
		return
	}
	s.order = append(s.order, to)
	s.outbox[to] = nil
}

func (s *State) summary(now time.Time) Summary {
	age := time.Duration(-1)
	if !s.Watch.ConfirmedAt.IsZero() {
		age = now.Sub(s.Watch.ConfirmedAt)
	}
	return Summary{Revision: s.Documents.Relayed, ConfirmedAge: age}
}

// receiveSummary asks the peer for what it has and this host lacks, or takes its word that there is nothing newer; a peer whose word is
// older than this host's gets an answer.
//
// Only words in answers count, dated from when they were asked for: an envelope that comes by itself may have waited on its way, and a word
// that was taken for younger than it is at each host would be passed on for ever.
func receiveSummary(s *State, now time.Time, e PeerReceived, m Summary) {
	from := e.From
	h, ok := s.Hosts[from]
	if !ok {
		return
	}
	h.Revision = m.Revision
	if m.Revision > s.Documents.Revision {
		askUpdates(s, now, from, h)
		return
	}
	if e.AskedAt.IsZero() {
		s.offerWord(now, from, m)
		return
	}
	if m.ConfirmedAge >= 0 {
		s.confirm(now, e.AskedAt.Add(-m.ConfirmedAge))
	}
}

// offerWord answers a peer whose word is older than this host's.
func (s *State) offerWord(now time.Time, to string, m Summary) {
	if s.Watch.ConfirmedAt.IsZero() {
		return
	}
	if m.ConfirmedAge < 0 || m.ConfirmedAge-now.Sub(s.Watch.ConfirmedAt) > wordLead {
		s.touch(to)
	}
}

// wordLead is what a host's word must be younger than a peer's to be worth an answer.
const wordLead = gossipEvery / 2

func askUpdates(s *State, now time.Time, from string, h *Host) {
	if s.Watch.ReadingPeer && now.Before(s.Watch.AskPeerAt) {
		return
	}
	s.Watch.ReadingPeer = true
	s.Counters.PeerReads++
	s.Watch.AskPeerAt = now.Add(peerReadLimit)
	since := s.Documents.Revision
	if s.Documents.Catalogue == nil {
		since = 0
	}
	s.emit(ReadUpdates{From: from, Address: h.Record.PeerAddress, Since: since})
}

// peerReadLimit is the time after which another peer is asked for documents.
const peerReadLimit = 700 * time.Millisecond

// updatesAsked answers a peer with the items that changed after its revision.
func updatesAsked(s *State, e UpdatesAsked) {
	s.Counters.UpdatesAnswered++
	answer := UpdatesAnswer{
		ReplyID: e.ReplyID, Revision: s.Documents.Revision, Relayed: s.Documents.Relayed, Whole: e.Since < s.Documents.PrunedAt,
	}
	for _, key := range sortedKeys(s.Documents.Items) {
		item := s.Documents.Items[key]
		if item.Relayed > e.Since || answer.Whole && !item.Document.Gone {
			answer.Documents = append(answer.Documents, item.Document)
		}
	}
	s.emit(answer)
}

func updatesRead[P selector.Policy](s *State, now time.Time, e UpdatesRead) {
	s.Watch.ReadingPeer = false
	h, known := s.Hosts[e.From]
	if known {
		h.Revision = e.Relayed
	}
	if e.Failed {
		askNext(s, now)
		return
	}
	relayed, revision := s.Documents.Relayed, s.Documents.Revision
	applyDocuments(s, now, reading{
		From: e.From, Documents: e.Documents, Whole: e.Whole, Revision: e.Revision, Relayed: e.Relayed, ConfirmedAt: s.Watch.ConfirmedAt,
	})
	if s.Documents.Revision == revision {
		s.Counters.PeerReadsEmpty++
	}
	if s.Documents.Relayed > relayed {
		s.Watch.ListNext = false
		announce(s, now, e.From)
		placeWaiting[P](s, now)
	}
	askNext(s, now)
}

// askNext asks another peer that has told of something which this host lacks. It ends: each answer raises this host's revision or lowers
// what the peer is known to have, and a failure lowers it until the peer tells of it again.
func askNext(s *State, now time.Time) {
	next := ""
	for _, id := range sortedKeys(s.Hosts) {
		h := s.Hosts[id]
		if h.Revision > s.Documents.Revision && s.reachable(now, id) && (next == "" || h.Revision > s.Hosts[next].Revision) {
			next = id
		}
	}
	if next != "" {
		askUpdates(s, now, next, s.Hosts[next])
	}
}

// pruneDocuments forgets removed items that every host has heard of by now.
func pruneDocuments(s *State, now time.Time) {
	for key, item := range s.Documents.Items {
		if item.Document.Gone && now.Sub(item.LearntAt) > tombstoneFor {
			s.Documents.PrunedAt = max(s.Documents.PrunedAt, item.Document.Revision)
			delete(s.Documents.Items, key)
		}
	}
}

// kindNames names the kinds of documents in the status.
var kindNames = map[cataloguer.Kind]string{
	cataloguer.KindCatalogue: "catalogue", cataloguer.KindBackend: "backend_server",
	cataloguer.KindWithdrawn: "withdrawn_domain", cataloguer.KindVersion: "adapter_version",
}
