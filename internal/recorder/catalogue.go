package recorder

import (
	"sort"

	"github.com/phuslu/log"

	"github.com/redwingpick/redwingpick/internal/reducer"
)

// Numbers of the events that the programs record outside the reducer.
const (
	EventStarted         = 1
	EventStopped         = 2
	EventSettingsBad     = 3
	EventListenFailed    = 4
	EventReloaded        = 5
	EventInvariantBroken = 11
	EventLibrary         = 12
	EventMailboxFull     = 13
	EventLinesLeftOut    = 14
	EventPlatformCall    = 15
)

// Entry describes one numbered event; lines of Routine events are the first to be left out.
type Entry struct {
	Number  int
	Level   log.Level
	Routine bool
	Text    string
	Meaning string
	Action  string
}

var entries = []Entry{
	{EventStarted, log.InfoLevel, false, "host started", "The daemon has read its settings and listens.", "None."},
	{EventStopped, log.InfoLevel, false, "host stopped", "The daemon has ended; cut_requests counts the requests it could not finish.", "If cut_requests is above 0, look for requests longer than the grace."},
	{EventSettingsBad, log.ErrorLevel, false, "settings refused", "The settings file is wrong at the named line and field; at a reload the former settings stay.", "Correct the field; try `redwingpick check`."},
	{EventListenFailed, log.ErrorLevel, false, "cannot listen", "An address of the settings cannot be used.", "Free the address or change it."},
	{EventReloaded, log.InfoLevel, false, "settings read again", "The settings file changed; changed says whether anything that is in force did.", "None."},
	{EventInvariantBroken, log.ErrorLevel, false, "invariant broken", "A check inside the program has failed; rule names it.", "Report it with the log; the host goes on."},
	{EventLibrary, log.InfoLevel, false, "library message", "A message of the HTTP library.", "None."},
	{EventMailboxFull, log.WarnLevel, false, "mailbox full", "The control goroutine is behind; requests are refused as not run.", "Add hosts."},
	{EventLinesLeftOut, log.WarnLevel, false, "lines left out", "The budget of the log was spent; lines counts what is missing.", "Raise log_bytes_per_second if the lines are needed."},
	{EventPlatformCall, log.WarnLevel, false, "platform call failed", "A call to the configuration service failed; error says how.", "Check the service if it lasts."},
	{reducer.EventCatalogueApplied, log.InfoLevel, false, "catalogue in force", "A newer version of the operators' configuration is in force on this host; from is the peer that told it, or platform, and confirmed_age_ms the age of the last word that nothing newer was published.", "None."},
	{reducer.EventDocumentRefused, log.WarnLevel, false, "document refused", "A published item cannot be read; what it replaces stays in force.", "Find the writer of the key."},
	{reducer.EventPlatformUnavailable, log.WarnLevel, false, "configuration service lost", "A read failed; what is in force stays, and peers are asked.", "Check the service if it lasts."},
	{reducer.EventPlatformRecovered, log.InfoLevel, false, "configuration service back", "Reads succeed again.", "None."},
	{reducer.EventReadiness, log.InfoLevel, false, "readiness changed", "The host has become ready or stopped being so.", "None."},
	{reducer.EventDomainWithdrawn, log.InfoLevel, false, "failure domain withdrawn", "Backend servers of the domain get nothing new until withdrawn is false.", "None."},
	{reducer.EventConfigurationStale, log.WarnLevel, false, "configuration not confirmed", "For longer than config_ms nobody has told this host that nothing newer is published; what is in force stays.", "Look for a partition, or a configuration service that does not answer."},
	{reducer.EventConfigurationConfirmed, log.InfoLevel, false, "configuration confirmed", "This host knows again that nothing newer is published; gap_ms is the time in which it did not.", "None."},
	{reducer.EventHostJoined, log.InfoLevel, false, "host joined", "Another host was heard of for the first time.", "None."},
	{reducer.EventHostRecovered, log.InfoLevel, false, "host back", "A silent host was heard of again.", "None."},
	{reducer.EventHostUnreachable, log.WarnLevel, false, "host silent", "A host has not been heard of for long enough not to be used.", "None, unless it lasts."},
	{reducer.EventHostRemoved, log.InfoLevel, false, "host forgotten", "A host has been silent for long.", "None."},
	{reducer.EventVotersKnown, log.InfoLevel, false, "roster known", "This host knows from peer, or from founding the roster itself, which hosts vote on leases.", "None."},
	{reducer.EventBecameVoter, log.InfoLevel, false, "seat taken", "This host votes on leases from now on.", "None."},
	{reducer.EventMajorityChanged, log.WarnLevel, false, "majority of voters", "heard tells whether most of the hosts that vote are heard of; a host that does not hear of them backs no lease.", "If heard stays false, look for a partition."},
	{reducer.EventVoterEvicted, log.InfoLevel, false, "seat lapsed", "This host no longer counts peer, which is silent, among those that vote on leases.", "None, unless the host lives."},
	{reducer.EventDrainStarted, log.InfoLevel, false, "drain started", "The host leaves: it is no longer named to callers.", "None."},
	{reducer.EventDrainDone, log.InfoLevel, false, "drain done", "The host may end; requests counts those that are left.", "None."},
	{reducer.EventLeaseTaken, log.InfoLevel, false, "lease taken", "This host now orders the backend server; voters are those it asked, backed_by those that agreed, known_hosts the hosts it knew.", "None."},
	{reducer.EventLeaseLost, log.WarnLevel, false, "lease lost", "A quorum of voters did not answer in time; this host no longer orders the backend server.", "Look for a partition or a paused host."},
	{reducer.EventLeaseGranted, log.InfoLevel, false, "lease backed", "This host, as a voter, promised the backend server to another holder than before; voters are those of its own view.", "None."},
	{reducer.EventClaimRefused, log.InfoLevel, true, "claim refused", "This host, as a voter, did not back a claim; reason says why, holder is whom it backs.", "None."},
	{reducer.EventBackendJoined, log.InfoLevel, false, "backend server joined", "An incarnation of a backend server was published.", "None."},
	{reducer.EventBackendDraining, log.InfoLevel, false, "backend server leaving", "The backend server gets nothing new.", "None."},
	{reducer.EventBackendRemoved, log.InfoLevel, false, "backend server gone", "Its entry was removed; platform_well_ms is how long the configuration service had been answering.", "None."},
	{reducer.EventBackendEjected, log.WarnLevel, false, "backend server left alone", "Exchanges failed in a row; this host sends it nothing for pause_ms.", "Check the server if it lasts."},
	{reducer.EventOrderSent, log.InfoLevel, true, "order sent", "This host, which holds the lease, ordered an adapter to be loaded or unloaded.", "None."},
	{reducer.EventOrderFailed, log.WarnLevel, false, "order failed", "The backend server did not take an order; result says how.", "Check the server if it lasts."},
	{reducer.EventAdapterLoaded, log.InfoLevel, true, "adapter placed", "The expected time of a load is over.", "None."},
	{reducer.EventAdapterRequested, log.InfoLevel, true, "adapter wanted", "A host asked this one, which holds the lease, for an adapter that is not there; comes tells whether it is on its way now.", "None."},
	{reducer.EventRequestSent, log.InfoLevel, true, "request sent", "The request was sent to a backend server; the fields are what decided.", "None."},
	{reducer.EventRequestEnded, log.InfoLevel, true, "request ended", "The backend server's answer was delivered.", "None."},
	{reducer.EventRequestRefused, log.WarnLevel, false, "request refused", "This host answered itself; reason says why and last_failure what came before.", "See docs/OPERATIONS.md."},
	{reducer.EventAttemptFailed, log.WarnLevel, false, "attempt failed", "An attempt at a backend server failed; what follows is in the next line of the request.", "See docs/OPERATIONS.md."},
	{reducer.EventRateExceeded, log.WarnLevel, false, "account over its rate", "The tokens that the keeper of the account granted did not hold the request's cost; the next line of the host refuses it.", "Raise the account's rate if the use is meant."},
	{reducer.EventTokensInsufficient, log.WarnLevel, false, "tokens short", "This host keeps the account's budget and could not grant all that a host needed: left is what its window still allowed.", "Raise the account's rate if the use is meant."},
	{reducer.EventRequestWaits, log.InfoLevel, true, "request waits", "The request waits at a backend server for its adapter; stage and holder are what the host believed.", "None."},
	{reducer.EventCallerDisconnected, log.InfoLevel, false, "caller left", "The caller closed its connection before the answer was complete.", "None."},
}

// Entries returns the catalogue by number.
func Entries() []Entry {
	sorted := append([]Entry(nil), entries...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Number < sorted[j].Number })
	return sorted
}

// Find returns the entry of a number.
func Find(number int) (Entry, bool) {
	for _, e := range entries {
		if e.Number == number {
			return e, true
		}
	}
	return Entry{}, false
}
