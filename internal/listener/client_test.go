package listener

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/internal/budgeter"
	"github.com/redwingpick/redwingpick/internal/reducer"
	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// Guards against connections that stay open, and cannot be dropped, since the HTTP library waits for the rest of a body that the handler did not read.
func TestRefusedRequestDoesNotKeepItsConnection(t *testing.T) {
	callers := callersWithFullMailbox(&bytes.Buffer{})
	for _, c := range []struct {
		framing, status string
		reason          reducer.Reason
	}{
		{"Content-Length: 1000\r\n\r\nabc", "400", reducer.ReasonBadRequest},
		{"Transfer-Encoding: chunked\r\n\r\n3\r\nabc", "503", reducer.ReasonCallerMemory},
	} {
		g := newGuard(1 << 20)
		address := serveCallers(t, g, func(w http.ResponseWriter, r *http.Request) {
			defer clientOf(r).endRequest()
			callers.shed(&Sink{writer: w, client: clientOf(r)}, reducer.RequestShed{Reason: c.reason})
		})
		conn, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\n"+c.framing)
		assert.NilError(t, err)
		buffer := make([]byte, 12)
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		_, err = io.ReadFull(conn, buffer)
		assert.NilError(t, err)
		assert.Equal(t, string(buffer), "HTTP/1.1 "+c.status)
		waitUntilReturned(t, g)
		assert.NilError(t, conn.Close())
	}
}

// Guards against a head that is charged for the HTTP library's whole buffer each time some bytes of it arrive.
func TestHeadInSmallPartsHoldsItsOwnSize(t *testing.T) {
	g := newGuard(1 << 20)
	// The parts take about 0.2 s, and longer on a busy machine; the head must not time out meanwhile.
	g.Published = func() cataloguer.CallerLimits {
		return cataloguer.CallerLimits{MaxHeaderBytes: testLimits.MaxHeaderBytes, HeaderTimeout: 10 * time.Second, IdleTimeout: testLimits.IdleTimeout}
	}
	held := make(chan int64, 1)
	address := serveCallers(t, g, func(http.ResponseWriter, *http.Request) { held <- g.Status().HeldBytes })
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	head := "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nX: " + strings.Repeat("x", 150) + "\r\n\r\n"
	for i := range head {
		_, err := io.WriteString(conn, head[i:i+1])
		assert.NilError(t, err)
		time.Sleep(200 * time.Microsecond)
	}
	_, err = io.ReadAll(conn)
	assert.NilError(t, err)
	assert.Assert(t, len(held) == 1, "the connection was closed before its head had arrived")
	assert.Assert(t, <-held <= int64(connectionBytes+headFactor*len(head)))
	assert.NilError(t, conn.Close())
	waitUntilReturned(t, g)
}

// Guards against a chunked body of the usual size that is charged for a whole part, so that some hundred of them use up the memory of a small host.
func TestSmallChunkedBodyHoldsLittle(t *testing.T) {
	const size = 9000
	g := newGuard(1 << 20)
	held := make(chan int64, 1)
	address := serveCallers(t, g, func(w http.ResponseWriter, r *http.Request) {
		defer clientOf(r).endRequest()
		_, reason := readSegments(clientOf(r), w, r, 1<<20)
		assert.Check(t, reason == reducer.ReasonNone)
		held <- g.Status().HeldBytes
	})
	resp, err := http.Post("http://"+address, "text/plain", io.MultiReader(strings.NewReader(strings.Repeat("x", size))))
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Assert(t, <-held <= connectionBytes+2*size)
	http.DefaultClient.CloseIdleConnections()
	waitUntilReturned(t, g)
}

// Guards against a published limit on heads that does not take effect, since the HTTP library has a lower one.
func TestPublishedLimitOnHeadsMayExceedTheDefault(t *testing.T) {
	g := newGuard(4 << 20)
	g.Published = func() cataloguer.CallerLimits { return cataloguer.CallerLimits{MaxHeaderBytes: 2 * maxHeaderBytes} }
	address := serveCallers(t, g, func(http.ResponseWriter, *http.Request) {})
	head := "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nX: " + strings.Repeat("x", 3*maxHeaderBytes/2) + "\r\n\r\n"
	response := exchange(t, address, []byte(head))
	assert.Assert(t, strings.HasPrefix(response, "HTTP/1.1 200"), "%.40q", response)
	waitUntilReturned(t, g)
}

// Guards against connections that stay open beyond the bound: one whose request was dropped does not count, and cannot be dropped again.
func TestConnectionOfDroppedRequestIsClosed(t *testing.T) {
	g := newGuard(1 << 20)
	socket, err := g.Listen(budgeter.ClassPeers, "127.0.0.1:0")
	assert.NilError(t, err)
	server := g.OtherServer(budgeter.ClassPeers, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	go func() { _ = server.Serve(socket) }()
	defer func() { _ = server.Close() }()
	conn, err := net.Dial("tcp", socket.Addr().String())
	assert.NilError(t, err)
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Encoding: gzip\r\nContent-Length: 3\r\n\r\nabc")
	assert.NilError(t, err)
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	response, err := io.ReadAll(conn)
	assert.NilError(t, err, "the connection stays open")
	assert.Assert(t, strings.HasPrefix(string(response), "HTTP/1.1 503"), "%q", response)
	waitUntilReturned(t, g)
	assert.NilError(t, conn.Close())
}
