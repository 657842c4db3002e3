package reducer

// Counters holds the counts of events since the start of the process, which the executor publishes as metrics.
type Counters struct {
	Ticks             uint64 `json:"ticks_total"`
	RequestsArrived   uint64 `json:"requests_arrived_total"`
	RequestsDone      uint64 `json:"requests_done_total"`
	RequestsFailed    uint64 `json:"requests_failed_total"`
	RequestsAbandoned uint64 `json:"requests_abandoned_total"`
	// LateResponses counts the answers whose first response came after the route's target, and SlowStreams the streams in which an event came
	// after the route's stream gap target.
	LateResponses   uint64 `json:"late_responses_total"`
	SlowStreams     uint64 `json:"slow_streams_total"`
	Dispatches      uint64 `json:"dispatches_total"`
	Retries         uint64 `json:"retries_total"`
	Resumes         uint64 `json:"resumes_total"`
	LoadStalls      uint64 `json:"load_stalls_total"`
	LoadStallMillis uint64 `json:"load_stall_ms_total"`
	Loads           uint64 `json:"loads_total"`
	ModelLoads      uint64 `json:"model_loads_total"`
	Unloads         uint64 `json:"unloads_total"`
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
	// TrialWaits counts the requests that waited for a trial, since they were lost at several crashes, Trials the trials, and TrialsLost those that were lost.
	TrialWaits uint64 `json:"trial_waits_total"`
	Trials     uint64 `json:"trials_total"`
	TrialsLost uint64 `json:"trials_lost_total"`
	// EraReturns counts the returns of the configuration service from an older copy, ItemsSettled the items for which what it has came into force
	// after that without having been written again, and OldAnswers its answers that were dropped since they are of an earlier era.
	EraReturns   uint64 `json:"era_returns_total"`
	ItemsSettled uint64 `json:"items_settled_total"`
	OldAnswers   uint64 `json:"old_answers_total"`
	// PeerReads counts the requests to peers for documents, and PeerReadsEmpty the responses that raised no revision.
	PeerReads      uint64 `json:"peer_reads_total"`
	PeerReadsEmpty uint64 `json:"peer_reads_empty_total"`
	// UpdateResponses counts the responses to peers' requests for documents, and StaleConfigurations how often event 107 was logged.
	UpdateResponses     uint64 `json:"updates_answered_total"`
	StaleConfigurations uint64 `json:"confirmations_old_total"`
	Ejections           uint64 `json:"ejections_total"`
	// RateLimitChanges counts the changes of limits that backend servers name, and RateLimitFaults the responses that named one that is not valid.
	RateLimitChanges uint64 `json:"rate_limit_changes_total"`
	RateLimitFaults  uint64 `json:"rate_limit_faults_total"`
	// ColdHeld and LimitedHeld count how often this host, as one of the senders, could not send a request to a cold or limited backend server
	// because its part of the rate was used up; a request counts again each time it is tried there.
	ColdHeld    uint64 `json:"cold_held_total"`
	LimitedHeld uint64 `json:"limited_held_total"`
	// LeavingNotices counts backend servers whose responses said that they drain, and Backoffs those that asked for no requests.
	LeavingNotices uint64 `json:"leaving_notices_total"`
	Backoffs       uint64 `json:"backoffs_total"`
	// RateSamples counts the responses that gave a sample of a service rate, RateSamplesSkipped the others while rates are estimated, and
	// LoadFiguresIgnored the reported figures of how long work takes that were out of range.
	RateSamples        uint64 `json:"service_rate_samples_total"`
	RateSamplesSkipped uint64 `json:"service_rate_samples_skipped_total"`
	LoadFiguresIgnored uint64 `json:"load_figures_ignored_total"`
	// ReturnsPromised counts the refusals with a time for the caller's return, and PromisedWaitMillis the sum of these waits. ReturnsKept counts
	// the callers that returned, as far as known, ReturnsRefused how often these were refused again, and EarlyReturns those that were early.
	ReturnsPromised    uint64 `json:"returns_promised_total"`
	PromisedWaitMillis uint64 `json:"promised_wait_ms_total"`
	ReturnsKept        uint64 `json:"returns_kept_total"`
	ReturnsRefused     uint64 `json:"returns_refused_total"`
	EarlyReturns       uint64 `json:"early_returns_total"`
	// LateAdmissions counts the requests that were sent although they were expected to miss their target, and PriorityRaises those whose priority
	// was raised by one.
	LateAdmissions uint64 `json:"late_admissions_total"`
	PriorityRaises uint64 `json:"priority_raises_total"`
	// SlowStarts counts slow starts of backend servers that began on this host, SlowStartBadAnswers the answers in them that were late or
	// missing, and SlowStartHeld how often a limit kept a request from a server.
	SlowStarts          uint64 `json:"slow_starts_total"`
	SlowStartBadAnswers uint64 `json:"slow_start_bad_answers_total"`
	SlowStartHeld       uint64 `json:"slow_start_held_total"`
	// BackendCrashes counts the crashes of backend servers at which this host lost requests, and Quarantines the quarantines of
	// content that began on this host.
	BackendCrashes      uint64              `json:"backend_crashes_total"`
	Quarantines         uint64              `json:"quarantines_total"`
	MismatchedResponses uint64              `json:"foreign_answers_total"`
	RefusedByReason     [ReasonCount]uint64 `json:"refused_by_reason"`
}
