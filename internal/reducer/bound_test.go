package reducer

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/internal/cloner"
	"github.com/redwingpick/redwingpick/internal/ramper"
	"github.com/redwingpick/redwingpick/internal/throttler"
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

// leaveToOthers makes the five other hosts known, and returns a backend server of which this host is no sender once it has the bound.
func (f *fixture) leaveToOthers(bound func(b *Backend)) *Backend {
	f.addFiveHosts()
	f.runWithPeers(5 * time.Second)
	for i := range 50 {
		id := "other-" + string(rune('a'+i))
		f.publishBackend(cataloguer.Backend{ID: id, Service: "desk", Address: "10.0.1.9:80", FailureDomain: "east", StartedUnixMs: 1, Slots: 6})
		b := f.state.Backends[id]
		if bound(b); !f.state.maySend(f.now, b) {
			return b
		}
	}
	f.t.Fatal("this host is a sender of every server")
	return nil
}

// namedShare returns the requests per second that a host which is alone may send to a server with a limit.
func namedShare(limit float64) float64 {
	return throttler.Divide[throttler.NamedLimit](limit, 1).Share
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

// Guards against a status that does not say what a server's limit is, who may send there and how much.
func TestStatusShowsTheNamedLimitAndItsSenders(t *testing.T) {
	f := newFixture(t)
	none, _ := f.statusOf("desk-1")
	assert.DeepEqual(t, none.BoundStatus, BoundStatus{})
	f.nameLimit("desk-1", limited(8))
	f.advance(1500 * time.Millisecond)
	own, gauges := f.statusOf("desk-1")
	assert.DeepEqual(t, own.BoundStatus, BoundStatus{
		LimitPerSecond: 8, LimitAgeMs: 1500, Sender: true, SendPerSecond: namedShare(8), Senders: []string{"host-a"},
	})
	assert.Equal(t, own.State, "limited")
	assert.Assert(t, own.Usable)
	assert.Equal(t, own.SendPerSecond, f.state.Backends["desk-1"].Throttle.Named.Bucket.Rate)
	assert.Equal(t, gauges.BackendsLimited, 1)
	assert.Equal(t, gauges.BackendsCold, 0)
	b := f.leaveToOthers(func(b *Backend) { f.state.recordRateLimit(f.now, b, limited(1)) })
	other, _ := f.statusOf(b.Info.ID)
	assert.DeepEqual(t, other.Senders, f.state.senders(f.now, b))
	assert.DeepEqual(t, other.BoundStatus, BoundStatus{LimitPerSecond: 1, Senders: other.Senders})
	assert.Assert(t, !other.Usable, "the server is left to its senders")
}

// Guards against a cold server whose senders the status leaves out, and a rate that is not the lower one of two bounds.
func TestStatusShowsTheSendersOfAColdServer(t *testing.T) {
	f := newFixture(t)
	f.makeCold("desk-1", 4)
	coldShare := throttler.Divide[throttler.ColdStart](4, 1).Share
	gates := f.state.Backends["desk-1"].Throttle
	cold, gauges := f.statusOf("desk-1")
	assert.DeepEqual(t, f.state.Backends["desk-1"].Throttle, gates)
	assert.DeepEqual(t, cold.BoundStatus, BoundStatus{Sender: true, SendPerSecond: coldShare, Senders: []string{"host-a"}})
	assert.Equal(t, cold.State, "cold")
	assert.Equal(t, gauges.BackendsCold, 1)
	for limit, rate := range map[float64]float64{2: namedShare(2), 400: coldShare} {
		f.state.recordRateLimit(f.now, f.state.Backends["desk-1"], limited(limit))
		both, gauges := f.statusOf("desk-1")
		assert.Equal(t, both.SendPerSecond, rate)
		assert.Equal(t, gauges.BackendsCold+gauges.BackendsLimited, 2)
	}
}

// Guards against an answer of where that hides a limit or a cold start, or takes a request from what the host may send.
func TestWhereShowsBoundsAndSpendsNothing(t *testing.T) {
	f := newFixture(t)
	f.nameLimit("desk-1", limited(4))
	f.makeCold("desk-2", 2)
	f.advance(100 * time.Millisecond)
	before := cloner.Clone(*f.state)
	held := map[string]WhereCandidate{}
	for range 2 {
		w := f.where(WhereQuery{HostName: "h", Path: "/safe/x", Account: "acme"})
		for _, c := range w.Candidates {
			held[c.Backend] = c
		}
	}
	assert.DeepEqual(t, before.Backends, f.state.Backends)
	assert.DeepEqual(t, before.Throttled, f.state.Throttled)
	assert.DeepEqual(t, before.Limited, f.state.Limited)
	assert.DeepEqual(t, before.Counters, f.state.Counters)
	assert.Equal(t, held["desk-1"].Held, "limited")
	assert.Equal(t, held["desk-1"].LimitPerSecond, 4.0)
	assert.Equal(t, held["desk-2"].Held, "cold")
	for id, c := range held {
		assert.Equal(t, c.HeldMs, inMs(f.state.throttleOpensIn(f.now, f.state.Backends[id])))
		assert.Assert(t, c.HeldMs > 0)
	}
	f.advance(time.Second)
	w := f.where(WhereQuery{HostName: "h", Path: "/safe/x", Account: "acme"})
	assert.Equal(t, w.Answer, WhereSent)
	assert.Equal(t, w.Backend, must[Dispatch](t, f.arrive("1", "/safe/x", "secret")).Backend)
}

// Guards against a server that is left to others and that where does not name, or counts among those without the adapter.
func TestWhereNamesTheSendersOfAServerThatIsLeftToThem(t *testing.T) {
	f := newFixture(t)
	b := f.leaveToOthers(func(b *Backend) { f.state.recordRateLimit(f.now, b, limited(1)) })
	w := f.where(WhereQuery{HostName: "h", Path: "/safe/x", Account: "acme"})
	assert.Equal(t, len(w.Excluded), 1)
	assert.Equal(t, w.Unranked, 0)
	excluded := w.Excluded[0]
	assert.Equal(t, excluded.Backend, b.Info.ID)
	assert.Equal(t, excluded.Why, "limited")
	assert.DeepEqual(t, excluded.Senders, f.state.senders(f.now, b))
	assert.Equal(t, excluded.LimitPerSecond, 1.0)
}

// Guards against requests that a bound keeps from a server and that no counter shows, or the wrong one.
func TestRequestsThatABoundHoldsAreCounted(t *testing.T) {
	for name, run := range map[string]struct {
		bound         func(f *fixture)
		cold, limited bool
	}{
		"cold":    {func(f *fixture) { f.makeCold("desk-1", 1); f.makeCold("desk-2", 1) }, true, false},
		"limited": {func(f *fixture) { f.limitAll(1) }, false, true},
		"both":    {func(f *fixture) { f.limitAll(1); f.makeCold("desk-1", 1); f.makeCold("desk-2", 1) }, true, false},
		"none":    {func(*fixture) {}, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			run.bound(f)
			f.arrive("1", "/safe/x", "secret")
			assert.Equal(t, f.state.Counters.ColdHeld > 0, run.cold)
			assert.Equal(t, f.state.Counters.LimitedHeld > 0, run.limited)
		})
	}
}

