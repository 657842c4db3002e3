package reducer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// coldCatalogue returns a catalogue whose unary service bounds the requests to cold servers.
func coldCatalogue(version int64) cataloguer.Document {
	c := testCatalogue(version)
	c.Services = []cataloguer.Service{{Name: "desk", MaxConnections: 96, ColdDuration: 3 * time.Second, ColdRate: 7}}
	return cataloguer.Document{Key: "c", Kind: cataloguer.KindCatalogue, Raw: []byte("c"), Catalogue: c}
}

// coldEntry returns the entry of desk-1 with the rest of a cold start.
func coldEntry(remaining time.Duration) cataloguer.Backend {
	return cataloguer.Backend{ID: "desk-1", Service: "desk", Address: "10.0.1.1:80", FailureDomain: "east", StartedUnixMs: 1, Slots: 6, ColdRemaining: remaining}
}

// withdrawal returns the document that withdraws a failure domain, or that ends the withdrawal.
func withdrawal(ended bool) cataloguer.Document {
	return cataloguer.Document{Key: "w/east", Kind: cataloguer.KindWithdrawnDomain, Name: "east", Raw: []byte("east"), Deleted: ended}
}

// passOn lets a host answer another host's request for updates, as peers do.
func passOn(t *testing.T, from, to *fixture) {
	t.Helper()
	to.now = from.now
	resp := must[UpdatesResponse](t, from.reduce(UpdatesRequested{Since: to.state.Documents.Revision}))
	to.state.Hosts["peer"] = &Host{Record: HostRecord{ID: "peer"}, LastHeartbeatAt: to.now}
	to.reduce(UpdatesRead{
		From: "peer", Documents: resp.Documents, Snapshot: resp.Snapshot, Revision: resp.Revision, SignificantRevision: resp.SignificantRevision,
	})
}

// cold reports whether a host takes desk-1 for cold.
func (f *fixture) cold() bool { return f.state.throttled(f.now, f.state.Backends["desk-1"]) }

// Guards against a server that is taken for warm when its failure domain is taken back, since its entry still tells of an earlier cold start.
func TestReturnedServerIsColdBeyondAnEarlierColdStart(t *testing.T) {
	f := newFixture(t)
	f.publish(coldCatalogue(2))
	f.publishBackend(coldEntry(3 * time.Second))
	f.publish(withdrawal(false))
	f.advance(2900 * time.Millisecond)
	f.publish(withdrawal(true))
	f.advance(1200 * time.Millisecond)
	assert.Assert(t, f.cold())
}
