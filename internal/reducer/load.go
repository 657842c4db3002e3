package reducer

import (
	"sort"
	"time"

	"github.com/redwingpick/redwingpick/internal/limiter"
	"github.com/redwingpick/redwingpick/internal/selector"
)

const (
	// historySize is the number of adapters without a slot whose demand a backend server's owner remembers.
	historySize = 1024
	// wantsPause is the least time between two lists of loads.
	wantsPause = 10 * time.Millisecond
	// wantsPerMessage is the largest number of loads in one list.
	wantsPerMessage = 64
	// storeSilence is how long a new keeper of the weight store waits for the loads of a former one.
	storeSilence = time.Second
	// prefetchUrgency ranks below every load that a request waits for.
	prefetchUrgency = 1e-6
	// prefetchRate is the rate of requests a second from which an adapter is worth a prefetch.
	prefetchRate = 0.005
	// prefetchShare is the part of the transfers in flight that prefetches may fill.
	prefetchShare = 0.5
	// loadRetryAfter is the delay after a load has failed.
	loadRetryAfter = 300 * time.Millisecond
)

// acquireStore starts to keep this region's part of the weight store's limits.
func acquireStore(s *State, now time.Time, r Right) {
	s.Stores[r.Region] = &Store{
		Bucket:   limiter.Bucket{UpdatedAt: now.Add(storeSilence)},
		Wants:    map[string][]LoadWant{},
		InFlight: map[uint64]InFlight{},
		Sequence: uint64(s.age(now)),
	}
}

// tickStores gives permits where this host keeps the store.
func tickStores[P selector.Policy](s *State, now time.Time) {
	for _, region := range sortedKeys(s.Stores) {
		if s.holds(storeRight(region), now) {
			permitLoads[P](s, now, s.Stores[region])
		}
	}
}

// sendWants lists the loads for which requests wait here, at once when they change and then now and again.
func sendWants[P selector.Policy](s *State, now time.Time) {
	since := now.Sub(s.Wants.SentAt)
	if since < wantsPause || !s.Wants.Dirty && since < s.Limits.WantsEvery {
		return
	}
	wants := listWants[P](s, now)
	var policy P
	if !policy.SharedPermits() {
		s.Wants = Wants{SentAt: now}
		loadAtOnce[P](s, now, wants)
		return
	}
	if len(wants) == 0 && s.Wants.Count == 0 {
		s.Wants.Dirty = false
		return
	}
	keeper := s.holderHint(storeRight(s.Self.Region), now)
	if keeper == "" {
		return
	}
	s.Wants = Wants{SentAt: now, Count: len(wants)}
	if keeper == s.Self.HostID {
		receiveWants[P](s, now, keeper, LoadWants{Wants: wants})
		return
	}
	s.send(keeper, LoadWants{Wants: wants})
}

// loadAtOnce orders loads without a permit, as the baselines do.
func loadAtOnce[P selector.Policy](s *State, now time.Time, wants []LoadWant) {
	for _, want := range wants {
		startLoad[P](s, now, s.Backends[want.Backend], "", LoadPermit{Backend: want.Backend, Adapter: want.Adapter})
	}
}

func listWants[P selector.Policy](s *State, now time.Time) []LoadWant {
	var policy P
	var wants []LoadWant
	for _, id := range sortedKeys(s.Backends) {
		b := s.Backends[id]
		if b.Lost || !b.Known || now.Before(b.FailedUntil) || now.Before(b.SilentUntil) {
			continue
		}
		before := len(wants)
		wants = append(wants, waitedLoads(policy, now, b)...)
		if len(wants) == before && policy.Prefetch() {
			wants = append(wants, prefetchLoads(policy, now, b)...)
		}
	}
	sort.SliceStable(wants, func(i, j int) bool { return wants[i].Urgency > wants[j].Urgency })
	return wants[:min(len(wants), wantsPerMessage)]
}

// waitedLoads lists the adapters that requests wait for, as far as slots can be freed for them.
func waitedLoads[P selector.Policy](policy P, now time.Time, b *Backend) []LoadWant {
	var wants []LoadWant
	for _, key := range b.residentKeys() {
		resident := b.Residents[key]
		if resident.Stage != ResidencyWanted || now.Before(resident.RetryAt) {
			continue
		}
		urgency := policy.Urgency(len(resident.Waiting), now.Sub(resident.WantedAt))
		wants = append(wants, LoadWant{Backend: b.ID, Adapter: key, Urgency: urgency + 1})
	}
	sort.SliceStable(wants, func(i, j int) bool { return wants[i].Urgency > wants[j].Urgency })
	return wants[:min(len(wants), b.freeable())]
}