// limitAll names a limit for both unary servers.
func (f *fixture) limitAll(perSecond float64) {
	for _, id := range []string{"desk-1", "desk-2"} {
		f.state.recordRateLimit(f.now, f.state.Backends[id], limited(perSecond))
	}
}

// Guards against a cold server that is left to others and shown as if this host could send there soon.
func TestWhereHoldsRequestsFromAColdServerThatIsLeftToOthers(t *testing.T) {
	f := newFixture(t)
	b := f.leaveToOthers(func(b *Backend) { f.makeCold(b.Info.ID, 1) })
	f.state.Limits.Adaptive.Start = true
	f.state.beginSlowStart(f.now, f.now, b, ramper.ReasonReturned)
	assert.Assert(t, f.state.slowStartOpensIn(f.now, &Request{}, b) > 0)
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

// Guards against metrics whose names differ from those that docs/OPERATIONS.md tells operators to watch, and fields without a value in the status.
func TestNamesOfBoundsInMetricsAndStatus(t *testing.T) {
	for name, v := range map[string]any{
		`"cold_held_total":3,"limited_held_total":4,`:                 Counters{ColdHeld: 3, LimitedHeld: 4},
		`"rate_limit_changes_total":5,"rate_limit_faults_total":6,`:   Counters{RateLimitChanges: 5, RateLimitFaults: 6},
		`"backend_servers_cold":1,"backend_servers_limited":2,`:       Gauges{BackendsCold: 1, BackendsLimited: 2},
		`"limit_per_second":2,"limit_age_ms":5,"sender":true,`:        BackendStatus{BoundStatus: BoundStatus{LimitPerSecond: 2, LimitAgeMs: 5, Sender: true}},
		`"send_per_second":0.5,"senders":["a"]`:                       WhereExcluded{BoundStatus: BoundStatus{SendPerSecond: 0.5, Senders: []string{"a"}}},
		`{"backend_server":"e1","why":"limited","limit_per_second":1`: WhereExcluded{Backend: "e1", Why: "limited", BoundStatus: BoundStatus{LimitPerSecond: 1}},
		`{"backend_server":"e1","why":"cold"}`:                        WhereExcluded{Backend: "e1", Why: "cold"},
	} {
		data, err := json.Marshal(v)
		assert.NilError(t, err)
		assert.Assert(t, strings.Contains(string(data), name), "%s: %s", name, data)
	}
}
