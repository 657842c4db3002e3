package exerciser

import (
	"fmt"
	"time"

	"github.com/redwingpick/redwingpick/internal/reducer"
)

// Call is one request of a caller, over as many tries as it takes.
type Call struct {
	ID           string
	Account      string
	KeyDigest    string
	Model        string
	Service      string
	PromptTokens int
	MaxTokens    int
	Timeout      time.Duration
	Permit       string

	SentAt     time.Time
	FirstToken time.Time
	EndedAt    time.Time
	Outcome    reducer.Outcome
	Reason     reducer.Reason
	Tokens     int
	Tries      int
	Ran        int
	Lost       bool
	tracked    *tracked
}

// Ended reports whether the caller has a last word.
func (c *Call) Ended() bool { return !c.EndedAt.IsZero() }

func (c *Call) token(now time.Time) {
	if c.FirstToken.IsZero() {
		c.FirstToken = now
	}
	c.Tokens++
}

// Callers is the modelled callers.
type Callers struct {
	Calls []*Call
	// Retries is how often a caller tries again when a refusal says not run and come again.
	Retries int

	located  map[string]func(reducer.LocateAnswer)
	waiting  map[string]func(reducer.UpdatesAnswer)
	known    map[string]knownHosts
	sequence int
}

type knownHosts struct {
	hosts []string
	until time.Time
}

const (
	callerLatency = 3 * time.Millisecond
	callerRetry   = 200 * time.Millisecond
	askAgain      = time.Second
)

func (c *Callers) updates(id string, answer func(reducer.UpdatesAnswer)) {
	if c.waiting == nil {
		c.waiting = map[string]func(reducer.UpdatesAnswer){}
	}
	c.waiting[id] = answer
}

func (c *Callers) dropUpdates(id string) bool {
	_, ok := c.waiting[id]
	delete(c.waiting, id)
	return ok
}

func (c *Callers) answerUpdates(e reducer.UpdatesAnswer) {
	if answer, ok := c.waiting[e.ReplyID]; ok {
		delete(c.waiting, e.ReplyID)
		answer(e)
	}
}

// Send sends a call as a caller does: it asks which hosts to use, then connects to one.
func (w *World[P]) Send(call *Call) {
	c := &w.Callers
	c.sequence++
	call.ID = fmt.Sprintf("call-%06d", c.sequence)
	call.SentAt = w.Now
	c.Calls = append(c.Calls, call)
	w.try(call)
}

func (w *World[P]) try(call *Call) {
	c := &w.Callers
	if call.Ended() {
		return
	}
	if call.Timeout > 0 && w.Now.Sub(call.SentAt) > call.Timeout {
		w.giveUp(call)
		return
	}
	key := call.Model + "/" + call.Service
	known, ok := c.known[key]
	if ok && w.Now.Before(known.until) && (call.Service == "" || call.Permit != "") {
		w.connect(call, known.hosts)
		return
	}
	w.locate(call, key)
}

func (w *World[P]) giveUp(call *Call) {
	call.EndedAt = w.Now
	if call.Outcome == 0 {
		call.Outcome = reducer.OutcomeNotRun
		call.Reason = reducer.ReasonConnection
	}
}

// locate asks a random host, as a caller with a list of all of them does.
func (w *World[P]) locate(call *Call, key string) {
	c := &w.Callers
	h := w.Hosts[w.random.IntN(len(w.Hosts))]
	c.sequence++
	id := fmt.Sprintf("locate-%06d", c.sequence)
	if c.located == nil {
		c.located = map[string]func(reducer.LocateAnswer){}
		c.known = map[string]knownHosts{}
	}
	if !h.Up {
		w.after(callerLatency, func() { w.try(call) })
		return
	}
	c.located[id] = func(answer reducer.LocateAnswer) {
		if len(answer.Hosts) == 0 {
			w.after(callerRetry, func() { w.try(call) })
			return
		}
		if call.Permit == "" {
			call.Permit = answer.Permit
		}
		c.known[key] = knownHosts{hosts: answer.Hosts, until: w.Now.Add(answer.ValidFor)}
		w.connect(call, answer.Hosts)
	}
	w.postLater(h, callerLatency, reducer.LocateAsked{ReplyID: id, Model: call.Model, Service: call.Service})
	w.after(askAgain, func() {
		if _, open := c.located[id]; open {
			delete(c.located, id)
			w.try(call)
		}
	})
}

func (w *World[P]) located(e reducer.LocateAnswer) {
	answer, ok := w.Callers.located[e.ReplyID]
	if !ok {
		return
	}
	delete(w.Callers.located, e.ReplyID)
	w.after(callerLatency, func() { answer(e) })
}

func (w *World[P]) connect(call *Call, hosts []string) {
	h := w.hosts[hosts[call.Tries%len(hosts)]]
	call.Tries++
	if h == nil || !h.Up {
		delete(w.Callers.known, call.Model+"/"+call.Service)
		w.after(callerLatency, func() { w.try(call) })
		return
	}
	id := fmt.Sprintf("%s.%d", call.ID, call.Tries)
	t := &tracked{
		id: id, call: call, entry: h, entryStarts: h.Starts, promptTokens: call.PromptTokens, maxTokens: call.MaxTokens,
	}
	call.tracked = t
	call.Tokens = 0
	call.FirstToken = time.Time{}
	w.tracked[id] = t
	event := reducer.RequestArrived{
		ID: id, KeyDigest: call.KeyDigest, Model: call.Model, Service: call.Service,
		PromptTokens: call.PromptTokens, MaxTokens: call.MaxTokens, Permit: call.Permit,
	}
	w.after(callerLatency, func() {
		if !t.alive(h, t.entryStarts) {
			w.entryLost(t)
			return
		}
		if call.Timeout > 0 {
			event.Deadline = w.localTime(h).Add(call.Timeout)
		}
		w.post(h, event)
	})
}

// ended gives the caller its last word, or sends the call again where that is of use.
func (w *World[P]) ended(t *tracked, outcome reducer.Outcome, reason reducer.Reason) {
	call := t.call
	if call.Ended() || call.tracked != t {
		return
	}
	delete(w.tracked, t.id)
	w.settle(t, outcome)
	call.Outcome = outcome
	call.Reason = reason
	call.Ran += t.runs
	again := outcome == reducer.OutcomeNotRun && comesAgain(reason) && call.Tries <= w.Callers.Retries
	if again {
		delete(w.Callers.known, call.Model+"/"+call.Service)
		w.after(callerRetry, func() { w.try(call) })
		return
	}
	w.after(callerLatency, func() { call.EndedAt = w.Now })
}

func comesAgain(reason reducer.Reason) bool {
	switch reason {
	case reducer.ReasonNotReady, reducer.ReasonStopped, reducer.ReasonIsolated, reducer.ReasonNoBackend, reducer.ReasonNotOwner:
		return true
	}
	return false
}

// entryLost is a caller whose connection to the entry host broke; it comes again if that is safe.
func (w *World[P]) entryLost(t *tracked) {
	call := t.call
	if w.tracked[t.id] != t || call.Ended() {
		return
	}
	delete(w.tracked, t.id)
	w.abandonRun(t)
	w.settle(t, reducer.OutcomeUnknown)
	call.Ran += t.runs
	if call.Service != "" && call.Permit == "" || call.Tokens > 0 {
		call.Outcome = reducer.OutcomeUnknown
		call.Reason = reducer.ReasonConnection
		call.Lost = true
		call.EndedAt = w.Now
		return
	}
	delete(w.Callers.known, call.Model+"/"+call.Service)
	w.after(callerRetry, func() { w.try(call) })
}
