package reducer

import (
	"slices"
	"strings"
	"time"

	"github.com/redwingpick/redwingpick/internal/cloner"
	"github.com/redwingpick/redwingpick/internal/selector"
	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// WhereRequested asks, for an operator, where this host would send a request now. Nothing is sent and no state changes.
type WhereRequested struct {
	ReplyID string
	Query   WhereQuery
}

// WhereQuery is the question where a host would send a request.
type WhereQuery struct {
	HostName string `json:"host_name"`
	Path     string `json:"path"`
	// Account or Key identifies the client account; the key occurs in no response and no log line.
	Account      string `json:"account,omitempty"`
	Key          string `json:"key,omitempty"`
	Model        string `json:"model,omitempty"`
	Adapter      string `json:"adapter,omitempty"`
	PromptTokens int    `json:"prompt_tokens,omitempty"`
	OutputTokens int    `json:"output_tokens,omitempty"`
	Parts        []Part `json:"parts,omitempty"`
	TimeLeftMs   int64  `json:"time_left_ms,omitempty"`
}

// arrival returns the arrival of the request that is asked about.
func (q WhereQuery) arrival(now time.Time) RequestArrived {
	return RequestArrived{
		ID: whereRequest, CallerID: whereRequest, At: now, HostName: strings.ToLower(q.HostName), Path: q.Path, Key: q.Key,
		Model: q.Model, Adapter: q.Adapter, PromptTokens: q.PromptTokens, OutputTokens: q.OutputTokens, Parts: q.Parts,
		TimeLeft: time.Duration(q.TimeLeftMs) * time.Millisecond,
	}
}

// WhereResponse responds to an operator with where this host would send a request.
type WhereResponse struct {
	ReplyID string
	Where   Where
}

// Where is what a host would do with a request now, and why; times are in milliseconds.
type Where struct {
	Host string `json:"host"`
	// Fault is why the question has no answer; empty if it has one.
	Fault   string `json:"fault,omitempty"`
	Route   string `json:"route"`
	Service string `json:"service"`
	// Account is the request's client account; the key is not part of any response.
	Account  string `json:"account"`
	Priority int    `json:"priority"`
	// WaitsForTokens is set if this host would first request tokens for the account from its quota coordinator; the rest is what follows if the
	// coordinator grants them.
	WaitsForTokens bool `json:"waits_for_tokens,omitempty"`
	// Answer is sent, waits_for_capacity, waits_for_adapter or refused, and Reason why the request is refused.
	Answer       string  `json:"answer"`
	Reason       string  `json:"reason,omitempty"`
	RetryAfterMs int64   `json:"retry_after_ms,omitempty"`
	Backend      string  `json:"backend_server,omitempty"`
	DeadlineMs   float64 `json:"deadline_ms"`
	TargetMs     float64 `json:"target_ms"`
	// Candidates are the backend servers that may take the request, the preferred ones first, and Excluded the others that the host sends
	// nothing now or of which the model is absent. Unranked counts the servers on which the adapter is not placed.
	Candidates []WhereCandidate `json:"candidates"`
	Excluded   []WhereExcluded  `json:"excluded"`
	Unranked   int              `json:"unranked"`
}

// WhereCandidate is one backend server that may take a request.
type WhereCandidate struct {
	Backend    string `json:"backend_server"`
	Rank       int    `json:"rank"`
	SameDomain bool   `json:"same_domain"`
	// State is the server's state towards new requests, and Held why the request does not get the server now, if another part decides that.
	State string `json:"state"`
	Held  string `json:"held,omitempty"`
	// HeldMs is the expected time until the request may be sent there.
	HeldMs float64 `json:"held_ms,omitempty"`
	// DelayMs is the expected time to the first response: WorkMs for the prompts and calls there, AdapterMs until the adapter is ready, and
	// FailureMs as a penalty for failed exchanges.
	DelayMs   float64 `json:"delay_ms"`
	WorkMs    float64 `json:"work_ms"`
	AdapterMs float64 `json:"adapter_ms"`
	FailureMs float64 `json:"failure_ms"`
	// ServiceRate is the expected prompt tokens per second of an engine; 0 for a unary server.
	ServiceRate    float64 `json:"service_rate"`
	UncachedTokens int     `json:"uncached_tokens"`
	AdapterStage   string  `json:"adapter_stage,omitempty"`
	Holder         string  `json:"holder,omitempty"`
	Running        int     `json:"running"`
	OthersRunning  int     `json:"others_running"`
	StartLimit     float64 `json:"start_limit,omitempty"`
	BoundStatus
}

// WhereExcluded is one backend server that cannot take a request, and why.
type WhereExcluded struct {
	Backend string `json:"backend_server"`
	Why     string `json:"why"`
	EndsMs  int64  `json:"ends_in_ms,omitempty"`
	BoundStatus
}

// Answers in a Where.
const (
	WhereSent             = "sent"
	WhereWaitsForCapacity = "waits_for_capacity"
	WhereWaitsForAdapter  = "waits_for_adapter"
	WhereRefused          = "refused"
)

// whereRequest is the ID of the request that an operator asks about.
const whereRequest = "where"

// whereRequested decides about a request on a copy of the state, with the code that decides about real ones, and responds with the decision.
func whereRequested[P selector.Policy](s *State, now time.Time, e WhereRequested) {
	w := Where{Host: s.Self.HostID}
	arrival := e.Query.arrival(now)
	if e.Query.Account != "" {
		arrival.Key = s.keyOf(e.Query.Account)
	}
	if e.Query.Account != "" && arrival.Key == "" {
		w.Fault = "account is unknown or has no key"
		s.emit(WhereResponse{ReplyID: e.ReplyID, Where: w})
		return
	}
	trial := s.trialState()
	if r, ok := trial.routedRequest(now, arrival); ok {
		w.describe(r)
		describeServers[P](trial, now, r, &w)
	}
	// The decision draws the same random numbers as the list of candidates did.
	trial.Random = s.Random
	requestArrived[P](trial, now, arrival)
	if r, ok := trial.Requests[whereRequest]; ok && r.Phase == PhaseAwaitingTokens {
		w.WaitsForTokens = true
		r.Phase = PhaseQueued
		placeArrived[P](trial, now, r)
	}
	w.decide(trial)
	s.emit(WhereResponse{ReplyID: e.ReplyID, Where: w})
}

// trialState returns a copy of the state on which a request can be decided. It shares the documents and the records of hosts, which such
// decisions only read.
func (s *State) trialState() *State {
	rest := *s
	rest.Documents, rest.Hosts, rest.Index = Documents{}, nil, Index{}
	rest.effects, rest.outbox, rest.outboxOrder = nil, nil, nil
	trial := cloner.Clone(rest)
	trial.Documents, trial.Hosts = s.Documents, s.Hosts
	trial.Index = Index{
		Holders: s.Index.Holders, Incarnations: s.Index.Incarnations, Ranks: map[rankKey][]string{}, AdapterRanks: map[rankedAdapter]adapterRank{},
	}
	trial.outbox = map[string][]Message{}
	return &trial
}

// keyOf returns a key of a client account; it is empty if the account has none.
func (s *State) keyOf(account string) string {
	for key, name := range s.Documents.Keys {
		if name == account {
			return key
		}
	}
	return ""
}

// routedRequest returns the request that an arrival makes, if it has a route.
func (s *State) routedRequest(now time.Time, e RequestArrived) (*Request, bool) {
	if s.Documents.Catalogue == nil {
		return nil, false
	}
	route, ok := s.Documents.Catalogue.MatchRoute(e.HostName, e.Path)
	if !ok {
		return nil, false
	}
	r := newRequest(now, e)
	r.Route = route
	name, known := s.Documents.Keys[e.Key]
	s.assignAccount(r, e, name, known)
	r.Version = s.Documents.Versions[r.Adapter]
	return r, true
}

// describe copies what the route and the account say about the request.
func (w *Where) describe(r *Request) {
	w.Route, w.Service, w.Account, w.Priority = r.Route.Name, r.Service, r.Account, r.Priority
	w.DeadlineMs, w.TargetMs = inMs(r.Deadline.Sub(r.ArrivedAt)), inMs(r.Route.LatencyTarget)
}

// describeServers lists the candidates in the order in which placement tries them, and the servers that are none.
func describeServers[P selector.Policy](s *State, now time.Time, r *Request, w *Where) {
	service, ok := s.Documents.Services[r.Service]
	if !ok {
		return
	}
	candidates := s.candidates(now, r, service)
	listed := map[string]bool{}
	for len(candidates) > 0 {
		var policy P
		i := policy.Choose(candidates)
		listed[candidates[i].Backend] = true
		w.Candidates = append(w.Candidates, s.describeCandidate(now, r, candidates[i], service))
		candidates = slices.Delete(candidates, i, i+1)
	}
	for _, b := range s.serviceBackends(r.Service) {
		if listed[b.Info.ID] {
			continue
		}
		why, until := s.excluded(now, r, b)
		if why == "" {
			w.Unranked++
			continue
		}
		excluded := WhereExcluded{Backend: b.Info.ID, Why: why, BoundStatus: s.boundStatus(now, b)}
		if !until.IsZero() {
			excluded.EndsMs = until.Sub(now).Milliseconds()
		}
		w.Excluded = append(w.Excluded, excluded)
	}
}

// excluded returns why a backend server may not get a request, and until when; why is empty if the server may.
func (s *State) excluded(now time.Time, r *Request, b *Backend) (why string, until time.Time) {
	state, until := s.sendState(now, b)
	if !state.Usable() || !s.usable(now, b) {
		return state.String(), until
	}
	if r.Adapter.Model != "" && s.isEngine(b) && !b.holdsModel(r.Adapter.Model) {
		return "model_absent", time.Time{}
	}
	return "", time.Time{}
}

// describeCandidate returns what the host knows about a candidate.
func (s *State) describeCandidate(now time.Time, r *Request, c selector.Candidate, service cataloguer.Service) WhereCandidate {
	b := s.Backends[c.Backend]
	state, _ := s.sendState(now, b)
	out := WhereCandidate{
		Backend: c.Backend, Rank: c.Rank, SameDomain: c.SameDomain, State: state.String(), DelayMs: inMs(c.Delay), FailureMs: inMs(b.failurePenalty()),
		Holder: s.holderOf(now, c.Backend), Running: b.Running, StartLimit: b.SlowStart.Ramp.Limit(now),
		BoundStatus: s.boundStatus(now, b),
	}
	if now.Sub(b.OtherHostsAt) < loadReportTTL {
		out.OthersRunning = b.OtherHosts.Running
	}
	if service.Engine != nil {
		out.ServiceRate = s.prefillRate(now, b)
		out.UncachedTokens = s.uncachedTokens(now, r, b)
	}
	if service.Engine != nil && service.Engine.AdapterSlots > 0 && r.Adapter.Adapter != "" {
		out.AdapterMs = inMs(s.adapterDelay(now, r, b))
		out.AdapterStage = s.stageOf(now, r, b)
	}
	out.WorkMs = out.DelayMs - out.AdapterMs - out.FailureMs
	if opensIn := s.slowStartOpensIn(now, r, b); opensIn > 0 && s.maySend(now, b) {
		out.Held, out.HeldMs = SendStarting.String(), inMs(opensIn)
		return out
	}
	if opensIn := s.throttleOpensIn(now, b); opensIn > 0 {
		out.Held, out.HeldMs = state.String(), inMs(opensIn)
	}
	return out
}

// stageOf returns the name of the stage of a request's adapter on a backend server.
func (s *State) stageOf(now time.Time, r *Request, b *Backend) string {
	if !s.needsAdapterLoad(now, r, b) {
		return StageReady.String()
	}
	if adapter, ok := b.Adapters[r.Adapter]; ok && adapter.fresh(now, r.Version) {
		return adapter.Stage.String()
	}
	return StageAbsent.String()
}

// decide sets the answer from what the copy of the state has done with the request.
func (w *Where) decide(trial *State) {
	for _, effect := range trial.effects {
		switch e := effect.(type) {
		case Dispatch:
			if e.ID == whereRequest {
				w.Answer, w.Backend = WhereSent, e.Backend
				return
			}
		case Refuse:
			if e.ID == whereRequest {
				w.Answer, w.Reason, w.RetryAfterMs = WhereRefused, e.Reason.String(), e.RetryAfter.Milliseconds()
				return
			}
		}
	}
	r := trial.Requests[whereRequest]
	w.Answer, w.Backend = WhereWaitsForCapacity, r.Backend
	if r.Phase == PhaseAwaitingAdapter {
		w.Answer = WhereWaitsForAdapter
	}
}

// inMs returns a duration in milliseconds.
func inMs(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
