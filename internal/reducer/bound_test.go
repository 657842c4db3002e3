package reducer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// statusOf returns the status of one backend server.
func (f *fixture) statusOf(id string) (BackendStatus, Gauges) {
	v := must[StatusResponse](f.t, f.reduce(StatusRequested{ReplyID: "s"})).Status
	for _, b := range v.Backends {
		if b.ID == id {
			return b, v.Gauges
		}
	}
	f.t.Fatalf("no status of %s", id)
	return BackendStatus{}, Gauges{}
}

// leaveToOthers makes the five other hosts known until this host is no sender of a backend server that it returns.
func (f *fixture) leaveToOthers() *Backend {
	f.addFiveHosts()
	f.runWithPeers(5 * time.Second)
	for i := range 50 {
		id := "other-" + string(rune('a'+i))
		f.publishBackend(cataloguer.Backend{ID: id, Service: "desk", Address: "10.0.1.9:80", FailureDomain: "east", StartedUnixMs: 1, Slots: 6})
		if b := f.state.Backends[id]; !f.state.isSender(f.now, b) {
			return b
		}
	}
	f.t.Fatal("this host is a sender of every server")
	return nil
}

// makeCold gives the service of unary servers a cold start and takes a server for cold.
func (f *fixture) makeCold(id string, rate float64) {
	c := testCatalogue(7)
	c.Services[0].ColdDuration, c.Services[0].ColdRate = 3*time.Second, rate
	f.publish(cataloguer.Document{Key: "c", Kind: cataloguer.KindCatalogue, Raw: []byte("c7"), Catalogue: c})
	b := f.state.Backends[id]
	b.ColdAssumedAt = f.now
	f.state.noteColdStart(f.now, b, f.now, coldJoined)
}

// Guards against a cold server whose senders the status leaves out.
func TestStatusShowsTheSendersOfAColdServer(t *testing.T) {
	f := newFixture(t)
	f.makeCold("desk-1", 4)
	cold, gauges := f.statusOf("desk-1")
	assert.DeepEqual(t, cold.BoundStatus, BoundStatus{Sender: true, SendPerSecond: 1, Senders: []string{"host-a"}})
	assert.Equal(t, cold.State, "cold")
	assert.Equal(t, gauges.BackendsCold, 1)
}

// Guards against a cold server that is left to others and shown as if this host could send there soon.
func TestWhereHoldsRequestsFromAColdServerThatIsLeftToOthers(t *testing.T) {
	f := newFixture(t)
	b := f.leaveToOthers()
	f.makeCold(b.Info.ID, 7)
	w := f.where(WhereQuery{HostName: "h", Path: "/safe/x", Account: "acme"})
	for _, c := range w.Candidates {
		if c.Backend == b.Info.ID {
			assert.Equal(t, c.Held, "cold")
			assert.Equal(t, c.HeldMs, 3000.0)
			assert.Assert(t, !c.Sender)
			assert.DeepEqual(t, c.Senders, f.state.senders(f.now, b))
			return
		}
	}
	t.Fatal("the server is not among the candidates")
}

// Guards against requests that a cold start keeps from a server and that no counter shows.
func TestRequestsThatAColdStartHoldsAreCounted(t *testing.T) {
	f := newFixture(t)
	f.arrive("1", "/safe/x", "secret")
	assert.Equal(t, f.state.Counters.ColdHeld, uint64(0))
	f.makeCold("desk-1", 1)
	f.makeCold("desk-2", 1)
	f.arrive("2", "/safe/x", "secret")
	assert.Equal(t, f.state.Counters.ColdHeld, uint64(2))
}
