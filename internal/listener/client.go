package listener

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/redwingpick/redwingpick/internal/budgeter"
	"github.com/redwingpick/redwingpick/internal/clocker"
)

// Bytes that clients are charged for.
const (
	// connectionBytes is what a connection without a request holds: its goroutine and buffers, which take the first bytes of a head.
	connectionBytes = 16 << 10
	// sharedConnectionBytes is the same for a connection with HTTP/2, with its windows.
	sharedConnectionBytes = 80 << 10
	// headFactor is the number of bytes that are held for each byte of a head, as it is parsed and copied.
	headFactor = 3
	// headSlack is the number of bytes beyond a head that may arrive with its end: the buffer of the HTTP library.
	headSlack = 4 << 10
	// writePieceSize is the size in bytes of the pieces in which responses are written, after each of which progress is counted.
	writePieceSize = 64 << 10
	// lingerTime and maxLingerBytes bound what is read of a head that is too long after it was answered; lingerTime also bounds the reading of a body
	// whose request was refused.
	lingerTime     = 500 * time.Millisecond
	maxLingerBytes = 256 << 10
)

// errHeadTooLong ends a connection whose head exceeds its limit; the HTTP library answers no error of this kind.
var errHeadTooLong = &net.OpError{Op: "read", Err: errors.New("request head is too long")}

// errDropped ends a connection that the budget has dropped.
var errDropped = &net.OpError{Op: "read", Err: errors.New("connection was dropped for others")}

// headTooLongResponse answers a head that exceeds its limit.
const headTooLongResponse = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// sharedPreface is how a connection with HTTP/2 begins.
const sharedPreface = "PRI * HTTP/2"

// client is one connection of a client, or one request on a connection that several requests share; conn is then nil.
type client struct {
	net.Conn
	guard  *Guard
	class  budgeter.Class
	bounds classBounds
	name   string
	// interruptRead makes a read of the request's body fail.
	interruptRead func()

	phase    atomic.Uint32
	mostHeld atomic.Int64
	// headBytes is the number of bytes of the present head, and headEnd the time at which it must have arrived.
	headBytes int
	headEnd   time.Time
	// bodyDeadline is the deadline that the HTTP library set last, which counts once the head has arrived.
	bodyDeadline time.Time
	// shared is set if several requests share the connection, whose heads the HTTP library bounds.
	shared bool
}

func (c *client) is(phase budgeter.Phase) bool { return budgeter.Phase(c.phase.Load()) == phase }

// Read reads the next bytes. Those of a head count, and the head must end within its limit and its time.
func (c *client) Read(p []byte) (int, error) {
	switch {
	case c.shared:
	case c.is(budgeter.PhaseIdle):
		return c.readFirst(p)
	case c.is(budgeter.PhaseHead):
		return c.readHead(p)
	}
	return c.Conn.Read(p)
}

// readFirst waits for the first bytes of a head, which the buffers of the connection take.
func (c *client) readFirst(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if bytes.HasPrefix(p[:n], []byte(sharedPreface)) && c.bounds.mayShare {
		c.shared = true
		// The HTTP library lifts the deadline once the preface is complete.
		_ = c.Conn.SetReadDeadline(time.Now().Add(c.bounds.headTimeout()))
		return n, err
	}
	if !c.guard.enter(c, budgeter.PhaseHead) {
		return 0, errDropped
	}
	c.headBytes = n
	c.headEnd = clocker.Now().Add(c.bounds.headTimeout())
	_ = c.Conn.SetReadDeadline(time.Now().Add(c.bounds.headTimeout()))
	return n, err
}

// readHead reads further bytes of a head.
func (c *client) readHead(p []byte) (int, error) {
	left := c.bounds.maxHead() + headSlack - c.headBytes
	if left <= 0 {
		c.guard.rejectHead(c, "too_long")
		c.refuseHead()
		return 0, errHeadTooLong
	}
	p = p[:min(len(p), left)]
	if !c.guard.take(c, int64(len(p))*headFactor) {
		return 0, errDropped
	}
	n, err := c.Conn.Read(p)
	c.headBytes += n
	c.guard.give(c, int64(len(p)-n)*headFactor)
	c.guard.moved(c, n)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.guard.rejectHead(c, "too_slow")
	}
	return n, err
}

