package commander

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/internal/reducer"
)

// Guards against a key in the output, and against flags that reach the host as something else.
func TestWhereAsksTheHostAndHidesTheKey(t *testing.T) {
	var asked reducer.WhereQuery
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		assert.Check(t, json.NewDecoder(r.Body).Decode(&asked) == nil)
		_ = json.NewEncoder(w).Encode(reducer.Where{Host: "a", Answer: reducer.WhereSent, Backend: "e1", Candidates: []reducer.WhereCandidate{{Backend: "e1"}}})
	}))
	defer host.Close()
	address := strings.TrimPrefix(host.URL, "http://")
	for _, format := range []string{"--json", "--output=text"} {
		out, err := run(t, "secret\n", "where", "h/gen/x", "--operator", address, "--key-file", "-", "--model", "m/a7", "--tokens", "100,5",
			"--prefix", "p:60,q:40", format)
		assert.NilError(t, err)
		assert.Assert(t, strings.Contains(out, "e1") && !strings.Contains(out, "secret"), "%s", out)
	}
	assert.DeepEqual(t, asked, reducer.WhereQuery{
		HostName: "h", Path: "/gen/x", Key: "secret", Model: "m", Adapter: "a7", PromptTokens: 100, OutputTokens: 5,
		Parts: []reducer.Part{{ID: "p", Tokens: 60}, {ID: "q", Tokens: 40}},
	})
}

func TestWhereWithBadInputIsAUsageError(t *testing.T) {
	for _, args := range [][]string{{"h"}, {"h/x", "--tokens", "5"}, {"h/x", "--prefix", "p"}, {"h/x", "--time-left-ms", "-1"},
		{"h/x", "--account", "a", "--key-file", "f"}, {"h/x", "--key-file", "no-such-file"}} {
		_, err := run(t, "", append([]string{"where", "--operator", "127.0.0.1:1"}, args...)...)
		assert.Assert(t, errors.Is(err, ErrUsage), "%v: %v", args, err)
	}
}
