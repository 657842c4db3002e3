package listener

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/internal/budgeter"
	"github.com/redwingpick/redwingpick/internal/recorder"
	"github.com/redwingpick/redwingpick/internal/reducer"
	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// testLimits are the published limits of the tests.
var testLimits = cataloguer.CallerLimits{MaxHeaderBytes: 1 << 10, HeaderTimeout: 300 * time.Millisecond, IdleTimeout: 300 * time.Millisecond}

func newGuard(bytes int64) *Guard {
	return &Guard{
		Limits: budgeter.Limits{Bytes: bytes, Connections: budgeter.DivideConnections(320)}, Recorder: &recorder.Recorder{Out: io.Discard},
		Published: func() cataloguer.CallerLimits { return testLimits },
	}
}

// serveCallers serves callers with a handler and returns the address.
func serveCallers(t testing.TB, g *Guard, handler http.HandlerFunc) string {
	socket, err := g.Listen(budgeter.ClassCallers, "127.0.0.1:0")
	assert.NilError(t, err)
	server := g.CallerServer(handler)
	go func() { _ = server.Serve(socket) }()
	t.Cleanup(func() { _ = server.Close() })
	return socket.Addr().String()
}

// exchange writes bytes on a new connection and returns all that the server sends until it closes the connection.
func exchange(t testing.TB, address string, request []byte) string {
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	go func() { _, _ = conn.Write(request) }()
	response, _ := io.ReadAll(conn)
	return string(response)
}

