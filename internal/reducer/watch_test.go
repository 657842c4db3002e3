package reducer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// receiveConfirmation delivers a peer's confirmation that nothing newer than this host's documents was published; requestedAt is zero for
// an unsolicited one.
func (f *fixture) receiveConfirmation(age time.Duration, requestedAt time.Time) []Effect {
	summary := DocumentSummary{SignificantVersion: f.state.Documents.SignificantVersion, ConfirmedAge: age}
	return f.reduce(PeerReceived{From: "host-1", Incarnation: 3, Messages: []Message{summary}, ReplyID: "r", RequestedAt: requestedAt})
}

// Guards against a response of the configuration service that is dated from when this host processes it: it shows what was published when
// it was sent.
func TestLateConfigServiceResponseIsDatedFromItsRequest(t *testing.T) {
	f := newFixture(t)
	requestedAt := f.now
	f.now = f.now.Add(5 * time.Second)
	f.reduce(ConfigRead{RequestedAt: requestedAt, Version: f.version()})
	assert.Equal(t, f.state.Watch.ConfirmedAt, requestedAt.Add(watchTimeout))

	f.now = f.now.Add(5 * time.Second)
	f.reduce(ConfigRead{RequestedAt: requestedAt.Add(time.Second), Snapshot: true, Version: f.version()})
	assert.Equal(t, f.state.Watch.ConfirmedAt, requestedAt.Add(time.Second))
}

// Guards against an unsolicited confirmation, which may have been delayed anywhere and would never age if each host dated it anew.
func TestPeerConfirmationCountsOnlyInReplies(t *testing.T) {
	f := newFixture(t)
	f.addFiveHosts()
	before := f.state.Watch.ConfirmedAt
	f.advance(time.Second)
	f.receiveConfirmation(0, time.Time{})
	assert.Equal(t, f.state.Watch.ConfirmedAt, before)

	requestedAt := f.now.Add(-400 * time.Millisecond)
	f.receiveConfirmation(100*time.Millisecond, requestedAt)
	assert.Equal(t, f.state.Watch.ConfirmedAt, requestedAt.Add(-100*time.Millisecond))
}

// Guards against a peer that never gets a newer confirmation, since it accepts one only from a reply.
func TestPeerWithOlderConfirmationGetsReply(t *testing.T) {
	f := newFixture(t)
	f.addFiveHosts()
	f.reduce(ConfigRead{RequestedAt: f.now, Version: f.version()})
	envelope := must[SendPeer](t, f.receiveConfirmation(time.Second, time.Time{}))
	assert.Equal(t, envelope.To, "host-1")
	assert.DeepEqual(t, envelope.Messages, []Message{DocumentSummary{SignificantVersion: f.state.Documents.SignificantVersion}})

	_, replied := find[SendPeer](f.receiveConfirmation(0, time.Time{}))
	assert.Assert(t, !replied)
}

// receiveRevision delivers a peer's highest significant revision, and returns the revision since which the host requests documents.
func (f *fixture) receiveRevision(from string, revision int64) (since cataloguer.Version, requested bool) {
	read, requested := find[ReadUpdates](f.reduce(PeerReceived{From: from, Incarnation: 3, Messages: []Message{
		DocumentSummary{SignificantVersion: at(revision), ConfirmedAge: 0},
	}}))
	return read.Since, requested
}

// Guards against a host that requests a revision which it has read: a change of a backend server's entry may be significant only to a host
// that did not know the entry, so two hosts with the same documents may have different significant revisions.
func TestHostDoesNotRequestRevisionsItHasRead(t *testing.T) {
	f := newFixture(t)
	f.addFiveHosts()
	desk := f.state.Backends["desk-1"].Info
	desk.AcceptedOrders = 7
	f.publishBackend(desk)
	assert.Assert(t, f.state.Documents.Version.After(f.state.Documents.SignificantVersion),
		"a change of AcceptedOrders is not significant to other hosts")
	_, requested := f.receiveRevision("host-1", f.state.Documents.Version.Revision)
	assert.Assert(t, !requested)
	since, requested := f.receiveRevision("host-1", f.state.Documents.Version.Revision+1)
	assert.Assert(t, requested)
	assert.Equal(t, since, f.state.Documents.Version)
}

