package e2e

import (
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/platform/standin"
)

var (
	soakSeeds         = flag.Int("soak-seeds", 1, "number of seeds of TestFaultSoak")
	soakFirst         = flag.Uint64("soak-first", 1, "first seed of TestFaultSoak")
	soakHosts         = flag.Int("soak-hosts", 4, "hosts of each fleet of TestFaultSoak")
	soakStrict        = flag.Bool("soak-strict", false, "fail TestFaultSoak for the rules that KNOWN-RED.txt lists too")
	soakLogs          = flag.String("soak-logs", "", "directory to which the hosts' logs of failed runs of TestFaultSoak are copied")
	soakFaultDuration = flag.Duration("soak-trouble", 15*time.Second, "duration of fault injection in each run of TestFaultSoak")
)

// soakRegressionSeeds lists seeds that once violated a rule, each with the cause in a comment.
var soakRegressionSeeds = []uint64{}

// Durations and bounds of a run. The values follow from the fleet's settings and the users' requirements.
const (
	soakCallers = 16
	// soakUntrustedClients send requests that do not end, each for up to untrustedClientTime.
	soakUntrustedClients = 4
	untrustedClientTime  = 2 * time.Second
	soakOrderLeaseMs     = 3000
	recoveryDuration     = 12 * time.Second
	measuredDuration     = 4 * time.Second
	orderCheckPause      = 300 * time.Millisecond
	// arrivalCheckPause is the time after the disruption of a backend server's connections in which delayed requests may still arrive.
	arrivalCheckPause = 300 * time.Millisecond
	// limitedDuration is the least time for which the bound of a rate limit applies before the limit changes.
	limitedDuration = 2 * time.Second
	drainDeadline   = 2 * time.Second
	// smallQuotaTokens is the number of tokens that the small account may use within quotaWindow.
	smallQuotaTokens = (100*8+100)*1.25 + 2000
	quotaWindow      = 8 * time.Second
	minServedShare   = 0.9
)

// callRecord is one request of a caller, its result and the time at which it was sent.
type callRecord struct {
	call   standin.Call
	result standin.Result
	at     time.Time
}

// soak is one run: a fleet of real processes, its callers and the injected faults.
type soak struct {
	*fleet
	random *rand.Rand
	faults []string

	mutex   sync.Mutex
	records []callRecord
	stop    chan struct{}
	repairs sync.WaitGroup
}

func TestFaultSoak(t *testing.T) {
	for _, seed := range soakRegressionSeeds {
		t.Run(fmt.Sprintf("seed_%d", seed), func(t *testing.T) { runSoak(t, seed) })
	}
	for seed := *soakFirst; seed < *soakFirst+uint64(*soakSeeds); seed++ {
		t.Run(fmt.Sprintf("seed_%d", seed), func(t *testing.T) { runSoak(t, seed) })
	}
}

func runSoak(t *testing.T, seed uint64) {
	s := &soak{fleet: startFleet(t, *soakHosts, true, soakOrderLeaseMs), random: rand.New(rand.NewPCG(seed, 1)), stop: make(chan struct{})}
	var callers sync.WaitGroup
	for i := range soakCallers {
		callers.Go(func() { s.runCaller(i, rand.New(rand.NewPCG(seed, uint64(10+i)))) })
	}
	for i := range soakUntrustedClients {
		callers.Go(func() { s.runUntrustedClient(rand.New(rand.NewPCG(seed, uint64(100+i)))) })
	}
	for end := time.Now().Add(*soakFaultDuration); time.Now().Before(end); {
		s.injectFault()
		time.Sleep(time.Duration(100+s.random.IntN(900)) * time.Millisecond)
	}
	s.repairs.Wait()
	time.Sleep(recoveryDuration)
	recovered := time.Now()
	time.Sleep(measuredDuration)
	close(s.stop)
	callers.Wait()
	s.checkResults(recovered)
	t.Logf("seed %d, injected faults:\n%s", seed, strings.Join(s.faults, "\n"))
	if t.Failed() {
		s.copyLogs(seed)
	}
}

// copyLogs copies the hosts' logs to the directory of -soak-logs if that is set.
func (s *soak) copyLogs(seed uint64) {
	for _, h := range s.hosts {
		text, err := os.ReadFile(h.logPath)
		if err == nil && *soakLogs != "" {
			err = os.WriteFile(filepath.Join(*soakLogs, fmt.Sprintf("seed-%d-%s.log", seed, h.name)), text, 0o600)
		}
		assert.Check(s.t, err)
	}
}

