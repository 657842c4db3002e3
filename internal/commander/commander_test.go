package commander

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const logA = `{"time":1000,"level":"info","event":202,"host":"a","request":"r1","route":"x","age_ms":"3","backend_server":"e1","attempt":"1","message":"request sent"}
{"time":1100,"level":"warn","event":144,"host":"a","backend_server":"e1","failures":"2","pause_ms":"500","message":"backend server ejected"}
{"time":1200,"level":"warn","event":205,"host":"a","request":"r1","route":"x","age_ms":"203","backend_server":"e1","attempt":"1","outcome":"broken","status":"0","message":"attempt failed"}
not json at all {
{"time":1201,"level":"warn","event":204,"host":"a","request":"r1","route":"x","age_ms":"204","backend_server":"e1","attempt":"1","reason":"broken","may_have_run":"true","message":"request refused"}
{"time":1000,"level":"warn","event":144,"host":"a","backend_server":"e2","failures":"2","message":"backend server ejected"}
`

func run(t *testing.T, in string, args ...string) (out string, err error) {
	t.Helper()
	var b bytes.Buffer
	command := New(strings.NewReader(in), &b)
	command.SetArgs(args)
	err = command.Execute()
	return b.String(), err
}

func TestExplainReturnsTheCause(t *testing.T) {
	out, err := run(t, logA, "explain", "r1", "-", "--output", "json")
	assert.NilError(t, err)
	var e Explanation
	assert.NilError(t, json.Unmarshal([]byte(out), &e))
	assert.Equal(t, e.Outcome, "refused: broken")
	assert.Assert(t, strings.Contains(e.Cause, "attempt 1 at e1 failed: broken"), e.Cause)
	assert.Equal(t, len(e.Lines), 3)
	assert.Equal(t, len(e.Nearby), 1, "only lines about the backend server of the request are shown")
	assert.Equal(t, e.Unreadable, 1)
	text, err := run(t, logA, "explain", "r1", "-")
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(text, "request r1: refused: broken"), text)
}

// logB holds the lines of two hosts; the clock of host b is one hour ahead.
const logB = `{"time":3601042,"level":"info","event":154,"host":"b","request":"r2","age_ms":"2","peer":"a","backend_server":"e1","adapter":"x","comes":"false","free_places":"0","wants":"1","in_transit":"2","message":"adapter requested"}
{"time":3601000,"level":"info","event":151,"host":"b","backend_server":"e1","adapter":"x","message":"order sent"}
{"time":3601000,"level":"info","event":151,"host":"b","backend_server":"e1","adapter":"y","message":"order sent"}
{"time":3699000,"level":"info","event":151,"host":"b","backend_server":"e1","adapter":"x","message":"order sent"}
{"time":1040,"level":"info","event":206,"host":"a","request":"r2","age_ms":"1","backend_server":"e1","adapter":"x","message":"request waits"}
{"time":1340,"level":"warn","event":204,"host":"a","request":"r2","age_ms":"301","backend_server":"e1","adapter":"x","reason":"not_loaded","message":"request refused"}
`

func TestExplainPutsHostsWhoseClocksDifferOnOneTimeline(t *testing.T) {
	out, err := run(t, logB, "explain", "r2", "-", "--output", "json")
	assert.NilError(t, err)
	var e Explanation
	assert.NilError(t, json.Unmarshal([]byte(out), &e))
	assert.Equal(t, e.Outcome, "refused: not_loaded")
	assert.Assert(t, strings.Contains(e.Cause, "b, which holds the lease of e1, had 0 free slots"), e.Cause)
	assert.Equal(t, len(e.Lines), 3)
	assert.Equal(t, e.Lines[1].Host, "b")
	assert.Equal(t, len(e.Nearby), 1, "only the lease holder's line about the adapter from before the end is shown")
	assert.Equal(t, e.Nearby[0].AgeMs, int64(-40))
}

func TestExplainOfAnUnknownRequestIsAnError(t *testing.T) {
	_, err := run(t, logA, "explain", "r9", "-")
	assert.Assert(t, errors.Is(err, ErrNotFound), "%v", err)
	_, err = run(t, "", "explain", "r9", filepath.Join(t.TempDir(), "none.log"))
	assert.Assert(t, errors.Is(err, ErrUsage), "%v", err)
}

func TestCheckNamesFieldAndLine(t *testing.T) {
	file := filepath.Join(t.TempDir(), "host.yaml")
	assert.NilError(t, os.WriteFile(file, []byte("host_id: a\nfailure_domain: d\naddress: nowhere\n"), 0o600))
	out, err := run(t, "", "check", file)
	assert.Assert(t, errors.Is(err, ErrUsage))
	assert.Assert(t, strings.Contains(out, ":3: address: must be an IP address and a port"), out)
}

func TestEventsListsTheCatalogue(t *testing.T) {
	out, err := run(t, "", "events")
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(out, "204  warn   request refused"), out)
}

func TestUnknownOutputFormatIsAnError(t *testing.T) {
	_, err := run(t, "", "events", "--output", "xml")
	assert.Assert(t, errors.Is(err, ErrUsage))
}
