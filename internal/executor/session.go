package executor

import (
	"context"
	"time"

	"github.com/redwingpick/redwingpick/internal/clocker"
	"github.com/redwingpick/redwingpick/internal/dispatcher"
	"github.com/redwingpick/redwingpick/internal/reducer"
	"github.com/redwingpick/redwingpick/internal/selector"
	"github.com/redwingpick/redwingpick/internal/tracer"
	"go.opentelemetry.io/otel/attribute"
)

// Sink takes the answer of one request to its caller.
type Sink interface { // type constraint
	dispatcher.Sink
	// Refuse answers with a refusal, or breaks the answer off if it has begun.
	Refuse(refusal reducer.Refuse)
	// Abort breaks the answer off, so that it cannot be taken for a whole one.
	Abort()
}

// Session carries out the effects of one request; its exported fields are set before Run.
type Session[P selector.Policy, C Codec, S Sink] struct {
	Control *Control[P, C, S]
	Sink    S
	Arrived reducer.RequestArrived
	Call    dispatcher.Call

	held *dispatcher.Response
}

// Run posts the request and carries out what is decided until it has its answer or its caller is gone.
func (s *Session[P, C, S]) Run(ctx context.Context) {
	reply := s.Control.Replies.Register(ctx, s.Arrived.ID)
	defer s.Control.Replies.Forget(s.Arrived.ID, reply)
	if !s.Control.Post(s.Arrived) {
		s.Control.Shed(clocker.Now(), reducer.RequestShed{
			CallerID: s.Arrived.CallerID, Connection: s.Arrived.Connection, At: s.Arrived.At, Reason: reducer.ReasonMailboxFull,
		})
		s.Sink.Refuse(reducer.Refuse{ID: s.Arrived.ID, Reason: reducer.ReasonMailboxFull, RetryAfter: mailboxRetry})
		return
	}
	for {
		select {
		case effect := <-reply.Effects:
			if s.carryOut(ctx, reply, effect) {
				return
			}
		case <-ctx.Done():
			s.abandon(ctx)
			return
		}
	}
}

// abandon ends a request whose caller is gone.
func (s *Session[P, C, S]) abandon(ctx context.Context) {
	s.Sink.Abort()
	s.Control.Report(context.WithoutCancel(ctx), reducer.RequestAbandoned{ID: s.Arrived.ID})
}

// mailboxRetry is when a caller may come again that met a full mailbox.
const mailboxRetry = 300 * time.Millisecond

// carryOut carries out one effect and reports whether the request has ended.
func (s *Session[P, C, S]) carryOut(ctx context.Context, reply *Reply, effect reducer.Effect) (ended bool) {
	switch e := effect.(type) {
	case reducer.Refuse:
		s.Sink.Refuse(e)
		return true
	case reducer.DeliverFailure:
		if s.held != nil {
			_ = s.Sink.Whole(*s.held)
		}
		return true
	case reducer.Dispatch:
		return s.dispatch(ctx, reply, e)
	}
	return false
}

func (s *Session[P, C, S]) dispatch(ctx context.Context, reply *Reply, order reducer.Dispatch) (ended bool) {
	if ctx.Err() != nil {
		s.abandon(ctx)
		return true
	}
	start := clocker.Now()
	traced, span := tracer.Hop(reply.Context, "backend_server", attribute.String("backend_server", order.Backend),
		attribute.Int("attempt", order.Attempt))
	result := s.Control.Worker.Backends.Send(traced, s.Call, order, s.Sink, func(after time.Duration) {
		s.Control.Report(ctx, reducer.ResponseStarted{ID: order.ID, Attempt: order.Attempt, Latency: after})
	})
	span.SetAttributes(attribute.String("outcome", result.Outcome.String()))
	span.End()
	if result.Outcome != reducer.OutcomeDone && ctx.Err() != nil {
		// The caller ended the exchange by leaving, so that its outcome tells nothing of the backend server.
		s.abandon(ctx)
		return true
	}
	if result.Held != nil {
		s.held = result.Held
	}
	if result.Last != "" {
		s.Call.ResumeAfter = result.Last
	}
	s.Control.Report(context.WithoutCancel(ctx), reducer.DispatchEnded{
		ID: order.ID, Backend: order.Backend, Attempt: order.Attempt, Outcome: result.Outcome, Status: result.Status, Load: result.Load,
		Mismatched: result.Mismatched, Delivered: result.Delivered, Took: clocker.Now().Sub(start),
	})
	return result.Outcome == reducer.OutcomeDone
}
