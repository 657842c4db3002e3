package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/internal/commander"
	"github.com/redwingpick/redwingpick/internal/reducer"
	"github.com/redwingpick/redwingpick/platform/standin"
)

// explain returns the command-line client's explanation of a request from the logs of all hosts, once they contain the request's end.
func (f *fleet) explain(id string) commander.Explanation {
	f.t.Helper()
	return f.explainOnce(id, func(commander.Explanation) bool { return true })
}

// explainOnce is explain, but it also waits until the explanation is complete. Each process writes its log out at its own time, so the
// lines of the other hosts that were asked may follow the line of the request's end.
func (f *fleet) explainOnce(id string, complete func(commander.Explanation) bool) commander.Explanation {
	f.t.Helper()
	args := []string{"explain", id, "--output", "json"}
	for _, h := range f.hosts {
		args = append(args, h.logPath)
	}
	var e commander.Explanation
	deadline := time.Now().Add(logWriteTimeout)
	f.eventually("the end of "+id+" in the logs", 3*time.Second, func() bool {
		out, err := exec.Command(clientPath, args...).Output()
		e = commander.Explanation{}
		return err == nil && json.Unmarshal(out, &e) == nil && !strings.HasPrefix(e.Outcome, "not ended") && (complete(e) || time.Now().After(deadline))
	})
	return e
}

// logWriteTimeout bounds the time in which all processes have written out the log lines about a request that has ended.
const logWriteTimeout = time.Second

// checkExplained checks that explain returns the given outcome and cause for a request's id and could read every log line.
func (f *fleet) checkExplained(id, outcome, cause string) commander.Explanation {
	f.t.Helper()
	e := f.explainOnce(id, func(e commander.Explanation) bool { return strings.Contains(e.Cause, cause) })
	assert.Check(f.t, e.Outcome == outcome && strings.Contains(e.Cause, cause),
		"%s: %q because %q; expected %q, %q", id, e.Outcome, e.Cause, outcome, cause)
	assert.Check(f.t, e.Unreadable == 0)
	return e
}

func (f *fleet) setBehavior(service string, behavior standin.Behavior) {
	for _, s := range f.platform.Servers {
		if s.Service == service {
			s.SetBehavior(behavior)
		}
	}
}

func unaryCall(id, route string) standin.Call {
	return standin.Call{ID: id, Route: route, Key: standin.KeyLarge, Body: "order"}
}

func TestEachRefusalIsExplained(t *testing.T) {
	f := newFleet(t, 3)
	expect := func(c standin.Call, status int, outcome, cause string) {
		t.Helper()
		r := f.send(f.hosts[0], c)
		assert.Check(t, r.Status == status, "%s: %d %q %v", c.ID, r.Status, r.Body, r.Err)
		f.checkExplained(c.ID, outcome, cause)
	}
	expect(unaryCall("served", "once"), http.StatusOK, "answered with status 200", "sent to desk-")
	expect(unaryCall("route", "nowhere"), http.StatusNotFound, "refused: no_route", "no route")
	expect(standin.Call{ID: "key", Route: "safe", Key: "no-such-key"}, http.StatusUnauthorized, "refused: no_key", "no client account")
	large := unaryCall("large", "once")
	large.Body = strings.Repeat("x", 70_000)
	expect(large, http.StatusRequestEntityTooLarge, "refused: too_large", "larger than the configuration allows")
	for _, c := range []struct {
		behavior       standin.Behavior
		route          string
		status         int
		outcome, cause string
	}{
		{standin.BehaviorFull, "once", http.StatusServiceUnavailable, "refused: full", "failed: full, status 503"},
		{standin.BehaviorFailing, "once", http.StatusInternalServerError, "answered with status 500", "attempt 1 at desk-"},
		{standin.BehaviorDisconnecting, "once", http.StatusBadGateway, "refused: broken", "failed: broken"},
		{standin.BehaviorUnboundedHeader, "once", http.StatusBadGateway, "refused: broken", "failed: broken"},
		{standin.BehaviorSilent, "once", http.StatusGatewayTimeout, "refused: timeout", "the deadline of the caller had passed"},
	} {
		f.setBehavior(standin.UnaryService, c.behavior)
		expect(unaryCall(fmt.Sprintf("manner-%d", c.behavior), c.route), c.status, c.outcome, c.cause)
		f.setBehavior(standin.UnaryService, standin.BehaviorNormal)
		time.Sleep(1500 * time.Millisecond)
	}
	f.platform.Drain("desk-0")
	f.platform.Drain("desk-1")
	time.Sleep(time.Second)
	expect(unaryCall("nobody", "once"), http.StatusServiceUnavailable, "refused: no_backend_server",
		"all were draining, withdrawn, cold or ejected")
}

