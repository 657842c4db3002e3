package reducer

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// newFleet returns a host that has settled among five others, all with seats, and that orders are due from.
func newFleet(t *testing.T) *fixture {
	f := newFixture(t)
	f.publish(cataloguer.Document{Key: "c", Kind: cataloguer.KindCatalogue, Raw: []byte("c"), Catalogue: engineCatalogue()})
	f.publishBackend(engine("e1"))
	f.addFiveHosts()
	f.state.Leases = map[string]*Lease{}
	f.hearFor(5 * time.Second)
	return f
}

// hearFor lets time pass in which the five other hosts are heard of.
func (f *fixture) hearFor(d time.Duration) {
	for range d / gossipInterval {
		f.advance(gossipInterval)
		f.beat(5)
		f.reduce(PlatformRead{AskedAt: f.now, Revision: f.revision})
	}
}

// beat brings a new beat of the first others of the five hosts.
func (f *fixture) beat(others int) {
	for i := range others {
		h := f.state.Hosts["host-"+strconv.Itoa(i)]
		r := h.Record
		r.Heartbeat++
		f.reduce(PeerReceived{From: r.ID, Incarnation: r.Incarnation, Messages: []Message{r}})
	}
}

// claim puts a claim to the host, as host-1, and returns its reason to refuse it.
func (f *fixture) claim(c Claim) Refusal {
	c.Backend = "e1"
	c.Term = 1
	return f.state.refuses(f.now, &LeaseGrant{}, "host-1", 3, f.now.Sub(startTime), c)
}

func (f *fixture) voters() uint32 {
	ids, _ := f.state.votersOf(f.now, "e1")
	return votersDigest(ids)
}

// A host that has just started must not let a holder be chosen from the few hosts that it knows.
func TestHostThatDoesNotKnowTheRosterNeitherVotesNorClaims(t *testing.T) {
	f := newFleet(t)
	f.state.Membership = Membership{MajoritySince: f.now.Add(-time.Minute)}
	f.state.hostsChanged()
	assert.Equal(t, f.claim(Claim{Renewal: true}), RefusalMinority)
	assert.Assert(t, !f.state.mayClaim(f.now, "e1"))
}

// Voters that hold another set of hosts for the voters must not make up a quorum for the claimant's set.
func TestVoterRefusesANewHolderThatAsksOtherVoters(t *testing.T) {
	f := newFleet(t)
	assert.Equal(t, f.claim(Claim{VotersDigest: f.voters()}), RefusalNone)
	assert.Equal(t, f.claim(Claim{VotersDigest: votersDigest([]string{"host-1", "host-2", "host-a"})}), RefusalOtherVoters)
	assert.Equal(t, f.claim(Claim{Renewal: true}), RefusalNone)
}

// A host that a claimant takes for a voter, and that is none by its own view, must not count for the claimant.
func TestHostWithoutASeatBacksNothing(t *testing.T) {
	f := newFleet(t)
	f.state.Membership.Voter = false
	f.state.hostsChanged()
	assert.Equal(t, f.claim(Claim{Renewal: true}), RefusalNotVoter)
}

// A host on the lesser side of a partition must not prolong the lease of a holder that is followed on the other side.
func TestHostThatHearsFewBacksNothing(t *testing.T) {
	f := newFleet(t)
	for range 12 {
		f.advance(gossipInterval)
		f.beat(2)
	}
	assert.Equal(t, f.claim(Claim{Renewal: true}), RefusalMinority)
	f.hearFor(time.Second)
	assert.Equal(t, f.claim(Claim{Renewal: true}), RefusalNone)
	assert.Equal(t, f.claim(Claim{VotersDigest: f.voters()}), RefusalForgetful, "it may not know of a new holder yet")
	f.hearFor(2 * time.Second)
	assert.Equal(t, f.claim(Claim{VotersDigest: f.voters()}), RefusalNone)
}

