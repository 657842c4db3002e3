package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

func engine(i int) *runner {
	return &runner{id: fmt.Sprintf("i-engine-%d", i), service: engines, zone: []string{"kolkata-a", "kolkata-b", "howrah"}[i%3], model: modelName,
		slots: 64, adapterSlots: 6, events: 10, eventGap: 20 * time.Millisecond}
}

func deskRunner(i int) *runner {
	return &runner{id: fmt.Sprintf("i-desk-%d", i), service: desk, zone: []string{"kolkata-a", "kolkata-b", "howrah"}[i%3], slots: 6, work: 60 * time.Millisecond}
}

// load is a number of clients that send one request after another on kept channels.
type load struct {
	fleet   *fleet
	mutex   sync.Mutex
	results []result
	stop    chan struct{}
	group   sync.WaitGroup
}

func newLoad(f *fleet) *load { return &load{fleet: f, stop: make(chan struct{})} }

// client sends the calls that next returns to one machine, with a pause between two, until the load ends.
func (l *load) client(h *host, pause time.Duration, next func(n int) call) {
	l.group.Add(1)
	go func() {
		defer l.group.Done()
		ch := &channel{host: h}
		defer ch.close()
		for n := 0; ; n++ {
			select {
			case <-l.stop:
				return
			case <-time.After(pause):
			}
			res := ch.send(next(n))
			l.mutex.Lock()
			l.results = append(l.results, res)
			l.mutex.Unlock()
		}
	}()
}

func (l *load) end() []result {
	close(l.stop)
	l.group.Wait()
	return l.results
}

// countStatuses writes how many requests ended in which way.
func countStatuses(rec *record, results []result) {
	counts := map[int]int{}
	for _, r := range results {
		counts[r.status]++
	}
	rec.line("%d requests; by status (0: channel closed without an answer, -1: no connection): %v", len(results), counts)
}

// cutChannels returns the requests of kept channels that had been passed on to a sound runner and whose channel was closed without an answer.
func cutChannels(f *fleet, results []result) []result {
	var cut []result
	for _, r := range results {
		if runs := f.runsOf(r.id); r.status == 0 && r.kept && len(runs) > 0 && runs[0].at.Before(r.endAt) {
			cut = append(cut, r)
		}
	}
	return cut
}

// writeCut writes the requests that were cut, and reports whether there are more than the rule allows.
func writeCut(f *fleet, results []result) bool {
	cut := cutChannels(f, results)
	for i, r := range cut {
		if i < 20 {
			f.record.line("request %s to %s at %.3f s: run by %s, %s after %v", r.id, r.host.name, r.sentAt.Sub(f.record.began).Seconds(),
				f.runsOf(r.id)[0].runner, r.text(), r.endAt.Sub(r.sentAt).Round(time.Millisecond))
		}
	}
	f.record.line("%d requests from kept channels were passed on to a sound runner, and their channel was closed without an answer", len(cut))
	return len(cut) > 3
}

// unmarked503 lets two runners of the order desk spoil some of their answers to unsafe requests.
func unmarked503(f *fleet, storeAddress string, trouble bool) (bool, error) {
	f.configure()
	for i := range 4 {
		d := deskRunner(i)
		if i < 2 && trouble {
			d.answer = faultyAnswer
		}
		if err := f.addRunner(d); err != nil {
			return false, err
		}
	}
	if err := f.startHosts(3, storeAddress); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	l := newLoad(f)
	for i, h := range f.hosts {
		for c := range 6 {
			l.client(h, 40*time.Millisecond, func(n int) call {
				return call{id: fmt.Sprintf("%d-%d-%d", i, c, n), route: "confirm", body: "one crate", timeLeft: 3 * time.Second}
			})
		}
	}
	time.Sleep(20 * time.Second)
	results := l.end()
	countStatuses(f.record, results)
	broken := 0
	for _, r := range results {
		promise := r.status == 429 || r.status == 503 || r.status == 408 || r.status == 421
		if runs := f.runsOf(r.id); promise && len(runs) > 0 {
			broken++
			f.record.line("request %s (unsafe) to %s: run by %s, and the client got: %s", r.id, r.host.name, runs[0].runner, r.text())
		}
	}
	f.record.line("%d unsafe requests were run and answered with a status that promises that they were not", broken)
	return broken > 0, nil
}

// faultyEvery is how many of the faulty runner's answers come to one that is spoilt.
const faultyEvery = 20

var faultyCount struct {
	sync.Mutex
	n int
}

