package limiter

import (
	"math"
	"time"
)

// Decay is a rate in which amounts decay exponentially with their age.
type Decay struct {
	// Mean is the decayed amount per second at UpdatedAt.
	Mean      float64
	UpdatedAt time.Time
}

// Add adds an amount at the time now; halfLife is the time in which amounts decay by half.
func (d *Decay) Add(now time.Time, amount float64, halfLife time.Duration) {
	d.Mean = d.At(now, halfLife) + amount*math.Ln2/halfLife.Seconds()
	d.UpdatedAt = now
}

// At returns the decayed amount per second at the time now.
func (d *Decay) At(now time.Time, halfLife time.Duration) float64 {
	if d.UpdatedAt.IsZero() {
		return 0
	}
	return d.Mean * math.Exp2(-now.Sub(d.UpdatedAt).Seconds()/halfLife.Seconds())
}
