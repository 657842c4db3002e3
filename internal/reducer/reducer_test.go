package reducer

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/internal/selector"
	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

var startTime = time.Unix(1_700_000_000, 0)

// fixture is the state of one host with a catalogue and a few backend servers; era and revision are the last ones of the configuration service.
type fixture struct {
	t        *testing.T
	state    *State
	now      time.Time
	era      int64
	revision int64
	// acceptedOrders is the number of orders that backend servers report.
	acceptedOrders int64
}

func newFixture(t *testing.T) *fixture {
	limits := Limits{
		ConfigDeadline: 2 * time.Second, DrainDeadline: 2 * time.Second, HostTimeout: 3 * time.Second, GracePeriod: 8 * time.Second,
		OrderLeaseDuration: 3 * time.Second, RetryRatio: 0.2, RetrySlack: 52, QuotaWindow: 8 * time.Second, QuotaOvershoot: 0.25,
		QuotaSlack: 110_000, LoadWindow: 5 * time.Second, DirectoryTTL: 5 * time.Second,
	}
	self := Self{HostID: "host-a", Incarnation: 1, Address: "10.0.0.1:80", PeerAddress: "10.0.0.1:81", FailureDomain: "east", StartedAt: startTime}
	f := &fixture{t: t, state: NewState(self, limits, 1), now: startTime}
	f.publish(cataloguer.Document{Key: "c", Kind: cataloguer.KindCatalogue, Raw: []byte("c"), Catalogue: testCatalogue(1)})
	for _, id := range []string{"desk-1", "desk-2"} {
		f.publishBackend(cataloguer.Backend{ID: id, Service: "desk", Address: "10.0.1.1:80", FailureDomain: "east", StartedUnixMs: 1, Slots: 6})
	}
	f.pollConfigService(10 * time.Second)
	return f
}

// at returns a version of a configuration service without eras.
func at(revision int64) cataloguer.Version { return cataloguer.Version{Revision: revision} }

// version returns the last published version.
func (f *fixture) version() cataloguer.Version {
	return cataloguer.Version{Era: f.era, Revision: f.revision}
}

// pollConfigService advances the clock while the configuration service responds once a second that nothing has changed.
func (f *fixture) pollConfigService(d time.Duration) {
	for range d / time.Second {
		f.advance(time.Second)
		f.reduce(ConfigRead{RequestedAt: f.now, Version: f.version()})
	}
}

// answerObservation delivers the reports that the effects request while the host observes the orders of others; no server has had any.
func (f *fixture) answerObservation(effects []Effect) {
	for _, e := range effects {
		if r, ok := e.(ReadReport); ok && f.state.observesOrders(f.now) {
			f.reduce(BackendReported{Backend: r.Backend, StartedUnixMs: r.StartedUnixMs, RequestedAt: f.now, AcceptedOrders: f.acceptedOrders})
		}
	}
}

// testCatalogue returns a catalogue with one unary service, three routes and one account.
func testCatalogue(version int64) *cataloguer.Catalogue {
	desk := []cataloguer.WeightedService{{Service: "desk", Weight: 1}}
	return &cataloguer.Catalogue{
		Version: version,
		Routes: []cataloguer.Route{
			{Name: "once", HostName: "h", Prefix: "/once/", RetryPolicy: cataloguer.RetryNever, Timeout: time.Second, LatencyTarget: 300 * time.Millisecond, MaxAttempts: 1, TrafficSplit: desk},
			{Name: "safe", HostName: "h", Prefix: "/safe/", RetryPolicy: cataloguer.RetrySafe, Timeout: time.Second, LatencyTarget: 300 * time.Millisecond, MaxAttempts: 2, TrafficSplit: desk},
			{Name: "open", HostName: "h", Prefix: "/safe/open/", RetryPolicy: cataloguer.RetrySafe, Timeout: time.Second, LatencyTarget: 300 * time.Millisecond, MaxAttempts: 2, Anonymous: true, TrafficSplit: desk},
		},
		Services: []cataloguer.Service{{Name: "desk", MaxConnections: 96}},
		Accounts: []cataloguer.Account{{Name: "acme", Keys: []string{"secret"}, Priority: -1}},
	}
}

// publish delivers a document as the configuration service's next revision.
func (f *fixture) publish(d cataloguer.Document) []Effect {
	f.revision++
	d.Version = f.version()
	return f.reduce(ConfigRead{RequestedAt: f.now, Version: f.version(), Documents: []cataloguer.Document{d}})
}

