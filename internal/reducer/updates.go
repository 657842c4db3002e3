package reducer

import (
	"slices"
	"time"

	"github.com/redwingpick/redwingpick/internal/selector"
)

// announce tells peers at once that this host has newer documents: all of a small fleet, those at distances 1, 2, 4, … in
// the ring of hosts of a larger one, which tell theirs.
func announce(s *State, now time.Time, except string) {
	ring := s.activeHosts(now)
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

func (s *State) documentSummary(now time.Time) DocumentSummary {
	age := time.Duration(-1)
	if !s.Watch.ConfirmedAt.IsZero() {
		age = now.Sub(s.Watch.ConfirmedAt)
	}
	return DocumentSummary{Revision: s.Documents.SignificantRevision, ConfirmedAge: age}
}

// receiveDocumentSummary asks the peer for what it has and this host lacks, or takes its word that there is nothing newer; a peer whose word is
// older than this host's gets an answer.
//
// Only words in answers count, dated from when they were asked for: an envelope that comes by itself may have waited on its way, and a word
// that was taken for younger than it is at each host would be passed on for ever.
func receiveDocumentSummary(s *State, now time.Time, e PeerReceived, m DocumentSummary) {
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
func (s *State) offerWord(now time.Time, to string, m DocumentSummary) {
	if s.Watch.ConfirmedAt.IsZero() {
		return
	}
	if m.ConfirmedAge < 0 || m.ConfirmedAge-now.Sub(s.Watch.ConfirmedAt) > wordLead {
		s.touch(to)
	}
}

// wordLead is what a host's word must be younger than a peer's to be worth an answer.
const wordLead = gossipInterval / 2

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
func updatesAsked(s *State, e UpdatesRequested) {
	s.Counters.UpdatesAnswered++
	answer := UpdatesResponse{
		ReplyID: e.ReplyID, Revision: s.Documents.Revision, SignificantRevision: s.Documents.SignificantRevision, Snapshot: e.Since < s.Documents.PrunedRevision,
	}
	for _, key := range sortedKeys(s.Documents.Items) {
		item := s.Documents.Items[key]
		if item.SignificantRevision > e.Since || answer.Snapshot && !item.Document.Deleted {
			answer.Documents = append(answer.Documents, item.Document)
		}
	}
	s.emit(answer)
}

func updatesRead[P selector.Policy](s *State, now time.Time, e UpdatesRead) {
	s.Watch.ReadingPeer = false
	h, known := s.Hosts[e.From]
	if known {
		h.Revision = e.SignificantRevision
	}
	if e.Failed {
		askNext(s, now)
		return
	}
	relayed, revision := s.Documents.SignificantRevision, s.Documents.Revision
	applyDocuments(s, now, reading{
		From: e.From, Documents: e.Documents, Snapshot: e.Snapshot, Revision: e.Revision, SignificantRevision: e.SignificantRevision, ConfirmedAt: s.Watch.ConfirmedAt,
	})
	if s.Documents.Revision == revision {
		s.Counters.PeerReadsEmpty++
	}
	if s.Documents.SignificantRevision > relayed {
		s.Watch.ListNext = false
		announce(s, now, e.From)
		placeQueued[P](s, now)
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
