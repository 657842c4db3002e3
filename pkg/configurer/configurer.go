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
	// HostID is the name of the host in the catalogue.
	HostID string `yaml:"host_id"`
	// FailureDomain is the failure domain the host stands in.
	FailureDomain string `yaml:"failure_domain"`
	// Address is where callers connect.
	Address string `yaml:"address"`
	// PeerAddress is where other hosts connect.
	PeerAddress string `yaml:"peer_address"`
	// OperatorAddress is where operators and monitoring connect.
	OperatorAddress string `yaml:"operator_address"`
	// Platform is the address of the configuration service.
	Platform string `yaml:"platform"`
	// Seeds are peer addresses that a starting host asks for the newest configuration.
	Seeds []string `yaml:"seeds,omitempty"`
	// DrainFor bounds the time that a leaving host waits for its running requests.
	DrainFor time.Duration `yaml:"drain_for,omitempty"`
	// RequestTimeout bounds the time of a request that names no deadline.
	RequestTimeout time.Duration `yaml:"request_timeout,omitempty"`
	// MailboxSize is the number of requests that may wait for the control goroutine.
	MailboxSize int `yaml:"mailbox_size,omitempty"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `yaml:"log_level,omitempty"`
	// TraceCollector is the address of an OTLP collector; empty for none.
	TraceCollector string `yaml:"trace_collector,omitempty"`
	// TraceLines writes one line a span to standard error.
	TraceLines bool `yaml:"trace_lines,omitempty"`
}

// Defaults of the optional settings.
const (
	DefaultDrainFor       = 5 * time.Minute
	DefaultRequestTimeout = 2 * time.Minute
	DefaultMailboxSize    = 4096
	DefaultLogLevel       = "info"
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
		{"address", s.Address}, {"peer_address", s.PeerAddress}, {"operator_address", s.OperatorAddress}, {"platform", s.Platform},
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
	return checkOptional(document)
}

func checkOptional(document decoder.Document[Settings]) *decoder.FieldError {
	s := document.Value
	switch {
	case s.DrainFor < 0:
		return document.Fault("must not be negative", "drain_for")
	case s.RequestTimeout < 0:
		return document.Fault("must not be negative", "request_timeout")
	case s.MailboxSize < 0:
		return document.Fault("must not be negative", "mailbox_size")
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
	if s.DrainFor == 0 {
		s.DrainFor = DefaultDrainFor
	}
	if s.RequestTimeout == 0 {
		s.RequestTimeout = DefaultRequestTimeout
	}
	if s.MailboxSize == 0 {
		s.MailboxSize = DefaultMailboxSize
	}
	if s.LogLevel == "" {
		s.LogLevel = DefaultLogLevel
	}
	return s
}
