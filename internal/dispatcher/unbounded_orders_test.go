package dispatcher

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/internal/clocker"
	"github.com/redwingpick/redwingpick/internal/reducer"
)

// maxOrderAllocation is the limit in bytes on the allocations of one call that receives an unbounded response.
const maxOrderAllocation = 8 * maxReportSize

// unboundedOrderResponses are unbounded responses to orders and reports, which have no id.
var unboundedOrderResponses = append(append([]unboundedResponse(nil), unboundedFraming[:7]...),
	unboundedResponse{"chunk extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
	unboundedResponse{"trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{\r\n0\r\n", "A: x\r\n"},
	unboundedResponse{"body without length", "HTTP/1.1 200 OK\r\n\r\n{}", " "},
	unboundedResponse{"chunked body", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n", "4\r\n    \r\n"},
)

// Guards against an order with an unbounded response counting as accepted, or the response being read into memory.
func TestUnboundedOrderResponseIsUnknown(t *testing.T) {
	ConfigureDefaultClient()
	for _, resp := range unboundedOrderResponses {
		for _, pause := range []time.Duration{0, slowSendInterval} {
			t.Run(resp.name+"/"+pause.String(), func(t *testing.T) {
				server := startUnboundedServer(t, resp, pause)
				client := &Client[codec, *sink]{}
				var event reducer.OrderEnded
				start := time.Now()
				used := allocatedBytes(func() {
					event, _ = client.SendOrder(context.Background(), reducer.OrderAdapter{
						Address: server.address, NotAfter: clocker.Now().Add(time.Second),
					})
				})
				assert.Check(t, time.Since(start) < orderTimeout+300*time.Millisecond, "took %v", time.Since(start))
				assert.Check(t, event.Result == reducer.OrderUnknown, "result %v", event.Result)
				assert.Check(t, used < maxOrderAllocation, "%d KiB allocated", used>>10)
				server.checkReset(t)
			})
		}
	}
}

// Guards against an unbounded report counting as valid, or being read into memory.
func TestUnboundedReportFails(t *testing.T) {
	ConfigureDefaultClient()
	for _, resp := range unboundedOrderResponses {
		for _, pause := range []time.Duration{0, slowSendInterval} {
			t.Run(resp.name+"/"+pause.String(), func(t *testing.T) {
				server := startUnboundedServer(t, resp, pause)
				client := &Client[codec, *sink]{}
				var event reducer.BackendReported
				start := time.Now()
				used := allocatedBytes(func() {
					event = client.ReadReport(context.Background(), clocker.Now(), reducer.ReadReport{Address: server.address})
				})
				assert.Check(t, time.Since(start) < reportTimeout+300*time.Millisecond, "took %v", time.Since(start))
				assert.Check(t, event.Failed)
				assert.Check(t, used < maxOrderAllocation, "%d KiB allocated", used>>10)
				server.checkReset(t)
			})
		}
	}
}