// faultyAnswer spoils one answer in faultyEvery: the request has run, and what comes is not the answer to it. It has neither the receipt nor the
// header that says that the request has not run, and every other time it does not name the request either.
func faultyAnswer(w http.ResponseWriter, _ *http.Request) bool {
	faultyCount.Lock()
	faultyCount.n++
	n := faultyCount.n
	faultyCount.Unlock()
	if n%faultyEvery != 0 {
		return false
	}
	time.Sleep(60 * time.Millisecond)
	if n/faultyEvery%2 == 0 {
		w.Header().Del("Request-Id")
	}
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// oddEntry lets another writer change the service in an engine's entry, while its lease holder has loads to order.
func oddEntry(f *fleet, storeAddress string, trouble bool) (bool, error) {
	f.configure()
	var all []*runner
	for i := range 2 {
		e := engine(i)
		all = append(all, e)
		if err := f.addRunner(e); err != nil {
			return false, err
		}
	}
	for i := range 4 {
		d := deskRunner(i)
		d.work = 400 * time.Millisecond
		if err := f.addRunner(d); err != nil {
			return false, err
		}
	}
	if err := f.startHosts(3, storeAddress); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	l := newLoad(f)
	for i, h := range f.hosts {
		for c := range 4 {
			l.client(h, 30*time.Millisecond, func(n int) call {
				return call{id: fmt.Sprintf("confirm-%d-%d-%d", i, c, n), route: "confirm", body: "one crate", timeLeft: 3 * time.Second}
			})
		}
		for c := range 8 {
			l.client(h, 50*time.Millisecond, func(n int) call {
				return call{id: fmt.Sprintf("note-%d-%d-%d", i, c, n), route: "note", model: fmt.Sprintf("%s/a%d", modelName, 1+rand.Intn(40)),
					tokens: "600,50", prefix: fmt.Sprintf("5c1e07a2:400,%08x:200", rand.Uint32()), timeLeft: 12 * time.Second}
			})
		}
	}
	time.Sleep(5 * time.Second)
	if trouble {
		for range 3 {
			odd := all[0].entry("ready")
			odd["service"] = "zuqe77k"
			f.record.line("another writer writes the entry servers/%s with a service that the configuration does not name", all[0].id)
			f.store.put("servers/"+all[0].id, odd)
			time.Sleep(heartbeat)
			f.store.put("servers/"+all[0].id, all[0].entry("ready"))
			time.Sleep(3 * time.Second)
		}
	} else {
		time.Sleep(13 * time.Second)
	}
	results := l.end()
	countStatuses(f.record, results)
	broken := writeCut(f, results)
	for _, h := range f.hosts {
		f.record.line("%s ended %d times", h.name, h.endCount())
	}
	return broken, nil
}

// noBirth lets another writer leave out a field of an engine's entry, and judges the generation numbers of the orders that the engine gets.
func noBirth(f *fleet, storeAddress string, trouble bool) (bool, error) {
	f.configure()
	var all []*runner
	for i := range 2 {
		e := engine(i)
		all = append(all, e)
		if err := f.addRunner(e); err != nil {
			return false, err
		}
	}
	if err := f.startHosts(3, storeAddress); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	l := newLoad(f)
	for i, h := range f.hosts {
		for c := range 6 {
			l.client(h, 50*time.Millisecond, func(n int) call {
				return call{id: fmt.Sprintf("note-%d-%d-%d", i, c, n), route: "note", model: fmt.Sprintf("%s/a%d", modelName, 1+rand.Intn(40)),
					tokens: "600,50", prefix: fmt.Sprintf("5c1e07a2:400,%08x:200", rand.Uint32()), timeLeft: 12 * time.Second}
			})
		}
	}
	time.Sleep(5 * time.Second)
	for range 3 {
		if trouble {
			odd := all[0].entry("ready")
			delete(odd, "born")
			f.record.line("another writer writes the entry servers/%s without the field born", all[0].id)
			f.store.put("servers/"+all[0].id, odd)
			time.Sleep(heartbeat)
			f.store.put("servers/"+all[0].id, all[0].entry("ready"))
			f.record.line("the runner writes its entry again")
		}
		time.Sleep(3 * time.Second)
	}
	countStatuses(f.record, l.end())
	broken := false
	for _, e := range all {
		broken = f.judgeFences(e) || broken
	}
	return broken, nil
}

// judgeFences writes the orders that came with a lower generation number than one before, and reports whether there were any.
func (f *fleet) judgeFences(e *runner) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	var highest order
	lower := 0
	for _, o := range e.orders {
		if o.fence >= highest.fence {
			highest = o
			continue
		}
		lower++
		if lower <= 10 {
			f.record.line("%s got at %.3f s: %s %s from %s with generation number %d, after %d from %s", e.id, o.at.Sub(f.record.began).Seconds(),
				o.operation, o.adapter, o.holder, o.fence, highest.fence, highest.holder)
		}
	}
	f.record.line("%s got %d orders, %d of them with a lower generation number than one before, and %d to load an adapter while all places were taken",
		e.id, len(e.orders), lower, e.overloads)
	return lower > 0
}

