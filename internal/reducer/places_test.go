package reducer

import (
	"math"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// newPlacesFixture returns a fixture with eight engines and Adaptive.Places.
func newPlacesFixture(t *testing.T) *fixture {
	f := newEngineFixture(t, 0)
	f.state.Limits.Adaptive.Places = true
	for i := range 8 {
		f.publishBackend(engine("e" + strconv.Itoa(i)))
	}
	return f
}

// Load: a message with figures that no sum of demands gives. Guards against an adapter that gets all replicas, or whose demand is no number.
func TestImpossibleDemandsAreIgnored(t *testing.T) {
	key := AdapterKey{Model: "m", Adapter: "a"}
	for _, work := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 1e300} {
		f := newPlacesFixture(t)
		f.reduce(PeerReceived{From: "b", Messages: []Message{BackendLoad{Backend: "e0", Demands: []AdapterDemand{{Adapter: key, Work: 30_000}}}}})
		f.reduce(PeerReceived{From: "b", Messages: []Message{BackendLoad{Backend: "e0", Demands: []AdapterDemand{{Adapter: key, Work: work}}}}})
		assert.Equal(t, f.state.Places.Demands.Work(f.now, key), 30_000.0, "%v", work)
	}
}

// Load: one caller states prompts that no engine can hold. Guards against a single request that gives an adapter many replicas for minutes, when it
// arrives or when an engine has refused it.
func TestDemandOfARequestIsBoundedByWhatAnEngineHolds(t *testing.T) {
	f := newPlacesFixture(t)
	f.publishBackend(engine("resident", "a"))
	d := must[Dispatch](t, f.reduce(RequestArrived{
		ID: "1", CallerID: "1", At: f.now, HostName: "h", Path: "/gen/x", Key: "secret", Model: "m", Adapter: "a", PromptTokens: 1 << 31,
		TimeLeft: 5 * time.Second,
	}))
	cache := f.state.engineOf(f.state.Backends["e0"]).KVCacheTokens
	for range 2 {
		demand := f.state.Places.Demands.ByKey[AdapterKey{Model: "m", Adapter: "a"}]
		assert.Assert(t, demand != nil && demand.Slow.PerSecond > 0)
		assert.Assert(t, demand.Slow.PerSecond <= float64(cache), "%.0f tokens/s", demand.Slow.PerSecond)
		f.now = f.now.Add(100 * time.Millisecond)
		f.reduce(DispatchEnded{ID: "1", Backend: d.Backend, Attempt: 1, Outcome: OutcomeFull})
	}
}

// Guards against a message on demands, which says nothing on the slow start of its server, making hosts forget how many they share that with.
func TestDemandsLeaveTheSendersOfAServer(t *testing.T) {
	f := newPlacesFixture(t)
	f.state.Limits.Adaptive.Start = true
	f.addFiveHosts()
	inv := newInventory()
	for _, host := range []string{"host-0", "host-1"} {
		inv.Usage[host] = &HostUsage{ReceivedAt: f.now}
	}
	f.state.outbox, f.state.outboxOrder = map[string][]Message{}, nil
	f.state.sendDemands(f.now, "host-0", "e0", &inv, []AdapterDemand{{Adapter: AdapterKey{Model: "m", Adapter: "a"}, Work: 1}})
	sent := f.state.outbox["host-1"]
	assert.Equal(t, len(sent), 1)
	assert.Equal(t, sent[0].(BackendLoad).Senders, 2)
}

// Load: a large fleet. Guards against messages on demands, whose load is summed once for all hosts, giving a host its own load as that of the
// others.
func TestDemandsCarryTheLoadOfTheOtherHosts(t *testing.T) {
	f := newPlacesFixture(t)
	f.addFiveHosts()
	inv := newInventory()
	for i := range 4 {
		inv.Usage["host-"+strconv.Itoa(i)] = &HostUsage{Running: 1 << i, Tokens: 10 << i, PrefillTokens: 100 << i, ReceivedAt: f.now}
	}
	inv.Usage["host-3"].ReceivedAt = f.now.Add(-time.Minute)
	f.state.outbox, f.state.outboxOrder = map[string][]Message{}, nil
	demands := []AdapterDemand{{Adapter: AdapterKey{Model: "m", Adapter: "a"}, Work: 1}}
	f.state.sendDemands(f.now, "host-0", "e0", &inv, demands)
	assert.Equal(t, len(f.state.outbox), 4)
	for host, messages := range f.state.outbox {
		expected := inv.loadFor(f.state, f.now, "e0", host)
		expected.Demands = demands
		assert.DeepEqual(t, messages, []Message{expected})
	}
}

// Guards against Adaptive.Places changing what engines are expected to do, or which ones a request may go to, while it is off.
func TestPlacementKeepsNothingWhileItIsOff(t *testing.T) {
	for _, pace := range []bool{false, true} {
		f := newPaceFixture(t, pace)
		f.publishBackend(engine("resident", "a"))
		key := AdapterKey{Model: "m", Adapter: "a"}
		f.reduce(PeerReceived{From: "b", Messages: []Message{BackendLoad{Backend: "resident", Demands: []AdapterDemand{{Adapter: key, Work: 1e6}}}}})
		d := must[Dispatch](t, f.generate("1", "a"))
		f.advance(6 * time.Second)
		f.reduce(DispatchEnded{ID: "1", Backend: d.Backend, Attempt: 1, Outcome: OutcomeDone, Status: 200})
		p := f.state.Places
		assert.Equal(t, len(p.Demands.ByKey)+len(p.Totals.ByKey)+len(p.Prefixes.ByHash)+len(p.Replicas)+len(p.Unreported), 0)
		assert.Equal(t, len(f.state.Index.AdapterRanks), 0)
		assert.Equal(t, f.state.Backends["resident"].PlaceWeight, 0.0)
	}
}

// Guards against rankings by service rates with Adaptive.Places alone, when no host knows any.
func TestRankingIsByHashWithoutPace(t *testing.T) {
	f := newPlacesFixture(t)
	f.state.Backends["e3"].PlaceWeight = 0.25
	f.advance(6 * time.Second)
	for i := range 50 {
		ranking := f.state.adapterRanking("engines", AdapterKey{Model: "m", Adapter: strconv.Itoa(i)})
		for rank, b := range ranking.Coordinators {
			assert.Equal(t, ranking.Order[rank].Info.ID, b.Info.ID)
		}
	}
}

// Guards against panics and expected delays below zero at a service without servers, and with adapters of an unknown model.
func TestPlacementWithoutEngines(t *testing.T) {
	f := newEngineFixture(t, 0)
	f.state.Limits.Adaptive.Places, f.state.Limits.Adaptive.Pace = true, true
	_, sent := find[Dispatch](f.generate("1", "a"))
	assert.Assert(t, !sent)
	f.publishBackend(cataloguer.Backend{ID: "bare", Service: "engines", Address: "10.0.2.1:80", StartedUnixMs: 1})
	_, sent = find[Dispatch](f.generate("2", "a"))
	assert.Assert(t, !sent)
	f.advance(10 * time.Second)
}
