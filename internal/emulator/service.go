package emulator

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/redwingpick/redwingpick/internal/dispatcher"
	"github.com/redwingpick/redwingpick/internal/modeler"
)

// Store is the weight store that all engines of one stand-in process share.
type Store struct {
	mutex sync.Mutex
	Model modeler.Store
}

// Transfer waits for as long as one load takes, or reports false if the store refuses it.
func (s *Store) Transfer() bool {
	s.mutex.Lock()
	if !s.Model.Admit(time.Now()) {
		s.mutex.Unlock()
		return false
	}
	took := s.Model.Begin()
	s.mutex.Unlock()
	time.Sleep(took)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.Model.End()
	return true
}

// Runs counts how often each request ran and whether a key ever reached a backend server.
type Runs struct {
	mutex    sync.Mutex
	ByID     map[string]int
	KeysSeen int
}

// Count notes one run of a request.
func (r *Runs) Count(id, _ string, keySeen bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.ByID == nil {
		r.ByID = map[string]int{}
	}
	r.ByID[id]++
	if keySeen {
		r.KeysSeen++
	}
}

// Handler returns the HTTP handler that reports the counts.
func (r *Runs) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		writeJSON(w, map[string]any{"by_id": r.ByID, "keys_seen": r.KeysSeen})
	})
}

// Service is the stand-in of one plain service, some of whose calls may not be repeated.
type Service struct {
	ID   string
	Runs *Runs

	mutex       sync.Mutex
	faults      Faults
	running     int
	incarnation uint64
	orders      int
}

// Handler returns the HTTP handler of the service.
func (s *Service) Handler() http.Handler {
	s.incarnation = uint64(time.Now().UnixNano())
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/state", s.state)
	mux.HandleFunc("POST /v1/call/{name}", s.call)
	mux.HandleFunc("POST /faults", s.setFaults)
	return mux
}

func (s *Service) state(w http.ResponseWriter, _ *http.Request) {
	s.mutex.Lock()
	down := s.faults.Down
	state := dispatcher.StateResponse{Incarnation: s.incarnation, Running: s.running}
	s.mutex.Unlock()
	if down {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	writeJSON(w, state)
}

// call runs one call; silent runs it and never answers.
func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get(dispatcher.HeaderRequestID)
	s.mutex.Lock()
	s.running++
	s.orders++
	number := s.orders
	faults := s.faults
	s.mutex.Unlock()
	s.Runs.Count(string(body), id, r.Header.Get("Authorization") != "")
	wait(r, time.Duration(faults.DelayMs)*time.Millisecond)
	s.mutex.Lock()
	s.running--
	s.mutex.Unlock()
	if faults.Silent {
		<-r.Context().Done()
		return
	}
	w.Header().Set(dispatcher.HeaderRequestID, id)
	w.Header().Set(dispatcher.HeaderIncarnation, strconv.FormatUint(s.incarnation, 10))
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"service":%q,"backend_server":%q,"number":%d}`, r.PathValue("name"), s.ID, number)
}

func (s *Service) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
}
