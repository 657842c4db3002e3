package exerciser

import (
	"fmt"
	"time"

	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// Fault is one kind of trouble.
type Fault int

// Kinds of trouble; each ends after a while, or is undone by the next of its kind.
const (
	FaultKillHost Fault = iota
	FaultPauseHost
	FaultDrainHost
	FaultCutHosts
	FaultCutPart
	FaultCutBackend
	FaultPlatformDown
	FaultPlatformStale
	FaultRestartEngine
	FaultStopEngine
	FaultTurnCold
	FaultWithdrawDomain
	FaultWithdrawKey
	FaultLeaveBackend
	FaultNewVersion
	FaultStopService
	faultCount
)

// Trouble brings about one fault of a kind and undoes it after d.
func (w *World[P]) Trouble(kind Fault, d time.Duration) string {
	h := w.Hosts[w.random.IntN(len(w.Hosts))]
	switch kind {
	case FaultKillHost:
		return w.troubleKill(h, d)
	case FaultPauseHost:
		w.Pause(h, d)
		return "pause " + h.ID
	case FaultDrainHost:
		return w.troubleDrain(h, d)
	case FaultCutHosts:
		other := w.Hosts[w.random.IntN(len(w.Hosts))]
		return w.troubleCut(h.ID, other.ID, d)
	case FaultCutPart:
		return w.troublePart(d)
	case FaultCutBackend:
		return w.troubleCut(h.ID, w.randomEngine().ID, d)
	case FaultPlatformDown:
		w.SetDown(true)
		w.after(d, func() { w.SetDown(false) })
		return "platform down"
	case FaultPlatformStale:
		w.SetStale(true)
		w.after(d, func() { w.SetStale(false) })
		return "platform stale"
	}
	return w.troubleBackend(kind, d)
}

func (w *World[P]) troubleBackend(kind Fault, d time.Duration) string {
	engine := w.randomEngine()
	switch kind {
	case FaultRestartEngine:
		w.RestartEngine(engine)
	case FaultStopEngine:
		w.StopEngine(engine)
		w.after(d, func() { w.StartEngine(engine) })
	case FaultTurnCold:
		w.TurnCold(engine)
	case FaultStopService:
		service := w.Services[sortedIDs(w.Services)[w.random.IntN(len(w.Services))]]
		service.Up = false
		service.Incarnation++
		w.after(d, func() { service.Up = true })
		return "stop " + service.ID
	default:
		return w.troubleCatalogue(kind, d)
	}
	return fmt.Sprintf("fault %d on %s", kind, engine.ID)
}

func (w *World[P]) troubleCatalogue(kind Fault, d time.Duration) string {
	switch kind {
	case FaultWithdrawDomain:
		return w.troubleDomain(d)
	case FaultWithdrawKey:
		return w.troubleKey(d)
	case FaultLeaveBackend:
		return w.troubleLeave(d)
	case FaultNewVersion:
		return w.troubleVersion()
	}
	return "nothing"
}

func (w *World[P]) randomEngine() *Engine {
	ids := w.SortedEngines()
	return w.Engines[ids[w.random.IntN(len(ids))]]
}

func (w *World[P]) troubleKill(h *Host, d time.Duration) string {
	if !h.Up {
		return "nothing"
	}
	w.Kill(h)
	w.after(d, func() {
		if !h.Up {
			w.StartHost(h)
		}
	})
	return "kill " + h.ID
}

func (w *World[P]) troubleDrain(h *Host, d time.Duration) string {
	if !h.Up {
		return "nothing"
	}
	w.Drain(h)
	w.after(max(d, 12*time.Second), func() {
		if !h.Up {
			w.StartHost(h)
		}
	})
	return "drain " + h.ID
}

func (w *World[P]) troubleCut(a, b string, d time.Duration) string {
	if a == b {
		return "nothing"
	}
	w.Cut(a, b)
	w.after(d, func() { w.Heal(a, b) })
	return "cut " + a + " from " + b
}

// troublePart cuts a random part of the hosts off from the others, and half of the time from the platform.
func (w *World[P]) troublePart(d time.Duration) string {
	count := 1 + w.random.IntN(len(w.Hosts)/2)
	part := map[string]bool{}
	for _, i := range w.random.Perm(len(w.Hosts))[:count] {
		part[w.Hosts[i].ID] = true
	}
	platform := w.random.IntN(2) == 0
	for _, a := range w.Hosts {
		if part[a.ID] && platform {
			w.troubleCut(a.ID, "platform", d)
		}
		for _, b := range w.Hosts {
			if part[a.ID] && !part[b.ID] {
				w.troubleCut(a.ID, b.ID, d)
			}
		}
	}
	return fmt.Sprintf("cut off %d hosts, platform %v", count, platform)
}

func (w *World[P]) troubleDomain(d time.Duration) string {
	fleet := w.Shard("fleet")
	domains := append([]cataloguer.FailureDomain(nil), fleet.FailureDomains...)
	for _, f := range domains {
		if f.State == cataloguer.StateWithdrawn {
			return "nothing"
		}
	}
	i := w.random.IntN(len(domains))
	domains[i].State = cataloguer.StateWithdrawn
	w.publishDomains(domains)
	w.after(d, func() {
		back := append([]cataloguer.FailureDomain(nil), w.Shard("fleet").FailureDomains...)
		back[i].State = cataloguer.StateInService
		w.publishDomains(back)
	})
	return "withdraw " + domains[i].Name
}

func (w *World[P]) publishDomains(domains []cataloguer.FailureDomain) {
	fleet := w.Shard("fleet")
	fleet.FailureDomains = domains
	w.Publish(fleet)
}

func (w *World[P]) troubleLeave(d time.Duration) string {
	i := w.random.IntN(len(w.Shard("fleet").BackendServers))
	id := w.Shard("fleet").BackendServers[i].ID
	w.publishServerState(i, cataloguer.StateLeaving)
	w.after(d, func() { w.publishServerState(i, cataloguer.StateInService) })
	return "leave " + id
}

func (w *World[P]) publishServerState(i int, state string) {
	fleet := w.Shard("fleet")
	fleet.BackendServers = append([]cataloguer.BackendServer(nil), fleet.BackendServers...)
	fleet.BackendServers[i].State = state
	w.Publish(fleet)
}

func (w *World[P]) troubleKey(d time.Duration) string {
	shard := w.Shard("accounts")
	i := w.random.IntN(len(shard.ClientAccounts))
	keys := shard.ClientAccounts[i].Keys
	if len(keys) == 0 {
		return "nothing"
	}
	w.publishKeys(i, nil)
	w.after(d, func() { w.publishKeys(i, keys) })
	return "withdraw the keys of " + shard.ClientAccounts[i].ID
}

func (w *World[P]) publishKeys(i int, keys []cataloguer.Key) {
	shard := w.Shard("accounts")
	shard.ClientAccounts = append([]cataloguer.ClientAccount(nil), shard.ClientAccounts...)
	shard.ClientAccounts[i].Keys = keys
	w.Publish(shard)
}

func (w *World[P]) troubleVersion() string {
	shard := w.Shard("adapters-000")
	shard.Adapters = append([]cataloguer.Adapter(nil), shard.Adapters...)
	i := w.random.IntN(min(len(shard.Adapters), 10))
	shard.Adapters[i].Version++
	w.Publish(shard)
	return "new version of " + shard.Adapters[i].Name
}
