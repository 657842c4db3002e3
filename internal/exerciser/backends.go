package exerciser

import (
	"reflect"
	"time"

	"github.com/redwingpick/redwingpick/internal/modeler"
	"github.com/redwingpick/redwingpick/internal/reducer"
	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// Names of the modelled deployment.
const (
	engineService = "engines"
	plainService  = "desk"
	modelName     = "model"
	callHost      = "calls.example"
	coldFor       = 3 * time.Second
	coldRate      = 7
)

// plainTime is how long a plain service works on a request.
const plainTime = 60 * time.Millisecond

// catalogue returns the operators' configuration of the model; extra is the number of routes that were added.
func (w *World[P]) catalogue(version int64, extra int) *cataloguer.Catalogue {
	stream := cataloguer.Route{
		Name: "stream", HostName: callHost, Prefix: "/stream/", RetryPolicy: cataloguer.RetryStream, Timeout: 5 * time.Second,
		Target: time.Second, GapTarget: 600 * time.Millisecond, Priority: 1, MaxAttempts: 1,
		Split: []cataloguer.Share{{Service: engineService, Weight: 1}},
	}
	resumable := stream
	resumable.Name, resumable.Prefix, resumable.Resumable, resumable.MaxAttempts = "resumable", "/resumable/", true, 2
	safe := cataloguer.Route{
		Name: "safe", HostName: callHost, Prefix: "/safe/", RetryPolicy: cataloguer.RetrySafe, Timeout: 1500 * time.Millisecond,
		Target: 300 * time.Millisecond, Priority: 2, MaxAttempts: 2, Split: []cataloguer.Share{{Service: plainService, Weight: 1}},
	}
	once := safe
	once.Name, once.Prefix, once.RetryPolicy, once.MaxAttempts = "once", "/once/", cataloguer.RetryNever, 1
	c := &cataloguer.Catalogue{
		Version: version,
		Routes:  []cataloguer.Route{stream, resumable, safe, once},
		Services: []cataloguer.Service{
			{Name: engineService, MaxConnections: 360, ColdDuration: coldFor, ColdRate: coldRate, Engine: &cataloguer.Engine{
				Slots: w.Options.Spec.Slots, CacheTokens: 220_000, AdapterSlots: w.Options.Spec.AdapterSlots, MemoryMB: 66_000,
				LoadsPerSecond: 2, Models: []cataloguer.Model{{Name: modelName, WeightsMB: 65_000, LoadDuration: 2 * time.Second}},
			}},
			{Name: plainService, MaxConnections: 96},
		},
		Accounts: []cataloguer.Account{
			{Name: "large", Keys: []string{"key-large"}, Priority: -1, Rate: largeRate * w.scale(), Burst: largeRate * w.scale(), ByTokens: true, PlainTokens: 200},
			{Name: "small", Keys: []string{"key-small"}, Priority: -1, Rate: smallRate * w.scale(), Burst: smallRate * w.scale(), ByTokens: true, PlainTokens: 200},
		},
	}
	for i := range extra {
		route := safe
		route.Name = "extra"
		route.Prefix = extraPrefix(i)
		c.Routes = append(c.Routes, route)
	}
	return c
}

// scale makes the accounts' rates grow with the fleet.
//
// With Options.More they are too small for the traffic.
func (w *World[P]) scale() float64 {
	scale := max(float64(w.Options.Hosts)/usualHosts, 1)
	if w.Options.More {
		return scale * narrowShare
	}
	return scale
}

// narrowShare is the part of the usual rates that accounts have with Options.More.
const narrowShare = 0.2

// slowestLoads is how many times longer than expected the loads of an engine take at most with Options.More.
const slowestLoads = 4

// Rates of the accounts in tokens a second, in a fleet of usualHosts.
const (
	largeRate  = 100_000
	smallRate  = 40_000
	usualHosts = 6
)

func extraPrefix(i int) string { return "/extra-" + string(rune('a'+i%26)) + "/" }

func (w *World[P]) publishCatalogue() {
	w.Callers.version++
	c := w.catalogue(w.Callers.version, int(w.Callers.version-1))
	w.Store.Put(cataloguer.Document{Key: "catalogue", Kind: cataloguer.KindCatalogue, Catalogue: c, Raw: []byte("catalogue")})
	w.Callers.publishedAt = append(w.Callers.publishedAt, w.Now)
}

// startBackend starts a new incarnation of a backend server and publishes it.
func (w *World[P]) startBackend(id, service, domain string) {
	b, known := w.Backends[id]
	if !known {
		b = &Backend{}
		w.Backends[id] = b
	}
	b.Up = true
	b.LeftAt = time.Time{}
	b.Info = cataloguer.Backend{ID: id, Service: service, Address: id, FailureDomain: domain, StartedUnixMs: w.Now.UnixMilli(), Slots: 6}
	if service == engineService {
		b.Info.Slots = w.Options.Spec.Slots
		b.Info.Models = []cataloguer.Resident{{Model: modelName}}
		b.Engine = modeler.NewEngine(w.Options.Spec)
		b.Engine.LatestVersions = w.Checks.newest
		if w.Options.More {
			b.Engine.Spec.LoadTime *= time.Duration(1 + w.more.IntN(slowestLoads))
		}
		if known {
			b.Info.ColdDuration = coldFor
			b.ColdFrom = w.Now
		}
	} else {
		b.Engine = modeler.NewEngine(modeler.Spec{Slots: 6, QueueSize: 24})
	}
	w.publish(b)
	if w.Options.Orders && !known && service == engineService {
		w.after(heartbeatEvery, func() { w.heartbeat(b) })
	}
}

func (w *World[P]) publish(b *Backend) {
	info := b.Info
	if w.Options.Orders && info.Service == engineService {
		info.Models = []cataloguer.Resident{{Model: modelName, Adapters: b.Engine.Resident(w.Now)}}
	}
	b.Told = info.Models
	w.Store.Put(cataloguer.Document{
		Key: "backends/" + info.ID, Kind: cataloguer.KindBackend, Name: info.ID, Backend: &info, Raw: []byte(info.ID),
	})
}

// heartbeatEvery is the time between two looks at whether an engine's entry is still true.
const heartbeatEvery = 1200 * time.Millisecond

// heartbeat publishes what an engine holds whenever that has changed.
func (w *World[P]) heartbeat(b *Backend) {
	if b.Up && !reflect.DeepEqual(b.Told, []cataloguer.Resident{{Model: modelName, Adapters: b.Engine.Resident(w.Now)}}) {
		w.publish(b)
	}
	w.after(heartbeatEvery, func() { w.heartbeat(b) })
}

// crash ends a backend server; its entry lapses later.
func (w *World[P]) crash(b *Backend) {
	b.Up = false
	born := b.Info.StartedUnixMs
	w.after(lapseAfter, func() {
		if !b.Up && b.Info.StartedUnixMs == born {
			w.Store.Remove("backends/" + b.Info.ID)
		}
	})
}

// lapseAfter is how long the entry of a crashed backend server stays.
const lapseAfter = 3600 * time.Millisecond

// leave publishes that a backend server leaves, and ends it later.
func (w *World[P]) leave(b *Backend) {
	b.Info.Draining = true
	b.LeftAt = w.Now
	w.publish(b)
	w.after(w.Options.Limits.DrainDeadline+5*time.Second, func() {
		b.Up = false
		w.Store.Remove("backends/" + b.Info.ID)
	})
}

// Vanish removes the entry of a backend server that goes on serving for a while and tells nobody that it leaves.
func (w *World[P]) Vanish(b *Backend) {
	w.tell("%s leaves without a word", b.Info.ID)
	b.LeftAt = w.Now
	w.Store.Remove("backends/" + b.Info.ID)
	w.after(w.Options.Limits.DrainDeadline+5*time.Second, func() { b.Up = false })
}

// dispatch carries a request to its backend server and its answer back.
func (w *World[P]) dispatch(h *Host, e reducer.Dispatch) {
	incarnation := h.Incarnation
	ended := reducer.DispatchEnded{ID: e.ID, Backend: e.Backend, Attempt: e.Attempt}
	r := w.Callers.requests[requestKey(h.ID, incarnation, e.ID)]
	if r == nil {
		w.Checks.fail(w.Now, "unasked", e.ID)
		return
	}
	r.attempt = e.Attempt
	w.Checks.dispatched(w.Now, r, e)
	w.after(w.delay(), func() {
		b, ok := w.Backends[e.Backend]
		if !ok || !b.Up || !w.connected(h.ID, e.Backend) {
			ended.Outcome = reducer.OutcomeNotSent
			w.after(w.delay(), func() { w.post(h, incarnation, ended) })
			return
		}
		key := r.event.adapter()
		if b.Info.Service != engineService {
			key = reducer.AdapterKey{}
		}
		first, outcome := b.Engine.StartRequest(w.Now, key, e.Version, r.event.PromptTokens)
		w.Checks.repeated(w.Now, w.Options.Limits, b.Info.Service, r)
		// The pages do not count requests for an adapter that is not there.
		if outcome != reducer.OutcomeNotLoaded {
			w.Checks.arrived(w.Now, w.touched(h), b, h)
		}
		if outcome != reducer.OutcomeDone {
			ended.Outcome = outcome
			w.after(w.delay(), func() { w.post(h, incarnation, ended) })
			return
		}
		r.ran(&w.Checks, w.scale(), w.Now)
		if a, ok := b.Engine.Adapters[key]; ok && w.touched(h) {
			w.Checks.begun(w.Now, key, a.Version, h)
		}
		w.answer(h, b, r, e, first, key)
	})
}

// answer brings the first piece and the end of an answer back; a backend server that ends meanwhile breaks it off.
func (w *World[P]) answer(h *Host, b *Backend, r *Request, e reducer.Dispatch, first time.Time, key reducer.AdapterKey) {
	incarnation := h.Incarnation
	born := b.Info.StartedUnixMs
	began := w.Now
	ended := reducer.DispatchEnded{ID: e.ID, Backend: e.Backend, Attempt: e.Attempt, Outcome: reducer.OutcomeBroken}
	work := plainTime
	if b.Info.Service == engineService {
		work = first.Sub(w.Now)
	}
	broken := func() bool { return !b.Up || b.Info.StartedUnixMs != born || !w.connected(h.ID, e.Backend) }
	w.after(work, func() {
		if broken() {
			w.post(h, incarnation, ended)
			return
		}
		w.post(h, incarnation, reducer.ResponseStarted{ID: e.ID, Attempt: e.Attempt, After: w.Now.Sub(began)})
		w.after(time.Duration(r.event.OutputTokens)*w.Options.Spec.TokenTime, func() {
			ended.Delivered = true
			if !broken() {
				b.Engine.FinishRequest(w.Now, key)
				ended.Outcome = reducer.OutcomeDone
			}
			w.awake(h, incarnation, func() {
				if ended.Outcome == reducer.OutcomeDone && r.attempt == e.Attempt && r.ended == "" {
					r.end(&w.Checks, w.Now, "done")
				}
				w.reduce(h, ended)
			})
		})
	})
}
