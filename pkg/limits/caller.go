package limits

import (
	"container/list"
	"time"
)

// caller is the state of one caller; it exists while the caller differs from
// one that was never seen.
type caller struct {
	name    string
	policy  CallerPolicy
	tokens  float64
	filled  time.Time // when tokens was computed
	seen    time.Time // last offer
	running int
	// next is the virtual start of the oldest waiting ticket. Only tickets that
	// run move it: one that expires or is cancelled costs no share.
	next float64
	// pace is the mean time between runs from the queue, the last at ranAt, since
	// the caller began to wait.
	pace    time.Duration
	ranAt   time.Time
	waiting list.List // of *waiter, oldest first
	used    *list.Element
}

// waiter is a waiting ticket.
type waiter struct {
	ticket Ticket
	owner  *caller
	// due is when the ticket must start to meet its target, or zero; latest is
	// when it must start to end before its deadline.
	due, latest time.Time
	place       *list.Element
	expiry      int // position in the expiry heap
}

// take uses one token, or says how long until there is one.
func (c *caller) take(now time.Time) (time.Duration, bool) {
	if c.policy.Rate <= 0 {
		return 0, true
	}
	c.refill(now)
	if c.tokens < 1 {
		return time.Duration((1 - c.tokens) / c.policy.Rate * float64(time.Second)), false
	}
	c.tokens--
	return 0, true
}

func (c *caller) refill(now time.Time) {
	if elapsed := now.Sub(c.filled).Seconds(); elapsed > 0 {
		c.tokens = min(c.policy.Burst, c.tokens+elapsed*c.policy.Rate)
		c.filled = now
	}
}

// eligible reports whether the caller's oldest ticket may run now.
func (c *caller) eligible() bool {
	return c.waiting.Len() > 0 && (c.policy.Concurrency <= 0 || c.running < c.policy.Concurrency)
}

// ran measures the pace.
func (c *caller) ran(now time.Time) {
	if !c.ranAt.IsZero() {
		c.pace += time.Duration(paceWeight * float64(now.Sub(c.ranAt)-c.pace))
	}
	c.ranAt = now
}

// idle reports whether forgetting the caller changes no later decision.
func (c *caller) idle(now time.Time, virtual float64) bool {
	if c.running > 0 || c.waiting.Len() > 0 || c.next > virtual {
		return false
	}
	if c.policy.Rate <= 0 {
		return true
	}
	c.refill(now)
	return c.tokens >= c.policy.Burst
}

func (c *caller) head() *waiter { return c.waiting.Front().Value.(*waiter) }

// expiries is a heap of waiters by their latest start.
type expiries []*waiter

func (e expiries) Len() int           { return len(e) }
func (e expiries) Less(i, j int) bool { return e[i].latest.Before(e[j].latest) }
func (e expiries) Swap(i, j int)      { e[i], e[j] = e[j], e[i]; e[i].expiry, e[j].expiry = i, j }

// Push implements heap.Interface.
func (e *expiries) Push(x any) {
	w := x.(*waiter)
	w.expiry = len(*e)
	*e = append(*e, w)
}

// Pop implements heap.Interface.
func (e *expiries) Pop() any {
	n := len(*e) - 1
	w := (*e)[n]
	(*e)[n] = nil
	*e = (*e)[:n]
	w.expiry = -1
	return w
}
