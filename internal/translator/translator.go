package translator

import (
	"time"

	"github.com/redwingpick/redwingpick/internal/reducer"
	peerv1 "github.com/redwingpick/redwingpick/internal/wire/redwingpick/peer/v1"
	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// EncodeEnvelope encodes messages from a host.
func EncodeEnvelope(host string, incarnation uint64, messages []reducer.Message) *peerv1.ExchangeRequest {
	envelope := &peerv1.ExchangeRequest{From: host, Incarnation: incarnation}
	for _, m := range messages {
		if w := encodeMessage(m); w != nil {
			envelope.Messages = append(envelope.Messages, w)
		}
	}
	return envelope
}

// DecodeEnvelope decodes an envelope. It drops messages of unknown kinds, which a newer host may send.
func DecodeEnvelope(envelope *peerv1.ExchangeRequest) reducer.PeerReceived {
	event := reducer.PeerReceived{From: envelope.GetFrom(), Incarnation: envelope.GetIncarnation()}
	for _, w := range envelope.GetMessages() {
		if m := decodeMessage(w); m != nil {
			event.Messages = append(event.Messages, m)
		}
	}
	return event
}

// encodeMessage encodes one message, or returns nil if it has no wire form.
func encodeMessage(m reducer.Message) *peerv1.Message {
	switch v := m.(type) {
	case reducer.HostRecord:
		return &peerv1.Message{Kind: &peerv1.Message_HostRecord{HostRecord: encodeHostRecord(v)}}
	case reducer.Heartbeats:
		return &peerv1.Message{Kind: &peerv1.Message_HostBeats{HostBeats: encodeHeartbeats(v)}}
	case reducer.MembershipRequest:
		return &peerv1.Message{Kind: &peerv1.Message_RosterRequest{RosterRequest: &peerv1.RosterRequest{}}}
	case reducer.MembershipReply:
		return &peerv1.Message{Kind: &peerv1.Message_RosterReply{RosterReply: &peerv1.RosterReply{Settled: v.VotersKnown, Term: v.Term}}}
	case reducer.HeartbeatTable:
		return &peerv1.Message{Kind: &peerv1.Message_HeartbeatTable{HeartbeatTable: &peerv1.HeartbeatTable{
			AgeUnitUs: uint32(v.AgeUnit.Microseconds()), Digests: v.Digests, Sizes: v.Sizes, Counters: v.Counters, Ages: v.Ages, Term: v.Term,
		}}}
	case reducer.RecordRequest:
		return &peerv1.Message{Kind: &peerv1.Message_RecordRequest{RecordRequest: &peerv1.RecordRequest{Groups: v.Groups}}}
	case reducer.DocumentSummary:
		return &peerv1.Message{Kind: &peerv1.Message_Summary{Summary: &peerv1.Summary{
			Era: v.SignificantVersion.Era, Revision: v.SignificantVersion.Revision, ConfirmedAgeUs: confirmedAgeUs(v.ConfirmedAge),
		}}}
	case reducer.LeaseRequest:
		return &peerv1.Message{Kind: &peerv1.Message_LeaseRequest{LeaseRequest: encodeLeaseRequest(v)}}
	case reducer.LeaseReply:
		return &peerv1.Message{Kind: &peerv1.Message_LeaseReply{LeaseReply: encodeLeaseReply(v)}}
	case reducer.LeaseRelease:
		return &peerv1.Message{Kind: &peerv1.Message_LeaseRelease{LeaseRelease: &peerv1.LeaseRelease{SentAtUs: v.SentAtUptime.Microseconds(), Backends: v.Backends}}}
	case reducer.AdapterRequest:
		return &peerv1.Message{Kind: &peerv1.Message_AdapterWant{AdapterWant: &peerv1.AdapterWant{
			Backend: v.Backend, Adapter: encodeAdapter(v.Adapter), Version: v.Version, Missed: v.Overdue,
			Origin: encodeOrigin(v.Origin),
		}}}
	case reducer.ResidencyUpdate:
		return &peerv1.Message{Kind: &peerv1.Message_AdapterPlace{AdapterPlace: &peerv1.AdapterPlace{
			Backend: v.Backend, Adapter: encodeAdapter(v.Adapter), Version: v.Version, Stage: uint32(v.Stage), ReadyInUs: v.ReadyIn.Microseconds(),
		}}}
	case reducer.Usage:
		return &peerv1.Message{Kind: &peerv1.Message_Usage{Usage: encodeUsage(v)}}
	case reducer.BackendLoad:
		return &peerv1.Message{Kind: &peerv1.Message_BackendLoad{BackendLoad: encodeBackendLoad(v)}}
	case reducer.TokenRequest:
		return &peerv1.Message{Kind: &peerv1.Message_TokenRequest{TokenRequest: &peerv1.TokenRequest{
			Account: v.Account, Sequence: v.Sequence, Needed: v.Needed, Wanted: v.Reserve, Returned: v.Returned,
			Spent: v.Spent, KnownForUs: v.SpentPeriod.Microseconds(), Held: v.Unspent, Origin: encodeOrigin(v.Origin),
		}}}
	case reducer.Suspects:
		return &peerv1.Message{Kind: &peerv1.Message_Suspects{Suspects: encodeSuspects(v)}}
	case reducer.Losses:
		return &peerv1.Message{Kind: &peerv1.Message_LostRequests{LostRequests: encodeLosses(v)}}
	case reducer.TrialRequest:
		return &peerv1.Message{Kind: &peerv1.Message_TrialRequest{TrialRequest: &peerv1.TrialRequest{
			Service: v.Service, Content: v.Content, Sequence: v.Sequence, Ended: v.Ended, Lost: v.Lost,
		}}}
	case reducer.TrialReply:
		return &peerv1.Message{Kind: &peerv1.Message_TrialReply{TrialReply: &peerv1.TrialReply{Service: v.Service, Sequence: v.Sequence, Granted: v.Granted}}}
	case reducer.RateLimits:
		return &peerv1.Message{Kind: &peerv1.Message_RateLimits{RateLimits: encodeRateLimits(v)}}
	case reducer.TokenGrant:
		return &peerv1.Message{Kind: &peerv1.Message_TokenGrant{TokenGrant: &peerv1.TokenGrant{
			Account: v.Account, Sequence: v.Sequence, Tokens: v.Tokens, WaitUs: v.Wait.Microseconds(),
		}}}
	}
	return nil
}

// decodeMessage decodes one message, or returns nil if its kind is unknown.
func decodeMessage(w *peerv1.Message) reducer.Message {
	switch v := w.GetKind().(type) {
	case *peerv1.Message_HostRecord:
		return decodeHostRecord(v.HostRecord)
	case *peerv1.Message_HostBeats:
		return decodeHeartbeats(v.HostBeats)
	case *peerv1.Message_HeartbeatTable:
		return decodeHeartbeatTable(v.HeartbeatTable)
	case *peerv1.Message_RecordRequest:
		return reducer.RecordRequest{Groups: v.RecordRequest.GetGroups()}
	case *peerv1.Message_RosterRequest:
		return reducer.MembershipRequest{}
	case *peerv1.Message_RosterReply:
		return reducer.MembershipReply{VotersKnown: v.RosterReply.GetSettled(), Term: v.RosterReply.GetTerm()}
	case *peerv1.Message_Summary:
		return reducer.DocumentSummary{
			SignificantVersion: cataloguer.Version{Era: v.Summary.GetEra(), Revision: v.Summary.GetRevision()},
			ConfirmedAge:       microseconds(v.Summary.GetConfirmedAgeUs()),
		}
	case *peerv1.Message_LeaseRequest:
		return decodeLeaseRequest(v.LeaseRequest)
	case *peerv1.Message_LeaseReply:
		return decodeLeaseReply(v.LeaseReply)
	case *peerv1.Message_LeaseRelease:
		return reducer.LeaseRelease{SentAtUptime: microseconds(v.LeaseRelease.GetSentAtUs()), Backends: v.LeaseRelease.GetBackends()}
	case *peerv1.Message_AdapterWant:
		return reducer.AdapterRequest{
			Backend: v.AdapterWant.GetBackend(), Adapter: decodeAdapter(v.AdapterWant.GetAdapter()), Version: v.AdapterWant.GetVersion(),
			Overdue: v.AdapterWant.GetMissed(), Origin: decodeOrigin(v.AdapterWant.GetOrigin()),
		}
	case *peerv1.Message_AdapterPlace:
		return reducer.ResidencyUpdate{
			Backend: v.AdapterPlace.GetBackend(), Adapter: decodeAdapter(v.AdapterPlace.GetAdapter()), Version: v.AdapterPlace.GetVersion(),
			Stage: decodeStage(v.AdapterPlace.GetStage()), ReadyIn: microseconds(v.AdapterPlace.GetReadyInUs()),
		}
	case *peerv1.Message_Usage:
		return decodeUsage(v.Usage)
	case *peerv1.Message_BackendLoad:
		return decodeBackendLoad(v.BackendLoad)
	case *peerv1.Message_TokenRequest:
		return reducer.TokenRequest{
			Account: v.TokenRequest.GetAccount(), Sequence: v.TokenRequest.GetSequence(), Needed: v.TokenRequest.GetNeeded(),
			Reserve: v.TokenRequest.GetWanted(), Returned: v.TokenRequest.GetReturned(), Spent: v.TokenRequest.GetSpent(),
			SpentPeriod: microseconds(v.TokenRequest.GetKnownForUs()), Unspent: v.TokenRequest.GetHeld(),
			Origin: decodeOrigin(v.TokenRequest.GetOrigin()),
		}
	case *peerv1.Message_Suspects:
		return decodeSuspects(v.Suspects)
	case *peerv1.Message_LostRequests:
		return decodeLosses(v.LostRequests)
	case *peerv1.Message_TrialRequest:
		w := v.TrialRequest
		return reducer.TrialRequest{
			Service: w.GetService(), Content: w.GetContent(), Sequence: w.GetSequence(), Ended: w.GetEnded(), Lost: w.GetLost(),
		}
	case *peerv1.Message_TrialReply:
		w := v.TrialReply
		return reducer.TrialReply{Service: w.GetService(), Sequence: w.GetSequence(), Granted: w.GetGranted()}
	case *peerv1.Message_RateLimits:
		return decodeRateLimits(v.RateLimits)
	case *peerv1.Message_TokenGrant:
		return reducer.TokenGrant{
			Account: v.TokenGrant.GetAccount(), Sequence: v.TokenGrant.GetSequence(), Tokens: v.TokenGrant.GetTokens(),
			Wait: microseconds(v.TokenGrant.GetWaitUs()),
		}
	}
	return nil
}

// confirmedAgeUs returns the age of a confirmation in microseconds. A negative age, of a host without any, stays negative: 0 would tell that the
// documents have just been confirmed.
func confirmedAgeUs(age time.Duration) int64 {
	if age < 0 {
		return -1
	}
	return age.Microseconds()
}

func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// decodeStage decodes a stage. An unknown one, which a newer host may send, becomes StageAbsent and so does not count as loaded.
func decodeStage(n uint32) reducer.Stage {
	if n > uint32(reducer.StageUnloading) {
		return reducer.StageAbsent
	}
	return reducer.Stage(n)
}
