package dispatcher

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/internal/clocker"
	"github.com/redwingpick/redwingpick/internal/reducer"
)

// limitHeader is a header field that names a rate limit of 5 requests per second.
const limitHeader = "Limit: 5\r\n"

// named is the notice of a response to a request with limitHeader, and unnamed that of one without.
var (
	named   = reducer.BackendNotice{Answered: true, RateLimit: 5}
	unnamed = reducer.BackendNotice{Answered: true}
)

// respond reads a request and writes bytes in reply, and closes the connection.
func respond(bytes string) func(c net.Conn, r *bufio.Reader) {
	return func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = io.WriteString(c, bytes)
	}
}

// sendForNotices sends the request "one" and returns the notices that OnStart receives, in order, and the result.
func sendForNotices(client *Client[codec, *sink], address string, stream bool, body ...[]byte) ([]reducer.BackendNotice, Result) {
	var started []reducer.BackendNotice
	call := Call{CallerID: "one", Method: "POST", Target: "/x", HostName: "h", Body: body}
	dispatch := reducer.Dispatch{
		ID: "one", Backend: "b", Address: address, Stream: stream, Deadline: clocker.Now().Add(2 * time.Second), ResponseHeaderTimeout: 200 * time.Millisecond,
	}
	ctx, end := context.WithCancelCause(context.Background())
	defer end(nil)
	result := client.Send(ctx, call, dispatch, &sink{}, Hooks{
		OnStart: func(start Start) { started = append(started, start.Notice) }, OnStall: func() { end(ErrStalled) },
	})
	return started, result
}

// Guards against a limit that a response names being lost, and against its being reported twice: the end of a stream would state the limit anew
// that the server named at its start.
func TestRateLimitIsReportedOnce(t *testing.T) {
	const event = "id: 1\ndata: a\n\n"
	cases := []struct {
		name     string
		response string
		stream   bool
		outcome  reducer.Outcome
		started  []reducer.BackendNotice
		ended    reducer.BackendNotice
	}{
		{
			"success", "HTTP/1.1 200 OK\r\nId: one\r\n" + limitHeader + "Content-Length: 2\r\n\r\nok", false,
			reducer.OutcomeDone, []reducer.BackendNotice{named}, reducer.BackendNotice{},
		}, {
			"success without a limit", "HTTP/1.1 200 OK\r\nId: one\r\nContent-Length: 2\r\n\r\nok", false,
			reducer.OutcomeDone, []reducer.BackendNotice{unnamed}, reducer.BackendNotice{},
		}, {
			"success after interim responses", "HTTP/1.1 100 Continue\r\nLimit: 9\r\n\r\nHTTP/1.1 103 Early Hints\r\nLimit: 9\r\n\r\n" +
				"HTTP/1.1 200 OK\r\nId: one\r\n" + limitHeader + "Content-Length: 2\r\n\r\nok", false,
			reducer.OutcomeDone, []reducer.BackendNotice{named}, reducer.BackendNotice{},
		}, {
			"stream", "HTTP/1.1 200 OK\r\nId: one\r\n" + limitHeader + "\r\n" + event, true,
			reducer.OutcomeDone, []reducer.BackendNotice{named}, reducer.BackendNotice{},
		}, {
			"broken stream", "HTTP/1.1 200 OK\r\nId: one\r\n" + limitHeader + "Transfer-Encoding: chunked\r\n\r\nf\r\n" + event, true,
			reducer.OutcomeBroken, []reducer.BackendNotice{named}, reducer.BackendNotice{},
		}, {
			"limit in the trailers", "HTTP/1.1 200 OK\r\nId: one\r\nTrailer: Limit\r\nTransfer-Encoding: chunked\r\n\r\nf\r\n" + event +
				"\r\n0\r\n" + limitHeader + "\r\n", true,
			reducer.OutcomeDone, []reducer.BackendNotice{unnamed}, reducer.BackendNotice{},
		}, {
			"limit in header and trailers", "HTTP/1.1 200 OK\r\nId: one\r\n" + limitHeader + "Trailer: Limit\r\nTransfer-Encoding: chunked\r\n\r\n" +
				"2\r\nok\r\n0\r\nLimit: 9\r\n\r\n", false,
			reducer.OutcomeDone, []reducer.BackendNotice{named}, reducer.BackendNotice{},
		}, {
			"truncated success", "HTTP/1.1 200 OK\r\nId: one\r\n" + limitHeader + "Content-Length: 9\r\n\r\nok", false,
			reducer.OutcomeBroken, nil, named,
		}, {
			"failure", "HTTP/1.1 500 Failed\r\nId: one\r\n" + limitHeader + "Content-Length: 2\r\n\r\nno", true,
			reducer.OutcomeFailed, nil, named,
		}, {
			"truncated failure", "HTTP/1.1 500 Failed\r\nId: one\r\n" + limitHeader + "Content-Length: 9\r\n\r\nno", true,
			reducer.OutcomeBroken, nil, named,
		}, {
			"refusal", "HTTP/1.1 503 Full\r\nId: one\r\n" + limitHeader + "Content-Length: 0\r\n\r\n", true,
			reducer.OutcomeFull, nil, named,
		}, {
			"refusal without a limit", "HTTP/1.1 503 Full\r\nId: one\r\nContent-Length: 0\r\n\r\n", true,
			reducer.OutcomeFull, nil, unnamed,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			started, result := sendForNotices(&Client[codec, *sink]{}, startServer(t, respond(c.response)), c.stream)
			assert.Equal(t, result.Outcome, c.outcome)
			assert.DeepEqual(t, started, c.started)
			assert.DeepEqual(t, result.Notice, c.ended)
		})
	}
}

