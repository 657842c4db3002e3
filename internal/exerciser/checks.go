package exerciser

import (
	"fmt"
	"sort"
	"time"

	"github.com/redwingpick/redwingpick/internal/asserter"
	"github.com/redwingpick/redwingpick/internal/reducer"
	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

const (
	// drainBound is how long after its publication a withdrawal may still bring new work to a backend server.
	drainBound = 8 * time.Second
	// keyBound is how long after its publication a withdrawn key may still start work.
	keyBound = 8 * time.Second
	// tokenTolerance is the rounding error of a bucket in tokens.
	tokenTolerance = 1e-3
	// maxViolations is the number of broken rules that a run keeps.
	maxViolations = 20
)

// Checks holds what must always hold over the whole fleet.
type Checks struct {
	Violations []string

	charges map[string][]charge
	open    map[string]*charge
	// closed holds the requests whose charge has been settled, which their host may still name for a moment.
	closed    map[string]bool
	withdrawn map[string]time.Time
	domains   map[string]time.Time
	keys      map[string]time.Time
	live      map[string]bool
	rates     map[string]cataloguer.ClientAccount
	permits   map[string]int
}

// charge is the tokens that one request was admitted for, and those it used in the end.
type charge struct {
	account string
	at      time.Time
	tokens  float64
	used    float64
}

func (c *Checks) setUp() {
	c.charges = map[string][]charge{}
	c.open = map[string]*charge{}
	c.closed = map[string]bool{}
	c.withdrawn = map[string]time.Time{}
	c.domains = map[string]time.Time{}
	c.keys = map[string]time.Time{}
	c.live = map[string]bool{}
	c.rates = map[string]cataloguer.ClientAccount{}
	c.permits = map[string]int{}
}

func (c *Checks) broken(at, rule, detail string) {
	if len(c.Violations) < maxViolations {
		c.Violations = append(c.Violations, fmt.Sprintf("%s %s: %s", at, rule, detail))
	}
}

// published follows what operators publish, since the bounds count from then.
func (c *Checks) published(now time.Time, shard cataloguer.Shard) {
	for _, d := range shard.FailureDomains {
		noteState(c.domains, d.Name, d.State, now)
	}
	for _, b := range shard.BackendServers {
		noteState(c.withdrawn, b.ID, b.State, now)
	}
	if len(shard.ClientAccounts) == 0 {
		return
	}
	present := map[string]bool{}
	for _, a := range shard.ClientAccounts {
		c.rates[a.ID] = a
		for _, k := range a.Keys {
			present[k.Digest] = true
			c.live[k.Digest] = true
			delete(c.keys, k.Digest)
		}
	}
	for digest := range c.live {
		if _, gone := c.keys[digest]; !present[digest] && !gone {
			c.keys[digest] = now
		}
	}
}

func noteState(since map[string]time.Time, name, state string, now time.Time) {
	if state == "" || state == cataloguer.StateInService {
		delete(since, name)
		return
	}
	if _, known := since[name]; !known {
		since[name] = now
	}
}

// check runs after each event of a host.
func (w *World[P]) check(h *Host, now time.Time, event reducer.Event, effects []reducer.Effect) {
	if !w.Options.Sparse {
		for _, v := range asserter.Check(h.State, now, effects) {
			w.Checks.broken(w.at(), v.Rule, h.ID+": "+v.Detail)
		}
		w.checkRevisions(h)
	}
	if h.State.Counters.LeasesTaken != h.taken {
		h.taken = h.State.Counters.LeasesTaken
		w.checkHolders(h, now)
	}
	w.noteCharges(h, event)
}

// checkRevisions asserts that no shard in force ever falls back.
func (w *World[P]) checkRevisions(h *Host) {
	for name, shard := range h.State.Config.Shards {
		if shard.Revision < h.revision[name] {
			w.Checks.broken(w.at(), "configuration_never_reverts", fmt.Sprintf("%s %s %d after %d", h.ID, name, shard.Revision, h.revision[name]))
		}
		h.revision[name] = shard.Revision
	}
}

// checkHolders asserts that no two hosts hold one right at the same time.
func (w *World[P]) checkHolders(h *Host, now time.Time) {
	for right, holding := range h.State.Leases.Holdings {
		if holding.HeldSince.IsZero() || !now.Before(holding.ValidUntil) {
			continue
		}
		for _, other := range w.Hosts {
			if other == h || !other.Up {
				continue
			}
			theirs, ok := other.State.Leases.Holdings[right]
			if ok && !theirs.HeldSince.IsZero() && w.localTime(other).Before(theirs.ValidUntil) {
				w.Checks.broken(w.at(), "one_holder", fmt.Sprintf("%v by %s and %s", right, h.ID, other.ID))
			}
		}
	}
}

// checkStart asserts what must hold when an engine starts a sequence.
func (w *World[P]) checkStart(engine *Engine, e reducer.Dispatch, t *tracked) {
	w.checkInService(e.Backend)
	w.checkOwnAccount(e, t)
	m := engine.Model
	cold := w.Now.Before(m.ColdUntil)
	if cold && len(m.Sequences) > m.Spec.ColdRunning && w.Now.After(engine.CanKnow) {
		w.Checks.broken(w.at(), "cold_bound", fmt.Sprintf("%s runs %d of %d, cold since %v, by %s", engine.ID, len(m.Sequences), m.Spec.ColdRunning, engine.ColdSince.Sub(Start), t.runnerID(e)))
	}
	if e.Adapter.Name != t.call.Model {
		w.Checks.broken(w.at(), "own_adapter", fmt.Sprintf("%s asked for %s and ran on %s", t.id, t.call.Model, e.Adapter.Name))
	}
}

func (w *World[P]) checkOwnAccount(e reducer.Dispatch, t *tracked) {
	if e.Account != t.call.Account {
		w.Checks.broken(w.at(), "own_account", fmt.Sprintf("%s of %s ran for %s", t.id, t.call.Account, e.Account))
	}
	w.checkKey(t, "started")
}

// checkKey asserts that nothing runs for a key long after it was withdrawn.
func (w *World[P]) checkKey(t *tracked, what string) {
	since, gone := w.Checks.keys[t.call.KeyDigest]
	if gone && w.Now.Sub(since) > keyBound && w.platformReaches() {
		w.Checks.broken(w.at(), "withdrawn_key", fmt.Sprintf("%s %s %v after", t.id, what, w.Now.Sub(since)))
	}
}

// platformReaches reports whether operators' changes have been able to reach all hosts for the length of the bounds.
func (w *World[P]) platformReaches() bool {
	clear := !w.Platform.Down && !w.Platform.Stale && len(w.cuts) == 0
	return clear && w.Now.Sub(w.troubledAt) > keyBound
}

func (w *World[P]) checkInService(backend string) {
	server := w.servers[backend]
	for _, since := range []map[string]time.Time{w.Checks.withdrawn, w.Checks.domains} {
		for _, name := range []string{backend, server.FailureDomain} {
			at, out := since[name]
			if out && w.Now.Sub(at) > drainBound && w.platformReaches() {
				w.Checks.broken(w.at(), "withdrawn_gets_no_work", fmt.Sprintf("%s %v after", backend, w.Now.Sub(at)))
			}
		}
	}
}

// checkCall asserts that a call that may not be repeated runs at most once.
func (w *World[P]) checkCall(e reducer.Dispatch, t *tracked) {
	w.checkInService(e.Backend)
	key := t.call.Permit
	if key == "" {
		key = t.call.ID
	}
	w.Checks.permits[key]++
	if !e.Repeatable && w.Checks.permits[key] > 1 {
		w.Checks.broken(w.at(), "at_most_once", fmt.Sprintf("%s ran %d times", key, w.Checks.permits[key]))
	}
}

// checkRefusal asserts that a refusal that says not run is true.
func (w *World[P]) checkRefusal(t *tracked, e reducer.Refuse) {
	if e.Outcome == reducer.OutcomeNotRun && t.runs > 0 {
		w.Checks.broken(w.at(), "not_run_is_true", fmt.Sprintf("%s ran %d times and was refused for %s", t.id, t.runs, e.Reason))
	}
}

// noteCharges remembers the tokens that the event made the host charge.
func (w *World[P]) noteCharges(h *Host, event reducer.Event) {
	switch event.(type) {
	case reducer.Tick, reducer.PeerReceived, reducer.RequestArrived:
	default:
		return
	}
	for id, r := range h.State.Requests {
		if r.Charged == 0 || r.Forwarded || w.Checks.open[id] != nil || w.Checks.closed[id] {
			continue
		}
		w.Checks.open[id] = &charge{account: r.Account, at: w.Now, tokens: r.Charged}
	}
}

// settle turns the charge of a request into what it used: all of it unless the outcome is known.
func (w *World[P]) settle(t *tracked, outcome reducer.Outcome) {
	w.Checks.closed[t.id] = true
	open, ok := w.Checks.open[t.id]
	if !ok {
		return
	}
	delete(w.Checks.open, t.id)
	open.used = open.tokens
	switch outcome {
	case reducer.OutcomeDone:
		open.used = w.chargeOf(t, open.tokens)
	case reducer.OutcomeNotRun:
		open.used = 0
	}
	w.Checks.charges[open.account] = append(w.Checks.charges[open.account], *open)
}

func (w *World[P]) chargeOf(t *tracked, tokens float64) float64 {
	if t.call.Service != "" {
		return tokens
	}
	return float64(t.promptTokens + t.delivered)
}

// Finish checks what can only be checked at the end of a run, and returns all that was broken.
func (w *World[P]) Finish() []string {
	for _, open := range w.Checks.open {
		open.used = open.tokens
		w.Checks.charges[open.account] = append(w.Checks.charges[open.account], *open)
	}
	for account, list := range w.Checks.charges {
		w.checkRate(account, list)
	}
	for _, c := range w.Callers.Calls {
		w.checkEnd(c)
	}
	sort.Strings(w.Checks.Violations)
	return w.Checks.Violations
}

// checkRate replays the charges of one account through one exact bucket for the whole fleet.
func (w *World[P]) checkRate(account string, list []charge) {
	limits, ok := w.Checks.rates[account]
	if !ok {
		return
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].at.Before(list[j].at) })
	level := limits.Burst
	last := Start
	for i, c := range list {
		level = min(level+c.at.Sub(last).Seconds()*limits.Rate*(1+w.Options.Drift), limits.Burst)
		last = c.at
		level -= c.used
		if level < -tokenTolerance {
			w.Checks.broken(c.at.Sub(Start).String(), "rate_and_burst", fmt.Sprintf("%s is %.1f tokens over at charge %d of %d", account, -level, i, len(list)))
			return
		}
	}
}

// checkEnd asserts that each call has one end and that a whole answer has all its tokens.
func (w *World[P]) checkEnd(c *Call) {
	overdue := c.Timeout > 0 && w.Now.Sub(c.SentAt) > c.Timeout+10*time.Second
	if !c.Ended() && overdue {
		w.Checks.broken(w.at(), "every_request_ends", c.ID+" has no end")
	}
	if c.Outcome == reducer.OutcomeDone && c.Service == "" && c.Ended() && c.Tokens != c.MaxTokens {
		w.Checks.broken(w.at(), "whole_answer", fmt.Sprintf("%s has %d of %d tokens", c.ID, c.Tokens, c.MaxTokens))
	}
}
