package exerciser

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/internal/reducer"
	"github.com/redwingpick/redwingpick/internal/selector"
)

var (
	limitSeeds = flag.Int("limit-seeds", 0,
		"number of seeds of each schedule, size and service of TestRateLimitsUnderFaults, instead of the fixed list")
	limitFirstSeed = flag.Uint64("limit-first", 1, "first seed of TestRateLimitsUnderFaults with -limit-seeds")
)

// limitSchedule plays faults beside backend servers that name rate limits below the load.
type limitSchedule struct {
	name           string
	inject         func(sim *coldSim, group []*Backend)
	regressionRuns []scheduleRun
}

const (
	// limitPlayTime is the time with requests of a run.
	limitPlayTime = 16 * time.Second
	// limitedRequestRate is the number of requests per second and server: twice the highest limit.
	limitedRequestRate = 40
)

// namedLimits are the limits that servers name, in requests per second.
var namedLimits = []float64{0.5, 1, 2, 5, 10, 20}

// everySize holds a run of each fleet size.
var everySize = []scheduleRun{{6, 1}, {38, 1}, {80, 1}}

var limitSchedules = []limitSchedule{
	// Guards against hosts that do not keep to a limit, or each for itself.
	{name: "named", inject: nameLimit, regressionRuns: everySize},
	// Guards against hosts that keep to an earlier limit after the server has named a lower one.
	{name: "changed", inject: changeLimit, regressionRuns: everySize},
	// Guards against a limit that is not kept after the server has named none for a time.
	{name: "named_again", inject: nameLimitAgain, regressionRuns: []scheduleRun{{6, 1}}},
	// Guards against a limit that outlives its server, and one that its next incarnation names.
	{name: "server_restarted", inject: limitAndServerRestart, regressionRuns: []scheduleRun{{6, 1}}},
	// Guards against shares of restarted hosts that are given out twice.
	{name: "share_killed", inject: limitAndShareKilled, regressionRuns: []scheduleRun{{6, 1}, {38, 1}}},
	// Guards against hosts that do not know each other after a restart and each take the whole limit.
	{name: "all_killed", inject: limitAndAllKilled, regressionRuns: []scheduleRun{{6, 1}}},
	// Guards against the same for new hosts.
	{name: "hosts_added", inject: limitAndHostsAdded, regressionRuns: []scheduleRun{{6, 1}}},
	// Guards against shares that change while hosts restart one after the other.
	{name: "rolling_restart", inject: limitAndRollingRestart, regressionRuns: []scheduleRun{{6, 1}}},
	// Guards against hosts that make up for a pause.
	{name: "freeze", inject: limitAndFreeze, regressionRuns: []scheduleRun{{6, 1}}},
	// Guards against two sides of a partition that each take the whole limit after it has ended.
	{name: "partition", inject: limitAndPartition, regressionRuns: []scheduleRun{{6, 1}}},
}

func randomLimit(sim *coldSim) float64 { return namedLimits[sim.faultRNG.IntN(len(namedLimits))] }

func nameLimit(sim *coldSim, group []*Backend) { sim.NameRateLimit(group, randomLimit(sim)) }

func changeLimit(sim *coldSim, group []*Backend) {
	sim.NameRateLimit(group, 20)
	sim.Run(sim.RandomDuration(2*time.Second, 4*time.Second))
	sim.NameRateLimit(group, 1)
}

func nameLimitAgain(sim *coldSim, group []*Backend) {
	nameLimit(sim, group)
	sim.Run(sim.RandomDuration(time.Second, 3*time.Second))
	sim.NameRateLimit(group, 0)
	sim.Run(sim.RandomDuration(500*time.Millisecond, 2*time.Second))
	nameLimit(sim, group)
}

func limitAndServerRestart(sim *coldSim, group []*Backend) {
	nameLimit(sim, group)
	sim.Run(sim.RandomDuration(time.Second, 2*time.Second))
	downtime := sim.RandomDuration(300*time.Millisecond, time.Second)
	sim.RestartServers(group, downtime, 0)
	sim.Run(downtime + sim.RandomDuration(0, time.Second))
	nameLimit(sim, group)
}

