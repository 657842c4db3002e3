package listener

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/internal/dispatcher"
	"github.com/redwingpick/redwingpick/internal/executor"
	"github.com/redwingpick/redwingpick/internal/messenger"
	"github.com/redwingpick/redwingpick/internal/meter"
	"github.com/redwingpick/redwingpick/internal/recorder"
	"github.com/redwingpick/redwingpick/internal/reducer"
	"github.com/redwingpick/redwingpick/internal/selector"
	"github.com/redwingpick/redwingpick/platform"
)

// callersWithFullMailbox returns a listener whose control goroutine does not run and whose mailbox is full.
func callersWithFullMailbox(log *bytes.Buffer) *Callers[selector.LeastDelay, platform.Codec, platform.Codec] {
	control := &executor.Control[selector.LeastDelay, platform.Codec, *Sink]{
		Worker:      &executor.Worker[platform.Codec, *Sink]{Messenger: &messenger.Client[platform.Codec]{}},
		Recorder:    &recorder.Recorder{Out: log, Host: "host"},
		Waiters:     &executor.Waiters{},
		Latencies:   &meter.Latencies{},
		MailboxSize: 1,
	}
	control.SetUp()
	control.Post(reducer.Tick{})
	return &Callers[selector.LeastDelay, platform.Codec, platform.Codec]{Control: control}
}

// TestRefusalsWithFullMailboxAreLogged guards against refusals that are not logged: requests with an incomplete body were refused with
// status 400 while the mailbox was full, and no log line named them.
func TestRefusalsWithFullMailboxAreLogged(t *testing.T) {
	for _, c := range []struct {
		id     string
		length int
		status int
		reason reducer.Reason
	}{
		{"whole", 0, http.StatusServiceUnavailable, reducer.ReasonMailboxFull},
		{"large", defaultMaxBody + 1, http.StatusRequestEntityTooLarge, reducer.ReasonTooLarge},
		{"", 0, http.StatusBadRequest, reducer.ReasonBadRequest},
	} {
		log := &bytes.Buffer{}
		callers := callersWithFullMailbox(log)
		server := httptest.NewServer(http.HandlerFunc(callers.serve))
		req, err := http.NewRequest(http.MethodPost, server.URL+"/once/x", strings.NewReader(strings.Repeat("x", c.length)))
		assert.NilError(t, err)
		req.Header.Set("Request-Id", c.id)
		resp, err := http.DefaultClient.Do(req)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, c.status)
		assert.NilError(t, resp.Body.Close())
		server.Close()
		callers.Control.Recorder.Flush()
		assert.Check(t, strings.Contains(log.String(), fmt.Sprintf(`"event":%d,`, reducer.EventRequestRefused)), "%s", log)
		assert.Check(t, strings.Contains(log.String(), fmt.Sprintf(`"reason":%q`, c.reason)), "%s", log)
		assert.Check(t, strings.Contains(log.String(), fmt.Sprintf(`"request":%q`, c.id)) == (c.id != ""), "%s", log)
	}
}

// Guards against a request that its caller sends again under another ID and is not recognized, and against one that is taken for another.
func TestFingerprint(t *testing.T) {
	event := reducer.RequestArrived{CallerID: "1", Key: "k", HostName: "h"}
	call := dispatcher.Call{Method: http.MethodPost, Target: "/a?x=1", Body: [][]byte{[]byte("body")}}
	first := fingerprint(event, call)
	again := event
	again.CallerID, again.Connection = "2", "other"
	split := call
	split.Body = [][]byte{[]byte("bo"), []byte("dy")}
	assert.Equal(t, fingerprint(again, split), first)

	for name, change := range map[string]func(e *reducer.RequestArrived, c *dispatcher.Call){
		"key":    func(e *reducer.RequestArrived, _ *dispatcher.Call) { e.Key = "other" },
		"host":   func(e *reducer.RequestArrived, _ *dispatcher.Call) { e.HostName = "other" },
		"method": func(_ *reducer.RequestArrived, c *dispatcher.Call) { c.Method = http.MethodPut },
		"query":  func(_ *reducer.RequestArrived, c *dispatcher.Call) { c.Target = "/a?x=2" },
		"body":   func(_ *reducer.RequestArrived, c *dispatcher.Call) { c.Body = [][]byte{[]byte("bodies")} },
		"ends":   func(e *reducer.RequestArrived, c *dispatcher.Call) { e.Key, c.Method = "kP", "OST" },
	} {
		otherEvent, otherCall := event, call
		change(&otherEvent, &otherCall)
		assert.Assert(t, fingerprint(otherEvent, otherCall) != first, name)
	}
}
