package exerciser

import (
	"sort"
	"strconv"
	"time"

	"github.com/redwingpick/redwingpick/internal/modeler"
	"github.com/redwingpick/redwingpick/internal/reducer"
)

// tracked is one request as the traffic side of the hosts sees it.
type tracked struct {
	id           string
	call         *Call
	entry        *Host
	entryStarts  uint64
	owner        *Host
	ownerStarts  uint64
	runner       *Host
	runnerStarts uint64
	backend      string
	running      bool
	promptTokens int
	maxTokens    int
	delivered    int
	startedLocal time.Time
	firstLocal   time.Duration
	runs         int
	forwarded    bool
}

func (w *World[P]) track(id string) *tracked { return w.tracked[id] }

func (t *tracked) started(h *Host, backend string, local time.Time) {
	t.runner = h
	t.runnerStarts = h.Starts
	t.backend = backend
	t.running = true
	t.runs++
	t.startedLocal = local
	t.firstLocal = 0
}

func (t *tracked) alive(h *Host, starts uint64) bool { return h != nil && h.Up && h.Starts == starts }

// token follows one generated token to the caller.
func (w *World[P]) token(e *Engine, token modeler.Token) {
	t, ok := w.tracked[token.ID]
	if !ok || !t.running || t.backend != e.ID || !t.alive(t.runner, t.runnerStarts) {
		e.Model.Stop(token.ID)
		return
	}
	if t.firstLocal == 0 {
		t.firstLocal = max(w.localTime(t.runner).Sub(t.startedLocal), time.Nanosecond)
	}
	if token.Offset == t.delivered {
		t.delivered++
		t.call.token(w.Now)
		w.checkKey(t, "streams")
	}
	if token.Last {
		event := reducer.DispatchEnded{
			ID: t.id, Backend: e.ID, BackendIncarnation: e.Model.Incarnation, Outcome: reducer.OutcomeDone,
			Tokens: t.delivered, FirstTokenAfter: t.firstLocal,
		}
		w.endDispatch(t, event)
	}
}

// endDispatch tells the host that ran a request, and the host that sent it there, how it ended.
func (w *World[P]) endDispatch(t *tracked, event reducer.DispatchEnded) {
	if !t.running {
		return
	}
	t.running = false
	if t.alive(t.runner, t.runnerStarts) {
		w.postLater(t.runner, w.delay(), event)
	}
	if event.Outcome != reducer.OutcomeDone {
		return
	}
	if t.runner == t.entry {
		w.ended(t, reducer.OutcomeDone, reducer.ReasonNone)
		return
	}
	w.endForward(t, t.runner, reducer.ForwardEnded{ID: t.id, Outcome: reducer.OutcomeDone, Tokens: t.delivered})
	w.ended(t, reducer.OutcomeDone, reducer.ReasonNone)
}

// brokenOff says that an engine lost a sequence.
func (w *World[P]) brokenOff(id, backend string) {
	t, ok := w.tracked[id]
	if !ok || !t.running || t.backend != backend {
		return
	}
	w.endDispatch(t, reducer.DispatchEnded{
		ID: id, Backend: backend, Outcome: reducer.OutcomeUnknown, Reason: reducer.ReasonBackendFailed, Tokens: t.delivered,
	})
}

func (w *World[P]) forward(h *Host, e reducer.Forward) {
	t := w.track(e.ID)
	if t == nil {
		gone := reducer.ForwardEnded{ID: e.ID, To: e.To, Outcome: reducer.OutcomeNotRun, Reason: reducer.ReasonCancelled}
		w.postLater(h, w.delay(), gone)
		return
	}
	t.forwarded = true
	to, ok := w.hosts[e.To]
	if !ok || !to.Up || w.cut(h.ID, e.To) {
		t.forwarded = false
		event := reducer.ForwardEnded{ID: e.ID, To: e.To, Outcome: reducer.OutcomeNotRun, Reason: reducer.ReasonConnection}
		w.postLater(h, unreachableAfter, event)
		return
	}
	t.owner = to
	t.ownerStarts = to.Starts
	starts := h.Starts
	w.postLater(to, w.delay(), reducer.RequestArrived{
		ID: e.ID, Model: t.call.Model, Service: t.call.Service, PromptTokens: t.promptTokens, MaxTokens: t.maxTokens,
		Deadline: w.deadlineAt(to, h, e.Deadline), Forwarded: true, From: h.ID, Account: e.Account, Version: e.Version,
		Backend: e.Backend, Attempt: e.Attempt,
	})
	w.watchForward(t, h, starts, to, to.Starts)
}

