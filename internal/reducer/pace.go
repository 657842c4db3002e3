package reducer

import (
	"time"

	"github.com/redwingpick/redwingpick/internal/estimator"
	"github.com/redwingpick/redwingpick/internal/selector"
)

// Pacing is what this host knows of the service rate of one incarnation of a backend server; it is used with Adaptive.Pace.
type Pacing struct {
	Estimate estimator.Pace
	// Unreported holds this host's samples that have not been reported to the lease holder.
	Unreported estimator.Sums
	// LoggedRate is the rate that was last logged; 0 before the first.
	LoggedRate float64
	// Slowed is set while the server reports that work takes far longer than usual.
	Slowed bool
	// FigureIgnoredAt is when a figure out of range was last logged.
	FigureIgnoredAt time.Time
}

// ServicePacing is what this host knows of the service rates of all backend servers of a service.
type ServicePacing struct {
	Mean    estimator.Mean
	Domains map[string]*estimator.Mean
	// Gaps is the mean typical gap between the events of the service's streams.
	Gaps estimator.LogMean
	// MeanStay is the moving average of the time that a request spends at an engine; 0 before the first response.
	MeanStay time.Duration
}

const (
	// priorTokens and priorCalls are the work whose samples count as much as the mean of the failure domain: about one long prompt, or a few
	// calls, so that a server's own rate prevails within a few requests.
	priorTokens = 8000
	priorCalls  = 2
	// certainWork is the factor up to which the prompt tokens that may or may not be cached leave a sample's work certain.
	certainWork = 1.5
	// loggedRateChange is the factor by which a rate changes before it is logged again.
	loggedRateChange = 1.5
	// slowPercent is the reported figure from which a server counts as slowed down in the log.
	slowPercent = 200
	// figureIgnoredInterval is the least time between two log lines on figures of one server that are out of range.
	figureIgnoredInterval = time.Minute
	// decodeStepShare is the part of the decode step before the first event that each running request adds.
	decodeStepShare = 100 * time.Microsecond
	// maxAdmissionDelay is above all deadlines. The largest load figures give a time that a time.Duration does not hold.
	maxAdmissionDelay = time.Hour
	// nearEqualDivisor is the divisor of the least expected delay that gives the difference up to which delays count as equal. The load figures
	// behind them are too old to tell more.
	nearEqualDivisor = 4
)

// initialPrior returns what is expected of the backend servers of a service before any sample.
func (s *State) initialPrior(b *Backend) estimator.Prior {
	if s.isEngine(b) {
		return estimator.Prior{Rate: initialPrefillRate, Work: priorTokens}
	}
	return estimator.Prior{Work: priorCalls}
}

// meanRates returns the mean rates of a backend server's service and of the servers of the service in its failure domain; 0 if not known.
func (s *State) meanRates(b *Backend) (service, domain float64) {
	prior := s.initialPrior(b)
	pacing := &s.service(b.Info.Service).Pacing
	service = pacing.Mean.Rate(prior)
	domain = service
	if mean, ok := pacing.Domains[b.Info.FailureDomain]; ok {
		domain = mean.Rate(estimator.Prior{Rate: service, Work: prior.Work})
	}
	return service, estimator.Bound(domain, service)
}

// usualRate returns the work per second that a backend server usually does; 0 if nothing is known of its service.
func (s *State) usualRate(now time.Time, b *Backend) float64 {
	service, domain := s.meanRates(b)
	rate := b.Pacing.Estimate.Rate(now, estimator.Prior{Rate: domain, Work: s.initialPrior(b).Work})
	return estimator.Bound(rate, service)
}

// presentRate returns the work per second that a backend server does at present, by the last figure that it reported.
func (s *State) presentRate(now time.Time, b *Backend) float64 {
	service, _ := s.meanRates(b)
	return estimator.Bound(s.usualRate(now, b)/b.Pacing.Estimate.Slowdown(now), service)
}

