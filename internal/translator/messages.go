package translator

import (
	"time"

	"github.com/redwingpick/redwingpick/internal/reducer"
	peerv1 "github.com/redwingpick/redwingpick/internal/wire/redwingpick/peer/v1"
	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

func encodeHostRecord(r reducer.HostRecord) *peerv1.HostRecord {
	return &peerv1.HostRecord{
		Id: r.ID, Incarnation: r.Incarnation, Beat: r.Heartbeat, Address: r.Address, PeerAddress: r.PeerAddress,
		FailureDomain: r.FailureDomain, Ready: r.Ready, Leaving: r.Draining, Holds: r.Leases,
		SilentForUs: r.HeartbeatAge.Microseconds(), Seated: r.Voter, SeatInMs: uint64(r.PromotionIn.Milliseconds()), Term: r.Term,
		ChangedAtHeartbeat: r.ChangedAtHeartbeat, Datagrams: r.Datagrams, CapacityMillicores: uint32(max(r.CapacityMillicores, 0)),
	}
}

func decodeHostRecord(w *peerv1.HostRecord) reducer.HostRecord {
	return reducer.HostRecord{
		ID: w.GetId(), Incarnation: w.GetIncarnation(), Heartbeat: w.GetBeat(), Address: w.GetAddress(), PeerAddress: w.GetPeerAddress(),
		FailureDomain: w.GetFailureDomain(), Ready: w.GetReady(), Draining: w.GetLeaving(), Leases: w.GetHolds(),
		HeartbeatAge: microseconds(w.GetSilentForUs()), Voter: w.GetSeated(), PromotionIn: time.Duration(w.GetSeatInMs()) * time.Millisecond, Term: w.GetTerm(),
		ChangedAtHeartbeat: w.GetChangedAtHeartbeat(), Datagrams: w.GetDatagrams(),
		CapacityMillicores: int(min(w.GetCapacityMillicores(), maxCapacityMillicores)),
	}
}

// maxCapacityMillicores bounds the capacity that a record may state.
const maxCapacityMillicores = 1 << 20

func decodeHeartbeatTable(w *peerv1.HeartbeatTable) reducer.HeartbeatTable {
	return reducer.HeartbeatTable{
		AgeUnit: time.Duration(w.GetAgeUnitUs()) * time.Microsecond, Digests: w.GetDigests(), Sizes: w.GetSizes(), Counters: w.GetCounters(), Ages: w.GetAges(),
		Term: w.GetTerm(),
	}
}

func encodeHeartbeats(m reducer.Heartbeats) *peerv1.HostBeats {
	w := &peerv1.HostBeats{}
	for _, h := range m.Hosts {
		w.Beats = append(w.Beats, &peerv1.HostBeat{
			Incarnation: h.Incarnation, Beat: h.Heartbeat, SilentForMs: uint64(h.HeartbeatAge.Milliseconds()),
		})
	}
	return w
}

func decodeHeartbeats(w *peerv1.HostBeats) reducer.Heartbeats {
	m := reducer.Heartbeats{}
	for _, h := range w.GetBeats() {
		m.Hosts = append(m.Hosts, reducer.HostHeartbeat{
			Incarnation: h.GetIncarnation(), Heartbeat: h.GetBeat(), HeartbeatAge: time.Duration(h.GetSilentForMs()) * time.Millisecond,
		})
	}
	return m
}

func encodeLeaseRequest(m reducer.LeaseRequest) *peerv1.LeaseRequest {
	w := &peerv1.LeaseRequest{SentAtUs: m.SentAtUptime.Microseconds()}
	for _, c := range m.Claims {
		w.Claims = append(w.Claims, &peerv1.Claim{Backend: c.Backend, Term: c.Term, Valid: c.Renewal, Voters: c.VotersDigest})
	}
	return w
}

func decodeLeaseRequest(w *peerv1.LeaseRequest) reducer.LeaseRequest {
	m := reducer.LeaseRequest{SentAtUptime: microseconds(w.GetSentAtUs())}
	for _, c := range w.GetClaims() {
		m.Claims = append(m.Claims, reducer.Claim{Backend: c.GetBackend(), Term: c.GetTerm(), Renewal: c.GetValid(), VotersDigest: c.GetVoters()})
	}
	return m
}

func encodeLeaseReply(m reducer.LeaseReply) *peerv1.LeaseReply {
	w := &peerv1.LeaseReply{SentAtUs: m.SentAtUptime.Microseconds()}
	for _, v := range m.Votes {
		w.Votes = append(w.Votes, &peerv1.Vote{Backend: v.Backend, Backed: v.Granted, Term: v.Term, HeldBefore: v.HeldBefore})
	}
	return w
}

func decodeLeaseReply(w *peerv1.LeaseReply) reducer.LeaseReply {
	m := reducer.LeaseReply{SentAtUptime: microseconds(w.GetSentAtUs())}
	for _, v := range w.GetVotes() {
		m.Votes = append(m.Votes, reducer.Vote{Backend: v.GetBackend(), Granted: v.GetBacked(), Term: v.GetTerm(), HeldBefore: v.GetHeldBefore()})
	}
	return m
}

func encodeAdapter(k reducer.AdapterKey) *peerv1.Adapter {
	return &peerv1.Adapter{Model: k.Model, Adapter: k.Adapter}
}

func decodeAdapter(w *peerv1.Adapter) reducer.AdapterKey {
	return reducer.AdapterKey{Model: w.GetModel(), Adapter: w.GetAdapter()}
}

func encodeOrigin(o reducer.Origin) *peerv1.Origin {
	if o.Request == "" {
		return nil
	}
	return &peerv1.Origin{Request: o.Request, AgeMs: uint64(max(o.Age.Milliseconds(), 0))}
}

func decodeOrigin(w *peerv1.Origin) reducer.Origin {
	return reducer.Origin{Request: w.GetRequest(), Age: time.Duration(w.GetAgeMs()) * time.Millisecond}
}

func encodeUsage(m reducer.Usage) *peerv1.Usage {
	w := &peerv1.Usage{
		Backend: m.Backend, Running: int64(m.Running), Tokens: int64(m.Tokens), Prefill: int64(m.PrefillTokens),
		PaceWork: m.PaceWork, PaceBusyUs: uint64(max(m.PaceBusy.Microseconds(), 0)),
		Answers: uint32(m.Answers), SlowAnswers: uint32(m.SlowAnswers), Refusals: uint32(m.Refusals), Full: m.Full,
	}
	for _, a := range m.Adapters {
		w.Adapters = append(w.Adapters, &peerv1.AdapterUse{
			Adapter: encodeAdapter(a.Adapter), Count: int64(a.DispatchCount), Running: int64(a.Running), Served: a.Verified, Version: a.Version,
			Work: int64(a.Work),
		})
	}
	return w
}

func decodeUsage(w *peerv1.Usage) reducer.Usage {
	m := reducer.Usage{
		Backend: w.GetBackend(), Running: int(w.GetRunning()), Tokens: int(w.GetTokens()), PrefillTokens: int(w.GetPrefill()),
		PaceWork: w.GetPaceWork(), PaceBusy: microseconds(int64(w.GetPaceBusyUs())),
		Answers: int(w.GetAnswers()), SlowAnswers: int(w.GetSlowAnswers()), Refusals: int(w.GetRefusals()), Full: w.GetFull(),
	}
	for _, a := range w.GetAdapters() {
		m.Adapters = append(m.Adapters, reducer.AdapterUsage{
			Adapter: decodeAdapter(a.GetAdapter()), DispatchCount: int(a.GetCount()), Running: int(a.GetRunning()),
			Verified: a.GetServed(), Version: a.GetVersion(), Work: int(a.GetWork()),
		})
	}
	return m
}

func encodeBackendLoad(m reducer.BackendLoad) *peerv1.BackendLoad {
	w := &peerv1.BackendLoad{
		Backend: m.Backend, Running: int64(m.Running), Tokens: int64(m.Tokens), Prefill: int64(m.PrefillTokens), Free: int64(m.FreeSlots),
		PaceWork: m.PaceWork, PaceBusyUs: uint64(max(m.PaceBusy.Microseconds(), 0)), StartLimit: m.StartLimit, Senders: uint32(m.Senders),
	}
	for _, d := range m.Demands {
		w.Demands = append(w.Demands, &peerv1.AdapterDemand{Adapter: encodeAdapter(d.Adapter), WorkPerS: d.Work})
	}
	return w
}

func decodeBackendLoad(w *peerv1.BackendLoad) reducer.BackendLoad {
	m := reducer.BackendLoad{
		Backend: w.GetBackend(), Running: int(w.GetRunning()), Tokens: int(w.GetTokens()), PrefillTokens: int(w.GetPrefill()),
		FreeSlots: int(w.GetFree()), PaceWork: w.GetPaceWork(), PaceBusy: microseconds(int64(w.GetPaceBusyUs())),
		StartLimit: w.GetStartLimit(), Senders: int(w.GetSenders()),
	}
	for _, d := range w.GetDemands() {
		m.Demands = append(m.Demands, reducer.AdapterDemand{Adapter: decodeAdapter(d.GetAdapter()), Work: d.GetWorkPerS()})
	}
	return m
}

// EncodeUpdates encodes changed documents.
func EncodeUpdates(resp reducer.UpdatesResponse) *peerv1.UpdatesResponse {
	w := &peerv1.UpdatesResponse{
		Era: resp.Version.Era, Revision: resp.Version.Revision, Whole: resp.Snapshot,
		RelayedEra: resp.SignificantVersion.Era, Relayed: resp.SignificantVersion.Revision, EraAgeUs: encodeAge(resp.EraAge),
	}
	for _, d := range resp.Documents {
		w.Documents = append(w.Documents, &peerv1.Document{
			Key: d.Key, Era: d.Version.Era, Revision: d.Version.Revision, Gone: d.Deleted, Raw: d.Raw, AgeUs: encodeAge(d.Age),
		})
	}
	return w
}

// maxDocumentAge is the largest age of a document or an era in a message; a larger one counts as it.
const maxDocumentAge = 365 * 24 * time.Hour

func encodeAge(age time.Duration) uint64 {
	return uint64(min(max(age, 0), maxDocumentAge).Microseconds())
}

func decodeAge(us uint64) time.Duration {
	return microseconds(int64(min(us, uint64(maxDocumentAge.Microseconds()))))
}

// DecodeUpdatesRequest decodes a request for changed documents, which is answered to replyID.
func DecodeUpdatesRequest(replyID string, w *peerv1.UpdatesRequest) reducer.UpdatesRequested {
	return reducer.UpdatesRequested{
		ReplyID: replyID, Since: cataloguer.Version{Era: w.GetEra(), Revision: w.GetSince()}, WithoutEra: !w.GetKnowsEras(),
	}
}

// EncodeUpdatesRequest encodes a request for changed documents.
func EncodeUpdatesRequest(effect reducer.ReadUpdates) *peerv1.UpdatesRequest {
	return &peerv1.UpdatesRequest{Era: effect.Since.Era, Since: effect.Since.Revision, KnowsEras: true}
}

// DocumentCodec decodes the items of the configuration service.
type DocumentCodec interface { // type constraint
	// DecodeDocument decodes one item; a deleted one has no content.
	DecodeDocument(key string, version cataloguer.Version, deleted bool, raw []byte) cataloguer.Document
}

// DecodeUpdates decodes a response with changed documents; from is the host that sent it.
func DecodeUpdates[C DocumentCodec](codec C, from string, w *peerv1.UpdatesResponse) reducer.UpdatesRead {
	event := reducer.UpdatesRead{
		From: from, Snapshot: w.GetWhole(), Version: cataloguer.Version{Era: w.GetEra(), Revision: w.GetRevision()},
		SignificantVersion: cataloguer.Version{Era: w.GetRelayedEra(), Revision: w.GetRelayed()}, EraAge: decodeAge(w.GetEraAgeUs()),
	}
	for _, d := range w.GetDocuments() {
		document := codec.DecodeDocument(d.GetKey(), cataloguer.Version{Era: d.GetEra(), Revision: d.GetRevision()}, d.GetGone(), d.GetRaw())
		document.Age = decodeAge(d.GetAgeUs())
		event.Documents = append(event.Documents, document)
	}
	return event
}
