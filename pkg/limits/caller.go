package limits

import (
	"container/list"
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
	// nextStart is the virtual start time of the oldest waiting ticket. Only tickets
	// that run advance it: an expired or cancelled ticket costs no share.
	nextStart float64
	// startInterval is the mean interval between starts from the queue since the
	// caller began to wait; lastStart is the latest of these starts.
	startInterval time.Duration
	lastStart     time.Time
	waiting       list.List // of *waiter, oldest first
	lruElement    *list.Element
}

// waiter is a waiting ticket.
type waiter struct {
	ticket Ticket
	caller *caller
	// targetStart is the latest start that meets the target, or zero; latestStart is
	// the latest start that meets the deadline.
	targetStart, latestStart time.Time
	element                  *list.Element
	heapIndex                int // index in Queue.expiries, or -1 once popped
}

// takeToken consumes one token, or returns the time until the next one.
func (c *caller) takeToken(now time.Time) (time.Duration, bool) {
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
	if elapsed := now.Sub(c.refilledAt).Seconds(); elapsed > 0 {
		c.tokens = min(c.policy.Burst, c.tokens+elapsed*c.policy.Rate)
		c.refilledAt = now
	}
}

// eligible reports whether the concurrency limit lets the caller's oldest ticket run.
func (c *caller) eligible() bool {
	return c.waiting.Len() > 0 && (c.policy.Concurrency <= 0 || c.running < c.policy.Concurrency)
}

// recordStart updates the mean interval between starts.
func (c *caller) recordStart(now time.Time) {
	if !c.lastStart.IsZero() {
		c.startInterval += time.Duration(startIntervalSmoothing * float64(now.Sub(c.lastStart)-c.startInterval))
	}
	c.lastStart = now
}

// idle reports whether removing the state changes no later decision.
func (c *caller) idle(now time.Time, virtualTime float64) bool {
	if c.running > 0 || c.waiting.Len() > 0 || c.nextStart > virtualTime {
		return false
	}
	if c.policy.Rate <= 0 {
		return true
	}
	c.refill(now)
	return c.tokens >= c.policy.Burst
}

func (c *caller) head() *waiter { return c.waiting.Front().Value.(*waiter) }

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
