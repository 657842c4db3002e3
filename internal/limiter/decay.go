package limiter

import (
	"math"
	"time"
)

// DecayingRate is a rate in which amounts decay exponentially with their age.
type DecayingRate struct {
	// PerSecond is the decayed amount per second at UpdatedAt.
	PerSecond float64
	UpdatedAt time.Time
}

// Add adds an amount at the time now; halfLife is the time in which amounts decay by half.
func (d *DecayingRate) Add(now time.Time, amount float64, halfLife time.Duration) {
	d.PerSecond = d.At(now, halfLife) + amount*math.Ln2/halfLife.Seconds()
	d.UpdatedAt = now
}

// At returns the decayed amount per second at the time now.
func (d *DecayingRate) At(now time.Time, halfLife time.Duration) float64 {
	if d.UpdatedAt.IsZero() {
		return 0
	}
	return d.PerSecond * math.Exp2(-now.Sub(d.UpdatedAt).Seconds()/halfLife.Seconds())
}
