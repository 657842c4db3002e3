package e2e

import (
	"bytes"
	"compress/gzip"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/platform/standin"
)

// untrustedClients is the size of the group of clients of each kind. The tests pass with larger groups too: 300 is what a host must survive.
var untrustedClients = flag.Int("untrusted-clients", 60, "clients of each kind in the tests of untrusted clients")

// The bounds of the tests of untrusted clients. The smallest hosts of the users' deployments have this memory; the descriptors are lowered, so that
// a small group reaches them.
const (
	untrustedMemoryMB = 144
	// untrustedDescriptors is the process's own limit, of which 200 are kept for files.
	untrustedDescriptors    = 800
	untrustedMaxDescriptors = untrustedDescriptors - 200
	publishedMaxBody        = 4 << 20
	untrustedBodySize       = 4_000_000
	// headClientFactor makes up for heads being much smaller than bodies.
	headClientFactor = 10
	// settleTime is how long a group may go on before the test looks at the host; clients end by themselves after clientLifetime.
	settleTime     = 6 * time.Second
	acceptTime     = time.Second
	clientLifetime = 25 * time.Second
)

// untrustedFleet starts one host with the memory and the descriptors of the tests, and publishes the users' limit on bodies.
func untrustedFleet(t *testing.T) (*fleet, *host) {
	f := newFleet(t, 1)
	h := f.hosts[0]
	f.platform.MaxBodyBytes = publishedMaxBody
	f.platform.Configure(0)
	f.descriptors = untrustedDescriptors
	f.restart(h, fmt.Sprintf("memory_mb: %d\n", untrustedMemoryMB))
	f.eventually("the published limit on bodies", 10*time.Second, func() bool {
		return f.send(h, standin.Call{ID: "limit", Route: "safe", Key: standin.KeyLarge, Body: strings.Repeat("x", 100_000)}).Status == http.StatusOK
	})
	return f, h
}

// group is a number of untrusted clients of one kind, each with a connection of its own.
type group struct {
	clients sync.WaitGroup
	// settled counts the clients that have sent everything or whose connection was closed.
	settled atomic.Int64
	size    int
	done    chan struct{}
}

// startGroup starts clients that write what send writes and then keep their connections open until the group is stopped or the host closes them.
func startGroup(t *testing.T, size int, address string, send func(client int, conn net.Conn) error) *group {
	g := &group{size: size, done: make(chan struct{})}
	for i := range size {
		g.clients.Go(func() { g.run(i, address, send) })
	}
	t.Cleanup(g.stop)
	return g
}

func (g *group) run(client int, address string, send func(client int, conn net.Conn) error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		g.settled.Add(1)
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(clientLifetime))
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-g.done:
			_ = conn.Close()
		case <-stop:
		}
	}()
	err = send(client, conn)
	g.settled.Add(1)
	if err == nil {
		_, _ = io.Copy(io.Discard, conn)
	}
}

// settle waits until all clients have sent what they have to send, or for settleTime: a host may leave bytes unread. It returns the most descriptors
// that the host has had open, also in acceptTime after that.
func (f *fleet) settle(h *host, groups []*group) int {
	most := 0
	settled := func() bool {
		most = max(most, f.openDescriptors(h))
		time.Sleep(50 * time.Millisecond)
		for _, g := range groups {
			if g.settled.Load() < int64(g.size) {
				return false
			}
		}
		return true
	}
	for end := time.Now().Add(settleTime); time.Now().Before(end) && !settled(); {
	}
	for end := time.Now().Add(acceptTime); time.Now().Before(end); {
		settled()
	}
	return most
}

func (g *group) stop() {
	select {
	case <-g.done:
	default:
		close(g.done)
	}
	g.clients.Wait()
}

// openDescriptors returns the number of open descriptors of a host's process.
func (f *fleet) openDescriptors(h *host) int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", h.command.Process.Pid))
	assert.NilError(f.t, err)
	return len(entries)
}

