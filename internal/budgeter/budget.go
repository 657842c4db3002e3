package budgeter

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Shares of the budget.
const (
	// groupNumerator and groupDenominator give the largest part of the budget that one group may hold.
	groupNumerator   = 3
	groupDenominator = 4
	// requestNumerator and requestDenominator give the part of the budget that requests may use, so that callers can connect in any case and be told
	// that there is no memory.
	requestNumerator   = 7
	requestDenominator = 8
	// keptDenominator gives the part of the budget that operators, and as much that other hosts, may hold without being dropped for others.
	keptDenominator = 4
	// maxClosing is the number of connections of a class that may be closing beyond its bound.
	maxClosing = 32
)

// Limits are the bounds of a budget.
type Limits struct {
	// Bytes is what all clients together may make the host hold.
	Bytes int64
	// Connections is the largest number of connections of each class.
	Connections [ClassCount]int
}

// Budget decides on the bytes and connections of clients, each of which has a key of type K.
type Budget[K comparable] struct {
	Limits  Limits
	Clients map[K]*Client
	// Held is the number of bytes that all clients hold, and Groups those by group.
	Held   int64
	Groups map[string]int64
	// Ending is the part of Held of the dropped clients, and EndingGroups that by group.
	Ending       int64
	EndingGroups map[string]int64
	// Connections is the number of open connections by class, and Closing that of the dropped ones among them.
	Connections, Closing [ClassCount]int
}

// New returns an empty budget.
func New[K comparable](limits Limits) *Budget[K] {
	return &Budget[K]{Limits: limits, Clients: map[K]*Client{}, Groups: map[string]int64{}, EndingGroups: map[string]int64{}}
}

// Answer is the decision on bytes that a client needs.
type Answer uint8

// Answers to a client that needs bytes.
const (
	// Granted lets the client go on: the bytes count as held.
	Granted Answer = iota
	// Wait asks the client to try again once bytes are given back; victims have been dropped for it.
	Wait
	// Refused drops the client itself, or leaves a request that runs without the bytes.
	Refused
)

// Decision is an answer and the clients that are to be dropped for it.
type Decision[K comparable] struct {
	Answer  Answer
	Victims []K
}

// Open adds a connection that holds base bytes, or refuses it if neither room nor a client is there that could be dropped for it.
func (b *Budget[K]) Open(now time.Time, key K, class Class, base int64) Decision[K] {
	if b.Connections[class] >= b.Limits.Connections[class]+maxClosing {
		return Decision[K]{Answer: Refused}
	}
	var victims []K
	if open := b.Connections[class] - b.Closing[class]; open >= b.Limits.Connections[class] {
		victim, ok := b.weakestConnection(now, class)
		if !ok {
			return Decision[K]{Answer: Refused}
		}
		b.drop(victim)
		victims = append(victims, victim)
	}
	b.add(now, key, &Client{Class: class, Connection: true, Base: base, PhaseSince: now})
	b.Connections[class]++
	decision := b.takeBase(now, key, base)
	decision.Victims = append(victims, decision.Victims...)
	return decision
}

// takeBase takes the bytes of a new connection. If others are dropped for it, the connection does not wait until they have ended.
func (b *Budget[K]) takeBase(now time.Time, key K, base int64) Decision[K] {
	decision := b.take(now, key, base, b.Limits.Bytes)
	switch decision.Answer {
	case Wait:
		b.Clients[key].resume(now)
		b.hold(b.Clients[key], base)
		decision.Answer = Granted
	case Refused:
		b.Close(key)
	}
	return decision
}

// OpenRequest adds a request on a connection that several requests share.
func (b *Budget[K]) OpenRequest(now time.Time, key K, class Class) {
	b.add(now, key, &Client{Class: class, PhaseSince: now})
}

func (b *Budget[K]) add(now time.Time, key K, c *Client) {
	c.Group = c.Class.String()
	c.Progress.PerSecond, c.Progress.UpdatedAt = freshRate, now
	b.Clients[key] = c
}

// Enter starts a phase of a client and reports whether the client may go on.
func (b *Budget[K]) Enter(now time.Time, key K, phase Phase) bool {
	c, ok := b.Clients[key]
	if !ok || c.Dropped {
		return false
	}
	c.enter(now, phase)
	return true
}

