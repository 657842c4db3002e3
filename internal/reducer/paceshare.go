package reducer

import (
	"time"

	"github.com/redwingpick/redwingpick/internal/estimator"
)

// takeUnreported returns this host's samples of a backend server since the last report and forgets them.
func (s *State) takeUnreported(now time.Time, b *Backend) estimator.Sums {
	samples := b.Pacing.Unreported.At(now)
	b.Pacing.Unreported = estimator.Sums{}
	return samples
}

// receivePace adds a host's samples to those that the lease holder keeps of a backend server, and returns the samples of all other hosts.
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

// mergePace records the samples of all other hosts, as the lease holder of a backend server reports them.
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
