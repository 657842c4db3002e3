package main

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// recorder writes record.txt: what was sent, answered and run, with the time since the start in milliseconds.
type recorder struct {
	mutex sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(path string) *recorder {
	file, err := os.Create(path)
	check(err)
	return &recorder{file: file, start: time.Now()}
}

func (r *recorder) line(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%8d %s\n", time.Since(r.start).Milliseconds(), fmt.Sprintf(format, args...))
}

// host is one process of the project.
type host struct {
	name, zone, settings                        string
	front, ready, directory, operator, peerAddr string

	mutex   sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	log     *os.File
}

// fleet is a deployment of the size of sutokatha-ops: six hosts in four zones, a store, nine engines and four unary servers.
type fleet struct {
	dir     string
	daemon  string
	record  *recorder
	store   *store
	hosts   []*host
	engines []*runner
	unary   []*runner
	version int64
	// adapter is the number of the adapter that was last asked for.
	adapter      int
	storeAddress string
}

// clientKey is the key of the tenant whose clients the cases play.
const clientKey = "i9n73hh2b9wu3fexd9dn"

var hostZones = []string{"kolkata-a", "kolkata-a", "kolkata-b", "kolkata-b", "howrah", "siliguri"}
var engineZones = []string{"kolkata-a", "kolkata-a", "kolkata-a", "kolkata-b", "kolkata-b", "howrah", "howrah", "siliguri", "siliguri"}
var unaryZones = []string{"kolkata-a", "kolkata-b", "howrah", "siliguri"}

// settleTime is the time between the start of the machines and the traffic (lead_s of the site file), with a second more for the build-up of
// processes on a busy machine.
const settleTime = 11 * time.Second

// newFleet starts the stand-ins and writes the settings of the hosts; tenants go into the configuration.
func newFleet(dir, daemon string, rec *recorder, tenants []any) *fleet {
	f := &fleet{dir: dir, daemon: daemon, record: rec, store: newStore()}
	f.storeAddress = serve(f.store)
	for i, zone := range engineZones {
		f.engines = append(f.engines, startRunner(f.store, rec, fmt.Sprintf("i-e%d", i), engineService, zone, true))
	}
	for i, zone := range unaryZones {
		f.unary = append(f.unary, startRunner(f.store, rec, fmt.Sprintf("i-u%d", i), unaryService, zone, false))
	}
	f.configure(tenants)
	ports := freePorts(5 * len(hostZones))
	for i, zone := range hostZones {
		p := ports[5*i:]
		f.hosts = append(f.hosts, &host{
			name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, front: p[0], ready: p[1], directory: p[2], operator: p[3], peerAddr: p[4],
		})
	}
	for i, h := range f.hosts {
		f.writeSettings(h, "", []string{f.hosts[0].peerAddr, f.hosts[2].peerAddr, f.hosts[4].peerAddr})
		var err error
		h.log, err = os.Create(filepath.Join(dir, fmt.Sprintf("host-%d.log", i)))
		check(err)
	}
	return f
}

// configure writes the next version of the configuration, with the routes of the sheet.
func (f *fleet) configure(tenants []any) {
	f.version++
	route := func(prefix, kind, service string, target, timeout, priority, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": "r-" + prefix, "host": clientHost, "prefix": "/" + prefix + "/", "route_type": kind, "timeout_ms": timeout,
			"target_latency_ms": target, "priority": priority, "service": service, "max_attempts": attempts, "anonymous": false,
			"sticky": service == engineService, "resumable": resumable, "gap_aim_ms": 600,
		}
	}
	f.store.put("op/config", map[string]any{
		"version": f.version,
		"routes": []any{
			route("draft", "streaming", engineService, 1000, 5000, 1, 1, false),
			route("preview", "streaming", engineService, 1000, 10000, 2, 2, true),
			route("note", "streaming", engineService, 800, 12000, 0, 1, false),
			route("confirm", "unsafe", unaryService, 300, 1500, 2, 1, false),
			route("lookup", "safe", unaryService, 300, 1500, 2, 2, false),
		},
		"services": []any{
			map[string]any{
				"name": engineService, "health_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false, "cold_start_s": 3.0,
				"cold_per_s": 6.9, "engine": map[string]any{
					"slots": engineSlots, "kv_capacity": 224867, "models": []any{map[string]any{
						"name": modelName, "weights_mb": 65100, "load_s": 1.9, "adapters": 3000, "adapter_mb": 12.0,
					}}, "weights_mb": 66500, "adapter_slots": adapterSlots, "loads_per_s": 2.1,
				},
			},
			map[string]any{"name": unaryService, "health_path": "/health", "max_connections": 96, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": tenants,
	})
}

// writeSettings writes the settings of a host, which listens for other hosts on peerListens if that is not the address that they know.
func (f *fleet) writeSettings(h *host, peerListens string, seeds []string) {
	extra := ""
	if peerListens != "" {
		extra = fmt.Sprintf("peer_listen_address: %q\n", peerListens)
	}
	quoted := make([]string, len(seeds))
	for i, seed := range seeds {
		quoted[i] = fmt.Sprintf("%q", seed)
	}
	h.settings = filepath.Join(f.dir, h.name+".yaml")
	check(os.WriteFile(h.settings, []byte(fmt.Sprintf(`host_id: %q
failure_domain: %q
region: "bengal"
address: %q
readiness_address: %q
directory_address: %q
peer_address: %q
operator_address: %q
platform: %q
seeds: [%s]
memory_mb: 284
cpu_share: 0.4
cores: 1
bounds:
  config_ms: 2000
  drain_ms: 2000
  contact_ms: 3000
  grace_seconds: 8
  order_lease_ms: 3000
  retry_ratio: 0.2
  retry_slack: 52
  retry_window_seconds: 10
  directory_seconds: 5
  quota_window_seconds: 8
  quota_overshoot: 0.25
  quota_slack: 110000
  load_window_seconds: 5
%s`, h.name, h.zone, h.front, h.ready, h.directory, h.peerAddr, h.operator, f.storeAddress, strings.Join(quoted, ", "), extra)), 0o600))
}

func (f *fleet) startHosts() {
	for _, h := range f.hosts {
		f.startHost(h)
	}
}

func (f *fleet) startHost(h *host) {
	command := exec.Command(f.daemon, "--config", h.settings)
	command.Stdout, command.Stderr = h.log, h.log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(command.Start())
	ended := make(chan struct{})
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	h.mutex.Lock()
	h.process, h.ended = command, ended
	h.mutex.Unlock()
	f.record.line("start host=%s", h.name)
}

func (f *fleet) signal(h *host, s syscall.Signal) {
	f.record.line("signal host=%s %v", h.name, s)
	_ = h.process.Process.Signal(s)
}

// restartWhenEnded starts a host again after the end of its process, as the platform does.
func (f *fleet) restartWhenEnded(h *host) {
	<-h.ended
	f.record.line("ended host=%s", h.name)
	time.Sleep(500 * time.Millisecond)
	f.startHost(h)
}

// stop ends all processes that the fleet has started.
func (f *fleet) stop() {
	for _, h := range f.hosts {
		if h.process != nil {
			_ = h.process.Process.Signal(syscall.SIGCONT)
			_ = h.process.Process.Kill()
			<-h.ended
		}
	}
}

// awaitReady waits until the readiness checks of all hosts pass.
func (f *fleet) awaitReady() bool {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, h := range f.hosts {
			if response, err := http.Get("http://" + h.ready + "/redwingpick/readiness"); err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(f.hosts) {
			return true
		}
	}
	return false
}

// quotasCoordinated returns the number of quotas that a host keeps, from its page for operators.
func (f *fleet) quotasCoordinated(h *host) int {
	response, err := http.Get("http://" + h.operator + "/v1/status")
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	var status struct {
		Gauges struct {
			Kept int `json:"budgets_kept"`
		}
	}
	_ = json.NewDecoder(response.Body).Decode(&status)
	return status.Gauges.Kept
}

func serve(handler http.Handler) string {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	go func() { _ = http.Serve(socket, handler) }()
	return socket.Addr().String()
}

// Ports below those that the kernel gives to outgoing connections, so that none takes the port of a host that is starting again.
const (
	firstPort = 20000
	lastPort  = 32000
)

// freePorts returns addresses on loopback whose ports are free.
func freePorts(n int) []string {
	var addresses []string
	for port := firstPort + rand.Intn(lastPort-firstPort-4*n); len(addresses) < n && port < lastPort; port++ {
		address := fmt.Sprintf("127.0.0.1:%d", port)
		socket, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = socket.Close()
		addresses = append(addresses, address)
	}
	if len(addresses) < n {
		check(fmt.Errorf("too few free ports"))
	}
	return addresses
}

func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "could not run:", err)
		os.Exit(exitCouldNotRun)
	}
}
