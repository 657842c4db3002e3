package dispatcher

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/zeromicro/go-zero/rest/httpc"

	"github.com/redwingpick/redwingpick/internal/reducer"
)

// CallService runs a request on a plain service and delivers its whole answer.
//
// Each call has a connection of its own, so that a call is never written to one that has been closed meanwhile.
func CallService(ctx context.Context, order reducer.Dispatch, call Call, deliver func(Chunk) error) Answer {
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := rawRequest(traced, "http://"+order.Address+"/v1/call/"+order.Service, call.Body, order.NotAfter)
	if err != nil {
		return Answer{Outcome: reducer.OutcomeNotRun, Reason: reducer.ReasonBackendFailed}
	}
	request.Close = true
	request.Header.Set(HeaderRequestID, order.ID)
	request.Header.Set(HeaderAccount, order.Account)
	response, err := httpc.DoRequest(request)
	if err != nil {
		return failedCall(ctx, err, connected.Load())
	}
	defer drainBody(response)
	return takeReply(response, order, deliver)
}

func failedCall(ctx context.Context, err error, connected bool) Answer {
	switch {
	case expired(err):
		return Answer{Outcome: reducer.OutcomeNotRun, Reason: reducer.ReasonNotOwner, Expired: true}
	case !connected:
		return Answer{Outcome: reducer.OutcomeNotRun, Reason: reducer.ReasonConnection}
	case ctx.Err() != nil:
		return Answer{Outcome: reducer.OutcomeUnknown, Reason: reasonOf(ctx)}
	}
	return Answer{Outcome: reducer.OutcomeUnknown, Reason: reducer.ReasonConnection}
}

// takeReply passes an answer on only if it names the request that was sent.
func takeReply(response *http.Response, order reducer.Dispatch, deliver func(Chunk) error) Answer {
	answer := Answer{Outcome: reducer.OutcomeUnknown, Reason: reducer.ReasonConnection, Incarnation: incarnationOf(response)}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReplySize))
	if err != nil {
		return answer
	}
	if response.Header.Get(HeaderRequestID) != order.ID {
		answer.Mismatched = 1
		return answer
	}
	if err := deliver(Chunk{Data: data, Status: response.StatusCode, ContentType: response.Header.Get("Content-Type")}); err != nil {
		answer.Reason = reducer.ReasonCancelled
		return answer
	}
	answer.Outcome = reducer.OutcomeDone
	answer.Reason = reducer.ReasonNone
	return answer
}
