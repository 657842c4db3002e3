package exerciser

import (
	"fmt"
	"slices"
	"time"

	"github.com/redwingpick/redwingpick/internal/reducer"
)

// The troubles of this file draw from World.trouble, so that they change no run that Strike makes.

// split divides the hosts into sides that do not reach each other; all reach the backend servers.
type split struct {
	// sides holds the side of each host; backend servers have none.
	sides map[string]int
	// offStore is set if the hosts that are split off do not reach the platform either.
	offStore bool
}

// mainSide is the side of the hosts that are not split off.
const mainSide = 1

// Split cuts a group of hosts off from all the rest, in both directions.
func (w *World[P]) Split(group []*Host, offStore bool, lasting time.Duration) {
	w.tell("split of %s from the rest for %v, from the platform: %v", names(group), lasting, offStore)
	w.splitInto([][]*Host{group}, offStore, lasting)
}

// Isolate cuts each host of a group off from all other hosts, in both directions.
func (w *World[P]) Isolate(group []*Host, offStore bool, lasting time.Duration) {
	w.tell("cut of each of %s from all hosts for %v, from the platform: %v", names(group), lasting, offStore)
	var groups [][]*Host
	for _, h := range group {
		groups = append(groups, []*Host{h})
	}
	w.splitInto(groups, offStore, lasting)
}

func (w *World[P]) splitInto(groups [][]*Host, offStore bool, lasting time.Duration) {
	s := &split{sides: map[string]int{}, offStore: offStore}
	for _, h := range w.Hosts {
		s.sides[h.ID] = mainSide
	}
	for i, group := range groups {
		for _, h := range group {
			s.sides[h.ID] = mainSide + 1 + i
		}
	}
	w.splits = append(w.splits, s)
	w.disturbBySplit(offStore)
	w.after(lasting, func() {
		w.splits = slices.DeleteFunc(w.splits, func(other *split) bool { return other == s })
		w.disturbBySplit(offStore)
	})
}

func (w *World[P]) disturbBySplit(offStore bool) {
	if offStore {
		w.disturbAll()
	}
	for _, h := range w.Hosts {
		h.DisturbedAt = w.Now
	}
}

func (w *World[P]) splitApart(a, b string) bool {
	for _, s := range w.splits {
		from, to := s.sides[a], s.sides[b]
		if from != 0 && to != 0 && from != to {
			return true
		}
	}
	return false
}

func (w *World[P]) splitFromStore(h *Host) bool {
	for _, s := range w.splits {
		if s.offStore && s.sides[h.ID] > mainSide {
			return true
		}
	}
	return false
}

// Lose makes the network lose a part of the envelopes between hosts and of the answers to them.
func (w *World[P]) Lose(share float64, lasting time.Duration) {
	w.tell("loss of %.2f of all envelopes for %v", share, lasting)
	w.loss = share
	w.disturbAll()
	w.after(lasting, func() { w.loss = 0; w.disturbAll() })
}

func (w *World[P]) lost() bool { return w.loss > 0 && w.trouble.Float64() < w.loss }

// KillGroup kills hosts at once; each starts again after a time of its own between least and most.
func (w *World[P]) KillGroup(group []*Host, least, most time.Duration) {
	w.tell("kill of %s for %v to %v", names(group), least, most)
	for _, h := range group {
		w.kill(h, w.Between(least, most))
	}
}

// FreezeGroup stops the processes of hosts for a time.
func (w *World[P]) FreezeGroup(group []*Host, lasting time.Duration) {
	w.tell("freeze of %s for %v", names(group), lasting)
	for _, h := range group {
		w.freeze(h, lasting)
	}
}

// RollingStop drains hosts in turn, some at a time with a pause, and starts each again after its drain has ended.
func (w *World[P]) RollingStop(group []*Host, atOnce int, pause time.Duration) {
	w.tell("rolling stop of %d hosts, %d at a time, each %v: %s", len(group), atOnce, pause, names(group))
	at := time.Duration(0)
	for some := range slices.Chunk(group, atOnce) {
		w.after(at, func() {
			for _, h := range some {
				w.stop(h)
			}
		})
		at += pause
	}
}

// stop drains a host and starts it again once its process has ended, or has used up its grace.
func (w *World[P]) stop(h *Host) {
	if !h.Up || h.Frozen || h.State.Draining.Active {
		return
	}
	w.disturb(h)
	incarnation, began := h.Incarnation, w.Now
	w.post(h, incarnation, reducer.DrainRequested{})
	var look func()
	look = func() {
		if h.Incarnation != incarnation {
			return
		}
		if h.Up && w.Now.Sub(began) < w.Options.Limits.GracePeriod {
			w.after(tickEvery, look)
			return
		}
		w.startHost(h)
	}
	w.after(tickEvery, look)
}

// AddHosts starts hosts that were not there before, each on one side of every split.
func (w *World[P]) AddHosts(count int) {
	w.tell("%d hosts are added", count)
	for range count {
		h := w.newHost()
		for _, s := range w.splits {
			s.sides[h.ID] = mainSide + w.trouble.IntN(2)
		}
		w.startHost(h)
	}
}

// Some draws a part of the hosts.
func (w *World[P]) Some(share float64) []*Host {
	return w.Draw(max(int(share*float64(len(w.Hosts))), 1))
}

// Draw draws a number of hosts.
func (w *World[P]) Draw(count int) []*Host {
	drawn := slices.Clone(w.Hosts)
	w.trouble.Shuffle(len(drawn), func(i, j int) { drawn[i], drawn[j] = drawn[j], drawn[i] })
	return drawn[:min(count, len(drawn))]
}

// Between draws a time.
func (w *World[P]) Between(least, most time.Duration) time.Duration {
	return least + time.Duration(w.trouble.Int64N(int64(most-least)+1)).Round(time.Millisecond)
}

// Share draws a share.
func (w *World[P]) Share(least, most float64) float64 {
	return least + w.trouble.Float64()*(most-least)
}

// Chance draws whether something is so.
func (w *World[P]) Chance() bool { return w.trouble.IntN(2) == 0 }

func (w *World[P]) tell(format string, values ...any) {
	w.Troubles = append(w.Troubles, fmt.Sprintf("%7.3f s  ", w.Now.Sub(Start).Seconds())+fmt.Sprintf(format, values...))
}

func names(group []*Host) []string {
	var ids []string
	for _, h := range group {
		ids = append(ids, h.ID)
	}
	slices.Sort(ids)
	return ids
}
