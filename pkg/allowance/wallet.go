package allowance

import (
	"math"
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

// batch is a number of tokens of one grant.
type batch struct {
	n       int
	expires time.Duration
	term    uint32
	stamp   uint64
}

// walletAccount is the state of one account at an entry daemon.
type walletAccount struct {
	name        string
	rate, burst float64
	// lifetime is that of a token.
	lifetime time.Duration
	batches  []batch
	waiters  []*Waiter
	// demand counts requests with decay; demandAt is its time, usedAt that of the last request.
	demand           float64
	demandAt, usedAt time.Duration

	returns []Return
	refused int
	// reportFrom is when returns and counts are sent without another reason; 0 is never.
	reportFrom time.Duration
	// spent counts the reserve tokens used in the term, spentSent is its value in the last
	// message, reserve counts those left until reserveUntil.
	spent        uint32
	spentSent    uint32
	reserve      int
	reserveUntil time.Duration

	// pausedUntil is until when the bucket is taken to be empty, retryAt when a caller that
	// is refused now can expect a token, and gap how much later each further one can.
	pausedUntil, retryAt, gap time.Duration
	// statePolicy is set after a reply that the account is unknown, unknown after a second.
	statePolicy, unknown bool
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
func WaitLimit(now, timeLeft time.Duration) time.Duration {
	if timeLeft == 0 {
		return now + maxWait
	}
	return now + min(maxWait, max(timeLeft, 0)/maxWaitDivisor)
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

// report requests that returns and counts be sent.
func (a *walletAccount) report(now time.Duration) {
	if a.reportFrom == 0 {
		a.reportFrom = now + flushDelay
	}
}

// expected returns when a request behind n waiters can expect a token.
func (a *walletAccount) expected(now time.Duration, n int) time.Duration {
	if now >= a.pausedUntil {
		return now
	}
	return max(a.pausedUntil, a.retryAt) + time.Duration(n)*a.gap
}

// expectedDemand returns the number of requests expected during the lifetime of a token.
func (a *walletAccount) expectedDemand(now time.Duration) float64 {
	if now > a.demandAt {
		a.demand *= math.Exp(-(now - a.demandAt).Seconds() / demandWindow.Seconds())
		a.demandAt = now
	}
	return a.demand / demandWindow.Seconds() * a.lifetime.Seconds()
}

// low reports whether the account holds too few tokens for the requests that are expected.
func (a *walletAccount) low(now time.Duration) bool {
	hold := a.expectedDemand(now)
	return hold >= 1 && float64(a.tokens()) < askBelow*hold
}

// take takes a token that has not expired, the oldest first.
func (a *walletAccount) take(now time.Duration, term uint32) *Ticket {
	a.expire(now, term)
	if len(a.batches) == 0 {
		return nil
	}
	b := &a.batches[0]
	t := &Ticket{account: a, batch: *b}
	if b.n--; b.n == 0 {
		a.batches = a.batches[1:]
	}
	return t
}

func (a *walletAccount) addBatch(b batch) {
	i := 0
	for i < len(a.batches) && a.batches[i].expires <= b.expires {
		if have := &a.batches[i]; have.stamp == b.stamp && have.term == b.term && have.expires == b.expires {
			have.n += b.n
			return
		}
		i++
	}
	a.batches = append(a.batches[:i], append([]batch{b}, a.batches[i:]...)...)
}

// expire moves tokens that are too old to the returns.
func (a *walletAccount) expire(now time.Duration, term uint32) {
	for len(a.batches) > 0 && now >= a.batches[0].expires {
		if b := a.batches[0]; b.term == term {
			a.giveBack(b)
			a.report(now)
		}
		a.batches = a.batches[1:]
	}
}

func (a *walletAccount) giveBack(b batch) {
	for i := range a.returns {
		if a.returns[i].Stamp == b.stamp {
			a.returns[i].Count += b.n
			return
		}
	}
	a.returns = append(a.returns, Return{Stamp: b.stamp, Count: b.n})
}

func (a *walletAccount) tokens() (n int) {
	for _, b := range a.batches {
		n += b.n
	}
	return n
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
