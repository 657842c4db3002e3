package executor

import (
	"context"

	"github.com/redwingpick/redwingpick/internal/clocker"
	"github.com/redwingpick/redwingpick/internal/dispatcher"
	"github.com/redwingpick/redwingpick/internal/messenger"
	"github.com/redwingpick/redwingpick/internal/reducer"
	"github.com/redwingpick/redwingpick/internal/translator"
	"github.com/redwingpick/redwingpick/internal/watcher"
)

// Codec encodes the calls that a host makes to backend servers and the configuration service, and decodes the responses and documents.
type Codec interface { // type constraint
	dispatcher.Codec
	watcher.Codec
	translator.DocumentCodec
}

// Worker carries out the effects for which no request waits. Its exported fields are set before its first use.
type Worker[C Codec, S Sink] struct {
	Messenger *messenger.Client[C]
	Watcher   *watcher.Watcher[C]
	Backends  *dispatcher.Client[C, S]
	// Results receives the results of the effects; it is the mailbox of results that Control creates.
	Results chan<- reducer.Event
}

// Start starts an effect and returns without waiting for network I/O, since it runs on the control goroutine.
func (w *Worker[C, S]) Start(ctx context.Context, effect reducer.Effect) {
	switch e := effect.(type) {
	case reducer.SendPeer:
		w.Messenger.Send(ctx, e)
	case reducer.OrderAdapter:
		go w.sendOrder(ctx, e)
	case reducer.ReadReport:
		go func() { w.report(ctx, w.Backends.ReadReport(ctx, clocker.Now(), e)) }()
	case reducer.ProbeBackend:
		go func() { w.report(ctx, w.Backends.Probe(ctx, clocker.Now(), e)) }()
	case reducer.CloseConnections:
		w.Backends.CloseIdleConnections(e.Backend)
	case reducer.WatchConfigService:
		go func() { w.report(ctx, w.Watcher.Watch(ctx, clocker.Now(), e)) }()
	case reducer.ListConfigService:
		go func() { w.report(ctx, w.Watcher.List(ctx, clocker.Now(), e)) }()
	case reducer.ReadUpdates:
		go func() { w.report(ctx, w.Messenger.ReadUpdates(ctx, e)) }()
	}
}

func (w *Worker[C, S]) sendOrder(ctx context.Context, order reducer.OrderAdapter) {
	event, inTime := w.Backends.SendOrder(ctx, order)
	if !inTime {
		w.report(ctx, reducer.EffectExpired{Backend: order.Backend, Adapter: order.Adapter, Unload: order.Unload})
		return
	}
	w.report(ctx, event)
}

func (w *Worker[C, S]) report(ctx context.Context, event reducer.Event) {
	select {
	case w.Results <- event:
	case <-ctx.Done():
	}
}
