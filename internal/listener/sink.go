package listener

import (
	"fmt"
	"net/http"
	"strconv"

	"github.com/redwingpick/redwingpick/internal/dispatcher"
	"github.com/redwingpick/redwingpick/internal/reducer"
)

// Sink writes the answer of one request to its caller.
type Sink struct {
	writer  http.ResponseWriter
	leaving bool
	began   bool
	aborted bool
}

// connectionHeaders concern one connection and are not handed on.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Connection", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// Begin sends the head of a streamed answer; a later backend server that continues the stream keeps the first one's.
func (s *Sink) Begin(status int, header http.Header) {
	if s.began {
		return
	}
	s.copyHeader(header)
	s.writer.WriteHeader(status)
	s.flush()
}

// Write sends the next piece of a streamed answer at once.
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

// Whole sends a complete answer, or breaks off one that has begun, which it cannot follow.
func (s *Sink) Whole(answer dispatcher.Response) error {
	if s.began {
		s.Abort()
		return nil
	}
	s.copyHeader(answer.Header)
	s.writer.Header().Set("Content-Length", strconv.Itoa(len(answer.Body)))
	s.writer.WriteHeader(answer.Status)
	_, err := s.writer.Write(answer.Body)
	return err
}

// Refuse answers with a refusal, or breaks the answer off if it has begun.
func (s *Sink) Refuse(refusal reducer.Refuse) {
	if s.began {
		s.Abort()
		return
	}
	s.began = true
	header := s.writer.Header()
	s.closeIfLeaving()
	if refusal.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(refusal.RetryAfter.Seconds(), 'f', 3, 64))
	}
	header.Set("Content-Type", "application/json")
	body := fmt.Sprintf("{\"error\":%q}\n", refusal.Reason)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	s.writer.WriteHeader(statusOf(refusal))
	_, _ = s.writer.Write([]byte(body))
}

// Abort breaks the answer off: a caller of which one direction is lost may still read, and must not see an end.
func (s *Sink) Abort() { s.aborted = true }

// statusOf returns the status code of a refusal; those that promise that a request has not run are kept for such requests.
func statusOf(refusal reducer.Refuse) int {
	switch refusal.Reason {
	case reducer.ReasonNoRoute:
		return http.StatusNotFound
	case reducer.ReasonNoKey:
		return http.StatusUnauthorized
	case reducer.ReasonRateLimited:
		return http.StatusTooManyRequests
	case reducer.ReasonBadRequest:
		return http.StatusBadRequest
	case reducer.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case reducer.ReasonTimeout:
		if refusal.MayHaveRun {
			return http.StatusGatewayTimeout
		}
	}
	if refusal.MayHaveRun {
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

func (s *Sink) copyHeader(header http.Header) {
	s.began = true
	out := s.writer.Header()
	for name, values := range header {
		out[name] = values
	}
	for _, name := range connectionHeaders {
		out.Del(name)
	}
	s.closeIfLeaving()
}

func (s *Sink) closeIfLeaving() {
	if s.leaving {
		s.writer.Header().Set("Connection", "close")
	}
}

func (s *Sink) flush() {
	if f, ok := s.writer.(http.Flusher); ok {
		f.Flush()
	}
}
