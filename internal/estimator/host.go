package estimator

import (
	"fmt"
	"time"

	"github.com/redwingpick/redwingpick/internal/reducer"
	"github.com/redwingpick/redwingpick/internal/selector"
	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// warmHost returns a host alone in its fleet that owns one backend server with free slots and much credit.
func warmHost(adapters int, now time.Time) *reducer.State {
	size := Size{Hosts: 1, Backends: 1, Accounts: 10, Adapters: adapters}
	started := now.Add(-time.Minute)
	s := reducer.NewState(reducer.Self{HostID: "host-0000", Incarnation: 1, FailureDomain: domain(0), StartedAt: started}, reducer.DefaultLimits(), 1)
	for i, shard := range size.Shards() {
		rich(&shard)
		index := map[string]uint64{shard.Name: uint64(i + 1)}
		reduce(s, started, reducer.IndexRead{AskedAt: started, Shards: index})
		reduce(s, started, reducer.ShardRead{Name: shard.Name, Revision: uint64(i + 1), Shard: shard})
	}
	for at := started; at.Before(now); at = at.Add(50 * time.Millisecond) {
		reduce(s, at, reducer.IndexRead{AskedAt: at, Shards: map[string]uint64{"fleet": 1}})
		reduce(s, at, reducer.Tick{})
	}
	return s
}

// rich lifts the limits that the cost of a request does not depend on.
func rich(shard *cataloguer.Shard) {
	for i := range shard.ClientAccounts {
		shard.ClientAccounts[i].Rate = 1e9
		shard.ClientAccounts[i].Burst = 1e10
	}
	for i := range shard.BackendServers {
		shard.BackendServers[i].BaseModel = "base-0"
		shard.BackendServers[i].ColdRunning = 32
		shard.BackendServers[i].ChecksFencing = true
	}
	for i := range shard.Adapters {
		shard.Adapters[i].BaseModel = "base-0"
	}
	if shard.WeightStore != nil {
		shard.WeightStore.LoadsPerSecond = 1e6
		shard.WeightStore.MaxInFlight = 1000
	}
}

// reduce reduces an event and answers the effects that need one at once.
func reduce(s *reducer.State, now time.Time, event reducer.Event) {
	for _, e := range reducer.Reduce[selector.Adaptive](s, now, event) {
		switch f := e.(type) {
		case reducer.PollBackend:
			reduce(s, now, reducer.BackendReported{Backend: f.Backend, Incarnation: 1})
		case reducer.LoadAdapter:
			reduce(s, now, reducer.LoadEnded{
				Backend: f.Backend, BackendIncarnation: 1, Adapter: f.Adapter, PermitFrom: f.PermitFrom, PermitSequence: f.PermitSequence,
			})
		case reducer.Dispatch:
			reduce(s, now, reducer.DispatchEnded{
				ID: f.ID, Backend: f.Backend, BackendIncarnation: 1, Outcome: reducer.OutcomeDone, Tokens: 10, FirstTokenAfter: time.Millisecond,
			})
		}
	}
}

// runRequest takes one request through the host.
func runRequest(s *reducer.State, now time.Time, i int, model string) {
	if i%100 == 0 {
		reduce(s, now, reducer.IndexRead{AskedAt: now, Shards: map[string]uint64{"fleet": 1}})
		reduce(s, now, reducer.Tick{})
	}
	reduce(s, now, reducer.RequestArrived{
		ID: fmt.Sprintf("r-%d", i), KeyDigest: fmt.Sprintf("%064x", 1), Model: model, PromptTokens: 10, MaxTokens: 10,
	})
}
