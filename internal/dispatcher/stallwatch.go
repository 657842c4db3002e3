package dispatcher

import (
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

// ErrStalled is the cause with which the context of an attempt is canceled that is ended because it has stalled.
var ErrStalled = merry.New("attempt ended because the backend server sent nothing for too long")

// stallWatch reports an attempt that makes no progress, once after each timeout. The attempt goes on: whether it is ended is decided elsewhere.
type stallWatch struct {
	report func()

	mutex   sync.Mutex
	timer   *time.Timer
	timeout time.Duration
}

// expect starts the timeout anew, or ends the watch if the timeout is 0.
func (w *stallWatch) expect(timeout time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.timeout = timeout
	switch {
	case w.timer == nil && timeout > 0:
		w.timer = time.AfterFunc(timeout, w.stalled)
	case w.timer == nil:
	case timeout > 0:
		w.timer.Reset(timeout)
	default:
		w.timer.Stop()
	}
}

func (w *stallWatch) stalled() {
	w.mutex.Lock()
	stopped := w.timeout == 0
	if !stopped {
		w.timer.Reset(w.timeout)
	}
	w.mutex.Unlock()
	if !stopped {
		w.report()
	}
}
