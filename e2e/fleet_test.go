package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"go.yaml.in/yaml/v3"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/redwingpick/redwingpick/internal/exampler"
	"github.com/redwingpick/redwingpick/internal/reducer"
	"github.com/redwingpick/redwingpick/pkg/caller"
	"github.com/redwingpick/redwingpick/pkg/cataloguer"
	"github.com/redwingpick/redwingpick/pkg/configurer"
)

// patience bounds every wait; it is far above what any of them needs.
const patience = 30 * time.Second

var binaries string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "redwingpick-e2e")
	if err != nil {
		panic(err)
	}
	build := exec.Command("go", "build", "-o", folder, "../cmd/redwingpickd", "../cmd/redwingpick", "../cmd/redwingpick-standin")
	if out, err := build.CombinedOutput(); err != nil {
		panic(string(out))
	}
	binaries = folder
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// fleet is one small deployment of real processes on loopback.
type fleet struct {
	t          testing.TB
	deployment exampler.Deployment
	folder     string
	firstPort  int
	settings   []configurer.Settings
	hosts      map[string]*exec.Cmd
	standin    *exec.Cmd
	logs       map[string]*lockedBuffer
}

type lockedBuffer struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.buffer.String()
}

// startFleet starts a fleet and waits until every host is ready and every right has a holder.
func startFleet(t testing.TB, change func(*exampler.Deployment)) *fleet {
	t.Helper()
	return startFleetWith(t, change, func(*configurer.Settings, *cataloguer.Host) {})
}

// startFleetWith starts a fleet whose hosts' settings and catalogue entries were changed before.
func startFleetWith(t testing.TB, change func(*exampler.Deployment), each func(*configurer.Settings, *cataloguer.Host)) *fleet {
	t.Helper()
	d := exampler.Sutokatha()
	d.Adapters = 60
	d.Hosts = 5
	d.EngineCount = 4
	d.ServiceCount = 2
	if change != nil {
		change(&d)
	}
	f := &fleet{t: t, deployment: d, folder: t.TempDir(), firstPort: freePorts(t), hosts: map[string]*exec.Cmd{}, logs: map[string]*lockedBuffer{}}
	f.settings = d.Settings(f.firstPort)
	for _, s := range d.Shards(f.firstPort) {
		for i := range s.Hosts {
			each(&f.settings[i], &s.Hosts[i])
		}
		f.write(filepath.Join("catalogue", s.Name+".yaml"), s)
	}
	f.standin = f.start("redwingpick-standin", "standin", "--catalogue", filepath.Join(f.folder, "catalogue"),
		"--platform", d.PlatformAddress(f.firstPort), "--runs", d.RunsAddress(f.firstPort), "--cold-for", "1s")
	for _, s := range f.settings {
		f.write(filepath.Join("hosts", s.HostID+".yaml"), s)
		f.startHost(s.HostID)
	}
	t.Cleanup(f.stop)
	f.waitOwned()
	return f
}

func freePorts(t testing.TB) int {
	t.Helper()
	for port := 23000 + os.Getpid()%500*16; port < 60000; port += 97 {
		if portsFree(port) {
			return port
		}
	}
	t.Fatal("no free ports")
	return 0
}

func portsFree(first int) bool {
	for port := first; port < first+64; port++ {
		socket, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			return false
		}
		_ = socket.Close()
	}
	return true
}

func (f *fleet) write(name string, value any) {
	data, err := yaml.Marshal(value)
	assert.NilError(f.t, err)
	file := filepath.Join(f.folder, name)
	assert.NilError(f.t, os.MkdirAll(filepath.Dir(file), 0o755))
	assert.NilError(f.t, os.WriteFile(file, data, 0o600))
}

func (f *fleet) start(program, name string, args ...string) *exec.Cmd {
	command := exec.Command(filepath.Join(binaries, program), args...)
	log := &lockedBuffer{}
	f.logs[name] = log
	command.Stderr = log
	command.Stdout = log
	assert.NilError(f.t, command.Start())
	return command
}

func (f *fleet) startHost(id string) {
	f.hosts[id] = f.start("redwingpickd", id, "--config", filepath.Join(f.folder, "hosts", id+".yaml"))
}

