package exerciser

import (
	"fmt"
	"math"
	"time"

	"github.com/redwingpick/redwingpick/internal/reducer"
	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// Traffic holds the simulated requests and counts their outcomes, and the catalogue versions published so far.
type Traffic struct {
	Sent    int
	Done    int
	Refused map[string]int
	// ResponseTimes holds, by service, the time from the arrival of each request to the start of its response at the backend server.
	ResponseTimes map[string][]time.Duration
	Callers       Callers

	requests             map[string]*Request
	catalogueVersion     int64
	cataloguePublishedAt []time.Time
}

// arrival is the event by which a request arrives at a host.
type arrival struct{ reducer.RequestArrived }

func (a arrival) adapter() reducer.AdapterKey {
	return reducer.AdapterKey{Model: a.Model, Adapter: a.Adapter}
}

// Request is a simulated request, as observed by its caller and by the backend servers.
type Request struct {
	event   arrival
	host    *Host
	account string
	// atMostOnce is set for routes whose requests must not run twice.
	atMostOnce bool
	sentAt     time.Time
	runCount   int
	attempt    int
	// arrivalCount counts the arrivals of the request at backend servers.
	arrivalCount int
	outcome      string
	// answer is the latest answer to the request.
	answer *answer
	// deadly is set for a request that crashes the engine which begins to answer it.
	deadly bool
	// sound is where a sound request is counted once its answer begins, if it shares a part with the deadly ones.
	sound *SoundRequests
	// reportedNotRun is set once the caller has received a response stating that the request has not run.
	reportedNotRun bool
	// repeats counts the earlier tries of the same lookup that were lost.
	repeats int
	// returned is set if the caller was refused before, and beganAt is when the response began.
	returned bool
	beganAt  time.Time
}

func requestKey(host string, incarnation uint64, id string) string {
	return fmt.Sprintf("%s/%d/%s", host, incarnation, id)
}

// sendRequest sends a random request to a host.
func (s *Simulation[P]) sendRequest(h *Host) {
	if !h.Up || !h.State.Ready {
		return
	}
	s.Traffic.Sent++
	e := reducer.RequestArrived{
		ID: fmt.Sprint(s.Traffic.Sent), CallerID: fmt.Sprint(s.Traffic.Sent), At: s.Now, HostName: routeHostName, TimeLeft: 5 * time.Second,
		Key: "key-large",
	}
	r := &Request{host: h, sentAt: s.Now, account: "large"}
	if s.rng.IntN(4) == 0 {
		e.Key, r.account = "key-small", "small"
	}
	kind := s.rng.IntN(5)
	if s.Options.UniformAdapters {
		kind = 2 + kind%2
	}
	switch kind {
	case 0:
		e.Path, r.atMostOnce = "/once/x", true
	case 1:
		e.Path = "/safe/x"
	case 2:
		e.Path = "/resumable/x"
		s.drawGeneration(&e)
	default:
		e.Path, r.atMostOnce = "/stream/x", true
		s.drawGeneration(&e)
	}
	s.drawParts(r, &e)
	service := engineService
	if e.Adapter == "" {
		service = unaryService
	}
	s.Checker.requestTimes[service] = append(s.Checker.requestTimes[service], s.Now)
	s.deliverRequest(h, r, e)
	if s.Options.ExtendedWorkload && s.extendedRNG.IntN(disconnectOneIn) == 0 {
		s.disconnectCaller(h, r)
	}
}

// One caller in disconnectOneIn disconnects early, within maxDisconnectDelay; callerDisconnected is then the outcome of its request.
const (
	disconnectOneIn    = 20
	maxDisconnectDelay = 1500 * time.Millisecond
	callerDisconnected = "caller disconnected"
)

// disconnectCaller makes a caller disconnect after a random time, unless its request has ended before.
func (s *Simulation[P]) disconnectCaller(h *Host, r *Request) {
	incarnation := h.Incarnation
	s.after(time.Duration(s.extendedRNG.Int64N(int64(maxDisconnectDelay))), func() {
		s.runOnHost(h, incarnation, func() {
			if r.outcome == "" {
				r.outcome = callerDisconnected
				s.reduce(h, reducer.RequestAbandoned{ID: r.event.ID})
			}
		})
	})
}

// PublishAdapterVersions publishes new versions of frequently used adapters at random times until the simulation ends.
func (s *Simulation[P]) PublishAdapterVersions(meanInterval time.Duration) {
	var next func()
	next = func() {
		key := reducer.AdapterKey{Model: modelName, Adapter: fmt.Sprintf("a%d", 1+s.extendedRNG.IntN(6))}
		s.Checker.latestVersions[key]++
		s.Checker.versionPublishedAt[key] = s.Now
		s.ConfigService.Put(cataloguer.Document{
			Key: "versions/" + key.Adapter, Kind: cataloguer.KindAdapterVersion, Raw: []byte(key.Adapter),
			AdapterVersion: &cataloguer.AdapterVersion{Model: key.Model, Adapter: key.Adapter, Version: s.Checker.latestVersions[key]},
		})
		s.after(time.Duration(s.extendedRNG.ExpFloat64()*float64(meanInterval)), next)
	}
	next()
}

func (s *Simulation[P]) deliverRequest(h *Host, r *Request, e reducer.RequestArrived) {
	r.event = arrival{e}
	incarnation := h.Incarnation
	s.Traffic.requests[requestKey(h.ID, incarnation, e.ID)] = r
	s.post(h, incarnation, e)
	s.after(e.TimeLeft+time.Second, func() {
		if r.outcome == "" && h.Up && h.Incarnation == incarnation && !h.Frozen && s.Now.Sub(h.LastFaultAt) > e.TimeLeft+time.Second {
			s.Checker.addViolation(s.Now, "every_request_ends", h.ID+"/"+e.ID)
		}
		delete(s.Traffic.requests, requestKey(h.ID, incarnation, e.ID))
	})
}

// drawGeneration draws the adapter and the size of a request; a few adapters are used often.
func (s *Simulation[P]) drawGeneration(e *reducer.RequestArrived) {
	rank := int(math.Pow(s.rng.Float64(), -1/0.4))
	e.Model = modelName
	e.Adapter = fmt.Sprintf("a%d", min(rank, 3000))
	if s.Options.UniformAdapters {
		e.Adapter = fmt.Sprintf("a%d", 1+s.rng.IntN(uniformAdapterCount))
	}
	e.PromptTokens = 500 + s.rng.IntN(6000)
	e.OutputTokens = 20 + s.rng.IntN(200)
}

// uniformAdapterCount is the number of adapters that requests use with Options.UniformAdapters.
const uniformAdapterCount = 3000

func (r *Request) recordRun(c *Checker, scale float64, now time.Time) {
	r.runCount++
	c.checkQuota(now, scale, r)
	if r.atMostOnce && r.runCount > 1 {
		c.addViolation(now, "at_most_once", r.event.ID)
	}
	if r.reportedNotRun {
		c.addViolation(now, "not_run_is_true", r.event.ID)
	}
}

func (r *Request) finish(c *Checker, now time.Time, outcome string) {
	if r.outcome != "" {
		c.addViolation(now, "one_answer", r.event.ID+": "+r.outcome+", then "+outcome)
	}
	r.outcome = outcome
}

func (s *Simulation[P]) refuse(h *Host, e reducer.Refuse) {
	r := s.Traffic.requests[requestKey(h.ID, h.Incarnation, e.ID)]
	if r == nil {
		return
	}
	if s.Traffic.Refused == nil {
		s.Traffic.Refused = map[string]int{}
	}
	s.Traffic.Refused[e.Reason.String()]++
	r.finish(&s.Checker, s.Now, e.Reason.String())
	s.returnLater(r, e)
	if e.MayHaveRun {
		s.repeatLost(r)
		return
	}
	r.reportedNotRun = true
	if r.runCount > 0 {
		s.Checker.addViolation(s.Now, "not_run_is_true", fmt.Sprintf("%s: %s after %d runs", r.event.ID, e.Reason, r.runCount))
	}
	s.Checker.checkRefusal(s.Now, r, e.Reason)
}

func (s *Simulation[P]) deliverFailure(h *Host, e reducer.DeliverFailure) {
	if r := s.Traffic.requests[requestKey(h.ID, h.Incarnation, e.ID)]; r != nil {
		r.finish(&s.Checker, s.Now, "failure")
	}
}

// cancel ignores the effect: a simulated backend server continues a canceled request.
func (s *Simulation[P]) cancel(*Host, reducer.Cancel) {}

// StartTraffic sends requests at random times until the simulation ends.
func (s *Simulation[P]) StartTraffic(requestsPerSecond float64) (stop func()) {
	stopped := false
	var next func()
	next = func() {
		if stopped {
			return
		}
		s.sendRequest(s.Hosts[s.rng.IntN(len(s.Hosts))])
		s.after(time.Duration(s.rng.ExpFloat64()/requestsPerSecond*float64(time.Second)), next)
	}
	next()
	return func() { stopped = true }
}
