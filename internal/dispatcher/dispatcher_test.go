package dispatcher

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/internal/clocker"
	"github.com/redwingpick/redwingpick/internal/reducer"
)

// codec identifies responses by the header Id alone.
type codec struct{}

func (codec) EncodeHeader(h http.Header, _ reducer.Dispatch, _ time.Duration, resumeAfter string) http.Header {
	out := h.Clone()
	if resumeAfter != "" {
		out.Set("After", resumeAfter)
	}
	return out
}

func (codec) Classify(resp *http.Response, callerID, _ string) Classification {
	id := resp.Header.Get("Id")
	class := Classification{Mismatched: id != "" && id != callerID, Unidentified: id == "", Notice: codec{}.DecodeNotice(resp, "")}
	class.Notice.Answered = true
	if resp.StatusCode == http.StatusServiceUnavailable {
		class.Outcome = reducer.OutcomeFull
	}
	return class
}

func (codec) EncodeOrder(reducer.OrderAdapter) (string, http.Header, []byte) {
	return "/order", http.Header{}, []byte("{}")
}
func (codec) DecodeNotice(resp *http.Response, _ string) reducer.BackendNotice {
	limit, _ := strconv.ParseFloat(resp.Header.Get("Limit"), 64)
	return reducer.BackendNotice{Leaving: resp.Header.Get("Leaving") != "", RateLimit: limit}
}
func (codec) DecodeOrderStatus(int) reducer.OrderResult     { return reducer.OrderAccepted }
func (codec) EncodeReportCall(string) (string, http.Header) { return "/report", http.Header{} }
func (codec) DecodeReport(body []byte) (reducer.BackendReport, error) {
	started, err := strconv.ParseInt(string(body), 10, 64)
	return reducer.BackendReport{StartedUnixMs: started}, err
}

// room is a sink's memory for responses, without a bound.
type room struct{}

func (room) Reserve(int) bool { return true }
func (room) Release(int)      {}

// sink records the body that it receives.
type sink struct {
	room
	body    strings.Builder
	started bool
}

func (s *sink) BeginStream(int, http.Header) { s.started = true }
func (s *sink) Write(p []byte) error         { _, err := s.body.Write(p); return err }
func (s *sink) WriteResponse(resp Response) error {
	_, _ = s.body.Write(resp.Body)
	if resp.Rest == nil {
		return nil
	}
	_, err := io.Copy(&s.body, resp.Rest)
	return err
}

// startServer listens on a local address and serves the first connection with the first function, the second with the next and so on.
func startServer(t *testing.T, handlers ...func(c net.Conn, r *bufio.Reader)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for _, handle := range handlers {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { handle(c, bufio.NewReader(c)); _ = c.Close() }()
		}
	}()
	return listener.Addr().String()
}

// readRequest returns the method, the target and the body of the next request, or nothing at the end of the connection.
func readRequest(r *bufio.Reader) string {
	req, err := http.ReadRequest(r)
	if err != nil {
		return ""
	}
	body, _ := io.ReadAll(req.Body)
	return req.Method + " " + req.RequestURI + " " + string(body)
}

// writeResponse writes a response with a Content-Length.
func writeResponse(c net.Conn, id, body string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// send sends a request with the id to a server; change, if set, first modifies the call and the dispatch. It ends an attempt that has stalled.
func send(client *Client[codec, *sink], address, id string, change func(*Call, *reducer.Dispatch)) (Result, *sink) {
	call := Call{CallerID: id, Method: http.MethodPost, Target: "/x?q=%2F", HostName: "h", Header: http.Header{}, Body: [][]byte{[]byte("body")}}
	dispatch := reducer.Dispatch{ID: id, Backend: "b", Address: address, Deadline: clocker.Now().Add(2 * time.Second)}
	if change != nil {
		change(&call, &dispatch)
	}
	s := &sink{}
	ctx, end := context.WithCancelCause(context.Background())
	defer end(nil)
	return client.Send(ctx, call, dispatch, s, Hooks{OnStart: func(Start) {}, OnStall: func() { end(ErrStalled) }}), s
}

// Guards against a late response to an earlier request being delivered as the response to the next one on the same connection.
func TestMismatchedResponsesAreDiscarded(t *testing.T) {
	address := startServer(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		writeResponse(c, "one", "first")
		readRequest(r)
		writeResponse(c, "one", "again")
		writeResponse(c, "two", "second")
	})
	client := &Client[codec, *sink]{}
	_, s := send(client, address, "one", nil)
	assert.Equal(t, s.body.String(), "first")
	result, s := send(client, address, "two", nil)
	assert.Equal(t, s.body.String(), "second")
	assert.Equal(t, result.Mismatched, 1)
}

