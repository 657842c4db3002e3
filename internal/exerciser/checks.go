package exerciser

import (
	"fmt"
	"slices"
	"time"

	"github.com/redwingpick/redwingpick/internal/modeler"
	"github.com/redwingpick/redwingpick/internal/reducer"
)

// Checks holds what has been found broken.
type Checks struct {
	Violations []string
	// Orders is the number of orders that came to backend servers.
	Orders int
	uses   map[string][]use
	// asked and repeats hold, by service, when requests were sent for it and when they arrived there for the second time or later.
	asked   map[string][]time.Time
	repeats map[string][]time.Time
	// newest and declaredAt hold the newest versions of adapters and when they were published.
	newest     map[reducer.AdapterKey]int64
	declaredAt map[reducer.AdapterKey]time.Time
}

type use struct {
	at     time.Time
	tokens float64
}

func (c *Checks) fail(now time.Time, rule, detail string) {
	c.Violations = append(c.Violations, fmt.Sprintf("%7.3f s  %s: %s", now.Sub(Start).Seconds(), rule, detail))
}

// ordered checks that fences are distinct and grow, and that no two hosts order by turns within the lease.
func (c *Checks) ordered(now time.Time, b *Backend, o modeler.Order, lease time.Duration, views func(ids []string) string) {
	c.Orders++
	for _, v := range b.Orders.Record(o, lease) {
		c.fail(now, v.Rule, b.Info.ID+": "+v.Detail+"; "+views(lastHolders(b.Orders.Recent)))
	}
}

// lastHolders returns the two hosts that ordered last.
func lastHolders(orders []modeler.Order) (ids []string) {
	for _, o := range slices.Backward(orders) {
		if len(ids) < 2 && !slices.Contains(ids, o.Holder) {
			ids = append(ids, o.Holder)
		}
	}
	return ids
}

// dispatched checks whose account a request is sent for, and that its caller is still there.
func (c *Checks) dispatched(now time.Time, r *Request, e reducer.Dispatch) {
	if r.ended == callerLeft {
		c.fail(now, "gone", r.event.ID+" was sent for a caller that had left")
	}
	if e.Account != r.account {
		c.fail(now, "own_account", r.event.ID+" was sent for "+e.Account)
	}
}

// arrived checks leaving backend servers and the bound of cold ones.
func (c *Checks) arrived(now time.Time, touched bool, b *Backend, h *Host) {
	if !b.LeftAt.IsZero() && now.Sub(b.LeftAt) > drainBound && touched {
		c.fail(now, "drain", b.Info.ID+" got a request from "+h.ID)
	}
	b.Arrivals = append(b.Arrivals, now)
	for len(b.Arrivals) > 0 && now.Sub(b.Arrivals[0]) > time.Second {
		b.Arrivals = b.Arrivals[1:]
	}
	cold := !b.ColdFrom.IsZero() && now.Sub(b.ColdFrom) < coldFor
	if cold && float64(len(b.Arrivals)) > coldRate*coldOvershoot+coldSlack {
		c.fail(now, "cold_bound", fmt.Sprintf("%s got %d requests in a second", b.Info.ID, len(b.Arrivals)))
	}
}

// Bounds of the checks, from the deployments' pages.
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

// used checks an account's use over all hosts in a sliding window.
func (c *Checks) used(now time.Time, scale float64, r *Request) {
	if c.uses == nil {
		c.uses = map[string][]use{}
	}
	tokens := float64(r.event.PromptTokens + r.event.OutputTokens)
	if tokens == 0 {
		tokens = 200
	}
	uses := append(c.uses[r.account], use{now, tokens})
	for now.Sub(uses[0].at) > quotaWindow {
		uses = uses[1:]
	}
	c.uses[r.account] = uses
	sum := 0.0
	for _, u := range uses {
		sum += u.tokens
	}
	rate := map[string]float64{"large": largeRate, "small": smallRate}[r.account] * scale
	if bound := (rate*quotaWindow.Seconds()+rate)*(1+quotaOvershoot) + quotaSlack; sum > bound {
		c.fail(now, "quota", fmt.Sprintf("%s used %.0f of %.0f", r.account, sum, bound))
	}
}

// repeated checks the repeats of a service, summed over all hosts, in a sliding window against the requests that were sent for it in
// that window, the one before or the one half a window before.
func (c *Checks) repeated(now time.Time, limits reducer.Limits, service string, r *Request) {
	r.arrivals++
	if r.arrivals == 1 {
		return
	}
	c.repeats[service] = append(c.repeats[service], now)
	repeats := between(c.repeats[service], now.Add(-retryWindow), now)
	asked := 0
	for _, back := range []time.Duration{0, retryWindow / 2, retryWindow} {
		asked = max(asked, between(c.asked[service], now.Add(-back-retryWindow), now.Add(-back)))
	}
	if bound := limits.RetryRatio*float64(asked) + limits.RetrySlack; float64(repeats) > bound {
		c.fail(now, "retry_budget", fmt.Sprintf("%s got %d repeats where %.0f are allowed", service, repeats, bound))
	}
}

func between(times []time.Time, from, to time.Time) int {
	count := 0
	for _, at := range times {
		if at.After(from) && !at.After(to) {
			count++
		}
	}
	return count
}

// begun checks that a request does not begin on an outdated version of its adapter.
func (c *Checks) begun(now time.Time, key reducer.AdapterKey, version int64, h *Host) {
	if version < c.newest[key] && now.Sub(c.declaredAt[key]) > versionBound {
		c.fail(now, "version", fmt.Sprintf("%s let a request for %s begin on version %d, where %d was declared %v before", h.ID, key.Adapter, version,
			c.newest[key], now.Sub(c.declaredAt[key])))
	}
}

// refusedFor checks that nobody is refused a route or a key that has been in force for long.
func (c *Checks) refusedFor(now time.Time, r *Request, reason reducer.Reason) {
	if reason == reducer.ReasonNoRoute || reason == reducer.ReasonNoKey {
		c.fail(now, "configuration", fmt.Sprintf("%s at %s: %s %s", r.event.ID, r.host.ID, reason, r.event.Path))
	}
}
