package reducer

import (
	"slices"
	"time"

	"github.com/redwingpick/redwingpick/internal/hasher"
)

// suspectAfter is how long a host may be silent before it is not used.
func (s *State) suspectAfter() time.Duration {
	share := suspectShare
	if len(s.Hosts) >= smallFleet {
		share = suspectShareLarge
	}
	return time.Duration(float64(s.Limits.ContactFor) * share)
}

// alive reports whether a host is heard of and not leaving; this host always is unless it leaves.
func (s *State) alive(now time.Time, id string) bool {
	if id == s.Self.HostID {
		return !s.Draining.Active
	}
	h, ok := s.Hosts[id]
	return ok && !h.Record.Leaving && now.Sub(h.HeardAt) < s.suspectAfter()
}

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

// selfRecord is what this host tells of itself.
func (s *State) selfRecord(now time.Time) HostRecord {
	record := HostRecord{
		ID: s.Self.HostID, Incarnation: s.Self.Incarnation, Beat: s.Gossip.Beat, Address: s.Self.Address,
		PeerAddress: s.Self.PeerAddress, FailureDomain: s.Self.FailureDomain, Ready: s.Ready, Leaving: s.Draining.Active,
		Seated: s.Roster.Seated, SeatIn: max(s.Roster.SeatAt.Sub(now), 0),
	}
	if s.settled() {
		record.Term = s.firstTerm(now)
	}
	for id, r := range s.Rights {
		if now.Before(r.ValidUntil) {
			record.Holds = append(record.Holds, id)
		}
	}
	slices.Sort(record.Holds)
	return record
}

// learnHost takes a record of a host if it is newer than what is known.
func learnHost(s *State, now time.Time, r HostRecord) {
	s.followClock(now, r.Term)
	if r.ID == s.Self.HostID {
		outliveFormer(s, r)
		if r.Seated {
			takeSeat(s, now)
		}
		return
	}
	h, known := s.Hosts[r.ID]
	if !known {
		h = &Host{}
		s.Hosts[r.ID] = h
		s.Roster.JoinedAt = now
		s.note(EventHostJoined, Field{"peer", r.ID}, Field{"address", r.PeerAddress})
	}
	if known && (r.Incarnation < h.Record.Incarnation || r.Incarnation == h.Record.Incarnation && r.Beat <= h.Record.Beat) {
		s.learnSeat(now, h, r)
		return
	}
	r.Seated = r.Seated && r.Incarnation > h.Lapsed || h.Record.Seated
	s.hostsChanged()
	s.noteHolds(r)
	if h.Record.Incarnation != r.Incarnation {
		delete(s.Index.Incarnations, h.Record.Incarnation)
		s.Index.Incarnations[r.Incarnation] = r.ID
	}
	if !h.Record.tellsTheSame(r) {
		h.ChangedAt = now
	}
	h.SeatAt = time.Time{}
	if r.SeatIn > 0 {
		h.SeatAt = now.Add(r.SeatIn)
	}
	moved := h.Record.PeerAddress != r.PeerAddress
	h.Record = r
	h.HeardAt = now.Add(-r.SilentFor)
	if moved {
		dropNamesakes(s, r)
	}
}

// learnSeat takes from an old record of a host that it has a seat.
func (s *State) learnSeat(now time.Time, h *Host, r HostRecord) {
	if !r.Seated || h.Record.Seated || r.Incarnation <= h.Lapsed {
		return
	}
	s.giveSeat(now, h)
}

// tellsTheSame reports whether two records of a host differ in their beats alone.
func (r HostRecord) tellsTheSame(other HostRecord) bool {
	return r.Incarnation == other.Incarnation && r.Ready == other.Ready && r.Leaving == other.Leaving &&
		r.Seated == other.Seated && (r.SeatIn > 0) == (other.SeatIn > 0) &&
		r.PeerAddress == other.PeerAddress && r.Address == other.Address && slices.Equal(r.Holds, other.Holds)
}

