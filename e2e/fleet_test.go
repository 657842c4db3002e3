// Package e2e runs the daemons as separate processes against a stand-in of the users' platform.
package e2e

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/platform/standin"
)

var daemonPath, clientPath string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "redwingpick")
	if err != nil {
		panic(err)
	}
	daemonPath, clientPath = filepath.Join(dir, "redwingpickd"), filepath.Join(dir, "redwingpick")
	if out, err := exec.Command("go", "build", "-o", dir, "../cmd/redwingpickd", "../cmd/redwingpick").CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// fleet is a set of host processes connected to one stand-in platform.
type fleet struct {
	t        *testing.T
	platform *standin.Platform
	hosts    []*host
	// backendProxies holds the proxies in front of the backend servers by server id; it is empty in a fleet without proxies.
	backendProxies map[string]*proxy
	// descriptors is the limit on the open descriptors of hosts that are started from now on; 0 leaves that of the test process.
	descriptors int
}

type host struct {
	name, address, directory, readiness, operator, peer string
	command                                             *exec.Cmd
	settingsPath, logPath                               string
	exited                                              chan error
	// callerProxy carries connections from callers, peerProxy those from peers, and configServiceProxy those to the configuration service.
	// They are nil in a fleet without proxies.
	callerProxy, peerProxy, configServiceProxy *proxy
	// processFault is set while an injected fault pauses, ends or restarts the host's process.
	processFault atomic.Bool
}

// Hosts listen on ports below the ephemeral range, from which the system could otherwise give an outgoing connection the port of a host
// that restarts.
const (
	minPort = 12_000
	maxPort = 32_000
	// portStride separates the ports of test processes with adjacent process ids.
	portStride = 61
)

var nextPort atomic.Int64

func freeAddresses(t *testing.T, count int) []string {
	t.Helper()
	nextPort.CompareAndSwap(0, int64(os.Getpid()*portStride))
	var addresses []string
	for range maxPort - minPort {
		address := fmt.Sprintf("127.0.0.1:%d", minPort+nextPort.Add(1)%(maxPort-minPort))
		socket, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		defer func() { _ = socket.Close() }()
		if addresses = append(addresses, address); len(addresses) == count {
			return addresses
		}
	}
	t.Fatal("too few free ports in the range of the test hosts")
	return nil
}

func newFleet(t *testing.T, hosts int) *fleet { return startFleet(t, hosts, false, 1000) }

// startFleet starts a fleet and waits until its hosts are ready and hold the leases. If proxied is set, each address that hosts, callers
// and backend servers use has a proxy in front of it.
func startFleet(t *testing.T, hosts int, proxied bool, orderLeaseMs int) *fleet {
	platform, err := standin.Start(3, 2)
	assert.NilError(t, err)
	f := &fleet{t: t, platform: platform, backendProxies: map[string]*proxy{}}
	if proxied {
		for _, s := range platform.Servers {
			f.backendProxies[s.ID] = newProxy(t, s.Address)
			s.PublishedAddress, s.OrderLeaseDuration = f.backendProxies[s.ID].address, time.Duration(orderLeaseMs)*time.Millisecond
			s.HostOf, s.ContactDuration = hostOf, contactDuration
			platform.Publish(s.ID)
		}
	}
	addresses := freeAddresses(t, 5*hosts)
	for i := range hosts {
		a := addresses[5*i : 5*i+5]
		h := &host{name: fmt.Sprintf("host-%d", i), address: a[0], readiness: a[1], directory: a[2], operator: a[3], peer: a[4]}
		if proxied {
			h.callerProxy, h.peerProxy, h.configServiceProxy = newProxy(t, a[0]), newProxy(t, a[4]), newProxy(t, platform.ConfigServiceAddress)
		}
		f.hosts = append(f.hosts, h)
	}
	dir := t.TempDir()
	for i, h := range f.hosts {
		h.settingsPath = filepath.Join(dir, h.name+".yaml")
		h.logPath = filepath.Join(dir, h.name+".log")
		assert.NilError(t, os.WriteFile(h.settingsPath, []byte(f.settingsText(h, i, orderLeaseMs)), 0o600))
		f.start(h)
	}
	t.Cleanup(f.stop)
	for _, h := range f.hosts {
		f.eventually("readiness of "+h.name, 10*time.Second,
			func() bool { return getStatus("http://"+h.readiness+standin.ReadinessPath) == 200 })
	}
	f.eventually("the leases of all engines", 12*time.Second, func() bool { return f.leaseCount() == 3 })
	// A new lease holder sends no orders until it has read a report that includes the last possible order of the previous holder.
	time.Sleep(2 * time.Second)
	return f
}

