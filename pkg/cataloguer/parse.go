package cataloguer

import (
	"encoding/hex"
	"net/netip"
	"slices"
	"strconv"

	"go.yaml.in/yaml/v3"

	"github.com/redwingpick/redwingpick/pkg/decoder"
)

// MaxShardBytes is the largest shard in bytes that is accepted.
const MaxShardBytes = 1 << 20

const digestBytes = 32

// Classes of service an adapter may have, from the most urgent to the least.
var Classes = []string{"interactive", "standard", "batch"}

// Parse checks one shard and returns it, or a FieldError with the line and the field of the first fault.
func Parse(file string, data []byte) (Shard, error) {
	if len(data) > MaxShardBytes {
		return Shard{}, &decoder.FieldError{File: file, Line: 1, Field: "document", Reason: "is larger than 1048576 bytes"}
	}
	return ParseUpdate(file, data)
}

// ParseUpdate checks a shard that came from another host, whose form may be larger than the published one.
func ParseUpdate(file string, data []byte) (Shard, error) {
	document, err := decoder.Decode[Shard](file, data)
	if err != nil {
		return Shard{}, err
	}
	if fault := check(document); fault != nil {
		return Shard{}, fault
	}
	return document.Value, nil
}

// Encode returns the shard as YAML.
func Encode(shard Shard) ([]byte, error) {
	return yaml.Marshal(shard)
}

type checker func(decoder.Document[Shard]) *decoder.FieldError

func check(document decoder.Document[Shard]) *decoder.FieldError {
	if document.Value.Name == "" {
		return document.Fault("is required", "shard")
	}
	checkers := []checker{checkFailureDomains, checkHosts, checkBackendServers, checkClientAccounts, checkAdapters, checkServices, checkWeightStore}
	for _, c := range checkers {
		if fault := c(document); fault != nil {
			return fault
		}
	}
	return nil
}

func checkFailureDomains(document decoder.Document[Shard]) *decoder.FieldError {
	seen := map[string]bool{}
	for i, d := range document.Value.FailureDomains {
		at := strconv.Itoa(i)
		if fault := checkID(document, seen, d.Name, "failure_domains", at, "name"); fault != nil {
			return fault
		}
		if d.Region == "" {
			return document.Fault("is required", "failure_domains", at, "region")
		}
		if !validState(d.State) {
			return document.Fault("must be in_service or withdrawn", "failure_domains", at, "state")
		}
	}
	return nil
}

func checkHosts(document decoder.Document[Shard]) *decoder.FieldError {
	if fault := checkHostList(document, document.Value.Hosts, "hosts"); fault != nil {
		return fault
	}
	return checkHostList(document, document.Value.PreviousHosts, "previous_hosts")
}

func checkHostList(document decoder.Document[Shard], hosts []Host, field string) *decoder.FieldError {
	seen := map[string]bool{}
	for i, h := range hosts {
		at := strconv.Itoa(i)
		if fault := checkID(document, seen, h.ID, field, at, "id"); fault != nil {
			return fault
		}
		if !ValidAddress(h.Address) {
			return document.Fault("must be an IP number and a port", field, at, "address")
		}
		if !ValidAddress(h.PeerAddress) {
			return document.Fault("must be an IP number and a port", field, at, "peer_address")
		}
		if h.FailureDomain == "" {
			return document.Fault("is required", field, at, "failure_domain")
		}
	}
	return nil
}

func checkBackendServers(document decoder.Document[Shard]) *decoder.FieldError {
	seen := map[string]bool{}
	for i, b := range document.Value.BackendServers {
		at := strconv.Itoa(i)
		if fault := checkID(document, seen, b.ID, "backend_servers", at, "id"); fault != nil {
			return fault
		}
		if field, reason := backendServerFault(b); field != "" {
			return document.Fault(reason, "backend_servers", at, field)
		}
	}
	return nil
}

