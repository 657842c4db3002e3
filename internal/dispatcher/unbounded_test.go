package dispatcher

import (
	"bufio"
	"errors"
	"io"
	"net"
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
	// floodBytes and floodTime limit what a test server sends on one connection.
	floodBytes = 64 << 20
	floodTime  = 6 * time.Second
	floodBlock = 16 << 10
	// trickleEvery is the pause between the writes of a test server that sends slowly.
	trickleEvery = 10 * time.Millisecond
	// wholeAllocated is the limit in bytes on the allocations for reading one response, whose buffer grows to maxBodySize in steps.
	wholeAllocated = 8 * maxBodySize
)

// flood is an unbounded response of a faulty server: a prefix, then a unit that repeats without end.
type flood struct {
	name  string
	begin string
	unit  string
}

// flooder is a faulty server that sends an unbounded response.
type flooder struct {
	address  string
	requests atomic.Int64
	written  atomic.Int64
	ended    chan error
}

const chunkedHead = "HTTP/1.1 200 OK\r\nId: one\r\nTransfer-Encoding: chunked\r\n\r\n"

// chunkOf64 is a chunk of 64 bytes.
var chunkOf64 = "40\r\n" + strings.Repeat("x", 64) + "\r\n"

// floodHeads do not end outside of a body: in the header, the chunk framing or the trailers, or with further responses.
// floodBodies do not end within a body.
var floodHeads = []flood{
	{"status line", "", "x"},
	{"header line", "HTTP/1.1 200 OK\r\nId: one\r\nA: ", "x"},
	{"header name", "HTTP/1.1 200 OK\r\nId: one\r\n", "x"},
	{"header lines", "HTTP/1.1 200 OK\r\nId: one\r\n", "A: x\r\n"},
	{"continued header line", "HTTP/1.1 200 OK\r\nId: one\r\nA: x\r\n", " x\r\n"},
	{"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
	{"empty lines", "", "\r\n"},
	{"mismatched responses", "", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 0\r\n\r\n"},
	{"chunk extension", chunkedHead + "1;", "x"},
	{"chunk extensions", chunkedHead, "1;" + strings.Repeat("x", 100) + "\r\nx\r\n"},
	{"chunk size", chunkedHead, "0"},
	{"trailer line", chunkedHead + "1\r\nx\r\n0\r\nA: ", "x"},
	{"trailers", chunkedHead + "1\r\nx\r\n0\r\n", "A: x\r\n"},
}

var floodBodies = []flood{
	{"body without length", "HTTP/1.1 200 OK\r\nId: one\r\n\r\n", "x"},
	{"chunked body", chunkedHead, chunkOf64},
	{"body with a huge length", "HTTP/1.1 200 OK\r\nId: one\r\nContent-Length: 1099511627776\r\n\r\n", "x"},
	{"body of a failure", "HTTP/1.1 500 Failed\r\nId: one\r\n\r\n", "x"},
	{"body of a refusal", "HTTP/1.1 503 Full\r\nId: one\r\nTransfer-Encoding: chunked\r\n\r\n", chunkOf64},
	{"chunk extensions of a refusal", "HTTP/1.1 503 Full\r\nId: one\r\nTransfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("x", 100) + "\r\nx\r\n"},
	{"trailers of a refusal", "HTTP/1.1 503 Full\r\nId: one\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", "A: x\r\n"},
	{"body of a mismatched response", "HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n", chunkOf64},
	{"body of a mismatched response without length", "HTTP/1.1 200 OK\r\nId: other\r\n\r\n", "x"},
}

// startFlooder sends an unbounded response to the first request of each connection, until the connection is closed or the limit in
// bytes or time is reached.
func startFlooder(t *testing.T, f flood, pause time.Duration) *flooder {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	server := &flooder{address: listener.Addr().String(), ended: make(chan error, 256)}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go server.serve(c, f, pause)
		}
	}()
	return server
}

func (s *flooder) serve(c net.Conn, f flood, pause time.Duration) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	if readRequest(r) == "" {
		return
	}
	s.requests.Add(1)
	s.ended <- s.pour(c, f, pause)
}

// pour writes until it fails or reaches the limit in bytes, and then waits for the connection to be closed.
func (s *flooder) pour(c net.Conn, f flood, pause time.Duration) error {
	_ = c.SetDeadline(time.Now().Add(floodTime))
	block := []byte(f.unit)
	if pause == 0 {
		block = []byte(strings.Repeat(f.unit, floodBlock/len(f.unit)))
	}
	_, err := io.WriteString(c, f.begin)
	for sent := 0; err == nil && sent < floodBytes; sent += len(block) {
		_, err = c.Write(block)
		s.written.Add(int64(len(block)))
		time.Sleep(pause)
	}
	if err == nil {
		_, err = c.Read(make([]byte, 1))
	}
	return err
}

// mustEndByReset checks that the client reset the connection.
func (s *flooder) mustEndByReset(t *testing.T) {
	t.Helper()
	select {
	case err := <-s.ended:
		assert.Assert(t, errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE), "ended by %v", err)
	case <-time.After(time.Second):
		t.Fatal("the connection is still open")
	}
}

