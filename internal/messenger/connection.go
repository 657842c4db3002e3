package messenger

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/ansel1/merry/v2"
)

// Limits in bytes on what a peer may send on one connection since the last successful call.
const (
	// maxUnansweredBytes is the limit from which a failed call resets the connection.
	maxUnansweredBytes = 256 << 10
	// maxReceivedBytes is the limit above which the connection is reset at once: the messages of two calls.
	maxReceivedBytes = 2 * maxMessageSize
)

// ErrTooManyBytes is returned when a peer has sent more bytes than the responses to its calls can have.
var ErrTooManyBytes = merry.New("peer sent more bytes without a valid response than responses can have")

// countingConn is a connection to a peer that counts the bytes received since the last successful call.
type countingConn struct {
	net.Conn
	received atomic.Int64
}

// Read counts the bytes that it reads. Above maxReceivedBytes it resets the connection and returns ErrTooManyBytes.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.received.Add(int64(n)) > maxReceivedBytes {
		c.reset()
		return n, ErrTooManyBytes
	}
	return n, err
}

// reset closes the connection by a TCP reset and discards the bytes that have not been acknowledged.
func (c *countingConn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// connectionTracker tracks the newest connection to each peer, by address.
type connectionTracker struct {
	dialer net.Dialer
	mutex  sync.Mutex
	newest map[string]*countingConn
}

// dial opens a connection to a peer and tracks it.
func (c *connectionTracker) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := c.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	counting := &countingConn{Conn: conn}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.newest[address] = counting
	return counting, nil
}

// recordResult records the result of a call. A success clears the count of the connection; a failure resets a connection that has
// received at least maxUnansweredBytes since the last success.
func (c *connectionTracker) recordResult(address string, err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	conn, ok := c.newest[address]
	if !ok {
		return
	}
	if err == nil {
		conn.received.Store(0)
		return
	}
	if conn.received.Load() < maxUnansweredBytes {
		return
	}
	conn.reset()
	delete(c.newest, address)
}
