package messenger

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/redwingpick/redwingpick/internal/clocker"
	"github.com/redwingpick/redwingpick/internal/reducer"
	"github.com/redwingpick/redwingpick/internal/translator"
	peerv1 "github.com/redwingpick/redwingpick/internal/wire/redwingpick/peer/v1"
	"github.com/redwingpick/redwingpick/internal/wire/redwingpick/peer/v1/peerv1connect"
)

const (
	dialTimeout    = 300 * time.Millisecond
	sendTimeout    = 600 * time.Millisecond
	updatesTimeout = 600 * time.Millisecond
	pingAfter      = 400 * time.Millisecond
	pingTimeout    = 400 * time.Millisecond
	// queuedEnvelopes is the number of envelopes that may wait for one peer; later ones are dropped.
	queuedEnvelopes = 32
	// compressFrom is the size in bytes from which messages are compressed; smaller ones cost more than they save.
	compressFrom = 4 << 10
	// maxMessage is the largest message in bytes that is read, compressed or expanded: more than a link carries in a call's time.
	maxMessage = 16 << 20
	// senderIdle is how long the sender of a peer without envelopes lives.
	senderIdle = 30 * time.Second
)

// Client sends to other hosts; its exported fields are set before its first use.
type Client[C translator.DocumentCodec] struct {
	HostID string
	// Incarnation is this process, as told to peers.
	Incarnation uint64
	Codec       C
	// Results takes the envelopes that come back in answers.
	Results chan<- reducer.Event

	once        sync.Once
	shared      *http.Client
	connections connections
	mutex       sync.Mutex
	senders     map[string]chan reducer.SendPeer
}

// setUp makes the HTTP client, which keeps connections and finds silent ones.
func (c *Client[C]) setUp() {
	c.senders = map[string]chan reducer.SendPeer{}
	c.connections.dialer.Timeout = dialTimeout
	c.connections.newest = map[string]*connection{}
	transport := &http.Transport{
		DialContext: c.connections.dial,
		Protocols:   new(http.Protocols),
		HTTP2:       &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
	}
	transport.Protocols.SetUnencryptedHTTP2(true)
	c.shared = &http.Client{Transport: transport}
}

// HandlerOptions returns the options of the peer service's handler.
func HandlerOptions() connect.HandlerOption {
	return connect.WithCompressMinBytes(compressFrom)
}

func (c *Client[C]) peer(address string) peerv1connect.PeerServiceClient {
	c.once.Do(c.setUp)
	return peerv1connect.NewPeerServiceClient(c.shared, "http://"+address, connect.WithReadMaxBytes(maxMessage))
}

// Send queues an envelope for a peer and reports whether there was room; envelopes to one peer keep their order.
func (c *Client[C]) Send(ctx context.Context, envelope reducer.SendPeer) bool {
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
func (c *Client[C]) drainQueue(ctx context.Context, address string, queue chan reducer.SendPeer) {
	peer := c.peer(address)
	idle := time.NewTimer(senderIdle)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case envelope := <-queue:
			if clocker.Now().After(envelope.NotAfter) {
				continue
			}
			c.connections.answered(address, c.exchange(ctx, peer, envelope))
			idle.Reset(senderIdle)
		case <-idle.C:
			if c.retire(address, queue) {
				return
			}
			idle.Reset(senderIdle)
		}
	}
}

func (c *Client[C]) retire(address string, queue chan reducer.SendPeer) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(queue) > 0 {
		return false
	}
	delete(c.senders, address)
	return true
}

// exchange sends one envelope and reports whether it was answered; a lost envelope is the reducer's to repeat.
func (c *Client[C]) exchange(ctx context.Context, peer peerv1connect.PeerServiceClient, envelope reducer.SendPeer) error {
	limited, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	request := connect.NewRequest(translator.Envelope(c.HostID, c.Incarnation, envelope.Messages))
	asked := clocker.Now()
	response, err := peer.Exchange(limited, request)
	// What an envelope that is lost would have said is said again at the next round.
	if err == nil && response.Msg.GetEnvelope() != nil {
		event := translator.Received(response.Msg.GetEnvelope())
		event.RequestedAt = asked
		c.report(ctx, event)
	}
	return err
}

func (c *Client[C]) report(ctx context.Context, event reducer.Event) {
	select {
	case c.Results <- event:
	case <-ctx.Done():
	}
}

// ReadUpdates asks a peer for changed documents.
func (c *Client[C]) ReadUpdates(ctx context.Context, order reducer.ReadUpdates) reducer.UpdatesRead {
	ctx, cancel := context.WithTimeout(ctx, updatesTimeout)
	defer cancel()
	response, err := c.peer(order.Address).Updates(ctx, connect.NewRequest(&peerv1.UpdatesRequest{Since: order.Since}))
	c.connections.answered(order.Address, err)
	if err != nil {
		return reducer.UpdatesRead{From: order.From, Failed: true}
	}
	return translator.UpdatesEvent(c.Codec, order.From, response.Msg)
}