// refuseHead answers a head that is too long, and reads some of its rest, since the client may lose the response if bytes of it are left unread.
func (c *client) refuseHead() {
	_, _ = io.WriteString(c.Conn, headTooLongResponse)
	_ = c.CloseWrite()
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, c.Conn, maxLingerBytes)
}

// SetReadDeadline sets the deadline of reads. Until a head has arrived, the published limits take the place of the HTTP library's.
func (c *client) SetReadDeadline(at time.Time) error {
	if c.shared {
		return c.Conn.SetReadDeadline(at)
	}
	c.bodyDeadline = at
	switch {
	case c.is(budgeter.PhaseIdle):
		at = time.Now().Add(c.bounds.idleTimeout())
	case c.is(budgeter.PhaseHead):
		at = time.Now().Add(clocker.Until(c.headEnd))
	}
	return c.Conn.SetReadDeadline(at)
}

// beginRequest starts a request whose head has arrived.
func (c *client) beginRequest() {
	if !c.shared {
		_ = c.Conn.SetReadDeadline(c.bodyDeadline)
	}
	c.enterPhase(budgeter.PhaseRunning)
}

// Write writes a part of a response, in pieces whose progress counts.
func (c *client) Write(p []byte) (written int, err error) {
	if c.shared {
		return c.Conn.Write(p)
	}
	before := budgeter.Phase(c.phase.Load())
	if before == budgeter.PhaseRunning {
		c.guard.enter(c, budgeter.PhaseWriting)
		defer c.guard.enter(c, before)
	}
	for written < len(p) && err == nil {
		var n int
		n, err = c.Conn.Write(p[written:min(len(p), written+writePieceSize)])
		written += n
		c.guard.moved(c, n)
	}
	return written, err
}

// CloseWrite ends the sending direction, with which the HTTP library lets a client read the last response.
func (c *client) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// interrupt makes the read of the request's body fail, so that its handler refuses the request.
func (c *client) interrupt() { c.interruptRead() }

// abort closes the connection, or fails the read of a request that shares it.
func (c *client) abort() {
	if c.Conn == nil {
		c.interruptRead()
		return
	}
	_ = c.Conn.Close()
}

// The following methods do nothing for a nil client, which a server without a guard has.

// enterPhase starts a phase and reports whether the client may go on.
func (c *client) enterPhase(phase budgeter.Phase) bool { return c == nil || c.guard.enter(c, phase) }

// take asks for bytes and reports whether the client has them.
func (c *client) take(size int64) bool { return c == nil || c.guard.take(c, size) }

// tryTake asks for bytes without which the client can go on.
func (c *client) tryTake(size int64) bool { return c == nil || c.guard.tryTake(c, size) }

func (c *client) give(size int64) {
	if c != nil {
		c.guard.give(c, size)
	}
}

func (c *client) moved(size int) {
	if c != nil && size > 0 {
		c.guard.moved(c, size)
	}
}

func (c *client) assign(group string) {
	if c != nil && group != "" {
		c.guard.assign(c, "account:"+group)
	}
}

func (c *client) endRequest() {
	if c != nil {
		c.guard.endRequest(c)
	}
}

// limitRest bounds the time for which the HTTP library reads what the handler has left of the body: the connection cannot be dropped meanwhile.
func (c *client) limitRest() {
	if c != nil {
		_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
	}
}

// pastTime is a deadline that makes reads fail at once.
var pastTime = time.Unix(1, 0)

// clientKey is the key of the client in the context of a request.
type clientKey struct{}

// clientOf returns the client of a request; nil if its server has no guard.
func clientOf(r *http.Request) *client {
	c, _ := r.Context().Value(clientKey{}).(*client)
	return c
}

func withClient(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, clientKey{}, conn)
}
