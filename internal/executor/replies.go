package executor

import (
	"context"
	"sync"

	"github.com/redwingpick/redwingpick/internal/reducer"
)

// replySize is the number of effects that may wait for one goroutine; a request has at most a few at a time.
const replySize = 32

// Replies brings effects to the goroutines that wait for them by id.
type Replies struct {
	mutex   sync.Mutex
	waiting map[string]*Reply
}

// Reply is where one goroutine waits for the effects of its id.
type Reply struct {
	Effects chan reducer.Effect
	// Context ends when the reducer cancels what runs under the id.
	Context context.Context
	cancel  context.CancelFunc
}

// Register makes a Reply for an id, under a context of the caller.
func (r *Replies) Register(ctx context.Context, id string) *Reply {
	inner, cancel := context.WithCancel(ctx)
	reply := &Reply{Effects: make(chan reducer.Effect, replySize), Context: inner, cancel: cancel}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.waiting == nil {
		r.waiting = map[string]*Reply{}
	}
	r.waiting[id] = reply
	return reply
}

// Forget ends a Reply; a later one that was registered under the same id stays.
func (r *Replies) Forget(id string, reply *Reply) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	reply.cancel()
	if r.waiting[id] == reply {
		delete(r.waiting, id)
	}
}

// Deliver hands an effect to whoever waits for the id and reports whether anybody does.
func (r *Replies) Deliver(id string, effect reducer.Effect) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	reply, ok := r.waiting[id]
	if !ok {
		return false
	}
	select {
	case reply.Effects <- effect:
		return true
	default:
		return false
	}
}

// Cancel ends what runs under the id.
func (r *Replies) Cancel(id string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if reply, ok := r.waiting[id]; ok {
		reply.cancel()
	}
}

// Count returns how many ids are waited for.
func (r *Replies) Count() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.waiting)
}
