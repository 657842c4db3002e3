package listener

import (
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/redwingpick/redwingpick/internal/dispatcher"
	"github.com/redwingpick/redwingpick/internal/reducer"
)

// Sink writes the response of one request to its caller.
type Sink struct {
	writer   http.ResponseWriter
	client   *client
	draining bool
	// started is set when the status and the header are sent.
	started bool
	// aborted makes the handler end the response with http.ErrAbortHandler.
	aborted bool
}

// hopByHopHeaders are the headers that apply to one connection or one message and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Connection", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// BeginStream sends the status and the header of a streamed response. It does nothing when another backend server continues the stream.
func (s *Sink) BeginStream(status int, header http.Header) {
	if s.started {
		return
	}
	s.copyHeader(header)
	s.writer.WriteHeader(status)
	s.flush()
}

// Write sends the next bytes of a streamed response and flushes them.
func (s *Sink) Write(p []byte) error {
	if len(p) == 0 {
		return nil
	}
	if _, err := s.writer.Write(p); err != nil {
		return err
	}
	s.flush()
	return nil
}

// WriteResponse sends a response that is not a stream, and the rest of its body as that is read. It aborts a streamed response that has already
// started.
func (s *Sink) WriteResponse(resp dispatcher.Response) error {
	if s.started {
		s.Abort()
		return nil
	}
	s.copyHeader(resp.Header)
	if resp.Rest == nil {
		resp.Length = int64(len(resp.Body))
	}
	if resp.Length >= 0 {
		s.writer.Header().Set("Content-Length", strconv.FormatInt(resp.Length, 10))
	}
	s.writer.WriteHeader(resp.Status)
	if _, err := s.writer.Write(resp.Body); err != nil || resp.Rest == nil {
		return err
	}
	// The writer's own ReadFrom would read ahead of the caller.
	_, err := io.CopyBuffer(struct{ io.Writer }{s.writer}, resp.Rest, make([]byte, copyBufferSize))
	return err
}

// copyBufferSize is the size in bytes of the buffer through which the rest of a long body passes.
const copyBufferSize = 16 << 10

// Reserve takes bytes of the clients' memory for a response that is kept until the caller has it, and reports whether there is room.
func (s *Sink) Reserve(size int) bool { return s.client.tryTake(int64(size)) }

// Release returns reserved bytes; those that are left at the end of the request are returned then.
func (s *Sink) Release(size int) { s.client.give(int64(size)) }

// Refuse sends a refusal, or aborts the response if it has started.
func (s *Sink) Refuse(refusal reducer.Refuse) {
	if s.started {
		s.Abort()
		return
	}
	s.started = true
	header := s.writer.Header()
	s.closeIfDraining()
	if refusal.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(refusal.RetryAfter.Seconds(), 'f', 3, 64))
	}
	header.Set("Content-Type", "application/json")
	body := fmt.Sprintf("{\"error\":%q}\n", refusal.Reason)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	s.writer.WriteHeader(statusCode(refusal))
	_, _ = s.writer.Write([]byte(body))
}

// Abort makes the handler cut the connection. A caller that seems to have disconnected may still receive, if only one direction of
// its connection is lost, and must not see a regular end of the response.
func (s *Sink) Abort() { s.aborted = true }

// statusCode returns the status code of a refusal. 502 and 504 are for requests that may have run, whatever the reason; all others mean that the
// request has not run.
func statusCode(refusal reducer.Refuse) int {
	if refusal.MayHaveRun {
		if refusal.Reason == reducer.ReasonTimeout {
			return http.StatusGatewayTimeout
		}
		return http.StatusBadGateway
	}
	switch refusal.Reason {
	case reducer.ReasonNoRoute:
		return http.StatusNotFound
	case reducer.ReasonNoKey:
		return http.StatusUnauthorized
	case reducer.ReasonRateLimited:
		return http.StatusTooManyRequests
	case reducer.ReasonBadRequest:
		return http.StatusBadRequest
	case reducer.ReasonHeadTooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	case reducer.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusServiceUnavailable
}

// copyHeader copies the header of a backend server's response without the headers that are not forwarded.
func (s *Sink) copyHeader(header http.Header) {
	s.started = true
	out := s.writer.Header()
	for name, values := range header {
		out[name] = values
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	s.closeIfDraining()
}

// closeIfDraining asks the caller of a draining host to close its connection, which moves its next request to another host.
func (s *Sink) closeIfDraining() {
	if s.draining {
		s.writer.Header().Set("Connection", "close")
	}
}

func (s *Sink) flush() {
	if f, ok := s.writer.(http.Flusher); ok {
		f.Flush()
	}
}
