package exerciser

import (
	"fmt"
	"math"
	"time"

	"github.com/redwingpick/redwingpick/internal/reducer"
	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// Callers is the modelled traffic.
type Callers struct {
	Sent    int
	Done    int
	Refused map[string]int

	requests    map[string]*Request
	version     int64
	publishedAt []time.Time
}

// arrival is the event of a request.
type arrival struct{ reducer.RequestArrived }

func (a arrival) adapter() reducer.AdapterKey {
	return reducer.AdapterKey{Model: a.Model, Adapter: a.Adapter}
}

// Request is one request of the modelled traffic, as its caller and the backend servers see it.
type Request struct {
	event   arrival
	host    *Host
	account string
	once    bool
	sentAt  time.Time
	runs    int
	attempt int
	// arrivals counts how often the request came to a backend server.
	arrivals int
	ended    string
	// notRun is set once the caller has been told that the request has not run.
	notRun bool
}

func requestKey(host string, incarnation uint64, id string) string {
	return fmt.Sprintf("%s/%d/%s", host, incarnation, id)
}

// send lets a caller send a request to a host.
func (w *World[P]) send(h *Host) {
	if !h.Up || !h.State.Ready {
		return
	}
	w.Callers.Sent++
	e := reducer.RequestArrived{
		ID: fmt.Sprint(w.Callers.Sent), CallerID: fmt.Sprint(w.Callers.Sent), At: w.Now, HostName: callHost, TimeLeft: 5 * time.Second, Key: "key-large",
	}
	r := &Request{host: h, sentAt: w.Now, account: "large"}
	if w.random.IntN(4) == 0 {
		e.Key, r.account = "key-small", "small"
	}
	kind := w.random.IntN(5)
	if w.Options.Orders {
		kind = 2 + kind%2
	}
	switch kind {
	case 0:
		e.Path, r.once = "/once/x", true
	case 1:
		e.Path = "/safe/x"
	case 2:
		e.Path = "/resumable/x"
		w.generation(&e)
	default:
		e.Path, r.once = "/stream/x", true
		w.generation(&e)
	}
	service := engineService
	if e.Adapter == "" {
		service = plainService
	}
	w.Checks.asked[service] = append(w.Checks.asked[service], w.Now)
	w.deliver(h, r, e)
	if w.Options.More && w.more.IntN(leavingShare) == 0 {
		w.leaveEarly(h, r)
	}
}

// One caller in leavingShare leaves early, within leavesWithin.
const (
	leavingShare = 20
	leavesWithin = 1500 * time.Millisecond
	callerLeft   = "caller left"
)

// leaveEarly makes a caller leave before it has its answer.
func (w *World[P]) leaveEarly(h *Host, r *Request) {
	incarnation := h.Incarnation
	w.after(time.Duration(w.more.Int64N(int64(leavesWithin))), func() {
		w.awake(h, incarnation, func() {
			if r.ended == "" {
				r.ended = callerLeft
				w.reduce(h, reducer.RequestAbandoned{ID: r.event.ID})
			}
		})
	})
}

// Declare publishes new versions of much used adapters at random times until the run ends.
func (w *World[P]) Declare(every time.Duration) {
	var next func()
	next = func() {
		key := reducer.AdapterKey{Model: modelName, Adapter: fmt.Sprintf("a%d", 1+w.more.IntN(6))}
		w.Checks.newest[key]++
		w.Checks.declaredAt[key] = w.Now
		w.Store.Put(cataloguer.Document{
			Key: "versions/" + key.Adapter, Kind: cataloguer.KindAdapterVersion, Raw: []byte(key.Adapter),
			AdapterVersion: &cataloguer.AdapterVersion{Model: key.Model, Adapter: key.Adapter, Version: w.Checks.newest[key]},
		})
		w.after(time.Duration(w.more.ExpFloat64()*float64(every)), next)
	}
	next()
}

func (w *World[P]) deliver(h *Host, r *Request, e reducer.RequestArrived) {
	r.event = arrival{e}
	incarnation := h.Incarnation
	w.Callers.requests[requestKey(h.ID, incarnation, e.ID)] = r
	w.post(h, incarnation, e)
	w.after(e.TimeLeft+time.Second, func() {
		if r.ended == "" && h.Up && h.Incarnation == incarnation && !h.Frozen && w.Now.Sub(h.DisturbedAt) > e.TimeLeft+time.Second {
			w.Checks.fail(w.Now, "every_request_ends", h.ID+"/"+e.ID)
		}
		delete(w.Callers.requests, requestKey(h.ID, incarnation, e.ID))
	})
}

// generation draws an adapter, of which few are asked for often, and a size.
func (w *World[P]) generation(e *reducer.RequestArrived) {
	rank := int(math.Pow(w.random.Float64(), -1/0.4))
	e.Model = modelName
	e.Adapter = fmt.Sprintf("a%d", min(rank, 3000))
	if w.Options.Orders {
		e.Adapter = fmt.Sprintf("a%d", 1+w.random.IntN(evenAdapters))
	}
	e.PromptTokens = 500 + w.random.IntN(6000)
	e.OutputTokens = 20 + w.random.IntN(200)
}

// evenAdapters is the number of adapters that requests ask for with Options.Orders.
const evenAdapters = 3000

func (r *Request) ran(c *Checks, scale float64, now time.Time) {
	r.runs++
	c.used(now, scale, r)
	if r.once && r.runs > 1 {
		c.fail(now, "at_most_once", r.event.ID)
	}
	if r.notRun {
		c.fail(now, "not_run_is_true", r.event.ID)
	}
}

func (r *Request) end(c *Checks, now time.Time, how string) {
	if r.ended != "" {
		c.fail(now, "one_answer", r.event.ID+": "+r.ended+", then "+how)
	}
	r.ended = how
}

func (w *World[P]) refused(h *Host, e reducer.Refuse) {
	r := w.Callers.requests[requestKey(h.ID, h.Incarnation, e.ID)]
	if r == nil {
		return
	}
	if w.Callers.Refused == nil {
		w.Callers.Refused = map[string]int{}
	}
	w.Callers.Refused[e.Reason.String()]++
	r.end(&w.Checks, w.Now, e.Reason.String())
	if e.MayHaveRun {
		return
	}
	r.notRun = true
	if r.runs > 0 {
		w.Checks.fail(w.Now, "not_run_is_true", fmt.Sprintf("%s: %s after %d runs", r.event.ID, e.Reason, r.runs))
	}
	w.Checks.refusedFor(w.Now, r, e.Reason)
}

func (w *World[P]) delivered(h *Host, e reducer.DeliverFailure) {
	if r := w.Callers.requests[requestKey(h.ID, h.Incarnation, e.ID)]; r != nil {
		r.end(&w.Checks, w.Now, "failure")
	}
}

func (w *World[P]) cancelled(*Host, reducer.Cancel) {}

// Traffic sends requests at random times until the run ends.
func (w *World[P]) Traffic(perSecond float64) {
	var next func()
	next = func() {
		w.send(w.Hosts[w.random.IntN(len(w.Hosts))])
		w.after(time.Duration(w.random.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	next()
}