// hostOf returns the host to which runCaller sent the request with the given ID. A host sends the requests of its callers itself.
func hostOf(requestID string) string {
	name, _, _ := strings.Cut(requestID, "-c")
	return name
}

// runCaller sends the requests of one caller, one after the other over reused connections, until the run stops.
func (s *soak) runCaller(caller int, random *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	defer client.CloseIdleConnections()
	for n := 0; ; n++ {
		select {
		case <-s.stop:
			return
		default:
		}
		h := s.hosts[random.IntN(len(s.hosts))]
		c := standin.Call{
			ID: fmt.Sprintf("%s-c%d-%d", h.name, caller, n), Key: standin.KeyLarge,
			Route: []string{"once", "safe", "stream", "resumable"}[random.IntN(4)],
		}
		if strings.HasSuffix(c.Route, "e") && c.Route != "resumable" {
			c.Body = "order " + c.ID
			if random.IntN(4) == 0 {
				c.Key = standin.KeySmall
			}
		} else {
			c.Model, c.Tokens = fmt.Sprintf("%s/a%d", standin.ModelName, random.IntN(9)), "500,20"
		}
		start := time.Now()
		result := c.Send(client, h.callerProxy.address)
		s.mutex.Lock()
		s.records = append(s.records, callRecord{call: c, result: result, at: start})
		s.mutex.Unlock()
		time.Sleep(time.Duration(20+random.IntN(60)) * time.Millisecond)
	}
}

// runUntrustedClient opens connections one after the other, each with a request that does not end, until the run stops.
func (s *soak) runUntrustedClient(random *rand.Rand) {
	start := requestHead(0, standin.KeyLarge)
	kinds := []func(client int, conn net.Conn) error{
		sendHead(start, 60<<10), sendHead(start, 1<<10), sendEmptyLines, sendBody(start, untrustedBodySize, 0),
		sendBody(start, 1<<10, 20*time.Millisecond), sendChunks(start, 10_000), sendChunks(start, 16),
	}
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(time.Duration(random.IntN(200)) * time.Millisecond):
		}
		conn, err := net.Dial("tcp", s.hosts[random.IntN(len(s.hosts))].callerProxy.address)
		if err != nil {
			continue
		}
		_ = conn.SetDeadline(time.Now().Add(untrustedClientTime))
		if kinds[random.IntN(len(kinds))](0, conn) == nil {
			_, _ = io.Copy(io.Discard, conn)
		}
		_ = conn.Close()
	}
}

// injectFault injects one random fault and schedules its repair; faults overlap.
func (s *soak) injectFault() {
	h := s.hosts[s.random.IntN(len(s.hosts))]
	b := s.platform.Servers[s.random.IntN(len(s.platform.Servers))]
	duration := time.Duration(200+s.random.IntN(3800)) * time.Millisecond
	injectors := []func(h *host, b *standin.Server, duration time.Duration) string{
		s.pause, s.kill, s.killAll, s.terminate, s.reload, s.disruptPeers, s.disruptConfigService, s.disruptBackend, s.setFaultyBehavior, s.crash,
		s.drain, s.failConfigService, s.configure, s.becomeCold, s.killAllBesideCold, s.restartBesideCold, s.limitRate,
	}
	description := injectors[s.random.IntN(len(injectors))](h, b, duration)
	s.faults = append(s.faults, fmt.Sprintf("%s %s for %v", time.Now().Format("05.000"), description, duration))
}

// repairAfter repairs a fault after its duration. The stand-in's servers then skip the check of orders for orderCheckPause, since orders
// that the fault delayed may still arrive.
func (s *soak) repairAfter(duration time.Duration, repair func()) {
	s.repairs.Go(func() {
		time.Sleep(duration)
		repair()
		for _, b := range s.platform.Servers {
			b.PauseOrderChecks(orderCheckPause)
		}
	})
}

// alreadyReserved reserves a host for a fault of its process, or reports that another fault has reserved the host already.
func (h *host) alreadyReserved() bool { return !h.processFault.CompareAndSwap(false, true) }

func (s *soak) pause(h *host, _ *standin.Server, duration time.Duration) string {
	if h.alreadyReserved() {
		return h.name + " already has a process fault"
	}
	process := h.command.Process
	_ = process.Signal(syscall.SIGSTOP)
	s.excuse(h, duration)
	s.repairAfter(duration, func() {
		_ = process.Signal(syscall.SIGCONT)
		s.excuse(h, 0)
		h.processFault.Store(false)
	})
	return h.name + " paused"
}

