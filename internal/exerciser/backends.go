package exerciser

import (
	"fmt"
	"reflect"
	"time"

	"github.com/redwingpick/redwingpick/internal/modeler"
	"github.com/redwingpick/redwingpick/internal/reducer"
	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// Names and cold start limits of the simulated deployment.
const (
	engineService = "engines"
	unaryService  = "desk"
	modelName     = "model"
	routeHostName = "calls.example"
	coldDuration  = 3 * time.Second
	coldRate      = 7
)

// unaryDuration is the processing time of a request of the unary service.
const unaryDuration = 60 * time.Millisecond

// catalogue returns the operators' configuration with extraRoutes additional routes.
func (s *Simulation[P]) catalogue(version int64, extraRoutes int) *cataloguer.Catalogue {
	stream := cataloguer.Route{
		Name: "stream", HostName: routeHostName, Prefix: "/stream/", RetryPolicy: cataloguer.RetryStream, Timeout: 5 * time.Second,
		LatencyTarget: time.Second, StreamGapTarget: 600 * time.Millisecond, Priority: 1, MaxAttempts: 1,
		TrafficSplit: []cataloguer.WeightedService{{Service: engineService, Weight: 1}},
	}
	resumable := stream
	resumable.Name, resumable.Prefix, resumable.Resumable, resumable.MaxAttempts = "resumable", "/resumable/", true, 2
	safe := cataloguer.Route{
		Name: "safe", HostName: routeHostName, Prefix: "/safe/", RetryPolicy: cataloguer.RetrySafe, Timeout: 1500 * time.Millisecond,
		LatencyTarget: 300 * time.Millisecond, Priority: 2, MaxAttempts: 2,
		TrafficSplit: []cataloguer.WeightedService{{Service: unaryService, Weight: 1}},
	}
	once := safe
	once.Name, once.Prefix, once.RetryPolicy, once.MaxAttempts = "once", "/once/", cataloguer.RetryNever, 1
	c := &cataloguer.Catalogue{
		Version: version,
		Routes:  []cataloguer.Route{stream, resumable, safe, once},
		Services: []cataloguer.Service{
			{Name: engineService, MaxConnections: 360, ColdDuration: coldDuration, ColdRate: coldRate, Engine: &cataloguer.Engine{
				Slots: s.Options.EngineSpec.Slots, KVCacheTokens: 220_000, AdapterSlots: s.Options.EngineSpec.AdapterSlots, WeightMemoryMB: 66_000,
				LoadsPerSecond: 2, Models: []cataloguer.Model{{Name: modelName, WeightsMB: 65_000, LoadDuration: 2 * time.Second, SampleAdapter: "a1"}},
			}},
			{Name: unaryService, MaxConnections: 96},
		},
		Accounts: []cataloguer.Account{
			{Name: "large", Keys: []string{"key-large"}, Priority: -1, Rate: largeRate * s.rateScale(), Burst: largeRate * s.rateScale(),
				CountsTokens: true, DefaultTokens: 200},
			{Name: "small", Keys: []string{"key-small"}, Priority: -1, Rate: smallRate * s.rateScale(), Burst: smallRate * s.rateScale(),
				CountsTokens: true, DefaultTokens: 200},
		},
	}
	for i := range extraRoutes {
		route := safe
		route.Name = "extra"
		route.Prefix = extraPrefix(i)
		c.Routes = append(c.Routes, route)
	}
	return c
}

// rateScale returns the factor of the accounts' rates, which grow with the fleet.
//
// With Options.ExtendedWorkload the rates are too small for the traffic.
func (s *Simulation[P]) rateScale() float64 {
	scale := max(float64(s.Options.Hosts)/referenceHosts, 1)
	if s.Options.ExtendedWorkload {
		return scale * reducedRateFactor
	}
	if s.Options.UnevenServers {
		return scale * unevenRateFactor
	}
	return scale
}

// reducedRateFactor is applied to the rates of accounts with Options.ExtendedWorkload.
const reducedRateFactor = 0.2

// maxLoadSlowdown is the largest factor by which loads of an engine take longer than expected with Options.ExtendedWorkload.
const maxLoadSlowdown = 4

// Rates of the accounts in tokens per second, in a fleet of referenceHosts hosts.
const (
	largeRate      = 100_000
	smallRate      = 40_000
	referenceHosts = 6
)

// unlimitedAccount is an account without a quota, which only some configurations have.
const unlimitedAccount = "unlimited"

func extraPrefix(i int) string { return "/extra-" + string(rune('a'+i%26)) + "/" }

func (s *Simulation[P]) publishCatalogue() { s.operatorWrite(s.putCatalogue) }

func (s *Simulation[P]) putCatalogue() {
	s.Traffic.catalogueVersion++
	c := s.catalogue(s.Traffic.catalogueVersion, int(s.Traffic.catalogueVersion-1))
	s.ConfigService.Put(cataloguer.Document{Key: "catalogue", Kind: cataloguer.KindCatalogue, Catalogue: c, Raw: []byte("catalogue")})
	s.Traffic.cataloguePublishedAt = append(s.Traffic.cataloguePublishedAt, s.Now)
}

// startBackend starts a new incarnation of a backend server and publishes its entry at once.
func (s *Simulation[P]) startBackend(id, service, domain string) {
	s.startBackendLate(id, service, domain, 0)
}

// startBackendLate starts a new incarnation of a backend server, whose entry is published after publishDelay.
func (s *Simulation[P]) startBackendLate(id, service, domain string, publishDelay time.Duration) {
	b, restarted := s.Backends[id]
	if !restarted {
		b = &Backend{}
		s.Backends[id] = b
	}
	b.Up = true
	b.DrainingAt, b.leaving, b.unlisted = time.Time{}, false, false
	b.told = map[string]*toldHost{}
	b.limits = rateLimits{}
	b.answers, b.refuses = nil, false
	b.cachedParts = map[string]bool{}
	b.Info = cataloguer.Backend{ID: id, Service: service, Address: id, FailureDomain: domain, StartedUnixMs: s.Now.UnixMilli(), Slots: 6}
	if service == engineService {
		b.Info.Slots = s.Options.EngineSpec.Slots
		b.Info.Models = []cataloguer.ResidentModel{{Model: modelName}}
		b.Engine = modeler.NewEngine(s.Options.EngineSpec)
		b.Engine.Spec.PrefillRate *= s.speed(domain)
		b.Engine.Spec.TokenTime = time.Duration(float64(b.Engine.Spec.TokenTime) / s.speed(domain))
		b.Engine.LatestVersions = s.Checker.latestVersions
		if s.Options.ExtendedWorkload {
			b.Engine.Spec.LoadTime *= time.Duration(1 + s.extendedRNG.IntN(maxLoadSlowdown))
		}
		if restarted {
			b.Info.ColdRemaining = coldDuration - publishDelay
			b.ColdSince, b.Arrivals = s.Now, nil
		}
	} else {
		b.Engine = modeler.NewEngine(modeler.Spec{Slots: 6, QueueSize: 24, TokenTime: s.Options.EngineSpec.TokenTime})
	}
	s.publishLate(b, publishDelay)
	if s.Options.UniformAdapters && !restarted && service == engineService {
		s.after(heartbeatInterval, func() { s.heartbeat(b) })
	}
}

// removeEntry removes the entry of a backend server.
func (s *Simulation[P]) removeEntry(b *Backend) {
	b.EntryChangedAt = s.Now
	s.ConfigService.Remove("backends/" + b.Info.ID)
}

// publishLate publishes the entry of a backend server after a delay, unless its incarnation has ended by then.
func (s *Simulation[P]) publishLate(b *Backend, delay time.Duration) {
	if delay <= 0 {
		s.publishBackend(b)
		return
	}
	startedUnixMs := b.Info.StartedUnixMs
	b.unlisted = true
	s.after(delay, func() {
		if b.Up && b.Info.StartedUnixMs == startedUnixMs {
			b.unlisted = false
			s.publishBackend(b)
		}
	})
}

func (s *Simulation[P]) publishBackend(b *Backend) {
	info := b.Info
	if s.Options.UniformAdapters && info.Service == engineService {
		info.Models = []cataloguer.ResidentModel{{Model: modelName, Adapters: b.Engine.Resident(s.Now)}}
	}
	b.PublishedModels, b.EntryChangedAt = info.Models, s.Now
	s.ConfigService.Put(cataloguer.Document{
		Key: "backends/" + info.ID, Kind: cataloguer.KindBackend, Name: info.ID, Backend: &info, Raw: fmt.Appendf(nil, "%+v", info),
	})
}

// heartbeatInterval is the time between two heartbeats of an engine, at which it compares its entry with its resident adapters.
const heartbeatInterval = 1200 * time.Millisecond

// heartbeat republishes the entry of an engine whenever its resident adapters have changed.
func (s *Simulation[P]) heartbeat(b *Backend) {
	if b.Up && !b.unlisted && !reflect.DeepEqual(b.PublishedModels, []cataloguer.ResidentModel{{Model: modelName, Adapters: b.Engine.Resident(s.Now)}}) {
		s.publishBackend(b)
	}
	s.after(heartbeatInterval, func() { s.heartbeat(b) })
}

// crashBackend stops a backend server without notice; its entry expires after entryTTL.
func (s *Simulation[P]) crashBackend(b *Backend) {
	b.Up = false
	startedUnixMs := b.Info.StartedUnixMs
	s.after(entryTTL, func() {
		if !b.Up && b.Info.StartedUnixMs == startedUnixMs {
			s.removeEntry(b)
		}
	})
}

// entryTTL is how long the entry of a crashed backend server remains published.
const entryTTL = 3600 * time.Millisecond

// drainBackend publishes that a backend server is draining, and stops it after the drain deadline.
func (s *Simulation[P]) drainBackend(b *Backend) {
	b.leaving = true
	publish := func() {
		b.Info.Draining = true
		b.DrainingAt = s.Now
		s.publishBackend(b)
	}
	if s.Options.ServerNotices {
		s.after(lateDrainEntry, publish)
	} else {
		publish()
	}
	s.after(s.Options.Limits.DrainDeadline+5*time.Second, func() {
		b.Up = false
		s.removeEntry(b)
	})
}

// lateDrainEntry is the time from the first response in which a server says that it drains to its entry, with Options.ServerNotices.
const lateDrainEntry = 4 * time.Second

// RemoveWithoutDrain removes the entry of a backend server that was not published as draining and continues to serve until after the
// drain deadline.
func (s *Simulation[P]) RemoveWithoutDrain(b *Backend) {
	s.logFault("entry of %s is removed without a drain", b.Info.ID)
	b.DrainingAt, b.unlisted = s.Now, true
	s.removeEntry(b)
	s.after(s.Options.Limits.DrainDeadline+5*time.Second, func() { b.Up = false })
}

// dispatch delivers a request to its backend server and returns the outcome to the host.
func (s *Simulation[P]) dispatch(h *Host, e reducer.Dispatch) {
	incarnation := h.Incarnation
	event := reducer.DispatchEnded{ID: e.ID, Backend: e.Backend, Attempt: e.Attempt}
	r := s.Traffic.requests[requestKey(h.ID, incarnation, e.ID)]
	if r == nil {
		s.Checker.addViolation(s.Now, "unasked", e.ID)
		return
	}
	r.attempt = e.Attempt
	s.Checker.checkDispatch(s.Now, r, e)
	view := s.coldView(h, e.Backend)
	s.after(s.messageDelay(), func() {
		b, ok := s.Backends[e.Backend]
		if !ok || !b.Up || !s.connected(h.ID, e.Backend) {
			event.Outcome = reducer.OutcomeNotSent
			s.after(s.messageDelay(), func() { s.post(h, incarnation, event) })
			return
		}
		key := r.event.adapter()
		if b.Info.Service != engineService {
			key = reducer.AdapterKey{}
		}
		firstTokenAt, outcome := b.Engine.StartRequest(s.Now, key, e.Version, s.uncachedTokens(b, r))
		s.Checker.checkRetryBudget(s.Now, s.Options.Limits, b.Info.Service, r)
		s.Checker.checkRateLimit(s.Now, s.Options.Limits, s.faultFree(h), b, h)
		s.checkDeadlyArrival(h, r)
		// The users' rules on cold starts and drains do not count requests that are rejected because the adapter is not loaded.
		if outcome != reducer.OutcomeNotLoaded {
			s.Checker.checkNotices(s.Now, s.Options.Limits.DrainDeadline, s.faultFree(h), b, h)
			s.Checker.checkArrival(s.Now, s.faultFree(h), b, Arrival{At: s.Now, Host: h.ID, View: view})
		}
		event.Notice, event.Load = s.notice(h, b, outcome), s.load(b)
		if outcome != reducer.OutcomeDone {
			event.Outcome = outcome
			s.after(s.messageDelay(), func() { s.post(h, incarnation, event) })
			return
		}
		r.recordRun(&s.Checker, s.rateScale(), s.Now)
		if a, ok := b.Engine.Adapters[key]; ok && s.faultFree(h) {
			s.Checker.checkAdapterVersion(s.Now, key, a.Version, h)
		}
		s.respond(h, b, r, e, firstTokenAt, key)
	})
}

// uncachedTokens returns the prompt tokens of a request that an engine has to prefill, and records its parts as cached.
func (s *Simulation[P]) uncachedTokens(b *Backend, r *Request) int {
	tokens := r.event.PromptTokens
	if !s.Options.PrefixCache {
		return tokens
	}
	for _, part := range r.event.Parts {
		key := r.event.Adapter + "/" + part.ID
		if b.cachedParts[key] {
			tokens -= part.Tokens
		}
		b.cachedParts[key] = true
	}
	return tokens
}

// tokensPerEvent is the number of tokens in one event of a stream.
const tokensPerEvent = 5

// fullBackoff is how long a full engine wants no request from the host whose request it has rejected.
const fullBackoff = 1500 * time.Millisecond

// notice returns what a backend server's response to a host says about the server, and records that the host has been told.
func (s *Simulation[P]) notice(h *Host, b *Backend, outcome reducer.Outcome) reducer.BackendNotice {
	n := reducer.BackendNotice{Answered: true, RateLimit: b.limits.named()}
	if !s.Options.ServerNotices {
		return n
	}
	n.Leaving = b.leaving
	if outcome == reducer.OutcomeFull {
		n.Backoff = fullBackoff
	}
	b.recordNotice(s.Now, h, n)
	return n
}

// respond delivers the start and the end of a response; the response is broken if the backend server stops or becomes unreachable
// before the end.
func (s *Simulation[P]) respond(h *Host, b *Backend, r *Request, e reducer.Dispatch, firstTokenAt time.Time, key reducer.AdapterKey) {
	incarnation := h.Incarnation
	startedUnixMs := b.Info.StartedUnixMs
	startedAt := s.Now
	event := reducer.DispatchEnded{ID: e.ID, Backend: e.Backend, Attempt: e.Attempt, Outcome: reducer.OutcomeBroken}
	processingTime := time.Duration(float64(unaryDuration) / s.speed(b.Info.FailureDomain))
	if b.Info.Service == engineService {
		processingTime = firstTokenAt.Sub(s.Now)
	}
	processingTime = processingTime * s.workPercent(b) / usualPercent
	a := &answer{}
	a.abort = func() {
		event.Disconnected = true
		if event.Delivered {
			event.Events = int(s.Now.Sub(firstTokenAt) / (tokensPerEvent * b.Engine.Spec.TokenTime))
		}
		s.post(h, incarnation, event)
	}
	s.addStallHandlers(a, h, b, r, e, key)
	b.answers = append(b.answers, a)
	if s.crashSoon(b, r) {
		return
	}
	interrupted := func() bool { return !b.Up || b.Info.StartedUnixMs != startedUnixMs || !s.connected(h.ID, e.Backend) }
	s.after(processingTime, func() {
		if a.aborted {
			return
		}
		if interrupted() {
			b.endAnswer(a)
			s.post(h, incarnation, event)
			return
		}
		event.Notice = s.notice(h, b, reducer.OutcomeDone)
		b.limits.recordAnswer(s.Now, h)
		event.Load = s.load(b)
		s.post(h, incarnation, reducer.ResponseStarted{
			ID: e.ID, Attempt: e.Attempt, Latency: s.Now.Sub(startedAt), Load: event.Load, Notice: event.Notice,
		})
		s.Traffic.ResponseTimes[b.Info.Service] = append(s.Traffic.ResponseTimes[b.Info.Service], s.Now.Sub(r.sentAt))
		event.Delivered, a.begun = true, true
		r.beganAt = s.Now
		s.answerBegan(b, r)
		var finish func()
		finish = func() {
			if a.aborted {
				return
			}
			if rest := a.stalledUntil.Sub(s.Now); rest > 0 {
				s.after(rest, finish)
				return
			}
			b.endAnswer(a)
			if !interrupted() {
				b.Engine.FinishRequest(s.Now, key)
				event.Outcome = reducer.OutcomeDone
			}
			s.runOnHost(h, incarnation, func() {
				if event.Outcome == reducer.OutcomeDone && r.attempt == e.Attempt && r.outcome == "" {
					r.finish(&s.Checker, s.Now, "done")
					s.recordAnswer(r)
				}
				s.reduce(h, event)
			})
		}
		s.after(time.Duration(r.event.OutputTokens)*b.Engine.Spec.TokenTime, finish)
	})
}
