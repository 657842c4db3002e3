package exerciser

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// checkLeases checks, after a step of one host, that nobody else believes to hold a lease that it believes to hold; a frozen host
// goes on believing.
func (w *World[P]) checkLeases(h *Host) {
	var doubled []string
	for backend, r := range h.State.Leases {
		if !w.believes(h, backend) {
			continue
		}
		if r.HeldSince.Equal(w.Now) {
			w.takenAs[[2]string{h.ID, backend}] = w.view(h)
		}
		w.holders[backend] = w.holdersBeside(h, backend)
		if len(w.holders[backend]) > 1 {
			doubled = append(doubled, backend)
		}
	}
	slices.Sort(doubled)
	for _, backend := range doubled {
		for _, other := range w.holders[backend][1:] {
			w.failDouble(backend, h, other)
		}
	}
}

// holdersBeside returns a holder of a lease, and after it the others that were seen to hold it and believe so now.
func (w *World[P]) holdersBeside(h *Host, backend string) []*Host {
	former := w.holders[backend]
	if len(former) == 1 && former[0] == h {
		return former
	}
	holders := []*Host{h}
	for _, other := range former {
		if other != h && w.believes(other, backend) {
			holders = append(holders, other)
		}
	}
	return holders
}

// believes reports whether a host that is up holds a lease by what it knows itself.
func (w *World[P]) believes(h *Host, backend string) bool {
	r, ok := h.State.Leases[backend]
	return ok && h.Up && w.Now.Before(r.ValidUntil)
}

// failDouble reports two holders of one lease, once for each pair of processes and backend server.
func (w *World[P]) failDouble(backend string, a, b *Host) {
	if a.ID > b.ID {
		a, b = b, a
	}
	key := fmt.Sprint(backend, a.ID, a.Incarnation, b.ID, b.Incarnation)
	w.failOnce(key, "one_lease", fmt.Sprintf("%s: %s%s; %s%s", backend, w.view(a), w.leaseOf(a, backend), w.view(b), w.leaseOf(b, backend)))
}

// failOnce reports a violation that no other one with the same key has been reported of.
func (w *World[P]) failOnce(key, rule, detail string) {
	if w.failed[key] {
		return
	}
	w.failed[key] = true
	w.Checks.fail(w.Now, rule, detail)
}

func (w *World[P]) leaseOf(h *Host, backend string) string {
	r := h.State.Leases[backend]
	return fmt.Sprintf(", took it %v ago (then %s), until in %v, term %d", roundMs(w.Now.Sub(r.HeldSince)),
		w.takenAs[[2]string{h.ID, backend}], roundMs(r.ValidUntil.Sub(w.Now)), r.Term)
}

func roundMs(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

// view tells how old a host is and how many of the hosts it knows.
func (w *World[P]) view(h *Host) string {
	text := fmt.Sprintf("%s up %v, knows %d of %d, has %d voters", h.ID, roundMs(w.Now.Sub(h.StartedAt)),
		len(h.State.Hosts), len(w.Hosts)-1, len(h.State.Index.Voters))
	if !h.Up {
		text += ", down"
	}
	if h.Frozen {
		text += ", frozen"
	}
	return text
}

// views tells of several hosts.
func (w *World[P]) views(ids []string) string {
	var texts []string
	for _, id := range ids {
		texts = append(texts, w.view(w.host(id)))
	}
	return strings.Join(texts, "; ")
}
