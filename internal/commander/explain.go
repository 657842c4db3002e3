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

// maxLineBytes is the longest log line in bytes that is read.
const maxLineBytes = 1 << 20

// Line is one log line with its time in milliseconds since the arrival of the explained request.
type Line struct {
	AgeMs   int64             `json:"age_ms"`
	Host    string            `json:"host"`
	Event   int               `json:"event"`
	Message string            `json:"message"`
	Fields  map[string]string `json:"fields"`
}

// Explanation is the history of one request, collected from the logs.
type Explanation struct {
	Request string `json:"request"`
	Outcome string `json:"outcome"`
	Cause   string `json:"cause"`
	Lines   []Line `json:"lines"`
	// Nearby holds other lines that the hosts involved wrote shortly before the end of the request, which show the state they decided on.
	Nearby []Line `json:"nearby"`
	// Unreadable is the number of lines that could not be parsed.
	Unreadable int `json:"unreadable_lines"`
}

func newExplainCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "explain REQUEST_ID LOG...",
		Short: "Explain from the logs of several hosts how a request ended and why; - reads standard input",
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

// rawLine is one parsed line of a log; Fields holds its string values.
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

// parseLog reads JSON lines and returns the number of lines that are no valid JSON. Text before the first brace of a line, which a log
// collector may add, is ignored, and so are lines without a brace.
func parseLog(source io.Reader) (lines []rawLine, unreadable int, err error) {
	scanner := bufio.NewScanner(source)
	scanner.Buffer(make([]byte, 0, maxLineBytes), maxLineBytes)
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

// Explain puts the log lines of a request on one timeline and returns how the request ended and what caused that.
//
// The timeline is the age of the request, which its host sends along when it asks other hosts, so the clocks of the hosts may differ.
func Explain(request string, lines []rawLine) (Explanation, error) {
	e := Explanation{Request: request}
	arrivals := map[string]int64{}
	for _, l := range lines {
		if l.Fields["request"] != request {
			continue
		}
		line := newLine(l)
		e.Lines = append(e.Lines, line)
		if _, known := arrivals[line.Host]; !known {
			arrivals[line.Host] = l.Time - line.AgeMs
		}
	}
	if len(e.Lines) == 0 {
		return e, merry.Wrap(ErrNotFound, merry.WithMessagef("no line of the logs is about request %s", request))
	}
	last := lastLine(e.Lines)
	slices.SortStableFunc(e.Lines, func(a, b Line) int { return cmp.Or(byAge(a, b), servingFirst(a, b, last.Host)) })
	bounds := findBounds(lines, e.Lines, last, arrivals[last.Host])
	e.Nearby = append(nearbyLines(lines, e.Lines, last, arrivals), bounds.Lines...)
	slices.SortStableFunc(e.Nearby, byAge)
	e.Outcome, e.Cause = diagnose(e.Lines, last)
	if lacksBackend(last) {
		e.Cause += bounds.cause(last)
	}
	return e, nil
}

func newLine(l rawLine) Line {
	age, _ := strconv.ParseInt(l.Fields["age_ms"], 10, 64)
	return Line{AgeMs: age, Host: l.Fields["host"], Event: l.Event, Message: l.Fields["message"], Fields: l.Fields}
}

// lastLine returns the line that records the end of the request, or else the line with the highest age.
func lastLine(lines []Line) Line {
	for _, l := range lines {
		switch l.Event {
		case reducer.EventRequestEnded, reducer.EventRequestRefused, reducer.EventCallerDisconnected:
			return l
		}
	}
	return slices.MaxFunc(lines, byAge)
}

// byAge orders lines by the age of the request.
func byAge(a, b Line) int { return cmp.Compare(a.AgeMs, b.AgeMs) }

// servingFirst orders the lines of the host that serves the request before the lines of the hosts that it asks.
func servingFirst(a, b Line, serving string) int {
	if (a.Host == serving) == (b.Host == serving) {
		return 0
	}
	if a.Host == serving {
		return -1
	}
	return 1
}

// nearbyWindowMs is how many milliseconds before the last line of a request the lines of Explanation.Nearby begin.
const nearbyWindowMs = 5000

// nearbyLines returns the lines that the hosts involved wrote before the end of the request about its backend servers and its account, and
// the lines of the serving host about its dependencies. The serving host's lines about bounds are left to findBounds. A line of another host that names an adapter must name one of the request's.
// Parameter arrivals holds the time of the request's arrival by the clock of each host involved.
func nearbyLines(all []rawLine, request []Line, last Line, arrivals map[string]int64) []Line {
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
		arrived, known := arrivals[line.Host]
		line.AgeMs = l.Time - arrived
		if line.Host == last.Host && isBound(l.Event) {
			continue
		}
		if !known || l.Fields["request"] != "" || line.AgeMs < last.AgeMs-nearbyWindowMs || line.AgeMs > last.AgeMs {
			continue
		}
		backend, account, adapter := l.Fields["backend_server"], l.Fields["account"], l.Fields["adapter"]
		otherHost := line.Host != last.Host
		if backend != "" && !backends[backend] || account != "" && !accounts[account] ||
			otherHost && (backend+account == "" || adapter != "" && !adapters[adapter]) {
			continue
		}
		found = append(found, line)
	}
	slices.SortStableFunc(found, byAge)
	return found
}

