package reducer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// hearWord brings a peer's word that nothing newer than this host knows was published; asked is when it was asked for, if it was.
func (f *fixture) hearWord(age time.Duration, asked time.Time) []Effect {
	word := DocumentSummary{Revision: f.state.Documents.SignificantRevision, ConfirmedAge: age}
	return f.reduce(PeerReceived{From: "host-1", Incarnation: 3, Messages: []Message{word}, ReplyID: "r", AskedAt: asked})
}

// An answer of the platform tells what was published when it was formed, not when this host gets round to it.
func TestLateAnswerOfThePlatformIsDatedFromWhenItWasAskedFor(t *testing.T) {
	f := newFixture(t)
	asked := f.now
	f.now = f.now.Add(5 * time.Second)
	f.reduce(PlatformRead{AskedAt: asked, Revision: f.revision})
	assert.Equal(t, f.state.Watch.ConfirmedAt, asked.Add(watchWait))

	f.now = f.now.Add(5 * time.Second)
	f.reduce(PlatformRead{AskedAt: asked.Add(time.Second), Snapshot: true, Revision: f.revision})
	assert.Equal(t, f.state.Watch.ConfirmedAt, asked.Add(time.Second))
}

// A word that came by itself may have waited anywhere; taken for new at each host, it would never grow old.
func TestWordOfAPeerCountsOnlyAsAnAnswerFromWhenItWasAskedFor(t *testing.T) {
	f := newFixture(t)
	f.addFiveHosts()
	before := f.state.Watch.ConfirmedAt
	f.advance(time.Second)
	f.hearWord(0, time.Time{})
	assert.Equal(t, f.state.Watch.ConfirmedAt, before)

	asked := f.now.Add(-400 * time.Millisecond)
	f.hearWord(100*time.Millisecond, asked)
	assert.Equal(t, f.state.Watch.ConfirmedAt, asked.Add(-100*time.Millisecond))
}

// A peer whose word is older than this host's must hear of the younger one, since it can take it from an answer alone.
func TestPeerWithAnOlderWordIsAnswered(t *testing.T) {
	f := newFixture(t)
	f.addFiveHosts()
	f.reduce(PlatformRead{AskedAt: f.now, Revision: f.revision})
	answer := must[SendPeer](t, f.hearWord(time.Second, time.Time{}))
	assert.Equal(t, answer.To, "host-1")
	assert.DeepEqual(t, answer.Messages, []Message{DocumentSummary{Revision: f.state.Documents.SignificantRevision}})

	_, answered := find[SendPeer](f.hearWord(0, time.Time{}))
	assert.Assert(t, !answered)
}

// hearRevision brings a peer's word on the highest revision that others need to know, and returns the revision from which it is asked.
func (f *fixture) hearRevision(from string, revision int64) (since int64, asked bool) {
	read, asked := find[ReadUpdates](f.reduce(PeerReceived{From: from, Incarnation: 3, Messages: []Message{DocumentSummary{Revision: revision, ConfirmedAge: 0}}}))
	return read.Since, asked
}

// Two hosts of which one read a backend server's entry first and one knew it already know the same, and must not ask each other.
func TestHostThatHasReadUpToARevisionAsksNobodyForIt(t *testing.T) {
	f := newFixture(t)
	f.addFiveHosts()
	desk := f.state.Backends["desk-1"].Info
	desk.AcceptedOrders = 7
	f.publishBackend(desk)
	assert.Assert(t, f.state.Documents.SignificantRevision < f.state.Documents.Revision, "its orders are nobody else's matter")
	_, asked := f.hearRevision("host-1", f.state.Documents.Revision)
	assert.Assert(t, !asked)
	since, asked := f.hearRevision("host-1", f.state.Documents.Revision+1)
	assert.Assert(t, asked)
	assert.Equal(t, since, f.state.Documents.Revision)
}

