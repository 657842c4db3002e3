package reducer

import (
	"sort"
	"time"

	"github.com/redwingpick/redwingpick/internal/limiter"
	"github.com/redwingpick/redwingpick/internal/selector"
	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

const (
	// overdueAfter is how long past its deadline a forwarded request may stay without a word from its owner.
	overdueAfter = 2 * time.Second
	// stopAfter is how long a host whose failure domain was withdrawn still takes requests from callers.
	stopAfter = 5 * time.Second
	// retryShare is the number of retries that each request adds to the retry budgets.
	retryShare = 0.2
	// retryBurst is the most retries that a budget saves up; it covers what runs on one failing backend server.
	retryBurst = 100
	// quickTries is the number of tries that a redirected request makes without a delay.
	quickTries = 3
	// ownerTries is the number of tries after which another backend server is tried in place of one without an owner.
	ownerTries = 5
)

// arrive admits a request: it authenticates and charges what comes from a caller and queues what a host sent on.
func arrive[P selector.Policy](s *State, now time.Time, e RequestArrived) {
	if _, doubled := s.Requests[e.ID]; doubled {
		return
	}
	s.Counters.RequestsArrived++
	r := newRequest(s, now, e)
	s.Requests[e.ID] = r
	if e.Forwarded {
		admitForwarded[P](s, now, r, e)
		return
	}
	if reason := s.admission(now); reason != ReasonNone {
		refuse(s, r, OutcomeNotRun, reason, time.Second)
		return
	}
	if reason := s.authenticate(r, e); reason != ReasonNone {
		refuse(s, r, OutcomeNotRun, reason, 0)
		return
	}
	s.addRetryBudget("account/"+r.Account, now)
	takeTokens[P](s, now, r)
}

func newRequest(s *State, now time.Time, e RequestArrived) *Request {
	deadline := now.Add(s.Limits.RequestTimeout)
	if !e.Deadline.IsZero() && e.Deadline.Before(deadline) {
		deadline = e.Deadline
	}
	return &Request{
		ID:           e.ID,
		KeyDigest:    e.KeyDigest,
		Service:      e.Service,
		Permit:       e.Permit,
		Forwarded:    e.Forwarded,
		From:         e.From,
		ArrivedAt:    now,
		Deadline:     deadline,
		Attempt:      e.Attempt,
		PromptTokens: e.PromptTokens,
	}
}

// admission returns why this host takes no request from callers now, or ReasonNone.
func (s *State) admission(now time.Time) Reason {
	switch {
	case s.Draining.Active && now.Sub(s.Draining.Since) >= s.Limits.LocateFor:
		return ReasonStopped
	case !s.Ready && !s.Draining.Active:
		return ReasonNotReady
	case s.isolated(now):
		return ReasonIsolated
	case s.Config.withdrawn(s.Self.FailureDomain) && now.Sub(s.WithdrawnAt) >= stopAfter:
		return ReasonStopped
	}
	return ReasonNone
}

// authenticate finds the client account behind the key and checks that it may use the adapter or service.
func (s *State) authenticate(r *Request, e RequestArrived) Reason {
	account, known := s.Config.Keys[e.KeyDigest]
	if e.KeyDigest != "" && !known {
		return ReasonUnauthorized
	}
	r.Account = account
	if e.Service != "" {
		return s.authenticateService(r, e)
	}
	adapter, ok := s.Config.Adapter(e.Model)
	if !ok {
		return ReasonUnknownModel
	}
	if reason := mayUse(account, adapter.Owner, adapter.Open); reason != ReasonNone {
		return reason
	}
	if e.MaxTokens > adapter.MaxTokens {
		return ReasonTooLarge
	}
	r.Open = adapter.Open
	r.Adapter = AdapterKey{Name: adapter.Name, Version: adapter.Version}
	r.Class = int(classNumber(adapter.Class))
	r.Tokens = float64(e.PromptTokens + e.MaxTokens)
	r.Repeatable = true
	return ReasonNone
}

func (s *State) authenticateService(r *Request, e RequestArrived) Reason {
	service, ok := s.Config.Services[e.Service]
	if !ok {
		return ReasonUnknownModel
	}
	if reason := mayUse(r.Account, service.Owner, service.Open); reason != ReasonNone {
		return reason
	}
	r.Open = service.Open
	r.Repeatable = service.Repeatable
	r.Tokens = float64(service.CallTokens)
	return ReasonNone
}

// mayUse checks the account against the owner; a service without an owner is for every account.
func mayUse(account, owner string, open bool) Reason {
	switch {
	case open:
		return ReasonNone
	case account == "":
		return ReasonUnauthorized
	case owner != "" && owner != account:
		return ReasonForbidden
	}
	return ReasonNone
}

// charged goes on with a request whose tokens are paid.
func charged[P selector.Policy](s *State, now time.Time, r *Request) {
	if r.Repeatable || r.Permit == "" {
		place[P](s, now, r)
		return
	}
	askPermit[P](s, now, r)
}

// admitForwarded queues a request that another host has authenticated and charged.
func admitForwarded[P selector.Policy](s *State, now time.Time, r *Request, e RequestArrived) {
	r.Account = e.Account
	r.Adapter = AdapterKey{Name: e.Model, Version: e.Version}
	r.Backend = e.Backend
	r.Tokens = float64(e.PromptTokens + e.MaxTokens)
	r.Repeatable = e.Service == "" || s.Config.Services[e.Service].Repeatable
	if adapter, ok := s.Config.Adapter(e.Model); ok {
		r.Class = int(classNumber(adapter.Class))
	}
	b, ok := s.Config.BackendServers[e.Backend]
	if !ok || !s.holds(s.backendRight(b), now) {
		s.giveBack(r, ReasonNotOwner, s.notOwnerHint(b, now))
		return
	}
	enqueue[P](s, now, r, s.Backends[e.Backend])
}

func (s *State) notOwnerHint(b cataloguer.BackendServer, now time.Time) string {
	seekOrphan(s, now, s.backendRight(b))
	holder := s.holderHint(s.backendRight(b), now)
	if holder == s.Self.HostID {
		return ""
	}
	return holder
}

// giveBack returns a forwarded request, which has not run, to the host that sent it.
func (s *State) giveBack(r *Request, reason Reason, holder string) {
	s.emit(Refuse{ID: r.ID, Outcome: OutcomeNotRun, Reason: reason, Holder: holder, Replicas: s.replicasOf(r)})
	delete(s.Requests, r.ID)
}

// forwardEnded follows the answer of the host that a request was sent on to.
func forwardEnded[P selector.Policy](s *State, now time.Time, e ForwardEnded) {
	r, ok := s.Requests[e.ID]
	if !ok || r.Phase != PhaseForwarded {
		return
	}
	if e.Replicas > 0 && r.Adapter.Name != "" {
		s.setHint(r.Adapter.Name, e.Replicas, now)
	}
	switch {
	case e.Outcome == OutcomeDone:
		finish(s, r, e.Tokens)
	case e.Outcome == OutcomeNotRun:
		s.learnFromRefusal(now, r, e)
		if e.Reason == ReasonConnection {
			e.Reason = ReasonOwnerLost
		}
		retry[P](s, now, r, OutcomeNotRun, e.Reason)
	default:
		if e.Reason == ReasonConnection {
			s.suspect(e.To, now)
			e.Reason = ReasonOwnerLost
		}
		retryUnknown[P](s, now, r, e.Reason, e.Tokens)
	}
}

func (s *State) learnFromRefusal(now time.Time, r *Request, e ForwardEnded) {
	right := s.backendRight(s.Config.BackendServers[r.Backend])
	switch e.Reason {
	case ReasonNotOwner:
		s.forgetHint(right, e.To)
		if e.Holder != "" && e.Holder != e.To {
			s.HolderHints[right] = HolderHint{Holder: e.Holder, Until: now.Add(s.Limits.SuspectFor)}
		}
		if r.Attempt >= ownerTries {
			r.Tried = append(r.Tried, r.Backend)
		}
	case ReasonConnection:
		s.suspect(e.To, now)
		s.forgetHint(right, e.To)
	default:
		r.Tried = append(r.Tried, r.Backend)
	}
}

// retry places a request again that has certainly not run, or refuses it when its tries are used up.
func retry[P selector.Policy](s *State, now time.Time, r *Request, outcome Outcome, reason Reason) {
	r.Attempt++
	spent := costsBudget(reason) && !s.takeRetryBudget(r, now)
	if !retriable(reason) || spent || r.Attempt >= s.Limits.MaxAttempts {
		refuse(s, r, outcome, reason, time.Second)
		return
	}
	s.Counters.Retries++
	if r.Attempt < quickTries && (reason == ReasonSpill || reason == ReasonNotOwner) {
		place[P](s, now, r)
		return
	}
	s.delay(now, r)
}

func (s *State) delay(now time.Time, r *Request) {
	r.Phase = PhaseBackoff
	r.RetryAt = now.Add(s.backoff(min(r.Attempt, 5)))
}

// retryUnknown repeats an idempotent request; the answer of an engine goes on where the caller's part of it ends.
func retryUnknown[P selector.Policy](s *State, now time.Time, r *Request, reason Reason, delivered int) {
	r.MayHaveRun = true
	cut := r.Service != "" && delivered > 0
	if !r.Repeatable || cut || reason == ReasonCancelled || reason == ReasonKeyWithdrawn {
		refuse(s, r, OutcomeUnknown, reason, 0)
		return
	}
	retry[P](s, now, r, OutcomeUnknown, reason)
}

func retriable(reason Reason) bool {
	switch reason {
	case ReasonNotOwner, ReasonOverloaded, ReasonSpill, ReasonBackendFailed, ReasonConnection, ReasonStopped, ReasonNoBackend, ReasonNotLoaded, ReasonOwnerLost:
		return true
	}
	return false
}

func costsBudget(reason Reason) bool {
	return reason == ReasonBackendFailed || reason == ReasonConnection
}

func (s *State) addRetryBudget(key string, now time.Time) {
	s.retryBudget(key, now).Level = min(s.retryBudget(key, now).Level+retryShare, retryBurst)
}

func (s *State) retryBudget(key string, now time.Time) *limiter.Bucket {
	b, ok := s.RetryBudgets[key]
	if !ok {
		b = &limiter.Bucket{Level: retryBurst, Burst: retryBurst, UpdatedAt: now}
		s.RetryBudgets[key] = b
	}
	return b
}

// takeRetryBudget takes one retry from the budgets of the client account and of the backend server.
func (s *State) takeRetryBudget(r *Request, now time.Time) bool {
	account := s.retryBudget("account/"+r.Account, now)
	server := s.retryBudget("backend/"+r.Backend, now)
	if account.Level < 1 || server.Level < 1 {
		return false
	}
	account.Level--
	server.Level--
	return true
}

// finish ends a request that has its whole answer.
func finish(s *State, r *Request, tokens int) {
	s.Counters.RequestsDone++
	s.addRetryBudget("backend/"+r.Backend, r.ArrivedAt)
	used := r.PromptTokens + tokens
	if r.Service != "" {
		used = int(r.Charged)
	}
	refund(s, r, used)
	delete(s.Requests, r.ID)
}

// refuse ends a request with a typed refusal; what has not run is refunded.
func refuse(s *State, r *Request, outcome Outcome, reason Reason, after time.Duration) {
	if r.MayHaveRun {
		outcome = OutcomeUnknown
	}
	s.Counters.RefusedByReason[reason]++
	if reason == ReasonOverRate {
		s.wallet(r.Account).Refused++
	}
	if outcome == OutcomeNotRun {
		s.Counters.RequestsNotRun++
		refund(s, r, 0)
	} else {
		s.Counters.RequestsUnknown++
	}
	s.emit(Refuse{ID: r.ID, Outcome: outcome, Reason: reason, RetryAfter: after, Replicas: s.replicasOf(r)})
	delete(s.Requests, r.ID)
}

// detach takes a request out of the list or queue in which it waits.
func (s *State) detach(r *Request) {
	switch r.Phase {
	case PhaseTokens:
		w := s.wallet(r.Account)
		w.Waiting = without(w.Waiting, r.ID)
	case PhaseWaiting, PhaseQueued:
		if b, ok := s.Backends[r.Backend]; ok {
			b.remove(r)
		}
	}
}

func without(list []string, id string) []string {
	kept := make([]string, 0, len(list))
	for _, l := range list {
		if l != id {
			kept = append(kept, l)
		}
	}
	return kept
}

// abandon ends a request whose caller is gone.
func abandon[P selector.Policy](s *State, now time.Time, e RequestAbandoned) {
	r, ok := s.Requests[e.ID]
	if !ok {
		return
	}
	end[P](s, now, r, ReasonCancelled)
}

// end stops a request in whatever phase it is; one that may have run ends with an unknown outcome.
func end[P selector.Policy](s *State, now time.Time, r *Request, reason Reason) {
	switch r.Phase {
	case PhaseRunning:
		s.emit(Cancel{ID: r.ID, Reason: reason})
	case PhaseForwarded:
		s.emit(Cancel{ID: r.ID, Reason: reason})
	default:
		s.endStall(now, r)
		s.detach(r)
		refuse(s, r, OutcomeNotRun, reason, 0)
		pumpAll[P](s, now)
	}
}

// withdrawKeys ends the requests whose key is no longer in the catalogue; calls that may not be repeated run on.
func withdrawKeys[P selector.Policy](s *State, now time.Time) {
	for _, id := range sortedKeys(s.Requests) {
		r := s.Requests[id]
		if r == nil || r.Forwarded || r.KeyDigest == "" || s.Config.Keys[r.KeyDigest] == r.Account {
			continue
		}
		if !r.Repeatable && (r.Phase == PhaseRunning || r.Phase == PhaseForwarded) {
			continue
		}
		s.Counters.RequestsEndedKeys++
		end[P](s, now, r, ReasonKeyWithdrawn)
	}
}

// expireRequests refuses what is past its deadline and places again what has waited out its delay.
func expireRequests[P selector.Policy](s *State, now time.Time) {
	for _, id := range s.requestIDs() {
		r, ok := s.Requests[id]
		if !ok {
			continue
		}
		switch {
		case r.Phase == PhaseRunning:
		case r.Phase == PhaseForwarded && now.After(r.Deadline.Add(overdueAfter)):
			s.emit(Cancel{ID: r.ID, Reason: ReasonDeadline})
		case r.Phase == PhaseForwarded:
		case now.After(r.Deadline):
			end[P](s, now, r, ReasonDeadline)
		case r.Phase == PhaseBackoff && !now.Before(r.RetryAt):
			place[P](s, now, r)
		case r.Phase == PhasePermit && !now.Before(r.RetryAt):
			repeatPermit(s, now, r)
		}
	}
}

func (s *State) requestIDs() []string {
	ids := make([]string, 0, len(s.Requests))
	for id := range s.Requests {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}
