package selector

import (
	"time"

	"github.com/redwingpick/redwingpick/internal/hasher"
)

// Policy is the constraint on policy types; the reducer takes one as its type parameter.
type Policy interface { // constraint
	// Order returns the backend servers to try, the first one first; ranked is in rendezvous order.
	Order(ranked []string, replicas int, random uint64) []string
	// Lane returns the queue lane of a client account.
	Lane(account string) string
	// Worth returns the value of keeping an adapter resident; the least is evicted first.
	Worth(use Use) float64
	// Urgency returns the rank of a load; the highest goes first.
	Urgency(waiting int, waited time.Duration) float64
	// Prefetch reports whether idle load permits fetch adapters before they are asked for.
	Prefetch() bool
	// SharedPermits reports whether the hosts share the weight store's limits.
	SharedPermits() bool
	// StaticShares reports whether each host has a fixed part of each client account's rate.
	StaticShares() bool
}

const (
	// remembered is the number of past requests from which a rate is estimated, as in the LRU-K page replacement.
	remembered = 3
	// unseen is the age that is taken for a request that has not happened yet.
	unseen = 10 * time.Minute
)

// Use is the times of the last requests for one adapter, the newest first; a zero time is a request not seen yet.
type Use struct {
	Times [remembered]time.Time
}

// Touch notes a request at now.
func (u *Use) Touch(now time.Time) {
	copy(u.Times[1:], u.Times[:])
	u.Times[0] = now
}

// Last returns the time of the newest request.
func (u Use) Last() time.Time { return u.Times[0] }

// Rate returns the estimated requests a second: the requests remembered over the age of the oldest of them.
func (u Use) Rate(now time.Time) float64 {
	if u.Times[0].IsZero() {
		return 0
	}
	seen := 0
	age := time.Duration(0)
	for _, t := range u.Times {
		if t.IsZero() {
			break
		}
		seen++
		age = now.Sub(t)
	}
	if seen < remembered {
		age += unseen
	}
	return float64(seen) / max(age.Seconds(), 1e-3)
}

// Adaptive is the policy that the daemons run.
type Adaptive struct{}

// Order starts at a random one of the replicas and keeps the rest of the ranking behind them.
func (Adaptive) Order(ranked []string, replicas int, random uint64) []string {
	replicas = min(max(replicas, 1), len(ranked))
	if replicas < 2 {
		return ranked
	}
	start := int(random % uint64(replicas))
	ordered := make([]string, 0, len(ranked))
	ordered = append(ordered, ranked[start:replicas]...)
	ordered = append(ordered, ranked[:start]...)
	return append(ordered, ranked[replicas:]...)
}

// Lane gives each client account a lane of its own.
func (Adaptive) Lane(account string) string { return account }

// Worth is the time of the last use: the least recently used adapter goes first.
func (Adaptive) Worth(use Use) float64 { return float64(use.Last().UnixNano()) }

// Urgency grows with the requests that wait and with the time the first of them has waited.
func (Adaptive) Urgency(waiting int, waited time.Duration) float64 {
	return float64(waiting) * (1 + waited.Seconds())
}

// Prefetch is true.
func (Adaptive) Prefetch() bool { return true }

// SharedPermits is true.
func (Adaptive) SharedPermits() bool { return true }

// StaticShares is false: shares follow the demand.
func (Adaptive) StaticShares() bool { return false }

// Rendezvous is the baseline of plain rendezvous hashing: no replicas, no prefetch, and each host loads when it likes.
type Rendezvous struct{ Adaptive }

// Order is the first of the ranking alone.
func (Rendezvous) Order(ranked []string, _ int, _ uint64) []string {
	return ranked[:min(len(ranked), 1)]
}

// Urgency is the time waited: first come, first served.
func (Rendezvous) Urgency(_ int, waited time.Duration) float64 { return waited.Seconds() }

// Prefetch is false.
func (Rendezvous) Prefetch() bool { return false }

// SharedPermits is false.
func (Rendezvous) SharedPermits() bool { return false }

// SharedRendezvous is plain rendezvous hashing with shared load permits.
type SharedRendezvous struct{ Rendezvous }

// SharedPermits is true.
func (SharedRendezvous) SharedPermits() bool { return true }

// Random is the baseline of random placement.
type Random struct{ Rendezvous }

// Order shuffles the ranking.
func (Random) Order(ranked []string, _ int, random uint64) []string {
	ordered := append([]string(nil), ranked...)
	for i := len(ordered) - 1; i > 0; i-- {
		random = hasher.Mix(random)
		j := int(random % uint64(i+1))
		ordered[i], ordered[j] = ordered[j], ordered[i]
	}
	return ordered
}

// FirstCome is the baseline that serves all client accounts in order of arrival.
type FirstCome struct{ Adaptive }

// Lane is the same for all client accounts.
func (FirstCome) Lane(string) string { return "" }

// Static is the baseline that splits each client account's rate evenly over the hosts.
type Static struct{ Adaptive }

// StaticShares is true.
func (Static) StaticShares() bool { return true }
