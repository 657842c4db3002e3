package exerciser

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/redwingpick/redwingpick/internal/selector"
)

var (
	coldSeeds = flag.Int("cold-seeds", 0,
		"number of seeds of each schedule and size of TestColdServersUnderFaults, instead of the fixed list")
	coldFirstSeed = flag.Uint64("cold-first", 1, "first seed of TestColdServersUnderFaults with -cold-seeds")
)

// coldSim is the fleet that the schedules of cold servers play in.
type coldSim = Simulation[selector.LeastDelay]

// coldSchedule plays faults beside cold engines under a load that is too high for a cold engine.
type coldSchedule struct {
	name   string
	inject func(sim *coldSim)
	// resumable is set for streams that another engine may resume.
	resumable      bool
	regressionRuns []scheduleRun
}

// coldDomain is the failure domain whose engines become cold.
const coldDomain = "domain-1"

// Times of the schedules of cold servers.
const (
	coldWarmUp   = 2 * time.Second
	coldPlayTime = 14 * time.Second
	// minBriefDowntime and maxBriefDowntime bound the downtime of a host that is back within the second.
	minBriefDowntime = 100 * time.Millisecond
	maxBriefDowntime = 900 * time.Millisecond
)

var coldSchedules = []coldSchedule{
	// Guards against hosts that read the end of a withdrawal whose beginning they have not read.
	{
		name: "domain_returned_soon", inject: domainReturnedSoon,
		regressionRuns: []scheduleRun{{6, 1}, {38, 1}},
	},
	// Guards against hosts that start while a failure domain is taken back, and take its engines for warm.
	{
		name: "domain_returned_all_killed", inject: domainReturnedAllKilled,
		regressionRuns: []scheduleRun{{6, 1}, {38, 4}},
	},
	// Guards against the same while a part of the hosts restarts.
	{
		name: "domain_returned_share_killed", inject: domainReturnedShareKilled,
		regressionRuns: []scheduleRun{{6, 5}, {38, 1}},
	},
	// Guards against senders whose restart gives them their rate anew, and against others that send in their place.
	{
		name: "domain_returned_senders_killed", inject: domainReturnedSendersKilled,
		regressionRuns: []scheduleRun{{6, 1}, {80, 1}},
	},
	// Guards against new hosts that count themselves among the senders or take a cold engine for warm.
	{
		name: "domain_returned_hosts_added", inject: domainReturnedHostsAdded,
		regressionRuns: []scheduleRun{{6, 1}},
	},
	// Guards against senders that change while hosts restart one after the other.
	{
		name: "domain_returned_rolling_restart", inject: domainReturnedRollingRestart,
		regressionRuns: []scheduleRun{{6, 1}},
	},
	// Guards against hosts that learn late that a failure domain was taken back or that its engines are cold.
	{
		name: "domain_returned_slow_configuration", inject: domainReturnedSlowConfiguration,
		regressionRuns: []scheduleRun{{6, 1}, {38, 1}},
	},
	// Guards against the same while no host reaches the configuration service.
	{
		name: "domain_returned_no_configuration", inject: domainReturnedNoConfiguration,
		regressionRuns: []scheduleRun{{6, 1}},
	},
	// Guards against entries that the readers of the configuration service do not pass on because they are replaced.
	{
		name: "domain_returned_watchers_killed", inject: domainReturnedWatchersKilled,
		regressionRuns: []scheduleRun{{6, 1}, {38, 1}},
	},
	// Guards against hosts that go on after a pause with an older view of the engines.
	{
		name: "domain_returned_freeze", inject: domainReturnedFreeze,
		regressionRuns: []scheduleRun{{6, 1}},
	},
	// Guards against the same for a pause that covers the whole withdrawal.
	{
		name: "domain_returned_during_freeze", inject: domainReturnedDuringFreeze,
		regressionRuns: []scheduleRun{{6, 5}, {38, 4}},
	},
	// Guards against hosts that are cut off from all others and from the configuration service during the whole withdrawal.
	{
		name: "domain_returned_unseen", inject: domainReturnedUnseen,
		regressionRuns: []scheduleRun{{6, 4}, {38, 2}},
	},
	// Guards against two sides of a partition that each count five senders.
	{
		name: "domain_returned_partition", inject: domainReturnedPartition,
		regressionRuns: []scheduleRun{{6, 1}},
	},
	// Guards against hosts that know different voters because messages were lost.
	{
		name: "domain_returned_message_loss", inject: domainReturnedMessageLoss,
		regressionRuns: []scheduleRun{{6, 1}},
	},
	// Guards against engines that are back cold while no host knows the voter set.
	{
		name: "engines_restarted_voters_lost", inject: enginesRestartedVotersLost,
		regressionRuns: []scheduleRun{{6, 1}},
	},
	// Guards against hosts that take a restarted engine for its former incarnation until its entry is published.
	{
		name: "engines_restarted_late_entry", inject: enginesRestartedLateEntry,
		regressionRuns: []scheduleRun{{6, 1}},
	},
	// Guards against the same beside kills of the senders.
	{
		name: "engines_restarted_senders_killed", inject: enginesRestartedSendersKilled,
		regressionRuns: []scheduleRun{{6, 1}, {38, 1}},
	},
	// Guards against an engine that is cold a second time before the first has ended, and right after.
	{
		name: "cold_again", inject: coldAgain,
		regressionRuns: []scheduleRun{{6, 1}, {38, 1}},
	},
	// Guards against an engine whose next cold start is taken for the rest of an earlier one.
	{
		name: "cold_later_again", inject: coldLaterAgain,
		regressionRuns: []scheduleRun{{6, 1}, {38, 1}, {80, 1}},
	},
	// Guards against the same for a failure domain that is withdrawn and taken back twice.
	{
		name: "domain_returned_twice", inject: domainReturnedTwice,
		regressionRuns: []scheduleRun{{6, 1}, {38, 1}},
	},
	// Guards against streams of stalled engines that are resumed on cold ones without a bound.
	{
		name: "stalled_streams", inject: stalledStreams, resumable: true,
		regressionRuns: []scheduleRun{{6, 1}, {38, 1}},
	},
}

