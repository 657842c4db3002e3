package reducer

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// coldCatalogue returns a catalogue whose unary service bounds the requests to cold servers.
func coldCatalogue(version int64) cataloguer.Document {
	c := testCatalogue(version)
	c.Services = []cataloguer.Service{{Name: "desk", MaxConnections: 96, ColdDuration: 3 * time.Second, ColdRate: 7}}
	return cataloguer.Document{Key: "c", Kind: cataloguer.KindCatalogue, Raw: []byte("c"), Catalogue: c}
}

// coldEntry returns the entry of desk-1 with the rest of a cold start.
func coldEntry(remaining time.Duration) cataloguer.Backend {
	return cataloguer.Backend{ID: "desk-1", Service: "desk", Address: "10.0.1.1:80", FailureDomain: "east", StartedUnixMs: 1, Slots: 6, ColdRemaining: remaining}
}

// withdrawal returns the document that withdraws a failure domain, or that ends the withdrawal.
func withdrawal(ended bool) cataloguer.Document {
	return cataloguer.Document{Key: "w/east", Kind: cataloguer.KindWithdrawnDomain, Name: "east", Raw: []byte("east"), Deleted: ended}
}

// passOn lets a host answer another host's request for updates, as peers do.
func passOn(t *testing.T, from, to *fixture) {
	t.Helper()
	to.now = from.now
	resp := must[UpdatesResponse](t, from.reduce(UpdatesRequested{Since: to.state.Documents.Version}))
	to.state.Hosts["peer"] = &Host{Record: HostRecord{ID: "peer"}, LastHeartbeatAt: to.now}
	to.reduce(UpdatesRead{
		From: "peer", Documents: resp.Documents, Snapshot: resp.Snapshot, Version: resp.Version, SignificantVersion: resp.SignificantVersion,
	})
}

// cold reports whether a host takes desk-1 for cold.
func (f *fixture) cold() bool { return f.state.throttled(f.now, f.state.Backends["desk-1"]) }

// Guards against a server that is taken for warm when its failure domain is taken back, since its entry still tells of an earlier cold start.
func TestReturnedServerIsColdBeyondAnEarlierColdStart(t *testing.T) {
	f := newFixture(t)
	f.publish(coldCatalogue(2))
	f.publishBackend(coldEntry(3 * time.Second))
	f.publish(withdrawal(false))
	f.advance(2900 * time.Millisecond)
	f.publish(withdrawal(true))
	f.advance(1200 * time.Millisecond)
	assert.Assert(t, f.cold())
}

// Guards against a change that ends at a host which read it together with an earlier one: the server that has returned stays removed at the
// hosts behind it.
func TestReturnOfARemovedEntryIsPassedOn(t *testing.T) {
	watcher, hop, end := newFixture(t), newFixture(t), newFixture(t)
	watcher.publish(cataloguer.Document{Key: "b/desk-1", Kind: cataloguer.KindBackend, Name: "desk-1", Deleted: true})
	passOn(t, watcher, end)
	watcher.publishBackend(coldEntry(0))
	passOn(t, watcher, hop)
	passOn(t, hop, end)
	passOn(t, watcher, end)
	assert.Equal(t, end.state.Documents.Version, watcher.state.Documents.Version)
	assert.Assert(t, end.state.Backends["desk-1"].RemovedAt.IsZero())
}

// Guards against a cold start that ends at a host which learned of an earlier one later than the hosts behind it.
func TestColdStartIsPassedOnByHostsThatLearnedLate(t *testing.T) {
	watcher, hop, end := newFixture(t), newFixture(t), newFixture(t)
	for _, f := range []*fixture{watcher, hop, end} {
		f.publish(coldCatalogue(2))
	}
	watcher.publishBackend(coldEntry(3 * time.Second))
	passOn(t, watcher, end)
	watcher.advance(700 * time.Millisecond)
	passOn(t, watcher, hop)
	watcher.advance(900 * time.Millisecond)
	watcher.publishBackend(coldEntry(3 * time.Second))
	passOn(t, watcher, hop)
	passOn(t, hop, end)
	watcher.advance(1500 * time.Millisecond)
	passOn(t, watcher, end)
	assert.Check(t, watcher.cold())
	assert.Check(t, end.cold())
}

