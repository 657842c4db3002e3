package listener

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"github.com/redwingpick/redwingpick/internal/budgeter"
	"github.com/redwingpick/redwingpick/internal/clocker"
	"github.com/redwingpick/redwingpick/internal/dispatcher"
	"github.com/redwingpick/redwingpick/internal/executor"
	"github.com/redwingpick/redwingpick/internal/hasher"
	"github.com/redwingpick/redwingpick/internal/reducer"
	"github.com/redwingpick/redwingpick/internal/selector"
	"github.com/redwingpick/redwingpick/internal/tracer"
)

// controlTimeout is how long a handler waits for a response of the control goroutine.
const controlTimeout = time.Second

// callerMemoryRetryAfter is the retry delay sent to a caller for whose request there was no memory.
const callerMemoryRetryAfter = 500 * time.Millisecond

// CallerCodec decodes the requests of callers and encodes the responses to them.
type CallerCodec interface { // type constraint
	// DecodeRequest decodes a request without its body, which is read later. It reports ok as false if the request lacks a required field.
	DecodeRequest(r *http.Request) (event reducer.RequestArrived, call dispatcher.Call, ok bool)
	// DirectoryPath returns the URL path of the directory.
	DirectoryPath() string
	// DecodeDirectoryRequest decodes a request to the directory.
	DecodeDirectoryRequest(r *http.Request) reducer.LocateRequested
	// EncodeDirectoryResponse encodes a response of the directory as JSON.
	EncodeDirectoryResponse(resp reducer.LocateResponse) []byte
	// ReadinessPath returns the URL path of the readiness check.
	ReadinessPath() string
}

// Callers serves the callers of one host. Its exported fields are set before Start.
type Callers[P selector.Policy, C executor.Codec, F CallerCodec] struct {
	Address string
	Control *executor.Control[P, C, *Sink]
	Codec   F
	// Guard bounds what callers make the host hold.
	Guard *Guard

	// sequence numbers the requests, which makes their ids unique within the process.
	sequence atomic.Uint64
	// running counts the requests in progress.
	running atomic.Int64
	server  *http.Server
}

// Start listens for callers and serves them until Shutdown.
func (c *Callers[P, C, F]) Start() error {
	socket, err := c.Guard.Listen(budgeter.ClassCallers, c.Address)
	if err != nil {
		return err
	}
	c.server = c.Guard.CallerServer(http.HandlerFunc(c.serve))
	go func() { _ = c.server.Serve(socket) }()
	return nil
}

// Shutdown stops the server after the responses in progress, or when the context ends.
func (c *Callers[P, C, F]) Shutdown(ctx context.Context) error { return c.server.Shutdown(ctx) }

// Running returns the number of requests in progress.
func (c *Callers[P, C, F]) Running() int64 { return c.running.Load() }

// serve handles one request of a caller.
func (c *Callers[P, C, F]) serve(w http.ResponseWriter, r *http.Request) {
	c.running.Add(1)
	defer c.running.Add(-1)
	client := clientOf(r)
	defer client.endRequest()
	arrivedAt := clocker.Now()
	sink := &Sink{writer: w, client: client, draining: c.Control.Draining()}
	event, call, ok := c.Codec.DecodeRequest(r)
	client.assign(c.Control.Account(event.Key))
	if reason := c.readRequest(w, r, &call, ok); reason != reducer.ReasonNone {
		c.shed(sink, reducer.RequestShed{CallerID: event.CallerID, Connection: r.RemoteAddr, At: arrivedAt, Reason: reason})
		return
	}
	event.At, event.Connection = arrivedAt, r.RemoteAddr
	event.Fingerprint = fingerprint(event, call)
	event.ID = strconv.FormatUint(c.sequence.Add(1), 36)
	ctx, span := tracer.StartSpan(tracer.Extract(r.Context(), r.Header), "host", attribute.String("request", event.CallerID))
	defer span.End()
	session := executor.Session[P, C, *Sink]{Control: c.Control, Sink: sink, Request: event, Call: call}
	session.Run(ctx)
	if sink.aborted {
		panic(http.ErrAbortHandler)
	}
}

// readRequest checks the head of a request and reads its complete body into the call, since a retry sends it again. It returns the reason for a
// refusal, if any.
func (c *Callers[P, C, F]) readRequest(w http.ResponseWriter, r *http.Request, call *dispatcher.Call, decoded bool) reducer.Reason {
	limits := c.Control.CallerLimits()
	if headSize(r) > orDefault(limits.MaxHeaderBytes, maxHeaderBytes) {
		return reducer.ReasonHeadTooLarge
	}
	if !decoded {
		return reducer.ReasonBadRequest
	}
	body, reason := readSegments(clientOf(r), w, r, orDefault(limits.MaxBodyBytes, defaultMaxBody))
	call.Body = body
	return reason
}

// fingerprint returns the hash of what a request is known by when its caller sends it again: key, method, host name, target and body.
func fingerprint(event reducer.RequestArrived, call dispatcher.Call) uint64 {
	hash := hasher.New()
	for _, text := range []string{event.Key, call.Method, event.HostName, call.Target} {
		hash.AddText(text)
	}
	for _, segment := range call.Body {
		hash.Add(segment)
	}
	return hash.Sum()
}

// headSize returns the size of a head in bytes without the spaces that a caller may add.
func headSize(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len("  \r\n\r\n") + len("Host: \r\n") + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + len(": \r\n")
		}
	}
	return size
}

// shed refuses a request that never reaches the reducer, which counts it.
func (c *Callers[P, C, F]) shed(sink *Sink, shed reducer.RequestShed) {
	refusal := reducer.Refuse{Reason: shed.Reason}
	if shed.Reason == reducer.ReasonCallerMemory {
		refusal.RetryAfter = callerMemoryRetryAfter
		sink.writer.Header().Set("Connection", "close")
	}
	sink.client.limitRest()
	sink.Refuse(refusal)
	if !c.Control.Post(shed) {
		c.Control.Shed(clocker.Now(), shed)
	}
}

// Directory returns the handler of the directory, which returns the addresses of the hosts that callers may use.
func (c *Callers[P, C, F]) Directory() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+c.Codec.DirectoryPath(), c.locate)
	return mux
}

// Readiness returns the handler of the platform's readiness check: 200 if the host is ready for callers, 503 otherwise.
func (c *Callers[P, C, F]) Readiness() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+c.Codec.ReadinessPath(), func(w http.ResponseWriter, _ *http.Request) {
		if !c.Control.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// locate serves one request to the directory.
func (c *Callers[P, C, F]) locate(w http.ResponseWriter, r *http.Request) {
	event := c.Codec.DecodeDirectoryRequest(r)
	event.ReplyID = "locate-" + strconv.FormatUint(c.sequence.Add(1), 36)
	resp, ok := postAndWait(r.Context(), c.Control, event.ReplyID, event).(reducer.LocateResponse)
	if !ok || len(resp.Addresses) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(c.Codec.EncodeDirectoryResponse(resp))
}

// postAndWait posts an event and waits for the effect that responds to its id. It returns nil after controlTimeout.
func postAndWait[P selector.Policy, C executor.Codec, S executor.Sink](ctx context.Context, control *executor.Control[P, C, S], id string, event reducer.Event) reducer.Effect {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	waiter := control.Waiters.Register(ctx, id)
	defer control.Waiters.Unregister(id, waiter)
	control.Report(ctx, event)
	select {
	case effect := <-waiter.Effects:
		return effect
	case <-ctx.Done():
		return nil
	}
}
