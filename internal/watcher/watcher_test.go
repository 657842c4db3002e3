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

// respondOnce responds to the first call on a connection and to no other, as when a NAT or a firewall has dropped its state of the
// connection.
func respondOnce(c net.Conn) error {
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return err
	}
	if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: "+strconv.Itoa(len(emptyPage))+"\r\n\r\n"+emptyPage); err != nil {
		return err
	}
	_, err := io.Copy(io.Discard, c)
	return err
}

// Guards against a host that seldom calls the configuration service losing the whole timeout of a call on an idle connection that has
// stopped working since the last one (CONFIG).
func TestCallAfterPauseDoesNotUseDeadConnection(t *testing.T) {
	address, _ := startService(t, respondOnce)
	w := newWatcher(address, io.Discard)
	assert.Assert(t, !w.Watch(context.Background(), time.Now(), reducer.WatchConfigService{}).Failed)
	time.Sleep(1500 * time.Millisecond)
	start := time.Now()
	assert.Assert(t, !w.Watch(context.Background(), start, reducer.WatchConfigService{}).Failed)
	assert.Assert(t, time.Since(start) < responseTimeout/2, "took %v", time.Since(start))
}
