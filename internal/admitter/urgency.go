package admitter

// Urgency decides which requests get a priority that is more urgent by one than that of their kind. Without that a less urgent kind would
// never be served by a server that more urgent ones keep busy.
type Urgency struct {
	// Credit holds the raises that each priority has left, and Sizes the size that a tenth of its requests exceed.
	Credit [Priorities]float64
	Sizes  [Priorities]Quantile
}

// Priorities is the number of priorities; 0 is the most urgent.
const Priorities = 10

const (
	// raiseShare is the share of a kind's requests that may be raised: the more urgent kind keeps its place before all others.
	raiseShare = 0.1
	// maxRaiseCredit is the number of raises that a kind may have left from quieter times.
	maxRaiseCredit = 4
)

// Arrived records a request of a priority and its size.
func (u *Urgency) Arrived(priority int, size float64) {
	p := bounded(priority)
	u.Credit[p] = min(u.Credit[p]+raiseShare, maxRaiseCredit)
	u.Sizes[p].Add(size)
}

// Large reports whether a request belongs to the largest tenth of its kind.
func (u *Urgency) Large(priority int, size float64) bool {
	return size > u.Sizes[bounded(priority)].Value
}

// Raise reports whether a request that has waited long is raised by one, and takes that from the credit of its kind.
func (u *Urgency) Raise(priority int) bool {
	p := bounded(priority)
	if p == 0 || u.Credit[p] < 1 {
		return false
	}
	u.Credit[p]--
	return true
}

func bounded(priority int) int { return min(max(priority, 0), Priorities-1) }

// Quantile estimates the value that a tenth of the samples exceed.
type Quantile struct {
	Value float64
}

const (
	// quantile is the share of samples below the estimate.
	quantile = 0.9
	// quantileStep is the largest relative change of the estimate by one sample.
	quantileStep = 0.01
)

// Add moves the estimate toward a sample; in balance a tenth of the samples are above it.
func (q *Quantile) Add(sample float64) {
	if q.Value == 0 {
		q.Value = sample
		return
	}
	step := max(q.Value*quantileStep, 1)
	if sample > q.Value {
		q.Value += step * quantile
		return
	}
	q.Value -= step * (1 - quantile)
}