func (s *soak) kill(h *host, _ *standin.Server, duration time.Duration) string {
	if h.alreadyReserved() {
		return h.name + " already has a process fault"
	}
	_ = h.command.Process.Kill()
	<-h.exited
	s.excuse(h, duration/2)
	s.repairAfter(duration/2, func() {
		s.start(h)
		h.processFault.Store(false)
	})
	return h.name + " killed"
}

func (s *soak) killAll(_ *host, b *standin.Server, duration time.Duration) string {
	for _, h := range s.hosts {
		s.kill(h, b, duration)
	}
	return "all hosts killed"
}

func (s *soak) terminate(h *host, _ *standin.Server, _ time.Duration) string {
	if h.alreadyReserved() {
		return h.name + " already has a process fault"
	}
	_ = h.command.Process.Signal(syscall.SIGTERM)
	s.excuse(h, 0)
	s.repairAfter(0, func() {
		<-h.exited
		s.excuse(h, 0)
		s.start(h)
		h.processFault.Store(false)
	})
	return h.name + " terminated"
}

// reload changes a setting and sends the host SIGHUP twice. The signals may arrive while the host starts or shuts down.
func (s *soak) reload(h *host, _ *standin.Server, _ time.Duration) string {
	text, err := os.ReadFile(h.settingsPath)
	assert.NilError(s.t, err)
	base, _, _ := strings.Cut(string(text), "log_bytes_per_second")
	assert.NilError(s.t, os.WriteFile(h.settingsPath,
		fmt.Appendf([]byte(base), "log_bytes_per_second: %d\n", 100_000+s.random.IntN(1000)), 0o600))
	if !h.processFault.Load() {
		_ = h.command.Process.Signal(syscall.SIGHUP)
		_ = h.command.Process.Signal(syscall.SIGHUP)
	}
	return h.name + " reloaded"
}

// resetDescription is what disruptProxy returns when it has reset the connections, which are not disrupted any longer then.
const resetDescription = "reset"

// disruptProxy delays the connections of a proxy, holds them in one or both directions, or resets them.
func (s *soak) disruptProxy(p *proxy, duration time.Duration) string {
	switch s.random.IntN(5) {
	case 0:
		p.setFaults(time.Duration(20+s.random.IntN(200))*time.Millisecond, false, false)
	case 1:
		p.setFaults(0, true, false)
	case 2:
		p.setFaults(0, false, true)
	case 3:
		p.setFaults(0, true, true)
	default:
		p.resetAll()
		return resetDescription
	}
	s.repairAfter(duration, func() { p.setFaults(0, false, false) })
	return fmt.Sprintf("disrupted (delay %v, held to target %t, held from target %t)", p.delay, p.holdToTarget, p.holdFromTarget)
}

// disruptPeers disrupts the connections from other hosts to a host. If that cuts it off, it is excused from rate limits.
func (s *soak) disruptPeers(h *host, _ *standin.Server, duration time.Duration) string {
	description := s.disruptProxy(h.peerProxy, duration)
	if h.peerProxy.holds() {
		s.excuse(h, duration)
	}
	return "peers of " + h.name + " " + description
}

func (s *soak) disruptConfigService(h *host, _ *standin.Server, duration time.Duration) string {
	return "configuration service connections of " + h.name + " " + s.disruptProxy(h.configServiceProxy, duration)
}

// disruptBackend disrupts the connections to a backend server. Requests that the fault holds back do not count for the server's bounds, since
// they arrive together, and hosts that its responses do not reach are excused from its rate limit.
func (s *soak) disruptBackend(_ *host, b *standin.Server, duration time.Duration) string {
	description := s.disruptProxy(s.backendProxies[b.ID], duration)
	if description == resetDescription {
		return b.ID + " " + description
	}
	duration += arrivalCheckPause
	b.PauseArrivalChecks(duration)
	for _, h := range s.hosts {
		b.ExcuseHost(h.name, time.Now().Add(duration))
	}
	return b.ID + " " + description
}

func (s *soak) setFaultyBehavior(_ *host, b *standin.Server, duration time.Duration) string {
	behavior := standin.Behavior(1 + s.random.IntN(int(standin.BehaviorDisconnecting)))
	b.SetBehavior(behavior)
	s.repairAfter(duration, func() { b.SetBehavior(standin.BehaviorNormal) })
	return fmt.Sprintf("%s with behavior %d", b.ID, behavior)
}

func (s *soak) crash(_ *host, b *standin.Server, duration time.Duration) string {
	s.platform.Crash(b.ID)
	s.repairAfter(duration, func() { s.platform.Restart(b.ID) })
	return b.ID + " crashed"
}

func (s *soak) drain(_ *host, b *standin.Server, duration time.Duration) string {
	s.platform.Drain(b.ID)
	s.repairAfter(drainDeadline+duration, func() { s.platform.Restart(b.ID) })
	return b.ID + " draining"
}

// excuse excuses a host from the rate limits of all backend servers while a fault of the given duration restarts, freezes or cuts it off.
func (s *soak) excuse(h *host, duration time.Duration) {
	for _, b := range s.platform.Servers {
		b.ExcuseHost(h.name, time.Now().Add(duration))
	}
}

// limitRate makes a backend server name a rate limit for long enough that its bound applies, then another one for as long, and then none.
func (s *soak) limitRate(_ *host, b *standin.Server, duration time.Duration) string {
	first, second := s.drawRateLimit(), s.drawRateLimit()
	duration = contactDuration + limitedDuration + duration/4
	b.SetRateLimit(first)
	s.repairAfter(duration, func() { b.SetRateLimit(second) })
	s.repairAfter(2*duration, func() { b.SetRateLimit(0) })
	return fmt.Sprintf("%s limited to %g and then %g requests/s, each for %v,", b.ID, first, second, duration)
}

// drawRateLimit draws a limit below the rate at which the callers send requests to one backend server.
func (s *soak) drawRateLimit() float64 { return float64(2+s.random.IntN(20)) / 2 }

// becomeCold makes an engine cold again while it runs.
func (s *soak) becomeCold(_ *host, _ *standin.Server, _ time.Duration) string {
	engines := slices.DeleteFunc(slices.Clone(s.platform.Servers), func(b *standin.Server) bool { return b.ColdDuration == 0 })
	id, delay := engines[s.random.IntN(len(engines))].ID, s.drawPublicationDelay()
	s.platform.BecomeCold(id, delay)
	return fmt.Sprintf("%s cold again, published %v late,", id, delay)
}

// killAllBesideCold kills all hosts in the cold start of an engine, so that hosts that know nothing of it yet send to it.
func (s *soak) killAllBesideCold(h *host, b *standin.Server, duration time.Duration) string {
	return s.becomeCold(h, b, duration) + " and " + s.killAll(h, b, duration)
}

// restartBesideCold kills a host in the cold start of an engine and starts it again within the second for which the engine's bound holds.
func (s *soak) restartBesideCold(h *host, b *standin.Server, duration time.Duration) string {
	return s.becomeCold(h, b, duration) + " and " + s.kill(h, b, time.Duration(200+s.random.IntN(1000))*time.Millisecond)
}

// failConfigService makes the configuration service reject all calls for a time, or compacts its change history.
func (s *soak) failConfigService(_ *host, _ *standin.Server, duration time.Duration) string {
	if s.random.IntN(3) == 0 {
		s.platform.Config.Compact()
		return "configuration service history compacted"
	}
	s.platform.Config.SetDown(true)
	s.repairAfter(duration, func() { s.platform.Config.SetDown(false) })
	return "configuration service down"
}

// drawPublicationDelay draws the time from the beginning of a cold start to its publication with the server's next heartbeat.
func (s *soak) drawPublicationDelay() time.Duration {
	return time.Duration(s.random.Int64N(int64(standin.HeartbeatInterval))).Round(time.Millisecond)
}

// configure publishes the next configuration, or withdraws a zone for a time; its servers are cold when they are taken back.
func (s *soak) configure(_ *host, _ *standin.Server, duration time.Duration) string {
	if s.random.IntN(2) == 0 {
		s.platform.Configure(s.random.IntN(4))
		return "configured"
	}
	zone := fmt.Sprintf("zone-%d", s.random.IntN(2))
	delay := s.drawPublicationDelay()
	s.platform.Withdraw(zone)
	s.repairAfter(duration, func() { s.platform.TakeBack(zone, delay) })
	return fmt.Sprintf("%s withdrawn and then cold, published %v late,", zone, delay)
}

