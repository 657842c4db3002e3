package dispatcher

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/internal/clocker"
	"github.com/redwingpick/redwingpick/internal/reducer"
)

// serveSmallWindow listens with a small receive buffer and serves one connection.
func serveSmallWindow(t *testing.T, handle func(c *net.TCPConn, r *bufio.Reader)) string {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 16<<10)
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, 1460)
		})
	}}
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		handle(c.(*net.TCPConn), bufio.NewReader(c))
		_ = c.Close()
	}()
	return listener.Addr().String()
}

// dropPackets makes the kernel drop all packets for a connection, as behind a cut link.
func dropPackets(c *net.TCPConn) {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	drop := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop[0]})
	})
}

// sendBody sends a request with a body of the given size and a deadline of 8 s.
func sendBody(address string, size int) (Result, *sink, time.Duration) {
	startedAt := time.Now()
	result, s := send(&Client[codec, *sink]{}, address, "one", func(c *Call, d *reducer.Dispatch) {
		c.Body, d.Stream, d.Deadline = [][]byte{make([]byte, size)}, true, clocker.Now().Add(8*time.Second)
	})
	return result, s, time.Since(startedAt)
}

// Guards against a sound server being cut off because it answers before it has read a long body, and reads on later: its window is closed
// meanwhile, and bytes of the request wait.
func TestServerThatReadsTheBodyLateIsNotCutOff(t *testing.T) {
	t.Parallel()
	const events, gap = 8, 500 * time.Millisecond
	for _, size := range []int{110_000, largeUpload} {
		address := serveSmallWindow(t, func(c *net.TCPConn, r *bufio.Reader) {
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nId: one\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
			for n := range events {
				time.Sleep(gap)
				event := fmt.Sprintf("id: %d\ndata: a\n\n", n+1)
				_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
			}
			_, _ = fmt.Fprint(c, "0\r\n\r\n")
			_, _ = io.Copy(io.Discard, request.Body)
		})
		result, _, _ := sendBody(address, size)
		assert.Equal(t, result.Outcome, reducer.OutcomeDone, "body of %d bytes", size)
		assert.Equal(t, result.Events, events)
	}
}

// Guards against the same when the server sends nothing while it works, so that only its replies to window probes show that it lives.
func TestSilentServerThatReadsTheBodyLateIsNotCutOff(t *testing.T) {
	t.Parallel()
	address := serveSmallWindow(t, func(c *net.TCPConn, r *bufio.Reader) {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		time.Sleep(4 * time.Second)
		_, _ = io.Copy(io.Discard, request.Body)
		writeResponse(c, "one", "id: 1\ndata: a\n\n")
	})
	result, s, _ := sendBody(address, 110_000)
	assert.Equal(t, result.Outcome, reducer.OutcomeDone)
	assert.Equal(t, s.body.String(), "id: 1\ndata: a\n\n")
}

// cutLinkBound is how long a server behind a cut link may go unnoticed: tcpUserTimeout and the kernel's timers.
const cutLinkBound = 2500 * time.Millisecond

// Guards against a server behind a cut link that is not noticed while a body is sent to it: at once, or after its window has been closed.
func TestServerBehindACutLinkIsNoticed(t *testing.T) {
	for name, closed := range map[string]time.Duration{"open window": 0, "window closed before": 3 * time.Second} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			release := make(chan struct{})
			defer close(release)
			address := serveSmallWindow(t, func(c *net.TCPConn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				time.Sleep(closed)
				dropPackets(c)
				<-release
			})
			result, _, took := sendBody(address, largeUpload)
			assert.Equal(t, result.Outcome, reducer.OutcomeBroken)
			assert.Assert(t, took < closed+cutLinkBound, "noticed after %v", took)
		})
	}
}