// Hosts that start behind a partition must not take themselves for the whole fleet: they do not reach all seeds, or see that backend
// servers are ordered by somebody else.
func TestRosterIsFoundedByAHostThatHearsAllSeeds(t *testing.T) {
	start := func(seeds ...string) *fixture {
		f := newFixture(t)
		f.addFiveHosts()
		for _, h := range f.state.Hosts {
			h.Record.Voter = false
		}
		f.state.Self.StartedAt = f.now
		f.state.Self.Seeds = seeds
		f.state.Membership = Membership{}
		f.state.hostsChanged()
		f.publishBackend(engine("e1"))
		return f
	}
	f := start("host-0", "host-1", "host-2")
	f.hearFor(3 * time.Second)
	assert.Equal(t, len(f.state.voterHosts(f.now)), 6)

	f = start("host-0", "host-1", "far-away")
	f.hearFor(bootstrapWithoutSeedsAfter - time.Second)
	assert.Equal(t, len(f.state.voterHosts(f.now)), 0)
	f.hearFor(2 * time.Second)
	assert.Equal(t, len(f.state.voterHosts(f.now)), 6, "nobody has ordered for long")

	f = start("host-0", "host-1", "host-2")
	for i := range 5 {
		f.publishBackend(engine("e1", "a"+strconv.Itoa(i)))
		f.hearFor(time.Second)
	}
	assert.Equal(t, len(f.state.voterHosts(f.now)), 0, "somebody orders e1")
	f.hearFor(2 * time.Second)
	assert.Equal(t, len(f.state.voterHosts(f.now)), 6)

	f = start("host-0", "host-1", "host-2")
	for range 5 {
		f.hearFor(time.Second)
		f.reduce(PlatformRead{Failed: true})
	}
	assert.Equal(t, len(f.state.voterHosts(f.now)), 0, "whether somebody orders cannot be known")
}

// A host that hears nobody although its seeds name others must not take itself for the whole fleet, however long it waits.
func TestHostThatHearsNobodyFoundsNothing(t *testing.T) {
	f := newFixture(t)
	f.state.Self.StartedAt = f.now
	f.state.Self.Seeds = []string{"x", "y", "z"}
	f.state.Membership = Membership{}
	f.state.hostsChanged()
	f.pollPlatform(2 * tombstoneTTL)
	assert.Assert(t, !f.state.votersKnown())
	f.state.Self.Seeds = []string{f.state.Self.PeerAddress}
	f.pollPlatform(2 * time.Second)
	assert.Assert(t, f.state.votersKnown(), "it is the only host")
}

// A new host must not outvote those of the other side of a partition: it takes a seat once it has heard of most voters for long.
func TestNewHostTakesASeatAfterAWhile(t *testing.T) {
	f := newFleet(t)
	f.state.Self.StartedAt = f.now
	f.state.Membership.Voter = false
	f.state.Membership.VotersKnownAt = f.now
	f.state.hostsChanged()
	f.hearFor(admitAfter - time.Second)
	assert.Assert(t, f.state.Membership.PromoteAt.IsZero())
	f.hearFor(2 * time.Second)
	assert.Assert(t, !f.state.Membership.Voter && f.state.selfRecord(f.now).PromotionIn > 0, "it tells of its seat first")
	f.hearFor(f.state.promotionDelay())
	assert.Assert(t, f.state.Membership.Voter)
}

// Hosts on the lesser side of a partition must not make up for the voters that they have lost with new hosts.
func TestNewHostTakesNoSeatIfTheMajorityIsLostMeanwhile(t *testing.T) {
	f := newFleet(t)
	seek := func(id string) {
		f.reduce(PeerReceived{From: id, Incarnation: 20, Messages: []Message{
			HostRecord{ID: id, Incarnation: 20, Heartbeat: 1, PeerAddress: id, PromotionIn: f.state.promotionDelay()},
		}})
	}
	seek("new-1")
	f.hearFor(f.state.promotionDelay() + gossipInterval)
	assert.Assert(t, f.state.Hosts["new-1"].Record.Voter)
	seek("new-2")
	for range f.state.promotionDelay()/gossipInterval + 1 {
		f.advance(gossipInterval)
		f.beat(2)
	}
	assert.Assert(t, !f.state.Hosts["new-2"].Record.Voter)
	assert.Assert(t, f.state.Hosts["new-2"].PromoteAt.IsZero())
}

