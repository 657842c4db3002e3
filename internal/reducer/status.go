package reducer

import (
	"time"

	"github.com/redwingpick/redwingpick/internal/admitter"
)

// Status is the state of a host as shown to operators; times are in milliseconds.
type Status struct {
	Host             string          `json:"host"`
	Incarnation      uint64          `json:"incarnation"`
	Ready            bool            `json:"ready"`
	Draining         bool            `json:"leaving"`
	CatalogueVersion int64           `json:"catalogue_version"`
	Era              int64           `json:"era"`
	Revision         int64           `json:"revision"`
	KeptItems        int             `json:"kept_items"`
	ConfirmedAgeMs   int64           `json:"confirmed_age_ms"`
	WithdrawnDomains []string        `json:"withdrawn_domains"`
	Documents        map[string]int  `json:"documents"`
	Hosts            []HostStatus    `json:"hosts"`
	Backends         []BackendStatus `json:"backend_servers"`
	Accounts         []AccountStatus `json:"accounts"`
	// Quarantined lists the content for which requests are refused.
	Quarantined        []QuarantineStatus `json:"quarantined"`
	RequestsInProgress int                `json:"requests_in_progress"`
	// HotAdapters lists the adapters with more than one replica, those with the largest demand first.
	HotAdapters []AdapterStatus `json:"hot_adapters,omitempty"`
	Gauges      Gauges          `json:"gauges"`
}

// Gauges holds the current queue lengths, quotas and ages of a host; the number of gauges does not grow with the number of hosts.
type Gauges struct {
	RequestsWaitingForTokens   int `json:"requests_waiting_for_tokens"`
	RequestsWaitingForCapacity int `json:"requests_waiting_for_room"`
	// RequestsWaitingByPriority is the number of requests that wait for capacity or for an adapter, by priority.
	RequestsWaitingByPriority [admitter.Priorities]int `json:"requests_waiting_by_priority"`
	// ReturnsPromised is the number of refused callers that were told to return and have not yet.
	ReturnsPromised           int `json:"returns_promised"`
	RequestsWaitingForAdapter int `json:"requests_waiting_for_adapter"`
	RequestsAtBackends        int `json:"requests_at_backend_servers"`
	// ConfirmedAgeMs is the time since the documents were last confirmed up to date.
	ConfirmedAgeMs int64 `json:"confirmed_age_ms"`
	// MaxHeartbeatAgeMs is the longest time since the last heartbeat of an active host.
	MaxHeartbeatAgeMs int64 `json:"heard_age_most_ms"`
	// MaxReportAgeMs is the age of the oldest report of the backend servers whose leases this host holds.
	MaxReportAgeMs  int64 `json:"report_age_most_ms"`
	HostsActive     int   `json:"hosts_in_use"`
	HostsRecent     int   `json:"hosts_members"`
	BackendsUsable  int   `json:"backend_servers_usable"`
	BackendsEjected int   `json:"backend_servers_left_alone"`
	// BackendsCold and BackendsLimited count the backend servers that this host takes for cold, and those that name a limit.
	BackendsCold    int `json:"backend_servers_cold"`
	BackendsLimited int `json:"backend_servers_limited"`
	LeasesHeld      int `json:"leases_held"`
	LoadsPending    int `json:"adapters_wanted"`
	AdaptersLoading int `json:"adapters_loading"`
	// RetryTokens is the number of retries left in this host's retry budget for each service.
	RetryTokens map[string]float64 `json:"retry_tokens"`
	// ExpectedLoadMs is the expected time to load an adapter from the weight store, by service.
	ExpectedLoadMs map[string]int64 `json:"load_expected_ms"`
	// QuotasCoordinated is the number of quotas for which this host, as the coordinator, has received requests, and MaxQuotaUsed the largest
	// used fraction of such a quota in its window.
	QuotasCoordinated int     `json:"budgets_kept"`
	MaxQuotaUsed      float64 `json:"budget_used_most"`
}

// QuarantineStatus is content of requests in quarantine.
type QuarantineStatus struct {
	Content string `json:"content"`
	// Crashes is the number of crashes of backend servers that the content explains, and EndsInMs the time to the end of the quarantine.
	Crashes  int   `json:"crashes"`
	EndsInMs int64 `json:"ends_in_ms"`
}

