package executor

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/redwingpick/redwingpick/internal/asserter"
	"github.com/redwingpick/redwingpick/internal/recorder"
	"github.com/redwingpick/redwingpick/internal/reducer"
	"github.com/redwingpick/redwingpick/internal/selector"
)

// Times between two ticks of the control goroutine, while requests are under way and while none is.
const (
	TickEvery     = 50 * time.Millisecond
	IdleTickEvery = 200 * time.Millisecond
)

// Control owns the state of the host; its exported fields are set before Run.
type Control[P selector.Policy] struct {
	State       *reducer.State
	Worker      *Worker
	Recorder    *recorder.Recorder
	Replies     *Replies
	MailboxSize int

	arrivals chan reducer.Event
	results  chan reducer.Event
	busy     atomic.Int64
	ready    atomic.Bool
	drained  chan struct{}
	counters atomic.Pointer[reducer.Counters]
	broken   atomic.Uint64
}

// SetUp makes the mailboxes; it is called once, before Run and before any event is posted.
func (c *Control[P]) SetUp() {
	c.arrivals = make(chan reducer.Event, c.MailboxSize)
	c.results = make(chan reducer.Event, c.MailboxSize)
	c.drained = make(chan struct{})
	c.counters.Store(&reducer.Counters{})
	c.Worker.Results = c.results
	c.Worker.Messenger.Results = c.results
}

// Run reduces events until the context ends; it is the only goroutine that touches the state.
func (c *Control[P]) Run(ctx context.Context) {
	timer := time.NewTimer(TickEvery)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			c.reduce(ctx, reducer.Tick{})
			c.publish()
			timer.Reset(c.untilTick())
		case event := <-c.results:
			c.reduce(ctx, event)
		case event := <-c.arrivals:
			c.reduce(ctx, event)
		}
	}
}

// untilTick returns the time to the next tick, which is longer while no request is under way.
func (c *Control[P]) untilTick() time.Duration {
	if len(c.State.Requests) == 0 && c.State.Ready {
		return IdleTickEvery
	}
	return TickEvery
}

// Post offers a new request to the control goroutine and reports false when its mailbox is full.
func (c *Control[P]) Post(event reducer.Event) bool {
	select {
	case c.arrivals <- event:
		return true
	default:
		return false
	}
}

// Report delivers the outcome of an effect; it waits while the mailbox is full.
func (c *Control[P]) Report(ctx context.Context, event reducer.Event) {
	select {
	case c.results <- event:
	case <-ctx.Done():
	}
}

// Ready reports whether the host may be sent new requests.
func (c *Control[P]) Ready() bool { return c.ready.Load() }

// Drained is closed when a leaving host has no request left.
func (c *Control[P]) Drained() <-chan struct{} { return c.drained }

// Busy returns the time that the control goroutine has spent reducing.
func (c *Control[P]) Busy() time.Duration { return time.Duration(c.busy.Load()) }

// Counters returns the reducer's counters as of the last tick.
func (c *Control[P]) Counters() reducer.Counters { return *c.counters.Load() }

// Broken returns how many invariants have been found broken.
func (c *Control[P]) Broken() uint64 { return c.broken.Load() }

func (c *Control[P]) publish() {
	counters := c.State.Counters
	c.counters.Store(&counters)
}

func (c *Control[P]) reduce(ctx context.Context, event reducer.Event) {
	now := time.Now()
	effects := reducer.Reduce[P](c.State, now, event)
	for _, v := range asserter.Check(c.State, now, effects) {
		c.broken.Add(1)
		c.Recorder.Record(recorder.EventInvariantBroken, reducer.Field{Name: "rule", Value: v.Rule}, reducer.Field{Name: "detail", Value: v.Detail})
	}
	c.busy.Add(int64(time.Since(now)))
	answered := false
	received, _ := event.(reducer.PeerReceived)
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

// answers reports whether an effect is the envelope that goes back to the sender of the event, who waits for it.
func answers(received reducer.PeerReceived, effect reducer.Effect) bool {
	envelope, ok := effect.(reducer.SendPeer)
	return ok && received.ReplyID != "" && envelope.To == received.From
}

// carryOut hands an effect to the goroutine that waits for it or to the worker.
func (c *Control[P]) carryOut(ctx context.Context, effect reducer.Effect) {
	switch e := effect.(type) {
	case reducer.Refuse:
		c.Replies.Deliver(e.ID, e)
	case reducer.Forward:
		c.Replies.Deliver(e.ID, e)
	case reducer.Dispatch:
		c.Replies.Deliver(e.ID, e)
	case reducer.Cancel:
		c.Replies.Cancel(e.ID, e.Reason)
	case reducer.LocateAnswer:
		c.Replies.Deliver(e.ReplyID, e)
	case reducer.PermitIssued:
		c.Replies.Deliver(e.ReplyID, e)
	case reducer.UpdatesAnswer:
		c.Replies.Deliver(e.ReplyID, e)
	case reducer.StatusAnswer:
		c.Replies.Deliver(e.ReplyID, e)
	case reducer.Note:
		c.Recorder.Record(e.Number, e.Fields...)
	case reducer.Ready:
		c.ready.Store(e.Ready)
	case reducer.Drained:
		close(c.drained)
	default:
		c.Worker.Start(ctx, effect)
	}
}
