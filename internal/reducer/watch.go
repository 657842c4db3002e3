package reducer

import (
	"sort"
	"strconv"
	"time"

	"github.com/redwingpick/redwingpick/internal/hasher"
	"github.com/redwingpick/redwingpick/internal/selector"
)

const (
	// watchersPerRegion is how many hosts of a region watch the platform; the others learn from peers.
	watchersPerRegion = 3
	// startPeers is how many peers a starting host asks for their configuration.
	startPeers = 3
	// startWait is how long a starting host waits for those who have not answered yet.
	startWait = 2 * time.Second
	watchKey  = "platform_watch"
	// startSpread is the time over which starting hosts turn to the platform, if no peer has helped them before.
	startSpread = 4 * time.Second
	// askPeerEvery is the least time between two questions of a starting host to its peers.
	askPeerEvery = 150 * time.Millisecond
)

// tickWatch watches the platform if this host is one of its region's watchers or has no fresh word from a peer.
func tickWatch(s *State, now time.Time) {
	askStartPeers(s, now)
	if s.startsFromPeers(now) {
		return
	}
	if s.Watch.Waiting || now.Before(s.Watch.RetryAt) || !watches(s, now) {
		return
	}
	s.Watch.Waiting = true
	s.Counters.PlatformReads++
	s.emit(WatchPlatform{Since: s.Config.Revision, Wait: s.Limits.WatchWait})
}

// startsFromPeers reports whether this host, which has just started, leaves the platform to others for a random while.
func (s *State) startsFromPeers(now time.Time) bool {
	if s.Config.Revision > 0 || len(s.Self.Seeds) == 0 {
		return false
	}
	if s.Watch.StartAfter == 0 {
		s.Watch.StartAfter = time.Duration(s.random() % uint64(startSpread))
	}
	return s.age(now) < s.Watch.StartAfter || len(s.Config.Shards) > 0 && s.Watch.ReadingPeer
}

func watches(s *State, now time.Time) bool {
	if s.Config.Revision == 0 || now.Sub(s.Config.ConfirmedAt) > s.Limits.IsolatedAfter {
		return true
	}
	for _, id := range hasher.Top(hasher.Key(watchKey), s.Config.Tables.Candidates[s.Self.Region], watchersPerRegion) {
		if id == s.Self.HostID {
			return true
		}
	}
	return false
}

func askStartPeers(s *State, now time.Time) {
	if s.Ready || s.Draining.Active || s.Watch.ReadingPeer || now.Before(s.Watch.AskPeerAt) || len(s.Self.Seeds) == 0 {
		return
	}
	if s.Config.Revision > 0 && len(s.Watch.PeersAnswered) >= startPeers {
		return
	}
	seed := s.Self.Seeds[s.random()%uint64(len(s.Self.Seeds))]
	s.Watch.AskPeerAt = now.Add(askPeerEvery)
	s.readPeer("", seed)
}

// indexRead compares the platform's revisions with those in force and reads what is newer.
func indexRead(s *State, now time.Time, e IndexRead) {
	s.Watch.Waiting = false
	if e.Failed {
		s.Watch.Failures++
		s.Watch.RetryAt = now.Add(s.backoff(s.Watch.Failures))
		s.note(EventPlatformUnreachable, Field{"failures", strconv.Itoa(s.Watch.Failures)})
		return
	}
	s.Watch.Failures = 0
	s.Watch.RetryAt = now.Add(s.jitter(s.Limits.BackoffFirst))
	s.Watch.PlatformAnswered = true
	highest := uint64(0)
	for _, name := range sortedKeys(e.Shards) {
		revision := e.Shards[name]
		highest = max(highest, revision)
		if revision > s.Config.known(name) {
			s.Config.Pending[name] = max(s.Config.Pending[name], revision)
		}
	}
	if highest < s.Config.Seen {
		s.note(EventPlatformStale, Field{"revision", strconv.FormatUint(highest, 10)})
		return
	}
	s.Config.Seen = highest
	readPending(s)
	completeRevision(s, e.AskedAt)
}

// readPending reads the shards that are missing, a few at a time.
func readPending(s *State) {
	for _, name := range sortedKeys(s.Config.Pending) {
		if len(s.Config.Reading) >= parallelReads {
			return
		}
		revision := s.Config.Pending[name]
		if s.Config.known(name) >= revision {
			delete(s.Config.Pending, name)
			continue
		}
		if s.Config.Reading[name] {
			continue
		}
		s.Config.Reading[name] = true
		s.Counters.PlatformReads++
		s.emit(ReadShard{Name: name, Revision: revision})
	}
}

// completeRevision marks the highest revision seen as in force once no shard is missing.
func completeRevision(s *State, confirmedAt time.Time) {
	if len(s.Config.Pending) > 0 {
		return
	}
	if confirmedAt.After(s.Config.ConfirmedAt) {
		s.Config.ConfirmedAt = confirmedAt
	}
	if s.Config.Seen > s.Config.Revision {
		s.Config.Revision = s.Config.Seen
		spreadSummary(s)
	}
}

// shardRead puts a shard from the platform in force, or keeps the old one if the new one was refused.
func shardRead[P selector.Policy](s *State, now time.Time, e ShardRead) {
	delete(s.Config.Reading, e.Name)
	if s.Config.Pending[e.Name] <= e.Revision || e.Failed {
		delete(s.Config.Pending, e.Name)
	}
	readPending(s)
	if e.Failed {
		s.Watch.Failures++
		s.Watch.RetryAt = now.Add(s.backoff(s.Watch.Failures))
		return
	}
	if e.Fault != "" {
		refuseShard(s, e)
	} else if s.Config.adopt(e.Shard, e.Revision) {
		applied[P](s, now)
	}
	if s.Config.Seen > 0 {
		completeRevision(s, s.Config.ConfirmedAt)
	}
}

