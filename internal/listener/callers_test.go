package listener

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

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
