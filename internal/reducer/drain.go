package reducer

import "time"

// lastWait is the part of the grace that is left to the end of the process itself.
const lastWait = time.Second

// drain starts to leave: the host is no longer named to callers, gives up its leases and tells its peers at once.
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

// tickDrain ends a leaving host when it has no request left and its callers have had time to learn of it.
func tickDrain(s *State, now time.Time) {
	if !s.Draining.Active || s.Draining.Done {
		return
	}
	stayed := now.Sub(s.Draining.Since)
	if stayed < s.Limits.GracePeriod-lastWait && (len(s.Requests) > 0 || stayed < s.Limits.GracePeriod/2) {
		return
	}
	s.Draining.Done = true
	s.logEvent(EventDrainDone, intField("requests", len(s.Requests)))
	s.emit(Drained{})
}
