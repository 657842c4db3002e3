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
	"github.com/redwingpick/redwingpick/internal/wire/redwingpick/peer/v1/peerv1connect"
)

// Limits of the calls to other hosts.
const (
	dialTimeout    = 300 * time.Millisecond
	sendTimeout    = 600 * time.Millisecond
	updatesTimeout = 600 * time.Millisecond
	// pingIdle is how long a connection receives nothing before it is checked with an HTTP/2 ping.
	pingIdle    = 400 * time.Millisecond
	pingTimeout = 400 * time.Millisecond
	// sendQueueSize is the number of envelopes that may be queued for one peer; further ones are dropped.
	sendQueueSize = 32
	// compressMinSize is the size in bytes from which messages are compressed; compressing smaller ones costs more than it saves.
	compressMinSize = 4 << 10
	// maxMessageSize is the limit in bytes on a received message, both compressed and decompressed. It is more than a link carries
	// within the timeout of a call.
	maxMessageSize = 16 << 20
	// senderIdleTimeout is how long the sender goroutine of a peer runs without envelopes.
	senderIdleTimeout = 30 * time.Second
)

// MaxCallSize is the limit in bytes on the message of a call from another host, both compressed and decompressed.
const MaxCallSize = 4 << 20

// Client sends envelopes to other hosts and reads configuration updates from them. Its exported fields are set before its first use.
type Client[C translator.DocumentCodec] struct {
	HostID string
	// Incarnation identifies this run of the process to the peers.
	Incarnation uint64
	Codec       C
	// Results receives the envelopes that peers return in their responses.
	Results chan<- reducer.Event
	// Datagrams, if set, sends small envelopes to the peers that receive datagrams.
	Datagrams *Datagrams

	once        sync.Once
	httpClient  *http.Client
	connections connectionTracker
	mutex       sync.Mutex
	queues      map[string]chan reducer.SendPeer
}

// setUp creates the HTTP client, which reuses connections and detects unresponsive ones by pings.
func (c *Client[C]) setUp() {
	c.queues = map[string]chan reducer.SendPeer{}
	c.connections.dialer.Timeout = dialTimeout
	c.connections.newest = map[string]*countingConn{}
	transport := &http.Transport{
		DialContext: c.connections.dial,
		Protocols:   new(http.Protocols),
		HTTP2:       &http.HTTP2Config{SendPingTimeout: pingIdle, PingTimeout: pingTimeout},
	}
	transport.Protocols.SetUnencryptedHTTP2(true)
	c.httpClient = &http.Client{Transport: transport}
}

// HandlerOptions returns the options for the handler of the peer service.
func HandlerOptions() connect.HandlerOption {
	return connect.WithHandlerOptions(connect.WithCompressMinBytes(compressMinSize), connect.WithReadMaxBytes(MaxCallSize))
}

func (c *Client[C]) peerClient(address string) peerv1connect.PeerServiceClient {
	c.once.Do(c.setUp)
	return peerv1connect.NewPeerServiceClient(c.httpClient, "http://"+address, connect.WithReadMaxBytes(maxMessageSize))
}

// Send sends an envelope as a datagram, or queues it for a call and reports whether the queue had room. It does not block. Envelopes that are
// queued for one peer are sent in order.
func (c *Client[C]) Send(ctx context.Context, envelope reducer.SendPeer) bool {
	if envelope.Address == "" {
		return false
	}
	if envelope.Datagram && c.Datagrams != nil && c.Datagrams.Send(envelope) {
		return true
	}
	c.once.Do(c.setUp)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	queue, ok := c.queues[envelope.Address]
	if !ok {
		queue = make(chan reducer.SendPeer, sendQueueSize)
		c.queues[envelope.Address] = queue
		go c.runSender(ctx, envelope.Address, queue)
	}
	select {
	case queue <- envelope:
		return true
	default:
		return false
	}
}

// runSender sends the queued envelopes of one peer and returns after senderIdleTimeout without any. It drops expired envelopes.
func (c *Client[C]) runSender(ctx context.Context, address string, queue chan reducer.SendPeer) {
	client := c.peerClient(address)
	idle := time.NewTimer(senderIdleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case envelope := <-queue:
			if clocker.Now().After(envelope.NotAfter) {
				continue
			}
			c.connections.recordResult(address, c.exchange(ctx, client, envelope))
			idle.Reset(senderIdleTimeout)
		case <-idle.C:
			if c.removeQueue(address, queue) {
				return
			}
			idle.Reset(senderIdleTimeout)
		}
	}
}

// removeQueue removes a queue and reports true, or reports false if an envelope has been queued meanwhile.
func (c *Client[C]) removeQueue(address string, queue chan reducer.SendPeer) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(queue) > 0 {
		return false
	}
	delete(c.queues, address)
	return true
}

// exchange sends one envelope and posts the envelope that the peer returns, if any. It does not retry.
func (c *Client[C]) exchange(ctx context.Context, client peerv1connect.PeerServiceClient, envelope reducer.SendPeer) error {
	callCtx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	req := connect.NewRequest(translator.EncodeEnvelope(c.HostID, c.Incarnation, envelope.Messages))
	sentAt := clocker.Now()
	resp, err := client.Exchange(callCtx, req)
	// A lost envelope is not repeated here: the reducer sends its content again in the next round.
	if err == nil && resp.Msg.GetEnvelope() != nil {
		event := translator.DecodeEnvelope(resp.Msg.GetEnvelope())
		event.Reply, event.RequestedAt = true, sentAt
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

// ReadUpdates reads from a peer the documents that changed after a version.
func (c *Client[C]) ReadUpdates(ctx context.Context, effect reducer.ReadUpdates) reducer.UpdatesRead {
	ctx, cancel := context.WithTimeout(ctx, updatesTimeout)
	defer cancel()
	resp, err := c.peerClient(effect.Address).Updates(ctx, connect.NewRequest(translator.EncodeUpdatesRequest(effect)))
	c.connections.recordResult(effect.Address, err)
	if err != nil {
		return reducer.UpdatesRead{From: effect.From, Failed: true}
	}
	return translator.DecodeUpdates(c.Codec, effect.From, resp.Msg)
}
