package reducer

import (
	"slices"
	"strings"
	"time"

	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// minColdExtension is the least time by which the end of a cold start must move for it to count as another one: the entry of a server that is
// cold is published again with the time that is left, and read with a varying delay.
const minColdExtension = time.Second

// Reasons in the log for which this host takes a backend server for cold.
const (
	coldJoined         = "joined"
	coldPublished      = "published"
	coldDomainReturned = "domain_returned"
)

// recordColdStart applies what the published entry of a backend server says about its cold start.
func (s *State) recordColdStart(now time.Time, b *Backend) {
	former, reason := b.ColdUntil, coldPublished
	if b.FirstSeenAt.Equal(now) {
		reason = coldJoined
	} else {
		former = s.coldUntil(b, s.Documents.Services[b.Info.Service])
	}
	if b.Info.ColdRemaining > 0 {
		b.ColdUntil = later(b.ColdUntil, now.Add(b.Info.ColdRemaining))
	}
	s.noteColdStart(now, b, former, reason)
}

// noteColdStart makes the bound of a cold backend server take effect, and logs that this host takes the server for cold, if that is so for longer
// than it did before.
func (s *State) noteColdStart(now time.Time, b *Backend, former time.Time, reason string) {
	service := s.Documents.Services[b.Info.Service]
	until := s.coldUntil(b, service)
	if service.ColdRate <= 0 || !now.Before(until) {
		return
	}
	s.Throttled[b.Info.ID] = true
	if until.Sub(later(former, now)) < minColdExtension {
		return
	}
	senders := s.sendersOf(now, b, s.coldDivision(now, b))
	s.logEvent(EventColdStartBegan, Field{"backend_server", b.Info.ID}, Field{"failure_domain", b.Info.FailureDomain}, Field{"reason", reason},
		msField("cold_ms", until.Sub(now)), msField("published_ms", b.Info.ColdRemaining),
		boolField("sender", slices.Contains(senders, s.Self.HostID)), Field{"senders", strings.Join(senders, ",")})
}

// coldAgain reports whether the entry of a backend server tells of a cold start that other hosts have to learn of. It is compared with the end of
// the cold start that all hosts know, and not with the former entry: while a cold start passes, its entry states less and less time, which is
// not passed on.
func (s *State) coldAgain(now time.Time, info cataloguer.Backend) bool {
	b, ok := s.Backends[info.ID]
	if !ok || !now.Before(b.ColdUntil) {
		return info.ColdRemaining > 0
	}
	return now.Add(info.ColdRemaining).Sub(b.ColdUntil) >= minColdExtension
}

// coldUntil returns the end of a backend server's cold start: the published end, and at least the service's cold duration after this host had
// to take the server for cold.
func (s *State) coldUntil(b *Backend, service cataloguer.Service) time.Time {
	if b.ColdAssumedAt.IsZero() {
		return b.ColdUntil
	}
	return later(b.ColdUntil, b.ColdAssumedAt.Add(service.ColdDuration))
}

// assumeNewCold takes a backend server for cold that this host has not seen before, unless that is in this host's own start.
func (s *State) assumeNewCold(now time.Time, b *Backend) {
	if now.Sub(s.Self.StartedAt) >= readyAfter*4 {
		b.ColdAssumedAt = now
	}
}

// assumeDomainCold takes the backend servers of a failure domain that is no longer withdrawn for cold: they may have become cold while they got
// no requests, and publish it up to a heartbeat later, while the end of the withdrawal takes effect at once. An entry that says already that the
// server is cold needs no such assumption.
func assumeDomainCold(s *State, now time.Time, domain string) {
	for _, id := range sortedKeys(s.Backends) {
		b := s.Backends[id]
		if b.Info.FailureDomain != domain || now.Before(b.ColdUntil) {
			continue
		}
		former := s.coldUntil(b, s.Documents.Services[b.Info.Service])
		b.ColdAssumedAt = now
		s.noteColdStart(now, b, former, coldDomainReturned)
	}
}
