package executor

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/internal/clocker"
	"github.com/redwingpick/redwingpick/internal/dispatcher"
	"github.com/redwingpick/redwingpick/internal/reducer"
	"github.com/redwingpick/redwingpick/internal/selector"
)

// noticeCodec sends requests without a header and lets each response say the same; status 503 is a refusal.
type noticeCodec struct{ Codec }

func (noticeCodec) EncodeHeader(http.Header, reducer.Dispatch, time.Duration, string) http.Header {
	return http.Header{}
}

func (noticeCodec) Classify(resp *http.Response, _, _ string) dispatcher.Classification {
	class := dispatcher.Classification{Notice: reducer.BackendNotice{Answered: true, RateLimit: 5, Leaving: true}}
	if resp.StatusCode == http.StatusServiceUnavailable {
		class.Outcome = reducer.OutcomeFull
	}
	return class
}

// discardSink discards responses.
type discardSink struct{}

func (discardSink) BeginStream(int, http.Header)            {}
func (discardSink) Write([]byte) error                      { return nil }
func (discardSink) WriteResponse(dispatcher.Response) error { return nil }
func (discardSink) Reserve(int) bool                        { return true }
func (discardSink) Release(int)                             {}
func (discardSink) Refuse(reducer.Refuse)                   {}
func (discardSink) Abort()                                  {}

// respondOnce serves one connection, and writes the bytes in reply to its first request.
func respondOnce(t *testing.T, bytes string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = http.ReadRequest(bufio.NewReader(c))
		_, _ = io.WriteString(c, bytes)
		_ = c.Close()
	}()
	return listener.Addr().String()
}

// Guards against what a response says about its server getting lost on the way to the reducer, and against its rate limit reaching it twice.
func TestNoticesReachTheReducer(t *testing.T) {
	named := reducer.BackendNotice{Answered: true, RateLimit: 5, Leaving: true}
	repeated := reducer.BackendNotice{Leaving: true}
	cases := []struct {
		name     string
		response string
		outcome  reducer.Outcome
		started  []reducer.BackendNotice
		ended    reducer.BackendNotice
	}{
		{"success", "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n\r\nok", reducer.OutcomeDone, []reducer.BackendNotice{named}, repeated},
		{"stream", "HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: a\n\n", reducer.OutcomeDone, []reducer.BackendNotice{named}, repeated},
		{"broken stream", "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nid: 1\n", reducer.OutcomeBroken, []reducer.BackendNotice{named}, repeated},
		{"failure", "HTTP/1.1 500 Failed\r\nContent-Length: 2\r\n\r\nno", reducer.OutcomeFailed, nil, named},
		{"refusal", "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", reducer.OutcomeFull, nil, named},
		{"no response", "", reducer.OutcomeBroken, nil, reducer.BackendNotice{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			control := &Control[selector.LeastDelay, noticeCodec, discardSink]{
				Worker: &Worker[noticeCodec, discardSink]{Backends: &dispatcher.Client[noticeCodec, discardSink]{}}, Waiters: &Waiters{},
				results: make(chan reducer.Event, 8),
			}
			session := &Session[selector.LeastDelay, noticeCodec, discardSink]{
				Control: control, Call: dispatcher.Call{CallerID: "one", Method: http.MethodPost, Target: "/", HostName: "h"},
			}
			waiter := control.Waiters.Register(t.Context(), "one")
			session.dispatch(context.Background(), waiter, reducer.Dispatch{
				ID: "one", Backend: "b", Attempt: 1, Address: respondOnce(t, c.response), Stream: true, Deadline: clocker.Now().Add(2 * time.Second),
			})
			close(control.results)
			var started []reducer.BackendNotice
			var ended []reducer.DispatchEnded
			for event := range control.results {
				switch e := event.(type) {
				case reducer.ResponseStarted:
					started = append(started, e.Notice)
				case reducer.DispatchEnded:
					ended = append(ended, e)
				}
			}
			assert.DeepEqual(t, started, c.started)
			assert.Equal(t, len(ended), 1)
			assert.Equal(t, ended[0].Outcome, c.outcome)
			assert.DeepEqual(t, ended[0].Notice, c.ended)
		})
	}
}
