package executor

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"github.com/redwingpick/redwingpick/internal/dispatcher"
	"github.com/redwingpick/redwingpick/internal/messenger"
	"github.com/redwingpick/redwingpick/internal/recorder"
	"github.com/redwingpick/redwingpick/internal/reducer"
	"github.com/redwingpick/redwingpick/internal/selector"
	"github.com/redwingpick/redwingpick/internal/tracer"
	peerv1 "github.com/redwingpick/redwingpick/internal/wire/redwingpick/peer/v1"
)

// Sink is the constraint on the types that take the answer of a request.
type Sink interface { // constraint
	// Started tells which backend server runs the request.
	Started(backend string, version uint32)
	// Chunk takes the next piece of the answer.
	Chunk(chunk dispatcher.Chunk) error
	// Ended says that the answer is whole.
	Ended(tokens int)
	// Refused says that the request ended without a whole answer.
	Refused(refusal reducer.Refuse)
}

// Session carries one request through the effects that the reducer decides for it.
type Session[P selector.Policy, S Sink] struct {
	Control   *Control[P]
	Messenger *messenger.Client
	Sink      S
	Arrived   reducer.RequestArrived
	Call      dispatcher.Call
}

// Run posts the request and follows its effects until the answer is whole or refused.
func (s *Session[P, S]) Run(ctx context.Context) {
	id := s.Arrived.ID
	reply := s.Control.Replies.Register(ctx, id)
	defer s.Control.Replies.Forget(id, reply)
	if !s.Control.Post(s.Arrived) {
		s.Control.Recorder.Record(recorder.EventMailboxFull)
		s.Sink.Refused(reducer.Refuse{ID: id, Outcome: reducer.OutcomeNotRun, Reason: reducer.ReasonOverloaded, RetryAfter: time.Second})
		return
	}
	gone := ctx.Done()
	for {
		select {
		case effect := <-reply.Effects:
			if ended := s.follow(ctx, reply, effect); ended {
				return
			}
		case <-gone:
			gone = nil
			s.Control.Report(context.WithoutCancel(ctx), reducer.RequestAbandoned{ID: id})
		}
	}
}

// follow carries out one effect and reports whether the request has ended.
func (s *Session[P, S]) follow(ctx context.Context, reply *Reply, effect reducer.Effect) bool {
	switch e := effect.(type) {
	case reducer.Refuse:
		s.Sink.Refused(e)
		return true
	case reducer.Dispatch:
		return s.dispatch(ctx, reply, e)
	case reducer.Forward:
		return s.forward(ctx, reply, e)
	}
	return false
}

func (s *Session[P, S]) started(order reducer.Forward) func(string) {
	return func(backend string) { s.Sink.Started(backend, order.Version) }
}

func (s *Session[P, S]) deliver(chunk dispatcher.Chunk) error {
	if err := s.Sink.Chunk(chunk); err != nil {
		return err
	}
	s.Call.Offset += chunk.Tokens
	if chunk.Tokens > 0 {
		s.Call.Prefix = append(s.Call.Prefix, chunk.Data...)
	}
	return nil
}

func (s *Session[P, S]) dispatch(ctx context.Context, reply *Reply, order reducer.Dispatch) bool {
	running, cancel := s.runContext(ctx, reply, order.Repeatable, order.Deadline)
	defer cancel()
	running, span := tracer.Hop(running, "backend_server", attribute.String("backend_server", order.Backend),
		attribute.String("adapter", order.Adapter.Name), attribute.Int("version", int(order.Adapter.Version)))
	s.Sink.Started(order.Backend, order.Adapter.Version)
	run := dispatcher.Generate
	if order.Service != "" {
		run = dispatcher.CallService
	}
	answer := run(running, order, s.Call, s.deliver)
	span.SetAttributes(attribute.String("outcome", answer.Outcome.String()), attribute.Int("tokens", answer.Tokens))
	span.End()
	if answer.Mismatched > 0 {
		s.Control.Recorder.Record(recorder.EventAnswerMismatched, reducer.Field{Name: "backend_server", Value: order.Backend})
	}
	if answer.Outcome == reducer.OutcomeDone {
		s.Sink.Ended(answer.Tokens)
	}
	s.Control.Report(context.WithoutCancel(ctx), s.dispatchEvent(reply, order, answer))
	return answer.Outcome == reducer.OutcomeDone
}

func (s *Session[P, S]) dispatchEvent(reply *Reply, order reducer.Dispatch, answer dispatcher.Answer) reducer.Event {
	if answer.Expired {
		return reducer.EffectExpired{Effect: order}
	}
	return reducer.DispatchEnded{
		ID: order.ID, Backend: order.Backend, BackendIncarnation: answer.Incarnation, Outcome: answer.Outcome,
		Reason: s.reason(reply, answer.Reason), Tokens: answer.Tokens, FirstTokenAfter: answer.FirstTokenAfter,
		Mismatched: answer.Mismatched,
	}
}

// reason prefers the reason for which the reducer cancelled the request.
func (s *Session[P, S]) reason(reply *Reply, reason reducer.Reason) reducer.Reason {
	cancelled := s.Control.Replies.Reason(reply)
	if reason == reducer.ReasonCancelled && cancelled != reducer.ReasonNone {
		return cancelled
	}
	return reason
}

func (s *Session[P, S]) forward(ctx context.Context, reply *Reply, order reducer.Forward) bool {
	running, cancel := s.runContext(ctx, reply, order.Repeatable, order.Deadline)
	defer cancel()
	running, span := tracer.Hop(running, "peer_host", attribute.String("peer_host", order.To))
	result := s.Messenger.Forward(running, order, s.runRequest(order), s.started(order), s.deliver)
	span.SetAttributes(attribute.String("outcome", result.Outcome.String()))
	span.End()
	result.Reason = s.reason(reply, result.Reason)
	if result.Outcome == reducer.OutcomeDone {
		s.Sink.Ended(result.Tokens)
	}
	s.Control.Report(context.WithoutCancel(ctx), result.Event(order))
	return result.Outcome == reducer.OutcomeDone
}

func (s *Session[P, S]) runRequest(order reducer.Forward) *peerv1.RunRequest {
	return &peerv1.RunRequest{
		Id:            s.Arrived.ID,
		From:          s.Messenger.HostID,
		Account:       order.Account,
		Model:         s.Arrived.Model,
		Service:       s.Arrived.Service,
		Version:       order.Version,
		BackendServer: order.Backend,
		Attempt:       uint32(order.Attempt),
		PromptTokens:  uint32(s.Call.PromptTokens),
		MaxTokens:     uint32(s.Call.MaxTokens),
		RemainingMs:   uint64(max(time.Until(order.Deadline).Milliseconds(), 1)),
		Body:          s.body(),
		Offset:        uint64(s.Call.Offset),
		Prefix:        s.Call.Prefix,
	}
}

func (s *Session[P, S]) body() []byte {
	if s.Arrived.Service != "" {
		return s.Call.Body
	}
	return []byte(s.Call.Prompt)
}

// runContext ends with the caller and the reducer's cancel, but a call that may not be repeated runs to its deadline.
func (s *Session[P, S]) runContext(ctx context.Context, reply *Reply, repeatable bool, deadline time.Time) (context.Context, context.CancelFunc) {
	if !repeatable {
		return context.WithDeadline(context.WithoutCancel(ctx), deadline)
	}
	return context.WithDeadline(reply.Context, deadline)
}
