package reducer

import (
	"cmp"
	"slices"
	"time"

	"github.com/redwingpick/redwingpick/internal/hasher"
)

// Bounds of the responses of the directory.
const (
	// maxDirectoryAddresses is the most addresses in one response, and maxDirectoryTTL the longest time for which callers keep it.
	maxDirectoryAddresses = 64
	maxDirectoryTTL       = 2 * time.Second
	// smallDirectory is the number of hosts up to which the directory names all hosts to all callers.
	smallDirectory = 16
	// minNamedHosts is the least number of hosts that the callers of one failure domain are directed to: all of them rarely fail together, and
	// callers use the others until the directory stops naming those that failed.
	minNamedHosts = 8
	// namedCapacityDivisor is the divisor of a failure domain's capacity that gives the least capacity of the hosts that are named to its
	// callers. Few hosts with many requests each reuse connections to backend servers and know more of their load than many with few.
	namedCapacityDivisor = 3
	// unknownCapacity is the capacity, in thousandths of a core, of a host that does not state its own.
	unknownCapacity = 200
)

// locate replies with the addresses of the hosts that a caller may use: in a large fleet the larger hosts of the caller's failure domain.
func locate(s *State, now time.Time, e LocateRequested) {
	resp := LocateResponse{ReplyID: e.ReplyID, TTL: min(s.Limits.DirectoryTTL, maxDirectoryTTL)}
	ready := s.readyHosts(now)
	if len(ready) > smallDirectory {
		ready = nameHosts(ready, e.FailureDomain)
	}
	for _, h := range ready {
		resp.Addresses = append(resp.Addresses, h.Address)
	}
	if len(resp.Addresses) > maxDirectoryAddresses {
		shuffle(s, resp.Addresses)
		resp.Addresses = resp.Addresses[:maxDirectoryAddresses]
	}
	s.emit(resp)
}

// readyHosts returns the records of the active hosts that are ready for callers, sorted by ID.
func (s *State) readyHosts(now time.Time) []HostRecord {
	var ready []HostRecord
	for _, id := range s.activeHosts(now) {
		record := HostRecord{}
		if id == s.Self.HostID {
			record = s.selfRecord(now)
		} else {
			record = s.Hosts[id].Record
		}
		if record.Ready {
			ready = append(ready, record)
		}
	}
	return ready
}

// nameHosts returns the hosts that the callers of a failure domain are directed to: those of the domain first, and the larger ones first,
// until they have their part of an average domain's capacity. All hosts that know the same fleet choose the same ones.
func nameHosts(ready []HostRecord, domain string) []HostRecord {
	total, domains := 0, map[string]bool{}
	for _, h := range ready {
		total += h.capacity()
		domains[h.FailureDomain] = true
	}
	needed := total / len(domains) / namedCapacityDivisor
	key := hasher.Key("directory/" + domain)
	ranked := slices.Clone(ready)
	slices.SortStableFunc(ranked, func(a, b HostRecord) int {
		return cmp.Or(
			compareBool(b.FailureDomain == domain, a.FailureDomain == domain),
			cmp.Compare(b.capacity(), a.capacity()),
			cmp.Compare(hasher.Score(key, hasher.NewName(b.ID)), hasher.Score(key, hasher.NewName(a.ID))),
		)
	})
	named, capacity := 0, 0
	for named < len(ranked) && (named < minNamedHosts || capacity < needed) {
		capacity += ranked[named].capacity()
		named++
	}
	return ranked[:named]
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// capacity returns the processor capacity of a host in thousandths of a core.
func (r HostRecord) capacity() int {
	if r.CapacityMillicores <= 0 {
		return unknownCapacity
	}
	return r.CapacityMillicores
}
