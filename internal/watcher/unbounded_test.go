package watcher

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/internal/dispatcher"
	"github.com/redwingpick/redwingpick/internal/recorder"
	"github.com/redwingpick/redwingpick/internal/reducer"
	"github.com/redwingpick/redwingpick/pkg/cataloguer"
	"github.com/redwingpick/redwingpick/platform"
)

const (
	// maxSentBytes and maxSendDuration limit what the test service sends on one connection.
	maxSentBytes    = 256 << 20
	maxSendDuration = 5 * time.Second
	sendBlockSize   = 16 << 10
	// maxHeaderAllocation and maxPageAllocation are the limits in bytes on the allocations of a call with an unbounded header and with an
	// unbounded body.
	maxHeaderAllocation = 2 << 20
	maxPageAllocation   = 8 * maxResponseSize
	emptyPage           = `{"items":[],"events":[],"has_more":false,"current_rev":7}`
)

// unboundedResponse is an unbounded response: a prefix, then a unit that repeats without end.
type unboundedResponse struct {
	name          string
	prefix        string
	unit          string
	maxAllocation uint64
}

var unboundedResponses = []unboundedResponse{
	{"status line", "", "x", maxHeaderAllocation},
	{"header line", "HTTP/1.1 200 OK\r\nA: ", "x", maxHeaderAllocation},
	{"header lines", "HTTP/1.1 200 OK\r\n", "A: x\r\n", maxHeaderAllocation},
	{"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n", maxHeaderAllocation},
	{"chunk extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x", maxHeaderAllocation},
	{"trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{\r\n0\r\n", "A: x\r\n", maxHeaderAllocation},
	{"body without length", "HTTP/1.1 200 OK\r\n\r\n" + emptyPage, " ", maxPageAllocation},
	{"chunked body", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n39\r\n" + emptyPage + "\r\n", "400\r\n" + strings.Repeat(" ", 1024) + "\r\n", maxPageAllocation},
	{"body of status 410", "HTTP/1.1 410 Gone\r\n\r\n", "x", maxPageAllocation},
}

// startService serves each connection with a function and returns its address and the channel of the results.
func startService(t *testing.T, serve func(c net.Conn) error) (address string, ended chan error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	ended = make(chan error, 64)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				_ = c.SetDeadline(time.Now().Add(maxSendDuration))
				ended <- serve(c)
			}()
		}
	}()
	return listener.Addr().String(), ended
}

// serve returns a function that sends the response until the connection is closed or the limit in bytes is reached.
func (u unboundedResponse) serve(pause time.Duration) func(c net.Conn) error {
	return func(c net.Conn) error {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return err
		}
		block := []byte(u.unit)
		if pause == 0 {
			block = []byte(strings.Repeat(u.unit, max(sendBlockSize/len(u.unit), 1)))
		}
		_, err := io.WriteString(c, u.prefix)
		for sent := 0; err == nil && sent < maxSentBytes; sent += len(block) {
			_, err = c.Write(block)
			time.Sleep(pause)
		}
		if err == nil {
			_, err = c.Read(make([]byte, 1))
		}
		return err
	}
}

// newWatcher returns a watcher that writes its log to a writer.
func newWatcher(address string, log io.Writer) *Watcher[platform.Codec] {
	dispatcher.ConfigureDefaultClient()
	return &Watcher[platform.Codec]{Address: address, Recorder: &recorder.Recorder{Out: log}}
}

// allocatedBytes returns the number of bytes that a function allocates.
func allocatedBytes(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// Guards against an unbounded response of the service counting as valid, being buffered without limit, or being read past the timeout.
func TestUnboundedResponseFails(t *testing.T) {
	calls := map[string]func(w *Watcher[platform.Codec]) reducer.ConfigRead{
		"list": func(w *Watcher[platform.Codec]) reducer.ConfigRead {
			return w.List(context.Background(), time.Now(), reducer.ListConfigService{})
		},
		"watch": func(w *Watcher[platform.Codec]) reducer.ConfigRead {
			return w.Watch(context.Background(), time.Now(), reducer.WatchConfigService{Since: cataloguer.Version{Revision: 1}, Wait: 100 * time.Millisecond})
		},
	}
	for name, call := range calls {
		for _, resp := range unboundedResponses {
			for _, pause := range []time.Duration{0, 10 * time.Millisecond} {
				t.Run(name+"/"+resp.name+"/"+pause.String(), func(t *testing.T) {
					address, ended := startService(t, resp.serve(pause))
					w := newWatcher(address, io.Discard)
					var event reducer.ConfigRead
					start := time.Now()
					used := allocatedBytes(func() { event = call(w) })
					assert.Check(t, event.Failed && !event.Expired)
					assert.Check(t, used < resp.maxAllocation, "%d KiB allocated", used>>10)
					assert.Check(t, time.Since(start) < responseTimeout+500*time.Millisecond, "took %v", time.Since(start))
					select {
					case err := <-ended:
						var timeout net.Error
						assert.Check(t, err != nil && !(errors.As(err, &timeout) && timeout.Timeout()), "ended by %v", err)
					case <-time.After(time.Second):
						t.Fatal("the connection is still open")
					}
				})
			}
		}
	}
}

// Guards against a list whose pages always announce another one being collected in memory without limit.
func TestUnboundedListFails(t *testing.T) {
	for _, key := range []func(page int) string{
		func(int) string { return "servers/same" },
		func(page int) string { return fmt.Sprintf("servers/%09d", page) },
	} {
		calls := 0
		value := strings.Repeat("eHh4", 1<<18)
		address, _ := startService(t, func(c net.Conn) error {
			r := bufio.NewReader(c)
			for {
				if _, err := http.ReadRequest(r); err != nil || calls > 200 {
					return err
				}
				calls++
				body := fmt.Sprintf(`{"items":[{"key":%q,"value":%q,"revision":1}],"has_more":true,"current_rev":7}`, key(calls), value)
				if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body); err != nil {
					return err
				}
			}
		})
		event := newWatcher(address, io.Discard).List(context.Background(), time.Now(), reducer.ListConfigService{})
		assert.Check(t, event.Failed)
		assert.Check(t, calls <= maxListSize>>20+1, "%d pages were read", calls)
	}
}

// Guards against a log line that contains the whole of a malformed response.
func TestMalformedResponseIsNotLoggedInFull(t *testing.T) {
	line := strings.Repeat("x", 20<<10)
	address, _ := startService(t, func(c net.Conn) error {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return err
		}
		_, err := io.WriteString(c, line+"\r\n\r\n")
		return err
	})
	var log bytes.Buffer
	w := newWatcher(address, &log)
	w.Recorder.CaptureLibraryLog()
	event := w.List(context.Background(), time.Now(), reducer.ListConfigService{})
	w.Recorder.Close()
	assert.Check(t, event.Failed)
	assert.Check(t, log.Len() > 0)
	assert.Check(t, log.Len() < 2<<10, "%d bytes were logged", log.Len())
}
