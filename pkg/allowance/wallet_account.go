package allowance

import (
	"math"
	"time"
)

// batch is n tokens of the grant of a term at a stamp. They can be used until expires.
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
