package configurer

import (
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/redwingpick/redwingpick/pkg/cataloguer"
	"github.com/redwingpick/redwingpick/pkg/decoder"
)

// Settings is the content of one host's settings file.
type Settings struct {
	// HostID is the name of the host, unique in the fleet.
	HostID string `yaml:"host_id"`
	// FailureDomain is the failure domain in which the host runs.
	FailureDomain string `yaml:"failure_domain"`
	// Region is the region of the failure domain.
	Region string `yaml:"region"`
	// Address is the listen address for callers, as an IP address and a port like all addresses of the settings.
	Address string `yaml:"address"`
	// ReadinessAddress is the listen address for the platform's readiness checks.
	ReadinessAddress string `yaml:"readiness_address"`
	// DirectoryAddress is the listen address of the directory, which returns the addresses of the hosts that callers may use.
	DirectoryAddress string `yaml:"directory_address"`
	// PeerAddress is the address at which other hosts reach this host.
	PeerAddress string `yaml:"peer_address"`
	// PeerListenAddress is the listen address for other hosts, if it differs from PeerAddress; it defaults to PeerAddress.
	PeerListenAddress string `yaml:"peer_listen_address,omitempty"`
	// OperatorAddress is the listen address for operators and monitoring.
	OperatorAddress string `yaml:"operator_address"`
	// Platform is the address of the platform's configuration service.
	Platform string `yaml:"platform"`
	// Seeds are the peer addresses of hosts that a starting host contacts to discover the others.
	Seeds []string `yaml:"seeds,omitempty"`
	// Bounds are the time limits and budgets that the fleet guarantees.
	Bounds Bounds `yaml:"bounds"`
	// MailboxSize is the largest number of requests that wait for the control goroutine; more are rejected. Default: DefaultMailboxSize.
	MailboxSize int `yaml:"mailbox_size,omitempty"`
	// MemoryMB is the memory limit of the process, in megabytes; 0 sets none.
	MemoryMB int `yaml:"memory_mb,omitempty"`
	// CallerMemoryMB is the memory that clients may make the host hold, for heads, bodies and responses that are read slowly, in megabytes. Default:
	// a quarter of MemoryMB, or DefaultCallerMemoryMB if that is not set.
	CallerMemoryMB int `yaml:"caller_memory_mb,omitempty"`
	// MaxDescriptors is the number of file descriptors that the process may have open, of which keptDescriptors are not for connections. Default: the
	// limit of the process.
	MaxDescriptors int `yaml:"max_descriptors,omitempty"`
	// CPUShare is the share of each core that the host may use, and Cores the number of its cores, by which callers are directed to larger
	// hosts more often. A share of 0 means that the capacity is not known. Default of Cores: 1.
	CPUShare float64 `yaml:"cpu_share,omitempty"`
	Cores    float64 `yaml:"cores,omitempty"`
	// QuarantineSeconds is how long requests are refused whose content crashes backend servers, such as a part of their prompts, counted from
	// when the fleet has found the content; the time doubles if it crashes servers again after that. Default: DefaultQuarantineSeconds.
	QuarantineSeconds float64 `yaml:"quarantine_seconds,omitempty"`
	// Adaptive lists the parts of the load handling that adapt to what the host observes: AdaptivePace, AdaptivePlaces, AdaptiveAdmission and
	// AdaptiveStart. A part that is not listed follows fixed rules. Default: none.
	Adaptive []string `yaml:"adaptive,omitempty"`
	// LogLevel is debug, info, warn or error. Default: DefaultLogLevel.
	LogLevel string `yaml:"log_level,omitempty"`
	// LogBytesPerSecond is the largest rate of log output. Default: DefaultLogBytesPerSecond.
	LogBytesPerSecond int `yaml:"log_bytes_per_second,omitempty"`
	// TraceCollector is the address of an OTLP collector; empty exports no traces.
	TraceCollector string `yaml:"trace_collector,omitempty"`
	// TraceLines enables one line per span on standard output.
	TraceLines bool `yaml:"trace_lines,omitempty"`
}

