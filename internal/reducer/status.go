package reducer

import (
	"time"
)

// Status is the state of one host as operators see it.
type Status struct {
	Host           string          `json:"host"`
	FailureDomain  string          `json:"failure_domain"`
	Region         string          `json:"region"`
	Ready          bool            `json:"ready"`
	Draining       bool            `json:"draining"`
	Isolated       bool            `json:"isolated"`
	Revision       uint64          `json:"revision"`
	SeenRevision   uint64          `json:"seen_revision"`
	ConfirmedMs    int64           `json:"confirmed_ms"`
	Hosts          []string        `json:"hosts"`
	Rights         []string        `json:"rights"`
	BackendServers []BackendStatus `json:"backend_servers"`
	Accounts       []AccountStatus `json:"client_accounts"`
	Requests       int             `json:"requests"`
	Adapters       int             `json:"adapters"`
	Counters       Counters        `json:"counters"`
}

// BackendStatus is the state of one owned backend server.
type BackendStatus struct {
	ID          string `json:"id"`
	Known       bool   `json:"known"`
	Limit       int    `json:"limit"`
	Running     int    `json:"running"`
	Queued      int    `json:"queued"`
	Waiting     int    `json:"waiting"`
	Residents   int    `json:"residents"`
	Incarnation uint64 `json:"incarnation"`
	Fence       uint64 `json:"fence"`
}

// AccountStatus is the state of one client account on this host.
type AccountStatus struct {
	ID          string  `json:"id"`
	Rate        float64 `json:"rate_tokens_per_second"`
	Burst       float64 `json:"burst_tokens"`
	Held        float64 `json:"held_tokens"`
	Waiting     int     `json:"waiting"`
	Spent       float64 `json:"spent_tokens"`
	Refused     uint64  `json:"refused"`
	Keeper      bool    `json:"keeper"`
	Level       float64 `json:"level_tokens"`
	Outstanding float64 `json:"outstanding_tokens"`
}

// status answers an operator.
func status(s *State, now time.Time, e StatusAsked) {
	answer := Status{
		Host:          s.Self.HostID,
		FailureDomain: s.Self.FailureDomain,
		Region:        s.Self.Region,
		Ready:         s.Ready,
		Draining:      s.Draining.Active,
		Isolated:      s.isolated(now),
		Revision:      s.Config.Revision,
		SeenRevision:  s.Config.Seen,
		ConfirmedMs:   now.Sub(s.Config.ConfirmedAt).Milliseconds(),
		Hosts:         sortedKeys(s.Config.Live),
		Requests:      len(s.Requests),
		Adapters:      len(s.Config.Adapters),
		Counters:      s.Counters,
	}
	for _, r := range s.heldRights(now) {
		answer.Rights = append(answer.Rights, r.String())
	}
	for _, id := range sortedKeys(s.Backends) {
		answer.BackendServers = append(answer.BackendServers, backendStatus(s.Backends[id]))
	}
	for _, id := range sortedKeys(s.Config.Accounts) {
		answer.Accounts = append(answer.Accounts, accountStatus(s, now, id))
	}
	s.emit(StatusAnswer{ReplyID: e.ReplyID, Status: answer})
}

func backendStatus(b *Backend) BackendStatus {
	ready := 0
	for _, r := range b.Residents {
		if r.Stage == ResidencyReady {
			ready++
		}
	}
	return BackendStatus{
		ID: b.ID, Known: b.Known, Limit: b.Limit, Running: b.Running, Queued: b.Queue.Size, Waiting: b.waiting,
		Residents: ready, Incarnation: b.Incarnation, Fence: b.Fence,
	}
}

func accountStatus(s *State, now time.Time, id string) AccountStatus {
	a := s.Config.Accounts[id]
	answer := AccountStatus{ID: id, Rate: a.Rate, Burst: a.Burst}
	if w, ok := s.Wallets[id]; ok {
		answer.Held = w.held()
		answer.Waiting = len(w.Waiting)
		answer.Spent = w.Spent
		answer.Refused = w.Refused
	}
	right := accountRight(id, s.Self.Region)
	if h, ok := s.Leases.Holdings[right]; ok && h.Account != nil && s.holds(right, now) {
		answer.Keeper = true
		bucket := h.Account.Bucket
		bucket.Refill(now)
		answer.Level = bucket.Level
		answer.Outstanding = bucket.Outstanding
	}
	return answer
}
