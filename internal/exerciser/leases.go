package exerciser

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// checkLeases checks, after a host has processed an event, that no other host holds a lease that it holds. A frozen host still counts as
// a holder until its lease expires.
func (s *Simulation[P]) checkLeases(h *Host) {
	var duplicates []string
	for backend, l := range h.State.Leases {
		if !s.holdsLease(h, backend) {
			continue
		}
		if l.HeldSince.Equal(s.Now) {
			s.hostAtAcquisition[[2]string{h.ID, backend}] = s.describeHost(h)
		}
		s.leaseHolders[backend] = s.currentHolders(h, backend)
		if len(s.leaseHolders[backend]) > 1 {
			duplicates = append(duplicates, backend)
		}
	}
	slices.Sort(duplicates)
	for _, backend := range duplicates {
		for _, other := range s.leaseHolders[backend][1:] {
			s.reportTwoHolders(backend, h, other)
		}
	}
}

// currentHolders returns a holder of a lease, followed by the previously recorded holders whose lease is still valid.
func (s *Simulation[P]) currentHolders(h *Host, backend string) []*Host {
	previous := s.leaseHolders[backend]
	if len(previous) == 1 && previous[0] == h {
		return previous
	}
	holders := []*Host{h}
	for _, other := range previous {
		if other != h && s.holdsLease(other, backend) {
			holders = append(holders, other)
		}
	}
	return holders
}

// holdsLease reports whether a running host holds a valid lease according to its own state.
func (s *Simulation[P]) holdsLease(h *Host, backend string) bool {
	l, ok := h.State.Leases[backend]
	return ok && h.Up && s.Now.Before(l.ValidUntil)
}

// reportTwoHolders reports two holders of one lease, once for each pair of processes and backend server.
func (s *Simulation[P]) reportTwoHolders(backend string, a, b *Host) {
	if a.ID > b.ID {
		a, b = b, a
	}
	key := fmt.Sprint(backend, a.ID, a.Incarnation, b.ID, b.Incarnation)
	s.reportOnce(key, "one_lease", fmt.Sprintf("%s: %s%s; %s%s", backend,
		s.describeHost(a), s.describeLease(a, backend), s.describeHost(b), s.describeLease(b, backend)))
}

// reportOnce reports a violation unless one with the same key has been reported.
func (s *Simulation[P]) reportOnce(key, rule, detail string) {
	if s.reportedKeys[key] {
		return
	}
	s.reportedKeys[key] = true
	s.Checker.addViolation(s.Now, rule, detail)
}

func (s *Simulation[P]) describeLease(h *Host, backend string) string {
	l := h.State.Leases[backend]
	return fmt.Sprintf(", acquired %v ago (then %s), expires in %v, term %d", roundMs(s.Now.Sub(l.HeldSince)),
		s.hostAtAcquisition[[2]string{h.ID, backend}], roundMs(l.ValidUntil.Sub(s.Now)), l.Term)
}

func roundMs(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

// describeHost describes a host's uptime, the number of hosts in its records and its number of voters.
func (s *Simulation[P]) describeHost(h *Host) string {
	text := fmt.Sprintf("%s up %v, knows %d of %d, has %d voters", h.ID, roundMs(s.Now.Sub(h.StartedAt)),
		len(h.State.Hosts), len(s.Hosts)-1, len(h.State.Index.Voters))
	if !h.Up {
		text += ", down"
	}
	if h.Frozen {
		text += ", frozen"
	}
	return text
}

// describeHosts describes several hosts.
func (s *Simulation[P]) describeHosts(ids []string) string {
	var texts []string
	for _, id := range ids {
		texts = append(texts, s.describeHost(s.host(id)))
	}
	return strings.Join(texts, "; ")
}
