package emulator

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/redwingpick/redwingpick/internal/waiter"
	"github.com/redwingpick/redwingpick/internal/watcher"
	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

const maxWatchWait = 30 * time.Second

// Faults are the failures that a stand-in can be told to show.
type Faults struct {
	Down    bool `json:"down"`
	Silent  bool `json:"silent"`
	Stale   bool `json:"stale"`
	DelayMs int  `json:"delay_ms"`
}

// Platform is the stand-in of the configuration service; its exported fields are set before Handler.
type Platform struct {
	// CallsPerSecond is the rate above which calls are refused; 0 for no limit.
	CallsPerSecond float64

	mutex    sync.Mutex
	values   map[string]value
	frozen   map[string]value
	revision uint64
	changed  chan struct{}
	faults   Faults
	calls    uint64
	refused  uint64
	second   int64
	inSecond float64
}

type value struct {
	data     []byte
	revision uint64
}

// Handler returns the HTTP handler of the service; the paths under /edit are for tests and the demo alone.
func (p *Platform) Handler() http.Handler {
	p.values = map[string]value{}
	p.changed = make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/keys", p.limited(p.keys))
	mux.HandleFunc("GET /v1/values/{key}", p.limited(p.value))
	mux.HandleFunc("PUT /edit/{key}", p.edit)
	mux.HandleFunc("POST /faults", p.setFaults)
	mux.HandleFunc("GET /calls", p.count)
	return mux
}

// Put publishes a value and returns its revision.
func (p *Platform) Put(key string, data []byte) uint64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.put(key, data)
}

func (p *Platform) put(key string, data []byte) uint64 {
	p.revision++
	p.values[key] = value{data: data, revision: p.revision}
	close(p.changed)
	p.changed = make(chan struct{})
	return p.revision
}

func (p *Platform) limited(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mutex.Lock()
		p.calls++
		faults := p.faults
		over := p.overRate(time.Now().Unix())
		p.mutex.Unlock()
		switch {
		case faults.Silent:
			<-r.Context().Done()
			return
		case faults.Down:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case over:
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		wait(r, time.Duration(faults.DelayMs)*time.Millisecond)
		next(w, r)
	}
}

func (p *Platform) overRate(second int64) bool {
	if second != p.second {
		p.second = second
		p.inSecond = 0
	}
	p.inSecond++
	over := p.CallsPerSecond > 0 && p.inSecond > p.CallsPerSecond
	if over {
		p.refused++
	}
	return over
}

func wait(r *http.Request, d time.Duration) {
	if d > 0 {
		waiter.Wait(r.Context(), d)
	}
}

func (p *Platform) keys(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	deadline := time.NewTimer(min(time.Duration(waitMs)*time.Millisecond, maxWatchWait))
	defer deadline.Stop()
	for {
		index, newest, changed := p.index()
		if newest > since {
			writeJSON(w, index)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			writeJSON(w, index)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) index() (watcher.Index, uint64, <-chan struct{}) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	index := watcher.Index{Keys: map[string]uint64{}}
	newest := uint64(0)
	for key, v := range p.seen() {
		index.Keys[key] = v.revision
		newest = max(newest, v.revision)
	}
	return index, newest, p.changed
}

// seen returns the values that readers get, which are old ones while the service is stale.
func (p *Platform) seen() map[string]value {
	if p.faults.Stale {
		return p.frozen
	}
	return p.values
}

func (p *Platform) value(w http.ResponseWriter, r *http.Request) {
	p.mutex.Lock()
	v, ok := p.seen()[r.PathValue("key")]
	p.mutex.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("X-Revision", strconv.FormatUint(v.revision, 10))
	_, _ = w.Write(v.data)
}

// edit publishes a value; with ?expect=R it does so only if the value's present revision is R.
func (p *Platform) edit(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, 2*cataloguer.MaxShardBytes))
	if err != nil || len(data) > cataloguer.MaxShardBytes {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	key := r.PathValue("key")
	if expect := r.URL.Query().Get("expect"); expect != "" && expect != strconv.FormatUint(p.values[key].revision, 10) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	writeJSON(w, map[string]uint64{"revision": p.put(key, data)})
}

func (p *Platform) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if faults.Stale && !p.faults.Stale {
		p.frozen = map[string]value{}
		for key, v := range p.values {
			p.frozen[key] = v
		}
	}
	p.faults = faults
}

func (p *Platform) count(w http.ResponseWriter, _ *http.Request) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	writeJSON(w, map[string]uint64{"calls_total": p.calls, "refused_total": p.refused})
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
