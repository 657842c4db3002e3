package dispatcher

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
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

// continueStream continues an interrupted stream, of which event 2 was the last, at a server with the given response.
func continueStream(t *testing.T, response string) (Result, *sink) {
	return send(&Client[codec, *sink]{}, startRawServer(t, response), "one", func(c *Call, d *reducer.Dispatch) {
		d.Stream, c.ResumeAfter, c.Continues = true, "2", true
	})
}

// Guards against another kind of response in the middle of a stream that was interrupted.
func TestOnlyEventsContinueAStream(t *testing.T) {
	for _, response := range []string{
		"HTTP/1.1 200 OK\r\nId: one\r\nContent-Type: application/json\r\nContent-Length: 13\r\n\r\n{\"error\":\"x\"}",
		"HTTP/1.1 200 OK\r\nId: one\r\nContent-Type: text/html; charset=utf-8\r\nContent-Length: 2\r\n\r\n\n\n",
	} {
		result, s := continueStream(t, response)
		assert.Equal(t, result.Outcome, reducer.OutcomeBroken)
		assert.Assert(t, !result.Delivered && s.body.Len() == 0)
	}
	result, s := continueStream(t, "HTTP/1.1 500 Failed\r\nId: one\r\nContent-Length: 4\r\n\r\noops")
	assert.Equal(t, result.Outcome, reducer.OutcomeFailed)
	assert.Assert(t, !result.Delivered && s.body.Len() == 0)
}

// Guards against events that the caller has received already, from a server that starts an interrupted stream anew.
func TestStreamIsNotContinuedWithEarlierEvents(t *testing.T) {
	events := "id: 2\ndata: b\n\nid: 3\ndata: c\n\n"
	result, s := continueStream(t, fmt.Sprintf("HTTP/1.1 200 OK\r\nId: one\r\nContent-Length: %d\r\n\r\n%s", len(events), events))
	assert.Equal(t, result.Outcome, reducer.OutcomeBroken)
	assert.Equal(t, s.body.String(), "")
	events = strings.TrimPrefix(events, "id: 2\ndata: b\n\n")
	result, s = continueStream(t, fmt.Sprintf("HTTP/1.1 200 OK\r\nId: one\r\nContent-Length: %d\r\n\r\n%s", len(events), events))
	assert.Equal(t, result.Outcome, reducer.OutcomeDone)
	assert.Equal(t, s.body.String(), events)
}

// Guards against a complete body that is no stream being held back or cut as one.
func TestResponseThatIsNoStreamIsDeliveredWhole(t *testing.T) {
	address := startRawServer(t, "HTTP/1.1 200 OK\r\nId: one\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}")
	result, s := send(&Client[codec, *sink]{}, address, "one", func(_ *Call, d *reducer.Dispatch) { d.Stream = true })
	assert.Equal(t, result.Outcome, reducer.OutcomeDone)
	assert.Equal(t, s.body.String(), "{}")
}
