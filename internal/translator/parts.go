package translator

import (
	"time"

	"github.com/redwingpick/redwingpick/internal/reducer"
	peerv1 "github.com/redwingpick/redwingpick/internal/wire/redwingpick/peer/v1"
	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

func hostWire(r reducer.HostRecord) *peerv1.HostRecord {
	return &peerv1.HostRecord{
		Id: r.ID, Incarnation: r.Incarnation, Beat: r.Heartbeat, Address: r.Address, PeerAddress: r.PeerAddress,
		FailureDomain: r.FailureDomain, Ready: r.Ready, Leaving: r.Draining, Holds: r.Leases,
		SilentForUs: r.HeartbeatAge.Microseconds(), Seated: r.Voter, SeatInMs: uint64(r.PromotionIn.Milliseconds()), Term: r.Term,
	}
}

func hostRecord(w *peerv1.HostRecord) reducer.HostRecord {
	return reducer.HostRecord{
		ID: w.GetId(), Incarnation: w.GetIncarnation(), Heartbeat: w.GetBeat(), Address: w.GetAddress(), PeerAddress: w.GetPeerAddress(),
		FailureDomain: w.GetFailureDomain(), Ready: w.GetReady(), Draining: w.GetLeaving(), Leases: w.GetHolds(), HeartbeatAge: micros(w.GetSilentForUs()),
		Voter: w.GetSeated(), PromotionIn: time.Duration(w.GetSeatInMs()) * time.Millisecond, Term: w.GetTerm(),
	}
}

func beatsWire(m reducer.Heartbeats) *peerv1.HostBeats {
	w := &peerv1.HostBeats{}
	for _, b := range m.Hosts {
		w.Beats = append(w.Beats, &peerv1.HostBeat{Incarnation: b.Incarnation, Beat: b.Heartbeat, SilentForMs: uint64(b.HeartbeatAge.Milliseconds())})
	}
	return w
}

func hostBeats(w *peerv1.HostBeats) reducer.Heartbeats {
	m := reducer.Heartbeats{}
	for _, b := range w.GetBeats() {
		m.Hosts = append(m.Hosts, reducer.HostHeartbeat{
			Incarnation: b.GetIncarnation(), Heartbeat: b.GetBeat(), HeartbeatAge: time.Duration(b.GetSilentForMs()) * time.Millisecond,
		})
	}
	return m
}

func leaseRequestWire(m reducer.LeaseRequest) *peerv1.LeaseRequest {
	w := &peerv1.LeaseRequest{SentAtUs: m.SentAt.Microseconds()}
	for _, c := range m.Claims {
		w.Claims = append(w.Claims, &peerv1.Claim{Backend: c.Backend, Term: c.Term, Valid: c.Renewal, Voters: c.VotersDigest})
	}
	return w
}

func leaseRequest(w *peerv1.LeaseRequest) reducer.LeaseRequest {
	m := reducer.LeaseRequest{SentAt: micros(w.GetSentAtUs())}
	for _, c := range w.GetClaims() {
		m.Claims = append(m.Claims, reducer.Claim{Backend: c.GetBackend(), Term: c.GetTerm(), Renewal: c.GetValid(), VotersDigest: c.GetVoters()})
	}
	return m
}

func leaseReplyWire(m reducer.LeaseReply) *peerv1.LeaseReply {
	w := &peerv1.LeaseReply{SentAtUs: m.SentAt.Microseconds()}
	for _, v := range m.Votes {
		w.Votes = append(w.Votes, &peerv1.Vote{Backend: v.Backend, Backed: v.Granted, Term: v.Term, HeldBefore: v.HeldBefore})
	}
	return w
}

func leaseReply(w *peerv1.LeaseReply) reducer.LeaseReply {
	m := reducer.LeaseReply{SentAt: micros(w.GetSentAtUs())}
	for _, v := range w.GetVotes() {
		m.Votes = append(m.Votes, reducer.Vote{Backend: v.GetBackend(), Granted: v.GetBacked(), Term: v.GetTerm(), HeldBefore: v.GetHeldBefore()})
	}
	return m
}

func adapterWire(k reducer.AdapterKey) *peerv1.Adapter {
	return &peerv1.Adapter{Model: k.Model, Adapter: k.Adapter}
}

func adapter(w *peerv1.Adapter) reducer.AdapterKey {
	return reducer.AdapterKey{Model: w.GetModel(), Adapter: w.GetAdapter()}
}

func originWire(o reducer.Origin) *peerv1.Origin {
	if o.Request == "" {
		return nil
	}
	return &peerv1.Origin{Request: o.Request, AgeMs: uint64(max(o.Age.Milliseconds(), 0))}
}

func origin(w *peerv1.Origin) reducer.Origin {
	return reducer.Origin{Request: w.GetRequest(), Age: time.Duration(w.GetAgeMs()) * time.Millisecond}
}

func usageWire(m reducer.Usage) *peerv1.Usage {
	w := &peerv1.Usage{Backend: m.Backend, Running: int64(m.Running), Tokens: int64(m.Tokens), Prefill: int64(m.Prefill)}
	for _, a := range m.Adapters {
		w.Adapters = append(w.Adapters, &peerv1.AdapterUse{Adapter: adapterWire(a.Adapter), Count: int64(a.Count), Running: int64(a.Running), Served: a.Served, Version: a.Version})
	}
	return w
}

func usage(w *peerv1.Usage) reducer.Usage {
	m := reducer.Usage{Backend: w.GetBackend(), Running: int(w.GetRunning()), Tokens: int(w.GetTokens()), Prefill: int(w.GetPrefill())}
	for _, a := range w.GetAdapters() {
		m.Adapters = append(m.Adapters, reducer.AdapterUsage{Adapter: adapter(a.GetAdapter()), Count: int(a.GetCount()), Running: int(a.GetRunning()), Served: a.GetServed(), Version: a.GetVersion()})
	}
	return m
}

// Updates returns the wire form of changed documents.
func Updates(answer reducer.UpdatesResponse) *peerv1.UpdatesResponse {
	w := &peerv1.UpdatesResponse{Revision: answer.Revision, Whole: answer.Snapshot, Relayed: answer.SignificantRevision}
	for _, d := range answer.Documents {
		w.Documents = append(w.Documents, &peerv1.Document{Key: d.Key, Revision: d.Revision, Gone: d.Deleted, Raw: d.Raw})
	}
	return w
}

// DocumentCodec decodes published items.
type DocumentCodec interface { // type constraint
	Document(key string, revision int64, gone bool, raw []byte) cataloguer.Document
}

// UpdatesEvent returns the event for a peer's answer.
func UpdatesEvent[C DocumentCodec](codec C, from string, w *peerv1.UpdatesResponse) reducer.UpdatesRead {
	event := reducer.UpdatesRead{From: from, Snapshot: w.GetWhole(), Revision: w.GetRevision(), SignificantRevision: w.GetRelayed()}
	for _, d := range w.GetDocuments() {
		event.Documents = append(event.Documents, codec.Document(d.GetKey(), d.GetRevision(), d.GetGone(), d.GetRaw()))
	}
	return event
}
