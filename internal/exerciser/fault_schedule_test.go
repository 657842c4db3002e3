package exerciser

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/internal/selector"
)

var (
	incidentSeeds = flag.Int("incident-seeds", 0,
		"number of seeds of each schedule and size of TestSingleLeaseHolderUnderFaults, instead of the fixed list")
	incidentFirstSeed = flag.Uint64("incident-first", 1, "first seed of TestSingleLeaseHolderUnderFaults with -incident-seeds")
)

// Times of a run of a schedule; the traffic starts after warmUpDuration.
const (
	warmUpDuration = 5 * time.Second
	settleDuration = 5 * time.Second
	// requestRate is the number of requests per second and host.
	requestRate = 4
)

// schedule is a sequence of faults.
type schedule struct {
	name string
	// fromStart is set for a schedule that starts together with the hosts, without a warm-up.
	fromStart bool
	inject    func(sim *Simulation[selector.LeastDelay])
	// regressionRuns holds the runs without -incident-seeds, as in CI.
	regressionRuns []scheduleRun
}

// scheduleRun is the size and the seed of one run of a schedule.
type scheduleRun struct {
	hosts int
	seed  uint64
}

var leaseSchedules = []schedule{
	// Guards against two lease holders while each host drains and restarts with records of only a few other hosts.
	{
		name: "rolling_restart", inject: rollingRestart,
		regressionRuns: []scheduleRun{{6, 1}, {7, 1}, {12, 1}, {40, 1}, {80, 1}},
	},
	// Guards against the same while a quarter of the hosts is separated from the rest.
	{
		name: "rolling_restart_and_partition", inject: rollingRestartAndPartition,
		regressionRuns: []scheduleRun{{6, 1}, {7, 1}, {12, 1}, {12, 5}, {40, 1}},
	},
	// Guards against a restarted host that has records of few hosts and gets a quorum within a partition of a quarter of the fleet.
	{
		name: "kills_then_partition_of_quarter", inject: func(sim *Simulation[selector.LeastDelay]) { killsThenPartition(sim, 0.25, false) },
		regressionRuns: []scheduleRun{{6, 125}, {7, 1}, {12, 11}, {40, 3}},
	},
	// Guards against the same when neither side of the partition has a majority.
	{
		name: "kills_then_partition_of_half", inject: func(sim *Simulation[selector.LeastDelay]) { killsThenPartition(sim, 0.5, false) },
		regressionRuns: []scheduleRun{{6, 50}, {7, 4}, {12, 4}, {12, 20}},
	},
	// Guards against hosts that restart a second time while the hosts in their records are on the other side of a partition.
	{
		name: "second_kill_during_partition", inject: func(sim *Simulation[selector.LeastDelay]) { killsThenPartition(sim, 0.25, true) },
		regressionRuns: []scheduleRun{{6, 1}, {7, 1}, {12, 1}, {12, 14}},
	},
	// Guards against leases acquired when no host has any record of lease grants or of other hosts.
	{
		name: "all_killed", inject: allKilled,
		regressionRuns: []scheduleRun{{6, 1}, {7, 1}, {12, 1}},
	},
	// Guards against the same while 30 to 90% of all messages are lost.
	{
		name: "all_killed_with_message_loss", inject: allKilledWithMessageLoss,
		regressionRuns: []scheduleRun{{6, 1}, {7, 1}, {12, 2}, {12, 21}, {40, 1}},
	},
	// Guards against voters that are outnumbered by new hosts, which know only one side of a partition.
	{
		name: "hosts_added_during_partition", inject: hostsAddedDuringPartition,
		regressionRuns: []scheduleRun{{6, 4}, {7, 1}, {12, 1}},
	},
	// Guards against quorums of hosts that have discovered few others because 30 to 90% of all messages were lost.
	{
		name: "start_with_message_loss", fromStart: true, inject: startWithMessageLoss,
		regressionRuns: []scheduleRun{{6, 1}, {7, 1}, {12, 1}, {40, 5}},
	},
	// Guards against holders that continue without a valid lease, or are replaced too early, while each host of a third is isolated.
	{
		name: "third_isolated", inject: thirdIsolated,
		regressionRuns: []scheduleRun{{6, 1}, {7, 1}, {12, 1}},
	},
	// Guards against two holders when hosts restart while each host of a third is isolated.
	{
		name: "kills_while_third_isolated", inject: killsWhileThirdIsolated,
		regressionRuns: []scheduleRun{{6, 1}, {7, 14}, {12, 4}, {40, 1}},
	},
}

// rounds returns how often a schedule repeats its faults: only once in a large fleet, whose runs take long.
func rounds(sim *Simulation[selector.LeastDelay]) int {
	if len(sim.Hosts) >= 40 {
		return 1
	}
	return 2
}

