package cataloguer

import "reflect"

// Removed names the entries that a Delta takes out of a shard.
type Removed struct {
	Adapters       []string `yaml:"adapters,omitempty"`
	ClientAccounts []string `yaml:"client_accounts,omitempty"`
	Services       []string `yaml:"services,omitempty"`
	BackendServers []string `yaml:"backend_servers,omitempty"`
}

// Delta is the difference between two revisions of one shard.
type Delta struct {
	From    uint64  `yaml:"from"`
	To      uint64  `yaml:"to"`
	Full    bool    `yaml:"full"`
	Set     Shard   `yaml:"set"`
	Removed Removed `yaml:"removed"`
}

// Difference returns the delta that turns the older shard into the newer one.
func Difference(older, newer Shard) Delta {
	d := Delta{Set: Shard{Name: newer.Name}}
	d.Set.Adapters, d.Removed.Adapters = changed(older.Adapters, newer.Adapters, adapterName)
	d.Set.ClientAccounts, d.Removed.ClientAccounts = changed(older.ClientAccounts, newer.ClientAccounts, accountID)
	d.Set.Services, d.Removed.Services = changed(older.Services, newer.Services, serviceName)
	d.Set.BackendServers, d.Removed.BackendServers = changed(older.BackendServers, newer.BackendServers, backendServerID)
	d.Set.FailureDomains = newer.FailureDomains
	d.Set.Hosts = newer.Hosts
	d.Set.PreviousHosts = newer.PreviousHosts
	d.Set.WeightStore = newer.WeightStore
	d.Set.HostList = newer.HostList
	return d
}

// Apply returns the shard after the delta.
func Apply(shard Shard, delta Delta) Shard {
	if delta.Full {
		return delta.Set
	}
	next := delta.Set
	next.Adapters = merged(shard.Adapters, delta.Set.Adapters, delta.Removed.Adapters, adapterName)
	next.ClientAccounts = merged(shard.ClientAccounts, delta.Set.ClientAccounts, delta.Removed.ClientAccounts, accountID)
	next.Services = merged(shard.Services, delta.Set.Services, delta.Removed.Services, serviceName)
	next.BackendServers = merged(shard.BackendServers, delta.Set.BackendServers, delta.Removed.BackendServers, backendServerID)
	return next
}

func adapterName(a Adapter) string           { return a.Name }
func accountID(a ClientAccount) string       { return a.ID }
func serviceName(s Service) string           { return s.Name }
func backendServerID(b BackendServer) string { return b.ID }

func changed[T any](older, newer []T, name func(T) string) (set []T, removed []string) {
	before := make(map[string]T, len(older))
	for _, o := range older {
		before[name(o)] = o
	}
	for _, n := range newer {
		o, ok := before[name(n)]
		delete(before, name(n))
		if !ok || !reflect.DeepEqual(o, n) {
			set = append(set, n)
		}
	}
	for _, o := range older {
		if _, gone := before[name(o)]; gone {
			removed = append(removed, name(o))
		}
	}
	return set, removed
}

func merged[T any](base, set []T, removed []string, name func(T) string) []T {
	replaced := make(map[string]int, len(set))
	for i, s := range set {
		replaced[name(s)] = i
	}
	dropped := make(map[string]bool, len(removed))
	for _, r := range removed {
		dropped[r] = true
	}
	next := make([]T, 0, len(base)+len(set))
	for _, b := range base {
		if dropped[name(b)] {
			continue
		}
		if i, ok := replaced[name(b)]; ok {
			b = set[i]
			delete(replaced, name(b))
		}
		next = append(next, b)
	}
	for _, s := range set {
		if _, isNew := replaced[name(s)]; isNew {
			next = append(next, s)
		}
	}
	return next
}
