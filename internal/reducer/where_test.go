package reducer

import (
	"reflect"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/internal/cloner"
	"github.com/redwingpick/redwingpick/internal/ramper"
	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

func (f *fixture) where(q WhereQuery) Where {
	return must[WhereResponse](f.t, f.reduce(WhereRequested{ReplyID: "w", Query: q})).Where
}

// Guards against a question that changes the state: it may draw no random number, count nothing and take no turn or token.
func TestWhereChangesNothingAndAnswersLikeARequest(t *testing.T) {
	f := newFixture(t)
	c := engineCatalogue()
	c.Services[0].ColdDuration, c.Services[0].ColdRate = 3*time.Second, 7
	c.Accounts[0].Rate, c.Accounts[0].Burst, c.Accounts[0].CountsTokens, c.Accounts[0].DefaultTokens = 1e6, 1e6, true, 200
	f.publish(cataloguer.Document{Key: "c", Kind: cataloguer.KindCatalogue, Raw: []byte("c"), Catalogue: c})
	f.publishBackend(engine("e1", "a1"))
	f.advance(3 * time.Second)
	f.state.Limits.Adaptive.Start = true
	f.state.beginSlowStart(f.now, f.now.Add(-time.Second), f.state.Backends["desk-1"], ramper.ReasonReturned)
	f.reduce(Tick{})
	before := cloner.Clone(*f.state)
	first := f.where(WhereQuery{HostName: "H", Path: "/safe/x", Account: "acme"})
	f.where(WhereQuery{HostName: "h", Path: "/gen/x", Key: "secret", Model: "m", Adapter: "a9", PromptTokens: 1000})
	assert.DeepEqual(t, before.Backends, f.state.Backends)
	assert.DeepEqual(t, before.Leases, f.state.Leases)
	assert.DeepEqual(t, before.Accounts, f.state.Accounts)
	assert.DeepEqual(t, before.Requests, f.state.Requests)
	assert.DeepEqual(t, before.Counters, f.state.Counters)
	assert.Equal(t, before.Random, f.state.Random)
	assert.Equal(t, len(f.state.effects)+len(f.state.outboxOrder), 0)
	assert.Assert(t, first.WaitsForTokens)
	assert.Equal(t, first.Answer, WhereSent)
	assert.Equal(t, len(first.Candidates), 2)
}

// Guards against an answer that differs from what a request gets then.
func TestWhereNamesTheServerThatARequestGets(t *testing.T) {
	f := newFixture(t)
	for i := range 10 {
		w := f.where(WhereQuery{HostName: "h", Path: "/safe/x", Account: "acme"})
		d := must[Dispatch](t, f.arrive(string(rune('a'+i)), "/safe/x", "secret"))
		assert.Equal(t, w.Answer, WhereSent)
		assert.Equal(t, w.Backend, d.Backend)
		assert.Equal(t, w.Candidates[0].Backend, d.Backend)
	}
	f.state.recordNotice(f.now, f.state.Backends["desk-1"], BackendNotice{Backoff: 2 * time.Second})
	f.state.recordNotice(f.now, f.state.Backends["desk-2"], BackendNotice{Backoff: 2 * time.Second})
	w := f.where(WhereQuery{HostName: "h", Path: "/safe/x", Account: "acme"})
	assert.Equal(t, w.Answer, WhereRefused)
	assert.Equal(t, w.RetryAfterMs, int64(2000))
	assert.DeepEqual(t, w.Excluded[0], WhereExcluded{Backend: "desk-1", Why: "backoff", EndsMs: 2000})
	assert.Equal(t, f.where(WhereQuery{HostName: "h", Path: "/none/", Account: "acme"}).Reason, ReasonNoRoute.String())
	assert.Assert(t, f.where(WhereQuery{HostName: "h", Path: "/safe/x", Account: "nobody"}).Fault != "")
}

// Guards against a refusal of the request that is asked about which takes a slot of the returning callers.
func TestWhereTakesNoReturnSlot(t *testing.T) {
	f := newFixture(t)
	f.state.Limits.Adaptive.Admission = true
	for _, b := range f.state.Backends {
		f.state.recordNotice(f.now, b, BackendNotice{Backoff: 500 * time.Millisecond})
	}
	must[Refuse](t, f.arrive("1", "/once/x", "secret"))
	w := f.where(WhereQuery{HostName: "h", Path: "/once/x", Account: "acme", TimeLeftMs: 3000})
	assert.Equal(t, w.Answer, WhereRefused)
	assert.Equal(t, must[Refuse](t, f.arrive("2", "/once/x", "secret")).RetryAfter.Milliseconds(), w.RetryAfterMs)
}

// Guards against a process that ends by a question about an adapter whose replicas follow the demand.
func TestWhereRanksTheReplicasOfAnAdapter(t *testing.T) {
	f := newEngineFixture(t, 4)
	f.state.Limits.Adaptive.Places = true
	w := f.where(WhereQuery{HostName: "h", Path: "/gen/x", Account: "acme", Model: "m", Adapter: "a1", PromptTokens: 1000})
	assert.Equal(t, w.Answer, WhereWaitsForAdapter)
	assert.Equal(t, len(w.Candidates), maxCandidates)
}

// Guards against a rate that is not the one which the host decides with.
func TestWhereShowsTheRateOfEachEngine(t *testing.T) {
	f := newEngineFixture(t, 2)
	f.state.Limits.Adaptive.Pace = true
	for i := range 40 {
		f.serve("e0", 6000, 500*time.Millisecond+time.Duration(i), Load{})
	}
	w := f.where(WhereQuery{HostName: "h", Path: "/gen/x", Account: "acme", Model: "m", PromptTokens: 1000})
	for _, c := range w.Candidates {
		assert.Equal(t, c.ServiceRate, f.state.prefillRate(f.now, f.state.Backends[c.Backend]), c.Backend)
	}
}

// Guards against state that a trial on a copy would change in the original, since the copy shares what is behind unexported fields.
func TestCopyOfTheStateSharesNoUnexportedField(t *testing.T) {
	seen := map[reflect.Type]bool{reflect.TypeFor[time.Time](): true}
	var check func(typ reflect.Type, path string)
	check = func(typ reflect.Type, path string) {
		if seen[typ] {
			return
		}
		seen[typ] = true
		switch typ.Kind() {
		case reflect.Pointer, reflect.Slice, reflect.Array:
			check(typ.Elem(), path)
		case reflect.Map:
			check(typ.Elem(), path)
		case reflect.Struct:
			for i := range typ.NumField() {
				field := typ.Field(i)
				name := path + "." + field.Name
				switch kind := field.Type.Kind(); kind {
				case reflect.Pointer, reflect.Slice, reflect.Map, reflect.Struct:
					assert.Check(t, field.IsExported() || kind == reflect.Struct && field.Type.Comparable(), name)
				}
				check(field.Type, name)
			}
		}
	}
	// trialState replaces the unexported fields of the state itself.
	state := reflect.TypeFor[State]()
	for i := range state.NumField() {
		if field := state.Field(i); field.IsExported() {
			check(field.Type, field.Name)
		}
	}
}
