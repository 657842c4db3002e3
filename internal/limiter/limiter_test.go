package limiter

import (
	"flag"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

// spend is tokens that left a bucket and were used at a time.
type spend struct {
	at   time.Time
	used float64
}

// TestNoWindowExceedsRateAndBurst draws takes, settlements and refunds, and replays what was used through an exact bucket.
func TestNoWindowExceedsRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1_700_000_000, 0)
		b := Bucket{Rate: rapid.Float64Range(1, 100).Draw(t, "rate"), Burst: rapid.Float64Range(1, 500).Draw(t, "burst"), UpdatedAt: start}
		now := start
		var spends []spend
		var open []int
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			if len(open) > 0 && rapid.Bool().Draw(t, "refund") {
				i := open[0]
				open = open[1:]
				unused := spends[i].used * rapid.Float64Range(0, 1).Draw(t, "unused")
				spends[i].used -= unused
				b.Refund(now, unused, spends[i].at)
				continue
			}
			taken := b.Take(now, rapid.Float64Range(0, 300).Draw(t, "tokens"))
			b.Settle(now, taken)
			spends = append(spends, spend{at: now, used: taken})
			open = append(open, len(spends)-1)
		}
		assertWithin(t, b, start, spends)
	})
}

func assertWithin(t *rapid.T, b Bucket, start time.Time, spends []spend) {
	level := b.Burst
	last := start
	for _, s := range spends {
		level = min(level+s.at.Sub(last).Seconds()*b.Rate, b.Burst) - s.used
		last = s.at
		if level < -1e-6 {
			t.Fatalf("%.6f tokens over at %v", -level, s.at.Sub(start))
		}
	}
}

func TestOutstandingGrantsCountAgainstTheBurst(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	b := Bucket{Rate: 10, Burst: 100, Level: 100, UpdatedAt: start}
	assert.Equal(t, b.Take(start, 60), 60.0)
	b.Refill(start.Add(time.Minute))
	assert.Equal(t, b.Level, 40.0)
	b.Settle(start.Add(time.Minute), 60)
	b.Refill(start.Add(2 * time.Minute))
	assert.Equal(t, b.Level, 100.0)
}

func TestRefundAfterAFullBucketIsLost(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	b := Bucket{Rate: 10, Burst: 100, Level: 100, UpdatedAt: start}
	b.Settle(start, b.Take(start, 50))
	later := start.Add(20 * time.Second)
	b.Refill(later)
	b.Settle(later, b.Take(later, 100))
	assert.Equal(t, b.Refund(later, 50, start), 0.0)
}
