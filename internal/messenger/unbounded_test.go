package messenger

import (
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/internal/reducer"
	"github.com/redwingpick/redwingpick/platform"
)

const (
	// maxSentBytes and maxSendDuration limit what a test peer sends on one connection.
	maxSentBytes    = 512 << 20
	maxSendDuration = 4 * time.Second
	sendBlockSize   = 64 << 10
	// maxMessageAllocation is the limit in bytes on the allocations of one call: its buffers grow in steps, and take twice as much with the
	// race detector.
	maxMessageAllocation = 10 * maxMessageSize
)

// readUpdates reads updates from a peer, and returns the result, the duration and the bytes allocated.
func readUpdates(address string) (event reducer.UpdatesRead, took time.Duration, used uint64) {
	client := &Client[platform.Codec]{HostID: "a", Results: make(chan reducer.Event, 1)}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	start := time.Now()
	event = client.ReadUpdates(context.Background(), reducer.ReadUpdates{From: "b", Address: address})
	took = time.Since(start)
	runtime.ReadMemStats(&after)
	return event, took, after.TotalAlloc - before.TotalAlloc
}

// servePeer serves calls over unencrypted HTTP/2 and returns its address.
func servePeer(t *testing.T, handler http.HandlerFunc) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: handler, Protocols: new(http.Protocols)}
	server.Protocols.SetUnencryptedHTTP2(true)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// sendUntilClosed writes blocks until the caller closes the connection or a limit is reached, and reports whether the caller closed it.
func sendUntilClosed(w io.Writer, block []byte) bool {
	deadline := time.Now().Add(maxSendDuration)
	for sent := 0; sent < maxSentBytes && time.Now().Before(deadline); sent += len(block) {
		if _, err := w.Write(block); err != nil {
			return true
		}
	}
	return false
}

// Guards against an unbounded message of a peer being buffered until the call times out.
func TestUnboundedMessageFails(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusServiceUnavailable} {
		closed := make(chan bool, 1)
		address := servePeer(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/proto")
			if status != http.StatusOK {
				w.Header().Set("Content-Type", "application/json")
			}
			w.WriteHeader(status)
			closed <- sendUntilClosed(w, make([]byte, sendBlockSize))
		})
		event, took, used := readUpdates(address)
		t.Logf("failed after %v", took)
		assert.Check(t, event.Failed)
		assert.Check(t, took < updatesTimeout+300*time.Millisecond, "took %v", took)
		assert.Check(t, used < maxMessageAllocation, "%d MiB allocated", used>>20)
		assert.Check(t, <-closed)
	}
}

// Guards against a small compressed message of a peer exhausting the memory of the host when it is decompressed.
func TestOversizedCompressedMessageFails(t *testing.T) {
	var member bytes.Buffer
	z := gzip.NewWriter(&member)
	_, _ = z.Write(make([]byte, sendBlockSize))
	_ = z.Close()
	compressed := bytes.Repeat(member.Bytes(), maxSentBytes/sendBlockSize)
	address := servePeer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/proto")
		w.Header().Set("Content-Encoding", "gzip")
		_, _ = w.Write(compressed)
	})
	event, _, used := readUpdates(address)
	assert.Check(t, event.Failed)
	assert.Check(t, used < maxMessageAllocation, "%d MiB allocated", used>>20)
}

// Guards against bytes of a peer that are not a response being read without end, or buffered.
func TestUnboundedBytesCloseConnection(t *testing.T) {
	ping := "\x00\x00\x08\x06\x00\x00\x00\x00\x00pingpong"
	settings := "\x00\x00\x00\x04\x00\x00\x00\x00\x00"
	headers := "\x00\x00\x01\x01\x00\x00\x00\x00\x01\x88"
	continuation := "\x00\x00\x08\x09\x00\x00\x00\x00\x01\x00\x01a\x01b\x00\x01c"
	for name, sent := range map[string][2]string{
		"no frames":         {"", "x"},
		"pings":             {settings, ping},
		"settings":          {settings, settings},
		"unbounded header":  {settings + headers, continuation},
		"HTTP/1.1 response": {"HTTP/1.1 200 OK\r\n", "A: x\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			t.Cleanup(func() { _ = listener.Close() })
			ended := make(chan error, 8)
			go func() {
				for {
					c, err := listener.Accept()
					if err != nil {
						return
					}
					go func() {
						defer func() { _ = c.Close() }()
						_ = c.SetDeadline(time.Now().Add(maxSendDuration))
						go func() { _, _ = io.Copy(io.Discard, c) }()
						_, err := io.WriteString(c, sent[0])
						for block := []byte(strings.Repeat(sent[1], 4096/len(sent[1]))); err == nil; {
							_, err = c.Write(block)
							time.Sleep(time.Millisecond)
						}
						ended <- err
					}()
				}
			}()
			event, took, used := readUpdates(listener.Addr().String())
			assert.Check(t, event.Failed)
			assert.Check(t, took < updatesTimeout+300*time.Millisecond, "took %v", took)
			assert.Check(t, used < 16<<20, "%d KiB allocated", used>>10)
			err = <-ended
			var timeout net.Error
			assert.Check(t, !(errors.As(err, &timeout) && timeout.Timeout()), "the connection stayed open: %v", err)
		})
	}
}