// Guards against the end of an attempt without a response to it ending the rate limit of the server.
func TestAttemptWithoutResponseSaysNothing(t *testing.T) {
	const other = "HTTP/1.1 200 OK\r\nId: other\r\n" + limitHeader + "Content-Length: 2\r\n\r\nno"
	cases := []struct {
		name    string
		handle  func(c net.Conn, r *bufio.Reader)
		outcome reducer.Outcome
	}{
		{"closed", respond(""), reducer.OutcomeBroken},
		{"header cut off", respond("HTTP/1.1 200 OK\r\nId: one\r\n" + limitHeader), reducer.OutcomeBroken},
		{"no HTTP", respond("hello\r\n\r\n"), reducer.OutcomeBroken},
		{"only an interim response", respond("HTTP/1.1 100 Continue\r\n" + limitHeader + "\r\n"), reducer.OutcomeBroken},
		{"only the response to another request", respond(other), reducer.OutcomeBroken},
		{"only responses to other requests", respond(other + other + other + other + other), reducer.OutcomeBroken},
		{"no response in time", func(_ net.Conn, r *bufio.Reader) { readRequest(r); time.Sleep(time.Second) }, reducer.OutcomeTimeout},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			started, result := sendForNotices(&Client[codec, *sink]{}, startServer(t, c.handle), true)
			assert.Equal(t, result.Outcome, c.outcome)
			assert.Equal(t, len(started), 0)
			assert.DeepEqual(t, result.Notice, reducer.BackendNotice{})
		})
	}
	t.Run("not sent", func(t *testing.T) {
		started, result := sendForNotices(&Client[codec, *sink]{}, "127.0.0.1:1", true)
		assert.Equal(t, result.Outcome, reducer.OutcomeNotSent)
		assert.Equal(t, len(started), 0)
		assert.DeepEqual(t, result.Notice, reducer.BackendNotice{})
	})
}

// Guards against taking a statement from a response without an id on a reused connection, which may belong to an earlier request.
func TestUnidentifiedResponseOnReusedConnectionSaysNothing(t *testing.T) {
	address := startServer(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 503 Full\r\n"+limitHeader+"Content-Length: 0\r\n\r\n")
		readRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 503 Full\r\n"+limitHeader+"Content-Length: 0\r\n\r\n")
		time.Sleep(time.Second)
	})
	client := &Client[codec, *sink]{}
	_, _ = send(client, address, "zero", nil)
	started, result := sendForNotices(client, address, true)
	assert.Equal(t, result.Outcome, reducer.OutcomeBroken)
	assert.Equal(t, len(started), 0)
	assert.DeepEqual(t, result.Notice, reducer.BackendNotice{})
}

