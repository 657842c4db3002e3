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

// Limits of the calls to other hosts.
const (
	dialTimeout    = 300 * time.Millisecond
	sendTimeout    = 600 * time.Millisecond
	updatesTimeout = 600 * time.Millisecond
	// pingAfter is how long a connection receives nothing before it is checked with an HTTP/2 ping.
	pingAfter   = 400 * time.Millisecond
	pingTimeout = 400 * time.Millisecond
	// queuedEnvelopes is the number of envelopes that may be queued for one peer; further ones are dropped.
	queuedEnvelopes = 32
	// compressFrom is the size in bytes from which messages are compressed; compressing smaller ones costs more than it saves.
	compressFrom = 4 << 10
	// maxMessage is the limit in bytes on a received message, both compressed and decompressed. It is more than a link carries
	// within the timeout of a call.
	maxMessage = 16 << 20
	// senderIdle is how long the sender goroutine of a peer runs without envelopes.
	senderIdle = 30 * time.Second
)

// Client sends envelopes to other hosts and reads configuration updates from them. Its exported fields are set before its first use.
type Client[C translator.DocumentCodec] struct {
	HostID string
	// Incarnation identifies this run of the process to the peers.
	Incarnation uint64
	Codec       C
	// Results receives the envelopes that peers return in their responses.
	Results chan<- reducer.Event

	once        sync.Once
	shared      *http.Client
	connections connections
	mutex       sync.Mutex
	senders     map[string]chan reducer.SendPeer
}

// setUp creates the HTTP client, which reuses connections and detects unresponsive ones by pings.
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

// HandlerOptions returns the options for the handler of the peer service.
func HandlerOptions() connect.HandlerOption {
	return connect.WithCompressMinBytes(compressFrom)
}

func (c *Client[C]) peer(address string) peerv1connect.PeerServiceClient {
	c.once.Do(c.setUp)
	return peerv1connect.NewPeerServiceClient(c.shared, "http://"+address, connect.WithReadMaxBytes(maxMessage))
}

// Send queues an envelope for a peer and reports whether the queue had room. Envelopes to one peer are sent in order.
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

// drainQueue sends the queued envelopes of one peer and returns after senderIdle without any. It drops expired envelopes.
func (c *Client[C]) drainQueue(ctx context.Context, address string, queue chan reducer.SendPeer) {
	client := c.peer(address)
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
			c.connections.answered(address, c.exchange(ctx, client, envelope))
			idle.Reset(senderIdle)
		case <-idle.C:
			if c.retire(address, queue) {
				return
			}
			idle.Reset(senderIdle)
		}
	}
}

// retire removes a queue and reports true, or reports false if an envelope has been queued meanwhile.
func (c *Client[C]) retire(address string, queue chan reducer.SendPeer) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(queue) > 0 {
		return false
	}
	delete(c.senders, address)
	return true
}

// exchange sends one envelope and posts the envelope that the peer returns, if any. It does not retry.
func (c *Client[C]) exchange(ctx context.Context, client peerv1connect.PeerServiceClient, envelope reducer.SendPeer) error {
	callCtx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	req := connect.NewRequest(translator.Envelope(c.HostID, c.Incarnation, envelope.Messages))
	sentAt := clocker.Now()
	resp, err := client.Exchange(callCtx, req)
	// A lost envelope is not repeated here: the reducer sends its content again in the next round.
	if err == nil && resp.Msg.GetEnvelope() != nil {
		event := translator.Received(resp.Msg.GetEnvelope())
		event.AskedAt = sentAt
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

// ReadUpdates reads from a peer the documents that changed after a revision.
func (c *Client[C]) ReadUpdates(ctx context.Context, effect reducer.ReadUpdates) reducer.UpdatesRead {
	ctx, cancel := context.WithTimeout(ctx, updatesTimeout)
	defer cancel()
	resp, err := c.peer(effect.Address).Updates(ctx, connect.NewRequest(&peerv1.UpdatesRequest{Since: effect.Since}))
	c.connections.answered(effect.Address, err)
	if err != nil {
		return reducer.UpdatesRead{From: effect.From, Failed: true}
	}
	return translator.UpdatesEvent(c.Codec, effect.From, resp.Msg)
}
