package listener

import (
	"net"
	"net/http"
	"time"

	"github.com/redwingpick/redwingpick/internal/budgeter"
	"github.com/redwingpick/redwingpick/internal/messenger"
)

// Bounds on the clients of a host until a catalogue is known, and on those of the addresses for which none are published.
const (
	// defaultMaxBody is the limit in bytes on request bodies until a catalogue is applied.
	defaultMaxBody = 4 << 20
	maxHeaderBytes = 64 << 10
	// maxPublishedHeaderBytes is the largest published limit on heads that takes effect.
	maxPublishedHeaderBytes = 1 << 20
	readHeaderTimeout       = 10 * time.Second
	callerIdleTimeout       = 2 * time.Minute
	// maxOtherHeaderBytes is the limit on heads at the other addresses.
	maxOtherHeaderBytes = 16 << 10
	otherReadTimeout    = 5 * time.Second
	otherWriteTimeout   = 10 * time.Second
	// operatorWriteTimeout leaves time for a profile.
	operatorWriteTimeout = 2 * time.Minute
	// maxOtherBody is the limit in bytes on bodies of requests that have none by their nature.
	maxOtherBody = 4 << 10
)

// Bounds on HTTP/2 connections from other hosts, whose windows are held for each connection.
const (
	maxPeerStreams     = 32
	peerWindowBytes    = 64 << 10
	peerFrameBytes     = 16 << 10
	maxPeerHeaderTable = 4 << 10
)

// classBounds are the bounds on one class of clients.
type classBounds struct {
	// base is the number of bytes that a connection holds.
	base int64
	// mayShare is set if connections with HTTP/2 are served.
	mayShare                 bool
	maxHead                  func() int
	headTimeout, idleTimeout func() time.Duration
}

// callerBounds returns the bounds on callers, which follow the published limits.
func (g *Guard) callerBounds() classBounds {
	return classBounds{
		base:        connectionBytes,
		maxHead:     func() int { return orDefault(g.Published().MaxHeaderBytes, maxHeaderBytes) },
		headTimeout: func() time.Duration { return orDefault(g.Published().HeaderTimeout, readHeaderTimeout) },
		idleTimeout: func() time.Duration { return orDefault(g.Published().IdleTimeout, callerIdleTimeout) },
	}
}

// otherBounds returns the bounds on clients of the other addresses.
func otherBounds(class budgeter.Class) classBounds {
	bounds := classBounds{
		base:        connectionBytes,
		maxHead:     func() int { return maxOtherHeaderBytes },
		headTimeout: func() time.Duration { return otherReadTimeout },
		idleTimeout: func() time.Duration { return callerIdleTimeout },
	}
	if class == budgeter.ClassPeers {
		bounds.base, bounds.mayShare = sharedConnectionBytes, true
	}
	return bounds
}

func orDefault[T int | int64 | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}

// CallerServer returns the server of the callers; limits that are published later take effect without a restart.
func (g *Guard) CallerServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, MaxHeaderBytes: maxPublishedHeaderBytes, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: callerIdleTimeout,
		ConnState: g.connState, ConnContext: withClient,
	}
}

// OtherServer returns the server of another address, whose requests and responses are small.
func (g *Guard) OtherServer(class budgeter.Class, handler http.Handler) *http.Server {
	server := &http.Server{
		Handler: g.guardBodies(class, maxOtherBody, handler), MaxHeaderBytes: maxOtherHeaderBytes, ReadTimeout: otherReadTimeout,
		ReadHeaderTimeout: otherReadTimeout, WriteTimeout: otherWriteTimeout, IdleTimeout: callerIdleTimeout,
		ConnState: g.connState, ConnContext: withClient,
	}
	switch class {
	case budgeter.ClassOperators:
		server.WriteTimeout = operatorWriteTimeout
	case budgeter.ClassPeers:
		server.Handler = g.guardBodies(class, messenger.MaxCallSize, handler)
		server.Protocols = new(http.Protocols)
		server.Protocols.SetHTTP1(true)
		server.Protocols.SetUnencryptedHTTP2(true)
		server.HTTP2 = &http.HTTP2Config{
			MaxConcurrentStreams: maxPeerStreams, MaxReceiveBufferPerConnection: peerWindowBytes, MaxReceiveBufferPerStream: peerWindowBytes,
			MaxReadFrameSize: peerFrameBytes, MaxDecoderHeaderTableSize: maxPeerHeaderTable,
		}
	}
	return server
}

// Listen listens at an address for clients of a class.
func (g *Guard) Listen(class budgeter.Class, address string) (net.Listener, error) {
	g.setUp()
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	bounds := otherBounds(class)
	if class == budgeter.ClassCallers {
		bounds = g.callerBounds()
	}
	return &guardedListener{Listener: socket, guard: g, class: class, bounds: bounds}, nil
}

// guardedListener accepts the connections that the budget has room for.
type guardedListener struct {
	net.Listener
	guard  *Guard
	class  budgeter.Class
	bounds classBounds
}

// Accept returns the next connection that may stay; others are closed.
func (l *guardedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &client{Conn: conn, guard: l.guard, class: l.class, bounds: l.bounds, name: conn.RemoteAddr().String()}
		c.interruptRead = func() { _ = conn.SetReadDeadline(pastTime) }
		if l.guard.open(c) {
			return c, nil
		}
		_ = conn.Close()
	}
}
