package placer

import (
	"math"
	"time"
)

// Limits bounds the number of replicas of an adapter.
type Limits struct {
	// Share is the part of a backend server's rate that one adapter may take.
	Share float64
	// Most is the largest number of replicas.
	Most int
	// FallAfter is the time for which the demand must have been lower before the number falls.
	FallAfter time.Duration
}

// Places returns the number of replicas that a demand needs, at backend servers that each do work at the given rate.
func Places(work, rate float64, limits Limits) int {
	if work <= 0 || rate <= 0 || limits.Share <= 0 {
		return 1
	}
	most := max(limits.Most, 1)
	needed := math.Ceil(work / (rate * limits.Share))
	if needed >= float64(most) {
		return most
	}
	return max(int(needed), 1)
}

// Replicas is the number of replicas of one adapter; it rises at once and falls late.
type Replicas struct {
	Count int
	// LowerSince is when fewer replicas than Count became enough, and Peak the largest number needed since then.
	LowerSince time.Time
	Peak       int
	UpdatedAt  time.Time
}

// Update adapts the number to what the demand needs now, and reports whether the number has changed.
func (r *Replicas) Update(now time.Time, needed int, limits Limits) bool {
	idle := now.Sub(r.UpdatedAt)
	r.UpdatedAt = now
	before := r.Count
	switch {
	case needed >= r.Count || idle > forgetAfter:
		r.Count, r.LowerSince = needed, time.Time{}
	case r.LowerSince.IsZero():
		r.LowerSince, r.Peak = now, needed
	case now.Sub(r.LowerSince) >= limits.FallAfter:
		r.Count, r.LowerSince = max(r.Peak, needed), time.Time{}
	default:
		r.Peak = max(r.Peak, needed)
	}
	return r.Count != before
}
