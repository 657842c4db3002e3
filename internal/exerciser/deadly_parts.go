package exerciser

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/redwingpick/redwingpick/internal/hasher"
	"github.com/redwingpick/redwingpick/internal/reducer"
)

// DeadlyPart is a part of prompts that crashes each engine that begins to answer a request with it.
type DeadlyPart struct {
	// Share is the probability that a generation has the part; the others are sound.
	Share float64
	// Turns is the number of further parts that prompts share, as the turns of a long conversation.
	Turns int
	// Position is the index of the part in the prompt, from 0; the last part of a prompt belongs to the request itself. With deadlyAdapter, the
	// adapter of the request crashes engines instead, and with deadlyRequest a request that its caller sends again and again. With deadlyPlain such a
	// request crashes servers of the unary service as they begin to run it.
	Position int
	// CrashTimes holds when the part crashed an engine.
	CrashTimes []time.Time
	// LateArrivals counts the requests with the part that hosts without faults sent to engines after they had to know the part.
	LateArrivals int
	// Before and After count the sound requests with the same first part before the first crash, and after hosts had to know the part.
	Before, After SoundRequests

	rng *rand.Rand
}

// SoundRequests counts sound requests and those of them whose answer began.
type SoundRequests struct {
	Sent  int
	Begun int
}

// answer is an answer in progress at a backend server.
type answer struct {
	aborted bool
	// abort breaks the answer off.
	abort func()
	// attempt is the attempt of the request that it answers, begun whether its first event has been sent, and stalledUntil when it goes on.
	attempt      int
	begun        bool
	stalledUntil time.Time
	// reportStall tells the host that the answer makes no progress, after the time limit of the attempt.
	reportStall func()
	// end ends the attempt, as its host asked.
	end func()
}

// deadlyAdapter is the position for an adapter that crashes engines, deadlyRequest that for a request which alone has its last part, and deadlyPlain
// that for a request to the unary service.
const (
	deadlyAdapter = -1
	deadlyRequest = -2
	deadlyPlain   = -3
)

const (
	deadlyPartName = "deadly"
	// commonParts and customerParts are the numbers of first and of second parts that prompts share.
	commonParts   = 3
	customerParts = 31
	// crashDelay is the time from the start of a deadly answer to the crash of its engine, which is back after crashedDuration.
	crashDelay      = 20 * time.Millisecond
	crashedDuration = 3200 * time.Millisecond
	// deadlyCrashes is the crash from which hosts have the time HostTimeout to learn the part, repeatedCrashes the same for a request that is sent
	// again, and maxLateArrivals the number of requests with the part that may reach engines later.
	deadlyCrashes   = 5
	repeatedCrashes = 3
	maxLateArrivals = 3
)

// crashLimit returns the number of crashes after which hosts have to know the cause.
func (d *DeadlyPart) crashLimit() int {
	if d.Position == deadlyRequest || d.Position == deadlyPlain {
		return repeatedCrashes
	}
	return deadlyCrashes
}

// learned returns whether hosts have to know the cause at a time: some time after the last crash that they may need.
func (d *DeadlyPart) learned(now time.Time, hostTimeout time.Duration) bool {
	limit := d.crashLimit()
	return len(d.CrashTimes) >= limit && now.Sub(d.CrashTimes[limit-1]) > hostTimeout
}

// StartDeadlyPart adds a deadly part to a share of the generations from now on.
func (s *Simulation[P]) StartDeadlyPart(share float64, position int) {
	s.DeadlyPart = &DeadlyPart{Share: share, Position: position, rng: rand.New(rand.NewPCG(s.Options.Seed, 4))}
}

// drawParts draws the parts of a generation's prompt. A request with the deadly part shares its caller and its other parts with sound ones.
func (s *Simulation[P]) drawParts(r *Request, e *reducer.RequestArrived) {
	d := s.DeadlyPart
	if d == nil {
		return
	}
	if e.Adapter == "" || d.Position == deadlyPlain {
		s.drawPlain(r, e)
		return
	}
	common, customer := d.rng.IntN(commonParts), d.rng.IntN(customerParts)
	r.deadly = d.rng.Float64() < d.Share
	if r.deadly && d.Position != deadlyAdapter {
		common, customer = 0, 0
	}
	e.Parts = []reducer.Part{
		{ID: fmt.Sprintf("common-%d", common), Tokens: e.PromptTokens / 4}, {ID: fmt.Sprintf("customer-%d", customer), Tokens: e.PromptTokens / 4},
	}
	for turn := range d.Turns {
		e.Parts = append(e.Parts, reducer.Part{ID: fmt.Sprintf("turn-%d", turn), Tokens: 1})
	}
	e.Parts = append(e.Parts, reducer.Part{ID: "own-" + e.ID, Tokens: e.PromptTokens / 2})
	if r.deadly && d.Position == deadlyAdapter {
		e.Adapter = deadlyPartName
		return
	}
	if r.deadly && d.Position == deadlyRequest {
		e.Parts[len(e.Parts)-1].ID = deadlyPartName
		return
	}
	if r.deadly {
		e.Parts = slices.Insert(e.Parts, d.Position, reducer.Part{ID: deadlyPartName, Tokens: 100})
		return
	}
	if common == 0 {
		r.sound = s.soundRequests()
	}
	if r.sound != nil {
		r.sound.Sent++
	}
}

