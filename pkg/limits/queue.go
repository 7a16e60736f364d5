package limits

import (
	"container/heap"
	"container/list"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// serviceTimeSmoothing is the smoothing factor of the moving average of the service
	// time: about the last 20 requests count.
	serviceTimeSmoothing = 0.05
	// evictionsPerOffer is how many of the least recently used callers each Offer
	// checks for eviction. It is more than one, so that eviction outpaces arrivals.
	evictionsPerOffer = 2
	// startIntervalSmoothing is the smoothing factor of the moving average of a
	// caller's startInterval.
	startIntervalSmoothing = 0.05
	// maxWaitFraction is the fraction of the time until its latest start that a
	// request may be expected to wait. Later requests of other callers may run
	// first; without this margin many requests would be admitted and then expire.
	maxWaitFraction = 0.75
	// minCallerRetention is how long an idle caller is kept at least. It avoids
	// evicting and recreating frequent callers.
	minCallerRetention = 10 * time.Second
	// maxCallers is the maximum number of callers kept, more than the 62,000 existing
	// accounts. Beyond it, the least recently used caller without waiting or running
	// tickets is evicted and its rate-limit state is lost.
	maxCallers = 65536
)

// Queue admits the requests of one service at one home. It is not safe for
// concurrent use; use Gate for that.
type Queue struct {
	policy   Policy
	capacity int
	// reserve is how many more requests may run at upstreams that are likely to fail.
	reserve int
	callers map[string]*caller
	lru     list.List // of *caller, most recently used first
	// waitingCallers holds the callers with waiting tickets.
	waitingCallers map[*caller]struct{}
	expiries       expiryHeap
	waiting        map[uint64]*waiter
	running        map[uint64]runningRequest
	expired        []Ticket
	virtualTime    float64 // virtual start time of the last ticket that ran
	// maxNextStart is the highest nextStart of any caller. When the queue becomes
	// empty, the virtual time advances to it, so that all callers start even again.
	maxNextStart         float64
	serviceTime          time.Duration // mean from start to Done
	serviceTimeDeviation time.Duration // mean absolute deviation from that mean
}

type runningRequest struct {
	caller    *caller
	startedAt time.Time
}

// NewQueue returns an empty queue. capacity is how many requests may run at once,
// see routing.Capacity.
func NewQueue(p Policy, capacity int) *Queue {
	return &Queue{
		policy: p.withDefaults(), capacity: capacity, serviceTime: DefaultServiceTime,
		callers: map[string]*caller{}, waitingCallers: map[*caller]struct{}{}, waiting: map[uint64]*waiter{}, running: map[uint64]runningRequest{},
	}
}

// Offer admits, queues or refuses a new request.
func (q *Queue) Offer(now time.Time, t Ticket) Decision {
	q.evict(now)
	q.expire(now)
	c := q.caller(now, t.Caller)
	if !t.Deadline.IsZero() && !now.Before(t.Deadline) {
		return Decision{Reason: TooLate, RetryAfter: q.serviceTime}
	}
	if q.capacity <= 0 {
		return Decision{Reason: NoCapacity, RetryAfter: q.policy.MaxWait}
	}
	wait := q.expectedWait(now, c, t, q.capacity)
	latestStart := q.latestStart(now, t)
	if wait > 0 {
		any := wait
		if q.reserve > 0 && !t.ReserveAfter.IsZero() && t.ReserveAfter.Before(latestStart) {
			any = q.expectedWait(now, c, t, q.capacity+q.reserve)
		}
		if excess := any - time.Duration(maxWaitFraction*float64(latestStart.Sub(now))); excess > 0 {
			return Decision{Reason: TooLate, ExpectedWait: wait, RetryAfter: max(excess, q.serviceTime)}
		}
		if c.waiting.Len() >= q.policy.MaxQueue-len(q.waiting) {
			return Decision{Reason: QueueFull, ExpectedWait: wait, RetryAfter: max(wait, q.serviceTime)}
		}
	}
	// Take the token last, so that a request refused for another reason does not
	// count against the rate limit.
	if retryAfter, ok := c.takeToken(now); !ok {
		return Decision{Reason: RateLimit, RetryAfter: retryAfter}
	}
	if wait == 0 {
		// No eligible ticket waits, so the run is not charged to the caller's share.
		q.start(now, t.ID, c)
		return Decision{Action: Run}
	}
	q.enqueue(&waiter{ticket: t, caller: c, targetStart: q.targetStart(t), latestStart: latestStart})
	return Decision{Action: Wait, ExpectedWait: wait}
}

