package reducer

import (
	"slices"
	"strings"
	"time"

	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// minColdExtension is the least time by which the end of a cold start must move for it to count as another one: the entry of a server that is
// cold is published again with the time that is left, and read with a delay that varies by up to a watch of the configuration service.
const minColdExtension = 500 * time.Millisecond

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
	senders := s.senders(now, b)
	s.logEvent(EventColdStartBegan, Field{"backend_server", b.Info.ID}, Field{"service", b.Info.Service},
		Field{"failure_domain", b.Info.FailureDomain}, Field{"reason", reason}, msField("cold_ms", until.Sub(now)), msField("published_ms", b.Info.ColdRemaining),
		boolField("sender", slices.Contains(senders, s.Self.HostID)), Field{"senders", strings.Join(senders, ",")})
}

// coldEnd returns the end of the cold start that a document tells of; zero if it tells of none.
func coldEnd(now time.Time, d cataloguer.Document) time.Time {
	if d.Backend == nil || d.Backend.ColdRemaining <= 0 {
		return time.Time{}
	}
	return now.Add(d.Backend.ColdRemaining - d.Age)
}

// coldAgain reports whether the entry of a backend server tells of a cold start that other hosts have to learn of. It is compared with the one that
// was last passed on, and not with the former entry: while a cold start passes, its entry states less and less time, which is not passed on.
func coldAgain(now time.Time, item *Item, info cataloguer.Backend) bool {
	if !now.Before(item.ColdUntil) {
		return info.ColdRemaining > 0
	}
	return now.Add(info.ColdRemaining).Sub(item.ColdUntil) >= minColdExtension
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

// assumeDomainCold takes the backend servers of a failure domain, whose withdrawal ended at the given time, for cold: they may have become cold while they got
// no requests, and publish it up to a heartbeat later, while the end of the withdrawal takes effect at once.
func assumeDomainCold(s *State, now, ended time.Time, domain string) {
	for _, id := range sortedKeys(s.Backends) {
		b := s.Backends[id]
		if b.Info.FailureDomain != domain {
			continue
		}
		former := s.coldUntil(b, s.Documents.Services[b.Info.Service])
		b.ColdAssumedAt = later(b.ColdAssumedAt, ended)
		s.noteColdStart(now, b, former, coldDomainReturned)
	}
}
