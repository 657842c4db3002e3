package reducer

import (
	"math/bits"
	"time"

	"github.com/redwingpick/redwingpick/internal/hasher"
)

// Roster is this host's part in the set of hosts that vote on leases; the seats of the others stand in their records.
//
// A host that has started takes no part until it has settled: it learns the seats from a host that knows them, or founds the roster
// anew where no host knows of any. Seats belong to names of hosts, so a host that restarts keeps its own.
type Roster struct {
	// SettledAt is when this host learned who votes; zero before.
	SettledAt time.Time
	// Seated is set while this host votes.
	Seated bool
	// SeatAt is when this host, as a new one, takes a seat; zero if it seeks none.
	SeatAt time.Time
	// AdmittedAt is when this host, as a new one, took a seat that was not there before.
	AdmittedAt time.Time
	// MajoritySince is since when this host has heard of most of the hosts that vote: since its start if it did when it settled; zero
	// while it does not.
	MajoritySince time.Time
	// JoinedAt is when a host was last heard of for the first time.
	JoinedAt time.Time
	// Term is the least term of a new lease at the time TermAt; it grows with time.
	Term   int64
	TermAt time.Time
	// SeenUntil is the time up to which this host's reads of the platform tell what had been published.
	SeenUntil time.Time
	// WatchedSince is since when this host has read the platform itself without a failure; zero if its last read failed.
	WatchedSince time.Time
	// WatchedAt is when it last did.
	WatchedAt time.Time
	// OrderedAt is when the platform last told that a backend server has carried out an order.
	OrderedAt time.Time
}

// Times of the roster.
const (
	// admitAfter is how long a new host hears of most of the roster before it seeks a seat.
	admitAfter = 10 * time.Second
	// leaverFor is how much longer than any other a host that leaves may be silent until it has restarted and is heard of again.
	leaverFor = 3 * time.Second
	// newsRounds is the least number of rounds of gossip in which news reaches all hosts.
	newsRounds = 2
)

// settled reports whether this host knows who votes.
func (s *State) settled() bool { return !s.Roster.SettledAt.IsZero() }

// newsFor is the time in which gossip brings news to all hosts.
func (s *State) newsFor() time.Duration {
	rounds := newsRounds
	if len(s.Hosts) >= smallFleet {
		rounds += bits.Len(uint(len(s.Hosts)))
	}
	return time.Duration(rounds) * s.gossipPause()
}

// shares is the number of hosts among which is divided what all of them may use together: those heard of lately or those that vote,
// whichever are more. A host that does not know who votes takes that there are at least as many as its seeds name.
func (s *State) shares(now time.Time) int {
	shares := max(len(s.memberHosts(now)), len(s.voterHosts(now)), 1)
	if !s.settled() {
		shares = max(shares, len(s.Self.Seeds))
	}
	return shares
}

// steadyFor is how long a host must have heard of most of the roster for its word on a new holder to count: until all leases that it
// may not know of, or has forgotten, have ended, and all hosts have heard of it.
func (s *State) steadyFor() time.Duration { return max(s.promiseFor(), s.newsFor()) }

// noticeFor is how long a new host tells of its seat before it takes it: so long that all who hear of each other have heard of it, and that a
// lost majority is noticed.
func (s *State) noticeFor() time.Duration { return s.steadyFor() + s.suspectAfter() }

// mayLead reports whether this host has known the roster, and heard of most of it, for long enough to seek leases.
func (s *State) mayLead(now time.Time) bool {
	r := s.Roster
	return s.settled() && s.hearsMost() && now.Sub(r.SettledAt) >= s.newsFor() && now.Sub(r.MajoritySince) >= s.steadyFor()
}

// maySwitch reports whether this host, as a voter, may back another holder than before.
func (s *State) maySwitch(now time.Time) bool {
	return s.mayLead(now) && now.Sub(s.Roster.AdmittedAt) >= s.steadyFor()
}

// hearsMost reports whether this host hears of most of the hosts that vote.
func (s *State) hearsMost() bool { return !s.Roster.MajoritySince.IsZero() }

// tickRoster follows who is heard of, and takes this host and new ones into the roster.
func tickRoster(s *State, now time.Time) {
	s.indexHosts(now)
	followMajority(s, now)
	if s.settled() && len(s.Index.Voters) == 0 {
		s.Roster.SettledAt = time.Time{}
	}
	if !s.settled() {
		if s.mayFound(now) {
			found(s, now)
		}
		return
	}
	seatNewHosts(s, now)
	seekSeat(s, now)
}

// followMajority notes since when most of the roster is heard of.
func followMajority(s *State, now time.Time) {
	heard := 0
	for _, id := range s.Index.Voters {
		if id == s.Self.HostID || s.reachable(now, id) {
			heard++
		}
	}
	most := 2*heard > len(s.Index.Voters)
	if most == s.hearsMost() {
		return
	}
	s.Roster.MajoritySince = time.Time{}
	if most {
		s.Roster.MajoritySince = now
	}
	s.note(EventMajority, boolField("heard", most), intField("heard_hosts", heard), intField("seats", len(s.Index.Voters)))
}