// Assign counts a client to a group.
func (b *Budget[K]) Assign(key K, group string) {
	c, ok := b.Clients[key]
	if !ok || c.Group == group {
		return
	}
	held := c.Held
	b.hold(c, -held)
	c.Group = group
	b.hold(c, held)
}

// Take asks for bytes before they are read.
func (b *Budget[K]) Take(now time.Time, key K, size int64) Decision[K] {
	return b.take(now, key, size, b.Limits.Bytes*requestNumerator/requestDenominator)
}

// take asks for bytes of which all clients together may hold no more than a limit.
func (b *Budget[K]) take(now time.Time, key K, size, limit int64) Decision[K] {
	c, ok := b.Clients[key]
	if !ok || c.Dropped {
		return Decision[K]{Answer: Refused}
	}
	missing, group := b.missing(c, size, limit)
	if missing <= 0 {
		c.resume(now)
		b.hold(c, size)
		return Decision[K]{Answer: Granted}
	}
	c.wait(now)
	victims, enough := b.dropFor(now, key, size, missing, group)
	if enough {
		return Decision[K]{Answer: Wait, Victims: victims}
	}
	c.resume(now)
	if c.CanBeDropped() {
		b.drop(key)
	}
	return Decision[K]{Answer: Refused, Victims: victims}
}

// Moved counts bytes that a client has sent or received as its progress.
func (b *Budget[K]) Moved(now time.Time, key K, size int) {
	if c, ok := b.Clients[key]; ok {
		c.Progress.Add(now, float64(size), progressHalfLife)
	}
}

// Give returns bytes of a client.
func (b *Budget[K]) Give(key K, size int64) {
	if c, ok := b.Clients[key]; ok {
		b.hold(c, -min(size, c.Held-c.Base))
	}
}

// StopWaiting ends the wait of a client that does without the bytes.
func (b *Budget[K]) StopWaiting(now time.Time, key K) {
	if c, ok := b.Clients[key]; ok {
		c.resume(now)
	}
}

// EndRequest returns all bytes of a client's request; its connection stays.
func (b *Budget[K]) EndRequest(key K) {
	c, ok := b.Clients[key]
	if !ok {
		return
	}
	b.hold(c, -(c.Held - c.Base))
	b.Assign(key, c.Class.String())
}

// Close removes a client and returns all its bytes.
func (b *Budget[K]) Close(key K) {
	c, ok := b.Clients[key]
	if !ok {
		return
	}
	b.hold(c, -c.Held)
	if c.Connection {
		b.Connections[c.Class]--
		if c.Dropped {
			b.Closing[c.Class]--
		}
	}
	delete(b.Clients, key)
}

// LargestGroups returns the bytes that groups hold, of no more than the given number of groups, those with the most.
func (b *Budget[K]) LargestGroups(count int) map[string]int64 {
	names := slices.SortedFunc(maps.Keys(b.Groups), func(x, y string) int {
		return cmp.Or(cmp.Compare(b.Groups[y], b.Groups[x]), cmp.Compare(x, y))
	})
	largest := map[string]int64{}
	for _, name := range names[:min(count, len(names))] {
		largest[name] = b.Groups[name]
	}
	return largest
}

// hold adds bytes to what a client holds.
func (b *Budget[K]) hold(c *Client, size int64) {
	c.Held += size
	b.Held += size
	addTo(b.Groups, c.Group, size)
	if c.Dropped {
		b.addEnding(c.Group, size)
	}
}

func (b *Budget[K]) addEnding(group string, size int64) {
	b.Ending += size
	addTo(b.EndingGroups, group, size)
}

// addTo adds bytes to a group, which is removed once it has none.
func addTo(groups map[string]int64, group string, size int64) {
	groups[group] += size
	if groups[group] == 0 {
		delete(groups, group)
	}
}

func (b *Budget[K]) drop(key K) {
	c := b.Clients[key]
	c.Dropped = true
	b.addEnding(c.Group, c.Held)
	if c.Connection {
		b.Closing[c.Class]++
	}
}