// returnDomain takes the failure domain back after a time, and returns that time; its engines publish that they are cold up to a heartbeat later.
func returnDomain(sim *coldSim) time.Duration {
	withdrawnFor := sim.RandomDuration(2*time.Second, 5*time.Second)
	sim.CoolDomain(coldDomain, withdrawnFor, sim.RandomDuration(0, heartbeatInterval))
	return withdrawnFor
}

// aroundReturn takes the failure domain back and runs until a time between before and after that.
func aroundReturn(sim *coldSim, before, after time.Duration) {
	sim.Run(returnDomain(sim) + sim.RandomDuration(-before, after))
}

func domainReturnedSoon(sim *coldSim) {
	for range 2 {
		sim.CoolDomain(coldDomain, sim.RandomDuration(50*time.Millisecond, 1500*time.Millisecond), sim.RandomDuration(0, heartbeatInterval))
		sim.Run(1500*time.Millisecond + coldDuration)
	}
}

// killAtReturn kills hosts so that most start between the return of the failure domain and the late entries of its engines.
func killAtReturn(sim *coldSim, group []*Host) {
	withdrawnFor := sim.RandomDuration(2*time.Second, 5*time.Second)
	sim.CoolDomain(coldDomain, withdrawnFor, sim.RandomDuration(heartbeatInterval/2, heartbeatInterval))
	sim.Run(withdrawnFor - sim.RandomDuration(0, time.Second))
	sim.KillGroup(group, minBriefDowntime, maxBriefDowntime)
}

func domainReturnedAllKilled(sim *coldSim) { killAtReturn(sim, sim.Hosts) }

func domainReturnedShareKilled(sim *coldSim) {
	killAtReturn(sim, sim.RandomShareOfHosts(sim.RandomShare(0.2, 0.8)))
	sim.Run(sim.RandomDuration(300*time.Millisecond, 1500*time.Millisecond))
	sim.KillGroup(sim.RandomShareOfHosts(sim.RandomShare(0.2, 0.8)), minBriefDowntime, maxBriefDowntime)
}

func domainReturnedSendersKilled(sim *coldSim) {
	aroundReturn(sim, 0, time.Second)
	killSendersRepeatedly(sim)
}

// killSendersRepeatedly kills the senders of one cold engine several times within its cold start.
func killSendersRepeatedly(sim *coldSim) {
	b := sim.RandomEngine(coldDomain)
	for range 3 {
		if b != nil {
			sim.KillColdSenders(b, minBriefDowntime, maxBriefDowntime)
		}
		sim.Run(sim.RandomDuration(200*time.Millisecond, time.Second))
	}
}

