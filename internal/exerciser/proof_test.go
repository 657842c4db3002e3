package exerciser

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/internal/exampler"
	"github.com/redwingpick/redwingpick/internal/reducer"
	"github.com/redwingpick/redwingpick/internal/selector"
	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// quiet returns a fleet on a good network.
func quiet(seed uint64) *World[selector.Adaptive] {
	options := soakOptions(seed)
	options.DropShare = 0
	options.DoubleShare = 0
	options.LateShare = 0
	w := New[selector.Adaptive](options)
	w.Callers.Retries = 6
	return w
}

func holderOf(w *World[selector.Adaptive], right reducer.Right) *Host {
	for _, h := range w.Hosts {
		holding, ok := h.State.Leases.Holdings[right]
		if ok && h.Up && !holding.HeldSince.IsZero() && w.localTime(h).Before(holding.ValidUntil) {
			return h
		}
	}
	return nil
}

// TestProofVoterSilence restarts every voter while a cut-off holder still counts on its lease, and names another candidate.
func TestProofVoterSilence(t *testing.T) {
	for seed := uint64(1); seed <= 4; seed++ {
		w := quiet(2*seed - 1)
		w.Run(12 * time.Second)
		right := reducer.Right{Kind: reducer.KindBackend, Name: "stitch-models-1", Region: "bengal"}
		holder := holderOf(w, right)
		assert.Assert(t, holder != nil)
		list := cataloguer.Shard{Name: "host_list", HostList: &cataloguer.HostList{}}
		for _, h := range w.Hosts {
			if h != holder {
				list.HostList.Live = append(list.HostList.Live, h.ID)
				w.Cut(h.ID, holder.ID)
			}
		}
		w.Cut(holder.ID, "platform")
		w.Publish(list)
		for _, h := range w.Hosts {
			if h != holder {
				w.Kill(h)
				w.StartHost(h)
			}
		}
		w.Run(10 * time.Second)
		assert.DeepEqual(t, w.Finish(), []string(nil))
		next := holderOf(w, right)
		assert.Assert(t, next != nil && next != holder)
	}
}

// TestProofRateUnderKills floods accounts while their keepers are killed, drained and cut off.
func TestProofRateUnderKills(t *testing.T) {
	for seed := uint64(1); seed <= 4; seed++ {
		w := quiet(2*seed - 1)
		d := exampler.Sutokatha()
		load := &Workload{Rate: map[string]float64{}, Skew: 1, Timeout: 5 * time.Second, ServiceShare: 1, Service: d.Services, PromptTokens: 1, MaxTokens: 1}
		for _, a := range d.Accounts[2:] {
			load.Rate[a.ID] = 3 * a.Rate / 10
		}
		w.Run(20 * time.Second)
		w.Begin(load, w.Now.Add(40*time.Second))
		for i := range 8 {
			w.Run(5 * time.Second)
			keeper := holderOf(w, reducer.Right{Kind: reducer.KindAccount, Name: d.Accounts[2+i%3].ID, Region: d.Region})
			if keeper == nil {
				continue
			}
			switch i % 3 {
			case 0:
				w.Trouble(FaultCutPart, 4*time.Second)
			case 1:
				w.troubleKill(keeper, 3*time.Second)
			case 2:
				w.troubleDrain(keeper, 3*time.Second)
			}
		}
		w.Run(20 * time.Second)
		assert.DeepEqual(t, w.Finish(), []string(nil))
	}
}

