package dispatcher

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/redwingpick/redwingpick/internal/clocker"
	"github.com/redwingpick/redwingpick/internal/reducer"
)

const (
	// largeBody is the size in bytes from which a request body is sent while the response is read: a server may respond before it
	// has read the whole body.
	largeBody = 8 << 10
	// foreignBorne is the number of mismatched responses that are skipped in one exchange.
	foreignBorne = 3
	// lastRead is how long after the request's deadline a read may still wait.
	lastRead = 250 * time.Millisecond
)

// ErrLong is returned when a response body, or one event of a stream, exceeds its size limit.
var ErrLong = merry.New("response or event from the backend server is too long")

// Call is a request as its caller sent it, with the headers that are forwarded to the backend server.
type Call struct {
	// CallerID is the id that the caller gave the request; a response with another id is mismatched.
	CallerID string
	Method   string
	// Target is the path and the query as received, without decoding.
	Target string
	// HostName is the value of the Host header.
	HostName string
	Header   http.Header
	Body     []byte
	// ResumeAfter is the id of the last event that the caller has received of the stream; empty at its start.
	ResumeAfter string
}

// Response is a complete response of a backend server.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Verdict is what the header of a response says about the request.
type Verdict struct {
	// Mismatched is set for a response to another request.
	Mismatched bool
	// Outcome is set when the response says that the request has not run, or when it cannot come from the backend server.
	Outcome reducer.Outcome
	// Load is the load that the backend server reports in the header.
	Load reducer.Load
}

// Codec encodes calls to backend servers and decodes their responses.
type Codec interface { // type constraint
	// Head returns the header of a request; timeLeft is the time to its deadline.
	Head(header http.Header, dispatch reducer.Dispatch, timeLeft time.Duration, resumeAfter string) http.Header
	// Judge interprets the status and the header of a response.
	Judge(resp *http.Response, callerID, backend string) Verdict
	// Order encodes an order to load or unload an adapter.
	Order(order reducer.OrderAdapter) (path string, header http.Header, body []byte)
	// Ordered decodes the status of the response to an order.
	Ordered(status int) reducer.OrderResult
	// ReportCall encodes the call for a backend server's report.
	ReportCall(backend string) (path string, header http.Header)
	// Report decodes a backend server's report.
	Report(body []byte) ([]reducer.ReportedAdapter, error)
}

// Sink delivers a response to its caller.
type Sink interface { // type constraint
	// Begin sends the status and the header of a streamed response.
	Begin(status int, header http.Header)
	// Write sends the next bytes of a streamed response.
	Write(p []byte) error
	// Whole sends a complete response.
	Whole(resp Response) error
}

// Client sends requests to backend servers. Its exported fields are set before its first use.
type Client[C Codec, S Sink] struct {
	Codec C

	pool  pool
	large largeAnswers
}

// Result is how a dispatch ended.
type Result struct {
	Outcome reducer.Outcome
	Status  int
	Load    reducer.Load
	// Mismatched is the number of responses to other requests that arrived on the connection.
	Mismatched int
	// Delivered is set once the response, or the start of a stream, went to the sink.
	Delivered bool
	// Held is the response with which the backend server reported a failure.
	Held *Response
	// Last is the id of the last event of a stream that went to the caller.
	Last string
}

// exchange is one request and its response on one connection.
type exchange[C Codec, S Sink] struct {
	client *Client[C, S]
	call   Call
	order  reducer.Dispatch
	sink   S
	conn   *connection
	result Result
	// sent receives the result of writing the request.
	sent chan error
	// began is called once a success response has started.
	began   func(after time.Duration)
	started time.Time
}

// Send sends a request and delivers its response to the sink. It calls onStart, with the time since the start of the attempt, at the
// header of a streamed success response or at the end of another one.
func (c *Client[C, S]) Send(ctx context.Context, call Call, dispatch reducer.Dispatch, sink S, onStart func(time.Duration)) Result {
	result, retry := c.try(ctx, call, dispatch, sink, onStart, false)
	if retry {
		result, _ = c.try(ctx, call, dispatch, sink, onStart, true)
	}
	return result
}