// waitUntilReturned waits until all connections of a guard have ended, and checks that all bytes were given back.
func waitUntilReturned(t testing.TB, g *Guard) {
	t.Helper()
	for range 500 {
		if status := g.Status(); status.HeldBytes == 0 && status.Connections["callers"]+status.Connections["peers"] == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("not all is returned: %+v", g.Status())
}

// Guards against heads that are read beyond the published limit, against heads and connections that stay open beyond the published times, and against
// refusing a head of the largest size.
func TestHeadsFollowThePublishedLimits(t *testing.T) {
	head := "GET / HTTP/1.1\r\nHost: h\r\nX: "
	largest := head + strings.Repeat("x", testLimits.MaxHeaderBytes-len(head)-4) + "\r\n\r\n"
	for name, c := range map[string]struct{ request, status string }{
		"largest": {largest, "200"},
		"long":    {head + strings.Repeat("x", 100_000), "431"},
		"open":    {head, ""},
		"silent":  {"", ""},
		"empty":   {strings.Repeat("\r\n", 100_000), "400"},
	} {
		g := newGuard(1 << 20)
		address := serveCallers(t, g, func(_ http.ResponseWriter, r *http.Request) {
			assert.Check(t, headSize(r) <= testLimits.MaxHeaderBytes, "%d", headSize(r))
		})
		response := exchange(t, address, []byte(c.request))
		assert.Check(t, strings.HasPrefix(response, "HTTP/1.1 "+c.status) == (c.status != ""), "%s: %q", name, response)
		waitUntilReturned(t, g)
	}
}

// Guards against a request that runs although its connection was dropped as its head ended, so that its caller gets no response.
func TestRequestOfDroppedConnectionDoesNotRun(t *testing.T) {
	g := newGuard(1 << 20)
	reasons := make(chan reducer.Reason, 1)
	address := serveCallers(t, g, func(w http.ResponseWriter, r *http.Request) {
		g.budget.Clients[clientOf(r)].Dropped = true
		_, reason := readSegments(clientOf(r), w, r, 100)
		g.budget.Clients[clientOf(r)].Dropped = false
		reasons <- reason
	})
	exchange(t, address, []byte("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"))
	assert.Equal(t, <-reasons, reducer.ReasonCallerMemory)
}

// Guards against a body that arrives changed from its parts, whatever its size and framing, and against bytes that are not returned.
func TestBodiesAreReadInParts(t *testing.T) {
	g := newGuard(8 << 20)
	address := serveCallers(t, g, func(w http.ResponseWriter, r *http.Request) {
		defer clientOf(r).endRequest()
		parts, reason := readSegments(clientOf(r), w, r, 300_000)
		w.Header().Set("Reason", reason.String())
		for _, part := range parts {
			assert.Check(t, len(part) <= bodyStepSize)
			_, _ = w.Write(part)
		}
	})
	for _, size := range []int{0, 1, firstStepSize, firstStepSize + 1, bodyStepSize, bodyStepSize + 1, 300_000, 300_001} {
		body := strings.Repeat("abcdefg", size/7+1)[:size]
		for _, r := range []io.Reader{strings.NewReader(body), bufio.NewReader(strings.NewReader(body))} {
			resp, err := http.Post("http://"+address, "text/plain", r)
			assert.NilError(t, err)
			got, err := io.ReadAll(resp.Body)
			assert.NilError(t, err)
			if size > 300_000 {
				assert.Equal(t, resp.Header.Get("Reason"), reducer.ReasonTooLarge.String())
				continue
			}
			assert.Equal(t, resp.Header.Get("Reason"), reducer.ReasonNone.String())
			assert.Assert(t, string(got) == body, "%d bytes", size)
		}
	}
	http.DefaultClient.CloseIdleConnections()
	waitUntilReturned(t, g)
}

// Guards against a slow body that is cut at the time limit of heads.
func TestBodyMayTakeLongerThanItsHead(t *testing.T) {
	g := newGuard(1 << 20)
	address := serveCallers(t, g, func(w http.ResponseWriter, r *http.Request) {
		defer clientOf(r).endRequest()
		_, reason := readSegments(clientOf(r), w, r, 100)
		w.Header().Set("Reason", reason.String())
	})
	reader, writer := io.Pipe()
	go func() {
		_, _ = writer.Write([]byte("a"))
		time.Sleep(2 * testLimits.HeaderTimeout)
		_, _ = writer.Write([]byte("b"))
		_ = writer.Close()
	}()
	resp, err := http.Post("http://"+address, "text/plain", reader)
	assert.NilError(t, err)
	assert.Equal(t, resp.Header.Get("Reason"), reducer.ReasonNone.String())
}

// Guards against a truncated body that is taken for a whole one.
func TestTruncatedBodyIsRefused(t *testing.T) {
	for _, body := range []string{"5\r\nab", "2\r\nab\r\n", "2\r\nab\r\nzz"} {
		_, err := readAll(nil, chunkedBody(t, body), -1)
		assert.Assert(t, err != nil, "%q", body)
	}
	parts, err := readAll(nil, chunkedBody(t, "2\r\nab\r\n0\r\n\r\n"), -1)
	assert.NilError(t, err)
	assert.Equal(t, string(bytes.Join(parts, nil)), "ab")
}

func chunkedBody(t *testing.T, body string) io.Reader {
	head := "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(head + body)))
	assert.NilError(t, err)
	return request.Body
}

// Guards against a caller whose body is not read on and who gets no answer, or one that allows no retry: the stopped body is refused as not run, and
// another one of the largest size is served in its place.
func TestStoppedBodyIsRefusedForAnother(t *testing.T) {
	const size = 700_000
	g := newGuard(1 << 20)
	callers := callersWithFullMailbox(&bytes.Buffer{})
	address := serveCallers(t, g, func(w http.ResponseWriter, r *http.Request) {
		defer clientOf(r).endRequest()
		if _, reason := readSegments(clientOf(r), w, r, size); reason != reducer.ReasonNone {
			callers.shed(&Sink{writer: w}, reducer.RequestShed{Reason: reason})
		}
	})
	stopped := make(chan string)
	go func() {
		head := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", size)
		stopped <- exchange(t, address, append([]byte(head), make([]byte, size-1)...))
	}()
	for g.Status().HeldBytes < size {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	resp, err := http.Post("http://"+address, "text/plain", bytes.NewReader(make([]byte, size)))
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	response := <-stopped
	assert.Assert(t, strings.HasPrefix(response, "HTTP/1.1 503") && strings.Contains(response, "Retry-After: 0.500"), "%q", response)
	assert.Assert(t, strings.Contains(response, reducer.ReasonCallerMemory.String()), "%q", response)
	http.DefaultClient.CloseIdleConnections()
	waitUntilReturned(t, g)
}

// Guards against calls of other hosts on a shared connection that count as idle while they run, whose bodies are not counted, or whose bytes are not
// returned; a compressed call is refused if there is no memory to expand it.
func TestCallsOnSharedConnectionsCount(t *testing.T) {
	g := newGuard(2 << 20)
	socket, err := g.Listen(budgeter.ClassPeers, "127.0.0.1:0")
	assert.NilError(t, err)
	server := g.OtherServer(budgeter.ClassPeers, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		assert.Check(t, err)
		connection := clientOf(r)
		assert.Check(t, connection.shared && connection.is(budgeter.PhaseRunning))
		assert.Check(t, g.Status().HeldBytes >= int64(sharedConnectionBytes+peerBodyFactor*len(body)))
	}))
	go func() { _ = server.Serve(socket) }()
	defer func() { _ = server.Close() }()
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	var conn net.Conn
	transport := &http.Transport{Protocols: protocols, DialContext: func(context.Context, string, string) (net.Conn, error) {
		conn, err = net.Dial("tcp", socket.Addr().String())
		return conn, err
	}}
	for encoding, status := range map[string]int{"": http.StatusOK, "gzip": http.StatusServiceUnavailable} {
		request, err := http.NewRequest(http.MethodPost, "http://"+socket.Addr().String(), bytes.NewReader(make([]byte, 100_000)))
		assert.NilError(t, err)
		request.Header.Set("Content-Encoding", encoding)
		resp, err := transport.RoundTrip(request)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, status, encoding)
		assert.NilError(t, resp.Body.Close())
	}
	assert.Equal(t, g.Status().Connections["peers"], 1)
	assert.NilError(t, conn.Close())
	waitUntilReturned(t, g)
}

