package reducer

import (
	"time"

	"github.com/redwingpick/redwingpick/internal/estimator"
)

func (s *State) takeUnreported(now time.Time, b *Backend) estimator.Sums {
	samples := b.Pacing.Unreported.At(now)
	b.Pacing.Unreported = estimator.Sums{}
	return samples
}

func (s *State) receivePace(now time.Time, inv *Inventory, u *HostUsage, m Usage) estimator.Sums {
	if !s.Limits.Adaptive.Pace {
		return estimator.Sums{}
	}
	if estimator.Valid(m.PaceWork, m.PaceBusy) {
		inv.Samples.Add(now, m.PaceWork, m.PaceBusy)
		u.Samples.Add(now, m.PaceWork, m.PaceBusy)
	}
	return inv.Samples.Minus(now, u.Samples)
}

func (s *State) mergePace(now time.Time, b *Backend, m BackendLoad) {
	if !s.Limits.Adaptive.Pace {
		return
	}
	added := b.Pacing.Estimate.Merge(now, m.PaceWork, m.PaceBusy)
	if estimator.Valid(added.Work, added.Busy) {
		if !s.ratedByDecode(b) {
			s.addToMeans(b, added.Work, added.Busy)
		}
		s.logRate(now, b)
	}
}
