package reducer

import "time"

// shutdownMargin is the part of the grace period that is left for the process itself to end.
const shutdownMargin = time.Second

// drainRetryAfter is the retry delay that a draining host suggests: other hosts can take the request at once.
const drainRetryAfter = 50 * time.Millisecond

// drain starts to drain the host: callers are no longer directed to it, its leases are released and its peers are notified at once.
func drain(s *State, now time.Time) {
	if s.Draining.Active {
		return
	}
	s.Draining = Draining{Active: true, Since: now}
	s.logEvent(EventDrainStarted)
	s.emit(DrainStarted{})
	releaseLeases(s, now)
	s.Gossip.NextAt = now
	tickGossip(s, now)
	updateReadiness(s, now)
}

// refusesArrivals reports whether a draining host refuses new requests as not run: callers have had time to notice the drain, and a request
// accepted now might be cut off when the process ends.
func (s *State) refusesArrivals(now time.Time) bool {
	return s.Draining.Active && now.Sub(s.Draining.Since) >= s.Limits.GracePeriod/2
}

// freeArrivalTime is the time from the start of a drain for which requests are accepted even if their time limits exceed the drain, since
// few requests take that long and a refusal costs each caller a retry.
const freeArrivalTime = 3 * time.Second

// mayOutlastDrain reports whether a request that arrives now could still be in progress at the end of the drain, where it would be cut off.
func (s *State) mayOutlastDrain(now time.Time, r *Request) bool {
	return s.Draining.Active && now.Sub(s.Draining.Since) >= freeArrivalTime && r.Deadline.After(s.drainEnd())
}

// drainEnd returns the time at which a drain ends, whatever is still in progress.
func (s *State) drainEnd() time.Time {
	return s.Draining.Since.Add(s.Limits.GracePeriod - shutdownMargin)
}

// tickDrain ends the drain when the host has no request left and its callers have had time to notice, or when its time is over.
func tickDrain(s *State, now time.Time) {
	if !s.Draining.Active || s.Draining.Done {
		return
	}
	noticed := now.Sub(s.Draining.Since) >= s.Limits.GracePeriod/2
	if now.Before(s.drainEnd()) && (len(s.Requests) > 0 || !noticed) {
		return
	}
	s.Draining.Done = true
	s.logEvent(EventDrainDone, intField("requests", len(s.Requests)))
	for _, id := range sortedKeys(s.Requests) {
		s.cancelRequest(now, s.Requests[id], ReasonDraining, drainRetryAfter)
	}
	s.emit(Drained{})
}
