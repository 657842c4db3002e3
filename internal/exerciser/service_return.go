package exerciser

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/redwingpick/redwingpick/internal/modeler"
	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// serviceReturn is the last return of the configuration service from an older copy.
type serviceReturn struct {
	// At is when the service came back; zero for never.
	At time.Time
	// WrittenBy is when the operators have written their lost changes again, and SettledBy when all lost changes are written again and the entries
	// of servers that have ended have expired.
	WrittenBy time.Time
	SettledBy time.Time
	// Unwritten holds the operators' lost changes that are not written again yet.
	Unwritten []cataloguer.Document
}

// settleBound is the time, from SettledBy of a return, within which all hosts hold what the configuration service holds.
const settleBound = 2 * time.Second

// seenDocuments is what a process of a host has held: the start times of the servers that it has known as draining or removed, and the failure
// domains that it has known as withdrawn.
type seenDocuments struct {
	leaving   map[string]int64
	withdrawn map[string]bool
}

// ReturnFromCopy makes the configuration service unavailable for a time and brings it back from a copy. The operators and the backend servers then
// write the lost changes again, as the users' platform says, and entries of servers that have ended expire.
func (s *Simulation[P]) ReturnFromCopy(saved modeler.ConfigService, downtime time.Duration) {
	s.logFault("the configuration service is down for %v and returns from a copy of revision %d", downtime, saved.Revision)
	s.configServiceDown = true
	s.Return.WrittenBy = later(s.Return.WrittenBy, s.Now.Add(downtime))
	s.recordFaultOnAll()
	s.after(downtime, func() { s.restoreConfigService(saved) })
}

func (s *Simulation[P]) restoreConfigService(saved modeler.ConfigService) {
	s.configServiceDown = false
	s.recordFaultOnAll()
	lost := s.ConfigService.Restore(saved)
	s.Return.At = s.Now
	delay := s.RandomDuration(0, maxRewriteDelay)
	s.Return.WrittenBy = s.Now.Add(delay)
	s.Return.SettledBy = s.Return.WrittenBy
	s.logFault("the configuration service has returned with era %d and revision %d; %d changes are lost", s.ConfigService.Era, s.ConfigService.Revision, len(lost))
	s.rewriteOperatorItems(lost, delay)
	s.rewriteEntries(lost)
	at := s.Return.At
	s.after(s.Return.SettledBy.Add(settleBound).Sub(s.Now), func() {
		if s.Return.At.Equal(at) {
			s.checkDocuments(at)
		}
	})
}

// maxRewriteDelay is the longest time from a return until the operators write their lost changes again.
const maxRewriteDelay = 1500 * time.Millisecond

// rewriteOperatorItems writes the operators' lost changes again, in their order.
func (s *Simulation[P]) rewriteOperatorItems(lost []cataloguer.Document, delay time.Duration) {
	for _, d := range lost {
		if d.Kind != cataloguer.KindBackend {
			s.Return.Unwritten = append(s.Return.Unwritten, d)
		}
	}
	for _, d := range s.Return.Unwritten {
		if d.Kind == cataloguer.KindCatalogue {
			s.Traffic.cataloguePublishedAt[d.Catalogue.Version-1] = s.Return.WrittenBy
		}
	}
	at := s.Return.At
	s.after(delay, func() {
		if !s.Return.At.Equal(at) || s.configServiceDown {
			return
		}
		for _, d := range s.Return.Unwritten {
			s.ConfigService.Put(d)
		}
		s.Return.Unwritten = nil
	})
}

// rewriteEntries makes each running server whose last entry is lost publish it again within a heartbeat, and removes the entries of others. Hosts that
// have not known before that such a server leaves learn it then at the earliest.
func (s *Simulation[P]) rewriteEntries(lost []cataloguer.Document) {
	changed := map[string]bool{}
	for _, d := range lost {
		changed[d.Key] = true
	}
	for _, id := range slices.Sorted(maps.Keys(s.Backends)) {
		b, key := s.Backends[id], "backends/"+id
		startedUnixMs := b.Info.StartedUnixMs
		listed := func() bool { return b.Up && !b.unlisted && b.Info.StartedUnixMs == startedUnixMs }
		_, published := s.ConfigService.Items[key]
		switch {
		case listed() && changed[key]:
			delay := s.RandomDuration(0, heartbeatInterval)
			b.leaveAgainAt(s.Now.Add(delay))
			s.afterReturn(delay, func() {
				if listed() {
					s.publishBackend(b)
				}
			})
		case !listed() && published:
			b.leaveAgainAt(s.Now.Add(entryTTL))
			s.afterReturn(entryTTL, func() {
				if !listed() && (!b.Up || b.unlisted) {
					s.removeEntry(b)
				}
			})
		}
	}
}

// leaveAgainAt sets when a server that drains or has ended is published as that, if it is.
func (b *Backend) leaveAgainAt(at time.Time) {
	if !b.DrainingAt.IsZero() {
		b.DrainingAt = at
	}
}

// afterReturn runs a function some time after the last return of the configuration service, which is not settled before.
func (s *Simulation[P]) afterReturn(d time.Duration, run func()) {
	s.Return.SettledBy = later(s.Return.SettledBy, s.Now.Add(d))
	s.after(d, run)
}

// operatorWrite writes an operators' change: at once, or after the lost ones have been written again.
func (s *Simulation[P]) operatorWrite(write func()) {
	if wait := s.Return.WrittenBy.Sub(s.Now); wait > 0 || len(s.Return.Unwritten) > 0 || s.configServiceDown && !s.Return.WrittenBy.IsZero() {
		s.after(max(wait, 0)+tickInterval, func() { s.operatorWrite(write) })
		return
	}
	write()
}

