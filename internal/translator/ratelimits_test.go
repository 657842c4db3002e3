package translator

import (
	"math"
	"strconv"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoregistry"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/dynamicpb"
	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/internal/reducer"
	peerv1 "github.com/redwingpick/redwingpick/internal/wire/redwingpick/peer/v1"
)

// Guards against an absurd number of another host becoming a limit, or the end of one, and against a time that overflows.
func TestRateLimitsFromTheWireAreBounded(t *testing.T) {
	server := func(perSecond float64, age time.Duration) []reducer.ServerRateLimit {
		return []reducer.ServerRateLimit{{Backend: "b", StartedUnixMs: 7, PerSecond: perSecond, Age: age}}
	}
	cases := []struct {
		name      string
		perSecond float64
		ageUs     uint64
		expected  []reducer.ServerRateLimit
	}{
		{"sound", 6.9, 2500, server(6.9, 2500*time.Microsecond)},
		{"no limit", 0, 0, server(0, 0)},
		{"at the bound", reducer.MaxRateLimit, 0, server(reducer.MaxRateLimit, 0)},
		{"above the bound", math.Nextafter(reducer.MaxRateLimit, math.Inf(1)), 0, nil},
		{"largest", math.MaxFloat64, 0, nil},
		{"infinite", math.Inf(1), 0, nil},
		{"negative infinite", math.Inf(-1), 0, nil},
		{"negative", -1, 0, nil},
		{"NaN", math.NaN(), 0, nil},
		{"age above the bound", 5, uint64(maxRateLimitAge.Microseconds()) + 1, server(5, maxRateLimitAge)},
		{"age beyond time.Duration", 5, math.MaxInt64, server(5, maxRateLimitAge)},
		{"negative age", 5, 1 << 63, server(5, maxRateLimitAge)},
		{"negative age of one unit", 5, math.MaxUint64, server(5, maxRateLimitAge)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := decodeRateLimits(&peerv1.RateLimits{Servers: []*peerv1.ServerRateLimit{
				{Backend: "b", StartedUnixMs: 7, PerSecond: c.perSecond, AgeUs: c.ageUs}, {Backend: "sound", PerSecond: 3},
			}})
			sound := reducer.ServerRateLimit{Backend: "sound", PerSecond: 3}
			assert.DeepEqual(t, m.Servers, append(c.expected, sound))
		})
	}
}

// Guards against a negative age at the sender becoming the largest one.
func TestNegativeAgeIsSentAsZero(t *testing.T) {
	w := encodeRateLimits(reducer.RateLimits{Servers: []reducer.ServerRateLimit{{Backend: "b", PerSecond: 5, Age: -time.Second}}})
	assert.Equal(t, w.GetServers()[0].GetAgeUs(), uint64(0))
}

// Guards against one message filling the memory of a host.
func TestNumberOfRateLimitsIsBounded(t *testing.T) {
	w := &peerv1.RateLimits{}
	for i := range reducer.MaxRateLimitsTold + 1 {
		w.Servers = append(w.Servers, &peerv1.ServerRateLimit{Backend: strconv.Itoa(i), PerSecond: 1})
	}
	m := decodeRateLimits(w)
	assert.Equal(t, len(m.Servers), reducer.MaxRateLimitsTold)
	assert.Equal(t, m.Servers[reducer.MaxRateLimitsTold-1].Backend, strconv.Itoa(reducer.MaxRateLimitsTold-1))
	assert.Equal(t, len(decodeRateLimits(nil).Servers), 0)
}

// envelopeWithRateLimits returns an encoded envelope in which rate limits stand between messages that every build knows.
func envelopeWithRateLimits(t *testing.T) []byte {
	data, err := proto.Marshal(EncodeEnvelope("h", 7, []reducer.Message{
		reducer.MembershipReply{Term: 6}, reducer.RateLimits{Servers: []reducer.ServerRateLimit{{Backend: "b", PerSecond: 5}}}, reducer.RecordRequest{Groups: 3},
	}))
	assert.NilError(t, err)
	return data
}

// Guards against an older build losing the other messages of an envelope with rate limits: it decodes the envelope without that field.
func TestOlderBuildIgnoresRateLimits(t *testing.T) {
	file := protodesc.ToFileDescriptorProto(peerv1.File_redwingpick_peer_v1_peer_proto)
	for _, message := range file.GetMessageType() {
		if message.GetName() == "Message" {
			message.Field = withoutField(message.GetField(), "rate_limits")
		}
	}
	older, err := protodesc.NewFile(file, protoregistry.GlobalFiles)
	assert.NilError(t, err)
	envelope := dynamicpb.NewMessage(older.Messages().ByName("ExchangeRequest"))
	assert.NilError(t, proto.Unmarshal(envelopeWithRateLimits(t), envelope))
	messages := envelope.Get(envelope.Descriptor().Fields().ByName("messages")).List()
	kind := older.Messages().ByName("Message").Oneofs().ByName("kind")
	var kinds []string
	for i := range messages.Len() {
		if field := messages.Get(i).Message().WhichOneof(kind); field != nil {
			kinds = append(kinds, string(field.Name()))
			continue
		}
		kinds = append(kinds, "")
	}
	assert.DeepEqual(t, kinds, []string{"roster_reply", "", "record_request"})
}

// withoutField returns the fields without the one of a name.
func withoutField(fields []*descriptorpb.FieldDescriptorProto, name string) (out []*descriptorpb.FieldDescriptorProto) {
	for _, field := range fields {
		if field.GetName() != name {
			out = append(out, field)
		}
	}
	return out
}

// Guards against this build losing the other messages of an envelope with a kind that it does not know, as an older build meets rate limits.
func TestUnknownKindLeavesTheOtherMessages(t *testing.T) {
	const unknownField = 900
	var envelope peerv1.ExchangeRequest
	assert.NilError(t, proto.Unmarshal(envelopeWithRateLimits(t), &envelope))
	content, err := proto.Marshal(envelope.GetMessages()[1].GetRateLimits())
	assert.NilError(t, err)
	unknown := protowire.AppendBytes(protowire.AppendTag(nil, unknownField, protowire.BytesType), content)
	envelope.GetMessages()[1].Reset()
	assert.NilError(t, proto.Unmarshal(unknown, envelope.GetMessages()[1]))
	data, err := proto.Marshal(&envelope)
	assert.NilError(t, err)
	var received peerv1.ExchangeRequest
	assert.NilError(t, proto.Unmarshal(data, &received))
	assert.DeepEqual(t, DecodeEnvelope(&received).Messages, []reducer.Message{reducer.MembershipReply{Term: 6}, reducer.RecordRequest{Groups: 3}})
}
