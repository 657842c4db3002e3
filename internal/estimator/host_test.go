package estimator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestRequestsAreDispatched(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	s := warmHost(3000, now)
	names := sampleNames(3000)
	for i := range 1000 {
		now = now.Add(100 * time.Microsecond)
		runRequest(s, now, i, names[i%len(names)])
	}
	assert.Equal(t, s.Counters.RequestsNotRun, uint64(0))
	assert.Equal(t, int(s.Counters.RequestsDone)+len(s.Requests), 1000)
}

func TestFit(t *testing.T) {
	line := Fit("a", "hosts", "bytes", []Point{{1, 12}, {2, 14}, {3, 16}})
	assert.Equal(t, line.Base, 10.0)
	assert.Equal(t, line.Slope, 2.0)
	assert.Equal(t, line.Residual, 0.0)
}

func BenchmarkReduceRequest3000(b *testing.B)   { benchmarkRequest(b, 3000) }
func BenchmarkReduceRequest180000(b *testing.B) { benchmarkRequest(b, 180_000) }

func benchmarkRequest(b *testing.B, adapters int) {
	now := time.Unix(1_700_000_000, 0)
	s := warmHost(adapters, now)
	names := sampleNames(adapters)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now = now.Add(100 * time.Microsecond)
		runRequest(s, now, i, names[i%len(names)])
	}
}
