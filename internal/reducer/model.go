package reducer

import (
	"slices"
	"time"

	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// loadQuota names the fleet-wide budget for a service's loads of models from the weight store.
func loadQuota(service string) string { return "loads/" + service }

// Quota is a fleet-wide budget: what all hosts together may use in any window.
type Quota struct {
	Allowed float64
	Window  time.Duration
	// Rate is what may be used a second in the long run.
	Rate float64
}

// quota returns a client account's budget, or that of a service's loads of models.
func (s *State) quota(name string) (Quota, bool) {
	if account, ok := s.Documents.Accounts[name]; ok {
		return Quota{Allowed: s.allowedUse(account), Window: s.Limits.QuotaWindow, Rate: account.Rate}, true
	}
	for _, service := range s.Documents.Services {
		if service.Engine != nil && loadQuota(service.Name) == name {
			rate := service.Engine.LoadsPerSecond
			return Quota{Allowed: rate*s.Limits.LoadWindow.Seconds() + 1, Window: s.Limits.LoadWindow, Rate: rate}, true
		}
	}
	return Quota{}, false
}

// holdsModel reports whether a backend server is known to hold a model.
func (b *Backend) holdsModel(model string) bool {
	return slices.ContainsFunc(b.Info.Models, func(m cataloguer.ResidentModel) bool { return m.Model == model })
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
		for _, other := range s.serviceBackends(b.Info.Service) {
			if other.holdsModel(m.Name) {
				holders++
			}
		}
		if m.WeightsMB <= engine.WeightMemoryMB && (best < 0 || holders < fewest) {
			best, fewest = i, holders
		}
	}
	if best < 0 {
		return cataloguer.Model{}, false
	}
	return engine.Models[best], true
}

// orderModel orders a model for an empty engine once the fleet's budget has room for a load.
func (s *State) orderModel(now time.Time, b *Backend, r *Lease, model cataloguer.Model) {
	name := loadQuota(b.Info.Service)
	a := s.account(now, name)
	if a.Level < 1 {
		a.Extra = 1
		askTokens(s, now, name, a)
		return
	}
	a.charge(now, 1)
	a.Extra = 0
	r.Inventory.OrderPending = true
	r.Inventory.RetryAt = now.Add(max(model.LoadDuration/modelChecks, reportEvery))
	s.Counters.ModelLoads++
	s.emitOrder(now, b, r, AdapterKey{Model: model.Name}, 0, false)
}

// modelChecks is the number of times that an order for a model is repeated while its load takes its usual time; a backend
// server that is loading it answers that it is busy.
const modelChecks = 2
