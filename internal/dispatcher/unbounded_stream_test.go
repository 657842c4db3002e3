package dispatcher

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/internal/clocker"
	"github.com/redwingpick/redwingpick/internal/reducer"
)

const eventStreamHeader = "HTTP/1.1 200 OK\r\nId: one\r\nContent-Type: text/event-stream\r\n\r\n"

// asStream makes a request a stream with a deadline and a limit on the time between two events.
func asStream(timeLeft, gap time.Duration) func(*Call, *reducer.Dispatch) {
	return func(_ *Call, d *reducer.Dispatch) {
		d.Stream = true
		d.Deadline = clocker.Now().Add(timeLeft)
		d.StreamIdleTimeout = gap
	}
}

// Guards against an unbounded event being buffered without limit, and searched again from its start with each read.
func TestUnboundedEventIsAborted(t *testing.T) {
	for _, unit := range []string{"x", "x\n"} {
		s := checkUnboundedResponse(t, unboundedResponse{prefix: eventStreamHeader + "id: 1\ndata: a\n\nid: 2\ndata: ", unit: unit},
			maxBodyAllocation, asStream(3*time.Second, 0))
		assert.Equal(t, s.body.String(), "id: 1\ndata: a\n\n")
	}
}

// Guards against the size limits truncating a long response.
func TestLongResponseIsComplete(t *testing.T) {
	body := strings.Repeat("0123456789abcdef", maxBodySize/16)
	responses := map[string]string{
		"length":  fmt.Sprintf("HTTP/1.1 200 OK\r\nId: one\r\nContent-Length: %d\r\n\r\n%s", len(body), body),
		"chunked": chunkedHeader + strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", 1024, body[:1024]), len(body)/1024) + "0\r\n\r\n",
		"closed":  "HTTP/1.1 200 OK\r\nId: one\r\n\r\n" + body,
	}
	for name, response := range responses {
		address := startServer(t, func(c net.Conn, r *bufio.Reader) { readRequest(r); _, _ = io.WriteString(c, response) })
		result, s := send(&Client[codec, *sink]{}, address, "one", nil)
		assert.Equal(t, result.Outcome, reducer.OutcomeDone, name)
		assert.Equal(t, s.body.Len(), len(body), name)
	}
}

// slowSink counts the bytes that it receives and blocks each Write until resume is closed.
type slowSink struct {
	room
	received atomic.Int64
	resume   chan struct{}
}

func (s *slowSink) BeginStream(int, http.Header) {}
func (s *slowSink) WriteResponse(Response) error { return nil }
func (s *slowSink) Write(p []byte) error {
	<-s.resume
	s.received.Add(int64(len(p)))
	return nil
}

// Guards against a long stream being truncated, or read faster than its caller receives it.
func TestLongStreamIsCompleteWithSlowCaller(t *testing.T) {
	const (
		event  = "data: 0123456789012345678901234567890123456789012345678901234567890123\n\n"
		events = 600_000
		// bufferedBytes is more than the kernel buffers at both ends of one connection hold.
		bufferedBytes = 20 << 20
	)
	var written atomic.Int64
	address := startServer(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = io.WriteString(c, eventStreamHeader)
		for range events / 1000 {
			n, _ := io.WriteString(c, strings.Repeat(event, 1000))
			written.Add(int64(n))
		}
	})
	s := &slowSink{resume: make(chan struct{})}
	call := Call{CallerID: "one", Method: http.MethodPost, Target: "/", HostName: "h", Header: http.Header{}}
	dispatch := reducer.Dispatch{ID: "one", Backend: "b", Address: address, Deadline: clocker.Now().Add(20 * time.Second), Stream: true}
	results := make(chan Result, 1)
	go func() {
		results <- (&Client[codec, *slowSink]{}).Send(context.Background(), call, dispatch, s, Hooks{OnStart: func(Start) {}})
	}()
	time.Sleep(500 * time.Millisecond)
	assert.Check(t, written.Load() < bufferedBytes, "%d MiB were sent while the caller read nothing", written.Load()>>20)
	close(s.resume)
	assert.Equal(t, (<-results).Outcome, reducer.OutcomeDone)
	assert.Equal(t, s.received.Load(), int64(len(event)*events))
}

// Guards against parts of one event counting as the next event and restarting the timeout between events.
func TestSlowUnboundedEventTimesOut(t *testing.T) {
	server := startUnboundedServer(t, unboundedResponse{prefix: eventStreamHeader + "id: 1\ndata: a\n\nid: 2\ndata: ", unit: "x"},
		slowSendInterval)
	start := time.Now()
	result, s := send(&Client[codec, *sink]{}, server.address, "one", asStream(3*time.Second, 200*time.Millisecond))
	assert.Check(t, time.Since(start) < time.Second, "took %v", time.Since(start))
	assert.Equal(t, result.Outcome, reducer.OutcomeTimeout)
	assert.Equal(t, s.body.String(), "id: 1\ndata: a\n\n")
	server.checkReset(t)
}

// Guards against a stream running past the deadline because each event sets a new read deadline.
func TestUnboundedStreamStopsAtDeadline(t *testing.T) {
	for _, gap := range []time.Duration{0, 200 * time.Millisecond} {
		server := startUnboundedServer(t, unboundedResponse{prefix: eventStreamHeader, unit: "data: x\n\n"}, slowSendInterval)
		start := time.Now()
		result, _ := send(&Client[codec, *sink]{}, server.address, "one", asStream(500*time.Millisecond, gap))
		assert.Check(t, time.Since(start) < time.Second, "took %v", time.Since(start))
		assert.Check(t, result.Outcome == reducer.OutcomeTimeout, "outcome %v", result.Outcome)
		server.checkReset(t)
	}
}

// Guards against events with CRLF line ends being held until the stream ends, or counting together as one event that is too long.
func TestEventsWithCRLFAreRelayedImmediately(t *testing.T) {
	const event = "id: 7\r\ndata: 0123456789012345678901234567890123456789\r\n\r\n"
	server := startUnboundedServer(t, unboundedResponse{prefix: eventStreamHeader, unit: event}, slowSendInterval)
	_, s := send(&Client[codec, *sink]{}, server.address, "one", asStream(300*time.Millisecond, 0))
	assert.Assert(t, strings.HasPrefix(s.body.String(), event), "%q was relayed", s.body.String())
	body := strings.Repeat(event, 2*maxEventSize/len(event))
	address := startServer(t, func(c net.Conn, r *bufio.Reader) { readRequest(r); _, _ = io.WriteString(c, eventStreamHeader+body) })
	result, s := send(&Client[codec, *sink]{}, address, "one", asStream(3*time.Second, 0))
	assert.Equal(t, result.Outcome, reducer.OutcomeDone)
	assert.Equal(t, result.LastEventID, "7")
	assert.Equal(t, s.body.Len(), len(body))
}