func TestUnreadableBodyAndMissingConfigurationAreExplained(t *testing.T) {
	f := newFleet(t, 1)
	conn, err := net.Dial("tcp", f.hosts[0].address)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn,
		"POST /once/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: half-body\r\nTransfer-Encoding: chunked\r\n\r\nnot a chunk\r\n", standin.HostName)
	assert.NilError(t, err)
	f.checkExplained("half-body", "refused: bad_request", "could not be read")
	f.platform.Config.SetDown(true)
	assert.NilError(t, f.hosts[0].command.Process.Kill())
	<-f.hosts[0].exited
	f.start(f.hosts[0])
	f.eventually("a response from the restarted host", 5*time.Second, func() bool {
		return f.send(f.hosts[0], unaryCall("early", "once")).Status == http.StatusServiceUnavailable
	})
	f.checkExplained("early", "refused: no_catalogue", "no configuration yet")
}

func TestQuotaRefusalsAreExplainedByTheCoordinator(t *testing.T) {
	f := newFleet(t, 3)
	var refused []string
	for i := range 45 {
		id := fmt.Sprintf("q%d", i)
		if f.send(f.hosts[i%3], standin.Call{ID: id, Route: "safe", Key: standin.KeySmall}).Status == http.StatusTooManyRequests {
			refused = append(refused, id)
		}
	}
	assert.Assert(t, len(refused) > 20, "%d refused", len(refused))
	coordinators, served := map[string]bool{}, map[string]bool{}
	for _, id := range refused[len(refused)-6:] {
		for _, l := range f.checkExplained(id, "refused: over_rate", "the quota coordinator of the account, had").Lines {
			if l.Event == reducer.EventTokensInsufficient {
				coordinators[l.Host] = true
				continue
			}
			served[l.Host] = true
		}
	}
	assert.Assert(t, len(coordinators) == 1 && len(served) == 3, "coordinators %v, served by %v", coordinators, served)
}

// adapterSlots is the number of adapter slots of the fleet's three engines, and slotsTakenAfter the time in which as many requests take them.
const (
	adapterSlots    = 12
	slotsTakenAfter = 500 * time.Millisecond
)

func TestAdapterWaitsAreExplainedByTheLeaseHolder(t *testing.T) {
	f := newFleet(t, 3)
	late := f.send(f.hosts[1], generationCall("late", "stream", "first", 5))
	assert.Equal(t, late.Status, 200)
	e := f.checkExplained("late", "answered with status 200", "which holds the lease of engine-")
	assert.Assert(t, e.Lines[0].Event == reducer.EventRequestWaiting, "%+v", e.Lines[0])
	var group sync.WaitGroup
	results := make([]standin.Result, 30)
	for i := range results {
		if i == adapterSlots {
			// The first requests, of all hosts alike, take the slots: otherwise those of one host could, and only the others would be refused.
			time.Sleep(slotsTakenAfter)
		}
		group.Go(func() {
			results[i] = f.send(f.hosts[i%3], generationCall(fmt.Sprintf("many%d", i), "stream", fmt.Sprintf("b%d", i), 500))
		})
	}
	group.Wait()
	refused, hosts := 0, map[string]bool{}
	for i, r := range results {
		if r.Status == 200 {
			continue
		}
		refused++
		assert.Equal(t, r.Status, http.StatusServiceUnavailable)
		for _, l := range f.checkExplained(fmt.Sprintf("many%d", i), "refused: not_loaded", "which holds the lease of engine-").Lines {
			hosts[l.Host] = true
		}
	}
	// 30 adapters compete for the slots, and each is in use for two seconds.
	assert.Assert(t, refused >= 10 && len(hosts) == 3, "%d refused, lines of %v", refused, hosts)
}

