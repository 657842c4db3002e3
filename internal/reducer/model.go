package reducer

import (
	"slices"
	"time"

	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// loadQuotaName returns the name of the fleet-wide quota on a service's loads of models from the weight store.
func loadQuotaName(service string) string { return "loads/" + service }

// Quota is a fleet-wide limit: the units that all hosts together may use in any window.
type Quota struct {
	Allowed float64
	Window  time.Duration
	// Rate is the number of units that may be used per second in the long run.
	Rate float64
}

// quota returns the quota of a client account or of a service's model loads, and false if the name belongs to neither.
func (s *State) quota(name string) (Quota, bool) {
	if account, ok := s.Documents.Accounts[name]; ok {
		return Quota{Allowed: s.allowedUse(account), Window: s.Limits.QuotaWindow, Rate: account.Rate}, true
	}
	for _, service := range s.Documents.Services {
		if service.Engine != nil && loadQuotaName(service.Name) == name {
			rate := service.Engine.LoadsPerSecond
			return Quota{Allowed: rate*s.Limits.LoadWindow.Seconds() + 1, Window: s.Limits.LoadWindow, Rate: rate}, true
		}
	}
	return Quota{}, false
}

// holdsModel reports whether a backend server's published entry names a model as resident.
func (b *Backend) holdsModel(model string) bool {
	return slices.ContainsFunc(b.Info.Models, func(m cataloguer.ResidentModel) bool { return m.Model == model })
}

// missingModel returns the model that an empty engine should load: of the models that fit its memory, the one that the fewest other backend
// servers hold.
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

// orderModel orders an empty engine to load a model once the fleet-wide quota has granted a load.
func (s *State) orderModel(now time.Time, b *Backend, l *Lease, model cataloguer.Model) {
	name := loadQuotaName(b.Info.Service)
	a := s.account(now, name)
	if a.Level < 1 {
		a.NeededForModelLoad = 1
		requestTokens(s, now, name, a)
		return
	}
	a.charge(now, 1)
	a.NeededForModelLoad = 0
	l.Inventory.OrderPending = true
	l.Inventory.NextOrderAt = now.Add(max(model.LoadDuration/modelOrderAttempts, reportInterval))
	s.Counters.ModelLoads++
	s.emitOrder(now, b, l, AdapterKey{Model: model.Name}, 0, false)
}

// modelOrderAttempts is the number of times that the order for a model is sent during the usual time of its load; a backend server that is
// still loading the model responds that it is busy.
const modelOrderAttempts = 2
