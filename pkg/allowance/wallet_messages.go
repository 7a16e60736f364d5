package allowance

import (
	"slices"
	"time"
)

// never is later than any time of a clock.
const never = time.Duration(1<<63 - 1)

// Call is a message to send. Its reply or failure must be passed to Reply or Fail.
type Call struct {
	Target  Candidate
	Request *Request
}

// Next returns the message that is due, or the time at which to ask again. candidates is
// called only if the grantor is not known; version is that of the configuration.
func (w *Wallet) Next(now time.Duration, candidates func() []Candidate, version uint64) (*Call, time.Duration) {
	if w.flight != nil {
		return nil, never
	}
	w.wake = false
	w.prune(now)
	due := never
	for _, a := range w.order {
		due = min(due, w.due(now, a))
	}
	if due == never {
		return nil, never
	}
	if due = w.link.earliest(due); now < due {
		return nil, due
	}
	target, ok := w.link.target(now, candidates)
	if !ok {
		return nil, now + candidateRetry
	}
	w.seq++
	w.flight = &flight{seq: w.seq, sentAt: now, target: target}
	r := &Request{Nonce: w.nonce, Seq: w.seq, Acked: w.acked, Term: w.term, Version: version}
	w.link.describe(now, r)
	for _, a := range w.order {
		if ask, ok := w.ask(now, a); ok {
			w.flight.accounts = append(w.flight.accounts, a)
			w.flight.asks = append(w.flight.asks, ask)
			if len(w.flight.asks) == maxAsks {
				break
			}
		}
	}
	r.Asks = w.flight.asks
	w.link.sent(now, target)
	return &Call{Target: target, Request: r}, never
}

// due returns when an account needs a message.
func (w *Wallet) due(now time.Duration, a *walletAccount) time.Duration {
	a.expire(now, w.term)
	due := never
	if a.reportFrom > 0 {
		due = a.reportFrom
	}
	if len(a.batches) > 0 {
		due = min(due, a.batches[0].expires)
	}
	if len(a.waiters) > 0 || a.low(now) {
		due = min(due, max(now, a.pausedUntil))
	}
	return due
}

// ask returns what to ask for an account.
func (w *Wallet) ask(now time.Duration, a *walletAccount) (Ask, bool) {
	ask := Ask{Name: a.name}
	if now >= a.pausedUntil {
		hold, tokens := a.expectedDemand(now), a.tokens()
		ask.Need = len(a.waiters)
		if float64(tokens) < fillBelow*hold {
			ask.Ahead = max(int(hold)-tokens, 0)
		}
	}
	if ask.Need+ask.Ahead == 0 && a.reportFrom == 0 {
		return ask, false
	}
	ask.Refused, ask.Spent, ask.Returns = a.refused, a.spent, a.returns
	if a.statePolicy {
		ask.Rate, ask.Burst = a.rate, a.burst
	}
	a.refused, a.returns, a.reportFrom, a.spentSent = 0, nil, 0, a.spent
	return ask, true
}

// Reply applies the reply to the message in flight.
func (w *Wallet) Reply(now time.Duration, r *Reply) {
	f := w.flight
	if f == nil {
		return
	}
	w.flight = nil
	if r.Status != Granted || len(r.Grants) != len(f.asks) {
		w.unanswered(now, f)
		w.link.redirected(now, f.target, r)
		return
	}
	if r.Term != w.term {
		w.setTerm(r.Term)
	}
	w.acked = f.seq
	w.link.granted(now, f.target, r.LeaseVersion)
	for i, a := range f.accounts {
		w.apply(now, f, a, &f.asks[i], &r.Grants[i], r)
	}
}

// apply applies the grant of one account.
func (w *Wallet) apply(now time.Duration, f *flight, a *walletAccount, ask *Ask, g *Grant, r *Reply) {
	if g.Unknown {
		// The second time the grantor knows that it has the newer configuration.
		a.unknown, a.statePolicy = a.statePolicy, true
		if a.unknown {
			a.pausedUntil = now + maxPause
			w.refuseAll(now, a, UnknownAccount)
		}
		return
	}
	a.unknown, a.statePolicy = false, false
	a.reserve = max(0, g.Reserve-int(a.spent-ask.Spent))
	a.reserveUntil = f.sentAt + w.limits.Window
	if g.Tokens > 0 {
		a.addBatch(batch{n: g.Tokens, expires: f.sentAt + w.limits.TokenLifetime(), term: r.Term, stamp: r.Stamp})
	}
	asked := ask.Need + ask.Ahead
	switch {
	case g.PauseMs > 0:
		a.pausedUntil = now + millisOf(g.PauseMs)
		a.retryAt, a.gap = now+millisOf(g.RetryMs), millisOf(g.GapMs)
	case asked > 0:
		a.pausedUntil, a.retryAt, a.gap = 0, 0, 0
	}
	w.serve(now, a)
	// The others wait only if their turn comes within their limit.
	for i := 0; i < len(a.waiters); {
		if a.expected(now, i) <= a.waiters[i].Limit {
			i++
			continue
		}
		waiter := a.waiters[i]
		w.remove(waiter)
		waiter.settle(w.refuse(now, a, Exhausted))
	}
}

func (w *Wallet) refuseAll(now time.Duration, a *walletAccount, reason Reason) {
	for len(a.waiters) > 0 {
		w.first(a).settle(w.refuse(now, a, reason))
	}
}

// Fail reports that the message in flight got no reply. A reply that arrives later must
// not be used: the tokens in it are granted to others.
func (w *Wallet) Fail(now time.Duration) {
	f := w.flight
	if f == nil {
		return
	}
	w.flight = nil
	w.unanswered(now, f)
	w.link.failed(now, f.target, f.sentAt)
	for _, a := range w.order {
		for len(a.waiters) > 0 && a.reserve > 0 && now < a.reserveUntil {
			w.first(a).settle(w.withoutGrantor(now, a))
		}
	}
}

// unanswered keeps the counts of a message without effect. Its returned tokens are lost,
// because they may have been returned.
func (w *Wallet) unanswered(now time.Duration, f *flight) {
	for i, a := range f.accounts {
		a.refused += f.asks[i].Refused
		if f.asks[i].Refused > 0 {
			a.report(now)
		}
	}
}

// setTerm begins a new term: tokens of the earlier one can be used but not returned.
func (w *Wallet) setTerm(term uint32) {
	w.term = term
	for _, a := range w.order {
		a.spent, a.spentSent, a.reserve, a.returns = 0, 0, 0, nil
	}
}

// prune forgets accounts without requests. One that used reserve tokens in this term is
// kept, because their count must not go back.
func (w *Wallet) prune(now time.Duration) {
	if now-w.prunedAt < idleLifetime {
		return
	}
	w.prunedAt = now
	w.order = slices.DeleteFunc(w.order, func(a *walletAccount) bool {
		idle := now-a.usedAt > idleLifetime && a.reportFrom == 0 && len(a.waiters) == 0 && len(a.batches) == 0 && a.spent == 0
		if idle {
			delete(w.accounts, a.name)
		}
		return idle
	})
}

// Wake reports whether a message may be due earlier than the last call of Next said.
func (w *Wallet) Wake() bool { return w.wake }

// InContact reports whether a grantor answers, or since when none does.
func (w *Wallet) InContact() (ok bool, since time.Duration) {
	return !w.link.failing(), w.link.failingSince
}
