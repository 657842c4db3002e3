package listener

import (
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"net/http"
	"net/http/pprof"
	"sync/atomic"

	"github.com/redwingpick/redwingpick/internal/budgeter"
	"github.com/redwingpick/redwingpick/internal/executor"
	"github.com/redwingpick/redwingpick/internal/reducer"
	"github.com/redwingpick/redwingpick/internal/selector"
)

// Operators serves operators and monitoring. Its exported fields are set before Handler.
type Operators[P selector.Policy, C executor.Codec] struct {
	Control *executor.Control[P, C, *Sink]
	// Guard is shown in the status and the metrics.
	Guard *Guard

	sequence atomic.Uint64
}

// Handler returns the HTTP handler for operators.
func (o *Operators[P, C]) Handler() http.Handler {
	o.publish()
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", expvar.Handler())
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /v1/status", o.status)
	mux.HandleFunc("POST /v1/where", o.where)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/heap", pprof.Handler("heap").ServeHTTP)
	return mux
}

// hostStatus is the status of a host with that of its clients.
type hostStatus struct {
	reducer.Status
	Clients budgeter.Status `json:"clients"`
}

// status serves the status of the host as JSON.
func (o *Operators[P, C]) status(w http.ResponseWriter, r *http.Request) {
	status, ok := o.requestStatus(r.Context())
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(hostStatus{Status: status, Clients: o.Guard.Status()})
}

// requestStatus returns the status of the host. It reports ok as false if the control goroutine does not respond in time.
func (o *Operators[P, C]) requestStatus(ctx context.Context) (status reducer.Status, ok bool) {
	id := fmt.Sprintf("status-%d", o.sequence.Add(1))
	resp, ok := postAndWait(ctx, o.Control, id, reducer.StatusRequested{ReplyID: id}).(reducer.StatusResponse)
	return resp.Status, ok
}

// maxWhereBytes bounds the body of a WhereQuery.
const maxWhereBytes = 64 << 10

// where answers where the host would send a request, as JSON.
func (o *Operators[P, C]) where(w http.ResponseWriter, r *http.Request) {
	var q reducer.WhereQuery
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxWhereBytes)).Decode(&q); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	id := fmt.Sprintf("where-%d", o.sequence.Add(1))
	resp, ok := postAndWait(r.Context(), o.Control, id, reducer.WhereRequested{ReplyID: id, Query: q}).(reducer.WhereResponse)
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(resp.Where)
}

// publish publishes the metrics of the host as one expvar variable, once in a process. Names of durations contain the unit.
func (o *Operators[P, C]) publish() {
	if expvar.Get("redwingpick") != nil {
		return
	}
	expvar.Publish("redwingpick", expvar.Func(func() any {
		counters := map[string]any{}
		data, err := json.Marshal(o.Control.Counters())
		if err != nil || json.Unmarshal(data, &counters) != nil {
			return nil
		}
		counters["refused_total_by_reason"] = byReason(o.Control.Counters())
		delete(counters, "refused_by_reason")
		counters["control_busy_ns_total"] = o.Control.BusyTime().Nanoseconds()
		counters["invariants_broken_total"] = o.Control.Violations()
		counters["request_latency_by_kind_service_outcome"] = o.Control.Latencies.Summaries()
		counters["arrivals_waiting"], counters["results_waiting"] = o.Control.Queued()
		counters["log_lines_left_out_total"] = o.Control.Recorder.Dropped()
		counters["goroutines_waiting"] = o.Control.Waiters.Count()
		counters["clients"] = o.Guard.Status()
		if status, ok := o.requestStatus(context.Background()); ok {
			counters["state"] = status.Gauges
		}
		return counters
	}))
}

// byReason returns the numbers of refused requests by reason, without those that are zero.
func byReason(counters reducer.Counters) map[string]uint64 {
	refused := map[string]uint64{}
	for i, n := range counters.RefusedByReason {
		if n > 0 {
			refused[reducer.Reason(i).String()] = n
		}
	}
	return refused
}
