package dispatcher

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/internal/reducer"
)

// listen returns an address that accepts connections until stop is called.
func listen(t *testing.T) (address string, stop func()) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	stop = func() { _ = socket.Close() }
	t.Cleanup(stop)
	return socket.Addr().String(), stop
}

// Guards against a living server that is taken for crashed, and against a crashed one, or a witness, that is not noticed.
func TestProbe(t *testing.T) {
	living, _ := listen(t)
	ended, stop := listen(t)
	stop()
	client := &Client[codec, *sink]{}
	for _, c := range []struct {
		address string
		others  []string
		once    bool
		want    reducer.BackendProbed
	}{
		{address: living, want: reducer.BackendProbed{}},
		{address: living, once: true, want: reducer.BackendProbed{}},
		{address: ended, want: reducer.BackendProbed{Refused: true}},
		{address: ended, once: true, want: reducer.BackendProbed{Refused: true}},
		{address: ended, others: []string{living}, want: reducer.BackendProbed{Refused: true}},
		{address: ended, others: []string{living, ended}, want: reducer.BackendProbed{Refused: true, OthersRefuse: true}},
	} {
		now := time.Unix(1, 0)
		c.want.Backend, c.want.StartedUnixMs, c.want.RequestedAt = "b", 7, now
		got := client.Probe(context.Background(), now, reducer.ProbeBackend{Backend: "b", Address: c.address, StartedUnixMs: 7, Others: c.others, Once: c.once})
		assert.DeepEqual(t, got, c.want)
	}
}

// Guards against a process that closes its connections shortly before it stops listening, and so passes for a living one.
func TestProbeWaitsForTheEndOfAProcess(t *testing.T) {
	address, stop := listen(t)
	time.AfterFunc(probeDelay/2, stop)
	client := &Client[codec, *sink]{}
	assert.Assert(t, client.Probe(context.Background(), time.Now(), reducer.ProbeBackend{Address: address}).Refused)
}
