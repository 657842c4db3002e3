package ramper

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_700_000_000, 0)

// trial is a number of hosts that send to one server, which answers one request after the other. What its slow start holds back goes to other
// servers. Without hosts in slow start all requests are sent at once, as before.
type trial struct {
	hosts     int
	perSecond float64
	// work is the time that the server takes for a request, and expected the time that hosts expect of it.
	work     func(since time.Duration) time.Duration
	expected time.Duration
	begin    bool
	duration time.Duration
}

// result counts the requests of a trial, those that were answered late, and those of its last second; longest is the longest queue.
type result struct {
	sent, held, late, longest, sentLast, heldLast int
}

// run plays the trial in steps of a millisecond.
func (tr trial) run(reason Reason) (res result) {
	type request struct {
		host           int
		sentAt, doneAt time.Time
	}
	rng := rand.New(rand.NewPCG(1, 2))
	ramps := make([]Ramp, tr.hosts)
	waiting := make([]int, tr.hosts)
	for i := range ramps {
		if tr.begin {
			ramps[i].Begin(start, reason, 96, float64(i)/float64(tr.hosts))
		}
	}
	var queue []request
	free := start
	for now := start; now.Sub(start) < tr.duration; now = now.Add(time.Millisecond) {
		for len(queue) > 0 && !queue[0].doneAt.After(now) {
			q := queue[0]
			queue = queue[1:]
			waiting[q.host]--
			ramps[q.host].Measured(now.Sub(q.sentAt))
			ramps[q.host].Answered(now, q.sentAt, now.Sub(q.sentAt) <= 2*tr.expected, tr.hosts)
		}
		last := now.Sub(start) >= tr.duration-time.Second
		for range count(rng.Float64() < tr.perSecond/1000) {
			host := rng.IntN(tr.hosts)
			if ramps[host].Done(now) {
				ramps[host].End()
			}
			if !ramps[host].Allows(now, tr.hosts, waiting[host]) {
				res.held++
				res.heldLast += count(last)
				continue
			}
			ramps[host].Sent(now)
			waiting[host]++
			res.sent++
			res.sentLast += count(last)
			if free.Before(now) {
				free = now
			}
			free = free.Add(tr.work(now.Sub(start)))
			res.late += count(free.Sub(now) > 2*tr.expected)
			queue = append(queue, request{host, now, free})
			res.longest = max(res.longest, len(queue))
		}
	}
	return res
}

func count(yes bool) int {
	if yes {
		return 1
	}
	return 0
}

func steady(d time.Duration) func(time.Duration) time.Duration {
	return func(time.Duration) time.Duration { return d }
}

// Load: a server with the most popular adapter returns and is ten times slower than usual for three seconds. Guards against the queue that
// forms at it then.
func TestSlowServerIsNotFlooded(t *testing.T) {
	tr := trial{hosts: 20, perSecond: 39, expected: 50 * time.Millisecond, duration: 5 * time.Second, work: func(since time.Duration) time.Duration {
		if since < 3*time.Second {
			return 200 * time.Millisecond
		}
		return 20 * time.Millisecond
	}}
	before := tr.run(ReasonNone)
	tr.begin = true
	after := tr.run(ReasonStarted)
	t.Logf("before %+v, after %+v", before, after)
	assert.Assert(t, after.longest*4 <= before.longest, "queue %d, before %d", after.longest, before.longest)
	assert.Assert(t, after.late*2 <= before.late, "late %d, before %d", after.late, before.late)
}

// Load: the demand for a healthy server that returns, rare and popular. Guards against a server that is left idle.
func TestHealthyServerReachesItsShareSoon(t *testing.T) {
	for perSecond, duration := range map[float64]time.Duration{4: 3 * time.Second, 39: 2 * time.Second} {
		tr := trial{hosts: 20, perSecond: perSecond, expected: 50 * time.Millisecond, duration: duration, work: steady(20 * time.Millisecond), begin: true}
		for _, reason := range []Reason{ReasonStarted, ReasonEjected} {
			res := tr.run(reason)
			t.Logf("%v/s, %v: %+v", perSecond, reason, res)
			assert.Assert(t, res.sentLast >= 4*res.heldLast, "%v/s, %v: %+v", perSecond, reason, res)
		}
	}
}

// Load: 300 hosts send to a popular server that returns. Guards against all of them reaching it at once.
func TestHundredsOfHostsTakeTurns(t *testing.T) {
	tr := trial{hosts: 300, perSecond: 600, expected: 50 * time.Millisecond, duration: time.Second, work: steady(20 * time.Millisecond)}
	before := tr.run(ReasonNone)
	tr.begin = true
	after := tr.run(ReasonStarted)
	t.Logf("before %+v, after %+v", before, after)
	assert.Assert(t, after.longest*10 <= before.longest, "queue %d, before %d", after.longest, before.longest)
	assert.Assert(t, after.sent > initialLimit, "%d sent", after.sent)
}

// Guards against a limit that stays: without answers, and with a server that is slow for good.
func TestWrongBeliefEnds(t *testing.T) {
	var silent, slow Ramp
	silent.Begin(start, ReasonEjected, 96, 0)
	slow.Begin(start, ReasonStarted, 96, 0)
	now := start
	for range 200 {
		now = now.Add(100 * time.Millisecond)
		slow.Answered(now, now, false, 1)
		assert.Assert(t, slow.Limit(now) >= failedLimit)
	}
	assert.Assert(t, silent.Done(now) && slow.Done(now))
}

// Guards against requests that were sent before a slow start changing its limit, and against one overload lowering it many times.
func TestOldRequestsDoNotLowerTheLimit(t *testing.T) {
	var r Ramp
	r.Begin(start, ReasonStarted, 96, 0)
	now := start.Add(10 * time.Millisecond)
	r.Answered(now, start.Add(-time.Second), false, 1)
	r.Failed(now, start.Add(-time.Second))
	assert.Assert(t, r.Limit(now) >= initialLimit)
	for range 10 {
		r.Refused(now, start)
	}
	assert.Assert(t, r.Limit(now) >= initialLimit/2)
	r.Failed(now, now)
	assert.Equal(t, r.Limit(now), 1.0)
}