// A host that waits behind a partition for others must not take them for gone while the platform shows that somebody orders.
func TestSeatsLapseWithoutAMajorityOnlyWhileNobodyOrders(t *testing.T) {
	wait := func(f *fixture, ordering bool) {
		for i := range 40 {
			if ordering {
				f.publishBackend(engine("e1", "a"+strconv.Itoa(i)))
			}
			f.advance(time.Second)
			f.beat(2)
			f.reduce(PlatformRead{AskedAt: f.now, Revision: f.revision})
		}
	}
	f := newFleet(t)
	wait(f, true)
	assert.Equal(t, len(f.state.voterHosts(f.now)), 6)
	f = newFleet(t)
	wait(f, false)
	assert.Equal(t, len(f.state.voterHosts(f.now)), 3)
}

// A host that restarts must not have to be admitted anew, or a rolling stop of all hosts would leave no voter.
func TestRestartedHostKeepsItsSeat(t *testing.T) {
	f := newFleet(t)
	restarted := f.state.Hosts["host-3"].Record
	restarted.Incarnation++
	restarted.Heartbeat = 1
	restarted.Voter = false
	f.reduce(PeerReceived{From: "host-3", Incarnation: restarted.Incarnation, Messages: []Message{restarted, MembershipRequest{}}})
	assert.Assert(t, f.state.Hosts["host-3"].Record.Voter)
	f.state.Membership = Membership{}
	f.reduce(PeerReceived{From: "host-2", Incarnation: 4, Messages: []Message{
		HostRecord{ID: "host-a", Incarnation: 1, Heartbeat: 1, Voter: true}, MembershipReply{VotersKnown: true},
	}})
	assert.Assert(t, f.state.Membership.Voter && f.state.votersKnown())
}

// A host that is taken for the keeper of an account by one that knows few hosts must not grant a second budget.
func TestHostThatIsNotTheKeeperGrantsNothing(t *testing.T) {
	f := newFleet(t)
	c := engineCatalogue()
	for i := range 12 {
		c.Accounts = append(c.Accounts, cataloguer.Account{Name: "limited-" + strconv.Itoa(i), Rate: 100, Burst: 100})
	}
	c.Version++
	f.publish(cataloguer.Document{Key: "c", Kind: cataloguer.KindCatalogue, Raw: []byte("c2"), Catalogue: c})
	own := 0
	for i := range 12 {
		name := "limited-" + strconv.Itoa(i)
		grant, granted := grantTokens(f.state, f.now, "host-1", TokenRequest{Account: name, Needed: 1})
		keeper := f.state.coordinatorOf(f.now, name)
		assert.Equal(t, granted, keeper == "host-a", "%s is kept by %s", name, keeper)
		if granted {
			own++
			assert.Assert(t, grant.Tokens > 0)
		}
	}
	assert.Assert(t, own > 0 && own < 12)
}

// A host that has heard of nobody yet must not take itself for the keeper of all accounts.
func TestHostThatKnowsNobodyGrantsNothing(t *testing.T) {
	f := newFleet(t)
	f.limitAccount("limited")
	f.state.Hosts = map[string]*Host{}
	f.state.hostsChanged()
	_, granted := grantTokens(f.state, f.now, "host-a", TokenRequest{Account: "limited", Needed: 1})
	assert.Assert(t, granted, "the only host keeps all accounts")
	f.state.Self.Seeds = []string{"x", "y", "z"}
	_, granted = grantTokens(f.state, f.now, "host-a", TokenRequest{Account: "limited", Needed: 1})
	assert.Assert(t, !granted)
}

