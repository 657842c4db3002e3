package dispatcher

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/zeromicro/go-zero/rest/httpc"

	"github.com/redwingpick/redwingpick/internal/reducer"
	"github.com/redwingpick/redwingpick/internal/waiter"
)

const (
	// silentAfter is how long an engine's stream may stay without a byte before it is continued on a new connection.
	silentAfter = 1500 * time.Millisecond
	// resumeTries is the number of new connections in a row that may fail to continue a stream.
	resumeTries = 4
	// resumeDelay is the pause before a stream is continued again.
	resumeDelay = 100 * time.Millisecond
	// cancelTimeout bounds the order that stops a sequence.
	cancelTimeout = time.Second
)

// Call is the part of a request that the backend server needs and the decisions do not.
type Call struct {
	Prompt       string
	PromptTokens int
	MaxTokens    int
	Body         []byte
	// Offset and Prefix are the tokens and the text that the caller already has.
	Offset int
	Prefix []byte
}

// Chunk is a piece of an answer.
type Chunk struct {
	Offset int
	Tokens int
	Data   []byte
	// Status and ContentType are set on the answer of a plain service.
	Status      int
	ContentType string
}

// Answer tells how an exchange with a backend server ended.
type Answer struct {
	Outcome         reducer.Outcome
	Reason          reducer.Reason
	Expired         bool
	Tokens          int
	FirstTokenAfter time.Duration
	Incarnation     uint64
	Mismatched      int
}

// Generate runs a request on an engine and delivers its tokens in order, each of them once.
func Generate(ctx context.Context, order reducer.Dispatch, call Call, deliver func(Chunk) error) Answer {
	g := &generation{order: order, call: call, deliver: deliver, started: time.Now()}
	g.answer.Tokens = call.Offset
	g.first(ctx)
	for try := 0; g.broken && try < resumeTries; try++ {
		if !waiter.Wait(ctx, resumeDelay<<try) {
			break
		}
		before := g.answer.Tokens
		g.resume(ctx)
		if g.answer.Tokens > before {
			try = 0
		}
	}
	if g.answer.Outcome == 0 {
		g.answer.Outcome = reducer.OutcomeUnknown
		g.answer.Reason = reducer.ReasonConnection
	}
	if ctx.Err() != nil && g.answer.Outcome == reducer.OutcomeUnknown {
		g.answer.Reason = reasonOf(ctx)
		g.stop()
	}
	return g.answer
}

// generation is one request on one engine, over as many connections as it takes.
type generation struct {
	order   reducer.Dispatch
	call    Call
	deliver func(Chunk) error
	started time.Time
	answer  Answer
	// broken is set while the stream may be continued on a new connection.
	broken bool
}

func (g *generation) first(ctx context.Context) {
	body := GenerateRequest{
		ID:           g.order.ID,
		Adapter:      g.order.Adapter.Name,
		Version:      g.order.Adapter.Version,
		Prompt:       g.call.Prompt,
		PromptTokens: g.call.PromptTokens,
		MaxTokens:    g.call.MaxTokens,
		Priority:     g.order.Priority,
		Offset:       g.call.Offset,
		Prefix:       string(g.call.Prefix),
	}
	g.exchange(ctx, func(ctx context.Context) (*http.Request, error) {
		request, err := newRequest(ctx, "http://"+g.order.Address+"/v1/generate", body, g.order.NotAfter)
		if err == nil {
			request.Header.Set(HeaderFence, strconv.FormatUint(g.order.Fence, 10))
			request.Header.Set(HeaderAccount, g.order.Account)
		}
		return request, err
	})
}

func (g *generation) resume(ctx context.Context) {
	g.broken = false
	url := fmt.Sprintf("http://%s/v1/generate/%s?offset=%d", g.order.Address, g.order.ID, g.answer.Tokens)
	g.exchange(ctx, func(ctx context.Context) (*http.Request, error) {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err == nil {
			request.Close = true
		}
		return request, err
	})
}

// exchange sends one request and reads its stream until it ends, breaks or stays silent for too long.
func (g *generation) exchange(parent context.Context, build func(context.Context) (*http.Request, error)) {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := build(ctx)
	if err != nil {
		g.refuse(reducer.OutcomeNotRun, reducer.ReasonBackendFailed)
		return
	}
	silence := time.AfterFunc(silentAfter, cancel)
	defer silence.Stop()
	response, err := httpc.DoRequest(request)
	if err != nil {
		g.failed(err, connected.Load(), request.Method == http.MethodPost)
		return
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		g.status(response.StatusCode, request.Method == http.MethodPost)
		return
	}
	g.answer.Incarnation = incarnationOf(response)
	g.read(response, silence)
}

// failed follows an exchange without an answer; a first one that never had a connection has certainly not run.
func (g *generation) failed(err error, connected, first bool) {
	switch {
	case first && expired(err):
		g.answer.Expired = true
		g.refuse(reducer.OutcomeNotRun, reducer.ReasonNotOwner)
	case first && !connected:
		g.refuse(reducer.OutcomeNotRun, reducer.ReasonConnection)
	default:
		g.broken = true
	}
}

func (g *generation) status(status int, first bool) {
	if !first {
		g.refuse(reducer.OutcomeUnknown, reducer.ReasonBackendFailed)
		return
	}
	switch status {
	case http.StatusNotFound:
		g.refuse(reducer.OutcomeNotRun, reducer.ReasonNotLoaded)
	case http.StatusConflict:
		g.refuse(reducer.OutcomeNotRun, reducer.ReasonNotOwner)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		g.refuse(reducer.OutcomeNotRun, reducer.ReasonOverloaded)
	default:
		g.refuse(reducer.OutcomeUnknown, reducer.ReasonBackendFailed)
	}
}

func (g *generation) refuse(outcome reducer.Outcome, reason reducer.Reason) {
	g.answer.Outcome = outcome
	g.answer.Reason = reason
}

func (g *generation) read(response *http.Response, silence *time.Timer) {
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, maxReplySize)
	for lines.Scan() {
		silence.Reset(silentAfter)
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		var event GenerateEvent
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			break
		}
		if ended := g.take(event); ended {
			return
		}
	}
	g.broken = true
}

// take delivers one event if it belongs to this request and comes next, and reports whether the answer is whole.
func (g *generation) take(event GenerateEvent) bool {
	own := event.ID == g.order.ID && event.Adapter == g.order.Adapter.Name && event.Version == g.order.Adapter.Version
	if !own {
		g.answer.Mismatched++
		return false
	}
	if event.Done {
		g.answer.Outcome = reducer.OutcomeDone
		return true
	}
	if event.Offset != g.answer.Tokens {
		return false
	}
	if g.answer.FirstTokenAfter == 0 {
		g.answer.FirstTokenAfter = time.Since(g.started)
	}
	err := g.deliver(Chunk{Offset: event.Offset, Tokens: 1, Data: []byte(event.Text)})
	g.answer.Tokens++
	if err != nil {
		g.refuse(reducer.OutcomeUnknown, reducer.ReasonCancelled)
		g.stop()
		return true
	}
	return false
}

// stop tells the engine that nobody waits for the sequence any more.
func (g *generation) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+g.order.Address+"/v1/generate/"+g.order.ID, nil)
	if err != nil {
		return
	}
	if response, err := httpc.DoRequest(request); err == nil {
		drainBody(response)
	}
}

func reasonOf(ctx context.Context) reducer.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return reducer.ReasonDeadline
	}
	return reducer.ReasonCancelled
}
