package dispatcher

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/internal/clocker"
	"github.com/redwingpick/redwingpick/internal/reducer"
)

// heldSink is a caller that takes its response once it is released.
type heldSink struct {
	room
	started, release chan struct{}
}

func (s *heldSink) BeginStream(int, http.Header) {}
func (s *heldSink) Write([]byte) error           { return nil }
func (s *heldSink) WriteResponse(Response) error {
	close(s.started)
	<-s.release
	return nil
}

// Guards against a caller that cuts another caller's exchange: it reads its response slowly and leaves, while the connection to the server is in use
// again.
func TestCallerThatLeavesKeepsTheConnectionOfTheNextRequest(t *testing.T) {
	address := startServer(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		writeResponse(c, "one", "first")
		readRequest(r)
		time.Sleep(100 * time.Millisecond)
		writeResponse(c, "two", "second")
	})
	client := &Client[codec, *heldSink]{}
	exchange := func(ctx context.Context, id string, s *heldSink) Result {
		call := Call{CallerID: id, Method: http.MethodPost, Target: "/x", HostName: "h", Header: http.Header{}, Body: [][]byte{[]byte("body")}}
		dispatch := reducer.Dispatch{ID: id, Backend: "b", Address: address, Deadline: clocker.Now().Add(2 * time.Second)}
		return client.Send(ctx, call, dispatch, s, Hooks{OnStart: func(Start) {}})
	}
	slow := &heldSink{started: make(chan struct{}), release: make(chan struct{})}
	ctx, leave := context.WithCancel(context.Background())
	done := make(chan Result)
	go func() { done <- exchange(ctx, "one", slow) }()
	<-slow.started
	next := &heldSink{started: make(chan struct{}), release: make(chan struct{})}
	close(next.release)
	go func() { done <- exchange(context.Background(), "two", next) }()
	time.Sleep(50 * time.Millisecond)
	leave()
	assert.Equal(t, (<-done).Outcome, reducer.OutcomeDone, "the next request")
	close(slow.release)
	assert.Equal(t, (<-done).Outcome, reducer.OutcomeDone)
}
