package translator

import (
	"time"

	"github.com/redwingpick/redwingpick/internal/reducer"
	peerv1 "github.com/redwingpick/redwingpick/internal/wire/redwingpick/peer/v1"
)

func rightToWire(r reducer.Right) *peerv1.Right {
	return &peerv1.Right{Kind: uint32(r.Kind), Name: r.Name, Region: r.Region}
}

func rightFromWire(r *peerv1.Right) reducer.Right {
	return reducer.Right{Kind: reducer.Kind(r.GetKind()), Name: r.GetName(), Region: r.GetRegion()}
}

func rightsToWire(rights []reducer.Right) []*peerv1.Right {
	wire := make([]*peerv1.Right, 0, len(rights))
	for _, r := range rights {
		wire = append(wire, rightToWire(r))
	}
	return wire
}

func rightsFromWire(wire []*peerv1.Right) []reducer.Right {
	rights := make([]reducer.Right, 0, len(wire))
	for _, r := range wire {
		rights = append(rights, rightFromWire(r))
	}
	return rights
}

func replyToWire(m reducer.LeaseReply) *peerv1.LeaseReply {
	reply := &peerv1.LeaseReply{
		Anchor: m.Anchor, SentAtNs: uint64(m.SentAt), Digest: m.Digest, Unknown: m.Unknown, HighestTerm: m.HighestTerm,
	}
	for _, f := range m.Refused {
		reply.Refused = append(reply.Refused, &peerv1.Refusal{Right: rightToWire(f.Right), Holder: f.Holder})
	}
	return reply
}

func replyFromWire(m *peerv1.LeaseReply) reducer.LeaseReply {
	reply := reducer.LeaseReply{
		Anchor: m.GetAnchor(), SentAt: time.Duration(m.GetSentAtNs()), Digest: m.GetDigest(), Unknown: m.GetUnknown(), HighestTerm: m.GetHighestTerm(),
	}
	for _, f := range m.GetRefused() {
		reply.Refused = append(reply.Refused, reducer.Refusal{Right: rightFromWire(f.GetRight()), Holder: f.GetHolder()})
	}
	return reply
}

func handoverToWire(m reducer.LeaseHandover) *peerv1.LeaseHandover {
	wire := &peerv1.LeaseHandover{Right: rightToWire(m.Right)}
	if m.Account != nil {
		wire.Account = &peerv1.AccountHandover{Level: m.Account.Level, Outstanding: m.Account.Outstanding}
	}
	if m.Backend != nil {
		wire.Backend = &peerv1.BackendHandover{
			Incarnation: m.Backend.Incarnation, Limit: uint32(m.Backend.Limit), Running: uint32(m.Backend.Running),
			ColdLeftMs: milliseconds(m.Backend.ColdLeft),
		}
		for _, p := range m.Backend.Pins {
			wire.Backend.Pins = append(wire.Backend.Pins, &peerv1.Resident{Adapter: adapterToWire(p.Adapter), Running: uint32(p.Running)})
		}
	}
	return wire
}

func handoverFromWire(m *peerv1.LeaseHandover) reducer.LeaseHandover {
	handover := reducer.LeaseHandover{Right: rightFromWire(m.GetRight())}
	if a := m.GetAccount(); a != nil {
		handover.Account = &reducer.AccountHandover{Level: a.GetLevel(), Outstanding: a.GetOutstanding()}
	}
	if b := m.GetBackend(); b != nil {
		handover.Backend = &reducer.BackendHandover{Incarnation: b.GetIncarnation(), Limit: int(b.GetLimit()), Running: int(b.GetRunning()), ColdLeft: duration(b.GetColdLeftMs())}
		for _, p := range b.GetPins() {
			pin := reducer.ReportedAdapter{Adapter: adapterFromWire(p.GetAdapter()), Running: int(p.GetRunning())}
			handover.Backend.Pins = append(handover.Backend.Pins, pin)
		}
	}
	return handover
}

func notesToWire(m reducer.BackendNotes) *peerv1.BackendNotes {
	wire := &peerv1.BackendNotes{}
	for _, n := range m.Notes {
		wire.Notes = append(wire.Notes, &peerv1.BackendNote{BackendServer: n.Backend, Incarnation: n.Incarnation, Limit: uint32(n.Limit)})
	}
	return wire
}

func notesFromWire(m *peerv1.BackendNotes) reducer.BackendNotes {
	notes := reducer.BackendNotes{}
	for _, n := range m.GetNotes() {
		note := reducer.BackendNote{Backend: n.GetBackendServer(), Incarnation: n.GetIncarnation(), Limit: int(n.GetLimit())}
		notes.Notes = append(notes.Notes, note)
	}
	return notes
}

func grantRequestToWire(m reducer.GrantRequest) *peerv1.GrantRequest {
	wire := &peerv1.GrantRequest{
		Account: m.Account, Sequence: m.Sequence, Acknowledged: m.Acknowledged,
		Held: m.Held, Wanted: m.Wanted, Minimum: m.Minimum, SentAtNs: uint64(m.SentAt),
	}
	for _, r := range m.Refunds {
		wire.Refunds = append(wire.Refunds, &peerv1.Refund{Tokens: r.Tokens, AgeMs: milliseconds(r.Age + time.Millisecond)})
	}
	return wire
}

func grantRequestFromWire(m *peerv1.GrantRequest) reducer.GrantRequest {
	request := reducer.GrantRequest{
		Account: m.GetAccount(), Sequence: m.GetSequence(), Acknowledged: m.GetAcknowledged(),
		Held: m.GetHeld(), Wanted: m.GetWanted(), Minimum: m.GetMinimum(), SentAt: time.Duration(m.GetSentAtNs()),
	}
	for _, r := range m.GetRefunds() {
		request.Refunds = append(request.Refunds, reducer.Refund{Tokens: r.GetTokens(), Age: duration(r.GetAgeMs())})
	}
	return request
}

func wantsToWire(m reducer.LoadWants) *peerv1.LoadWants {
	wire := &peerv1.LoadWants{}
	for _, w := range m.Wants {
		wire.Wants = append(wire.Wants, &peerv1.LoadWant{BackendServer: w.Backend, Adapter: adapterToWire(w.Adapter), Urgency: w.Urgency})
	}
	return wire
}

func wantsFromWire(m *peerv1.LoadWants) reducer.LoadWants {
	wants := reducer.LoadWants{}
	for _, w := range m.GetWants() {
		want := reducer.LoadWant{Backend: w.GetBackendServer(), Adapter: adapterFromWire(w.GetAdapter()), Urgency: w.GetUrgency()}
		wants.Wants = append(wants.Wants, want)
	}
	return wants
}

func adapterToWire(a reducer.AdapterKey) *peerv1.Adapter {
	return &peerv1.Adapter{Name: a.Name, Version: a.Version}
}

func adapterFromWire(a *peerv1.Adapter) reducer.AdapterKey {
	return reducer.AdapterKey{Name: a.GetName(), Version: a.GetVersion()}
}
