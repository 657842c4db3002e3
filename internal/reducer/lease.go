package reducer

import (
	"sort"
	"time"
)

const (
	// offerFor is how long the offer of a right without a holder stands.
	offerFor = 3 * time.Second
	// offerRanks is how far down the ranking a right is offered.
	offerRanks = 12
	// offersAtOnce is the number of hosts that a right is offered to at a time.
	offersAtOnce = 2
	// offerEvery is how often a voter repeats an offer.
	offerEvery = time.Second
	// claimEvery is how often a host that ranks first asks the holder to hand over.
	claimEvery = time.Second
	// claimAfter is how long a host must have run before it takes rights from live holders.
	claimAfter = 4 * time.Second
	// forgetPromise is how long a voter remembers a right that has no holder.
	forgetPromise = time.Minute
)

// group is the list of rights that a holder named last under one digest.
func newLeases() Leases {
	return Leases{
		Holdings: map[Right]*Holding{},
		Promises: map[Right]*Promise{},
		Groups:   map[groupKey]*group{},
		Wanted:   map[Right]bool{},
		Vacant:   map[Right]time.Time{},
	}
}

// holds reports whether this host holds the right at now.
func (s *State) holds(r Right, now time.Time) bool {
	h, ok := s.Leases.Holdings[r]
	return ok && !h.HeldSince.IsZero() && now.Before(h.ValidUntil)
}

// actUntil returns the time until which effects under the right may leave this host.
func (s *State) actUntil(r Right) time.Time {
	h, ok := s.Leases.Holdings[r]
	if !ok {
		return time.Time{}
	}
	return h.ValidUntil.Add(-s.Limits.LeaseMargin)
}

// promiseTime is how long a voter backs a holder; it is longer than the holder counts on by the clock drift.
func (s *State) promiseTime() time.Duration {
	return drifted(s.Limits.LeaseTime, s.Limits.ClockDrift) + s.Limits.LeaseMargin
}

func drifted(d time.Duration, drift float64) time.Duration {
	return time.Duration(float64(d) * (1 + 2*drift))
}

// renewLeases asks the voters to back this host for all rights that it holds or seeks, one request an anchor.
func renewLeases(s *State, now time.Time) {
	dropLost(s, now)
	if now.Sub(s.Leases.RenewedAt) < s.Limits.RenewEvery || s.Config.Revision == 0 {
		return
	}
	s.Leases.RenewedAt = now
	for r, until := range s.Leases.Vacant {
		if now.After(until) {
			delete(s.Leases.Vacant, r)
		}
	}
	s.seekWanted(now)
	s.requestVotes(now, s.rightsByAnchor())
}

func (s *State) seekWanted(now time.Time) {
	for r := range s.Leases.Wanted {
		s.seek(now, r)
	}
	for r := range s.Leases.Vacant {
		s.seek(now, r)
	}
}

// seek starts to ask for a right.
func (s *State) seek(now time.Time, r Right) {
	if _, ok := s.Leases.Holdings[r]; ok {
		return
	}
	anchor := s.anchor(r)
	s.Leases.Holdings[r] = &Holding{
		Anchor:    anchor,
		Voters:    s.votersOf(anchor, r.Region),
		OldVoters: s.previousVotersOf(r),
		Backed:    map[string]time.Duration{},
		SoughtAt:  s.age(now),
	}
}

func (s *State) rightsByAnchor() map[string][]Right {
	groups := map[string][]Right{}
	for r, h := range s.Leases.Holdings {
		groups[h.Anchor] = append(groups[h.Anchor], r)
	}
	for _, rights := range groups {
		sortRights(rights)
	}
	return groups
}

func sortRights(rights []Right) {
	sort.Slice(rights, func(i, j int) bool { return rights[i].less(rights[j]) })
}

func (r Right) less(o Right) bool {
	if r.Kind != o.Kind {
		return r.Kind < o.Kind
	}
	if r.Name != o.Name {
		return r.Name < o.Name
	}
	return r.Region < o.Region
}

// requestVote names the rights only to a voter that has not yet acknowledged the same list.
// voteOn answers a holder's request as one of its voters.
// promise backs one holder of a right at a time; a voter that has just started backs nobody.
// countVotes takes a voter's reply.
// repeatRequest names the rights to a voter that did not know the list behind the digest.
// countQuorum extends a lease to the time that a majority of voters of each roster has backed.
// quorumTime returns the latest time at which a majority of the voters had backed the holder.
// refused remembers the holder that a voter named and asks it to hand over if this host ranks first.
// yields reports whether this host, which was offered the right, leaves it to another that ranks before it.
// stopSeeking takes back the votes for a right, so that two candidates cannot keep each other from a majority.
// acquired prepares what this host needs to act under a right.
func (s *State) acquired(now time.Time, r Right, h *Holding) {
	s.note(EventLeaseTaken, Field{"right", r.String()})
	switch r.Kind {
	case KindAccount:
		acquireAccount(s, now, r, h)
	case KindBackend:
		acquireBackend(s, now, r, h)
	case KindStore:
		acquireStore(s, now, r)
	}
	h.Handover = nil
}

// dropLost forgets the rights whose lease is over and those that this host no longer seeks.
func dropLost(s *State, now time.Time) {
	for _, r := range s.soughtRights() {
		h := s.Leases.Holdings[r]
		if h.HeldSince.IsZero() {
			_, offered := s.Leases.Vacant[r]
			if !s.Leases.Wanted[r] && !offered {
				delete(s.Leases.Holdings, r)
			}
			continue
		}
		if now.Before(h.ValidUntil) {
			continue
		}
		s.Counters.LeasesLost++
		s.note(EventLeaseLost, Field{"right", r.String()})
		delete(s.Leases.Holdings, r)
		s.stopped(r)
	}
}

func (s *State) soughtRights() []Right {
	rights := make([]Right, 0, len(s.Leases.Holdings))
	for r := range s.Leases.Holdings {
		rights = append(rights, r)
	}
	sortRights(rights)
	return rights
}

// followRoster gives up rights that no longer exist and takes the voters of the present roster for the others.
func followRoster(s *State, now time.Time) {
	for _, r := range s.soughtRights() {
		h := s.Leases.Holdings[r]
		if r.Kind != KindHost && !s.rightExists(r) || r.Region != s.Self.Region {
			delete(s.Leases.Holdings, r)
			delete(s.Leases.Vacant, r)
			s.stopped(r)
			s.release(now, r, h)
			continue
		}
		h.Anchor = s.anchor(r)
		h.Voters = s.votersOf(h.Anchor, r.Region)
		h.OldVoters = s.previousVotersOf(r)
	}
}

// stopped drops what was kept under a right that this host no longer holds.
func (s *State) stopped(r Right) {
	switch r.Kind {
	case KindBackend:
		if b, ok := s.Backends[r.Name]; ok {
			b.Lost = true
		}
	case KindStore:
		delete(s.Stores, r.Region)
	}
}

// releasePromises ends the backing of a holder that gives up rights by itself.
// checkPromises offers rights whose holder has gone silent to the next host in rank.
// nextOffers returns the hosts to offer a right to: each time the next in rank, since those before may be gone too.
// seekVacant starts to ask for rights that have no holder.
// orphanRanks is how far down the ranking hosts take up a right that seems to have no holder.
// seekOrphan asks the voters for a right that another host believes to be held here; they refuse if it has a holder.