// diagnose returns how a request ended and the decisions that led to that end.
func diagnose(lines []Line, last Line) (outcome, cause string) {
	failedAttempt, askedHost := "", ""
	sentAfter := int64(0)
	for _, l := range lines {
		switch l.Event {
		case reducer.EventAttemptFailed:
			failedAttempt = fmt.Sprintf("; attempt %s at %s failed: %s, status %s", l.Fields["attempt"], l.Fields["backend_server"],
				l.Fields["outcome"], l.Fields["status"])
		case reducer.EventRequestSent:
			sentAfter = l.AgeMs
		case reducer.EventAdapterRequested:
			askedHost = fmt.Sprintf("; %s, which holds the lease of %s, had %s free slots, %s loads pending and %s loading", l.Host,
				l.Fields["backend_server"], l.Fields["free_places"], l.Fields["wants"], l.Fields["in_transit"])
		case reducer.EventTokensInsufficient:
			askedHost = fmt.Sprintf("; %s, the quota coordinator of the account, had %s of %s tokens left and %s were needed", l.Host,
				l.Fields["left"], l.Fields["allowed"], l.Fields["needed"])
		}
	}
	switch last.Event {
	case reducer.EventRequestEnded:
		return "answered with status " + last.Fields["status"],
			fmt.Sprintf("sent to %s after %d ms; the response took %s ms%s%s", last.Fields["backend_server"], sentAfter,
				last.Fields["took_ms"], failedAttempt, askedHost)
	case reducer.EventRequestRefused:
		return "refused: " + last.Fields["reason"], refusalCause(last) + failedAttempt + askedHost
	case reducer.EventCallerDisconnected:
		return "caller disconnected", fmt.Sprintf("the caller closed its connection after %d ms; the request was last at %q%s%s", last.AgeMs,
			last.Fields["backend_server"], failedAttempt, askedHost)
	}
	return "not ended in these logs", "the last line is event " + strconv.Itoa(last.Event) + failedAttempt + askedHost
}

// refusalCause returns the cause of a refusal, with the content that is in quarantine.
func refusalCause(refusal Line) string {
	cause := causeByReason[refusal.Fields["reason"]]
	if content := refusal.Fields["content"]; content != "" {
		cause += ": " + content
	}
	return cause
}

var causeByReason = map[string]string{
	"no_catalogue":      "the host had no configuration yet",
	"no_route":          "no route of the applied configuration matches the host name and path of the request",
	"no_key":            "the key belongs to no client account of the applied configuration",
	"over_rate":         "the tokens granted for the client account did not cover the cost of the request",
	"no_backend_server": "no backend server of the service could be used, for example because all were draining, withdrawn, cold or ejected, or at the limits that they name",
	"full":              "the backend servers responded that they were full",
	"not_loaded":        "the adapter could not be loaded within the latency target of the route",
	"timeout":           "the timeout of the route or the deadline of the caller had passed",
	"broken":            "an attempt at a backend server failed when the request may have run, and the request could not be retried",
	"retries_spent":     "the retry budget of the service was exhausted",
	"mailbox_full":      "the mailbox of the host's control goroutine was full",
	"bad_request":       "the request could not be read: it had no id or its body was incomplete",
	"caller_memory":     "the memory for the requests of callers was exhausted, and other callers made more progress",
	"head_too_large":    "the head was larger than the configuration allows",
	"too_large":         "the body was larger than the configuration allows",
	"draining":          "the host was draining, and the request could have lasted until it stopped",
	"quarantined":       "backend servers crash when they begin to answer requests with the same content, since the event 148 of the host that names it",
}

func (o *options) printExplanation(e Explanation) {
	o.printf("request %s: %s\n  because %s\n", e.Request, e.Outcome, e.Cause)
	for _, l := range e.Lines {
		o.printf("%8d ms  %-22s %3d %-16s %s\n", l.AgeMs, l.Host, l.Event, l.Message, details(l))
	}
	if len(e.Nearby) > 0 {
		o.printf("earlier lines of these hosts about its backend servers, account and dependencies:\n")
	}
	for _, l := range e.Nearby {
		o.printf("%8d ms  %-22s %3d %-16s %s\n", l.AgeMs, l.Host, l.Event, l.Message, details(l))
	}
	if e.Unreadable > 0 {
		o.printf("%d lines of the logs could not be parsed\n", e.Unreadable)
	}
}

// details returns the fields of a line that are not printed in columns of their own.
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