func domainReturnedHostsAdded(sim *coldSim) {
	aroundReturn(sim, 2*time.Second, 500*time.Millisecond)
	sim.AddHosts(max(len(sim.Hosts)/3, 4))
}

func domainReturnedRollingRestart(sim *coldSim) {
	startRollingRestart(sim)
	aroundReturn(sim, 0, 0)
}

func domainReturnedSlowConfiguration(sim *coldSim) {
	sim.DelayConfigServiceResponses(sim.RandomDuration(200*time.Millisecond, 1500*time.Millisecond), 10*time.Second)
	aroundReturn(sim, 0, 0)
}

func domainReturnedNoConfiguration(sim *coldSim) {
	aroundReturn(sim, time.Second, time.Second)
	sim.StopConfigService(sim.RandomDuration(time.Second, 5*time.Second))
}

func domainReturnedWatchersKilled(sim *coldSim) {
	publishDelay := sim.RandomDuration(200*time.Millisecond, heartbeatInterval)
	sim.CoolDomain(coldDomain, 4*time.Second, publishDelay)
	lead := sim.RandomDuration(10*time.Millisecond, 150*time.Millisecond)
	sim.Run(4*time.Second - lead)
	sim.KillWatchers(minBriefDowntime, maxBriefDowntime)
	sim.Run(publishDelay)
	sim.KillWatchers(minBriefDowntime, maxBriefDowntime)
}

func domainReturnedFreeze(sim *coldSim) {
	aroundReturn(sim, 4*time.Second, time.Second)
	sim.FreezeGroup(sim.RandomShareOfHosts(sim.RandomShare(0.2, 0.8)), sim.RandomDuration(300*time.Millisecond, 4*time.Second))
}

func domainReturnedDuringFreeze(sim *coldSim) {
	withdrawnFor := sim.RandomDuration(500*time.Millisecond, 3*time.Second)
	sim.FreezeGroup(sim.RandomShareOfHosts(sim.RandomShare(0.2, 0.8)), withdrawnFor+sim.RandomDuration(100*time.Millisecond, time.Second))
	sim.Run(50 * time.Millisecond)
	sim.CoolDomain(coldDomain, withdrawnFor, sim.RandomDuration(heartbeatInterval/2, heartbeatInterval))
}

func domainReturnedUnseen(sim *coldSim) {
	withdrawnFor := sim.RandomDuration(500*time.Millisecond, 3*time.Second)
	sim.Partition(sim.RandomShareOfHosts(sim.RandomShare(0.25, 0.5)), true, withdrawnFor+sim.RandomDuration(0, 2*time.Second))
	sim.Run(50 * time.Millisecond)
	sim.CoolDomain(coldDomain, withdrawnFor, sim.RandomDuration(0, heartbeatInterval))
}

func domainReturnedPartition(sim *coldSim) {
	aroundReturn(sim, 4*time.Second, time.Second)
	sim.Partition(sim.RandomShareOfHosts(sim.RandomShare(0.25, 0.5)), sim.RandomBool(), sim.RandomDuration(2*time.Second, 6*time.Second))
}

func domainReturnedMessageLoss(sim *coldSim) {
	sim.KillGroup(sim.RandomShareOfHosts(sim.RandomShare(0.2, 0.8)), minBriefDowntime, 3*time.Second)
	sim.DropEnvelopes(sim.RandomShare(0.3, 0.9), sim.RandomDuration(4*time.Second, 8*time.Second))
	aroundReturn(sim, 0, 0)
}

func enginesRestartedVotersLost(sim *coldSim) {
	sim.RestartServers(sim.domainEngines(coldDomain), sim.RandomDuration(300*time.Millisecond, 4*time.Second), sim.RandomDuration(0, heartbeatInterval))
	sim.Run(sim.RandomDuration(0, 4*time.Second))
	sim.KillGroup(sim.Hosts, minBriefDowntime, maxBriefDowntime)
}

func enginesRestartedLateEntry(sim *coldSim) {
	sim.RestartServers(sim.domainEngines(coldDomain), sim.RandomDuration(300*time.Millisecond, 4*time.Second), sim.RandomDuration(0, heartbeatInterval))
	sim.Run(sim.RandomDuration(0, 4*time.Second))
	sim.KillGroup(sim.RandomShareOfHosts(sim.RandomShare(0.2, 0.8)), minBriefDowntime, maxBriefDowntime)
}

