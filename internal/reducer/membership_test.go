package reducer

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// newFleetFixture returns a host that has known the voter set for a while, among five other hosts; all six are voters, and the host may
// claim leases.
func newFleetFixture(t *testing.T) *fixture {
	f := newFixture(t)
	f.publish(cataloguer.Document{Key: "c", Kind: cataloguer.KindCatalogue, Raw: []byte("c"), Catalogue: engineCatalogue()})
	f.publishBackend(engine("e1"))
	f.addFiveHosts()
	f.state.Leases = map[string]*Lease{}
	f.runWithPeers(5 * time.Second)
	return f
}

// runWithPeers advances the time; the five other hosts send heartbeats and the configuration service has no changes.
func (f *fixture) runWithPeers(d time.Duration) {
	for range d / gossipInterval {
		f.answerObservation(f.advance(gossipInterval))
		f.receiveHeartbeats(5)
		f.reduce(ConfigRead{RequestedAt: f.now, Version: f.version()})
	}
}

// receiveHeartbeats delivers new heartbeats of the first of the five other hosts.
func (f *fixture) receiveHeartbeats(count int) {
	for i := range count {
		h := f.state.Hosts["host-"+strconv.Itoa(i)]
		r := h.Record
		r.Heartbeat++
		f.reduce(PeerReceived{From: r.ID, Incarnation: r.Incarnation, Messages: []Message{r}})
	}
}

// claimRefusal returns the reason for which the host refuses a claim of host-1.
func (f *fixture) claimRefusal(claim Claim) Refusal {
	claim.Backend = "e1"
	claim.Term = 1
	return f.state.claimRefusal(f.now, &LeaseGrant{}, "host-1", 3, f.now.Sub(startTime), claim)
}

// votersDigest returns the digest of the voters on the lease of e1.
func (f *fixture) votersDigest() uint32 {
	ids, _ := f.state.votersOf(f.now, "e1")
	return votersDigest(ids)
}

// Guards against a starting host that takes part in electing a holder from the few hosts that it knows.
func TestHostWithoutVoterSetNeitherVotesNorClaims(t *testing.T) {
	f := newFleetFixture(t)
	f.state.Membership = Membership{MajoritySince: f.now.Add(-time.Minute)}
	f.state.invalidateHostIndex()
	assert.Equal(t, f.claimRefusal(Claim{Renewal: true}), RefusalMinority)
	assert.Assert(t, !f.state.mayClaim(f.now, "e1"))
}

// Guards against voters with another voter set that make up a quorum for the set of the claimant.
func TestVoterRefusesNewHolderWithOtherVoterSet(t *testing.T) {
	f := newFleetFixture(t)
	assert.Equal(t, f.claimRefusal(Claim{VotersDigest: f.votersDigest()}), RefusalNone)
	assert.Equal(t, f.claimRefusal(Claim{VotersDigest: votersDigest([]string{"host-1", "host-2", "host-a"})}), RefusalOtherVoters)
	assert.Equal(t, f.claimRefusal(Claim{Renewal: true}), RefusalNone)
}

// Guards against a host that grants leases because a claimant counts it as a voter although it is none by its own state.
func TestNonVoterGrantsNoLease(t *testing.T) {
	f := newFleetFixture(t)
	f.state.Membership.Voter = false
	f.state.invalidateHostIndex()
	assert.Equal(t, f.claimRefusal(Claim{Renewal: true}), RefusalNotVoter)
}

// Guards against a host on the minority side of a partition that extends the lease of a holder that is replaced on the other side.
func TestHostWithoutMajorityGrantsNoLease(t *testing.T) {
	f := newFleetFixture(t)
	for range 12 {
		f.advance(gossipInterval)
		f.receiveHeartbeats(2)
	}
	assert.Equal(t, f.claimRefusal(Claim{Renewal: true}), RefusalMinority)
	f.runWithPeers(time.Second)
	assert.Equal(t, f.claimRefusal(Claim{Renewal: true}), RefusalNone)
	assert.Equal(t, f.claimRefusal(Claim{VotersDigest: f.votersDigest()}), RefusalGrantsUncertain, "it may not know a new holder yet")
	f.runWithPeers(2 * time.Second)
	assert.Equal(t, f.claimRefusal(Claim{VotersDigest: f.votersDigest()}), RefusalNone)
}