// Bounds holds the time limits and budgets that the fleet guarantees, in the units that the names state. All times must be above 0.
type Bounds struct {
	// ConfigMs is the time within which a published change is in effect on every host.
	ConfigMs int `yaml:"config_ms"`
	// DrainMs is the time after which a draining backend server gets no new requests.
	DrainMs int `yaml:"drain_ms"`
	// ContactMs is the time after which a host that no other host can reach is treated as removed.
	ContactMs int `yaml:"contact_ms"`
	// GraceSeconds is the longest time from the stop signal to the end of the process.
	GraceSeconds float64 `yaml:"grace_seconds"`
	// OrderLeaseMs is the length of the window in which orders to one backend server may not alternate between hosts.
	OrderLeaseMs int `yaml:"order_lease_ms"`
	// RetryRatio is the number of retries that a service tolerates for each request.
	RetryRatio float64 `yaml:"retry_ratio"`
	// RetrySlack is the number of further retries that a service tolerates in each RetryWindowSeconds.
	RetrySlack float64 `yaml:"retry_slack"`
	// RetryWindowSeconds is the length of the window in which retries are counted.
	RetryWindowSeconds float64 `yaml:"retry_window_seconds"`
	// QuotaWindowSeconds is the length of the window in which the use of an account is counted.
	QuotaWindowSeconds float64 `yaml:"quota_window_seconds"`
	// QuotaOvershoot is the fraction by which the use in a window may exceed what the account's rate and burst allow.
	QuotaOvershoot float64 `yaml:"quota_overshoot"`
	// QuotaSlack is the further use that is tolerated in a window, in the account's unit (tokens or requests).
	QuotaSlack float64 `yaml:"quota_slack"`
	// LoadWindowSeconds is the length of the window in which model loads from the weight store are counted.
	LoadWindowSeconds float64 `yaml:"load_window_seconds"`
	// DirectorySeconds is the longest time for which callers may cache a response of the directory.
	DirectorySeconds float64 `yaml:"directory_seconds"`
}

// Default values of the optional settings.
const (
	DefaultMailboxSize       = 4096
	DefaultQuarantineSeconds = 300
	DefaultCallerMemoryMB    = 256
	DefaultLogLevel          = "info"
	DefaultLogBytesPerSecond = 64 << 10
)

// Values of Settings.Adaptive.
const (
	AdaptivePace      = "pace"
	AdaptivePlaces    = "places"
	AdaptiveAdmission = "admission"
	AdaptiveStart     = "start"
)

// adaptiveParts are the values that Settings.Adaptive may have.
var adaptiveParts = []string{AdaptivePace, AdaptivePlaces, AdaptiveAdmission, AdaptiveStart}

// Adapts reports whether the settings list a part of the load handling as adaptive.
func (s Settings) Adapts(part string) bool { return slices.Contains(s.Adaptive, part) }

const (
	// callerMemoryShare is the part of the process's memory, as its inverse, that clients may make the host hold by default.
	callerMemoryShare = 4
	// minCallerMemoryMB is the least default, in which some bodies of the usual limit fit.
	minCallerMemoryMB = 16
	// keptDescriptors is the number of descriptors that are kept for files.
	keptDescriptors = 200
)

// maxCores is the largest number of cores of a host.
const maxCores = 1024

// maxQuarantineSeconds is the longest first quarantine; a longer one would outlast most causes.
const maxQuarantineSeconds = 24 * 60 * 60

// CapacityMillicores returns the processor capacity of the host in thousandths of a core; 0 if it is not known.
func (s Settings) CapacityMillicores() int { return int(1000 * s.CPUShare * s.Cores) }

// ConnectionDescriptors returns the number of descriptors for connections, if the process may have the given number open.
func (s Settings) ConnectionDescriptors(processLimit int) int {
	descriptors := processLimit
	if s.MaxDescriptors > 0 {
		descriptors = min(descriptors, s.MaxDescriptors)
	}
	return max(descriptors-keptDescriptors, descriptors/2)
}

// Read reads and validates a settings file. Every error is a *decoder.FieldError that names the file, the line and the field.
func Read(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, &decoder.FieldError{File: file, Line: 1, Field: "document", Reason: err.Error()}
	}
	return Parse(file, data)
}

// Parse decodes and validates settings and fills in the defaults; file is the name that errors state.
// Every error is a *decoder.FieldError.
func Parse(file string, data []byte) (Settings, error) {
	document, err := decoder.Decode[Settings](file, data)
	if err != nil {
		return Settings{}, err
	}
	if fieldErr := validate(document); fieldErr != nil {
		return Settings{}, fieldErr
	}
	return withDefaults(document.Value), nil
}

func validate(document decoder.Document[Settings]) *decoder.FieldError {
	s := document.Value
	if s.HostID == "" {
		return document.ErrorAt("is required", "host_id")
	}
	if s.FailureDomain == "" {
		return document.ErrorAt("is required", "failure_domain")
	}
	addresses := []struct{ field, value string }{
		{"address", s.Address}, {"readiness_address", s.ReadinessAddress}, {"directory_address", s.DirectoryAddress},
		{"peer_address", s.PeerAddress}, {"operator_address", s.OperatorAddress}, {"platform", s.Platform},
	}
	for _, a := range addresses {
		if !cataloguer.ValidAddress(a.value) {
			return document.ErrorAt("must be an IP address and a port", a.field)
		}
	}
	for i, seed := range s.Seeds {
		if !cataloguer.ValidAddress(seed) {
			return document.ErrorAt("must be an IP address and a port", "seeds", strconv.Itoa(i))
		}
	}
	if fieldErr := validateBounds(document); fieldErr != nil {
		return fieldErr
	}
	return validateOptional(document)
}

