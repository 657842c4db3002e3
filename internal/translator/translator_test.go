package translator

import (
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/internal/reducer"
	peerv1 "github.com/redwingpick/redwingpick/internal/wire/redwingpick/peer/v1"
	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

func TestMessagesRoundTrip(t *testing.T) {
	key := reducer.AdapterKey{Model: "m", Adapter: "a"}
	messages := []reducer.Message{
		reducer.HostRecord{
			ID: "h", Incarnation: 7, Heartbeat: 9, Address: "a", PeerAddress: "p", FailureDomain: "d", Ready: true, Draining: true,
			HeartbeatAge: time.Second, Leases: []string{"b"}, Voter: true, PromotionIn: 2 * time.Second, Term: 5,
		},
		reducer.Heartbeats{Hosts: []reducer.HostHeartbeat{{Incarnation: 7, Heartbeat: 9, HeartbeatAge: 20 * time.Millisecond}}},
		reducer.MembershipRequest{},
		reducer.MembershipReply{VotersKnown: true, Term: 6},
		reducer.DocumentSummary{SignificantVersion: cataloguer.Version{Era: 2, Revision: 4}, ConfirmedAge: -time.Microsecond},
		reducer.LeaseRequest{SentAtUptime: time.Second, Claims: []reducer.Claim{{Backend: "b", Term: 3, Renewal: true, VotersDigest: 8}}},
		reducer.LeaseReply{SentAtUptime: time.Second, Votes: []reducer.Vote{{Backend: "b", Granted: true, Term: 3, HeldBefore: true}}},
		reducer.LeaseRelease{SentAtUptime: time.Second, Backends: []string{"b"}},
		reducer.AdapterRequest{Backend: "b", Adapter: key, Version: 2, Overdue: true, Origin: reducer.Origin{Request: "r", Age: 3 * time.Millisecond}},
		reducer.ResidencyUpdate{Backend: "b", Adapter: key, Version: 2, Stage: reducer.StageReady, ReadyIn: time.Millisecond},
		reducer.Usage{Backend: "b", Running: 1, Full: true, Tokens: 2, PrefillTokens: 3, Adapters: []reducer.AdapterUsage{{Adapter: key, DispatchCount: 1, Running: 2, Verified: true, Version: 3, Work: 4}},
			PaceWork: 1.5, PaceBusy: 2 * time.Millisecond, Answers: 5, SlowAnswers: 2, Refusals: 1},
		reducer.BackendLoad{Backend: "b", Running: 1, Tokens: 2, PrefillTokens: 3, FreeSlots: 4, PaceWork: 2.5, PaceBusy: time.Second, StartLimit: 3.5, Senders: 6,
			Demands: []reducer.AdapterDemand{{Adapter: key, Work: 7.5}}},
		reducer.TokenRequest{Account: "a", Sequence: 5, Needed: 1.5, Reserve: 2.5, Returned: 3.5, Spent: []float64{1, 2}, SpentPeriod: time.Second, Unspent: 4.5, Origin: reducer.Origin{Request: "r"}},
		reducer.Suspects{Contents: []reducer.SuspectContent{
			{
				Content: "p", Depth: 2, Crashes: []reducer.SuspectCrash{{Server: 5, Request: 6, Age: time.Second, AnswerBegun: true}}, Answered: true, AnsweredAge: 0,
				QuarantineLeft: time.Minute, Strikes: 1,
			},
			{Content: "q"},
		}},
		reducer.Losses{Requests: []reducer.Loss{
			{ID: 9, Crash: reducer.SuspectCrash{Server: 5, Request: 6, Age: time.Second, AnswerBegun: true}, Contents: []string{"adapter/m/a@1", "part/p"}},
			{ID: 10},
		}},
		reducer.TokenGrant{Account: "a", Sequence: 5, Tokens: 1.5, Wait: time.Second},
		reducer.RateLimits{Servers: []reducer.ServerRateLimit{
			{Backend: "b", StartedUnixMs: 1700000000000, PerSecond: 6.9, Sequence: 3, Age: 1500 * time.Microsecond},
			{Backend: "c", StartedUnixMs: 1700000000001, PerSecond: 0, Age: 2 * time.Second},
			{Backend: "d", PerSecond: reducer.MaxRateLimit},
		}},
	}
	data, err := proto.Marshal(EncodeEnvelope("h", 7, messages))
	assert.NilError(t, err)
	var envelope peerv1.ExchangeRequest
	assert.NilError(t, proto.Unmarshal(data, &envelope))
	assert.DeepEqual(t, DecodeEnvelope(&envelope), reducer.PeerReceived{From: "h", Incarnation: 7, Messages: messages})
}

func TestUnknownStageIsAbsent(t *testing.T) {
	assert.Equal(t, decodeStage(99), reducer.StageAbsent)
}

// rawCodec keeps documents undecoded.
type rawCodec struct{}

func (rawCodec) DecodeDocument(key string, version cataloguer.Version, deleted bool, raw []byte) cataloguer.Document {
	return cataloguer.Document{Key: key, Version: version, Deleted: deleted, Raw: raw}
}

func TestDocumentsRoundTrip(t *testing.T) {
	documents := []cataloguer.Document{
		{Key: "a", Version: cataloguer.Version{Era: 1, Revision: 3}, Raw: []byte("x"), Age: 1500 * time.Microsecond},
		{Key: "b", Version: cataloguer.Version{Era: 2, Revision: 4}, Deleted: true},
	}
	version, significant := cataloguer.Version{Era: 2, Revision: 9}, cataloguer.Version{Era: 2, Revision: 8}
	event := DecodeUpdates(rawCodec{}, "h", EncodeUpdates(reducer.UpdatesResponse{
		Version: version, SignificantVersion: significant, Snapshot: true, EraAge: time.Second, Documents: documents,
	}))
	assert.DeepEqual(t, event, reducer.UpdatesRead{
		From: "h", Version: version, SignificantVersion: significant, Snapshot: true, EraAge: time.Second, Documents: documents,
	})
}

// Guards against times that overflow, from a host that states an absurd age.
func TestSuspectsAreBounded(t *testing.T) {
	crashes := make([]*peerv1.SuspectCrash, 1000)
	for i := range crashes {
		crashes[i] = &peerv1.SuspectCrash{AgeMs: 1 << 63}
	}
	m := decodeSuspects(&peerv1.Suspects{Contents: []*peerv1.SuspectContent{{
		Content: "p", Depth: 1 << 31, Strikes: 1 << 31, AnsweredAgeMs: 1<<64 - 1, QuarantineLeftMs: 1 << 63, Crashes: crashes,
	}}})
	assert.Equal(t, len(m.Contents[0].Crashes), maxCrashesTold)
	assert.Equal(t, m.Contents[0].Crashes[0].Age, maxSuspectAge)
	assert.Equal(t, m.Contents[0].AnsweredAge, maxSuspectAge)
	assert.Equal(t, m.Contents[0].QuarantineLeft, maxSuspectAge)
	assert.Equal(t, m.Contents[0].Strikes, maxStrikes)
}

// Guards against a message that fills the memory of its receiver, and against a loss whose content is cut: what it lacked would count as answered.
func TestLossesAreBounded(t *testing.T) {
	long := &peerv1.LostRequest{Id: 1, Contents: make([]string, maxContentsTold)}
	many := &peerv1.LostRequests{Requests: []*peerv1.LostRequest{long, {Id: 2, Contents: []string{"p"}}, {Id: 3}}}
	m := decodeLosses(many)
	assert.Equal(t, len(m.Requests), 1)
	assert.Equal(t, len(m.Requests[0].Contents), maxContentsTold)
	named := decodeLosses(&peerv1.LostRequests{Requests: []*peerv1.LostRequest{{Id: 1, Contents: []string{"p", strings.Repeat("x", maxContentTold+1)}}, {Id: 2}}})
	assert.Equal(t, len(named.Requests), 1)
	assert.Equal(t, named.Requests[0].ID, uint64(2))
	crowd := &peerv1.LostRequests{}
	for range 1000 {
		crowd.Requests = append(crowd.Requests, &peerv1.LostRequest{Crash: &peerv1.SuspectCrash{AgeMs: 1 << 63}})
	}
	assert.Equal(t, len(decodeLosses(crowd).Requests), maxLossesTold)
	assert.Equal(t, decodeLosses(crowd).Requests[0].Crash.Age, maxSuspectAge)
}

// Guards against a host that has just started, whose documents were never confirmed, and tells others that they have just been.
func TestHostWithoutConfirmationTellsOfNone(t *testing.T) {
	for _, age := range []time.Duration{-1, -time.Microsecond, -time.Second} {
		m := decodeMessage(encodeMessage(reducer.DocumentSummary{ConfirmedAge: age})).(reducer.DocumentSummary)
		assert.Assert(t, m.ConfirmedAge < 0, "%v became %v", age, m.ConfirmedAge)
	}
}
