package executor

import (
	"context"
	"sync"

	"github.com/redwingpick/redwingpick/internal/reducer"
)

// replySize is the number of effects buffered for one waiting goroutine; a request has at most a few at a time.
const replySize = 32

// Replies routes effects to the goroutines that wait for them, by id.
type Replies struct {
	mutex   sync.Mutex
	waiting map[string]*Reply
}

// Reply is the receiving side of one goroutine that waits for the effects of an id.
type Reply struct {
	Effects chan reducer.Effect
	// Context ends when the reducer cancels the work under the id, or with the context passed to Register.
	Context context.Context
	cancel  context.CancelFunc
}

// Register creates a Reply for an id whose Context derives from ctx. It replaces an earlier one of the same id.
func (w *Replies) Register(ctx context.Context, id string) *Reply {
	derived, cancel := context.WithCancel(ctx)
	waiter := &Reply{Effects: make(chan reducer.Effect, replySize), Context: derived, cancel: cancel}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.waiting == nil {
		w.waiting = map[string]*Reply{}
	}
	w.waiting[id] = waiter
	return waiter
}

// Forget cancels a Reply and removes it; a later one that was registered under the same id stays.
func (w *Replies) Forget(id string, waiter *Reply) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	waiter.cancel()
	if w.waiting[id] == waiter {
		delete(w.waiting, id)
	}
}

// Deliver passes an effect to the goroutine that waits for the id. It reports false if there is none or its buffer is full.
func (w *Replies) Deliver(id string, effect reducer.Effect) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	waiter, ok := w.waiting[id]
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
func (w *Replies) Cancel(id string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if waiter, ok := w.waiting[id]; ok {
		waiter.cancel()
	}
}

// Count returns the number of ids for which a goroutine waits.
func (w *Replies) Count() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return len(w.waiting)
}
