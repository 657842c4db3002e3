package reducer

import "time"

// Status is the state of a host as operators see it; times are in milliseconds.
type Status struct {
	Host               string          `json:"host"`
	Incarnation        uint64          `json:"incarnation"`
	Ready              bool            `json:"ready"`
	Leaving            bool            `json:"leaving"`
	CatalogueVersion   int64           `json:"catalogue_version"`
	Revision           int64           `json:"revision"`
	ConfirmedAgeMs     int64           `json:"confirmed_age_ms"`
	WithdrawnDomains   []string        `json:"withdrawn_domains"`
	Documents          map[string]int  `json:"documents"`
	Hosts              []HostStatus    `json:"hosts"`
	Backends           []BackendStatus `json:"backend_servers"`
	Accounts           []AccountStatus `json:"accounts"`
	RequestsInProgress int             `json:"requests_in_progress"`
	Gauges             Gauges          `json:"gauges"`
}

// Gauges are the queues, budgets and ages of a host at one moment; their number does not grow with the fleet.
type Gauges struct {
	RequestsWaitingForTokens  int `json:"requests_waiting_for_tokens"`
	RequestsWaitingForRoom    int `json:"requests_waiting_for_room"`
	RequestsWaitingForAdapter int `json:"requests_waiting_for_adapter"`
	RequestsAtBackends        int `json:"requests_at_backend_servers"`
	// ConfirmedAgeMs is the age of the last word that nothing newer was published.
	ConfirmedAgeMs int64 `json:"confirmed_age_ms"`
	// HeardAgeMostMs is the longest time for which a host in use has been silent.
	HeardAgeMostMs int64 `json:"heard_age_most_ms"`
	// ReportAgeMostMs is the age of the oldest report by which this host orders a backend server.
	ReportAgeMostMs int64 `json:"report_age_most_ms"`
	HostsInUse      int   `json:"hosts_in_use"`
	HostsMembers    int   `json:"hosts_members"`
	BackendsUsable  int   `json:"backend_servers_usable"`
	BackendsEjected int   `json:"backend_servers_left_alone"`
	LeasesHeld      int   `json:"leases_held"`
	AdaptersWanted  int   `json:"adapters_wanted"`
	AdaptersLoading int   `json:"adapters_loading"`
	// RetryTokens is what each service's budget for repeats holds at this host.
	RetryTokens map[string]float64 `json:"retry_tokens"`
	// LoadExpectedMs is the expected time of a load from the store, by service.
	LoadExpectedMs map[string]int64 `json:"load_expected_ms"`
	// BudgetsKept is the number of accounts and other budgets that this host has granted from, and BudgetUsedMost the largest
	// used share of what such a budget allows in its window.
	BudgetsKept    int     `json:"budgets_kept"`
	BudgetUsedMost float64 `json:"budget_used_most"`
}

// HostStatus is another host as this one sees it.
type HostStatus struct {
	ID      string `json:"id"`
	Alive   bool   `json:"alive"`
	Ready   bool   `json:"ready"`
	AgeMs   int64  `json:"age_ms"`
	Holding int    `json:"holding"`
}

// BackendStatus is a backend server as this host sees it.
type BackendStatus struct {
	ID       string  `json:"id"`
	Service  string  `json:"service"`
	Usable   bool    `json:"usable"`
	Holder   string  `json:"holder"`
	Running  int     `json:"running"`
	Loss     float64 `json:"loss"`
	Adapters int     `json:"adapters"`
}

// AccountStatus is a client account's use of this host.
type AccountStatus struct {
	Name    string  `json:"name"`
	Level   float64 `json:"level"`
	Refused uint64  `json:"refused"`
}

func status(s *State, now time.Time, e StatusRequested) {
	g := gauges(s, now)
	v := Status{
		Host: s.Self.HostID, Incarnation: s.Self.Incarnation, Ready: s.Ready, Leaving: s.Draining.Active,
		Revision: s.Documents.Revision, ConfirmedAgeMs: g.ConfirmedAgeMs,
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
	for _, id := range sortedKeys(s.Hosts) {
		h := s.Hosts[id]
		v.Hosts = append(v.Hosts, HostStatus{
			ID: id, Alive: s.active(now, id), Ready: h.Record.Ready, AgeMs: now.Sub(h.LastHeartbeatAt).Milliseconds(), Holding: len(h.Record.Leases),
		})
	}
	for _, id := range sortedKeys(s.Backends) {
		b := s.Backends[id]
		v.Backends = append(v.Backends, BackendStatus{
			ID: id, Service: b.Info.Service, Usable: s.usable(now, b), Holder: s.holderOf(now, id), Running: b.Running,
			Loss: b.FailureRate, Adapters: len(b.Adapters),
		})
	}
	for _, name := range sortedKeys(s.Accounts) {
		a := s.Accounts[name]
		v.Accounts = append(v.Accounts, AccountStatus{Name: name, Level: a.Level, Refused: a.Refused})
	}
	s.emit(StatusResponse{ReplyID: e.ReplyID, Status: v})
}

func gauges(s *State, now time.Time) Gauges {
	g := Gauges{
		ConfirmedAgeMs: now.Sub(s.Watch.ConfirmedAt).Milliseconds(), HostsInUse: len(s.activeHosts(now)), HostsMembers: len(s.recentHosts(now)),
		RetryTokens: map[string]float64{}, LoadExpectedMs: map[string]int64{},
	}
	for _, r := range s.Requests {
		switch r.Phase {
		case PhaseTokens:
			g.RequestsWaitingForTokens++
		case PhaseQueued:
			g.RequestsWaitingForRoom++
		case PhaseLoading:
			g.RequestsWaitingForAdapter++
		case PhaseRunning, PhaseResponding:
			g.RequestsAtBackends++
		}
	}
	for id, h := range s.Hosts {
		if s.active(now, id) {
			g.HeardAgeMostMs = max(g.HeardAgeMostMs, now.Sub(h.LastHeartbeatAt).Milliseconds())
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
		g.RetryTokens[name] = v.Retries.Level
		g.LoadExpectedMs[name] = v.LoadTime.Milliseconds()
	}
	gaugeLeases(s, now, &g)
	gaugeBudgets(s, now, &g)
	return g
}

func gaugeLeases(s *State, now time.Time, g *Gauges) {
	for id, r := range s.Leases {
		if !s.holdsLease(now, id) {
			continue
		}
		g.LeasesHeld++
		g.AdaptersWanted += len(r.Inventory.Pending)
		g.AdaptersLoading += r.Inventory.inTransit()
		if !r.Inventory.ReportReadAt.IsZero() {
			g.ReportAgeMostMs = max(g.ReportAgeMostMs, now.Sub(r.Inventory.ReportReadAt).Milliseconds())
		}
	}
}

func gaugeBudgets(s *State, now time.Time, g *Gauges) {
	for name, k := range s.Quotas {
		p, ok := s.quota(name)
		if !ok || p.Allowed <= 0 {
			continue
		}
		g.BudgetsKept++
		used := k.used(now, p.Window)
		g.BudgetUsedMost = max(g.BudgetUsedMost, used.Total(now)/p.Allowed)
	}
}
