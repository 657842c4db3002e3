package exerciser

import (
	"errors"
	"time"

	"github.com/redwingpick/redwingpick/internal/modeler"
	"github.com/redwingpick/redwingpick/internal/reducer"
)

// Engine is one modelled engine.
type Engine struct {
	ID    string
	Up    bool
	Model *modeler.Engine
	// ColdSince is when the engine last became cold; CanKnow is from when on its owner could have noticed.
	ColdSince time.Time
	CanKnow   time.Time

	stepping bool
}

// Service is one modelled plain service.
type Service struct {
	ID          string
	Up          bool
	Incarnation uint64
	Running     int
}

// noticeWithin is how long an owner may take to notice a restart: a poll, its lag and its delay.
const noticeWithin = 4 * time.Second

// RestartEngine empties an engine and makes it cold.
func (w *World[P]) RestartEngine(e *Engine) {
	ids := sortedIDs(e.Model.Sequences)
	e.Model.Restart(w.Now)
	e.ColdSince = w.Now
	e.CanKnow = w.Now.Add(noticeWithin)
	for _, id := range ids {
		w.brokenOff(id, e.ID)
	}
}

// StopEngine takes an engine down; what ran on it is lost.
func (w *World[P]) StopEngine(e *Engine) {
	w.RestartEngine(e)
	e.Up = false
}

// StartEngine brings an engine up, cold and empty, unless it is up already.
func (w *World[P]) StartEngine(e *Engine) {
	if e.Up {
		return
	}
	e.Up = true
	e.Model.Restart(w.Now)
	e.ColdSince = w.Now
	e.CanKnow = w.Now.Add(noticeWithin)
}

// TurnCold makes an engine cold without a restart.
func (w *World[P]) TurnCold(e *Engine) {
	e.Model.TurnCold(w.Now)
	e.ColdSince = w.Now
	e.CanKnow = w.Now.Add(w.Options.Engine.ColdFor)
}

func (w *World[P]) stepLater(e *Engine) {
	if e.stepping || len(e.Model.Sequences) == 0 {
		return
	}
	e.stepping = true
	w.after(e.Model.StepTime(w.Now), func() {
		e.stepping = false
		for _, t := range e.Model.Step() {
			w.token(e, t)
		}
		w.stepLater(e)
	})
}

// late reports whether an effect must not leave any more.
func (w *World[P]) late(h *Host, notAfter time.Time) bool {
	return !w.localTime(h).Before(notAfter)
}

func (w *World[P]) dispatch(h *Host, e reducer.Dispatch) {
	if w.late(h, e.NotAfter) {
		w.post(h, reducer.EffectExpired{Effect: e})
		return
	}
	incarnation := h.Starts
	w.after(w.delay(), func() {
		if h.Starts != incarnation || !h.Up {
			return
		}
		if w.track(e.ID) == nil {
			gone := reducer.DispatchEnded{ID: e.ID, Backend: e.Backend, Outcome: reducer.OutcomeUnknown, Reason: reducer.ReasonCancelled}
			w.postLater(h, w.delay(), gone)
			return
		}
		if e.Service != "" {
			w.callService(h, e)
			return
		}
		w.startSequence(h, e)
	})
}

func (w *World[P]) startSequence(h *Host, e reducer.Dispatch) {
	engine := w.Engines[e.Backend]
	if !engine.Up || w.cut(h.ID, e.Backend) {
		w.postLater(h, w.delay(), notRun(e, reducer.ReasonConnection))
		return
	}
	if err := engine.Model.CheckFence(e.Fence); err != nil {
		w.postLater(h, w.delay(), notRun(e, reducer.ReasonNotOwner))
		return
	}
	t := w.track(e.ID)
	adapter := modeler.Adapter{Name: e.Adapter.Name, Version: e.Adapter.Version}
	sequence := modeler.Sequence{
		ID: e.ID, Adapter: adapter, Prefill: t.promptTokens, Next: t.delivered, MaxTokens: t.maxTokens, Priority: e.Priority,
	}
	if err := engine.Model.Start(sequence); err != nil {
		w.postLater(h, w.delay(), notRun(e, reasonOf(err)))
		return
	}
	w.checkStart(engine, e, t)
	t.started(h, e.Backend, w.localTime(h))
	w.stepLater(engine)
}