// decisionDetails returns the inputs of a decision for the log, or nil for a request
// that runs.
func (q *Queue) decisionDetails(d Decision, untilLatestStart time.Duration) error {
	if d.Action == Run {
		return nil
	}
	return errors.Newf("expected wait %v, latest start in %v, %d running with capacity %d and reserve %d, %d waiting, service time %v",
		d.ExpectedWait, untilLatestStart, len(q.running), q.capacity, q.reserve, len(q.waiting), q.serviceTime)
}

// Done ends a running ticket and returns the tickets that may run now.
func (q *Queue) Done(now time.Time, t Ticket) []Ticket {
	r, ok := q.running[t.ID]
	if !ok {
		return nil
	}
	delete(q.running, t.ID)
	r.caller.running--
	q.recordServiceTime(now.Sub(r.startedAt))
	return q.dispatch(now)
}

// SetCapacity sets how many requests may run at once (capacity), and how many more
// may run of those whose ReserveAfter has passed (reserve). It returns the tickets
// that may run now. Running requests are not affected.
func (q *Queue) SetCapacity(now time.Time, capacity, reserve int) []Ticket {
	q.capacity, q.reserve = capacity, reserve
	return q.dispatch(now)
}

// SetPolicy replaces the limits and returns the tickets that may run now. Waiting and
// running requests are kept.
func (q *Queue) SetPolicy(now time.Time, p Policy) []Ticket {
	q.policy = p.withDefaults()
	for _, c := range q.callers {
		c.refill(now)
		c.policy = p.forCaller(c.name)
		c.tokens = min(c.tokens, c.policy.Burst)
	}
	return q.dispatch(now)
}

// Expire returns the tickets that were removed from the queue because they can no
// longer start in time. Their requests must be refused.
func (q *Queue) Expire(now time.Time) []Ticket {
	q.expire(now)
	out := q.expired
	q.expired = nil
	return out
}

// Cancel removes a waiting ticket. It returns false if the ticket is not waiting.
func (q *Queue) Cancel(t Ticket) bool {
	w, ok := q.waiting[t.ID]
	if ok {
		q.remove(w)
	}
	return ok
}

// Waiting returns the number of waiting tickets.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Running returns the number of running tickets.
func (q *Queue) Running() int { return len(q.running) }

// Callers returns the number of callers whose state is kept.
func (q *Queue) Callers() int { return len(q.callers) }

// ServiceTime returns the mean time from the start of a ticket to its Done.
func (q *Queue) ServiceTime() time.Duration { return q.serviceTime }

// expectedWait estimates how long a new ticket of the caller waits at the given
// capacity, from the tickets that would run before it. Zero means that it runs at
// once.
func (q *Queue) expectedWait(now time.Time, c *caller, t Ticket, capacity int) time.Duration {
	atConcurrencyLimit := c.policy.Concurrency > 0 && c.running >= c.policy.Concurrency
	if !atConcurrencyLimit && c.waiting.Len() == 0 && !q.anyEligible() && len(q.running) < capacity {
		return 0
	}
	ownWaiting := float64(c.waiting.Len())
	newRank := rank{
		priority: t.Priority, virtualStart: max(q.virtualTime, c.nextStart) + ownWaiting/c.policy.Weight,
		targetStart: q.targetStart(t), id: t.ID,
	}
	newRank.missedTarget = newRank.isPastTarget(now)
	ahead := 0.0
	for _, w := range q.waiting {
		if w.caller != c && w.rank(now).before(newRank) {
			ahead++
		}
	}
	wait := (ahead + ownWaiting + 1) / float64(capacity)
	if c.policy.Concurrency > 0 {
		wait = max(wait, (ownWaiting+1)/float64(c.policy.Concurrency))
	}
	return max(1, time.Duration(wait*float64(q.serviceTime)), time.Duration((ownWaiting+1)*float64(c.startInterval)))
}

// latestStart returns the latest start at which the response is still in time. If
// the duration of the request is unknown, it subtracts the mean service time and
// twice the mean deviation: under overload every waiting request starts close to
// this time, and with the mean alone half of them would end late.
func (q *Queue) latestStart(now time.Time, t Ticket) time.Time {
	latest := now.Add(q.policy.MaxWait)
	if !t.Deadline.IsZero() {
		margin := q.serviceTime + 2*q.serviceTimeDeviation
		if t.ExpectedDuration > 0 {
			margin = t.ExpectedDuration
		}
		if d := t.Deadline.Add(-margin); d.Before(latest) {
			latest = d
		}
	}
	return latest
}

// targetStart returns the latest start at which the response meets the target, or
// the deadline if that is earlier. It is zero without a target.
func (q *Queue) targetStart(t Ticket) time.Time {
	if t.Target.IsZero() {
		return time.Time{}
	}
	if !t.Deadline.IsZero() && t.Deadline.Before(t.Target) {
		t.Target = t.Deadline
	}
	duration := t.ExpectedDuration
	if duration == 0 {
		duration = q.serviceTime
	}
	return t.Target.Add(-duration)
}

