package exerciser

import (
	"fmt"
	"slices"
	"time"

	"github.com/redwingpick/redwingpick/internal/modeler"
	"github.com/redwingpick/redwingpick/internal/reducer"
)

// Checker checks the invariants of a simulation and collects their violations.
type Checker struct {
	Violations []string
	// OrderCount is the number of orders that reached backend servers.
	OrderCount int
	usage      map[string][]usageRecord
	// requestTimes and retryTimes hold, by service, when requests were sent and when a request arrived for the second time or later.
	requestTimes map[string][]time.Time
	retryTimes   map[string][]time.Time
	// latestVersions and versionPublishedAt hold the newest version of each adapter and when it was published.
	latestVersions     map[reducer.AdapterKey]int64
	versionPublishedAt map[reducer.AdapterKey]time.Time
}

type usageRecord struct {
	at     time.Time
	tokens float64
}

func (c *Checker) addViolation(now time.Time, rule, detail string) {
	c.Violations = append(c.Violations, fmt.Sprintf("%7.3f s  %s: %s", now.Sub(StartTime).Seconds(), rule, detail))
}

// checkOrder checks that fences of different holders differ and grow, and that two hosts do not alternate orders within leaseDuration.
func (c *Checker) checkOrder(now time.Time, b *Backend, o modeler.Order, leaseDuration time.Duration,
	describeHosts func(ids []string) string) {
	c.OrderCount++
	for _, v := range b.Orders.Record(o, leaseDuration) {
		c.addViolation(now, v.Rule, b.Info.ID+": "+v.Detail+"; "+describeHosts(lastTwoHolders(b.Orders.Recent)))
	}
}

// lastTwoHolders returns the last two different hosts that sent orders.
func lastTwoHolders(orders []modeler.Order) (ids []string) {
	for _, o := range slices.Backward(orders) {
		if len(ids) < 2 && !slices.Contains(ids, o.Holder) {
			ids = append(ids, o.Holder)
		}
	}
	return ids
}

// checkDispatch checks that a request is sent for the account of its caller, and that the caller has not disconnected.
func (c *Checker) checkDispatch(now time.Time, r *Request, e reducer.Dispatch) {
	if r.outcome == callerDisconnected {
		c.addViolation(now, "gone", r.event.ID+" was sent for a caller that had disconnected")
	}
	if e.Account != r.account {
		c.addViolation(now, "own_account", r.event.ID+" was sent for account "+e.Account)
	}
}

// checkArrival checks that a draining backend server gets no requests after drainBound, and bounds the requests of a cold one.
func (c *Checker) checkArrival(now time.Time, faultFree bool, b *Backend, a Arrival) {
	if !b.DrainingAt.IsZero() && now.Sub(b.DrainingAt) > drainBound && faultFree {
		c.addViolation(now, "drain", b.Info.ID+" got a request from "+a.Host)
	}
	b.Arrivals = append(b.Arrivals, a)
	for len(b.Arrivals) > 0 && now.Sub(b.Arrivals[0].At) > time.Second {
		b.Arrivals = b.Arrivals[1:]
	}
	if b.cold(now) && float64(len(b.Arrivals)) > coldRate*coldOvershoot+coldSlack {
		c.addViolation(now, "cold_bound", fmt.Sprintf("%s got %d requests in a second, cold for %v: %s", b.Info.ID, len(b.Arrivals),
			roundMs(now.Sub(b.ColdSince)), describeArrivals(b.Arrivals)))
	}
}

// Bounds of the checks, taken from the users' requirements.
const (
	drainBound     = 2 * time.Second
	configBound    = 2 * time.Second
	coldOvershoot  = 1.5
	coldSlack      = 5
	quotaWindow    = 8 * time.Second
	quotaOvershoot = 0.25
	quotaSlack     = 110_000
	versionBound   = 5 * time.Second
	retryWindow    = 10 * time.Second
)

// checkQuota checks an account's usage of its quota over all hosts in a sliding window.
func (c *Checker) checkQuota(now time.Time, scale float64, r *Request) {
	if r.account == unlimitedAccount {
		return
	}
	if c.usage == nil {
		c.usage = map[string][]usageRecord{}
	}
	tokens := float64(r.event.PromptTokens + r.event.OutputTokens)
	if tokens == 0 {
		tokens = 200
	}
	records := append(c.usage[r.account], usageRecord{now, tokens})
	for now.Sub(records[0].at) > quotaWindow {
		records = records[1:]
	}
	c.usage[r.account] = records
	sum := 0.0
	for _, record := range records {
		sum += record.tokens
	}
	rate := map[string]float64{"large": largeRate, "small": smallRate}[r.account] * scale
	if bound := (rate*quotaWindow.Seconds()+rate)*(1+quotaOvershoot) + quotaSlack; sum > bound {
		c.addViolation(now, "quota", fmt.Sprintf("%s used %.0f of %.0f", r.account, sum, bound))
	}
}

