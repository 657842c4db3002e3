package placer

import (
	"math"
	"time"

	"github.com/redwingpick/redwingpick/internal/limiter"
)

// Times over which demand is measured.
const (
	// slowHalfLife and fastHalfLife are the half-lives of the two rates of a demand. The higher rate counts, so that the demand rises faster
	// than it falls.
	slowHalfLife = 2 * time.Second
	fastHalfLife = 400 * time.Millisecond
	// recentFigure is the age up to which a figure of all hosts counts alone, and oldFigure that up to which it is a lower bound.
	recentFigure = 2 * time.Second
	oldFigure    = 10 * time.Second
	// forgetAfter is the time after which an unused demand is dropped.
	forgetAfter = 30 * time.Second
)

// maxWork is above any work that the backend servers of a service can do in a second.
const maxWork = 1e9

// Demand is the work per second that requests for one key need.
type Demand struct {
	Slow limiter.DecayingRate
	Fast limiter.DecayingRate
	// SlowRequests and FastRequests are the rates of the requests behind Slow and Fast.
	SlowRequests limiter.DecayingRate
	FastRequests limiter.DecayingRate
	// Merged is the last figure of all hosts, received at MergedAt.
	Merged   float64
	MergedAt time.Time
	UsedAt   time.Time
}

// Demands holds the demand for each key, such as an adapter.
type Demands[K comparable] struct {
	ByKey map[K]*Demand
	// Hosts is the number of hosts that carry traffic; what this host recorded is multiplied by it if no recent figure of all hosts is known.
	Hosts int
}

// Record adds work that was requested at the time now, and the number of requests that it is for. Work that can't be requested is ignored.
func (d *Demands[K]) Record(now time.Time, key K, work float64, requests int) {
	if !valid(work) {
		return
	}
	e := d.entry(now, key)
	e.Slow.Add(now, work, slowHalfLife)
	e.Fast.Add(now, work, fastHalfLife)
	e.SlowRequests.Add(now, float64(requests), slowHalfLife)
	e.FastRequests.Add(now, float64(requests), fastHalfLife)
}

// Merge sets the work per second at all hosts, as reported at the time now. A figure that no hosts can have summed is ignored.
func (d *Demands[K]) Merge(now time.Time, key K, work float64) {
	if !valid(work) {
		return
	}
	e := d.entry(now, key)
	e.Merged, e.MergedAt = work, now
}

// Work returns the work per second that all hosts together have to serve for a key.
func (d *Demands[K]) Work(now time.Time, key K) float64 {
	e, ok := d.ByKey[key]
	if !ok {
		return 0
	}
	e.UsedAt = now
	age := now.Sub(e.MergedAt)
	if !e.MergedAt.IsZero() && age < recentFigure {
		return e.Merged
	}
	work := e.extrapolated(now) * float64(max(d.Hosts, 1))
	if !e.MergedAt.IsZero() && age < oldFigure {
		return max(work, e.Merged)
	}
	return work
}

// Recorded returns the recorded work per second, without figures of others.
func (d *Demands[K]) Recorded(now time.Time, key K) float64 {
	e, ok := d.ByKey[key]
	if !ok {
		return 0
	}
	fast := e.Fast.At(now, fastHalfLife) * certainty(e.FastRequests.At(now, fastHalfLife), fastHalfLife, 1)
	return max(e.Slow.At(now, slowHalfLife), fast)
}

// Prune drops the demands that were not used for some time.
func (d *Demands[K]) Prune(now time.Time) {
	for key, e := range d.ByKey {
		if now.Sub(e.UsedAt) > forgetAfter {
			delete(d.ByKey, key)
		}
	}
}

// valid reports whether work can be requested; it is false for what is no number.
func valid(work float64) bool { return work >= 0 && work <= maxWork }

func (d *Demands[K]) entry(now time.Time, key K) *Demand {
	if d.ByKey == nil {
		d.ByKey = map[K]*Demand{}
	}
	e, ok := d.ByKey[key]
	if !ok {
		e = &Demand{}
		d.ByKey[key] = e
	}
	e.UsedAt = now
	return e
}

// extrapolated returns the recorded work per second, less two standard errors: multiplied by the number of hosts, a single request for a
// rare adapter would look like the demand for a popular one.
func (e *Demand) extrapolated(now time.Time) float64 {
	return e.Slow.At(now, slowHalfLife) * certainty(e.SlowRequests.At(now, slowHalfLife), slowHalfLife, 2)
}

// certainty returns the part of a measured rate that remains after subtracting a number of standard errors. The error of a rate falls with the
// root of the number of requests that it is measured from.
func certainty(rate float64, halfLife time.Duration, errors float64) float64 {
	requests := rate * halfLife.Seconds() / math.Ln2
	if requests <= errors*errors {
		return 0
	}
	return 1 - errors/math.Sqrt(requests)
}
