package dispatcher

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/internal/clocker"
	"github.com/redwingpick/redwingpick/internal/reducer"
)

const (
	// maxSentBytes and maxSendDuration limit what a test server sends on one connection.
	maxSentBytes    = 64 << 20
	maxSendDuration = 6 * time.Second
	sendBlockSize   = 16 << 10
	// slowSendInterval is the pause between the writes of a test server that sends slowly.
	slowSendInterval = 10 * time.Millisecond
	// maxBodyAllocation is the limit in bytes on the allocations for reading one response, whose buffer grows to maxBodySize in steps.
	maxBodyAllocation = 8 * maxBodySize
)

// unboundedResponse is an unbounded response of a faulty server: a prefix, then a unit that repeats without end.
type unboundedResponse struct {
	name   string
	prefix string
	unit   string
}

// unboundedServer is a faulty server that sends an unbounded response.
type unboundedServer struct {
	address  string
	requests atomic.Int64
	written  atomic.Int64
	ended    chan error
}

const chunkedHeader = "HTTP/1.1 200 OK\r\nId: one\r\nTransfer-Encoding: chunked\r\n\r\n"

// chunkOf64 is a chunk of 64 bytes.
var chunkOf64 = "40\r\n" + strings.Repeat("x", 64) + "\r\n"

// unboundedFraming are responses without an end of the header, of the chunk framing or of the trailers, or that others follow without
// end. unboundedBodies are responses with a body without end.
var unboundedFraming = []unboundedResponse{
	{"status line", "", "x"},
	{"header line", "HTTP/1.1 200 OK\r\nId: one\r\nA: ", "x"},
	{"header name", "HTTP/1.1 200 OK\r\nId: one\r\n", "x"},
	{"header lines", "HTTP/1.1 200 OK\r\nId: one\r\n", "A: x\r\n"},
	{"continued header line", "HTTP/1.1 200 OK\r\nId: one\r\nA: x\r\n", " x\r\n"},
	{"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
	{"empty lines", "", "\r\n"},
	{"mismatched responses", "", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 0\r\n\r\n"},
	{"chunk extension", chunkedHeader + "1;", "x"},
	{"chunk extensions", chunkedHeader, "1;" + strings.Repeat("x", 100) + "\r\nx\r\n"},
	{"chunk size", chunkedHeader, "0"},
	{"trailer line", chunkedHeader + "1\r\nx\r\n0\r\nA: ", "x"},
	{"trailers", chunkedHeader + "1\r\nx\r\n0\r\n", "A: x\r\n"},
}

var unboundedBodies = []unboundedResponse{
	{"body without length", "HTTP/1.1 200 OK\r\nId: one\r\n\r\n", "x"},
	{"chunked body", chunkedHeader, chunkOf64},
	{"body with a huge length", "HTTP/1.1 200 OK\r\nId: one\r\nContent-Length: 1099511627776\r\n\r\n", "x"},
	{"body of a failure", "HTTP/1.1 500 Failed\r\nId: one\r\n\r\n", "x"},
	{"body of a refusal", "HTTP/1.1 503 Full\r\nId: one\r\nTransfer-Encoding: chunked\r\n\r\n", chunkOf64},
	{"chunk extensions of a refusal", "HTTP/1.1 503 Full\r\nId: one\r\nTransfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("x", 100) + "\r\nx\r\n"},
	{"trailers of a refusal", "HTTP/1.1 503 Full\r\nId: one\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", "A: x\r\n"},
	{"body of a mismatched response", "HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n", chunkOf64},
	{"body of a mismatched response without length", "HTTP/1.1 200 OK\r\nId: other\r\n\r\n", "x"},
}

// startUnboundedServer sends an unbounded response to the first request of each connection, until the connection is closed or the limit in
// bytes or time is reached.
func startUnboundedServer(t *testing.T, resp unboundedResponse, pause time.Duration) *unboundedServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	server := &unboundedServer{address: listener.Addr().String(), ended: make(chan error, 256)}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go server.serve(c, resp, pause)
		}
	}()
	return server
}

func (s *unboundedServer) serve(c net.Conn, resp unboundedResponse, pause time.Duration) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	if readRequest(r) == "" {
		return
	}
	s.requests.Add(1)
	s.ended <- s.send(c, resp, pause)
}

