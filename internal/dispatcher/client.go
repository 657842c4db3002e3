package dispatcher

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/redwingpick/redwingpick/internal/clocker"
	"github.com/redwingpick/redwingpick/internal/reducer"
)

const (
	// largeRequestBody is the size in bytes from which a request body is sent while the response is read: a server may respond before it
	// has read the whole body.
	largeRequestBody = 8 << 10
	// maxMismatched is the number of mismatched responses that are skipped in one exchange.
	maxMismatched = 3
	// readGrace is how long after the request's deadline a read may still wait.
	readGrace = 250 * time.Millisecond
)

// ErrTooLong is returned when a response body, or one event of a stream, exceeds its size limit.
var ErrTooLong = merry.New("response or event from the backend server is too long")

// ErrUnidentified is returned for a response without a request id on a connection that has served other requests.
var ErrUnidentified = merry.New("response on a reused connection does not name its request")

// ErrNotContinued is returned when a response is no continuation of the stream that an earlier attempt has begun to deliver.
var ErrNotContinued = merry.New("response does not continue the stream that was interrupted")

// ErrInvalidStatus is returned for a response whose status is neither interim nor final.
var ErrInvalidStatus = merry.New("response from the backend server has an invalid status")

// ErrNotAuthentic is returned for a response without evidence that it is the backend server's answer to the request, or its rejection.
var ErrNotAuthentic = merry.New("response does not show that it comes from the backend server")

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
	// Body is the body in parts, which are never changed.
	Body [][]byte
	// ResumeAfter is the id of the last event that the caller has received of the stream; empty at its start.
	ResumeAfter string
	// Continues is set once an earlier attempt has begun to deliver a stream to the caller: only the rest of that stream can follow.
	Continues bool
}

// bodySize returns the size of the body in bytes.
func (c Call) bodySize() int {
	size := 0
	for _, part := range c.Body {
		size += len(part)
	}
	return size
}

// Response is a complete response of a backend server, or one whose body is still being read.
type Response struct {
	Status int
	Header http.Header
	// Body is the body, or its first part if Rest is set.
	Body []byte
	// Rest reads the rest of the body; nil for none. Length is then the length of the whole body; negative if it is not known.
	Rest   io.Reader
	Length int64
}

// Classification is what the header of a response says about the request.
type Classification struct {
	// Mismatched is set for a response to another request.
	Mismatched bool
	// Outcome is set when the response states that the request has not run; it is OutcomeBroken when nothing shows that the response comes from the
	// backend server, so that the request may have run.
	Outcome reducer.Outcome
	// Unidentified is set for a response that does not name the request to which it belongs.
	Unidentified bool
	// Load is the load that the backend server reports in the header.
	Load reducer.Load
	// Notice has Answered set if the response is one of the backend server to the request.
	Notice reducer.BackendNotice
}

// Codec encodes calls to backend servers and decodes their responses.
type Codec interface { // type constraint
	// EncodeHeader returns the header of a request; timeLeft is the time to its deadline.
	EncodeHeader(header http.Header, dispatch reducer.Dispatch, timeLeft time.Duration, resumeAfter string) http.Header
	// Classify interprets the status and the header of a response.
	Classify(resp *http.Response, callerID, backend string) Classification
	// EncodeOrder encodes an order to load or unload an adapter.
	EncodeOrder(order reducer.OrderAdapter) (path string, header http.Header, body []byte)
	// DecodeNotice returns what the header of any response says about the backend server itself. It leaves Answered false, since the response
	// may be one to an order or a report; only Classify sets it.
	DecodeNotice(resp *http.Response, backend string) reducer.BackendNotice
	// DecodeOrderStatus decodes the status of the response to an order.
	DecodeOrderStatus(status int) reducer.OrderResult
	// EncodeReportCall encodes the call for a backend server's report.
	EncodeReportCall(backend string) (path string, header http.Header)
	// DecodeReport decodes a backend server's report.
	DecodeReport(body []byte) (reducer.BackendReport, error)
}

// Sink delivers a response to its caller.
type Sink interface { // type constraint
	// BeginStream sends the status and the header of a streamed response.
	BeginStream(status int, header http.Header)
	// Write sends the next bytes of a streamed response.
	Write(p []byte) error
	// WriteResponse sends a response that is not a stream. If it returns an error, the response is not complete.
	WriteResponse(resp Response) error
	// Reserve reports whether there is room for bytes of a response that are kept until the caller has them; Release returns them.
	Reserve(size int) bool
	Release(size int)
}

