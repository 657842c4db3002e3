package exerciser

import (
	"strconv"
	"time"

	"github.com/redwingpick/redwingpick/internal/hasher"
	"github.com/redwingpick/redwingpick/internal/reducer"
)

// Speeds of backend servers with Options.UnevenServers, as in the second deployment of docs/LOAD.md.
const (
	slowDomain      = "domain-0"
	slowDomainSpeed = 0.55
	otherSpeed      = 1.2
	// Of the servers, neighbourShare in a hundred share their machine with other work for neighbourPeriod; their work then takes
	// neighbourPercent of the usual time.
	neighbourShare   = 15
	neighbourPeriod  = 600 * time.Millisecond
	neighbourPercent = 250
	usualPercent     = 100
	// unevenRateFactor is applied to the rates of accounts, so that servers and not quotas limit what is served.
	unevenRateFactor = 8
)

// speed returns the factor of the speed of the backend servers in a failure domain.
func (s *Simulation[P]) speed(domain string) float64 {
	switch {
	case !s.Options.UnevenServers:
		return 1
	case domain == slowDomain:
		return slowDomainSpeed
	}
	return otherSpeed
}

// workPercent returns how long work takes on a backend server's machine now, in percent of the usual time.
func (s *Simulation[P]) workPercent(b *Backend) time.Duration {
	period := strconv.FormatInt(int64(s.Now.Sub(StartTime)/neighbourPeriod), 10)
	if s.Options.UnevenServers && hasher.Score(hasher.Key(period), hasher.NewName(b.Info.ID))%100 < neighbourShare {
		return neighbourPercent
	}
	return usualPercent
}

// load returns the load that a backend server reports in a response; nothing without Options.UnevenServers.
func (s *Simulation[P]) load(b *Backend) reducer.Load {
	if !s.Options.UnevenServers {
		return reducer.Load{}
	}
	running, slots := b.Engine.Running, b.Engine.Spec.Slots
	return reducer.Load{
		Known: true, Running: min(running, slots), Waiting: max(running-slots, 0), Slots: slots, Percent: float64(s.workPercent(b)),
	}
}