// allocated returns the number of bytes that a function allocates.
func allocated(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// within sets the deadline of a request.
func within(timeLeft time.Duration) func(*Call, *reducer.Dispatch) {
	return func(_ *Call, d *reducer.Dispatch) { d.Deadline = clocker.Now().Add(timeLeft) }
}

// checkFlood sends one request to a server that responds without end at full speed, and checks the outcome, the memory, the time and the
// connection.
func checkFlood(t *testing.T, f flood, maxAllocation uint64, change func(*Call, *reducer.Dispatch)) *sink {
	t.Helper()
	server := startFlooder(t, f, 0)
	client := &Client[codec, *sink]{}
	var result Result
	var s *sink
	start := time.Now()
	used := allocated(func() { result, s = send(client, server.address, "one", change) })
	took := time.Since(start)
	t.Logf("outcome %v after %v, %d KiB allocated, %d KiB sent", result.Outcome, took, used>>10, server.written.Load()>>10)
	assert.Check(t, result.Outcome == reducer.OutcomeBroken, "outcome %v", result.Outcome)
	assert.Check(t, result.FailureResponse == nil)
	assert.Check(t, used < maxAllocation, "%d KiB allocated", used>>10)
	assert.Check(t, took < time.Second, "took %v", took)
	assert.Equal(t, len(client.pool.idle["b"]), 0, "the connection was kept for reuse")
	server.mustEndByReset(t)
	assert.Equal(t, server.requests.Load(), int64(1))
	return s
}

// Guards against an unbounded header being read into memory, or using CPU time until the deadline.
func TestHeadWithoutEndIsBrokenOff(t *testing.T) {
	for _, f := range floodHeads {
		t.Run(f.name, func(t *testing.T) {
			s := checkFlood(t, f, 1<<20, within(3*time.Second))
			assert.Equal(t, s.body.Len(), 0)
		})
	}
}

// Guards against an unbounded body being delivered, buffered without limit, or read until the deadline.
func TestBodyWithoutEndIsBrokenOff(t *testing.T) {
	for _, f := range floodBodies {
		t.Run(f.name, func(t *testing.T) {
			s := checkFlood(t, f, wholeAllocated, within(3*time.Second))
			assert.Equal(t, s.body.Len(), 0)
		})
	}
}

// Guards against a slow unbounded response holding a request past its deadline, or being delivered.
func TestSlowBytesWithoutEndStopAtTheDeadline(t *testing.T) {
	for _, f := range append(append([]flood(nil), floodHeads...), floodBodies...) {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			server := startFlooder(t, f, trickleEvery)
			client := &Client[codec, *sink]{}
			start := time.Now()
			result, s := send(client, server.address, "one", within(300*time.Millisecond))
			took := time.Since(start)
			assert.Check(t, took < 300*time.Millisecond+readGrace+200*time.Millisecond, "took %v", took)
			assert.Check(t, result.Outcome == reducer.OutcomeTimeout || result.Outcome == reducer.OutcomeBroken, "outcome %v", result.Outcome)
			assert.Equal(t, s.body.Len(), 0)
			assert.Equal(t, len(client.pool.idle["b"]), 0)
			server.mustEndByReset(t)
		})
	}
}

// Guards against the bytes of a slow unbounded header counting as the start of a response.
func TestSlowHeadWithoutEndIsSilence(t *testing.T) {
	for _, f := range floodHeads[:7] {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			server := startFlooder(t, f, trickleEvery)
			start := time.Now()
			result, _ := send(&Client[codec, *sink]{}, server.address, "one", func(_ *Call, d *reducer.Dispatch) { d.SilentAfter = 100 * time.Millisecond })
			assert.Check(t, time.Since(start) < 500*time.Millisecond)
			assert.Check(t, result.Outcome == reducer.OutcomeTimeout || result.Outcome == reducer.OutcomeBroken, "outcome %v", result.Outcome)
			server.mustEndByReset(t)
		})
	}
}

// Guards against many unbounded bodies together exhausting the memory of the host.
func TestManyBodiesWithoutEndStayWithinTheMemory(t *testing.T) {
	const (
		calls = 48
		bound = 2*maxLargeBodies*maxBodySize + 4*calls*smallBodySize
	)
	// Frequent collections leave little garbage, which makes the heap size close to the memory in use.
	defer debug.SetGCPercent(debug.SetGCPercent(10))
	server := startFlooder(t, flood{begin: floodBodies[0].begin, unit: strings.Repeat("x", floodBlock)}, trickleEvery)
	client := &Client[codec, *sink]{}
	var callers sync.WaitGroup
	done := make(chan struct{})
	runtime.GC()
	var before runtime.MemStats
	runtime.ReadMemStats(&before)
	for range calls {
		callers.Go(func() {
			result, _ := send(client, server.address, "one", within(1500*time.Millisecond))
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
func TestLongAnswerWaitsBehindBodiesWithoutEnd(t *testing.T) {
	server := startFlooder(t, flood{begin: floodBodies[0].begin + strings.Repeat("x", 2*smallBodySize), unit: "x"}, trickleEvery)
	body := strings.Repeat("y", maxBodySize)
	address := script(t, func(c net.Conn, r *bufio.Reader) { readRequest(r); reply(c, "long", body) })
	client := &Client[codec, *sink]{}
	var callers sync.WaitGroup
	for range maxLargeBodies {
		callers.Go(func() {
			result, _ := send(client, server.address, "one", within(500*time.Millisecond))
			assert.Check(t, result.Outcome == reducer.OutcomeTimeout, "outcome %v", result.Outcome)
		})
	}
	time.Sleep(200 * time.Millisecond)
	result, s := send(client, address, "long", within(3*time.Second))
	assert.Equal(t, result.Outcome, reducer.OutcomeDone)
	assert.Equal(t, s.body.Len(), maxBodySize)
	callers.Wait()
}
