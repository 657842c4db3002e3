package estimator

import (
	"math"
	"time"
)

// LogMean is a moving geometric mean of times, on which single long ones have little weight.
type LogMean struct {
	Log     float64
	Samples int
}

// logMeanSamples is the number of samples over which the mean moves, and minLogMeanSamples that from which it is known.
const (
	logMeanSamples    = 200
	minLogMeanSamples = 12
)

// Add adds a time above 0.
func (m *LogMean) Add(took time.Duration) {
	if took <= 0 {
		return
	}
	m.Samples = min(m.Samples+1, logMeanSamples)
	m.Log += (math.Log(took.Seconds()) - m.Log) / float64(m.Samples)
}

// Known reports whether there are enough samples.
func (m LogMean) Known() bool { return m.Samples >= minLogMeanSamples }

// Ratio returns how many times the mean a time is.
func (m LogMean) Ratio(took time.Duration) float64 { return took.Seconds() / math.Exp(m.Log) }
