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

// Guards against envelopes that wait behind a peer which does not answer and then tell it of hosts as if they had just been heard of (DRAIN:
// the directory names a host that is gone).
func TestEnvelopeThatHasWaitedTooLongDoesNotLeave(t *testing.T) {
	came := make(chan struct{}, 8)
	release := make(chan struct{})
	address := servePeer(t, func(http.ResponseWriter, *http.Request) {
		came <- struct{}{}
		<-release
	})
	client := &Client[platform.Codec]{HostID: "a", Results: make(chan reducer.Event, 8)}
	send := func(lasting time.Duration) {
		client.Send(context.Background(), reducer.SendPeer{Address: address, NotAfter: clocker.Now().Add(lasting)})
	}
	send(time.Minute)
	<-came
	send(100 * time.Millisecond)
	time.Sleep(200 * time.Millisecond)
	close(release)
	send(time.Minute)
	<-came
	time.Sleep(200 * time.Millisecond)
	assert.Equal(t, len(came), 0, "the second envelope has left")
}