// prefillRate returns the prompt tokens per second that an engine is expected to prefill.
func (s *State) prefillRate(now time.Time, b *Backend) float64 {
	if !s.Limits.Adaptive.Pace {
		return s.service(b.Info.Service).PrefillRate
	}
	return s.presentRate(now, b)
}

// meanPrefillRate returns the prompt tokens per second that an engine of a service is expected to prefill on average.
func (s *State) meanPrefillRate(service string) float64 {
	if !s.Limits.Adaptive.Pace {
		return s.service(service).PrefillRate
	}
	return s.service(service).Pacing.Mean.Rate(estimator.Prior{Rate: initialPrefillRate, Work: priorTokens})
}

// callTime returns the expected processing time of a call at a unary server.
func (s *State) callTime(now time.Time, b *Backend) time.Duration {
	if !s.Limits.Adaptive.Pace {
		return max(b.MeanLatency, time.Millisecond)
	}
	rate := s.presentRate(now, b)
	if rate <= 0 {
		return time.Millisecond
	}
	return max(time.Duration(float64(time.Second)/rate), time.Millisecond)
}

// uncontended reports whether a request that is sent now does not wait at the backend server, as far as is known: an engine prefills nothing
// else, and a unary server has a free slot.
func (s *State) uncontended(now time.Time, b *Backend) bool {
	if s.isEngine(b) {
		return b.PrefillTokens == 0 && !s.othersPrefill(now, b)
	}
	return b.busy(now) < max(b.slots(b.ReportedLoad), 1)
}

// slots returns the slots of a backend server by its entry, or by the load figures if the entry states none.
func (b *Backend) slots(load Load) int {
	if b.Info.Slots > 0 {
		return b.Info.Slots
	}
	return load.Slots
}

// othersPrefill reports whether an engine prefills prompts of other hosts, by their last report.
func (s *State) othersPrefill(now time.Time, b *Backend) bool {
	return now.Sub(b.OtherHostsAt) < loadReportTTL && b.OtherHosts.PrefillTokens > 0
}

// recordLoad records the load that a backend server reported in the header of a response.
func (s *State) recordLoad(now time.Time, b *Backend, load Load) {
	if !load.Known {
		return
	}
	b.ReportedLoad = load
	b.ReportedAt = now
	if !s.Limits.Adaptive.Pace || load.Percent == 0 {
		return
	}
	p := &b.Pacing
	if !p.Estimate.Report(now, load.Percent) {
		s.Counters.LoadFiguresIgnored++
		if p.FigureIgnoredAt.IsZero() || now.Sub(p.FigureIgnoredAt) >= figureIgnoredInterval {
			p.FigureIgnoredAt = now
			s.logEvent(EventLoadFigureIgnored, Field{"backend_server", b.Info.ID}, floatField("percent", load.Percent))
		}
		return
	}
	if slowed := load.Percent >= slowPercent; slowed != p.Slowed {
		p.Slowed = slowed
		s.logEvent(EventBackendSlowed, Field{"backend_server", b.Info.ID}, boolField("slowed", slowed), floatField("percent", load.Percent),
			floatField("usual_rate", s.usualRate(now, b)))
	}
}

// recordPace records the load in the header of a response that has just begun, and takes a sample of the service rate if the request did not
// wait at the server. The request's prefill tokens still count at the server.
func (s *State) recordPace(now time.Time, b *Backend, r *Request, e ResponseStarted) {
	if !s.Limits.Adaptive.Pace || b.FirstSeenAt.After(r.SentAt) {
		return
	}
	s.recordLoad(now, b, e.Load)
	took := estimator.Usual(e.Latency, e.Load.Percent)
	work, ok := 0.0, false
	if r.Uncontended && took > 0 {
		work, ok = s.sampleWork(now, b, r, e.Load, took)
	}
	if !ok {
		s.Counters.RateSamplesSkipped++
		return
	}
	s.Counters.RateSamples++
	took = estimator.Limit(work, took, s.usualRate(now, b))
	s.addToMeans(b, work, took)
	if !s.ratedByDecode(b) {
		s.addSample(now, b, work, took)
	}
}

