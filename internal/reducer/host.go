package reducer

import (
	"slices"
	"time"

	"github.com/redwingpick/redwingpick/internal/hasher"
)

// suspectAfter returns how long a host may go without a heartbeat before it counts as unreachable.
func (s *State) suspectAfter() time.Duration {
	fraction := suspectFraction
	if len(s.Hosts) >= smallFleet {
		fraction = suspectFractionLarge
	}
	return time.Duration(float64(s.Limits.HostTimeout) * fraction)
}

// active reports whether a host is reachable and not draining; this host is active unless it drains.
func (s *State) active(now time.Time, id string) bool {
	if id == s.Self.HostID {
		return !s.Draining.Active
	}
	h, ok := s.Hosts[id]
	return ok && !h.Record.Draining && now.Sub(h.LastHeartbeatAt) < s.suspectAfter()
}

// selectHosts returns the IDs of the hosts, this one included, for which match reports true, sorted.
func (s *State) selectHosts(match func(id string) bool) []string {
	var ids []string
	for id := range s.Hosts {
		if match(id) {
			ids = append(ids, id)
		}
	}
	if match(s.Self.HostID) {
		ids = append(ids, s.Self.HostID)
	}
	slices.Sort(ids)
	return ids
}

// rankHosts returns up to count of the hosts by their rendezvous rank for a key.
func rankHosts(key string, ids []string, count int) []string {
	names := make([]hasher.Name, len(ids))
	for i, id := range ids {
		names[i] = hasher.NewName(id)
	}
	return hasher.Top(hasher.Key(key), names, count)
}

// selfRecord returns this host's own record.
func (s *State) selfRecord(now time.Time) HostRecord {
	record := HostRecord{
		ID: s.Self.HostID, Incarnation: s.Self.Incarnation, Heartbeat: s.Gossip.Heartbeat, Address: s.Self.Address,
		PeerAddress: s.Self.PeerAddress, FailureDomain: s.Self.FailureDomain, Ready: s.Ready, Draining: s.Draining.Active,
		Voter: s.Membership.Voter, PromotionIn: max(s.Membership.PromoteAt.Sub(now), 0),
	}
	record.ChangedAtHeartbeat, record.Datagrams = s.Gossip.RecordChangedHeartbeat, true
	record.CapacityMillicores = s.Self.CapacityMillicores
	if s.votersKnown() {
		record.Term = s.currentTerm(now)
	}
	for id, l := range s.Leases {
		if now.Before(l.ValidUntil) {
			record.Leases = append(record.Leases, id)
		}
	}
	slices.Sort(record.Leases)
	return record
}

// receiveHostRecord applies the record of a host if it is newer than the known one; an older record can still make the host a voter.
func receiveHostRecord(s *State, now time.Time, r HostRecord) {
	s.advanceTerm(now, r.Term)
	if r.ID == s.Self.HostID {
		advanceIncarnation(s, r)
		if r.Voter {
			becomeVoter(s, now)
		}
		return
	}
	h, known := s.Hosts[r.ID]
	if !known && r.HeartbeatAge > rejoinAge {
		return
	}
	if !known {
		h = &Host{}
		s.Hosts[r.ID] = h
		s.Membership.HostDiscoveredAt = now
		s.logEvent(EventHostJoined, Field{"peer", r.ID}, Field{"address", r.PeerAddress})
	}
	if known && !r.newerThan(h.Record) {
		s.mergeVoter(now, h, r)
		return
	}
	heartbeat, lastHeartbeatAt := r.Heartbeat, now.Add(-r.HeartbeatAge)
	if r.Incarnation == h.Record.Incarnation && h.Record.Heartbeat > heartbeat {
		// A heartbeat table has brought a later heartbeat ahead of the change of the record.
		heartbeat, lastHeartbeatAt = h.Record.Heartbeat, h.LastHeartbeatAt
	}
	r.Voter = r.Voter && r.Incarnation > h.EvictedIncarnation || h.Record.Voter
	s.invalidateHostIndex()
	s.recordHolders(r)
	if h.Record.Incarnation != r.Incarnation {
		delete(s.Index.Incarnations, h.Record.Incarnation)
		s.Index.Incarnations[r.Incarnation] = r.ID
	}
	if h.Record.FailureDomain != r.FailureDomain || h.Record.CapacityMillicores != r.CapacityMillicores {
		s.Index.DirectedVoters = nil
	}
	if !h.Record.sameContent(r) {
		h.ChangedAt = now
	}
	h.PromoteAt = time.Time{}
	if r.PromotionIn > 0 {
		h.PromoteAt = now.Add(r.PromotionIn)
	}
	if !known || !s.reachable(now, r.ID) || h.Record.Incarnation != r.Incarnation {
		h.ReachableSince = now
	}
	moved := h.Record.PeerAddress != r.PeerAddress
	h.Record = r
	h.Record.Heartbeat, h.LastHeartbeatAt = heartbeat, lastHeartbeatAt
	if moved {
		dropReplacedHosts(s, r)
	}
}

// rejoinAge is the age of the last heartbeat from which the record of an unknown host is not added: the host is about to be dropped.
const rejoinAge = tombstoneTTL * 9 / 10

