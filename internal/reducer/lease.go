package reducer

import (
	"sort"
	"time"

	"github.com/redwingpick/redwingpick/internal/hasher"
	"github.com/redwingpick/redwingpick/internal/selector"
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

type groupKey struct {
	Holder string
	Anchor string
}

// group is the list of rights that a holder named last under one digest.
type group struct {
	Incarnation uint64
	Digest      uint64
	Rights      []Right
}

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

func digestOf(rights []Right) uint64 {
	digest := uint64(len(rights))
	for _, r := range rights {
		digest = hasher.Mix(digest ^ r.key() ^ hasher.Key(r.Region))
	}
	return digest
}

func (s *State) requestVotes(now time.Time, groups map[string][]Right) {
	for _, anchor := range sortedKeys(groups) {
		rights := groups[anchor]
		request := LeaseRequest{Anchor: anchor, SentAt: s.age(now), Digest: digestOf(rights)}
		for _, v := range s.groupVoters(rights) {
			s.requestVote(now, v, request, rights)
		}
	}
}

// requestVote names the rights only to a voter that has not yet acknowledged the same list.
func (s *State) requestVote(now time.Time, voter string, request LeaseRequest, rights []Right) {
	if s.peer(voter).AckedDigests[request.Anchor] != request.Digest {
		request.Rights = rights
	}
	if voter != s.Self.HostID {
		s.send(voter, request)
		return
	}
	request.Rights = rights
	reply := s.vote(now, s.Self.HostID, s.Self.Incarnation, request)
	s.takeReply(now, voter, reply)
}

func (s *State) groupVoters(rights []Right) []string {
	seen := map[string]bool{}
	var voters []string
	for _, r := range rights {
		h := s.Leases.Holdings[r]
		for _, v := range append(append([]string(nil), h.Voters...), h.OldVoters...) {
			if !seen[v] {
				seen[v] = true
				voters = append(voters, v)
			}
		}
	}
	return voters
}

// voteOn answers a holder's request as one of its voters.
func voteOn(s *State, now time.Time, e PeerReceived, m LeaseRequest) {
	s.send(e.From, s.vote(now, e.From, e.Incarnation, m))
}

func (s *State) vote(now time.Time, holder string, incarnation uint64, m LeaseRequest) LeaseReply {
	reply := LeaseReply{Anchor: m.Anchor, SentAt: m.SentAt, Digest: m.Digest}
	key := groupKey{Holder: holder, Anchor: m.Anchor}
	known := s.Leases.Groups[key]
	if len(m.Rights) > 0 {
		known = &group{Incarnation: incarnation, Digest: m.Digest, Rights: m.Rights}
		s.Leases.Groups[key] = known
	}
	if known == nil || known.Digest != m.Digest || known.Incarnation != incarnation {
		reply.Unknown = true
		return reply
	}
	for _, r := range known.Rights {
		backed, other := s.promise(now, holder, incarnation, m.SentAt, r)
		if !backed {
			s.Counters.VotesRefused++
			reply.Refused = append(reply.Refused, Refusal{Right: r, Holder: other})
		}
		if p := s.Leases.Promises[r]; p != nil {
			reply.HighestTerm = max(reply.HighestTerm, p.Term)
		}
	}
	return reply
}

// promise backs one holder of a right at a time; a voter that has just started backs nobody.
func (s *State) promise(now time.Time, holder string, incarnation uint64, sentAt time.Duration, r Right) (backed bool, other string) {
	if s.age(now) < s.promiseTime() {
		return false, ""
	}
	p, ok := s.Leases.Promises[r]
	if !ok {
		p = &Promise{}
		s.Leases.Promises[r] = p
	}
	same := p.Holder == holder && p.Incarnation == incarnation
	if !same && now.Before(p.Until) {
		return false, p.Holder
	}
	if !same {
		p.Term++
		p.SentAt = 0
	}
	p.Holder = holder
	p.Incarnation = incarnation
	p.Offers = 0
	p.SentAt = max(p.SentAt, sentAt)
	p.Until = now.Add(s.promiseTime())
	return true, ""
}

// countVotes takes a voter's reply.
func countVotes[P selector.Policy](s *State, now time.Time, e PeerReceived, m LeaseReply) {
	peer := s.peer(e.From)
	if peer.AckedDigests == nil {
		peer.AckedDigests = map[string]uint64{}
	}
	peer.AckedDigests[m.Anchor] = m.Digest
	if m.Unknown {
		delete(peer.AckedDigests, m.Anchor)
		s.repeatRequest(now, e.From, m)
		return
	}
	s.takeReply(now, e.From, m)
}

// repeatRequest names the rights to a voter that did not know the list behind the digest.
func (s *State) repeatRequest(now time.Time, voter string, m LeaseReply) {
	rights := s.anchorRights(m.Anchor)
	if len(rights) == 0 || digestOf(rights) != m.Digest {
		return
	}
	request := LeaseRequest{Anchor: m.Anchor, SentAt: s.age(now), Digest: m.Digest}
	s.requestVote(now, voter, request, rights)
}

func (s *State) takeReply(now time.Time, voter string, m LeaseReply) {
	refused := make(map[Right]string, len(m.Refused))
	for _, f := range m.Refused {
		refused[f.Right] = f.Holder
	}
	rights := s.anchorRights(m.Anchor)
	if digestOf(rights) != m.Digest {
		return
	}
	for _, r := range rights {
		h := s.Leases.Holdings[r]
		if holder, ok := refused[r]; ok {
			s.refused(now, r, h, holder)
			continue
		}
		if m.SentAt < h.SoughtAt {
			continue
		}
		h.Backed[voter] = max(h.Backed[voter], m.SentAt)
		h.Term = max(h.Term, m.HighestTerm)
		s.countQuorum(now, r, h)
	}
}

func (s *State) anchorRights(anchor string) []Right {
	var rights []Right
	for r, h := range s.Leases.Holdings {
		if h.Anchor == anchor {
			rights = append(rights, r)
		}
	}
	sortRights(rights)
	return rights
}

// countQuorum extends a lease to the time that a majority of voters of each roster has backed.
func (s *State) countQuorum(now time.Time, r Right, h *Holding) {
	backed, ok := quorumTime(h.Voters, h.Backed)
	if ok && len(h.OldVoters) > 0 {
		old, okOld := quorumTime(h.OldVoters, h.Backed)
		ok = okOld
		backed = min(backed, old)
	}
	if !ok {
		return
	}
	until := s.Self.StartedAt.Add(backed).Add(s.Limits.LeaseTime)
	if until.After(h.ValidUntil) {
		h.ValidUntil = until
	}
	if h.HeldSince.IsZero() && now.Before(h.ValidUntil) {
		h.HeldSince = now
		h.Holder = ""
		s.Counters.LeasesTaken++
		s.acquired(now, r, h)
	}
}

// quorumTime returns the latest time at which a majority of the voters had backed the holder.
func quorumTime(voters []string, backed map[string]time.Duration) (time.Duration, bool) {
	times := make([]time.Duration, 0, len(voters))
	for _, v := range voters {
		if at, ok := backed[v]; ok {
			times = append(times, at)
		}
	}
	quorum := len(voters)/2 + 1
	if len(times) < quorum {
		return 0, false
	}
	sort.Slice(times, func(i, j int) bool { return times[i] > times[j] })
	return times[quorum-1], true
}

// refused remembers the holder that a voter named and asks it to hand over if this host ranks first.
func (s *State) refused(now time.Time, r Right, h *Holding, holder string) {
	if holder == "" || holder == s.Self.HostID || s.holds(r, now) {
		return
	}
	h.Holder = holder
	if s.yields(r, holder) {
		s.stopSeeking(now, r, h)
		return
	}
	if !s.Leases.Wanted[r] || s.age(now) < claimAfter || now.Sub(h.ClaimedAt) < claimEvery {
		return
	}
	h.ClaimedAt = now
	s.send(holder, LeaseClaim{Rights: []Right{r}})
}

// yields reports whether this host, which was offered the right, leaves it to another that ranks before it.
func (s *State) yields(r Right, other string) bool {
	_, offered := s.Leases.Vacant[r]
	if !offered || s.Leases.Wanted[r] {
		return false
	}
	return hasher.Score(r.key(), hasher.NewName(other)) > hasher.Score(r.key(), hasher.NewName(s.Self.HostID))
}

// stopSeeking takes back the votes for a right, so that two candidates cannot keep each other from a majority.
func (s *State) stopSeeking(now time.Time, r Right, h *Holding) {
	delete(s.Leases.Vacant, r)
	delete(s.Leases.Holdings, r)
	s.release(now, r, h)
}

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
func releasePromises(s *State, now time.Time, e PeerReceived, m LeaseRelease) {
	for _, r := range m.Rights {
		p, ok := s.Leases.Promises[r]
		if ok && p.Holder == e.From && p.Incarnation == e.Incarnation && p.SentAt <= m.SentAt {
			p.Until = now
			p.Offered = now
		}
	}
	for key := range s.Leases.Groups {
		if key.Holder == e.From {
			delete(s.Leases.Groups, key)
		}
	}
}

// checkPromises offers rights whose holder has gone silent to the next host in rank.
func checkPromises(s *State, now time.Time) {
	offers := map[string][]Right{}
	for r, p := range s.Leases.Promises {
		if r.Kind == KindHost || now.Before(p.Until) || now.Sub(p.Offered) < offerEvery {
			continue
		}
		if now.Sub(p.Until) > forgetPromise {
			s.forgetPromise(r, p.Holder)
			continue
		}
		p.Offered = now
		for _, next := range s.nextOffers(r, now, p) {
			offers[next] = append(offers[next], r)
		}
	}
	for _, id := range sortedKeys(offers) {
		rights := offers[id]
		sortRights(rights)
		s.offer(now, id, rights)
	}
}

// nextOffers returns the hosts to offer a right to: each time the next in rank, since those before may be gone too.
func (s *State) nextOffers(r Right, now time.Time, p *Promise) []string {
	var fit []string
	for _, id := range hasher.Top(r.key(), s.Config.Tables.Candidates[r.Region], offerRanks) {
		if id != p.Holder && !s.unfit(id, now) {
			fit = append(fit, id)
		}
	}
	count := min(offersAtOnce, len(fit))
	next := make([]string, 0, count)
	for range count {
		next = append(next, fit[p.Offers%len(fit)])
		p.Offers++
	}
	return next
}

func (s *State) forgetPromise(r Right, holder string) {
	delete(s.Leases.Promises, r)
	for key := range s.Leases.Groups {
		if key.Holder == holder {
			delete(s.Leases.Groups, key)
		}
	}
}

func (s *State) offer(now time.Time, to string, rights []Right) {
	if to == s.Self.HostID {
		seekVacant(s, now, LeaseVacant{Rights: rights})
		return
	}
	s.send(to, LeaseVacant{Rights: rights})
}

// seekVacant starts to ask for rights that have no holder.
func seekVacant(s *State, now time.Time, m LeaseVacant) {
	if s.Draining.Active {
		return
	}
	fresh := map[string][]Right{}
	for _, r := range m.Rights {
		if r.Region != s.Self.Region || !s.rightExists(r) {
			continue
		}
		s.Leases.Vacant[r] = now.Add(offerFor)
		if _, ok := s.Leases.Holdings[r]; !ok {
			s.seek(now, r)
			anchor := s.Leases.Holdings[r].Anchor
			fresh[anchor] = nil
		}
	}
	for anchor := range fresh {
		fresh[anchor] = s.anchorRights(anchor)
	}
	s.requestVotes(now, fresh)
}

// orphanRanks is how far down the ranking hosts take up a right that seems to have no holder.
const orphanRanks = 3

// seekOrphan asks the voters for a right that another host believes to be held here; they refuse if it has a holder.
func seekOrphan(s *State, now time.Time, r Right) {
	if _, seeking := s.Leases.Holdings[r]; seeking {
		return
	}
	top := hasher.Top(r.key(), s.Config.Tables.Candidates[r.Region], orphanRanks)
	if containsString(top, s.Self.HostID) {
		seekVacant(s, now, LeaseVacant{Rights: []Right{r}})
	}
}

func (s *State) rightExists(r Right) bool {
	switch r.Kind {
	case KindAccount:
		_, ok := s.Config.Accounts[r.Name]
		return ok
	case KindBackend:
		_, ok := s.Config.BackendServers[r.Name]
		return ok
	case KindStore:
		return true
	}
	return false
}