// deadlineAt carries the time that is left to another host's clock.
func (w *World[P]) deadlineAt(to, from *Host, deadline time.Time) time.Time {
	return w.localTime(to).Add(deadline.Sub(w.localTime(from)))
}

// watchForward finds that the owner of a forwarded request is gone or cut off.
func (w *World[P]) watchForward(t *tracked, h *Host, starts uint64, to *Host, toStarts uint64) {
	w.after(2*time.Second, func() {
		current := t.forwarded && t.owner == to && t.ownerStarts == toStarts && t.alive(h, starts)
		if !current {
			return
		}
		lost := !to.Up || to.Starts != toStarts || w.cut(h.ID, to.ID)
		if !lost {
			w.watchForward(t, h, starts, to, toStarts)
			return
		}
		w.endForward(t, to, reducer.ForwardEnded{ID: t.id, Outcome: reducer.OutcomeUnknown, Reason: reducer.ReasonConnection, Tokens: t.delivered})
		w.abandonRun(t)
	})
}

// abandonRun is the owner finding that nobody reads the answer any more.
func (w *World[P]) abandonRun(t *tracked) {
	if t.running && t.alive(t.runner, t.runnerStarts) && t.runner != t.entry {
		w.stopRun(t, reducer.ReasonCancelled)
	} else if t.alive(t.owner, t.ownerStarts) && !t.running {
		w.post(t.owner, reducer.RequestAbandoned{ID: t.id})
	}
	t.running = false
}

func (w *World[P]) stopRun(t *tracked, reason reducer.Reason) {
	if engine, ok := w.Engines[t.backend]; ok {
		engine.Model.Stop(t.id)
	}
	w.endDispatch(t, reducer.DispatchEnded{ID: t.id, Backend: t.backend, Outcome: reducer.OutcomeUnknown, Reason: reason, Tokens: t.delivered})
}

// endForward tells the entry host how a forwarded request ended.
func (w *World[P]) endForward(t *tracked, from *Host, event reducer.ForwardEnded) {
	if !t.forwarded || t.owner != from {
		return
	}
	t.forwarded = false
	event.To = from.ID
	if t.alive(t.entry, t.entryStarts) {
		w.postLater(t.entry, w.delay(), event)
	}
}

func (w *World[P]) refuse(h *Host, e reducer.Refuse) {
	t, ok := w.tracked[e.ID]
	if !ok {
		return
	}
	if h != t.entry {
		w.endForward(t, h, reducer.ForwardEnded{
			ID: e.ID, Outcome: e.Outcome, Reason: e.Reason, Holder: e.Holder, Replicas: e.Replicas, Tokens: t.delivered,
		})
		return
	}
	w.checkRefusal(t, e)
	w.ended(t, e.Outcome, e.Reason)
}

func (w *World[P]) cancel(h *Host, e reducer.Cancel) {
	t, ok := w.tracked[e.ID]
	if !ok {
		return
	}
	if t.running && t.runner == h {
		w.stopRun(t, e.Reason)
		return
	}
	if h == t.entry && t.forwarded {
		w.endForward(t, t.owner, reducer.ForwardEnded{ID: e.ID, Outcome: reducer.OutcomeUnknown, Reason: e.Reason, Tokens: t.delivered})
		w.abandonRun(t)
	}
}

// hostGone breaks the connections of a host that is no more.
func (w *World[P]) hostGone(h *Host) {
	for _, id := range sortedIDs(w.tracked) {
		t := w.tracked[id]
		if t.running && t.runner == h {
			if engine, ok := w.Engines[t.backend]; ok {
				engine.Model.Stop(id)
			}
			t.running = false
		}
		if t.entry == h && t.entryStarts == h.Starts {
			w.entryLost(t)
		}
	}
}

func sortReported(list []reducer.ReportedAdapter) {
	sort.Slice(list, func(i, j int) bool {
		a, b := list[i].Adapter, list[j].Adapter
		return a.Name < b.Name || a.Name == b.Name && a.Version < b.Version
	})
}

// runnerID names the host that sent a request to a backend server.
func (t *tracked) runnerID(e reducer.Dispatch) string {
	if t.owner != nil && t.forwarded {
		return t.owner.ID + " fence " + strconv.FormatUint(e.Fence, 10)
	}
	return t.entry.ID + " fence " + strconv.FormatUint(e.Fence, 10)
}
