package cataloguer

import "time"

// Kinds of backend server.
const (
	KindEngine  = "engine"
	KindService = "service"
)

// Values of the state of a host, backend server or failure domain.
const (
	StateInService = "in_service"
	StateWithdrawn = "withdrawn"
	StateLeaving   = "leaving"
)

// Host is one entry host of the system.
type Host struct {
	ID            string `yaml:"id"`
	Address       string `yaml:"address"`
	PeerAddress   string `yaml:"peer_address"`
	FailureDomain string `yaml:"failure_domain"`
}

// FailureDomain is a set of hosts and backend servers that can be taken out together.
type FailureDomain struct {
	Name   string `yaml:"name"`
	Region string `yaml:"region"`
	State  string `yaml:"state,omitempty"`
}

// BackendServer is an engine or a plain service to which requests are routed.
type BackendServer struct {
	ID            string `yaml:"id"`
	Kind          string `yaml:"kind"`
	Address       string `yaml:"address"`
	FailureDomain string `yaml:"failure_domain"`
	State         string `yaml:"state,omitempty"`
	BaseModel     string `yaml:"base_model,omitempty"`
	Service       string `yaml:"service,omitempty"`
	ChecksFencing bool   `yaml:"checks_fencing,omitempty"`
	MaxRunning    int    `yaml:"max_running"`
	AdapterSlots  int    `yaml:"adapter_slots,omitempty"`
	ColdRunning   int    `yaml:"cold_running"`
	// ColdFor is how long the server bears no more than ColdRunning requests after it starts.
	ColdFor time.Duration `yaml:"cold_for"`
}

// Key is the digest of a key of a client account.
type Key struct {
	Digest string `yaml:"digest"`
}

// ClientAccount is a tenant with its keys and its limits in tokens.
type ClientAccount struct {
	ID     string  `yaml:"id"`
	Rate   float64 `yaml:"rate"`
	Burst  float64 `yaml:"burst"`
	Weight float64 `yaml:"weight,omitempty"`
	Keys   []Key   `yaml:"keys"`
}

// Adapter is a LoRA adapter in the version that serves now.
type Adapter struct {
	Name      string `yaml:"name"`
	Version   uint32 `yaml:"version"`
	BaseModel string `yaml:"base_model"`
	Owner     string `yaml:"owner"`
	Class     string `yaml:"class"`
	MaxTokens int    `yaml:"max_tokens"`
	Open      bool   `yaml:"open,omitempty"`
}

// Service is a plain service, whose calls may or may not be repeated.
type Service struct {
	Name       string `yaml:"name"`
	Owner      string `yaml:"owner,omitempty"`
	Open       bool   `yaml:"open,omitempty"`
	Repeatable bool   `yaml:"repeatable"`
	CallTokens int    `yaml:"call_tokens"`
}

// WeightStore holds the limits of the store that adapters are loaded from.
type WeightStore struct {
	LoadsPerSecond float64       `yaml:"loads_per_second"`
	MaxInFlight    int           `yaml:"max_in_flight"`
	LoadTime       time.Duration `yaml:"load_time"`
}

// Shard is one published value of the catalogue; each section may be absent.
type Shard struct {
	Name           string          `yaml:"shard"`
	FailureDomains []FailureDomain `yaml:"failure_domains,omitempty"`
	Hosts          []Host          `yaml:"hosts,omitempty"`
	PreviousHosts  []Host          `yaml:"previous_hosts,omitempty"`
	BackendServers []BackendServer `yaml:"backend_servers,omitempty"`
	ClientAccounts []ClientAccount `yaml:"client_accounts,omitempty"`
	Adapters       []Adapter       `yaml:"adapters,omitempty"`
	Services       []Service       `yaml:"services,omitempty"`
	WeightStore    *WeightStore    `yaml:"weight_store,omitempty"`
	HostList       *HostList       `yaml:"host_list,omitempty"`
}

// HostList is the platform's lagging list of live and leaving hosts.
type HostList struct {
	Live    []string `yaml:"live"`
	Leaving []string `yaml:"leaving,omitempty"`
}