// Withdraw withdraws a failure domain, or takes it back.
func (s *Simulation[P]) Withdraw(domain string, withdrawn bool) {
	s.operatorWrite(func() {
		s.logFault("%s is withdrawn: %v", domain, withdrawn)
		s.withdrawn[domain] = withdrawn
		key := "withdrawn/" + domain
		if withdrawn {
			s.ConfigService.Put(cataloguer.Document{Key: key, Kind: cataloguer.KindWithdrawnDomain, Name: domain, Raw: []byte(domain)})
			return
		}
		s.ConfigService.Remove(key)
	})
}

// DrainServer publishes that a backend server is draining, and stops it after the drain deadline.
func (s *Simulation[P]) DrainServer(b *Backend) {
	s.logFault("%s drains", b.Info.ID)
	s.drainBackend(b)
}

// checkDocuments checks that each host without a fault of its own after a time holds what the configuration service holds.
func (s *Simulation[P]) checkDocuments(faultsUntil time.Time) {
	for _, h := range s.Hosts {
		if !h.Up || h.Frozen || !s.configServiceReachable(h) || h.LastLocalFaultAt.After(faultsUntil) {
			continue
		}
		if missing := s.documentDifferences(h); len(missing) > 0 {
			s.Checker.addViolation(s.Now, "settled", fmt.Sprintf("%s, %v after the return: %s", h.ID, roundMs(s.Now.Sub(s.Return.At)), strings.Join(missing, ", ")))
		}
	}
}

// documentDifferences lists how what a host holds differs from what the configuration service holds.
func (s *Simulation[P]) documentDifferences(h *Host) (differences []string) {
	add := func(format string, values ...any) { differences = append(differences, fmt.Sprintf(format, values...)) }
	held := h.State.Documents
	withdrawn := map[string]bool{}
	for _, d := range s.ConfigService.List("") {
		switch d.Kind {
		case cataloguer.KindCatalogue:
			if held.Catalogue == nil || s.newerPublishedFor(held.Catalogue.Version) > settleBound {
				add("not catalogue %d", d.Catalogue.Version)
			}
		case cataloguer.KindBackend:
			b, ok := h.State.Backends[d.Name]
			if s.changedLately(d.Name) {
				continue
			}
			if !ok || !b.RemovedAt.IsZero() || b.Info.StartedUnixMs != d.Backend.StartedUnixMs || b.Info.Draining != d.Backend.Draining {
				add("not the entry of %s", d.Name)
			}
		case cataloguer.KindWithdrawnDomain:
			withdrawn[d.Name] = true
		}
	}
	for _, id := range slices.Sorted(maps.Keys(h.State.Backends)) {
		if _, ok := s.ConfigService.Items["backends/"+id]; !ok && !s.changedLately(id) && h.State.Backends[id].RemovedAt.IsZero() {
			add("%s is not removed", id)
		}
	}
	for i := range s.Options.Domains {
		if domain := s.domain(i); held.Withdrawn[domain] != withdrawn[domain] {
			add("%s withdrawn: %v", domain, held.Withdrawn[domain])
		}
	}
	return differences
}

// changedLately reports whether hosts may still not know the last change of a backend server's entry.
func (s *Simulation[P]) changedLately(id string) bool {
	return s.Now.Sub(s.Backends[id].EntryChangedAt) <= settleBound
}

// newerPublishedFor returns how long a newer catalogue than the given version has been published; 0 if there is none.
func (s *Simulation[P]) newerPublishedFor(version int64) time.Duration {
	if version >= s.Traffic.catalogueVersion {
		return 0
	}
	// Versions start at 1: the entry at the index of a version belongs to the next one.
	return s.Now.Sub(s.Traffic.cataloguePublishedAt[version])
}

// checkNothingUndone checks at each tick that no host returns to an older state which the users' platform writes again: a server that the host has
// known as draining or removed, a withdrawal that it has known, and one that has ended.
func (s *Simulation[P]) checkNothingUndone() {
	for _, h := range s.Hosts {
		if h.Up && !h.Frozen {
			s.checkServersUndone(h)
			s.checkWithdrawalsUndone(h)
		}
	}
	s.after(tickInterval, s.checkNothingUndone)
}

func (s *Simulation[P]) checkServersUndone(h *Host) {
	for id, b := range s.Backends {
		known, ok := h.State.Backends[id]
		leaving := !b.DrainingAt.IsZero()
		switch {
		case !leaving || ok && known.Info.StartedUnixMs != b.Info.StartedUnixMs:
		case !ok || !known.RemovedAt.IsZero() || known.Info.Draining:
			if ok {
				h.seen.leaving[id] = b.Info.StartedUnixMs
			}
		case h.seen.leaving[id] == b.Info.StartedUnixMs:
			s.reportOnce(fmt.Sprint("undone", h.ID, h.Incarnation, id, s.Return.At), "undone", h.ID+" uses "+id+" again, which drains or has ended")
		}
	}
}

// checkWithdrawalsUndone compares what a host holds with what it held before; a host that has not read anything yet holds nothing.
func (s *Simulation[P]) checkWithdrawalsUndone(h *Host) {
	if h.State.Documents.Catalogue == nil {
		return
	}
	for i := range s.Options.Domains {
		domain := s.domain(i)
		held := h.State.Documents.Withdrawn[domain]
		if was, known := h.seen.withdrawn[domain]; known && was == s.withdrawn[domain] && held != was {
			s.reportOnce(fmt.Sprint("undone", h.ID, h.Incarnation, domain, s.Return.At), "undone", fmt.Sprintf("%s has %s withdrawn %v again", h.ID, domain, held))
		}
		h.seen.withdrawn[domain] = held
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
