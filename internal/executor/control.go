package executor

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/redwingpick/redwingpick/internal/asserter"
	"github.com/redwingpick/redwingpick/internal/clocker"
	"github.com/redwingpick/redwingpick/internal/meter"
	"github.com/redwingpick/redwingpick/internal/recorder"
	"github.com/redwingpick/redwingpick/internal/reducer"
	"github.com/redwingpick/redwingpick/internal/selector"
	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// Intervals between the ticks of the control goroutine: with requests in progress, and on a ready host without any.
const (
	TickInterval     = 50 * time.Millisecond
	IdleTickInterval = 150 * time.Millisecond
	// minTickDelay is the shortest delay of an early tick, which keeps the timer from firing in a tight loop.
	minTickDelay = time.Millisecond
)

// Control runs the reducer and owns the state of the host. Its exported fields are set before SetUp.
type Control[P selector.Policy, C Codec, S Sink] struct {
	State    *reducer.State
	Worker   *Worker[C, S]
	Recorder *recorder.Recorder
	Waiters  *Waiters
	// Latencies records the duration of each request by kind, service and outcome.
	Latencies *meter.Latencies
	// MailboxSize is the capacity, in events, of each of the two mailboxes: new requests and results of effects.
	MailboxSize int

	arrivals     chan reducer.Event
	results      chan reducer.Event
	timer        *time.Timer
	nextTick     time.Time
	busyNanos    atomic.Int64
	ready        atomic.Bool
	draining     atomic.Bool
	drained      chan struct{}
	counters     atomic.Pointer[reducer.Counters]
	callerLimits atomic.Pointer[reducer.ApplyCallerLimits]
	violations   atomic.Uint64
	// shed counts refusals by reason that never reached the reducer and are missing from its counters.
	shed [reducer.ReasonCount]atomic.Uint64
}

// SetUp creates the mailboxes. It is called once, before Run and before any event is posted.
func (c *Control[P, C, S]) SetUp() {
	c.arrivals = make(chan reducer.Event, c.MailboxSize)
	c.results = make(chan reducer.Event, c.MailboxSize)
	c.drained = make(chan struct{})
	c.counters.Store(&reducer.Counters{})
	c.callerLimits.Store(&reducer.ApplyCallerLimits{})
	c.Worker.Results = c.results
	c.Worker.Messenger.Results = c.results
	if c.Worker.Messenger.Datagrams != nil {
		c.Worker.Messenger.Datagrams.Results = c.results
	}
}

// Run reduces events until the context ends. Its goroutine is the only one that accesses the state.
func (c *Control[P, C, S]) Run(ctx context.Context) {
	c.timer = time.NewTimer(0)
	defer c.timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.timer.C:
			c.setTimer(clocker.Now(), c.tickDelay())
			c.reduce(ctx, reducer.Tick{})
			c.publish()
		case event := <-c.results:
			c.reduce(ctx, event)
		case event := <-c.arrivals:
			c.reduce(ctx, event)
		}
	}
}

func (c *Control[P, C, S]) setTimer(now time.Time, delay time.Duration) {
	c.nextTick = now.Add(delay)
	c.timer.Reset(delay)
}

// wake moves the next tick forward to the given time if it is due later.
func (c *Control[P, C, S]) wake(at time.Time) {
	if at.Before(c.nextTick) {
		now := clocker.Now()
		c.setTimer(now, max(at.Sub(now), minTickDelay))
	}
}

// tickDelay returns the delay before the next tick, which is longer on a ready host without requests in progress.
func (c *Control[P, C, S]) tickDelay() time.Duration {
	if len(c.State.Requests) == 0 && c.State.Ready {
		return IdleTickInterval
	}
	return TickInterval
}

// Post queues an event of a new request for the control goroutine and reports whether the mailbox had room; it never blocks.
func (c *Control[P, C, S]) Post(event reducer.Event) bool {
	select {
	case c.arrivals <- event:
		return true
	default:
		c.Recorder.Record(recorder.EventMailboxFull)
		return false
	}
}

// Shed counts and logs a request that was refused at the time now and could not be posted because the mailbox was full.
func (c *Control[P, C, S]) Shed(now time.Time, request reducer.RequestShed) {
	age := now.Sub(request.At)
	c.shed[request.Reason].Add(1)
	c.Latencies.Record(latencyName(reducer.RecordLatency{Kind: cataloguer.RetryPolicy(0).String(), Outcome: "refused_" + request.Reason.String()}), age)
	c.Recorder.Record(reducer.EventRequestRefused,
		reducer.Field{Name: "request", Value: request.CallerID},
		reducer.Field{Name: "connection", Value: request.Connection},
		reducer.Field{Name: "age_ms", Value: strconv.FormatInt(age.Milliseconds(), 10)},
		reducer.Field{Name: "reason", Value: request.Reason.String()},
		reducer.Field{Name: "may_have_run", Value: "false"})
}

