package recorder

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/internal/reducer"
)

func TestLogsPageListsEveryEvent(t *testing.T) {
	page, err := os.ReadFile("../../docs/LOGS.md")
	assert.NilError(t, err)
	for _, e := range Entries() {
		row := fmt.Sprintf("| %d | %s | %s | %s | %s |", e.Number, e.Level, e.Text, e.Meaning, e.Action)
		assert.Check(t, strings.Contains(string(page), row), "docs/LOGS.md lacks %q", row)
	}
}

func TestReducerNotesOnlyListedEvents(t *testing.T) {
	source, err := os.ReadFile("../reducer/notes.go")
	assert.NilError(t, err)
	numbers := regexp.MustCompile(`= (\d+)`).FindAllStringSubmatch(string(source), -1)
	assert.Assert(t, len(numbers) > 0)
	for _, n := range numbers {
		number, err := strconv.Atoi(n[1])
		assert.NilError(t, err)
		_, ok := Find(number)
		assert.Check(t, ok, "event %d of the reducer is not in the catalogue", number)
	}
}

func TestRecordWritesOneLine(t *testing.T) {
	var out bytes.Buffer
	r := &Recorder{Out: &out, Host: "h1", Level: log.InfoLevel}
	r.Record(reducer.EventLeaseTaken, reducer.Field{Name: "right", Value: "x"})
	var line map[string]any
	assert.NilError(t, json.Unmarshal(out.Bytes(), &line))
	assert.Equal(t, line["event"], float64(reducer.EventLeaseTaken))
	assert.Equal(t, line["host"], "h1")
	assert.Equal(t, line["right"], "x")
}
