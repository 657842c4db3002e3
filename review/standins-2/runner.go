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

// adapterLoadTime is how long an engine takes to load an adapter.
const adapterLoadTime = 250 * time.Millisecond

// heartbeat is the time between two writes of a runner's entry.
const heartbeat = 1200 * time.Millisecond

// order is one order that an engine has got.
type order struct {
	at                         time.Time
	holder, operation, adapter string
	fence                      int64
}

// run is one start of work on a request.
type run struct {
	runner string
	at     time.Time
}

// runner is one server of a service: an engine if it has a model, else a server of the order desk.
type runner struct {
	id, service, zone, model string
	slots, adapterSlots      int
	// work is how long a request of the order desk takes, and lookupWork the same for one that only reads; 0 for no difference.
	work, lookupWork time.Duration
	// events and eventGap are the number of events of a stream and the time between two of them.
	events   int
	eventGap time.Duration
	// answer, if it is set, answers a request that the runner has run, and reports whether it did.
	answer func(w http.ResponseWriter, r *http.Request) bool
	// deadly is the part of a prompt that crashes the runner; empty for none.
	deadly string
	store  *store
	onRun  func(id string, r run)

	address string
	born    int64

	mutex    sync.Mutex
	adapters map[string]time.Time
	sequence int64
	running  int
	gone     bool
	// down is set while the runner has crashed, and crashes lists when it did.
	down    bool
	crashes []time.Time
	// snapshots are the last states of the runner, the oldest first, which is the one that it reports.
	snapshots []map[string]any
	// overloads counts the orders to load an adapter that came while all places were taken.
	overloads int
	// orders lists the orders that the engine has got since its start.
	orders []order
	server *http.Server
}

// start listens at a free port.
func (s *runner) start() error {
	at := "127.0.0.1:0"
	if s.address != "" {
		at = s.address
	}
	socket, err := net.Listen("tcp", at)
	if err != nil {
		return err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.address, s.born, s.adapters = socket.Addr().String(), time.Now().UnixMilli(), map[string]time.Time{}
	s.sequence, s.running, s.down, s.snapshots = 0, 0, false, nil
	s.server = &http.Server{Handler: s}
	server := s.server
	go func() { _ = server.Serve(socket) }()
	return nil
}

// crash ends the runner's process with all its channels, and starts it again some seconds later under its id.
func (s *runner) crash(st *store) {
	s.mutex.Lock()
	if s.down {
		s.mutex.Unlock()
		return
	}
	s.down = true
	s.crashes = append(s.crashes, time.Now())
	server := s.server
	s.mutex.Unlock()
	_ = server.Close()
	go func() {
		time.Sleep(crashTime)
		if s.start() == nil {
			st.put("servers/"+s.id, s.entry("ready"))
		}
	}()
}

// crashTime is the time for which a runner that has crashed is away.
const crashTime = 3 * time.Second

// entry is what the runner writes about itself into the store.
func (s *runner) entry(state string) map[string]any {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": state,
		"cold_remaining_ms": 0, "stage": "both", "models": s.models(), "sequence": s.sequence, "born": s.born,
	}
}

// models lists what the runner holds; the caller holds the mutex.
func (s *runner) models() []any {
	if s.model == "" {
		return []any{}
	}
	names := []string{}
	for name, ready := range s.adapters {
		if !time.Now().Before(ready) {
			names = append(names, name+"@1")
		}
	}
	sort.Strings(names)
	return []any{map[string]any{"name": s.model, "version": 1, "adapters": names}}
}

// beat writes the entry at once, and again with each heartbeat while the runner is there and its entry changes.
func (s *runner) beat(st *store) {
	last := ""
	for {
		s.mutex.Lock()
		gone, down := s.gone, s.down
		s.mutex.Unlock()
		if gone {
			return
		}
		if down {
			time.Sleep(heartbeat)
			continue
		}
		e := s.entry("ready")
		text, _ := json.Marshal(e["models"])
		if string(text) != last {
			last = string(text)
			st.put("servers/"+s.id, e)
		}
		time.Sleep(heartbeat)
	}
}

// ServeHTTP answers reports, orders and requests.
func (s *runner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/redwingpick/report":
		s.report(w)
	case "/redwingpick/order":
		s.order(w, r)
	default:
		s.request(w, r)
	}
}

