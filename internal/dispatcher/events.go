package dispatcher

import (
	"bytes"
	"strings"
)

// maxEvent is the largest event in bytes, since it is held until it is whole.
const maxEvent = 256 << 10

// splitter cuts a stream into whole events, which end with an empty line.
type splitter struct {
	rest []byte
	// last is the id of the last whole event.
	last string
}

// eventEnds are the ends of events by the line ends that a server uses.
var eventEnds = [...][]byte{[]byte("\n\n"), []byte("\n\r\n")}

// push takes the next bytes of a stream and returns the whole events that they complete.
func (s *splitter) push(p []byte) []byte {
	// The end of an event may lie across two pieces.
	from := max(len(s.rest)-longestEnd+1, 0)
	s.rest = append(s.rest, p...)
	end := endOfEvents(s.rest[from:])
	if end < 0 {
		return nil
	}
	end += from
	whole := s.rest[:end]
	s.rest = append([]byte(nil), s.rest[end:]...)
	s.readID(whole)
	return whole
}

// longestEnd is the length in bytes of the longest end of an event.
const longestEnd = 3

// endOfEvents returns the position behind the last whole event, or -1.
func endOfEvents(p []byte) int {
	behind := -1
	for _, end := range eventEnds {
		if at := bytes.LastIndex(p, end); at >= 0 {
			behind = max(behind, at+len(end))
		}
	}
	return behind
}

// tooLong reports whether the event that has begun is larger than an event may be.
func (s *splitter) tooLong() bool { return len(s.rest) > maxEvent }

func (s *splitter) readID(events []byte) {
	for line := range strings.Lines(string(events)) {
		if id, ok := strings.CutPrefix(line, "id:"); ok {
			s.last = strings.TrimSpace(id)
		}
	}
}
