package cataloguer

import (
	"net/netip"
	"strings"
	"time"
)

// RetryPolicy tells how often a request of a route may be run.
type RetryPolicy uint8

// Kinds of repetition.
const (
	// RetrySafe requests may run more than once.
	RetrySafe RetryPolicy = iota + 1
	// RetryNever requests may run at most once.
	RetryNever
	// RetryStream requests are answered by a stream of events; they may run again only where the route is resumable.
	RetryStream
)

var repeatNames = [...]string{"unknown", "safe", "unsafe", "stream"}

// String returns the name of the kind in metrics.
func (r RetryPolicy) String() string { return repeatNames[r] }

// Catalogue is one version of the operators' configuration.
type Catalogue struct {
	Version  int64
	Routes   []Route
	Services []Service
	Accounts []Account
	Callers  CallerLimits
}

// Route selects requests by the name of the called host and the start of their path.
type Route struct {
	Name        string
	HostName    string
	Prefix      string
	RetryPolicy RetryPolicy
	// Timeout is how long a caller may be kept waiting.
	Timeout time.Duration
	// Target is the time to the first piece of an answer that is on time.
	Target time.Duration
	// GapTarget is the longest pause in a stream that is on time.
	GapTarget time.Duration
	// Priority ranks routes; 0 is the most urgent.
	Priority    int
	MaxAttempts int
	// Open routes need no key.
	Open      bool
	Resumable bool
	Split     []Share
}

// Share is a service's part of a route's requests.
type Share struct {
	Service string
	Weight  float64
}

// Service is a set of backend servers that do the same work.
type Service struct {
	Name string
	// MaxConnections bounds the connections to one backend server from all hosts together.
	MaxConnections int
	// ColdDuration is how long a backend server stays cold after its start.
	ColdDuration time.Duration
	// ColdRate is the requests a second that a cold backend server tolerates; 0 means no bound.
	ColdRate float64
	// Engine is set for services that run models.
	Engine *Engine
}

// Engine describes the backend servers of a service that runs models.
type Engine struct {
	// Slots is the number of sequences in one batch.
	Slots int
	// CacheTokens is the memory for running sequences and kept prompt parts.
	CacheTokens  int
	AdapterSlots int
	MemoryMB     float64
	// LoadsPerSecond bounds the loads of models from the weight store over all backend servers.
	LoadsPerSecond float64
	Models         []Model
}

// Model is a base model that an engine can hold.
type Model struct {
	Name         string
	WeightsMB    float64
	AdapterMB    float64
	LoadDuration time.Duration
}

// Account is one client account.
type Account struct {
	Name string
	Keys []string
	// Priority goes before the route's; it is negative where the account has none.
	Priority int
	// Rate and Burst bound the account's use over all hosts, in tokens or requests; a Rate of 0 means no bound.
	Rate  float64
	Burst float64
	// ByTokens is set where the bounds count tokens; otherwise they count requests.
	ByTokens bool
	// PlainTokens is what a request counts that states no tokens.
	PlainTokens float64
}

// CallerLimits bounds what callers may send and how long they may take.
type CallerLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Backend is what a backend server publishes of itself.
type Backend struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	// StartedUnixMs is the start of this incarnation in milliseconds of Unix time; 0 if it is not published.
	StartedUnixMs int64
	Slots         int
	Draining      bool
	// ColdDuration is how long the backend server stayed cold from when it published this.
	ColdDuration time.Duration
	// Orders is the number of orders that it has accepted.
	Orders int64
	Models []Resident
}

// Resident is a model that a backend server holds, with its adapters.
type Resident struct {
	Model    string
	Version  int64
	Adapters []Adapter
}

// Adapter is one version of an adapter; version 0 stands for the first one.
type Adapter struct {
	Name    string
	Version int64
}

// AdapterVersion declares the newest version of an adapter.
type AdapterVersion struct {
	Model   string
	Adapter string
	Version int64
}

// Document is one published item, decoded; the pointer of its kind is set unless the item is gone or unreadable.
type Document struct {
	Key  string
	Kind Kind
	// Name is the backend server or the failure domain that the item is about, where it is about one.
	Name     string
	Revision int64
	Deleted  bool
	// Raw is the item as it was published, which hosts hand on to each other.
	Raw []byte
	// Fault says why the item cannot be used, or is empty.
	Fault     string
	Catalogue *Catalogue
	Backend   *Backend
	Version   *AdapterVersion
}

// Kind tells what a document is about, also when it is gone.
type Kind uint8

// Kinds of documents.
const (
	KindOther Kind = iota
	KindCatalogue
	KindBackend
	KindWithdrawn
	KindVersion
)

// Limited reports whether the account has a bound on its use.
func (a Account) Limited() bool { return a.Rate > 0 }

// Cost returns what a request with the given tokens counts against the account's bounds.
func (a Account) Cost(tokens int) float64 {
	switch {
	case !a.ByTokens:
		return 1
	case tokens > 0:
		return float64(tokens)
	}
	return a.PlainTokens
}

// Find returns the route of a request: among those of the host name, the one with the longest prefix of the path.
func (c *Catalogue) Find(hostName, path string) (Route, bool) {
	best := -1
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.HostName != hostName || !strings.HasPrefix(path, r.Prefix) {
			continue
		}
		if best < 0 || len(r.Prefix) > len(c.Routes[best].Prefix) {
			best = i
		}
	}
	if best < 0 {
		return Route{}, false
	}
	return c.Routes[best], true
}

// Service returns the service of a name.
func (c *Catalogue) Service(name string) (Service, bool) {
	for _, s := range c.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// ValidAddress reports whether text is an IP number and a port.
func ValidAddress(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return err == nil && address.Port() != 0
}