// limitAccount publishes a client account with a rate.
func (f *fixture) limitAccount(name string) {
	c := engineCatalogue()
	c.Version++
	c.Accounts = append(c.Accounts, cataloguer.Account{Name: name, Rate: 100, Burst: 100})
	f.publish(cataloguer.Document{Key: "c", Kind: cataloguer.KindCatalogue, Raw: []byte(name), Catalogue: c})
}

// A host that knows few others must not take more than its part of what all hosts may use together.
func TestPartsAreDividedAmongTheHostsThatVote(t *testing.T) {
	f := newFleet(t)
	service := cataloguer.Service{MaxConnections: 600}
	assert.Equal(t, f.state.connectionLimit(f.now, service), 80)
	f.advance(recentHostWindow + time.Second)
	assert.Equal(t, len(f.state.recentHosts(f.now)), 1)
	assert.Equal(t, f.state.connectionLimit(f.now, service), 80)
	f.state.Membership = Membership{}
	f.state.Hosts = map[string]*Host{}
	f.state.hostsChanged()
	f.state.Self.Seeds = []string{"x", "y", "z"}
	assert.Equal(t, f.state.connectionLimit(f.now, service), 160)
}

// A host that does not know who votes must not take itself for one of the few that send to a cold backend server.
func TestHostThatHasNotSettledSendsNothingToAColdServer(t *testing.T) {
	f := newFleet(t)
	c := testCatalogue(3)
	c.Services[0].ColdRate = 100
	f.publish(cataloguer.Document{Key: "c", Kind: cataloguer.KindCatalogue, Raw: []byte("c3"), Catalogue: c})
	cold := &Backend{Info: cataloguer.Backend{ID: "cold-1", Service: "desk"}, ColdUntil: f.now.Add(time.Second)}
	f.state.allowsColdRequest(f.now, cold)
	f.now = f.now.Add(time.Second / 2)
	cold.ColdBucket.Level = 1
	f.state.Membership = Membership{}
	f.state.Hosts = map[string]*Host{}
	f.state.hostsChanged()
	assert.Assert(t, !f.state.allowsColdRequest(f.now, cold))
}

// Votes of one set of voters must not make up a quorum of another that the claimant's view names by the time that they come.
func TestVotesCountOnlyForTheVotersThatWereAsked(t *testing.T) {
	f := newFleet(t)
	ids, quorum := f.state.votersOf(f.now, "e1")
	assert.Equal(t, quorum, 4)
	sent := f.state.age(f.now)
	r := &Lease{Votes: map[string]time.Duration{}, ClaimedAt: sent, VotersDigest: votersDigest(ids), Term: 1, Inventory: newInventory()}
	f.state.Leases["e1"] = r
	for _, id := range []string{"host-0", "host-1"} {
		takeVote(f.state, f.now, id, sent, Vote{Backend: "e1", Granted: true, Term: 1})
	}
	for _, id := range []string{"host-2", "host-3", "host-4"} {
		f.state.Hosts[id].Record.Voter = false
	}
	f.state.hostsChanged()
	_, quorum = f.state.votersOf(f.now, "e1")
	assert.Equal(t, quorum, 2)
	takeVote(f.state, f.now, "host-1", sent, Vote{Backend: "e1", Granted: true, Term: 1})
	assert.Assert(t, r.HeldSince.IsZero(), "two of six voters backed it")
}

// An old record of a removed host, which others still tell, must not drop the host that has its address now.
func TestOldRecordDoesNotDropTheHostThatReplacedIt(t *testing.T) {
	f := newFleet(t)
	former := f.state.Hosts["host-3"].Record
	replacement := HostRecord{ID: "host-new", Incarnation: 9, Heartbeat: 1, PeerAddress: former.PeerAddress, Ready: true}
	f.reduce(PeerReceived{From: "host-new", Incarnation: 9, Messages: []Message{replacement}})
	assert.Assert(t, f.state.Hosts["host-new"] != nil)
	former.SilentFor = time.Second
	f.reduce(PeerReceived{From: "host-1", Incarnation: 3, Messages: []Message{former}})
	assert.Assert(t, f.state.Hosts["host-new"] != nil)
}

