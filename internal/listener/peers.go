package listener

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"

	"connectrpc.com/connect"

	"github.com/redwingpick/redwingpick/internal/executor"
	"github.com/redwingpick/redwingpick/internal/messenger"
	"github.com/redwingpick/redwingpick/internal/reducer"
	"github.com/redwingpick/redwingpick/internal/selector"
	"github.com/redwingpick/redwingpick/internal/translator"
	peerv1 "github.com/redwingpick/redwingpick/internal/wire/redwingpick/peer/v1"
	"github.com/redwingpick/redwingpick/internal/wire/redwingpick/peer/v1/peerv1connect"
)

// Peers serves the other hosts. Its exported fields are set before Handler.
type Peers[P selector.Policy, C executor.Codec] struct {
	HostID      string
	Incarnation uint64
	Control     *executor.Control[P, C, *Sink]

	sequence atomic.Uint64
}

// Handler returns the HTTP handler for other hosts.
func (p *Peers[P, C]) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewPeerServiceHandler(p, messenger.HandlerOptions()))
	return mux
}

// Exchange passes an envelope to the reducer and returns the envelope that the reducer sends to the same host in response. It returns
// CodeUnavailable if the control goroutine does not respond in time.
func (p *Peers[P, C]) Exchange(ctx context.Context, req *connect.Request[peerv1.ExchangeRequest]) (*connect.Response[peerv1.ExchangeResponse], error) {
	event := translator.DecodeEnvelope(req.Msg)
	event.ReplyID = "peer-" + strconv.FormatUint(p.sequence.Add(1), 36)
	envelope, ok := postAndWait(ctx, p.Control, event.ReplyID, event).(reducer.SendPeer)
	if !ok {
		return nil, connect.NewError(connect.CodeUnavailable, nil)
	}
	resp := &peerv1.ExchangeResponse{}
	if len(envelope.Messages) > 0 {
		resp.Envelope = translator.EncodeEnvelope(p.HostID, p.Incarnation, envelope.Messages)
	}
	return connect.NewResponse(resp), nil
}

// Updates returns the documents that changed after the version in the request. It returns CodeUnavailable if the control goroutine does
// not respond in time.
func (p *Peers[P, C]) Updates(ctx context.Context, req *connect.Request[peerv1.UpdatesRequest]) (*connect.Response[peerv1.UpdatesResponse], error) {
	event := translator.DecodeUpdatesRequest("updates-"+strconv.FormatUint(p.sequence.Add(1), 36), req.Msg)
	resp, ok := postAndWait(ctx, p.Control, event.ReplyID, event).(reducer.UpdatesResponse)
	if !ok {
		return nil, connect.NewError(connect.CodeUnavailable, nil)
	}
	return connect.NewResponse(translator.EncodeUpdates(resp)), nil
}
