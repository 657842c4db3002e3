package messenger

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/internal/clocker"
	"github.com/redwingpick/redwingpick/internal/reducer"
	"github.com/redwingpick/redwingpick/platform"
)

// Guards against sending envelopes that were queued while the peer did not respond: their host records give the time since the last
// heartbeat as of the queueing, which made unreachable hosts look reachable (DRAIN: the directory returned a removed host).
func TestExpiredEnvelopeIsNotSent(t *testing.T) {
	received := make(chan struct{}, 8)
	release := make(chan struct{})
	address := servePeer(t, func(http.ResponseWriter, *http.Request) {
		received <- struct{}{}
		<-release
	})
	client := &Client[platform.Codec]{HostID: "a", Results: make(chan reducer.Event, 8)}
	send := func(ttl time.Duration) {
		client.Send(context.Background(), reducer.SendPeer{Address: address, NotAfter: clocker.Now().Add(ttl)})
	}
	send(time.Minute)
	<-received
	send(100 * time.Millisecond)
	time.Sleep(200 * time.Millisecond)
	close(release)
	send(time.Minute)
	<-received
	time.Sleep(200 * time.Millisecond)
	assert.Equal(t, len(received), 0, "the expired envelope was sent")
}
