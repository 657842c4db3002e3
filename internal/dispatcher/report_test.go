package dispatcher

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/internal/clocker"
	"github.com/redwingpick/redwingpick/internal/reducer"
)

// Guards against taking the report of a server that has started anew for one of the incarnation that was asked, whose adapters and requests it
// has lost.
func TestReportOfAnotherIncarnationHasFailed(t *testing.T) {
	for _, c := range []struct {
		asked, reported int64
		failed          bool
	}{{7, 7, false}, {7, 8, true}, {7, 0, false}, {0, 8, false}} {
		address := startServer(t, func(conn net.Conn, r *bufio.Reader) {
			readRequest(r)
			body := fmt.Sprint(c.reported)
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		})
		client := &Client[codec, *sink]{}
		event := client.ReadReport(context.Background(), clocker.Now(), reducer.ReadReport{Backend: "b", Address: address, StartedUnixMs: c.asked})
		assert.Equal(t, event.Failed, c.failed, "%+v", c)
	}
}
