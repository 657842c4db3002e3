package reducer

import (
	"slices"
	"time"

	"github.com/redwingpick/redwingpick/internal/hasher"
)

// suspectAfter is how long a host may be silent before it is not used.
func (s *State) suspectAfter() time.Duration {
	return time.Duration(float64(s.Limits.ContactFor) * suspectShare)
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
	if r.ID == s.Self.HostID {
		outliveFormer(s, r)
		return
	}
	h, known := s.Hosts[r.ID]
	if !known {
		h = &Host{}
		s.Hosts[r.ID] = h
		s.note(EventHostJoined, Field{"peer", r.ID}, Field{"address", r.PeerAddress})
	}
	if known && (r.Incarnation < h.Record.Incarnation || r.Incarnation == h.Record.Incarnation && r.Beat <= h.Record.Beat) {
		return
	}
	if known && !s.alive(now, r.ID) && !r.Leaving {
		s.note(EventHostBack, Field{"peer", r.ID})
	}
	s.hostsChanged()
	s.noteHolds(r)
	h.Record = r
	h.HeardAt = now.Add(-r.SilentFor)
	dropNamesakes(s, r)
}

// outliveFormer makes this incarnation newer than one of the same host that ran before.
func outliveFormer(s *State, r HostRecord) {
	if r.Incarnation > s.Self.Incarnation {
		s.Self.Incarnation = r.Incarnation + 1
	}
}

// dropNamesakes forgets hosts whose address another host has taken over.
func dropNamesakes(s *State, r HostRecord) {
	for id, h := range s.Hosts {
		if id != r.ID && h.Record.PeerAddress == r.PeerAddress {
			delete(s.Hosts, id)
			s.hostsChanged()
		}
	}
}

func peerFailed(s *State, now time.Time, e PeerFailed) {
	if h, ok := s.Hosts[e.To]; ok {
		h.FailedAt = now
	}
}

// tickGossip tells other hosts about hosts, and asks the seeds while few hosts are known.
func tickGossip(s *State, now time.Time) {
	forgetHosts(s, now)
	if now.Before(s.Gossip.NextAt) {
		return
	}
	s.Gossip.NextAt = now.Add(gossipEvery)
	s.Gossip.Beat++
	records := s.gossipTable(now)
	for _, id := range s.gossipTargets(now) {
		for _, r := range records {
			s.send(id, r)
		}
	}
	askSeeds(s, now, records)
}

// gossipTargets returns all hosts of a small fleet, or some of a larger one and one that is silent.
func (s *State) gossipTargets(now time.Time) []string {
	live := s.selectHosts(func(id string) bool { return id != s.Self.HostID && s.reachable(now, id) })
	if len(live) >= smallFleet {
		s.shuffle(live)
		live = live[:gossipPeers]
	}
	silent := s.selectHosts(func(id string) bool { return id != s.Self.HostID && !s.reachable(now, id) })
	if len(silent) > 0 {
		live = append(live, silent[s.random()%uint64(len(silent))])
	}
	return live
}

// reachable reports whether a host is heard of, whether it is leaving or not.
func (s *State) reachable(now time.Time, id string) bool {
	h, ok := s.Hosts[id]
	return ok && now.Sub(h.HeardAt) < s.suspectAfter()
}

func (s *State) shuffle(ids []string) {
	for i := len(ids) - 1; i > 0; i-- {
		j := int(s.random() % uint64(i+1))
		ids[i], ids[j] = ids[j], ids[i]
	}
}

// gossipTable returns this host's record and those of hosts that count as members: a host that starts anew must learn of
// silent ones too, since they may still vote and hold leases.
func (s *State) gossipTable(now time.Time) []HostRecord {
	records := []HostRecord{s.selfRecord(now)}
	ids := s.selectHosts(func(id string) bool {
		return id != s.Self.HostID && now.Sub(s.Hosts[id].HeardAt) < forgetAfter
	})
	if len(ids) > gossipRecords {
		s.shuffle(ids)
		ids = ids[:gossipRecords]
	}
	for _, id := range ids {
		r := s.Hosts[id].Record
		r.SilentFor = now.Sub(s.Hosts[id].HeardAt)
		records = append(records, r)
	}
	return records
}

// askSeeds sends the table to a seed that no known host has as its address, more often while this host knows nobody.
func askSeeds(s *State, now time.Time, records []HostRecord) {
	if now.Before(s.Gossip.SeedAt) {
		return
	}
	s.Gossip.SeedAt = now.Add(seedPause(len(s.Hosts)))
	for _, address := range s.Self.Seeds {
		if address == s.Self.PeerAddress || s.knowsAddress(now, address) {
			continue
		}
		messages := []Message{s.summary(now)}
		for _, r := range records {
			messages = append(messages, r)
		}
		s.emit(SendPeer{Address: address, Messages: messages})
	}
}

func seedPause(known int) time.Duration {
	if known == 0 {
		return gossipEvery
	}
	return 5 * gossipEvery
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
	for id, h := range s.Hosts {
		if now.Sub(h.HeardAt) > tombstoneFor {
			delete(s.Hosts, id)
			s.hostsChanged()
			s.note(EventHostGone, Field{"peer", id})
		}
	}
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
