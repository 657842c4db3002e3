package reducer

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// suspectName is the name of the requests that lookUp delivers.
const suspectName = requestContent + "dead"

// newTrialFixture returns a fixture with some more unary servers and without other hosts.
func newTrialFixture(t *testing.T) *fixture {
	f := newFixture(t)
	f.state.Limits.Quarantine = 5 * time.Minute
	for i := range 6 {
		id := "desk-" + strconv.Itoa(i+3)
		f.publishBackend(cataloguer.Backend{ID: id, Service: "desk", Address: id, FailureDomain: "east", StartedUnixMs: 1, Slots: 6})
	}
	f.pollConfigService(10 * time.Second)
	return f
}

// lookUp delivers a request that is the same each time.
func (f *fixture) lookUp(id string) []Effect {
	return f.reduce(RequestArrived{ID: id, CallerID: id, At: f.now, HostName: "h", Path: "/safe/x", Key: "secret", TimeLeft: 3 * time.Second, Fingerprint: 0xdead})
}

// loseLookup ends an attempt by a closed connection, and the server refuses connections from then on.
func (f *fixture) loseLookup(d Dispatch, othersRefuse bool) []Effect {
	effects := f.reduce(DispatchEnded{ID: d.ID, Backend: d.Backend, Attempt: d.Attempt, Outcome: OutcomeBroken, Disconnected: true})
	probe := must[ProbeBackend](f.t, effects)
	f.reduce(BackendProbed{Backend: probe.Backend, StartedUnixMs: probe.StartedUnixMs, RequestedAt: f.now, Refused: true, OthersRefuse: othersRefuse})
	return effects
}

// crashThree loses the lookup at three servers, the second time as a retry of the first.
func (f *fixture) crashThree() {
	d := must[Dispatch](f.t, f.lookUp("1"))
	d = must[Dispatch](f.t, f.loseLookup(d, false))
	f.loseLookup(d, false)
	f.loseLookup(must[Dispatch](f.t, f.lookUp("2")), false)
	f.advance(100 * time.Millisecond)
	for id := range f.state.Requests {
		f.reduce(RequestAbandoned{ID: id})
	}
}

// tryLookup delivers the lookup and returns the trial that this host, as the arbiter, grants itself.
func (f *fixture) tryLookup(id string) Dispatch {
	_, sent := find[Dispatch](f.lookUp(id))
	assert.Assert(f.t, !sent, "a request that was lost at three crashes is sent without a trial")
	assert.Equal(f.t, f.state.Requests[id].Phase, PhaseAwaitingTrial)
	d := must[Dispatch](f.t, f.advance(arbiterTimeout+trialInterval))
	assert.Equal(f.t, d.ID, id)
	return d
}

// Guards against a request to a service without models whose losses leave no evidence, and against its retry while it is tried.
func TestLookupLostAtThreeCrashesIsTriedAlone(t *testing.T) {
	f := newTrialFixture(t)
	f.crashThree()
	assert.Equal(t, len(f.state.Isolation.Content.Suspects[suspectName].Crashes), 3)
	d := f.tryLookup("3")
	f.lookUp("4")
	assert.Equal(t, f.state.Requests["4"].Phase, PhaseAwaitingTrial, "two requests are tried at a time")
	other := f.reduce(RequestArrived{ID: "5", CallerID: "5", At: f.now, HostName: "h", Path: "/safe/x", Key: "secret", TimeLeft: 3 * time.Second, Fingerprint: 7})
	must[Dispatch](t, other)

	effects := f.loseLookup(d, false)
	_, again := find[Dispatch](effects)
	assert.Assert(t, !again, "a lost trial is sent again")
	must[Refuse](t, effects)
	assert.Equal(t, f.state.Counters.TrialsLost, uint64(1))
}

// Guards against refusing a sound request: its answer ends the suspicion and lets the others through.
func TestAnsweredTrialReleasesTheOthers(t *testing.T) {
	f := newTrialFixture(t)
	f.crashThree()
	d := f.tryLookup("3")
	f.lookUp("4")
	f.reduce(DispatchEnded{ID: d.ID, Backend: d.Backend, Attempt: d.Attempt, Outcome: OutcomeDone, Status: 200})
	waiting := must[Dispatch](t, f.advance(100*time.Millisecond))
	assert.Equal(t, waiting.ID, "4")
	must[Dispatch](t, f.lookUp("5"))
	assert.Equal(t, f.state.Counters.Quarantines, uint64(0))
}

