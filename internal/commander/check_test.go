package commander

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// brokenFiles are ten files, each with one fault, and the line and field that the check must name.
var brokenFiles = []struct {
	name, content, fault string
}{
	{"unknown_field", "shard: a\nadapterz: []\n", ":2: adapterz: unknown field"},
	{"wrong_type", "shard: a\nservices:\n  - name: s\n    call_tokens: many\n", ":4: call_tokens: cannot unmarshal"},
	{"syntax", "shard: a\nhosts: [\n", ":2: document:"},
	{"host_name", "shard: a\nhosts:\n  - {id: h, address: \"example.org:80\", peer_address: \"127.0.0.1:1\", failure_domain: d}\n", ":3: hosts.0.address: must be an IP number"},
	{"negative_rate", "shard: a\nclient_accounts:\n  - id: x\n    rate: -1\n    burst: 5\n    keys: []\n", ":4: client_accounts.0.rate: must be more than 0"},
	{"short_digest", "shard: a\nclient_accounts:\n  - id: x\n    rate: 1\n    burst: 5\n    keys:\n      - digest: abc\n", ":7: client_accounts.0.keys.0.digest: must be 64"},
	{"doubled_id", "shard: a\nfailure_domains:\n  - {name: d, region: r}\n  - {name: d, region: r}\n", ":4: failure_domains.1.name: stands twice"},
	{"bad_class", "shard: a\nadapters:\n  - name: n\n    version: 1\n    base_model: b\n    owner: o\n    class: fast\n    max_tokens: 1\n", ":7: adapters.0.class: must be"},
	{"cold_above_max", "shard: a\nbackend_servers:\n  - {id: b, kind: service, service: s, address: \"127.0.0.1:1\", failure_domain: d, max_running: 1, cold_running: 2}\n", ":3: backend_servers.0.cold_running: must be between"},
	{"settings_address", "host_id: h\nfailure_domain: d\naddress: 127.0.0.1:1\npeer_address: localhost:2\noperator_address: 127.0.0.1:3\nplatform: 127.0.0.1:4\n", ":4: peer_address: must be an IP number"},
}

func TestCheckNamesLineAndField(t *testing.T) {
	for _, b := range brokenFiles {
		t.Run(b.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), b.name+".yaml")
			assert.NilError(t, os.WriteFile(file, []byte(b.content), 0o600))
			var out bytes.Buffer
			root := New(&out)
			root.SetArgs([]string{"check", file})
			err := root.Execute()
			assert.Assert(t, errors.Is(err, ErrUsage))
			assert.Assert(t, bytes.Contains(out.Bytes(), []byte(file+b.fault)), "got %s", out.String())
		})
	}
}

func TestCheckTakesTheExamples(t *testing.T) {
	for _, folder := range []string{"sutokatha", "tsagaan-tsuivan"} {
		files, err := filepath.Glob("../../examples/" + folder + "/*/*.yaml")
		assert.NilError(t, err)
		assert.Assert(t, len(files) > 10)
		root := New(&bytes.Buffer{})
		root.SetArgs(append([]string{"check", "../../examples/host.yaml"}, files...))
		assert.NilError(t, root.Execute())
	}
}

func TestKeyDigest(t *testing.T) {
	var out bytes.Buffer
	root := New(&out)
	root.SetArgs([]string{"key", "digest", "abc"})
	assert.NilError(t, root.Execute())
	assert.Equal(t, out.String(), "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad\n")
}
