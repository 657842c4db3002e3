package modeler

import (
	"slices"
	"strings"
	"time"

	"github.com/redwingpick/redwingpick/internal/reducer"
	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// Spec is the capacity of one engine.
type Spec struct {
	Slots        int
	Queue        int
	AdapterSlots int
	// LoadTime is the time of bringing an adapter from the weight store, RecentLoad of one that was dropped lately.
	LoadTime   time.Duration
	RecentLoad time.Duration
	// PrefillRate is the prompt tokens read in a second, and TokenTime the time of one output token.
	PrefillRate float64
	TokenTime   time.Duration
	ReportLag   time.Duration
}

// Engine is the state of one incarnation of an engine.
type Engine struct {
	Spec     Spec
	Adapters map[reducer.AdapterKey]*Adapter
	Recent   map[reducer.AdapterKey]bool
	Running  int
	// Newest holds the newest declared versions of adapters; a load brings them.
	Newest map[reducer.AdapterKey]int64
	// ReadingUntil is when the prompts that are being read will have been read.
	ReadingUntil time.Time
	Orders       int64
	history      []snapshot
}

// Adapter is one adapter on an engine, or on its way.
type Adapter struct {
	ReadyAt time.Time
	Running int
	Version int64
	Leaving bool
	// Replaced is set while a newer version waits for the end of the requests that run.
	Replaced bool
}

type snapshot struct {
	at       time.Time
	adapters []reducer.ReportedAdapter
}

// NewEngine returns an engine that holds no adapters.
func NewEngine(spec Spec) *Engine {
	return &Engine{Spec: spec, Adapters: map[reducer.AdapterKey]*Adapter{}, Recent: map[reducer.AdapterKey]bool{}}
}

// transit is the number of adapters that may be on their way at the same time.
const transit = 4

// Load takes an order to load an adapter; overfull tells that there is no place for it, which ends a real engine.
func (e *Engine) Load(now time.Time, key reducer.AdapterKey) (result reducer.OrderResult, overfull bool) {
	if a, ok := e.Adapters[key]; ok && !a.Leaving {
		return e.replace(now, key, a), false
	}
	if len(e.Adapters) >= e.Spec.AdapterSlots {
		return reducer.OrderRefused, true
	}
	coming := 0
	for _, a := range e.Adapters {
		if now.Before(a.ReadyAt) {
			coming++
		}
	}
	if coming >= transit {
		return reducer.OrderBusy, false
	}
	took := e.Spec.LoadTime
	if e.Recent[key] {
		took = e.Spec.RecentLoad
	}
	e.Orders++
	e.Adapters[key] = &Adapter{ReadyAt: now.Add(took), Version: e.Newest[key]}
	e.record(now)
	return reducer.OrderAccepted, false
}

// replace takes an order to load an adapter that is there, whose version may be an older one.
func (e *Engine) replace(now time.Time, key reducer.AdapterKey, a *Adapter) reducer.OrderResult {
	if a.Version >= e.Newest[key] {
		return reducer.OrderDone
	}
	e.Orders++
	a.Replaced = true
	e.bring(now, key, a)
	return reducer.OrderAccepted
}

// bring starts the load of a newer version once no request runs on the older one.
func (e *Engine) bring(now time.Time, key reducer.AdapterKey, a *Adapter) {
	if !a.Replaced || a.Running > 0 {
		return
	}
	a.Replaced = false
	a.Version = e.Newest[key]
	a.ReadyAt = now.Add(e.Spec.LoadTime)
	e.record(now)
}

// Unload takes an order to unload an adapter, which leaves once its requests have ended.
func (e *Engine) Unload(now time.Time, key reducer.AdapterKey) reducer.OrderResult {
	a, ok := e.Adapters[key]
	if !ok || now.Before(a.ReadyAt) {
		return reducer.OrderDone
	}
	e.Orders++
	if a.Running > 0 {
		a.Leaving = true
		return reducer.OrderAccepted
	}
	delete(e.Adapters, key)
	e.Recent[key] = true
	e.record(now)
	return reducer.OrderDone
}

// Begin takes a request that expects a version of its adapter, or any if that is 0; it returns the time of the first piece of
// the answer, or why the request does not run.
func (e *Engine) Begin(now time.Time, key reducer.AdapterKey, version int64, promptTokens int) (first time.Time, outcome reducer.Outcome) {
	if key.Adapter != "" {
		a, ok := e.Adapters[key]
		if !ok || a.Leaving || now.Before(a.ReadyAt) || version > 0 && a.Version != version {
			return time.Time{}, reducer.OutcomeNotLoaded
		}
		if a.Replaced {
			return time.Time{}, reducer.OutcomeFull
		}
	}
	if e.Running >= e.Spec.Slots+e.Spec.Queue {
		return time.Time{}, reducer.OutcomeFull
	}
	e.Running++
	if key.Adapter != "" {
		e.Adapters[key].Running++
	}
	if e.ReadingUntil.Before(now) {
		e.ReadingUntil = now
	}
	e.ReadingUntil = e.ReadingUntil.Add(time.Duration(float64(promptTokens) / e.Spec.PrefillRate * float64(time.Second)))
	return e.ReadingUntil, reducer.OutcomeDone
}

// End takes the end of a request.
func (e *Engine) End(now time.Time, key reducer.AdapterKey) {
	e.Running--
	a, ok := e.Adapters[key]
	if !ok {
		return
	}
	a.Running--
	e.bring(now, key, a)
	if a.Leaving && a.Running == 0 {
		delete(e.Adapters, key)
		e.Recent[key] = true
		e.record(now)
	}
}

// Report returns the adapters as the engine tells them, which is as of some time ago.
func (e *Engine) Report(now time.Time) []reducer.ReportedAdapter {
	asOf := now.Add(-e.Spec.ReportLag)
	for _, h := range slices.Backward(e.history) {
		if !h.at.After(asOf) {
			return h.adapters
		}
	}
	return nil
}

// Resident returns the adapters that requests can use, sorted by name.
func (e *Engine) Resident(now time.Time) []cataloguer.Adapter {
	var resident []cataloguer.Adapter
	for key, a := range e.Adapters {
		if !a.Leaving && !now.Before(a.ReadyAt) {
			resident = append(resident, cataloguer.Adapter{Name: key.Adapter, Version: a.Version})
		}
	}
	slices.SortFunc(resident, func(a, b cataloguer.Adapter) int { return strings.Compare(a.Name, b.Name) })
	return resident
}

func (e *Engine) record(now time.Time) {
	s := snapshot{at: now}
	for key, a := range e.Adapters {
		stage := reducer.StageReady
		if now.Before(a.ReadyAt) {
			stage = reducer.StageLoading
		}
		s.adapters = append(s.adapters, reducer.ReportedAdapter{Adapter: key, Version: a.Version, Stage: stage})
	}
	e.history = append(e.history, s)
}