// prefetchLoads names the adapter without a slot that had the most demand, if a slot is free.
func prefetchLoads[P selector.Policy](policy P, now time.Time, b *Backend) []LoadWant {
	best := AdapterKey{}
	worth := prefetchRate
	for key, use := range b.History {
		w := use.Rate(now)
		if w > worth || w == worth && best.Name != "" && less(key, best) {
			best = key
			worth = w
		}
	}
	if best.Name == "" {
		return nil
	}
	if _, full := victimFor(policy, b); full {
		return nil
	}
	return []LoadWant{{Backend: b.ID, Adapter: best, Urgency: prefetchUrgency * worth}}
}

// freeable returns how many more adapters can be loaded without evicting one that is in use.
func (b *Backend) freeable() int {
	blocked := 0
	for _, resident := range b.Residents {
		switch {
		case resident.Stage == ResidencyLoading:
			blocked++
		case resident.Stage == ResidencyReady && resident.inUse():
			blocked++
		}
	}
	return max(b.Slots-blocked, 0)
}

func (r *Resident) inUse() bool {
	return r.Pins > 0 || r.Foreign > 0
}

// victimFor returns the adapter to evict for a new one, and whether one must be evicted at all.
func victimFor[P selector.Policy](policy P, b *Backend) (victim AdapterKey, needed bool) {
	taken := 0
	worth := 0.0
	for key, resident := range b.Residents {
		if resident.Stage == ResidencyWanted || resident.Stage == ResidencyEvicting {
			continue
		}
		taken++
		if resident.Stage != ResidencyReady || resident.inUse() {
			continue
		}
		w := policy.Worth(resident.Use)
		if victim.Name == "" || w < worth || w == worth && less(key, victim) {
			victim = key
			worth = w
		}
	}
	return victim, taken >= b.Slots
}

// receiveWants replaces the list of loads that one host waits for.
func receiveWants[P selector.Policy](s *State, now time.Time, from string, m LoadWants) {
	store, ok := s.Stores[s.Self.Region]
	if !ok || !s.holds(storeRight(s.Self.Region), now) {
		return
	}
	if len(m.Wants) == 0 {
		delete(store.Wants, from)
		return
	}
	store.Wants[from] = m.Wants
	permitLoads[P](s, now, store)
}

// permitLoads gives permits to the most urgent loads while the store's rate and transfers allow.
func permitLoads[P selector.Policy](s *State, now time.Time, store *Store) {
	limits := s.Config.WeightStore
	if limits.MaxInFlight == 0 {
		return
	}
	store.Bucket.Rate = s.regionShare(limits.LoadsPerSecond)
	store.Bucket.Burst = max(store.Bucket.Rate, 1)
	store.Bucket.Refill(now)
	for sequence, f := range store.InFlight {
		if now.After(f.Until) {
			delete(store.InFlight, sequence)
		}
	}
	inFlight := max(int(s.regionShare(float64(limits.MaxInFlight))), 1)
	for store.Bucket.Level >= 1 && len(store.InFlight) < inFlight {
		host, want, ok := store.mostUrgent()
		if !ok || want.Urgency < 1 && !store.mayPrefetch(inFlight) {
			return
		}
		store.Bucket.Take(now, 1)
		store.Bucket.Settle(now, 1)
		store.Sequence++
		store.InFlight[store.Sequence] = InFlight{Host: host, Until: now.Add(s.Limits.LoadFor)}
		permit := LoadPermit{Sequence: store.Sequence, Backend: want.Backend, Adapter: want.Adapter}
		if host == s.Self.HostID {
			receiveLoadPermit[P](s, now, host, permit)
			continue
		}
		s.send(host, permit)
	}
}

func (st *Store) mayPrefetch(inFlight int) bool {
	return float64(len(st.InFlight)) < prefetchShare*float64(inFlight) && st.Bucket.Level >= st.Bucket.Burst-1e-9
}

func (st *Store) mostUrgent() (host string, want LoadWant, ok bool) {
	index := 0
	for _, h := range sortedKeys(st.Wants) {
		for i, w := range st.Wants[h] {
			if !ok || w.Urgency > want.Urgency {
				host, want, index, ok = h, w, i, true
			}
		}
	}
	if ok {
		list := st.Wants[host]
		rest := append([]LoadWant(nil), list[:index]...)
		st.Wants[host] = append(rest, list[index+1:]...)
	}
	return host, want, ok
}

// receiveLoadPermit orders the load that was permitted, or returns the permit if it is not needed any more.
func receiveLoadPermit[P selector.Policy](s *State, now time.Time, from string, m LoadPermit) {
	b, ok := s.Backends[m.Backend]
	if !ok || !startLoad[P](s, now, b, from, m) {
		s.returnPermit(now, from, m.Sequence, true)
	}
}

