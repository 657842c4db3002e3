package main

import (
	"errors"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	hostName  = "ficu95.example"
	modelName = "daka510000"
	engines   = "huvo11a"
	desk      = "wuno96b"
	apiKey    = "i9n73hh2b9wu3fexd9dn"
	tenant    = "hule930"
	// restartDelay is the time after which the platform starts a process again that has ended.
	restartDelay = 500 * time.Millisecond
	// memoryMB is the memory of a machine.
	memoryMB = 284
)

// host is one machine of the system with its process.
type host struct {
	name, zone                              string
	front, ready, directory, control, inner string
	settings                                string

	mutex   sync.Mutex
	process *os.Process
	// ends lists how the process has ended, other than at the end of the case.
	ends    []string
	peakMB  int
	stopped bool
	done    chan struct{}
}

// fleet is a small deployment: the store, runners and the system's machines.
type fleet struct {
	dir     string
	store   *store
	runners []*runner
	hosts   []*host
	record  *record

	mutex   sync.Mutex
	version int
	runs    map[string][]run
}

func newFleet(rec *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	return &fleet{dir: dir, store: newStore(), record: rec, runs: map[string][]run{}}, nil
}

// addRunner starts a runner and lets it register itself.
func (f *fleet) addRunner(s *runner) error {
	s.store = f.store
	s.onRun = func(id string, r run) {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		f.runs[id] = append(f.runs[id], r)
	}
	if err := s.start(); err != nil {
		return err
	}
	f.runners = append(f.runners, s)
	go s.beat(f.store)
	go s.takeSnapshots()
	return nil
}

// runsOf returns the runs of a request.
func (f *fleet) runsOf(id string) []run {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.runs[id]
}

