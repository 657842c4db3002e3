package executor

import (
	"context"
	"sync"

	"github.com/redwingpick/redwingpick/internal/dispatcher"
	"github.com/redwingpick/redwingpick/internal/reducer"
)

// waiterBuffer is the number of effects buffered for one waiting goroutine; a request has at most a few at a time.
const waiterBuffer = 32

// Waiters routes effects to the goroutines that wait for them, by id.
type Waiters struct {
	mutex sync.Mutex
	byID  map[string]*Waiter
}

// Waiter is the receiving side of one goroutine that waits for the effects of an id.
type Waiter struct {
	Effects chan reducer.Effect
	// Context ends when the reducer cancels the work under the id, or with the context passed to Register.
	Context context.Context
	cancel  context.CancelFunc
	// attempt is the number of the present attempt, and endAttempt ends it.
	attempt    int
	endAttempt context.CancelCauseFunc
}

// Register creates a Waiter for an id whose Context derives from ctx. It replaces an earlier one of the same id.
func (w *Waiters) Register(ctx context.Context, id string) *Waiter {
	derived, cancel := context.WithCancel(ctx)
	waiter := &Waiter{Effects: make(chan reducer.Effect, waiterBuffer), Context: derived, cancel: cancel}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.byID == nil {
		w.byID = map[string]*Waiter{}
	}
	w.byID[id] = waiter
	return waiter
}

// Unregister cancels a Waiter and removes it; a later one that was registered under the same id stays.
func (w *Waiters) Unregister(id string, waiter *Waiter) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	waiter.cancel()
	if w.byID[id] == waiter {
		delete(w.byID, id)
	}
}

// Deliver passes an effect to the goroutine that waits for the id. It reports false if there is none or its buffer is full.
func (w *Waiters) Deliver(id string, effect reducer.Effect) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	waiter, ok := w.byID[id]
	if !ok {
		return false
	}
	select {
	case waiter.Effects <- effect:
		return true
	default:
		return false
	}
}

// Cancel ends the context of the id.
func (w *Waiters) Cancel(id string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if waiter, ok := w.byID[id]; ok {
		waiter.cancel()
	}
}

// BeginAttempt records the attempt that a waiting goroutine begins, and the function that ends it.
func (w *Waiters) BeginAttempt(waiter *Waiter, attempt int, end context.CancelCauseFunc) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	waiter.attempt, waiter.endAttempt = attempt, end
}

// EndAttempt ends the attempt of the id, if it still is the present one, because it has stalled.
func (w *Waiters) EndAttempt(id string, attempt int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if waiter, ok := w.byID[id]; ok && waiter.attempt == attempt {
		waiter.endAttempt(dispatcher.ErrStalled)
	}
}

// Count returns the number of ids for which a goroutine waits.
func (w *Waiters) Count() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return len(w.byID)
}