func (q *Queue) recordServiceTime(sample time.Duration) {
	diff := sample - q.serviceTime
	q.serviceTime += time.Duration(serviceTimeSmoothing * float64(diff))
	q.serviceTimeDeviation += time.Duration(serviceTimeSmoothing * float64(max(diff, -diff)-q.serviceTimeDeviation))
}

// dispatch starts waiting tickets while there is capacity and returns them.
func (q *Queue) dispatch(now time.Time) []Ticket {
	q.expire(now)
	var out []Ticket
	for len(q.running) < q.capacity {
		w := q.selectNext(now)
		if w == nil {
			break
		}
		out = append(out, q.admit(now, w))
	}
	for len(q.running) < q.capacity+q.reserve {
		w := q.selectForReserve(now)
		if w == nil {
			break
		}
		out = append(out, q.admit(now, w))
	}
	return out
}

// admit starts a waiting ticket.
func (q *Queue) admit(now time.Time, w *waiter) Ticket {
	c := w.caller
	q.virtualTime = max(q.virtualTime, c.nextStart)
	c.nextStart += 1 / c.policy.Weight
	c.recordStart(now)
	q.maxNextStart = max(q.maxNextStart, c.nextStart)
	q.remove(w)
	q.start(now, w.ticket.ID, c)
	return w.ticket
}

// selectForReserve returns the ticket with the earliest latest start among those
// that may use the reserve capacity, or nil.
func (q *Queue) selectForReserve(now time.Time) *waiter {
	var first *waiter
	for c := range q.waitingCallers {
		if !c.eligible() {
			continue
		}
		w := c.head()
		mayUseReserve := !w.ticket.ReserveAfter.IsZero() && !now.Before(w.ticket.ReserveAfter)
		if mayUseReserve && (first == nil || w.startsBefore(first)) {
			first = w
		}
	}
	return first
}

// startsBefore orders tickets by latest start.
func (w *waiter) startsBefore(o *waiter) bool {
	if !w.latestStart.Equal(o.latestStart) {
		return w.latestStart.Before(o.latestStart)
	}
	return w.ticket.ID < o.ticket.ID
}

func (q *Queue) start(now time.Time, id uint64, c *caller) {
	c.running++
	q.running[id] = runningRequest{caller: c, startedAt: now}
}

func (q *Queue) enqueue(w *waiter) {
	c := w.caller
	if c.waiting.Len() == 0 {
		c.nextStart = max(q.virtualTime, c.nextStart)
		q.waitingCallers[c] = struct{}{}
	}
	w.element = c.waiting.PushBack(w)
	q.waiting[w.ticket.ID] = w
	heap.Push(&q.expiries, w)
}

func (q *Queue) remove(w *waiter) {
	c := w.caller
	c.waiting.Remove(w.element)
	delete(q.waiting, w.ticket.ID)
	if w.heapIndex >= 0 {
		heap.Remove(&q.expiries, w.heapIndex)
	}
	if c.waiting.Len() == 0 {
		delete(q.waitingCallers, c)
		c.startInterval, c.lastStart = 0, time.Time{}
	}
	if len(q.waiting) == 0 {
		q.virtualTime = max(q.virtualTime, q.maxNextStart)
	}
}

func (q *Queue) expire(now time.Time) {
	for len(q.expiries) > 0 && q.expiries[0].latestStart.Before(now) {
		w := q.expiries[0]
		q.remove(w)
		q.expired = append(q.expired, w.ticket)
	}
}

func (q *Queue) caller(now time.Time, name string) *caller {
	c := q.callers[name]
	if c == nil {
		c = &caller{name: name, policy: q.policy.forCaller(name), refilledAt: now, lastOffer: now}
		c.tokens = c.policy.Burst
		c.lruElement = q.lru.PushFront(c)
		q.callers[name] = c
		return c
	}
	q.lru.MoveToFront(c.lruElement)
	c.lastOffer = now
	return c
}

// evict removes idle callers.
func (q *Queue) evict(now time.Time) {
	for range evictionsPerOffer {
		oldest := q.lru.Back()
		if oldest == nil {
			return
		}
		c := oldest.Value.(*caller)
		full := len(q.callers) >= maxCallers
		if now.Sub(c.lastOffer) < minCallerRetention && !full {
			return // all other callers were used more recently
		}
		inactive := c.running == 0 && c.waiting.Len() == 0
		if !c.idle(now, q.virtualTime) && (!inactive || !full) {
			q.lru.MoveToFront(oldest)
			return
		}
		q.lru.Remove(oldest)
		delete(q.callers, c.name)
	}
}