// contactDuration is contact_ms in the hosts' settings.
const contactDuration = 3 * time.Second

func (f *fleet) settingsText(h *host, i, orderLeaseMs int) string {
	peer, configService := h.peer, f.platform.ConfigServiceAddress
	if h.peerProxy != nil {
		peer, configService = h.peerProxy.address, h.configServiceProxy.address
	}
	var seeds []string
	for _, other := range f.hosts[:min(len(f.hosts), 3)] {
		seed := other.peer
		if other.peerProxy != nil {
			seed = other.peerProxy.address
		}
		seeds = append(seeds, strconv.Quote(seed))
	}
	return fmt.Sprintf(`host_id: %s
failure_domain: zone-%d
region: region
address: %q
readiness_address: %q
directory_address: %q
operator_address: %q
peer_address: %q
peer_listen_address: %q
platform: %q
seeds: [%s]
bounds: {config_ms: 2000, drain_ms: 2000, contact_ms: %d, grace_seconds: 6, order_lease_ms: %d, retry_ratio: 0.2, retry_slack: 50,
  retry_window_seconds: 10, directory_seconds: 5, quota_window_seconds: 8, quota_overshoot: 0.25, quota_slack: 2000, load_window_seconds: 5}
`, h.name, i%2, h.address, h.readiness, h.directory, h.operator, peer, h.peer, configService, strings.Join(seeds, ", "),
		contactDuration.Milliseconds(), orderLeaseMs)
}

func (f *fleet) start(h *host) {
	out, err := os.OpenFile(h.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(f.t, err)
	h.command = exec.Command(daemonPath, "--config", h.settingsPath)
	if f.descriptors > 0 {
		limit := fmt.Sprintf("ulimit -n %d && exec \"$0\" \"$@\"", f.descriptors)
		h.command = exec.Command("sh", "-c", limit, daemonPath, "--config", h.settingsPath)
	}
	h.command.Stdout, h.command.Stderr = out, out
	assert.NilError(f.t, h.command.Start())
	h.exited = make(chan error, 1)
	go func(c *exec.Cmd, done chan error) { done <- c.Wait(); _ = out.Close() }(h.command, h.exited)
}

func (f *fleet) stop() {
	for _, h := range f.hosts {
		_ = h.command.Process.Kill()
	}
	if f.t.Failed() {
		for _, h := range f.hosts {
			text, _ := os.ReadFile(h.logPath)
			lines := strings.Split(string(text), "\n")
			f.t.Logf("%s:\n%s", h.name, strings.Join(lines[max(len(lines)-30, 0):], "\n"))
		}
	}
}

// leaseCount returns the number of backend servers whose lease is held, as the first host reports them, or 0 on an error.
func (f *fleet) leaseCount() int {
	text, err := getBody("http://" + f.hosts[0].operator + "/v1/status")
	if err != nil {
		return 0
	}
	var s struct {
		Backends []struct{ Holder string } `json:"backend_servers"`
	}
	_ = json.Unmarshal([]byte(text), &s)
	count := 0
	for _, b := range s.Backends {
		if b.Holder != "" {
			count++
		}
	}
	return count
}

func (f *fleet) eventually(condition string, timeout time.Duration, ok func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if ok() {
			return
		}
	}
	f.t.Fatalf("timed out waiting for %s within %v", condition, timeout)
}

