package limits

import (
	"container/list"
	"math"
	"time"
)

// caller is the state of one caller. It is removed once it equals the state of a
// new caller.
type caller struct {
	name       string
	policy     CallerPolicy
	tokens     float64
	refilledAt time.Time // time of the last update of tokens
	lastOffer  time.Time // time of the last call to Offer
	running    int
	waiting    int // waiting tickets in all flows
	// flows holds the caller's flows, also those without waiting tickets whose use of
	// the capacity still counts. It is nil for a caller whose tickets never waited.
	flows      []*flow
	lruElement *list.Element
}

// waiter is a waiting ticket.
type waiter struct {
	ticket Ticket
	flow   *flow
	// targetStart is the latest start that meets the target, in nanoseconds since Queue.origin, or
	// noTarget; latestStart is the latest start that meets the deadline.
	targetStart int64
	latestStart time.Time
	element     *list.Element
	heapIndex   int // index in Queue.expiries, or -1 once popped
}

// noTarget is the targetStart of a ticket without a target.
const noTarget = math.MaxInt64

// takeToken consumes one token, or returns the time until the next one.
func (c *caller) takeToken(now time.Time) (time.Duration, bool) {
	if c.policy.Rate <= 0 {
		return 0, true
	}
	c.refill(now)
	if c.tokens < 1 {
		return max(1, time.Duration((1-c.tokens)/c.policy.Rate*float64(time.Second))), false
	}
	c.tokens--
	return 0, true
}

func (c *caller) refill(now time.Time) {
	if elapsed := now.Sub(c.refilledAt).Seconds(); elapsed > 0 {
		c.tokens = min(c.policy.Burst, c.tokens+elapsed*c.policy.Rate)
		c.refilledAt = now
	}
}

// atConcurrencyLimit reports whether no further ticket of the caller may run.
func (c *caller) atConcurrencyLimit() bool {
	return c.policy.Concurrency > 0 && c.running >= c.policy.Concurrency
}

// idle reports whether removing the state changes no later decision.
func (c *caller) idle(now time.Time) bool {
	if c.running > 0 || c.waiting > 0 {
		return false
	}
	for _, f := range c.flows {
		if f.class.active() && f.lead() > 0 {
			return false
		}
	}
	if c.policy.Rate <= 0 {
		return true
	}
	c.refill(now)
	return c.tokens >= c.policy.Burst
}

// expiryHeap is a min-heap of waiters by latest start.
type expiryHeap []*waiter

func (e expiryHeap) Len() int           { return len(e) }
func (e expiryHeap) Less(i, j int) bool { return e[i].latestStart.Before(e[j].latestStart) }
func (e expiryHeap) Swap(i, j int)      { e[i], e[j] = e[j], e[i]; e[i].heapIndex, e[j].heapIndex = i, j }

// Push implements heap.Interface.
func (e *expiryHeap) Push(x any) {
	w := x.(*waiter)
	w.heapIndex = len(*e)
	*e = append(*e, w)
}

// Pop implements heap.Interface.
func (e *expiryHeap) Pop() any {
	n := len(*e) - 1
	w := (*e)[n]
	(*e)[n] = nil
	*e = (*e)[:n]
	w.heapIndex = -1
	return w
}
