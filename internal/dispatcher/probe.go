package dispatcher

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/redwingpick/redwingpick/internal/reducer"
)

const (
	// probeTimeout is the time for which a probe waits for a connection.
	probeTimeout = 500 * time.Millisecond
	// probeDelay is the time between the two tries of a probe: a process that ends closes its connections shortly before it stops listening.
	probeDelay = 50 * time.Millisecond
	probeTries = 2
)

// Probe finds out whether a backend server's address refuses connections. A server that does not answer in time is not known to have ended.
func (c *Client[C, S]) Probe(ctx context.Context, now time.Time, effect reducer.ProbeBackend) reducer.BackendProbed {
	event := reducer.BackendProbed{Backend: effect.Backend, StartedUnixMs: effect.StartedUnixMs, RequestedAt: now}
	var others sync.WaitGroup
	var othersRefuse atomic.Bool
	for _, address := range effect.Others {
		others.Go(func() {
			if stopsListening(ctx, address) {
				othersRefuse.Store(true)
			}
		})
	}
	if effect.Once {
		event.Refused = refuses(ctx, effect.Address)
		return event
	}
	event.Refused = stopsListening(ctx, effect.Address)
	others.Wait()
	event.OthersRefuse = othersRefuse.Load()
	return event
}

// stopsListening reports whether an address refuses a connection, now or a little later.
func stopsListening(ctx context.Context, address string) bool {
	for try := range probeTries {
		if try > 0 && !wait(ctx, probeDelay) {
			return false
		}
		if refuses(ctx, address) {
			return true
		}
	}
	return false
}

// refuses reports whether an address refuses a connection.
func refuses(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
	if err == nil {
		resetOnClose(conn)
		_ = conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// wait waits for a time and reports false if the context ends before.
func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
