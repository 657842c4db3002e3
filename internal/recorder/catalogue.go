package recorder

import (
	"sort"

	"github.com/phuslu/log"

	"github.com/redwingpick/redwingpick/internal/reducer"
)

// Numbers of the events that are recorded outside the reducer.
const (
	EventStarted                 = 1
	EventStopped                 = 2
	EventSettingsRejected        = 3
	EventListenFailed            = 4
	EventSettingsReloaded        = 5
	EventInvariantBroken         = 11
	EventLibraryMessage          = 12
	EventMailboxFull             = 13
	EventLinesDropped            = 14
	EventConfigServiceCallFailed = 15
	EventEraInvalid              = 16
	EventConnectionRefused       = 215
	EventConnectionClosed        = 216
	EventRequestDropped          = 217
	EventHeadRejected            = 218
)

// Entry describes one numbered event; lines of Routine events are the first to be dropped when the log exceeds its budget.
type Entry struct {
	Number  int
	Level   log.Level
	Routine bool
	Text    string
	Meaning string
	Action  string
}

var entries = []Entry{
	{EventStarted, log.InfoLevel, false, "host started", "The daemon has read its settings and is listening.", "None."},
	{EventStopped, log.InfoLevel, false, "host stopped", "The daemon has stopped; cut_requests is the number of requests that it could not finish.", "If cut_requests is above 0, look for requests that take longer than the grace period."},
	{EventSettingsRejected, log.ErrorLevel, false, "settings rejected", "The settings file was read again and is invalid; error names the line and the field. The previous settings stay in effect.", "Correct the field; check the file with `redwingpick check`."},
	{EventListenFailed, log.ErrorLevel, false, "cannot listen", "The daemon cannot listen on an address of its settings.", "Free the address or change it."},
	{EventSettingsReloaded, log.InfoLevel, false, "settings reloaded", "The settings file was read again; changed says whether a setting differs from the previous reading.", "None."},
	{EventInvariantBroken, log.ErrorLevel, false, "invariant broken", "A runtime check of the program failed; rule names the violated rule.", "Report it with the log; the host keeps running."},
	{EventLibraryMessage, log.InfoLevel, false, "library message", "A message of the HTTP library.", "None."},
	{EventMailboxFull, log.WarnLevel, false, "mailbox full", "The control goroutine has fallen behind; new requests are refused and have not run.", "Add hosts."},
	{EventLinesDropped, log.WarnLevel, false, "log lines dropped", "Lines were dropped because the byte budget of the log was exhausted or the log was read too slowly; lines is their number.", "If the lines are needed, raise log_bytes_per_second, or check what reads the log."},
	{EventConfigServiceCallFailed, log.WarnLevel, false, "platform call failed", "A call to the configuration service failed; error is the cause.", "Check the service if the failures persist."},
	{EventEraInvalid, log.WarnLevel, false, "era not readable", "The configuration service states an era that is no number; its answers count as those without one until it states a valid one. Logged once until then.", "Look for what changes the header on its way."},
	{reducer.EventCatalogueApplied, log.InfoLevel, false, "catalogue applied", "This host applied a newer version of the operators' configuration; from is the peer that sent it, or platform, and confirmed_age_ms the time since the configuration was last confirmed up to date.", "None."},
	{reducer.EventDocumentRefused, log.WarnLevel, false, "document refused", "A published item is invalid; the item that it would replace stays in effect.", "Find the writer of the key."},
	{reducer.EventConfigServiceUnavailable, log.WarnLevel, false, "configuration read failed", "A read from the configuration service failed; the applied configuration stays in effect, and updates still come from peers that have them.", "Check the service if the failures persist."},
	{reducer.EventConfigServiceRecovered, log.InfoLevel, false, "configuration reads recovered", "Reads from the configuration service succeed again.", "None."},
	{reducer.EventReadinessChanged, log.InfoLevel, false, "readiness changed", "The host became ready or stopped being ready.", "None."},
	{reducer.EventDomainWithdrawn, log.InfoLevel, false, "failure domain withdrawn", "Backend servers of the failure domain get no new requests until withdrawn is false.", "None."},
	{reducer.EventConfigurationStale, log.WarnLevel, false, "configuration not confirmed", "The configuration of this host has not been confirmed up to date for longer than config_ms; it stays in effect.", "Look for a partition, or a configuration service that does not respond."},
	{reducer.EventConfigurationConfirmed, log.InfoLevel, false, "configuration confirmed", "The configuration of this host is confirmed up to date again; gap_ms is the time between the two confirmations.", "None."},
	{reducer.EventHostJoined, log.InfoLevel, false, "host joined", "This host discovered another host.", "None."},
	{reducer.EventHostRecovered, log.InfoLevel, false, "host recovered", "An unreachable host is reachable again.", "None."},
	{reducer.EventHostUnreachable, log.WarnLevel, false, "host unreachable", "The heartbeats of a host have stopped for longer than a timeout that follows from contact_ms; the host is not used while it is unreachable.", "None, unless it persists."},
	{reducer.EventHostRemoved, log.InfoLevel, false, "host removed", "This host dropped its record of a host that was unreachable for long.", "None."},
	{reducer.EventVotersKnown, log.InfoLevel, false, "voter set known", "This host learned from peer which hosts vote on leases, or bootstrapped the voter set itself.", "None."},
	{reducer.EventBecameVoter, log.InfoLevel, false, "became a voter", "This host votes on leases from now on.", "None."},
	{reducer.EventMajorityChanged, log.WarnLevel, false, "voter majority changed", "heard says whether a majority of the voters is reachable; a voter that does not reach a majority grants no lease.", "If heard stays false, look for a partition."},
	{reducer.EventVoterEvicted, log.InfoLevel, false, "voter evicted", "This host removed peer, which is unreachable, from the voter set.", "None, unless the host is running."},
	{reducer.EventForeignOrderSeen, log.InfoLevel, true, "order of another host seen", "The backend server has accepted orders while this host knows of no host that may send any; this host then neither bootstraps a voter set nor claims leases. orders is the server's count.", "None, unless it persists after a partition."},
	{reducer.EventEraLearned, log.WarnLevel, false, "new era learned", "An answer of the configuration service states a later era: the service has come back from an older copy, and this host reads all items again, itself or from a peer.", "None; event 124 follows within some seconds."},
	{reducer.EventEraEntered, log.WarnLevel, false, "new era entered", "This host has read the state of a later era, from the peer that from names or from platform, era_age_ms after a host first did. former_era and former_revision are what it had read up to, era and revision what it has now; items is the number of items read, changed those that came into force, kept those of an earlier era that stay in force, and to_settle those for which that ends unless they are written again.", "Make sure that operators write what they published lately once more; see docs/OPERATIONS.md."},
	{reducer.EventItemSettled, log.WarnLevel, false, "kept item settled", "An item of an earlier era was not written again in time, so what the configuration service has came into force, or the item was taken as deleted.", "Check the writer of the key if it should still be there."},
	{reducer.EventOldAnswerDropped, log.WarnLevel, false, "old answer dropped", "An answer of the configuration service is of an earlier era than known_era, or continues a watch of an earlier one; it changes nothing.", "None, unless it persists: then an outdated copy of the service is answering."},
	{reducer.EventDrainStarted, log.InfoLevel, false, "drain started", "The host is draining: its address is no longer given to callers.", "None."},
	{reducer.EventDrainDone, log.InfoLevel, false, "drain done", "The host may stop; requests is the number of requests still in progress.", "None."},
	{reducer.EventLeaseAcquired, log.InfoLevel, false, "lease taken", "This host now holds the lease of the backend server and alone sends it orders; voters are the hosts that it asked, backed_by those that granted its claim, known_hosts the number of hosts that it knew.", "None."},
	{reducer.EventLeaseLost, log.WarnLevel, false, "lease lost", "A quorum of voters did not renew the lease in time; this host no longer holds the lease of the backend server.", "Look for a partition or a paused host."},
	{reducer.EventLeaseGranted, log.InfoLevel, false, "lease granted", "This host, as a voter, granted the lease of the backend server to another holder than before; voters are the hosts that vote on this lease, as far as this host knows.", "None."},
	{reducer.EventClaimRefused, log.InfoLevel, true, "claim refused", "This host, as a voter, did not grant a claim; reason says why, and holder is the host to which it last granted the lease.", "None."},
	{reducer.EventBackendJoined, log.InfoLevel, false, "backend server joined", "An incarnation of a backend server was published.", "None."},
	{reducer.EventBackendDraining, log.InfoLevel, false, "backend server draining", "The backend server gets no new requests.", "None."},
	{reducer.EventBackendRemoved, log.InfoLevel, false, "backend server removed", "The entry of the backend server was removed; platform_well_ms is how long the configuration service had been healthy.", "None."},
	{reducer.EventBackendEjected, log.WarnLevel, false, "backend server ejected", "Consecutive exchanges with the backend server failed; this host sends it no requests for pause_ms.", "Check the server if it persists."},
	{reducer.EventBackendLeaving, log.InfoLevel, false, "backend server leaving", "A response of the backend server said that the server drains; this host sends it no new requests, and running is the number that it still has there.", "None."},
	{reducer.EventBackendBackoff, log.WarnLevel, false, "backend server asked for a pause", "The backend server rejected a request and asked this host to send it nothing for backoff_ms.", "Add capacity to the service if it persists."},
	{reducer.EventBackendCrashed, log.WarnLevel, false, "backend server crashed", "The backend server closed the connections of requests of this host and then gave no report; lost is the number of these requests whose answer had not begun, or had begun less than a second before, and lost_age_ms the time since the first was lost.", "Check the server; look for event 148."},
	{reducer.EventContentQuarantined, log.WarnLevel, false, "content quarantined", "Requests with the content, a part of prompts or a version of an adapter, are refused for quarantine_ms: backend servers crashed as often as crashes says while they began to answer such requests, and none was answered since; answered_age_ms is the time since one was last answered, if it is known, and peer the host that told this one, if the quarantine did not begin here.", "Find out from the servers' own logs why the content crashes them; see docs/OPERATIONS.md for ending the quarantine."},
	{reducer.EventContentReleased, log.InfoLevel, false, "content released", "The quarantine of the content is over: its time has passed, or a request with the content was answered.", "None."},
	{reducer.EventOrderSent, log.InfoLevel, true, "order sent", "This host, which holds the lease, ordered the backend server to load or unload an adapter. An adapter that is unloaded and loaded again while nothing waits shows hosts behind a partition that this fleet lives.", "None."},
	{reducer.EventOrderFailed, log.WarnLevel, false, "order failed", "The backend server rejected an order, or did not respond to it and may have carried it out (result unknown).", "Check the server if it persists."},
	{reducer.EventAdapterLoaded, log.InfoLevel, true, "adapter loaded", "The expected duration of a load has passed, and the adapter counts as loaded.", "None."},
	{reducer.EventAdapterRequested, log.InfoLevel, true, "adapter requested", "A host asked this host, which holds the lease, for an adapter that is neither loaded nor loading in the requested version; comes says whether the adapter is now loading, or loaded in an older version.", "None."},
	{reducer.EventTrialBegan, log.WarnLevel, false, "trial began", "This host sends a request alone, as a trial, since requests with the same fingerprint (content) were lost at several crashes of servers (crashes); peer is the arbiter of its service.", "None; if event 148 follows, find out what the request makes the servers do."},
	{reducer.EventTrialEnded, log.WarnLevel, false, "trial ended", "The trial has ended; lost says whether the server closed the connection without an answer. A complete answer ends the suspicion.", "None."},
	{reducer.EventReplicasChanged, log.InfoLevel, true, "replicas changed", "This host uses another number of replicas of an adapter from now on, since the demand changed; tokens_per_s is the demand at all hosts, prefill_rate the prompt tokens that an engine processes per second, and most the largest number.", "None."},
	{reducer.EventServiceRateChanged, log.InfoLevel, true, "service rate changed", "The estimate of how fast the backend server works has changed by half: rate is the prompt tokens or calls per second that it does, domain_rate and service_rate the means of its failure domain and service, work and busy_ms the samples of this host behind it, and others_work and others_busy_ms those of the other hosts.", "Check the server if its rate stays far below domain_rate."},
	{reducer.EventBackendSlowed, log.InfoLevel, true, "backend server slowed", "The backend server reported that work takes twice as long as usual or longer (slowed true), or no longer does; percent is its figure, and usual_rate the prompt tokens or calls per second that it does without that.", "Look for what shares the machine if it persists."},
	{reducer.EventLoadFigureIgnored, log.WarnLevel, false, "load figure ignored", "The backend server reported that work takes percent of the usual time, which is outside 10 to 10,000; such figures of a server are logged once a minute and not used.", "Check the server."},
	{reducer.EventSlowStartBegan, log.InfoLevel, false, "slow start began", "The backend server gets few requests at first, and more as it answers in time; reason says why (started, returned, paused, ejected, silent, or reported by the lease holder). limit is the number of requests that all hosts may have there before their first response, senders the number of hosts that share it.", "None, unless it recurs for one server."},
	{reducer.EventSlowStartLimit, log.InfoLevel, false, "slow start limit changed", "The limit of a backend server in slow start has doubled or halved since the last line; good_answers is the number of answers in time since it was last lowered.", "If it stays low, check the server: it answers late, refuses requests or fails."},
	{reducer.EventSlowStartEnded, log.InfoLevel, false, "slow start ended", "The backend server is used without a limit again; took_ms is how long the slow start took.", "None."},
	{reducer.EventLoadsSlowed, log.InfoLevel, true, "loads slowed", "This host found that loads of adapters from the weight store slow each other down, and orders fewer from now on; took_ms is the time of a load, usual_ms the usual time, loads_per_s what this host orders at most, and leases the backend servers that it orders loads for.", "None, unless it persists; then look at the weight store, or add adapter slots."},
	{reducer.EventColdStartBegan, log.InfoLevel, false, "cold start began", "This host takes the backend server for cold from now on, for cold_ms: reason says whether the server had just joined, has published that it is cold, or stands in a failure domain that is no longer withdrawn. published_ms is what its entry says, sender whether this host is one of those that may send it requests in that time, and senders names these, as far as this host knows the voter set.", "None."},
	{reducer.EventRateLimitChanged, log.InfoLevel, false, "rate limit changed", "The backend server takes no more than limit requests per second from all hosts together from now on, or any number with limit 0; peer is the host that told of it, and empty if a response to this host did, or if no response to any host has stated the limit for a minute. sender and senders are as in event 170.", "If it stays, add capacity to the service."},
	{reducer.EventRateLimitIgnored, log.WarnLevel, false, "rate limit ignored", "The backend server named a limit that is not valid, for the reason in fault; limit is what this host knew before, which stays. Such limits of a server are logged once a minute.", "Correct the server."},
	{reducer.EventRequestSent, log.InfoLevel, true, "request sent", "The request was sent to a backend server; server_state is what this host took it for (allowed, cold, limited or starting), running is the number of requests that this host has there now, others_running that of the other hosts as last reported, and prefill_tokens the number of prompt tokens of the request that the server is not expected to have cached, and content is what other requests may share of it: its adapter, the first 32 parts of its prompt by their IDs, and the number of further parts; IDs of more than 64 bytes are hashed.", "None."},
	{reducer.EventRequestEnded, log.InfoLevel, true, "request ended", "The response of the backend server was delivered.", "None."},
	{reducer.EventRequestRefused, log.WarnLevel, false, "request refused", "This host answered the request itself; service is where its route would have sent it, reason says why, and last_failure is retries_spent if the retry budget of the service allowed no further attempt; content is the content in quarantine with reason quarantined.", "See docs/OPERATIONS.md."},
	{reducer.EventAttemptFailed, log.WarnLevel, false, "attempt failed", "An attempt at a backend server failed; disconnected says whether the server closed or reset the connection, events is the number of events that had been delivered, content is as in event 202, and the next line of the request says what followed.", "See docs/OPERATIONS.md."},
	{reducer.EventRateExceeded, log.WarnLevel, false, "account over its rate", "The tokens granted for the account, by its quota coordinator or from the fallback share of this host, do not cover the cost of the request; the next line of the host refuses it.", "Raise the account's rate if the usage is intended."},
	{reducer.EventTokensInsufficient, log.WarnLevel, false, "insufficient tokens", "This host is the quota coordinator of the account and could not grant all tokens that a host needed; left is what the quota window still allowed.", "Raise the account's rate if the usage is intended."},
	{reducer.EventAttemptStalled, log.WarnLevel, false, "attempt stalled", "The backend server has sent nothing for longer than expected. ends says whether the attempt is ended for a retry, which takes another server that can serve the request at once and a retry of the budget; otherwise it goes on.", "If frequent, look at the backend server."},
	{reducer.EventLateAdmission, log.InfoLevel, true, "late admission", "The request was sent although its first response is expected after its target, in expected_ms, since nothing that can be in time waits for the same capacity or its caller was refused before.", "None."},
	{reducer.EventReturnPromised, log.InfoLevel, true, "return promised", "The request is refused, and its caller is told to return after wait_ms: capacity is expected after expected_ms, and callers follow up to latest_ms; promises is the number of callers of the service that are to return, refusals the number of refusals of this request.", "If refusals is often above 1, add capacity."},
	{reducer.EventCallerReturned, log.InfoLevel, true, "caller returned", "The caller of a refused request has returned at the time that it was told; first_age_ms is the time since the request first arrived. promised says whether this host refused it; otherwise its time left shows that another host did.", "None."},
	{reducer.EventEarlyReturn, log.WarnLevel, true, "caller returned early", "The caller of a refused request has returned well before the time that it was told; it is refused with the time that is left, due_in_ms.", "Correct the caller."},
	{reducer.EventRequestWaiting, log.InfoLevel, true, "request waits", "The request waits at a backend server for its adapter; stage and holder are what this host knew of the adapter and of the lease.", "None."},
	{reducer.EventCallerDisconnected, log.InfoLevel, false, "caller disconnected", "The caller closed its connection before the response was complete.", "None."},
	{EventConnectionRefused, log.WarnLevel, true, "connection refused", "A new connection was closed at once: the class of clients has as many connections as bound allows, or the memory for clients is exhausted, and no other client made less progress.", "If the clients are wanted, add hosts or raise max_descriptors; otherwise find who opens the connections."},
	{EventConnectionClosed, log.WarnLevel, true, "connection closed for others", "A connection was closed since memory or connections for clients were short, and of the clients that hold much it had made the least progress; phase says what it did for phase_ms, held_bytes what it held of all_held_bytes, bytes_per_second its progress. Idle connections are closed first.", "None, unless callers complain: look at clients in `status`, raise caller_memory_mb if the host has memory to spare."},
	{EventRequestDropped, log.WarnLevel, true, "request dropped for others", "The body of a request was not read on, since memory for clients was short and of the clients that hold much this one had made the least progress; the fields are as in event 216. The request is refused as not run, with reason caller_memory.", "As for event 216."},
	{EventHeadRejected, log.WarnLevel, true, "head rejected", "The head of a request did not end within max_header_bytes (too_long) or header_timeout_ms (too_slow) as published, and the connection was closed; other addresses than that of callers have bounds of their own.", "Find the client."},
}

// Entries returns the catalogue, sorted by number.
func Entries() []Entry {
	sorted := append([]Entry(nil), entries...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Number < sorted[j].Number })
	return sorted
}

// Find returns the entry of an event number, and false if the catalogue has none.
func Find(number int) (Entry, bool) {
	e, ok := entriesByNumber[number]
	return e, ok
}

var entriesByNumber = indexEntries()

func indexEntries() map[int]Entry {
	index := make(map[int]Entry, len(entries))
	for _, e := range entries {
		index[e.Number] = e
	}
	return index
}
