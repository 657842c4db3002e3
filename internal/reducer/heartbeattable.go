package reducer

import (
	"math/bits"
	"slices"
	"time"

	"github.com/redwingpick/redwingpick/internal/hasher"
)

// Hosts tell each other the heartbeats of all hosts in two bytes a host: a table lists them in an order on which sender and receiver agree,
// and a digest of each group of hosts shows whether they do. Hosts whose digests of a group differ exchange the records of that group.
const (
	// heartbeatGroups is the number of groups in a table.
	heartbeatGroups = 32
	// maxRequestedGroups bounds the groups whose records one envelope requests.
	maxRequestedGroups = 4
	// ageUnitsPerTimeout is the number of units of age in the time after which a host counts as unreachable.
	ageUnitsPerTimeout = 200
	// unknownAge is the age of a heartbeat that is too old to be of use.
	unknownAge = 255
	// maxCounterLag is how far the counter of a receiver may be behind; with more, the low byte is ambiguous.
	maxCounterLag = 127
)

// HeartbeatTable carries the heartbeats of all hosts that the sender knows, without naming them.
type HeartbeatTable struct {
	AgeUnit time.Duration
	// Digests and Sizes hold the digest and the number of hosts of each group.
	Digests []uint32
	Sizes   []byte
	// Counters and Ages hold, group by group and for the hosts of a group in the order of their IDs, the low byte of the heartbeat counter
	// and the time since it last increased, in units and rounded up.
	Counters []byte
	Ages     []byte
	// Term is the sender's current term; 0 while it does not know the voter set.
	Term int64
}

// RecordRequest asks for the records of the hosts in some groups, given as a bit mask.
type RecordRequest struct {
	Groups uint32
}

// heartbeatGroup returns the group of a host.
func heartbeatGroup(id string) int { return int(hasher.Key(id) % heartbeatGroups) }

// indexGroups rebuilds the groups of hosts and their digests if a host was added or dropped, or a record has changed.
func (s *State) indexGroups() {
	if s.Index.GroupsIndexed {
		return
	}
	s.Index.GroupsIndexed = true
	s.Index.Groups = make([][]string, heartbeatGroups)
	s.Index.GroupDigests = make([]uint32, heartbeatGroups)
	for _, id := range s.selectHosts(func(string) bool { return true }) {
		g := heartbeatGroup(id)
		s.Index.Groups[g] = append(s.Index.Groups[g], id)
		s.Index.GroupDigests[g] = s.extendDigest(s.Index.GroupDigests[g], id)
	}
}

// extendDigest adds a host to the digest of its group. The digest covers what hosts must agree on: the incarnation, the last change that the
// host has made to its own record, and whether it is a voter, which others may decide too.
func (s *State) extendDigest(digest uint32, id string) uint32 {
	incarnation, changed, voter := s.Self.Incarnation, s.Gossip.RecordChangedHeartbeat, s.Membership.Voter
	if h, ok := s.Hosts[id]; ok {
		incarnation, changed, voter = h.Record.Incarnation, h.Record.ChangedAtHeartbeat, h.Record.Voter
	}
	mixed := hasher.Mix(uint64(digest) ^ incarnation ^ hasher.Mix(changed))
	if voter {
		mixed = hasher.Mix(mixed)
	}
	return uint32(mixed)
}

// heartbeatTable returns the table of all hosts.
func (s *State) heartbeatTable(now time.Time) HeartbeatTable {
	s.indexGroups()
	table := HeartbeatTable{
		AgeUnit: s.suspectAfter() / ageUnitsPerTimeout, Digests: slices.Clone(s.Index.GroupDigests),
		Counters: make([]byte, 0, len(s.Hosts)+1), Ages: make([]byte, 0, len(s.Hosts)+1),
	}
	if s.votersKnown() {
		table.Term = s.currentTerm(now)
	}
	for _, group := range s.Index.Groups {
		table.Sizes = append(table.Sizes, byte(len(group)))
		for _, id := range group {
			counter, age := s.Gossip.Heartbeat, time.Duration(0)
			if h, ok := s.Hosts[id]; ok {
				counter, age = h.Record.Heartbeat, now.Sub(h.LastHeartbeatAt)
			}
			table.Counters = append(table.Counters, byte(counter))
			table.Ages = append(table.Ages, encodeAge(age, table.AgeUnit))
		}
	}
	return table
}

