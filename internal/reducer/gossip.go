package reducer

import "time"

// tickGossip tells other hosts about hosts, and asks the seeds while few hosts are known.
func tickGossip(s *State, now time.Time) {
	if now.Before(s.Gossip.NextAt) {
		return
	}
	forgetHosts(s, now)
	pruneLeaseGrants(s, now)
	s.Gossip.NextAt = now.Add(s.gossipPause())
	s.Gossip.Heartbeat++
	records := s.gossipTable(now)
	brief := s.briefTable(now, records)
	if !s.votersKnown() {
		brief = append(brief, MembershipRequest{})
	}
	for _, id := range s.gossipTargets(now) {
		for _, m := range brief {
			s.send(id, m)
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

// gossipPause is the time between rounds of gossip, which is longer in a large fleet.
func (s *State) gossipPause() time.Duration {
	if len(s.Hosts) >= largeFleet {
		return gossipInterval * 3 / 2
	}
	return gossipInterval
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
		return id != s.Self.HostID && (now.Sub(s.Hosts[id].LastHeartbeatAt) < voterTimeout || s.Hosts[id].Record.Voter)
	})
	if len(ids) > gossipRecords {
		s.shuffle(ids)
		ids = ids[:gossipRecords]
	}
	for _, id := range ids {
		r := s.Hosts[id].Record
		r.SilentFor = now.Sub(s.Hosts[id].LastHeartbeatAt)
		r.PromotionIn = max(s.Hosts[id].PromoteAt.Sub(now), 0)
		records = append(records, r)
	}
	return records
}

// briefTable returns the table with beats in place of records that have not changed lately, but for some at each round, so that
// a host which missed a change learns of it.
func (s *State) briefTable(now time.Time, records []HostRecord) []Message {
	var messages []Message
	var beats Heartbeats
	for i, r := range records {
		changed := i == 0 && (s.selfChanged(now, r) || !s.votersKnown())
		if h, ok := s.Hosts[r.ID]; ok {
			changed = now.Sub(h.ChangedAt) < tellChangesFor
		}
		if changed || s.random()%uint64(max(wholeRecordEvery, len(records)/2)) == 0 {
			messages = append(messages, r)
			continue
		}
		beats.Hosts = append(beats.Hosts, HostHeartbeat{Incarnation: r.Incarnation, Heartbeat: r.Heartbeat, SilentFor: r.SilentFor})
	}
	return append(messages, beats)
}

// selfChanged reports whether this host's own record changed lately.
func (s *State) selfChanged(now time.Time, r HostRecord) bool {
	if !s.Gossip.LastRecord.tellsTheSame(r) {
		s.Gossip.LastRecord = r
		s.Gossip.RecordChangedAt = now
	}
	return now.Sub(s.Gossip.RecordChangedAt) < tellChangesFor
}

// tellChangesFor is how long a changed record is told whole at each round; later it is one time in wholeRecordEvery, or
// less often in a large fleet.
const (
	tellChangesFor   = 1500 * time.Millisecond
	wholeRecordEvery = 8
)

// askSeeds sends the table to a seed that no known host has as its address, more often while this host knows nobody.
func askSeeds(s *State, now time.Time, records []HostRecord) {
	if now.Before(s.Gossip.NextSeedAt) {
		return
	}
	s.Gossip.NextSeedAt = now.Add(seedPause(len(s.Hosts)))
	for _, address := range s.Self.Seeds {
		if address == s.Self.PeerAddress || s.knowsAddress(now, address) {
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

func seedPause(known int) time.Duration {
	if known == 0 {
		return gossipInterval
	}
	return 5 * gossipInterval
}
