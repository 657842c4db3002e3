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
	// largeBody is the size from which a body is sent while the answer is awaited, since a server may answer before it has read it.
	largeBody = 8 << 10
	// foreignBorne is the number of answers to other requests that are skipped on one connection.
	foreignBorne = 3
	// lastRead is how long after the deadline a read may still wait.
	lastRead = 250 * time.Millisecond
)

// ErrLong is returned when an answer, or an event of a stream, is longer than what is kept of it.
var ErrLong = merry.New("the answer is too long")

// Call is a request as its caller sent it, with the headers that go on to the backend server.
type Call struct {
	CallerID string
	Method   string
	// Target is the path and the query, as they came.
	Target      string
	HostName    string
	Header      http.Header
	Body        []byte
	ResumeAfter string
}

// Response is a whole answer of a backend server.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Verdict tells what an answer means.
type Verdict struct {
	// Mismatched is set for an answer to another request.
	Mismatched bool
	// Outcome is set when the answer says that the request has not run, or cannot be the backend server's.
	Outcome reducer.Outcome
	Load    reducer.Load
}

// Codec translates calls to backend servers.
type Codec interface { // type constraint
	Head(header http.Header, order reducer.Dispatch, left time.Duration, resumeAfter string) http.Header
	Judge(answer *http.Response, callerID, backend string) Verdict
	Order(order reducer.OrderAdapter) (path string, header http.Header, body []byte)
	Ordered(status int) reducer.OrderResult
	ReportCall(backend string) (path string, header http.Header)
	Report(body []byte) ([]reducer.ReportedAdapter, error)
}

// Sink takes an answer to its caller.
type Sink interface { // type constraint
	Begin(status int, header http.Header)
	Write(p []byte) error
	Whole(answer Response) error
}

// Client sends requests to backend servers; its exported fields are set before its first use.
type Client[C Codec, S Sink] struct {
	Codec C

	pool  pool
	large largeAnswers
}

// Result tells how a dispatch ended; Held is the failure that the backend server answered with.
type Result struct {
	Outcome    reducer.Outcome
	Status     int
	Load       reducer.Load
	Mismatched int
	Delivered  bool
	Held       *Response
	// Last is the id of the last event of a stream that went to the caller.
	Last string
}

// exchange is one request on one connection.
type exchange[C Codec, S Sink] struct {
	client  *Client[C, S]
	call    Call
	order   reducer.Dispatch
	sink    S
	conn    *connection
	result  Result
	sent    chan error
	began   func(after time.Duration)
	started time.Time
}

// Send sends a request and hands its answer to the sink; began is called at the first sign of a good answer.
func (c *Client[C, S]) Send(ctx context.Context, call Call, order reducer.Dispatch, sink S, began func(time.Duration)) Result {
	result, retry := c.try(ctx, call, order, sink, began, false)
	if retry {
		result, _ = c.try(ctx, call, order, sink, began, true)
	}
	return result
}

// try makes one attempt; retry tells that a kept connection was found closed before any byte left.
func (c *Client[C, S]) try(ctx context.Context, call Call, order reducer.Dispatch, sink S, began func(time.Duration), fresh bool) (result Result, retry bool) {
	conn, err := c.pool.get(ctx, order.Backend, order.Address, order.MaxConnections, fresh)
	if err != nil {
		return Result{Outcome: reducer.OutcomeNotSent}, false
	}
	left := clocker.Until(order.Deadline)
	if left <= 0 || ctx.Err() != nil {
		c.pool.drop(conn)
		return Result{Outcome: reducer.OutcomeNotSent}, false
	}
	stop := context.AfterFunc(ctx, func() {
		resetOnClose(conn.Conn)
		_ = conn.Close()
	})
	defer stop()
	now := time.Now()
	_ = conn.SetDeadline(now.Add(left + lastRead))
	x := &exchange[C, S]{client: c, call: call, order: order, sink: sink, conn: conn, began: began, started: now, sent: make(chan error, 1)}
	if n, err := x.send(left); err != nil && n == 0 {
		c.pool.drop(conn)
		return Result{Outcome: reducer.OutcomeNotSent}, conn.reused && ctx.Err() == nil
	}
	x.receive(ctx)
	return x.result, false
}

// send writes the request; a large body goes on being written while the answer is read.
func (x *exchange[C, S]) send(left time.Duration) (written int, err error) {
	head := x.head(left)
	if len(x.call.Body) < largeBody {
		n, err := x.conn.Write(append(head, x.call.Body...))
		x.sent <- err
		return n, err
	}
	n, err := x.conn.Write(head)
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

func (x *exchange[C, S]) head(left time.Duration) []byte {
	header := x.client.Codec.Head(x.call.Header, x.order, left, x.call.ResumeAfter)
	var b bytes.Buffer
	b.WriteString(x.call.Method + " " + x.call.Target + " HTTP/1.1\r\nHost: " + x.call.HostName + "\r\n")
	if len(x.call.Body) > 0 || x.call.Method != http.MethodGet && x.call.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(x.call.Body)) + "\r\n")
	}
	_ = header.Write(&b)
	b.WriteString("\r\n")
	return b.Bytes()
}