// checkSurvives checks that the host's process lives within its bounds and answers an ordinary request while the clients stay open and after they
// have left.
func (f *fleet) checkSurvives(h *host, groups ...*group) {
	f.t.Helper()
	descriptors := f.settle(h, groups)
	f.checkOrdinaryRequest(h, "beside")
	for _, g := range groups {
		g.stop()
	}
	f.checkOrdinaryRequest(h, "after")
	select {
	case err := <-h.exited:
		f.t.Fatalf("the process ended: %v", err)
	default:
	}
	peak := f.peakMemoryMB(h)
	f.t.Logf("%d MB at the peak, %d descriptors", peak, descriptors)
	assert.Check(f.t, peak < untrustedMemoryMB, "%d MB", peak)
	assert.Check(f.t, descriptors <= untrustedMaxDescriptors, "%d descriptors", descriptors)
}

// checkOrdinaryRequest checks that an ordinary caller, who opens a connection and tries again when it is closed
// or the request refused, is answered.
func (f *fleet) checkOrdinaryRequest(h *host, id string) {
	f.t.Helper()
	attempt := 0
	caller := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	f.eventually("an ordinary request "+id, 15*time.Second, func() bool {
		attempt++
		call := standin.Call{ID: fmt.Sprintf("%s-%d", id, attempt), Route: "safe", Key: standin.KeyLarge, Body: "order"}
		return call.Send(caller, h.address).Status == http.StatusOK
	})
}

// requestHead returns the request line and the first lines of a head; the empty line that would end it is missing.
func requestHead(client int, key string) string {
	return fmt.Sprintf("POST /safe/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: untrusted-%d\r\nDeadline-Remaining: 8000\r\nAuthorization: Token %s\r\n",
		standin.HostName, client, key)
}

// headerLines returns header lines of the given size in all.
func headerLines(size int) []byte {
	var lines bytes.Buffer
	for i := 0; lines.Len() < size; i++ {
		fmt.Fprintf(&lines, "X-Filler-%d: %s\r\n", i, strings.Repeat("x", 100))
	}
	return lines.Bytes()
}

// sendHead sends a head of the given size that does not end.
func sendHead(start string, size int) func(client int, conn net.Conn) error {
	lines := headerLines(size)
	return func(client int, conn net.Conn) error {
		if _, err := io.WriteString(conn, strings.ReplaceAll(start, "untrusted-0", fmt.Sprintf("untrusted-%d", client))); err != nil {
			return err
		}
		_, err := conn.Write(lines)
		return err
	}
}

// sendBody sends a body of untrustedBodySize bytes with its length, in pieces of the given size, all but the last byte of it.
func sendBody(start string, piece int, pause time.Duration) func(client int, conn net.Conn) error {
	bytesOfPiece := bytes.Repeat([]byte("x"), piece)
	return func(client int, conn net.Conn) error {
		head := strings.ReplaceAll(start, "untrusted-0", fmt.Sprintf("untrusted-%d", client))
		if _, err := fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n", head, untrustedBodySize); err != nil {
			return err
		}
		for left := untrustedBodySize - 1; left > 0; left -= piece {
			if _, err := conn.Write(bytesOfPiece[:min(piece, left)]); err != nil {
				return err
			}
			time.Sleep(pause)
		}
		return nil
	}
}

// sendChunks sends a chunked body of untrustedBodySize bytes without its last chunk.
func sendChunks(start string, chunk int) func(client int, conn net.Conn) error {
	encoded := fmt.Appendf(nil, "%x\r\n%s\r\n", chunk, strings.Repeat("x", chunk))
	batch := bytes.Repeat(encoded, max(64<<10/len(encoded), 1))
	chunksOfBatch := len(batch) / len(encoded)
	return func(client int, conn net.Conn) error {
		head := strings.ReplaceAll(start, "untrusted-0", fmt.Sprintf("untrusted-%d", client))
		if _, err := io.WriteString(conn, head+"Transfer-Encoding: chunked\r\n\r\n"); err != nil {
			return err
		}
		for left := untrustedBodySize; left > 0; left -= chunk * chunksOfBatch {
			if _, err := conn.Write(batch); err != nil {
				return err
			}
		}
		return nil
	}
}

