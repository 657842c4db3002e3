package listener

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/zeromicro/go-zero/core/service"
	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/pathvar"
	"go.opentelemetry.io/otel/attribute"

	"github.com/redwingpick/redwingpick/internal/dispatcher"
	"github.com/redwingpick/redwingpick/internal/executor"
	"github.com/redwingpick/redwingpick/internal/messenger"
	"github.com/redwingpick/redwingpick/internal/reducer"
	"github.com/redwingpick/redwingpick/internal/selector"
	"github.com/redwingpick/redwingpick/internal/tracer"
)

const (
	maxBodyBytes     = 4 << 20
	bytesPerToken    = 4
	defaultMaxTokens = 16
	askTimeout       = 2 * time.Second
)

// Callers serves the callers of one host; its exported fields are set before Server.
type Callers[P selector.Policy] struct {
	HostID      string
	Incarnation uint64
	Address     string
	Control     *executor.Control[P]
	Messenger   *messenger.Client

	sequence atomic.Uint64
	running  atomic.Int64
}

// CompletionRequest is the body of a completions call.
type CompletionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	// Prefix and PrefixTokens are the part of the answer that the caller has from a host that failed; the answer goes on
	// behind it.
	Prefix       string `json:"prefix,omitempty"`
	PrefixTokens int    `json:"prefix_tokens,omitempty"`
}

// LocateResponse names the hosts that a caller should use.
type LocateResponse struct {
	Hosts      []string `json:"hosts"`
	Addresses  []string `json:"addresses"`
	ValidForMs int64    `json:"valid_for_ms"`
	// Permit goes with a request that may not be repeated, however often the caller sends it.
	Permit string `json:"permit,omitempty"`
}

// PermitResponse holds the permit for one request that may not be repeated.
type PermitResponse struct {
	Permit string `json:"permit"`
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
	conf := rest.RestConf{Host: host, Port: number, MaxBytes: maxBodyBytes}
	conf.Name = "redwingpickd"
	conf.Mode = service.PreMode
	conf.Telemetry.Disabled = true
	conf.Middlewares = rest.MiddlewaresConf{Recover: true, MaxBytes: true}
	return conf, nil
}

// Server returns go-zero's server with the routes for callers.
func (c *Callers[P]) Server() (*rest.Server, error) {
	conf, err := RestConf(c.Address)
	if err != nil {
		return nil, err
	}
	server, err := rest.NewServer(conf)
	if err != nil {
		return nil, err
	}
	server.AddRoutes([]rest.Route{
		{Method: http.MethodGet, Path: "/v1/locate", Handler: c.locate},
		{Method: http.MethodPost, Path: "/v1/permits", Handler: c.permit},
		{Method: http.MethodPost, Path: "/v1/completions", Handler: c.complete},
		{Method: http.MethodPost, Path: "/v1/services/:service", Handler: c.call},
		{Method: http.MethodGet, Path: "/readyz", Handler: c.readiness},
	})
	return server, nil
}

// Running returns how many requests of callers are under way.
func (c *Callers[P]) Running() int64 { return c.running.Load() }

// NewID returns an id that no other request of the fleet has.
func (c *Callers[P]) newID() string {
	return fmt.Sprintf("%s-%s-%d", c.HostID, strconv.FormatUint(c.Incarnation, 36), c.sequence.Add(1))
}

