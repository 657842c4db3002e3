package emulator

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/redwingpick/redwingpick/internal/dispatcher"
	"github.com/redwingpick/redwingpick/internal/modeler"
)

const (
	aliveEvery = 300 * time.Millisecond
	// unreadFor is how long a sequence runs on while no connection reads it.
	unreadFor = 5 * time.Second
	// keptFor is how long the tokens of an ended sequence can still be read.
	keptFor = 10 * time.Second
)

// EngineFaults are the failures that an engine can be told to show.
type EngineFaults struct {
	Faults
	// Mute stops all streams without closing their connections; new connections work.
	Mute bool `json:"mute"`
	// Cross mixes pieces of another request into each stream.
	Cross bool `json:"cross"`
	// FailLoads refuses the next loads.
	FailLoads int `json:"fail_loads"`
	// Cold makes the engine cold without notice.
	Cold bool `json:"cold"`
	// Restart empties the engine.
	Restart bool `json:"restart"`
}

// Engine is the stand-in of one engine; its exported fields are set before Handler.
type Engine struct {
	ID    string
	Spec  modeler.Spec
	Store *Store
	Runs  *Runs

	mutex   sync.Mutex
	model   *modeler.Engine
	streams map[string]*stream
	faults  EngineFaults
	work    chan struct{}
	report  dispatcher.StateResponse
}

type stream struct {
	adapter modeler.Adapter
	prompt  string
	first   int
	tokens  int
	done    bool
	gone    bool
	readers int
	unread  *time.Timer
	changed chan struct{}
}

// Handler returns the HTTP handler of the engine and starts its batch loop.
func (e *Engine) Handler() http.Handler {
	e.model = modeler.NewEngine(e.Spec, uint64(time.Now().UnixNano()), time.Now())
	e.streams = map[string]*stream{}
	e.work = make(chan struct{}, 1)
	go e.loop()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/state", e.faulty(e.state))
	mux.HandleFunc("POST /v1/adapters", e.faulty(e.load))
	mux.HandleFunc("POST /v1/generate", e.faulty(e.generate))
	mux.HandleFunc("GET /v1/generate/{id}", e.faulty(e.resume))
	mux.HandleFunc("DELETE /v1/generate/{id}", e.stop)
	mux.HandleFunc("POST /faults", e.setFaults)
	return mux
}

func (e *Engine) faulty(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		e.mutex.Lock()
		faults := e.faults
		w.Header().Set(dispatcher.HeaderIncarnation, strconv.FormatUint(e.model.Incarnation, 10))
		e.mutex.Unlock()
		switch {
		case faults.Silent:
			<-r.Context().Done()
			return
		case faults.Down:
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		wait(r, time.Duration(faults.DelayMs)*time.Millisecond)
		next(w, r)
	}
}

// loop steps the batch while it has sequences and sleeps while it has none.
func (e *Engine) loop() {
	for range e.work {
		for {
			e.mutex.Lock()
			if len(e.model.Sequences) == 0 {
				e.mutex.Unlock()
				break
			}
			step := e.model.StepTime(time.Now())
			e.mutex.Unlock()
			time.Sleep(step)
			e.mutex.Lock()
			e.step()
			e.mutex.Unlock()
		}
	}
}

func (e *Engine) step() {
	for _, t := range e.model.Step() {
		s, ok := e.streams[t.ID]
		if !ok {
			continue
		}
		s.tokens = t.Offset + 1
		s.done = t.Last
		s.wake()
		if t.Last {
			id := t.ID
			time.AfterFunc(keptFor, func() { e.forget(id, s) })
		}
	}
}

func (s *stream) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (e *Engine) forget(id string, s *stream) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.streams[id] == s {
		delete(e.streams, id)
	}
}

func (e *Engine) state(w http.ResponseWriter, _ *http.Request) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := e.snapshot()
	if e.Spec.ReportLag > 0 {
		later := now
		time.AfterFunc(e.Spec.ReportLag, func() {
			e.mutex.Lock()
			defer e.mutex.Unlock()
			e.report = later
		})
		if e.report.Incarnation != 0 {
			now = e.report
		}
	}
	writeJSON(w, now)
}

func (e *Engine) snapshot() dispatcher.StateResponse {
	state := dispatcher.StateResponse{Incarnation: e.model.Incarnation, Running: len(e.model.Sequences), Fence: e.model.Fence}
	for a := range e.model.Adapters {
		state.Adapters = append(state.Adapters, dispatcher.AdapterResponse{Name: a.Name, Version: a.Version, Running: e.model.RunningOn(a)})
	}
	return state
}