func getStatus(url string) int {
	response, err := http.Get(url)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func getBody(url string) (string, error) {
	response, err := http.Get(url)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

func (f *fleet) send(h *host, c standin.Call) standin.Result { return c.Send(client, h.address) }

// isCompleteStream reports whether body consists of all events of a stream, each once and in order.
func isCompleteStream(body string, events int) bool {
	want := &strings.Builder{}
	for i := 1; i <= events; i++ {
		fmt.Fprintf(want, "id: %d\ndata: t%d\n\n", i, i)
	}
	return body == want.String()
}

func generationCall(id, route, adapter string, events int) standin.Call {
	return standin.Call{
		ID: id, Route: route, Key: standin.KeyLarge, Model: standin.ModelName + "/" + adapter, Tokens: fmt.Sprintf("500,%d", events),
	}
}

func TestFleetServes(t *testing.T) {
	f := newFleet(t, 3)
	var group sync.WaitGroup
	for i := range 60 {
		group.Go(func() {
			r := f.send(f.hosts[i%3], generationCall(fmt.Sprintf("g%d", i), "stream", fmt.Sprintf("a%d", i%9), 10))
			assert.Check(t, r.Status == 200 && isCompleteStream(r.Body, 10), "g%d: %d %q %v", i, r.Status, r.Body, r.Err)
			assert.Check(t, r.Seal != "")
			once := f.send(f.hosts[i%3], standin.Call{ID: fmt.Sprintf("p%d", i), Route: "once", Key: standin.KeyLarge, Body: "order"})
			assert.Check(t, once.Status == 200 && once.Body == "done order", "p%d: %d %q", i, once.Status, once.Body)
		})
	}
	group.Wait()
	assert.Equal(t, f.send(f.hosts[0], standin.Call{ID: "k", Route: "safe", Key: "no-such-key"}).Status, http.StatusUnauthorized)
	assert.Equal(t, f.send(f.hosts[1], standin.Call{ID: "n", Route: "nowhere", Key: standin.KeyLarge}).Status, http.StatusNotFound)
	assert.Equal(t,
		f.send(f.hosts[2], standin.Call{ID: "b", Route: "once", Key: standin.KeyLarge, Body: strings.Repeat("x", 70_000)}).Status,
		http.StatusRequestEntityTooLarge)
	for _, s := range f.platform.Servers {
		stats := s.Stats()
		assert.Equal(t, stats.RequestsWithKey, 0, "an API key was forwarded to %s", s.ID)
		assert.Equal(t, stats.LoadsOverCapacity, 0, "%s got an order to load an adapter while no adapter slot was free", s.ID)
		for id, runs := range stats.RunCounts {
			assert.Check(t, runs == 1 && stats.Accounts[id] == "large", "%s ran %d times for %q", id, runs, stats.Accounts[id])
		}
	}
}

func TestAccountStaysWithinItsQuotaAcrossHosts(t *testing.T) {
	f := newFleet(t, 3)
	served := 0
	for i := range 90 {
		r := f.send(f.hosts[i%3], standin.Call{ID: fmt.Sprintf("q%d", i), Route: "safe", Key: standin.KeySmall})
		if r.Status == 200 {
			served++
			continue
		}
		assert.Equal(t, r.Status, http.StatusTooManyRequests)
		assert.Assert(t, r.RetryAfter != "")
	}
	// The quota is (100 x 8 + 100) x 1.25 + 2,000 tokens in a window, and a request uses 200.
	assert.Assert(t, served > 0 && served <= 15, "%d served", served)
}

func TestConfigurationReachesAllHostsAndSurvivesStoreOutage(t *testing.T) {
	f := newFleet(t, 3)
	f.platform.Configure(1)
	time.Sleep(2 * time.Second)
	for i, h := range f.hosts {
		assert.Equal(t, f.send(h, standin.Call{ID: fmt.Sprintf("c%d", i), Route: "extra-0", Key: standin.KeyLarge}).Status, 200, h.name)
	}
	f.platform.Config.SetDown(true)
	time.Sleep(3 * time.Second)
	for i, h := range f.hosts {
		assert.Equal(t, f.send(h, standin.Call{ID: fmt.Sprintf("d%d", i), Route: "safe", Key: standin.KeyLarge}).Status, 200, h.name)
	}
	f.platform.Config.SetDown(false)
	f.platform.Configure(2)
	f.eventually("the newest configuration on host-2", 5*time.Second, func() bool {
		return f.send(f.hosts[2], standin.Call{ID: "e", Route: "extra-1", Key: standin.KeyLarge}).Status == 200
	})
}

func TestShutdownCompletesOpenStreams(t *testing.T) {
	f := newFleet(t, 3)
	var group sync.WaitGroup
	for i := range 12 {
		group.Go(func() {
			r := f.send(f.hosts[0], generationCall(fmt.Sprintf("s%d", i), "stream", fmt.Sprintf("a%d", i%3), 250))
			assert.Check(t, r.Status == 200 && isCompleteStream(r.Body, 250), "s%d: %d, %d bytes, %v", i, r.Status, len(r.Body), r.Err)
		})
	}
	time.Sleep(500 * time.Millisecond)
	assert.NilError(t, f.hosts[0].command.Process.Signal(syscall.SIGTERM))
	f.eventually("the host to report that it is not ready", time.Second,
		func() bool { return getStatus("http://"+f.hosts[0].readiness+standin.ReadinessPath) != 200 })
	group.Wait()
	select {
	case err := <-f.hosts[0].exited:
		assert.NilError(t, err)
	case <-time.After(7 * time.Second):
		t.Fatal("the host process did not exit within 7 s of its last response")
	}
}

func TestKilledHostIsRemovedFromDirectoryUntilRestart(t *testing.T) {
	f := newFleet(t, 3)
	listed := func() bool {
		text, err := getBody("http://" + f.hosts[1].directory + standin.DirectoryPath)
		return err == nil && strings.Contains(text, f.hosts[0].address)
	}
	assert.Assert(t, listed())
	assert.NilError(t, f.hosts[0].command.Process.Kill())
	f.eventually("a directory without the host", 6*time.Second, func() bool { return !listed() })
	f.start(f.hosts[0])
	f.eventually("a directory with the host", 6*time.Second, listed)
}

func TestResumableStreamContinuesOnAnotherBackendServer(t *testing.T) {
	f := newFleet(t, 2)
	done := make(chan standin.Result, 1)
	go func() { done <- f.send(f.hosts[0], generationCall("r", "resumable", "a1", 300)) }()
	var crashed string
	f.eventually("the start of a run", 3*time.Second, func() bool {
		for _, s := range f.platform.Servers {
			if s.Stats().RunCounts["r"] > 0 {
				crashed = s.ID
			}
		}
		return crashed != ""
	})
	time.Sleep(300 * time.Millisecond)
	f.platform.Crash(crashed)
	r := <-done
	assert.Assert(t, r.Status == 200 && isCompleteStream(r.Body, 300), "%d, %d bytes, %v", r.Status, len(r.Body), r.Err)
}

func TestHalfCloseNeverTruncatesResponseSilently(t *testing.T) {
	f := newFleet(t, 1)
	conn, err := net.Dial("tcp", f.hosts[0].address)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	request, err := generationCall("half", "stream", "a1", 300).Request(context.Background(), f.hosts[0].address)
	assert.NilError(t, err)
	assert.NilError(t, request.Write(conn))
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, request)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, 200)
	assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
	body, err := io.ReadAll(response.Body)
	assert.Assert(t, err != nil || isCompleteStream(string(body), 300), "truncated response of %d bytes ended without an error", len(body))
}

