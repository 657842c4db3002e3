package reducer

import "time"

// slowStartOpensIn returns the expected time until the slow start of a backend server allows a request of this host; 0 if it does now. A
// request that was let in to wait for its adapter there stays let in.
func (s *State) slowStartOpensIn(now time.Time, r *Request, b *Backend) time.Duration {
	if !b.SlowStart.Ramp.Active() || r.Phase == PhaseAwaitingAdapter && r.Backend == b.Info.ID {
		return 0
	}
	outstanding := b.SlowStart.Awaiting
	for _, adapter := range b.Adapters {
		outstanding += len(adapter.Waiting)
	}
	return max(b.SlowStart.Ramp.OpensIn(now, s.slowStartSenders(now, b), outstanding), 0)
}

// heldRequest counts the servers that a request does not get because of their slow start. The first allows it in OpensIn, and the first that
// then has its adapter is ready in ReadyIn.
type heldRequest struct {
	Servers int
	OpensIn time.Duration
	ReadyIn time.Duration
}

func (h *heldRequest) add(opensIn, adapterIn time.Duration) {
	if h.Servers == 0 || opensIn < h.OpensIn {
		h.OpensIn = opensIn
	}
	if h.Servers == 0 || opensIn+adapterIn < h.ReadyIn {
		h.ReadyIn = opensIn + adapterIn
	}
	h.Servers++
}

// prefersHeldServer reports whether a request that does not wait yet should wait for a server in slow start, since the adapter would be loaded
// later on the best other one, or too late.
func (s *State) prefersHeldServer(now time.Time, r *Request, b *Backend, held heldRequest, delay time.Duration) bool {
	if held.Servers == 0 || r.Phase == PhaseAwaitingAdapter || !s.mayWaitForSlowStart(now, r, held) {
		return false
	}
	waits := now.Sub(r.WaitSince) >= r.Route.LatencyTarget/queueWaitDivisor
	return !waits && held.ReadyIn < s.adapterDelay(now, r, b) || s.loadIsUseless(now, r, b, delay)
}

// mayWaitForSlowStart reports whether a server in slow start opens in the time that a request may wait for a slot.
func (s *State) mayWaitForSlowStart(now time.Time, r *Request, held heldRequest) bool {
	return now.Sub(r.WaitSince)+held.OpensIn <= s.queueLimit(r, r.Route.LatencyTarget/slotWaitDivisor)
}

// readyDelay returns the expected time until a backend server has the request's adapter, if it needs one.
func (s *State) readyDelay(now time.Time, r *Request, b *Backend) time.Duration {
	if r.Adapter.Adapter == "" || !s.isEngine(b) {
		return 0
	}
	return s.adapterDelay(now, r, b)
}

// holdsOlderRequests reports whether requests for the service of a new one wait for a slow start: they are placed in their order.
func (s *State) holdsOlderRequests(now time.Time, r *Request) bool {
	return s.Limits.Adaptive.Start && now.Sub(s.service(r.Service).HeldAt) < slowStartHeldTTL
}

// waitForSlowStart queues a request until a server in slow start allows it, or refuses it at once if none does in the time that a request
// may wait for a slot.
func (s *State) waitForSlowStart(now time.Time, r *Request, held heldRequest) {
	if r.Phase == PhaseAwaitingAdapter {
		s.stopWaiting(r)
		r.WaitSince = now
	}
	r.Phase = PhaseQueued
	r.Backend = ""
	if s.mayWaitForSlowStart(now, r, held) {
		if r.WaitSince.Equal(now) {
			s.Counters.SlowStartHeld++
		}
		s.service(r.Service).HeldAt = now
		s.wakeAt(now.Add(max(held.OpensIn, slowStartWake)))
		return
	}
	if r.PossibleRuns > 0 {
		refuse(s, now, r, ReasonBroken, 0)
		return
	}
	if s.admits() {
		s.refuseWithPromise(now, r, ReasonNoBackend, held.OpensIn)
		return
	}
	refuse(s, now, r, ReasonNoBackend, min(max(held.OpensIn, defaultRetryAfter), maxRetryAfter))
}

// failurePenalty returns the penalty in expected delay for failed exchanges. A server in slow start has none: its limit protects the requests,
// and a server that gets none could not show that it has recovered.
func (b *Backend) failurePenalty() time.Duration {
	if b.SlowStart.Ramp.Active() {
		return 0
	}
	return time.Duration(b.FailureRate * float64(failureDelay))
}
