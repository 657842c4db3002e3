package budgeter

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const testLimit = 1 << 20

var start = time.Unix(1_000_000, 0)

// newBudget returns a budget of testLimit bytes with room for the given number of connections of callers.
func newBudget(connections int) *Budget[string] {
	limits := Limits{Bytes: testLimit}
	for class := range limits.Connections {
		limits.Connections[class] = connections
	}
	return New[string](limits)
}

// open opens a connection that reads a body of an account's request.
func open(t *testing.T, b *Budget[string], now time.Time, key, account string) {
	t.Helper()
	assert.Equal(t, b.Open(now, key, ClassCallers, 0).Answer, Granted)
	b.Assign(key, account)
	assert.Assert(t, b.Enter(now, key, PhaseBody))
}

// take takes bytes that arrive at once.
func take(t *testing.T, b *Budget[string], now time.Time, key string, size int64) {
	t.Helper()
	assert.Equal(t, b.Take(now, key, size).Answer, Granted)
	b.Moved(now, key, int(size))
}

// Guards against a body that stops just short of its end and keeps its memory, also by a byte now and then, while others need it.
func TestClientThatStopsIsDroppedBeforeSlowOnes(t *testing.T) {
	b := newBudget(10)
	open(t, b, start, "stopped", "a")
	open(t, b, start, "slow", "a")
	take(t, b, start, "stopped", testLimit/4)
	for second := range 30 {
		now := start.Add(time.Duration(second) * time.Second)
		take(t, b, now, "slow", testLimit/100)
		b.Moved(now, "stopped", 1)
	}
	now := start.Add(30 * time.Second)
	open(t, b, now, "new", "a")
	decision := b.Take(now, "new", testLimit/4)
	assert.Equal(t, decision.Answer, Wait)
	assert.DeepEqual(t, decision.Victims, []string{"stopped"})
	b.Close("stopped")
	assert.Equal(t, b.Take(now, "new", testLimit/4).Answer, Granted)
}

// Guards against a group of clients that takes all memory with many connections: it pays first, whatever its progress, and leaves a part to others.
func TestGroupAboveItsShareIsDroppedFirst(t *testing.T) {
	b := newBudget(100)
	for i := range 30 {
		key := fmt.Sprintf("crowd-%d", i)
		open(t, b, start, key, "crowd")
		if b.Take(start, key, testLimit/40).Answer == Granted {
			b.Moved(start, key, testLimit)
		}
	}
	assert.Assert(t, b.Groups["crowd"] <= testLimit*groupNumerator/groupDenominator)
	open(t, b, start, "other", "other")
	take(t, b, start, "other", testLimit/8)
	decision := b.Take(start.Add(time.Second), "other", testLimit/4)
	assert.Equal(t, decision.Answer, Wait)
	for _, victim := range decision.Victims {
		assert.Equal(t, b.Clients[victim].Group, "crowd")
	}
}

// Guards against small requests that are dropped for large ones of the same account, which progress faster.
func TestClientWithLittleIsNotDroppedForOneWithMuch(t *testing.T) {
	b := newBudget(10)
	open(t, b, start, "small", "a")
	assert.Equal(t, b.Take(start, "small", 1000).Answer, Granted)
	open(t, b, start, "first", "a")
	open(t, b, start, "second", "a")
	take(t, b, start, "first", testLimit/3)
	take(t, b, start, "second", testLimit/3)
	now := start.Add(3 * time.Second)
	b.Moved(now, "first", testLimit)
	decision := b.Take(now, "first", testLimit/3)
	assert.DeepEqual(t, decision.Victims, []string{"second"})
}

// Guards against a crowd of equally fast clients of which none ever completes, since each is dropped for another.
func TestOldestOfEqualClientsComplete(t *testing.T) {
	b := newBudget(100)
	for i := range 20 {
		open(t, b, start.Add(time.Duration(i)*time.Millisecond), fmt.Sprint(i), "a")
	}
	now := start.Add(20 * time.Millisecond)
	for range 10 {
		for i := range 20 {
			b.Moved(now, fmt.Sprint(i), 10*maxRate)
			decision := b.Take(now, fmt.Sprint(i), testLimit/40)
			for _, victim := range decision.Victims {
				b.Close(victim)
			}
		}
	}
	for i := range 3 {
		assert.Assert(t, !b.Clients[fmt.Sprint(i)].Dropped, "%d", i)
	}
}

// Guards against dropping a request that may have run, and against one that waits for it without end: it is refused at once.
func TestRunningRequestsAreNotDropped(t *testing.T) {
	b := newBudget(10)
	open(t, b, start, "running", "a")
	take(t, b, start, "running", testLimit*groupNumerator/groupDenominator)
	assert.Assert(t, b.Enter(start, "running", PhaseRunning))
	now := start.Add(time.Hour)
	open(t, b, now, "new", "a")
	decision := b.Take(now, "new", 1)
	assert.Equal(t, decision.Answer, Refused)
	assert.Equal(t, len(decision.Victims), 0)
	assert.Equal(t, b.Take(now, "running", 1).Answer, Refused)
	assert.Assert(t, !b.Clients["running"].Dropped, "a request that runs goes on without the bytes")
}

