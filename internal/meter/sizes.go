package meter

import (
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxSize is the highest value in bytes of a histogram of sizes.
const maxSize = 1 << 34

// Sizes holds a histogram of sizes in bytes; the zero value is ready to use.
type Sizes struct {
	mutex     sync.Mutex
	histogram *hdrhistogram.Histogram
}

// Spread holds the count, the percentiles and the maximum of a histogram of sizes in bytes.
type Spread struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P90   int64 `json:"p90"`
	P99   int64 `json:"p99"`
	Max   int64 `json:"max"`
}

// Record adds one size.
func (s *Sizes) Record(size int64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.histogram == nil {
		s.histogram = hdrhistogram.New(1, maxSize, significantDigits)
	}
	// Sizes outside the range of the histogram are counted at its nearest end.
	_ = s.histogram.RecordValue(min(max(size, 1), maxSize))
}

// Spread returns a summary of the recorded sizes.
func (s *Sizes) Spread() Spread {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.histogram == nil {
		return Spread{}
	}
	h := s.histogram
	return Spread{Count: h.TotalCount(), P50: h.ValueAtQuantile(50), P90: h.ValueAtQuantile(90), P99: h.ValueAtQuantile(99), Max: h.Max()}
}