func limitAndShareKilled(sim *coldSim, group []*Backend) {
	nameLimit(sim, group)
	for range 3 {
		sim.Run(sim.RandomDuration(time.Second, 2*time.Second))
		sim.KillGroup(sim.RandomShareOfHosts(sim.RandomShare(0.1, 0.4)), minBriefDowntime, maxBriefDowntime)
	}
}

func limitAndAllKilled(sim *coldSim, group []*Backend) {
	nameLimit(sim, group)
	sim.Run(sim.RandomDuration(0, time.Second))
	sim.KillGroup(sim.Hosts, minBriefDowntime, maxBriefDowntime)
}

func limitAndHostsAdded(sim *coldSim, group []*Backend) {
	nameLimit(sim, group)
	sim.Run(sim.RandomDuration(time.Second, 3*time.Second))
	sim.AddHosts(max(len(sim.Hosts)/3, 4))
}

func limitAndRollingRestart(sim *coldSim, group []*Backend) {
	nameLimit(sim, group)
	startRollingRestart(sim)
}

func limitAndFreeze(sim *coldSim, group []*Backend) {
	nameLimit(sim, group)
	sim.Run(sim.RandomDuration(time.Second, 4*time.Second))
	sim.FreezeGroup(sim.RandomShareOfHosts(sim.RandomShare(0.2, 0.6)), sim.RandomDuration(300*time.Millisecond, 2*time.Second))
}

func limitAndPartition(sim *coldSim, group []*Backend) {
	nameLimit(sim, group)
	sim.Run(sim.RandomDuration(time.Second, 2*time.Second))
	sim.Partition(sim.RandomShareOfHosts(sim.RandomShare(0.25, 0.5)), sim.RandomBool(), sim.RandomDuration(time.Second, 3*time.Second))
}

// TestRateLimitsUnderFaults guards against servers that get more requests than they have said that they take, from engines and unary servers.
func TestRateLimitsUnderFaults(t *testing.T) {
	for _, s := range limitSchedules {
		for _, run := range limitRuns(s) {
			for _, service := range []string{engineService, unaryService} {
				playLimitSchedule(t, s, run, service)
			}
		}
	}
}

// limitRuns returns the regression runs of a schedule, or with -limit-seeds that number of seeds for each size.
func limitRuns(s limitSchedule) (runs []scheduleRun) {
	if *limitSeeds == 0 {
		return s.regressionRuns
	}
	for _, hosts := range coldFleetSizes {
		for i := range uint64(*limitSeeds) {
			runs = append(runs, scheduleRun{hosts, *limitFirstSeed + i})
		}
	}
	return runs
}

func playLimitSchedule(t *testing.T, s limitSchedule, run scheduleRun, service string) {
	t.Run(fmt.Sprintf("%s/%s/hosts_%d/seed_%d", s.name, service, run.hosts, run.seed), func(t *testing.T) {
		t.Parallel()
		l := newColdScheduleLoad(run)
		sim := l.sim
		group := sim.domainServers(service, coldDomain)
		l.rate = float64(limitedRequestRate * sim.Options.Engines)
		if service == unaryService {
			l.unary, l.rate = true, float64(limitedRequestRate*sim.Options.UnaryServers)
		}
		end := sim.Now.Add(limitPlayTime)
		l.start(limitPlayTime)
		sim.Run(coldWarmUp)
		s.inject(sim, group)
		sim.Run(end.Sub(sim.Now))
		t.Logf("%d sent, %d not in time, refused %v", l.sent, l.missed(), sim.Traffic.Refused)
		if violations := sim.Checker.Violations; len(violations) > 0 {
			t.Errorf("%d violations, the first of each rule:\n%s\nfaults:\n%s", len(violations), strings.Join(firstPerRule(violations), "\n"),
				strings.Join(sim.FaultLog, "\n"))
		}
	})
}

// limitFixture plays requests of two hosts at one server, without a fleet.
type limitFixture struct {
	sim     *coldSim
	backend *Backend
}

