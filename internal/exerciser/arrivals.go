package exerciser

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/redwingpick/redwingpick/internal/reducer"
)

// Arrival is a request that arrived at a backend server.
type Arrival struct {
	At   time.Time
	Host string
	View ColdView
}

// ColdView is what a host knew of the cold start of a backend server when it sent a request.
type ColdView struct {
	// State is the state that the host logged with the request.
	State  string
	Uptime time.Duration
	// Published and Assumed are the rest of the cold start that the host had read or assumed; negative once it had ended.
	Published time.Duration
	Assumed   time.Duration
	// Seen is the time since the host had received the first entry of the server's incarnation.
	Seen time.Duration
	// ConfirmedAge is the age of the host's configuration.
	ConfirmedAge time.Duration
	Voters       int
}

// String describes the view in one violation.
func (v ColdView) String() string {
	return fmt.Sprintf("%s, up %v, entry since %v, published rest %v, assumed rest %v, configuration of %v ago, %d voters", v.State, roundMs(v.Uptime),
		roundMs(v.Seen), roundMs(v.Published), roundMs(v.Assumed), roundMs(v.ConfirmedAge), v.Voters)
}

// coldView returns what a host knows of the cold start of a backend server to which it sends a request.
func (s *Simulation[P]) coldView(h *Host, backend string) ColdView {
	v := ColdView{State: h.sendState, Uptime: s.Now.Sub(h.StartedAt), ConfirmedAge: s.Now.Sub(h.State.Watch.ConfirmedAt)}
	v.Voters = len(h.State.Index.Voters)
	b, ok := h.State.Backends[backend]
	if !ok {
		return v
	}
	v.Seen = s.Now.Sub(b.FirstSeenAt)
	if !b.ColdUntil.IsZero() {
		v.Published = b.ColdUntil.Sub(s.Now)
	}
	if !b.ColdAssumedAt.IsZero() {
		v.Assumed = b.ColdAssumedAt.Add(coldDuration).Sub(s.Now)
	}
	return v
}

// recordLogEvent records what a host logs about the cold starts of backend servers.
func (s *Simulation[P]) recordLogEvent(h *Host, e reducer.LogEvent) {
	switch e.Number {
	case reducer.EventRequestSent:
		h.sendState = fieldValue(e.Fields, "server_state")
	case reducer.EventColdStartBegan:
		if senders := fieldValue(e.Fields, "senders"); senders != "" {
			s.coldSenders[fieldValue(e.Fields, "backend_server")] = strings.Split(senders, ",")
		}
	}
}

func fieldValue(fields []reducer.Field, name string) string {
	for _, f := range fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// cold reports whether the server is in its cold start.
func (b *Backend) cold(now time.Time) bool {
	return !b.ColdSince.IsZero() && now.Sub(b.ColdSince) < coldDuration
}

// maxShownHosts is the number of hosts that describeArrivals names in full.
const maxShownHosts = 4

// describeArrivals counts arrivals by the state in which their hosts took the server to be, and names the busiest hosts with what each knew when
// it sent its last request.
func describeArrivals(arrivals []Arrival) string {
	counts, last, states := map[string]int{}, map[string]Arrival{}, map[string]int{}
	for _, a := range arrivals {
		counts[a.Host]++
		last[a.Host] = a
		states[a.View.State]++
	}
	hosts := slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), strings.Compare(a, b))
	})
	var parts []string
	for _, id := range hosts[:min(len(hosts), maxShownHosts)] {
		parts = append(parts, fmt.Sprintf("%d from %s (%v)", counts[id], id, last[id].View))
	}
	return fmt.Sprintf("by state %v from %d hosts; %s", states, len(hosts), strings.Join(parts, "; "))
}
