package listener

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"github.com/redwingpick/redwingpick/internal/dispatcher"
	"github.com/redwingpick/redwingpick/internal/executor"
	"github.com/redwingpick/redwingpick/internal/messenger"
	"github.com/redwingpick/redwingpick/internal/reducer"
	"github.com/redwingpick/redwingpick/internal/selector"
	"github.com/redwingpick/redwingpick/internal/tracer"
	"github.com/redwingpick/redwingpick/internal/translator"
	peerv1 "github.com/redwingpick/redwingpick/internal/wire/redwingpick/peer/v1"
	"github.com/redwingpick/redwingpick/internal/wire/redwingpick/peer/v1/peerv1connect"
)

const (
	// aliveEvery is how often an answer without news shows a sign of life.
	aliveEvery = 300 * time.Millisecond
	// detachedFor is how long a running request outlives the last connection that read its answer.
	detachedFor = 3 * time.Second
	// replaceWait bounds the wait for an earlier run of the same request to end.
	replaceWait = 2 * time.Second
	// keptFor is how long a whole answer can still be read.
	keptFor = 10 * time.Second
)

// Peers serves the other hosts; its exported fields are set before Handler.
type Peers[P selector.Policy] struct {
	HostID    string
	Control   *executor.Control[P]
	Messenger *messenger.Client

	sequence atomic.Uint64
	mutex    sync.Mutex
	answers  map[string]*answer
}

// Handler returns the HTTP handler of the peer service.
func (p *Peers[P]) Handler() http.Handler {
	p.answers = map[string]*answer{}
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewPeerServiceHandler(p, messenger.HandlerOptions()))
	return mux
}

// Exchange takes an envelope of control messages and returns the one that answers it, if there is any.
func (p *Peers[P]) Exchange(ctx context.Context, request *connect.Request[peerv1.ExchangeRequest]) (*connect.Response[peerv1.ExchangeResponse], error) {
	event := translator.Received(request.Msg)
	event.ReplyID = fmt.Sprintf("exchange-%d", p.sequence.Add(1))
	reply := p.Control.Replies.Register(ctx, event.ReplyID)
	defer p.Control.Replies.Forget(event.ReplyID, reply)
	p.Control.Report(ctx, event)
	select {
	case effect := <-reply.Effects:
		return connect.NewResponse(p.answerTo(effect)), nil
	case <-ctx.Done():
		return nil, connect.NewError(connect.CodeDeadlineExceeded, ctx.Err())
	}
}

func (p *Peers[P]) answerTo(effect reducer.Effect) *peerv1.ExchangeResponse {
	envelope, ok := effect.(reducer.SendPeer)
	if !ok || envelope.To == "" {
		return &peerv1.ExchangeResponse{}
	}
	return &peerv1.ExchangeResponse{Envelope: translator.Envelope(p.HostID, p.Messenger.Incarnation, envelope)}
}

// Updates answers with the shards that the caller lacks.
func (p *Peers[P]) Updates(ctx context.Context, request *connect.Request[peerv1.UpdatesRequest]) (*connect.Response[peerv1.UpdatesResponse], error) {
	id := fmt.Sprintf("updates-%d", p.sequence.Add(1))
	reply := p.Control.Replies.Register(ctx, id)
	defer p.Control.Replies.Forget(id, reply)
	p.Control.Report(ctx, reducer.UpdatesAsked{ReplyID: id, Have: request.Msg.GetHave()})
	select {
	case effect := <-reply.Effects:
		updates, _ := effect.(reducer.UpdatesAnswer)
		response, err := translator.Updates(p.HostID, updates)
		if err != nil {
			return nil, connect.NewError(connect.CodeInternal, err)
		}
		return connect.NewResponse(response), nil
	case <-ctx.Done():
		return nil, connect.NewError(connect.CodeDeadlineExceeded, ctx.Err())
	}
}

// Run runs a request that another host has admitted and streams its answer.
func (p *Peers[P]) Run(ctx context.Context, request *connect.Request[peerv1.RunRequest], stream *connect.ServerStream[peerv1.RunResponse]) error {
	message := request.Msg
	p.replace(message.GetId())
	a := &answer{changed: make(chan struct{})}
	running, cancel := context.WithCancel(tracer.Extract(context.WithoutCancel(ctx), request.Header()))
	a.cancel = cancel
	p.mutex.Lock()
	p.answers[message.GetId()] = a
	p.mutex.Unlock()
	go p.run(running, message, a)
	return a.copyTo(ctx, stream, 0)
}

// Attach continues the answer of a request on a new connection.
func (p *Peers[P]) Attach(ctx context.Context, request *connect.Request[peerv1.AttachRequest], stream *connect.ServerStream[peerv1.RunResponse]) error {
	p.mutex.Lock()
	a, ok := p.answers[request.Msg.GetId()]
	p.mutex.Unlock()
	if !ok {
		return connect.NewError(connect.CodeNotFound, fmt.Errorf("no request %s", request.Msg.GetId()))
	}
	return a.copyTo(ctx, stream, request.Msg.GetOffset())
}

// replace ends an earlier run of the same request, of which the sender has lost the answer.
func (p *Peers[P]) replace(id string) {
	p.mutex.Lock()
	former, ok := p.answers[id]
	p.mutex.Unlock()
	if !ok {
		return
	}
	former.cancel()
	former.waitEnd(replaceWait)
}

func (p *Peers[P]) run(ctx context.Context, message *peerv1.RunRequest, a *answer) {
	defer a.cancel()
	session := executor.Session[P, *answer]{
		Control:   p.Control,
		Messenger: p.Messenger,
		Sink:      a,
		Arrived: reducer.RequestArrived{
			ID: message.GetId(), Model: message.GetModel(), Service: message.GetService(),
			PromptTokens: int(message.GetPromptTokens()), MaxTokens: int(message.GetMaxTokens()),
			Deadline:  time.Now().Add(time.Duration(message.GetRemainingMs()) * time.Millisecond),
			Forwarded: true, From: message.GetFrom(), Account: message.GetAccount(), Version: message.GetVersion(),
			Backend: message.GetBackendServer(), Attempt: int(message.GetAttempt()),
		},
		Call: callOf(message),
	}
	session.Run(ctx)
	time.AfterFunc(keptFor, func() { p.forget(message.GetId(), a) })
}

func callOf(message *peerv1.RunRequest) dispatcher.Call {
	call := dispatcher.Call{
		PromptTokens: int(message.GetPromptTokens()), MaxTokens: int(message.GetMaxTokens()),
		Offset: int(message.GetOffset()), Prefix: message.GetPrefix(),
	}
	if message.GetService() != "" {
		call.Body = message.GetBody()
	} else {
		call.Prompt = string(message.GetBody())
	}
	return call
}

func (p *Peers[P]) forget(id string, a *answer) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.answers[id] == a {
		delete(p.answers, id)
	}
}
