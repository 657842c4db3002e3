package listener

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/redwingpick/redwingpick/internal/dispatcher"
	"github.com/redwingpick/redwingpick/internal/reducer"
)

// Completion is a whole or partial answer of an adapter.
type Completion struct {
	ID             string   `json:"id"`
	Object         string   `json:"object"`
	Model          string   `json:"model"`
	AdapterVersion uint32   `json:"adapter_version"`
	BackendServer  string   `json:"backend_server"`
	Choices        []Choice `json:"choices"`
	Usage          *Usage   `json:"usage,omitempty"`
}

// Choice is one text of a Completion.
type Choice struct {
	Index        int    `json:"index"`
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason,omitempty"`
}

// Usage is the tokens of a whole answer.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// callerSink writes the answer of one request to its caller.
type callerSink struct {
	writer       http.ResponseWriter
	id           string
	host         string
	model        string
	stream       bool
	raw          bool
	promptTokens int

	backend string
	version uint32
	begun   bool
	text    strings.Builder
	reply   dispatcher.Chunk
	result  string
}

// Started remembers which backend server runs the request.
func (s *callerSink) Started(backend string, version uint32) {
	s.backend = backend
	s.version = version
}

// Chunk streams a piece of the answer, or keeps it until the answer is whole.
func (s *callerSink) Chunk(chunk dispatcher.Chunk) error {
	if s.raw {
		s.reply = chunk
		return nil
	}
	if !s.stream {
		s.text.Write(chunk.Data)
		return nil
	}
	s.begin("text/event-stream", http.StatusOK)
	return s.event(s.completion(string(chunk.Data), ""))
}

// Ended writes the end of a stream, or the whole answer.
func (s *callerSink) Ended(tokens int) {
	s.result = "done"
	switch {
	case s.raw:
		s.begin(s.reply.ContentType, max(s.reply.Status, http.StatusOK))
		_, _ = s.writer.Write(s.reply.Data)
	case s.stream:
		s.begin("text/event-stream", http.StatusOK)
		_ = s.event(s.completion("", "stop"))
		_, _ = fmt.Fprint(s.writer, "data: [DONE]\n\n")
	default:
		whole := s.completion(s.text.String(), "stop")
		whole.Usage = &Usage{PromptTokens: s.promptTokens, CompletionTokens: tokens}
		s.begin("application/json", http.StatusOK)
		_ = json.NewEncoder(s.writer).Encode(whole)
	}
}

// Refused writes a refusal, as the last event if the stream has begun.
func (s *callerSink) Refused(refusal reducer.Refuse) {
	s.result = refusal.Outcome.String() + "/" + refusal.Reason.String()
	if !s.begun {
		s.writer.Header().Set("X-Host", s.host)
		writeRefusal(s.writer, refusal)
		return
	}
	data, err := json.Marshal(ErrorBody{Error: refusalOf(refusal)})
	if err == nil {
		_, _ = fmt.Fprintf(s.writer, "event: error\ndata: %s\n\n", data)
	}
}

func (s *callerSink) begin(contentType string, status int) {
	if s.begun {
		return
	}
	s.begun = true
	header := s.writer.Header()
	if contentType != "" {
		header.Set("Content-Type", contentType)
	}
	header.Set("X-Host", s.host)
	header.Set("X-Request-Id", s.id)
	header.Set("X-Backend-Server", s.backend)
	if s.version > 0 {
		header.Set("X-Adapter-Version", strconv.Itoa(int(s.version)))
	}
	s.writer.WriteHeader(status)
}

func (s *callerSink) completion(text, finish string) Completion {
	return Completion{
		ID: s.id, Object: "text_completion", Model: s.model, AdapterVersion: s.version, BackendServer: s.backend,
		Choices: []Choice{{Text: text, FinishReason: finish}},
	}
}

func (s *callerSink) event(completion Completion) error {
	data, err := json.Marshal(completion)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(s.writer, "data: %s\n\n", data); err != nil {
		return err
	}
	return http.NewResponseController(s.writer).Flush()
}