// sendEmptyLines sends empty lines in place of a request.
func sendEmptyLines(_ int, conn net.Conn) error {
	lines := bytes.Repeat([]byte("\r\n"), 32<<10)
	for range 64 {
		if _, err := conn.Write(lines); err != nil {
			return err
		}
	}
	return nil
}

// Guards against a host that runs out of memory by heads above the published limit that do not end.
func TestHeadsWithoutEndStayWithinMemory(t *testing.T) {
	f, h := untrustedFleet(t)
	f.checkSurvives(h, startGroup(t, headClientFactor**untrustedClients, h.address, sendHead(requestHead(0, "none"), 60<<10)))
}

// Guards against a host that reads empty lines before a request without end.
func TestEmptyLinesWithoutEndStayWithinMemory(t *testing.T) {
	f, h := untrustedFleet(t)
	f.checkSurvives(h, startGroup(t, *untrustedClients, h.address, sendEmptyLines))
}

// Guards against a host that runs out of memory by bodies of legal size that are sent at once and stop just short of their end.
func TestLargeBodiesStayWithinMemory(t *testing.T) {
	f, h := untrustedFleet(t)
	f.checkSurvives(h, startGroup(t, *untrustedClients, h.address, sendBody(requestHead(0, "none"), untrustedBodySize, 0)))
}

// Guards against the same by bodies that are sent in pieces.
func TestLargeBodiesInPiecesStayWithinMemory(t *testing.T) {
	f, h := untrustedFleet(t)
	f.checkSurvives(h, startGroup(t, *untrustedClients, h.address, sendBody(requestHead(0, standin.KeyLarge), 100_000, 50*time.Millisecond)))
}

// Guards against a host that runs out of memory by chunked bodies in large chunks that stop just short of their end.
func TestLargeChunksStayWithinMemory(t *testing.T) {
	f, h := untrustedFleet(t)
	f.checkSurvives(h, startGroup(t, *untrustedClients, h.address, sendChunks(requestHead(0, "none"), 500_000)))
}

// Guards against the same by chunked bodies in tiny chunks, of which the host reads much more than it keeps.
func TestTinyChunksStayWithinMemory(t *testing.T) {
	f, h := untrustedFleet(t)
	f.checkSurvives(h, startGroup(t, *untrustedClients, h.address, sendChunks(requestHead(0, standin.KeySmall), 16)))
}

// Guards against complete bodies of requests that wait, which the host keeps until it has sent them: no server of the service is there.
func TestWaitingLargeBodiesStayWithinMemory(t *testing.T) {
	f, h := untrustedFleet(t)
	f.platform.Server("desk-0").SetBehavior(standin.BehaviorSilent)
	f.platform.Server("desk-1").SetBehavior(standin.BehaviorSilent)
	send := sendBody(requestHead(0, standin.KeyLarge), untrustedBodySize, 0)
	waiting := startGroup(t, *untrustedClients, h.address, func(client int, conn net.Conn) error {
		if err := send(client, conn); err != nil {
			return err
		}
		_, err := conn.Write([]byte("x"))
		return err
	})
	f.settle(h, []*group{waiting})
	f.platform.Server("desk-0").SetBehavior(standin.BehaviorNormal)
	f.platform.Server("desk-1").SetBehavior(standin.BehaviorNormal)
	f.checkSurvives(h, waiting)
}

// Guards against a host that has no descriptors left for ordinary callers because others keep connections without requests.
func TestIdleConnectionsLeaveDescriptors(t *testing.T) {
	f, h := untrustedFleet(t)
	f.checkSurvives(h, startGroup(t, untrustedDescriptors+*untrustedClients, h.address, func(int, net.Conn) error { return nil }))
}

