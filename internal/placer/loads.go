package placer

import (
	"time"

	"github.com/redwingpick/redwingpick/internal/limiter"
)

// Bounds and steps of the rate of loads.
const (
	// slowLoad is the multiple of the usual time of a load from which loads slow each other down.
	slowLoad = 1.3
	// loadRateGrowth is the factor by which the rate grows with each load in its usual time while the rate limits.
	loadRateGrowth = 1.25
	// mostLoadRateCut is the smallest factor by which a slow load lowers the rate.
	mostLoadRateCut = 0.75
	// leastInTransit is the number of loads in transit for each backend server below which the rate does not fall.
	leastInTransit = 0.25
	// loadRateHalfLife is the half-life of the measured rate.
	loadRateHalfLife = 2 * time.Second
)

// LoadPace limits the rate at which a host orders loads from the weight store, so that over all hosts no more are in transit than the store
// serves at full speed. Beyond that number each load takes longer and none is complete sooner.
//
// The number is not known. If loads take a multiple of the usual time, the loads in transit are the same multiple of what the store serves at
// full speed, so each host divides its rate by that multiple; the rate grows slowly while loads take the usual time.
type LoadPace struct {
	// Bucket holds the loads that may begin now; its rate is 0 until loads have slowed each other down.
	Bucket   limiter.Bucket
	Measured limiter.DecayingRate
	// Limited is set if a load has been held back since the last change of the rate.
	Limited   bool
	SlowedAt  time.Time
	HeldBacks uint64
}

// Allows reports whether a load may begin now.
func (p *LoadPace) Allows(now time.Time) bool {
	if p.Bucket.Rate <= 0 {
		return true
	}
	p.Bucket.Refill(now)
	if p.Bucket.Level >= 1 {
		return true
	}
	p.Limited = true
	p.HeldBacks++
	return false
}

// Began records that a load has begun.
func (p *LoadPace) Began(now time.Time) {
	p.Measured.Add(now, 1, loadRateHalfLife)
	if p.Bucket.Rate > 0 {
		p.Bucket.Refill(now)
		p.Bucket.Level = max(p.Bucket.Level-1, 0)
	}
}

// Slow records that a load has taken a time that is longer than the usual one, at a host that orders the loads of a number of servers. It
// reports whether the rate has changed.
func (p *LoadPace) Slow(now time.Time, took, usual time.Duration, servers int) bool {
	if usual <= 0 || float64(took) < slowLoad*float64(usual) || now.Sub(p.SlowedAt) < took {
		return false
	}
	p.SlowedAt = now
	rate := p.Measured.At(now, loadRateHalfLife)
	if p.Bucket.Rate > 0 {
		rate = min(rate, p.Bucket.Rate)
	}
	p.set(now, max(rate*max(float64(usual)/float64(took), mostLoadRateCut), leastInTransit*float64(max(servers, 1))/usual.Seconds()), usual)
	return true
}

// Usual records that a load has taken the usual time.
func (p *LoadPace) Usual(now time.Time, usual time.Duration) {
	if p.Bucket.Rate > 0 && p.Limited {
		p.set(now, p.Bucket.Rate*loadRateGrowth, usual)
	}
}

// set sets the rate; as many loads may begin at once as are in transit at that rate.
func (p *LoadPace) set(now time.Time, rate float64, usual time.Duration) {
	p.Limited = false
	p.Bucket.Set(now, rate, max(rate*usual.Seconds(), 1))
}
