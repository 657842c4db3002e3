package exerciser

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/internal/selector"
)

// publishEvery is about the mean time between two configurations.
const publishEvery = 1500 * time.Millisecond

var configurationSchedules = []schedule{
	// Guards against changes that come late to hosts that a split has cut off from those that watch the platform.
	{name: "split", play: func(w *World[selector.LeastDelay]) {
		for range 3 {
			w.Split(w.Some(w.Share(0.2, 0.5)), false, 5500*time.Millisecond)
			w.Run(8 * time.Second)
		}
	}},
	// Guards against the same where connections to the platform have gone silent since they were last used.
	{name: "silent_connections_and_split", play: func(w *World[selector.LeastDelay]) {
		for range 3 {
			w.SilenceStore(w.Hosts)
			w.Run(5 * time.Second)
			w.Split(w.Some(w.Share(0.2, 0.5)), false, 6*time.Second)
			w.Run(9 * time.Second)
		}
	}},
	// Guards against changes that hosts miss because those that watch the platform are cut off from it.
	{name: "some_cut_from_platform", play: func(w *World[selector.LeastDelay]) {
		for range 3 {
			w.CutStore(w.Some(0.5), 7*time.Second)
			w.Run(10 * time.Second)
		}
	}},
	// Guards against answers that count as new when they come, though they were formed earlier.
	{name: "late_answers", play: func(w *World[selector.LeastDelay]) {
		for range 3 {
			w.SlowStore(900*time.Millisecond, 5*time.Second)
			w.Run(8 * time.Second)
		}
	}},
	// Guards against words of peers that count as new when they come, though they waited at a host that stood still.
	{name: "freezes", play: func(w *World[selector.LeastDelay]) {
		for range 4 {
			w.FreezeGroup(w.Some(0.4), w.Between(time.Second, 3500*time.Millisecond))
			w.Run(6 * time.Second)
		}
	}},
	// Guards against changes that are late while hosts are killed and know less, or other revisions, than the rest.
	{name: "kills", play: func(w *World[selector.LeastDelay]) {
		for range 4 {
			w.KillGroup(w.Some(0.3), 500*time.Millisecond, 2*time.Second)
			w.Run(5 * time.Second)
		}
	}},
}

// TestConfigurationIsInForceInTime guards against a published configuration that a host in touch lacks after the time allowed, and against
// hosts that believe to know what they do not (CONFIG).
func TestConfigurationIsInForceInTime(t *testing.T) {
	for _, s := range configurationSchedules {
		play := s.play
		s.play = func(w *World[selector.LeastDelay]) {
			w.Publish(publishEvery)
			play(w)
		}
		for _, hosts := range []int{6, 12, 40} {
			for seed := range uint64(2) {
				playIncident(t, s, incident{hosts, seed + 1})
			}
		}
	}
}

// TestHostsAtRestAskNobody guards against hosts that know the same and ask each other for documents without end.
func TestHostsAtRestAskNobody(t *testing.T) {
	for _, hosts := range []int{6, 12, 40} {
		for seed := range uint64(4) {
			restAfterKills(t, hosts, seed+1)
		}
	}
	restAfterKills(t, 80, 1)
}

// restAfterKills kills a third of the hosts and counts calls for documents once all are back.
func restAfterKills(t *testing.T, hosts int, seed uint64) {
	t.Run(fmt.Sprintf("hosts_%d/seed_%d", hosts, seed), func(t *testing.T) {
		t.Parallel()
		w := New[selector.LeastDelay](incidentOptions(hosts, seed))
		w.Run(incidentStart)
		w.Traffic(incidentRate * float64(hosts))
		w.KillGroup(w.Some(0.34), 500*time.Millisecond, time.Second)
		before := w.PeerReads()
		w.Run(7 * time.Second)
		t.Logf("%d calls for documents while hosts were killed and came back", w.PeerReads()-before)
		before = w.PeerReads()
		w.Run(5 * time.Second)
		assert.Equal(t, w.PeerReads()-before, uint64(0))
	})
}

// TestRemovedBackendServersAreForgottenByHostsThatStart guards against hosts that start while entries are removed and keep what a peer had
// listed before (DRAIN).
func TestRemovedBackendServersAreForgottenByHostsThatStart(t *testing.T) {
	s := schedule{name: "entries_removed_as_all_start", play: func(w *World[selector.LeastDelay]) {
		w.KillGroup(w.Hosts, 300*time.Millisecond, 900*time.Millisecond)
		for i := range 3 {
			w.Run(250 * time.Millisecond)
			w.Vanish(w.Backends[fmt.Sprintf("engine-%02d", i)])
		}
		w.Run(6 * time.Second)
	}}
	for _, hosts := range []int{6, 12, 40} {
		for seed := range uint64(4) {
			playIncident(t, s, incident{hosts, seed + 1})
		}
	}
}
