package commander

import (
	"fmt"
	"maps"
	"slices"
	"strconv"

	"github.com/redwingpick/redwingpick/internal/reducer"
)

// isBound reports whether lines of an event are about a bound on the requests of all hosts to a backend server.
func isBound(event int) bool {
	return event == reducer.EventColdStartBegan || event == reducer.EventRateLimitChanged || event == reducer.EventRateLimitIgnored
}

// bounds holds the serving host's lines about bounds on the backend servers of a request, and those about incarnations of backend servers that
// the host saw for the first time, which had named no limit yet.
type bounds struct {
	Lines  []Line
	Joined []Line
}

// findBounds returns the lines about the backend servers of a request; for one that no backend server could take, about all servers of its
// service. A bound may last longer than the window of the other lines, so of each server's lines before the window the last one is returned
// too if its bound was still in force at the end of the request.
func findBounds(all []rawLine, request []Line, last Line, arrived int64) bounds {
	backends := map[string]bool{}
	for _, l := range request {
		backends[l.Fields["backend_server"]] = true
	}
	var b bounds
	var found []Line
	for _, l := range all {
		line := newLine(l)
		line.AgeMs = l.Time - arrived
		relevant := backends[l.Fields["backend_server"]] || lacksBackend(last) && l.Fields["service"] == last.Fields["service"]
		if line.Host != last.Host || line.AgeMs > last.AgeMs {
			continue
		}
		if l.Event == reducer.EventBackendJoined {
			b.Joined = append(b.Joined, line)
		}
		if isBound(l.Event) && relevant {
			found = append(found, line)
		}
	}
	slices.SortStableFunc(found, byAge)
	before := map[string]Line{}
	for _, line := range found {
		if line.AgeMs >= last.AgeMs-nearbyWindowMs {
			b.Lines = append(b.Lines, line)
			continue
		}
		if line.Event != reducer.EventRateLimitIgnored {
			before[boundKey(line)] = line
		}
	}
	for _, key := range slices.Sorted(maps.Keys(before)) {
		if b.inForce(before[key], last.AgeMs) {
			b.Lines = append(b.Lines, before[key])
		}
	}
	slices.SortStableFunc(b.Lines, byAge)
	return b
}

// boundKey identifies the lines of which a later one replaces an earlier one.
func boundKey(line Line) string {
	return strconv.Itoa(line.Event) + "/" + line.Fields["backend_server"]
}

// lacksBackend reports whether a request was refused since no backend server could take it.
func lacksBackend(last Line) bool {
	return last.Event == reducer.EventRequestRefused && last.Fields["reason"] == reducer.ReasonNoBackend.String()
}

// inForce reports whether the bound that a line states holds at an age of the request.
func (b bounds) inForce(line Line, ageMs int64) bool {
	switch line.Event {
	case reducer.EventColdStartBegan:
		cold, err := strconv.ParseInt(line.Fields["cold_ms"], 10, 64)
		return err == nil && ageMs < line.AgeMs+cold
	case reducer.EventRateLimitChanged:
		limit, err := strconv.ParseFloat(line.Fields["limit"], 64)
		return err == nil && limit > 0 && !slices.ContainsFunc(b.Joined, func(j Line) bool {
			return j.Fields["backend_server"] == line.Fields["backend_server"] && j.AgeMs > line.AgeMs
		})
	}
	return false
}

// cause names the bounds that were in force at the end of a request, as the lines about them state these.
func (b bounds) cause(last Line) string {
	latest := map[string]Line{}
	for _, line := range b.Lines {
		if line.Event != reducer.EventRateLimitIgnored {
			latest[boundKey(line)] = line
		}
	}
	cause := ""
	for _, key := range slices.Sorted(maps.Keys(latest)) {
		line := latest[key]
		if !b.inForce(line, last.AgeMs) {
			continue
		}
		what := "was cold"
		if line.Event == reducer.EventRateLimitChanged {
			what = "took at most " + line.Fields["limit"] + " requests/s from all hosts"
		}
		cause += fmt.Sprintf("; %s %s and was left to %s", line.Fields["backend_server"], what, senders(line))
	}
	return cause
}

// senders names the hosts that a line about a bound lists as those which may send.
func senders(line Line) string {
	if names := line.Fields["senders"]; names != "" {
		return names
	}
	return "no host, as far as " + line.Host + " knew"
}
