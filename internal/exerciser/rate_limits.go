package exerciser

import (
	"fmt"
	"math"
	"time"

	"github.com/redwingpick/redwingpick/internal/reducer"
)

// Bounds of the requests that a backend server gets while it names a rate limit, from the users' rule LIMIT.
const (
	limitWindow    = 4 * time.Second
	limitOvershoot = 1.5
	limitSlack     = 5
	// limitNotice is the time after which a host that has passed on an answer with a limit has to keep to it.
	limitNotice = 500 * time.Millisecond
)

// rateLimits is the record of what a backend server names as its rate limit, and of the requests that it gets meanwhile.
type rateLimits struct {
	// namings holds the limits that one incarnation has named, in order; without any, it has named none.
	namings []limitNaming
	// arrivals holds the requests within the last limitWindow.
	arrivals []limitedArrival
}

// limitNaming is the time in which a server names one limit.
type limitNaming struct {
	// perSecond is the limit; 0 if the server names none.
	perSecond float64
	// firstAt is when the first answer named the limit, or when the server ceased to name one; zero before.
	firstAt time.Time
	// told holds, by host, the first answer with the limit that the host passed on.
	told map[string]toldLimit
}

// toldLimit is the first answer with a limit that one process of a host passed on.
type toldLimit struct {
	incarnation uint64
	at          time.Time
}

// limitedArrival is a request that arrived at a server with a limit.
type limitedArrival struct {
	at   time.Time
	host string
	// told is the lowest limit that the host had to keep to; infinite if it had passed on none, or was excused by a fault.
	told float64
}

// NameRateLimit makes backend servers name a rate limit in each response from now on; 0 for none.
func (s *Simulation[P]) NameRateLimit(group []*Backend, perSecond float64) {
	s.logFault("%s name the limit %g/s", backendIDs(group), perSecond)
	for _, b := range group {
		n := limitNaming{perSecond: perSecond, told: map[string]toldLimit{}}
		if perSecond <= 0 {
			n.firstAt = s.Now
		}
		b.limits.namings = append(b.limits.namings, n)
	}
}

// named returns the limit that the server names at present; 0 for none.
func (l *rateLimits) named() float64 {
	if len(l.namings) == 0 {
		return 0
	}
	return l.namings[len(l.namings)-1].perSecond
}

// recordAnswer records that a host passes on an answer, which names the present limit if there is one.
func (l *rateLimits) recordAnswer(now time.Time, h *Host) {
	if l.named() <= 0 {
		return
	}
	n := &l.namings[len(l.namings)-1]
	if n.firstAt.IsZero() {
		n.firstAt = now
	}
	if n.told[h.ID].incarnation != h.Incarnation {
		n.told[h.ID] = toldLimit{incarnation: h.Incarnation, at: now}
	}
}

// toldTo returns the lowest limit that the present process of a host had passed on limitNotice before or earlier, since the server last named
// none; infinite if there is none.
func (l *rateLimits) toldTo(now time.Time, h *Host) float64 {
	lowest := math.Inf(1)
	for i := len(l.namings) - 1; i >= 0 && l.namings[i].perSecond > 0; i-- {
		n := l.namings[i]
		if told, ok := n.told[h.ID]; ok && told.incarnation == h.Incarnation && now.Sub(told.at) >= limitNotice {
			lowest = min(lowest, n.perSecond)
		}
	}
	return lowest
}

// bound returns the highest limit in force since the given time; infinite if there was a time without one. A limit is in force until the first
// answer names the next one.
func (l *rateLimits) bound(since time.Time) float64 {
	highest := math.Inf(1)
	for _, n := range l.namings {
		if n.firstAt.IsZero() {
			break
		}
		perSecond := n.perSecond
		if perSecond <= 0 {
			perSecond = math.Inf(1)
		}
		if !n.firstAt.After(since) {
			highest = perSecond
			continue
		}
		highest = max(highest, perSecond)
	}
	return highest
}

// checkRateLimit checks the calls of a window, requests, orders and report calls, of hosts that had passed on an answer with the limit. The first
// window ends HostTimeout after the server first named the limit, as on the users' bench; a higher limit that it named before counts as long. A
// fault of a host excuses it.
func (c *Checker) checkRateLimit(now time.Time, limits reducer.Limits, faultFree bool, b *Backend, h *Host) {
	l := &b.limits
	if len(l.namings) == 0 {
		return
	}
	told := math.Inf(1)
	if faultFree {
		told = l.toldTo(now, h)
	}
	l.arrivals = append(l.arrivals, limitedArrival{at: now, host: h.ID, told: told})
	for now.Sub(l.arrivals[0].at) > limitWindow {
		l.arrivals = l.arrivals[1:]
	}
	limit := l.bound(now.Add(-limits.HostTimeout))
	if math.IsInf(limit, 1) || told > limit {
		return
	}
	count, hosts := 0, map[string]int{}
	for _, a := range l.arrivals {
		if a.told <= limit {
			count++
			hosts[a.host]++
		}
	}
	if allowed := limitOvershoot*limitWindow.Seconds()*limit + limitSlack; float64(count) > allowed {
		c.addViolation(now, "rate_limit", fmt.Sprintf("%s got %d requests in %v with a limit of %g/s, %.0f are allowed: by host %v", b.Info.ID, count,
			limitWindow, limit, math.Floor(allowed), hosts))
	}
}