func validateBounds(document decoder.Document[Settings]) *decoder.FieldError {
	b := document.Value.Bounds
	positive := []struct {
		field string
		value float64
	}{
		{"config_ms", float64(b.ConfigMs)}, {"drain_ms", float64(b.DrainMs)}, {"contact_ms", float64(b.ContactMs)},
		{"grace_seconds", b.GraceSeconds}, {"order_lease_ms", float64(b.OrderLeaseMs)},
		{"retry_window_seconds", b.RetryWindowSeconds}, {"quota_window_seconds", b.QuotaWindowSeconds},
		{"load_window_seconds", b.LoadWindowSeconds}, {"directory_seconds", b.DirectorySeconds},
	}
	for _, f := range positive {
		if f.value <= 0 {
			return document.ErrorAt("must be above 0", "bounds", f.field)
		}
	}
	if b.RetryRatio < 0 {
		return document.ErrorAt("must not be negative", "bounds", "retry_ratio")
	}
	if b.RetrySlack < 0 {
		return document.ErrorAt("must not be negative", "bounds", "retry_slack")
	}
	if b.QuotaOvershoot < 0 {
		return document.ErrorAt("must not be negative", "bounds", "quota_overshoot")
	}
	if b.QuotaSlack < 0 {
		return document.ErrorAt("must not be negative", "bounds", "quota_slack")
	}
	return nil
}

func validateOptional(document decoder.Document[Settings]) *decoder.FieldError {
	s := document.Value
	switch {
	case s.MailboxSize < 0:
		return document.ErrorAt("must not be negative", "mailbox_size")
	case s.MemoryMB < 0:
		return document.ErrorAt("must not be negative", "memory_mb")
	case s.CallerMemoryMB < 0 || s.MemoryMB > 0 && s.CallerMemoryMB >= s.MemoryMB:
		return document.ErrorAt("must not be negative, and below memory_mb", "caller_memory_mb")
	case s.MaxDescriptors < 0:
		return document.ErrorAt("must not be negative", "max_descriptors")
	case !(s.CPUShare >= 0 && s.CPUShare <= 1):
		return document.ErrorAt("must be between 0 and 1", "cpu_share")
	case !(s.Cores >= 0 && s.Cores <= maxCores):
		return document.ErrorAt("must be between 0 and 1024", "cores")
	case !(s.QuarantineSeconds >= 0 && s.QuarantineSeconds <= maxQuarantineSeconds):
		return document.ErrorAt("must be between 0 and 86400", "quarantine_seconds")
	case s.LogBytesPerSecond < 0:
		return document.ErrorAt("must not be negative", "log_bytes_per_second")
	case s.PeerListenAddress != "" && !cataloguer.ValidAddress(s.PeerListenAddress):
		return document.ErrorAt("must be an IP address and a port", "peer_listen_address")
	case s.TraceCollector != "" && !cataloguer.ValidAddress(s.TraceCollector):
		return document.ErrorAt("must be an IP address and a port", "trace_collector")
	}
	for i, part := range s.Adaptive {
		if !slices.Contains(adaptiveParts, part) {
			return document.ErrorAt("must be pace, places, admission or start", "adaptive", strconv.Itoa(i))
		}
	}
	switch s.LogLevel {
	case "", "debug", "info", "warn", "error":
		return nil
	}
	return document.ErrorAt("must be debug, info, warn or error", "log_level")
}

func withDefaults(s Settings) Settings {
	if s.MailboxSize == 0 {
		s.MailboxSize = DefaultMailboxSize
	}
	if s.CallerMemoryMB == 0 {
		s.CallerMemoryMB = DefaultCallerMemoryMB
		if s.MemoryMB > 0 {
			s.CallerMemoryMB = min(max(s.MemoryMB/callerMemoryShare, minCallerMemoryMB), s.MemoryMB)
		}
	}
	if s.PeerListenAddress == "" {
		s.PeerListenAddress = s.PeerAddress
	}
	if s.Cores == 0 {
		s.Cores = 1
	}
	if s.QuarantineSeconds == 0 {
		s.QuarantineSeconds = DefaultQuarantineSeconds
	}
	if s.LogLevel == "" {
		s.LogLevel = DefaultLogLevel
	}
	if s.LogBytesPerSecond == 0 {
		s.LogBytesPerSecond = DefaultLogBytesPerSecond
	}
	return s
}

// Milliseconds returns a setting in milliseconds as a duration.
func Milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// Seconds returns a setting in seconds as a duration; fractions are kept to the nanosecond.
func Seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }
