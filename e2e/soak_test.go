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
	"strings"
	"sync"
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
	soakReturns       = flag.Bool("soak-returns", false, "make the configuration service come back from older copies in TestFaultSoak")
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

// resetDescription is what disruptProxy returns when it has reset the connections, which are not disrupted any longer then.
const resetDescription = "reset"

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
