package messenger

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/internal/clocker"
	"github.com/redwingpick/redwingpick/internal/reducer"
)

// datagramHost starts the datagrams of a host on a free local port.
func datagramHost(t *testing.T, id string, incarnation uint64) (d *Datagrams, results chan reducer.Event, address string) {
	results = make(chan reducer.Event, 16)
	d = &Datagrams{HostID: id, Incarnation: incarnation, StartedAt: clocker.Now(), Results: results}
	assert.NilError(t, d.Listen("127.0.0.1:0"))
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go d.Run(ctx)
	return d, results, d.conn.LocalAddr().String()
}

func receive(t *testing.T, results chan reducer.Event) reducer.PeerReceived {
	t.Helper()
	select {
	case event := <-results:
		return event.(reducer.PeerReceived)
	case <-time.After(2 * time.Second):
		t.Fatal("no datagram arrived")
		return reducer.PeerReceived{}
	}
}

// Guards against a confirmation being dated later than the request for it: a reply is dated from when the envelope left to which it replies,
// however long the reply took, and nothing that is no reply to this process has a date.
func TestReplyIsDatedFromItsRequest(t *testing.T) {
	a, atA, addressA := datagramHost(t, "a", 1)
	b, atB, addressB := datagramHost(t, "b", 2)
	before := clocker.Now()
	assert.Assert(t, a.Send(reducer.SendPeer{Address: addressB, Messages: []reducer.Message{reducer.MembershipRequest{}}}))
	request := receive(t, atB)
	after := clocker.Now()
	assert.Equal(t, request.From, "a")
	assert.Assert(t, request.RequestedAt.IsZero())
	time.Sleep(50 * time.Millisecond)
	assert.Assert(t, b.Send(reducer.SendPeer{Address: addressA, ReplyTo: request.Stamp}))
	reply := receive(t, atA)
	assert.Assert(t, !reply.RequestedAt.Before(before) && !reply.RequestedAt.After(after), "dated %v after the request", reply.RequestedAt.Sub(before))

	for name, stamp := range map[string]reducer.Stamp{
		"an earlier process": {Incarnation: 7, Uptime: request.Stamp.Uptime},
		"the future":         {Incarnation: 1, Uptime: time.Hour},
		"before the start":   {Incarnation: 1, Uptime: -time.Second},
	} {
		assert.Assert(t, b.Send(reducer.SendPeer{Address: addressA, ReplyTo: stamp}))
		assert.Assert(t, receive(t, atA).RequestedAt.IsZero(), name)
	}
}

func TestTooLargeEnvelopeIsNotSentAsDatagram(t *testing.T) {
	a, _, _ := datagramHost(t, "a", 1)
	_, atB, addressB := datagramHost(t, "b", 2)
	large := reducer.LeaseRelease{Backends: []string{strings.Repeat("x", maxDatagramSize)}}
	assert.Assert(t, !a.Send(reducer.SendPeer{Address: addressB, Messages: []reducer.Message{large}}))
	assert.Assert(t, a.Send(reducer.SendPeer{Address: addressB}))
	receive(t, atB)
	assert.Equal(t, len(atB), 0)
}

// Guards against datagrams of another writer ending the receiver or reaching the reducer.
func TestInvalidDatagramsAreDropped(t *testing.T) {
	a, _, _ := datagramHost(t, "a", 1)
	_, atB, addressB := datagramHost(t, "b", 2)
	conn, err := net.Dial("udp", addressB)
	assert.NilError(t, err)
	for _, text := range []string{"", "x", strings.Repeat("\xff", 9000), strings.Repeat("\x0a", 100), "\x0a\x01a"} {
		_, err := conn.Write([]byte(text))
		assert.NilError(t, err)
	}
	assert.Assert(t, a.Send(reducer.SendPeer{Address: addressB}))
	assert.Equal(t, receive(t, atB).From, "a")
	assert.Equal(t, len(atB), 0)
}

func FuzzDatagram(f *testing.F) {
	f.Add([]byte("\x0a\x01a\x20\x05"))
	d := &Datagrams{HostID: "b", Incarnation: 2, StartedAt: time.Unix(1, 0)}
	f.Fuzz(func(t *testing.T, body []byte) {
		now := time.Unix(100, 0)
		if event, ok := d.decode(now, body); ok && event.RequestedAt.After(now) {
			t.Fatalf("dated %v after now", event.RequestedAt.Sub(now))
		}
	})
}
