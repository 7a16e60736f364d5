package allowance

import (
	"math/rand/v2"
	"time"
)

const (
	// maxWait is how long a request waits for a token, but at most 1/maxWaitDivisor of the
	// time that it has left.
	maxWait        = 300 * time.Millisecond
	maxWaitDivisor = 3
	// maxWaiting bounds the requests of a daemon that wait for a token.
	maxWaiting = 8192
	// demandWindow is the time constant of the demand by which tokens are asked for.
	demandWindow = 500 * time.Millisecond
	// askBelow and fillBelow are the parts of the tokens to hold below which the daemon
	// sends a message, and includes an account in a message that it sends anyway.
	askBelow  = 0.4
	fillBelow = 0.7
	// flushDelay is how long returned tokens and counts wait for another message.
	flushDelay = 100 * time.Millisecond
	// idleLifetime is how long an account without requests is remembered.
	idleLifetime = 10 * time.Second
	// retrySpread is the largest random part of a retry-after time, as a share of it, so
	// that refused callers do not return together.
	retrySpread = 0.5
	// minRetry is the shortest retry-after time of an allowance that is used up, and
	// noGrantorRetry the shortest without a grantor. A new grantor takes up to 3.5 s.
	minRetry       = 50 * time.Millisecond
	noGrantorRetry = time.Second
)

// Reason tells why a request was refused.
type Reason uint8

// Reasons of refusals.
const (
	// Exhausted means that the allowance is used up.
	Exhausted Reason = iota + 1
	// NoGrantor means that no grantor answers and there is no reserve token.
	NoGrantor
	// UnknownAccount means that the grantor's newer configuration lacks the account.
	UnknownAccount
)

// Outcome is the decision about one request.
type Outcome struct {
	// Ticket is set if the request was admitted; otherwise Reason and RetryAfter are.
	Ticket     *Ticket
	Reason     Reason
	RetryAfter time.Duration
}

// Ticket is a token that was taken for one request.
type Ticket struct {
	account *walletAccount
	// Reserve is true for a reserve token.
	Reserve bool
	batch   batch
	// spent is the count of reserve tokens used in the term, this one included.
	spent uint32
}

// Waiter is a request that waits for a token. Done is closed when Outcome is set.
type Waiter struct {
	Done    chan struct{}
	Outcome Outcome
	// Limit is when the request stops waiting.
	Limit   time.Duration
	account *walletAccount
	settled bool
}

func (w *Waiter) settle(o Outcome) {
	w.Outcome, w.settled = o, true
	close(w.Done)
}

// Wallet holds the tokens of one shard at an entry daemon.
type Wallet struct {
	limits   Limits
	link     link
	random   *rand.Rand
	nonce    uint32
	accounts map[string]*walletAccount
	// order has the accounts in a fixed order.
	order   []*walletAccount
	waiting int

	seq, acked uint64
	term       uint32
	flight     *flight
	prunedAt   time.Duration
	// wake is set if a message may be due earlier than Next has said.
	wake bool
}

// flight is the message that awaits its reply.
type flight struct {
	seq      uint64
	sentAt   time.Duration
	target   Candidate
	accounts []*walletAccount
	asks     []Ask
}

// NewWallet returns an empty wallet of the daemon with the id. random also makes the nonce
// that distinguishes this start of the daemon.
func NewWallet(limits Limits, id string, random *rand.Rand) *Wallet {
	return &Wallet{
		limits: limits.withDefaults(), link: link{self: id}, random: random, nonce: random.Uint32(), accounts: map[string]*walletAccount{},
	}
}

// WaitLimit returns until when a request waits that has the given time left; 0 means no
// limit.
func (w *Wallet) WaitLimit(now, timeLeft time.Duration) time.Duration {
	wait := w.link.maxWait(now)
	if timeLeft == 0 {
		return now + wait
	}
	return now + min(wait, max(timeLeft, 0)/maxWaitDivisor)
}

