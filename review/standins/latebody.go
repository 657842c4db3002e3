package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// lateBody and lateTokens are the largest body and the largest own part of a prompt of layout-draft on the sheet, and lateEvents the
	// largest number of events.
	lateBody   = 110_000
	lateTokens = 39_600
	lateEvents = 41
	// lateRounds is the number of rounds, and lateClients the number of requests in each.
	lateRounds  = 3
	lateClients = 6
)

// lateReader is a runner that answers requests before it has read long bodies, keeps the channel and reads on later. With prompt set it reads
// them first.
type lateReader struct {
	*runner
	prompt bool
}

func (f *fleet) startLateReader(id, zone string, prompt bool) {
	socket, err := listenAsOverEthernet()
	check(err)
	l := &lateReader{prompt: prompt, runner: &runner{
		id: id, service: engineService, zone: zone, address: socket.Addr().String(), engine: true, store: f.store, record: f.record,
		state: "ready", born: time.Now().UnixMilli(), stopped: make(chan struct{}), adapters: map[string]time.Time{},
	}}
	l.publish()
	go l.beat()
	go func() {
		for {
			conn, err := socket.Accept()
			check(err)
			go l.serveChannel(conn)
		}
	}()
}

// serveChannel serves the requests of one channel, one at a time.
func (l *lateReader) serveChannel(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if request.URL.Path == "/redwingpick/report" {
			report := fmt.Sprintf(`{"stage":"both","models":[{"name":%q,"version":1,"adapters":[]}],"busy":false,"sequence":0,"born":%d}`, modelName, l.born)
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(report), report)
			continue
		}
		if l.prompt {
			_, _ = io.Copy(io.Discard, request.Body)
		}
		l.began(request)
		if l.answer(conn, request) != nil {
			l.record.line("runner %s: the channel of id=%s has failed", l.id, request.Header.Get("Request-Id"))
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
	}
}

// answer runs a request: it reads the prompt, one request at a time, and sends the events.
func (l *lateReader) answer(conn net.Conn, request *http.Request) error {
	id := request.Header.Get("Request-Id")
	l.prefill.Lock()
	time.Sleep(time.Duration(lateTokens/prefillTokensPerMs) * time.Millisecond)
	l.prefill.Unlock()
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Seal: seal.%s.%s\r\nContent-Type: text/event-stream\r\n"+
		"Transfer-Encoding: chunked\r\n\r\n", id, l.id, id)
	for n := 1; n <= lateEvents && err == nil; n++ {
		time.Sleep(tokensPerEvent * stepTime)
		event := fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, id)
		_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
	}
	if err == nil {
		_, err = conn.Write([]byte("0\r\n\r\n"))
	}
	return err
}

// lateCase: runners answer long requests before they have read their bodies, and read on later. The machines that take the requests have
// just got a SIGHUP, with nothing changed.
func lateCase(dir, daemon string, rec *recorder, trouble bool) bool {
	f := newFleet(dir, daemon, rec, []any{map[string]any{"name": "hule930", "api_keys": []string{clientKey}, "priority": 1}})
	defer f.stop()
	for i, e := range f.engines {
		close(e.stopped)
		f.store.remove("servers/" + e.id)
		f.startLateReader(fmt.Sprintf("i-l%d", i), e.zone, !trouble)
	}
	f.startHosts()
	time.Sleep(settleTime)
	if !f.awaitReady() {
		fmt.Fprintln(os.Stderr, "the hosts are not ready")
		f.stop()
		os.Exit(exitCouldNotRun)
	}
	whole, cut, failed := 0, 0, 0
	for round := range lateRounds {
		// Two of six machines are the share of kind hup.
		hosts := f.hosts[2*round : 2*round+2]
		for _, h := range hosts {
			f.signal(h, syscall.SIGHUP)
		}
		time.Sleep(100 * time.Millisecond)
		var wait sync.WaitGroup
		answers := make([]answer, lateClients)
		for i := range answers {
			h := hosts[i%len(hosts)]
			wait.Add(1)
			go func() {
				defer wait.Done()
				opened, err := openChannel(h.front)
				check(err)
				answers[i] = opened.send(request{
					method: "POST", path: "/draft/2f", key: clientKey, model: modelName, deadline: 5 * time.Second, body: make([]byte, lateBody),
					tokens: strconv.Itoa(lateTokens+6300) + ",205", prefix: fmt.Sprintf("5c1e07a2:2520,91bd3f06:3780,%s:%d", newID(), lateTokens),
				})
				_ = opened.conn.Close()
			}()
		}
		wait.Wait()
		for _, a := range answers {
			events := strings.Count(a.body, "id: ")
			rec.line("answer id=%s status=%d events=%d after %v err=%v", a.id, a.status, events, a.took.Round(time.Millisecond), a.err)
			switch {
			case a.err == nil && a.status == 200 && events == lateEvents:
				whole++
			case a.err != nil:
				cut++
			default:
				failed++
			}
		}
		time.Sleep(time.Second)
	}
	rec.line("whole answers %d, channels that ended without a whole answer %d, other answers %d", whole, cut, failed)
	fmt.Printf("whole answers %d, channels that ended without a whole answer %d, other answers %d\n", whole, cut, failed)
	if !trouble && whole == 0 {
		f.stop()
		os.Exit(exitCouldNotRun)
	}
	return cut <= 3
}
