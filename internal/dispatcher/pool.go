package dispatcher

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sys/unix"

	"github.com/redwingpick/redwingpick/internal/reducer"
)

const (
	dialTimeout = 400 * time.Millisecond
	// tcpUserTimeout is how long sent bytes may stay unacknowledged before the kernel closes the connection.
	tcpUserTimeout = 1500 * time.Millisecond
	// Idle time, interval and number of TCP keep-alive probes.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// defaultIdleTimeout is how long an idle connection is kept if the server announces no keep-alive timeout.
	defaultIdleTimeout = 700 * time.Millisecond
	// idleMargin is subtracted from the keep-alive timeout that the server announces.
	idleMargin = 700 * time.Millisecond
	// sweepInterval is the interval at which idle connections are checked.
	sweepInterval  = time.Second
	readBufferSize = 4 << 10
	// maxRefusals is the number of rejected requests after which a connection is not reused.
	maxRefusals = 16
)

// ErrConnect is returned when no connection to a backend server is available.
var ErrConnect = merry.New("no connection to the backend server")

// connection is one persistent connection to a backend server.
type connection struct {
	net.Conn
	reader  *bufio.Reader
	bounded *boundedReader
	backend string
	reused  bool
	// refusedIDs holds the ids of the requests that the server rejected on this connection as not run.
	refusedIDs []string
	// usableUntil is when the idle connection expires, ahead of the server's keep-alive timeout.
	usableUntil time.Time
}

// pool holds the connections to all backend servers.
type pool struct {
	mutex sync.Mutex
	// idle holds the idle connections by backend server, the one used last at the end.
	idle map[string][]*connection
	// openCount is the number of open connections by backend server, idle or in use.
	openCount map[string]int
	// sweepScheduled is set while a sweep is scheduled, which is the case as long as there are idle connections.
	sweepScheduled bool
}

// get returns an idle connection to the dispatch's backend server or opens a new one; with fresh set, it closes the idle one instead of
// reusing it.
//
// A request is not sent again on a connection on which the server has rejected it: a faulty server may repeat that response, which names
// the right request, while the request runs.
func (p *pool) get(ctx context.Context, dispatch reducer.Dispatch, callerID string, fresh bool) (*connection, error) {
	backend := dispatch.Backend
	if c := p.popReusable(backend); c != nil && !fresh && !slices.Contains(c.refusedIDs, callerID) {
		return c, nil
	} else if c != nil {
		p.closeConn(c)
	}
	if !p.reserve(backend, dispatch.MaxConnections) {
		return nil, merry.Wrap(ErrConnect, merry.WithMessage("connection limit of the backend server reached"))
	}
	dialer := &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
		Control:         setUserTimeout,
	}
	conn, err := dialer.DialContext(ctx, "tcp", dispatch.Address)
	if err != nil {
		p.release(backend)
		return nil, merry.Wrap(ErrConnect, merry.WithCause(err))
	}
	bounded := &boundedReader{Reader: conn}
	return &connection{Conn: conn, reader: bufio.NewReaderSize(bounded, readBufferSize), bounded: bounded, backend: backend}, nil
}

// setUserTimeout sets TCP_USER_TIMEOUT on a new socket.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}

// reserve counts a new connection and reports false if the limit of the backend server is reached.
func (p *pool) reserve(backend string, limit int) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.openCount == nil {
		p.openCount = map[string]int{}
		p.idle = map[string][]*connection{}
	}
	if limit > 0 && p.openCount[backend] >= limit {
		return false
	}
	p.openCount[backend]++
	return true
}

func (p *pool) release(backend string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.openCount[backend]--
	if p.openCount[backend] <= 0 {
		delete(p.openCount, backend)
	}
}

// popReusable removes and returns the most recently used idle connection that has not expired, is open and has nothing to read.
// It closes those that it skips.
func (p *pool) popReusable(backend string) *connection {
	for {
		c := p.popIdle(backend)
		if c == nil {
			return nil
		}
		if time.Now().Before(c.usableUntil) && c.isReusable() {
			c.reused = true
			return c
		}
		p.closeConn(c)
	}
}

func (p *pool) popIdle(backend string) *connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	idle := p.idle[backend]
	if len(idle) == 0 {
		return nil
	}
	c := idle[len(idle)-1]
	p.idle[backend] = idle[:len(idle)-1]
	return c
}

// put makes a connection available for reuse after a response, or closes it if the server closes it or has sent more bytes.
func (p *pool) put(c *connection, resp *http.Response) {
	if resp.Close || c.reader.Buffered() > 0 || len(c.refusedIDs) >= maxRefusals {
		p.closeConn(c)
		return
	}
	_ = c.SetDeadline(time.Time{})
	c.usableUntil = time.Now().Add(idleTimeout(resp.Header.Get("Keep-Alive")))
	for _, expired := range p.addIdle(c) {
		p.closeConn(expired)
	}
}

// addIdle adds an idle connection, and removes and returns those of the same backend server that have expired.
func (p *pool) addIdle(c *connection) (expired []*connection) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := time.Now()
	var usable []*connection
	for _, other := range p.idle[c.backend] {
		if now.Before(other.usableUntil) {
			usable = append(usable, other)
			continue
		}
		expired = append(expired, other)
	}
	p.idle[c.backend] = append(usable, c)
	p.scheduleSweep()
	return expired
}

// scheduleSweep schedules a sweep unless one is scheduled already. The caller holds the mutex.
func (p *pool) scheduleSweep() {
	if p.sweepScheduled {
		return
	}
	p.sweepScheduled = true
	time.AfterFunc(sweepInterval, p.sweep)
}

// sweep closes the idle connections that have expired, were closed by the server or have unsolicited bytes to read.
func (p *pool) sweep() {
	for _, c := range p.removeUnusable(time.Now()) {
		p.closeConn(c)
	}
}

// removeUnusable removes and returns the idle connections that cannot be reused, and schedules the next sweep if others are left.
func (p *pool) removeUnusable(now time.Time) (unusable []*connection) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.sweepScheduled = false
	for backend, idle := range p.idle {
		var usable []*connection
		for _, c := range idle {
			if now.Before(c.usableUntil) && c.isReusable() {
				usable = append(usable, c)
				continue
			}
			unusable = append(unusable, c)
		}
		p.idle[backend] = usable
		if len(usable) == 0 {
			delete(p.idle, backend)
			continue
		}
		p.scheduleSweep()
	}
	return unusable
}

// idleTimeout returns how long an idle connection may be kept by the timeout in seconds of a Keep-Alive header.
func idleTimeout(header string) time.Duration {
	for part := range strings.SplitSeq(header, ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(text); err == nil && seconds > 0 {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return defaultIdleTimeout
}

// closeConn closes a connection and no longer counts it.
func (p *pool) closeConn(c *connection) {
	_ = c.Close()
	p.release(c.backend)
}

// closeIdle closes the idle connections to a backend server.
func (p *pool) closeIdle(backend string) {
	for c := p.popIdle(backend); c != nil; c = p.popIdle(backend) {
		p.closeConn(c)
	}
}

// isReusable reports whether an idle connection is open and has nothing to read; it peeks at the socket without blocking.
func (c *connection) isReusable() bool {
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = err == unix.EAGAIN
		return true
	})
	return err == nil && empty
}
