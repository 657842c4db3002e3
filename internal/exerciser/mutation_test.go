package exerciser

import (
	"context"
	"flag"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var mutate = flag.Bool("mutate", false, "take each mechanism of TestMechanismsAreNeeded out and run the tests that must notice")

// root is the module's directory.
const root = "../.."

// mechanism is a piece of code without which a promise is broken, and the test that then fails with a word for it.
type mechanism struct {
	name, file, code, without string
	test                      []string
	notices                   string
}

func soakOf(seeds string) []string {
	return []string{"./internal/exerciser", "-run", "TestSeedsThatOnceFailed|TestSoak", "-seeds", seeds}
}

func fleets(name string) []string { return []string{"./internal/exerciser", "-run", name} }

func unit(pkg, name string) []string { return []string{"./internal/" + pkg, "-run", name} }

var mechanisms = []mechanism{
	{"a voter backs one host at a time", "internal/reducer/vote.go", "&& now.Before(g.ValidUntil):\n\t\treturn RefusalGranted", "&& g.ValidUntil.IsZero():\n\t\treturn RefusalGranted", soakOf("24"), "one_holder"},
	{"a voter that has started backs nobody", "internal/reducer/vote.go", "case !c.Renewal && !s.mayGrantToNewHolder(now):", "case !c.Renewal && !s.votersKnown():", unit("reducer", "TestHostWithoutMajority"), "FAIL"},
	{"terms grow with time", "internal/reducer/lease.go", "l.Term = s.currentTerm(now)", "l.Term = 1", soakOf("12"), "fences_grow"},
	{"a holder that was followed waits", "internal/reducer/lease.go", "if l.HeldBefore {", "if l.HeldBefore && l.Term < 0 {", soakOf("100"), "one_holder"},
	{"a host without the roster does not vote", "internal/reducer/vote.go", "case !s.votersKnown() || !s.reachesMajority():", "case false:", unit("reducer", "TestHostWithoutVoterSetNeither|TestHostWithoutMajority"), "FAIL"},
	{"voters judge who is asked", "internal/reducer/vote.go", "case !c.Renewal && c.VotersDigest != votersDigest(ids):", "case false:", unit("reducer", "TestVoterRefuses"), "FAIL"},
	{"only voters vote", "internal/reducer/vote.go", "case !slices.Contains(ids, s.Self.HostID):", "case false:", unit("reducer", "TestNonVoterGrants"), "FAIL"},
	{"votes count for the voters that were asked", "internal/reducer/lease.go", "if l.HeldSince.IsZero() && l.VotersDigest != votersDigest(ids) {", "if false {", unit("reducer", "TestVotesCountOnly"), "FAIL"},
	{"a roster is not founded beside orders", "internal/reducer/bootstrap.go", "|| !s.observedNoOrders(now, noOrdersBootstrapPeriod):", ":", fleets("TestRosterStaysOne/seeds_killed"), "one_lease"},
	{"a lonely host founds nothing", "internal/reducer/bootstrap.go", "case s.Draining.Active || s.isolated():", "case s.Draining.Active:", unit("reducer", "TestIsolatedHostDoesNotBootstrap"), "FAIL"},
	{"new hosts wait for a majority", "internal/reducer/membership.go", "if s.reachedMajorityDuringPromotion(h.PromoteAt) {", "if !h.PromoteAt.IsZero() {", unit("reducer", "TestNewHostIsNotPromoted"), "FAIL"},
	{"seats lapse for a majority", "internal/reducer/membership.go", "return s.reachesMajority() || s.observedNoOrders(now, noOrdersPeriod)", "return true", fleets("TestRosterStaysOne/one_cut_off|TestRosterStaysOne/third_cut"), "one_lease"},
	{"a word counts only as an answer", "internal/reducer/updates.go", "	if e.RequestedAt.IsZero() {\n\t\ts.offerConfirmation(now, from, m)\n\t\treturn\n\t}", "	if e.RequestedAt.IsZero() {\n\t\te.RequestedAt = now\n\t}", fleets("TestConfigurationIsInForceInTime"), "confirmed_is_true"},
	{"answers of the platform count from when they were formed", "internal/reducer/watch.go", "s.confirm(now, readAsOf(now, e))", "s.confirm(now, now)", fleets("TestConfigurationIsInForceInTime/late_answers"), "confirmed_is_true"},
	{"who has read so far asks nobody", "internal/reducer/updates.go", "	if m.Revision > s.Documents.Revision {", "	if m.Revision > s.Documents.SignificantRevision {", unit("reducer", "TestHostDoesNotRequestRevisions"), "FAIL"},
	{"the roster has one clock", "internal/reducer/host.go", "	s.advanceTerm(now, r.Term)\n", "", unit("reducer", "TestTermFollowsHighest"), "FAIL"},
	{"time after a read tells nothing of orders", "internal/reducer/bootstrap.go", "m.PlatformReadUpTo.Sub(later", "now.Sub(later", unit("reducer", "TestNoOrdersPeriodEnds"), "FAIL"},
	{"a lease ends", "internal/reducer/lease.go", "return ok && now.Before(l.ValidUntil)", "return ok && !l.HeldSince.IsZero()", soakOf("12"), "one_holder|holder_orders"},
	{"only what is proved is dropped", "internal/reducer/inventory.go", "|| !e.Verified || now.Sub(e.LastRequestedAt)", "|| now.Sub(e.LastRequestedAt)", soakOf("24"), "places"},
	{"a report proves nothing of a later order", "internal/reducer/inventory.go", "&& a.Version >= e.Version && e.OrderedAt.Before(asOf)", "", soakOf("24"), "places"},
	{
		"what has run is not repeated", "internal/reducer/request.go",
		"	if r.PossibleRuns >= r.Route.MaxAttempts {\n\t\treturn false\n\t}\n\treturn r.Route.RetryPolicy", "	return r.Route.MaxAttempts > 0 || r.Route.RetryPolicy",
		soakOf("12"), "at_most_once",
	},
	{"refusals know what may have run", "internal/reducer/request.go", "	if !e.Outcome.NotRun() {\n\t\tr.PossibleRuns++", "	if e.Outcome == OutcomeFailed {\n\t\tr.PossibleRuns++", soakOf("12"), "not_run_is_true|max_attempts|at_most_once"},
	{"repeats have a budget", "internal/reducer/request.go", "if budget.Level < 1 {", "if budget.Burst < 0 {", unit("reducer", "TestRetriesStayWithinTheBudget"), "FAIL"},
	{"a keeper grants what is left", "internal/reducer/quota.go", "grant.Tokens = min(m.Needed, left)", "grant.Tokens = m.Needed", soakOf("12"), "quota"},
	{"what a new keeper does not know counts", "internal/reducer/quota.go", "return min(float64(unknown)", "return 0 * min(float64(unknown)", soakOf("60"), "quota"},
	{"cold servers get few requests", "internal/reducer/placement.go", "if s.allowsColdRequest(now, b) {", "if s.allowsColdRequest(now, b) || r.Attempt >= 0 {", unit("reducer", "TestColdServerGetsFewRequests"), "FAIL"},
	{"an older catalogue is not taken", "internal/reducer/documents.go", "d.Catalogue.Version > s.Documents.Catalogue.Version", "d.Catalogue.Version != s.Documents.Catalogue.Version", unit("reducer", "TestOlderCatalogueIsNeverTaken"), "FAIL"},
	{"a request asks for the newest version", "internal/reducer/placement.go", "r.Version = max(r.Version, s.Documents.Versions[r.Adapter])", "r.Version = 0", soakOf("24"), "version"},
	{"who has left is not served", "internal/reducer/request.go", "s.endRequest(now, r, \"caller_left\")", "s.recordLatency(now, r, \"caller_left\")", soakOf("12"), "gone"},
	{"an order does not leave late", "internal/dispatcher/orders.go", "if !clocker.Now().Before(g.notAfter) {", "if g.notAfter.IsZero() {", unit("dispatcher", "TestLateOrder"), "FAIL"},
}

// TestMechanismsAreNeeded checks that each mechanism is where the table says; with -mutate it takes each out of a copy of the module
// and checks that the promise is then seen broken.
func TestMechanismsAreNeeded(t *testing.T) {
	for _, m := range mechanisms {
		t.Run(strings.ReplaceAll(m.name, " ", "_"), func(t *testing.T) {
			text, err := os.ReadFile(filepath.Join(root, m.file))
			assert.NilError(t, err)
			assert.Equal(t, strings.Count(string(text), m.code), 1, "%s has %q not just once", m.file, m.code)
			if !*mutate {
				return
			}
			module := t.TempDir()
			copySources(t, module)
			changed := strings.Replace(string(text), m.code, m.without, 1)
			assert.NilError(t, os.WriteFile(filepath.Join(module, m.file), []byte(changed), 0o600))
			m.mustFail(t, module)
		})
	}
}

// copySources copies what the tests of the packages need.
func copySources(t *testing.T, module string) {
	for _, dir := range []string{"internal", "pkg", "platform"} {
		assert.NilError(t, os.CopyFS(filepath.Join(module, dir), os.DirFS(filepath.Join(root, dir))))
	}
	for _, file := range []string{"go.mod", "go.sum"} {
		text, err := os.ReadFile(filepath.Join(root, file))
		assert.NilError(t, err)
		assert.NilError(t, os.WriteFile(filepath.Join(module, file), text, 0o600))
	}
}

// mutationTime bounds the tests of one mutation.
const mutationTime = 5 * time.Minute

func (m mechanism) mustFail(t *testing.T, module string) {
	ctx, cancel := context.WithTimeout(t.Context(), mutationTime)
	defer cancel()
	command := exec.CommandContext(ctx, "go", append([]string{"test"}, m.test...)...)
	command.Dir = module
	out, err := command.CombinedOutput()
	assert.Assert(t, err != nil, "nothing noticed that it was gone")
	assert.Assert(t, !strings.Contains(string(out), "[build failed]"), "%s", out)
	for word := range strings.SplitSeq(m.notices, "|") {
		if strings.Contains(string(out), word) {
			t.Logf("noticed by %s", word)
			return
		}
	}
	t.Errorf("noticed by something else than %s:\n%s", m.notices, out)
}
