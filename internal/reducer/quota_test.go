package reducer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// Pattern: hosts are stopped and started in turn. Guards against the quota coordinator counting the use of all hosts as unknown after each
// change of the fleet, so that accounts below their rate are refused while hosts roll; and against the use of the host that has restarted, or
// was away, counting as known.
func TestCoordinatorStaysInformedWhileOtherHostsRoll(t *testing.T) {
	f := newFixture(t)
	c := testCatalogue(2)
	c.Accounts = []cataloguer.Account{{Name: "acme", Keys: []string{"secret"}, Priority: -1, Rate: 100, Burst: 100}}
	f.publish(cataloguer.Document{Key: "c", Kind: cataloguer.KindCatalogue, Raw: []byte("c"), Catalogue: c})
	f.addFiveHosts()
	q, ok := f.state.quota("acme")
	assert.Assert(t, ok)
	u := &QuotaUsage{CoordinatorSince: f.now, Hosts: map[string]*HostQuotaUsage{}}
	f.advance(q.Window)
	heartbeat := uint64(1)
	keepAlive := func(ids ...string) {
		heartbeat++
		for _, id := range ids {
			r := f.state.Hosts[id].Record
			r.Heartbeat, r.HeartbeatAge = heartbeat, 0
			receiveHostRecord(f.state, f.now, r)
		}
	}
	all := []string{"host-0", "host-1", "host-2", "host-3", "host-4"}
	for _, id := range all {
		f.state.Hosts[id].ReachableSince = u.CoordinatorSince
	}
	keepAlive(all...)
	for _, id := range all {
		f.state.Hosts[id].ReachableSince = u.CoordinatorSince
	}
	assert.Equal(t, f.state.unknownFraction(f.now, q, u), 0.0)

	restarted := f.state.Hosts["host-4"].Record
	restarted.Incarnation, restarted.Heartbeat = restarted.Incarnation+100, 1
	receiveHostRecord(f.state, f.now, restarted)
	fraction := f.state.unknownFraction(f.now, q, u)
	assert.Assert(t, fraction > 0.16 && fraction < 0.17, "one of six hosts is unknown, not %v", fraction)
	u.update(f.now.Add(time.Second), q.Window, "host-4", TokenRequest{SpentPeriod: time.Second})
	assert.Assert(t, f.state.unknownFraction(f.now.Add(q.Window), q, u) < 0.03)

	f.now = f.now.Add(f.state.suspectAfter() - 50*time.Millisecond)
	keepAlive("host-0", "host-1", "host-2", "host-4")
	f.now = f.now.Add(100 * time.Millisecond)
	assert.Assert(t, !f.state.reachable(f.now, "host-3"))
	keepAlive("host-3")
	assert.Assert(t, f.state.Hosts["host-3"].ReachableSince.Equal(f.now), "a host that was away is known")
	assert.Assert(t, f.state.Hosts["host-0"].ReachableSince.Equal(u.CoordinatorSince))
}
