package limiter

import (
	"math"
	"time"
)

// Decay is a rate that forgets what happened long ago.
type Decay struct {
	// Mean is the decayed amount a second as of UpdatedAt.
	Mean      float64
	UpdatedAt time.Time
}

// Add counts an amount at the time now with the given half-life.
func (d *Decay) Add(now time.Time, amount float64, halfLife time.Duration) {
	d.Mean = d.At(now, halfLife) + amount*math.Ln2/halfLife.Seconds()
	d.UpdatedAt = now
}

// At returns the amount a second as of the time now.
func (d *Decay) At(now time.Time, halfLife time.Duration) float64 {
	if d.UpdatedAt.IsZero() {
		return 0
	}
	return d.Mean * math.Exp2(-now.Sub(d.UpdatedAt).Seconds()/halfLife.Seconds())
}