func TestRunsEndWhenCallersDisconnect(t *testing.T) {
	f := newFleet(t, 1)
	f.setBehavior(standin.UnaryService, standin.BehaviorSilent)
	for _, route := range []string{"safe", "once"} {
		ctx, cancel := context.WithCancel(context.Background())
		request, err := unaryCall("mute-"+route, route).Request(ctx, f.hosts[0].address)
		assert.NilError(t, err)
		done := make(chan error, 1)
		go func() {
			response, err := client.Do(request)
			if err == nil {
				_ = response.Body.Close()
			}
			done <- err
		}()
		f.eventually("a running request", 2*time.Second, func() bool { return f.running() == 1 })
		cancel()
		assert.Assert(t, <-done != nil)
		f.eventually("the end of the run", runEndTimeout, func() bool { return f.running() == 0 })
		f.checkExplained("mute-"+route, "caller disconnected", "the caller closed")
	}
}

// TestUnreadLogPipeBlocksNeitherRequestsNorShutdown guards against a host that blocks on its log: its standard output is a pipe that is
// never read.
func TestUnreadLogPipeBlocksNeitherRequestsNorShutdown(t *testing.T) {
	f := newFleet(t, 1)
	h := f.hosts[0]
	assert.NilError(t, h.command.Process.Kill())
	<-h.exited
	unread, out, err := os.Pipe()
	assert.NilError(t, err)
	defer func() { _ = unread.Close() }()
	h.command = exec.Command(daemonPath, "--config", h.settingsPath)
	h.command.Stdout = out
	assert.NilError(t, h.command.Start())
	_ = out.Close()
	go func() { h.exited <- h.command.Wait() }()
	f.eventually("readiness", 10*time.Second, func() bool { return getStatus("http://"+h.readiness+standin.ReadinessPath) == 200 })
	for i := range 600 {
		assert.Equal(t, f.send(h, unaryCall(fmt.Sprintf("unread%d", i), "once")).Status, http.StatusOK)
	}
	assert.NilError(t, h.command.Process.Signal(syscall.SIGTERM))
	select {
	case err := <-h.exited:
		assert.NilError(t, err)
	case <-time.After(7 * time.Second):
		t.Fatal("the host process did not exit within 7 s of SIGTERM")
	}
}

func TestInterruptedStreamsAreExplained(t *testing.T) {
	f := newFleet(t, 2)
	for _, id := range []string{"left-1", "left-2", "left-3"} {
		ctx, cancel := context.WithCancel(context.Background())
		request, err := generationCall(id, "resumable", "a1", 1000).Request(ctx, f.hosts[0].address)
		assert.NilError(t, err)
		response, err := client.Do(request)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, 200)
		cancel()
		_ = response.Body.Close()
		f.eventually("the end of a run whose caller has disconnected", runEndTimeout, func() bool { return f.running() == 0 })
		f.checkExplained(id, "caller disconnected", "the caller closed")
		assert.Equal(t, f.runs(id), 1, "a request was retried after its caller had disconnected")
	}
	logged, err := os.ReadFile(f.hosts[0].logPath)
	assert.NilError(t, err)
	assert.Assert(t, !strings.Contains(string(logged), `"event":144,`), "caller disconnects were counted as failures of the backend server")
	ends := make(chan standin.Result, 2)
	for _, id := range []string{"stream", "resumable"} {
		go func() { ends <- f.send(f.hosts[0], generationCall(id, id, "a1", 400)) }()
	}
	f.eventually("the start of two runs", 3*time.Second, func() bool { return f.runs("stream")+f.runs("resumable") == 2 })
	time.Sleep(300 * time.Millisecond)
	for _, s := range f.platform.Servers {
		if s.Stats().RunCounts["stream"]+s.Stats().RunCounts["resumable"] > 0 {
			f.platform.Crash(s.ID)
		}
	}
	<-ends
	<-ends
	f.checkExplained("stream", "refused: broken", "failed: broken")
	e := f.explain("resumable")
	assert.Assert(t, strings.Contains(e.Cause, "attempt 1 at engine-"), "%s, %s", e.Outcome, e.Cause)
}

// runEndTimeout bounds the time from a caller's disconnect to the end of its run on the backend server.
const runEndTimeout = 500 * time.Millisecond

func (f *fleet) running() int {
	running := 0
	for _, s := range f.platform.Servers {
		running += s.Running()
	}
	return running
}

func (f *fleet) runs(id string) int {
	runs := 0
	for _, s := range f.platform.Servers {
		runs += s.Stats().RunCounts[id]
	}
	return runs
}
