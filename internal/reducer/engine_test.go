package reducer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// engineCatalogue returns testCatalogue with a service of engines and a route to it.
func engineCatalogue() *cataloguer.Catalogue {
	c := testCatalogue(2)
	c.Services = append(c.Services, cataloguer.Service{Name: "engines", Engine: &cataloguer.Engine{
		Slots: 64, KVCacheTokens: 200_000, AdapterSlots: 6, WeightMemoryMB: 66_000, LoadsPerSecond: 2,
		Models: []cataloguer.Model{{Name: "m", WeightsMB: 65_000, LoadDuration: time.Second}},
	}})
	c.Routes = append(c.Routes, cataloguer.Route{
		Name: "gen", HostName: "h", Prefix: "/gen/", RetryPolicy: cataloguer.RetryStream, Timeout: 5 * time.Second, LatencyTarget: time.Second,
		MaxAttempts: 1, TrafficSplit: []cataloguer.WeightedService{{Service: "engines", Weight: 1}},
	})
	return c
}

// engine returns the published entry of an engine with the given adapters.
func engine(id string, adapters ...string) cataloguer.Backend {
	b := cataloguer.Backend{ID: id, Service: "engines", Address: "10.0.2.1:80", FailureDomain: "east", StartedUnixMs: 1, Slots: 64}
	resident := cataloguer.ResidentModel{Model: "m"}
	for _, a := range adapters {
		resident.Adapters = append(resident.Adapters, cataloguer.Adapter{Name: a})
	}
	b.Models = []cataloguer.ResidentModel{resident}
	return b
}

// generate delivers a request for an adapter to the engines.
func (f *fixture) generate(id, adapter string) []Effect {
	return f.reduce(RequestArrived{
		ID: id, CallerID: id, At: f.now, HostName: "h", Path: "/gen/x", Key: "secret", Model: "m", Adapter: adapter,
		PromptTokens: 1000, OutputTokens: 10, TimeLeft: 5 * time.Second,
	})
}

func TestPublishedAdapterIsUsedWithoutALeaseHolder(t *testing.T) {
	f := newFixture(t)
	// The seeds name another host that is unreachable, so this host claims no leases.
	f.state.Self.Seeds = []string{"10.0.0.9:81"}
	f.publish(cataloguer.Document{Key: "c", Kind: cataloguer.KindCatalogue, Raw: []byte("c"), Catalogue: engineCatalogue()})
	for _, id := range []string{"e1", "e2", "e3", "e4", "e5"} {
		f.publishBackend(engine(id))
	}
	f.publishBackend(engine("e6", "a7"))
	assert.Equal(t, must[Dispatch](t, f.generate("1", "a7")).Backend, "e6")
	_, sent := find[Dispatch](f.generate("2", "a8"))
	assert.Assert(t, !sent)
	f.reduce(DispatchEnded{ID: "1", Backend: "e6", Attempt: 1, Outcome: OutcomeNotLoaded})
	_, sent = find[Dispatch](f.generate("3", "a7"))
	assert.Assert(t, !sent, "a request has found that the adapter is absent")
}

// TestQueuedRequestUsesAVersionDeclaredMeanwhile covers a request that waits for capacity while a newer adapter version is declared:
// with the version of its arrival it would be rejected wherever the newer one has been loaded.
func TestQueuedRequestUsesAVersionDeclaredMeanwhile(t *testing.T) {
	f := newFixture(t)
	f.publish(cataloguer.Document{Key: "c", Kind: cataloguer.KindCatalogue, Raw: []byte("c"), Catalogue: engineCatalogue()})
	_, sent := find[Dispatch](f.generate("1", "a1"))
	assert.Assert(t, !sent, "there is no engine yet")
	f.publish(cataloguer.Document{
		Key: "v", Kind: cataloguer.KindAdapterVersion, Raw: []byte("v"), AdapterVersion: &cataloguer.AdapterVersion{Model: "m", Adapter: "a1", Version: 3},
	})
	e := engine("e1", "a1")
	e.Models[0].Adapters[0].Version = 3
	assert.Equal(t, must[Dispatch](t, f.publishBackend(e)).Version, int64(3))
}

// TestOrderWithoutAResponseKeepsItsSlotUntilALaterReport covers an order that the backend server carries out late, after it has made a
// report that was requested before the order timed out. If that report freed the slot, the slot would be assigned a second time.
func TestOrderWithoutAResponseKeepsItsSlotUntilALaterReport(t *testing.T) {
	f := newFixture(t)
	f.publish(cataloguer.Document{Key: "c", Kind: cataloguer.KindCatalogue, Raw: []byte("c"), Catalogue: engineCatalogue()})
	f.publishBackend(engine("e1"))
	report := must[ReadReport](t, f.advance(3*time.Second))
	f.reduce(BackendReported{Backend: "e1", StartedUnixMs: report.StartedUnixMs, RequestedAt: f.now})
	order := must[OrderAdapter](t, f.generate("1", "a1"))
	f.advance(700 * time.Millisecond)
	requestedAt := f.now
	f.advance(100 * time.Millisecond)
	f.reduce(OrderEnded{Backend: "e1", StartedUnixMs: order.StartedUnixMs, Adapter: order.Adapter, Result: OrderUnknown})
	f.reduce(BackendReported{Backend: "e1", StartedUnixMs: report.StartedUnixMs, RequestedAt: requestedAt})
	assert.Equal(t, len(f.state.Leases["e1"].Inventory.Entries), 1)
}