// toldTo returns what the server has told the present process of a host.
func (b *Backend) toldTo(h *Host) *toldHost {
	t, ok := b.told[h.ID]
	if !ok || t.incarnation != h.Incarnation {
		t = &toldHost{incarnation: h.Incarnation}
		b.told[h.ID] = t
	}
	return t
}

// recordNotice records what the server tells a host about itself.
func (b *Backend) recordNotice(now time.Time, h *Host, n reducer.BackendNotice) {
	t := b.toldTo(h)
	if n.Leaving && t.leavingAt.IsZero() {
		t.leavingAt = now
	}
	if end := now.Add(n.Backoff); n.Backoff > 0 && end.After(t.pauseEnds) {
		if now.After(t.pauseEnds) {
			t.pausedAt, t.arrivals = now, 0
		}
		t.pauseEnds = end
	}
}

// Bounds of the requests that a backend server gets from a host after it has told the host that it drains or wants no requests.
const (
	backoffSlack    = 500 * time.Millisecond
	backoffArrivals = 2
)

// checkNotices checks that a host keeps to what a backend server has told it. A fault of the host excuses it.
func (c *Checker) checkNotices(now time.Time, drainDeadline time.Duration, faultFree bool, b *Backend, h *Host) {
	if !faultFree {
		return
	}
	t := b.toldTo(h)
	if !t.leavingAt.IsZero() && now.Sub(t.leavingAt) > drainDeadline {
		c.addViolation(now, "leaving", fmt.Sprintf("%s sent a request to %s %v after it was told of the drain", h.ID, b.Info.ID, now.Sub(t.leavingAt)))
	}
	if now.Sub(t.pausedAt) > backoffSlack && now.Before(t.pauseEnds) {
		if t.arrivals++; t.arrivals > backoffArrivals {
			c.addViolation(now, "backoff", fmt.Sprintf("%s sent %d requests to %s in a pause that it asked for", h.ID, t.arrivals, b.Info.ID))
		}
	}
}

// checkRetryBudget checks the retries of a service over all hosts in a sliding window. The allowed number is derived from the
// largest number of requests sent in that window, in the one half a window earlier, or in the one a whole window earlier.
func (c *Checker) checkRetryBudget(now time.Time, limits reducer.Limits, service string, r *Request) {
	r.arrivalCount++
	if r.arrivalCount == 1 {
		return
	}
	c.retryTimes[service] = append(c.retryTimes[service], now)
	retries := countBetween(c.retryTimes[service], now.Add(-retryWindow), now)
	requests := 0
	for _, offset := range []time.Duration{0, retryWindow / 2, retryWindow} {
		requests = max(requests, countBetween(c.requestTimes[service], now.Add(-offset-retryWindow), now.Add(-offset)))
	}
	if bound := limits.RetryRatio*float64(requests) + limits.RetrySlack; float64(retries) > bound {
		c.addViolation(now, "retry_budget", fmt.Sprintf("%s got %d retries where %.0f are allowed", service, retries, bound))
	}
}

func countBetween(times []time.Time, from, to time.Time) int {
	count := 0
	for _, at := range times {
		if at.After(from) && !at.After(to) {
			count++
		}
	}
	return count
}

// checkAdapterVersion checks that a request does not start on an outdated version of its adapter after versionBound.
func (c *Checker) checkAdapterVersion(now time.Time, key reducer.AdapterKey, version int64, h *Host) {
	if version < c.latestVersions[key] && now.Sub(c.versionPublishedAt[key]) > versionBound {
		c.addViolation(now, "version", fmt.Sprintf("%s started a request for %s on version %d, but version %d was published %v before",
			h.ID, key.Adapter, version, c.latestVersions[key], now.Sub(c.versionPublishedAt[key])))
	}
}

// checkRefusal checks that no request is refused for an unknown route or key, since the first catalogue contains all that are in use.
func (c *Checker) checkRefusal(now time.Time, r *Request, reason reducer.Reason) {
	if reason == reducer.ReasonNoRoute || reason == reducer.ReasonNoKey {
		c.addViolation(now, "configuration", fmt.Sprintf("%s at %s: %s %s", r.event.ID, r.host.ID, reason, r.event.Path))
	}
}
