package executor

import (
	"context"

	"github.com/redwingpick/redwingpick/internal/dispatcher"
	"github.com/redwingpick/redwingpick/internal/messenger"
	"github.com/redwingpick/redwingpick/internal/reducer"
	"github.com/redwingpick/redwingpick/internal/watcher"
)

// Worker carries out the effects for which no request waits; its exported fields are set before its first use.
type Worker struct {
	Messenger *messenger.Client
	Watcher   *watcher.Watcher
	Results   chan<- reducer.Event
}

// Start carries out an effect without holding up the control goroutine.
func (w *Worker) Start(ctx context.Context, effect reducer.Effect) {
	switch e := effect.(type) {
	case reducer.SendPeer:
		w.Messenger.Send(ctx, e)
	case reducer.LoadAdapter:
		go w.load(ctx, e)
	case reducer.PollBackend:
		go func() { w.report(ctx, dispatcher.ReadState(ctx, e)) }()
	case reducer.WatchPlatform:
		go func() { w.report(ctx, w.Watcher.Watch(ctx, e)) }()
	case reducer.ReadShard:
		go func() { w.report(ctx, w.Watcher.Read(ctx, e)) }()
	case reducer.ReadUpdates:
		go func() { w.report(ctx, w.Messenger.ReadUpdates(ctx, e)) }()
	}
}

func (w *Worker) load(ctx context.Context, order reducer.LoadAdapter) {
	event, inTime := dispatcher.Load(ctx, order)
	if !inTime {
		w.report(ctx, reducer.EffectExpired{Effect: order})
		return
	}
	w.report(ctx, event)
}

func (w *Worker) report(ctx context.Context, event reducer.Event) {
	select {
	case w.Results <- event:
	case <-ctx.Done():
	}
}
