package e2e

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/platform/standin"
)

// maxDeadlyCrashes is the number of crashes by which all hosts must know the part that causes them.
const maxDeadlyCrashes = 5

// deadlyCall returns a request whose prompt has the shared parts common and, if deadly is set, dead.
func deadlyCall(id, route string, deadly bool) standin.Call {
	call := generationCall(id, route, "a1", 10)
	call.Parts = "c0:100,own" + id + ":100"
	if deadly {
		call.Parts = "c0:100,dead:100,own" + id + ":100"
	}
	return call
}

// Guards against requests that crash one engine after the other through the same part of their prompts.
func TestHostsRefuseThePartThatCrashesEngines(t *testing.T) {
	f := newFleet(t, 3)
	for _, s := range f.platform.Servers {
		s.SetDeadlyPart("dead")
	}
	crashes, sent := 0, 0
	send := func(route string, deadly bool) standin.Result {
		sent++
		id := fmt.Sprintf("d%d", sent)
		result := f.send(f.hosts[sent%3], deadlyCall(id, route, deadly))
		crashes += f.restartStopped()
		return result
	}
	for range maxDeadlyCrashes + 1 {
		send("stream", true)
		time.Sleep(700 * time.Millisecond)
	}
	assert.Assert(t, crashes >= 2 && crashes <= maxDeadlyCrashes, "%d crashes", crashes)
	known := crashes
	for i, h := range f.hosts {
		for _, route := range []string{"stream", "resumable"} {
			result := f.send(h, deadlyCall(fmt.Sprintf("q%d-%s", i, route), route, true))
			assert.Equal(t, result.Status, 503, "%v", result.Err)
			assert.Assert(t, result.RetryAfter != "")
		}
	}
	f.checkExplained("q0-stream", "refused: quarantined", "part/dead")
	f.eventually("sound requests", 5*time.Second, func() bool { return send("stream", false).Status == 200 })
	assert.Equal(t, crashes, known)
}

// restartStopped restarts the engines that have crashed, and returns their number.
func (f *fleet) restartStopped() int {
	restarted := 0
	for _, s := range f.platform.Servers {
		if s.Stopped() {
			f.platform.Config.Remove("servers/" + s.ID)
			f.platform.Restart(s.ID)
			restarted++
		}
	}
	return restarted
}
