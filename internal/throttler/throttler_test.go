package throttler

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

// open returns a gate that is one of the senders among ten hosts.
func open[P Policy](now time.Time, rate float64) Gate[P] {
	var g Gate[P]
	g.Update(now, rate, 10, true)
	return g
}

// sent counts the requests of an open gate under constant demand, which asks every millisecond.
func sent[P Policy](g *Gate[P], from time.Time, length time.Duration, before func(now time.Time)) int {
	count := 0
	for at := time.Duration(0); at <= length; at += time.Millisecond {
		now := from.Add(at)
		before(now)
		for g.Allows(now) {
			g.Spend(now)
			count++
		}
	}
	return count
}

func none(time.Time) {}

// Guards against a gate that lets requests pass before it has saved a whole one, also where it opens and closes quickly.
func TestGateOpensEmpty(t *testing.T) {
	g := Gate[ColdStart]{}
	assert.Assert(t, !g.Allows(start))
	g.Update(start, 6.9, 10, true)
	wait, ok := g.OpensIn(start)
	assert.Assert(t, ok && wait >= time.Second, "%v", wait)
	flaps := 0
	count := sent(&g, start, 10*time.Second, func(now time.Time) {
		flaps++
		g.Update(now, 6.9, 10, flaps%50 != 0)
	})
	assert.Equal(t, count, 0)
}

// Guards against a debt that a quick close and opening forgives, and a closed gate that counts requests.
func TestGateKeepsItsDebt(t *testing.T) {
	g := open[ColdStart](start, 6.9)
	first, _ := g.OpensIn(start)
	g.Spend(start)
	g.Close()
	g.Spend(start)
	g.Update(start, 6.9, 10, true)
	second, _ := g.OpensIn(start)
	assert.Assert(t, second >= 2*first-time.Microsecond && second <= 2*first+time.Microsecond, "%v after %v", second, first)
}

// Guards against a gate that lets everything pass, or nothing, where no share can be computed or a wait overflows.
func TestGateWithUnusableRates(t *testing.T) {
	for _, rate := range []float64{0, -1, math.NaN(), math.Inf(1), math.Inf(-1)} {
		g := open[NamedLimit](start, rate)
		_, ok := g.OpensIn(start.Add(time.Hour))
		assert.Assert(t, !ok, "rate %v", rate)
	}
	g := open[NamedLimit](start, 5)
	g.Update(start, 5, 0, true)
	assert.Assert(t, !g.Open)
	for _, rate := range []float64{1e-12, math.SmallestNonzeroFloat64} {
		g := open[NamedLimit](start, rate)
		wait, ok := g.OpensIn(start)
		assert.Assert(t, ok && wait == longestWait, "rate %v: %v", rate, wait)
		assert.Assert(t, !g.Allows(start.Add(time.Hour)))
	}
}

// Guards against a clock that stands still or goes back filling a gate, and against a timer that is set again and again.
func TestGateAndTheClock(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.01, 100).Draw(t, "rate")
		g := open[NamedLimit](start, rate)
		now := start
		for range 20 {
			wait, _ := g.OpensIn(now)
			assert.Assert(t, wait > 0)
			assert.Assert(t, !g.Allows(now) && !g.Allows(now.Add(-time.Hour)))
			assert.Assert(t, !g.Allows(now.Add(wait-wait/1000-2)))
			now = now.Add(wait)
			assert.Assert(t, g.Allows(now))
			g.Spend(now)
		}
	})
}

// Guards against updates that lose or add a part of the rate by rounding.
func TestGateIsUpdatedOften(t *testing.T) {
	g, often := open[NamedLimit](start, 50), open[NamedLimit](start, 50)
	want := sent(&g, start, 100*time.Second, none)
	got := sent(&often, start, 100*time.Second, func(now time.Time) {
		for i := range 20 {
			often.Update(now.Add(time.Duration(i)*time.Microsecond), 50, 10, true)
		}
	})
	assert.Assert(t, got >= want-1 && got <= want+1, "%d, not %d", got, want)
}

// Guards against a change of the rate that adds requests, or that applies to the time before it.
func TestGateFollowsTheRate(t *testing.T) {
	g := open[NamedLimit](start, 50)
	fast := Divide[NamedLimit](50, 10).Share
	assert.Assert(t, sent(&g, start, 10*time.Second, none) >= int(10*fast)-1)
	changed := start.Add(11 * time.Second)
	g.Update(changed, 1, 10, true)
	share := Divide[NamedLimit](1, 10).Share
	count := sent(&g, changed, time.Minute, none)
	assert.Assert(t, count >= int(60*share) && count <= int(60*share)+1, "%d", count)
}

// Guards against a division that breaks the bound where two sides of the fleet do not know each other, or uses less than half of the rate.
func TestDivide(t *testing.T) {
	divideHolds[ColdStart](t)
	divideHolds[NamedLimit](t)
}

func divideHolds[P Policy](t *testing.T) {
	var policy P
	b := policy.Bound()
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.3, 50).Draw(t, "rate")
		hosts := rapid.IntRange(1, 400).Draw(t, "hosts")
		d := Divide[P](rate, hosts)
		assert.Assert(t, d.Senders >= 1 && d.Senders <= min(hosts, maxSenders(rate)))
		assert.Assert(t, float64(d.Senders)*d.Share >= rate/2)
		perSender := math.Floor(1 + d.Share*(b.Window.Seconds()+0.2))
		assert.Assert(t, 2*float64(d.Senders)*perSender <= rate*b.Window.Seconds()*1.5+5, "%+v", d)
	})
}