// try makes one attempt, on a new connection if fresh is set. It reports retry when a reused connection turned out to be closed
// before any byte of the request was written.
func (c *Client[C, S]) try(ctx context.Context, call Call, dispatch reducer.Dispatch, sink S, onStart func(time.Duration), fresh bool) (result Result, retry bool) {
	conn, err := c.pool.get(ctx, dispatch.Backend, dispatch.Address, dispatch.Connections, fresh)
	if err != nil {
		return Result{Outcome: reducer.OutcomeNotSent}, false
	}
	timeLeft := clocker.Until(dispatch.Deadline)
	if timeLeft <= 0 || ctx.Err() != nil {
		c.pool.drop(conn)
		return Result{Outcome: reducer.OutcomeNotSent}, false
	}
	stop := context.AfterFunc(ctx, func() {
		resetOnClose(conn.Conn)
		_ = conn.Close()
	})
	defer stop()
	now := time.Now()
	_ = conn.SetDeadline(now.Add(timeLeft + lastRead))
	x := &exchange[C, S]{client: c, call: call, order: dispatch, sink: sink, conn: conn, began: onStart, started: now, sent: make(chan error, 1)}
	if n, err := x.send(timeLeft); err != nil && n == 0 {
		c.pool.drop(conn)
		return Result{Outcome: reducer.OutcomeNotSent}, conn.reused && ctx.Err() == nil
	}
	x.receive(ctx)
	return x.result, false
}

// send writes the request. A large body is written by another goroutine while the response is read, and is not counted in written.
func (x *exchange[C, S]) send(timeLeft time.Duration) (written int, err error) {
	header := x.head(timeLeft)
	if len(x.call.Body) < largeBody {
		n, err := x.conn.Write(append(header, x.call.Body...))
		x.sent <- err
		return n, err
	}
	n, err := x.conn.Write(header)
	if err != nil {
		x.sent <- err
		return n, err
	}
	go func() {
		_, err := x.conn.Write(x.call.Body)
		x.sent <- err
	}()
	return n, nil
}

// head encodes the request line and the header.
func (x *exchange[C, S]) head(timeLeft time.Duration) []byte {
	header := x.client.Codec.Head(x.call.Header, x.order, timeLeft, x.call.ResumeAfter)
	var buf bytes.Buffer
	buf.WriteString(x.call.Method + " " + x.call.Target + " HTTP/1.1\r\nHost: " + x.call.HostName + "\r\n")
	if len(x.call.Body) > 0 || x.call.Method != http.MethodGet && x.call.Method != http.MethodHead {
		buf.WriteString("Content-Length: " + strconv.Itoa(len(x.call.Body)) + "\r\n")
	}
	_ = header.Write(&buf)
	buf.WriteString("\r\n")
	return buf.Bytes()
}

// receive reads the response to the request and skips mismatched ones.
func (x *exchange[C, S]) receive(ctx context.Context) {
	x.readWithin(x.order.SilentAfter)
	for {
		resp, err := x.readHead()
		if err != nil {
			x.broken(err)
			return
		}
		class := x.client.Codec.Judge(resp, x.call.CallerID, x.order.Backend)
		x.result.Load = class.Load
		if class.Mismatched {
			x.result.Mismatched++
			if err := discard(resp); err != nil || resp.Close || x.result.Mismatched > foreignBorne {
				x.broken(err)
				return
			}
			continue
		}
		x.readWithin(0)
		x.take(ctx, resp, class)
		return
	}
}

// cutOff reports whether a response ended early because its connection was closed.
func cutOff(err error) bool {
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, net.ErrClosed)
}

