package reducer

import (
	"time"

	"github.com/redwingpick/redwingpick/internal/limiter"
	"github.com/redwingpick/redwingpick/internal/selector"
)

const (
	// askTimeout is how long a host waits for a keeper's answer before it asks again.
	askTimeout = 400 * time.Millisecond
	// shortBacklog is how long the waiting requests of one host may need at the full rate before more are refused.
	shortBacklog = 2 * time.Second
	// shortWait is how long a request may wait for tokens once the keeper has said that they are short.
	shortWait = 6 * time.Second
	// shortAskEvery is how often a host asks again while the keeper is short.
	shortAskEvery = 250 * time.Millisecond
	// refundEvery is how often unused tokens are returned when nothing else is asked for.
	refundEvery = 200 * time.Millisecond
	// maxTokenWaiting is the number of requests of one client account that may wait for tokens on one host.
	maxTokenWaiting = 256
)

// wallet returns the tokens that this host may charge for a client account.
func (s *State) wallet(account string) *Wallet {
	w, ok := s.Wallets[account]
	if !ok {
		w = &Wallet{}
		s.Wallets[account] = w
	}
	return w
}

// charge takes the tokens of a request out of the lots, the oldest lot first.
func (w *Wallet) charge(now time.Time, tokens float64) bool {
	w.expire(now)
	if w.held() < tokens {
		return false
	}
	for tokens > 0 && len(w.Lots) > 0 {
		lot := &w.Lots[0]
		part := min(lot.Tokens, tokens)
		lot.Tokens -= part
		tokens -= part
		if lot.Tokens <= 0 {
			w.Lots = w.Lots[1:]
		}
	}
	return true
}

func (w *Wallet) expire(now time.Time) {
	kept := w.Lots[:0]
	for _, l := range w.Lots {
		if now.Before(l.NotAfter) {
			kept = append(kept, l)
		}
	}
	w.Lots = kept
}

func (w *Wallet) held() float64 {
	total := 0.0
	for _, l := range w.Lots {
		total += l.Tokens
	}
	return total
}

// takeTokens charges a request, or lets it wait for a grant.
func takeTokens[P selector.Policy](s *State, now time.Time, r *Request) {
	if r.Tokens == 0 || r.Open && r.Account == "" {
		charged[P](s, now, r)
		return
	}
	account, ok := s.Config.Accounts[r.Account]
	if !ok {
		refuse(s, r, OutcomeNotRun, ReasonUnauthorized, 0)
		return
	}
	if r.Tokens > s.regionShare(account.Burst) {
		refuse(s, r, OutcomeNotRun, ReasonTooLarge, 0)
		return
	}
	var policy P
	if policy.StaticShares() {
		takeStatic[P](s, now, r)
		return
	}
	w := s.wallet(r.Account)
	if len(w.Waiting) == 0 && w.charge(now, r.Tokens) {
		spend(s, now, r)
		charged[P](s, now, r)
		return
	}
	if backlog := s.backlog(w, r, account.Rate); len(w.Waiting) >= maxTokenWaiting || !w.ShortSince.IsZero() && backlog > shortBacklog {
		refuse(s, r, OutcomeNotRun, ReasonOverRate, backlog)
		return
	}
	r.Phase = PhaseTokens
	w.Waiting = append(w.Waiting, r.ID)
	askKeeper[P](s, now, r.Account, w)
}

func spend(s *State, now time.Time, r *Request) {
	r.Charged = r.Tokens
	r.ChargedAt = now
	s.Counters.TokensCharged += r.Tokens
	s.wallet(r.Account).Spent += r.Tokens
}

