package meter

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// longest is the longest time in microseconds that a histogram tells apart, and digits its significant digits.
	longest = int64(5 * time.Minute / time.Microsecond)
	digits  = 2
	// maxSeries bounds the histograms; further names are counted under Other.
	maxSeries = 128
)

// Other is the name under which times are counted once there are too many names.
const Other = "other"

// Latencies holds a histogram for each name; its zero value is ready for use.
type Latencies struct {
	mutex  sync.Mutex
	series map[string]*hdrhistogram.Histogram
}

// Summary is one histogram in short; times are in milliseconds.
type Summary struct {
	Count int64   `json:"count"`
	P50Ms float64 `json:"p50_ms"`
	P90Ms float64 `json:"p90_ms"`
	P99Ms float64 `json:"p99_ms"`
	MaxMs float64 `json:"max_ms"`
}

// Record counts one time under a name.
func (l *Latencies) Record(name string, took time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.series == nil {
		l.series = map[string]*hdrhistogram.Histogram{}
	}
	h, ok := l.series[name]
	if !ok && len(l.series) >= maxSeries {
		name = Other
		h, ok = l.series[name]
	}
	if !ok {
		h = hdrhistogram.New(1, longest, digits)
		l.series[name] = h
	}
	// A time beyond the longest is counted as the longest.
	_ = h.RecordValue(min(max(took.Microseconds(), 1), longest))
}

// Summaries returns all histograms in short, by name.
func (l *Latencies) Summaries() map[string]Summary {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	all := map[string]Summary{}
	for name, h := range l.series {
		all[name] = Summary{
			Count: h.TotalCount(), P50Ms: ms(h.ValueAtQuantile(50)), P90Ms: ms(h.ValueAtQuantile(90)), P99Ms: ms(h.ValueAtQuantile(99)),
			MaxMs: ms(h.Max()),
		}
	}
	return all
}

func ms(micros int64) float64 { return float64(micros) / 1000 }