// Guards against a panic that ends the process when a request on a shared connection is dropped while its handler ends.
func TestRequestThatHasEndedCanBeInterrupted(t *testing.T) {
	g := newGuard(1 << 20)
	socket, err := g.Listen(budgeter.ClassPeers, "127.0.0.1:0")
	assert.NilError(t, err)
	clients := make(chan *client, 1)
	server := g.OtherServer(budgeter.ClassPeers, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		clients <- r.Body.(*budgetedBody).client
	}))
	go func() { _ = server.Serve(socket) }()
	defer func() { _ = server.Close() }()
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: protocols}
	defer transport.CloseIdleConnections()
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+socket.Addr().String(), strings.NewReader("abc"))
	assert.NilError(t, err)
	resp, err := transport.RoundTrip(request)
	assert.NilError(t, err)
	_, err = io.ReadAll(resp.Body)
	assert.NilError(t, err)
	ended := <-clients
	time.Sleep(50 * time.Millisecond)
	ended.interrupt()
}

// Guards against the begin of an HTTP/2 connection that keeps it open without end, and against a time limit that ends a whole one.
func TestSharedConnectionMustBegin(t *testing.T) {
	g := newGuard(1 << 20)
	socket, err := g.Listen(budgeter.ClassPeers, "127.0.0.1:0")
	assert.NilError(t, err)
	socket.(*guardedListener).bounds.headTimeout = func() time.Duration { return testLimits.HeaderTimeout }
	server := g.OtherServer(budgeter.ClassPeers, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	go func() { _ = server.Serve(socket) }()
	defer func() { _ = server.Close() }()
	conn, err := net.Dial("tcp", socket.Addr().String())
	assert.NilError(t, err)
	_, err = io.WriteString(conn, sharedPreface)
	assert.NilError(t, err)
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err = io.ReadAll(conn)
	assert.NilError(t, err, "the connection stays open")
	assert.NilError(t, conn.Close())

	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	dials := 0
	transport := &http.Transport{Protocols: protocols, DialContext: func(context.Context, string, string) (net.Conn, error) {
		dials++
		return net.Dial("tcp", socket.Addr().String())
	}}
	defer transport.CloseIdleConnections()
	for range 2 {
		request, err := http.NewRequest(http.MethodGet, "http://"+socket.Addr().String(), nil)
		assert.NilError(t, err)
		resp, err := transport.RoundTrip(request)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		time.Sleep(2 * testLimits.HeaderTimeout)
	}
	assert.Equal(t, dials, 1)
}

// Guards against first bytes of a connection that end the server, keep a connection or bytes, or are read beyond the limit.
func FuzzFirstBytes(f *testing.F) {
	for _, seed := range []string{
		"GET / HTTP/1.1\r\nHost: h\r\n\r\n", "\r\n\r\n", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nabc", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 5000),
	} {
		f.Add([]byte(seed))
	}
	g := newGuard(1 << 20)
	address := serveCallers(f, g, func(w http.ResponseWriter, r *http.Request) {
		defer clientOf(r).endRequest()
		_, _ = readSegments(clientOf(r), w, r, 1<<16)
	})
	f.Fuzz(func(t *testing.T, data []byte) {
		conn, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
		_, _ = conn.Write(data)
		_ = conn.(*net.TCPConn).CloseWrite()
		_, err = io.Copy(io.Discard, conn)
		timeout, ok := err.(net.Error)
		assert.Assert(t, !ok || !timeout.Timeout(), "the connection stays open")
		_ = conn.Close()
		waitUntilReturned(t, g)
	})
}