// Guards against losing the notice of a response that follows one to another request, and of one that arrives while the request is still sent.
func TestNoticeOfTheResponseThatCounts(t *testing.T) {
	address := startServer(t, respond(
		"HTTP/1.1 200 OK\r\nId: other\r\nLeaving: 1\r\nLimit: 9\r\nContent-Length: 2\r\n\r\nno"+
			"HTTP/1.1 503 Full\r\nId: one\r\n"+limitHeader+"Content-Length: 0\r\n\r\n"))
	_, result := sendForNotices(&Client[codec, *sink]{}, address, true)
	assert.Equal(t, result.Mismatched, 1)
	assert.DeepEqual(t, result.Notice, named)

	address = startServer(t, func(c net.Conn, r *bufio.Reader) {
		_, _ = r.ReadString('\n')
		_, _ = io.WriteString(c, "HTTP/1.1 503 Full\r\nId: one\r\n"+limitHeader+"Content-Length: 0\r\n\r\n")
		time.Sleep(100 * time.Millisecond)
	})
	_, result = sendForNotices(&Client[codec, *sink]{}, address, true, make([]byte, largeUpload))
	assert.Equal(t, result.Outcome, reducer.OutcomeFull)
	assert.DeepEqual(t, result.Notice, named)
}

// Guards against a request that is sent again on a new connection losing the notice of its response, and against the first attempt, which wrote
// nothing, stating one.
func TestNoticeAfterRetryOnNewConnection(t *testing.T) {
	silent := startServer(t, func(net.Conn, *bufio.Reader) { time.Sleep(time.Second) })
	conn, err := net.Dial("tcp", silent)
	assert.NilError(t, err)
	// The pool cannot tell that writing to this connection fails.
	assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
	client := &Client[codec, *sink]{}
	assert.Assert(t, client.pool.reserve("b", 0))
	bounded := &boundedReader{Reader: conn}
	idle := &connection{Conn: conn, reader: bufio.NewReader(bounded), bounded: bounded, backend: "b", usableUntil: time.Now().Add(time.Minute)}
	client.pool.addIdle(idle)
	address := startServer(t, respond("HTTP/1.1 503 Full\r\nId: one\r\n"+limitHeader+"Content-Length: 0\r\n\r\n"))
	_, result := sendForNotices(client, address, true)
	assert.Assert(t, idle.reused, "the first attempt used the idle connection")
	assert.Equal(t, result.Outcome, reducer.OutcomeFull)
	assert.DeepEqual(t, result.Notice, named)
}

// Guards against the response to an order or a report counting as one to a request, which would end a rate limit that it does not name.
func TestOrdersAndReportsAreNotAnswered(t *testing.T) {
	for _, c := range []struct {
		header string
		notice reducer.BackendNotice
	}{{"", reducer.BackendNotice{}}, {limitHeader, reducer.BackendNotice{RateLimit: 5}}} {
		response := "HTTP/1.1 200 OK\r\n" + c.header + "Content-Length: 1\r\n\r\n7"
		client := &Client[codec, *sink]{}
		report := client.ReadReport(context.Background(), clocker.Now(), reducer.ReadReport{Backend: "b", Address: startServer(t, respond(response))})
		assert.Assert(t, !report.Failed)
		assert.DeepEqual(t, report.Notice, c.notice)
		order, inTime := client.SendOrder(context.Background(), reducer.OrderAdapter{
			Backend: "b", Address: startServer(t, respond(response)), NotAfter: clocker.Now().Add(time.Second),
		})
		assert.Assert(t, inTime)
		assert.DeepEqual(t, order.Notice, c.notice)
	}
}

// Guards against the limit of a server that has started anew counting for the incarnation that was asked, and against an order or a report
// without a response saying anything.
func TestReportsThatSayNothing(t *testing.T) {
	for name, body := range map[string]string{"other incarnation": "8", "none": ""} {
		response := ""
		if body != "" {
			response = fmt.Sprintf("HTTP/1.1 200 OK\r\nLeaving: 1\r\n%sContent-Length: %d\r\n\r\n%s", limitHeader, len(body), body)
		}
		client := &Client[codec, *sink]{}
		event := client.ReadReport(context.Background(), clocker.Now(), reducer.ReadReport{Backend: "b", Address: startServer(t, respond(response)), StartedUnixMs: 7})
		assert.Assert(t, event.Failed, name)
		assert.DeepEqual(t, event.Notice, reducer.BackendNotice{})
	}
	event, _ := (&Client[codec, *sink]{}).SendOrder(context.Background(), reducer.OrderAdapter{
		Address: startServer(t, respond("")), NotAfter: clocker.Now().Add(time.Second),
	})
	assert.DeepEqual(t, event.Notice, reducer.BackendNotice{})
}