// An answer that brings nothing, or none, must not lead to the same call again, and news of another peer must not wait for it.
func TestAnswerWithoutNewsLeadsToNoCall(t *testing.T) {
	f := newFixture(t)
	f.addFiveHosts()
	news := f.state.Documents.Revision + 10
	_, asked := f.hearRevision("host-1", news)
	assert.Assert(t, asked)
	_, asked = f.hearRevision("host-2", news)
	assert.Assert(t, !asked, "host-1 is being asked")
	next := must[ReadUpdates](t, f.reduce(UpdatesRead{From: "host-1", Failed: true}))
	assert.Equal(t, next.From, "host-2")
	_, asked = find[ReadUpdates](f.reduce(UpdatesRead{From: "host-2", Revision: f.state.Documents.Revision}))
	assert.Assert(t, !asked)
}

// What a list shows of changes after its revision must come with the watch, which tells that they are news for others.
func TestChangesAfterTheRevisionOfAListWaitForTheWatch(t *testing.T) {
	f := newFixture(t)
	desk := f.state.Backends["desk-1"].Info
	desk.Draining = true
	later := cataloguer.Document{Key: "b/desk-1", Kind: cataloguer.KindBackend, Name: "desk-1", Backend: &desk, Raw: []byte("x"), Revision: f.revision + 1}
	list := []cataloguer.Document{later}
	for key, item := range f.state.Documents.Items {
		if key != later.Key {
			list = append(list, item.Document)
		}
	}
	f.reduce(PlatformRead{AskedAt: f.now, Snapshot: true, Revision: f.revision, Documents: list})
	b := f.state.Backends["desk-1"]
	assert.Assert(t, b.RemovedAt.IsZero() && !b.Info.Draining)
	assert.Equal(t, f.state.Documents.SignificantRevision, f.revision)

	f.reduce(PlatformRead{AskedAt: f.now, Revision: f.revision + 1, Documents: []cataloguer.Document{later}})
	assert.Assert(t, f.state.Backends["desk-1"].Info.Draining)
	assert.Equal(t, f.state.Documents.SignificantRevision, f.revision+1)
}

// A host that starts with a list knows nothing of what was removed before; a peer that asks it for later changes must be told all that there
// is, or would keep what was removed meanwhile (DRAIN: a backend server that left without a word was sent requests for seconds).
func TestHostThatHasListedTellsAllToPeersBehindItsList(t *testing.T) {
	f := newFixture(t)
	behind := f.state.Documents.Revision
	f.revision += 5
	list := []cataloguer.Document{f.state.Documents.Items["c"].Document}
	other := newFixture(t)
	other.state.Documents = newDocuments()
	other.reduce(PlatformRead{AskedAt: f.now, Snapshot: true, Revision: f.revision, Documents: list})
	answer := must[UpdatesResponse](t, other.reduce(UpdatesRequested{ReplyID: "u", Since: behind}))
	assert.Assert(t, answer.Snapshot)

	f.reduce(UpdatesRead{From: "host-1", Snapshot: answer.Snapshot, Revision: answer.Revision, SignificantRevision: answer.SignificantRevision, Documents: answer.Documents})
	assert.Assert(t, !f.state.Backends["desk-1"].RemovedAt.IsZero(), "it was removed before the peer's list")
	answer = must[UpdatesResponse](t, other.reduce(UpdatesRequested{ReplyID: "u", Since: f.revision}))
	assert.Assert(t, !answer.Snapshot)
}

// A host that has learned all from one that listed must tell the revision of that list, or others that missed a removal would take its
// word that nothing newer is published.
func TestHostTellsTheRevisionThatItsSourceTold(t *testing.T) {
	f := newFixture(t)
	f.addFiveHosts()
	const listed = 40
	f.reduce(UpdatesRead{From: "host-1", Revision: listed + 3, SignificantRevision: listed})
	assert.Equal(t, f.state.documentSummary(f.now).Revision, int64(listed))
	_, asked := f.hearRevision("host-2", listed+1)
	assert.Assert(t, !asked)
}
