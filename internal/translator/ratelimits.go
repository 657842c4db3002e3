package translator

import (
	"time"

	"github.com/redwingpick/redwingpick/internal/reducer"
	peerv1 "github.com/redwingpick/redwingpick/internal/wire/redwingpick/peer/v1"
)

// maxRateLimitAge is the largest age of a rate limit in a message, far above the time for which a backend server runs; a larger one counts as
// it.
const maxRateLimitAge = 10 * 365 * 24 * time.Hour

func encodeRateLimits(m reducer.RateLimits) *peerv1.RateLimits {
	w := &peerv1.RateLimits{}
	for _, s := range m.Servers {
		w.Servers = append(w.Servers, &peerv1.ServerRateLimit{
			Backend: s.Backend, StartedUnixMs: s.StartedUnixMs, PerSecond: s.PerSecond, Sequence: s.Sequence,
			AgeUs: uint64(max(s.Age.Microseconds(), 0)),
		})
	}
	return w
}

// decodeRateLimits decodes rate limits. It drops a server whose limit is out of range, since that is neither a limit nor the end of one.
func decodeRateLimits(w *peerv1.RateLimits) reducer.RateLimits {
	m := reducer.RateLimits{}
	for _, s := range w.GetServers()[:min(len(w.GetServers()), reducer.MaxRateLimitsTold)] {
		if !(s.GetPerSecond() >= 0 && s.GetPerSecond() <= reducer.MaxRateLimit) {
			continue
		}
		m.Servers = append(m.Servers, reducer.ServerRateLimit{
			Backend: s.GetBackend(), StartedUnixMs: s.GetStartedUnixMs(), PerSecond: s.GetPerSecond(), Sequence: s.GetSequence(),
			Age: microseconds(int64(min(s.GetAgeUs(), uint64(maxRateLimitAge.Microseconds())))),
		})
	}
	return m
}
