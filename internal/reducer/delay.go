package reducer

import (
	"slices"
	"time"

	"github.com/redwingpick/redwingpick/internal/prefixer"
	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// engineLoad is what all hosts have running on an engine, as far as this host knows.
type engineLoad struct {
	// running includes the waiting requests.
	running int
	// waiting is the number of requests that the engine last reported as not admitted.
	waiting int
	tokens  int
	prefill int
}

// loadOf returns the load of an engine.
func (b *Backend) loadOf(now time.Time) engineLoad {
	load := engineLoad{running: b.Running, tokens: b.Tokens, prefill: b.PrefillTokens}
	if now.Sub(b.OtherHostsAt) < loadReportTTL {
		load.running += b.OtherHosts.Running
		load.tokens += b.OtherHosts.Tokens
		load.prefill += b.OtherHosts.PrefillTokens
	}
	if b.ReportedLoad.Known && now.Sub(b.ReportedAt) < loadReportTTL {
		load.running = max(load.running, b.ReportedLoad.Running+b.ReportedLoad.Waiting)
		load.waiting = b.ReportedLoad.Waiting
	}
	return load
}

// engineDelay returns the expected time to the first piece of a response from an engine.
func (s *State) engineDelay(now time.Time, r *Request, b *Backend, engine *cataloguer.Engine) time.Duration {
	load := b.loadOf(now)
	load.prefill += s.uncachedTokens(now, r, b)
	delay := prefillTime(load.prefill, s.prefillRate(now, b))
	if s.Limits.Adaptive.Pace {
		delay += s.admissionDelay(b, r, engine, load) + s.decodeDelay(now, b, engine, load)
	} else {
		delay += fixedAdmissionDelay(r, engine, load)
	}
	delay += b.failurePenalty()
	if r.Adapter.Adapter != "" && engine.AdapterSlots > 0 {
		delay += s.adapterDelay(now, r, b)
	}
	return delay
}

// fixedAdmissionDelay returns the penalties for a full batch and a full cache of an engine.
func fixedAdmissionDelay(r *Request, engine *cataloguer.Engine, load engineLoad) time.Duration {
	delay := time.Duration(0)
	if excess := load.running - engine.Slots + 1; excess > 0 {
		delay += time.Duration(excess) * batchSlotDelay
	}
	if engine.KVCacheTokens > 0 && load.tokens+r.Tokens > engine.KVCacheTokens {
		delay += cacheFullDelay
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
	for _, part := range r.Parts[:b.SentPrompts.Length(now, r.promptPrefixes(), cachedPartTTL)] {
		left -= part.Tokens
	}
	return max(left, 0)
}

// promptPrefixes returns the prefixes of the prompt, which engines cache separately for each model and adapter.
func (r *Request) promptPrefixes() []prefixer.Prefix {
	if r.Prefixes == nil && len(r.Parts) > 0 {
		r.Prefixes = prefixer.Prefixes(r.Adapter.Model+"/"+r.Adapter.Adapter, r.Parts, func(p Part) string { return p.ID })
	}
	return r.Prefixes
}

// unaryDelay returns the expected time to the response of a backend server that runs no models.
func (s *State) unaryDelay(now time.Time, b *Backend) time.Duration {
	busy := b.busy(now)
	latency := s.callTime(now, b)
	delay := latency
	if slots := max(b.Info.Slots, 1); busy >= slots {
		delay += latency * time.Duration(busy-slots+1) / time.Duration(slots)
	}
	delay += time.Duration(busy) * runningDelay
	return delay + b.failurePenalty()
}

// busy returns the number of requests at a backend server that runs no models, as far as this host knows.
func (b *Backend) busy(now time.Time) int {
	if b.ReportedLoad.Known && now.Sub(b.ReportedAt) < loadReportTTL {
		return max(b.Running, b.ReportedLoad.Running+b.ReportedLoad.Waiting)
	}
	return b.Running
}

// runningDelay is added for each running request, so that requests spread evenly over backend servers that all have free slots.
const runningDelay = 2 * time.Millisecond
