package blackboard

import (
	"cmp"
	"slices"
	"time"

	"shallotglade/pkg/limits"
	"shallotglade/pkg/routing"
	"shallotglade/pkg/upstream"
	"shallotglade/pkg/verdict"
)

// wakeInterval is the time after which waiting requests are checked again without any
// event: pauses end, and upstreams become due for a retest. One timer serves all requests
// of a service, so the cost does not grow with their number.
const wakeInterval = 10 * time.Millisecond

// WaitRequest describes a request that needs an upstream and may wait for one.
type WaitRequest struct {
	AttemptRequest
	// MayWaitUntil is the time until which MayWait is true.
	MayWaitUntil time.Time
	// AccountPriority is the priority of the account, or Priority if the account has none.
	// It takes precedence over Priority; 0 is the highest.
	AccountPriority int
	// Priority is the priority of the request; 0 is the highest.
	Priority int
	// Optional requests, such as hedges, get an upstream only if no other request
	// waits for it.
	Optional bool
	// RetryTried makes the upstreams in Tried usable again once the request waits.
	RetryTried bool
}

// Grant is the result of a wait.
type Grant struct {
	// Attempt is nil if no upstream can be used soon enough.
	Attempt *Attempt
	Choice  routing.Choice
	// RetryAfter is when a request without an attempt may be sent again.
	RetryAfter time.Duration
	// Awaited is why the request had to wait, and Waited how long it did; Waited is 0
	// if it did not wait.
	Awaited routing.Reason
	Waited  time.Duration
}

// Waiter is a request that waits for an upstream.
type Waiter struct {
	// Granted receives the result once.
	Granted chan Grant

	request    WaitRequest
	sequence   uint64
	enqueuedAt time.Time
	awaited    routing.Reason
}

// Await chooses an upstream for a request as soon as one can be used, and counts the
// attempt as in flight. Requests that wait get upstreams by account priority, then by
// priority, and then in the order of their arrival. The caller must receive the grant or call
// Withdraw.
func (s *Service) Await(now time.Time, r WaitRequest) *Waiter {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastWaiter++
	w := &Waiter{Granted: make(chan Grant, 1), request: r, sequence: s.lastWaiter, enqueuedAt: now}
	if len(s.waiters) == 0 && s.tryGrantLocked(now, w) {
		return w
	}
	i, _ := slices.BinarySearchFunc(s.waiters, w, (*Waiter).compare)
	s.waiters = slices.Insert(s.waiters, i, w)
	s.dispatchLocked(now)
	if r.RetryTried {
		w.request.Tried = nil
	}
	return w
}

// Withdraw ends the wait of a request that no longer needs an upstream. An attempt that
// was granted in the meantime is released.
func (s *Service) Withdraw(now time.Time, w *Waiter) {
	s.mu.Lock()
	i := slices.Index(s.waiters, w)
	if i >= 0 {
		s.waiters = slices.Delete(s.waiters, i, i+1)
	}
	s.mu.Unlock()
	if i >= 0 {
		return
	}
	select {
	case g := <-w.Granted:
		if g.Attempt != nil {
			s.Release(now, g.Attempt)
		}
	default:
	}
}

// Release ends an attempt that was not sent.
func (s *Service) Release(now time.Time, a *Attempt) {
	s.End(now, a, upstream.Result{Kind: upstream.Refused, Verdict: verdict.NotRun})
}

