package estimator

import (
	"math"
	"time"
)

// Prior is the rate that is expected of a backend server without samples, with the amount of work whose samples would count as much.
type Prior struct {
	// Rate is work per second; 0 if none is expected.
	Rate float64
	Work float64
}

// Pace is the estimate for one incarnation of a backend server.
type Pace struct {
	// Own holds the samples of this host, and Others those of the other hosts as last reported.
	Own, Others Sums
	// Percent is the last figure by which the server reported how long work takes at present, where 100 is usual.
	Percent    float64
	ReportedAt time.Time
}

// Bounds of the figure by which a server reports how long work takes, and the time for which it counts.
const (
	minPercent   = 10
	maxPercent   = 10_000
	usualPercent = 100
	// reportTTL is the time after which servers have usually changed their figure.
	reportTTL = 600 * time.Millisecond
)

// maxDeviation is the largest factor between the rates of a server and of its service; a larger one is taken for a wrong figure.
const maxDeviation = 8

// Add adds a sample: work that the server did in the given time while nothing else waited.
func (p *Pace) Add(now time.Time, work float64, took time.Duration) {
	if Valid(work, took) {
		p.Own.Add(now, work, took)
	}
}

// Merge replaces the samples of the other hosts and returns what they hold beyond the former ones. Sums that can't come from samples are
// ignored, also those of hosts that report none.
func (p *Pace) Merge(now time.Time, work float64, busy time.Duration) Sums {
	if !Valid(work, busy) {
		return Sums{}
	}
	former := p.Others
	p.Others = Sums{Work: work, Busy: busy, UpdatedAt: now}
	return p.Others.Minus(now, former)
}

// Rate returns the server's usual work per second, or 0 if neither samples nor the prior tell.
func (p *Pace) Rate(now time.Time, prior Prior) float64 {
	own, others := p.Own.At(now), p.Others.At(now)
	return weighted(own.Work+others.Work, own.Busy+others.Busy, prior)
}

// weighted returns the rate of samples, weighted toward the prior by the amounts of work.
func weighted(work float64, busy time.Duration, prior Prior) float64 {
	seconds := busy.Seconds()
	if prior.Rate > 0 {
		work += prior.Work
		seconds += prior.Work / prior.Rate
	}
	if seconds <= 0 {
		return 0
	}
	return work / seconds
}

// Report records the figure by which the server reports how long work takes at present, and returns false if it is out of range.
func (p *Pace) Report(now time.Time, percent float64) bool {
	if !inRange(percent) {
		return false
	}
	p.Percent, p.ReportedAt = percent, now
	return true
}

// Slowdown returns the factor by which work takes longer than usual at present; 1 if there is no recent figure.
func (p *Pace) Slowdown(now time.Time) float64 {
	if p.ReportedAt.IsZero() || now.Sub(p.ReportedAt) >= reportTTL {
		return 1
	}
	return p.Percent / usualPercent
}

// Usual returns the time that work would have taken at the server's usual rate, by the figure in its response; a figure out of range, or
// none, leaves the time as it is.
func Usual(took time.Duration, percent float64) time.Duration {
	if !inRange(percent) {
		return took
	}
	return time.Duration(float64(took) * usualPercent / percent)
}

func inRange(percent float64) bool { return percent >= minPercent && percent <= maxPercent }

// Bound returns a server's rate, limited to what can be right beside the rate of its service.
func Bound(rate, service float64) float64 {
	if service <= 0 {
		return rate
	}
	return min(max(rate, service/maxDeviation), service*maxDeviation)
}

// The largest factors by which one sample counts as slower or faster than expected. The former is smaller, because a request that has waited
// unseen looks slower than its server, while nothing but a wrong figure makes one look faster.
const (
	maxSlower = 2
	maxFaster = 8
)

// Limit returns the time of a sample, limited by the time that the work takes at the expected rate; the rate is 0 if none is expected.
func Limit(work float64, took time.Duration, rate float64) time.Duration {
	if rate <= 0 {
		return took
	}
	expected := work / rate * float64(time.Second)
	return time.Duration(min(max(float64(took), expected/maxFaster), expected*maxSlower))
}

// maxAmbiguity is the factor to the expected rate within which an amount of work is plausible.
const maxAmbiguity = 2

// Plausible returns the one of several possible amounts of work that explains the time of a sample at about the expected rate, and false if
// none does, or more than one. With firstLikely, the first amount is taken if others explain the time too.
func Plausible(amounts []float64, took time.Duration, rate float64, firstLikely bool) (work float64, ok bool) {
	found := 0
	for i, amount := range amounts {
		deviation := math.Abs(math.Log(amount / took.Seconds() / rate))
		if deviation > math.Log(maxAmbiguity) {
			continue
		}
		if firstLikely && i == 0 {
			return amount, true
		}
		work = amount
		found++
	}
	return work, found == 1
}