// drawPlain draws what a request to the unary service is known by. Lookups of one user are alike, and a deadly one is among them; orders differ.
func (s *Simulation[P]) drawPlain(r *Request, e *reducer.RequestArrived) {
	d := s.DeadlyPart
	if e.Adapter != "" {
		return
	}
	r.deadly = d.Position == deadlyPlain && d.rng.Float64() < d.Share
	switch {
	case r.deadly:
		e.Path, r.atMostOnce = "/safe/x", false
		e.Fingerprint = deadlyFingerprint
	case r.atMostOnce:
		e.Fingerprint = hasher.Key("order-" + e.ID)
	default:
		e.Fingerprint = hasher.Key(fmt.Sprintf("user-%d", d.rng.IntN(lookupUsers)))
		if r.sound = s.soundRequests(); r.sound != nil {
			r.sound.Sent++
		}
	}
}

// crashSoon crashes a server of the unary service soon after it has begun to run a deadly request, and reports whether it does.
func (s *Simulation[P]) crashSoon(b *Backend, r *Request) bool {
	if !r.deadly || b.Info.Service != unaryService {
		return false
	}
	s.crashAfter(b, crashDelay)
	return true
}

// crashAfter crashes a server after a time, if that start of it still runs.
func (s *Simulation[P]) crashAfter(b *Backend, delay time.Duration) {
	startedUnixMs := b.Info.StartedUnixMs
	s.after(delay, func() {
		if b.Up && b.Info.StartedUnixMs == startedUnixMs {
			s.DeadlyPart.CrashTimes = append(s.DeadlyPart.CrashTimes, s.Now)
			s.crashByRequest(b)
		}
	})
}

// repeatLost makes the caller of a lookup that was lost with its server send it again at once, to any host, up to maxRepeats times.
func (s *Simulation[P]) repeatLost(r *Request) {
	if s.DeadlyPart == nil || r.event.Adapter != "" || r.atMostOnce || r.deadly || r.repeats >= maxRepeats {
		return
	}
	s.after(repeatDelay, func() {
		h := s.Hosts[s.DeadlyPart.rng.IntN(len(s.Hosts))]
		if !h.Up || !h.State.Ready {
			return
		}
		s.Traffic.Sent++
		event := r.event.RequestArrived
		event.ID = fmt.Sprint(s.Traffic.Sent)
		event.CallerID, event.At = event.ID, s.Now
		s.deliverRequest(h, &Request{host: h, sentAt: s.Now, account: r.account, repeats: r.repeats + 1}, event)
	})
}

const (
	// deadlyFingerprint is the fingerprint of the deadly request to the unary service, and lookupUsers the number of users whose lookups are alike.
	deadlyFingerprint = 0xdead
	lookupUsers       = 12
	// repeatDelay is the time after which the caller of a lost lookup sends it again, at most maxRepeats times.
	repeatDelay = 20 * time.Millisecond
	maxRepeats  = 3
)

// soundRequests returns the count for a sound request that is sent now; nil in the time in which hosts may still learn the part.
func (s *Simulation[P]) soundRequests() *SoundRequests {
	d := s.DeadlyPart
	if len(d.CrashTimes) == 0 {
		return &d.Before
	}
	known := d.CrashTimes[min(len(d.CrashTimes), d.crashLimit())-1]
	if s.Now.Sub(known) > 2*s.Options.Limits.HostTimeout {
		return &d.After
	}
	return nil
}

// checkDeadlyArrival counts the requests with the deadly part that reach engines after hosts had to know it.
func (s *Simulation[P]) checkDeadlyArrival(h *Host, r *Request) {
	d := s.DeadlyPart
	if !r.deadly || !s.faultFree(h) || !d.learned(s.Now, s.Options.Limits.HostTimeout) {
		return
	}
	if d.LateArrivals++; d.LateArrivals == maxLateArrivals+1 {
		s.Checker.addViolation(s.Now, "deadly_part", fmt.Sprintf("request %s is the %dth with the part after %d crashes", r.event.ID, maxLateArrivals+1,
			len(d.CrashTimes)))
	}
}

// answerBegan crashes the engine soon after it has begun to answer a request with the deadly part.
func (s *Simulation[P]) answerBegan(b *Backend, r *Request) {
	if s.onAnswer != nil {
		s.onAnswer(b, r)
	}
	if r.sound != nil {
		r.sound.Begun++
		r.sound = nil
	}
	if !r.deadly {
		return
	}
	s.crashAfter(b, crashDelay)
}

// crashByRequest crashes a server: its connections are closed at once, and it is back after crashedDuration.
func (s *Simulation[P]) crashByRequest(b *Backend) {
	s.crashBackend(b)
	b.refuses = true
	answers := b.answers
	b.answers = nil
	for _, a := range answers {
		a.aborted = true
		s.after(s.messageDelay(), a.abort)
	}
	s.after(crashedDuration, func() { s.startBackend(b.Info.ID, b.Info.Service, b.Info.FailureDomain) })
}

// endAnswer removes an answer that has ended.
func (b *Backend) endAnswer(a *answer) {
	b.answers = slices.DeleteFunc(b.answers, func(other *answer) bool { return other == a })
}
