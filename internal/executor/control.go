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

// Times between two ticks of the control goroutine, while requests are under way and while none is.
const (
	TickEvery     = 50 * time.Millisecond
	IdleTickEvery = 150 * time.Millisecond
	// leastWait keeps wake-ups from following each other without a pause.
	leastWait = time.Millisecond
)

// Control owns the state of the host; its exported fields are set before Run.
type Control[P selector.Policy, C Codec, S Sink] struct {
	State    *reducer.State
	Worker   *Worker[C, S]
	Recorder *recorder.Recorder
	Replies  *Replies
	// Latencies takes the time of each request by kind, service and outcome.
	Latencies   *meter.Latencies
	MailboxSize int

	arrivals chan reducer.Event
	results  chan reducer.Event
	timer    *time.Timer
	nextTick time.Time
	busy     atomic.Int64
	ready    atomic.Bool
	draining atomic.Bool
	drained  chan struct{}
	counters atomic.Pointer[reducer.Counters]
	callers  atomic.Pointer[cataloguer.CallerLimits]
	broken   atomic.Uint64
	// shed counts the refusals that the state does not know of.
	shed [reducer.ReasonCount]atomic.Uint64
}

// SetUp makes the mailboxes; it is called once, before Run and before any event is posted.
func (c *Control[P, C, S]) SetUp() {
	c.arrivals = make(chan reducer.Event, c.MailboxSize)
	c.results = make(chan reducer.Event, c.MailboxSize)
	c.drained = make(chan struct{})
	c.counters.Store(&reducer.Counters{})
	c.callers.Store(&cataloguer.CallerLimits{})
	c.Worker.Results = c.results
	c.Worker.Messenger.Results = c.results
}

// Run reduces events until the context ends; it is the only goroutine that touches the state.
func (c *Control[P, C, S]) Run(ctx context.Context) {
	c.timer = time.NewTimer(0)
	defer c.timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.timer.C:
			c.setTimer(clocker.Now(), c.untilTick())
			c.reduce(ctx, reducer.Tick{})
			c.publish()
		case event := <-c.results:
			c.reduce(ctx, event)
		case event := <-c.arrivals:
			c.reduce(ctx, event)
		}
	}
}

func (c *Control[P, C, S]) setTimer(now time.Time, wait time.Duration) {
	c.nextTick = now.Add(wait)
	c.timer.Reset(wait)
}

// wake brings the next tick forward.
func (c *Control[P, C, S]) wake(at time.Time) {
	if at.Before(c.nextTick) {
		now := clocker.Now()
		c.setTimer(now, max(at.Sub(now), leastWait))
	}
}

// untilTick returns the time to the next tick, which is longer while no request is under way.
func (c *Control[P, C, S]) untilTick() time.Duration {
	if len(c.State.Requests) == 0 && c.State.Ready {
		return IdleTickEvery
	}
	return TickEvery
}

// Post offers a new request to the control goroutine and reports false when its mailbox is full.
func (c *Control[P, C, S]) Post(event reducer.Event) bool {
	select {
	case c.arrivals <- event:
		return true
	default:
		c.Recorder.Record(recorder.EventMailboxFull)
		return false
	}
}

// Shed notes and counts a refusal for which the control goroutine's mailbox had no room; now is when it was made.
func (c *Control[P, C, S]) Shed(now time.Time, refused reducer.RequestShed) {
	took := now.Sub(refused.At)
	c.shed[refused.Reason].Add(1)
	c.Latencies.Record(latencyName(reducer.RecordLatency{Kind: cataloguer.RetryPolicy(0).String(), Outcome: "refused_" + refused.Reason.String()}), took)
	c.Recorder.Record(reducer.EventRequestRefused,
		reducer.Field{Name: "request", Value: refused.CallerID},
		reducer.Field{Name: "connection", Value: refused.Connection},
		reducer.Field{Name: "age_ms", Value: strconv.FormatInt(took.Milliseconds(), 10)},
		reducer.Field{Name: "reason", Value: refused.Reason.String()},
		reducer.Field{Name: "may_have_run", Value: "false"})
}

