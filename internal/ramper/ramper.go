package ramper

import (
	"math"
	"time"
)

// Reason is why the slow start of a backend server began.
type Reason uint8

// Reasons for a slow start.
const (
	// ReasonNone means that the server is not in slow start.
	ReasonNone Reason = iota
	// ReasonStarted means that a new incarnation of the server was published.
	ReasonStarted
	// ReasonReturned means that the server gets requests again after it was removed, drained or withdrawn.
	ReasonReturned
	// ReasonPaused means that the server had asked for a pause.
	ReasonPaused
	// ReasonEjected means that exchanges with the server failed.
	ReasonEjected
	// ReasonSilent means that the server answered nothing for longer than requests wait for it.
	ReasonSilent
	// ReasonReported means that the lease holder reported a limit for the server.
	ReasonReported
)

var reasonNames = [...]string{"", "started", "returned", "paused", "ejected", "silent", "reported"}

// String returns the name of the reason in logs and the status.
func (r Reason) String() string { return reasonNames[r] }

// Bounds of the limit and how it changes.
const (
	// initialLimit is the limit at the start; a server with few slots starts with half of them. failedLimit is the limit after failures.
	initialLimit = 4
	failedLimit  = 1
	// doublingTime is the time in which the limit doubles without answers, so that a wrong belief about a server ends by itself.
	doublingTime = 2 * time.Second
	// settleTime is the time without a bad answer after which the limit is no longer needed. A server that has just started is slow for
	// some seconds.
	settleTime = 3 * time.Second
	// longestTime is the time after the last failure in which any slow start ends: a server that is slow for longer is not starting.
	longestTime = 20 * time.Second
	// initialRoundTrip is the expected time to an answer before one was measured. The others bound it: hosts take their turns in that time,
	// and a server must get a request every few hundred milliseconds.
	initialRoundTrip = 50 * time.Millisecond
	minRoundTrip     = 5 * time.Millisecond
	maxRoundTrip     = 300 * time.Millisecond
	// roundTripWeight is the weight of a new sample of the round trip.
	roundTripWeight = 0.25
)

// Ramp is the slow start of one backend server: a limit of the requests of all hosts that wait for their first response there.
type Ramp struct {
	// Reason is why the slow start began; ReasonNone if there is none.
	Reason Reason
	// BeganAt is when the slow start began, or will begin.
	BeganAt time.Time
	// Slots is the limit at which the slow start ends.
	Slots float64
	// Phase is this host's place in the first round of turns, from 0 to 1.
	Phase float64
	// Level is the limit at LevelAt.
	Level   float64
	LevelAt time.Time
	// CutAt is when the limit was last lowered, or BeganAt. Good counts the answers in time since then.
	CutAt time.Time
	Good  int
	// FailedAt is when an exchange last failed; zero if none has.
	FailedAt time.Time
	// RoundTrip is the mean time to the first response.
	RoundTrip time.Duration
	// SentAt is when this host last sent a request; zero before.
	SentAt time.Time
}

// Active reports whether the server is in slow start.
func (r *Ramp) Active() bool { return r.Reason != ReasonNone }

// Begin begins a slow start at the given time, which may be in the future; slots is the number of requests that the server runs at once.
func (r *Ramp) Begin(at time.Time, reason Reason, slots int, phase float64) {
	size := float64(max(slots, 1))
	*r = Ramp{
		Reason: reason, BeganAt: at, Slots: size, Phase: phase, Level: min(initialLimit, max(size/2, 1)), LevelAt: at, CutAt: at,
		RoundTrip: initialRoundTrip,
	}
	if reason == ReasonEjected || reason == ReasonSilent {
		r.Level = failedLimit
	}
}

// End ends the slow start.
func (r *Ramp) End() { *r = Ramp{} }

// Limit returns the number of requests that all hosts together may have waiting for their first response; 0 if there is no limit.
func (r *Ramp) Limit(now time.Time) float64 {
	if !r.Active() {
		return 0
	}
	grown := math.Exp2(max(now.Sub(r.LevelAt), 0).Seconds() / doublingTime.Seconds())
	return min(r.Level*grown, r.Slots)
}

