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

// tickDrain ends the drain when the host has no request left and its callers have had time to notice.
func tickDrain(s *State, now time.Time) {
	if !s.Draining.Active || s.Draining.Done {
		return
	}
	elapsed := now.Sub(s.Draining.Since)
	if elapsed < s.Limits.GracePeriod-shutdownMargin && (len(s.Requests) > 0 || elapsed < s.Limits.GracePeriod/2) {
		return
	}
	s.Draining.Done = true
	s.logEvent(EventDrainDone, intField("requests", len(s.Requests)))
	s.emit(Drained{})
}