// Guards against a request failing because it is sent on a connection that the server closed while it was idle.
func TestIdleConnectionClosedByServerIsNotReused(t *testing.T) {
	address := startServer(t,
		func(c net.Conn, r *bufio.Reader) { readRequest(r); writeResponse(c, "one", "first") },
		func(c net.Conn, r *bufio.Reader) { readRequest(r); writeResponse(c, "two", "second") },
	)
	client := &Client[codec, *sink]{}
	_, _ = send(client, address, "one", nil)
	time.Sleep(20 * time.Millisecond)
	result, s := send(client, address, "two", nil)
	assert.Equal(t, result.Outcome, reducer.OutcomeDone)
	assert.Equal(t, s.body.String(), "second")
}

// Guards against bytes that arrive on an idle connection being read as the response to the next request.
func TestUnsolicitedBytesCloseConnection(t *testing.T) {
	address := startServer(t,
		func(c net.Conn, r *bufio.Reader) {
			readRequest(r)
			writeResponse(c, "one", "first")
			writeResponse(c, "two", "not asked for")
			time.Sleep(time.Second)
		},
		func(c net.Conn, r *bufio.Reader) { readRequest(r); writeResponse(c, "two", "second") },
	)
	client := &Client[codec, *sink]{}
	_, _ = send(client, address, "one", nil)
	time.Sleep(20 * time.Millisecond)
	_, s := send(client, address, "two", nil)
	assert.Equal(t, s.body.String(), "second")
}

func TestUnreachableServerIsNotSent(t *testing.T) {
	client := &Client[codec, *sink]{}
	result, _ := send(client, "127.0.0.1:1", "one", nil)
	assert.Equal(t, result.Outcome, reducer.OutcomeNotSent)
}

// Guards against resending a request that the server may have received.
func TestRequestWithoutResponseIsNotResent(t *testing.T) {
	var count atomic.Int64
	serve := func(_ net.Conn, r *bufio.Reader) { readRequest(r); count.Add(1) }
	address := startServer(t, serve, serve)
	result, _ := send(&Client[codec, *sink]{}, address, "one", nil)
	assert.Equal(t, result.Outcome, reducer.OutcomeBroken)
	time.Sleep(20 * time.Millisecond)
	assert.Equal(t, count.Load(), int64(1), "the request must not be sent again without a decision of the reducer")
}

func TestTruncatedResponseIsNotDelivered(t *testing.T) {
	address := startServer(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: one\r\nContent-Length: 100\r\n\r\nhalf")
	})
	result, s := send(&Client[codec, *sink]{}, address, "one", nil)
	assert.Equal(t, result.Outcome, reducer.OutcomeBroken)
	assert.Equal(t, s.body.String(), "")
}

func TestStreamIsRelayedInCompleteEvents(t *testing.T) {
	address := startServer(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: one\r\nTransfer-Encoding: chunked\r\n\r\n")
		for _, chunk := range []string{"id: 1\nda", "ta: a\n\nid: 2\n", "data: b\n\nid: 3\nda"} {
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(chunk), chunk)
		}
	})
	result, s := send(&Client[codec, *sink]{}, address, "one", func(_ *Call, d *reducer.Dispatch) { d.Stream = true })
	assert.Equal(t, result.Outcome, reducer.OutcomeBroken)
	assert.Equal(t, s.body.String(), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
	assert.Equal(t, result.LastEventID, "2")
}