// Guards against a request that is tried for ever although it crashes each server, and against refusing one whose trials were lost together with other
// servers.
func TestLostTrialsQuarantineARequest(t *testing.T) {
	for _, othersRefuse := range []bool{false, true} {
		f := newTrialFixture(t)
		f.crashThree()
		for i := range 2 {
			f.loseLookup(f.tryLookup("t"+strconv.Itoa(i)), othersRefuse)
			f.advance(time.Second)
		}
		assert.Equal(t, f.state.Isolation.Content.InQuarantine(f.now, suspectName), !othersRefuse, "others refuse: %v", othersRefuse)
		if !othersRefuse {
			assert.Equal(t, must[Refuse](t, f.lookUp("9")).Reason, ReasonQuarantined)
		}
	}
}

// Guards against a server that only closed a connection and counts as crashed.
func TestLossAtALivingServerIsNoCrash(t *testing.T) {
	f := newTrialFixture(t)
	d := must[Dispatch](t, f.lookUp("1"))
	effects := f.reduce(DispatchEnded{ID: d.ID, Backend: d.Backend, Attempt: d.Attempt, Outcome: OutcomeBroken, Disconnected: true})
	probe := must[ProbeBackend](t, effects)
	f.reduce(BackendProbed{Backend: probe.Backend, StartedUnixMs: probe.StartedUnixMs, RequestedAt: f.now})
	assert.Equal(t, f.state.Counters.BackendCrashes, uint64(0))
	assert.Equal(t, len(f.state.Isolation.Content.Suspects), 0)
}

// Guards against a loss that is counted at an incarnation which has crashed before: the next one, whose entry has not been read, has run the request.
func TestLossAfterACrashBelongsToTheNextIncarnation(t *testing.T) {
	f := newTrialFixture(t)
	f.loseLookup(must[Dispatch](t, f.lookUp("1")), false)
	crashed := ""
	for id, b := range f.state.Backends {
		if !b.CrashedAt.IsZero() {
			crashed = id
		}
	}
	for id := range f.state.Requests {
		f.reduce(RequestAbandoned{ID: id})
	}
	f.advance(5 * time.Second)
	r := &Request{ID: "r", SentAt: f.now, Backend: crashed, Fingerprint: 0xdead, Service: "desk"}
	f.state.recordLoss(f.now, f.state.Backends[crashed], r, DispatchEnded{Disconnected: true})
	info := f.state.Backends[crashed].Info
	info.StartedUnixMs = 2
	probe := must[ProbeBackend](t, f.publishBackend(info))
	assert.Equal(t, probe.StartedUnixMs, int64(2))
	f.reduce(BackendProbed{Backend: crashed, StartedUnixMs: 2, RequestedAt: f.now, Refused: true})
	assert.Equal(t, len(f.state.Isolation.Content.Suspects[suspectName].Crashes), 2)
}

// Guards against a reply to an earlier question that begins a trial, and against an arbiter of another host that is not asked.
func TestTrialsAreGrantedByTheArbiter(t *testing.T) {
	f := newTrialFixture(t)
	f.addFiveHosts()
	f.crashThree()
	f.state.Trials.Questions["desk"] = &TrialQuestion{Content: suspectName, Sequence: 5, AnsweredAt: f.now, AskedAt: f.now}
	f.lookUp("3")
	_, sent := find[Dispatch](f.reduce(PeerReceived{From: "host-1", Incarnation: 3, Messages: []Message{TrialReply{Service: "desk", Sequence: 4, Granted: true}}}))
	assert.Assert(t, !sent, "a reply to an earlier question begins a trial")
	granted := f.reduce(PeerReceived{From: "host-1", Incarnation: 3, Messages: []Message{TrialReply{Service: "desk", Sequence: 5, Granted: true}}})
	assert.Equal(t, must[Dispatch](t, granted).ID, "3")

	reply := must[SendPeer](t, f.reduce(PeerReceived{From: "host-2", Incarnation: 4, Messages: []Message{TrialRequest{Service: "other", Content: "c", Sequence: 9}}}))
	assert.Assert(t, slices.Contains(reply.Messages, Message(TrialReply{Service: "other", Sequence: 9, Granted: true})), "%v", reply.Messages)
}