// learnBeats takes newer signs of life of hosts whose records are known.
func learnBeats(s *State, now time.Time, m HostBeats) {
	for _, b := range m.Beats {
		h, ok := s.Hosts[s.Index.Incarnations[b.Incarnation]]
		if !ok || h.Record.Incarnation != b.Incarnation || b.Beat <= h.Record.Beat {
			continue
		}
		silent := !s.reachable(now, h.Record.ID)
		h.Record.Beat = b.Beat
		h.HeardAt = now.Add(-b.SilentFor)
		if silent {
			s.hostsChanged()
		}
	}
}

// incarnationBits is the part of an incarnation that tells hosts apart.
const incarnationBits = 20

// NewIncarnation returns an incarnation that no other host has, and that grows with the time of day.
func NewIncarnation(host string, at time.Time) uint64 {
	return uint64(at.UnixNano())>>incarnationBits<<incarnationBits | hasher.Key(host)&(1<<incarnationBits-1)
}

// outliveFormer makes this incarnation newer than one of the same host that ran before.
func outliveFormer(s *State, r HostRecord) {
	if r.Incarnation > s.Self.Incarnation {
		s.Self.Incarnation = r.Incarnation + 1<<incarnationBits
	}
}

// dropNamesakes forgets the hosts whose address another one has taken over, which is the one that started last.
func dropNamesakes(s *State, r HostRecord) {
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
	s.hostsChanged()
}

// reachable reports whether a host is heard of, whether it is leaving or not.
func (s *State) reachable(now time.Time, id string) bool {
	h, ok := s.Hosts[id]
	return ok && now.Sub(h.HeardAt) < s.suspectAfter()
}

func (s *State) knowsAddress(now time.Time, address string) bool {
	for id, h := range s.Hosts {
		if h.Record.PeerAddress == address && s.reachable(now, id) {
			return true
		}
	}
	return false
}

func forgetHosts(s *State, now time.Time) {
	for _, id := range sortedKeys(s.Hosts) {
		h := s.Hosts[id]
		if silent := !s.reachable(now, id); silent != h.Silent {
			h.Silent = silent
			s.noteSilence(now, id, h)
		}
		lapseSeat(s, now, id, h)
		if now.Sub(h.HeardAt) > tombstoneFor && !h.Record.Seated {
			s.dropHost(id, h)
			s.note(EventHostGone, Field{"peer", id})
		}
	}
}

// noteSilence notes that a host has fallen silent, or is heard of again.
func (s *State) noteSilence(now time.Time, id string, h *Host) {
	number := EventHostBack
	if h.Silent {
		number = EventHostSilent
	}
	s.note(number, Field{"peer", id}, ageField("heard_age_ms", now, h.HeardAt), boolField("leaving", h.Record.Leaving))
}

// locate names the hosts that callers may use.
func locate(s *State, now time.Time, e LocateAsked) {
	answer := LocateAnswer{ReplyID: e.ReplyID, ValidFor: min(s.Limits.DirectoryFor, directoryFor)}
	for _, id := range s.aliveHosts(now) {
		if id == s.Self.HostID {
			if s.Ready {
				answer.Addresses = append(answer.Addresses, s.Self.Address)
			}
			continue
		}
		if s.Hosts[id].Record.Ready {
			answer.Addresses = append(answer.Addresses, s.Hosts[id].Record.Address)
		}
	}
	if len(answer.Addresses) > directoryAddresses {
		s.shuffle(answer.Addresses)
		answer.Addresses = answer.Addresses[:directoryAddresses]
	}
	s.emit(answer)
}

// directoryAddresses is the most addresses that callers take from one answer, and directoryFor how long they keep it.
const (
	directoryAddresses = 64
	directoryFor       = 2 * time.Second
)

// updateReadiness tells the executor when the host becomes ready or stops being so.
func updateReadiness(s *State, now time.Time) {
	ready := !s.Draining.Active && s.Documents.Catalogue != nil && s.age(now) > readyAfter
	if ready == s.Ready {
		return
	}
	s.Ready = ready
	s.emit(Ready{Ready: ready})
	s.note(EventReadiness, boolField("ready", ready))
}

// readyAfter is the time in which a starting host learns of the backend servers.
const readyAfter = 500 * time.Millisecond
