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

// Sink delivers the response of one request to its caller.
type Sink interface { // type constraint
	dispatcher.Sink
	// Refuse sends a refusal, or aborts the response if it has started.
	Refuse(refusal reducer.Refuse)
	// Abort makes the response end in a way that the caller cannot mistake for its regular end.
	Abort()
}

// Session carries out the effects of one request. Its exported fields are set before Run.
type Session[P selector.Policy, C Codec, S Sink] struct {
	Control *Control[P, C, S]
	Sink    S
	Request reducer.RequestArrived
	Call    dispatcher.Call

	// failureResponse is the last response of a backend server that reported a failure.
	failureResponse *dispatcher.Response
}

// Run posts the request and carries out its effects until its response has ended or its caller has disconnected.
func (s *Session[P, C, S]) Run(ctx context.Context) {
	waiter := s.Control.Waiters.Register(ctx, s.Request.ID)
	defer s.Control.Waiters.Unregister(s.Request.ID, waiter)
	if !s.Control.Post(s.Request) {
		s.Control.Shed(clocker.Now(), reducer.RequestShed{
			CallerID: s.Request.CallerID, Connection: s.Request.Connection, At: s.Request.At, Reason: reducer.ReasonMailboxFull,
		})
		s.Sink.Refuse(reducer.Refuse{ID: s.Request.ID, Reason: reducer.ReasonMailboxFull, RetryAfter: mailboxFullRetryAfter})
		return
	}
	for {
		select {
		case effect := <-waiter.Effects:
			if s.execute(ctx, waiter, effect) {
				return
			}
		case <-ctx.Done():
			s.abandon(ctx)
			return
		}
	}
}

// abandon ends a request whose caller has disconnected.
func (s *Session[P, C, S]) abandon(ctx context.Context) {
	s.Sink.Abort()
	s.Control.Report(context.WithoutCancel(ctx), reducer.RequestAbandoned{ID: s.Request.ID})
}

// mailboxFullRetryAfter is the retry delay sent to a caller whose request found the mailbox full.
const mailboxFullRetryAfter = 300 * time.Millisecond

// execute carries out one effect and reports whether the request has ended.
func (s *Session[P, C, S]) execute(ctx context.Context, waiter *Waiter, effect reducer.Effect) (ended bool) {
	switch e := effect.(type) {
	case reducer.Refuse:
		s.Sink.Refuse(e)
		return true
	case reducer.DeliverFailure:
		if s.failureResponse == nil {
			s.Sink.Abort()
			return true
		}
		_ = s.Sink.WriteResponse(*s.failureResponse)
		return true
	case reducer.Dispatch:
		return s.dispatch(ctx, waiter, e)
	}
	return false
}

// dispatch sends the request to one backend server and reports whether the request has ended.
func (s *Session[P, C, S]) dispatch(ctx context.Context, waiter *Waiter, dispatch reducer.Dispatch) (ended bool) {
	if ctx.Err() != nil {
		s.abandon(ctx)
		return true
	}
	start := clocker.Now()
	spanCtx, span := tracer.StartSpan(waiter.Context, "backend_server", attribute.String("backend_server", dispatch.Backend),
		attribute.Int("attempt", dispatch.Attempt))
	attemptCtx, end := context.WithCancelCause(spanCtx)
	defer end(nil)
	s.Control.Waiters.BeginAttempt(waiter, dispatch.Attempt, end)
	result := s.Control.Worker.Backends.Send(attemptCtx, s.Call, dispatch, s.Sink, dispatcher.Hooks{
		OnStart: func(start dispatcher.Start) {
			s.Control.Report(ctx, reducer.ResponseStarted{
				ID: dispatch.ID, Attempt: dispatch.Attempt, Latency: start.After, Load: start.Load, Notice: start.Notice,
			})
		},
		OnStall: func() { s.Control.Report(ctx, reducer.AttemptStalled{ID: dispatch.ID, Attempt: dispatch.Attempt}) },
	})
	span.SetAttributes(attribute.String("outcome", result.Outcome.String()))
	span.End()
	if result.Outcome != reducer.OutcomeDone && ctx.Err() != nil {
		// The caller disconnected, which canceled the exchange: its outcome says nothing about the backend server.
		s.abandon(ctx)
		return true
	}
	if result.FailureResponse != nil {
		s.failureResponse = result.FailureResponse
	}
	s.Call.Continues = s.Call.Continues || result.Delivered
	if result.LastEventID != "" {
		s.Call.ResumeAfter = result.LastEventID
	}
	s.Control.Report(context.WithoutCancel(ctx), reducer.DispatchEnded{
		ID: dispatch.ID, Backend: dispatch.Backend, Attempt: dispatch.Attempt, Outcome: result.Outcome, Status: result.Status, Load: result.Load,
		Notice: result.Notice, Mismatched: result.Mismatched, Delivered: result.Delivered, Disconnected: result.Disconnected, Events: result.Events,
		LongestGap: result.LongestGap, TypicalGap: result.TypicalGap,
		Took: clocker.Now().Sub(start),
	})
	return result.Outcome == reducer.OutcomeDone
}
