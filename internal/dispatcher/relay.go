package dispatcher

import (
	"bytes"
	"errors"
	"io"
	"mime"
	"net/http"
	"time"

	"github.com/redwingpick/redwingpick/internal/reducer"
)

// handleResponse reads the body of the response to this request, delivers a success and sets the outcome.
func (x *exchange[C, S]) handleResponse(resp *http.Response, class Classification) {
	x.result.Status = resp.StatusCode
	if class.Outcome == reducer.OutcomeBroken {
		x.fail(ErrNotAuthentic)
		return
	}
	if class.Outcome != 0 {
		x.result.Outcome = class.Outcome
		x.conn.refusedIDs = append(x.conn.refusedIDs, x.call.CallerID)
		err := discardBody(resp)
		if err != nil && !connectionClosed(err) {
			x.fail(err)
			return
		}
		x.releaseConn(resp, err)
		return
	}
	success := resp.StatusCode < http.StatusMultipleChoices
	if success && x.call.Continues && !isEventStream(resp) {
		x.fail(ErrNotContinued)
		return
	}
	if !success || !x.dispatch.Stream || !isEventStream(resp) {
		x.handleBody(resp)
		return
	}
	x.reportStart()
	x.relayStream(resp)
}

// isEventStream reports whether a response is a stream of events; one that states no content type counts as such.
func isEventStream(resp *http.Response) bool {
	text := resp.Header.Get("Content-Type")
	mediaType, _, err := mime.ParseMediaType(text)
	return text == "" || err == nil && mediaType == "text/event-stream"
}

// handleBody reads a response that is not a stream. It delivers a success; a failure goes into the result, since the reducer may retry the
// request.
func (x *exchange[C, S]) handleBody(resp *http.Response) {
	body, rest, release, err := x.readBody(resp)
	defer release()
	failed := resp.StatusCode >= http.StatusMultipleChoices
	if err == nil && failed && (rest != nil || len(body) > maxFailureBodySize) {
		err = ErrTooLong
	}
	if err == nil && rest == nil {
		err = x.checkEnding(resp)
	}
	if err != nil {
		x.fail(err)
		return
	}
	complete := Response{Status: resp.StatusCode, Header: resp.Header, Body: body}
	if rest != nil {
		x.passOn(resp, complete, rest)
		return
	}
	x.releaseConn(resp, nil)
	if failed {
		x.result.Outcome = reducer.OutcomeFailed
		if x.sink.Reserve(len(body)) {
			complete.Body = bytes.Clone(body)
			x.result.FailureResponse = &complete
		}
		return
	}
	x.reportStart()
	x.result.Outcome = reducer.OutcomeDone
	x.result.Delivered = true
	_ = x.sink.WriteResponse(complete)
}

// passOn delivers a success whose body has been read in part, and reads the rest as the caller takes it.
func (x *exchange[C, S]) passOn(resp *http.Response, start Response, rest *restReader) {
	start.Rest, start.Length = rest, resp.ContentLength
	x.reportStart()
	x.result.Delivered = true
	err := x.sink.WriteResponse(start)
	if rest.err != nil {
		err = rest.err
	}
	if err == nil {
		err = x.checkEnding(resp)
	}
	if err != nil {
		x.fail(err)
		return
	}
	x.result.Outcome = reducer.OutcomeDone
	x.releaseConn(resp, nil)
}

// reportStart reports the start of a success, with what the response says about the backend server.
//
// The result of the attempt does not repeat the rate limit: a stream may end minutes after its header, when another response has named a newer
// limit.
func (x *exchange[C, S]) reportStart() {
	x.hooks.OnStart(Start{After: time.Since(x.startedAt), Load: x.result.Load, Notice: x.result.Notice})
	x.result.Notice.Answered, x.result.Notice.RateLimit, x.result.Notice.RateLimitFault = false, 0, ""
}

// relayStream sends the events of a stream to the sink as each becomes complete.
func (x *exchange[C, S]) relayStream(resp *http.Response) {
	x.sink.BeginStream(resp.StatusCode, resp.Header)
	x.result.Delivered = true
	var events eventSplitter
	if x.call.Continues {
		events.resumeAfter = x.call.ResumeAfter
	}
	chunk := make([]byte, readBufferSize)
	x.stall.expect(x.dispatch.StreamIdleTimeout)
	var gaps gapRecorder
	defer func() { x.result.LongestGap, x.result.TypicalGap = gaps.longest, gaps.typical() }()
	gaps.start(time.Now())
	for {
		n, err := resp.Body.Read(chunk)
		complete := events.push(chunk[:n])
		if events.repeated {
			x.fail(ErrNotContinued)
			return
		}
		if len(complete) > 0 {
			gaps.event(time.Now())
			if x.sink.Write(complete) != nil {
				x.fail(err)
				return
			}
			gaps.written(time.Now())
			x.result.LastEventID = events.lastID
			x.result.Events = events.count
			x.stall.expect(x.dispatch.StreamIdleTimeout)
		}
		if events.tooLong() {
			x.fail(ErrTooLong)
			return
		}
		if errors.Is(err, io.EOF) && len(events.incomplete) > 0 {
			// A stream that ends in the middle of an event was cut off, however its response is framed.
			err = io.ErrUnexpectedEOF
		}
		if errors.Is(err, io.EOF) {
			if err := x.checkEnding(resp); err != nil {
				x.fail(err)
				return
			}
			x.result.Outcome = reducer.OutcomeDone
			x.releaseConn(resp, nil)
			return
		}
		if err != nil {
			x.fail(err)
			return
		}
	}
}
