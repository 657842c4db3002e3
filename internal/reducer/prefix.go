package reducer

import (
	"time"

	"github.com/redwingpick/redwingpick/internal/hasher"
	"github.com/redwingpick/redwingpick/internal/placer"
)

// prefillTime returns the time that an engine takes for prompt tokens, at a rate in tokens per second.
func prefillTime(tokens int, rate float64) time.Duration {
	return time.Duration(float64(tokens) / rate * float64(time.Second))
}

// ownTokens returns the prompt tokens of a request that it shares with no other. The other parts may be cached without this host's knowledge,
// because another host has sent them.
func (r *Request) ownTokens() int {
	tokens := r.PromptTokens
	for _, part := range r.Parts[:max(len(r.Parts)-1, 0)] {
		tokens -= part.Tokens
	}
	return max(tokens, 0)
}

// sharedPrefix returns the hash of the prompt parts up to the largest one that a request shares with others, and false if there is none.
func (r *Request) sharedPrefix() (uint64, bool) {
	largest := -1
	for i, part := range r.Parts[:max(len(r.Parts)-1, 0)] {
		if largest < 0 || part.Tokens > r.Parts[largest].Tokens {
			largest = i
		}
	}
	if largest < 0 {
		return 0, false
	}
	hash := hasher.Key(r.Adapter.Model + "/" + r.Adapter.Adapter)
	for _, part := range r.Parts[:largest+1] {
		hash = hasher.Mix(hash ^ hasher.Key(part.ID))
	}
	return hash, true
}

// prefixHomes returns which replicas get the requests that share the prompt prefix of a request; nil if it shares none.
func (s *State) prefixHomes(now time.Time, r *Request, replicas []*Backend) []bool {
	hash, ok := r.sharedPrefix()
	if !ok {
		return nil
	}
	ids := make([]string, len(replicas))
	for i, b := range replicas {
		ids[i] = b.Info.ID
	}
	return placer.Homes(hash, ids, s.Places.Prefixes.HomeCount(now, r.Adapter, hash, len(ids)))
}
