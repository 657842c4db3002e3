package reducer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// eraFixture returns a host that has read everything in era 1.
func eraFixture(t *testing.T) *fixture {
	f := newFixture(t)
	f.era = 1
	f.list(f.catalogueItem(1, 1), f.deskItem("desk-1", 2), f.deskItem("desk-2", 3))
	assert.Equal(t, f.state.Documents.Version, cataloguer.Version{Era: 1, Revision: f.revision})
	assert.Equal(t, f.state.Counters.EraReturns, uint64(0), "a service that begins to state its era has not returned")
	return f
}

// list delivers a list of all items in the fixture's era.
func (f *fixture) list(items ...cataloguer.Document) []Effect {
	return f.reduce(ConfigRead{RequestedAt: f.now, Snapshot: true, Era: f.era, Version: f.version(), Documents: items})
}

func (f *fixture) catalogueItem(revision, number int64) cataloguer.Document {
	return cataloguer.Document{Key: "c", Kind: cataloguer.KindCatalogue, Raw: []byte{byte(number)}, Catalogue: testCatalogue(number),
		Version: cataloguer.Version{Era: f.era, Revision: revision}}
}

func (f *fixture) deskItem(id string, revision int64) cataloguer.Document {
	b := cataloguer.Backend{ID: id, Service: "desk", Address: "10.0.1.1:80", FailureDomain: "east", StartedUnixMs: 1, Slots: 6}
	return cataloguer.Document{Key: "b/" + id, Kind: cataloguer.KindBackend, Name: id, Raw: []byte(id), Backend: &b,
		Version: cataloguer.Version{Era: f.era, Revision: revision}}
}

// returnFromCopy makes the fixture's service come back at a revision, and delivers the failed watch that states the new era.
func (f *fixture) returnFromCopy(revision int64) {
	since := f.state.Documents.Version
	f.era, f.revision = f.era+1, revision
	f.reduce(ConfigRead{RequestedAt: f.now, Expired: true, Era: f.era, Since: since})
	assert.Assert(f.t, f.state.Watch.ListNext, "a host that learns of a new era does not list all items")
}

// Guards against a host that falls back to the copy's catalogue, or does not take the next one because its revision is lower.
func TestCatalogueOfBeforeTheReturnHolds(t *testing.T) {
	f := eraFixture(t)
	f.revision = 50
	f.reduce(ConfigRead{RequestedAt: f.now, Era: 1, Since: f.state.Documents.Version, Version: f.version(), Documents: []cataloguer.Document{f.catalogueItem(50, 5)}})
	f.returnFromCopy(10)
	f.list(f.catalogueItem(1, 1), f.deskItem("desk-1", 2), f.deskItem("desk-2", 3))
	assert.Equal(t, f.state.Documents.Catalogue.Version, int64(5))
	assert.Equal(t, f.state.Counters.EraReturns, uint64(1))

	f.revision = 12
	f.reduce(ConfigRead{RequestedAt: f.now, Era: 2, Since: cataloguer.Version{Era: 2, Revision: 10}, Version: f.version(),
		Documents: []cataloguer.Document{f.catalogueItem(11, 5), f.catalogueItem(12, 6)}})
	assert.Equal(t, f.state.Documents.Catalogue.Version, int64(6))
}

// Guards against servers that are gone at once because the copy lacks them, and against ones that stay although nothing writes them again.
func TestMissingEntriesStayUntilTheyAreWrittenAgain(t *testing.T) {
	f := eraFixture(t)
	f.returnFromCopy(2)
	f.list(f.catalogueItem(1, 1))
	for _, id := range []string{"desk-1", "desk-2"} {
		assert.Assert(t, f.state.Backends[id].RemovedAt.IsZero(), id)
	}
	f.advance(time.Second)
	f.revision = 3
	f.reduce(ConfigRead{RequestedAt: f.now, Era: 2, Since: f.state.Documents.Version, Version: f.version(), Documents: []cataloguer.Document{f.deskItem("desk-1", 3)}})
	f.advance(5 * time.Second)
	assert.Assert(t, f.state.Backends["desk-2"].RemovedAt.IsZero(), "the hold ends while the service cannot be read")
	f.reduce(ConfigRead{RequestedAt: f.now, Era: 2, Since: f.state.Documents.Version, Version: f.version()})
	f.reduce(Tick{})
	assert.Assert(t, f.state.Backends["desk-1"].RemovedAt.IsZero())
	assert.Assert(t, !f.state.Backends["desk-2"].RemovedAt.IsZero() && !f.state.Backends["desk-2"].Expired, "a server that nobody has written again is used")
}

