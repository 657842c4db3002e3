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
	// floodBytes and floodTime bound what a stand-in sends without end on one connection.
	floodBytes = 64 << 20
	floodTime  = 6 * time.Second
	floodBlock = 16 << 10
	// trickleEvery is the pause between the units of a stand-in that sends slowly.
	trickleEvery = 10 * time.Millisecond
	// wholeAllocated is what reading one answer may allocate: it grows to maxWhole by steps.
	wholeAllocated = 8 * maxWhole
)

// flood is what a server in trouble sends after each request: a beginning, then a unit again and again.
type flood struct {
	name  string
	begin string
	unit  string
}

// flooder is a server in trouble.
type flooder struct {
	address  string
	requests atomic.Int64
	written  atomic.Int64
	ended    chan error
}

const chunkedHead = "HTTP/1.1 200 OK\r\nId: one\r\nTransfer-Encoding: chunked\r\n\r\n"

// chunkOf64 is a chunk of 64 bytes.
var chunkOf64 = "40\r\n" + strings.Repeat("x", 64) + "\r\n"

// floodHeads end before a body, or between its pieces; floodBodies are in a body.
var floodHeads = []flood{
	{"status line", "", "x"},
	{"header line", "HTTP/1.1 200 OK\r\nId: one\r\nA: ", "x"},
	{"header name", "HTTP/1.1 200 OK\r\nId: one\r\n", "x"},
	{"header lines", "HTTP/1.1 200 OK\r\nId: one\r\n", "A: x\r\n"},
	{"continued header line", "HTTP/1.1 200 OK\r\nId: one\r\nA: x\r\n", " x\r\n"},
	{"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
	{"empty lines", "", "\r\n"},
	{"answers to others", "", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 0\r\n\r\n"},
	{"chunk extension", chunkedHead + "1;", "x"},
	{"chunk extensions", chunkedHead, "1;" + strings.Repeat("x", 100) + "\r\nx\r\n"},
	{"chunk size", chunkedHead, "0"},
	{"trailer line", chunkedHead + "1\r\nx\r\n0\r\nA: ", "x"},
	{"trailers", chunkedHead + "1\r\nx\r\n0\r\n", "A: x\r\n"},
}

var floodBodies = []flood{
	{"body without length", "HTTP/1.1 200 OK\r\nId: one\r\n\r\n", "x"},
	{"chunked body", chunkedHead, chunkOf64},
	{"body of great length", "HTTP/1.1 200 OK\r\nId: one\r\nContent-Length: 1099511627776\r\n\r\n", "x"},
	{"body of a failure", "HTTP/1.1 500 Failed\r\nId: one\r\n\r\n", "x"},
	{"body of a refusal", "HTTP/1.1 503 Full\r\nId: one\r\nTransfer-Encoding: chunked\r\n\r\n", chunkOf64},
	{"chunk extensions of a refusal", "HTTP/1.1 503 Full\r\nId: one\r\nTransfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("x", 100) + "\r\nx\r\n"},
	{"trailers of a refusal", "HTTP/1.1 503 Full\r\nId: one\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", "A: x\r\n"},
	{"body for another", "HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n", chunkOf64},
	{"body for another without length", "HTTP/1.1 200 OK\r\nId: other\r\n\r\n", "x"},
}

// startFlooder serves every connection with one flood, which ends with the connection, its bytes or its time.
func startFlooder(t *testing.T, f flood, pause time.Duration) *flooder {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = socket.Close() })
	server := &flooder{address: socket.Addr().String(), ended: make(chan error, 256)}
	go func() {
		for {
			c, err := socket.Accept()
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

// pour writes until it fails; after its bytes it waits for the connection to end.
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

// mustEndByReset checks that the client reset the connection on which the bytes came.
func (s *flooder) mustEndByReset(t *testing.T) {
	t.Helper()
	select {
	case err := <-s.ended:
		assert.Assert(t, errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE), "ended by %v", err)
	case <-time.After(time.Second):
		t.Fatal("the connection is still open")
	}
}

// allocated returns the bytes that a function allocates.
func allocated(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

func within(left time.Duration) func(*Call, *reducer.Dispatch) {
	return func(_ *Call, d *reducer.Dispatch) { d.Deadline = clocker.Now().Add(left) }
}

// checkFlood sends one request to a server that sends fast, and checks the outcome, the memory, the time and the connection.
func checkFlood(t *testing.T, f flood, bound uint64, change func(*Call, *reducer.Dispatch)) *sink {
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
	assert.Check(t, result.Held == nil)
	assert.Check(t, used < bound, "%d KiB allocated", used>>10)
	assert.Check(t, took < time.Second, "took %v", took)
	assert.Equal(t, len(client.pool.idle["b"]), 0, "the connection is kept")
	server.mustEndByReset(t)
	assert.Equal(t, server.requests.Load(), int64(1))
	return s
}

// Guards against a head without end that is read into memory, or that keeps the processor busy until the deadline.
func TestHeadWithoutEndIsBrokenOff(t *testing.T) {
	for _, f := range floodHeads {
		t.Run(f.name, func(t *testing.T) {
			s := checkFlood(t, f, 1<<20, within(3*time.Second))
			assert.Equal(t, s.body.Len(), 0)
		})
	}
}

// Guards against a body without end that is taken for an answer, kept in memory, or read until the deadline.
func TestBodyWithoutEndIsBrokenOff(t *testing.T) {
	for _, f := range floodBodies {
		t.Run(f.name, func(t *testing.T) {
			s := checkFlood(t, f, wholeAllocated, within(3*time.Second))
			assert.Equal(t, s.body.Len(), 0)
		})
	}
}

// Guards against slow bytes without end that hold a request beyond its deadline or are taken for an answer.
func TestSlowBytesWithoutEndStopAtTheDeadline(t *testing.T) {
	for _, f := range append(append([]flood(nil), floodHeads...), floodBodies...) {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			server := startFlooder(t, f, trickleEvery)
			client := &Client[codec, *sink]{}
			start := time.Now()
			result, s := send(client, server.address, "one", within(300*time.Millisecond))
			took := time.Since(start)
			assert.Check(t, took < 300*time.Millisecond+lastRead+200*time.Millisecond, "took %v", took)
			assert.Check(t, result.Outcome == reducer.OutcomeTimeout || result.Outcome == reducer.OutcomeBroken, "outcome %v", result.Outcome)
			assert.Equal(t, s.body.Len(), 0)
			assert.Equal(t, len(client.pool.idle["b"]), 0)
			server.mustEndByReset(t)
		})
	}
}

// Guards against slow bytes without end that pass for a sign of an answer.
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

// Guards against many bodies without end that together take the memory of the host.
func TestManyBodiesWithoutEndStayWithinTheMemory(t *testing.T) {
	const (
		calls = 48
		bound = 2*largeWholes*maxWhole + 4*calls*smallWhole
	)
	// Little garbage is left uncollected, so that the heap is what is held.
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

// Guards against long answers that are refused because servers in trouble fill the memory for answers.
func TestLongAnswerWaitsBehindBodiesWithoutEnd(t *testing.T) {
	server := startFlooder(t, flood{begin: floodBodies[0].begin + strings.Repeat("x", 2*smallWhole), unit: "x"}, trickleEvery)
	body := strings.Repeat("y", maxWhole)
	address := script(t, func(c net.Conn, r *bufio.Reader) { readRequest(r); reply(c, "long", body) })
	client := &Client[codec, *sink]{}
	var callers sync.WaitGroup
	for range largeWholes {
		callers.Go(func() {
			result, _ := send(client, server.address, "one", within(500*time.Millisecond))
			assert.Check(t, result.Outcome == reducer.OutcomeTimeout, "outcome %v", result.Outcome)
		})
	}
	time.Sleep(200 * time.Millisecond)
	result, s := send(client, address, "long", within(3*time.Second))
	assert.Equal(t, result.Outcome, reducer.OutcomeDone)
	assert.Equal(t, s.body.Len(), maxWhole)
	callers.Wait()
}