// newLimitFixture returns a server that names a limit of 1/s, of which the first host has passed on an answer.
func newLimitFixture() *limitFixture {
	f := &limitFixture{sim: New[selector.LeastDelay](scheduleOptions(6, 1)), backend: &Backend{}}
	f.sim.NameRateLimit([]*Backend{f.backend}, 1)
	f.backend.limits.recordAnswer(f.sim.Now, f.sim.Hosts[0])
	return f
}

// send plays count requests of a host at some time after the limit was named.
func (f *limitFixture) send(after time.Duration, h *Host, faultFree bool, count int) {
	for range count {
		f.sim.Checker.checkRateLimit(StartTime.Add(after), f.sim.Options.Limits, faultFree, f.backend, h)
	}
}

// Guards against a check that counts hosts which were not told, or not yet, or are excused, or one that begins too early; and against one that
// never finds anything.
func TestRateLimitCheckCountsToldHostsOnly(t *testing.T) {
	timeout := scheduleOptions(6, 1).Limits.HostTimeout
	f := newLimitFixture()
	told, other := f.sim.Hosts[0], f.sim.Hosts[1]
	f.send(timeout-time.Millisecond, told, true, 20)
	assert.Equal(t, len(f.sim.Checker.Violations), 0, "the window ends before HostTimeout has passed")

	f = newLimitFixture()
	f.send(timeout, other, true, 20)
	f.send(timeout, told, false, 20)
	f.send(timeout, told, true, 11)
	assert.Equal(t, len(f.sim.Checker.Violations), 0, "%v", f.sim.Checker.Violations)
	f.send(timeout, told, true, 1)
	assert.Equal(t, len(f.sim.Checker.Violations), 1)

	f = newLimitFixture()
	f.backend.limits.recordAnswer(StartTime.Add(timeout), other)
	f.send(timeout+limitNotice-time.Millisecond, other, true, 20)
	assert.Equal(t, len(f.sim.Checker.Violations), 0, "the host was told just before")
	f.send(timeout+limitNotice, other, true, 12)
	assert.Equal(t, len(f.sim.Checker.Violations), 1)
}

// Guards against a check that goes on after the server names no limit any more, or that applies a lower limit at once.
func TestRateLimitCheckFollowsChanges(t *testing.T) {
	later := scheduleOptions(6, 1).Limits.HostTimeout
	f := newLimitFixture()
	f.sim.Now = StartTime.Add(later)
	f.sim.NameRateLimit([]*Backend{f.backend}, 0)
	f.send(2*later, f.sim.Hosts[0], true, 20)
	assert.Equal(t, len(f.sim.Checker.Violations), 0, "%v", f.sim.Checker.Violations)

	f = newLimitFixture()
	f.sim.NameRateLimit([]*Backend{f.backend}, 0.5)
	f.backend.limits.recordAnswer(StartTime.Add(later), f.sim.Hosts[0])
	f.send(2*later-time.Millisecond, f.sim.Hosts[0], true, 11)
	assert.Equal(t, len(f.sim.Checker.Violations), 0, "%v", f.sim.Checker.Violations)
	f.send(3*later+limitWindow, f.sim.Hosts[0], true, 9)
	assert.Equal(t, len(f.sim.Checker.Violations), 1)
}

// Guards against a model whose answers do not name the limit, or name one that its server has not.
func TestServerNamesItsLimitInEachAnswer(t *testing.T) {
	sim := New[selector.LeastDelay](scheduleOptions(6, 1))
	sim.Run(warmUpDuration)
	b := sim.domainServers(unaryService, coldDomain)[0]
	assert.Equal(t, sim.notice(sim.Hosts[0], b, reducer.OutcomeDone), reducer.BackendNotice{Answered: true})
	sim.NameRateLimit([]*Backend{b}, 2)
	assert.Equal(t, sim.notice(sim.Hosts[0], b, reducer.OutcomeFull), reducer.BackendNotice{Answered: true, RateLimit: 2})
	sim.startBackend(b.Info.ID, b.Info.Service, b.Info.FailureDomain)
	assert.Equal(t, sim.notice(sim.Hosts[0], b, reducer.OutcomeDone), reducer.BackendNotice{Answered: true})
}
