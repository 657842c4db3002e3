package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// stallAfter is the number of events before a pause of stallTime. The pause is shorter than the gap after which clients abandon a stream:
	// two seconds, four times the objective or eight times gap_aim_ms, whichever is longest, here 4.8 s.
	stallAfter  = 3
	stallTime   = 2 * time.Second
	stallEvents = 10
	// stallClients is the number of streams that a machine carries when their runners pause.
	stallClients = 20
)

// stallCase: the streams of a resumable route pause once, as those of runners that preempt them do. The machines that carry them have just got
// a SIGHUP, with nothing changed.
func stallCase(dir, daemon string, rec *recorder, trouble bool) bool {
	f := newFleet(dir, daemon, rec, []any{map[string]any{"name": "hule930", "api_keys": []string{clientKey}, "priority": 1}})
	defer f.stop()
	for _, e := range f.engines {
		e.serve = func(w http.ResponseWriter, r *http.Request) bool { return e.streamWithPause(w, r, trouble) }
	}
	f.startHosts()
	time.Sleep(settleTime)
	if !f.awaitReady() {
		fmt.Fprintln(os.Stderr, "the hosts are not ready")
		f.stop()
		os.Exit(exitCouldNotRun)
	}
	// Two of six machines are the share of kind hup.
	hosts := f.hosts[:2]
	for _, h := range hosts {
		f.signal(h, syscall.SIGHUP)
	}
	time.Sleep(100 * time.Millisecond)
	answers := make([]answer, len(hosts)*stallClients)
	var wait sync.WaitGroup
	for i := range answers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			opened, err := openChannel(hosts[i%len(hosts)].front)
			check(err)
			answers[i] = opened.send(request{
				method: "POST", path: "/preview/2f", key: clientKey, model: modelName, tokens: "6720,50", deadline: 10 * time.Second,
				prefix: "5c1e07a2:2520,91bd3f06:3780," + newID() + ":420", body: make([]byte, 18000),
			})
			_ = opened.conn.Close()
		}()
		time.Sleep(20 * time.Millisecond)
	}
	wait.Wait()
	whole, cut, other := 0, 0, 0
	for _, a := range answers {
		events := strings.Count(a.body, "id: ")
		rec.line("answer id=%s status=%d events=%d after %v err=%v", a.id, a.status, events, a.took.Round(time.Millisecond), a.err)
		switch {
		case a.err == nil && a.status == http.StatusOK && events == stallEvents:
			whole++
		case a.err != nil:
			cut++
		default:
			other++
		}
	}
	rec.line("whole answers %d, channels that ended without a whole answer %d, other answers %d", whole, cut, other)
	fmt.Printf("whole answers %d, channels that ended without a whole answer %d, other answers %d\n", whole, cut, other)
	if !trouble && whole == 0 {
		f.stop()
		os.Exit(exitCouldNotRun)
	}
	return cut <= 3
}

// streamWithPause answers a request of the resumable route; a run that begins at the start of the stream pauses once.
func (r *runner) streamWithPause(w http.ResponseWriter, req *http.Request, pause bool) bool {
	if !strings.HasPrefix(req.URL.Path, "/preview/") {
		return false
	}
	id, from := req.Header.Get("Request-Id"), 0
	fmt.Sscan(req.Header.Get("Last-Event-Id"), &from)
	r.began(req)
	w.Header().Set("Request-Id", id)
	w.Header().Set("Server-Seal", "seal."+r.id+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	for n := from + 1; n <= stallEvents; n++ {
		wait := tokensPerEvent * stepTime
		if pause && n == stallAfter+1 && from == 0 {
			wait = stallTime
		}
		if !sleep(req.Context(), wait) {
			r.record.line("runner %s: the channel of id=%s has failed after %d events", r.id, id, n-1)
			return true
		}
		fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", n, n, id)
		w.(http.Flusher).Flush()
	}
	return true
}