// Client sends requests to backend servers. Its exported fields are set before its first use.
type Client[C Codec, S Sink] struct {
	Codec C

	pool        pool
	largeBodies bodySemaphore
}

// Result is how a dispatch ended.
type Result struct {
	Outcome reducer.Outcome
	Status  int
	Load    reducer.Load
	// Notice is what the response says about the backend server; zero without a response to the request. What it says of a rate limit is left
	// out if OnStart has reported it.
	Notice reducer.BackendNotice
	// Mismatched is the number of responses to other requests that arrived on the connection.
	Mismatched int
	// Delivered is set once the response, or the start of a stream, went to the sink.
	Delivered bool
	// Disconnected is set if the server closed or reset the connection before the response was complete.
	Disconnected bool
	// Events is the number of complete events of a stream that went to the caller.
	Events int
	// LongestGap is the longest time between two events of a stream, or between its header and the first event.
	LongestGap time.Duration
	// TypicalGap is the time between two events while the server decodes without interruption; 0 if the stream had too few events.
	TypicalGap time.Duration
	// FailureResponse is the response with which the backend server reported a failure; nil if there was no memory to keep it.
	FailureResponse *Response
	// LastEventID is the id of the last event of a stream that went to the caller.
	LastEventID string
}

// Start describes the start of a success response.
type Start struct {
	// After is the time since the start of the attempt.
	After time.Duration
	// Load is the load that the backend server reported in the header.
	Load   reducer.Load
	Notice reducer.BackendNotice
}

// Hooks are called while an attempt runs.
type Hooks struct {
	// OnStart is called at the header of a streamed success response, or at the end of another one.
	OnStart func(start Start)
	// OnStall is called after each time without progress that the dispatch states. The attempt goes on until its context is canceled, with the cause
	// ErrStalled if it is to end as a timeout.
	OnStall func()
}

// exchange is one request and its response on one connection.
type exchange[C Codec, S Sink] struct {
	client   *Client[C, S]
	call     Call
	dispatch reducer.Dispatch
	sink     S
	conn     *connection
	result   Result
	// writeResult receives the result of writing the request.
	writeResult chan error
	window      *windowWatch
	// detach separates the connection from the request's context, and reports false if that has ended.
	detach    func() bool
	hooks     Hooks
	stall     *stallWatch
	startedAt time.Time
}

// Send sends a request and delivers its response to the sink.
func (c *Client[C, S]) Send(ctx context.Context, call Call, dispatch reducer.Dispatch, sink S, hooks Hooks) Result {
	result, retry := c.attempt(ctx, call, dispatch, sink, hooks, false)
	if retry {
		result, _ = c.attempt(ctx, call, dispatch, sink, hooks, true)
	}
	return result
}

// attempt sends the request once, on a new connection if fresh is set. It reports retry when a reused connection turned out to be closed
// before any byte of the request was written.
func (c *Client[C, S]) attempt(ctx context.Context, call Call, dispatch reducer.Dispatch, sink S, hooks Hooks, fresh bool) (result Result, retry bool) {
	conn, err := c.pool.get(ctx, dispatch, call.CallerID, fresh)
	if err != nil {
		return Result{Outcome: reducer.OutcomeNotSent}, false
	}
	timeLeft := clocker.Until(dispatch.Deadline)
	if timeLeft <= 0 || ctx.Err() != nil {
		c.pool.closeConn(conn)
		return Result{Outcome: reducer.OutcomeNotSent}, false
	}
	stop := context.AfterFunc(ctx, func() {
		resetOnClose(conn.Conn)
		_ = conn.Close()
	})
	defer stop()
	now := time.Now()
	_ = conn.SetDeadline(now.Add(timeLeft + readGrace))
	x := &exchange[C, S]{
		client: c, call: call, dispatch: dispatch, sink: sink, conn: conn, hooks: hooks, startedAt: now, writeResult: make(chan error, 1),
		window: watchWindow(conn.Conn, now), stall: &stallWatch{report: hooks.OnStall}, detach: stop,
	}
	defer x.window.stop()
	defer x.stall.expect(0)
	if n, err := x.writeRequest(timeLeft); err != nil && n == 0 {
		c.pool.closeConn(conn)
		return Result{Outcome: reducer.OutcomeNotSent}, conn.reused && ctx.Err() == nil
	}
	x.readResponse()
	if x.result.Outcome == reducer.OutcomeBroken && errors.Is(context.Cause(ctx), ErrStalled) {
		x.result.Outcome = reducer.OutcomeTimeout
	}
	return x.result, false
}