// send writes until it fails or reaches the limit in bytes, and then waits for the connection to be closed.
func (s *unboundedServer) send(c net.Conn, resp unboundedResponse, pause time.Duration) error {
	_ = c.SetDeadline(time.Now().Add(maxSendDuration))
	block, first := []byte(resp.unit), resp.prefix
	if pause == 0 {
		block = []byte(strings.Repeat(resp.unit, sendBlockSize/len(resp.unit)))
		// The first bytes after the prefix arrive with it: later ones could reach the client after it has sent its next request, whose response
		// they would seem to be.
		first += string(block)
	}
	_, err := io.WriteString(c, first)
	for sent := 0; err == nil && sent < maxSentBytes; sent += len(block) {
		_, err = c.Write(block)
		s.written.Add(int64(len(block)))
		time.Sleep(pause)
	}
	if err == nil {
		_, err = c.Read(make([]byte, 1))
	}
	return err
}

// checkReset checks that the client reset the connection.
func (s *unboundedServer) checkReset(t *testing.T) {
	t.Helper()
	select {
	case err := <-s.ended:
		assert.Assert(t, errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE), "ended by %v", err)
	case <-time.After(time.Second):
		t.Fatal("the connection is still open")
	}
}

// allocatedBytes returns the number of bytes that a function allocates.
func allocatedBytes(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// withDeadline sets the deadline of a request.
func withDeadline(timeLeft time.Duration) func(*Call, *reducer.Dispatch) {
	return func(_ *Call, d *reducer.Dispatch) { d.Deadline = clocker.Now().Add(timeLeft) }
}

// checkUnboundedResponse sends one request to a server that responds without end at full speed. It checks the outcome, the memory, the
// time and the connection.
func checkUnboundedResponse(t *testing.T, resp unboundedResponse, maxAllocation uint64, change func(*Call, *reducer.Dispatch)) *sink {
	t.Helper()
	server := startUnboundedServer(t, resp, 0)
	client := &Client[codec, *sink]{}
	var result Result
	var s *sink
	start := time.Now()
	used := allocatedBytes(func() { result, s = send(client, server.address, "one", change) })
	took := time.Since(start)
	t.Logf("outcome %v after %v, %d KiB allocated, %d KiB sent", result.Outcome, took, used>>10, server.written.Load()>>10)
	assert.Check(t, result.Outcome == reducer.OutcomeBroken, "outcome %v", result.Outcome)
	assert.Check(t, result.FailureResponse == nil)
	assert.Check(t, used < maxAllocation, "%d KiB allocated", used>>10)
	assert.Check(t, took < time.Second, "took %v", took)
	assert.Equal(t, len(client.pool.idle["b"]), 0, "the connection was kept for reuse")
	server.checkReset(t)
	assert.Equal(t, server.requests.Load(), int64(1))
	return s
}

// Guards against an unbounded header being read into memory, or using CPU time until the deadline.
func TestUnboundedFramingIsAborted(t *testing.T) {
	for _, resp := range unboundedFraming {
		t.Run(resp.name, func(t *testing.T) {
			s := checkUnboundedResponse(t, resp, 1<<20, withDeadline(3*time.Second))
			assert.Equal(t, s.body.Len(), 0)
		})
	}
}

// Guards against an unbounded body being delivered, buffered without limit, or read until the deadline.
func TestUnboundedBodyIsAborted(t *testing.T) {
	for _, resp := range unboundedBodies {
		t.Run(resp.name, func(t *testing.T) {
			s := checkUnboundedResponse(t, resp, maxBodyAllocation, withDeadline(3*time.Second))
			assert.Equal(t, s.body.Len(), 0)
		})
	}
}

// Guards against a slow unbounded response holding a request past its deadline, or being delivered.
func TestSlowUnboundedResponseStopsAtDeadline(t *testing.T) {
	for _, resp := range append(append([]unboundedResponse(nil), unboundedFraming...), unboundedBodies...) {
		t.Run(resp.name, func(t *testing.T) {
			t.Parallel()
			server := startUnboundedServer(t, resp, slowSendInterval)
			client := &Client[codec, *sink]{}
			start := time.Now()
			result, s := send(client, server.address, "one", withDeadline(300*time.Millisecond))
			took := time.Since(start)
			assert.Check(t, took < 300*time.Millisecond+readGrace+200*time.Millisecond, "took %v", took)
			assert.Check(t, result.Outcome == reducer.OutcomeTimeout || result.Outcome == reducer.OutcomeBroken, "outcome %v", result.Outcome)
			assert.Equal(t, s.body.Len(), 0)
			assert.Equal(t, len(client.pool.idle["b"]), 0)
			server.checkReset(t)
		})
	}
}

// Guards against the bytes of a slow unbounded header counting as the start of a response.
func TestSlowUnboundedHeaderTimesOut(t *testing.T) {
	for _, resp := range unboundedFraming[:7] {
		t.Run(resp.name, func(t *testing.T) {
			t.Parallel()
			server := startUnboundedServer(t, resp, slowSendInterval)
			start := time.Now()
			result, _ := send(&Client[codec, *sink]{}, server.address, "one", func(_ *Call, d *reducer.Dispatch) { d.ResponseHeaderTimeout = 100 * time.Millisecond })
			assert.Check(t, time.Since(start) < 500*time.Millisecond)
			assert.Check(t, result.Outcome == reducer.OutcomeTimeout || result.Outcome == reducer.OutcomeBroken, "outcome %v", result.Outcome)
			server.checkReset(t)
		})
	}
}

// discardingSink is a caller that keeps nothing of what it is sent.
type discardingSink struct{ room }

func (discardingSink) BeginStream(int, http.Header) {}
func (discardingSink) Write([]byte) error           { return nil }
func (discardingSink) WriteResponse(r Response) error {
	if r.Rest == nil {
		return nil
	}
	_, err := io.Copy(io.Discard, r.Rest)
	return err
}

// Guards against many unbounded bodies together exhausting the memory of the host.
func TestUnboundedBodiesStayWithinMemoryLimit(t *testing.T) {
	const (
		calls = 48
		bound = 2*maxLargeBodies*maxBodySize + 4*calls*smallBodySize
	)
	// Frequent collections leave little garbage, which makes the heap size close to the memory in use.
	defer debug.SetGCPercent(debug.SetGCPercent(10))
	server := startUnboundedServer(t, unboundedResponse{prefix: unboundedBodies[0].prefix, unit: strings.Repeat("x", sendBlockSize)},
		slowSendInterval)
	client := &Client[codec, discardingSink]{}
	var callers sync.WaitGroup
	done := make(chan struct{})
	runtime.GC()
	var before runtime.MemStats
	runtime.ReadMemStats(&before)
	for range calls {
		callers.Go(func() {
			call := Call{CallerID: "one", Method: http.MethodGet, Target: "/x", HostName: "h", Header: http.Header{}}
			dispatch := reducer.Dispatch{ID: "one", Backend: "b", Address: server.address, Deadline: clocker.Now().Add(1500 * time.Millisecond)}
			result := client.Send(context.Background(), call, dispatch, discardingSink{}, Hooks{OnStart: func(Start) {}})
			assert.Check(t, result.Outcome == reducer.OutcomeTimeout, "outcome %v", result.Outcome)
		})
	}
	go func() { callers.Wait(); close(done) }()
	peak := before.HeapAlloc
	for waiting := true; waiting; {
		select {
		case <-done:
			waiting = false
		case <-time.After(time.Millisecond):
			var now runtime.MemStats
			runtime.ReadMemStats(&now)
			peak = max(peak, now.HeapAlloc)
		}
	}
	t.Logf("%d MiB at the peak", (peak-before.HeapAlloc)>>20)
	assert.Assert(t, peak-before.HeapAlloc < bound, "%d MiB", (peak-before.HeapAlloc)>>20)
}

// Guards against long responses failing because faulty servers occupy all slots for large bodies.
func TestLongResponseWaitsForSlot(t *testing.T) {
	server := startUnboundedServer(t, unboundedResponse{prefix: unboundedBodies[0].prefix + strings.Repeat("x", 2*smallBodySize), unit: "x"},
		slowSendInterval)
	body := strings.Repeat("y", maxBodySize)
	address := startServer(t, func(c net.Conn, r *bufio.Reader) { readRequest(r); writeResponse(c, "long", body) })
	client := &Client[codec, *sink]{}
	var callers sync.WaitGroup
	for range maxLargeBodies {
		callers.Go(func() {
			result, _ := send(client, server.address, "one", withDeadline(500*time.Millisecond))
			assert.Check(t, result.Outcome == reducer.OutcomeTimeout, "outcome %v", result.Outcome)
		})
	}
	time.Sleep(200 * time.Millisecond)
	result, s := send(client, address, "long", withDeadline(3*time.Second))
	assert.Equal(t, result.Outcome, reducer.OutcomeDone)
	assert.Equal(t, s.body.Len(), maxBodySize)
	callers.Wait()
}
