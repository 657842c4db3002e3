package meter

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestSummaries(t *testing.T) {
	l := &Latencies{}
	for i := range 100 {
		l.Record("a", time.Duration(i+1)*time.Millisecond)
	}
	s := l.Summaries()["a"]
	assert.Equal(t, s.Count, int64(100))
	assert.Assert(t, s.P50Ms > 45 && s.P50Ms < 55, "%v", s.P50Ms)
	assert.Assert(t, s.MaxMs >= 99, "%v", s.MaxMs)
}

func TestNamesAreBounded(t *testing.T) {
	l := &Latencies{}
	for i := range 10 * maxSeries {
		l.Record(fmt.Sprint(i), time.Hour)
	}
	all := l.Summaries()
	assert.Equal(t, len(all), maxSeries+1)
	assert.Equal(t, all[OverflowName].Count, int64(9*maxSeries))
}