// Guards against a snapshot or an update of a host that is behind which deletes items, or brings older ones, on a host that is ahead.
func TestUpdatesOfAnOlderEraChangeNothing(t *testing.T) {
	f := eraFixture(t)
	f.returnFromCopy(10)
	f.list(f.catalogueItem(1, 1), f.deskItem("desk-1", 2), f.deskItem("desk-2", 3))
	before := f.state.Documents.Version
	old := f.catalogueItem(60, 9)
	old.Version.Era = 1
	for _, snapshot := range []bool{true, false} {
		f.reduce(UpdatesRead{From: "host-1", Snapshot: snapshot, Version: cataloguer.Version{Era: 1, Revision: 60},
			SignificantVersion: cataloguer.Version{Era: 1, Revision: 60}, Documents: []cataloguer.Document{old}})
	}
	assert.Equal(t, f.state.Documents.Catalogue.Version, int64(1))
	assert.Equal(t, f.state.Documents.Version, before)
	assert.Assert(t, f.state.Backends["desk-1"].RemovedAt.IsZero())
}

// Guards against answers of before the return that arrive after it, and against the rest of a watch from a revision of before it, whose changes skip
// those below.
func TestAnswersOfAnotherEraAreDropped(t *testing.T) {
	f := eraFixture(t)
	before := f.state.Documents.Version
	f.returnFromCopy(10)
	f.list(f.catalogueItem(1, 1), f.deskItem("desk-1", 2), f.deskItem("desk-2", 3))
	entered := f.state.Documents.Version
	old := f.catalogueItem(60, 9)
	old.Version.Era = 1
	f.reduce(ConfigRead{RequestedAt: f.now, Era: 1, Since: before, Version: cataloguer.Version{Era: 1, Revision: 60}, Documents: []cataloguer.Document{old}})
	f.reduce(ConfigRead{RequestedAt: f.now, Era: 2, Since: before, Version: cataloguer.Version{Era: 2, Revision: 70}, Documents: []cataloguer.Document{f.catalogueItem(70, 8)}})
	assert.Equal(t, f.state.Documents.Version, entered)
	assert.Equal(t, f.state.Documents.Catalogue.Version, int64(1))
	assert.Equal(t, f.state.Counters.OldAnswers, uint64(2))
}

// Guards against confirmations of a host that has not learned of the return, or that knows no eras.
func TestConfirmationOfAnotherEraDoesNotCount(t *testing.T) {
	f := eraFixture(t)
	f.addFiveHosts()
	f.advance(5 * time.Second)
	confirmed := f.state.Watch.ConfirmedAt
	for _, era := range []int64{0, 2} {
		f.era = era
		f.reduce(PeerReceived{From: "host-1", Reply: true, RequestedAt: f.now, Messages: []Message{
			DocumentSummary{SignificantVersion: cataloguer.Version{Era: era, Revision: 1}},
		}})
		assert.Equal(t, f.state.Watch.ConfirmedAt, confirmed, "era %d", era)
	}
}

// Guards against a host in the first era, whose number is 0, that is answered as if it were in the era of the host that it asks, and asks without end.
func TestHostOfAnEarlierEraGetsASnapshot(t *testing.T) {
	f := eraFixture(t)
	behind := cataloguer.Version{Revision: f.revision + 40}
	resp := must[UpdatesResponse](t, f.reduce(UpdatesRequested{ReplyID: "u", Since: behind}))
	assert.Assert(t, resp.Snapshot)
	resp = must[UpdatesResponse](t, f.reduce(UpdatesRequested{ReplyID: "u", Since: behind, WithoutEra: true}))
	assert.Assert(t, !resp.Snapshot, "a host of an older build gets a snapshot each time")

	f.addFiveHosts()
	before := f.state.Documents.Version
	later := cataloguer.Version{Era: 2, Revision: 3}
	f.state.Hosts["host-1"].SignificantVersion = later
	_, again := find[ReadUpdates](f.reduce(UpdatesRead{From: "host-1", Version: later, SignificantVersion: later}))
	assert.Assert(t, !again, "changes that do not continue what the host has read are requested again at once")
	assert.Equal(t, f.state.Documents.Version, before)
}