// encodeAge returns an age in units, rounded up so that an age does not shrink on its way through several hosts.
func encodeAge(age, unit time.Duration) byte {
	if unit <= 0 {
		return unknownAge
	}
	return byte(min((max(age, 0)+unit-1)/unit, unknownAge))
}

// receiveHeartbeatTable applies the heartbeats of the groups on which this host and the sender agree, and exchanges the records of some of
// the others.
func receiveHeartbeatTable(s *State, now time.Time, from string, m HeartbeatTable) {
	s.advanceTerm(now, m.Term)
	s.indexGroups()
	if len(m.Digests) != heartbeatGroups || len(m.Sizes) != heartbeatGroups || len(m.Counters) != len(m.Ages) {
		return
	}
	at, differing := 0, uint32(0)
	for g, group := range s.Index.Groups {
		size := int(m.Sizes[g])
		if m.Digests[g] != s.Index.GroupDigests[g] {
			differing |= 1 << g
		} else if size == len(group) && at+size <= len(m.Counters) {
			s.applyHeartbeats(now, group, m.Counters[at:at+size], m.Ages[at:at+size], m.AgeUnit)
		}
		at += size
	}
	if differing != 0 {
		exchangeRecords(s, now, from, differing)
	}
}

// applyHeartbeats applies the heartbeats of one group.
func (s *State) applyHeartbeats(now time.Time, group []string, counters, ages []byte, unit time.Duration) {
	for i, id := range group {
		h, ok := s.Hosts[id]
		if !ok || ages[i] == unknownAge {
			continue
		}
		lead := counters[i] - byte(h.Record.Heartbeat)
		if lead == 0 || lead > maxCounterLag {
			continue
		}
		s.recordHeartbeat(now, h, h.Record.Heartbeat+uint64(lead), time.Duration(ages[i])*unit)
	}
}

// recordHeartbeat records a newer heartbeat of a host.
func (s *State) recordHeartbeat(now time.Time, h *Host, counter uint64, age time.Duration) {
	unreachable := !s.reachable(now, h.Record.ID)
	h.Record.Heartbeat = counter
	h.LastHeartbeatAt = now.Add(-age)
	if unreachable {
		h.ReachableSince = now
		s.invalidateHostIndex()
	}
}

// exchangeRecords sends a host this host's records of some groups, and requests those of the host.
func exchangeRecords(s *State, now time.Time, with string, groups uint32) {
	// Starting at a random group keeps one group that cannot be settled from hiding the others.
	shift := int(s.random() % heartbeatGroups)
	request := uint32(0)
	for left := bits.RotateLeft32(groups, -shift); left != 0 && bits.OnesCount32(request) < maxRequestedGroups; left &= left - 1 {
		request |= 1 << ((bits.TrailingZeros32(left) + shift) % heartbeatGroups)
	}
	s.send(with, RecordRequest{Groups: request})
	sendRecords(s, now, with, request)
}

// sendRecords sends a host the records of some groups.
func sendRecords(s *State, now time.Time, to string, groups uint32) {
	s.indexGroups()
	for g, group := range s.Index.Groups {
		if groups&(1<<g) == 0 {
			continue
		}
		for _, id := range group {
			if id == s.Self.HostID {
				s.send(to, s.selfRecord(now))
				continue
			}
			s.send(to, s.recordOf(now, id))
		}
	}
}

// recordOf returns the record of another host as this host sends it.
func (s *State) recordOf(now time.Time, id string) HostRecord {
	h := s.Hosts[id]
	r := h.Record
	r.HeartbeatAge = now.Sub(h.LastHeartbeatAt)
	r.PromotionIn = max(h.PromoteAt.Sub(now), 0)
	return r
}
