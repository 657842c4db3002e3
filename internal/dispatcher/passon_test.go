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

// newBusyClient returns a client whose slots for large bodies are all taken.
func newBusyClient() *Client[codec, *sink] {
	client := &Client[codec, *sink]{}
	for range maxLargeBodies {
		client.largeBodies.tryAcquire()
	}
	return client
}

// Guards against long responses that wait for callers of other ones: without a free slot they are passed on as they are read, and one that breaks off
// counts as broken although a part of it has been delivered.
func TestLongResponseIsPassedOnWithoutASlot(t *testing.T) {
	body := strings.Repeat("y", maxBodySize)
	framings := map[string]string{
		"length":  fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body),
		"chunked": fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body),
	}
	for name, framing := range framings {
		for _, cut := range []int{0, 10} {
			address := startServer(t, func(c net.Conn, r *bufio.Reader) {
				readRequest(r)
				response := "HTTP/1.1 200 OK\r\nId: one\r\n" + framing
				_, _ = io.WriteString(c, response[:len(response)-cut])
			})
			result, s := send(newBusyClient(), address, "one", nil)
			assert.Assert(t, result.Delivered, name)
			if cut > 0 {
				assert.Equal(t, result.Outcome, reducer.OutcomeBroken, name)
				continue
			}
			assert.Equal(t, result.Outcome, reducer.OutcomeDone, name)
			assert.Equal(t, s.body.Len(), maxBodySize, name)
		}
	}
}

// Guards against long failures that are kept in memory until it is known whether their requests are retried.
func TestLongFailureIsNotKept(t *testing.T) {
	for size, outcome := range map[int]reducer.Outcome{maxFailureBodySize: reducer.OutcomeFailed, maxFailureBodySize + 1: reducer.OutcomeBroken} {
		address := startServer(t, func(c net.Conn, r *bufio.Reader) {
			readRequest(r)
			_, _ = fmt.Fprintf(c, "HTTP/1.1 500 Failed\r\nId: one\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))
		})
		result, _ := send(&Client[codec, *sink]{}, address, "one", nil)
		assert.Equal(t, result.Outcome, outcome, "%d bytes", size)
	}
}
