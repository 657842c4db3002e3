package admitter

import (
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_700_000_000, 0)

// load is a series of requests for one server that works off rate tokens per second, one request after the other.
type load struct {
	requests []Waiting[string]
	accounts map[string]string
	rate     float64
}

func (l *load) add(account, id string, at time.Duration, priority int, cost float64, target time.Duration) {
	key := account + "/" + id
	l.accounts[key] = account
	l.requests = append(l.requests, Waiting[string]{
		Key: key, Priority: priority, Cost: cost, FirstAt: start.Add(at), Target: target, Deadline: start.Add(at + 5*target),
	})
}

// serve serves a load in the order of a policy and returns the number of requests that each account has answered within their targets.
func serve[P Policy](l load) map[string]int {
	var shares Shares
	var queue Queue[string, P]
	inTime, next, now := map[string]int{}, 0, start
	for next < len(l.requests) || len(queue.Items) > 0 {
		for ; next < len(l.requests) && !l.requests[next].FirstAt.After(now); next++ {
			w := l.requests[next]
			shares.Record(w.FirstAt, l.accounts[w.Key], w.Priority, w.Cost)
			queue.Push(w)
		}
		if len(queue.Items) == 0 {
			now = l.requests[next].FirstAt
			continue
		}
		byKey := map[string]Waiting[string]{}
		for i := range queue.Items {
			w := &queue.Items[i]
			w.InTime = now.Add(time.Duration(w.Cost / l.rate * float64(time.Second))).Before(w.FirstAt.Add(w.Target))
			w.Deficit = shares.Deficit(now, l.accounts[w.Key], w.Priority)
			byKey[w.Key] = *w
		}
		key, _ := queue.Next(now, 1e9)
		now = now.Add(time.Duration(byKey[key].Cost / l.rate * float64(time.Second)))
		if now.Sub(byKey[key].FirstAt) <= byKey[key].Target {
			inTime[l.accounts[key]]++
		}
	}
	return inTime
}

func TestAccountAtSixTimesItsUseLeavesOthersTheirShare(t *testing.T) {
	// Ten accounts with 4 requests a second each on a server for 50; from the 30th second on, one account sends 24 a second.
	l := load{accounts: map[string]string{}, rate: 50_000}
	for step := range 35 * 24 {
		at := time.Duration(step) * time.Second / 24
		for account := range 10 {
			if flood := account == 0 && at >= 30*time.Second; flood || step%6 == account%6 {
				l.add(strconv.Itoa(account), strconv.Itoa(step), at, 1, 1000, 500*time.Millisecond)
			}
		}
	}
	others := func(inTime map[string]int) (n int) {
		for account, answered := range inTime {
			if account != "0" {
				n += answered
			}
		}
		return n
	}
	fair, arrival := others(serve[Fair](l)), others(serve[Arrival](l))
	t.Logf("others in time: %d of %d, by arrival %d", fair, 9*35*4, arrival)
	assert.Check(t, fair > 9*35*4*98/100 && fair > arrival+30)
}

func TestBurstOfLargePromptsLeavesSmallOnesInTime(t *testing.T) {
	l := load{accounts: map[string]string{}, rate: 38_000}
	for i := range 20 {
		l.add("large", strconv.Itoa(i), 0, 1, 9000, time.Second)
	}
	for i := range 100 {
		l.add("small", strconv.Itoa(i), time.Duration(i)*40*time.Millisecond, 1, 800, time.Second)
	}
	fair, arrival := serve[Fair](l), serve[Arrival](l)
	t.Logf("small in time: %d of 100, by arrival %d; large %d, by arrival %d", fair["small"], arrival["small"], fair["large"], arrival["large"])
	assert.Check(t, fair["small"] > 95 && fair["small"] > arrival["small"]+50)
}

func TestUrgentRequestsGoFirstInOneQueue(t *testing.T) {
	l := load{accounts: map[string]string{}, rate: 38_000}
	for i := range 200 {
		l.add("less", strconv.Itoa(i), time.Duration(i)*20*time.Millisecond, 1, 800, time.Second)
		l.add("urgent", strconv.Itoa(i), time.Duration(i)*20*time.Millisecond, 0, 400, 300*time.Millisecond)
	}
	inTime := serve[Fair](l)
	assert.Equal(t, inTime["urgent"], 200)
}

func TestLargestTenthGetsItsTurn(t *testing.T) {
	// Small requests alone keep the server busy at nine tenths. A large one that ranks by its cost alone would wait for a gap.
	var queue Queue[string, Fair]
	queue.Push(Waiting[string]{Key: "large", Cost: 9000, FirstAt: start, Target: time.Second, Deadline: start.Add(5 * time.Second), InTime: true})
	now := start
	for i := 0; ; i++ {
		queue.Push(Waiting[string]{Key: "small", Cost: 800, FirstAt: now, Target: time.Second, Deadline: now.Add(5 * time.Second), InTime: true})
		if key, _ := queue.Next(now, 1e9); key == "large" {
			break
		}
		now = now.Add(20 * time.Millisecond)
		assert.Assert(t, now.Sub(start) < time.Second, "the large request waits behind %d small ones", i)
	}
	var u Urgency
	for i := range 1000 {
		u.Arrived(1, float64(100+i*37%900))
	}
	assert.Check(t, !u.Large(1, 850) && u.Large(1, 970), "largest tenth begins at %v", u.Sizes[1].Value)
}