// Guards against hosts that start behind a partition and bootstrap a voter set of their own: they do not reach all seeds, or observe that
// another host orders backend servers.
func TestBootstrapRequiresSeedsOrNoOrders(t *testing.T) {
	start := func(seeds ...string) *fixture {
		f := newFixture(t)
		f.addFiveHosts()
		for _, h := range f.state.Hosts {
			h.Record.Voter = false
		}
		f.state.Self.StartedAt = f.now
		f.state.Self.Seeds = seeds
		f.state.Membership = Membership{}
		f.state.invalidateHostIndex()
		f.publishBackend(engine("e1"))
		return f
	}
	f := start("host-0", "host-1", "host-2")
	f.runWithPeers(3 * time.Second)
	assert.Equal(t, len(f.state.voterHosts(f.now)), 6)

	f = start("host-0", "host-1", "far-away")
	f.runWithPeers(bootstrapWithoutSeedsAfter - time.Second)
	assert.Equal(t, len(f.state.voterHosts(f.now)), 0)
	f.runWithPeers(2 * time.Second)
	assert.Equal(t, len(f.state.voterHosts(f.now)), 6, "no orders for long")

	f = start("host-0", "far-away", "further-away")
	f.runWithPeers(bootstrapWithoutSeedsAfter + f.state.propagationDelay())
	assert.Equal(t, len(f.state.voterHosts(f.now)), 0, "the side with most seeds comes first")
	f.runWithPeers(bootstrapToOrders + time.Second)
	assert.Equal(t, len(f.state.voterHosts(f.now)), 6)

	f = start("host-0", "host-1", "host-2")
	for i := range 5 {
		f.publishBackend(engine("e1", "a"+strconv.Itoa(i)))
		f.runWithPeers(time.Second)
	}
	assert.Equal(t, len(f.state.voterHosts(f.now)), 0, "another host orders e1")
	f.runWithPeers(2 * time.Second)
	assert.Equal(t, len(f.state.voterHosts(f.now)), 6)

	f = start("host-0", "host-1", "host-2")
	f.state.Self.Seeds = append(f.state.Self.Seeds, f.state.Self.PeerAddress)
	f.publish(cataloguer.Document{Key: "c", Kind: cataloguer.KindCatalogue, Raw: []byte("c"), Catalogue: engineCatalogue()})
	for range 6 {
		f.acceptedOrders++
		f.runWithPeers(900 * time.Millisecond)
	}
	assert.Equal(t, len(f.state.voterHosts(f.now)), 0, "e1 counts orders of a host that is not reached")
	f.runWithPeers(4 * time.Second)
	assert.Equal(t, len(f.state.voterHosts(f.now)), 6)

	f = start("host-0", "host-1", "host-2")
	for range 5 {
		f.runWithPeers(time.Second)
		f.reduce(ConfigRead{Failed: true})
	}
	assert.Equal(t, len(f.state.voterHosts(f.now)), 0, "without reads orders cannot be observed")
}

// Guards against an isolated host whose seeds name other hosts and that bootstraps a voter set on its own after a long wait.
func TestIsolatedHostDoesNotBootstrap(t *testing.T) {
	f := newFixture(t)
	f.state.Self.StartedAt = f.now
	f.state.Self.Seeds = []string{"x", "y", "z"}
	f.state.Membership = Membership{}
	f.state.invalidateHostIndex()
	f.pollConfigService(2 * tombstoneTTL)
	assert.Assert(t, !f.state.votersKnown())
	f.state.Self.Seeds = []string{f.state.Self.PeerAddress}
	f.pollConfigService(2 * time.Second)
	assert.Assert(t, f.state.votersKnown(), "it is the only host")
}

