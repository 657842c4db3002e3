package reducer

import (
	"time"

	"github.com/redwingpick/redwingpick/internal/selector"
)

// Reduce applies one event to the state at time now and returns the effects for the executor to carry out.
func Reduce[P selector.Policy](s *State, now time.Time, event Event) []Effect {
	switch e := event.(type) {
	case Tick:
		tick[P](s, now)
	case PeerReceived:
		receiveEnvelope[P](s, now, e)
	case RequestArrived:
		requestArrived[P](s, now, e)
	case RequestShed:
		requestShed(s, now, e)
	case RequestAbandoned:
		requestAbandoned(s, now, e)
	case ResponseStarted:
		responseStarted(s, now, e)
	case AttemptStalled:
		attemptStalled(s, now, e)
	case DispatchEnded:
		dispatchEnded[P](s, now, e)
	case OrderEnded:
		orderEnded[P](s, now, e)
	case BackendReported:
		backendReported[P](s, now, e)
	case BackendProbed:
		backendProbed(s, now, e)
	case LocateRequested:
		locate(s, now, e)
	case ConfigRead:
		configRead[P](s, now, e)
	case UpdatesRequested:
		updatesRequested(s, now, e)
	case UpdatesRead:
		updatesRead[P](s, now, e)
	case SettingsRead:
		s.Limits, s.Self.Seeds = e.Limits, e.Seeds
		s.Isolation.Content.Limit(now, s.Limits.Quarantine)
		applySlowStartSetting(s)
	case StatusRequested:
		statusRequested(s, now, e)
	case WhereRequested:
		whereRequested[P](s, now, e)
	case DrainRequested:
		drain(s, now)
	case EffectExpired:
		effectExpired(s, now, e)
	}
	return s.flush(now)
}

// tick runs all work that depends on time alone.
func tick[P selector.Policy](s *State, now time.Time) {
	s.Counters.Ticks++
	tickTrials[P](s, now)
	tickRequests[P](s, now)
	tickHolders(s, now)
	tickObservation(s, now)
	tickMembership(s, now)
	tickGossip(s, now)
	tickBackends(s, now)
	tickPlaces(s, now)
	tickSlowStarts(s, now)
	tickRateLimits(s, now)
	tickThrottles(s, now)
	tickLeases(s, now)
	tickKeepAlive(s, now)
	tickAccounts[P](s, now)
	tickIsolation(s, now)
	tickWatch(s, now)
	tickDrain(s, now)
	updateReadiness(s, now)
}

// receiveEnvelope handles the messages of one envelope in order; an envelope from this host itself is dropped. Replies to the sender are
// queued in the outbox.
func receiveEnvelope[P selector.Policy](s *State, now time.Time, e PeerReceived) {
	if e.From == s.Self.HostID {
		return
	}
	s.replyTo = replyTarget{Host: e.From, Stamp: e.Stamp}
	for _, m := range e.Messages {
		receiveMessage[P](s, now, e, m)
	}
}

func receiveMessage[P selector.Policy](s *State, now time.Time, e PeerReceived, message Message) {
	switch m := message.(type) {
	case HostRecord:
		receiveHostRecord(s, now, m)
	case Heartbeats:
		receiveHeartbeats(s, now, m)
	case HeartbeatTable:
		receiveHeartbeatTable(s, now, e.From, m)
	case RecordRequest:
		sendRecords(s, now, e.From, m.Groups)
	case DocumentSummary:
		receiveDocumentSummary(s, now, e, m)
	case MembershipRequest:
		sendMembership(s, now, e.From)
	case MembershipReply:
		receiveMembershipReply(s, now, e.From, m)
	case LeaseRequest:
		receiveLeaseRequest(s, now, e, m)
	case LeaseReply:
		receiveLeaseReply(s, now, e.From, m)
	case LeaseRelease:
		releaseLeaseGrants(s, now, e.From, e.Incarnation, m)
	case AdapterRequest:
		receiveAdapterRequest[P](s, now, e.From, m)
	case ResidencyUpdate:
		receiveResidencyUpdate[P](s, now, m)
	case Usage:
		receiveUsage(s, now, e.From, m)
	case BackendLoad:
		receiveBackendLoad(s, now, m)
	case TokenRequest:
		receiveTokenRequest(s, now, e.From, m)
	case TokenGrant:
		receiveTokenGrant[P](s, now, m)
	case RateLimits:
		receiveRateLimits(s, now, e.From, m)
	case Suspects:
		receiveSuspects(s, now, e.From, m)
	case Losses:
		receiveLosses(s, now, m)
	case TrialRequest:
		receiveTrialRequest(s, now, e.From, m)
	case TrialReply:
		receiveTrialReply[P](s, now, m)
	}
}