// configure writes the next version of the configuration.
func (f *fleet) configure() {
	f.version += 3
	route := func(name, kind, service string, timeout, target, priority, attempts int) map[string]any {
		return map[string]any{
			"name": "r-" + name, "host": hostName, "prefix": "/" + name + "/", "route_type": kind, "timeout_ms": timeout,
			"target_latency_ms": target, "priority": priority, "service": service, "max_attempts": attempts, "anonymous": false,
			"sticky": kind == "streaming", "resumable": false, "gap_aim_ms": 600,
		}
	}
	f.store.put("op/config", map[string]any{
		"version": f.version,
		"routes": []any{
			route("draft", "streaming", engines, 5000, 1000, 1, 1), route("note", "streaming", engines, 12000, 800, 0, 1),
			route("confirm", "unsafe", desk, 3000, 300, 2, 1), route("lookup", "safe", desk, 3000, 300, 2, 2),
		},
		"services": []any{
			map[string]any{"name": engines, "health_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false,
				"cold_start_s": 0, "cold_per_s": 0, "engine": map[string]any{
					"slots": 64, "kv_capacity": 224867, "adapter_slots": 6, "weights_mb": 66500.0, "loads_per_s": 2.1,
					"models": []any{map[string]any{"name": modelName, "weights_mb": 65100.0, "load_s": 1.9, "adapters": 3000, "adapter_mb": 12.0}},
				}},
			map[string]any{"name": desk, "health_path": "/health", "max_connections": 96, "protocol": "h1", "tls": false, "cold_start_s": 0, "cold_per_s": 0},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": tenant, "api_keys": []string{apiKey}, "priority": 1, "unit": "tokens", "plain_tokens": 200, "rate_per_s": 87609, "burst": 87609}},
	})
}

// startHosts starts the system's machines and waits until all are ready.
func (f *fleet) startHosts(count int, storeAddress string) error {
	ports, err := freePorts(5 * count)
	if err != nil {
		return err
	}
	zones := []string{"kolkata-a", "kolkata-b", "howrah"}
	var seeds []string
	for i := range count {
		at := func(k int) string { return fmt.Sprintf("127.0.0.1:%d", ports[5*i+k]) }
		h := &host{name: fmt.Sprintf("front-%d", i), zone: zones[i%len(zones)], front: at(0), ready: at(1), directory: at(2), control: at(3), inner: at(4), done: make(chan struct{})}
		f.hosts = append(f.hosts, h)
		if len(seeds) < 3 {
			seeds = append(seeds, strconv.Quote(h.control))
		}
	}
	for _, h := range f.hosts {
		h.settings = filepath.Join(f.dir, h.name+".yaml")
		if err := os.WriteFile(h.settings, []byte(h.text(strings.Join(seeds, ","), storeAddress)), 0o600); err != nil {
			return err
		}
		go f.supervise(h)
	}
	deadline := time.Now().Add(15 * time.Second)
	for _, h := range f.hosts {
		for !h.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", h.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// text returns the settings of a machine, as the template of the deploy file gives them for a small deployment.
func (h *host) text(seeds, storeAddress string) string {
	return fmt.Sprintf(`host_id: %q
failure_domain: %q
region: "bengal"
address: %q
readiness_address: %q
directory_address: %q
peer_address: %q
operator_address: %q
platform: %q
seeds: [%s]
memory_mb: %d
max_descriptors: 4100
cpu_share: 0.4
cores: 1
adaptive: []
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
`, h.name, h.zone, h.front, h.ready, h.directory, h.control, h.inner, storeAddress, seeds, memoryMB)
}

// supervise runs the process of a machine, as the platform does: it kills one above its memory, and starts one again that has ended.
func (f *fleet) supervise(h *host) {
	defer close(h.done)
	for {
		h.mutex.Lock()
		if h.stopped {
			h.mutex.Unlock()
			return
		}
		out, _ := os.OpenFile(filepath.Join(f.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		command := exec.Command(daemonPath(), "--config", h.settings)
		command.Stdout, command.Stderr = out, out
		if err := command.Start(); err != nil {
			h.mutex.Unlock()
			return
		}
		h.process = command.Process
		h.mutex.Unlock()
		ended := make(chan struct{})
		killed := make(chan int, 1)
		go f.watchMemory(h, command.Process, ended, killed)
		err := command.Wait()
		close(ended)
		_ = out.Close()
		h.mutex.Lock()
		if !h.stopped {
			reason := fmt.Sprintf("ended by itself: %v", err)
			select {
			case mb := <-killed:
				reason = fmt.Sprintf("killed by the platform at %d MB, of %d MB that it may use", mb, memoryMB)
			default:
			}
			h.ends = append(h.ends, reason)
			f.record.line("%s %s", h.name, reason)
			f.record.tail(filepath.Join(f.dir, h.name+".log"))
		}
		h.mutex.Unlock()
		time.Sleep(restartDelay)
	}
}

// watchMemory kills a process that uses more memory than its machine has.
func (f *fleet) watchMemory(h *host, p *os.Process, ended chan struct{}, killed chan int) {
	for {
		select {
		case <-ended:
			return
		case <-time.After(20 * time.Millisecond):
		}
		mb := residentMB(p.Pid)
		h.mutex.Lock()
		h.peakMB = max(h.peakMB, mb)
		h.mutex.Unlock()
		if mb > memoryMB {
			killed <- mb
			_ = p.Kill()
			return
		}
	}
}

// residentMB returns the resident memory of a process in megabytes, as the kernel counts it.
func residentMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	fields := strings.Fields(string(data))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize() >> 20
}

func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + h.ready + "/redwingpick/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// endCount returns how often the process of a machine has ended by itself or was killed for its memory.
func (h *host) endCount() int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return len(h.ends)
}

// stop ends all processes that were started.
func (f *fleet) stop() {
	for _, h := range f.hosts {
		h.mutex.Lock()
		h.stopped = true
		if h.process != nil {
			_ = h.process.Signal(syscall.SIGKILL)
		}
		h.mutex.Unlock()
	}
	for _, h := range f.hosts {
		<-h.done
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println(f.dir)
	}
}

// Ports of the hosts are drawn below the range from which the kernel takes those of outgoing connections, which could otherwise take one of them
// before its host listens, or while that host restarts.
const (
	lowestPort  = 15000
	highestPort = 32000
)

// freePorts returns ports that are free at the moment.
func freePorts(count int) ([]int, error) {
	var ports []int
	for tries := 0; len(ports) < count; tries++ {
		if tries > 100*count {
			return nil, errors.New("no free ports")
		}
		port := lowestPort + rand.Intn(highestPort-lowestPort)
		socket, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		_ = socket.Close()
		if slices.Contains(ports, port) {
			continue
		}
		ports = append(ports, port)
	}
	return ports, nil
}

// daemonPath is where the build of the deploy file puts the daemon.
func daemonPath() string {
	if path := os.Getenv("DAEMON"); path != "" {
		return path
	}
	self, _ := os.Executable()
	return filepath.Join(filepath.Dir(self), "redwingpickd")
}
