package dispatcher

import (
	"bytes"
	"strconv"
	"strings"
)

// maxEventSize is the limit in bytes on one event, which is buffered until it is complete.
const maxEventSize = 256 << 10

// eventSplitter splits an event stream into complete events, which end with an empty line.
type eventSplitter struct {
	// incomplete is the event whose end has not been read yet.
	incomplete []byte
	// lastID is the id of the last complete event that has one.
	lastID string
	// count is the number of complete events.
	count int
	// resumeAfter is the id of the last event before a continuation, or empty, and repeated is set if the first id is not above it.
	resumeAfter string
	repeated    bool
}

// eventTerminators are the byte sequences that end an event, with LF and with CRLF line ends.
var eventTerminators = [...][]byte{[]byte("\n\n"), []byte("\n\r\n")}

// push appends the next bytes of the stream and returns the events that are complete now, or nil.
func (s *eventSplitter) push(p []byte) []byte {
	// The end of an event may be split between two reads.
	from := max(len(s.incomplete)-longestTerminator+1, 0)
	s.incomplete = append(s.incomplete, p...)
	end := lastEventEnd(s.incomplete[from:])
	if end < 0 {
		return nil
	}
	end += from
	events := s.incomplete[:end]
	s.incomplete = append([]byte(nil), s.incomplete[end:]...)
	s.scan(events)
	return events
}

// longestTerminator is the length in bytes of the longest of eventTerminators.
const longestTerminator = 3

// lastEventEnd returns the offset after the last complete event, or -1 if none is complete.
func lastEventEnd(p []byte) int {
	offset := -1
	for _, end := range eventTerminators {
		if i := bytes.LastIndex(p, end); i >= 0 {
			offset = max(offset, i+len(end))
		}
	}
	return offset
}

// tooLong reports whether the incomplete event exceeds the size limit.
func (s *eventSplitter) tooLong() bool { return len(s.incomplete) > maxEventSize }

// scan counts complete events and records their last id field.
func (s *eventSplitter) scan(events []byte) {
	for line := range strings.Lines(string(events)) {
		if strings.TrimRight(line, "\r\n") == "" {
			s.count++
		}
		if id, ok := strings.CutPrefix(line, "id:"); ok {
			id = strings.TrimSpace(id)
			if s.lastID == "" {
				s.repeated = !follows(id, s.resumeAfter)
			}
			s.lastID = id
		}
	}
}

// follows reports whether an event may come after another one by their ids; ids that are not numbers may follow in any order.
func follows(id, last string) bool {
	number, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return true
	}
	lastNumber, err := strconv.ParseUint(last, 10, 64)
	return err != nil || number > lastNumber
}
