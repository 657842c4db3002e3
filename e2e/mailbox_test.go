package e2e

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/internal/reducer"
	"github.com/redwingpick/redwingpick/platform/standin"
)

const (
	// burstCallers is the number of connections that each send one request while the host is paused.
	burstCallers = 64
	// maxBursts bounds the number of bursts sent to fill the mailbox.
	maxBursts = 60
	// burstTimeout bounds the time from sending a request of a burst to its complete response.
	burstTimeout = 8 * time.Second
	// maxRetryAfter is a third of the time that callers of a burst have left; they do not follow a longer Retry-After.
	maxRetryAfter = 8 * time.Second / 3
)

// restart kills a host, appends settings to its settings file and starts it again.
func (f *fleet) restart(h *host, settings string) {
	f.t.Helper()
	text, err := os.ReadFile(h.settingsPath)
	assert.NilError(f.t, err)
	assert.NilError(f.t, os.WriteFile(h.settingsPath, append(text, settings...), 0o600))
	assert.NilError(f.t, h.command.Process.Kill())
	<-h.exited
	f.start(h)
	f.eventually("a response from the restarted host", 10*time.Second, func() bool {
		return f.send(h, unaryCall("again", "once")).Status == http.StatusOK
	})
}

// sendBurst sends one request over each connection while the host is paused, resumes the host and returns the responses by request id.
func (f *fleet) sendBurst(h *host, name string) map[string]standin.Result {
	f.t.Helper()
	assert.NilError(f.t, h.command.Process.Signal(syscall.SIGSTOP))
	conns := make([]net.Conn, burstCallers)
	for i := range conns {
		conns[i] = f.sendOnNewConn(h, unaryCall(burstID(name, i), "once"))
		defer func() { _ = conns[i].Close() }()
	}
	assert.NilError(f.t, h.command.Process.Signal(syscall.SIGCONT))
	results := make([]standin.Result, burstCallers)
	var group sync.WaitGroup
	for i, c := range conns {
		group.Go(func() { results[i] = readResult(c) })
	}
	group.Wait()
	responses := map[string]standin.Result{}
	for i, r := range results {
		responses[burstID(name, i)] = r
	}
	return responses
}

func burstID(name string, i int) string { return fmt.Sprintf("%s-%d", name, i) }

// sendOnNewConn sends a call over a new connection and returns the connection.
func (f *fleet) sendOnNewConn(h *host, c standin.Call) net.Conn {
	f.t.Helper()
	conn, err := net.Dial("tcp", h.address)
	assert.NilError(f.t, err)
	assert.NilError(f.t, conn.SetDeadline(time.Now().Add(burstTimeout)))
	request, err := c.Request(context.Background(), h.address)
	assert.NilError(f.t, err)
	assert.NilError(f.t, request.Write(conn))
	return conn
}

// readResult reads the response to the only call of a connection.
func readResult(conn net.Conn) standin.Result {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return standin.Result{Err: err}
	}
	body, err := io.ReadAll(response.Body)
	return standin.Result{Status: response.StatusCode, Body: string(body), Err: err, RetryAfter: response.Header.Get("Retry-After")}
}

// overflowMailbox sends bursts until the host refuses requests because its mailbox is full, and returns the refused requests by id.
func (f *fleet) overflowMailbox(h *host) map[string]standin.Result {
	f.t.Helper()
	for round := range maxBursts {
		refused := map[string]standin.Result{}
		for id, r := range f.sendBurst(h, fmt.Sprintf("burst-%d", round)) {
			assert.Check(f.t, r.Err == nil, "%s: %v", id, r.Err)
			if strings.Contains(r.Body, reducer.ReasonMailboxFull.String()) {
				refused[id] = r
				continue
			}
			assert.Check(f.t, r.Status != http.StatusOK || f.runs(id) == 1, "%s ran %d times", id, f.runs(id))
		}
		if len(refused) > 0 {
			f.t.Logf("burst %d: %d of %d refused", round, len(refused), burstCallers)
			return refused
		}
	}
	f.t.Fatalf("no request of %d bursts was refused for a full mailbox", maxBursts)
	return nil
}

// refusalCount returns the number of refusals for a reason in a host's metrics.
func (f *fleet) refusalCount(h *host, reason reducer.Reason) int {
	f.t.Helper()
	text, err := getBody("http://" + h.operator + "/debug/vars")
	assert.NilError(f.t, err)
	var metrics struct {
		Host struct {
			Refused map[string]int `json:"refused_total_by_reason"`
		} `json:"redwingpick"`
	}
	assert.NilError(f.t, json.Unmarshal([]byte(text), &metrics))
	return metrics.Host.Refused[reason.String()]
}

// TestFullMailboxIsExplained guards against requests that a full mailbox refuses and that the logs do not explain: the mailbox of the
// control goroutine fills while the host is paused. No other test follows such requests through the logs of real processes.
func TestFullMailboxIsExplained(t *testing.T) {
	f := newFleet(t, 1)
	h := f.hosts[0]
	f.restart(h, "mailbox_size: 1\nlog_bytes_per_second: 4000000\n")
	refused := f.overflowMailbox(h)
	for i := range 20 {
		r := f.send(h, unaryCall(fmt.Sprintf("after-%d", i), "once"))
		assert.Check(t, r.Status == http.StatusOK, "%d %q %v", r.Status, r.Body, r.Err)
	}
	f.eventually("the count of the refused requests", 2*time.Second,
		func() bool { return f.refusalCount(h, reducer.ReasonMailboxFull) == len(refused) })
	for id, r := range refused {
		wait, err := strconv.ParseFloat(r.RetryAfter, 64)
		assert.Check(t, r.Status == http.StatusServiceUnavailable && err == nil && wait > 0 && wait <= maxRetryAfter.Seconds(),
			"%s: %+v", id, r)
		assert.Check(t, f.runs(id) == 0, "%s ran although it was refused as not run", id)
		e := f.checkExplained(id, "refused: mailbox_full", "the mailbox of the host's control goroutine was full")
		assert.Check(t, len(e.Lines) == 1 && e.Lines[0].Fields["may_have_run"] == "false", "%+v", e.Lines)
	}
}