// startRollingRestart restarts 49 to 100% of the hosts in batches of one or of up to four.
func startRollingRestart(sim *Simulation[selector.LeastDelay]) {
	hosts := sim.RandomShareOfHosts(sim.RandomShare(0.49, 1.01))
	batchSize := 1
	if sim.RandomBool() {
		batchSize = min(len(sim.Hosts)/3, 4)
	}
	sim.RollingRestart(hosts, batchSize, sim.RandomDuration(time.Second, 2*time.Second))
}

func rollingRestart(sim *Simulation[selector.LeastDelay]) {
	startRollingRestart(sim)
	sim.Run(20 * time.Second)
}

func rollingRestartAndPartition(sim *Simulation[selector.LeastDelay]) {
	startRollingRestart(sim)
	sim.Run(sim.RandomDuration(3*time.Second, 8*time.Second))
	sim.Partition(sim.RandomShareOfHosts(0.25), sim.RandomBool(), sim.RandomDuration(3*time.Second, 7*time.Second))
	sim.Run(12 * time.Second)
}

func killsThenPartition(sim *Simulation[selector.LeastDelay], share float64, killAgain bool) {
	for range rounds(sim) {
		sim.KillGroup(sim.RandomShareOfHosts(sim.RandomShare(0.3, 0.7)), 300*time.Millisecond, 6*time.Second)
		sim.Run(sim.RandomDuration(0, 4*time.Second))
		sim.Partition(sim.RandomShareOfHosts(share), sim.RandomBool(), sim.RandomDuration(3*time.Second, 7*time.Second))
		sim.FreezeGroup(sim.RandomHosts(4), sim.RandomDuration(time.Second, 5*time.Second))
		if killAgain {
			sim.Run(sim.RandomDuration(200*time.Millisecond, 3*time.Second))
			sim.KillGroup(sim.RandomShareOfHosts(sim.RandomShare(0.3, 0.7)), 300*time.Millisecond, 3*time.Second)
		}
		sim.Run(9 * time.Second)
	}
}

func allKilled(sim *Simulation[selector.LeastDelay]) {
	for range rounds(sim) {
		sim.KillGroup(sim.Hosts, 300*time.Millisecond, 2*time.Second)
		sim.Run(10 * time.Second)
	}
}

func allKilledWithMessageLoss(sim *Simulation[selector.LeastDelay]) {
	for range rounds(sim) {
		sim.KillGroup(sim.Hosts, 300*time.Millisecond, 2*time.Second)
		sim.DropEnvelopes(sim.RandomShare(0.3, 0.9), sim.RandomDuration(2*time.Second, 7*time.Second))
		sim.Run(11 * time.Second)
	}
}

func hostsAddedDuringPartition(sim *Simulation[selector.LeastDelay]) {
	sim.Partition(sim.RandomShareOfHosts(sim.RandomShare(0.25, 0.5)), sim.RandomBool(), sim.RandomDuration(4*time.Second, 8*time.Second))
	sim.Run(sim.RandomDuration(100*time.Millisecond, 2*time.Second))
	sim.AddHosts(max(len(sim.Hosts)/2, 12))
	sim.Run(10 * time.Second)
}

func startWithMessageLoss(sim *Simulation[selector.LeastDelay]) {
	sim.DropEnvelopes(sim.RandomShare(0.3, 0.9), sim.RandomDuration(2*time.Second, 8*time.Second))
	sim.Run(11 * time.Second)
}

func thirdIsolated(sim *Simulation[selector.LeastDelay]) {
	duration := sim.RandomDuration(8*time.Second, 12*time.Second)
	sim.Isolate(sim.RandomShareOfHosts(sim.RandomShare(0.30, 0.35)), sim.RandomBool(), duration)
	sim.Run(duration + 4*time.Second)
}

func killsWhileThirdIsolated(sim *Simulation[selector.LeastDelay]) {
	duration := sim.RandomDuration(8*time.Second, 12*time.Second)
	sim.Isolate(sim.RandomShareOfHosts(sim.RandomShare(0.30, 0.35)), sim.RandomBool(), duration)
	sim.Run(sim.RandomDuration(500*time.Millisecond, 3*time.Second))
	sim.KillGroup(sim.RandomShareOfHosts(sim.RandomShare(0.3, 0.7)), 300*time.Millisecond, 3*time.Second)
	sim.Run(duration + 2*time.Second)
}

// fleetSizes are the numbers of hosts used with -incident-seeds.
var fleetSizes = []int{6, 7, 12, 40, 80}

// TestSingleLeaseHolderUnderFaults guards against two hosts that send orders to one backend server (rule ONE) under the faults
// of the users' incident.
func TestSingleLeaseHolderUnderFaults(t *testing.T) {
	for _, s := range leaseSchedules {
		for _, run := range scheduleRuns(s) {
			runSchedule(t, s, run)
		}
	}
}

