package reducer

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// limited is what a response says whose server names a limit.
func limited(perSecond float64) BackendNotice { return BackendNotice{Answered: true, RateLimit: perSecond} }

// nameLimit ends a request to a backend server with a response that names a limit; 0 for none.
func (f *fixture) nameLimit(backend string, notice BackendNotice) {
	for i := range 200 {
		d := must[Dispatch](f.t, f.arrive("name-"+f.now.String()+strconv.Itoa(i), "/safe/x", "secret"))
		if d.Backend == backend {
			f.end(d, OutcomeDone, notice)
			return
		}
		f.end(d, OutcomeDone, BackendNotice{Answered: true})
		f.advance(100 * time.Millisecond)
	}
	f.t.Fatalf("%s got no request", backend)
}

// sendFor sends requests, each of which is answered with the notice of its server, and returns how many each server got.
func (f *fixture) sendFor(d time.Duration, notices map[string]BackendNotice) map[string]int {
	sent := map[string]int{}
	for i := range d / (10 * time.Millisecond) {
		f.now = f.now.Add(10 * time.Millisecond)
		f.reduce(Tick{})
		if d, ok := find[Dispatch](f.arrive("send-"+f.now.String()+strconv.Itoa(int(i)), "/safe/x", "secret")); ok {
			sent[d.Backend]++
			f.end(d, OutcomeDone, notices[d.Backend])
		}
	}
	return sent
}

// Guards against a backend server that gets more requests than the limit that it names allows.
func TestNamedLimitIsKept(t *testing.T) {
	f := newFixture(t)
	f.nameLimit("desk-1", limited(1))
	sent := f.sendFor(4*time.Second, map[string]BackendNotice{"desk-1": limited(1), "desk-2": {Answered: true}})
	assert.Assert(t, sent["desk-1"] <= 11, "%d requests in 4 s", sent["desk-1"])
	assert.Assert(t, sent["desk-2"] > 380, "the server without a limit got %d requests", sent["desk-2"])
}