func (f *fixture) publishBackend(b cataloguer.Backend) []Effect {
	return f.publish(cataloguer.Document{Key: "b/" + b.ID, Kind: cataloguer.KindBackend, Name: b.ID, Backend: &b, Raw: []byte(b.ID)})
}

func (f *fixture) reduce(e Event) []Effect { return Reduce[selector.LeastDelay](f.state, f.now, e) }

// advance advances the clock in ticks and returns their effects.
func (f *fixture) advance(d time.Duration) []Effect {
	var effects []Effect
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(50 * time.Millisecond)
		effects = append(effects, f.reduce(Tick{})...)
	}
	return effects
}

func (f *fixture) arrive(id, path, key string) []Effect {
	return f.reduce(RequestArrived{ID: id, CallerID: id, At: f.now, HostName: "h", Path: path, Key: key, TimeLeft: 3 * time.Second})
}

// addFiveHosts delivers one record from each of five other hosts.
func (f *fixture) addFiveHosts() {
	for i := range 5 {
		id := "host-" + strconv.Itoa(i)
		f.reduce(PeerReceived{From: id, Incarnation: uint64(i + 2), Messages: []Message{HostRecord{
			ID: id, Incarnation: uint64(i + 2), Heartbeat: 1, Address: id, PeerAddress: id, Ready: true, Voter: true,
		}}})
	}
}

// find returns the first effect of a type.
func find[E Effect](effects []Effect) (found E, ok bool) {
	for _, e := range effects {
		if v, ok := e.(E); ok {
			return v, true
		}
	}
	return found, false
}

// must returns the first effect of a type and fails the test if there is none.
func must[E Effect](t *testing.T, effects []Effect) E {
	t.Helper()
	e, ok := find[E](effects)
	assert.Assert(t, ok, "no %T among %v", e, effects)
	return e
}

func TestRequestNeedsARouteAndAKey(t *testing.T) {
	f := newFixture(t)
	assert.Equal(t, must[Refuse](t, f.arrive("1", "/none/", "secret")).Reason, ReasonNoRoute)
	assert.Equal(t, must[Refuse](t, f.arrive("2", "/safe/x", "guess")).Reason, ReasonNoKey)
	assert.Equal(t, must[Dispatch](t, f.arrive("3", "/safe/x", "secret")).Account, "acme")
	assert.Equal(t, must[Dispatch](t, f.arrive("4", "/safe/open/x", "")).Account, "")
}

func TestSafeRequestIsRetriedOnceOnAnotherBackend(t *testing.T) {
	f := newFixture(t)
	first := must[Dispatch](t, f.arrive("1", "/safe/x", "secret"))
	second := must[Dispatch](t, f.reduce(DispatchEnded{ID: "1", Backend: first.Backend, Attempt: 1, Outcome: OutcomeBroken}))
	assert.Assert(t, first.Backend != second.Backend)
	refusal := must[Refuse](t, f.reduce(DispatchEnded{ID: "1", Backend: second.Backend, Attempt: 2, Outcome: OutcomeBroken}))
	assert.Assert(t, refusal.MayHaveRun)
}

func TestColdServerGetsFewRequests(t *testing.T) {
	f := newFixture(t)
	c := testCatalogue(2)
	c.Services = []cataloguer.Service{{Name: "desk", MaxConnections: 96, ColdDuration: 3 * time.Second, ColdRate: 7}}
	f.publish(cataloguer.Document{Key: "c", Kind: cataloguer.KindCatalogue, Raw: []byte("c"), Catalogue: c})
	for _, id := range []string{"desk-1", "desk-2"} {
		f.publishBackend(cataloguer.Backend{ID: id, Service: "desk", Address: "10.0.1.1:80", FailureDomain: "east", StartedUnixMs: 2, Slots: 6, ColdRemaining: 3 * time.Second})
	}
	sent := map[string]int{}
	for i := range 100 {
		f.now = f.now.Add(10 * time.Millisecond)
		if d, ok := find[Dispatch](f.arrive(strconv.Itoa(i), "/safe/x", "secret")); ok {
			sent[d.Backend]++
		}
	}
	for id, n := range sent {
		assert.Assert(t, float64(n) <= 7*1.5+5, "%s got %d requests in a second", id, n)
	}
	assert.Equal(t, len(sent), 2)
}