// Guards against a repeated request after a response that is empty or failed, and against a report by another peer that has to wait for it.
func TestEmptyResponseIsNotRequestedAgain(t *testing.T) {
	f := newFixture(t)
	f.addFiveHosts()
	revision := f.state.Documents.Version.Revision + 10
	_, requested := f.receiveRevision("host-1", revision)
	assert.Assert(t, requested)
	_, requested = f.receiveRevision("host-2", revision)
	assert.Assert(t, !requested, "a request to host-1 is in progress")
	next := must[ReadUpdates](t, f.reduce(UpdatesRead{From: "host-1", Failed: true}))
	assert.Equal(t, next.From, "host-2")
	_, requested = find[ReadUpdates](f.reduce(UpdatesRead{From: "host-2", Version: f.state.Documents.Version}))
	assert.Assert(t, !requested)
}

// Guards against changes after the revision of a list that are applied from the list: only the watch marks them as significant to other
// hosts.
func TestChangesAfterSnapshotRevisionComeWithTheWatch(t *testing.T) {
	f := newFixture(t)
	desk := f.state.Backends["desk-1"].Info
	desk.Draining = true
	later := cataloguer.Document{Key: "b/desk-1", Kind: cataloguer.KindBackend, Name: "desk-1", Backend: &desk, Raw: []byte("x"), Version: at(f.revision + 1)}
	list := []cataloguer.Document{later}
	for key, item := range f.state.Documents.Items {
		if key != later.Key {
			list = append(list, item.Document)
		}
	}
	f.reduce(ConfigRead{RequestedAt: f.now, Snapshot: true, Version: f.version(), Documents: list})
	b := f.state.Backends["desk-1"]
	assert.Assert(t, b.RemovedAt.IsZero() && !b.Info.Draining)
	assert.Equal(t, f.state.Documents.SignificantVersion, f.version())

	f.reduce(ConfigRead{RequestedAt: f.now, Version: at(f.revision + 1), Documents: []cataloguer.Document{later}})
	assert.Assert(t, f.state.Backends["desk-1"].Info.Draining)
	assert.Equal(t, f.state.Documents.SignificantVersion, at(f.revision+1))
}

// Guards against deleted items that a peer keeps. A host that starts with a snapshot does not know what was deleted before it, so a peer
// that requests later changes must be sent all items. Without them a backend server that had stopped without draining was sent requests for
// seconds, which broke rule DRAIN.
func TestPeersBehindSnapshotGetSnapshot(t *testing.T) {
	f := newFixture(t)
	behind := f.state.Documents.Version
	f.revision += 5
	list := []cataloguer.Document{f.state.Documents.Items["c"].Document}
	other := newFixture(t)
	other.state.Documents = newDocuments()
	other.reduce(ConfigRead{RequestedAt: f.now, Snapshot: true, Version: f.version(), Documents: list})
	resp := must[UpdatesResponse](t, other.reduce(UpdatesRequested{ReplyID: "u", Since: behind}))
	assert.Assert(t, resp.Snapshot)

	f.reduce(UpdatesRead{From: "host-1", Snapshot: resp.Snapshot, Version: resp.Version, SignificantVersion: resp.SignificantVersion, Documents: resp.Documents})
	assert.Assert(t, !f.state.Backends["desk-1"].RemovedAt.IsZero(), "it was deleted before the snapshot of the peer")
	resp = must[UpdatesResponse](t, other.reduce(UpdatesRequested{ReplyID: "u", Since: f.version()}))
	assert.Assert(t, !resp.Snapshot)
}

// Guards against a host that received its documents from a host with a snapshot and does not pass on the revision of that snapshot: hosts
// that missed a deletion would accept its confirmation that nothing newer is published.
func TestHostRelaysSignificantRevisionOfItsSource(t *testing.T) {
	f := newFixture(t)
	f.addFiveHosts()
	const listed = 40
	f.reduce(UpdatesRead{From: "host-1", Version: at(listed + 3), SignificantVersion: at(listed)})
	assert.Equal(t, f.state.documentSummary(f.now).SignificantVersion, at(listed))
	_, requested := f.receiveRevision("host-2", listed+1)
	assert.Assert(t, !requested)
}
