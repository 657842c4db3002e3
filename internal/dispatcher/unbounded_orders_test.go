package dispatcher

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/internal/clocker"
	"github.com/redwingpick/redwingpick/internal/reducer"
)

// orderAllocated is the limit in bytes on the allocations of one call that receives an unbounded response.
const orderAllocated = 8 * maxReportSize

// orderFloods are unbounded responses to orders and reports, which have no id.
var orderFloods = append(append([]flood(nil), floodHeads[:7]...),
	flood{"chunk extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
	flood{"trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{\r\n0\r\n", "A: x\r\n"},
	flood{"body without length", "HTTP/1.1 200 OK\r\n\r\n{}", " "},
	flood{"chunked body", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n", "4\r\n    \r\n"},
)

// Guards against an order with an unbounded response counting as accepted, or the response being read into memory.
func TestAnswerToAnOrderWithoutEndTellsNothing(t *testing.T) {
	ConfigureDefaultClient()
	for _, f := range orderFloods {
		for _, pause := range []time.Duration{0, trickleEvery} {
			t.Run(f.name+"/"+pause.String(), func(t *testing.T) {
				server := startFlooder(t, f, pause)
				client := &Client[codec, *sink]{}
				var event reducer.OrderEnded
				start := time.Now()
				used := allocated(func() {
					event, _ = client.SendOrder(context.Background(), reducer.OrderAdapter{Address: server.address, NotAfter: clocker.Now().Add(time.Second)})
				})
				assert.Check(t, time.Since(start) < orderTimeout+300*time.Millisecond, "took %v", time.Since(start))
				assert.Check(t, event.Result == reducer.OrderUnknown, "result %v", event.Result)
				assert.Check(t, used < orderAllocated, "%d KiB allocated", used>>10)
				server.mustEndByReset(t)
			})
		}
	}
}

// Guards against an unbounded report counting as valid, or being read into memory.
func TestReportWithoutEndHasFailed(t *testing.T) {
	ConfigureDefaultClient()
	for _, f := range orderFloods {
		for _, pause := range []time.Duration{0, trickleEvery} {
			t.Run(f.name+"/"+pause.String(), func(t *testing.T) {
				server := startFlooder(t, f, pause)
				client := &Client[codec, *sink]{}
				var event reducer.BackendReported
				start := time.Now()
				used := allocated(func() {
					event = client.ReadReport(context.Background(), clocker.Now(), reducer.ReadReport{Address: server.address})
				})
				assert.Check(t, time.Since(start) < reportTimeout+300*time.Millisecond, "took %v", time.Since(start))
				assert.Check(t, event.Failed)
				assert.Check(t, used < orderAllocated, "%d KiB allocated", used>>10)
				server.mustEndByReset(t)
			})
		}
	}
}
