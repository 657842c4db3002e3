package commander

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
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
	// Nearby are other lines of the hosts that had to do with the request shortly before its end, which tell what was believed then.
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
//
// The timeline is the request's own age, which the hosts that are asked on its account are told, so that their clocks may differ.
func Explain(request string, lines []rawLine) (Explanation, error) {
	e := Explanation{Request: request}
	clocks := map[string]int64{}
	for _, l := range lines {
		if l.Fields["request"] != request {
			continue
		}
		line := newLine(l)
		e.Lines = append(e.Lines, line)
		if _, known := clocks[line.Host]; !known {
			clocks[line.Host] = l.Time - line.AgeMs
		}
	}
	if len(e.Lines) == 0 {
		return e, merry.Wrap(ErrNotFound, merry.WithMessagef("no line of the logs names request %s", request))
	}
	last := lastLine(e.Lines)
	slices.SortStableFunc(e.Lines, func(a, b Line) int { return cmp.Or(byAge(a, b), servingFirst(a, b, last.Host)) })
	e.Nearby = nearby(lines, e.Lines, last, clocks)
	e.Outcome, e.Cause = conclude(e.Lines, last)
	return e, nil
}

func newLine(l rawLine) Line {
	age, _ := strconv.ParseInt(l.Fields["age_ms"], 10, 64)
	return Line{AgeMs: age, Host: l.Fields["host"], Event: l.Event, Message: l.Fields["message"], Fields: l.Fields}
}

// lastLine returns the line that ended the request, or the latest one.
func lastLine(lines []Line) Line {
	for _, l := range lines {
		switch l.Event {
		case reducer.EventRequestEnded, reducer.EventRequestRefused, reducer.EventCallerDisconnected:
			return l
		}
	}
	return slices.MaxFunc(lines, byAge)
}

// byAge orders lines by the request's age.
func byAge(a, b Line) int { return cmp.Compare(a.AgeMs, b.AgeMs) }

// servingFirst puts the lines of the host that serves the request before those of hosts that it asks.
func servingFirst(a, b Line, serving string) int {
	if (a.Host == serving) == (b.Host == serving) {
		return 0
	}
	if a.Host == serving {
		return -1
	}
	return 1
}

// nearbyMs is the time before the last line of a request from which other lines are shown.
const nearbyMs = 5000

// nearby returns what the hosts that had to do with the request noted before its end about its backend servers, its account and,
// at the host that served it, the host's dependencies; clocks holds each host's time of the request's arrival.
func nearby(all []rawLine, request []Line, last Line, clocks map[string]int64) []Line {
	backends := map[string]bool{}
	accounts := map[string]bool{}
	adapters := map[string]bool{}
	for _, l := range request {
		backends[l.Fields["backend_server"]] = true
		accounts[l.Fields["account"]] = true
		adapters[l.Fields["adapter"]] = true
	}
	var found []Line
	for _, l := range all {
		line := newLine(l)
		arrived, known := clocks[line.Host]
		line.AgeMs = l.Time - arrived
		if !known || l.Fields["request"] != "" || line.AgeMs < last.AgeMs-nearbyMs || line.AgeMs > last.AgeMs {
			continue
		}
		backend, account, adapter := l.Fields["backend_server"], l.Fields["account"], l.Fields["adapter"]
		elsewhere := line.Host != last.Host
		if backend != "" && !backends[backend] || account != "" && !accounts[account] || elsewhere && (backend+account == "" || adapter != "" && !adapters[adapter]) {
			continue
		}
		found = append(found, line)
	}
	slices.SortStableFunc(found, byAge)
	return found
}

// conclude tells how a request ended and which decision led there.
func conclude(lines []Line, last Line) (outcome, cause string) {
	failed, asked := "", ""
	waited := int64(0)
	for _, l := range lines {
		switch l.Event {
		case reducer.EventAttemptFailed:
			failed = fmt.Sprintf("; attempt %s at %s failed: %s, status %s", l.Fields["attempt"], l.Fields["backend_server"], l.Fields["outcome"], l.Fields["status"])
		case reducer.EventRequestSent:
			waited = l.AgeMs
		case reducer.EventAdapterRequested:
			asked = fmt.Sprintf("; %s, which orders %s, had %s free places, %s adapters wanted and %s loading", l.Host, l.Fields["backend_server"],
				l.Fields["free_places"], l.Fields["wants"], l.Fields["in_transit"])
		case reducer.EventTokensInsufficient:
			asked = fmt.Sprintf("; %s, which keeps the account, had %s of %s left and needed %s", l.Host, l.Fields["left"], l.Fields["allowed"], l.Fields["needed"])
		}
	}
	switch last.Event {
	case reducer.EventRequestEnded:
		return "answered with status " + last.Fields["status"],
			fmt.Sprintf("sent to %s after %d ms, which took %s ms%s%s", last.Fields["backend_server"], waited, last.Fields["took_ms"], failed, asked)
	case reducer.EventRequestRefused:
		return "refused: " + last.Fields["reason"], reasons[last.Fields["reason"]] + failed + asked
	case reducer.EventCallerDisconnected:
		return "left by its caller", fmt.Sprintf("the caller closed after %d ms; it was last at %q%s%s", last.AgeMs, last.Fields["backend_server"], failed, asked)
	}
	return "not ended in these logs", "the last line is event " + strconv.Itoa(last.Event) + failed + asked
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
	"mailbox_full":      "the control goroutine of the host was behind and took no more requests",
	"bad_request":       "the request could not be read: it lacked an id or its body did not come whole",
	"too_large":         "the body was larger than the configuration allows",
}

func (o *options) printExplanation(e Explanation) {
	o.printf("request %s: %s\n  because %s\n", e.Request, e.Outcome, e.Cause)
	for _, l := range e.Lines {
		o.printf("%8d ms  %-22s %3d %-16s %s\n", l.AgeMs, l.Host, l.Event, l.Message, details(l))
	}
	if len(e.Nearby) > 0 {
		o.printf("what these hosts noted about its backend servers, account and dependencies before:\n")
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
	slices.Sort(parts)
	if entry, ok := recorder.Find(l.Event); !ok || entry.Text != l.Message {
		parts = append(parts, "(event unknown to this client)")
	}
	return strings.Join(parts, " ")
}