// seatNewHosts gives a seat to the other hosts whose time has come.
//
// Hosts do so at the same time for all hosts that have heard of them. A host that has not heard of most of the roster since they told
// of it gives them none: on the lesser side of a partition new hosts would make up a majority.
func seatNewHosts(s *State, now time.Time) {
	for _, h := range s.Hosts {
		if h.SeatAt.IsZero() || now.Before(h.SeatAt) {
			continue
		}
		if s.heardMostDuringNotice(h.SeatAt) {
			s.giveSeat(now, h)
		}
		h.SeatAt = time.Time{}
	}
}

// seekSeat makes this host, as a new one, tell of its seat and take it when its time has come.
func seekSeat(s *State, now time.Time) {
	r := &s.Roster
	switch {
	case r.Seated || s.Draining.Active:
	case r.SeatAt.IsZero():
		if s.heardMostSince(now.Add(-admitAfter)) && now.Sub(r.SettledAt) >= admitAfter {
			r.SeatAt = now.Add(s.noticeFor())
		}
	case !now.Before(r.SeatAt):
		if s.heardMostDuringNotice(r.SeatAt) {
			r.AdmittedAt = now
			takeSeat(s, now)
		}
		r.SeatAt = time.Time{}
	}
}

// heardMostDuringNotice reports whether this host has heard of most of the roster since a new host told that it takes a seat at a time.
func (s *State) heardMostDuringNotice(seatAt time.Time) bool {
	return s.heardMostSince(seatAt.Add(-s.noticeFor()))
}

func (s *State) heardMostSince(at time.Time) bool {
	return s.hearsMost() && !s.Roster.MajoritySince.After(at)
}

// giveSeat counts another host among those that vote.
func (s *State) giveSeat(now time.Time, h *Host) {
	h.Record.Seated = true
	h.ChangedAt = now
	s.hostsChanged()
}

// takeSeat gives this host a seat.
func takeSeat(s *State, now time.Time) {
	if s.Roster.Seated {
		return
	}
	s.Roster.Seated = true
	s.hostsChanged()
	s.note(EventSeated, intField("known_hosts", len(s.Hosts)), msField("up_ms", s.age(now)))
}

// lapseSeat takes a host off the roster that has been silent for long: its last word to a claimant is over, so quorums from before
// meet those from after.
func lapseSeat(s *State, now time.Time, id string, h *Host) {
	if !h.Record.Seated || !s.lapses(now, h) {
		return
	}
	h.Record.Seated = false
	h.Lapsed = h.Record.Incarnation
	s.hostsChanged()
	s.note(EventSeatLapsed, Field{"peer", id}, ageField("heard_age_ms", now, h.HeardAt), boolField("leaving", h.Record.Leaving),
		boolField("heard_most", s.hearsMost()))
}

// lapses reports whether a silent host loses its seat. A host that hears of most of the roster takes others off: soon those that said that
// they leave, and later those of whom the platform has confirmed that this host is not cut off from it as well. A host that does not
// hear of most may be on the lesser side of a partition; it does so only while the platform shows that nobody orders backend servers.
func (s *State) lapses(now time.Time, h *Host) bool {
	silent := now.Sub(h.HeardAt)
	if h.Record.Leaving && s.hearsMost() && silent >= s.suspectAfter()+leaverFor {
		return true
	}
	if silent < voterFor || s.Watch.ConfirmedAt.Before(h.HeardAt.Add(voterFor)) {
		return false
	}
	return s.hearsMost() || s.sawNoOrders(now, orderlessFor)
}

// settle makes this host take part, with what it has learned from a host that knows the roster; term is the least for a lease now.
func settle(s *State, now time.Time, from string, term int64) {
	if s.settled() {
		return
	}
	s.Roster.SettledAt = now
	s.Roster.Term, s.Roster.TermAt = term, now
	s.hostsChanged()
	s.indexHosts(now)
	followMajority(s, now)
	if s.hearsMost() {
		s.Roster.MajoritySince = s.Self.StartedAt
	}
	s.note(EventSettled, Field{"peer", from}, intField("seats", len(s.voterHosts(now))), intField("known_hosts", len(s.Hosts)),
		msField("up_ms", s.age(now)))
}

// tellRoster answers a host that has not settled with all that this host knows of others.
func tellRoster(s *State, now time.Time, to string) {
	for _, r := range s.gossipTable(now) {
		s.send(to, r)
	}
	s.send(to, RosterReply{Settled: s.settled(), Term: s.firstTerm(now)})
}

// rosterTold takes the end of such an answer.
func rosterTold(s *State, now time.Time, from string, m RosterReply) {
	if m.Settled {
		settle(s, now, from, m.Term)
	}
}

// votersDigest is a number that two hosts have alike if they take the same hosts for the voters on a backend server.
func votersDigest(ids []string) uint32 {
	digest := uint64(len(ids))
	for _, id := range ids {
		digest = hasher.Mix(digest ^ hasher.Key(id))
	}
	return uint32(digest)
}