// checkResults checks the results of the callers against what the backend servers recorded. The share of requests that must
// succeed is measured on those of the large account that were sent after recovered.
func (s *soak) checkResults(recovered time.Time) {
	runs, accounts, bodies := map[string]int{}, map[string]string{}, map[string]string{}
	var usages []standin.Usage
	for _, b := range s.platform.Servers {
		stats := b.Stats()
		assert.Check(s.t, stats.LoadsOverCapacity == 0, "%s got an order to load an adapter while no adapter slot was free", b.ID)
		assert.Check(s.t, stats.RequestsWithKey == 0, "an API key was forwarded to %s", b.ID)
		for _, v := range stats.Violations {
			s.checkUnlessKnownRed(v.Rule, false, b.ID+": "+v.Rule+": "+v.Detail)
		}
		for id, n := range stats.RunCounts {
			runs[id] += n
			accounts[id] = stats.Accounts[id]
		}
		for id, body := range stats.Bodies {
			bodies[id] = body
		}
		usages = append(usages, stats.Usages...)
	}
	sent, served, measured := map[string]bool{}, 0, 0
	for _, record := range s.records {
		sent[record.call.ID] = true
		s.checkRecord(record, runs[record.call.ID], accounts[record.call.ID], bodies[record.call.ID])
		if record.at.After(recovered) && record.call.Key == standin.KeyLarge {
			measured++
			if record.result.Status == http.StatusOK {
				served++
			}
		}
	}
	for id := range runs {
		assert.Check(s.t, sent[id], "%s ran but no caller sent it", id)
	}
	s.checkUnlessKnownRed("quota", maxTokensInWindow(usages, "small", quotaWindow) <= smallQuotaTokens,
		fmt.Sprintf("the small account used %d tokens in a window", maxTokensInWindow(usages, "small", quotaWindow)))
	assert.Check(s.t, measured > 20 && float64(served) >= minServedShare*float64(measured),
		"%d of %d served after the recovery", served, measured)
	s.t.Logf("%d requests, %d faults; %d of %d served after the recovery", len(s.records), len(s.faults), served, measured)
}

// checkUnlessKnownRed checks a rule. While KNOWN-RED.txt lists the rule for this test, a violation is logged and does not fail the test,
// unless -soak-strict is set.
func (s *soak) checkUnlessKnownRed(rule string, ok bool, detail string) {
	listed, err := os.ReadFile("../KNOWN-RED.txt")
	if ok || err != nil || *soakStrict || !strings.Contains(string(listed), "TestFaultSoak rule "+rule) {
		assert.Check(s.t, ok, detail)
		return
	}
	s.t.Logf("known red, rule %s: %s", rule, detail)
	s.copyLogs(*soakFirst)
}

func (s *soak) checkRecord(record callRecord, runs int, account, body string) {
	c, r := record.call, record.result
	expectedAccount := map[string]string{standin.KeyLarge: "large", standin.KeySmall: "small"}[c.Key]
	assert.Check(s.t, runs == 0 || account == expectedAccount, "%s ran for %q", c.ID, account)
	assert.Check(s.t, c.Body == "" || runs == 0 || body == "POST /"+c.Route+"/x "+c.Body, "%s ran as %q", c.ID, body)
	atMostOnce := c.Route == "once" || c.Route == "stream"
	assert.Check(s.t, !atMostOnce || runs <= 1, "%s of route %s ran %d times", c.ID, c.Route, runs)
	assert.Check(s.t, runs <= 2, "%s ran %d times; at most two attempts are allowed", c.ID, runs)
	switch {
	case r.Err != nil:
	case r.Status == http.StatusOK:
		sealed := strings.HasSuffix(r.Seal, "."+c.ID)
		assert.Check(s.t, sealed && (c.Body == "" && isCompleteStream(r.Body, 20) || c.Body != "" && r.Body == "done "+c.Body),
			"%s: seal %q, response %q", c.ID, r.Seal, r.Body)
	case r.Status == http.StatusServiceUnavailable || r.Status == http.StatusTooManyRequests:
		assert.Check(s.t, !atMostOnce || runs == 0, "%s was refused with %d although it ran", c.ID, r.Status)
		assert.Check(s.t, r.RetryAfter != "", "%s was refused without a Retry-After header", c.ID)
	case r.Status < http.StatusInternalServerError:
		assert.Check(s.t, false, "%s got %d", c.ID, r.Status)
	}
}

// maxTokensInWindow returns the most tokens that an account used in any window of the given length.
func maxTokensInWindow(usages []standin.Usage, account string, window time.Duration) int {
	highest := 0
	for _, last := range usages {
		sum := 0
		for _, u := range usages {
			if u.Account == account && !u.At.After(last.At) && last.At.Sub(u.At) < window {
				sum += u.Tokens
			}
		}
		highest = max(highest, sum)
	}
	return highest
}
