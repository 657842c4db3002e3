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

func status(s *State, now time.Time, e StatusAsked) {
	v := Status{
		Host: s.Self.HostID, Incarnation: s.Self.Incarnation, Ready: s.Ready, Leaving: s.Draining.Active,
		Revision: s.Documents.Revision, ConfirmedAgeMs: now.Sub(s.Watch.ConfirmedAt).Milliseconds(),
		Documents: map[string]int{}, RequestsInProgress: len(s.Requests),
	}
	if s.Documents.Catalogue != nil {
		v.CatalogueVersion = s.Documents.Catalogue.Version
	}
	for _, item := range s.Documents.Items {
		if !item.Document.Gone {
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
			ID: id, Alive: s.alive(now, id), Ready: h.Record.Ready, AgeMs: now.Sub(h.HeardAt).Milliseconds(), Holding: len(h.Record.Holds),
		})
	}
	for _, id := range sortedKeys(s.Backends) {
		b := s.Backends[id]
		v.Backends = append(v.Backends, BackendStatus{
			ID: id, Service: b.Info.Service, Usable: s.usable(now, b), Holder: s.holderOf(now, id), Running: b.Running,
			Loss: b.Loss, Adapters: len(b.Adapters),
		})
	}
	for _, name := range sortedKeys(s.Accounts) {
		a := s.Accounts[name]
		v.Accounts = append(v.Accounts, AccountStatus{Name: name, Level: a.Level, Refused: a.Refused})
	}
	s.emit(StatusAnswer{ReplyID: e.ReplyID, Status: v})
}
