package exerciser

import (
	"fmt"
	"time"
)

// checkConfigurations checks at each tick that hosts in touch have what was published in force in time, and that no host goes back.
func (w *World[P]) checkConfigurations() {
	for _, h := range w.Hosts {
		if h.Up && !h.Frozen && h.State.Documents.Catalogue != nil {
			w.checkInForce(h)
		}
	}
	w.after(tickEvery, w.checkConfigurations)
}

func (w *World[P]) checkInForce(h *Host) {
	inForce := h.State.Documents.Catalogue.Version
	if inForce < h.inForce {
		w.Checks.fail(w.Now, "never_back", fmt.Sprintf("%s: version %d after %d", h.ID, inForce, h.inForce))
	}
	h.inForce = inForce
	if inForce >= w.Callers.version {
		return
	}
	// Versions begin with 1, so that this is when the one after that in force was published.
	published := w.Callers.publishedAt[inForce]
	if at := h.State.Watch.ConfirmedAt; at.After(published) {
		w.failVersion("confirmed_is_true", h, inForce, fmt.Sprintf("believes that nothing newer than version %d had been published %v after the next",
			inForce, roundMs(at.Sub(published))))
	}
	if late := w.Now.Sub(published) - w.Options.Limits.ConfigDeadline; late > 0 && w.inTouch(h) {
		w.failVersion("in_force", h, inForce, fmt.Sprintf("has version %d in force, the next was published %v ago, last word of %v ago",
			inForce, roundMs(w.Now.Sub(published)), roundMs(w.Now.Sub(h.State.Watch.ConfirmedAt))))
	}
}

// failVersion reports what is wrong with a host's version once.
func (w *World[P]) failVersion(rule string, h *Host, version int64, detail string) {
	w.failOnce(fmt.Sprint(rule, h.ID, h.Incarnation, version), rule, h.ID+" "+detail)
}

// SlowStore makes answers of the platform come later than they were formed.
func (w *World[P]) SlowStore(by, lasting time.Duration) {
	w.tell("answers of the platform come %v after they were formed, for %v", by, lasting)
	w.storeSlow = by
	w.disturbAll()
	w.after(lasting, func() { w.storeSlow = 0; w.disturbAll() })
}

// SilenceStore makes the connections of hosts to the platform go silent, which each finds with its next call.
func (w *World[P]) SilenceStore(group []*Host) {
	w.tell("connections of %s to the platform go silent", names(group))
	for _, h := range group {
		h.silentCalls = 1
		w.disturb(h)
	}
}

// CutStore cuts hosts off from the platform for a time.
func (w *World[P]) CutStore(group []*Host, lasting time.Duration) {
	w.tell("cut of %s from the platform for %v", names(group), lasting)
	for _, h := range group {
		w.cutStore(h, lasting)
	}
}

// Publish publishes configurations at random times until the run ends.
func (w *World[P]) Publish(every time.Duration) {
	var next func()
	next = func() {
		w.publishCatalogue()
		w.after(w.Between(every/4, 2*every), next)
	}
	next()
	w.after(tickEvery, w.checkConfigurations)
}

// PeerReads returns how often the hosts that are up have asked each other for documents.
func (w *World[P]) PeerReads() (reads uint64) {
	for _, h := range w.Hosts {
		if h.Up {
			reads += h.State.Counters.PeerReads
		}
	}
	return reads
}
