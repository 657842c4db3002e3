package translator

import (
	"time"

	"github.com/redwingpick/redwingpick/internal/reducer"
	peerv1 "github.com/redwingpick/redwingpick/internal/wire/redwingpick/peer/v1"
)

// Envelope returns the wire form of the messages for one peer.
func Envelope(from string, incarnation uint64, e reducer.SendPeer) *peerv1.ExchangeRequest {
	request := &peerv1.ExchangeRequest{
		From:          from,
		Incarnation:   incarnation,
		ToIncarnation: e.ToIncarnation,
		Leaving:       e.Leaving,
		Messages:      make([]*peerv1.Message, 0, len(e.Messages)),
	}
	for _, m := range e.Messages {
		request.Messages = append(request.Messages, toWire(m))
	}
	return request
}

// Received returns the event for an envelope that came from a peer.
func Received(request *peerv1.ExchangeRequest) reducer.PeerReceived {
	event := reducer.PeerReceived{
		From:          request.GetFrom(),
		Incarnation:   request.GetIncarnation(),
		ToIncarnation: request.GetToIncarnation(),
		Leaving:       request.GetLeaving(),
	}
	for _, m := range request.GetMessages() {
		if message := fromWire(m); message != nil {
			event.Messages = append(event.Messages, message)
		}
	}
	return event
}

func toWire(message reducer.Message) *peerv1.Message {
	switch m := message.(type) {
	case reducer.Summary:
		return &peerv1.Message{Kind: &peerv1.Message_Summary{Summary: &peerv1.Summary{
			Revision: m.Revision, Confirmed: m.Confirmed, ConfirmedAgeMs: milliseconds(m.ConfirmedAge),
		}}}
	case reducer.LeaseRequest:
		return &peerv1.Message{Kind: &peerv1.Message_LeaseRequest{LeaseRequest: &peerv1.LeaseRequest{
			Anchor: m.Anchor, SentAtNs: uint64(m.SentAt), Digest: m.Digest, Rights: rightsToWire(m.Rights),
		}}}
	case reducer.LeaseReply:
		return &peerv1.Message{Kind: &peerv1.Message_LeaseReply{LeaseReply: replyToWire(m)}}
	case reducer.LeaseRelease:
		return &peerv1.Message{Kind: &peerv1.Message_LeaseRelease{LeaseRelease: &peerv1.LeaseRelease{
			SentAtNs: uint64(m.SentAt), Rights: rightsToWire(m.Rights),
		}}}
	case reducer.LeaseVacant:
		return &peerv1.Message{Kind: &peerv1.Message_LeaseVacant{LeaseVacant: &peerv1.LeaseVacant{Rights: rightsToWire(m.Rights)}}}
	case reducer.LeaseClaim:
		return &peerv1.Message{Kind: &peerv1.Message_LeaseClaim{LeaseClaim: &peerv1.LeaseClaim{Rights: rightsToWire(m.Rights)}}}
	case reducer.LeaseHandover:
		return &peerv1.Message{Kind: &peerv1.Message_LeaseHandover{LeaseHandover: handoverToWire(m)}}
	case reducer.BackendNotes:
		return &peerv1.Message{Kind: &peerv1.Message_BackendNotes{BackendNotes: notesToWire(m)}}
	}
	return grantToWire(message)
}

func grantToWire(message reducer.Message) *peerv1.Message {
	switch m := message.(type) {
	case reducer.GrantRequest:
		return &peerv1.Message{Kind: &peerv1.Message_GrantRequest{GrantRequest: grantRequestToWire(m)}}
	case reducer.GrantReply:
		return &peerv1.Message{Kind: &peerv1.Message_GrantReply{GrantReply: &peerv1.GrantReply{
			Account: m.Account, Sequence: m.Sequence, Tokens: m.Tokens, SentAtNs: uint64(m.SentAt),
			WaitMs: milliseconds(m.Wait), NotKeeper: m.NotKeeper, Settling: m.Settling,
		}}}
	case reducer.LoadWants:
		return &peerv1.Message{Kind: &peerv1.Message_LoadWants{LoadWants: wantsToWire(m)}}
	case reducer.LoadPermit:
		return &peerv1.Message{Kind: &peerv1.Message_LoadPermit{LoadPermit: &peerv1.LoadPermit{
			Sequence: m.Sequence, BackendServer: m.Backend, Adapter: adapterToWire(m.Adapter),
		}}}
	case reducer.LoadReturn:
		return &peerv1.Message{Kind: &peerv1.Message_LoadReturn{LoadReturn: &peerv1.LoadReturn{Sequence: m.Sequence, Unused: m.Unused}}}
	case reducer.PermitConsume:
		return &peerv1.Message{Kind: &peerv1.Message_PermitConsume{PermitConsume: &peerv1.PermitConsume{
			Permit: m.Permit, RequestId: m.RequestID,
		}}}
	case reducer.PermitAnswer:
		return &peerv1.Message{Kind: &peerv1.Message_PermitAnswer{PermitAnswer: &peerv1.PermitAnswer{
			Permit: m.Permit, RequestId: m.RequestID, Consumed: m.Consumed, Known: m.Known,
		}}}
	}
	return &peerv1.Message{}
}