// Share returns the part of the limit for each of the hosts that send to the server.
func (r *Ramp) Share(now time.Time, senders int) float64 {
	return r.Limit(now) / float64(max(senders, 1))
}

// Answered records an answer to a request that was sent at the given time. It stands for weight answers: a host that knows of no others'
// answers counts its own for those of all senders. The limit at most doubles with one answer.
func (r *Ramp) Answered(now, sentAt time.Time, inTime bool, weight int) {
	if !r.Active() || sentAt.Before(r.BeganAt) {
		return
	}
	if !inTime {
		r.cut(now, sentAt)
		return
	}
	r.Good++
	limit := r.Limit(now)
	r.set(now, limit+min(float64(weight), max(limit, initialLimit)))
}

// Measured records the time that the first response to a request took.
func (r *Ramp) Measured(took time.Duration) {
	r.RoundTrip += time.Duration(roundTripWeight * float64(took-r.RoundTrip))
	r.RoundTrip = min(max(r.RoundTrip, minRoundTrip), maxRoundTrip)
}

// Refused records that the server refused a request that was sent at the given time.
func (r *Ramp) Refused(now, sentAt time.Time) {
	if r.Active() && !sentAt.Before(r.BeganAt) {
		r.cut(now, sentAt)
	}
}

// Failed records that an exchange failed that began at the given time.
func (r *Ramp) Failed(now, sentAt time.Time) {
	if r.Active() && !sentAt.Before(r.BeganAt) {
		r.lower(now, failedLimit)
		r.FailedAt = now
	}
}

// Adopt sets the limit that the lease holder has found.
func (r *Ramp) Adopt(now time.Time, limit float64) {
	if r.Active() && limit > 0 {
		r.set(now, limit)
	}
}

// cut halves the limit, once for all requests that were sent before: they show the same overload.
func (r *Ramp) cut(now, sentAt time.Time) {
	if !sentAt.Before(r.CutAt) {
		r.lower(now, r.Limit(now)/2)
	}
}

func (r *Ramp) lower(now time.Time, limit float64) {
	r.set(now, limit)
	r.CutAt, r.Good = now, 0
}

func (r *Ramp) set(now time.Time, limit float64) {
	r.Level, r.LevelAt = min(max(limit, failedLimit), r.Slots), now
	if now.Before(r.BeganAt) {
		r.LevelAt = r.BeganAt
	}
}

// Done reports whether the limit is no longer needed: it has reached the server's slots, the server has answered without a bad answer for some
// seconds, or the slow start has taken too long to be one.
func (r *Ramp) Done(now time.Time) bool {
	if !r.Active() || now.Before(r.BeganAt) {
		return false
	}
	if r.Limit(now) >= r.Slots || r.Good > 0 && now.Sub(r.CutAt) >= settleTime {
		return true
	}
	return now.Sub(r.BeganAt) >= longestTime && now.Sub(r.FailedAt) >= longestTime
}

// Allows reports whether this host, one of the given number of senders, may send one more request while some of its own wait for their first
// response.
func (r *Ramp) Allows(now time.Time, senders, outstanding int) bool {
	return r.OpensIn(now, senders, outstanding) <= 0
}

// OpensIn returns the expected time until this host may send one more request.
//
// With a share of one and more, that is the number of requests that it may have waiting. With a smaller share hosts take turns: each sends
// one request in the time that all of them need for one each. A turn that is not used stays until it is.
func (r *Ramp) OpensIn(now time.Time, senders, outstanding int) time.Duration {
	if !r.Active() {
		return 0
	}
	share := r.Share(now, senders)
	if share >= 1 {
		if outstanding+1 <= int(share) {
			return 0
		}
		return time.Duration(float64(r.RoundTrip) / share)
	}
	if outstanding > 0 {
		return r.RoundTrip
	}
	round := time.Duration(float64(r.RoundTrip) / share)
	if r.SentAt.IsZero() {
		return r.BeganAt.Add(time.Duration(r.Phase * float64(round))).Sub(now)
	}
	return r.SentAt.Add(round).Sub(now)
}

// Sent records that this host has sent a request.
func (r *Ramp) Sent(now time.Time) { r.SentAt = now }