// readHead reads the status line and the header of the next response and skips interim (1xx) responses.
func (x *exchange[C, S]) readHead() (*http.Response, error) {
	x.conn.bounded.beginHead()
	defer x.conn.bounded.endHead()
	for {
		resp, err := http.ReadResponse(x.conn.reader, &http.Request{Method: x.call.Method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// readWithin sets the deadline of the following reads to the given timeout, 0 for none, and at most to the request's deadline.
func (x *exchange[C, S]) readWithin(timeout time.Duration) {
	timeLeft := clocker.Until(x.order.Deadline) + lastRead
	if timeout > 0 {
		timeLeft = min(timeLeft, timeout)
	}
	_ = x.conn.SetReadDeadline(time.Now().Add(timeLeft))
}

// take handles the response to this request.
func (x *exchange[C, S]) take(ctx context.Context, resp *http.Response, class Verdict) {
	x.result.Status = resp.StatusCode
	if class.Outcome != 0 {
		x.result.Outcome = class.Outcome
		err := discard(resp)
		if err != nil && !cutOff(err) {
			x.broken(err)
			return
		}
		x.finish(resp, err)
		return
	}
	if resp.StatusCode >= http.StatusMultipleChoices || !x.order.Stream {
		x.takeWhole(ctx, resp)
		return
	}
	x.began(time.Since(x.started))
	x.relay(resp)
}

// takeWhole reads a complete response. It delivers a success; a failure goes into the result, since the reducer may retry the request.
func (x *exchange[C, S]) takeWhole(ctx context.Context, resp *http.Response) {
	body, err := x.readWhole(ctx, resp)
	if err != nil {
		x.broken(err)
		return
	}
	x.finish(resp, nil)
	complete := Response{Status: resp.StatusCode, Header: resp.Header, Body: body}
	if resp.StatusCode >= http.StatusMultipleChoices {
		x.result.Outcome = reducer.OutcomeFailed
		x.result.Held = &complete
		return
	}
	x.began(time.Since(x.started))
	x.result.Outcome = reducer.OutcomeDone
	x.result.Delivered = true
	_ = x.sink.Whole(complete)
}

// relay sends the events of a stream to the sink as each becomes complete.
func (x *exchange[C, S]) relay(resp *http.Response) {
	x.sink.Begin(resp.StatusCode, resp.Header)
	x.result.Delivered = true
	var events splitter
	chunk := make([]byte, bufferBytes)
	x.readWithin(x.order.GapAfter)
	for {
		n, err := resp.Body.Read(chunk)
		if complete := events.push(chunk[:n]); len(complete) > 0 {
			if x.sink.Write(complete) != nil {
				x.broken(err)
				return
			}
			x.result.Last = events.last
			x.readWithin(x.order.GapAfter)
		}
		if events.tooLong() {
			x.broken(ErrLong)
			return
		}
		if errors.Is(err, io.EOF) && len(events.rest) > 0 && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			// A response that ends by closing the connection, in the middle of an event, was cut off.
			err = io.ErrUnexpectedEOF
		}
		if errors.Is(err, io.EOF) {
			x.result.Outcome = reducer.OutcomeDone
			_ = x.sink.Write(events.rest)
			x.finish(resp, nil)
			return
		}
		if err != nil {
			x.broken(err)
			return
		}
	}
}

// finish returns the connection to the pool if the request was written in full and the response read without error, and closes it
// otherwise.
func (x *exchange[C, S]) finish(resp *http.Response, err error) {
	select {
	case writeErr := <-x.sent:
		if err == nil && writeErr == nil {
			x.client.pool.put(x.conn, resp)
			return
		}
	default:
	}
	x.client.pool.drop(x.conn)
}

// broken ends an exchange whose response is incomplete or invalid, and resets its connection.
func (x *exchange[C, S]) broken(err error) {
	x.result.Outcome = reducer.OutcomeBroken
	if errors.Is(err, os.ErrDeadlineExceeded) {
		x.result.Outcome = reducer.OutcomeTimeout
	}
	resetOnClose(x.conn.Conn)
	x.client.pool.drop(x.conn)
}

// Forget closes the idle connections to a backend server.
func (c *Client[C, S]) Forget(backend string) { c.pool.forget(backend) }