// receive reads the answer, past those that belong to other requests.
func (x *exchange[C, S]) receive(ctx context.Context) {
	x.readWithin(x.order.ResponseHeaderTimeout)
	for {
		answer, err := x.readHead()
		if err != nil {
			x.broken(err)
			return
		}
		verdict := x.client.Codec.Judge(answer, x.call.CallerID, x.order.Backend)
		x.result.Load = verdict.Load
		if verdict.Mismatched {
			x.result.Mismatched++
			if err := discard(answer); err != nil || answer.Close || x.result.Mismatched > foreignBorne {
				x.broken(err)
				return
			}
			continue
		}
		x.readWithin(0)
		x.take(ctx, answer, verdict)
		return
	}
}

// cutOff reports whether an answer ended early with its connection.
func cutOff(err error) bool {
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, net.ErrClosed)
}

// readHead reads the head of the next final answer.
func (x *exchange[C, S]) readHead() (*http.Response, error) {
	x.conn.bounded.beginHead()
	defer x.conn.bounded.endHead()
	for {
		answer, err := http.ReadResponse(x.conn.reader, &http.Request{Method: x.call.Method})
		if err != nil {
			return nil, err
		}
		if answer.StatusCode >= http.StatusOK {
			return answer, nil
		}
	}
}

// readWithin bounds the reads that follow by a time, 0 for none, and by the deadline.
func (x *exchange[C, S]) readWithin(limit time.Duration) {
	left := clocker.Until(x.order.Deadline) + lastRead
	if limit > 0 {
		left = min(left, limit)
	}
	_ = x.conn.SetReadDeadline(time.Now().Add(left))
}

// take handles the answer to this request.
func (x *exchange[C, S]) take(ctx context.Context, answer *http.Response, verdict Verdict) {
	x.result.Status = answer.StatusCode
	if verdict.Outcome != 0 {
		x.result.Outcome = verdict.Outcome
		err := discard(answer)
		if err != nil && !cutOff(err) {
			x.broken(err)
			return
		}
		x.finish(answer, err)
		return
	}
	if answer.StatusCode >= http.StatusMultipleChoices || !x.order.Stream {
		x.takeWhole(ctx, answer)
		return
	}
	x.began(time.Since(x.started))
	x.relay(answer)
}

// takeWhole reads a whole answer; a failure is held until it is decided whether the request runs again.
func (x *exchange[C, S]) takeWhole(ctx context.Context, answer *http.Response) {
	body, err := x.readWhole(ctx, answer)
	if err != nil {
		x.broken(err)
		return
	}
	x.finish(answer, nil)
	whole := Response{Status: answer.StatusCode, Header: answer.Header, Body: body}
	if answer.StatusCode >= http.StatusMultipleChoices {
		x.result.Outcome = reducer.OutcomeFailed
		x.result.Held = &whole
		return
	}
	x.began(time.Since(x.started))
	x.result.Outcome = reducer.OutcomeDone
	x.result.Delivered = true
	_ = x.sink.Whole(whole)
}

// relay hands the whole events of a stream on as they arrive.
func (x *exchange[C, S]) relay(answer *http.Response) {
	x.sink.Begin(answer.StatusCode, answer.Header)
	x.result.Delivered = true
	var events splitter
	chunk := make([]byte, bufferBytes)
	x.readWithin(x.order.StreamIdleTimeout)
	for {
		n, err := answer.Body.Read(chunk)
		if whole := events.push(chunk[:n]); len(whole) > 0 {
			if x.sink.Write(whole) != nil {
				x.broken(err)
				return
			}
			x.result.Last = events.last
			x.readWithin(x.order.StreamIdleTimeout)
		}
		if events.tooLong() {
			x.broken(ErrLong)
			return
		}
		if errors.Is(err, io.EOF) && len(events.rest) > 0 && answer.ContentLength < 0 && len(answer.TransferEncoding) == 0 {
			// The answer ends with its connection, in the middle of an event: the backend server was cut off.
			err = io.ErrUnexpectedEOF
		}
		if errors.Is(err, io.EOF) {
			x.result.Outcome = reducer.OutcomeDone
			_ = x.sink.Write(events.rest)
			x.finish(answer, nil)
			return
		}
		if err != nil {
			x.broken(err)
			return
		}
	}
}

// finish keeps the connection if the exchange on it is complete.
func (x *exchange[C, S]) finish(answer *http.Response, err error) {
	select {
	case sent := <-x.sent:
		if err == nil && sent == nil {
			x.client.pool.put(x.conn, answer)
			return
		}
	default:
	}
	x.client.pool.drop(x.conn)
}

// broken ends an exchange whose answer is not whole.
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
