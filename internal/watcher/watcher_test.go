package watcher

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/internal/reducer"
)

// answerOnce answers the first call on a connection and then keeps silent, as when something on the way has lost track of it.
func answerOnce(c net.Conn) error {
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return err
	}
	if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: "+strconv.Itoa(len(page))+"\r\n\r\n"+page); err != nil {
		return err
	}
	_, err := io.Copy(io.Discard, c)
	return err
}

// Guards against a host that seldom reads the platform and loses the whole time of a call on a connection that has gone silent since (CONFIG).
func TestCallAfterAPauseDoesNotWaitForASilentConnection(t *testing.T) {
	address, _ := startStore(t, answerOnce)
	w := newWatcher(address, io.Discard)
	assert.Assert(t, !w.Watch(context.Background(), time.Now(), reducer.WatchPlatform{}).Failed)
	time.Sleep(1500 * time.Millisecond)
	began := time.Now()
	assert.Assert(t, !w.Watch(context.Background(), began, reducer.WatchPlatform{}).Failed)
	assert.Assert(t, time.Since(began) < answerTimeout/2, "took %v", time.Since(began))
}