// takeStatic charges a fixed part of the rate, as the baseline does.
func takeStatic[P selector.Policy](s *State, now time.Time, r *Request) {
	w := s.wallet(r.Account)
	account := s.Config.Accounts[r.Account]
	hosts := float64(max(len(s.Config.Hosts), 1))
	w.Static.Rate = account.Rate / hosts
	w.Static.Burst = account.Burst / hosts
	if w.Static.Take(now, r.Tokens) < r.Tokens {
		refuse(s, r, OutcomeNotRun, ReasonOverRate, time.Second)
		return
	}
	w.Static.Settle(now, r.Tokens)
	spend(s, now, r)
	charged[P](s, now, r)
}

// refund notes the tokens that a request did not use, for the next message to the keeper.
func refund(s *State, r *Request, used int) {
	s.Counters.TokensUsed += float64(used)
	unused := r.Charged - float64(used)
	if r.Charged == 0 || unused <= 0 {
		return
	}
	r.Charged = 0
	s.Counters.TokensRefunded += unused
	w := s.wallet(r.Account)
	w.Spent -= unused
	w.Refunds = append(w.Refunds, PendingRefund{Tokens: unused, ChargedAt: r.ChargedAt})
}

// askKeeper asks the keeper for what the waiting requests need and reports what is held and unused.
func askKeeper[P selector.Policy](s *State, now time.Time, account string, w *Wallet) {
	if !w.AskedAt.IsZero() && now.Sub(w.AskedAt) < askTimeout || now.Before(w.RetryAt) {
		return
	}
	s.countTimeout(now, account, w)
	right := accountRight(account, s.Self.Region)
	keeper := s.holderHint(right, now)
	if keeper == "" {
		return
	}
	w.expire(now)
	w.Sequence++
	w.AskedAt = now
	w.Keeper = keeper
	s.Counters.GrantsAsked++
	request := s.grantRequest(now, account, w)
	w.Refunds = nil
	if keeper != s.Self.HostID {
		s.send(keeper, request)
		return
	}
	reply := s.grant(now, s.Self.HostID, s.Self.Incarnation, request)
	receiveGrant[P](s, now, s.Self.HostID, reply)
}

// countTimeout looks for another keeper when the present one has not answered more than once.
func (s *State) countTimeout(now time.Time, account string, w *Wallet) {
	if w.AskedAt.IsZero() {
		return
	}
	w.Timeouts++
	if w.Timeouts > 1 {
		w.Timeouts = 0
		s.suspect(w.Keeper, now)
		s.forgetHint(accountRight(account, s.Self.Region), w.Keeper)
	}
}

func (s *State) grantRequest(now time.Time, account string, w *Wallet) GrantRequest {
	request := GrantRequest{
		Account:      account,
		Sequence:     w.Sequence,
		Acknowledged: w.Acknowledged,
		Held:         w.held(),
		SentAt:       s.age(now),
	}
	for i, id := range w.Waiting {
		tokens := s.Requests[id].Tokens
		if i == 0 {
			request.Minimum = max(tokens-request.Held, 0)
		}
		request.Wanted += tokens
	}
	request.Wanted = max(request.Wanted-request.Held, 0)
	for _, p := range w.Refunds {
		request.Refunds = append(request.Refunds, Refund{Tokens: p.Tokens, Age: now.Sub(p.ChargedAt)})
	}
	return request
}

// receiveGrant puts granted tokens into the wallet and charges the requests that waited for them.
func receiveGrant[P selector.Policy](s *State, now time.Time, from string, m GrantReply) {
	w := s.wallet(m.Account)
	if m.Sequence != w.Sequence || w.AskedAt.IsZero() {
		return
	}
	w.AskedAt = time.Time{}
	w.Timeouts = 0
	right := accountRight(m.Account, s.Self.Region)
	if m.NotKeeper {
		s.forgetHint(right, from)
		w.RetryAt = now.Add(s.jitter(2 * s.Limits.BackoffFirst))
		return
	}
	w.Acknowledged = m.Sequence
	notAfter := s.Self.StartedAt.Add(m.SentAt).Add(s.Limits.GrantTime)
	if m.Tokens > 0 && now.Before(notAfter) {
		w.Lots = append(w.Lots, Lot{Tokens: m.Tokens, NotAfter: notAfter})
	}
	chargeWaiting[P](s, now, w)
	if len(w.Waiting) == 0 {
		w.ShortSince = time.Time{}
		return
	}
	w.RetryAt = now.Add(max(min(m.Wait, shortAskEvery), s.Limits.BackoffFirst))
	if m.Settling {
		return
	}
	if w.ShortSince.IsZero() {
		w.ShortSince = now
	}
	refuseShort(s, now, w, m.Wait)
}