// A host that starts and hears of hosts with seats must wait for one that tells it the roster, and not found another.
func TestHostThatHearsOfSeatsFoundsNothing(t *testing.T) {
	f := newFleet(t)
	f.state.Self.StartedAt = f.now
	f.state.Self.Seeds = []string{"host-0", "host-1", "host-2"}
	f.state.Membership = Membership{}
	delete(f.state.Hosts, "host-3")
	delete(f.state.Hosts, "host-4")
	f.state.hostsChanged()
	for range 10 {
		f.advance(gossipInterval)
		f.beat(3)
	}
	assert.Assert(t, f.state.Hosts["host-0"].Record.Voter)
	assert.Assert(t, !f.state.votersKnown())
}

// Claims for backend servers that come and go must not fill the memory of a host that runs for long.
func TestPromisesEndWithTheirBackendServers(t *testing.T) {
	f := newFleet(t)
	for i := range 100 {
		claim := Claim{Backend: "gone-" + strconv.Itoa(i), Term: 1, VotersDigest: f.voters()}
		f.reduce(PeerReceived{From: "host-1", Incarnation: 3, Messages: []Message{LeaseRequest{SentAt: time.Minute, Claims: []Claim{claim}}}})
	}
	f.hearFor(2 * tombstoneTTL)
	assert.Assert(t, len(f.state.LeaseGrants) < 10, "%d promises", len(f.state.LeaseGrants))
}

// Time that passes after the last read of the platform must not count as time in which nobody ordered (ONE): a roster was founded on the
// lesser side of a partition 0.65 s after a read that covered 0.9 s.
func TestTimeAfterTheLastReadTellsNothingOfOrders(t *testing.T) {
	f := newFleet(t)
	f.state.Membership.WatchedSince = time.Time{}
	f.reduce(PlatformRead{AskedAt: f.now, Revision: f.revision})
	f.advance(900 * time.Millisecond)
	f.reduce(PlatformRead{AskedAt: f.now, Revision: f.revision})
	f.advance(700 * time.Millisecond)
	assert.Assert(t, !f.state.sawNoOrders(f.now, orderlessAtStart))
	f.reduce(PlatformRead{AskedAt: f.now, Revision: f.revision})
	assert.Assert(t, f.state.sawNoOrders(f.now, orderlessAtStart))
}

// Two hosts that found the roster at one time have clocks of their own; after voters had forgotten, a claim by the slower one must not get a
// lower fence than a lease before (ONE).
func TestRostersClockFollowsTheFastestOfItsHosts(t *testing.T) {
	f := newFleet(t)
	ahead := f.state.firstTerm(f.now) + 45
	f.reduce(PeerReceived{From: "host-1", Incarnation: 3, Messages: []Message{HostRecord{ID: "host-1", Incarnation: 3, Heartbeat: 900, PeerAddress: "host-1", Term: ahead}}})
	assert.Equal(t, f.state.firstTerm(f.now), ahead)
	assert.Equal(t, f.state.selfRecord(f.now).Term, ahead)
	f.reduce(PeerReceived{From: "host-1", Incarnation: 3, Messages: []Message{HostRecord{ID: "host-1", Incarnation: 3, Heartbeat: 901, PeerAddress: "host-1", Term: 7}}})
	assert.Equal(t, f.state.firstTerm(f.now), ahead)

	vote := f.state.vote(f.now, "host-1", 3, f.now.Sub(startTime), Claim{Backend: "e1", Renewal: true, Term: ahead + 9})
	assert.Assert(t, vote.Granted)
	assert.Equal(t, f.state.firstTerm(f.now), ahead+9, "a term that was backed may be forgotten by those that backed it")
}
