package reducer

// Counters holds the counts of events since the start of the process, which the executor publishes as metrics.
type Counters struct {
	Ticks             uint64 `json:"ticks_total"`
	RequestsArrived   uint64 `json:"requests_arrived_total"`
	RequestsDone      uint64 `json:"requests_done_total"`
	RequestsFailed    uint64 `json:"requests_failed_total"`
	RequestsAbandoned uint64 `json:"requests_abandoned_total"`
	Dispatches        uint64 `json:"dispatches_total"`
	Retries           uint64 `json:"retries_total"`
	Resumes           uint64 `json:"resumes_total"`
	LoadStalls        uint64 `json:"load_stalls_total"`
	LoadStallMillis   uint64 `json:"load_stall_ms_total"`
	Loads             uint64 `json:"loads_total"`
	ModelLoads        uint64 `json:"model_loads_total"`
	Unloads           uint64 `json:"unloads_total"`
	// ReplicaChanges counts the changes of the number of an adapter's replicas, and ReplicaPreloads the requests for loads at replicas ahead of
	// their use.
	ReplicaChanges  uint64 `json:"replica_changes_total"`
	ReplicaPreloads uint64 `json:"replica_preloads_total"`
	// DemandsSent counts how often this host told all others of a risen demand.
	DemandsSent uint64 `json:"demands_sent_total"`
	// LoadsHeldBack counts how often a load was held back because loads slow each other down.
	LoadsHeldBack uint64 `json:"loads_held_back_total"`
	// KeepAlives counts the reloads of idle adapters that only show that this host lives.
	KeepAlives       uint64 `json:"keep_alive_orders_total"`
	LeasesAcquired   uint64 `json:"leases_taken_total"`
	LeasesLost       uint64 `json:"leases_lost_total"`
	ClaimsRefused    uint64 `json:"claims_refused_total"`
	EffectsExpired   uint64 `json:"effects_expired_total"`
	DocumentsRefused uint64 `json:"documents_refused_total"`
	ConfigReads      uint64 `json:"platform_reads_total"`
	// PeerReads counts the requests to peers for documents, and PeerReadsEmpty the responses that raised no revision.
	PeerReads      uint64 `json:"peer_reads_total"`
	PeerReadsEmpty uint64 `json:"peer_reads_empty_total"`
	// UpdateResponses counts the responses to peers' requests for documents, and StaleConfigurations how often event 107 was logged.
	UpdateResponses     uint64 `json:"updates_answered_total"`
	StaleConfigurations uint64 `json:"confirmations_old_total"`
	Ejections           uint64 `json:"ejections_total"`
	// LeavingNotices counts backend servers whose responses said that they drain, and Backoffs those that asked for no requests.
	LeavingNotices uint64 `json:"leaving_notices_total"`
	Backoffs       uint64 `json:"backoffs_total"`
	// BackendCrashes counts the crashes of backend servers at which this host lost requests, and Quarantines the quarantines of
	// content that began on this host.
	BackendCrashes      uint64              `json:"backend_crashes_total"`
	Quarantines         uint64              `json:"quarantines_total"`
	MismatchedResponses uint64              `json:"foreign_answers_total"`
	RefusedByReason     [ReasonCount]uint64 `json:"refused_by_reason"`
}