// backlog returns how long the waiting requests and one more need at the full rate of the region.
func (s *State) backlog(w *Wallet, r *Request, rate float64) time.Duration {
	tokens := r.Tokens
	for _, id := range w.Waiting {
		tokens += s.Requests[id].Tokens
	}
	return time.Duration(tokens / s.regionShare(rate) * float64(time.Second))
}

func chargeWaiting[P selector.Policy](s *State, now time.Time, w *Wallet) {
	for len(w.Waiting) > 0 {
		r := s.Requests[w.Waiting[0]]
		if !w.charge(now, r.Tokens) {
			return
		}
		w.Waiting = w.Waiting[1:]
		spend(s, now, r)
		charged[P](s, now, r)
	}
}

// refuseShort refuses the requests that waited too long while the keeper was short of tokens.
func refuseShort(s *State, now time.Time, w *Wallet, wait time.Duration) {
	var kept []string
	for _, id := range w.Waiting {
		r := s.Requests[id]
		if now.Sub(r.ArrivedAt) < shortWait || now.Sub(w.ShortSince) < shortBacklog {
			kept = append(kept, id)
			continue
		}
		refuse(s, r, OutcomeNotRun, ReasonOverRate, max(wait, time.Second))
	}
	w.Waiting = kept
}

// tickWallets asks again for waiting requests and returns unused tokens.
func tickWallets[P selector.Policy](s *State, now time.Time) {
	for _, account := range sortedKeys(s.Wallets) {
		w := s.Wallets[account]
		refunds := len(w.Refunds) > 0 && now.Sub(w.RefundedAt) >= refundEvery
		if len(w.Waiting) > 0 || refunds {
			w.RefundedAt = now
			askKeeper[P](s, now, account, w)
		}
	}
	expireGrants(s, now)
}

// regionShare returns this region's part of a fleet-wide amount.
func (s *State) regionShare(amount float64) float64 {
	return amount / float64(max(len(s.Config.Tables.Regions), 1))
}

// acquireAccount starts a keeper with an empty bucket, or with the one that the former keeper handed over.
func acquireAccount(s *State, now time.Time, r Right, h *Holding) {
	account := s.Config.Accounts[r.Name]
	bucket := limiter.Bucket{Rate: s.regionShare(account.Rate), Burst: s.regionShare(account.Burst), UpdatedAt: now}
	outstanding := bucket.Burst
	if h.Handover != nil && h.Handover.Account != nil && now.Sub(h.HandoverAt) < s.Limits.GrantTime {
		outstanding = h.Handover.Account.Outstanding
		bucket.Level = max(min(h.Handover.Account.Level, bucket.Burst-outstanding), 0)
	}
	bucket.Outstanding = outstanding
	until := now.Add(drifted(s.Limits.GrantTime, s.Limits.ClockDrift) + s.Limits.LeaseMargin)
	former := &Grantee{Grants: []Grant{{Sequence: lostSequence, Tokens: outstanding, Until: until}}}
	h.Account = &Keeper{Bucket: bucket, Grants: map[string]*Grantee{"": former}}
}

func accountHandover(now time.Time, h *Holding) *AccountHandover {
	h.Account.Bucket.Refill(now)
	return &AccountHandover{Level: h.Account.Bucket.Level, Outstanding: h.Account.Bucket.Outstanding}
}
