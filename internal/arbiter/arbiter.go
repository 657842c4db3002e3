package arbiter

import (
	"maps"
	"time"
)

const (
	// lease is the time without a renewal after which a trial counts as ended: its host has stopped or is cut off.
	lease = time.Second
	// firstPause is the least time from a lost trial to the next one of the service: by then other hosts have told what they have seen answered since,
	// and the evidence has been judged. It doubles with each further lost trial, up to maxPause.
	firstPause = 700 * time.Millisecond
	maxPause   = 4 * time.Second
	// memory is how long a service without trials is remembered.
	memory = time.Minute
)

// Trial is one request that one host tries.
type Trial struct {
	Host string
	// Content is the name of the request that the host tries, and Sequence tells its trials apart.
	Content  string
	Sequence uint64
}

// Service is the state of the trials at one service.
type Service struct {
	// Running is the trial in progress; zero for none.
	Running   Trial
	RenewedAt time.Time
	// NextAt is the earliest time of the next trial, and Pause the time that the last lost one has added.
	NextAt time.Time
	Pause  time.Duration
}

// Arbiter grants the trials at services, by name.
type Arbiter struct {
	Services map[string]*Service
}

// New returns an arbiter without trials.
func New() Arbiter { return Arbiter{Services: map[string]*Service{}} }

// Request grants or renews a trial at a service, and reports whether it did.
func (a *Arbiter) Request(now time.Time, service string, t Trial) (granted bool) {
	s, ok := a.Services[service]
	if !ok {
		s = &Service{}
		a.Services[service] = s
	}
	busy := s.Running != Trial{} && now.Sub(s.RenewedAt) < lease
	if s.Running != t && (busy || now.Before(s.NextAt)) {
		return false
	}
	s.Running, s.RenewedAt = t, now
	return true
}

// End ends a trial; lost is set if its server closed the connection without an answer.
func (a *Arbiter) End(now time.Time, service string, t Trial, lost bool) {
	s, ok := a.Services[service]
	if !ok || s.Running != t {
		return
	}
	s.Running = Trial{}
	if !lost {
		s.Pause, s.NextAt = 0, now
		return
	}
	s.Pause = min(max(2*s.Pause, firstPause), maxPause)
	s.NextAt = now.Add(s.Pause)
}

// Prune forgets the services without a trial for some time.
func (a *Arbiter) Prune(now time.Time) {
	maps.DeleteFunc(a.Services, func(_ string, s *Service) bool { return now.Sub(s.RenewedAt) > memory })
}
