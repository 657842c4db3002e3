package reducer

import (
	"slices"
	"time"

	"github.com/redwingpick/redwingpick/internal/hasher"
)

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

const orphanRanks = 3

func seekOrphan(s *State, now time.Time, r Right) {
	if _, seeking := s.Leases.Holdings[r]; seeking {
		return
	}
	top := hasher.Top(r.key(), s.Config.Tables.Candidates[r.Region], orphanRanks)
	if slices.Contains(top, s.Self.HostID) {
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