// reportLag is how old the values of a report are, and snapshotInterval the time between two of them.
const (
	reportLag        = 200 * time.Millisecond
	snapshotInterval = 50 * time.Millisecond
)

// takeSnapshots keeps what a report says, as of the last moments.
func (s *runner) takeSnapshots() {
	for {
		s.mutex.Lock()
		coming := []string{}
		for name, ready := range s.adapters {
			if time.Now().Before(ready) {
				coming = append(coming, s.model+"/"+name+"@1")
			}
		}
		s.snapshots = append(s.snapshots, map[string]any{
			"stage": "both", "models": s.models(), "busy": false, "sequence": s.sequence, "queued": 0, "active": s.running, "kv_used": 0,
			"kv_total": 224867, "handles": 0, "coming": coming, "born": s.born,
		})
		if kept := int(reportLag/snapshotInterval) + 1; len(s.snapshots) > kept {
			s.snapshots = s.snapshots[len(s.snapshots)-kept:]
		}
		s.mutex.Unlock()
		time.Sleep(snapshotInterval)
	}
}

func (s *runner) report(w http.ResponseWriter) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.snapshots) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, s.snapshots[0])
}

func (s *runner) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Operation, Model, Adapter, Holder string
		Fence                             int64
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Holder == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.orders = append(s.orders, order{at: time.Now(), holder: o.Holder, operation: o.Operation, adapter: o.Adapter, fence: o.Fence})
	_, held := s.adapters[o.Adapter]
	switch {
	case o.Model != s.model || o.Adapter == "":
		w.WriteHeader(http.StatusOK)
	case o.Operation == "load" && !held:
		if len(s.adapters) >= s.adapterSlots {
			s.overloads++
		}
		s.sequence++
		s.adapters[o.Adapter] = time.Now().Add(adapterLoadTime)
		w.WriteHeader(http.StatusAccepted)
	case o.Operation == "unload" && held:
		s.sequence++
		delete(s.adapters, o.Adapter)
		w.WriteHeader(http.StatusOK)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

// request runs a request or rejects it.
func (s *runner) request(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mutex.Lock()
	_, adapter, named := strings.Cut(r.Header.Get("Model"), "/")
	ready, held := s.adapters[adapter]
	if s.model != "" && named && (!held || time.Now().Before(ready)) {
		s.mutex.Unlock()
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if s.running >= 4*s.slots {
		s.mutex.Unlock()
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.running++
	load := fmt.Sprintf("%d,0,%d", s.running, s.slots)
	s.mutex.Unlock()
	defer func() {
		s.mutex.Lock()
		s.running--
		s.mutex.Unlock()
	}()
	s.onRun(id, run{s.id, time.Now()})
	w.Header().Set("Server-Load", load)
	if s.deadly != "" && strings.Contains(","+r.Header.Get("Prompt-Prefix"), ","+s.deadly+":") {
		s.crashAsItAnswers(w, id)
	}
	if s.answer != nil && s.answer(w, r) {
		return
	}
	w.Header().Set("Server-Seal", "seal."+s.id+"."+id)
	if s.model != "" {
		s.stream(w, r)
		return
	}
	work := s.work
	if r.Method == http.MethodGet && s.lookupWork > 0 {
		work = s.lookupWork
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return
	}
	_, _ = fmt.Fprintf(w, "done %s by %s with %d bytes", id, s.id, len(body))
}

// prefillTime is the time from the start of a run of an engine to its answer.
const prefillTime = 50 * time.Millisecond

// crashAsItAnswers crashes the runner as it begins to write an answer.
func (s *runner) crashAsItAnswers(w http.ResponseWriter, id string) {
	time.Sleep(prefillTime)
	w.Header().Set("Server-Seal", "seal."+s.id+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	w.(http.Flusher).Flush()
	s.crash(s.store)
	panic(http.ErrAbortHandler)
}

// stream sends the events of a generation.
func (s *runner) stream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Weight-Versions", "1")
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for i := first + 1; i <= s.events; i++ {
		select {
		case <-time.After(s.eventGap):
		case <-r.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: t%d\n\n", i, i); err != nil {
			return
		}
		w.(http.Flusher).Flush()
	}
}
