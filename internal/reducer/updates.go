package reducer

import (
	"slices"
	"time"

	"github.com/redwingpick/redwingpick/internal/selector"
	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// notifyPeers sends a summary to peers at once because this host has newer documents, which it has read from the host except, or from the
// configuration service if except is empty. In a small fleet the host that has read the configuration service notifies all active hosts. In
// a larger one each host notifies those at distances 1, 2, 4, … in the ring of active hosts, which notify others in turn.
func notifyPeers(s *State, now time.Time, except string) {
	ring := s.activeHosts(now)
	if len(ring) <= smallFleet {
		if except == "" {
			for _, id := range ring {
				s.sendSummary(id)
			}
		}
		return
	}
	at := slices.Index(ring, s.Self.HostID)
	for step := 1; step < len(ring); step *= 2 {
		if id := ring[(at+step)%len(ring)]; id != except {
			s.sendSummary(id)
		}
	}
}

// sendSummary sends a peer an envelope even if it carries nothing but the document summary.
func (s *State) sendSummary(to string) {
	if _, ok := s.outbox[to]; ok || to == s.Self.HostID {
		return
	}
	s.outboxOrder = append(s.outboxOrder, to)
	s.outbox[to] = nil
}

// documentSummary returns the summary of this host's documents.
func (s *State) documentSummary(now time.Time) DocumentSummary {
	return DocumentSummary{SignificantVersion: s.Documents.SignificantVersion, ConfirmedAge: s.confirmedAge(now)}
}

// receiveDocumentSummary requests the documents that the peer has and this host lacks, or accepts the peer's confirmation that nothing
// newer was published.
//
// Only confirmations in replies count, dated from when the request was sent. An unsolicited envelope may have been delayed, and a
// confirmation that is dated too late at each host would be passed on forever.
func receiveDocumentSummary(s *State, now time.Time, e PeerReceived, m DocumentSummary) {
	h, ok := s.Hosts[e.From]
	if !ok {
		return
	}
	h.SignificantVersion = m.SignificantVersion
	if m.SignificantVersion.After(s.Documents.Version) {
		requestUpdates(s, now, e.From, h)
		return
	}
	// What a peer confirms in an earlier era, or without one, says nothing about this host's.
	sameEra := m.SignificantVersion.Era == s.Documents.Version.Era
	if sameEra && !e.RequestedAt.IsZero() && m.ConfirmedAge >= 0 {
		s.confirm(now, e.RequestedAt.Add(-m.ConfirmedAge))
	}
	s.exchangeConfirmations(now, e, m)
}

// exchangeConfirmations replies to a peer whose confirmation is older than this host's, and asks a peer for its confirmation that has sent a
// newer one by itself. A reply is never asked about, so that an exchange ends after the second reply.
func (s *State) exchangeConfirmations(now time.Time, e PeerReceived, m DocumentSummary) {
	lead := s.confirmedAge(now) - m.ConfirmedAge
	switch {
	case !s.Watch.ConfirmedAt.IsZero() && (m.ConfirmedAge < 0 || -lead > confirmationLead):
		s.sendSummary(e.From)
	case !e.Reply && m.ConfirmedAge >= 0 && (s.Watch.ConfirmedAt.IsZero() || lead > confirmationLead):
		s.sendSummary(e.From)
	}
}

// confirmationLead is how much newer than the other's a host's confirmation must be to be worth an exchange.
const confirmationLead = gossipInterval / 2

// confirmedAge returns the time since this host's documents were last confirmed up to date; negative if never.
func (s *State) confirmedAge(now time.Time) time.Duration {
	if s.Watch.ConfirmedAt.IsZero() {
		return -1
	}
	return now.Sub(s.Watch.ConfirmedAt)
}

// requestUpdates requests documents from a peer, unless another request is still in progress.
func requestUpdates(s *State, now time.Time, from string, h *Host) {
	if s.Watch.ReadingPeer && now.Before(s.Watch.PeerReadDeadline) {
		return
	}
	s.Watch.ReadingPeer = true
	s.Counters.PeerReads++
	s.Watch.PeerReadDeadline = now.Add(peerReadTimeout)
	since := s.Documents.Version
	if s.Documents.Catalogue == nil {
		since = cataloguer.Version{}
	}
	s.emit(ReadUpdates{From: from, Address: h.Record.PeerAddress, Since: since})
}

// peerReadTimeout is the time after which documents are requested from another peer.
const peerReadTimeout = 700 * time.Millisecond

// updatesRequested replies to a peer with the items that changed after its version.
func updatesRequested(s *State, now time.Time, e UpdatesRequested) {
	s.Counters.UpdateResponses++
	since := e.Since
	if e.WithoutEra {
		since.Era = s.Documents.Version.Era
	}
	resp := UpdatesResponse{
		ReplyID: e.ReplyID, Version: s.Documents.Version, SignificantVersion: s.Documents.SignificantVersion,
		Snapshot: s.Documents.PrunedVersion.After(since), EraAge: s.eraAge(now),
	}
	for _, key := range sortedKeys(s.Documents.Items) {
		item := s.Documents.Items[key]
		if item.SignificantVersion.After(since) || resp.Snapshot && !item.Document.Deleted {
			d := item.Document
			d.Age = now.Sub(item.ReadAt)
			resp.Documents = append(resp.Documents, d)
		}
		// The peer keeps the item of the earlier era by itself if it knows it.
		if resp.Snapshot && item.Shadow != nil {
			shadow := *item.Shadow
			shadow.Age = s.eraAge(now)
			resp.Documents = append(resp.Documents, shadow)
		}
	}
	s.emit(resp)
}

// updatesRead applies a peer's response and requests what is still missing from the next peer.
func updatesRead[P selector.Policy](s *State, now time.Time, e UpdatesRead) {
	s.Watch.ReadingPeer = false
	if e.Version.Era > s.Documents.Version.Era && !e.Snapshot {
		// The changes do not continue what this host has read. Another request would get the same.
		e = UpdatesRead{From: e.From, Failed: true}
	}
	h, known := s.Hosts[e.From]
	if known {
		h.SignificantVersion = e.SignificantVersion
	}
	if e.Failed {
		requestNextUpdates(s, now)
		return
	}
	significant, version := s.Documents.SignificantVersion, s.Documents.Version
	applyDocuments(s, now, readResult{
		From: e.From, Documents: e.Documents, Snapshot: e.Snapshot, Version: e.Version, SignificantVersion: e.SignificantVersion,
		EraAge: e.EraAge, ConfirmedAt: s.Watch.ConfirmedAt,
	})
	if s.Documents.Version == version {
		s.Counters.PeerReadsEmpty++
	}
	if s.Documents.SignificantVersion.After(significant) {
		s.Watch.ListNext = s.Watch.Era > s.Documents.Version.Era
		notifyPeers(s, now, e.From)
		placeQueued[P](s, now)
	}
	requestNextUpdates(s, now)
}

// requestNextUpdates requests documents from another peer that has reported a version which this host lacks. The sequence of requests
// ends: each response raises this host's version or lowers the one recorded for the peer, and a failure lowers it until the peer reports
// it again.
func requestNextUpdates(s *State, now time.Time) {
	next := ""
	for _, id := range sortedKeys(s.Hosts) {
		h := s.Hosts[id]
		if h.SignificantVersion.After(s.Documents.Version) && s.reachable(now, id) &&
			(next == "" || h.SignificantVersion.After(s.Hosts[next].SignificantVersion)) {
			next = id
		}
	}
	if next != "" {
		requestUpdates(s, now, next, s.Hosts[next])
	}
}
