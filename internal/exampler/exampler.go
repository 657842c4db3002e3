package exampler

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/redwingpick/redwingpick/pkg/cataloguer"
	"github.com/redwingpick/redwingpick/pkg/configurer"
)

// Deployment describes one example.
type Deployment struct {
	Name           string
	Region         string
	FailureDomains []string
	Engines        string
	EngineCount    int
	Services       string
	ServiceCount   int
	BaseModel      string
	Adapters       int
	Hosts          int
	LoadsPerSecond float64
	Accounts       []cataloguer.ClientAccount
}

// Ports of the example hosts, counted from the first port.
const (
	portsPerHost   = 3
	adaptersAShard = 1000
	fenceEvery     = 3
)

// Sutokatha returns the deployment of Sutokatha Monograms.
func Sutokatha() Deployment {
	return Deployment{
		Name: "sutokatha", Region: "bengal", FailureDomains: []string{"kolkata-a", "kolkata-b", "howrah", "siliguri"},
		Engines: "stitch-models", EngineCount: 9, Services: "order-desk", ServiceCount: 4,
		BaseModel: "stitch-base", Adapters: 3000, Hosts: 7, LoadsPerSecond: 2,
		Accounts: accounts("hotels", "weddings", "gift-shops", "design-studio", "back-office"),
	}
}

// TsagaanTsuivan returns the deployment of Tsagaan Tsuivan Trading Co.
func TsagaanTsuivan() Deployment {
	return Deployment{
		Name: "tsagaan-tsuivan", Region: "ulaanbaatar", FailureDomains: []string{"ub-bayangol", "ub-khanuul", "ub-sukhbaatar"},
		Engines: "lm-desk", EngineCount: 12, Services: "counter-app", ServiceCount: 3,
		BaseModel: "lm-base", Adapters: 3000, Hosts: 6, LoadsPerSecond: 3,
		Accounts: accounts("tea-shops", "cafes", "drivers", "suppliers", "ledger"),
	}
}

// Find returns the deployment of a name.
func Find(name string) (Deployment, bool) {
	for _, d := range []Deployment{Sutokatha(), TsagaanTsuivan()} {
		if d.Name == name {
			return d, true
		}
	}
	return Deployment{}, false
}

// Key returns the example key of a client account.
func Key(account string) string { return "example-key-" + account }

// accounts returns two large and three small client accounts.
func accounts(names ...string) []cataloguer.ClientAccount {
	rates := []float64{4000, 3000, 800, 500, 300}
	list := make([]cataloguer.ClientAccount, 0, len(names))
	for i, n := range names {
		sum := sha256.Sum256([]byte(Key(n)))
		list = append(list, cataloguer.ClientAccount{
			ID: n, Rate: rates[i%len(rates)], Burst: 3 * rates[i%len(rates)], Weight: 1,
			Keys: []cataloguer.Key{{Digest: hex.EncodeToString(sum[:])}},
		})
	}
	return list
}

// Shards returns the catalogue of a deployment whose processes listen on loopback from firstPort on.
func (d Deployment) Shards(firstPort int) []cataloguer.Shard {
	shards := []cataloguer.Shard{d.fleet(firstPort), {Name: "accounts", ClientAccounts: d.Accounts}, d.services(), d.hostList()}
	for first := 0; first < d.Adapters; first += adaptersAShard {
		shards = append(shards, d.adapters(first, min(first+adaptersAShard, d.Adapters)))
	}
	return shards
}

