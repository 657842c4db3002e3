package reducer

import (
	"sort"
	"strconv"
	"time"

	"github.com/redwingpick/redwingpick/internal/hasher"
	"github.com/redwingpick/redwingpick/internal/selector"
	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// keptDeltas is the number of differences of each shard that a host keeps for its peers.
const keptDeltas = 32

// fullShards is the largest number of full shards in one answer to a peer.
const fullShards = 2

// parallelReads is the largest number of shards that a host reads from the platform at a time.
const parallelReads = 2

// Config is the configuration in force, with the tables that are derived from it.
type Config struct {
	Shards map[string]*ShardState
	// Revision is the highest revision of the platform that is wholly in force.
	Revision uint64
	// Seen is the highest revision that this host has heard of.
	Seen        uint64
	ConfirmedAt time.Time
	Pending     map[string]uint64
	// Reading holds the shards that are being read from the platform.
	Reading map[string]bool

	Adapters map[string]AdapterEntry
	Names    Names

	Accounts       map[string]cataloguer.ClientAccount
	Keys           map[string]string
	Services       map[string]cataloguer.Service
	BackendServers map[string]cataloguer.BackendServer
	FailureDomains map[string]cataloguer.FailureDomain
	Hosts          map[string]cataloguer.Host
	PreviousHosts  map[string]cataloguer.Host
	WeightStore    cataloguer.WeightStore
	Live           map[string]bool
	LiveKnown      bool

	Tables Tables
}

// ShardState is one shard in force; its adapters are kept in Config.Adapters alone.
type ShardState struct {
	Revision uint64
	// Refused is the highest revision that was refused as a whole.
	Refused uint64
	Rest    cataloguer.Shard
	Deltas  []cataloguer.Delta
}

// AdapterEntry is one adapter of the catalogue in 24 bytes; the numbers index Names.
type AdapterEntry struct {
	Version   uint32
	MaxTokens uint32
	Owner     uint32
	Shard     uint32
	BaseModel uint32
	Class     uint8
	Open      bool
}

// Names keeps each distinct string once.
type Names struct {
	Texts []string
	index map[string]uint32
}

// Tables holds the ranked names that placement and leases use, by region.
type Tables struct {
	Roster         map[string][]hasher.Name
	PreviousRoster map[string][]hasher.Name
	Candidates     map[string][]hasher.Name
	Engines        map[backendGroup][]hasher.Name
	Services       map[backendGroup][]hasher.Name
	Regions        []string
	Ring           []string
	Voters         map[string][]string
}

type backendGroup struct {
	Region string
	Name   string
}

func newConfig() Config {
	return Config{
		Shards:   map[string]*ShardState{},
		Pending:  map[string]uint64{},
		Reading:  map[string]bool{},
		Adapters: map[string]AdapterEntry{},
	}
}

// Index returns the number of text and adds it if it is new.
func (n *Names) Index(text string) uint32 {
	if i, ok := n.index[text]; ok {
		return i
	}
	if n.index == nil {
		n.index = map[string]uint32{}
	}
	i := uint32(len(n.Texts))
	n.Texts = append(n.Texts, text)
	n.index[text] = i
	return i
}

// Adapter returns the catalogue entry of an adapter.
func (c *Config) Adapter(name string) (cataloguer.Adapter, bool) {
	entry, ok := c.Adapters[name]
	if !ok {
		return cataloguer.Adapter{}, false
	}
	return c.unpack(name, entry), true
}

func (c *Config) unpack(name string, entry AdapterEntry) cataloguer.Adapter {
	return cataloguer.Adapter{
		Name:      name,
		Version:   entry.Version,
		BaseModel: c.Names.Texts[entry.BaseModel],
		Owner:     c.Names.Texts[entry.Owner],
		Class:     cataloguer.Classes[entry.Class],
		MaxTokens: int(entry.MaxTokens),
		Open:      entry.Open,
	}
}

func (c *Config) pack(shard uint32, a cataloguer.Adapter) AdapterEntry {
	return AdapterEntry{
		Version:   a.Version,
		MaxTokens: uint32(a.MaxTokens),
		Owner:     c.Names.Index(a.Owner),
		Shard:     shard,
		BaseModel: c.Names.Index(a.BaseModel),
		Class:     classNumber(a.Class),
		Open:      a.Open,
	}
}

func classNumber(class string) uint8 {
	for i, c := range cataloguer.Classes {
		if c == class {
			return uint8(i)
		}
	}
	return 0
}

// regionOf returns the region of a failure domain, which is the domain itself while its region is unknown.
func (c *Config) regionOf(failureDomain string) string {
	d, ok := c.FailureDomains[failureDomain]
	if !ok {
		return failureDomain
	}
	return d.Region
}

func (c *Config) withdrawn(failureDomain string) bool {
	return c.FailureDomains[failureDomain].State == cataloguer.StateWithdrawn
}

// known returns the revision of a shard that needs no further reading.
func (c *Config) known(name string) uint64 {
	shard, ok := c.Shards[name]
	if !ok {
		return 0
	}
	return max(shard.Revision, shard.Refused)
}

// have returns the revision in force of each shard.
func (c *Config) have() map[string]uint64 {
	have := make(map[string]uint64, len(c.Shards))
	for name, shard := range c.Shards {
		have[name] = shard.Revision
	}
	return have
}

// adopt puts a full shard in force if it is newer than the one in force, and keeps the difference for peers.
func (c *Config) adopt(shard cataloguer.Shard, revision uint64) bool {
	state, ok := c.Shards[shard.Name]
	if ok && state.Revision >= revision {
		return false
	}
	if !ok {
		state = &ShardState{}
		c.Shards[shard.Name] = state
	}
	older := state.Rest
	older.Adapters = c.adaptersOf(shard.Name)
	delta := cataloguer.Difference(older, shard)
	delta.From = state.Revision
	delta.To = revision
	c.apply(state, delta)
	return true
}

// applyUpdate puts a peer's update in force if it is newer and fits the revision in force.
func (c *Config) applyUpdate(update ShardUpdate) bool {
	if update.Delta.Full {
		shard := update.Delta.Set
		shard.Name = update.Name
		return c.adopt(shard, update.Delta.To)
	}
	state, ok := c.Shards[update.Name]
	if !ok || state.Revision != update.Delta.From || update.Delta.To <= state.Revision {
		return false
	}
	c.apply(state, update.Delta)
	return true
}

func (c *Config) apply(state *ShardState, delta cataloguer.Delta) {
	number := c.Names.Index(delta.Set.Name)
	for _, name := range delta.Removed.Adapters {
		if c.Adapters[name].Shard == number {
			delete(c.Adapters, name)
		}
	}
	for _, a := range delta.Set.Adapters {
		c.setAdapter(number, a)
	}
	older := state.Rest
	next := cataloguer.Apply(older, delta)
	next.Adapters = nil
	state.Rest = next
	state.Revision = delta.To
	state.Deltas = append(state.Deltas, delta)
	if len(state.Deltas) > keptDeltas {
		state.Deltas = append([]cataloguer.Delta(nil), state.Deltas[1:]...)
	}
	if delta.From == 0 {
		state.Deltas = nil
	}
}

// setAdapter keeps the entry of the shard whose name sorts first when a name stands in two shards.
func (c *Config) setAdapter(shard uint32, a cataloguer.Adapter) {
	if present, ok := c.Adapters[a.Name]; ok && c.Names.Texts[present.Shard] < c.Names.Texts[shard] {
		return
	}
	c.Adapters[a.Name] = c.pack(shard, a)
}

func (c *Config) adaptersOf(shard string) []cataloguer.Adapter {
	state, ok := c.Shards[shard]
	if !ok || state.Revision == 0 {
		return nil
	}
	return c.adaptersByShard(map[string]bool{shard: true})[shard]
}

func (c *Config) adaptersByShard(wanted map[string]bool) map[string][]cataloguer.Adapter {
	numbers := map[uint32]string{}
	for name := range wanted {
		numbers[c.Names.Index(name)] = name
	}
	found := map[string][]cataloguer.Adapter{}
	for name, entry := range c.Adapters {
		if shard, ok := numbers[entry.Shard]; ok {
			found[shard] = append(found[shard], c.unpack(name, entry))
		}
	}
	for _, list := range found {
		sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	}
	return found
}

// updatesFor returns what a host with the given revisions lacks: kept differences where they reach, else full shards.
//
// It returns at most fullShards full shards and reports whether more are left, which bounds the memory of both sides.
func (c *Config) updatesFor(have map[string]uint64) (updates []ShardUpdate, more bool) {
	full := map[string]bool{}
	for _, name := range sortedKeys(c.Shards) {
		state := c.Shards[name]
		if state.Revision <= have[name] {
			continue
		}
		chain := state.chainFrom(have[name])
		if chain == nil && len(full) >= fullShards {
			more = true
			continue
		}
		if chain == nil {
			full[name] = true
			continue
		}
		for _, d := range chain {
			updates = append(updates, ShardUpdate{Name: name, Delta: d})
		}
	}
	if len(full) == 0 {
		return updates, more
	}
	adapters := c.adaptersByShard(full)
	for _, name := range sortedKeys(full) {
		shard := c.Shards[name].Rest
		shard.Adapters = adapters[name]
		delta := cataloguer.Delta{To: c.Shards[name].Revision, Full: true, Set: shard}
		updates = append(updates, ShardUpdate{Name: name, Delta: delta})
	}
	return updates, more
}

func (s *ShardState) chainFrom(revision uint64) []cataloguer.Delta {
	for i, d := range s.Deltas {
		if d.From == revision && revision != 0 {
			return s.Deltas[i:]
		}
	}
	return nil
}

// derive rebuilds the merged sections and the ranked tables after a change.
func (c *Config) derive() {
	c.Accounts = map[string]cataloguer.ClientAccount{}
	c.Keys = map[string]string{}
	c.Services = map[string]cataloguer.Service{}
	c.BackendServers = map[string]cataloguer.BackendServer{}
	c.FailureDomains = map[string]cataloguer.FailureDomain{}
	c.Hosts = map[string]cataloguer.Host{}
	c.PreviousHosts = map[string]cataloguer.Host{}
	c.Live = map[string]bool{}
	c.LiveKnown = false
	names := sortedKeys(c.Shards)
	for i := len(names) - 1; i >= 0; i-- {
		c.merge(c.Shards[names[i]].Rest)
	}
	c.deriveTables()
}

func (c *Config) merge(shard cataloguer.Shard) {
	for _, a := range shard.ClientAccounts {
		c.Accounts[a.ID] = a
		for _, k := range a.Keys {
			c.Keys[k.Digest] = a.ID
		}
	}
	for _, v := range shard.Services {
		c.Services[v.Name] = v
	}
	for _, b := range shard.BackendServers {
		c.BackendServers[b.ID] = b
	}
	for _, d := range shard.FailureDomains {
		c.FailureDomains[d.Name] = d
	}
	for _, h := range shard.Hosts {
		c.Hosts[h.ID] = h
	}
	for _, h := range shard.PreviousHosts {
		c.PreviousHosts[h.ID] = h
	}
	if shard.WeightStore != nil {
		c.WeightStore = *shard.WeightStore
	}
	if shard.HostList != nil {
		c.LiveKnown = true
		for _, h := range shard.HostList.Live {
			c.Live[h] = true
		}
		for _, h := range shard.HostList.Leaving {
			delete(c.Live, h)
		}
	}
}

func (c *Config) deriveTables() {
	t := Tables{
		Roster:         map[string][]hasher.Name{},
		PreviousRoster: map[string][]hasher.Name{},
		Candidates:     map[string][]hasher.Name{},
		Engines:        map[backendGroup][]hasher.Name{},
		Services:       map[backendGroup][]hasher.Name{},
		Voters:         map[string][]string{},
	}
	for _, id := range sortedKeys(c.Hosts) {
		h := c.Hosts[id]
		region := c.regionOf(h.FailureDomain)
		name := hasher.NewName(id)
		t.Roster[region] = append(t.Roster[region], name)
		if (!c.LiveKnown || c.Live[id]) && !c.withdrawn(h.FailureDomain) {
			t.Candidates[region] = append(t.Candidates[region], name)
		}
	}
	for _, id := range sortedKeys(c.PreviousHosts) {
		region := c.regionOf(c.PreviousHosts[id].FailureDomain)
		t.PreviousRoster[region] = append(t.PreviousRoster[region], hasher.NewName(id))
	}
	t.Regions = sortedKeys(t.Roster)
	t.Ring = sortedKeys(c.Hosts)
	for _, id := range sortedKeys(c.BackendServers) {
		c.tableBackend(&t, c.BackendServers[id])
	}
	c.Tables = t
}

func (c *Config) tableBackend(t *Tables, b cataloguer.BackendServer) {
	if !c.eligible(b) {
		return
	}
	group := backendGroup{Region: c.regionOf(b.FailureDomain), Name: b.BaseModel}
	table := t.Engines
	if b.Kind == cataloguer.KindService {
		group.Name = b.Service
		table = t.Services
	}
	table[group] = append(table[group], hasher.NewName(b.ID))
}

// eligible reports whether a backend server may be given new work.
func (c *Config) eligible(b cataloguer.BackendServer) bool {
	inService := b.State == "" || b.State == cataloguer.StateInService
	return inService && !c.withdrawn(b.FailureDomain)
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

// applied follows a change of configuration through everything that depends on it.
func applied[P selector.Policy](s *State, now time.Time) {
	s.Config.derive()
	s.Self.Region = s.Config.regionOf(s.Self.FailureDomain)
	s.Counters.ConfigAdopted++
	recomputeWanted(s, now)
	followRoster(s, now)
	withdrawKeys[P](s, now)
	refreshKeepers(s, now)
	refreshBackends[P](s, now)
	s.note(EventConfigAdopted, Field{"revision", strconv.FormatUint(s.Config.Revision, 10)})
}
