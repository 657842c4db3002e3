package messenger

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/ansel1/merry/v2"

	"github.com/redwingpick/redwingpick/internal/reducer"
	"github.com/redwingpick/redwingpick/internal/translator"
	peerv1 "github.com/redwingpick/redwingpick/internal/wire/redwingpick/peer/v1"
	"github.com/redwingpick/redwingpick/internal/wire/redwingpick/peer/v1/peerv1connect"
)

const (
	dialTimeout    = 500 * time.Millisecond
	sendTimeout    = time.Second
	updatesTimeout = 5 * time.Second
	pingAfter      = 500 * time.Millisecond
	pingTimeout    = 700 * time.Millisecond
	// queuedEnvelopes is the number of envelopes that may wait for one peer; later ones are dropped.
	queuedEnvelopes = 64
	// compressFrom is the size in bytes from which messages are compressed; smaller ones cost more than they save.
	compressFrom = 16 << 10
	// senderIdle is how long the sender of a peer without envelopes lives.
	senderIdle = 30 * time.Second
)

// ErrPeer is returned when a peer cannot be reached or refuses a call.
var ErrPeer = merry.New("peer host failed")

// Client sends to other hosts; its exported fields are set before its first use.
type Client struct {
	HostID      string
	Incarnation uint64
	// Results takes the envelopes that come back in answers.
	Results chan<- reducer.Event

	once    sync.Once
	shared  *http.Client
	fresh   *http.Client
	mutex   sync.Mutex
	senders map[string]chan reducer.SendPeer
}

// setUp makes the HTTP clients: one that keeps connections and finds silent ones, and one that never reuses any.
func (c *Client) setUp() {
	c.senders = map[string]chan reducer.SendPeer{}
	c.shared = &http.Client{Transport: transport(false)}
	c.fresh = &http.Client{Transport: transport(true)}
}

func transport(fresh bool) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	t := &http.Transport{
		DialContext:       dialer.DialContext,
		DisableKeepAlives: fresh,
		Protocols:         new(http.Protocols),
		HTTP2:             &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
	}
	t.Protocols.SetUnencryptedHTTP2(true)
	return t
}

// HandlerOptions returns the options of the peer service's handler.
func HandlerOptions() connect.HandlerOption {
	return connect.WithCompressMinBytes(compressFrom)
}

func (c *Client) peer(address string) peerv1connect.PeerServiceClient {
	c.once.Do(c.setUp)
	return peerv1connect.NewPeerServiceClient(c.shared, "http://"+address)
}

func (c *Client) freshPeer(address string) peerv1connect.PeerServiceClient {
	c.once.Do(c.setUp)
	return peerv1connect.NewPeerServiceClient(c.fresh, "http://"+address)
}

// Send queues an envelope for a peer and reports whether there was room; envelopes to one peer keep their order.
func (c *Client) Send(ctx context.Context, envelope reducer.SendPeer) bool {
	if envelope.Address == "" {
		return false
	}
	c.once.Do(c.setUp)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	queue, ok := c.senders[envelope.Address]
	if !ok {
		queue = make(chan reducer.SendPeer, queuedEnvelopes)
		c.senders[envelope.Address] = queue
		go c.drainQueue(ctx, envelope.Address, queue)
	}
	select {
	case queue <- envelope:
		return true
	default:
		return false
	}
}

// drainQueue sends the envelopes of one peer until it has been idle for long.
func (c *Client) drainQueue(ctx context.Context, address string, queue chan reducer.SendPeer) {
	peer := c.peer(address)
	idle := time.NewTimer(senderIdle)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case envelope := <-queue:
			c.exchange(ctx, peer, envelope)
			idle.Reset(senderIdle)
		case <-idle.C:
			if c.retire(address, queue) {
				return
			}
			idle.Reset(senderIdle)
		}
	}
}

func (c *Client) retire(address string, queue chan reducer.SendPeer) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(queue) > 0 {
		return false
	}
	delete(c.senders, address)
	return true
}

// exchange sends one envelope unless its time is over; a lost envelope is the reducer's to repeat.
func (c *Client) exchange(ctx context.Context, peer peerv1connect.PeerServiceClient, envelope reducer.SendPeer) {
	if !envelope.NotAfter.IsZero() && !time.Now().Before(envelope.NotAfter) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	request := connect.NewRequest(translator.Envelope(c.HostID, c.Incarnation, envelope))
	response, err := peer.Exchange(ctx, request)
	if err != nil || response.Msg.GetEnvelope() == nil || c.Results == nil {
		return
	}
	select {
	case c.Results <- translator.Received(response.Msg.GetEnvelope()):
	case <-ctx.Done():
	}
}

// ReadUpdates asks a peer for newer shards.
func (c *Client) ReadUpdates(ctx context.Context, order reducer.ReadUpdates) reducer.UpdatesRead {
	ctx, cancel := context.WithTimeout(ctx, updatesTimeout)
	defer cancel()
	failed := reducer.UpdatesRead{From: order.From, Failed: true}
	if order.Address == "" {
		return failed
	}
	response, err := c.peer(order.Address).Updates(ctx, connect.NewRequest(&peerv1.UpdatesRequest{Have: order.Have}))
	if err != nil {
		return failed
	}
	event, err := translator.UpdatesEvent(response.Msg)
	if err != nil {
		return failed
	}
	return event
}