// Report queues the result of an effect, or another event that must not be lost; it blocks while the mailbox is full.
func (c *Control[P, C, S]) Report(ctx context.Context, event reducer.Event) {
	select {
	case c.results <- event:
	case <-ctx.Done():
	}
}

// Ready reports whether the host is ready for new requests.
func (c *Control[P, C, S]) Ready() bool { return c.ready.Load() }

// Draining reports whether the host is draining and callers should use another one.
func (c *Control[P, C, S]) Draining() bool { return c.draining.Load() }

// CallerLimits returns the limits on what callers may send, which are zero until a catalogue is applied.
func (c *Control[P, C, S]) CallerLimits() cataloguer.CallerLimits {
	return c.callerLimits.Load().Limits
}

// Account returns the client account of a key; it is empty if the key is not known.
func (c *Control[P, C, S]) Account(key string) string { return c.callerLimits.Load().Accounts[key] }

// Drained returns a channel that is closed when the drain is complete and the process may exit.
func (c *Control[P, C, S]) Drained() <-chan struct{} { return c.drained }

// Queued returns the numbers of queued events in the mailboxes of new requests and of results.
func (c *Control[P, C, S]) Queued() (arrivals, results int) { return len(c.arrivals), len(c.results) }

// BusyTime returns the total time that the control goroutine has spent reducing events and checking invariants.
func (c *Control[P, C, S]) BusyTime() time.Duration { return time.Duration(c.busyNanos.Load()) }

// Counters returns the reducer's counters as of the last tick.
func (c *Control[P, C, S]) Counters() reducer.Counters { return *c.counters.Load() }

// Violations returns the number of invariant violations found since the start.
func (c *Control[P, C, S]) Violations() uint64 { return c.violations.Load() }

func (c *Control[P, C, S]) publish() {
	counters := c.State.Counters
	for reason := range c.shed {
		counters.RefusedByReason[reason] += c.shed[reason].Load()
	}
	c.counters.Store(&counters)
}

func (c *Control[P, C, S]) reduce(ctx context.Context, event reducer.Event) {
	now := clocker.Now()
	effects := reducer.Reduce[P](c.State, now, event)
	for _, v := range asserter.Check(c.State, now, effects) {
		c.violations.Add(1)
		c.Recorder.Record(recorder.EventInvariantBroken, reducer.Field{Name: "rule", Value: v.Rule}, reducer.Field{Name: "detail", Value: v.Detail})
	}
	c.busyNanos.Add(int64(clocker.Now().Sub(now)))
	received, _ := event.(reducer.PeerReceived)
	replied := false
	for _, e := range effects {
		if !replied && isReply(received, e) {
			replied = c.Waiters.Deliver(received.ReplyID, e)
			continue
		}
		c.execute(ctx, e)
	}
	if received.ReplyID != "" && !replied {
		c.Waiters.Deliver(received.ReplyID, reducer.SendPeer{})
	}
}

// latencyName returns the name under which the latency of a request is recorded: KIND/SERVICE/OUTCOME.
func latencyName(e reducer.RecordLatency) string { return e.Kind + "/" + e.Service + "/" + e.Outcome }

// isReply reports whether an effect is the envelope that the sender of the received event waits for.
func isReply(received reducer.PeerReceived, effect reducer.Effect) bool {
	envelope, ok := effect.(reducer.SendPeer)
	return ok && received.ReplyID != "" && envelope.To == received.From
}

// execute carries out an effect on the control goroutine, or passes it to the goroutine that waits for it or to the worker.
func (c *Control[P, C, S]) execute(ctx context.Context, effect reducer.Effect) {
	switch e := effect.(type) {
	case reducer.Refuse:
		c.Waiters.Deliver(e.ID, e)
	case reducer.DeliverFailure:
		c.Waiters.Deliver(e.ID, e)
	case reducer.Dispatch:
		c.Waiters.Deliver(e.ID, e)
	case reducer.Cancel:
		c.Waiters.Cancel(e.ID)
	case reducer.EndAttempt:
		c.Waiters.EndAttempt(e.ID, e.Attempt)
	case reducer.LocateResponse:
		c.Waiters.Deliver(e.ReplyID, e)
	case reducer.UpdatesResponse:
		c.Waiters.Deliver(e.ReplyID, e)
	case reducer.StatusResponse:
		c.Waiters.Deliver(e.ReplyID, e)
	case reducer.WhereResponse:
		c.Waiters.Deliver(e.ReplyID, e)
	case reducer.LogEvent:
		c.Recorder.Record(e.Number, e.Fields...)
	case reducer.RecordLatency:
		c.Latencies.Record(latencyName(e), e.Took)
	case reducer.ApplyCallerLimits:
		c.callerLimits.Store(&e)
	case reducer.WakeAt:
		c.wake(e.At)
	case reducer.SetReady:
		c.ready.Store(e.Ready)
	case reducer.DrainStarted:
		c.draining.Store(true)
	case reducer.Drained:
		close(c.drained)
	default:
		c.Worker.Start(ctx, effect)
	}
}
