package dispatcher

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/internal/reducer"
)

// Guards against the tail of a mismatched response that exceeds the body limit being parsed as the next response.
func TestTailOfLongMismatchedResponseIsNotParsed(t *testing.T) {
	forged := "HTTP/1.1 200 OK\r\nId: one\r\nContent-Length: 3\r\n\r\nbad"
	address := startServer(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: %d\r\n\r\n", maxBodySize+len(forged))
		_, _ = c.Write(make([]byte, maxBodySize))
		_, _ = io.WriteString(c, forged)
		time.Sleep(100 * time.Millisecond)
	})
	result, s := send(&Client[codec, *sink]{}, address, "one", nil)
	assert.Check(t, result.Outcome == reducer.OutcomeBroken, "outcome %v", result.Outcome)
	assert.Equal(t, s.body.String(), "")
}

// Guards against bytes that follow a complete response reaching a caller, or the server sending them without end.
func TestUnboundedBytesAfterResponseResetConnection(t *testing.T) {
	server := startUnboundedServer(t, unboundedResponse{prefix: "HTTP/1.1 200 OK\r\nId: one\r\nContent-Length: 4\r\n\r\ngood", unit: "HTTP/1.1 200 OK\r\nId: two\r\nContent-Length: 3\r\n\r\nbad"}, 0)
	client := &Client[codec, *sink]{}
	result, s := send(client, server.address, "one", nil)
	assert.Equal(t, result.Outcome, reducer.OutcomeDone)
	assert.Equal(t, s.body.String(), "good")
	address := startServer(t, func(c net.Conn, r *bufio.Reader) { readRequest(r); writeResponse(c, "two", "mine") })
	_, s = send(client, address, "two", nil)
	assert.Equal(t, s.body.String(), "mine")
	server.checkReset(t)
}

// Guards against reusing a connection while the body of a refusal is still arriving on it.
func TestConnectionOfLongRefusalIsNotReused(t *testing.T) {
	forged := "HTTP/1.1 200 OK\r\nId: two\r\nContent-Length: 3\r\n\r\nbad"
	address := startServer(t,
		func(c net.Conn, r *bufio.Reader) {
			readRequest(r)
			_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Full\r\nId: one\r\nContent-Length: %d\r\n\r\n", maxBodySize+len(forged))
			_, _ = c.Write(make([]byte, maxBodySize))
			readRequest(r)
			_, _ = io.WriteString(c, forged)
			time.Sleep(100 * time.Millisecond)
		},
		func(c net.Conn, r *bufio.Reader) { readRequest(r); writeResponse(c, "two", "good") },
	)
	client := &Client[codec, *sink]{}
	result, _ := send(client, address, "one", nil)
	assert.Check(t, result.Outcome == reducer.OutcomeBroken, "outcome %v", result.Outcome)
	_, s := send(client, address, "two", nil)
	assert.Equal(t, s.body.String(), "good")
}

// Guards against an idle connection staying open while its server sends bytes and no request uses it.
func TestUnboundedBytesOnIdleConnectionResetIt(t *testing.T) {
	ended := make(chan error, 1)
	address := startServer(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: one\r\nKeep-Alive: timeout=60\r\nContent-Length: 4\r\n\r\ngood")
		time.Sleep(50 * time.Millisecond)
		_ = c.SetDeadline(time.Now().Add(maxSendDuration))
		var err error
		for block := []byte(strings.Repeat("x", sendBlockSize)); err == nil; {
			_, err = c.Write(block)
		}
		ended <- err
	})
	client := &Client[codec, *sink]{}
	_, s := send(client, address, "one", nil)
	assert.Equal(t, s.body.String(), "good")
	server := unboundedServer{ended: ended}
	time.Sleep(2 * time.Second)
	server.checkReset(t)
}

// Guards against idle connections outliving their timeout when no further request is sent to their server.
func TestIdleConnectionIsClosedAfterTimeout(t *testing.T) {
	ended := make(chan error, 1)
	address := startServer(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		writeResponse(c, "one", "good")
		_, err := r.ReadByte()
		ended <- err
	})
	_, s := send(&Client[codec, *sink]{}, address, "one", nil)
	assert.Equal(t, s.body.String(), "good")
	select {
	case err := <-ended:
		assert.ErrorIs(t, err, io.EOF)
	case <-time.After(defaultIdleTimeout + 2*time.Second):
		t.Fatal("the connection is still open")
	}
}
