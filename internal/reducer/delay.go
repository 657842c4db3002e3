package reducer

import (
	"slices"
	"time"

	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// engineDelay is the expected time to the first piece of an answer from an engine.
func (s *State) engineDelay(now time.Time, r *Request, b *Backend, engine *cataloguer.Engine) time.Duration {
	running, tokens, prefill := b.Running, b.Tokens, b.Prefill+s.uncachedTokens(now, r, b)
	if now.Sub(b.OtherHostsAt) < othersFresh {
		running += b.OtherHosts.Running
		tokens += b.OtherHosts.Tokens
		prefill += b.OtherHosts.Prefill
	}
	delay := time.Duration(float64(prefill) / s.service(b.Info.Service).PrefillRate * float64(time.Second))
	if over := running - engine.Slots + 1; over > 0 {
		delay += time.Duration(over) * slotDelay
	}
	if engine.KVCacheTokens > 0 && tokens+r.Tokens > engine.KVCacheTokens {
		delay += memoryDelay
	}
	delay += time.Duration(b.FailureRate * float64(lossDelay))
	if r.Adapter.Adapter != "" && engine.AdapterSlots > 0 {
		delay += s.adapterDelay(now, r, b)
	}
	return delay
}

// adapterDelay is the expected time until the adapter can be used.
func (s *State) adapterDelay(now time.Time, r *Request, b *Backend) time.Duration {
	p, ok := b.Adapters[r.Adapter]
	if ok && p.Stage != StageAbsent && p.fresh(now, r.Version) {
		return max(p.ReadyAt.Sub(now), 0)
	}
	if s.published(now, r, b) {
		return 0
	}
	delay := s.loadTime(b, false)
	if ok && now.Sub(p.NoSlotAt) < fullFor || now.Sub(b.OtherHostsAt) < othersFresh && b.OtherHosts.FreeSlots <= 0 {
		delay += fullDelay
	}
	return delay
}

// published reports whether a backend server that nobody orders has published that it holds the adapter; without a holder
// nothing is dropped, so that is still so, unless a request has found otherwise.
func (s *State) published(now time.Time, r *Request, b *Backend) bool {
	if s.holderOf(now, b.Info.ID) != "" {
		return false
	}
	if p, ok := b.Adapters[r.Adapter]; ok && p.Stage == StageAbsent && now.Sub(p.KnownAt) < residencyTTL {
		return false
	}
	for _, m := range b.Info.Models {
		if m.Model != r.Adapter.Model {
			continue
		}
		return slices.ContainsFunc(m.Adapters, func(a cataloguer.Adapter) bool {
			return a.Name == r.Adapter.Adapter && a.Version >= r.Version
		})
	}
	return false
}

// uncachedTokens is the prompt tokens that the backend server has yet to read: all behind the first part that it did not have.
func (s *State) uncachedTokens(now time.Time, r *Request, b *Backend) int {
	left := r.PromptTokens
	for _, part := range r.Parts {
		at, ok := b.Parts[partKey(r, part)]
		if !ok || now.Sub(at) > partsKept {
			break
		}
		left -= part.Tokens
	}
	return max(left, 0)
}

// partKey names a part as a backend server keeps it, for one model and adapter.
func partKey(r *Request, part Part) string {
	return r.Adapter.Model + "/" + r.Adapter.Adapter + "/" + part.ID
}

// plainDelay is the expected time to the answer of a plain service.
func (b *Backend) plainDelay(now time.Time) time.Duration {
	busy := b.Running
	if b.Reported.Known && now.Sub(b.ReportedAt) < othersFresh {
		busy = max(busy, b.Reported.Running+b.Reported.Waiting)
	}
	latency := max(b.Latency, time.Millisecond)
	delay := latency
	if slots := max(b.Info.Slots, 1); busy >= slots {
		delay += latency * time.Duration(busy-slots+1) / time.Duration(slots)
	}
	delay += time.Duration(busy) * busyDelay
	return delay + time.Duration(b.FailureRate*float64(lossDelay))
}

// busyDelay spreads requests over backend servers that have free slots alike.
const busyDelay = 2 * time.Millisecond