// Guards against a host that has no connections left for ordinary callers, since others do not end the bodies of requests that were refused by their heads.
func TestRefusedRequestsLeaveDescriptors(t *testing.T) {
	f, h := untrustedFleet(t)
	head := fmt.Sprintf("POST /safe/x HTTP/1.1\r\nHost: %s\r\nContent-Length: 1000\r\n\r\n", standin.HostName)
	f.checkSurvives(h, startGroup(t, untrustedDescriptors+*untrustedClients, h.address, func(_ int, conn net.Conn) error {
		_, err := io.WriteString(conn, head)
		return err
	}))
}

// Guards against a host that survives each kind of client but not all of them at once, beside ordinary streams.
func TestAllUntrustedClientsBesideStreamsStayWithinMemory(t *testing.T) {
	f, h := untrustedFleet(t)
	var streams sync.WaitGroup
	for i := range 10 {
		streams.Go(func() {
			for n := range 5 {
				f.send(h, generationCall(fmt.Sprintf("stream-%d-%d", i, n), "stream", fmt.Sprintf("a%d", i%3), 20))
			}
		})
	}
	size := *untrustedClients / 3
	f.checkSurvives(h,
		startGroup(t, headClientFactor*size, h.address, sendHead(requestHead(0, "none"), 60<<10)),
		startGroup(t, size, h.address, sendEmptyLines),
		startGroup(t, size, h.address, sendBody(requestHead(0, standin.KeySmall), untrustedBodySize, 0)),
		startGroup(t, size, h.address, sendBody(requestHead(0, "none"), 100_000, 50*time.Millisecond)),
		startGroup(t, size, h.address, sendChunks(requestHead(0, "other"), 500_000)),
		startGroup(t, size, h.address, sendChunks(requestHead(0, "none"), 16)),
	)
	streams.Wait()
}

// Guards against calls of other hosts that are small on the wire and expand without end.
func TestCompressedCallsStayWithinMemory(t *testing.T) {
	f, h := untrustedFleet(t)
	var compressed bytes.Buffer
	writer := gzip.NewWriter(&compressed)
	_, err := writer.Write(make([]byte, 64<<20))
	assert.NilError(t, err)
	assert.NilError(t, writer.Close())
	head := fmt.Sprintf("%sContent-Encoding: gzip\r\nContent-Length: %d\r\n\r\n", peerCall, compressed.Len())
	f.checkSurvives(h, startGroup(t, *untrustedClients, h.peer, func(_ int, conn net.Conn) error {
		_, err := conn.Write(append([]byte(head), compressed.Bytes()...))
		return err
	}))
}

// peerCall begins the head of a call of another host.
const peerCall = "POST /redwingpick.peer.v1.PeerService/Exchange HTTP/1.1\r\nHost: peer\r\nContent-Type: application/proto\r\n"

// Guards against the same clients at the other addresses of a host: the directory, the readiness check, operators and other hosts.
func TestUntrustedClientsAtOtherAddressesStayWithinMemory(t *testing.T) {
	for _, c := range []struct {
		name, start string
		address     func(h *host) string
	}{
		{"directory", "GET " + standin.DirectoryPath + " HTTP/1.1\r\nHost: directory\r\n", func(h *host) string { return h.directory }},
		{"readiness", "GET " + standin.ReadinessPath + " HTTP/1.1\r\nHost: readiness\r\n", func(h *host) string { return h.readiness }},
		{"operator", "GET /v1/status HTTP/1.1\r\nHost: operator\r\n", func(h *host) string { return h.operator }},
		{"peer", peerCall, func(h *host) string { return h.peer }},
	} {
		t.Run(c.name, func(t *testing.T) {
			f, h := untrustedFleet(t)
			size := *untrustedClients
			f.checkSurvives(h,
				startGroup(t, 2*size, c.address(h), sendHead(c.start, 1_000_000)),
				startGroup(t, size, c.address(h), sendEmptyLines),
				startGroup(t, size, c.address(h), sendBody(c.start, untrustedBodySize, 0)),
				startGroup(t, size, c.address(h), sendChunks(c.start, 500_000)),
				startGroup(t, size, c.address(h), sendChunks(c.start, 16)),
				startGroup(t, untrustedDescriptors/2, c.address(h), func(int, net.Conn) error { return nil }),
			)
		})
	}
}