// scheduleRuns returns the regression runs of a schedule, or with -incident-seeds that number of seeds for each size.
func scheduleRuns(s schedule) (runs []scheduleRun) {
	if *incidentSeeds == 0 {
		return s.regressionRuns
	}
	for _, hosts := range fleetSizes {
		for i := range uint64(*incidentSeeds) {
			runs = append(runs, scheduleRun{hosts, *incidentFirstSeed + i})
		}
	}
	return runs
}

func scheduleOptions(hosts int, seed uint64) Options {
	o := defaultOptions(seed)
	o.Hosts, o.Engines, o.UnaryServers, o.UniformAdapters = hosts, max(hosts*3/4, 4), 2, true
	return o
}

func runSchedule(t *testing.T, s schedule, run scheduleRun) {
	t.Run(fmt.Sprintf("%s/hosts_%d/seed_%d", s.name, run.hosts, run.seed), func(t *testing.T) {
		t.Parallel()
		sim := New[selector.LeastDelay](scheduleOptions(run.hosts, run.seed))
		if !s.fromStart {
			sim.Run(warmUpDuration)
		}
		sim.StartTraffic(requestRate * float64(run.hosts))
		s.inject(sim)
		sim.Run(settleDuration)
		t.Logf("%d sent, %d orders", sim.Traffic.Sent, sim.Checker.OrderCount)
		if violations := sim.Checker.Violations; len(violations) > 0 {
			t.Errorf("%d violations, the first of each rule:\n%s\nfaults:\n%s", len(violations), strings.Join(firstPerRule(violations), "\n"),
				strings.Join(sim.FaultLog, "\n"))
		}
	})
}

// maxShownPerRule is the number of violations of one rule that a test prints.
const maxShownPerRule = 3

// firstPerRule returns the first violations of each rule.
func firstPerRule(violations []string) (first []string) {
	shown := map[string]int{}
	for _, v := range violations {
		rule := strings.Fields(v)[2]
		shown[rule]++
		if shown[rule] <= maxShownPerRule {
			first = append(first, v)
		}
	}
	return first
}

// TestLeaseCheckDetectsTwoHolders guards against a lease check that misses two holders of one lease, or that counts hosts that are down.
func TestLeaseCheckDetectsTwoHolders(t *testing.T) {
	sim := New[selector.LeastDelay](scheduleOptions(6, 1))
	sim.Run(warmUpDuration)
	assert.Equal(t, len(sim.Checker.Violations), 0, "%v", sim.Checker.Violations)
	holder, backend := anyLease(sim)
	assert.Assert(t, holder != nil)
	other := sim.Hosts[0]
	if other == holder {
		other = sim.Hosts[1]
	}
	copied := *holder.State.Leases[backend]
	other.State.Leases[backend] = &copied

	holder.Up = false
	sim.checkLeases(other)
	assert.Equal(t, len(sim.Checker.Violations), 0, "%v", sim.Checker.Violations)

	holder.Up, holder.Frozen = true, true
	sim.checkLeases(holder)
	sim.checkLeases(other)
	assert.Equal(t, len(sim.Checker.Violations), 1, "%v", sim.Checker.Violations)
	assert.Assert(t, strings.Contains(sim.Checker.Violations[0], "one_lease: "+backend))
	assert.Assert(t, strings.Contains(sim.Checker.Violations[0], "knows 5 of 5"))
}

// anyLease returns a host and a backend server whose lease the host holds.
func anyLease(sim *Simulation[selector.LeastDelay]) (*Host, string) {
	for _, holder := range sim.Hosts {
		for backend := range holder.State.Leases {
			if sim.holdsLease(holder, backend) {
				return holder, backend
			}
		}
	}
	return nil, ""
}

// TestPartitionSeparatesHosts guards against a partition whose sides reach each other, that blocks backend servers, or that does not end.
func TestPartitionSeparatesHosts(t *testing.T) {
	sim := New[selector.LeastDelay](scheduleOptions(6, 1))
	sim.Run(warmUpDuration)
	sim.Partition(sim.Hosts[:2], true, time.Second)
	assert.Assert(t, !sim.connected("host-00", "host-02") && !sim.connected("host-02", "host-00"))
	assert.Assert(t, sim.connected("host-00", "host-01") && sim.connected("host-02", "host-03") && sim.connected("host-00", "engine-00"))
	assert.Assert(t, !sim.configServiceReachable(sim.Hosts[0]) && sim.configServiceReachable(sim.Hosts[2]))
	sim.Isolate(sim.Hosts[:2], false, time.Second/2)
	assert.Assert(t, !sim.connected("host-00", "host-01"))
	sim.Run(time.Second / 2)
	assert.Assert(t, sim.connected("host-00", "host-01") && !sim.connected("host-00", "host-02"))
	sim.Run(time.Second)
	assert.Assert(t, sim.connected("host-00", "host-02") && sim.configServiceReachable(sim.Hosts[0]))
}
