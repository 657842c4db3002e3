package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// resetBody is the size of a request's body, a quarter of max_body_bytes: more than the buffers on the way take.
	resetBody = 1 << 20
	// resetAnswer is the size of a whole answer, the mean on the sheet; a runner sends half of it as soon as it has read the header, and the
	// rest when it has done its work.
	resetAnswer = 800
	resetWork   = 400 * time.Millisecond
	// resetRounds is the number of crashes, one after the other, of one of four runners, and resetClients the number of requests that are
	// under way at a time.
	resetRounds  = 3
	resetClients = 4 * unarySlots
)

// wholeAnswer is the body with which a runner answers a request.
func wholeAnswer(id string) string {
	text := "answer to " + id + " "
	return (strings.Repeat(text, resetAnswer/len(text)+1))[:resetAnswer]
}

// earlyRunner is the process of a runner that answers long requests before it has read their bodies, with answers that have no length and end
// with their channel.
func earlyRunner(id string) {
	socket, err := listenAsOverEthernet()
	check(err)
	fmt.Println(socket.Addr())
	for {
		conn, err := socket.Accept()
		check(err)
		go answerEarly(conn, id)
	}
}

func answerEarly(conn net.Conn, runner string) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	request, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	if want := request.Header.Get("Expect-Instance"); want != runner {
		fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", runner)
		return
	}
	id := request.Header.Get("Request-Id")
	body := wholeAnswer(id)
	fmt.Println("run", id)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Seal: seal.%s.%s\r\nConnection: close\r\n\r\n%s", id, runner, id, body[:resetAnswer/2])
	time.Sleep(resetWork)
	_, _ = conn.Write([]byte(body[resetAnswer/2:]))
	_ = conn.(*net.TCPConn).CloseWrite()
	// It reads on what is left of the request, so that the channel ends without a reset.
	_, _ = reader.WriteTo(&bytes.Buffer{})
}

// crashingRunner is an earlyRunner in a process of its own, with its entry in the store.
type crashingRunner struct {
	*runner
	process *exec.Cmd
}

func (f *fleet) startCrashing(id, zone string) *crashingRunner {
	self, err := os.Executable()
	check(err)
	command := exec.Command(self, "early-runner", id)
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	output, err := command.StdoutPipe()
	check(err)
	check(command.Start())
	lines := bufio.NewScanner(output)
	if !lines.Scan() {
		check(fmt.Errorf("the runner %s did not start", id))
	}
	c := &crashingRunner{process: command}
	c.runner = &runner{
		id: id, service: unaryService, zone: zone, address: lines.Text(), store: f.store, record: f.record, state: "ready",
		born: time.Now().UnixMilli(), stopped: make(chan struct{}),
	}
	go func() {
		for lines.Scan() {
			f.record.line("run id=%s runner=%s", strings.TrimPrefix(lines.Text(), "run "), c.id)
		}
	}()
	c.publish()
	go c.beat()
	return c
}

func (c *crashingRunner) end() {
	close(c.stopped)
	_ = c.process.Process.Kill()
	_ = c.process.Wait()
}

// witness sends a request to a runner directly, with a part of its body, and then only reads: it tells how the runner's answers ended.
func (f *fleet) witness(c *crashingRunner) <-chan error {
	seen := make(chan error, 1)
	conn, err := net.Dial("tcp", c.address)
	check(err)
	fmt.Fprintf(conn, "POST /confirm/2f HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nExpect-Instance: %s\r\nContent-Length: %d\r\n\r\n%s",
		clientHost, "witness-"+newID(), c.id, resetBody, make([]byte, 64<<10))
	go func() {
		_ = conn.SetReadDeadline(time.Now().Add(time.Second))
		_, err := bufio.NewReader(conn).WriteTo(&bytes.Buffer{})
		_ = conn.Close()
		seen <- err
	}()
	return seen
}

// resetCase: a runner crashes while it answers requests whose bodies it has not read yet.
func resetCase(dir, daemon string, rec *recorder, trouble bool) bool {
	f := newFleet(dir, daemon, rec, []any{map[string]any{"name": "hule930", "api_keys": []string{clientKey}, "priority": 1}})
	defer f.stop()
	close(f.unary[2].stopped)
	f.store.remove("servers/" + f.unary[2].id)
	f.startHosts()
	held, answered := true, 0
	current := f.startCrashing("i-c0", "howrah")
	time.Sleep(settleTime)
	if !f.awaitReady() {
		fmt.Fprintln(os.Stderr, "the hosts are not ready")
		f.stop()
		os.Exit(exitCouldNotRun)
	}
	for round := range resetRounds {
		var wait sync.WaitGroup
		answers := make([]answer, resetClients)
		for i := range answers {
			wait.Add(1)
			go func() {
				defer wait.Done()
				opened, err := openChannel(f.hosts[i%len(f.hosts)].front)
				check(err)
				answers[i] = opened.send(request{method: "POST", path: "/confirm/2f", key: clientKey, deadline: 3 * time.Second, body: make([]byte, resetBody)})
				_ = opened.conn.Close()
			}()
		}
		witnessed := f.witness(current)
		time.Sleep(resetWork / 2)
		if trouble {
			rec.line("crash runner=%s", current.id)
			current.end()
		}
		wait.Wait()
		rec.line("a witness on a channel of its own to the runner saw %v", <-witnessed)
		for _, a := range answers {
			whole := a.err == nil && (a.body == wholeAnswer(a.id) || a.body == "answer to "+a.id+"\n")
			rec.line("answer id=%s status=%d bytes=%d whole=%v err=%v", a.id, a.status, len(a.body), whole, a.err)
			if a.err == nil && a.status == 200 {
				answered++
				if !whole {
					held = false
				}
			}
		}
		if trouble {
			f.store.remove("servers/" + current.id)
			current = f.startCrashing(fmt.Sprintf("i-c%d", round+1), "howrah")
		}
		time.Sleep(5 * time.Second)
	}
	current.end()
	if !trouble && answered == 0 {
		fmt.Fprintln(os.Stderr, "no request was answered")
		f.stop()
		os.Exit(exitCouldNotRun)
	}
	return held
}
