package cataloguer

import (
	"net/netip"
	"strings"
	"time"
)

// RetryPolicy states whether a request of a route may run more than once.
type RetryPolicy uint8

// Retry policies of a route; 0 stands for an unknown policy.
const (
	// RetrySafe requests may run more than once.
	RetrySafe RetryPolicy = iota + 1
	// RetryNever requests may run at most once.
	RetryNever
	// RetryStream requests get a stream of events as response; they may run again only if the route is resumable.
	RetryStream
)

var retryPolicyNames = [...]string{"unknown", "safe", "unsafe", "stream"}

// String returns the name of the policy, as used in metrics.
func (r RetryPolicy) String() string { return retryPolicyNames[r] }

// Catalogue is one version of the operators' configuration.
type Catalogue struct {
	// Version grows with each published catalogue; an older version is never applied after a newer one.
	Version      int64
	Routes       []Route
	Services     []Service
	Accounts     []Account
	CallerLimits CallerLimits
}

// Route matches requests by the host name that they call and a prefix of their path.
type Route struct {
	Name        string
	HostName    string
	Prefix      string
	RetryPolicy RetryPolicy
	// Timeout is the longest time from the arrival of a request to the end of its response; 0 leaves the bound to the caller's own
	// deadline.
	Timeout time.Duration
	// LatencyTarget is the latency objective: the longest time from the arrival of a request to the first byte of its response.
	LatencyTarget time.Duration
	// StreamGapTarget is the latency objective within a stream: the longest time between two events.
	StreamGapTarget time.Duration
	// Priority orders waiting requests; 0 is the most urgent.
	Priority int
	// MaxAttempts is the largest number of times that a request may run, the first time included.
	MaxAttempts int
	// Anonymous is set if requests need no API key.
	Anonymous bool
	// Resumable is set if another backend server may continue a stream after its last delivered event.
	Resumable bool
	// TrafficSplit lists the services that serve the route, with their weights.
	TrafficSplit []WeightedService
}

// WeightedService is a service of a route; its share of the requests is Weight divided by the sum of the route's weights.
type WeightedService struct {
	Service string
	Weight  float64
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name string
	// MaxConnections is the largest number of connections to one backend server from all hosts together; 0 means no bound.
	MaxConnections int
	// ColdDuration is the length of the cold start of a backend server.
	ColdDuration time.Duration
	// ColdRate is the number of requests per second that a backend server tolerates in its cold start; 0 means no bound.
	ColdRate float64
	// Engine is nil for services that do not run models.
	Engine *Engine
}

// Engine describes the backend servers of a service that runs models.
type Engine struct {
	// Slots is the largest number of sequences in one batch.
	Slots int
	// KVCacheTokens is the capacity of the KV cache in tokens, for running sequences and cached prompt prefixes.
	KVCacheTokens int
	// AdapterSlots is the number of adapters that an engine can hold at the same time.
	AdapterSlots int
	// WeightMemoryMB is the memory for model weights, in megabytes.
	WeightMemoryMB float64
	// LoadsPerSecond is the largest rate of model loads from the weight store, over all backend servers of the service.
	LoadsPerSecond float64
	Models         []Model
}

// Model is a base model that an engine can hold.
type Model struct {
	Name string
	// WeightsMB is the size of the model's weights, in megabytes.
	WeightsMB float64
	// AdapterMB is the size of one adapter of the model, in megabytes.
	AdapterMB float64
	// SampleAdapter is the name of some adapter of the model; empty if the model has none.
	SampleAdapter string
	// LoadDuration is the usual time of a load from the weight store.
	LoadDuration time.Duration
}

// Account is one client account.
type Account struct {
	Name string
	// Keys are the API keys of the account.
	Keys []string
	// Priority overrides the priority of the route; a negative value leaves the route's.
	Priority int
	// Rate is the number of tokens or requests per second that the account may use over all hosts; 0 means no bound.
	Rate float64
	// Burst is the number of tokens or requests that the account may use at once beyond Rate.
	Burst float64
	// CountsTokens is set if Rate and Burst count tokens; otherwise they count requests.
	CountsTokens bool
	// DefaultTokens is the cost in tokens of a request that states no token count.
	DefaultTokens float64
}

// CallerLimits holds the published limits on the requests of callers; a MaxBodyBytes of 0 leaves the listener's default.
type CallerLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Backend is the entry that a backend server publishes about itself in the configuration service.
type Backend struct {
	ID      string
	Service string
	// Address is an IP address and a port, as ValidAddress accepts.
	Address       string
	FailureDomain string
	// StartedUnixMs is the start of this incarnation in milliseconds of Unix time; 0 if it is not published.
	StartedUnixMs int64
	// Slots is the number of requests that the backend server runs at the same time.
	Slots    int
	Draining bool
	// ColdRemaining is the rest of the cold start, counted from the publication of the entry.
	ColdRemaining time.Duration
	// AcceptedOrders is the number of orders that the backend server has accepted.
	AcceptedOrders int64
	Models         []ResidentModel
}

// ResidentModel is a model that a backend server holds in memory, with the adapters loaded for it.
type ResidentModel struct {
	Model    string
	Version  int64
	Adapters []Adapter
}

// Adapter is one version of an adapter; version 0 stands for the first one.
type Adapter struct {
	Name    string
	Version int64
}

// AdapterVersion declares the newest version of an adapter; older versions serve no new requests.
type AdapterVersion struct {
	Model   string
	Adapter string
	Version int64
}

// Document is one decoded item of the configuration service. The pointer that belongs to Kind is set unless the item is deleted or invalid;
// items of KindWithdrawnDomain and KindOther have none.
type Document struct {
	Key  string
	Kind Kind
	// Name is the backend server of an item of KindBackend or the failure domain of an item of KindWithdrawnDomain, otherwise empty.
	Name    string
	Version Version
	Deleted bool
	// Age is the time since a host read the item from the configuration service, for one that hosts send to each other.
	Age time.Duration
	// Raw is the item as published, which is the form in which hosts send it to each other; nil if the item is deleted.
	Raw []byte
	// DecodeError describes why the item could not be decoded; empty for a valid item.
	DecodeError    string
	Catalogue      *Catalogue
	Backend        *Backend
	AdapterVersion *AdapterVersion
}

// Kind is the kind of a document; it follows from the key and is known for deleted items as well.
type Kind uint8

// Kinds of documents.
const (
	// KindOther documents are not used.
	KindOther Kind = iota
	KindCatalogue
	KindBackend
	// KindWithdrawnDomain documents withdraw a failure domain: its backend servers get no new requests until the document is deleted.
	KindWithdrawnDomain
	KindAdapterVersion
)

// Limited reports whether the account has a rate limit.
func (a Account) Limited() bool { return a.Rate > 0 }

// Cost returns the number of units, tokens or requests, that a request with the given token count takes from the account's quota.
func (a Account) Cost(tokens int) float64 {
	switch {
	case !a.CountsTokens:
		return 1
	case tokens > 0:
		return float64(tokens)
	}
	return a.DefaultTokens
}

// MatchRoute returns the route of a request: the one with the longest matching path prefix among the routes of the host name, which is
// compared as is. The result is false if no route matches.
func (c *Catalogue) MatchRoute(hostName, path string) (Route, bool) {
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

// Service returns the service with the given name, and false if the catalogue has none.
func (c *Catalogue) Service(name string) (Service, bool) {
	for _, s := range c.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// ValidAddress reports whether text is an IP address and a port other than 0, such as 127.0.0.1:80 or [::1]:80; host names are not valid.
func ValidAddress(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return err == nil && address.Port() != 0
}