func enginesRestartedSendersKilled(sim *coldSim) {
	downtime := sim.RandomDuration(300*time.Millisecond, 3*time.Second)
	sim.RestartServers(sim.domainEngines(coldDomain), downtime, sim.RandomDuration(0, heartbeatInterval))
	sim.Run(downtime + sim.RandomDuration(time.Second, 2*time.Second))
	killSendersRepeatedly(sim)
}

func coldAgain(sim *coldSim) {
	for range 3 {
		sim.CoolEngines(sim.domainEngines(coldDomain))
		sim.Run(sim.RandomDuration(coldDuration/2, coldDuration+200*time.Millisecond))
	}
}

func coldLaterAgain(sim *coldSim) {
	for range 2 {
		sim.CoolEngines(sim.domainEngines(coldDomain))
		sim.Run(coldDuration + sim.RandomDuration(heartbeatInterval, 3*time.Second))
	}
}

func domainReturnedTwice(sim *coldSim) {
	aroundReturn(sim, 0, coldDuration)
	aroundReturn(sim, 0, 0)
}

// stalledStreams stalls the streams of all engines that are not cold, again and again: their hosts end the attempts a heartbeat later, which is
// when the engines of the failure domain are cold and have not published it.
func stalledStreams(sim *coldSim) {
	const withdrawnFor = 4 * time.Second
	sim.CoolDomain(coldDomain, withdrawnFor, heartbeatInterval)
	sim.Run(withdrawnFor - sim.RandomDuration(heartbeatInterval/2, heartbeatInterval))
	for range 4 {
		for _, domain := range []string{"domain-0", "domain-2", "domain-3"} {
			sim.StallEngines(sim.domainEngines(domain), sim.RandomDuration(2*time.Second, 3*time.Second))
		}
		sim.Run(250 * time.Millisecond)
	}
}

// coldFleetSizes are the numbers of hosts used with -cold-seeds.
var coldFleetSizes = []int{6, 38, 80}

// TestColdServersUnderFaults guards against cold engines that get more requests than they can take, summed over all hosts.
func TestColdServersUnderFaults(t *testing.T) {
	for _, s := range coldSchedules {
		for _, run := range coldRuns(s) {
			playColdSchedule(t, s, run)
		}
	}
}

// coldRuns returns the regression runs of a schedule, or with -cold-seeds that number of seeds for each size.
func coldRuns(s coldSchedule) (runs []scheduleRun) {
	if *coldSeeds == 0 {
		return s.regressionRuns
	}
	for _, hosts := range coldFleetSizes {
		for i := range uint64(*coldSeeds) {
			runs = append(runs, scheduleRun{hosts, *coldFirstSeed + i})
		}
	}
	return runs
}

// coldRequestRate is the number of requests per second and engine of the schedules: four times the rate of a cold engine.
const coldRequestRate = 4 * coldRate

// newColdScheduleLoad returns a load of requests that a warm engine answers easily, for adapters that fit into the slots of their engines.
func newColdScheduleLoad(run scheduleRun) *adapterLoad {
	engines := 12
	if run.hosts > engines {
		engines *= 2
	}
	l := newAdapterLoad(false, float64(coldRequestRate*engines), func(o *Options) {
		o.Seed, o.Hosts, o.Engines, o.UniformAdapters = run.seed, run.hosts, engines, true
	})
	l.adapters, l.uniform, l.brief = 2*engines, true, true
	return l
}

func playColdSchedule(t *testing.T, s coldSchedule, run scheduleRun) {
	t.Run(fmt.Sprintf("%s/hosts_%d/seed_%d", s.name, run.hosts, run.seed), func(t *testing.T) {
		t.Parallel()
		l := newColdScheduleLoad(run)
		if s.resumable {
			l.path, l.atMostOnce = "/resumable/x", false
		}
		sim := l.sim
		end := sim.Now.Add(coldPlayTime)
		l.start(coldPlayTime)
		sim.Run(coldWarmUp)
		s.inject(sim)
		sim.Run(end.Sub(sim.Now))
		t.Logf("%d sent, %d not in time, %d resumed", l.sent, l.missed(), l.resumes())
		if violations := sim.Checker.Violations; len(violations) > 0 {
			t.Errorf("%d violations, the first of each rule:\n%s\nfaults:\n%s", len(violations), strings.Join(firstPerRule(violations), "\n"),
				strings.Join(sim.FaultLog, "\n"))
		}
	})
}
