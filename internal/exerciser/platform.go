package exerciser

import (
	"time"

	"github.com/redwingpick/redwingpick/internal/reducer"
	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// Platform is the modelled configuration service.
type Platform struct {
	Down  bool
	Stale bool
	// Faults holds the names of shards whose newest value is refused by every reader.
	Faults map[string]bool
	Calls  uint64
	// PeakCalls is the most calls in one second.
	PeakCalls int

	second   int64
	inSecond int

	revision uint64
	shards   map[string]published
	frozen   map[string]published
	watches  []func()
}

type published struct {
	revision uint64
	shard    cataloguer.Shard
}

const staleAfterDown = 300 * time.Millisecond

// Publish puts a new value of a shard in the configuration service and returns its revision.
func (w *World[P]) Publish(shard cataloguer.Shard) uint64 {
	p := &w.Platform
	if p.shards == nil {
		p.shards = map[string]published{}
	}
	p.revision++
	p.shards[shard.Name] = published{revision: p.revision, shard: shard}
	w.Checks.published(w.Now, shard)
	watches := p.watches
	p.watches = nil
	for _, answer := range watches {
		answer()
	}
	return p.revision
}

// Shard returns the newest value of a shard.
func (w *World[P]) Shard(name string) cataloguer.Shard { return w.Platform.shards[name].shard }

// Revision returns the newest revision.
func (w *World[P]) Revision() uint64 { return w.Platform.revision }

// SetDown takes the configuration service down or brings it back.
func (w *World[P]) SetDown(down bool) {
	w.Platform.Down = down
	w.troubledAt = w.Now
}

// SetStale makes the service answer with the values of this moment until it is called with false.
func (w *World[P]) SetStale(stale bool) {
	w.Platform.Stale = stale
	w.troubledAt = w.Now
	if stale {
		w.Platform.frozen = map[string]published{}
		for name, p := range w.Platform.shards {
			w.Platform.frozen[name] = p
		}
	}
}

func (p *Platform) seen() map[string]published {
	if p.Stale {
		return p.frozen
	}
	return p.shards
}

func (p *Platform) index() (map[string]uint64, uint64) {
	index := map[string]uint64{}
	newest := uint64(0)
	for name, v := range p.seen() {
		index[name] = v.revision
		newest = max(newest, v.revision)
	}
	return index, newest
}

// overRate counts a call and reports whether the platform refuses it.
func (w *World[P]) overRate() bool {
	p := &w.Platform
	p.Calls++
	second := w.Now.Unix()
	if second != p.second {
		p.second = second
		p.inSecond = 0
	}
	p.inSecond++
	p.PeakCalls = max(p.PeakCalls, p.inSecond)
	return w.Options.PlatformCalls > 0 && p.inSecond > w.Options.PlatformCalls
}

func (w *World[P]) watchPlatform(h *Host, e reducer.WatchPlatform) {
	over := w.overRate()
	asked := w.localTime(h)
	if over || w.Platform.Down || w.cut(h.ID, "platform") {
		w.postLater(h, staleAfterDown, reducer.IndexRead{AskedAt: asked, Failed: true})
		return
	}
	answered := false
	answer := func() {
		if answered {
			return
		}
		answered = true
		index, _ := w.Platform.index()
		failed := w.Platform.Down || w.cut(h.ID, "platform")
		w.postLater(h, w.delay(), reducer.IndexRead{AskedAt: asked, Failed: failed, Shards: index})
	}
	if _, newest := w.Platform.index(); newest > e.Since {
		w.after(w.delay(), answer)
		return
	}
	w.Platform.watches = append(w.Platform.watches, answer)
	w.after(e.Wait, answer)
}

func (w *World[P]) readShard(h *Host, e reducer.ReadShard) {
	over := w.overRate()
	v, ok := w.Platform.seen()[e.Name]
	event := reducer.ShardRead{Name: e.Name, Revision: v.revision, Shard: v.shard}
	if over || !ok || v.revision < e.Revision || w.Platform.Down || w.cut(h.ID, "platform") {
		event = reducer.ShardRead{Name: e.Name, Revision: e.Revision, Failed: true}
	} else if w.Platform.Faults[e.Name] {
		event.Fault = "refused by the test"
	}
	w.postLater(h, 2*w.delay(), event)
}