func TestRetriesStayWithinTheBudget(t *testing.T) {
	f := newFixture(t)
	const requests = 400
	retries := 0
	for i := range requests {
		id := strconv.Itoa(i)
		first := must[Dispatch](t, f.arrive(id, "/safe/x", "secret"))
		if second, ok := find[Dispatch](f.reduce(DispatchEnded{ID: id, Backend: first.Backend, Attempt: 1, Outcome: OutcomeBroken})); ok {
			retries++
			f.reduce(DispatchEnded{ID: id, Backend: second.Backend, Attempt: 2, Outcome: OutcomeDone, Status: 200})
		}
	}
	bound := f.state.Limits.RetryRatio*requests + f.state.Limits.RetrySlack
	assert.Assert(t, retries > requests/10 && float64(retries) <= bound, "%d retries", retries)
}

func TestRequestThatMayHaveRunIsNotRetried(t *testing.T) {
	f := newFixture(t)
	first := must[Dispatch](t, f.arrive("1", "/once/x", "secret"))
	effects := f.reduce(DispatchEnded{ID: "1", Backend: first.Backend, Attempt: 1, Outcome: OutcomeBroken})
	assert.Assert(t, must[Refuse](t, effects).MayHaveRun)
}

func TestRequestThatDidNotRunIsRetriedOnAnotherBackend(t *testing.T) {
	f := newFixture(t)
	first := must[Dispatch](t, f.arrive("1", "/once/x", "secret"))
	second := must[Dispatch](t, f.reduce(DispatchEnded{ID: "1", Backend: first.Backend, Attempt: 1, Outcome: OutcomeNotSent}))
	assert.Assert(t, first.Backend != second.Backend)
}

func TestBackendFailureIsDeliveredIfTheRequestMayNotBeRetried(t *testing.T) {
	f := newFixture(t)
	first := must[Dispatch](t, f.arrive("1", "/once/x", "secret"))
	must[DeliverFailure](t, f.reduce(DispatchEnded{ID: "1", Backend: first.Backend, Attempt: 1, Outcome: OutcomeFailed, Status: 500}))
}

func TestRequestIsRefusedAtTheRouteTimeout(t *testing.T) {
	f := newFixture(t)
	must[Dispatch](t, f.arrive("1", "/once/x", "secret"))
	effects := f.advance(1050 * time.Millisecond)
	must[Cancel](t, effects)
	refusal := must[Refuse](t, effects)
	assert.Equal(t, refusal.Reason, ReasonTimeout)
	assert.Assert(t, refusal.MayHaveRun)
}

func TestTimeoutCountsFromTheArrival(t *testing.T) {
	f := newFixture(t)
	late := RequestArrived{ID: "1", CallerID: "1", At: f.now.Add(-4 * time.Second), HostName: "h", Path: "/safe/x", Key: "secret", TimeLeft: 3 * time.Second}
	assert.Equal(t, must[Refuse](t, f.reduce(late)).Reason, ReasonTimeout)
}

func TestDrainingBackendGetsNoNewRequests(t *testing.T) {
	f := newFixture(t)
	for _, id := range []string{"desk-1", "desk-2"} {
		f.publishBackend(cataloguer.Backend{ID: id, Service: "desk", Address: "10.0.1.1:80", FailureDomain: "east", StartedUnixMs: 1, Slots: 6, Draining: true})
	}
	_, sent := find[Dispatch](f.arrive("1", "/safe/x", "secret"))
	assert.Assert(t, !sent)
}

func TestWithdrawnDomainGetsNoRequestsUntilItIsRestored(t *testing.T) {
	f := newFixture(t)
	withdrawal := cataloguer.Document{Key: "w/east", Kind: cataloguer.KindWithdrawnDomain, Name: "east", Raw: []byte("w")}
	f.publish(withdrawal)
	_, sent := find[Dispatch](f.arrive("1", "/safe/x", "secret"))
	assert.Assert(t, !sent)
	withdrawal.Deleted = true
	must[Dispatch](t, f.publish(withdrawal))
}

func TestExpiredEntryStaysInUseForAWhileAfterAnOutage(t *testing.T) {
	f := newFixture(t)
	f.advance(10 * time.Second)
	f.publish(cataloguer.Document{Key: "b/desk-1", Kind: cataloguer.KindBackend, Name: "desk-1", Deleted: true})
	assert.Assert(t, f.state.Backends["desk-1"].Expired, "the configuration service had not responded for ten seconds")
	f.advance(2 * time.Second)
	_, known := f.state.Backends["desk-1"]
	assert.Assert(t, !known)
}