// addSample adds a sample to the estimate of a backend server and to the next report to its lease holder.
func (s *State) addSample(now time.Time, b *Backend, work float64, took time.Duration) {
	b.Pacing.Estimate.Add(now, work, took)
	b.Pacing.Unreported.Add(now, work, took)
	s.logRate(now, b)
}

// sampleWork returns the work of a request whose response began after the given time, and false if the request may have waited at the server
// or its work is not known.
func (s *State) sampleWork(now time.Time, b *Backend, r *Request, load Load, took time.Duration) (work float64, ok bool) {
	if !s.isEngine(b) {
		// The figures may count the request itself, so that the last slot counts as taken, unless there is no other.
		return 1, !load.Known || load.Running+load.Waiting <= max(b.slots(load)-1, 1)
	}
	if b.PrefillTokens > r.PrefillTokens || s.othersPrefill(now, b) || load.Waiting > 0 || r.PrefillTokens < minPrefillSample {
		return 0, false
	}
	own := r.ownTokens()
	if float64(r.PrefillTokens) <= certainWork*float64(own) {
		return float64(r.PrefillTokens), true
	}
	// Of an adapter that has just been loaded, the engine can hardly have cached anything.
	amounts := []float64{float64(r.PrefillTokens), float64(max(own, minPrefillSample))}
	return estimator.Plausible(amounts, took, s.usualRate(now, b), r.AwaitedAdapter)
}

// addToMeans adds a sample of a backend server to the means of its service and failure domain.
func (s *State) addToMeans(b *Backend, work float64, took time.Duration) {
	prior := s.initialPrior(b)
	service, domain := s.meanRates(b)
	pacing := &s.service(b.Info.Service).Pacing
	pacing.Mean.Add(work, estimator.Limit(work, took, service), prior)
	if pacing.Domains == nil {
		pacing.Domains = map[string]*estimator.Mean{}
	}
	mean, ok := pacing.Domains[b.Info.FailureDomain]
	if !ok {
		mean = &estimator.Mean{}
		pacing.Domains[b.Info.FailureDomain] = mean
	}
	mean.Add(work, estimator.Limit(work, took, domain), prior)
}

// logRate logs the rate of a backend server if it has changed much.
func (s *State) logRate(now time.Time, b *Backend) {
	p := &b.Pacing
	rate := s.usualRate(now, b)
	service, domain := s.meanRates(b)
	former := p.LoggedRate
	if former == 0 {
		former = service
	}
	if rate < former*loggedRateChange && rate > former/loggedRateChange {
		return
	}
	p.LoggedRate = rate
	own, others := p.Estimate.Own.At(now), p.Estimate.Others.At(now)
	s.logEvent(EventServiceRateChanged, Field{"backend_server", b.Info.ID}, Field{"failure_domain", b.Info.FailureDomain},
		floatField("rate", rate), floatField("domain_rate", domain), floatField("service_rate", service), floatField("work", own.Work),
		msField("busy_ms", own.Busy), floatField("others_work", others.Work), msField("others_busy_ms", others.Busy))
}

// deferMost defers all but two random ones of the unary servers with about the least expected delay, and all others. Hosts that know the
// same load would otherwise all choose the same server.
func (s *State) deferMost(candidates []selector.Candidate) {
	if !s.Limits.Adaptive.Pace {
		return
	}
	near := selector.NearLeast(candidates, nearEqualDivisor)
	for i := range candidates {
		candidates[i].Deferred = true
	}
	for drawn := 0; drawn < 2 && len(near) > 0; drawn++ {
		i := int(s.random() % uint64(len(near)))
		candidates[near[i]].Deferred = false
		near[i] = near[len(near)-1]
		near = near[:len(near)-1]
	}
}
