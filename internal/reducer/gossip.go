package reducer

import (
	"slices"
	"time"
)

// tickGossip runs a round of gossip when one is due, and contacts the seeds that are not reached.
func tickGossip(s *State, now time.Time) {
	if now.Before(s.Gossip.NextAt) {
		return
	}
	pruneHosts(s, now)
	pruneLeaseGrants(s, now)
	s.Gossip.NextAt = now.Add(s.nextRoundIn())
	s.Gossip.Heartbeat++
	records := s.hostRecords(now)
	changed := s.changedRecords(now, records)
	for _, id := range s.gossipTargets(now) {
		for _, r := range changed {
			s.send(id, r)
		}
		if s.Hosts[id].Record.Datagrams {
			s.send(id, s.heartbeatTable(now))
		} else {
			s.sendHeartbeats(id, records)
		}
		if !s.votersKnown() {
			s.send(id, MembershipRequest{})
		}
		s.sendIsolation(now, id)
		s.sendRateLimits(now, id)
	}
	contactSeeds(s, now, records)
}

// gossipTargets returns the reachable hosts, in a larger fleet only gossipFanout random ones, and one random unreachable host. The first
// random one is in this host's failure domain, if that has another host, since bytes between failure domains cost more.
func (s *State) gossipTargets(now time.Time) []string {
	targets := s.selectHosts(func(id string) bool { return id != s.Self.HostID && s.reachable(now, id) })
	if len(targets) >= smallFleet {
		shuffle(s, targets)
		near := slices.IndexFunc(targets, func(id string) bool { return s.Hosts[id].Record.FailureDomain == s.Self.FailureDomain })
		if near > 0 {
			targets[0], targets[near] = targets[near], targets[0]
		}
		targets = targets[:gossipFanout]
	}
	unreachable := s.selectHosts(func(id string) bool { return id != s.Self.HostID && !s.reachable(now, id) })
	if len(unreachable) > 0 {
		targets = append(targets, unreachable[s.random()%uint64(len(unreachable))])
	}
	return targets
}

// roundInterval returns the time between rounds of gossip, which is longer in a large fleet.
func (s *State) roundInterval() time.Duration {
	if len(s.Hosts) >= largeFleet {
		return gossipInterval * 3 / 2
	}
	return gossipInterval
}

// nextRoundIn returns the time to the next round, which is shorter while this host does not know the voter set: it has to discover the fleet.
func (s *State) nextRoundIn() time.Duration {
	if !s.votersKnown() {
		return min(s.roundInterval(), discoveryInterval)
	}
	return s.roundInterval()
}

// discoveryInterval is the time between rounds of gossip of a host that does not know the voter set.
const discoveryInterval = gossipInterval / 2

// shuffle puts a list in a random order.
func shuffle[T any](s *State, list []T) {
	for i := len(list) - 1; i > 0; i-- {
		j := int(s.random() % uint64(i+1))
		list[i], list[j] = list[j], list[i]
	}
}

// hostRecords returns this host's record and those of all voters and of the hosts with a heartbeat within voterTimeout: a starting host
// must receive the records of unreachable hosts too, since they may still vote and hold leases.
func (s *State) hostRecords(now time.Time) []HostRecord {
	records := []HostRecord{s.selfRecord(now)}
	ids := s.selectHosts(func(id string) bool {
		return id != s.Self.HostID && (now.Sub(s.Hosts[id].LastHeartbeatAt) < voterTimeout || s.Hosts[id].Record.Voter)
	})
	if len(ids) > maxGossipRecords {
		shuffle(s, ids)
		ids = ids[:maxGossipRecords]
	}
	for _, id := range ids {
		records = append(records, s.recordOf(now, id))
	}
	return records
}

// changedRecords returns the records that changed recently, this host's own first; of many it returns some at random, so that an envelope
// stays small when all hosts start at once. Other hosts receive the other changes through their heartbeat tables.
func (s *State) changedRecords(now time.Time, records []HostRecord) []HostRecord {
	var changed []HostRecord
	for i, r := range records {
		recently := i == 0 && (s.selfChanged(now, &r) || !s.votersKnown())
		if h, ok := s.Hosts[r.ID]; ok {
			recently = now.Sub(h.ChangedAt) < fullRecordPeriod
		}
		if recently {
			changed = append(changed, r)
		}
	}
	if len(changed) > maxChangedRecords {
		first := 0
		if changed[0].ID == s.Self.HostID {
			first = 1
		}
		shuffle(s, changed[first:])
		changed = changed[:maxChangedRecords]
	}
	return changed
}

// maxChangedRecords bounds the changed records in one envelope.
const maxChangedRecords = 32

// sendHeartbeats sends a host of an older build, which knows no heartbeat tables, the heartbeats by incarnation. Some unchanged records are
// sent in full in each round too, so that such a host receives a change that it missed.
func (s *State) sendHeartbeats(to string, records []HostRecord) {
	var heartbeats Heartbeats
	for _, r := range records {
		if s.random()%uint64(max(fullRecordRounds, len(records)/2)) == 0 {
			s.send(to, r)
		}
		heartbeats.Hosts = append(heartbeats.Hosts, HostHeartbeat{
			Incarnation: r.Incarnation, Heartbeat: r.Heartbeat, HeartbeatAge: r.HeartbeatAge,
		})
	}
	s.send(to, heartbeats)
}

// selfChanged reports whether this host's own record changed recently, and records a change.
func (s *State) selfChanged(now time.Time, r *HostRecord) bool {
	if !s.Gossip.LastRecord.sameContent(*r) {
		s.Gossip.LastRecord = *r
		s.Gossip.RecordChangedAt = now
		s.Gossip.RecordChangedHeartbeat = s.Gossip.Heartbeat
		r.ChangedAtHeartbeat = s.Gossip.Heartbeat
		s.Index.GroupsIndexed = false
	}
	return now.Sub(s.Gossip.RecordChangedAt) < fullRecordPeriod
}

// fullRecordPeriod is how long a changed record is sent in each round. A host of an older build is sent each record in one of
// fullRecordRounds rounds on average, or less often in a large fleet.
const (
	fullRecordPeriod = 1500 * time.Millisecond
	fullRecordRounds = 8
)

// contactSeeds sends the records to the seeds whose address no reachable host has, more often while this host knows no other host.
func contactSeeds(s *State, now time.Time, records []HostRecord) {
	if now.Before(s.Gossip.NextSeedAt) {
		return
	}
	s.Gossip.NextSeedAt = now.Add(seedInterval(len(s.Hosts)))
	for _, address := range s.Self.Seeds {
		if address == s.Self.PeerAddress || s.reachesAddress(now, address) {
			continue
		}
		messages := []Message{s.documentSummary(now)}
		for _, r := range records {
			messages = append(messages, r)
		}
		if !s.votersKnown() {
			messages = append(messages, MembershipRequest{})
		}
		s.emit(SendPeer{Address: address, Messages: messages, NotAfter: now.Add(envelopeTTL)})
	}
}

func seedInterval(known int) time.Duration {
	if known == 0 {
		return gossipInterval
	}
	return 5 * gossipInterval
}
