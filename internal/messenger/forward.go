package messenger

import (
	"context"
	"errors"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"github.com/redwingpick/redwingpick/internal/dispatcher"
	"github.com/redwingpick/redwingpick/internal/reducer"
	"github.com/redwingpick/redwingpick/internal/tracer"
	"github.com/redwingpick/redwingpick/internal/waiter"
	peerv1 "github.com/redwingpick/redwingpick/internal/wire/redwingpick/peer/v1"
)

const (
	// silentAfter is how long a peer's answer may stay without a frame before it is continued on a new connection.
	silentAfter = 1200 * time.Millisecond
	// attachTries is the number of new connections in a row that may fail to continue an answer.
	attachTries = 3
	// attachDelay is the pause before an answer is continued again.
	attachDelay = 100 * time.Millisecond
)

// Result tells how a forwarded request ended.
type Result struct {
	Outcome  reducer.Outcome
	Reason   reducer.Reason
	Holder   string
	Replicas int
	Tokens   int
}

// Event returns the event for the reducer.
func (r Result) Event(order reducer.Forward) reducer.ForwardEnded {
	return reducer.ForwardEnded{
		ID: order.ID, To: order.To, Outcome: r.Outcome, Reason: r.Reason, Holder: r.Holder, Replicas: r.Replicas, Tokens: r.Tokens,
	}
}

// Forward sends a request to the host that owns the backend server and delivers its answer in order.
func (c *Client) Forward(ctx context.Context, order reducer.Forward, request *peerv1.RunRequest, started func(string), deliver func(dispatcher.Chunk) error) Result {
	f := &forwarding{client: c, order: order, started: started, deliver: deliver}
	f.result.Tokens = int(request.GetOffset())
	f.run(ctx, request)
	for try := 0; f.broken && try < attachTries; try++ {
		if !waiter.Wait(ctx, attachDelay<<try) {
			break
		}
		before := f.frames
		f.attach(ctx, request.GetId())
		if f.frames > before {
			try = 0
		}
	}
	if f.result.Outcome == 0 {
		f.result.Outcome = reducer.OutcomeUnknown
		f.result.Reason = reducer.ReasonConnection
	}
	if ctx.Err() != nil && f.result.Outcome == reducer.OutcomeUnknown {
		f.result.Reason = reducer.ReasonCancelled
	}
	return f.result
}

type forwarding struct {
	client  *Client
	order   reducer.Forward
	started func(string)
	deliver func(dispatcher.Chunk) error
	result  Result
	// frames is the number of chunks taken, which is the offset at which the answer is continued.
	frames uint64
	broken bool
}

func (f *forwarding) run(parent context.Context, request *peerv1.RunRequest) {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	silence := time.AfterFunc(silentAfter, cancel)
	defer silence.Stop()
	call := connect.NewRequest(request)
	tracer.Inject(ctx, call.Header())
	stream, err := f.client.peer(f.order.Address).Run(ctx, call)
	if err != nil {
		if !connected.Load() {
			f.result.Outcome = reducer.OutcomeNotRun
			f.result.Reason = reducer.ReasonConnection
			return
		}
		f.broken = true
		return
	}
	f.read(stream, silence)
}

func (f *forwarding) attach(parent context.Context, id string) {
	f.broken = false
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	silence := time.AfterFunc(silentAfter, cancel)
	defer silence.Stop()
	request := connect.NewRequest(&peerv1.AttachRequest{Id: id, Offset: f.frames, From: f.client.HostID})
	stream, err := f.client.freshPeer(f.order.Address).Attach(ctx, request)
	if err != nil {
		f.broken = true
		return
	}
	f.read(stream, silence)
}

func (f *forwarding) read(stream *connect.ServerStreamForClient[peerv1.RunResponse], silence *time.Timer) {
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		silence.Reset(silentAfter)
		if ended := f.take(stream.Msg()); ended {
			return
		}
	}
	var refused *connect.Error
	if errors.As(stream.Err(), &refused) && refused.Code() == connect.CodeNotFound {
		f.result.Outcome = reducer.OutcomeUnknown
		f.result.Reason = reducer.ReasonConnection
		return
	}
	f.broken = true
}

// take follows one frame and reports whether it was the last.
func (f *forwarding) take(frame *peerv1.RunResponse) bool {
	switch k := frame.GetFrame().(type) {
	case *peerv1.RunResponse_Started:
		f.result.Replicas = int(k.Started.GetReplicas())
		f.started(k.Started.GetBackendServer())
	case *peerv1.RunResponse_Chunk:
		return f.takeChunk(k.Chunk)
	case *peerv1.RunResponse_Refused:
		f.result.Outcome = outcomeOf(k.Refused.GetOutcome())
		f.result.Reason = reducer.ReasonOf(k.Refused.GetReason())
		f.result.Holder = k.Refused.GetHolder()
		f.result.Replicas = int(k.Refused.GetReplicas())
		return true
	case *peerv1.RunResponse_Ended:
		f.result.Outcome = reducer.OutcomeDone
		f.result.Tokens = int(k.Ended.GetTokens())
		return true
	}
	return false
}

func (f *forwarding) takeChunk(chunk *peerv1.Chunk) bool {
	if chunk.GetOffset() != f.frames {
		return false
	}
	f.frames++
	f.result.Tokens += int(chunk.GetTokens())
	err := f.deliver(dispatcher.Chunk{
		Offset: f.result.Tokens - int(chunk.GetTokens()), Tokens: int(chunk.GetTokens()), Data: chunk.GetData(),
		Status: int(chunk.GetStatus()), ContentType: chunk.GetContentType(),
	})
	if err != nil {
		f.result.Outcome = reducer.OutcomeUnknown
		f.result.Reason = reducer.ReasonCancelled
		return true
	}
	return false
}

func outcomeOf(text string) reducer.Outcome {
	for _, o := range []reducer.Outcome{reducer.OutcomeDone, reducer.OutcomeNotRun, reducer.OutcomeUnknown} {
		if o.String() == text {
			return o
		}
	}
	return reducer.OutcomeUnknown
}
