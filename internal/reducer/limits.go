package reducer

import "time"

// Limits holds the durations and bounds of the settings that decisions depend on.
type Limits struct {
	// ConfigDeadline is the time within which a published change must be in effect.
	ConfigDeadline time.Duration
	// DrainDeadline is the time after which a draining backend server gets no new requests.
	DrainDeadline time.Duration
	// HostTimeout is the time within which a host that no other host can contact must no longer be used.
	HostTimeout time.Duration
	// GracePeriod is the time between the signal to stop and the end of the process.
	GracePeriod time.Duration
	// OrderLeaseDuration is the time within which orders to a backend server must not go back and forth between two hosts.
	OrderLeaseDuration time.Duration
	// RetryRatio is the number of retries that each request adds to its host's retry budget for the service. RetrySlack is divided among the
	// hosts as the capacity of their budgets.
	RetryRatio float64
	RetrySlack float64
	// An account may use up to (rate x QuotaWindow + burst) x (1 + QuotaOvershoot) + QuotaSlack in any window of that length.
	QuotaWindow    time.Duration
	QuotaOvershoot float64
	QuotaSlack     float64
	// LoadWindow is the window in which loads of models from the weight store are counted.
	LoadWindow time.Duration
	// DirectoryTTL is the longest time for which callers keep a response of the directory.
	DirectoryTTL time.Duration
	// Quarantine is how long requests with content that crashes backend servers are refused, counted from when the content was found; the time
	// doubles when that happens again.
	Quarantine time.Duration
	// Adaptive selects the parts of the load handling that adapt to what the host observes.
	Adaptive Adaptive
}

// Adaptive selects the parts of the load handling that adapt to what the host observes; what is not selected follows fixed rules.
type Adaptive struct {
	// Pace estimates the service rate of each backend server.
	Pace bool
	// Places gives each adapter as many replicas as its demand needs.
	Places bool
	// Admission orders and refuses requests by what can be served in time, and schedules the return of refused callers.
	Admission bool
	// Start limits the concurrent requests of a backend server that has just started or recovered, by how it answers.
	Start bool
}

// Durations and bounds of the gossip protocol.
const (
	gossipInterval = 300 * time.Millisecond
	// smallFleet is the number of other hosts from which a gossip round goes to only some of them, and largeFleet the number from which
	// rounds are less frequent.
	smallFleet = 8
	// gossipFanout is the number of reachable hosts that each round goes to from smallFleet on.
	gossipFanout = 2
	largeFleet   = 250
	// envelopeTTL is how long an envelope may wait for earlier envelopes to the same peer; the ages that it states were taken when it was
	// made.
	envelopeTTL = 600 * time.Millisecond
	// maxGossipRecords bounds the host records in one envelope.
	maxGossipRecords = 400
	// recentHostWindow is how long an unreachable host still counts where a fleet-wide limit is divided among the hosts.
	recentHostWindow = 10 * time.Second
	// voterTimeout is how long an unreachable voter still counts: it may be on the other side of a partition.
	voterTimeout = 25 * time.Second
	// tombstoneTTL is how long the record of an unreachable host is kept, so that outdated gossip does not add the host again; deleted items
	// and expired lease grants are kept as long.
	tombstoneTTL = time.Minute
	// suspectFraction is the fraction of HostTimeout without a heartbeat after which a host is not used.
	suspectFraction = 0.6
	// suspectFractionLarge is the same for fleets in which gossip needs several rounds to reach all hosts.
	suspectFractionLarge = 1.2
)

// Durations and bounds of the leases on backend servers.
const (
	// leaseVoters is the number of voters on one lease if the voter set is larger than that, and leaseQuorum the quorum of them.
	leaseVoters = 7
	// leaseGroups is the number of groups of backend servers; leases of one group have the same voters and are claimed together.
	leaseGroups   = 64
	leaseQuorum   = 5
	leaseDuration = 1600 * time.Millisecond
	// renewalRounds is the number of gossip rounds from one renewal of a lease to the next.
	renewalRounds = 2
	// leaseMargin is the least time by which a voter's grant outlasts the holder's lease.
	leaseMargin = 200 * time.Millisecond
	// termEpochMs is the Unix time in milliseconds at which terms start, and termStepMs the time in which terms grow by one.
	termEpochMs = 1_577_836_800_000
	termStepMs  = 100
	// fenceBits is the number of low bits of a fence that hold a hash of the host ID.
	fenceBits = 10
	// termStepsPerOrder is the part of a fence that grows with each order that the server accepts. Terms of a voter set that is bootstrapped anew
	// may be lower than earlier ones by twice the error of the clocks; this covers an error of 50 s.
	termStepsPerOrder = 1024
	// maxOrderRate is above the mean number of orders per second that a server accepts. It also lets fences exceed those of the build before, which
	// were terms alone.
	maxOrderRate = 40
)

// Durations and bounds for reading the configuration service.
const (
	// configServiceWatchers is the number of hosts that read the configuration service while the others read from their peers.
	configServiceWatchers = 2
	// watchTimeout is how long the configuration service may hold a call open that waits for changes.
	watchTimeout = 600 * time.Millisecond
	// watchInterval is the least time from the start of one call to the next.
	watchInterval = 400 * time.Millisecond
	// confirmationFraction is the fraction of ConfigDeadline after which a host without a newer confirmation reads the configuration
	// service itself.
	confirmationFraction = 0.7

	// expiredEntryTTL is how long a removed entry of a backend server is kept; it may be published again if the configuration service
	// was degraded.
	expiredEntryTTL = 1900 * time.Millisecond
	// healthyAfter is how long the configuration service must have been healthy for a removed entry to take effect at once.
	healthyAfter = 2 * time.Second
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
	// reportInterval is the least time between two requests for a backend server's report, and the time after an order from which a missing
	// verification requires one. It is also the delay after an order without a response, and the least delay after an order for a model.
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
	// retrySlackFraction is the fraction of the fleet's retry slack that hosts use.
	retrySlackFraction = 0.8
	// defaultRetryAfter is the retry delay that a refusal suggests to the caller, and maxRetryAfter the longest one: another host may still
	// reach the backend servers that this host cannot use.
	defaultRetryAfter = 300 * time.Millisecond
	maxRetryAfter     = 5 * time.Second
)