func refuseShard(s *State, e ShardRead) {
	state, ok := s.Config.Shards[e.Name]
	if !ok {
		state = &ShardState{}
		state.Rest.Name = e.Name
		s.Config.Shards[e.Name] = state
	}
	state.Refused = max(state.Refused, e.Revision)
	s.Counters.ShardsRefused++
	s.note(EventShardRefused, Field{"shard", e.Name}, Field{"fault", e.Fault})
}

// tickSummary tells one peer after another which configuration is in force here.
func tickSummary(s *State, now time.Time) {
	if s.Config.Revision == 0 || now.Sub(s.Watch.SummaryAt) < s.Limits.SummaryEvery {
		return
	}
	s.Watch.SummaryAt = now
	chords := s.chords()
	if len(chords) == 0 {
		return
	}
	s.Watch.SummaryStep++
	s.touch(chords[s.Watch.SummaryStep%len(chords)])
}

// spreadSummary tells all chord peers at once, so that a change reaches every host in log2(hosts) hops.
func spreadSummary(s *State) {
	for _, id := range s.chords() {
		s.touch(id)
	}
}

func (s *State) summary(now time.Time) Summary {
	return Summary{
		Revision:     s.Config.Revision,
		Confirmed:    !s.Config.ConfirmedAt.IsZero(),
		ConfirmedAge: now.Sub(s.Config.ConfirmedAt),
	}
}

// chords returns the hosts at distances 1, 2, 4, … from this one in the ring of all hosts.
func (s *State) chords() []string {
	ring := s.Config.Tables.Ring
	self := sort.SearchStrings(ring, s.Self.HostID)
	if self == len(ring) || ring[self] != s.Self.HostID {
		return nil
	}
	var chords []string
	for step := 1; step < len(ring); step *= 2 {
		chords = append(chords, ring[(self+step)%len(ring)])
	}
	return chords
}

// receiveSummary fetches from a peer that has a newer configuration, and takes over the age of its confirmation.
func receiveSummary(s *State, now time.Time, from string, m Summary) {
	s.Config.Seen = max(s.Config.Seen, m.Revision)
	if m.Confirmed && m.Revision >= s.Config.Revision {
		confirm(s, now.Add(-m.ConfirmedAge), m.Revision)
	}
	if m.Revision <= s.Config.Revision || s.Watch.ReadingPeer {
		return
	}
	s.readPeer(from, s.Config.Hosts[from].PeerAddress)
}

// readPeer asks a peer for what is newer there.
func (s *State) readPeer(from, address string) {
	s.Watch.ReadingPeer = true
	s.Watch.PeerAddress = address
	s.emit(ReadUpdates{From: from, Address: address, Have: s.Config.have()})
}

// confirm moves the confirmation forward if it is about the revision in force.
func confirm(s *State, at time.Time, revision uint64) {
	if revision == s.Config.Revision && at.After(s.Config.ConfirmedAt) {
		s.Config.ConfirmedAt = at
	}
}

// updatesAsked answers a peer with what it lacks.
func updatesAsked(s *State, e UpdatesAsked) {
	updates, more := s.Config.updatesFor(e.Have)
	s.emit(UpdatesAnswer{ReplyID: e.ReplyID, Revision: s.Config.Revision, Updates: updates, More: more})
}

// updatesRead puts a peer's newer shards in force.
func updatesRead[P selector.Policy](s *State, now time.Time, e UpdatesRead) {
	s.Watch.ReadingPeer = false
	if e.Failed {
		return
	}
	changed := false
	complete := true
	for _, u := range e.Updates {
		adopted := s.Config.applyUpdate(u)
		changed = adopted || changed
		complete = complete && s.Config.known(u.Name) >= u.Delta.To
	}
	if changed {
		applied[P](s, now)
	}
	s.Config.Seen = max(s.Config.Seen, e.Revision)
	if e.More {
		s.readPeer(e.From, s.Watch.PeerAddress)
		return
	}
	s.Watch.PeersAnswered[e.From] = true
	if complete && e.Revision > s.Config.Revision {
		s.Config.Revision = e.Revision
		spreadSummary(s)
	}
}

// updateReadiness tells the executor when the host may serve: it knows the newest configuration and does not leave.
func updateReadiness(s *State, now time.Time) {
	ready := s.Ready
	if !ready {
		ready = configKnown(s, now)
	}
	ready = ready && !s.Draining.Active
	if ready != s.Ready {
		s.Ready = ready
		s.emit(Ready{Ready: ready})
		s.note(EventReadiness, Field{"ready", strconv.FormatBool(ready)})
	}
}

func configKnown(s *State, now time.Time) bool {
	if s.Config.Revision == 0 || len(s.Config.Hosts) == 0 || s.Config.Revision < s.Config.Seen {
		return false
	}
	peers := len(s.Watch.PeersAnswered)
	all := s.Watch.PlatformAnswered && (peers > 0 || len(s.Self.Seeds) == 0)
	some := s.Watch.PlatformAnswered || peers > 0
	return all || some && s.age(now) >= startWait
}

// isolated reports whether neither the platform nor a quorum of voters confirms this host.
func (s *State) isolated(now time.Time) bool {
	if now.Sub(s.Config.ConfirmedAt) <= s.Limits.IsolatedAfter {
		return false
	}
	return !s.holds(s.presence(), now)
}

// backoff returns a jittered delay that doubles with each failure.
func (s *State) backoff(failures int) time.Duration {
	delay := s.Limits.BackoffFirst << min(failures, 16)
	return s.jitter(min(delay, s.Limits.BackoffMax))
}
