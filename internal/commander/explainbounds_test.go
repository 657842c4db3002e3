package commander

import (
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// logLimits holds the lines of a host before servers that name limits and one that is cold; host b is another one.
const logLimits = `{"time":1000,"level":"info","event":171,"host":"a","backend_server":"d1","service":"desk","limit":"4","limit_before":"0","sender":"false","senders":"b,c,d","message":"rate limit changed"}
{"time":1500,"level":"info","event":171,"host":"a","backend_server":"d1","service":"desk","limit":"1.5","limit_before":"4","peer":"b","sender":"false","senders":"b,c,d","message":"rate limit changed"}
{"time":1600,"level":"info","event":171,"host":"a","backend_server":"d2","service":"desk","limit":"2","limit_before":"0","sender":"true","senders":"a,b,c","message":"rate limit changed"}
{"time":1700,"level":"info","event":171,"host":"a","backend_server":"d2","service":"desk","limit":"0","limit_before":"2","sender":"true","senders":"a,b,c","message":"rate limit changed"}
{"time":1800,"level":"info","event":171,"host":"a","backend_server":"d3","service":"desk","limit":"2","limit_before":"0","sender":"true","senders":"a,b,c","message":"rate limit changed"}
{"time":1900,"level":"info","event":141,"host":"a","backend_server":"d3","service":"desk","message":"backend server joined"}
{"time":1900,"level":"info","event":171,"host":"a","backend_server":"e1","service":"engines","limit":"9","limit_before":"0","sender":"true","senders":"a,b,c","message":"rate limit changed"}
{"time":1950,"level":"info","event":171,"host":"b","backend_server":"d4","service":"desk","limit":"9","limit_before":"0","sender":"true","senders":"a,b,c","message":"rate limit changed"}
{"time":58000,"level":"info","event":170,"host":"a","backend_server":"d5","service":"desk","reason":"joined","cold_ms":"3000","sender":"true","senders":"a,b,c","message":"cold start began"}
{"time":59000,"level":"warn","event":172,"host":"a","backend_server":"d1","service":"desk","fault":"is negative","limit":"1.5","message":"rate limit ignored"}
{"time":60003,"level":"warn","event":204,"host":"a","request":"r7","age_ms":"3","route":"safe","service":"desk","reason":"no_backend_server","may_have_run":"false","retry_after_ms":"666","message":"request refused"}
{"time":60100,"level":"info","event":171,"host":"a","backend_server":"d1","service":"desk","limit":"0","limit_before":"1.5","sender":"false","senders":"b,c,d","message":"rate limit changed"}
{"time":60200,"level":"info","event":202,"host":"a","request":"r8","age_ms":"1","backend_server":"d5","server_state":"cold","attempt":"1","message":"request sent"}
{"time":60300,"level":"info","event":203,"host":"a","request":"r8","age_ms":"101","backend_server":"d5","attempt":"1","status":"200","took_ms":"100","message":"request ended"}
`

func explained(t *testing.T, request string) Explanation {
	out, err := run(t, logLimits, "explain", request, "-", "--output", "json")
	assert.NilError(t, err)
	var e Explanation
	assert.NilError(t, json.Unmarshal([]byte(out), &e))
	return e
}

// Guards against a refusal for want of a server whose explanation names no bound, because the bound began long before or no line of the
// request names a server, or names one that was over or belongs to another service or host.
func TestExplainNamesTheBoundsOfTheServersOfARefusedRequest(t *testing.T) {
	e := explained(t, "r7")
	assert.Equal(t, e.Cause, "no backend server of the service could be used, for example because all were draining, withdrawn, cold or ejected, or at"+
		" the limits that they name; d5 was cold and was left to a,b,c; d1 took at most 1.5 requests/s from all hosts and was left to b,c,d")
	var nearby []string
	for _, l := range e.Nearby {
		nearby = append(nearby, l.Fields["backend_server"]+" "+l.Message)
	}
	assert.DeepEqual(t, nearby, []string{"d1 rate limit changed", "d5 cold start began", "d1 rate limit ignored"})
}

// Guards against a request that was sent to a server with a bound and whose explanation does not say so.
func TestExplainShowsTheBoundOfTheServerThatARequestWasSentTo(t *testing.T) {
	e := explained(t, "r8")
	assert.Equal(t, len(e.Nearby), 1)
	assert.Equal(t, e.Nearby[0].Message, "cold start began")
	text, err := run(t, logLimits, "explain", "r8", "-")
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(text, "server_state=cold"), text)
}
