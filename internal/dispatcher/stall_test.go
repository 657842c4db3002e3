package dispatcher

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/internal/clocker"
	"github.com/redwingpick/redwingpick/internal/reducer"
)

// Guards against a stream that ends because its sound server pauses, although nobody has decided to continue it elsewhere.
func TestStalledAttemptGoesOnUntilItIsEnded(t *testing.T) {
	const pause, timeout = 300 * time.Millisecond, 100 * time.Millisecond
	for _, ends := range []bool{false, true} {
		address := startServer(t, func(c net.Conn, r *bufio.Reader) {
			readRequest(r)
			time.Sleep(pause)
			_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nId: one\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n")
			time.Sleep(pause)
			_, _ = fmt.Fprint(c, "id: 2\ndata: a\n\n")
		})
		ctx, end := context.WithCancelCause(context.Background())
		var stalls atomic.Int64
		call := Call{CallerID: "one", Method: http.MethodGet, Target: "/x", HostName: "h", Header: http.Header{}}
		dispatch := reducer.Dispatch{
			ID: "one", Backend: "b", Address: address, Deadline: clocker.Now().Add(2 * time.Second), Stream: true,
			ResponseHeaderTimeout: timeout, StreamIdleTimeout: timeout,
		}
		result := (&Client[codec, *sink]{}).Send(ctx, call, dispatch, &sink{}, Hooks{OnStart: func(Start) {}, OnStall: func() {
			if stalls.Add(1); ends && stalls.Load() == 4 {
				end(ErrStalled)
			}
		}})
		end(nil)
		if ends {
			assert.Equal(t, result.Outcome, reducer.OutcomeTimeout)
			assert.Equal(t, result.Events, 1)
			continue
		}
		assert.Equal(t, result.Outcome, reducer.OutcomeDone)
		assert.Equal(t, result.Events, 2)
		assert.Assert(t, stalls.Load() >= 4, "%d stalls before the head and between the events", stalls.Load())
	}
}
