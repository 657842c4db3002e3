package reducer

import (
	"slices"
	"time"

	"github.com/redwingpick/redwingpick/internal/hasher"
	"github.com/redwingpick/redwingpick/internal/selector"
)

const (
	// candidateCount is the number of backend servers that are considered for one request.
	candidateCount = 4
	// hintFor is how long a host keeps the number of replicas that an owner told it.
	hintFor = 10 * time.Second
	// replicaLoad is the share of a backend server's limit that one replica of an adapter may fill.
	replicaLoad = 0.5
)

// HolderHint is the host that another host named as holder of a right.
type HolderHint struct {
	Holder string
	Until  time.Time
}

// place chooses a backend server and queues the request here or sends it to the host that owns the server.
func place[P selector.Policy](s *State, now time.Time, r *Request) {
	ranked := s.rankBackends(r)
	if len(ranked) == 0 {
		refuse(s, r, OutcomeNotRun, ReasonNoBackend, time.Second)
		return
	}
	var policy P
	ordered := policy.Order(ranked, s.hintedReplicas(r.Adapter.Name, now), s.random())
	r.Backend = s.untried(r, ordered)
	right := s.backendRight(s.Config.BackendServers[r.Backend])
	if s.holds(right, now) {
		enqueue[P](s, now, r, s.Backends[r.Backend])
		return
	}
	holder := s.holderHint(right, now)
	if holder == "" || holder == s.Self.HostID {
		r.Attempt++
		if r.Attempt >= s.Limits.MaxAttempts {
			refuse(s, r, OutcomeNotRun, ReasonNotOwner, time.Second)
			return
		}
		s.delay(now, r)
		return
	}
	forward(s, r, holder)
}

func forward(s *State, r *Request, holder string) {
	r.Phase = PhaseForwarded
	s.Counters.Forwards++
	s.emit(Forward{
		ID:         r.ID,
		To:         holder,
		Address:    s.Config.Hosts[holder].PeerAddress,
		Backend:    r.Backend,
		Account:    r.Account,
		Version:    r.Adapter.Version,
		Attempt:    len(r.Tried),
		Repeatable: r.Repeatable,
		Deadline:   r.Deadline,
	})
}

// rankBackends returns the backend servers of a request by rendezvous, those of the own region if it has any.
func (s *State) rankBackends(r *Request) []string {
	table, name, key := s.Config.Tables.Engines, "", hasher.Key(r.Adapter.Name)
	if r.Service != "" {
		table, name, key = s.Config.Tables.Services, r.Service, hasher.Key(r.ID)
	} else if adapter, ok := s.Config.Adapter(r.Adapter.Name); ok {
		name = adapter.BaseModel
	}
	if own := table[backendGroup{Region: s.Self.Region, Name: name}]; len(own) > 0 {
		return hasher.Top(key, own, candidateCount)
	}
	for _, region := range s.Config.Tables.Regions {
		if names := table[backendGroup{Region: region, Name: name}]; len(names) > 0 {
			return hasher.Top(key, names, candidateCount)
		}
	}
	return nil
}

// untried returns the first backend server that has not sent the request back; when all have, it starts again.
func (s *State) untried(r *Request, ordered []string) string {
	for _, id := range ordered {
		if !slices.Contains(r.Tried, id) {
			return id
		}
	}
	r.Tried = append(r.Tried[:0], ordered...)
	return ordered[0]
}

// holderHint returns the host that this host believes to hold a right.
func (s *State) holderHint(r Right, now time.Time) string {
	if s.holds(r, now) {
		return s.Self.HostID
	}
	if hint, ok := s.HolderHints[r]; ok && now.Before(hint.Until) && !s.unfit(hint.Holder, now) {
		return hint.Holder
	}
	if h, ok := s.Leases.Holdings[r]; ok && h.Holder != "" && !s.unfit(h.Holder, now) {
		return h.Holder
	}
	return s.candidate(r, now)
}

func (s *State) forgetHint(r Right, holder string) {
	if s.HolderHints[r].Holder == holder {
		delete(s.HolderHints, r)
	}
	if h, ok := s.Leases.Holdings[r]; ok && h.Holder == holder {
		h.Holder = ""
	}
}

func (s *State) setHint(adapter string, replicas int, now time.Time) {
	if replicas < 2 {
		delete(s.Hints, adapter)
		return
	}
	s.Hints[adapter] = Hint{Replicas: replicas, Until: now.Add(hintFor)}
}

func (s *State) hintedReplicas(adapter string, now time.Time) int {
	hint, ok := s.Hints[adapter]
	if !ok {
		return 1
	}
	if now.After(hint.Until) {
		delete(s.Hints, adapter)
		return 1
	}
	return hint.Replicas
}

// replicasOf returns on how many backend servers the owner wants the request's adapter to be.
func (s *State) replicasOf(r *Request) int {
	b, ok := s.Backends[r.Backend]
	if !ok || r.Adapter.Name == "" {
		return 0
	}
	resident, ok := b.Residents[r.Adapter]
	if !ok {
		return 1
	}
	limit := s.Config.BackendServers[b.ID].MaxRunning
	return 1 + int(float64(resident.Pins+len(resident.Waiting))/(replicaLoad*float64(limit)))
}

// locate names the hosts that a caller should use: the owners of the likely backend servers, then others.
func locate(s *State, now time.Time, e LocateAsked) {
	answer := LocateAnswer{ReplyID: e.ReplyID, ValidFor: s.Limits.LocateFor, Known: s.Ready}
	r := &Request{ID: e.ReplyID, Adapter: AdapterKey{Name: e.Model}, Service: e.Service}
	for _, id := range s.rankBackends(r) {
		holder := s.holderHint(s.backendRight(s.Config.BackendServers[id]), now)
		s.addLocated(&answer, holder, now)
	}
	names := s.Config.Tables.Candidates[s.Self.Region]
	for _, id := range hasher.Top(hasher.Mix(s.random()), names, locateCount) {
		s.addLocated(&answer, id, now)
	}
	if service, ok := s.Config.Services[e.Service]; ok && !service.Repeatable && s.Ready {
		answer.Permit = s.newPermit(now)
	}
	s.emit(answer)
}

// locateCount is the number of hosts in an answer.
const locateCount = 3

func (s *State) addLocated(answer *LocateAnswer, id string, now time.Time) {
	h, ok := s.Config.Hosts[id]
	full := len(answer.Hosts) >= locateCount
	if !ok || full || s.unfit(id, now) || s.Config.withdrawn(h.FailureDomain) || slices.Contains(answer.Hosts, id) {
		return
	}
	if s.Config.LiveKnown && !s.Config.Live[id] {
		return
	}
	answer.Hosts = append(answer.Hosts, id)
	answer.Addresses = append(answer.Addresses, h.Address)
}
