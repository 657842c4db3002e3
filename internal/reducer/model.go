package reducer

import (
	"slices"
	"time"

	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// loadPool names the fleet-wide budget for a service's loads of models from the weight store.
func loadPool(service string) string { return "loads/" + service }

// pool returns the bounds of a fleet-wide budget: a client account's, or a service's loads of models.
func (s *State) pool(name string) (rate, burst float64, ok bool) {
	if account, ok := s.Documents.Accounts[name]; ok {
		return account.Rate * quotaHeadroom, s.fleetBurst(account), true
	}
	for _, service := range s.Documents.Services {
		if service.Engine != nil && loadPool(service.Name) == name {
			return service.Engine.LoadsPerSecond, max(service.Engine.LoadsPerSecond, 1), true
		}
	}
	return 0, 0, false
}

// holdsModel reports whether a backend server is known to hold a model.
func (b *Backend) holdsModel(model string) bool {
	return slices.ContainsFunc(b.Info.Models, func(m cataloguer.Resident) bool { return m.Model == model })
}

// missingModel returns the model that an empty engine should hold: the one that the fewest others hold.
func (s *State) missingModel(b *Backend) (cataloguer.Model, bool) {
	engine := s.engineOf(b)
	if engine == nil || len(b.Info.Models) > 0 || len(engine.Models) == 0 {
		return cataloguer.Model{}, false
	}
	best := -1
	fewest := 0
	for i, m := range engine.Models {
		holders := 0
		for _, other := range s.Backends {
			if other.Info.Service == b.Info.Service && other.holdsModel(m.Name) {
				holders++
			}
		}
		if m.WeightsMB <= engine.MemoryMB && (best < 0 || holders < fewest) {
			best, fewest = i, holders
		}
	}
	if best < 0 {
		return cataloguer.Model{}, false
	}
	return engine.Models[best], true
}

// orderModel orders a model for an empty engine once the fleet's budget has room for a load.
func (s *State) orderModel(now time.Time, b *Backend, r *Right, model cataloguer.Model) {
	name := loadPool(b.Info.Service)
	a := s.account(now, name)
	if a.Level < 1 {
		a.Extra = 1
		askTokens(s, now, name, a)
		return
	}
	a.Level--
	a.Extra = 0
	r.Ledger.Ordering = true
	r.Ledger.RetryAt = now.Add(max(model.LoadFor/modelChecks, reportEvery))
	s.Counters.ModelLoads++
	s.emitOrder(now, b, r, AdapterKey{Model: model.Name}, 0, false)
}

// modelChecks is the number of times that an order for a model is repeated while its load takes its usual time; a backend
// server that is loading it answers that it is busy.
const modelChecks = 2