// TestProofAtMostOnceThroughOtherHosts sends a call again under its permit through every host.
func TestProofAtMostOnceThroughOtherHosts(t *testing.T) {
	w := quiet(1)
	w.Run(15 * time.Second)
	d := exampler.Sutokatha()
	account := d.Accounts[0]
	issuer := w.Hosts[0]
	permit := issuer.State.Self.HostID + ".none.1"
	first := &Call{Account: account.ID, KeyDigest: account.Keys[0].Digest, Service: d.Services, Timeout: 10 * time.Second}
	w.Send(first)
	w.Run(3 * time.Second)
	assert.Equal(t, first.Outcome, reducer.OutcomeDone)
	for _, h := range w.Hosts {
		again := &Call{ID: "again-" + h.ID, Account: account.ID, KeyDigest: account.Keys[0].Digest, Service: d.Services, Permit: first.Permit}
		w.connect(again, []string{h.ID})
		w.Run(2 * time.Second)
		assert.Equal(t, again.Outcome, reducer.OutcomeUnknown)
		assert.Equal(t, again.Reason, reducer.ReasonPermitSpent)
	}
	forged := &Call{ID: "forged", Account: account.ID, KeyDigest: account.Keys[0].Digest, Service: d.Services, Permit: permit}
	w.connect(forged, []string{w.Hosts[1].ID})
	w.Run(2 * time.Second)
	assert.Equal(t, forged.Reason, reducer.ReasonPermitUnknown)
	assert.Equal(t, w.Checks.permits[first.Permit], 1)
	assert.Equal(t, w.Checks.permits[permit], 0)
}

// TestProofIsolatedHostStopsKeyedRoutes cuts a host off from the platform and from all peers.
func TestProofIsolatedHostStopsKeyedRoutes(t *testing.T) {
	w := quiet(1)
	w.Run(15 * time.Second)
	alone := w.Hosts[0]
	w.Cut(alone.ID, "platform")
	for _, h := range w.Hosts[1:] {
		w.Cut(alone.ID, h.ID)
	}
	w.Run(8 * time.Second)
	w.Callers.Retries = 0
	call := &Call{Account: "hotels", KeyDigest: exampler.Sutokatha().Accounts[0].Keys[0].Digest, Model: "adapter-00000", PromptTokens: 1, MaxTokens: 1}
	w.connect(call, []string{alone.ID})
	w.Run(2 * time.Second)
	assert.Equal(t, call.Outcome, reducer.OutcomeNotRun)
	assert.Equal(t, call.Reason, reducer.ReasonIsolated)
}

// TestProofServiceGoesOnWhenAllLoseThePlatform takes the platform down for a minute, with a host that restarts meanwhile.
func TestProofServiceGoesOnWhenAllLoseThePlatform(t *testing.T) {
	w := quiet(1)
	w.Run(20 * time.Second)
	w.SetDown(true)
	w.Run(30 * time.Second)
	w.Kill(w.Hosts[2])
	w.StartHost(w.Hosts[2])
	w.Run(10 * time.Second)
	assert.Assert(t, w.Hosts[2].State.Ready)
	load := soakLoad(1)
	load.Skew = 3
	load.ShiftEvery = 0
	before := len(w.Callers.Calls)
	w.Begin(load, w.Now.Add(20*time.Second))
	w.Run(40 * time.Second)
	for _, c := range w.Callers.Calls[before:] {
		assert.Equal(t, c.Outcome, reducer.OutcomeDone, "%s %s", c.ID, c.Reason)
	}
	assert.DeepEqual(t, w.Finish(), []string(nil))
}

// TestProofBadShardKeepsTheOldOne publishes a shard that every host refuses.
func TestProofBadShardKeepsTheOldOne(t *testing.T) {
	w := quiet(1)
	w.Run(10 * time.Second)
	w.Platform.Faults = map[string]bool{"accounts": true}
	bad := w.Shard("accounts")
	bad.ClientAccounts = nil
	revision := w.Publish(bad)
	w.Run(4 * time.Second)
	for _, h := range w.Hosts {
		assert.Equal(t, len(h.State.Config.Accounts), len(exampler.Sutokatha().Accounts), h.ID)
		assert.Assert(t, h.State.Config.Revision >= revision, h.ID)
	}
}

// TestProofChangeInForceWithinBound takes the bound from the target: 4 s.
func TestProofChangeInForceWithinBound(t *testing.T) {
	for seed := uint64(1); seed <= 6; seed++ {
		w := New[selector.Adaptive](soakOptions(seed))
		w.Run(10 * time.Second)
		revision := w.Publish(w.Shard("services"))
		w.Run(4 * time.Second)
		for _, h := range w.Hosts {
			assert.Assert(t, h.State.Config.Revision >= revision, "seed %d: %s", seed, h.ID)
		}
	}
}

