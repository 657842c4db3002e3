package recorder

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

var writePage = flag.Bool("write-page", false, "write docs/LOGS.md from the catalogue")

func TestWriteLogsPage(t *testing.T) {
	if !*writePage {
		t.Skip("run with -write-page to write docs/LOGS.md")
	}
	var b strings.Builder
	b.WriteString("# Log events\n\nEach process writes one JSON line per event to standard output: `time` (Unix milliseconds by its own clock), `level`,\n" +
		"`event`, `host`, the event's fields and `message`. docs/OPERATIONS.md shows how to follow a request through them. This page is\n" +
		"written by `go test ./internal/recorder -run TestWriteLogsPage -write-page` from the catalogue in `internal/recorder`.\n\n" +
		"The volume is bounded by `log_bytes_per_second`: lines of routine events may use half of it, and event 14 counts the dropped\nlines.\n\n" +
		"| event | level | message | meaning | what to do |\n| --- | --- | --- | --- | --- |\n")
	for _, e := range Entries() {
		fmt.Fprintf(&b, "| %d | %s | %s | %s | %s |\n", e.Number, e.Level, e.Text, e.Meaning, e.Action)
	}
	assert.NilError(t, os.WriteFile("../../docs/LOGS.md", []byte(b.String()), 0o644))
}
