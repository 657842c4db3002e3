package listener

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/zeromicro/go-zero/core/service"
	"github.com/zeromicro/go-zero/rest"
	"go.opentelemetry.io/otel/attribute"

	"github.com/redwingpick/redwingpick/internal/clocker"
	"github.com/redwingpick/redwingpick/internal/dispatcher"
	"github.com/redwingpick/redwingpick/internal/executor"
	"github.com/redwingpick/redwingpick/internal/reducer"
	"github.com/redwingpick/redwingpick/internal/selector"
	"github.com/redwingpick/redwingpick/internal/tracer"
)

const (
	// defaultMaxBody is the limit in bytes on request bodies until a catalogue is applied.
	defaultMaxBody    = 4 << 20
	maxHeaderBytes    = 64 << 10
	readHeaderTimeout = 10 * time.Second
	callerIdleTimeout = 2 * time.Minute
	// controlTimeout is how long a handler waits for a response of the control goroutine.
	controlTimeout = time.Second
)

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

	// sequence numbers the requests, which makes their ids unique within the process.
	sequence atomic.Uint64
	// running counts the requests in progress.
	running atomic.Int64
	server  *http.Server
}

// RestConf returns a configuration of go-zero's server without the features that would refuse or cut a request by themselves.
func RestConf(address string) (rest.RestConf, error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return rest.RestConf{}, err
	}
	number, err := strconv.Atoi(port)
	if err != nil {
		return rest.RestConf{}, err
	}
	conf := rest.RestConf{Host: host, Port: number}
	conf.Name = "redwingpickd"
	conf.Mode = service.PreMode
	conf.Telemetry.Disabled = true
	return conf, nil
}

// Start starts the server of the callers and returns once it has been created; it serves until Shutdown.
func (c *Callers[P, C, F]) Start() error {
	conf, err := RestConf(c.Address)
	if err != nil {
		return err
	}
	server, err := rest.NewServer(conf, rest.WithRouter(router{handler: http.HandlerFunc(c.serve)}))
	if err != nil {
		return err
	}
	created := make(chan struct{})
	go server.StartWithOpts(func(s *http.Server) {
		s.MaxHeaderBytes = maxHeaderBytes
		s.ReadHeaderTimeout = readHeaderTimeout
		s.IdleTimeout = callerIdleTimeout
		c.server = s
		close(created)
	})
	<-created
	return nil
}

// Shutdown stops the server after the responses in progress, or when the context ends.
func (c *Callers[P, C, F]) Shutdown(ctx context.Context) error { return c.server.Shutdown(ctx) }

// Running returns the number of requests in progress.
func (c *Callers[P, C, F]) Running() int64 { return c.running.Load() }

// router is a go-zero router that passes every request to one handler, since the routes change with the catalogue.
type router struct {
	handler http.Handler
}

// ServeHTTP serves a request.
func (rt router) ServeHTTP(w http.ResponseWriter, r *http.Request) { rt.handler.ServeHTTP(w, r) }

// Handle ignores the route.
func (rt router) Handle(string, string, http.Handler) error { return nil }

// SetNotFoundHandler ignores the handler.
func (rt router) SetNotFoundHandler(http.Handler) {}

// SetNotAllowedHandler ignores the handler.
func (rt router) SetNotAllowedHandler(http.Handler) {}

// serve handles one request of a caller.
func (c *Callers[P, C, F]) serve(w http.ResponseWriter, r *http.Request) {
	c.running.Add(1)
	defer c.running.Add(-1)
	arrivedAt := clocker.Now()
	sink := &Sink{writer: w, draining: c.Control.Draining()}
	event, call, ok := c.Codec.DecodeRequest(r)
	reason := reducer.ReasonBadRequest
	if ok {
		reason = c.readBody(w, r, &call)
	}
	if reason != reducer.ReasonNone {
		sink.Refuse(reducer.Refuse{Reason: reason})
		shed := reducer.RequestShed{CallerID: event.CallerID, Connection: r.RemoteAddr, At: arrivedAt, Reason: reason}
		if !c.Control.Post(shed) {
			c.Control.Shed(clocker.Now(), shed)
		}
		return
	}
	event.At, event.Connection = arrivedAt, r.RemoteAddr
	event.ID = strconv.FormatUint(c.sequence.Add(1), 36)
	ctx, span := tracer.StartSpan(tracer.Extract(r.Context(), r.Header), "host", attribute.String("request", event.CallerID))
	defer span.End()
	session := executor.Session[P, C, *Sink]{Control: c.Control, Sink: sink, Request: event, Call: call}
	session.Run(ctx)
	if sink.aborted {
		panic(http.ErrAbortHandler)
	}
}

// readBody reads the complete body into the call, since a retry sends it again. It returns the reason for a refusal, if any.
func (c *Callers[P, C, F]) readBody(w http.ResponseWriter, r *http.Request, call *dispatcher.Call) reducer.Reason {
	limit := c.Control.CallerLimits().MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return reducer.ReasonTooLarge
	}
	if err != nil {
		return reducer.ReasonBadRequest
	}
	call.Body = body
	return reducer.ReasonNone
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
