package prefixer

import (
	"math/bits"
	"time"

	"github.com/redwingpick/redwingpick/internal/hasher"
)

// denseLength is the number of parts up to which each prefix of a prompt is remembered.
const denseLength = 8

// Prefix identifies the first parts of a prompt, by a hash over their names.
type Prefix uint64

// Prefixes returns the prefixes of a prompt, the shortest first. The group separates prompts that share no cache, such as those of different adapters.
func Prefixes[T any](group string, parts []T, name func(T) string) []Prefix {
	prefixes := make([]Prefix, len(parts))
	hash := hasher.Key(group)
	for i, part := range parts {
		hash = hasher.Mix(hash ^ hasher.Key(name(part)))
		prefixes[i] = Prefix(hash)
	}
	return prefixes
}

// Cache holds the prefixes of the prompts that were sent to one server.
//
// Of a long prompt it remembers few prefixes, so that its memory grows with the number of prompts and not with that of their parts: the short ones,
// those whose length is a power of two, and the two longest ones. A conversation that goes on begins with the whole prompt of its last turn.
type Cache struct {
	// SentAt holds when a prompt with each prefix was last sent.
	SentAt   map[Prefix]time.Time
	PrunedAt time.Time
}

// Record records that a prompt with the given prefixes is sent.
func (c *Cache) Record(now time.Time, prefixes []Prefix) {
	if c.SentAt == nil {
		c.SentAt = map[Prefix]time.Time{}
	}
	for i, prefix := range prefixes {
		if length := i + 1; length <= denseLength || length >= len(prefixes)-1 || bits.OnesCount(uint(length)) == 1 {
			c.SentAt[prefix] = now
		}
	}
}

// Length returns the number of parts in the longest prefix that was sent within the given time. A prompt of which nothing was sent costs one look-up.
func (c *Cache) Length(now time.Time, prefixes []Prefix, ttl time.Duration) int {
	sent := func(length int) bool {
		at, ok := c.SentAt[prefixes[length-1]]
		return ok && now.Sub(at) <= ttl
	}
	// Each prompt that was sent has left its prefixes of these lengths.
	known, power := 0, 1
	for ; power <= len(prefixes) && sent(power); power *= 2 {
		known = power
	}
	if known == 0 {
		return 0
	}
	for length := min(power, len(prefixes)); length > known; length-- {
		if sent(length) {
			return length
		}
	}
	return known
}

// Prune forgets the prefixes that were not sent within the given time. It does so at most four times in that time.
func (c *Cache) Prune(now time.Time, ttl time.Duration) {
	if now.Sub(c.PrunedAt) < ttl/4 {
		return
	}
	c.PrunedAt = now
	for prefix, at := range c.SentAt {
		if now.Sub(at) > ttl {
			delete(c.SentAt, prefix)
		}
	}
}
