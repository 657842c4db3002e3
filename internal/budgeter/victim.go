package budgeter

import "time"

// anyGroup is the scope of clients of all groups.
const anyGroup = ""

// missing returns how many bytes are missing for a client within a limit, and the group that must give them, or anyGroup.
func (b *Budget[K]) missing(c *Client, size, limit int64) (missing int64, group string) {
	if over := b.Groups[c.Group] + size - b.Limits.Bytes*groupNumerator/groupDenominator; over > 0 {
		return over, c.Group
	}
	return b.Held + size - limit, anyGroup
}

// dropFor drops clients until those that are ending give back the missing bytes. It reports enough as false if the client itself is the weakest, or
// no client can be dropped.
func (b *Budget[K]) dropFor(now time.Time, key K, size, missing int64, group string) (victims []K, enough bool) {
	for b.ending(group) < missing {
		victim, ok := b.weakest(now, key, size, group)
		if !ok || victim == key {
			return victims, false
		}
		b.drop(victim)
		victims = append(victims, victim)
	}
	return victims, true
}

// ending returns the bytes that dropped clients of a group still hold.
func (b *Budget[K]) ending(group string) int64 {
	if group == anyGroup {
		return b.Ending
	}
	return b.EndingGroups[group]
}

func inScope(c *Client, group string) bool { return group == anyGroup || c.Group == group }

// weakest returns the client to drop. Groups above their share of the budget come first, and in them the clients that hold at least half of the mean or
// have stopped, so that neither a group nor a client with little pays for one with much. Of those the one with the least progress is dropped.
// The client with the given key counts with the bytes that it asks for.
func (b *Budget[K]) weakest(now time.Time, key K, size int64, group string) (victim K, ok bool) {
	share := b.Limits.Bytes / int64(max(len(b.Groups), 1))
	class := b.Clients[key].Class
	candidate := func(c *Client) bool { return inScope(c, group) && c.CanBeDropped() && !b.isKeptFrom(class, c) }
	above := func(c *Client) bool { return candidate(c) && b.Groups[c.Group] >= share }
	if victim, ok = b.weakestOf(now, key, size, above); ok {
		return victim, true
	}
	return b.weakestOf(now, key, size, candidate)
}

// isKeptFrom reports whether a client does not pay for a class: callers do not make the host drop operators and other hosts that hold little together.
func (b *Budget[K]) isKeptFrom(class Class, c *Client) bool {
	return class < ClassOperators && c.Class >= ClassOperators && b.Groups[c.Group] < b.Limits.Bytes/keptDenominator
}

func (b *Budget[K]) weakestOf(now time.Time, key K, size int64, isCandidate func(c *Client) bool) (victim K, ok bool) {
	holds := func(k K, c *Client) int64 {
		if k == key {
			return c.Held + size
		}
		return c.Held
	}
	var sum, count int64
	for k, c := range b.Clients {
		if isCandidate(c) {
			sum += holds(k, c)
			count++
		}
	}
	var weakest *Client
	for k, c := range b.Clients {
		pays := isCandidate(c) && (holds(k, c)*count*2 >= sum || c.hasStopped(now))
		if pays && (weakest == nil || isWeaker(now, c, weakest)) {
			victim, weakest = k, c
		}
	}
	return victim, weakest != nil
}

// isWeaker reports whether a client is dropped before another one: it makes less progress, or as much and is newer.
func isWeaker(now time.Time, c, other *Client) bool {
	standing, otherStanding := c.standing(now), other.standing(now)
	if standing != otherStanding {
		return standing < otherStanding
	}
	return c.PhaseSince.After(other.PhaseSince)
}

// weakestConnection returns the connection of a class to close for a new one: the one that has been idle for longest, or the one with the least progress
// if that is less than a new client has.
func (b *Budget[K]) weakestConnection(now time.Time, class Class) (victim K, ok bool) {
	var weakest *Client
	for k, c := range b.Clients {
		if c.Class == class && c.Connection && c.CanBeDropped() && (weakest == nil || isWeaker(now, c, weakest)) {
			victim, weakest = k, c
		}
	}
	return victim, weakest != nil && weakest.standing(now) < freshRate
}
