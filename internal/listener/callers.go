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
	// defaultMaxBody bounds bodies before a catalogue is in force.
	defaultMaxBody = 4 << 20
	maxHeaderBytes = 64 << 10
	headerTimeout  = 10 * time.Second
	callerIdle     = 2 * time.Minute
	askTimeout     = time.Second
)

// Front translates what callers send and are sent.
type Front interface { // type constraint
	// Request decodes a request; its body is read later. ok is false if it lacks what every request must have.
	Request(r *http.Request) (event reducer.RequestArrived, call dispatcher.Call, ok bool)
	DirectoryPath() string
	Directory(r *http.Request) reducer.LocateRequested
	DirectoryAnswer(answer reducer.LocateResponse) []byte
	ReadinessPath() string
}

// Callers serves the callers of one host; its exported fields are set before Start.
type Callers[P selector.Policy, C executor.Codec, F Front] struct {
	Address string
	Control *executor.Control[P, C, *Sink]
	Front   F

	sequence atomic.Uint64
	running  atomic.Int64
	server   *http.Server
}

// RestConf returns the settings of go-zero's server with everything off that would refuse or cut a request by itself.
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

// Start serves callers until the server is shut down; it returns once the server has been made.
func (c *Callers[P, C, F]) Start() error {
	conf, err := RestConf(c.Address)
	if err != nil {
		return err
	}
	server, err := rest.NewServer(conf, rest.WithRouter(direct{handler: http.HandlerFunc(c.serve)}))
	if err != nil {
		return err
	}
	made := make(chan struct{})
	go server.StartWithOpts(func(s *http.Server) {
		s.MaxHeaderBytes = maxHeaderBytes
		s.ReadHeaderTimeout = headerTimeout
		s.IdleTimeout = callerIdle
		c.server = s
		close(made)
	})
	<-made
	return nil
}

// Shutdown ends the server after the answers under way.
func (c *Callers[P, C, F]) Shutdown(ctx context.Context) error { return c.server.Shutdown(ctx) }

// Running returns how many requests of callers are under way.
func (c *Callers[P, C, F]) Running() int64 { return c.running.Load() }

// direct is a router that hands every request to one handler, since routes change with the catalogue.
type direct struct {
	handler http.Handler
}

// ServeHTTP serves a request.
func (d direct) ServeHTTP(w http.ResponseWriter, r *http.Request) { d.handler.ServeHTTP(w, r) }

// Handle ignores routes.
func (d direct) Handle(string, string, http.Handler) error { return nil }

// SetNotFoundHandler ignores the handler.
func (d direct) SetNotFoundHandler(http.Handler) {}

// SetNotAllowedHandler ignores the handler.
func (d direct) SetNotAllowedHandler(http.Handler) {}

func (c *Callers[P, C, F]) serve(w http.ResponseWriter, r *http.Request) {
	c.running.Add(1)
	defer c.running.Add(-1)
	arrived := clocker.Now()
	sink := &Sink{writer: w, leaving: c.Control.Draining()}
	event, call, ok := c.Front.Request(r)
	reason := reducer.ReasonBadRequest
	if ok {
		reason = c.readBody(w, r, &call)
	}
	if reason != reducer.ReasonNone {
		sink.Refuse(reducer.Refuse{Reason: reason})
		refused := reducer.RequestShed{CallerID: event.CallerID, Connection: r.RemoteAddr, At: arrived, Reason: reason}
		if !c.Control.Post(refused) {
			c.Control.Shed(clocker.Now(), refused)
		}
		return
	}
	event.At, event.Connection = arrived, r.RemoteAddr
	event.ID = strconv.FormatUint(c.sequence.Add(1), 36)
	ctx, span := tracer.StartSpan(tracer.Extract(r.Context(), r.Header), "host", attribute.String("request", event.CallerID))
	defer span.End()
	session := executor.Session[P, C, *Sink]{Control: c.Control, Sink: sink, Arrived: event, Call: call}
	session.Run(ctx)
	if sink.aborted {
		panic(http.ErrAbortHandler)
	}
}

// readBody reads the whole body, which may have to be sent more than once.
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

// Directory serves the callers that ask which hosts to use.
func (c *Callers[P, C, F]) Directory() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+c.Front.DirectoryPath(), c.locate)
	return mux
}

// Readiness serves the platform's question whether the host may be sent callers.
func (c *Callers[P, C, F]) Readiness() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+c.Front.ReadinessPath(), func(w http.ResponseWriter, _ *http.Request) {
		if !c.Control.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

func (c *Callers[P, C, F]) locate(w http.ResponseWriter, r *http.Request) {
	event := c.Front.Directory(r)
	event.ReplyID = "locate-" + strconv.FormatUint(c.sequence.Add(1), 36)
	answer, ok := ask(r.Context(), c.Control, event.ReplyID, event).(reducer.LocateResponse)
	if !ok || len(answer.Addresses) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(c.Front.DirectoryAnswer(answer))
}

// ask posts an event that is answered by one effect, and returns nil if the answer does not come in time.
func ask[P selector.Policy, C executor.Codec, S executor.Sink](ctx context.Context, control *executor.Control[P, C, S], id string, event reducer.Event) reducer.Effect {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	reply := control.Replies.Register(ctx, id)
	defer control.Replies.Forget(id, reply)
	control.Report(ctx, event)
	select {
	case effect := <-reply.Effects:
		return effect
	case <-ctx.Done():
		return nil
	}
}
