package reducer

import (
	"strconv"
	"time"

	"github.com/redwingpick/redwingpick/internal/selector"
)

func (s *State) notLoaded(now time.Time, b *Backend, id string) {
	key := s.Requests[id].Adapter
	if resident, ok := b.Residents[key]; ok && resident.Stage == ResidencyReady {
		s.requeueUnloaded(now, b, key, resident)
		s.Wants.Dirty = true
	}
}

func (s *State) restarted(now time.Time, b *Backend, incarnation uint64) {
	b.Incarnation = incarnation
	b.FirstToken = 0
	b.Foreign = 0
	s.turnCold(now, b)
	for _, key := range b.residentKeys() {
		resident := b.Residents[key]
		if resident.Stage != ResidencyReady {
			continue
		}
		resident.Foreign = 0
		s.requeueUnloaded(now, b, key, resident)
	}
	s.Wants.Dirty = true
}

func (s *State) requeueUnloaded(now time.Time, b *Backend, key AdapterKey, resident *Resident) {
	queued := b.Queue.Remove(func(id string) bool { return s.Requests[id].Adapter == key })
	resident.Pins -= len(queued)
	if len(queued) == 0 && resident.Pins == 0 {
		b.forget(key)
		return
	}
	resident.Stage = ResidencyWanted
	resident.WantedAt = now
	for _, id := range queued {
		r := s.Requests[id]
		r.Phase = PhaseWaiting
		r.Stalled = true
		resident.Waiting = append(resident.Waiting, id)
		b.waiting++
	}
}

func backendReported[P selector.Policy](s *State, now time.Time, e BackendReported) {
	b, ok := s.Backends[e.Backend]
	if !ok || b.Lost {
		return
	}
	if e.Failed {
		b.Failures++
		b.FailedUntil = now.Add(s.jitter(failedFor))
		return
	}
	if b.Incarnation != 0 && b.Incarnation != e.Incarnation {
		s.restarted(now, b, e.Incarnation)
	}
	unmet := b.Incarnation == 0
	b.Incarnation = e.Incarnation
	if !b.Known && now.Before(b.ReadFrom) {
		return
	}
	foreign := max(e.Running-b.Running, 0)
	if b.Known {
		foreign = min(foreign, b.Foreign)
	} else {
		b.Fence = max(b.Fence, e.Fence+1)
	}
	b.Foreign = foreign
	b.takeResidents(now, e.Residents)
	for _, key := range b.residentKeys() {
		if resident := b.Residents[key]; resident.Stage == ResidencyReady && len(resident.Waiting) > 0 {
			makeReady[P](s, now, b, resident)
		}
	}
	if !b.Known {
		b.Known = true
		if unmet {
			s.takeNote(now, b)
		}
		s.Wants.Dirty = true
		s.note(EventBackendKnown, Field{"backend_server", b.ID}, Field{"fence", strconv.FormatUint(b.Fence, 10)})
	}
	pump[P](s, now, b)
}

func (b *Backend) takeResidents(now time.Time, reported []ReportedAdapter) {
	running := make(map[AdapterKey]int, len(reported))
	for _, a := range reported {
		running[a.Adapter] = a.Running
		b.takeResident(now, a)
	}
	for _, key := range b.residentKeys() {
		resident := b.Residents[key]
		if _, named := running[key]; named || resident.Stage != ResidencyReady {
			continue
		}
		resident.Foreign = 0
		settled := !b.Known || now.Sub(resident.ReadyAt) > reportSettles
		if settled && resident.Pins == 0 {
			b.forget(key)
		}
	}
	for key := range b.Strangers {
		if _, named := running[key]; !named {
			delete(b.Strangers, key)
		}
	}
}

func (b *Backend) takeResident(now time.Time, a ReportedAdapter) {
	resident, known := b.Residents[a.Adapter]
	switch {
	case !b.Known:
		resident = b.resident(a.Adapter)
		resident.Stage = ResidencyReady
		resident.ReadyAt = now
		resident.Foreign = max(a.Running-resident.Pins, 0)
	case known:
		resident.Foreign = min(resident.Foreign, max(a.Running-resident.Pins, 0))
	default:
		b.meetStranger(now, a)
	}
}

func (b *Backend) meetStranger(now time.Time, a ReportedAdapter) {
	first, met := b.Strangers[a.Adapter]
	if !met {
		b.Strangers[a.Adapter] = now
		return
	}
	if now.Sub(first) > reportSettles {
		resident := b.resident(a.Adapter)
		resident.Stage = ResidencyReady
		resident.ReadyAt = now
		resident.Foreign = a.Running
	}
}

func (s *State) poll(now time.Time, b *Backend) {
	if now.Sub(b.PolledAt) < s.Limits.PollEvery {
		return
	}
	b.PolledAt = now
	s.emit(PollBackend{Backend: b.ID, Address: s.Config.BackendServers[b.ID].Address})
}