func address(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// PlatformAddress returns the address of the configuration service.
func (d Deployment) PlatformAddress(firstPort int) string { return address(firstPort) }

// RunsAddress returns the address at which the stand-ins report what they ran.
func (d Deployment) RunsAddress(firstPort int) string { return address(firstPort + 1) }

func (d Deployment) hostPort(firstPort, i int) int { return firstPort + 10 + i*portsPerHost }

func (d Deployment) backendPort(firstPort, i int) int {
	return firstPort + 10 + d.Hosts*portsPerHost + i
}

func (d Deployment) hostID(i int) string {
	domain := d.FailureDomains[i%len(d.FailureDomains)]
	return fmt.Sprintf("%s-host-%d", domain, i/len(d.FailureDomains)+1)
}

func (d Deployment) fleet(firstPort int) cataloguer.Shard {
	shard := cataloguer.Shard{Name: "fleet", WeightStore: &cataloguer.WeightStore{
		LoadsPerSecond: d.LoadsPerSecond, MaxInFlight: 8, LoadTime: 250 * time.Millisecond,
	}}
	for _, name := range d.FailureDomains {
		shard.FailureDomains = append(shard.FailureDomains, cataloguer.FailureDomain{Name: name, Region: d.Region, State: cataloguer.StateInService})
	}
	for i := range d.Hosts {
		port := d.hostPort(firstPort, i)
		shard.Hosts = append(shard.Hosts, cataloguer.Host{
			ID: d.hostID(i), Address: address(port), PeerAddress: address(port + 1), FailureDomain: d.FailureDomains[i%len(d.FailureDomains)],
		})
	}
	for i := range d.EngineCount {
		shard.BackendServers = append(shard.BackendServers, d.engine(firstPort, i))
	}
	for i := range d.ServiceCount {
		shard.BackendServers = append(shard.BackendServers, d.service(firstPort, i))
	}
	return shard
}

func (d Deployment) engine(firstPort, i int) cataloguer.BackendServer {
	return cataloguer.BackendServer{
		ID: fmt.Sprintf("%s-%d", d.Engines, i+1), Kind: cataloguer.KindEngine, Address: address(d.backendPort(firstPort, i)),
		FailureDomain: d.FailureDomains[i%len(d.FailureDomains)], State: cataloguer.StateInService, BaseModel: d.BaseModel,
		ChecksFencing: i%fenceEvery != 0, MaxRunning: 32, AdapterSlots: 24, ColdRunning: 4, ColdFor: 10 * time.Second,
	}
}

func (d Deployment) service(firstPort, i int) cataloguer.BackendServer {
	return cataloguer.BackendServer{
		ID: fmt.Sprintf("%s-%d", d.Services, i+1), Kind: cataloguer.KindService, Address: address(d.backendPort(firstPort, d.EngineCount+i)),
		FailureDomain: d.FailureDomains[i%len(d.FailureDomains)], State: cataloguer.StateInService, Service: d.Services,
		MaxRunning: 32, ColdRunning: 8,
	}
}

// services names one plain service; an order placed through it may not be repeated.
func (d Deployment) services() cataloguer.Shard {
	return cataloguer.Shard{Name: "services", Services: []cataloguer.Service{{Name: d.Services, Repeatable: false, CallTokens: 10}}}
}

func (d Deployment) hostList() cataloguer.Shard {
	list := &cataloguer.HostList{}
	for i := range d.Hosts {
		list.Live = append(list.Live, d.hostID(i))
	}
	return cataloguer.Shard{Name: "host_list", HostList: list}
}

func (d Deployment) adapters(first, end int) cataloguer.Shard {
	shard := cataloguer.Shard{Name: fmt.Sprintf("adapters-%03d", first/adaptersAShard)}
	for i := first; i < end; i++ {
		shard.Adapters = append(shard.Adapters, cataloguer.Adapter{
			Name: AdapterName(i), Version: uint32(1 + i%3), BaseModel: d.BaseModel, Owner: d.Accounts[i%len(d.Accounts)].ID,
			Class: cataloguer.Classes[i%len(cataloguer.Classes)], MaxTokens: 2048, Open: i%500 == 499,
		})
	}
	return shard
}

// AdapterName returns the name of the example adapter of a number.
func AdapterName(i int) string { return fmt.Sprintf("adapter-%05d", i) }

// Settings returns the settings of each host of the deployment.
func (d Deployment) Settings(firstPort int) []configurer.Settings {
	settings := make([]configurer.Settings, 0, d.Hosts)
	for i := range d.Hosts {
		port := d.hostPort(firstPort, i)
		s := configurer.Settings{
			HostID: d.hostID(i), FailureDomain: d.FailureDomains[i%len(d.FailureDomains)],
			Address: address(port), PeerAddress: address(port + 1), OperatorAddress: address(port + 2),
			Platform: d.PlatformAddress(firstPort),
		}
		for j := range d.Hosts {
			if j != i {
				s.Seeds = append(s.Seeds, address(d.hostPort(firstPort, j)+1))
			}
		}
		settings = append(settings, s)
	}
	return settings
}
