package selector

import (
	"math"
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
	Worth(use Use, now time.Time) float64
	// Urgency returns the rank of a load; the highest goes first.
	Urgency(waiting int, waited time.Duration) float64
	// Prefetch reports whether idle load permits fetch adapters before they are asked for.
	Prefetch() bool
	// StaticShares reports whether each host has a fixed part of each client account's rate.
	StaticShares() bool
}

// DemandHalfLife is the time in which the remembered demand for an adapter halves.
const DemandHalfLife = 2 * time.Minute

// Use is the decayed demand for one adapter.
type Use struct {
	Demand    float64
	TouchedAt time.Time
}

// Touch adds one request at now to the demand.
func (u *Use) Touch(now time.Time) {
	u.Demand = u.At(now) + 1
	u.TouchedAt = now
}

// At returns the demand as decayed until now.
func (u Use) At(now time.Time) float64 {
	if u.Demand == 0 {
		return 0
	}
	age := now.Sub(u.TouchedAt).Seconds() / DemandHalfLife.Seconds()
	return u.Demand * math.Exp2(-age)
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

// Worth is the decayed demand.
func (Adaptive) Worth(use Use, now time.Time) float64 { return use.At(now) }

// Urgency grows with the requests that wait and with the time the first of them has waited.
func (Adaptive) Urgency(waiting int, waited time.Duration) float64 {
	return float64(waiting) * (1 + waited.Seconds())
}

// Prefetch is true.
func (Adaptive) Prefetch() bool { return true }

// StaticShares is false: shares follow the demand.
func (Adaptive) StaticShares() bool { return false }

// Rendezvous is the baseline of plain rendezvous hashing with least-recently-used eviction and no replicas.
type Rendezvous struct{ Adaptive }

// Order is the first of the ranking alone.
func (Rendezvous) Order(ranked []string, _ int, _ uint64) []string {
	return ranked[:min(len(ranked), 1)]
}

// Worth is the time of the last use.
func (Rendezvous) Worth(use Use, _ time.Time) float64 {
	return float64(use.TouchedAt.UnixNano())
}

// Urgency is the time waited: first come, first served.
func (Rendezvous) Urgency(_ int, waited time.Duration) float64 { return waited.Seconds() }

// Prefetch is false.
func (Rendezvous) Prefetch() bool { return false }

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