func (f *fleet) stop() {
	for _, h := range f.hosts {
		_ = h.Process.Kill()
		_ = h.Wait()
	}
	_ = f.standin.Process.Kill()
	_ = f.standin.Wait()
	for id, log := range f.logs {
		if bytes.Contains([]byte(log.String()), []byte(`"event":11,`)) {
			f.t.Errorf("%s broke an invariant: %s", id, log.String())
		}
	}
}

func (f *fleet) status(s configurer.Settings) (reducer.Status, error) {
	var status reducer.Status
	response, err := http.Get("http://" + s.OperatorAddress + "/v1/status")
	if err != nil {
		return status, err
	}
	defer func() { _ = response.Body.Close() }()
	return status, json.NewDecoder(response.Body).Decode(&status)
}

// waitOwned waits until all hosts are ready and all backend servers and client accounts have a holder.
func (f *fleet) waitOwned() {
	f.t.Helper()
	want := f.deployment.EngineCount + f.deployment.ServiceCount
	f.eventually("every right has a holder", func() bool {
		known, keepers := 0, 0
		for _, s := range f.settings {
			status, err := f.status(s)
			if err != nil || !status.Ready {
				return false
			}
			for _, b := range status.BackendServers {
				if b.Known {
					known++
				}
			}
			for _, a := range status.Accounts {
				if a.Keeper && a.Level > a.Burst/4 {
					keepers++
				}
			}
		}
		return known >= want && keepers >= len(f.deployment.Accounts)
	})
}

func (f *fleet) eventually(what string, holds func() bool) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		if holds() {
			return poll.Success()
		}
		return poll.Continue("waiting until %s", what)
	}, poll.WithTimeout(patience), poll.WithDelay(100*time.Millisecond))
}

// client returns a caller with the key of an account that knows every host.
func (f *fleet) client(account string) *caller.Client {
	c := &caller.Client{Key: exampler.Key(account), HTTP: &http.Client{}}
	for _, s := range f.settings {
		c.Addresses = append(c.Addresses, s.Address)
	}
	return c
}

// model returns the i-th adapter of an account.
func (f *fleet) model(account string, i int) string {
	for n, a := range f.deployment.Accounts {
		if a.ID == account {
			return exampler.AdapterName(n + i*len(f.deployment.Accounts))
		}
	}
	return ""
}

// owner returns the settings of the host that owns a backend server.
func (f *fleet) owner(backend string) configurer.Settings {
	f.t.Helper()
	for _, s := range f.settings {
		status, err := f.status(s)
		if err != nil {
			continue
		}
		for _, b := range status.BackendServers {
			if b.ID == backend && b.Known {
				return s
			}
		}
	}
	f.t.Fatalf("%s has no owner", backend)
	return configurer.Settings{}
}

// publish puts a shard in the platform and returns the HTTP status.
func (f *fleet) publish(shard cataloguer.Shard, query string) int {
	f.t.Helper()
	data, err := cataloguer.Encode(shard)
	assert.NilError(f.t, err)
	address := fmt.Sprintf("http://%s/edit/%s%s", f.deployment.PlatformAddress(f.firstPort), shard.Name, query)
	request, err := http.NewRequest(http.MethodPut, address, bytes.NewReader(data))
	assert.NilError(f.t, err)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(f.t, err)
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode
}

// fault sets the faults of a stand-in.
func (f *fleet) fault(address, faults string) {
	f.t.Helper()
	response, err := http.Post("http://"+address+"/faults", "application/json", bytes.NewReader([]byte(faults)))
	assert.NilError(f.t, err)
	assert.Equal(f.t, response.StatusCode, http.StatusOK)
	_ = response.Body.Close()
}

func (f *fleet) backendAddress(id string) string {
	for _, s := range f.deployment.Shards(f.firstPort) {
		for _, b := range s.BackendServers {
			if b.ID == id {
				return b.Address
			}
		}
	}
	return ""
}

// runs returns how often each request or call ran, by its id or body, and how many keys were seen.
func (f *fleet) runs() (byID map[string]int, keysSeen int) {
	f.t.Helper()
	var answer struct {
		ByID     map[string]int `json:"by_id"`
		KeysSeen int            `json:"keys_seen"`
	}
	response, err := http.Get("http://" + f.deployment.RunsAddress(f.firstPort) + "/")
	assert.NilError(f.t, err)
	defer func() { _ = response.Body.Close() }()
	assert.NilError(f.t, json.NewDecoder(response.Body).Decode(&answer))
	return answer.ByID, answer.KeysSeen
}
