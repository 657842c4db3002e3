package configurer

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const validSettings = `host_id: a
failure_domain: d
region: r
address: "127.0.0.1:1"
readiness_address: "127.0.0.1:2"
directory_address: "127.0.0.1:3"
peer_address: "127.0.0.1:4"
operator_address: "127.0.0.1:5"
platform: "127.0.0.1:6"
seeds: ["127.0.0.1:4"]
bounds: {config_ms: 2000, drain_ms: 2000, contact_ms: 3000, grace_seconds: 8, order_lease_ms: 3000, retry_ratio: 0.2, retry_slack: 52,
  retry_window_seconds: 10, directory_seconds: 5, quota_window_seconds: 8, quota_overshoot: 0.25, quota_slack: 110000,
  load_window_seconds: 5}
`

func TestValidSettingsHaveDefaults(t *testing.T) {
	s, err := Parse("f", []byte(validSettings))
	assert.NilError(t, err)
	assert.Equal(t, s.MailboxSize, DefaultMailboxSize)
	assert.Equal(t, s.LogBytesPerSecond, DefaultLogBytesPerSecond)
	assert.Equal(t, s.Bounds.QuotaSlack, 110000.0)
}

func TestInvalidSettingsErrorStatesLineAndField(t *testing.T) {
	for _, c := range []struct{ from, to, want string }{
		{"host_id: a", "host_id: \"\"", "f:1: host_id: is required"},
		{"\"127.0.0.1:2\"", "\"localhost:2\"", "f:5: readiness_address: must be an IP address and a port"},
		{"contact_ms: 3000", "contact_ms: 0", "f:11: bounds.contact_ms: must be above 0"},
		{"quota_slack: 110000", "quota_slack: -1", "bounds.quota_slack: must not be negative"},
		{"region: r", "region: r\ncpu_share: 1.5", "f:4: cpu_share: must be between 0 and 1"},
		{"region: r", "region: r\ncpu_share: .nan", "f:4: cpu_share: must be between 0 and 1"},
		{"region: r", "region: r\ncores: -1", "f:4: cores: must be between 0 and 1024"},
		{"region: r", "region: r\nmemory_mb: 144\ncaller_memory_mb: 144", "f:5: caller_memory_mb: must not be negative, and below memory_mb"},
		{"region: r", "region: r\nmax_descriptors: -1", "f:4: max_descriptors: must not be negative"},
		{"region: r", "region: r\nadaptive: [pace, sped]", "f:4: adaptive.1: must be pace, places, admission or start"},
		{"region: r", "region: r\nregoin: x", "f:4: regoin: unknown field"},
	} {
		_, err := Parse("f", []byte(strings.Replace(validSettings, c.from, c.to, 1)))
		assert.ErrorContains(t, err, c.want)
	}
}

func TestDeployTemplateContainsEveryBound(t *testing.T) {
	template, err := os.ReadFile("../../deploy/settings.yaml.tmpl")
	assert.NilError(t, err)
	for _, field := range []string{
		"config_ms", "drain_ms", "contact_ms", "grace_seconds", "order_lease_ms", "retry_ratio", "retry_slack", "retry_window_seconds",
		"directory_seconds", "quota_window_seconds", "quota_overshoot", "quota_slack", "load_window_seconds",
	} {
		assert.Assert(t, strings.Contains(string(template), "  "+field+": {{bounds."), field)
	}
}

func TestCapacityFollowsFromShareAndCores(t *testing.T) {
	s, err := Parse("f", []byte(validSettings+"cpu_share: 0.192\n"))
	assert.NilError(t, err)
	assert.Equal(t, s.CapacityMillicores(), 192)
	s, err = Parse("f", []byte(validSettings+"cpu_share: 0.5\ncores: 4\n"))
	assert.NilError(t, err)
	assert.Equal(t, s.CapacityMillicores(), 2000)
}

// Guards against a default that a single body of the usual limit does not fit into, and against bounds above what the process may open.
func TestBoundsOnClientsFollowFromTheHost(t *testing.T) {
	s, err := Parse("f", []byte(validSettings+"memory_mb: 144\nmax_descriptors: 3075\n"))
	assert.NilError(t, err)
	assert.Equal(t, s.CallerMemoryMB, 36)
	assert.Equal(t, s.ConnectionDescriptors(1<<20), 2875)
	assert.Equal(t, s.ConnectionDescriptors(1024), 824)
	assert.Equal(t, s.ConnectionDescriptors(256), 128)
	s, err = Parse("f", []byte(validSettings))
	assert.NilError(t, err)
	assert.Equal(t, s.CallerMemoryMB, DefaultCallerMemoryMB)
}

func FuzzSettings(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Fuzz(func(t *testing.T, data []byte) {
		if s, err := Parse("f", data); err == nil && (s.HostID == "" || s.CapacityMillicores() < 0) {
			t.Fatalf("%q was accepted as %+v", data, s)
		}
	})
}
