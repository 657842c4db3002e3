package dispatcher

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/internal/reducer"
)

func discard(Chunk) error { return nil }

// TestCallIsNotRepeatedByTheLibrary closes each connection after the request was read; the HTTP client must not send it again.
func TestCallIsNotRepeatedByTheLibrary(t *testing.T) {
	UseTransport()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = socket.Close() }()
	var requests atomic.Int64
	go func() {
		for {
			connection, err := socket.Accept()
			if err != nil {
				return
			}
			if request, err := http.ReadRequest(bufio.NewReader(connection)); err == nil {
				_, _ = io.ReadAll(request.Body)
				requests.Add(1)
			}
			_ = connection.Close()
		}
	}()
	order := reducer.Dispatch{ID: "r1", Service: "orders", Address: socket.Addr().String(), NotAfter: time.Now().Add(time.Minute)}
	answer := CallService(context.Background(), order, Call{Body: []byte("order")}, discard)
	assert.Equal(t, answer.Outcome, reducer.OutcomeUnknown)
	assert.Equal(t, requests.Load(), int64(1))
}

// TestLateOrderNeverLeavesWhole lets an order leave after its time; the server must not read a whole request.
func TestLateOrderNeverLeavesWhole(t *testing.T) {
	UseTransport()
	var whole atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err == nil {
			whole.Add(1)
		}
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	late := time.Now().Add(-time.Millisecond)
	answer := CallService(context.Background(), reducer.Dispatch{ID: "r1", Service: "s", Address: address, NotAfter: late}, Call{Body: []byte("x")}, discard)
	assert.Assert(t, answer.Expired)
	assert.Equal(t, answer.Outcome, reducer.OutcomeNotRun)
	answer = Generate(context.Background(), reducer.Dispatch{ID: "r2", Address: address, NotAfter: late}, Call{}, discard)
	assert.Assert(t, answer.Expired)
	_, inTime := Load(context.Background(), reducer.LoadAdapter{Address: address, NotAfter: late})
	assert.Assert(t, !inTime)
	server.Close()
	assert.Equal(t, whole.Load(), int64(0))
}

func TestUnreachableServerHasNotRun(t *testing.T) {
	UseTransport()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := socket.Addr().String()
	assert.NilError(t, socket.Close())
	order := reducer.Dispatch{ID: "r1", Address: address, NotAfter: time.Now().Add(time.Minute)}
	answer := Generate(context.Background(), order, Call{MaxTokens: 1}, discard)
	assert.Equal(t, answer.Outcome, reducer.OutcomeNotRun)
	assert.Equal(t, answer.Reason, reducer.ReasonConnection)
}

func TestRedirectsAreNotFollowed(t *testing.T) {
	UseTransport()
	var asked atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked.Add(1)
		http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
	}))
	defer server.Close()
	order := reducer.Dispatch{ID: "r1", Service: "s", Address: strings.TrimPrefix(server.URL, "http://"), NotAfter: time.Now().Add(time.Minute)}
	_ = CallService(context.Background(), order, Call{Body: []byte("x")}, discard)
	assert.Equal(t, asked.Load(), int64(1))
}

// TestBreakerDoesNotDecide has a server fail many times in a row; each further request must still reach it.
func TestBreakerDoesNotDecide(t *testing.T) {
	UseTransport()
	var asked atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		asked.Add(1)
		w.WriteHeader(http.StatusInternalServerError)
	}))
	defer server.Close()
	order := reducer.PollBackend{Backend: "b", Address: strings.TrimPrefix(server.URL, "http://")}
	for range 300 {
		assert.Assert(t, ReadState(context.Background(), order).Failed)
	}
	assert.Equal(t, asked.Load(), int64(300))
}
