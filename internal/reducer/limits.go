package reducer

import "time"

// Limits are the times and bounds that the decisions keep to; those of the settings come from there.
type Limits struct {
	// ConfigDeadline is the time within which a published change is in force.
	ConfigDeadline time.Duration
	// DrainDeadline is the time after which a leaving backend server gets nothing new.
	DrainDeadline time.Duration
	// HostTimeout is the time after which a host that nobody hears counts as gone.
	HostTimeout time.Duration
	// GracePeriod is the time between the signal to stop and the end of the process.
	GracePeriod time.Duration
	// OrderLeaseDuration is the time in which no two hosts order one backend server by turns.
	OrderLeaseDuration time.Duration
	RetryRatio         float64
	RetrySlack         float64
	// An account may use (rate x QuotaWindow + burst) x (1 + QuotaOvershoot) + QuotaSlack in any window of that length.
	QuotaWindow    time.Duration
	QuotaOvershoot float64
	QuotaSlack     float64
	// LoadWindow is the window in which loads of models from the weight store are counted.
	LoadWindow time.Duration
	// DirectoryTTL is the longest time that callers keep an answer of the directory.
	DirectoryTTL time.Duration
}

// Times of the protocol between hosts.
const (
	gossipInterval = 300 * time.Millisecond
	// smallFleet is the number of other hosts from which a round of gossip goes to some of them only, and largeFleet that from which
	// rounds are fewer.
	smallFleet = 8
	// gossipPeers is the number of hosts that are told at each round in a fleet that is not small.
	gossipPeers = 2
	largeFleet  = 120
	// envelopeTTL is how long an envelope may wait for those before it to the same peer, since what it tells of other hosts grows old.
	envelopeTTL = 600 * time.Millisecond
	// gossipRecords bounds the hosts of one envelope.
	gossipRecords = 400
	// recentHostWindow is how long a host that is gone still counts where something is divided among the hosts.
	recentHostWindow = 10 * time.Second
	// voterTimeout is how long a silent host still counts among the voters: it may be on the far side of a partition.
	voterTimeout = 25 * time.Second
	// tombstoneTTL is how long the record of a host that is gone is kept, so that old news does not bring it back.
	tombstoneTTL = time.Minute
	// suspectShare is the part of HostTimeout after which a silent host is not used.
	suspectShare = 0.6
	// suspectShareLarge is the same for fleets in which news takes several rounds.
	suspectShareLarge = 1.2
)

// Times and bounds of the leases to order backend servers.
const (
	voters = 7
	// leaseGroups is the number of groups of backend servers whose leases go together.
	leaseGroups   = 64
	largeQuorum   = 5
	leaseDuration = 1600 * time.Millisecond
	// leaseRounds is the number of rounds of gossip between two renewals.
	leaseRounds = 2
	leaseMargin = 200 * time.Millisecond
	// termEpochMs is the time of day that terms count from, and termStepMs the time in which they grow by one.
	termEpochMs = 1_577_836_800_000
	termStepMs  = 100
	// fenceBits is the part of a fence that tells hosts apart.
	fenceBits = 20
)

// Times and bounds of reading the platform.
const (
	watchers   = 2
	watchWait  = 600 * time.Millisecond
	watchEvery = 400 * time.Millisecond
	// confirmShare is the part of ConfigDeadline after which a host no longer relies on the watchers.
	confirmShare = 0.7

	// lapseFor is how long an entry that vanished while the platform was unwell may still come back.
	lapseFor = 1900 * time.Millisecond
	// wellAfter is how long the platform must have answered for a removed entry to count at once.
	wellAfter = 2 * time.Second
)

// Durations and limits of placing adapters.
const (
	// initialLoadTime is the expected load time of an adapter before any load of the service was observed.
	initialLoadTime = 250 * time.Millisecond
	// cachedLoadFraction is the fraction of the load time that an adapter takes which the backend server still has cached.
	cachedLoadFraction = 0.12
	// loadMargin is added to each expected load time.
	loadMargin = 5 * time.Millisecond
	// maxConcurrentLoads is the number of adapters that may load at once on one backend server.
	maxConcurrentLoads = 4
	// orderRetryDelay is the delay before the next order after one that the backend server did not accept.
	orderRetryDelay = 150 * time.Millisecond
	// adapterRequestInterval is the time after which a host repeats an adapter request, and adapterRequestAttempts the number of such
	// intervals after which the lease holder drops a request that is not repeated.
	adapterRequestInterval = 250 * time.Millisecond
	adapterRequestAttempts = 3
	// minUsageInterval is the time between two full usage reports on a backend server in use in a small fleet, and maxUsageInterval that in a
	// larger one.
	minUsageInterval = 400 * time.Millisecond
	maxUsageInterval = 800 * time.Millisecond
	// evictionGracePeriod is how long an adapter stays after it became ready or was requested, so that the requests for it can arrive.
	evictionGracePeriod = 60 * time.Millisecond
	// hostUsageTTL is how long a lease holder keeps the last usage that a host reported.
	hostUsageTTL = 15 * time.Second
	// reportInterval is the least time between two requests for a backend server's report, and the delay after an order without a response.
	reportInterval = 700 * time.Millisecond
	// useHalfLife is the half-life of the use count by which adapters are chosen for eviction.
	useHalfLife = 20 * time.Second
)

// Limits on requests, retries, ejection and quotas.
const (
	// initialPrefillRate is the expected number of prompt tokens that an engine prefills per second before any response was observed.
	initialPrefillRate = 25000
	// retryDelay is the upper bound of the random delay before a request that a full backend server rejected is placed again, the delay after
	// an order that expired unsent, and the least time that an overdue load is given.
	retryDelay = 40 * time.Millisecond
	// baseEjectionTime is the first ejection time of a backend server; the time doubles with each further failure, up to maxEjectionTime.
	baseEjectionTime = 500 * time.Millisecond
	maxEjectionTime  = 8 * time.Second
	// failureRateDecay is the weight that the former failure rate of a backend server keeps when the result of an exchange is added.
	failureRateDecay = 0.8
	// grantableFraction is the fraction of a window's quota that coordinators grant; the rest covers the reserves that hosts hold.
	grantableFraction = 0.88
	// coldSenders is the number of hosts that may send requests to a backend server in its cold start.
	coldSenders = 5
	// retrySlackFraction is the fraction of the fleet's retry slack that hosts use.
	retrySlackFraction = 0.8
	// defaultRetryAfter is the retry delay that a refusal suggests to the caller.
	defaultRetryAfter = 300 * time.Millisecond
)
