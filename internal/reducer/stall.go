package reducer

import "time"

// attemptStalled ends an attempt without progress if another backend server can take the request at once and the retry budget holds a retry. Otherwise the
// attempt goes on, since its server may be slow but sound.
func attemptStalled(s *State, now time.Time, e AttemptStalled) {
	r, ok := s.Requests[e.ID]
	if !ok || r.Attempt != e.Attempt || r.RetryReserved || r.Phase != PhaseRunning && r.Phase != PhaseResponding {
		return
	}
	s.recordSilence(now, r)
	other := s.otherBackend(now, r)
	r.RetryReserved = other != nil && s.mayRunAgain(r) && s.withdrawRetry(r.Service)
	s.logEvent(EventAttemptStalled, s.requestFields(now, r, boolField("ends", r.RetryReserved), boolField("other_server", other != nil))...)
	if r.RetryReserved {
		s.emit(EndAttempt{ID: r.ID, Attempt: r.Attempt})
	}
}

// mayRunAgain reports whether the route allows another run after the present attempt.
func (s *State) mayRunAgain(r *Request) bool {
	return s.mayRetry(r) && r.PossibleRuns+1 < r.Route.MaxAttempts
}

// otherBackend returns a backend server that can take a request at once in place of the present one, or nil.
func (s *State) otherBackend(now time.Time, r *Request) *Backend {
	for _, b := range s.usableBackends(now, r) {
		if b.Info.ID == r.Backend || !s.throttleAllows(now, b) || s.slowStartOpensIn(now, r, b) > 0 {
			continue
		}
		if r.Adapter.Adapter == "" || !s.isEngine(b) || !s.needsAdapterLoad(now, r, b) {
			return b
		}
	}
	return nil
}

// dispatchReserved sends a request whose retry was reserved to another backend server, and reports false if none can take it now.
func (s *State) dispatchReserved(now time.Time, r *Request) bool {
	if _, ok := s.probation(r); ok {
		return false
	}
	b := s.otherBackend(now, r)
	if b == nil {
		return false
	}
	s.dispatch(now, r, b, s.Documents.Services[r.Service])
	return true
}

// withdrawReserved takes the retry that was reserved for a request, or one from the budget, and reports whether there was one.
func (s *State) withdrawReserved(r *Request) bool {
	if r.RetryReserved {
		r.RetryReserved = false
		return true
	}
	return s.withdrawRetry(r.Service)
}

// returnReserved returns the retry that was reserved for a request which did not need it.
func (s *State) returnReserved(r *Request) {
	if r.RetryReserved {
		r.RetryReserved = false
		s.service(r.Service).RetryBudget.Level++
	}
}
