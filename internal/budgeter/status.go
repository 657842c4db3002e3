package budgeter

import "github.com/redwingpick/redwingpick/internal/meter"

// Status is the state of a host's clients as shown to operators, with totals since the start.
type Status struct {
	HeldBytes   int64            `json:"held_bytes"`
	LimitBytes  int64            `json:"limit_bytes"`
	Connections map[string]int   `json:"connections"`
	Bounds      map[string]int   `json:"connection_bounds"`
	Groups      map[string]int64 `json:"held_bytes_by_group"`

	RefusedConnections uint64 `json:"connections_refused_total"`
	ClosedConnections  uint64 `json:"connections_closed_total"`
	DroppedRequests    uint64 `json:"requests_dropped_total"`
	RejectedHeads      uint64 `json:"heads_rejected_total"`
	// HeldByRequest summarizes the most bytes that each request held.
	HeldByRequest meter.Spread `json:"request_held_bytes"`
}
