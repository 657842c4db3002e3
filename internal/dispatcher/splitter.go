package dispatcher

import (
	"bytes"
	"strings"
)

// splitter cuts a stream into whole events, which end with an empty line.
type splitter struct {
	rest []byte
	// last is the id of the last whole event.
	last string
}

var eventEnd = []byte("\n\n")

// push takes the next bytes of a stream and returns the whole events that they complete.
func (s *splitter) push(p []byte) []byte {
	s.rest = append(s.rest, p...)
	end := bytes.LastIndex(s.rest, eventEnd)
	if end < 0 {
		return nil
	}
	whole := s.rest[:end+len(eventEnd)]
	s.rest = append([]byte(nil), s.rest[end+len(eventEnd):]...)
	s.readID(whole)
	return whole
}

func (s *splitter) readID(events []byte) {
	for line := range strings.Lines(string(events)) {
		if id, ok := strings.CutPrefix(line, "id:"); ok {
			s.last = strings.TrimSpace(id)
		}
	}
}
