package dispatcher

import (
	"bytes"
	"strings"
)

// maxEvent is the limit in bytes on one event, which is buffered until it is complete.
const maxEvent = 256 << 10

// splitter splits an event stream into complete events, which end with an empty line.
type splitter struct {
	// rest is the start of an event that is not complete yet.
	rest []byte
	// last is the id of the last complete event that has one.
	last string
}

// eventEnds are the byte sequences that end an event, with LF and with CRLF line ends.
var eventEnds = [...][]byte{[]byte("\n\n"), []byte("\n\r\n")}

// push appends the next bytes of the stream and returns the events that are complete now, or nil.
func (s *splitter) push(p []byte) []byte {
	// The end of an event may be split between two reads.
	from := max(len(s.rest)-longestEnd+1, 0)
	s.rest = append(s.rest, p...)
	end := endOfEvents(s.rest[from:])
	if end < 0 {
		return nil
	}
	end += from
	events := s.rest[:end]
	s.rest = append([]byte(nil), s.rest[end:]...)
	s.readID(events)
	return events
}

// longestEnd is the length in bytes of the longest of eventEnds.
const longestEnd = 3

// endOfEvents returns the offset after the last complete event, or -1 if none is complete.
func endOfEvents(p []byte) int {
	offset := -1
	for _, end := range eventEnds {
		if i := bytes.LastIndex(p, end); i >= 0 {
			offset = max(offset, i+len(end))
		}
	}
	return offset
}

// tooLong reports whether the incomplete event exceeds the size limit.
func (s *splitter) tooLong() bool { return len(s.rest) > maxEvent }

// readID records the last id field of complete events.
func (s *splitter) readID(events []byte) {
	for line := range strings.Lines(string(events)) {
		if id, ok := strings.CutPrefix(line, "id:"); ok {
			s.last = strings.TrimSpace(id)
		}
	}
}
