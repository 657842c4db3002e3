package limiter

import "time"

// PeakSeconds is the number of whole seconds for which a Bucket remembers its highest potential.
const PeakSeconds = 128

// Bucket is a token bucket that also counts the tokens it has granted but that are not yet spent.
//
// The potential of a bucket is Level plus Outstanding. It grows by Rate a second, never exceeds Burst, and so
// bounds what may be spent in any window of w seconds by Burst + Rate*w.
type Bucket struct {
	Rate        float64
	Burst       float64
	Level       float64
	Outstanding float64
	UpdatedAt   time.Time
	Peaks       [PeakSeconds]float64
	PeakSecond  int64
}

// Refill adds the tokens that have accrued since the last update.
func (b *Bucket) Refill(now time.Time) {
	if b.UpdatedAt.IsZero() {
		b.UpdatedAt = now
	}
	elapsed := now.Sub(b.UpdatedAt)
	if elapsed > 0 {
		b.UpdatedAt = now
		b.Level = max(min(b.Level+elapsed.Seconds()*b.Rate, b.Burst-b.Outstanding), 0)
	}
	b.recordPeak(now)
}

// Take moves up to wanted tokens from the level to the outstanding grants and returns how many it moved.
func (b *Bucket) Take(now time.Time, wanted float64) float64 {
	b.Refill(now)
	taken := min(wanted, b.Level)
	if taken <= 0 {
		return 0
	}
	b.Level -= taken
	b.Outstanding += taken
	return taken
}

// Settle removes tokens from the outstanding grants because they were spent or can no longer be spent.
func (b *Bucket) Settle(now time.Time, tokens float64) {
	b.Refill(now)
	b.Outstanding = max(b.Outstanding-tokens, 0)
}

// Refund returns tokens that were charged at chargedAt but not used, and reports how many were credited.
//
// It credits no more than the room that the bucket has had at every moment since the charge.
func (b *Bucket) Refund(now time.Time, tokens float64, chargedAt time.Time) float64 {
	b.Refill(now)
	credited := min(tokens, b.Burst-b.peakSince(chargedAt))
	if credited <= 0 {
		return 0
	}
	b.Level += credited
	b.recordPeak(now)
	return credited
}

// Wait returns how long the bucket needs until its level reaches wanted tokens, or false if it never does.
func (b *Bucket) Wait(wanted float64) (time.Duration, bool) {
	if wanted > b.Burst || b.Rate <= 0 {
		return 0, false
	}
	missing := max(wanted-b.Level, 0)
	return time.Duration(missing / b.Rate * float64(time.Second)), true
}

func (b *Bucket) recordPeak(now time.Time) {
	second := now.Unix()
	potential := b.Level + b.Outstanding
	if second-b.PeakSecond >= PeakSeconds || b.PeakSecond == 0 {
		b.PeakSecond = second - PeakSeconds + 1
		for i := range b.Peaks {
			b.Peaks[i] = potential
		}
	}
	for b.PeakSecond < second {
		b.PeakSecond++
		b.Peaks[b.PeakSecond%PeakSeconds] = potential
	}
	slot := &b.Peaks[second%PeakSeconds]
	*slot = max(*slot, potential)
}

func (b *Bucket) peakSince(start time.Time) float64 {
	first := start.Unix()
	if b.PeakSecond-first >= PeakSeconds {
		return b.Burst
	}
	peak := 0.0
	for s := first; s <= b.PeakSecond; s++ {
		peak = max(peak, b.Peaks[s%PeakSeconds])
	}
	return peak
}