// HostStatus is the state of another host as known to this one.
type HostStatus struct {
	ID         string `json:"id"`
	Active     bool   `json:"alive"`
	Ready      bool   `json:"ready"`
	AgeMs      int64  `json:"age_ms"`
	LeasesHeld int    `json:"holding"`
}

// BackendStatus is the state of a backend server as known to this host.
type BackendStatus struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	// Usable is set if this host may send the server requests now; one that is limited is left to its senders.
	Usable bool `json:"usable"`
	// State is why the server gets no new requests from this host, or allowed, cold, limited or starting.
	State string `json:"state"`
	// StateEndsInMs is the time until the state ends by itself; 0 if it does not.
	StateEndsInMs int64 `json:"state_ends_in_ms"`
	// StartLimit is the number of requests that all hosts may have waiting for their first response while the server is in slow start, and
	// StartReason why the slow start began.
	StartLimit  float64 `json:"start_limit,omitempty"`
	StartReason string  `json:"start_reason,omitempty"`
	BoundStatus
	Holder      string  `json:"holder"`
	Running     int     `json:"running"`
	FailureRate float64 `json:"loss"`
	Adapters    int     `json:"adapters"`
	// ServiceRate is the prompt tokens or calls per second that the server usually does, and Slowdown the factor by which they take longer at
	// present; both are left out if rates are not estimated.
	ServiceRate float64 `json:"service_rate,omitempty"`
	Slowdown    float64 `json:"slowdown,omitempty"`
}

// AdapterStatus is the demand for an adapter and its replicas as known to this host.
type AdapterStatus struct {
	Model    string `json:"model"`
	Adapter  string `json:"adapter"`
	Replicas int    `json:"replicas"`
	// Ready is the number of backend servers that hold the adapter, as far as this host knows.
	Ready int `json:"ready"`
	// TokensPerSecond is the demand at all hosts.
	TokensPerSecond int64 `json:"tokens_per_s"`
}

// AccountStatus is the state of a client account, or another account with a fleet-wide quota, on this host.
type AccountStatus struct {
	Name    string  `json:"name"`
	Level   float64 `json:"level"`
	Refused uint64  `json:"refused"`
}

// statusRequested responds to an operator with the state of this host.
func statusRequested(s *State, now time.Time, e StatusRequested) {
	g := gauges(s, now)
	v := Status{
		Host: s.Self.HostID, Incarnation: s.Self.Incarnation, Ready: s.Ready, Draining: s.Draining.Active,
		Era: s.Documents.Version.Era, Revision: s.Documents.Version.Revision, KeptItems: len(s.Documents.Era.Kept), ConfirmedAgeMs: g.ConfirmedAgeMs,
		Documents: map[string]int{}, RequestsInProgress: len(s.Requests), Gauges: g,
	}
	if s.Documents.Catalogue != nil {
		v.CatalogueVersion = s.Documents.Catalogue.Version
	}
	for _, item := range s.Documents.Items {
		if !item.Document.Deleted {
			v.Documents[kindNames[item.Document.Kind]]++
		}
	}
	for _, domain := range sortedKeys(s.Documents.Withdrawn) {
		if s.Documents.Withdrawn[domain] {
			v.WithdrawnDomains = append(v.WithdrawnDomains, domain)
		}
	}
	for _, content := range sortedKeys(s.Isolation.Content.Suspects) {
		if suspect := s.Isolation.Content.Suspects[content]; now.Before(suspect.QuarantinedUntil) {
			v.Quarantined = append(v.Quarantined, QuarantineStatus{
				Content: content, Crashes: len(suspect.Crashes), EndsInMs: suspect.QuarantinedUntil.Sub(now).Milliseconds(),
			})
		}
	}
	for _, id := range sortedKeys(s.Hosts) {
		h := s.Hosts[id]
		v.Hosts = append(v.Hosts, HostStatus{
			ID: id, Active: s.active(now, id), Ready: h.Record.Ready, AgeMs: now.Sub(h.LastHeartbeatAt).Milliseconds(),
			LeasesHeld: len(h.Record.Leases),
		})
	}
	for _, id := range sortedKeys(s.Backends) {
		b := s.Backends[id]
		state, until := s.sendState(now, b)
		endsIn := int64(0)
		if !until.IsZero() {
			endsIn = until.Sub(now).Milliseconds()
		}
		status := BackendStatus{
			ID: id, Service: b.Info.Service, Usable: s.usable(now, b), State: state.String(), StateEndsInMs: endsIn, Holder: s.holderOf(now, id), Running: b.Running,
			FailureRate: b.FailureRate, Adapters: len(b.Adapters), StartLimit: b.SlowStart.Ramp.Limit(now), StartReason: b.SlowStart.Ramp.Reason.String(),
			BoundStatus: s.boundStatus(now, b),
		}
		if s.Limits.Adaptive.Pace {
			status.ServiceRate, status.Slowdown = s.usualRate(now, b), b.Pacing.Estimate.Slowdown(now)
		}
		v.Backends = append(v.Backends, status)
	}
	for _, name := range sortedKeys(s.Accounts) {
		a := s.Accounts[name]
		v.Accounts = append(v.Accounts, AccountStatus{Name: name, Level: a.Level, Refused: a.Refused})
	}
	v.HotAdapters = s.hotAdapters(now)
	s.emit(StatusResponse{ReplyID: e.ReplyID, Status: v})
}