func (c *Callers[P]) readiness(w http.ResponseWriter, _ *http.Request) {
	if !c.Control.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// ask posts an event that is answered by one effect.
func (c *Callers[P]) ask(ctx context.Context, id string, event reducer.Event) reducer.Effect {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	reply := c.Control.Replies.Register(ctx, id)
	defer c.Control.Replies.Forget(id, reply)
	if !c.Control.Post(event) {
		return nil
	}
	select {
	case effect := <-reply.Effects:
		return effect
	case <-ctx.Done():
		return nil
	}
}

func (c *Callers[P]) locate(w http.ResponseWriter, r *http.Request) {
	id := c.newID()
	event := reducer.LocateAsked{ReplyID: id, Model: r.URL.Query().Get("model"), Service: r.URL.Query().Get("service")}
	answer, ok := c.ask(r.Context(), id, event).(reducer.LocateAnswer)
	if !ok || !answer.Known && len(answer.Hosts) == 0 {
		writeRefusal(w, reducer.Refuse{Outcome: reducer.OutcomeNotRun, Reason: reducer.ReasonNotReady, RetryAfter: time.Second})
		return
	}
	writeJSON(w, http.StatusOK, LocateResponse{
		Hosts: answer.Hosts, Addresses: answer.Addresses, ValidForMs: answer.ValidFor.Milliseconds(), Permit: answer.Permit,
	})
}

func (c *Callers[P]) permit(w http.ResponseWriter, r *http.Request) {
	id := c.newID()
	answer, ok := c.ask(r.Context(), id, reducer.PermitAsked{ReplyID: id}).(reducer.PermitIssued)
	if !ok || answer.Refused {
		writeRefusal(w, reducer.Refuse{Outcome: reducer.OutcomeNotRun, Reason: reducer.ReasonNotReady, RetryAfter: time.Second})
		return
	}
	writeJSON(w, http.StatusOK, PermitResponse{Permit: answer.Permit})
}

func (c *Callers[P]) complete(w http.ResponseWriter, r *http.Request) {
	var body CompletionRequest
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || body.Model == "" || body.MaxTokens < 0 {
		badRequest(w, "body must be a completions request with a model")
		return
	}
	if body.MaxTokens == 0 {
		body.MaxTokens = defaultMaxTokens
	}
	if body.PrefixTokens < 0 || body.PrefixTokens >= body.MaxTokens {
		badRequest(w, "prefix_tokens must be below max_tokens")
		return
	}
	prompt := (len(body.Prompt) + bytesPerToken - 1) / bytesPerToken
	event := c.arrived(r)
	event.Model = body.Model
	event.PromptTokens = prompt
	event.MaxTokens = body.MaxTokens
	call := dispatcher.Call{Prompt: body.Prompt, PromptTokens: prompt, MaxTokens: body.MaxTokens, Offset: body.PrefixTokens, Prefix: []byte(body.Prefix)}
	sink := &callerSink{writer: w, id: event.ID, host: c.HostID, model: body.Model, stream: body.Stream, promptTokens: prompt}
	c.run(r, event, call, sink)
}

func (c *Callers[P]) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		badRequest(w, "body cannot be read")
		return
	}
	event := c.arrived(r)
	event.Service = pathvar.Vars(r)["service"]
	event.Permit = r.Header.Get("X-Permit")
	sink := &callerSink{writer: w, id: event.ID, host: c.HostID, model: event.Service, raw: true}
	c.run(r, event, dispatcher.Call{Body: body}, sink)
}

func (c *Callers[P]) run(r *http.Request, event reducer.RequestArrived, call dispatcher.Call, sink *callerSink) {
	c.running.Add(1)
	defer c.running.Add(-1)
	ctx := tracer.Extract(r.Context(), r.Header)
	ctx, span := tracer.Hop(ctx, "host", attribute.String("request_id", event.ID), attribute.String("model", sink.model))
	defer span.End()
	session := executor.Session[P, *callerSink]{Control: c.Control, Messenger: c.Messenger, Sink: sink, Arrived: event, Call: call}
	session.Run(ctx)
	span.SetAttributes(attribute.String("result", sink.result))
}

func (c *Callers[P]) arrived(r *http.Request) reducer.RequestArrived {
	event := reducer.RequestArrived{ID: c.newID(), KeyDigest: keyDigest(r)}
	if ms, err := strconv.Atoi(r.Header.Get("X-Timeout-Ms")); err == nil && ms > 0 {
		event.Deadline = time.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	return event
}

// keyDigest returns the digest of the bearer token, which is all that leaves this function of a key.
func keyDigest(r *http.Request) string {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return ""
	}
	return Digest(key)
}

// Digest returns the form of a key that the catalogue stores.
func Digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func badRequest(w http.ResponseWriter, message string) {
	writeJSON(w, http.StatusBadRequest, ErrorBody{Error: Refusal{Outcome: "not_run", Reason: "bad_request", Message: message}})
}