// TestDroppedBackendIsSentNoOrder guards against an order to a backend server that is deleted in the same step. The check of orders ended
// the process on such an order.
func TestDroppedBackendIsSentNoOrder(t *testing.T) {
	f := newFixture(t)
	f.publish(cataloguer.Document{Key: "c", Kind: cataloguer.KindCatalogue, Raw: []byte("c"), Catalogue: engineCatalogue()})
	f.publishBackend(engine("e1"))
	report := must[ReadReport](t, f.advance(3*time.Second))
	f.reduce(BackendReported{Backend: "e1", StartedUnixMs: report.StartedUnixMs, RequestedAt: f.now})
	f.state.Leases["e1"].Inventory.NextOrderAt = f.now.Add(10 * time.Millisecond)
	_, ordered := find[OrderAdapter](f.generate("1", "a1"))
	assert.Assert(t, !ordered)
	f.state.Backends["e1"].RemovedAt, f.state.Backends["e1"].Expired = f.now.Add(-expiredEntryTTL), true
	f.state.Removed["e1"] = true
	_, ordered = find[OrderAdapter](f.advance(50 * time.Millisecond))
	assert.Assert(t, !ordered)
	_, known := f.state.Backends["e1"]
	assert.Assert(t, !known)
}

func TestEmptyEngineLoadsItsModelWithinTheQuota(t *testing.T) {
	f := newFixture(t)
	f.publish(cataloguer.Document{Key: "c", Kind: cataloguer.KindCatalogue, Raw: []byte("c"), Catalogue: engineCatalogue()})
	empty := engine("e1")
	empty.Models = nil
	f.publishBackend(empty)
	effects := f.advance(3 * time.Second)
	report := must[ReadReport](t, effects)
	effects = append(f.reduce(BackendReported{Backend: "e1", StartedUnixMs: report.StartedUnixMs, RequestedAt: f.now}), f.advance(200*time.Millisecond)...)
	order := must[OrderAdapter](t, effects)
	assert.DeepEqual(t, order.Adapter, AdapterKey{Model: "m"})
	assert.Assert(t, order.Fence > 0 && order.NotAfter.After(f.now))
	_, sent := find[Dispatch](f.generate("1", ""))
	assert.Assert(t, !sent, "the model is not resident on the only engine")
}

// TestPartitionedHostAcquiresNoLease covers a partition that outlasts the time for which unreachable hosts count elsewhere: the host
// on the minority side must not act as if it were the whole fleet.
func TestPartitionedHostAcquiresNoLease(t *testing.T) {
	f := newFixture(t)
	f.publish(cataloguer.Document{Key: "c", Kind: cataloguer.KindCatalogue, Raw: []byte("c"), Catalogue: engineCatalogue()})
	f.publishBackend(engine("e1"))
	f.addFiveHosts()
	f.state.Leases = map[string]*Lease{}
	for range 12 {
		f.advance(time.Second)
		f.reduce(ConfigRead{RequestedAt: f.now, Version: f.version()})
	}
	assert.Assert(t, !f.state.holdsLease(f.now, "e1"))
}

func TestDelayedReleaseDoesNotEndALaterLeaseGrant(t *testing.T) {
	f := newFixture(t)
	claim := func(from string, sent time.Duration) bool {
		m := LeaseRequest{SentAtUptime: sent, Claims: []Claim{{Backend: "e1", Term: 5, VotersDigest: votersDigest([]string{"host-a"})}}}
		effects := f.reduce(PeerReceived{From: from, Incarnation: 1, Messages: []Message{HostRecord{ID: from, Incarnation: 1, Heartbeat: 1, PeerAddress: from}, m}})
		for _, reply := range must[SendPeer](f.t, effects).Messages {
			if v, ok := reply.(LeaseReply); ok {
				return v.Votes[0].Granted
			}
		}
		return false
	}
	assert.Assert(t, claim("host-b", 10*time.Second))
	f.reduce(PeerReceived{From: "host-b", Incarnation: 1, Messages: []Message{
		LeaseRelease{SentAtUptime: 9 * time.Second, Backends: []string{"e1"}},
	}})
	assert.Assert(t, !claim("host-c", time.Second), "the grant to host-b is still valid")
	assert.Assert(t, !claim("host-b", 8*time.Second), "an older request does not count")
	f.reduce(PeerReceived{From: "host-b", Incarnation: 1, Messages: []Message{
		LeaseRelease{SentAtUptime: 11 * time.Second, Backends: []string{"e1"}},
	}})
	assert.Assert(t, !claim("host-c", 2*time.Second), "the term must grow with the holder")
}

func TestRefusalAfterAnAttemptThatMayHaveRunSaysSo(t *testing.T) {
	f := newFixture(t)
	first := must[Dispatch](t, f.arrive("1", "/safe/x", "secret"))
	second := must[Dispatch](t, f.reduce(DispatchEnded{ID: "1", Backend: first.Backend, Attempt: 1, Outcome: OutcomeBroken}))
	f.state.Services["desk"].RetryBudget.Level = 0
	refusal := must[Refuse](t, f.reduce(DispatchEnded{ID: "1", Backend: second.Backend, Attempt: 2, Outcome: OutcomeFull}))
	assert.Assert(t, refusal.MayHaveRun)
	assert.Equal(t, refusal.Reason, ReasonBroken)
}