func gauges(s *State, now time.Time) Gauges {
	g := Gauges{
		ConfirmedAgeMs: now.Sub(s.Watch.ConfirmedAt).Milliseconds(), HostsActive: len(s.activeHosts(now)), HostsRecent: len(s.recentHosts(now)),
		RetryTokens: map[string]float64{}, ExpectedLoadMs: map[string]int64{},
	}
	for _, r := range s.Requests {
		if r.Phase == PhaseQueued || r.Phase == PhaseAwaitingAdapter {
			g.RequestsWaitingByPriority[min(max(r.Priority, 0), admitter.Priorities-1)]++
		}
		switch r.Phase {
		case PhaseAwaitingTokens:
			g.RequestsWaitingForTokens++
		case PhaseQueued:
			g.RequestsWaitingForCapacity++
		case PhaseAwaitingAdapter:
			g.RequestsWaitingForAdapter++
		case PhaseRunning, PhaseResponding:
			g.RequestsAtBackends++
		}
	}
	for id, h := range s.Hosts {
		if s.active(now, id) {
			g.MaxHeartbeatAgeMs = max(g.MaxHeartbeatAgeMs, now.Sub(h.LastHeartbeatAt).Milliseconds())
		}
	}
	for _, b := range s.Backends {
		if s.usable(now, b) {
			g.BackendsUsable++
		}
		if now.Before(b.EjectedUntil) {
			g.BackendsEjected++
		}
	}
	for name, v := range s.Services {
		g.RetryTokens[name] = v.RetryBudget.Level
		g.ExpectedLoadMs[name] = v.LoadTime.Milliseconds()
		g.ReturnsPromised += len(v.Admission.Returns.Promises)
	}
	gaugeBounds(s, now, &g)
	gaugeLeases(s, now, &g)
	gaugeQuotas(s, now, &g)
	return g
}

// gaugeLeases sets the gauges on the leases that this host holds.
func gaugeLeases(s *State, now time.Time, g *Gauges) {
	for id, l := range s.Leases {
		if !s.holdsLease(now, id) {
			continue
		}
		g.LeasesHeld++
		g.LoadsPending += len(l.Inventory.Pending)
		g.AdaptersLoading += l.Inventory.loadingCount()
		if !l.Inventory.ReportReadAt.IsZero() {
			g.MaxReportAgeMs = max(g.MaxReportAgeMs, now.Sub(l.Inventory.ReportReadAt).Milliseconds())
		}
	}
}

// gaugeQuotas sets the gauges on the quotas that this host coordinates.
func gaugeQuotas(s *State, now time.Time, g *Gauges) {
	for name, u := range s.Quotas {
		q, ok := s.quota(name)
		if !ok || q.Allowed <= 0 {
			continue
		}
		g.QuotasCoordinated++
		used := u.used(now, q.Window)
		g.MaxQuotaUsed = max(g.MaxQuotaUsed, used.Total(now)/q.Allowed)
	}
}