func fromWire(message *peerv1.Message) reducer.Message {
	switch k := message.GetKind().(type) {
	case *peerv1.Message_Summary:
		return reducer.Summary{
			Revision: k.Summary.GetRevision(), Confirmed: k.Summary.GetConfirmed(), ConfirmedAge: duration(k.Summary.GetConfirmedAgeMs()),
		}
	case *peerv1.Message_LeaseRequest:
		return reducer.LeaseRequest{
			Anchor: k.LeaseRequest.GetAnchor(), SentAt: time.Duration(k.LeaseRequest.GetSentAtNs()),
			Digest: k.LeaseRequest.GetDigest(), Rights: rightsFromWire(k.LeaseRequest.GetRights()),
		}
	case *peerv1.Message_LeaseReply:
		return replyFromWire(k.LeaseReply)
	case *peerv1.Message_LeaseRelease:
		return reducer.LeaseRelease{
			SentAt: time.Duration(k.LeaseRelease.GetSentAtNs()), Rights: rightsFromWire(k.LeaseRelease.GetRights()),
		}
	case *peerv1.Message_LeaseVacant:
		return reducer.LeaseVacant{Rights: rightsFromWire(k.LeaseVacant.GetRights())}
	case *peerv1.Message_LeaseClaim:
		return reducer.LeaseClaim{Rights: rightsFromWire(k.LeaseClaim.GetRights())}
	case *peerv1.Message_LeaseHandover:
		return handoverFromWire(k.LeaseHandover)
	case *peerv1.Message_BackendNotes:
		return notesFromWire(k.BackendNotes)
	}
	return grantFromWire(message)
}

func grantFromWire(message *peerv1.Message) reducer.Message {
	switch k := message.GetKind().(type) {
	case *peerv1.Message_GrantRequest:
		return grantRequestFromWire(k.GrantRequest)
	case *peerv1.Message_GrantReply:
		return reducer.GrantReply{
			Account: k.GrantReply.GetAccount(), Sequence: k.GrantReply.GetSequence(), Tokens: k.GrantReply.GetTokens(),
			SentAt: time.Duration(k.GrantReply.GetSentAtNs()), Wait: duration(k.GrantReply.GetWaitMs()), NotKeeper: k.GrantReply.GetNotKeeper(),
			Settling: k.GrantReply.GetSettling(),
		}
	case *peerv1.Message_LoadWants:
		return wantsFromWire(k.LoadWants)
	case *peerv1.Message_LoadPermit:
		return reducer.LoadPermit{
			Sequence: k.LoadPermit.GetSequence(), Backend: k.LoadPermit.GetBackendServer(), Adapter: adapterFromWire(k.LoadPermit.GetAdapter()),
		}
	case *peerv1.Message_LoadReturn:
		return reducer.LoadReturn{Sequence: k.LoadReturn.GetSequence(), Unused: k.LoadReturn.GetUnused()}
	case *peerv1.Message_PermitConsume:
		return reducer.PermitConsume{Permit: k.PermitConsume.GetPermit(), RequestID: k.PermitConsume.GetRequestId()}
	case *peerv1.Message_PermitAnswer:
		return reducer.PermitAnswer{
			Permit: k.PermitAnswer.GetPermit(), RequestID: k.PermitAnswer.GetRequestId(),
			Consumed: k.PermitAnswer.GetConsumed(), Known: k.PermitAnswer.GetKnown(),
		}
	}
	return nil
}

func milliseconds(d time.Duration) uint64 {
	return uint64(max(d.Milliseconds(), 0))
}

func duration(ms uint64) time.Duration {
	return time.Duration(ms) * time.Millisecond
}