func TestDrainingBackendServerGetsNoNewRequests(t *testing.T) {
	f := newFleet(t, 2)
	f.platform.Drain("desk-0")
	time.Sleep(2 * time.Second)
	before := len(f.platform.Server("desk-0").Stats().RunCounts)
	for i := range 20 {
		assert.Equal(t, f.send(f.hosts[i%2], standin.Call{ID: fmt.Sprintf("l%d", i), Route: "safe", Key: standin.KeyLarge}).Status, 200)
	}
	assert.Equal(t, len(f.platform.Server("desk-0").Stats().RunCounts), before)
}

func TestReloadWithInvalidSettingLogsItAndKeepsServing(t *testing.T) {
	f := newFleet(t, 1)
	text, err := os.ReadFile(f.hosts[0].settingsPath)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(f.hosts[0].settingsPath, append(text, []byte("log_level: loud\n")...), 0o600))
	assert.NilError(t, f.hosts[0].command.Process.Signal(syscall.SIGHUP))
	f.eventually("a log line on the invalid setting", 3*time.Second, func() bool {
		logged, _ := os.Open(f.hosts[0].logPath)
		defer func() { _ = logged.Close() }()
		for lines := bufio.NewScanner(logged); lines.Scan(); {
			if strings.Contains(lines.Text(), "log_level: must be debug") {
				return true
			}
		}
		return false
	})
	assert.Equal(t, f.send(f.hosts[0], standin.Call{ID: "h", Route: "safe", Key: standin.KeyLarge}).Status, 200)
}