func reasonOf(err error) reducer.Reason {
	if errors.Is(err, modeler.RefusedNotLoaded) {
		return reducer.ReasonNotLoaded
	}
	return reducer.ReasonOverloaded
}

func notRun(e reducer.Dispatch, reason reducer.Reason) reducer.DispatchEnded {
	return reducer.DispatchEnded{ID: e.ID, Backend: e.Backend, Outcome: reducer.OutcomeNotRun, Reason: reason}
}

func (w *World[P]) callService(h *Host, e reducer.Dispatch) {
	service := w.Services[e.Backend]
	if !service.Up || w.cut(h.ID, e.Backend) {
		w.postLater(h, w.delay(), notRun(e, reducer.ReasonConnection))
		return
	}
	t := w.track(e.ID)
	t.started(h, e.Backend, w.localTime(h))
	w.checkCall(e, t)
	service.Running++
	incarnation := service.Incarnation
	w.after(w.Options.ServiceTime, func() {
		service.Running--
		event := reducer.DispatchEnded{ID: e.ID, Backend: e.Backend, BackendIncarnation: incarnation, Outcome: reducer.OutcomeDone}
		if service.Incarnation != incarnation || w.cut(h.ID, e.Backend) {
			event.Outcome = reducer.OutcomeUnknown
			event.Reason = reducer.ReasonConnection
		}
		w.endDispatch(t, event)
	})
}

func (w *World[P]) load(h *Host, e reducer.LoadAdapter) {
	event := reducer.LoadEnded{Backend: e.Backend, Adapter: e.Adapter, PermitFrom: e.PermitFrom, PermitSequence: e.PermitSequence}
	if w.late(h, e.NotAfter) {
		w.post(h, reducer.EffectExpired{Effect: e})
		return
	}
	engine := w.Engines[e.Backend]
	w.after(w.delay(), func() {
		if !engine.Up || w.cut(h.ID, e.Backend) || engine.Model.CheckFence(e.Fence) != nil {
			event.Failed = true
			w.postLater(h, w.delay(), event)
			return
		}
		event.BackendIncarnation = engine.Model.Incarnation
		if !w.Store.Admit(w.Now) {
			event.Failed = true
			w.postLater(h, w.delay(), event)
			return
		}
		took := w.Store.Begin()
		w.after(took, func() {
			w.Store.End()
			w.finishLoad(h, engine, e, event)
		})
	})
}

func (w *World[P]) finishLoad(h *Host, engine *Engine, e reducer.LoadAdapter, event reducer.LoadEnded) {
	evict := modeler.Adapter{Name: e.Evict.Name, Version: e.Evict.Version}
	before := engine.Model.EvictedInUse
	err := engine.Model.Load(modeler.Adapter{Name: e.Adapter.Name, Version: e.Adapter.Version}, evict)
	if engine.Model.EvictedInUse > before {
		w.Checks.broken(w.at(), "no_eviction_in_use", e.Backend+" "+e.Evict.Name+" by "+h.ID)
	}
	event.Failed = err != nil || event.BackendIncarnation != engine.Model.Incarnation
	w.postLater(h, w.delay(), event)
}

func (w *World[P]) poll(h *Host, e reducer.PollBackend) {
	event := reducer.BackendReported{Backend: e.Backend}
	if w.cut(h.ID, e.Backend) {
		event.Failed = true
		w.postLater(h, unreachableAfter, event)
		return
	}
	if s, ok := w.Services[e.Backend]; ok {
		event.Incarnation = s.Incarnation
		event.Running = s.Running
		event.Failed = !s.Up
		w.postLater(h, 2*w.delay(), event)
		return
	}
	engine := w.Engines[e.Backend]
	event.Failed = !engine.Up
	event.Incarnation = engine.Model.Incarnation
	event.Running = len(engine.Model.Sequences)
	event.Fence = engine.Model.Fence
	for a := range engine.Model.Adapters {
		key := reducer.AdapterKey{Name: a.Name, Version: a.Version}
		event.Residents = append(event.Residents, reducer.ReportedAdapter{Adapter: key, Running: engine.Model.RunningOn(a)})
	}
	sortReported(event.Residents)
	w.postLater(h, 2*w.delay()+w.Options.Engine.ReportLag, event)
}