func (e *Engine) load(w http.ResponseWriter, r *http.Request) {
	var order dispatcher.LoadRequest
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !e.admitLoad(r) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	if !e.Store.Transfer() {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.faults.FailLoads > 0 {
		e.faults.FailLoads--
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	adapter := modeler.Adapter{Name: order.Name, Version: order.Version}
	evict := modeler.Adapter{Name: order.EvictName, Version: order.EvictVersion}
	if err := e.model.Load(adapter, evict); err != nil {
		w.WriteHeader(http.StatusConflict)
	}
}

func (e *Engine) admitLoad(r *http.Request) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.model.CheckFence(fenceOf(r)) == nil
}

func fenceOf(r *http.Request) uint64 {
	fence, _ := strconv.ParseUint(r.Header.Get(dispatcher.HeaderFence), 10, 64)
	return fence
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	var order dispatcher.GenerateRequest
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s, err := e.start(fenceOf(r), order)
	if err != nil {
		w.WriteHeader(statusOf(err))
		return
	}
	e.Runs.Count(order.ID, r.Header.Get(dispatcher.HeaderAccount), r.Header.Get("Authorization") != "")
	e.stream(w, r, order.ID, s, order.Offset)
}

func statusOf(err error) int {
	var refusal modeler.Refusal
	if !errors.As(err, &refusal) {
		return http.StatusInternalServerError
	}
	switch refusal {
	case modeler.RefusedNotLoaded:
		return http.StatusNotFound
	case modeler.RefusedFence:
		return http.StatusConflict
	}
	return http.StatusTooManyRequests
}

func (e *Engine) start(fence uint64, order dispatcher.GenerateRequest) (*stream, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if err := e.model.CheckFence(fence); err != nil {
		return nil, err
	}
	adapter := modeler.Adapter{Name: order.Adapter, Version: order.Version}
	sequence := modeler.Sequence{
		ID: order.ID, Adapter: adapter, Prefill: order.PromptTokens, Next: order.Offset, MaxTokens: order.MaxTokens, Priority: order.Priority,
	}
	if err := e.model.Start(sequence); err != nil {
		return nil, err
	}
	s := &stream{adapter: adapter, prompt: order.Prompt, first: order.Offset, tokens: order.Offset, changed: make(chan struct{})}
	e.streams[order.ID] = s
	select {
	case e.work <- struct{}{}:
	default:
	}
	return s, nil
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	offset, _ := strconv.Atoi(r.URL.Query().Get("offset"))
	id := r.PathValue("id")
	e.mutex.Lock()
	s, ok := e.streams[id]
	e.mutex.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	e.stream(w, r, id, s, offset)
}

func (e *Engine) stop(w http.ResponseWriter, r *http.Request) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.model.Stop(r.PathValue("id"))
	if s, ok := e.streams[r.PathValue("id")]; ok {
		delete(e.streams, r.PathValue("id"))
		s.gone = true
		s.wake()
	}
	w.WriteHeader(http.StatusOK)
}

// stream writes the tokens from an offset on, with signs of life while there are none.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, id string, s *stream, offset int) {
	e.attach(s)
	defer e.detach(id, s)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	control := http.NewResponseController(w)
	_ = control.Flush()
	alive := time.NewTicker(aliveEvery)
	defer alive.Stop()
	for {
		tokens, done, gone, changed, faults := e.progress(s)
		if gone {
			return
		}
		if !faults.Mute {
			for ; offset < tokens; offset++ {
				e.writeEvent(w, dispatcher.GenerateEvent{
					ID: id, Adapter: s.adapter.Name, Version: s.adapter.Version, Offset: offset, Text: modeler.Text(s.adapter, s.prompt, offset),
				}, faults.Cross)
			}
			if done {
				e.writeEvent(w, dispatcher.GenerateEvent{ID: id, Adapter: s.adapter.Name, Version: s.adapter.Version, Done: true}, false)
			}
			_ = control.Flush()
			if done {
				return
			}
		}
		if faults.Mute {
			<-r.Context().Done()
			return
		}
		select {
		case <-changed:
		case <-alive.C:
			_, _ = fmt.Fprint(w, ": alive\n\n")
			_ = control.Flush()
		case <-r.Context().Done():
			return
		}
	}
}

func (e *Engine) writeEvent(w http.ResponseWriter, event dispatcher.GenerateEvent, cross bool) {
	if cross {
		other := event
		other.ID = "other-" + event.ID
		other.Text = "not yours "
		data, _ := json.Marshal(other)
		_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
	}
	data, _ := json.Marshal(event)
	_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
}

func (e *Engine) progress(s *stream) (tokens int, done, gone bool, changed <-chan struct{}, faults EngineFaults) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return s.tokens, s.done, s.gone, s.changed, e.faults
}

func (e *Engine) attach(s *stream) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	s.readers++
	if s.unread != nil {
		s.unread.Stop()
	}
}

func (e *Engine) detach(id string, s *stream) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	s.readers--
	if s.readers == 0 && !s.done {
		s.unread = time.AfterFunc(unreadFor, func() { e.abort(id, s) })
	}
}

// abort stops a sequence that no connection has read for a while.
func (e *Engine) abort(id string, s *stream) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if s.readers == 0 && e.streams[id] == s {
		e.model.Stop(id)
		delete(e.streams, id)
	}
}

func (e *Engine) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults EngineFaults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if faults.Cold {
		e.model.TurnCold(time.Now())
	}
	if faults.Restart {
		e.model.Restart(time.Now())
		for id, s := range e.streams {
			delete(e.streams, id)
			s.gone = true
			s.wake()
		}
	}
	faults.Cold = false
	faults.Restart = false
	e.faults = faults
	for _, s := range e.streams {
		s.wake()
	}
}