func startLoad[P selector.Policy](s *State, now time.Time, b *Backend, from string, m LoadPermit) bool {
	server := s.Config.BackendServers[b.ID]
	until := s.actUntil(s.backendRight(server))
	if b.Lost || !b.Known || now.Before(b.SilentUntil) || !now.Before(until) || !serves(server) || !s.Config.eligible(server) {
		return false
	}
	present, known := b.Residents[m.Adapter]
	if known && present.Stage != ResidencyWanted {
		return false
	}
	if !known && b.History[m.Adapter].Last().IsZero() {
		return false
	}
	var policy P
	victim, needed := victimFor(policy, b)
	if needed && victim.Name == "" {
		return false
	}
	resident := b.resident(m.Adapter)
	resident.Stage = ResidencyLoading
	if !known {
		s.Counters.Prefetches++
	}
	s.Counters.Loads++
	order := LoadAdapter{
		Backend: b.ID, Address: server.Address, Adapter: m.Adapter, Fence: b.Fence,
		PermitFrom: from, PermitSequence: m.Sequence, NotAfter: until,
	}
	if needed {
		s.Counters.Evictions++
		order.Evict = victim
		resident.Victim = victim
		b.Residents[victim].Stage = ResidencyEvicting
	}
	s.emit(order)
	return true
}

func (s *State) returnPermit(now time.Time, to string, sequence uint64, unused bool) {
	if to == "" {
		return
	}
	m := LoadReturn{Sequence: sequence, Unused: unused}
	if to == s.Self.HostID {
		returnLoadPermit(s, now, to, m)
		return
	}
	s.send(to, m)
}

// returnLoadPermit ends a load; the rate of one that was not made is given back.
func returnLoadPermit(s *State, now time.Time, from string, m LoadReturn) {
	store, ok := s.Stores[s.Self.Region]
	if !ok {
		return
	}
	f, ok := store.InFlight[m.Sequence]
	if !ok || f.Host != from {
		return
	}
	delete(store.InFlight, m.Sequence)
	if m.Unused {
		store.Bucket.Refund(now, 1, now.Add(-time.Second))
	}
}

// loadEnded queues the requests that waited for an adapter, or asks for its load again.
func loadEnded[P selector.Policy](s *State, now time.Time, e LoadEnded) {
	s.returnPermit(now, e.PermitFrom, e.PermitSequence, false)
	b, ok := s.Backends[e.Backend]
	if !ok {
		return
	}
	resident, ok := b.Residents[e.Adapter]
	if !ok || resident.Stage != ResidencyLoading {
		return
	}
	restarted := e.BackendIncarnation != 0 && b.Incarnation != 0 && e.BackendIncarnation != b.Incarnation
	if e.Failed || restarted {
		loadFailed(s, now, b, e, resident)
		restoreVictim[P](s, now, b, resident, !restarted)
		return
	}
	restoreVictim[P](s, now, b, resident, false)
	makeReady[P](s, now, b, resident)
	pump[P](s, now, b)
	s.Wants.Dirty = true
}

// restoreVictim makes the adapter that a load was to replace ready again, or drops it when its slot was taken.
func restoreVictim[P selector.Policy](s *State, now time.Time, b *Backend, resident *Resident, kept bool) {
	key := resident.Victim
	resident.Victim = AdapterKey{}
	victim, ok := b.Residents[key]
	if !ok || victim.Stage != ResidencyEvicting {
		return
	}
	if kept {
		makeReady[P](s, now, b, victim)
		return
	}
	if len(victim.Waiting) == 0 {
		b.forget(key)
		return
	}
	victim.Stage = ResidencyWanted
	victim.WantedAt = now
}

// makeReady queues the requests that waited for an adapter.
func makeReady[P selector.Policy](s *State, now time.Time, b *Backend, resident *Resident) {
	resident.Stage = ResidencyReady
	resident.ReadyAt = now
	waiting := resident.Waiting
	resident.Waiting = nil
	b.waiting -= len(waiting)
	for _, id := range waiting {
		queue[P](s, now, s.Requests[id], b)
	}
}

func loadFailed(s *State, now time.Time, b *Backend, e LoadEnded, resident *Resident) {
	s.Counters.LoadsFailed++
	s.note(EventLoadFailed, Field{"backend_server", b.ID}, Field{"adapter", e.Adapter.Name})
	if len(resident.Waiting) == 0 {
		b.forget(e.Adapter)
		return
	}
	resident.Stage = ResidencyWanted
	resident.RetryAt = now.Add(s.jitter(loadRetryAfter))
	s.Wants.Dirty = true
}

func less(a, b AdapterKey) bool {
	if a.Name != b.Name {
		return a.Name < b.Name
	}
	return a.Version < b.Version
}

func sortedAdapters[V any](m map[AdapterKey]V) []AdapterKey {
	keys := make([]AdapterKey, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool { return less(keys[i], keys[j]) })
	return keys
}

func sortRequests(list []*Request) {
	sort.Slice(list, func(i, j int) bool {
		if !list[i].ArrivedAt.Equal(list[j].ArrivedAt) {
			return list[i].ArrivedAt.Before(list[j].ArrivedAt)
		}
		return list[i].ID < list[j].ID
	})
}