// Take takes a token for a request, refuses the request, or returns a waiter.
func (w *Wallet) Take(now time.Duration, name string, rate, burst float64, limit time.Duration) (Outcome, *Waiter) {
	a := w.accounts[name]
	if a == nil {
		a = &walletAccount{name: name, lifetime: w.limits.TokenLifetime()}
		w.accounts[name] = a
		w.order = append(w.order, a)
	}
	a.rate, a.burst, a.usedAt = rate, burst, now
	a.expectedDemand(now)
	a.demand++
	if len(a.waiters) == 0 {
		if t := a.take(now, w.term); t != nil {
			w.wake = w.wake || a.low(now)
			return Outcome{Ticket: t}, nil
		}
	}
	switch {
	case w.link.away(now):
		return w.withoutGrantor(now, a), nil
	case a.unknown && now < a.pausedUntil:
		return w.refuse(now, a, UnknownAccount), nil
	case a.expected(now, len(a.waiters)) > limit:
		return w.refuse(now, a, Exhausted), nil
	case w.waiting >= maxWaiting:
		return w.refuse(now, a, NoGrantor), nil
	}
	waiter := &Waiter{Done: make(chan struct{}), Limit: limit, account: a}
	a.waiters = append(a.waiters, waiter)
	w.waiting++
	w.wake = true
	return Outcome{}, waiter
}

// Expire ends the wait of a request whose limit has passed.
func (w *Wallet) Expire(now time.Duration, waiter *Waiter) {
	if waiter.settled {
		return
	}
	a := waiter.account
	w.remove(waiter)
	if w.link.failing() || w.flight != nil && now >= w.flight.sentAt+maxWait/maxWaitDivisor {
		waiter.settle(w.withoutGrantor(now, a))
		return
	}
	reason := NoGrantor
	if a.retryAt > 0 {
		reason = Exhausted
	}
	waiter.settle(w.refuse(now, a, reason))
}

// Cancel ends the wait of a request whose caller has left. If it has a token already, the
// token is released.
func (w *Wallet) Cancel(now time.Duration, waiter *Waiter) {
	if waiter.settled {
		if t := waiter.Outcome.Ticket; t != nil {
			w.Release(now, t)
		}
		return
	}
	w.remove(waiter)
	waiter.settle(Outcome{Reason: NoGrantor})
}

func (w *Wallet) remove(waiter *Waiter) {
	a := waiter.account
	for i, other := range a.waiters {
		if other == waiter {
			a.waiters = append(a.waiters[:i], a.waiters[i+1:]...)
			w.waiting--
			return
		}
	}
}

// Release returns the token of a request that has not run. Call it at most once.
func (w *Wallet) Release(now time.Duration, t *Ticket) {
	a := t.account
	if t.Reserve {
		// A use that was reported is final.
		if t.batch.term == w.term && now < t.batch.expires && min(t.spent, a.spent) > a.spentSent {
			a.spent--
			a.reserve++
		}
		return
	}
	a.addBatch(batch{n: 1, expires: t.batch.expires, term: t.batch.term, stamp: t.batch.stamp})
	w.serve(now, a)
	w.wake = true
}

// withoutGrantor uses a reserve token or refuses a request.
func (w *Wallet) withoutGrantor(now time.Duration, a *walletAccount) Outcome {
	// Another message shows whether there is a grantor again.
	a.report(now)
	w.wake = true
	if a.reserve > 0 && now < a.reserveUntil {
		a.reserve--
		a.spent++
		return Outcome{Ticket: &Ticket{account: a, Reserve: true, batch: batch{expires: a.reserveUntil, term: w.term}, spent: a.spent}}
	}
	return w.refuse(now, a, NoGrantor)
}

func (w *Wallet) refuse(now time.Duration, a *walletAccount, reason Reason) Outcome {
	retry := noGrantorRetry
	if reason == Exhausted {
		retry = max(minRetry, a.retryAt-now)
		// The next caller that is refused gets a later time.
		a.retryAt = min(max(a.retryAt, now)+a.gap, now+w.limits.Window)
		a.refused++
		a.report(now)
		w.wake = true
	}
	return Outcome{Reason: reason, RetryAfter: retry + time.Duration(retrySpread*w.random.Float64()*float64(retry))}
}

// serve gives tokens to waiting requests, in order of arrival.
func (w *Wallet) serve(now time.Duration, a *walletAccount) {
	for len(a.waiters) > 0 {
		t := a.take(now, w.term)
		if t == nil {
			break
		}
		w.first(a).settle(Outcome{Ticket: t})
	}
	a.expire(now, w.term)
}

// first removes the first waiter of an account.
func (w *Wallet) first(a *walletAccount) *Waiter {
	waiter := a.waiters[0]
	a.waiters = a.waiters[1:]
	w.waiting--
	return waiter
}
