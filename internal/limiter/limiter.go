package limiter

import "time"

// Bucket is a token bucket; its level may fall below zero when a cost exceeds the burst. Rate is in tokens per second.
type Bucket struct {
	Rate      float64
	Burst     float64
	Level     float64
	UpdatedAt time.Time
}

// Refill adds the tokens that have accrued since the last update.
func (b *Bucket) Refill(now time.Time) {
	if b.UpdatedAt.IsZero() {
		b.UpdatedAt = now
	}
	elapsed := now.Sub(b.UpdatedAt)
	if elapsed <= 0 {
		return
	}
	b.UpdatedAt = now
	b.Level = min(b.Level+elapsed.Seconds()*b.Rate, b.Burst)
}

// Take removes the cost from the bucket and reports whether the level sufficed: the level must cover the cost, or the whole burst if the
// cost exceeds the burst.
func (b *Bucket) Take(now time.Time, cost float64) bool {
	b.Refill(now)
	if b.Level < min(cost, b.Burst) || b.Burst <= 0 {
		return false
	}
	b.Level -= cost
	return true
}

// Set changes the rate and the burst; a larger burst adds no tokens.
func (b *Bucket) Set(now time.Time, rate, burst float64) {
	b.Refill(now)
	b.Rate = rate
	b.Burst = burst
	b.Level = min(b.Level, burst)
}

// Wait returns the time until Take of the cost succeeds, or 0 if the level suffices now or the rate is 0.
func (b *Bucket) Wait(now time.Time, cost float64) time.Duration {
	b.Refill(now)
	missing := min(cost, b.Burst) - b.Level
	if missing <= 0 || b.Rate <= 0 {
		return 0
	}
	return time.Duration(missing / b.Rate * float64(time.Second))
}