// newerThan reports whether a record of a host supersedes another one of the same host: by its incarnation, by the heartbeat of its last
// change, or else by its heartbeat. An older build states no heartbeat of its last change.
func (r HostRecord) newerThan(other HostRecord) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	if r.ChangedAtHeartbeat != other.ChangedAtHeartbeat {
		return r.ChangedAtHeartbeat > other.ChangedAtHeartbeat
	}
	return r.Heartbeat > other.Heartbeat
}

// mergeVoter makes a host a voter if an older record of the host says that it is one, unless this host has evicted that incarnation.
func (s *State) mergeVoter(now time.Time, h *Host, r HostRecord) {
	if !r.Voter || h.Record.Voter || r.Incarnation <= h.EvictedIncarnation {
		return
	}
	s.addVoter(now, h)
}

// sameContent reports whether two records of a host agree in everything but heartbeat, ages and term.
func (r HostRecord) sameContent(other HostRecord) bool {
	return r.Incarnation == other.Incarnation && r.Ready == other.Ready && r.Draining == other.Draining &&
		r.Voter == other.Voter && (r.PromotionIn > 0) == (other.PromotionIn > 0) &&
		r.PeerAddress == other.PeerAddress && r.Address == other.Address && slices.Equal(r.Leases, other.Leases)
}

// receiveHeartbeats applies newer heartbeats of hosts whose records are known.
func receiveHeartbeats(s *State, now time.Time, m Heartbeats) {
	for _, b := range m.Hosts {
		h, ok := s.Hosts[s.Index.Incarnations[b.Incarnation]]
		if !ok || h.Record.Incarnation != b.Incarnation || b.Heartbeat <= h.Record.Heartbeat {
			continue
		}
		s.recordHeartbeat(now, h, b.Heartbeat, b.HeartbeatAge)
	}
}

// incarnationBits is the number of low bits of an incarnation that hold a hash of the host ID.
const incarnationBits = 20

// NewIncarnation returns an incarnation that differs from those of other hosts and grows with the time of day.
func NewIncarnation(host string, at time.Time) uint64 {
	return uint64(at.UnixNano())>>incarnationBits<<incarnationBits | hasher.Key(host)&(1<<incarnationBits-1)
}

// advanceIncarnation raises the incarnation of this host above that of an earlier process of the same host.
func advanceIncarnation(s *State, r HostRecord) {
	if r.Incarnation > s.Self.Incarnation {
		s.Self.Incarnation = r.Incarnation + 1<<incarnationBits
	}
}

// dropReplacedHosts keeps, of the hosts with the peer address of a record, only the one that started last, and drops the others.
func dropReplacedHosts(s *State, r HostRecord) {
	for id, h := range s.Hosts {
		if id == r.ID || h.Record.PeerAddress != r.PeerAddress {
			continue
		}
		if h.Record.Incarnation > r.Incarnation {
			s.dropHost(r.ID, s.Hosts[r.ID])
			return
		}
		s.dropHost(id, h)
	}
}

func (s *State) dropHost(id string, h *Host) {
	delete(s.Hosts, id)
	delete(s.Index.Incarnations, h.Record.Incarnation)
	s.invalidateHostIndex()
}

// reachable reports whether a recent heartbeat of another host is known, also while that host drains.
func (s *State) reachable(now time.Time, id string) bool {
	h, ok := s.Hosts[id]
	return ok && now.Sub(h.LastHeartbeatAt) < s.suspectAfter()
}

// reachesAddress reports whether a reachable host has the given peer address.
func (s *State) reachesAddress(now time.Time, address string) bool {
	for id, h := range s.Hosts {
		if h.Record.PeerAddress == address && s.reachable(now, id) {
			return true
		}
	}
	return false
}

// pruneHosts logs hosts that became unreachable or reachable, evicts voters, and drops hosts that have been unreachable for tombstoneTTL.
func pruneHosts(s *State, now time.Time) {
	for _, id := range sortedKeys(s.Hosts) {
		h := s.Hosts[id]
		if unreachable := !s.reachable(now, id); unreachable != h.ReportedUnreachable {
			h.ReportedUnreachable = unreachable
			s.logReachability(now, id, h)
		}
		evictVoter(s, now, id, h)
		if now.Sub(h.LastHeartbeatAt) > tombstoneTTL && !h.Record.Voter {
			s.dropHost(id, h)
			s.logEvent(EventHostRemoved, Field{"peer", id})
		}
	}
}

// logReachability logs that a host has become unreachable, or reachable again.
func (s *State) logReachability(now time.Time, id string, h *Host) {
	number := EventHostRecovered
	if h.ReportedUnreachable {
		number = EventHostUnreachable
	}
	s.logEvent(number, Field{"peer", id}, ageField("heard_age_ms", now, h.LastHeartbeatAt), boolField("leaving", h.Record.Draining))
}

// updateReadiness notifies the executor when the host becomes ready or stops being ready.
func updateReadiness(s *State, now time.Time) {
	ready := !s.Draining.Active && s.Documents.Catalogue != nil && s.uptime(now) > readyAfter
	if ready == s.Ready {
		return
	}
	s.Ready = ready
	s.emit(SetReady{Ready: ready})
	s.logEvent(EventReadinessChanged, boolField("ready", ready))
}

// readyAfter is the time that a starting host takes to receive the entries of the backend servers.
const readyAfter = 500 * time.Millisecond