// TestProofNoEvictionUnderPressure gives engines two slots and many adapters, so that the oldest is mostly in use.
func TestProofNoEvictionUnderPressure(t *testing.T) {
	options := soakOptions(1)
	fleet := options.Shards[0]
	fleet.BackendServers = append([]cataloguer.BackendServer(nil), fleet.BackendServers...)
	for i := range fleet.BackendServers {
		fleet.BackendServers[i].AdapterSlots = min(fleet.BackendServers[i].AdapterSlots, 2)
	}
	options.Shards[0] = fleet
	w := New[selector.Adaptive](options)
	load := soakLoad(1)
	load.MaxTokens = 150
	load.ServiceShare = 0
	w.Run(10 * time.Second)
	w.Begin(load, w.Now.Add(40*time.Second))
	for i := range 6 {
		w.Run(6 * time.Second)
		w.Trouble([]Fault{FaultKillHost, FaultDrainHost, FaultPauseHost}[i%3], 4*time.Second)
	}
	w.Run(40 * time.Second)
	assert.DeepEqual(t, w.Finish(), []string(nil))
}

// TestProofDomainOfHostsLost kills all hosts of one failure domain at once; every right finds a holder again.
func TestProofDomainOfHostsLost(t *testing.T) {
	for seed := uint64(1); seed <= 4; seed++ {
		w := quiet(seed)
		w.Run(15 * time.Second)
		lost := w.Hosts[0].FailureDomain
		var up *Host
		for _, h := range w.Hosts {
			if h.FailureDomain == lost {
				w.Kill(h)
			} else {
				up = h
			}
		}
		w.Run(15 * time.Second)
		for _, r := range up.State.RegionRights() {
			assert.Assert(t, holderOf(w, r) != nil, "seed %d: %v has no holder", seed, r)
		}
		assert.DeepEqual(t, w.Finish(), []string(nil))
	}
}

// TestProofWithdrawnGetsNoWork takes a failure domain and then a backend server out for long under load.
func TestProofWithdrawnGetsNoWork(t *testing.T) {
	for seed := uint64(1); seed <= 2; seed++ {
		w := quiet(seed)
		load := soakLoad(seed)
		load.Skew = 2
		w.Run(15 * time.Second)
		w.Begin(load, w.Now.Add(80*time.Second))
		w.Run(5 * time.Second)
		w.setDomain(0, cataloguer.StateWithdrawn)
		w.Run(30 * time.Second)
		w.setDomain(0, cataloguer.StateInService)
		w.publishServerState(0, cataloguer.StateLeaving)
		w.Run(30 * time.Second)
		w.publishServerState(0, cataloguer.StateInService)
		w.Run(50 * time.Second)
		assert.DeepEqual(t, w.Finish(), []string(nil))
	}
}

// TestProofRosterChange takes a host out of the roster while a part of the fleet is cut off and still has the old one.
func TestProofRosterChange(t *testing.T) {
	for seed := uint64(1); seed <= 6; seed++ {
		w := quiet(seed)
		load := soakLoad(seed)
		load.Skew = 2
		w.Run(15 * time.Second)
		w.Begin(load, w.Now.Add(50*time.Second))
		w.Trouble(FaultCutPart, 8*time.Second)
		before := w.Shard("fleet")
		after := before
		after.PreviousHosts = before.Hosts
		after.Hosts = before.Hosts[1:]
		w.Publish(after)
		w.Run(20 * time.Second)
		gone := w.Host(before.Hosts[0].ID)
		assert.DeepEqual(t, w.Finish(), []string(nil))
		w.Drain(gone)
		w.Run(20 * time.Second)
		settled := after
		settled.PreviousHosts = nil
		w.Publish(settled)
		w.Run(50 * time.Second)
		assert.DeepEqual(t, w.Finish(), []string(nil))
		for _, r := range w.Host(after.Hosts[0].ID).State.RegionRights() {
			holder := holderOf(w, r)
			assert.Assert(t, holder != nil && holder != gone, "seed %d: %v", seed, r)
		}
	}
}
