package reducer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// Pattern: all hosts have restarted under load, and no adapter can be ordered for some seconds. Guards against callers waiting for nothing,
// and against all of them coming back before their adapters can be loaded, since they come back only once.
func TestCallersReturnOnceAdaptersCanBeOrderedAfterAStartOfAllHosts(t *testing.T) {
	f := newFixture(t)
	c := testCatalogue(2)
	c.Routes = append(c.Routes, cataloguer.Route{
		Name: "stream", HostName: "h", Prefix: "/stream/", RetryPolicy: cataloguer.RetryStream, Timeout: 5 * time.Second,
		LatencyTarget: time.Second, MaxAttempts: 1, Anonymous: true, TrafficSplit: []cataloguer.WeightedService{{Service: "engines", Weight: 1}},
	})
	c.Services = append(c.Services, cataloguer.Service{Name: "engines", Engine: &cataloguer.Engine{Slots: 4, AdapterSlots: 2}})
	f.publish(cataloguer.Document{Key: "c", Kind: cataloguer.KindCatalogue, Raw: []byte("c"), Catalogue: c})
	f.publishBackend(cataloguer.Backend{
		ID: "engine", Service: "engines", Address: "10.0.1.2:80", StartedUnixMs: 1, Models: []cataloguer.ResidentModel{{Model: "m"}},
	})
	arrive := func(id string) []Effect {
		return f.reduce(RequestArrived{ID: id, CallerID: id, At: f.now, HostName: "h", Path: "/stream/", Model: "m", Adapter: "a1", TimeLeft: 5 * time.Second})
	}
	f.state.Self.StartedAt = f.now.Add(-600 * time.Millisecond)
	f.state.Membership, f.state.Leases = Membership{}, map[string]*Lease{}
	refusal := must[Refuse](t, arrive("before the bootstrap"))
	assert.Equal(t, refusal.Reason, ReasonNotLoaded)
	assert.Equal(t, refusal.RetryAfter, bootstrapAfter-600*time.Millisecond+f.state.propagationDelay()+reportLag)
	f.state.Membership.VotersKnownAt = f.now
	refusal = must[Refuse](t, arrive("after it"))
	assert.Equal(t, refusal.RetryAfter, f.state.propagationDelay()+reportLag)
	f.now = f.now.Add(f.state.propagationDelay() + reportLag - 100*time.Millisecond)
	_, refused := find[Refuse](arrive("just before the first order"))
	assert.Assert(t, !refused)
}
