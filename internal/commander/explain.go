package commander

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sort"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"github.com/redwingpick/redwingpick/internal/recorder"
	"github.com/redwingpick/redwingpick/internal/reducer"
)

// maxLine is the longest log line in bytes that is read.
const maxLine = 1 << 20

// Line is one line of a log about the request, with the milliseconds since the request arrived.
type Line struct {
	AgeMs   int64             `json:"age_ms"`
	Host    string            `json:"host"`
	Event   int               `json:"event"`
	Message string            `json:"message"`
	Fields  map[string]string `json:"fields"`
}

// Explanation is what the logs tell of one request.
type Explanation struct {
	Request string `json:"request"`
	Outcome string `json:"outcome"`
	Cause   string `json:"cause"`
	Lines   []Line `json:"lines"`
	// Nearby are the lines of the same host or backend server shortly before the end, which tell what was believed then.
	Nearby []Line `json:"nearby"`
	// Unreadable is the number of lines that could not be read.
	Unreadable int `json:"unreadable_lines"`
}

func newExplain(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "explain REQUEST_ID LOG...",
		Short: "Tell from the logs of several hosts what became of a request and why; - reads standard input",
		Args:  cobra.MinimumNArgs(2),
		RunE:  func(_ *cobra.Command, args []string) error { return o.explain(args[0], args[1:]) },
	}
}

func (o *options) explain(request string, files []string) error {
	var lines []rawLine
	unreadable := 0
	for _, f := range files {
		read, bad, err := o.readLog(f)
		if err != nil {
			return err
		}
		lines = append(lines, read...)
		unreadable += bad
	}
	explanation, err := Explain(request, lines)
	if err != nil {
		return err
	}
	explanation.Unreadable = unreadable
	return o.print(explanation, func() { o.printExplanation(explanation) })
}

// rawLine is one line of a log.
type rawLine struct {
	Time   int64
	Event  int
	Fields map[string]string
}

func (o *options) readLog(file string) (lines []rawLine, unreadable int, err error) {
	source := o.in
	if file != "-" {
		opened, err := os.Open(file)
		if err != nil {
			return nil, 0, merry.Wrap(ErrUsage, merry.WithMessage(err.Error()))
		}
		defer func() { _ = opened.Close() }()
		source = opened
	}
	lines, unreadable, err = parseLog(source)
	if err != nil {
		return nil, 0, merry.Wrap(ErrUsage, merry.WithMessagef("%s: %v", file, err))
	}
	return lines, unreadable, nil
}

// parseLog reads JSON lines; text before the first brace of a line, as a log collector may put there, is ignored.
func parseLog(source io.Reader) (lines []rawLine, unreadable int, err error) {
	scanner := bufio.NewScanner(source)
	scanner.Buffer(make([]byte, 0, maxLine), maxLine)
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		var fields map[string]any
		if json.Unmarshal([]byte(text[start:]), &fields) != nil {
			unreadable++
			continue
		}
		lines = append(lines, newRawLine(fields))
	}
	return lines, unreadable, scanner.Err()
}

func newRawLine(fields map[string]any) rawLine {
	l := rawLine{Fields: map[string]string{}}
	for name, value := range fields {
		switch v := value.(type) {
		case float64:
			if name == "time" {
				l.Time = int64(v)
			}
			if name == "event" {
				l.Event = int(v)
			}
		case string:
			l.Fields[name] = v
		}
	}
	return l
}

// Explain puts the lines of a request on one timeline and tells how it ended and what decided that.
func Explain(request string, lines []rawLine) (Explanation, error) {
	e := Explanation{Request: request}
	var last rawLine
	for _, l := range lines {
		if l.Fields["request"] != request {
			continue
		}
		e.Lines = append(e.Lines, newLine(l))
		if l.Time >= last.Time {
			last = l
		}
	}
	if len(e.Lines) == 0 {
		return e, merry.Wrap(ErrNotFound, merry.WithMessagef("no line of the logs names request %s", request))
	}
	sort.SliceStable(e.Lines, func(i, j int) bool { return e.Lines[i].AgeMs < e.Lines[j].AgeMs })
	e.Nearby = nearby(lines, last)
	e.Outcome, e.Cause = conclude(e.Lines)
	return e, nil
}

