package modeler

import (
	"slices"
	"strings"
	"time"

	"github.com/redwingpick/redwingpick/internal/reducer"
	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// Spec describes the capacity and the speed of an engine.
type Spec struct {
	// Slots and QueueSize are the numbers of requests that can run and that can wait; the engine rejects requests beyond their sum.
	Slots        int
	QueueSize    int
	AdapterSlots int
	// LoadTime is how long an engine takes to load an adapter from the weight store, and CachedLoadTime to load one that it has unloaded.
	LoadTime       time.Duration
	CachedLoadTime time.Duration
	// PrefillRate is the number of prompt tokens processed per second, and TokenTime the time to generate one output token.
	PrefillRate float64
	TokenTime   time.Duration
	// ReportLag is the age of the state that a report shows.
	ReportLag time.Duration
}

// Engine holds the state of one incarnation of an engine.
type Engine struct {
	Spec     Spec
	Adapters map[reducer.AdapterKey]*Adapter
	// Cached holds the adapters that the engine has unloaded and can load again within Spec.CachedLoadTime.
	Cached map[reducer.AdapterKey]bool
	// Running is the number of accepted requests that have not ended.
	Running int
	// LatestVersions holds the newest declared version of each adapter, which is the one that a load provides.
	LatestVersions map[reducer.AdapterKey]int64
	// PrefillUntil is when the prefill of all accepted requests ends.
	PrefillUntil time.Time
	// OrderCount is the number of orders that the engine has acted on.
	OrderCount int64
	history    []snapshot
}

// Adapter is an adapter that an engine holds or is loading.
type Adapter struct {
	ReadyAt time.Time
	// Running is the number of running requests.
	Running int
	Version int64
	// Unloading is set while an unload order waits for running requests to end.
	Unloading bool
	// ReplacePending is set while the load of a newer version waits for running requests to end.
	ReplacePending bool
}

type snapshot struct {
	at       time.Time
	orders   int64
	adapters []listedAdapter
}

// listedAdapter is an adapter in a snapshot, with the time at which its load is complete.
type listedAdapter struct {
	reducer.ReportedAdapter
	readyAt time.Time
}

// NewEngine returns an engine without adapters.
func NewEngine(spec Spec) *Engine {
	return &Engine{Spec: spec, Adapters: map[reducer.AdapterKey]*Adapter{}, Cached: map[reducer.AdapterKey]bool{}}
}

// maxConcurrentLoads is the number of adapters that an engine loads at the same time; further orders are rejected as busy.
const maxConcurrentLoads = 4

// Load handles an order to load an adapter. overCapacity reports that no slot is free, in which case a real engine would crash.
func (e *Engine) Load(now time.Time, key reducer.AdapterKey) (result reducer.OrderResult, overCapacity bool) {
	if a, ok := e.Adapters[key]; ok && !a.Unloading {
		return e.replace(now, key, a), false
	}
	if len(e.Adapters) >= e.Spec.AdapterSlots {
		return reducer.OrderRefused, true
	}
	loading := 0
	for _, a := range e.Adapters {
		if now.Before(a.ReadyAt) {
			loading++
		}
	}
	if loading >= maxConcurrentLoads {
		return reducer.OrderBusy, false
	}
	loadTime := e.Spec.LoadTime
	if e.Cached[key] {
		loadTime = e.Spec.CachedLoadTime
	}
	e.OrderCount++
	e.Adapters[key] = &Adapter{ReadyAt: now.Add(loadTime), Version: e.LatestVersions[key]}
	e.recordSnapshot(now)
	return reducer.OrderAccepted, false
}

// LoadingFromStore returns the number of adapters in transit from the weight store.
func (e *Engine) LoadingFromStore(now time.Time) int {
	n := 0
	for key, a := range e.Adapters {
		if now.Before(a.ReadyAt) && !e.Cached[key] {
			n++
		}
	}
	return n
}

// replace handles an order to load an adapter that is present, possibly in an older version.
func (e *Engine) replace(now time.Time, key reducer.AdapterKey, a *Adapter) reducer.OrderResult {
	if a.Version >= e.LatestVersions[key] {
		return reducer.OrderDone
	}
	e.OrderCount++
	e.recordSnapshot(now)
	a.ReplacePending = true
	e.startReplacement(now, key, a)
	return reducer.OrderAccepted
}

// startReplacement starts a pending load of a newer version once no request runs on the older one.
func (e *Engine) startReplacement(now time.Time, key reducer.AdapterKey, a *Adapter) {
	if !a.ReplacePending || a.Running > 0 {
		return
	}
	a.ReplacePending = false
	a.Version = e.LatestVersions[key]
	a.ReadyAt = now.Add(e.Spec.LoadTime)
	e.recordSnapshot(now)
}

// Unload handles an order to unload an adapter, which takes effect once its running requests have ended.
func (e *Engine) Unload(now time.Time, key reducer.AdapterKey) reducer.OrderResult {
	a, ok := e.Adapters[key]
	if !ok || now.Before(a.ReadyAt) {
		return reducer.OrderDone
	}
	e.OrderCount++
	if a.Running > 0 {
		a.Unloading = true
		e.recordSnapshot(now)
		return reducer.OrderAccepted
	}
	delete(e.Adapters, key)
	e.Cached[key] = true
	e.recordSnapshot(now)
	return reducer.OrderDone
}

// StartRequest starts a request that requires the given version of its adapter, or any version if it is 0. It returns the time of the
// first output token, or the outcome of a request that is rejected.
func (e *Engine) StartRequest(now time.Time, key reducer.AdapterKey, version int64,
	promptTokens int) (firstTokenAt time.Time, outcome reducer.Outcome) {
	if key.Adapter != "" {
		a, ok := e.Adapters[key]
		if !ok || a.Unloading || now.Before(a.ReadyAt) || version > 0 && a.Version != version {
			return time.Time{}, reducer.OutcomeNotLoaded
		}
		if a.ReplacePending {
			return time.Time{}, reducer.OutcomeFull
		}
	}
	if e.Running >= e.Spec.Slots+e.Spec.QueueSize {
		return time.Time{}, reducer.OutcomeFull
	}
	e.Running++
	if key.Adapter != "" {
		e.Adapters[key].Running++
	}
	if e.PrefillUntil.Before(now) {
		e.PrefillUntil = now
	}
	e.PrefillUntil = e.PrefillUntil.Add(time.Duration(float64(promptTokens) / e.Spec.PrefillRate * float64(time.Second)))
	return e.PrefillUntil, reducer.OutcomeDone
}

// FinishRequest ends a running request.
func (e *Engine) FinishRequest(now time.Time, key reducer.AdapterKey) {
	e.Running--
	a, ok := e.Adapters[key]
	if !ok {
		return
	}
	a.Running--
	e.startReplacement(now, key, a)
	if a.Unloading && a.Running == 0 {
		delete(e.Adapters, key)
		e.Cached[key] = true
		e.recordSnapshot(now)
	}
}

// Report returns the adapters and the number of orders that the engine reports, whose state is Spec.ReportLag old.
func (e *Engine) Report(now time.Time) (adapters []reducer.ReportedAdapter, orders int64) {
	asOf := now.Add(-e.Spec.ReportLag)
	for _, h := range slices.Backward(e.history) {
		if h.at.After(asOf) {
			continue
		}
		for _, a := range h.adapters {
			if !asOf.Before(a.readyAt) {
				a.Stage = reducer.StageReady
			}
			adapters = append(adapters, a.ReportedAdapter)
		}
		return adapters, h.orders
	}
	return nil, 0
}

// Resident returns the adapters that requests can use, sorted by name.
func (e *Engine) Resident(now time.Time) []cataloguer.Adapter {
	var resident []cataloguer.Adapter
	for key, a := range e.Adapters {
		if !a.Unloading && !now.Before(a.ReadyAt) {
			resident = append(resident, cataloguer.Adapter{Name: key.Adapter, Version: a.Version})
		}
	}
	slices.SortFunc(resident, func(a, b cataloguer.Adapter) int { return strings.Compare(a.Name, b.Name) })
	return resident
}

func (e *Engine) recordSnapshot(now time.Time) {
	s := snapshot{at: now, orders: e.OrderCount}
	for key, a := range e.Adapters {
		s.adapters = append(s.adapters, listedAdapter{
			reducer.ReportedAdapter{Adapter: key, Version: a.Version, Stage: reducer.StageLoading}, a.ReadyAt,
		})
	}
	e.history = append(e.history, s)
}
