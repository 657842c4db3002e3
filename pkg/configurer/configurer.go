package configurer

import (
	"os"
	"strconv"
	"time"

	"github.com/redwingpick/redwingpick/pkg/cataloguer"
	"github.com/redwingpick/redwingpick/pkg/decoder"
)

// Settings is the settings file of one host.
type Settings struct {
	// HostID is the name of the host.
	HostID string `yaml:"host_id"`
	// FailureDomain is the failure domain that the host stands in.
	FailureDomain string `yaml:"failure_domain"`
	// Region is the region of the failure domain.
	Region string `yaml:"region"`
	// Address is where callers connect.
	Address string `yaml:"address"`
	// ReadinessAddress is where the platform asks whether the host may be sent callers.
	ReadinessAddress string `yaml:"readiness_address"`
	// DirectoryAddress is where callers ask which hosts to use.
	DirectoryAddress string `yaml:"directory_address"`
	// PeerAddress is where other hosts connect.
	PeerAddress string `yaml:"peer_address"`
	// PeerListenAddress is where the host itself listens for other hosts, if they reach it through another address.
	PeerListenAddress string `yaml:"peer_listen_address,omitempty"`
	// OperatorAddress is where operators and monitoring connect.
	OperatorAddress string `yaml:"operator_address"`
	// Platform is the address of the configuration service.
	Platform string `yaml:"platform"`
	// Seeds are peer addresses of hosts that a starting host asks for the others.
	Seeds []string `yaml:"seeds,omitempty"`
	// Bounds are the figures of the promises that the host keeps.
	Bounds Bounds `yaml:"bounds"`
	// MailboxSize is the number of requests that may wait for the control goroutine.
	MailboxSize int `yaml:"mailbox_size,omitempty"`
	// MemoryMB is the memory that the process may use, in megabytes.
	MemoryMB int `yaml:"memory_mb,omitempty"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `yaml:"log_level,omitempty"`
	// LogBytesPerSecond bounds what the log writes.
	LogBytesPerSecond int `yaml:"log_bytes_per_second,omitempty"`
	// TraceCollector is the address of an OTLP collector; empty for none.
	TraceCollector string `yaml:"trace_collector,omitempty"`
	// TraceLines writes one line a span to standard output.
	TraceLines bool `yaml:"trace_lines,omitempty"`
}

// Bounds are the figures of the promises, in the units that their names state.
type Bounds struct {
	// ConfigMs is the time within which a published change is in force.
	ConfigMs int `yaml:"config_ms"`
	// DrainMs is the time after which a leaving backend server gets nothing new.
	DrainMs int `yaml:"drain_ms"`
	// ContactMs is the time after which a host that nobody hears counts as gone.
	ContactMs int `yaml:"contact_ms"`
	// GraceSeconds is the time between the signal to stop and the end of the process.
	GraceSeconds float64 `yaml:"grace_seconds"`
	// OrderLeaseMs is the time in which no two hosts order one backend server by turns.
	OrderLeaseMs int `yaml:"order_lease_ms"`
	// RetryRatio is the repeats that a service bears for each request.
	RetryRatio float64 `yaml:"retry_ratio"`
	// RetrySlack is the repeats in RetryWindowSeconds that a service bears besides.
	RetrySlack float64 `yaml:"retry_slack"`
	// RetryWindowSeconds is the length of the window that repeats are counted in.
	RetryWindowSeconds float64 `yaml:"retry_window_seconds"`
	// QuotaWindowSeconds is the length of the window that an account's use is counted in.
	QuotaWindowSeconds float64 `yaml:"quota_window_seconds"`
	// QuotaOvershoot is the part by which a window may exceed what the account's rate and burst allow.
	QuotaOvershoot float64 `yaml:"quota_overshoot"`
	// QuotaSlack is what a window bears besides, in the account's unit.
	QuotaSlack float64 `yaml:"quota_slack"`
	// LoadWindowSeconds is the length of the window that loads of models from the weight store are counted in.
	LoadWindowSeconds float64 `yaml:"load_window_seconds"`
	// DirectorySeconds is the longest time that callers keep an answer of the directory.
	DirectorySeconds float64 `yaml:"directory_seconds"`
}

// Defaults of the optional settings.
const (
	DefaultMailboxSize       = 4096
	DefaultLogLevel          = "info"
	DefaultLogBytesPerSecond = 64 << 10
)

// Read reads and checks a settings file.
func Read(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, &decoder.FieldError{File: file, Line: 1, Field: "document", Reason: err.Error()}
	}
	return Parse(file, data)
}

// Parse checks the settings and fills in the defaults.
func Parse(file string, data []byte) (Settings, error) {
	document, err := decoder.Decode[Settings](file, data)
	if err != nil {
		return Settings{}, err
	}
	if fault := check(document); fault != nil {
		return Settings{}, fault
	}
	return withDefaults(document.Value), nil
}

func check(document decoder.Document[Settings]) *decoder.FieldError {
	s := document.Value
	if s.HostID == "" {
		return document.Fault("is required", "host_id")
	}
	if s.FailureDomain == "" {
		return document.Fault("is required", "failure_domain")
	}
	addresses := []struct{ field, value string }{
		{"address", s.Address}, {"readiness_address", s.ReadinessAddress}, {"directory_address", s.DirectoryAddress},
		{"peer_address", s.PeerAddress}, {"operator_address", s.OperatorAddress}, {"platform", s.Platform},
	}
	for _, a := range addresses {
		if !cataloguer.ValidAddress(a.value) {
			return document.Fault("must be an IP number and a port", a.field)
		}
	}
	for i, seed := range s.Seeds {
		if !cataloguer.ValidAddress(seed) {
			return document.Fault("must be an IP number and a port", "seeds", strconv.Itoa(i))
		}
	}
	if fault := checkBounds(document); fault != nil {
		return fault
	}
	return checkOptional(document)
}

func checkBounds(document decoder.Document[Settings]) *decoder.FieldError {
	b := document.Value.Bounds
	figures := []struct {
		field string
		value float64
	}{
		{"config_ms", float64(b.ConfigMs)}, {"drain_ms", float64(b.DrainMs)}, {"contact_ms", float64(b.ContactMs)},
		{"grace_seconds", b.GraceSeconds}, {"order_lease_ms", float64(b.OrderLeaseMs)},
		{"retry_window_seconds", b.RetryWindowSeconds}, {"quota_window_seconds", b.QuotaWindowSeconds},
		{"load_window_seconds", b.LoadWindowSeconds}, {"directory_seconds", b.DirectorySeconds},
	}
	for _, f := range figures {
		if f.value <= 0 {
			return document.Fault("must be above 0", "bounds", f.field)
		}
	}
	if b.RetryRatio < 0 {
		return document.Fault("must not be negative", "bounds", "retry_ratio")
	}
	if b.RetrySlack < 0 {
		return document.Fault("must not be negative", "bounds", "retry_slack")
	}
	if b.QuotaOvershoot < 0 {
		return document.Fault("must not be negative", "bounds", "quota_overshoot")
	}
	if b.QuotaSlack < 0 {
		return document.Fault("must not be negative", "bounds", "quota_slack")
	}
	return nil
}

func checkOptional(document decoder.Document[Settings]) *decoder.FieldError {
	s := document.Value
	switch {
	case s.MailboxSize < 0:
		return document.Fault("must not be negative", "mailbox_size")
	case s.MemoryMB < 0:
		return document.Fault("must not be negative", "memory_mb")
	case s.LogBytesPerSecond < 0:
		return document.Fault("must not be negative", "log_bytes_per_second")
	case s.PeerListenAddress != "" && !cataloguer.ValidAddress(s.PeerListenAddress):
		return document.Fault("must be an IP number and a port", "peer_listen_address")
	case s.TraceCollector != "" && !cataloguer.ValidAddress(s.TraceCollector):
		return document.Fault("must be an IP number and a port", "trace_collector")
	}
	switch s.LogLevel {
	case "", "debug", "info", "warn", "error":
		return nil
	}
	return document.Fault("must be debug, info, warn or error", "log_level")
}

func withDefaults(s Settings) Settings {
	if s.MailboxSize == 0 {
		s.MailboxSize = DefaultMailboxSize
	}
	if s.PeerListenAddress == "" {
		s.PeerListenAddress = s.PeerAddress
	}
	if s.LogLevel == "" {
		s.LogLevel = DefaultLogLevel
	}
	if s.LogBytesPerSecond == 0 {
		s.LogBytesPerSecond = DefaultLogBytesPerSecond
	}
	return s
}

// Milliseconds returns a figure of the settings as a duration.
func Milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// Seconds returns a figure of the settings as a duration.
func Seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }
