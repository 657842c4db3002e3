package meter

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxMicros is the highest value of a histogram in microseconds, and significantDigits its number of significant digits.
	maxMicros         = int64(5 * time.Minute / time.Microsecond)
	significantDigits = 2
	// maxSeries is the maximum number of named histograms; latencies under further names are counted under OverflowName.
	maxSeries = 128
)

// OverflowName is the name under which latencies are counted once there are maxSeries other names.
const OverflowName = "other"

// Latencies holds one latency histogram per name; the zero value is ready to use.
type Latencies struct {
	mutex  sync.Mutex
	series map[string]*hdrhistogram.Histogram
}

// Summary holds the count, the percentiles and the maximum of one histogram; times are in milliseconds.
type Summary struct {
	Count int64   `json:"count"`
	P50Ms float64 `json:"p50_ms"`
	P90Ms float64 `json:"p90_ms"`
	P99Ms float64 `json:"p99_ms"`
	MaxMs float64 `json:"max_ms"`
}

// Record adds one latency to the histogram of a name.
func (l *Latencies) Record(name string, latency time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.series == nil {
		l.series = map[string]*hdrhistogram.Histogram{}
	}
	h, ok := l.series[name]
	if !ok && len(l.series) >= maxSeries {
		name = OverflowName
		h, ok = l.series[name]
	}
	if !ok {
		h = hdrhistogram.New(1, maxMicros, significantDigits)
		l.series[name] = h
	}
	// Latencies outside the range of the histogram are counted at its nearest end.
	_ = h.RecordValue(min(max(latency.Microseconds(), 1), maxMicros))
}

// Summaries returns the summary of each histogram by name.
func (l *Latencies) Summaries() map[string]Summary {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	summaries := map[string]Summary{}
	for name, h := range l.series {
		summaries[name] = Summary{
			Count: h.TotalCount(), P50Ms: ms(h.ValueAtQuantile(50)), P90Ms: ms(h.ValueAtQuantile(90)), P99Ms: ms(h.ValueAtQuantile(99)),
			MaxMs: ms(h.Max()),
		}
	}
	return summaries
}

func ms(micros int64) float64 { return float64(micros) / 1000 }