func newLine(l rawLine) Line {
	age, _ := strconv.ParseInt(l.Fields["age_ms"], 10, 64)
	return Line{AgeMs: age, Host: l.Fields["host"], Event: l.Event, Message: l.Fields["message"], Fields: l.Fields}
}

// nearbyMs is the time before the last line of a request from which other lines are shown.
const nearbyMs = 5000

// nearby returns the lines of the host that served the request, by that host's own clock, which tell of its backend server, its
// account or its dependencies.
func nearby(lines []rawLine, last rawLine) []Line {
	var found []Line
	for _, l := range lines {
		if l.Fields["request"] != "" || l.Fields["host"] != last.Fields["host"] || l.Time < last.Time-nearbyMs || l.Time > last.Time {
			continue
		}
		about := l.Fields["backend_server"]
		account := l.Fields["account"]
		if about != "" && about != last.Fields["backend_server"] || account != "" && account != last.Fields["account"] {
			continue
		}
		line := newLine(l)
		line.AgeMs = newLine(last).AgeMs + l.Time - last.Time
		found = append(found, line)
	}
	return found
}

// conclude tells how a request ended and which decision led there.
func conclude(lines []Line) (outcome, cause string) {
	last := lines[len(lines)-1]
	failed := ""
	waited := int64(0)
	for _, l := range lines {
		if l.Event == reducer.EventRequestRetried {
			failed = fmt.Sprintf("; attempt %s at %s failed: %s, status %s", l.Fields["attempt"], l.Fields["backend_server"], l.Fields["outcome"], l.Fields["status"])
		}
		if l.Event == reducer.EventRequestSent {
			waited = l.AgeMs
		}
	}
	switch last.Event {
	case reducer.EventRequestEnded:
		return "answered with status " + last.Fields["status"],
			fmt.Sprintf("sent to %s after %d ms, which took %s ms%s", last.Fields["backend_server"], waited, last.Fields["took_ms"], failed)
	case reducer.EventRequestRefused:
		return "refused: " + last.Fields["reason"], reasons[last.Fields["reason"]] + failed
	case reducer.EventRequestLeft:
		return "left by its caller", fmt.Sprintf("the caller closed after %d ms; it was last at %q%s", last.AgeMs, last.Fields["backend_server"], failed)
	}
	return "not ended in these logs", "the last line is event " + strconv.Itoa(last.Event) + failed
}

var reasons = map[string]string{
	"no_catalogue":      "the host had read no configuration yet",
	"no_route":          "no route of the configuration in force has this host name and path",
	"no_key":            "the key belongs to no client account of the configuration in force",
	"over_rate":         "the keeper of the client account had no tokens left",
	"no_backend_server": "no backend server of the service could be used: leaving, withdrawn, cold or left alone",
	"full":              "the backend servers said that they have no room",
	"not_loaded":        "the adapter could not be there before the target",
	"timeout":           "the route's timeout or the caller's time was over",
	"broken":            "a backend server broke off and the request may not run again",
	"retries_spent":     "the service's budget for repeats was spent",
}

func (o *options) printExplanation(e Explanation) {
	o.printf("request %s: %s\n  because %s\n", e.Request, e.Outcome, e.Cause)
	for _, l := range e.Lines {
		o.printf("%8d ms  %-22s %3d %-16s %s\n", l.AgeMs, l.Host, l.Event, l.Message, details(l))
	}
	if len(e.Nearby) > 0 {
		o.printf("what the host noted about the same backend server, account and dependencies before:\n")
	}
	for _, l := range e.Nearby {
		o.printf("%8d ms  %-22s %3d %-16s %s\n", l.AgeMs, l.Host, l.Event, l.Message, details(l))
	}
	if e.Unreadable > 0 {
		o.printf("%d lines of the logs could not be read\n", e.Unreadable)
	}
}

// details returns the fields that the line's columns do not show.
func details(l Line) string {
	var parts []string
	for name, value := range l.Fields {
		switch name {
		case "host", "message", "level", "request", "age_ms":
			continue
		}
		parts = append(parts, name+"="+value)
	}
	sort.Strings(parts)
	if entry, ok := recorder.Find(l.Event); !ok || entry.Text != l.Message {
		parts = append(parts, "(event unknown to this client)")
	}
	return strings.Join(parts, " ")
}
