package estimator

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"

	"connectrpc.com/connect"

	"github.com/redwingpick/redwingpick/internal/messenger"
	"github.com/redwingpick/redwingpick/internal/reducer"
	peerv1 "github.com/redwingpick/redwingpick/internal/wire/redwingpick/peer/v1"
	"github.com/redwingpick/redwingpick/internal/wire/redwingpick/peer/v1/peerv1connect"
)

// countingListener counts the bytes of its connections in both directions.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept wraps the next connection.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{Conn: c, bytes: l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read counts what comes in.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write counts what goes out.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// sinkPeer answers envelopes and nothing else.
type sinkPeer struct {
	peerv1connect.UnimplementedPeerServiceHandler
	received chan int
}

// Exchange notes that an envelope came.
func (s sinkPeer) Exchange(_ context.Context, request *connect.Request[peerv1.ExchangeRequest]) (*connect.Response[peerv1.ExchangeResponse], error) {
	s.received <- len(request.Msg.GetFrom())
	return connect.NewResponse(&peerv1.ExchangeResponse{}), nil
}

// FrameBytes returns the bytes on the wire, both ways, of one envelope whose payload holds a text of the given length.
func FrameBytes(payload int) (Point, error) {
	const envelopes = 200
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return Point{}, err
	}
	var bytes atomic.Int64
	sink := sinkPeer{received: make(chan int, 1)}
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewPeerServiceHandler(sink, messenger.HandlerOptions()))
	server := &http.Server{Handler: mux, Protocols: new(http.Protocols)}
	server.Protocols.SetUnencryptedHTTP2(true)
	go func() { _ = server.Serve(countingListener{Listener: socket, bytes: &bytes}) }()
	defer func() { _ = server.Close() }()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	client := &messenger.Client{HostID: "host-0000", Incarnation: 1}
	message := reducer.PermitConsume{Permit: strings.Repeat("x", payload)}
	send := func() {
		client.Send(ctx, reducer.SendPeer{To: "host-0001", Address: socket.Addr().String(), Messages: []reducer.Message{message}})
		<-sink.received
	}
	send()
	before := bytes.Load()
	for range envelopes {
		send()
	}
	return Point{Size: float64(payload), Cost: float64(bytes.Load()-before) / envelopes}, nil
}
