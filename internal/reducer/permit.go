package reducer

import (
	"strconv"
	"strings"
	"time"

	"github.com/redwingpick/redwingpick/internal/selector"
)

const (
	permitAskEvery = 250 * time.Millisecond
	permitAskFor   = 3 * time.Second
	permitSweep    = 1024
)

// issuePermit gives a caller the permit for one request that may not be repeated.
func issuePermit(s *State, now time.Time, e PermitAsked) {
	if !s.Ready {
		s.emit(PermitIssued{ReplyID: e.ReplyID, Refused: true})
		return
	}
	s.emit(PermitIssued{ReplyID: e.ReplyID, Permit: s.newPermit(now)})
}

// newPermit returns host.incarnation.number; only this incarnation of this host can consume it.
func (s *State) newPermit(now time.Time) string {
	s.Permits.Next++
	s.Counters.PermitsIssued++
	parts := []string{s.Self.HostID, strconv.FormatUint(s.Self.Incarnation, 36), strconv.FormatUint(s.Permits.Next, 36)}
	permit := strings.Join(parts, ".")
	s.Permits.Issued[permit] = &Permit{ExpiresAt: now.Add(s.Limits.PermitFor)}
	return permit
}

// permitHost returns the host that issued a permit, or "" if the permit is malformed.
func permitHost(permit string) string {
	parts := strings.Split(permit, ".")
	if len(parts) < 3 {
		return ""
	}
	return strings.Join(parts[:len(parts)-2], ".")
}

// askPermit consumes the permit of a request at the host that issued it before the request goes anywhere.
func askPermit[P selector.Policy](s *State, now time.Time, r *Request) {
	host := permitHost(r.Permit)
	if _, ok := s.Config.Hosts[host]; !ok {
		refuse(s, r, OutcomeUnknown, ReasonPermitUnknown, 0)
		return
	}
	r.Phase = PhasePermit
	r.PermitAskedAt = now
	if host == s.Self.HostID {
		permitAnswered[P](s, now, s.consume(now, PermitConsume{Permit: r.Permit, RequestID: r.ID}))
		return
	}
	sendPermit(s, now, r)
}

func sendPermit(s *State, now time.Time, r *Request) {
	r.RetryAt = now.Add(permitAskEvery)
	s.send(permitHost(r.Permit), PermitConsume{Permit: r.Permit, RequestID: r.ID})
}

// repeatPermit asks the issuer again, and gives up with an unknown outcome when it does not answer.
func repeatPermit(s *State, now time.Time, r *Request) {
	if now.Sub(r.PermitAskedAt) < permitAskFor {
		sendPermit(s, now, r)
		return
	}
	refuse(s, r, OutcomeUnknown, ReasonPermitUnknown, 0)
}

// consumePermit answers a host that wants to run a request under one of this host's permits.
func consumePermit(s *State, now time.Time, from string, m PermitConsume) {
	s.send(from, s.consume(now, m))
}

func (s *State) consume(now time.Time, m PermitConsume) PermitAnswer {
	answer := PermitAnswer{Permit: m.Permit, RequestID: m.RequestID}
	p, ok := s.Permits.Issued[m.Permit]
	if !ok || now.After(p.ExpiresAt) {
		return answer
	}
	answer.Known = true
	if p.ConsumedBy == "" {
		p.ConsumedBy = m.RequestID
		s.Counters.PermitsConsumed++
	}
	answer.Consumed = p.ConsumedBy == m.RequestID
	return answer
}

// permitAnswered runs the request if the permit was consumed for it, and else says that the outcome is unknown.
func permitAnswered[P selector.Policy](s *State, now time.Time, m PermitAnswer) {
	r, ok := s.Requests[m.RequestID]
	if !ok || r.Phase != PhasePermit || r.Permit != m.Permit {
		return
	}
	switch {
	case m.Consumed:
		place[P](s, now, r)
	case m.Known:
		refuse(s, r, OutcomeUnknown, ReasonPermitSpent, 0)
	default:
		refuse(s, r, OutcomeUnknown, ReasonPermitUnknown, 0)
	}
}

// tickPermits forgets expired permits now and then.
func tickPermits(s *State, now time.Time) {
	if s.Counters.Ticks%permitSweep != 0 {
		return
	}
	for id, p := range s.Permits.Issued {
		if now.After(p.ExpiresAt) {
			delete(s.Permits.Issued, id)
		}
	}
}