// compare orders waiters by the order in which they get upstreams.
func (w *Waiter) compare(other *Waiter) int {
	if w.request.Optional != other.request.Optional {
		if w.request.Optional {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(w.request.AccountPriority, other.request.AccountPriority), cmp.Compare(w.request.Priority, other.request.Priority), cmp.Compare(w.sequence, other.sequence))
}

// requestClass holds what the choice for a request without tried upstreams depends on.
// If there is no upstream for one request of a class, there is none for the others.
type requestClass struct{ idempotent, retryable, mayWait bool }

// maxDistinctTries bounds how many requests that are not covered by their class are
// tried in one dispatch.
const maxDistinctTries = 8

// dispatchLocked grants upstreams to waiting requests, in order, as long as there are any
// that they may use.
func (s *Service) dispatchLocked(now time.Time) {
	if len(s.waiters) == 0 {
		return
	}
	var blocked [8]requestClass
	blockedCount, distinctTries := 0, 0
	waiting := s.waiters[:0]
	for _, w := range s.waiters {
		class, distinct := w.class(now)
		if !distinct && slices.Contains(blocked[:blockedCount], class) || distinct && distinctTries >= maxDistinctTries {
			waiting = append(waiting, w)
			continue
		}
		if s.tryGrantLocked(now, w) {
			continue
		}
		waiting = append(waiting, w)
		if distinct {
			distinctTries++
		} else {
			blocked[blockedCount] = class
			blockedCount++
		}
	}
	clear(s.waiters[len(waiting):])
	s.waiters = waiting
	s.scheduleWakeLocked()
}

// class returns the class of the request. It is distinct if the choice depends on more
// than the class.
func (w *Waiter) class(now time.Time) (class requestClass, distinct bool) {
	r := &w.request
	class = requestClass{idempotent: r.Idempotent, retryable: r.Retryable, mayWait: r.MayWait && now.Before(r.MayWaitUntil)}
	return class, len(r.Tried) > 0 || r.Suspect
}

// tryGrantLocked reports whether the wait has ended: with an upstream, or because there
// is none.
func (s *Service) tryGrantLocked(now time.Time, w *Waiter) bool {
	r := w.request.AttemptRequest
	r.MayWait = r.MayWait && now.Before(w.request.MayWaitUntil)
	attempt, choice, ok := s.beginLocked(now, r)
	if !ok && !w.isFinal(now, choice) {
		w.awaited = choice.Reason
		return false
	}
	g := Grant{Attempt: attempt, Choice: choice}
	if !ok {
		g.RetryAfter = s.retryAfterLocked(now, choice)
	}
	if w.awaited != 0 {
		g.Awaited, g.Waited = w.awaited, now.Sub(w.enqueuedAt)
	}
	w.Granted <- g
	return true
}

// maxPauseWait is the longest pause of all upstreams that a request waits for. After a
// longer one its caller had better come back.
const maxPauseWait = 250 * time.Millisecond

// isFinal reports whether waiting longer cannot help a request without an upstream.
func (w *Waiter) isFinal(now time.Time, choice routing.Choice) bool {
	triedBecomeUsable := w.request.RetryTried && len(w.request.Tried) > 0
	switch choice.Reason {
	case routing.NoUpstream:
		return true
	case routing.AllTried:
		return !triedBecomeUsable
	case routing.AllPaused:
		return !triedBecomeUsable && choice.AvailableAt.Sub(now) > maxPauseWait
	}
	return false
}

// retryAfterLocked returns when a request for which no upstream was chosen may be sent
// again. Only a pause ends at a known time.
func (s *Service) retryAfterLocked(now time.Time, choice routing.Choice) time.Duration {
	drain := noUpstreamRetry
	switch choice.Reason {
	case routing.AllPaused:
		drain = choice.AvailableAt.Sub(now)
	case routing.AllBusy, routing.AwaitsHealthier:
		if latency := s.reliability.MeanLatency(); latency > 0 {
			capacity, _ := routing.Capacity(s.candidates, len(s.attempts))
			drain = latency * time.Duration(len(s.waiters)+1) / time.Duration(max(capacity, 1))
		}
	}
	return limits.RetryAfter(drain, 0, s.rng)
}

// noUpstreamRetry is the time after which a request may be sent again if nothing tells
// when an upstream can be used.
const noUpstreamRetry = time.Second

// RetryAfter returns when a request that found no upstream before its time was over may be
// sent again.
func (s *Service) RetryAfter(now time.Time, choice routing.Choice) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retryAfterLocked(now, choice)
}

// scheduleWakeLocked starts the timer that checks the waiting requests again.
func (s *Service) scheduleWakeLocked() {
	if s.wakeScheduled || len(s.waiters) == 0 {
		return
	}
	s.wakeScheduled = true
	time.AfterFunc(wakeInterval, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.wakeScheduled = false
		s.dispatchLocked(time.Now())
	})
}
