package dispatcher

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/internal/reducer"
)

// startRawServer answers the first request with the given bytes and closes the connection.
func startRawServer(t *testing.T, response string) string {
	return startServer(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = io.WriteString(c, response)
	})
}

// Guards against a stream that ends within an event counting as complete, whatever its framing.
func TestStreamThatEndsWithinAnEventIsBroken(t *testing.T) {
	body := "id: 1\ndata: a\n\nid: 2\nda"
	for _, framing := range []string{
		fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body),
		fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body),
		"\r\n" + body,
	} {
		address := startRawServer(t, "HTTP/1.1 200 OK\r\nId: one\r\nContent-Type: text/event-stream\r\n"+framing)
		result, s := send(&Client[codec, *sink]{}, address, "one", func(_ *Call, d *reducer.Dispatch) { d.Stream = true })
		assert.Equal(t, result.Outcome, reducer.OutcomeBroken, framing)
		assert.Equal(t, s.body.String(), "id: 1\ndata: a\n\n", framing)
	}
}

// Guards against a response that breaks off within its head being delivered as an empty or short success.
func TestResponseThatEndsWithinItsHeadIsBroken(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nId: one\r\nContent-Length: 10\r\n\r\n", "HTTP/1.1 200 OK\nId: one\nConnection: close\n\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: one\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		for cut := range len(head) {
			address := startRawServer(t, head[:cut])
			result, s := send(&Client[codec, *sink]{}, address, "one", func(_ *Call, d *reducer.Dispatch) { d.Stream = cut%2 == 0 })
			assert.Equal(t, result.Outcome, reducer.OutcomeBroken, "%q", head[:cut])
			assert.Assert(t, !s.started && s.body.Len() == 0, "%q", head[:cut])
		}
	}
}