func backendServerFault(b BackendServer) (field, reason string) {
	switch {
	case b.Kind != KindEngine && b.Kind != KindService:
		return "kind", "must be engine or service"
	case !ValidAddress(b.Address):
		return "address", "must be an IP number and a port"
	case b.FailureDomain == "":
		return "failure_domain", "is required"
	case !validState(b.State):
		return "state", "must be in_service, leaving or withdrawn"
	case b.Kind == KindEngine && b.BaseModel == "":
		return "base_model", "is required for an engine"
	case b.Kind == KindService && b.Service == "":
		return "service", "is required for a service"
	case b.MaxRunning < 1:
		return "max_running", "must be at least 1"
	case b.ColdRunning < 1 || b.ColdRunning > b.MaxRunning:
		return "cold_running", "must be between 1 and max_running"
	case b.ColdFor < 0:
		return "cold_for", "must not be negative"
	case b.Kind == KindEngine && b.AdapterSlots < 1:
		return "adapter_slots", "must be at least 1 for an engine"
	}
	return "", ""
}

func checkClientAccounts(document decoder.Document[Shard]) *decoder.FieldError {
	seen := map[string]bool{}
	digests := map[string]bool{}
	for i, a := range document.Value.ClientAccounts {
		at := strconv.Itoa(i)
		if fault := checkID(document, seen, a.ID, "client_accounts", at, "id"); fault != nil {
			return fault
		}
		if a.Rate <= 0 {
			return document.Fault("must be more than 0 tokens a second", "client_accounts", at, "rate")
		}
		if a.Burst <= 0 {
			return document.Fault("must be more than 0 tokens", "client_accounts", at, "burst")
		}
		if a.Weight < 0 {
			return document.Fault("must not be negative", "client_accounts", at, "weight")
		}
		for j, k := range a.Keys {
			raw, err := hex.DecodeString(k.Digest)
			if err != nil || len(raw) != digestBytes {
				return document.Fault("must be 64 hexadecimal digits", "client_accounts", at, "keys", strconv.Itoa(j), "digest")
			}
			if fault := checkID(document, digests, k.Digest, "client_accounts", at, "keys", strconv.Itoa(j), "digest"); fault != nil {
				return fault
			}
		}
	}
	return nil
}

func checkAdapters(document decoder.Document[Shard]) *decoder.FieldError {
	seen := make(map[string]bool, len(document.Value.Adapters))
	for i, a := range document.Value.Adapters {
		at := strconv.Itoa(i)
		if fault := checkID(document, seen, a.Name, "adapters", at, "name"); fault != nil {
			return fault
		}
		if field, reason := adapterFault(a); field != "" {
			return document.Fault(reason, "adapters", at, field)
		}
	}
	return nil
}

func adapterFault(a Adapter) (field, reason string) {
	switch {
	case a.Version < 1:
		return "version", "must be at least 1"
	case a.BaseModel == "":
		return "base_model", "is required"
	case a.Owner == "" && !a.Open:
		return "owner", "is required unless open is true"
	case !slices.Contains(Classes, a.Class):
		return "class", "must be interactive, standard or batch"
	case a.MaxTokens < 1:
		return "max_tokens", "must be at least 1"
	}
	return "", ""
}

func checkServices(document decoder.Document[Shard]) *decoder.FieldError {
	seen := map[string]bool{}
	for i, s := range document.Value.Services {
		at := strconv.Itoa(i)
		if fault := checkID(document, seen, s.Name, "services", at, "name"); fault != nil {
			return fault
		}
		if s.CallTokens < 0 {
			return document.Fault("must not be negative", "services", at, "call_tokens")
		}
	}
	return nil
}

func checkWeightStore(document decoder.Document[Shard]) *decoder.FieldError {
	w := document.Value.WeightStore
	if w == nil {
		return nil
	}
	if w.LoadsPerSecond <= 0 {
		return document.Fault("must be more than 0", "weight_store", "loads_per_second")
	}
	if w.MaxInFlight < 1 {
		return document.Fault("must be at least 1", "weight_store", "max_in_flight")
	}
	if w.LoadTime <= 0 {
		return document.Fault("must be a duration above 0", "weight_store", "load_time")
	}
	return nil
}

func checkID(document decoder.Document[Shard], seen map[string]bool, id string, path ...string) *decoder.FieldError {
	if id == "" {
		return document.Fault("is required", path...)
	}
	if seen[id] {
		return document.Fault("stands twice: "+id, path...)
	}
	seen[id] = true
	return nil
}

func validState(state string) bool {
	return state == "" || state == StateInService || state == StateLeaving || state == StateWithdrawn
}

// ValidAddress reports whether the address is an IP number with a port.
func ValidAddress(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && parsed.Port() != 0
}
