package reducer

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/redwingpick/redwingpick/internal/selector"
)

// newPeer returns the state of another host that knows the same fleet of count hosts, all heard just now.
func newPeer(id string, count int, now time.Time) *State {
	s := NewState(Self{HostID: id, Incarnation: uint64(1000 + count), StartedAt: startTime}, Limits{HostTimeout: 5 * time.Second}, 1)
	for i := range count {
		learnHost(s, now, fmt.Sprintf("host-%d", i), uint64(i+1), 10)
	}
	return s
}

func learnHost(s *State, now time.Time, id string, incarnation, heartbeat uint64) {
	receiveHostRecord(s, now, HostRecord{ID: id, Incarnation: incarnation, Heartbeat: heartbeat, PeerAddress: id, Datagrams: true, ChangedAtHeartbeat: 1})
}

// deliver passes the envelopes of one state to another and back until neither has more to say, and returns their number.
func deliver(a, b *State, now time.Time, messages []Message) int {
	envelopes := 0
	for from, to := a, b; len(messages) > 0 && envelopes < 100; from, to = to, from {
		envelopes++
		effects := Reduce[selector.LeastDelay](to, now, PeerReceived{From: from.Self.HostID, Incarnation: from.Self.Incarnation, Messages: messages, RequestedAt: now})
		messages = nil
		for _, e := range effects {
			if p, ok := e.(SendPeer); ok && p.To == from.Self.HostID {
				messages = p.Messages
			}
		}
	}
	return envelopes
}

// introduce makes two states know each other's records.
func introduce(a, b *State, now time.Time) {
	receiveHostRecord(a, now, b.selfRecord(now))
	receiveHostRecord(b, now, a.selfRecord(now))
}

func TestTableBringsHeartbeatsOfAgreeingHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 90).Draw(t, "hosts")
		a, b := newPeer("a", count, startTime), newPeer("b", count, startTime)
		introduce(a, b, startTime)
		now := startTime.Add(3 * time.Second)
		ages := map[string]time.Duration{}
		for id, h := range a.Hosts {
			if id == "b" {
				continue
			}
			ages[id] = time.Duration(rapid.IntRange(0, 2900).Draw(t, "age")) * time.Millisecond
			a.recordHeartbeat(now, h, h.Record.Heartbeat+uint64(rapid.IntRange(1, 120).Draw(t, "beats")), ages[id])
		}
		receiveHeartbeatTable(b, now, "a", a.heartbeatTable(now))
		for id, age := range ages {
			h := b.Hosts[id]
			assert.Equal(t, h.Record.Heartbeat, a.Hosts[id].Record.Heartbeat, id)
			known := now.Sub(h.LastHeartbeatAt)
			assert.Assert(t, known >= age && known <= age+a.suspectAfter()/ageUnitsPerTimeout, "%s: %v became %v", id, age, known)
		}
	})
}

// Guards against heartbeats being applied to the wrong host where hosts know different fleets, and against hosts that stay different.
func TestDifferingHostsExchangeRecordsUntilTheyAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := newPeer("a", 40, startTime), newPeer("b", 40, startTime)
		introduce(a, b, startTime)
		for i := range 40 {
			id := fmt.Sprintf("host-%d", i)
			switch rapid.IntRange(0, 6).Draw(t, "difference") {
			case 0:
				a.dropHost(id, a.Hosts[id])
			case 1:
				b.dropHost(id, b.Hosts[id])
			case 2:
				learnHost(a, startTime, id, uint64(500+i), 3)
			case 3:
				receiveHostRecord(b, startTime, HostRecord{ID: id, Incarnation: uint64(i + 1), Heartbeat: 12, PeerAddress: id, Ready: true, Datagrams: true, ChangedAtHeartbeat: 12})
			case 4:
				a.addVoter(startTime, a.Hosts[id])
			}
		}
		now := startTime.Add(time.Second)
		for range 2 * heartbeatGroups {
			deliver(a, b, now, []Message{a.heartbeatTable(now)})
		}
		for id, h := range a.Hosts {
			if id == "b" {
				continue
			}
			assert.Assert(t, b.Hosts[id] != nil, id)
			assert.Equal(t, b.Hosts[id].Record.Incarnation, h.Record.Incarnation, id)
			assert.Equal(t, b.Hosts[id].Record.ChangedAtHeartbeat, h.Record.ChangedAtHeartbeat, id)
			assert.Equal(t, b.Hosts[id].Record.Voter, h.Record.Voter, id)
		}
		assert.Equal(t, deliver(a, b, now, []Message{a.heartbeatTable(now)}), 1, "hosts that agree exchange records")
	})
}

// Guards against a change of a record being lost on a host that has a later heartbeat from a table.
func TestChangeOfRecordIsAppliedAfterALaterHeartbeat(t *testing.T) {
	s := newPeer("a", 3, startTime)
	s.recordHeartbeat(startTime, s.Hosts["host-1"], 30, 0)
	receiveHostRecord(s, startTime, HostRecord{ID: "host-1", Incarnation: 2, Heartbeat: 25, PeerAddress: "host-1", Draining: true, ChangedAtHeartbeat: 25, HeartbeatAge: time.Second})
	h := s.Hosts["host-1"]
	assert.Assert(t, h.Record.Draining)
	assert.Equal(t, h.Record.Heartbeat, uint64(30))
	assert.Assert(t, h.LastHeartbeatAt.Equal(startTime))
	receiveHostRecord(s, startTime, HostRecord{ID: "host-1", Incarnation: 2, Heartbeat: 40, PeerAddress: "host-1", ChangedAtHeartbeat: 1})
	assert.Assert(t, s.Hosts["host-1"].Record.Draining, "an older record came back")
}

func TestInvalidTablesAreIgnored(t *testing.T) {
	s := newPeer("a", 3, startTime)
	valid := s.heartbeatTable(startTime)
	for _, table := range []HeartbeatTable{
		{}, {Digests: valid.Digests}, {Digests: valid.Digests, Sizes: valid.Sizes},
		{Digests: valid.Digests, Sizes: valid.Sizes, Counters: valid.Counters},
		{Digests: valid.Digests, Sizes: make([]byte, heartbeatGroups), Counters: []byte{9}, Ages: []byte{0}},
	} {
		receiveHeartbeatTable(s, startTime, "b", table)
	}
	assert.Equal(t, s.Hosts["host-1"].Record.Heartbeat, uint64(10))
}

// Guards against tokens being counted twice when the network duplicates a datagram.
func TestRepeatedGrantCountsOnce(t *testing.T) {
	f := newFixture(t)
	a := f.state.account(f.now, "acme")
	a.Sequence = 5
	for range 3 {
		f.reduce(PeerReceived{From: "host-0", Messages: []Message{TokenGrant{Account: "acme", Sequence: 4, Tokens: 10}, TokenGrant{Account: "acme", Sequence: 5, Tokens: 7}}})
	}
	assert.Equal(t, a.Level, 17.0)
}