// manyParts lets one client send prompts of very many parts, beside ordinary callers.
func manyParts(f *fleet, storeAddress string, trouble bool) (bool, error) {
	f.configure()
	for i := range 2 {
		if err := f.addRunner(engine(i)); err != nil {
			return false, err
		}
	}
	for i := range 4 {
		d := deskRunner(i)
		d.work, d.lookupWork, d.slots = 400*time.Millisecond, 100*time.Millisecond, 16
		if err := f.addRunner(d); err != nil {
			return false, err
		}
	}
	if err := f.startHosts(1, storeAddress); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	l := newLoad(f)
	h := f.hosts[0]
	for c := range 24 {
		l.client(h, 20*time.Millisecond, func(n int) call {
			return call{id: fmt.Sprintf("confirm-%d-%d", c, n), route: "confirm", body: "one crate", timeLeft: 3 * time.Second}
		})
	}
	other := newLoad(f)
	for c := range 40 {
		other.client(h, 20*time.Millisecond, func(n int) call {
			request := call{id: fmt.Sprintf("parts-%d-%d", c, n), route: "lookup", tokens: "1,1", timeLeft: 3 * time.Second}
			if trouble {
				request.prefix = randomParts(1700)
			}
			return request
		})
	}
	for range 50 {
		time.Sleep(time.Second)
		f.record.line("%s uses at most %d MB so far", h.name, h.peak())
		if h.endCount() > 0 {
			break
		}
	}
	time.Sleep(time.Second)
	countStatuses(f.record, other.end())
	results := l.end()
	countStatuses(f.record, results)
	f.record.line("%s ended %d times", h.name, h.endCount())
	return writeCut(f, results), nil
}

func (h *host) peak() int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.peakMB
}

// randomParts returns a prompt prefix of many parts, within the published limit on heads.
func randomParts(count int) string {
	var parts []string
	for range count {
		parts = append(parts, fmt.Sprintf("%06x:1", rand.Intn(1<<24)))
	}
	return strings.Join(parts, ",")
}

// Places in a prompt of a conversation with many turns: the part that differs, and the number of parts.
const (
	deepPlace  = 36
	partCount  = 40
	deadlyPart = "dead0bad"
)

// conversation returns the prompt of a conversation with many turns; the part at the given place is the given one, and the last is its own.
func conversation(place int, part string) string {
	var parts []string
	for i := range partCount - 1 {
		if i == place {
			parts = append(parts, part+":60")
			continue
		}
		parts = append(parts, fmt.Sprintf("5c1e%04x:60", i))
	}
	return strings.Join(append(parts, fmt.Sprintf("%08x:60", rand.Uint32())), ",")
}

// deepPart lets one part far back in long prompts crash the engines.
func deepPart(f *fleet, storeAddress string, trouble bool) (bool, error) {
	f.configure()
	for i := range 6 {
		e := engine(i)
		if trouble {
			e.deadly = deadlyPart
		}
		if err := f.addRunner(e); err != nil {
			return false, err
		}
	}
	if err := f.startHosts(3, storeAddress); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	place := deepPlace
	if os.Getenv("PLACE") != "" {
		place, _ = strconv.Atoi(os.Getenv("PLACE"))
	}
	l := newLoad(f)
	for i, h := range f.hosts {
		for c := range 4 {
			l.client(h, 100*time.Millisecond, func(n int) call {
				return call{id: fmt.Sprintf("sound-%d-%d-%d", i, c, n), route: "draft", model: modelName, tokens: "2400,50",
					prefix: conversation(place, fmt.Sprintf("ab%06x", n%7)), timeLeft: 5 * time.Second}
			})
		}
	}
	time.Sleep(3 * time.Second)
	var deadly []result
	for n := range 30 {
		h := f.hosts[n%len(f.hosts)]
		ch := &channel{host: h}
		res := ch.send(call{id: fmt.Sprintf("deadly-%d", n), route: "draft", model: modelName, tokens: "2400,50",
			prefix: conversation(place, deadlyPart), timeLeft: 5 * time.Second})
		ch.close()
		deadly = append(deadly, res)
		time.Sleep(time.Second)
	}
	results := l.end()
	countStatuses(f.record, results)
	return judgeDeadly(f, deadly, results), nil
}

// contactTime is the bound contact_ms of the deployment.
const contactTime = 3 * time.Second

// judgeDeadly writes what happened to the requests with the part, and reports whether more than three reached runners too late.
func judgeDeadly(f *fleet, deadly, sound []result) bool {
	var crashes []time.Time
	for _, s := range f.runners {
		s.mutex.Lock()
		crashes = append(crashes, s.crashes...)
		s.mutex.Unlock()
	}
	slices.SortFunc(crashes, time.Time.Compare)
	f.record.line("%d crashes of runners", len(crashes))
	late := 0
	for _, r := range deadly {
		for _, a := range f.runsOf(r.id) {
			after := ""
			if len(crashes) >= 5 && a.at.Sub(crashes[4]) > contactTime {
				late++
				after = fmt.Sprintf(", %.1f s after the fifth crash", a.at.Sub(crashes[4]).Seconds())
			}
			f.record.line("request %s, with the part, reached %s at %.3f s%s; the client got: %s", r.id, a.runner, a.at.Sub(f.record.began).Seconds(), after, r.text())
		}
	}
	cut := 0
	for _, r := range sound {
		if r.status == 200 && !r.whole || r.status == 502 || r.status == 0 {
			cut++
		}
	}
	f.record.line("%d requests with the part reached runners later than contact_ms after the fifth crash; %d of %d sound requests were cut or lost", late, cut, len(sound))
	return late > 3
}
