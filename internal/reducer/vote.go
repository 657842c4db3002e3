package reducer

import (
	"slices"
	"sort"
	"time"

	"github.com/redwingpick/redwingpick/internal/hasher"
	"github.com/redwingpick/redwingpick/internal/selector"
)

type groupKey struct {
	Holder string
	Anchor string
}

type group struct {
	Incarnation uint64
	Digest      uint64
	Rights      []Right
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
	holdings := make([]*Holding, 0, len(rights))
	for _, r := range rights {
		holdings = append(holdings, s.Leases.Holdings[r])
	}
	return distinctVoters(holdings...)
}

// distinctVoters returns the voters of the holdings by both rosters, each once.
func distinctVoters(holdings ...*Holding) []string {
	var voters []string
	for _, h := range holdings {
		for _, v := range slices.Concat(h.Voters, h.OldVoters) {
			if !slices.Contains(voters, v) {
				voters = append(voters, v)
			}
		}
	}
	return voters
}

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

func (s *State) yields(r Right, other string) bool {
	_, offered := s.Leases.Vacant[r]
	if !offered || s.Leases.Wanted[r] {
		return false
	}
	return hasher.Score(r.key(), hasher.NewName(other)) > hasher.Score(r.key(), hasher.NewName(s.Self.HostID))
}

func (s *State) stopSeeking(now time.Time, r Right, h *Holding) {
	delete(s.Leases.Vacant, r)
	delete(s.Leases.Holdings, r)
	s.release(now, r, h)
}

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