// TestEntryRemovedAWhileAfterAnOutageIsUnusableAtOnce covers a backend server that is removed a while after an outage of the configuration
// service, when the entries that expired in the outage have been published again.
func TestEntryRemovedAWhileAfterAnOutageIsUnusableAtOnce(t *testing.T) {
	f := newFixture(t)
	f.reduce(ConfigRead{RequestedAt: f.now, Version: f.version()})
	for range 25 {
		f.advance(100 * time.Millisecond)
		f.reduce(ConfigRead{RequestedAt: f.now, Version: f.version()})
	}
	f.publish(cataloguer.Document{Key: "b/desk-1", Kind: cataloguer.KindBackend, Name: "desk-1", Deleted: true})
	b, known := f.state.Backends["desk-1"]
	assert.Assert(t, !known || !f.state.usable(f.now, b))
}

func TestOlderCatalogueIsNotApplied(t *testing.T) {
	f := newFixture(t)
	f.publish(cataloguer.Document{Key: "c", Kind: cataloguer.KindCatalogue, Raw: []byte("c"), Catalogue: testCatalogue(7)})
	f.publish(cataloguer.Document{Key: "c", Kind: cataloguer.KindCatalogue, Raw: []byte("c"), Catalogue: testCatalogue(3)})
	assert.Equal(t, f.state.Documents.Catalogue.Version, int64(7))
}

func TestInvalidDocumentKeepsTheFormerOne(t *testing.T) {
	f := newFixture(t)
	f.publish(cataloguer.Document{Key: "b/desk-1", Kind: cataloguer.KindBackend, Name: "desk-1", Raw: []byte("x"), DecodeError: "a field is missing"})
	_, known := f.state.Backends["desk-1"]
	assert.Assert(t, known)
	assert.Equal(t, f.state.Counters.DocumentsRefused, uint64(1))
}

func TestUsageIsIgnoredBeforeTheLeaseIsHeld(t *testing.T) {
	f := newFixture(t)
	f.state.Leases["engine"] = &Lease{}
	f.reduce(PeerReceived{From: "host-b", Messages: []Message{Usage{Backend: "engine", Running: 1}}})
	assert.Equal(t, len(f.state.Leases["engine"].Inventory.Usage), 0)
}

func TestHostWithoutACatalogueRefusesRequestsAsNotRun(t *testing.T) {
	f := &fixture{t: t, state: NewState(Self{HostID: "host-a", StartedAt: startTime}, Limits{}, 1), now: startTime}
	refusal := must[Refuse](t, f.arrive("1", "/safe/x", "secret"))
	assert.Equal(t, refusal.Reason, ReasonNoCatalogue)
	assert.Assert(t, !refusal.MayHaveRun && refusal.RetryAfter > 0)
}

// TestFirstRequestIsAdmittedIfTheCoordinatorDoesNotRespond guards against a fallback bucket that starts empty: when a coordinator did not
// respond for the first time, an account far below its rate was refused.
func TestFirstRequestIsAdmittedIfTheCoordinatorDoesNotRespond(t *testing.T) {
	f := newFixture(t)
	c := testCatalogue(2)
	c.Accounts = []cataloguer.Account{{Name: "acme", Keys: []string{"secret"}, Priority: -1, Rate: 10_000, Burst: 10_000, CountsTokens: true, DefaultTokens: 200}}
	f.publish(cataloguer.Document{Key: "c", Kind: cataloguer.KindCatalogue, Raw: []byte("c"), Catalogue: c})
	f.addFiveHosts()
	assert.Assert(t, f.state.coordinatorOf(f.now, "acme") != "host-a", "another host coordinates the quota")
	_, sent := find[Dispatch](f.arrive("1", "/safe/x", "secret"))
	assert.Assert(t, !sent, "the request waits for the coordinator")
	must[Dispatch](t, f.advance(200*time.Millisecond))
}

func TestRequestsThatArriveDuringATokenRequestAreNotRefused(t *testing.T) {
	f := newFixture(t)
	c := testCatalogue(2)
	c.Accounts[0] = cataloguer.Account{Name: "acme", Keys: []string{"secret"}, Priority: -1, Rate: 100_000, Burst: 100_000, CountsTokens: true, DefaultTokens: 200}
	f.publish(cataloguer.Document{Key: "c", Kind: cataloguer.KindCatalogue, Raw: []byte("c"), Catalogue: c})
	var effects []Effect
	for _, id := range []string{"1", "2", "3", "4"} {
		effects = append(effects, f.arrive(id, "/safe/x", "secret")...)
	}
	effects = append(effects, f.advance(200*time.Millisecond)...)
	_, refused := find[Refuse](effects)
	assert.Assert(t, !refused)
	assert.Equal(t, f.state.Counters.Dispatches, uint64(4))
}