// writeRequest writes the request. A large body is written by another goroutine while the response is read, and is not counted in written.
func (x *exchange[C, S]) writeRequest(timeLeft time.Duration) (written int, err error) {
	header := x.encodeHeader(timeLeft)
	if x.call.bodySize() < largeRequestBody {
		n, err := x.conn.Write(append(header, bytes.Join(x.call.Body, nil)...))
		x.writeResult <- err
		return n, err
	}
	n, err := x.conn.Write(header)
	if err != nil {
		x.writeResult <- err
		return n, err
	}
	go func() {
		parts := net.Buffers(slices.Clone(x.call.Body))
		_, err := parts.WriteTo(x.conn)
		x.writeResult <- err
	}()
	return n, nil
}

// encodeHeader encodes the request line and the header.
func (x *exchange[C, S]) encodeHeader(timeLeft time.Duration) []byte {
	header := x.client.Codec.EncodeHeader(x.call.Header, x.dispatch, timeLeft, x.call.ResumeAfter)
	var buf bytes.Buffer
	buf.WriteString(x.call.Method + " " + x.call.Target + " HTTP/1.1\r\nHost: " + x.call.HostName + "\r\n")
	if x.call.bodySize() > 0 || x.call.Method != http.MethodGet && x.call.Method != http.MethodHead {
		buf.WriteString("Content-Length: " + strconv.Itoa(x.call.bodySize()) + "\r\n")
	}
	_ = header.Write(&buf)
	buf.WriteString("\r\n")
	return buf.Bytes()
}

// readResponse reads the response to the request and skips mismatched ones.
func (x *exchange[C, S]) readResponse() {
	x.stall.expect(x.dispatch.ResponseHeaderTimeout)
	for {
		resp, err := x.readHeader()
		if err != nil {
			x.fail(err)
			return
		}
		class := x.client.Codec.Classify(resp, x.call.CallerID, x.dispatch.Backend)
		x.result.Load = class.Load
		if class.Unidentified && x.conn.reused {
			// It may belong to an earlier request on the connection, and says nothing about this one.
			x.fail(ErrUnidentified)
			return
		}
		if class.Mismatched {
			x.result.Mismatched++
			if err := discardBody(resp); err != nil || resp.Close || x.result.Mismatched > maxMismatched {
				x.fail(err)
				return
			}
			continue
		}
		x.result.Notice = class.Notice
		x.stall.expect(0)
		x.handleResponse(resp, class)
		return
	}
}

// connectionClosed reports whether a response ended early because its connection was closed.
func connectionClosed(err error) bool {
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, net.ErrClosed)
}

// readHeader reads the status line and the header of the next response and skips interim (1xx) responses. A status below 100 is none, and no request
// asks for another protocol: what follows such a head is no answer.
func (x *exchange[C, S]) readHeader() (*http.Response, error) {
	x.conn.bounded.beginHeader()
	defer x.conn.bounded.endHeader()
	for {
		resp, err := http.ReadResponse(x.conn.reader, &http.Request{Method: x.call.Method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusContinue || resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, merry.Wrap(ErrInvalidStatus, merry.WithMessagef("status %d", resp.StatusCode))
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// releaseConn returns the connection to the pool if the request was written in full and the response read without error, and closes it
// otherwise.
func (x *exchange[C, S]) releaseConn(resp *http.Response, err error) {
	select {
	case writeErr := <-x.writeResult:
		if err == nil && writeErr == nil && x.detach() {
			x.window.stop()
			x.client.pool.put(x.conn, resp)
			return
		}
	default:
	}
	x.client.pool.closeConn(x.conn)
}

// fail ends an exchange whose response is incomplete or invalid, and resets its connection.
func (x *exchange[C, S]) fail(err error) {
	x.result.Outcome = reducer.OutcomeBroken
	if errors.Is(err, os.ErrDeadlineExceeded) {
		x.result.Outcome = reducer.OutcomeTimeout
	}
	x.result.Disconnected = connectionClosed(err) && !errors.Is(err, net.ErrClosed)
	resetOnClose(x.conn.Conn)
	x.client.pool.closeConn(x.conn)
}

// CloseIdleConnections closes the idle connections to a backend server.
func (c *Client[C, S]) CloseIdleConnections(backend string) { c.pool.closeIdle(backend) }