func TestRaisesAreLimitedToAShareOfTheKind(t *testing.T) {
	var u Urgency
	raised := 0
	for range 1000 {
		u.Arrived(1, 100)
		if u.Raise(1) {
			raised++
		}
	}
	assert.Check(t, raised >= 95 && raised <= 105, "%d raised", raised)
	assert.Check(t, !u.Raise(0))
}

func TestRoomIsKeptForALargeRequestThatHasWaited(t *testing.T) {
	var queue Queue[string, Fair]
	queue.Push(Waiting[string]{Key: "large", Cost: 9000, FirstAt: start, Target: time.Second, Deadline: start.Add(5 * time.Second), InTime: true})
	queue.Push(Waiting[string]{Key: "small", Cost: 800, Priority: 1, FirstAt: start, Target: time.Second, Deadline: start.Add(5 * time.Second), InTime: true})
	_, ok := queue.Next(start.Add(600*time.Millisecond), 1000)
	assert.Check(t, !ok)
	key, _ := queue.Next(start.Add(100*time.Millisecond), 1000)
	assert.Equal(t, key, "small")
}

func TestReturnsOfManyCallersAreSpread(t *testing.T) {
	// 300 callers are refused in one moment. With one constant delay all of them return in one moment again.
	var r Returns[int]
	dueAt := map[time.Duration]int{}
	for i := range 300 {
		wait := r.Promise(start, i, Return{FirstAt: start}, 200*time.Millisecond, 1500*time.Millisecond)
		assert.Check(t, wait > 0 && wait <= 1500*time.Millisecond)
		dueAt[wait]++
	}
	assert.Equal(t, len(dueAt), 300)
	promise, early, ok := r.Due(start.Add(200*time.Millisecond), 299)
	assert.Check(t, ok && early && promise.Refusals == 1)
	promise, early, ok = r.Due(promise.DueAt.Add(time.Millisecond), 299)
	assert.Check(t, ok && !early && promise.FirstAt.Equal(start))
	for i := range 3 * maxReturns {
		r.Promise(start.Add(time.Second), 1000+i, Return{}, time.Second, 2*time.Second)
	}
	assert.Check(t, len(r.Promises) <= maxReturns && len(r.Oldest) <= maxReturns)
	_, _, ok = r.Due(start.Add(time.Second), 0)
	assert.Check(t, !ok, "the oldest promise is dropped first")
}

// Load: callers with 5 s and 10 s for the same route, a fifth of which return after a refusal by another host.
func TestReturnedCallersAreKnownByTheirTimeLeft(t *testing.T) {
	var d Deadlines
	for i := range 200 {
		first := time.Duration(5+5*(i%2)) * time.Second
		_, returned := d.Elapsed(first)
		assert.Check(t, !returned)
		d.Add(first)
		if i%5 == 0 {
			left := first - time.Duration(400+i*5)*time.Millisecond
			elapsed, returned := d.Elapsed(left)
			assert.Check(t, i < 60 || returned && (first-left-elapsed).Abs() < 150*time.Millisecond, "%d: %v before", i, elapsed)
			d.Add(left)
		}
	}
}

// Load: many requests of all kinds wait at once. Guards against two orders for the same requests: one by one, and all together, which has to stay
// cheap with thousands.
func TestAllHasTheOrderOfNext(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var one, all Queue[int, Fair]
	for i := range 300 {
		w := Waiting[int]{
			Key: i, Priority: random.IntN(3), Returned: random.IntN(4) == 0, InTime: random.IntN(2) == 0, Deficit: 2 - float64(random.IntN(5)),
			Cost: float64(1 + random.IntN(5)), FirstAt: start.Add(-time.Duration(random.IntN(5)) * 100 * time.Millisecond), Target: time.Second,
			Deadline: start.Add(5 * time.Second),
		}
		one.Push(w)
		all.Push(w)
	}
	for _, key := range all.All(start) {
		next, ok := one.Next(start, math.Inf(1))
		assert.Assert(t, ok)
		assert.Equal(t, key, next)
	}
	assert.Equal(t, len(one.Items)+len(all.Items), 0)
}

// Load: callers with a few milliseconds left. Guards against a time of return in the past.
func TestReturnIsNeverInThePast(t *testing.T) {
	for offset := range time.Duration(8) {
		var r Returns[int]
		for i := range 4 {
			wait := r.Promise(start.Add(offset*time.Millisecond), i, Return{}, time.Second, time.Millisecond)
			assert.Check(t, wait >= 0 && wait <= time.Millisecond, "%v", wait)
		}
	}
}
