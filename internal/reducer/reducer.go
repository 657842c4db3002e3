package reducer

import (
	"time"

	"github.com/redwingpick/redwingpick/internal/selector"
)

// Reduce takes one event into the state at the time now and returns the effects that the executor must carry out.
func Reduce[P selector.Policy](s *State, now time.Time, event Event) []Effect {
	switch e := event.(type) {
	case Tick:
		tick[P](s, now)
	case PeerReceived:
		receive[P](s, now, e)
	case RequestArrived:
		arrive[P](s, now, e)
	case RequestAbandoned:
		abandon[P](s, now, e)
	case ForwardEnded:
		forwardEnded[P](s, now, e)
	case DispatchEnded:
		dispatchEnded[P](s, now, e)
	case LoadEnded:
		loadEnded[P](s, now, e)
	case BackendReported:
		backendReported[P](s, now, e)
	case LocateAsked:
		locate(s, now, e)
	case PermitAsked:
		issuePermit(s, now, e)
	case IndexRead:
		indexRead(s, now, e)
	case ShardRead:
		shardRead[P](s, now, e)
	case UpdatesAsked:
		updatesAsked(s, e)
	case UpdatesRead:
		updatesRead[P](s, now, e)
	case StatusAsked:
		status(s, now, e)
	case DrainRequested:
		drain[P](s, now)
	case EffectExpired:
		effectExpired[P](s, now, e)
	}
	sendWants[P](s, now)
	return s.flush(now)
}

// tick runs everything that time alone brings about.
func tick[P selector.Policy](s *State, now time.Time) {
	s.Counters.Ticks++
	expireRequests[P](s, now)
	renewLeases(s, now)
	checkPromises(s, now)
	tickBackends[P](s, now)
	tickWallets[P](s, now)
	tickStores[P](s, now)
	tickWatch(s, now)
	tickSummary(s, now)
	tickPermits(s, now)
	tickDrain[P](s, now)
	updateReadiness(s, now)
}

// receive takes the messages of one peer in their order.
//
// Messages for an earlier incarnation of this host are not taken; the sender is told of the present one.
func receive[P selector.Policy](s *State, now time.Time, e PeerReceived) {
	if e.From == s.Self.HostID {
		return
	}
	if e.ToIncarnation != 0 && e.ToIncarnation != s.Self.Incarnation {
		s.touch(e.From)
		return
	}
	peer := s.peer(e.From)
	if e.Incarnation < peer.Incarnation {
		return
	}
	peer.Incarnation = e.Incarnation
	peer.SuspectUntil = time.Time{}
	peer.Leaving = e.Leaving
	for _, m := range e.Messages {
		receiveOne[P](s, now, e, m)
	}
}

func receiveOne[P selector.Policy](s *State, now time.Time, e PeerReceived, message Message) {
	switch m := message.(type) {
	case LeaseRequest:
		voteOn(s, now, e, m)
	case LeaseReply:
		countVotes[P](s, now, e, m)
	case LeaseRelease:
		releasePromises(s, now, e, m)
	case LeaseVacant:
		seekVacant(s, now, m)
	case LeaseClaim:
		answerClaim[P](s, now, e, m)
	case LeaseHandover:
		takeHandover(s, now, m)
	case BackendNotes:
		receiveNotes(s, now, m)
	case GrantRequest:
		grantTokens(s, now, e.From, e.Incarnation, m)
	case GrantReply:
		receiveGrant[P](s, now, e.From, m)
	case LoadWants:
		receiveWants[P](s, now, e.From, m)
	case LoadPermit:
		receiveLoadPermit[P](s, now, e.From, m)
	case LoadReturn:
		returnLoadPermit(s, now, e.From, m)
	case Summary:
		receiveSummary(s, now, e.From, m)
	case PermitConsume:
		consumePermit(s, now, e.From, m)
	case PermitAnswer:
		permitAnswered[P](s, now, m)
	}
}