// Guards against cold starts that each end a little later than the one before, of which other hosts never learn.
func TestSeriesOfColdStartsIsPassedOn(t *testing.T) {
	watcher, end := newFixture(t), newFixture(t)
	watcher.publish(coldCatalogue(2))
	watcher.publishBackend(coldEntry(3 * time.Second))
	passOn(t, watcher, end)
	for range 20 {
		watcher.advance(400 * time.Millisecond)
		watcher.publishBackend(coldEntry(3 * time.Second))
		passOn(t, watcher, end)
	}
	assert.Assert(t, watcher.cold())
	assert.Assert(t, end.cold())
	watcher.advance(2400 * time.Millisecond)
	end.now = watcher.now
	assert.Assert(t, watcher.cold())
	assert.Assert(t, end.cold())
}

// Guards against a host that reads a withdrawal and its end together, as after a pause, and takes the servers for warm.
func TestEndOfAnUnseenWithdrawalCounts(t *testing.T) {
	for name, withdrawnBefore := range map[string]bool{"first withdrawal": false, "second withdrawal": true} {
		t.Run(name, func(t *testing.T) {
			watcher, end := newFixture(t), newFixture(t)
			watcher.publish(coldCatalogue(2))
			if withdrawnBefore {
				watcher.publish(withdrawal(false))
				watcher.publish(withdrawal(true))
				passOn(t, watcher, end)
				watcher.advance(9 * time.Second)
			}
			passOn(t, watcher, end)
			watcher.publish(withdrawal(false))
			watcher.advance(2 * time.Second)
			watcher.publish(withdrawal(true))
			passOn(t, watcher, end)
			assert.Check(t, watcher.cold())
			assert.Check(t, end.cold())
		})
	}
}

// Guards against a request that is sent to a cold server, without a bound, in place of a stalled attempt.
func TestColdServerDoesNotReplaceAStalledAttempt(t *testing.T) {
	f := newFixture(t)
	f.publish(coldCatalogue(2))
	first := must[Dispatch](t, f.arrive("1", "/safe/x", "secret"))
	other := map[string]string{"desk-1": "desk-2", "desk-2": "desk-1"}[first.Backend]
	f.state.Backends[other].ColdAssumedAt = f.now
	_, ended := find[EndAttempt](f.reduce(AttemptStalled{ID: "1", Attempt: 1}))
	assert.Assert(t, !ended)
}

// Guards against requests that wait for a cold server to which this host may not send, and against a refusal that names another time than the
// end of the cold start.
func TestHostThatMayNotSendNamesTheEndOfTheColdStart(t *testing.T) {
	f := newFixture(t)
	f.publish(coldCatalogue(2))
	f.publishBackend(coldEntry(3 * time.Second))
	f.state.Backends["desk-2"].Info.Draining = true
	f.state.Membership.VotersKnownAt = time.Time{}
	refusal := must[Refuse](t, f.arrive("1", "/safe/x", "secret"))
	assert.Equal(t, refusal.RetryAfter, 3*time.Second)
}

// Guards against hosts that rank different senders since one of them still counts with the former capacity of the others.
func TestDirectedVotersFollowTheCapacityOfHosts(t *testing.T) {
	f := newFixture(t)
	restart := func(capacity func(i int) int, incarnation uint64) {
		for i := range 30 {
			id := "host-" + strconv.Itoa(i)
			f.reduce(PeerReceived{From: id, Incarnation: incarnation + uint64(i), Messages: []Message{HostRecord{
				ID: id, Incarnation: incarnation + uint64(i), Heartbeat: 1, Address: id, PeerAddress: id, FailureDomain: "east", Ready: true, Voter: true,
				CapacityMillicores: capacity(i),
			}}})
		}
		f.state.indexHosts(f.now)
	}
	restart(func(int) int { return 0 }, 2)
	f.advance(time.Second)
	restart(func(i int) int { return 100 * (i + 1) }, 102)
	f.advance(time.Second)
	assert.DeepEqual(t, f.state.Index.DirectedVoters, f.state.directedVoters(f.state.Index.Voters))
}

// Guards against a host that has just started and takes a server for cold whose cold start has ended long ago: what a peer sends it still
// tells of the time that was left then, and of a withdrawal that has ended.
func TestColdStartThatHasPassedIsNotPassedOn(t *testing.T) {
	watcher, end := newFixture(t), newFixture(t)
	watcher.publish(coldCatalogue(2))
	watcher.publishBackend(coldEntry(3 * time.Second))
	watcher.publish(withdrawal(false))
	watcher.publish(withdrawal(true))
	passOn(t, watcher, end)
	end.advance(10 * time.Second)
	self := end.state.Self
	self.HostID, self.StartedAt = "host-b", end.now
	started := &fixture{t: t, state: NewState(self, end.state.Limits, 1), now: end.now}
	passOn(t, end, started)
	assert.Assert(t, !started.cold())
}
