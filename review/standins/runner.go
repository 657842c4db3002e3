package main

import (
	"context"
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

// Sizes and speeds of the stand-in runners, from the sheet of sutokatha-ops.
const (
	heartbeat           = 1200 * time.Millisecond
	modelName           = "daka510000"
	prefillTokensPerMs  = 38
	stepTime            = 4430 * time.Microsecond
	tokensPerEvent      = 5
	adapterLoadTime     = 250 * time.Millisecond
	adapterSlots        = 6
	engineSlots         = 64
	unarySlots          = 6
	unaryWork           = 60 * time.Millisecond
	engineService       = "huvo11a"
	unaryService        = "wuno96b"
	clientHost          = "ficu95.example"
	idleChannelTimeoutS = 5
)

// run is one request that a runner began to work on.
type run struct {
	ID      string
	Runner  string
	Tenant  string
	Tokens  int
	Arrived time.Time
}

// runner is a stand-in of one incarnation of a runner: an engine with adapters, or a unary server.
type runner struct {
	id, service, zone, address string
	engine                     bool
	born                       int64
	store                      *store
	record                     *recorder

	// serve, if set, answers a request in place of the usual work; it returns false to leave it to that.
	serve func(w http.ResponseWriter, r *http.Request) bool

	mutex    sync.Mutex
	state    string
	stopped  chan struct{}
	sequence int64
	adapters map[string]time.Time
	prefill  sync.Mutex
	runs     []run
	server   *http.Server
}

func startRunner(st *store, rec *recorder, id, service, zone string, engine bool) *runner {
	r := &runner{
		id: id, service: service, zone: zone, engine: engine, store: st, record: rec, born: time.Now().UnixMilli(),
		state: "ready", stopped: make(chan struct{}), adapters: map[string]time.Time{},
	}
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	r.address = socket.Addr().String()
	r.server = &http.Server{Handler: r, IdleTimeout: idleChannelTimeoutS * time.Second}
	go func() { _ = r.server.Serve(socket) }()
	r.publish()
	go r.beat()
	return r
}

func (r *runner) beat() {
	for {
		select {
		case <-r.stopped:
			return
		case <-time.After(heartbeat):
			r.publish()
		}
	}
}

// publish writes the runner's entry into the store.
func (r *runner) publish() {
	r.mutex.Lock()
	entry := map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "state": r.state, "cold_remaining_ms": 0,
		"sequence": r.sequence, "born": r.born, "slots": unarySlots,
	}
	if r.engine {
		entry["slots"], entry["stage"], entry["models"] = engineSlots, "both", r.models()
	}
	r.mutex.Unlock()
	r.store.put("servers/"+r.id, entry)
}

// models lists what the engine holds. The caller holds the mutex.
func (r *runner) models() []any {
	adapters := []string{}
	for name, ready := range r.adapters {
		if !time.Now().Before(ready) {
			adapters = append(adapters, name+"@1")
		}
	}
	sort.Strings(adapters)
	return []any{map[string]any{"name": modelName, "version": 1, "adapters": adapters}}
}

func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	w.Header().Set("Instance-Id", r.id)
	if want := req.Header.Get("Expect-Instance"); want != "" && want != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch req.URL.Path {
	case "/redwingpick/report":
		r.serveReport(w)
		return
	case "/redwingpick/order":
		r.serveOrder(w, req)
		return
	}
	if r.serve != nil && r.serve(w, req) {
		return
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	r.serveRequest(w, req)
}

func (r *runner) serveReport(w http.ResponseWriter) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	coming := []string{}
	for name, ready := range r.adapters {
		if time.Now().Before(ready) {
			coming = append(coming, modelName+"/"+name+"@1")
		}
	}
	writeJSON(w, map[string]any{
		"stage": "both", "models": r.models(), "busy": false, "sequence": r.sequence, "queued": 0, "active": 0, "kv_used": 0,
		"kv_total": 224867, "handles": 0, "coming": coming, "born": r.born,
	})
}

func (r *runner) serveOrder(w http.ResponseWriter, req *http.Request) {
	var order struct {
		Operation, Model, Adapter, Holder string
		Fence                             int64
	}
	if json.NewDecoder(req.Body).Decode(&order) != nil || order.Holder == "" || order.Adapter == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.sequence++
	if order.Operation == "unload" {
		delete(r.adapters, order.Adapter)
		return
	}
	if _, ok := r.adapters[order.Adapter]; ok {
		return
	}
	if len(r.adapters) >= adapterSlots {
		r.record.line("runner %s: ordered to load more than its slots", r.id)
	}
	r.adapters[order.Adapter] = time.Now().Add(adapterLoadTime)
	w.WriteHeader(http.StatusAccepted)
}

// holds reports whether the model or adapter that a request names can be used.
func (r *runner) holds(model string) bool {
	_, adapter, found := strings.Cut(model, "/")
	if !found {
		return true
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	ready, ok := r.adapters[adapter]
	return ok && !time.Now().Before(ready)
}

// serveRequest runs a request: a stream of events on an engine, one answer on a unary server.
func (r *runner) serveRequest(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	w.Header().Set("Keep-Alive", "timeout="+strconv.Itoa(idleChannelTimeoutS))
	if r.engine && !r.holds(req.Header.Get("Model")) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.began(req)
	w.Header().Set("Server-Seal", "seal."+r.id+"."+id)
	if !r.engine {
		if !sleep(req.Context(), unaryWork) {
			return
		}
		answer := []byte("answer to " + id + "\n")
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
		_, _ = w.Write(answer)
		return
	}
	r.stream(w, req)
}

// began records that the runner works on a request.
func (r *runner) began(req *http.Request) {
	prompt, output := tokenCount(req.Header.Get("Token-Count"))
	began := run{
		ID: req.Header.Get("Request-Id"), Runner: r.id, Tenant: req.Header.Get("Tenant"), Tokens: prompt + output, Arrived: time.Now(),
	}
	r.mutex.Lock()
	r.runs = append(r.runs, began)
	r.mutex.Unlock()
	r.record.line("run id=%s runner=%s tenant=%s tokens=%d", began.ID, r.id, began.Tenant, began.Tokens)
}

// stream reads the last part of the prompt, the others being cached, and sends one event for each tokensPerEvent output tokens.
func (r *runner) stream(w http.ResponseWriter, req *http.Request) {
	parts := strings.Split(req.Header.Get("Prompt-Prefix"), ",")
	_, own, _ := strings.Cut(parts[len(parts)-1], ":")
	tokens, _ := strconv.Atoi(own)
	r.prefill.Lock()
	ok := sleep(req.Context(), time.Duration(float64(tokens)/prefillTokensPerMs*float64(time.Millisecond)))
	r.prefill.Unlock()
	if !ok {
		return
	}
	_, output := tokenCount(req.Header.Get("Token-Count"))
	w.Header().Set("Content-Type", "text/event-stream")
	for n := 1; n <= max(output/tokensPerEvent, 1); n++ {
		if !sleep(req.Context(), tokensPerEvent*stepTime) {
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", n, n, req.Header.Get("Request-Id"))
		w.(http.Flusher).Flush()
	}
}

func (r *runner) allRuns() []run {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]run(nil), r.runs...)
}

func tokenCount(text string) (prompt, output int) {
	first, second, _ := strings.Cut(text, ",")
	prompt, _ = strconv.Atoi(first)
	output, _ = strconv.Atoi(second)
	return prompt, output
}

// sleep waits and reports false if the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
