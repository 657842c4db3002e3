package e2e

import (
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/platform/standin"
)

// Guards against requests that get no answer because the host that serves them stops: they are still running at the end of its grace period.
func TestShutdownAnswersTheRequestsThatAreLeft(t *testing.T) {
	f := newFleet(t, 2)
	for _, s := range f.platform.Servers {
		s.SetBehavior(standin.BehaviorSilent)
	}
	answers := make(chan standin.Result, 2)
	for _, id := range []string{"left-1", "left-2"} {
		go func() { answers <- f.send(f.hosts[0], generationCall(id, "stream", "a1", 10)) }()
	}
	f.eventually("both runs", 3*time.Second, func() bool { return f.runs("left-1")+f.runs("left-2") == 2 })
	assert.NilError(t, f.hosts[0].command.Process.Signal(syscall.SIGTERM))
	for range 2 {
		answer := <-answers
		assert.NilError(t, answer.Err)
		assert.Equal(t, answer.Status, 502)
	}
	select {
	case err := <-f.hosts[0].exited:
		assert.NilError(t, err)
	case <-time.After(2 * time.Second):
		t.Fatal("the host process did not exit within 2 s of its last answer")
	}
}

// Guards against the answer of another server, such as an error, in the middle of a stream that broke off.
func TestErrorOfTheNextServerStaysOutOfAnInterruptedStream(t *testing.T) {
	f := newFleet(t, 1)
	answers := make(chan standin.Result, 1)
	go func() { answers <- f.send(f.hosts[0], generationCall("resumable", "resumable", "a1", 400)) }()
	f.eventually("the run", 3*time.Second, func() bool { return f.runs("resumable") == 1 })
	time.Sleep(300 * time.Millisecond)
	for _, s := range f.platform.Servers {
		if s.Stats().RunCounts["resumable"] > 0 {
			f.platform.Crash(s.ID)
			continue
		}
		s.SetBehavior(standin.BehaviorFailing)
	}
	answer := <-answers
	assert.Assert(t, answer.Err != nil, "the stream seems complete")
	assert.Equal(t, answer.Status, 200)
	complete := strings.LastIndex(answer.Body, "\n\n") + 2
	assert.Equal(t, answer.Body[complete:], "", "the stream ends with other bytes than events")
	assert.Assert(t, isPrefixOfStream(answer.Body), "%q", answer.Body)
}

// isPrefixOfStream reports whether body consists of the first events of a stream, each once and in order.
func isPrefixOfStream(body string) bool {
	return isCompleteStream(body, strings.Count(body, "\n\n"))
}
