package exerciser

import (
	"fmt"
	"time"

	"github.com/redwingpick/redwingpick/internal/reducer"
)

// Fault is a kind of trouble.
type Fault int

// Kinds of trouble.
const (
	FaultKill Fault = iota
	FaultHerdKill
	FaultFreeze
	FaultCut
	FaultOneWay
	FaultStoreDown
	FaultStoreCut
	FaultCompact
	FaultCrash
	FaultLeave
	FaultCatalogue
	FaultDrain
	faultCount
)

var faultNames = [...]string{
	"kill", "herd_kill", "freeze", "cut", "one_way", "store_down", "store_cut", "compact", "crash", "leave", "catalogue", "drain",
}

// String returns the fault's name.
func (f Fault) String() string { return faultNames[f] }

// touched reports whether a host has been without trouble for as long as the promises ask.
func (w *World[P]) touched(h *Host) bool {
	return h.Up && !h.Frozen && w.storeReached(h) && w.Now.Sub(h.DisturbedAt) > w.Options.Limits.HostTimeout
}

// inTouch reports whether a host has been without trouble of its own or of the platform for as long as the promise on configurations
// asks; trouble between hosts excuses nothing, since each reaches the platform.
func (w *World[P]) inTouch(h *Host) bool {
	return h.Up && !h.Frozen && w.storeReached(h) && w.Now.Sub(h.FaultAt) > w.Options.Limits.HostTimeout
}

// Strike brings one random trouble about, and ends it some seconds later.
func (w *World[P]) Strike() string {
	f := Fault(w.random.IntN(int(faultCount)))
	h := w.Hosts[w.random.IntN(len(w.Hosts))]
	lasting := time.Second + time.Duration(w.random.Int64N(int64(5*time.Second)))
	w.apply(f, h, lasting)
	return fmt.Sprintf("%7.3f s  %s at %s for %v", w.Now.Sub(Start).Seconds(), f, h.ID, lasting)
}

func (w *World[P]) apply(f Fault, h *Host, lasting time.Duration) {
	switch f {
	case FaultKill:
		w.kill(h, lasting)
	case FaultHerdKill:
		for _, other := range w.Hosts {
			if w.random.IntN(10) < 6 {
				w.kill(other, lasting)
			}
		}
	case FaultFreeze:
		w.freeze(h, lasting)
	case FaultCut, FaultOneWay:
		w.cutOff(h, f == FaultOneWay, lasting)
	case FaultStoreDown:
		w.storeDown = true
		w.disturbAll()
		w.after(lasting, func() { w.storeDown = false; w.disturbAll() })
	case FaultStoreCut:
		w.cutStore(h, lasting)
	case FaultCompact:
		w.Store.Compact()
	case FaultCrash:
		w.crashSome(lasting)
	case FaultLeave:
		w.leaveSome(lasting)
	case FaultCatalogue:
		w.publishCatalogue()
	case FaultDrain:
		w.drainHost(h, lasting)
	}
}

// cutStore cuts a host off from the platform.
func (w *World[P]) cutStore(h *Host, lasting time.Duration) {
	w.storeCut[h.ID] = true
	w.disturb(h)
	w.after(lasting, func() { delete(w.storeCut, h.ID); w.disturb(h) })
}

func (w *World[P]) disturb(h *Host) {
	h.DisturbedAt, h.FaultAt = w.Now, w.Now
}

func (w *World[P]) disturbAll() {
	for _, h := range w.Hosts {
		w.disturb(h)
	}
}

func (w *World[P]) kill(h *Host, down time.Duration) {
	if !h.Up {
		return
	}
	h.Up = false
	w.disturb(h)
	w.after(down, func() {
		if !h.Up {
			w.startHost(h)
		}
	})
}

// freeze stops a host's process; its messages wait for it.
func (w *World[P]) freeze(h *Host, lasting time.Duration) {
	if !h.Up || h.Frozen {
		return
	}
	h.Frozen = true
	incarnation := h.Incarnation
	w.after(lasting, func() {
		if h.Incarnation != incarnation || !h.Up {
			return
		}
		h.Frozen = false
		w.disturb(h)
		waiting := h.waiting
		h.waiting = nil
		for _, run := range waiting {
			run()
		}
	})
}

// cutOff separates a host from all others, in both directions or in one.
func (w *World[P]) cutOff(h *Host, oneWay bool, lasting time.Duration) {
	for _, other := range w.Hosts {
		if other == h {
			continue
		}
		w.cuts[[2]string{h.ID, other.ID}] = true
		if !oneWay {
			w.cuts[[2]string{other.ID, h.ID}] = true
		}
	}
	w.disturb(h)
	w.after(lasting, func() {
		for _, other := range w.Hosts {
			delete(w.cuts, [2]string{h.ID, other.ID})
			delete(w.cuts, [2]string{other.ID, h.ID})
		}
		w.disturb(h)
	})
}

func (w *World[P]) someBackend() *Backend {
	return w.Backends[fmt.Sprintf("engine-%02d", w.random.IntN(w.Options.Engines))]
}

func (w *World[P]) crashSome(lasting time.Duration) {
	b := w.someBackend()
	if b == nil || !b.Up || !b.LeftAt.IsZero() {
		return
	}
	w.crash(b)
	w.after(lasting, func() {
		if !b.Up {
			w.startBackend(b.Info.ID, b.Info.Service, b.Info.FailureDomain)
		}
	})
}

func (w *World[P]) leaveSome(lasting time.Duration) {
	b := w.someBackend()
	if b == nil || !b.Up || !b.LeftAt.IsZero() {
		return
	}
	w.leave(b)
	w.after(w.Options.Limits.DrainDeadline+6*time.Second+lasting, func() { w.startBackend(b.Info.ID, b.Info.Service, b.Info.FailureDomain) })
}

func (w *World[P]) drainHost(h *Host, down time.Duration) {
	if !h.Up || h.Frozen {
		return
	}
	w.disturb(h)
	incarnation := h.Incarnation
	w.post(h, incarnation, reducer.DrainRequested{})
	w.after(w.Options.Limits.GracePeriod+down, func() {
		if h.Incarnation == incarnation {
			w.startHost(h)
		}
	})
}
