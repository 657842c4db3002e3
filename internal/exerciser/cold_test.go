package exerciser

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/internal/selector"
)

// coldRun is a fleet before engines that become cold without a restart.
type coldRun struct {
	hosts, engines int
	// rate is in requests per second; the busiest engines get more than a cold one may.
	rate float64
	// publishDelay is the time from when an engine becomes cold until its entry says so, at most a heartbeat.
	publishDelay time.Duration
}

// Guards against hosts that send without a bound to the servers of a failure domain that is taken back, since their entries do not say yet
// that they are cold.
func TestServersOfReturnedDomainAreTakenForCold(t *testing.T) {
	for _, run := range []coldRun{{6, 12, 206, 0}, {6, 12, 206, 1200 * time.Millisecond}, {38, 60, 450, 600 * time.Millisecond}, {80, 60, 450, 1200 * time.Millisecond}} {
		t.Run(fmt.Sprintf("%d_hosts_entry_after_%v", run.hosts, run.publishDelay), func(t *testing.T) {
			l := newColdLoad(run)
			l.sim.after(3*time.Second, func() { l.sim.CoolDomain("domain-1", 5*time.Second, run.publishDelay) })
			l.run(12 * time.Second)
			assert.DeepEqual(t, l.sim.Checker.Violations, []string(nil))
		})
	}
}

// Guards against hosts that go on sending without a bound to a server that has become cold while it ran, for the first or the second time, after
// its entry says so.
func TestServerThatIsColdAgainKeepsItsBound(t *testing.T) {
	for _, run := range []coldRun{{6, 12, 206, 0}, {38, 60, 450, 0}, {80, 60, 450, 0}} {
		t.Run(fmt.Sprintf("%d_hosts", run.hosts), func(t *testing.T) {
			l := newColdLoad(run)
			for _, at := range []time.Duration{6 * time.Second, 14 * time.Second} {
				l.sim.after(at, func() {
					for _, b := range l.sim.domainEngines("domain-1") {
						l.sim.CoolEngine(b)
					}
				})
			}
			l.run(18 * time.Second)
			assert.DeepEqual(t, l.sim.Checker.Violations, []string(nil))
		})
	}
}

func newColdLoad(run coldRun) *adapterLoad {
	return newAdapterLoad(false, run.rate, func(o *Options) { o.Hosts, o.Engines = run.hosts, run.engines })
}

// Guards against hosts that do not learn that a server is cold for the second time in one incarnation: its entry then says the same as it did
// for the first time.
func TestSecondColdStartReachesAllHosts(t *testing.T) {
	for _, hosts := range []int{6, 38, 80} {
		t.Run(fmt.Sprintf("%d_hosts", hosts), func(t *testing.T) {
			o := defaultOptions(1)
			o.Hosts = hosts
			sim := New[selector.LeastDelay](o)
			sim.Run(12 * time.Second)
			cold := sim.Backends["engine-00"]
			for range 2 {
				sim.CoolEngine(cold)
				sim.Run(coldDuration / 2)
				for _, h := range sim.Hosts {
					assert.Check(t, h.State.Backends[cold.Info.ID].ColdUntil.After(sim.Now), "%s takes the server for warm", h.ID)
				}
				sim.Run(2 * coldDuration)
			}
		})
	}
}