// Guards against a stream without framing that is cut off within an event counting as complete.
func TestStreamClosedWithinEventIsBroken(t *testing.T) {
	address := startServer(t,
		func(c net.Conn, r *bufio.Reader) {
			readRequest(r)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: one\r\n\r\nid: 1\ndata: a\n\nid: 2\nda")
		},
		func(c net.Conn, r *bufio.Reader) {
			readRequest(r)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: two\r\n\r\nid: 1\ndata: a\n\n")
		},
	)
	stream := func(_ *Call, d *reducer.Dispatch) { d.Stream = true }
	result, s := send(&Client[codec, *sink]{}, address, "one", stream)
	assert.Equal(t, result.Outcome, reducer.OutcomeBroken)
	assert.Equal(t, s.body.String(), "id: 1\ndata: a\n\n")
	result, _ = send(&Client[codec, *sink]{}, address, "two", stream)
	assert.Equal(t, result.Outcome, reducer.OutcomeDone)
}

func TestServerWithoutResponseTimesOut(t *testing.T) {
	address := startServer(t, func(_ net.Conn, r *bufio.Reader) { readRequest(r); time.Sleep(time.Second) })
	start := time.Now()
	result, _ := send(&Client[codec, *sink]{}, address, "one", func(_ *Call, d *reducer.Dispatch) { d.ResponseHeaderTimeout = 100 * time.Millisecond })
	assert.Equal(t, result.Outcome, reducer.OutcomeTimeout)
	assert.Assert(t, time.Since(start) < 800*time.Millisecond)
}

// Guards against reusing a connection on which the rest of a request body is still being written.
func TestEarlyResponseToLongBodyClosesConnection(t *testing.T) {
	address := startServer(t,
		func(c net.Conn, r *bufio.Reader) {
			_, _ = r.ReadString('\n')
			writeResponse(c, "one", "early")
			time.Sleep(300 * time.Millisecond)
		},
		func(c net.Conn, r *bufio.Reader) { writeResponse(c, "two", readRequest(r)) },
	)
	client := &Client[codec, *sink]{}
	_, s := send(client, address, "one", func(c *Call, _ *reducer.Dispatch) { c.Body = [][]byte{make([]byte, 4<<20), make([]byte, 4<<20)} })
	assert.Equal(t, s.body.String(), "early")
	_, s = send(client, address, "two", nil)
	assert.Equal(t, s.body.String(), "POST /x?q=%2F body")
}

func TestConnectionLimit(t *testing.T) {
	client := &Client[codec, *sink]{}
	assert.Assert(t, client.pool.reserve("b", 2))
	assert.Assert(t, client.pool.reserve("b", 2))
	assert.Assert(t, !client.pool.reserve("b", 2))
	client.pool.release("b")
	assert.Assert(t, client.pool.reserve("b", 2))
}

// Guards against an order reaching a backend server after the sender's lease may have passed to another host.
func TestLateOrderIsNotSent(t *testing.T) {
	_, err := (&guardedBody{Reader: strings.NewReader("x"), notAfter: clocker.Now().Add(-time.Millisecond)}).Read(make([]byte, 1))
	assert.ErrorIs(t, err, ErrOrderExpired)
	arrived := make(chan struct{}, 1)
	address := startServer(t, func(_ net.Conn, r *bufio.Reader) {
		if readRequest(r) != "" {
			arrived <- struct{}{}
		}
	})
	_, inTime := (&Client[codec, *sink]{}).SendOrder(context.Background(), reducer.OrderAdapter{Address: address, NotAfter: clocker.Now().Add(-time.Millisecond)})
	assert.Assert(t, !inTime)
	select {
	case <-arrived:
		t.Fatal("the expired order was sent")
	case <-time.After(50 * time.Millisecond):
	}
}

// Guards against the kernel delivering the bytes of an order after the call was abandoned: the connection must be reset.
func TestAbandonedOrderResetsConnection(t *testing.T) {
	ConfigureDefaultClient()
	ended := make(chan error, 1)
	address := startServer(t, func(_ net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, err := r.ReadByte()
		ended <- err
	})
	event, inTime := (&Client[codec, *sink]{}).SendOrder(context.Background(), reducer.OrderAdapter{Address: address, NotAfter: clocker.Now().Add(time.Second)})
	assert.Assert(t, inTime)
	assert.Equal(t, event.Result, reducer.OrderUnknown)
	assert.ErrorIs(t, <-ended, syscall.ECONNRESET)
}