// Guards against a new host that outvotes hosts on the other side of a partition: it becomes a voter only after it has reached a majority
// of the voters for long.
func TestNewHostIsPromotedAfterDelay(t *testing.T) {
	f := newFleetFixture(t)
	f.state.Self.StartedAt = f.now
	f.state.Membership.Voter = false
	f.state.Membership.VotersKnownAt = f.now
	f.state.invalidateHostIndex()
	f.runWithPeers(seekPromotionAfter - time.Second)
	assert.Assert(t, f.state.Membership.PromoteAt.IsZero())
	f.runWithPeers(2 * time.Second)
	assert.Assert(t, !f.state.Membership.Voter && f.state.selfRecord(f.now).PromotionIn > 0, "it announces its promotion first")
	f.runWithPeers(f.state.promotionDelay())
	assert.Assert(t, f.state.Membership.Voter)
}

// Guards against hosts on the minority side of a partition that replace the voters that they have lost with new hosts.
func TestNewHostIsNotPromotedWhenMajorityIsLost(t *testing.T) {
	f := newFleetFixture(t)
	announce := func(id string) {
		f.reduce(PeerReceived{From: id, Incarnation: 20, Messages: []Message{
			HostRecord{ID: id, Incarnation: 20, Heartbeat: 1, PeerAddress: id, PromotionIn: f.state.promotionDelay()},
		}})
	}
	announce("new-1")
	f.runWithPeers(f.state.promotionDelay() + gossipInterval)
	assert.Assert(t, f.state.Hosts["new-1"].Record.Voter)
	announce("new-2")
	for range f.state.promotionDelay()/gossipInterval + 1 {
		f.advance(gossipInterval)
		f.receiveHeartbeats(2)
	}
	assert.Assert(t, !f.state.Hosts["new-2"].Record.Voter)
	assert.Assert(t, f.state.Hosts["new-2"].PromoteAt.IsZero())
}

// Guards against a host on the minority side of a partition that evicts the voters of the other side while the configuration
// service shows that backend servers are ordered.
func TestEvictionWithoutMajorityRequiresNoOrders(t *testing.T) {
	wait := func(f *fixture, ordering bool) {
		for i := range 40 {
			if ordering {
				f.publishBackend(engine("e1", "a"+strconv.Itoa(i)))
			}
			f.answerObservation(f.advance(time.Second))
			f.receiveHeartbeats(2)
			f.reduce(ConfigRead{RequestedAt: f.now, Version: f.version()})
		}
	}
	f := newFleetFixture(t)
	wait(f, true)
	assert.Equal(t, len(f.state.voterHosts(f.now)), 6)
	f = newFleetFixture(t)
	wait(f, false)
	assert.Equal(t, len(f.state.voterHosts(f.now)), 3)
}

// Guards against a restarted host that must be promoted again: a rolling restart of all hosts would leave no voter.
func TestRestartedHostStaysVoter(t *testing.T) {
	f := newFleetFixture(t)
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

// Guards against an account's quota that is granted twice: a host that knows few other hosts sends its token requests to a host that is not
// the coordinator.
func TestOnlyCoordinatorGrantsTokens(t *testing.T) {
	f := newFleetFixture(t)
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
		coordinator := f.state.coordinatorOf(f.now, name)
		assert.Equal(t, granted, coordinator == "host-a", "the coordinator of %s is %s", name, coordinator)
		if granted {
			own++
			assert.Assert(t, grant.Tokens > 0)
		}
	}
	assert.Assert(t, own > 0 && own < 12)
}