// Report delivers the outcome of an effect; it waits while the mailbox is full.
func (c *Control[P, C, S]) Report(ctx context.Context, event reducer.Event) {
	select {
	case c.results <- event:
	case <-ctx.Done():
	}
}

// Ready reports whether the host may be sent new requests.
func (c *Control[P, C, S]) Ready() bool { return c.ready.Load() }

// Draining reports whether callers should go elsewhere.
func (c *Control[P, C, S]) Draining() bool { return c.draining.Load() }

// CallerLimits returns the bounds on what callers may send; they are zero before a catalogue is in force.
func (c *Control[P, C, S]) CallerLimits() cataloguer.CallerLimits { return *c.callers.Load() }

// Drained is closed when a leaving host may end.
func (c *Control[P, C, S]) Drained() <-chan struct{} { return c.drained }

// Waiting returns how many arrivals of callers and how many results wait for the control goroutine.
func (c *Control[P, C, S]) Waiting() (arrivals, results int) { return len(c.arrivals), len(c.results) }

// Busy returns the time that the control goroutine has spent reducing.
func (c *Control[P, C, S]) Busy() time.Duration { return time.Duration(c.busy.Load()) }

// Counters returns the reducer's counters as of the last tick.
func (c *Control[P, C, S]) Counters() reducer.Counters { return *c.counters.Load() }

// Broken returns how many invariants have been found broken.
func (c *Control[P, C, S]) Broken() uint64 { return c.broken.Load() }

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
		c.broken.Add(1)
		c.Recorder.Record(recorder.EventInvariantBroken, reducer.Field{Name: "rule", Value: v.Rule}, reducer.Field{Name: "detail", Value: v.Detail})
	}
	c.busy.Add(int64(clocker.Now().Sub(now)))
	received, _ := event.(reducer.PeerReceived)
	answered := false
	for _, e := range effects {
		if !answered && answers(received, e) {
			answered = c.Replies.Deliver(received.ReplyID, e)
			continue
		}
		c.carryOut(ctx, e)
	}
	if received.ReplyID != "" && !answered {
		c.Replies.Deliver(received.ReplyID, reducer.SendPeer{})
	}
}

// latencyName returns the name under which the time of a request is counted.
func latencyName(e reducer.RecordLatency) string { return e.Kind + "/" + e.Service + "/" + e.Outcome }

// answers reports whether an effect is the envelope that goes back to the sender of the event, who waits for it.
func answers(received reducer.PeerReceived, effect reducer.Effect) bool {
	envelope, ok := effect.(reducer.SendPeer)
	return ok && received.ReplyID != "" && envelope.To == received.From
}

// carryOut hands an effect to the goroutine that waits for it or to the worker.
func (c *Control[P, C, S]) carryOut(ctx context.Context, effect reducer.Effect) {
	switch e := effect.(type) {
	case reducer.Refuse:
		c.Replies.Deliver(e.ID, e)
	case reducer.DeliverFailure:
		c.Replies.Deliver(e.ID, e)
	case reducer.Dispatch:
		c.Replies.Deliver(e.ID, e)
	case reducer.Cancel:
		c.Replies.Cancel(e.ID)
	case reducer.LocateResponse:
		c.Replies.Deliver(e.ReplyID, e)
	case reducer.UpdatesResponse:
		c.Replies.Deliver(e.ReplyID, e)
	case reducer.StatusResponse:
		c.Replies.Deliver(e.ReplyID, e)
	case reducer.LogEvent:
		c.Recorder.Record(e.Number, e.Fields...)
	case reducer.RecordLatency:
		c.Latencies.Record(latencyName(e), e.Took)
	case reducer.ApplyCallerLimits:
		c.callers.Store(&e.Limits)
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
