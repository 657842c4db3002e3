package reducer

import (
	"slices"
	"strings"
	"time"
)

// RateLimit is the limit that a backend server names in its responses, for all hosts together, as this host knows it.
type RateLimit struct {
	// PerSecond is the number of requests per second; 0 if the server names no limit.
	PerSecond float64
	// Sequence counts the changes of the limit at all hosts; 0 if the server has never named one.
	Sequence uint64
	// StatedAt is when a response last stated the limit, at any host, and ChangedAt when this host learned of the present one.
	StatedAt  time.Time
	ChangedAt time.Time
	// Unnamed counts the answers to this host since the last one that named the limit.
	Unnamed int
	// FaultLoggedAt is when a limit that is not valid was last logged.
	FaultLoggedAt time.Time
}

const (
	// rateLimitTTL is the time without a response that states the limit, at any host, after which a host gives it up for itself: the server may have
	// lifted it since, and its senders may have no requests for it.
	rateLimitTTL = time.Minute
	// liftingAnswers is the number of answers in a row, to one host, that must name no limit to lift it: a single one may come from a part of the
	// server that does not know the limit, and lifting it lets all hosts send.
	liftingAnswers = 2
	// liftedLimitTTL is how long hosts tell each other that a limit was lifted.
	liftedLimitTTL = 10 * time.Second
	// rateLimitFaultInterval is the least time between two log lines about invalid limits of one server.
	rateLimitFaultInterval = time.Minute
	// maxRateLimits bounds the servers in one message; with more of them, each message carries some at random.
	maxRateLimits = 32
)

// recordRateLimit applies what a response says about its server's rate limit.
func (s *State) recordRateLimit(now time.Time, b *Backend, n BackendNotice) {
	if n.RateLimitFault != "" {
		s.logRateLimitFault(now, b, n.RateLimitFault)
		return
	}
	limit := &b.RateLimit
	if n.RateLimit <= 0 && (!n.Answered || limit.Sequence == 0) {
		return
	}
	if n.RateLimit > 0 {
		limit.Unnamed = 0
	} else if limit.Unnamed++; limit.PerSecond > 0 && limit.Unnamed < liftingAnswers {
		return
	}
	limit.StatedAt = now
	if n.RateLimit == limit.PerSecond {
		return
	}
	s.changeRateLimit(now, b, n.RateLimit, limit.Sequence+1, "")
}

// logRateLimitFault logs a limit that is not valid; what this host knew before stays.
func (s *State) logRateLimitFault(now time.Time, b *Backend, fault string) {
	s.Counters.RateLimitFaults++
	if last := b.RateLimit.FaultLoggedAt; !last.IsZero() && now.Sub(last) < rateLimitFaultInterval {
		return
	}
	b.RateLimit.FaultLoggedAt = now
	s.logEvent(EventRateLimitIgnored, Field{"backend_server", b.Info.ID}, Field{"service", b.Info.Service}, Field{"fault", fault}, floatField("limit", b.RateLimit.PerSecond))
}

// changeRateLimit puts another limit of a backend server into effect; from is the host that told of it, empty if a response to this host did.
func (s *State) changeRateLimit(now time.Time, b *Backend, perSecond float64, sequence uint64, from string) {
	limit := &b.RateLimit
	former := limit.PerSecond
	limit.PerSecond, limit.Sequence, limit.ChangedAt = perSecond, sequence, now
	s.Limited[b.Info.ID] = true
	if perSecond > 0 {
		s.Throttled[b.Info.ID] = true
	}
	s.updateThrottle(now, b)
	s.Counters.RateLimitChanges++
	senders := s.senders(now, b)
	s.logEvent(EventRateLimitChanged, Field{"backend_server", b.Info.ID}, Field{"service", b.Info.Service}, floatField("limit", perSecond),
		floatField("limit_before", former), Field{"peer", from}, boolField("sender", slices.Contains(senders, s.Self.HostID)), Field{"senders", strings.Join(senders, ",")})
}

// tickRateLimits tells other hosts of changed limits without waiting for the next round of gossip, and gives up those that no response has
// stated for long.
func tickRateLimits(s *State, now time.Time) {
	changed := false
	for _, id := range sortedKeys(s.Limited) {
		b, ok := s.Backends[id]
		if !ok {
			delete(s.Limited, id)
			continue
		}
		limit := &b.RateLimit
		if limit.PerSecond > 0 && now.Sub(limit.StatedAt) > rateLimitTTL {
			// The number of changes stays: a host that has heard of no response for long must not overrule those that have.
			s.changeRateLimit(now, b, 0, limit.Sequence, "")
		}
		if limit.PerSecond == 0 && now.Sub(limit.ChangedAt) > liftedLimitTTL {
			delete(s.Limited, id)
			continue
		}
		changed = changed || limit.ChangedAt.After(s.LimitsSharedAt)
	}
	if !changed {
		return
	}
	s.LimitsSharedAt = now
	for _, id := range s.gossipTargets(now) {
		s.sendRateLimits(now, id)
	}
}

// sendRateLimits tells another host of the limits of backend servers, and of those that were lifted lately.
func (s *State) sendRateLimits(now time.Time, to string) {
	if len(s.Limited) == 0 {
		return
	}
	ids := sortedKeys(s.Limited)
	if len(ids) > maxRateLimits {
		shuffle(s, ids)
		ids = ids[:maxRateLimits]
	}
	m := RateLimits{}
	for _, id := range ids {
		if b, ok := s.Backends[id]; ok {
			m.Servers = append(m.Servers, ServerRateLimit{
				Backend: id, StartedUnixMs: b.Info.StartedUnixMs, PerSecond: b.RateLimit.PerSecond, Sequence: b.RateLimit.Sequence,
				Age: now.Sub(b.RateLimit.StatedAt),
			})
		}
	}
	s.send(to, m)
}

// receiveRateLimits applies the limits that another host knows.
func receiveRateLimits(s *State, now time.Time, from string, m RateLimits) {
	for _, told := range m.Servers {
		b, ok := s.Backends[told.Backend]
		if !ok || b.Info.StartedUnixMs != told.StartedUnixMs {
			continue
		}
		limit := &b.RateLimit
		if told.PerSecond > 0 && told.Age > rateLimitTTL {
			continue
		}
		if supersedes(told, limit) {
			s.changeRateLimit(now, b, told.PerSecond, told.Sequence, from)
		}
		if told.Sequence == limit.Sequence {
			limit.StatedAt = later(limit.StatedAt, now.Add(-told.Age))
		}
	}
}

// supersedes reports whether a limit that another host tells of takes the place of the known one: if it has changed more often. Two hosts that
// learn of a change at the same time give it the same number; the lower limit then holds, and a limit rather than none.
func supersedes(told ServerRateLimit, known *RateLimit) bool {
	if told.Sequence != known.Sequence {
		return told.Sequence > known.Sequence
	}
	return told.PerSecond > 0 && (known.PerSecond == 0 || told.PerSecond < known.PerSecond)
}