// Guards against an isolated host that acts as the coordinator of all accounts.
func TestIsolatedHostGrantsNoTokens(t *testing.T) {
	f := newFleetFixture(t)
	f.limitAccount("limited")
	f.state.Hosts = map[string]*Host{}
	f.state.invalidateHostIndex()
	_, granted := grantTokens(f.state, f.now, "host-a", TokenRequest{Account: "limited", Needed: 1})
	assert.Assert(t, granted, "the only host coordinates all accounts")
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

// Guards against a host that knows few other hosts and uses more than its share of a fleet-wide limit.
func TestFleetLimitsAreDividedAmongVoters(t *testing.T) {
	f := newFleetFixture(t)
	service := cataloguer.Service{MaxConnections: 600}
	assert.Equal(t, f.state.connectionLimit(f.now, service), 80)
	f.advance(recentHostWindow + time.Second)
	assert.Equal(t, len(f.state.recentHosts(f.now)), 1)
	assert.Equal(t, f.state.connectionLimit(f.now, service), 80)
	f.state.Membership = Membership{}
	f.state.Hosts = map[string]*Host{}
	f.state.invalidateHostIndex()
	f.state.Self.Seeds = []string{"x", "y", "z"}
	assert.Equal(t, f.state.connectionLimit(f.now, service), 160)
}

// Guards against a host that does not know the voter set and counts itself among the few hosts that send requests to a cold backend server.
func TestHostWithoutVoterSetSendsNothingToColdServer(t *testing.T) {
	f := newFleetFixture(t)
	c := testCatalogue(3)
	c.Services[0].ColdRate = 100
	f.publish(cataloguer.Document{Key: "c", Kind: cataloguer.KindCatalogue, Raw: []byte("c3"), Catalogue: c})
	cold := &Backend{Info: cataloguer.Backend{Service: "desk"}, ColdUntil: f.now.Add(time.Second)}
	for i := 0; !f.state.maySend(f.now, cold); i++ {
		cold.Info.ID = strconv.Itoa(i)
	}
	f.state.updateThrottle(f.now, cold)
	f.now = f.now.Add(time.Second / 2)
	assert.Assert(t, f.state.throttleAllows(f.now, cold))
	// The records of voters alone do not make the voter set known.
	f.state.Membership.VotersKnownAt = time.Time{}
	f.state.invalidateHostIndex()
	assert.Assert(t, !f.state.throttleAllows(f.now, cold))
}

// Guards against votes of one voter set that make up a quorum of the set that the claimant knows by the time the votes arrive.
func TestVotesCountOnlyForClaimedVoterSet(t *testing.T) {
	f := newFleetFixture(t)
	ids, quorum := f.state.votersOf(f.now, "e1")
	assert.Equal(t, quorum, 4)
	sent := f.state.uptime(f.now)
	l := &Lease{Votes: map[string]time.Duration{}, ClaimedAtUptime: sent, VotersDigest: votersDigest(ids), Term: 1, Inventory: newInventory()}
	f.state.Leases["e1"] = l
	for _, id := range []string{"host-0", "host-1"} {
		recordVote(f.state, f.now, id, sent, Vote{Backend: "e1", Granted: true, Term: 1})
	}
	for _, id := range []string{"host-2", "host-3", "host-4"} {
		f.state.Hosts[id].Record.Voter = false
	}
	f.state.invalidateHostIndex()
	_, quorum = f.state.votersOf(f.now, "e1")
	assert.Equal(t, quorum, 2)
	recordVote(f.state, f.now, "host-1", sent, Vote{Backend: "e1", Granted: true, Term: 1})
	assert.Assert(t, l.HeldSince.IsZero(), "two of six voters granted it")
}

// Guards against an outdated record of a removed host, still gossiped by others, that drops the host that uses the address now.
func TestStaleRecordDoesNotDropReplacementHost(t *testing.T) {
	f := newFleetFixture(t)
	former := f.state.Hosts["host-3"].Record
	replacement := HostRecord{ID: "host-new", Incarnation: 9, Heartbeat: 1, PeerAddress: former.PeerAddress, Ready: true}
	f.reduce(PeerReceived{From: "host-new", Incarnation: 9, Messages: []Message{replacement}})
	assert.Assert(t, f.state.Hosts["host-new"] != nil)
	former.HeartbeatAge = time.Second
	f.reduce(PeerReceived{From: "host-1", Incarnation: 3, Messages: []Message{former}})
	assert.Assert(t, f.state.Hosts["host-new"] != nil)
}

// Guards against a starting host that knows of voters and bootstraps another voter set before a host sends it the existing one.
func TestHostThatKnowsVotersDoesNotBootstrap(t *testing.T) {
	f := newFleetFixture(t)
	f.state.Self.StartedAt = f.now
	f.state.Self.Seeds = []string{"host-0", "host-1", "host-2"}
	f.state.Membership = Membership{}
	delete(f.state.Hosts, "host-3")
	delete(f.state.Hosts, "host-4")
	f.state.invalidateHostIndex()
	for range 10 {
		f.advance(gossipInterval)
		f.receiveHeartbeats(3)
	}
	assert.Assert(t, f.state.Hosts["host-0"].Record.Voter)
	assert.Assert(t, !f.state.votersKnown())
}

// Guards against claims for short-lived backend servers that fill the memory of a host that runs for long.
func TestExpiredLeaseGrantsArePruned(t *testing.T) {
	f := newFleetFixture(t)
	for i := range 100 {
		claim := Claim{Backend: "gone-" + strconv.Itoa(i), Term: 1, VotersDigest: f.votersDigest()}
		f.reduce(PeerReceived{From: "host-1", Incarnation: 3, Messages: []Message{
			LeaseRequest{SentAtUptime: time.Minute, Claims: []Claim{claim}},
		}})
	}
	f.runWithPeers(2 * tombstoneTTL)
	assert.Assert(t, len(f.state.LeaseGrants) < 10, "%d lease grants", len(f.state.LeaseGrants))
}

// Guards against time after the last read of the configuration service that counts as time without orders: a voter set was bootstrapped on
// the minority side of a partition 0.65 s after a read that covered 0.9 s, which broke rule ONE (one lease holder).
func TestNoOrdersPeriodEndsAtLastRead(t *testing.T) {
	f := newFleetFixture(t)
	f.state.Membership.ConfigReadsSince = time.Time{}
	f.reduce(ConfigRead{RequestedAt: f.now, Version: f.version()})
	f.advance(900 * time.Millisecond)
	f.reduce(ConfigRead{RequestedAt: f.now, Version: f.version()})
	f.advance(700 * time.Millisecond)
	assert.Assert(t, !f.state.observedNoOrders(f.now, noOrdersBootstrapPeriod))
	f.reduce(ConfigRead{RequestedAt: f.now, Version: f.version()})
	assert.Assert(t, f.state.observedNoOrders(f.now, noOrdersBootstrapPeriod))
}

// Guards against lower fences than before in a rolling upgrade: the build before sent terms alone, and servers may have run for long.
func TestFenceExceedsThoseOfTheBuildBefore(t *testing.T) {
	f := newFixture(t)
	f.state.Self.StartedUnixMs = startTime.UnixMilli()
	const formerFenceBits = 20
	term := f.state.bootstrapTerm(f.now)
	startedAYearAgo := f.now.Add(-365 * 24 * time.Hour).UnixMilli()
	assert.Assert(t, f.state.fence(term, startedAYearAgo, 0) > (term+1)<<formerFenceBits)
}

// Guards against a lower fence than that of an earlier lease, which breaks rule ONE (one lease holder): two hosts that bootstrap the voter
// set at the same time start from different terms, and voters that lost their grants could accept a claim by the host with the lower term.
func TestTermFollowsHighestReceivedTerm(t *testing.T) {
	f := newFleetFixture(t)
	ahead := f.state.currentTerm(f.now) + 45
	f.reduce(PeerReceived{From: "host-1", Incarnation: 3, Messages: []Message{HostRecord{ID: "host-1", Incarnation: 3, Heartbeat: 900, PeerAddress: "host-1", Term: ahead}}})
	assert.Equal(t, f.state.currentTerm(f.now), ahead)
	assert.Equal(t, f.state.selfRecord(f.now).Term, ahead)
	f.reduce(PeerReceived{From: "host-1", Incarnation: 3, Messages: []Message{HostRecord{ID: "host-1", Incarnation: 3, Heartbeat: 901, PeerAddress: "host-1", Term: 7}}})
	assert.Equal(t, f.state.currentTerm(f.now), ahead)

	vote := f.state.vote(f.now, "host-1", 3, f.now.Sub(startTime), Claim{Backend: "e1", Renewal: true, Term: ahead + 9})
	assert.Assert(t, vote.Granted)
	assert.Equal(t, f.state.currentTerm(f.now), ahead+9, "voters may lose a term that they granted")
}
