package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// reportLag is the age of what a report shows (report_lag_ms of the site).
const reportLag = 200 * time.Millisecond

// slot is an adapter that takes one of an engine's places.
type slot struct {
	ready   time.Time
	running int
	leaving bool
}

// adapterEngine is a stand-in of an engine that loads adapters as it is ordered.
type adapterEngine struct {
	id, zone, address string
	fleet             *fleet

	mutex    sync.Mutex
	server   *http.Server
	born     int64
	sequence int64
	slots    map[string]*slot
	// shown holds what reports show, with the time from which they do.
	shown []shownState
	over  int
	// orders holds the orders that arrived.
	orders []arrivedOrder
}

// arrivedOrder is an order as it arrived at an engine.
type arrivedOrder struct {
	at     time.Time
	holder string
	fence  int64
}

type shownState struct {
	from     time.Time
	sequence int64
	models   []any
	coming   []string
}

func (f *fleet) startAdapterEngine(id, zone string) *adapterEngine {
	e := &adapterEngine{id: id, zone: zone, fleet: f}
	e.start("127.0.0.1:0")
	e.publish()
	go func() {
		for range time.Tick(heartbeat) {
			e.publish()
		}
	}()
	return e
}

// start starts the engine's process, which holds nothing.
func (e *adapterEngine) start(address string) {
	socket, err := net.Listen("tcp", address)
	check(err)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.address = socket.Addr().String()
	e.born, e.sequence, e.slots, e.shown = time.Now().UnixMilli(), 0, map[string]*slot{}, nil
	e.server = &http.Server{Handler: e, IdleTimeout: idleChannelTimeoutS * time.Second}
	e.show()
	go func(server *http.Server) { _ = server.Serve(socket) }(e.server)
}

// publish writes the engine's entry.
func (e *adapterEngine) publish() {
	e.mutex.Lock()
	entry := map[string]any{
		"service": engineService, "address": e.address, "zone": e.zone, "version": "v1", "state": "ready", "cold_remaining_ms": 0,
		"sequence": e.sequence, "born": e.born, "slots": engineSlots, "stage": "both", "models": e.models(),
	}
	e.mutex.Unlock()
	e.fleet.store.put("servers/"+e.id, entry)
}

// models lists the adapters that are loaded. The caller holds the mutex.
func (e *adapterEngine) models() []any {
	adapters := []string{}
	for name, s := range e.slots {
		if !time.Now().Before(s.ready) {
			adapters = append(adapters, name+"@1")
		}
	}
	sort.Strings(adapters)
	return []any{map[string]any{"name": modelName, "version": 1, "adapters": adapters}}
}

// show records what reports will show after their lag. The caller holds the mutex.
func (e *adapterEngine) show() {
	state := shownState{from: time.Now().Add(reportLag), sequence: e.sequence, models: e.models(), coming: []string{}}
	if e.shown == nil {
		state.from = time.Now()
	}
	for name, s := range e.slots {
		if time.Now().Before(s.ready) {
			state.coming = append(state.coming, modelName+"/"+name+"@1")
		}
	}
	e.shown = append(e.shown, state)
}

func (e *adapterEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Instance-Id", e.id)
	if want := r.Header.Get("Expect-Instance"); want != "" && want != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/redwingpick/report":
		e.report(w)
	case "/redwingpick/order":
		e.order(w, r)
	default:
		e.request(w, r)
	}
}

func (e *adapterEngine) report(w http.ResponseWriter) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	state := e.shown[0]
	for _, s := range e.shown {
		if !time.Now().Before(s.from) {
			state = s
		}
	}
	writeJSON(w, map[string]any{
		"stage": "both", "models": state.models, "coming": state.coming, "busy": false, "sequence": state.sequence, "queued": 0, "active": 0,
		"kv_used": 0, "kv_total": 224867, "handles": 0, "born": e.born,
	})
}

func (e *adapterEngine) order(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Operation, Model, Adapter, Holder string
		Fence                             int64
	}
	if json.NewDecoder(r.Body).Decode(&order) != nil || order.Holder == "" || order.Adapter == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	defer e.show()
	s, held := e.slots[order.Adapter]
	e.sequence++
	e.orders = append(e.orders, arrivedOrder{time.Now(), order.Holder, order.Fence})
	e.fleet.record.line("order runner=%s born=%d %s %s held=%v places=%d holder=%s fence=%d", e.id, e.born, order.Operation,
		order.Adapter, held, len(e.slots), order.Holder, order.Fence)
	switch {
	case order.Operation == "unload" && held && s.running > 0:
		s.leaving = true
		w.WriteHeader(http.StatusAccepted)
	case order.Operation == "unload":
		delete(e.slots, order.Adapter)
	case held:
		s.leaving = false
	default:
		if len(e.slots) >= adapterSlots {
			e.over++
			e.fleet.record.line("LIMIT runner=%s is ordered to load %s beside %d adapters", e.id, order.Adapter, len(e.slots))
		}
		loaded := &slot{ready: time.Now().Add(adapterLoadTime)}
		e.slots[order.Adapter] = loaded
		time.AfterFunc(adapterLoadTime+time.Millisecond, func() {
			e.mutex.Lock()
			defer e.mutex.Unlock()
			e.show()
		})
		w.WriteHeader(http.StatusAccepted)
	}
}

// use takes an adapter for a request, or reports false if it is not loaded.
func (e *adapterEngine) use(name string) (s *slot, ok bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	s, ok = e.slots[name]
	if !ok || s.leaving || time.Now().Before(s.ready) {
		return nil, false
	}
	s.running++
	return s, true
}

func (e *adapterEngine) release(name string, s *slot) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	s.running--
	if s.leaving && s.running == 0 && e.slots[name] == s {
		delete(e.slots, name)
		e.show()
	}
}

func (e *adapterEngine) request(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	w.Header().Set("Keep-Alive", "timeout="+strconv.Itoa(idleChannelTimeoutS))
	_, adapter, _ := strings.Cut(r.Header.Get("Model"), "/")
	s, ok := e.use(adapter)
	if !ok {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	defer e.release(adapter, s)
	w.Header().Set("Server-Seal", "seal."+e.id+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	for n := 1; n <= 4; n++ {
		if !sleep(r.Context(), tokensPerEvent*stepTime) {
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", n, n, id)
		w.(http.Flusher).Flush()
	}
}