// Guards against callers that cannot connect, and so get no answer at all, while requests that run hold the memory.
func TestCallersConnectWhileRequestsHoldTheMemory(t *testing.T) {
	b := newBudget(10)
	for i, account := range []string{"a", "b"} {
		open(t, b, start, account, account)
		take(t, b, start, account, testLimit*int64(5-3*i)/8)
		assert.Assert(t, b.Enter(start, account, PhaseRunning))
	}
	assert.Equal(t, b.Open(start, "new", ClassCallers, testLimit/100).Answer, Granted)
	assert.Equal(t, b.Take(start, "new", testLimit/100).Answer, Refused)
}

// Guards against a client that loses its place for the time in which the host, not the client, had it wait.
func TestWaitingDoesNotCountAgainstAClient(t *testing.T) {
	b := newBudget(10)
	open(t, b, start, "patient", "a")
	open(t, b, start, "stopped", "a")
	take(t, b, start, "patient", testLimit/4)
	take(t, b, start, "stopped", testLimit/4)
	now := start.Add(3 * time.Second)
	b.Moved(now, "patient", 100_000)
	rate := b.Clients["patient"].Rate(now)
	assert.Equal(t, b.Take(now, "patient", testLimit/2).Answer, Wait)
	assert.Equal(t, b.Clients["patient"].Rate(now.Add(time.Minute)), rate)
	b.StopWaiting(now.Add(time.Minute), "patient")
	assert.Equal(t, b.Clients["patient"].Rate(now.Add(time.Minute)), rate)
}

// Guards against a class that uses all descriptors, and against closing connections in use while others are idle.
func TestLongestIdleConnectionIsClosedAtTheBound(t *testing.T) {
	b := newBudget(3)
	open(t, b, start, "busy", "a")
	assert.Equal(t, b.Open(start.Add(time.Second), "idle", ClassCallers, 0).Answer, Granted)
	assert.Equal(t, b.Open(start.Add(2*time.Second), "idle-later", ClassCallers, 0).Answer, Granted)
	now := start.Add(3 * time.Second)
	decision := b.Open(now, "new", ClassCallers, 0)
	assert.Equal(t, decision.Answer, Granted)
	assert.DeepEqual(t, decision.Victims, []string{"idle"})
	assert.Equal(t, b.Open(now, "peer", ClassPeers, 0).Answer, Granted, "other classes have connections of their own")
	for _, key := range []string{"busy", "idle-later", "new"} {
		assert.Assert(t, b.Enter(now, key, PhaseRunning))
	}
	assert.Equal(t, b.Open(now, "one-more", ClassCallers, 0).Answer, Refused)
}

// Guards against bytes that are returned twice or never, in any order of events: what clients hold adds up, no group or total exceeds the budget, and
// all is returned in the end.
func TestBytesAddUp(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		b, now := newBudget(8), start
		for range 2000 {
			now = now.Add(time.Duration(random.IntN(500)) * time.Millisecond)
			step(b, random, now)
			checkSums(t, b)
		}
		for i := range clientsOfStep {
			b.Close(fmt.Sprint(i))
		}
		assert.Equal(t, b.Held, int64(0))
		assert.Equal(t, len(b.Groups), 0)
		assert.Equal(t, len(b.EndingGroups), 0)
		assert.Equal(t, b.Connections, [ClassCount]int{})
		assert.Equal(t, b.Closing, [ClassCount]int{})
	}
}

const (
	clientsOfStep = 12
	baseOfStep    = 1000
)

// step applies a random event of a random client.
func step(b *Budget[string], random *rand.Rand, now time.Time) {
	key := fmt.Sprint(random.IntN(clientsOfStep))
	switch random.IntN(8) {
	case 0:
		if _, ok := b.Clients[key]; !ok {
			b.Open(now, key, Class(random.IntN(int(ClassCount))), baseOfStep)
		}
	case 1:
		b.Assign(key, fmt.Sprint("account", random.IntN(3)))
	case 2:
		b.Enter(now, key, Phase(random.IntN(int(PhaseWriting)+1)))
	case 3:
		b.Give(key, int64(random.IntN(testLimit/4)))
	case 4:
		b.EndRequest(key)
	case 5:
		b.Close(key)
	default:
		b.Take(now, key, int64(random.IntN(testLimit/4)))
		b.Moved(now, key, random.IntN(testLimit))
	}
}

func checkSums(t *testing.T, b *Budget[string]) {
	t.Helper()
	var held, ending int64
	groups, connections := map[string]int64{}, [ClassCount]int{}
	for _, c := range b.Clients {
		assert.Assert(t, c.Held >= c.Base)
		held += c.Held
		if c.Dropped {
			ending += c.Held
		}
		groups[c.Group] += c.Held
		connections[c.Class]++
	}
	assert.Equal(t, b.Held, held)
	assert.Equal(t, b.Ending, ending)
	var endingGroups int64
	for _, size := range b.EndingGroups {
		assert.Assert(t, size > 0)
		endingGroups += size
	}
	assert.Equal(t, endingGroups, ending)
	assert.Assert(t, held <= testLimit+clientsOfStep*baseOfStep)
	assert.DeepEqual(t, b.Groups, groups)
	assert.Equal(t, b.Connections, connections)
}

// Guards against bounds on connections that leave none for backend servers and the configuration service on the smallest hosts.
func TestConnectionsOfAllClassesLeaveSomeForOthers(t *testing.T) {
	sum := 0
	for _, bound := range DivideConnections(2875) {
		assert.Assert(t, bound >= minConnections)
		sum += bound
	}
	assert.Assert(t, sum <= 2875*2/3)
}
