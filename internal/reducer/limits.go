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
	RetryRatio         float64
	RetrySlack         float64
	// An account may use up to (rate x QuotaWindow + burst) x (1 + QuotaOvershoot) + QuotaSlack in any window of that length.
	QuotaWindow    time.Duration
	QuotaOvershoot float64
	QuotaSlack     float64
	// LoadWindow is the window in which loads of models from the weight store are counted.
	LoadWindow time.Duration
	// DirectoryTTL is the longest time for which callers keep a response of the directory.
	DirectoryTTL time.Duration
}

// Durations and bounds of the gossip protocol.
const (
	gossipInterval = 300 * time.Millisecond
	// smallFleet is the number of other hosts from which a gossip round goes to only some of them, and largeFleet the number from which
	// rounds are less frequent.
	smallFleet = 8
	// gossipFanout is the number of reachable hosts that each round goes to from smallFleet on.
	gossipFanout = 2
	largeFleet   = 120
	// envelopeTTL is how long an envelope may wait for earlier envelopes to the same peer; the ages that it states were taken when it was
	// made.
	envelopeTTL = 600 * time.Millisecond
	// maxGossipRecords bounds the host records in one envelope.
	maxGossipRecords = 400
	// recentHostWindow is how long an unreachable host still counts where a fleet-wide limit is divided among the hosts.
	recentHostWindow = 10 * time.Second
	// voterTimeout is how long an unreachable voter still counts: it may be on the other side of a partition.
	voterTimeout = 25 * time.Second
	// tombstoneTTL is how long the record of an unreachable host is kept, so that outdated gossip does not add the host again.
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
	leaseMargin   = 200 * time.Millisecond
	// termEpochMs is the Unix time in milliseconds at which terms start, and termStepMs the time in which terms grow by one.
	termEpochMs = 1_577_836_800_000
	termStepMs  = 100
	// fenceBits is the number of low bits of a fence that hold a hash of the host ID.
	fenceBits = 20
)

// Durations and bounds for reading the platform.
const (
	platformWatchers = 2
	watchTimeout     = 600 * time.Millisecond
	watchInterval    = 400 * time.Millisecond
	// confirmationFraction is the fraction of ConfigDeadline after which a host without a newer confirmation reads the platform itself.
	confirmationFraction = 0.7

	// expiredEntryTTL is how long a removed entry of a backend server is kept; it may be published again if the platform was degraded.
	expiredEntryTTL = 1900 * time.Millisecond
	// healthyAfter is how long the platform must have been healthy for a removed entry to take effect at once.
	healthyAfter = 2 * time.Second
)

// Times and bounds of placing adapters.
const (
	initialLoadTime = 250 * time.Millisecond
	recentLoadShare = 0.12
	loadMargin      = 5 * time.Millisecond
	// transitMost is the number of adapters that may be on their way to one backend server.
	transitMost = 4
	// orderPause follows an order that was not taken.
	orderPause      = 150 * time.Millisecond
	requestInterval = 250 * time.Millisecond
	requestAttempts = 3
	// usageEvery is the time between two words on a backend server in use, in a large fleet usageEveryLarge.
	usageEvery      = 400 * time.Millisecond
	usageEveryLarge = 800 * time.Millisecond
	// quietFor is how long an adapter stays after it came or was asked for, so that the requests for it can arrive.
	quietFor    = 60 * time.Millisecond
	askersKept  = 15 * time.Second
	reportEvery = 700 * time.Millisecond
	usesDecay   = 20 * time.Second
)

// Bounds on requests.
const (
	initialPrefillRate = 25000
	retryPause         = 40 * time.Millisecond
	ejectFirst         = 500 * time.Millisecond
	ejectMost          = 8 * time.Second
	lossDecay          = 0.8
	// quotaShare is the part of what a window allows that keepers grant; the rest is for the reserves of hosts.
	quotaShare       = 0.88
	coldHosts        = 5
	retrySlackShare  = 0.8
	refusedRetryWait = 300 * time.Millisecond
)
