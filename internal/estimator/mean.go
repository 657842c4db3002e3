package estimator

import "time"

// Mean is the mean rate of a group of backend servers. Its samples lose weight with the samples that follow, not with time, so that a group
// that is too busy to give samples keeps its mean.
type Mean struct {
	Work float64
	Busy time.Duration
}

// meanPriors is the number of priors whose work the samples of a mean amount to at most.
const meanPriors = 25

// Add adds a sample of one of the servers; prior is the one that Rate gets.
func (m *Mean) Add(work float64, took time.Duration, prior Prior) {
	if !Valid(work, took) {
		return
	}
	m.Work += work
	m.Busy += took
	if limit := meanPriors * prior.Work; limit > 0 && m.Work > limit {
		m.Busy = time.Duration(float64(m.Busy) * limit / m.Work)
		m.Work = limit
	}
}

// Rate returns the group's mean work per second, or 0 if neither samples nor the prior tell.
func (m *Mean) Rate(prior Prior) float64 { return weighted(m.Work, m.Busy, prior) }
