package reducer

import (
	"slices"
	"time"

	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// engineDelay returns the expected time to the first piece of a response from an engine.
func (s *State) engineDelay(now time.Time, r *Request, b *Backend, engine *cataloguer.Engine) time.Duration {
	running, tokens, prefill := b.Running, b.Tokens, b.PrefillTokens+s.uncachedTokens(now, r, b)
	if now.Sub(b.OtherHostsAt) < loadReportTTL {
		running += b.OtherHosts.Running
		tokens += b.OtherHosts.Tokens
		prefill += b.OtherHosts.PrefillTokens
	}
	if b.ReportedLoad.Known && now.Sub(b.ReportedAt) < loadReportTTL {
		running = max(running, b.ReportedLoad.Running+b.ReportedLoad.Waiting)
	}
	delay := time.Duration(float64(prefill) / s.service(b.Info.Service).PrefillRate * float64(time.Second))
	if excess := running - engine.Slots + 1; excess > 0 {
		delay += time.Duration(excess) * batchSlotDelay
	}
	if engine.KVCacheTokens > 0 && tokens+r.Tokens > engine.KVCacheTokens {
		delay += cacheFullDelay
	}
	delay += time.Duration(b.FailureRate * float64(failureDelay))
	if r.Adapter.Adapter != "" && engine.AdapterSlots > 0 {
		delay += s.adapterDelay(now, r, b)
	}
	return delay
}

// adapterDelay returns the expected time until the request's adapter is ready on a backend server.
func (s *State) adapterDelay(now time.Time, r *Request, b *Backend) time.Duration {
	adapter, ok := b.Adapters[r.Adapter]
	if ok && adapter.Stage != StageAbsent && adapter.fresh(now, r.Version) {
		return max(adapter.ReadyAt.Sub(now), 0)
	}
	if s.publishedResident(now, r, b) {
		return 0
	}
	delay := s.loadTime(b, s.heldRecently(now, b, r.Adapter))
	if ok && now.Sub(adapter.NoSlotReportedAt) < noSlotTTL || s.lacksFreeSlot(now, b) && !s.mayHoldUnknown(r, b) {
		delay += noSlotDelay
	}
	return delay
}

// publishedResident reports whether a backend server without a lease holder has published that the request's adapter is resident.
//
// Adapters are unloaded only by order of a lease holder, so without one the published entry remains correct unless a request has found that
// the adapter is absent.
func (s *State) publishedResident(now time.Time, r *Request, b *Backend) bool {
	if s.holderOf(now, b.Info.ID) != "" {
		return false
	}
	if adapter, ok := b.Adapters[r.Adapter]; ok && adapter.Stage == StageAbsent && now.Sub(adapter.UpdatedAt) < residencyTTL {
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

// uncachedTokens returns the number of prompt tokens that the backend server has to prefill: all tokens from the first prompt part on that
// its prefix cache is not expected to hold.
func (s *State) uncachedTokens(now time.Time, r *Request, b *Backend) int {
	left := r.PromptTokens
	for _, part := range r.Parts {
		at, ok := b.CachedParts[cachedPartKey(r, part)]
		if !ok || now.Sub(at) > cachedPartTTL {
			break
		}
		left -= part.Tokens
	}
	return max(left, 0)
}

// cachedPartKey returns the key of a prompt part in a backend server's prefix cache, which is separate for each model and adapter.
func cachedPartKey(r *Request, part Part) string {
	return r.Adapter.Model + "/" + r.Adapter.Adapter + "/" + part.ID
}

// unaryDelay returns the expected time to the response of a backend server that runs no models.
func (b *Backend) unaryDelay(now time.Time) time.Duration {
	busy := b.Running
	if b.ReportedLoad.Known && now.Sub(b.ReportedAt) < loadReportTTL {
		busy = max(busy, b.ReportedLoad.Running+b.ReportedLoad.Waiting)
	}
	latency := max(b.MeanLatency, time.Millisecond)
	delay := latency
	if slots := max(b.Info.Slots, 1); busy >= slots {
		delay += latency * time.Duration(busy-slots+1) / time.Duration(slots)
	}
	delay += time.Duration(busy) * runningDelay
	return delay + time.Duration(b.FailureRate*float64(failureDelay))
}

// runningDelay is added for each running request, so that requests spread evenly over backend servers that all have free slots.
const runningDelay = 2 * time.Millisecond
