package recorder

import (
	"sort"

	"github.com/phuslu/log"

	"github.com/redwingpick/redwingpick/internal/reducer"
)

// Numbers of the events that the programs record outside the reducer.
const (
	EventStarted          = 1
	EventStopped          = 2
	EventSettingsBad      = 3
	EventListenFailed     = 4
	EventInvariantBroken  = 11
	EventLibrary          = 12
	EventMailboxFull      = 13
	EventAnswerMismatched = 14
	EventTraceFailed      = 15
)

// Entry describes one numbered event.
type Entry struct {
	Number  int
	Level   log.Level
	Text    string
	Meaning string
	Action  string
}

var entries = []Entry{
	{EventStarted, log.InfoLevel, "host started", "The daemon has read its settings and listens.", "None."},
	{EventStopped, log.InfoLevel, "host stopped", "The daemon has ended; cut_requests counts the requests it could not finish.", "If cut_requests is above 0, raise drain_for."},
	{EventSettingsBad, log.ErrorLevel, "settings refused", "The settings file is wrong at the named line and field.", "Correct the field; try `redwingpick check`."},
	{EventListenFailed, log.ErrorLevel, "cannot listen", "An address of the settings cannot be used.", "Free the address or change it."},
	{EventInvariantBroken, log.ErrorLevel, "invariant broken", "A check inside the program has failed; rule names it.", "Report it with the log; the host goes on."},
	{EventLibrary, log.InfoLevel, "library message", "A message of the HTTP library.", "None."},
	{EventMailboxFull, log.WarnLevel, "mailbox full", "The control goroutine is behind; requests are refused as not run.", "Add hosts."},
	{EventAnswerMismatched, log.WarnLevel, "answer discarded", "A backend server sent a piece of another request's answer.", "Watch the backend server."},
	{EventTraceFailed, log.WarnLevel, "trace export failed", "The trace collector cannot be reached.", "Check trace_collector."},
	{reducer.EventConfigAdopted, log.InfoLevel, "configuration in force", "A newer catalogue revision is in force on this host.", "None."},
	{reducer.EventShardRefused, log.WarnLevel, "shard refused", "A published shard is wrong; the one before stays in force.", "Publish a corrected shard; fault names line and field."},
	{reducer.EventPlatformUnreachable, log.WarnLevel, "configuration service unreachable", "A read failed; the configuration in force stays.", "Check the service if it lasts."},
	{reducer.EventPlatformStale, log.WarnLevel, "configuration service stale", "The service answered with revisions older than those seen before; they are ignored.", "Check the service's replicas."},
	{reducer.EventReadiness, log.InfoLevel, "readiness changed", "The host has become ready or stopped being so.", "None."},
	{reducer.EventLeaseTaken, log.InfoLevel, "lease taken", "This host now holds the named right.", "None."},
	{reducer.EventLeaseLost, log.WarnLevel, "lease lost", "A quorum of voters did not answer in time; this host no longer acts under the right.", "Look for a partition or a paused host."},
	{reducer.EventLeaseHandedOver, log.InfoLevel, "lease handed over", "The right went to the host that ranks first, or that follows a leaving one.", "None."},
	{reducer.EventDrainStarted, log.InfoLevel, "drain started", "The host leaves: it is no longer named to callers.", "None."},
	{reducer.EventDrainDone, log.InfoLevel, "drain done", "No request is left.", "None."},
	{reducer.EventBackendKnown, log.InfoLevel, "backend server known", "The owner has read the state of the backend server and may order it.", "None."},
	{reducer.EventBackendFailed, log.WarnLevel, "backend server failed", "An exchange with the backend server failed; it is left alone for a while.", "Check the server if it lasts."},
	{reducer.EventBackendCold, log.WarnLevel, "backend server cold", "The backend server restarted or slowed down; its limit starts again from cold_running.", "None; the limit rises as it answers well."},
	{reducer.EventLoadFailed, log.WarnLevel, "adapter load failed", "A load failed and is tried again while requests wait.", "Check the weight store and the adapter."},
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
