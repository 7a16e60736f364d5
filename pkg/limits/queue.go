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
	// noCapacityRetry is the RetryAfter of a service without any usable upstream. One
	// may be listed or recover at any moment.
	noCapacityRetry = time.Second
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
	// origin is the time of the first Offer. Times of targets count from it: it has a
	// monotonic clock reading, while the wall clock may jump.
	origin time.Time
	// reserve is how many more requests may run at upstreams that are likely to fail.
	reserve int
	callers map[string]*caller
	lru     list.List // of *caller, most recently used first
	// classes holds the classes with waiting tickets, the most urgent first.
	classes []*classQueue
	// targets holds the waiting tickets with a target, sorted by target start.
	targets  []*waiter
	expiries expiryHeap
	waiting  map[uint64]*waiter
	running  map[uint64]runningRequest
	expired  []Ticket
	// displaced holds the tickets that left a full queue for others.
	displaced            []Ticket
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
		callers: map[string]*caller{}, waiting: map[uint64]*waiter{}, running: map[uint64]runningRequest{},
	}
}

// Offer admits, queues or refuses a new request.
func (q *Queue) Offer(now time.Time, t Ticket) Decision {
	if q.origin.IsZero() {
		q.origin = now
	}
	q.evict(now)
	q.expire(now)
	c := q.caller(now, t.Caller)
	if !t.Deadline.IsZero() && !now.Before(t.Deadline) {
		return Decision{Reason: TooLate, RetryAfter: q.serviceTime}
	}
	if q.capacity <= 0 {
		return Decision{Reason: NoCapacity, RetryAfter: noCapacityRetry}
	}
	p := q.position(c, t)
	wait := q.expectedWait(now, c, t, p, q.capacity)
	latestStart := q.latestStart(now, t)
	var displaced *waiter
	if wait > 0 {
		shortest := wait
		if q.reserve > 0 && !t.ReserveAfter.IsZero() && t.ReserveAfter.Before(latestStart) {
			shortest = q.expectedWait(now, c, t, p, q.capacity+q.reserve)
		}
		if shortest > time.Duration(maxWaitFraction*float64(latestStart.Sub(now))) {
			return Decision{Reason: TooLate, ExpectedWait: wait, RetryAfter: max(wait, q.serviceTime)}
		}
		var ok bool
		if displaced, ok = q.findPlace(c, t); !ok {
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
	if displaced != nil {
		q.remove(displaced)
		q.displaced = append(q.displaced, displaced.ticket)
		p = q.position(c, t) // the class of the displaced ticket may have become empty
	}
	q.add(c, p, &waiter{ticket: t, targetStart: q.targetStart(t), latestStart: latestStart})
	return Decision{Action: Wait, ExpectedWait: wait}
}

// refusalDetails returns the inputs of a refusal for the log.
func (q *Queue) refusalDetails(d Decision, untilLatestStart time.Duration) error {
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
// longer start in time, or because others displaced them when the queue was full. Their
// requests must be refused.
func (q *Queue) Expire(now time.Time) []Ticket {
	expired, displaced := q.removed(now)
	return append(expired, displaced...)
}

// removed returns the tickets that can no longer start in time, and those that were
// displaced, since the last call.
func (q *Queue) removed(now time.Time) (expired, displaced []Ticket) {
	q.expire(now)
	expired, displaced = q.expired, q.displaced
	q.expired, q.displaced = nil, nil
	return expired, displaced
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

// findPlace reports whether the queue has a place for a ticket. A caller may hold as many
// places as are free, which leaves some for others; tickets of less urgent classes do not
// count. If the queue is full, the ticket may take the place of the returned one: the
// newest of the caller that holds most places of the least urgent class.
func (q *Queue) findPlace(c *caller, t Ticket) (displaced *waiter, ok bool) {
	free, lessUrgent := q.policy.MaxQueue-len(q.waiting), 0
	for _, k := range q.classes {
		if k.class.compare(t.class()) > 0 {
			lessUrgent += k.waiting
		}
	}
	withinPart := c.waiting < free+lessUrgent
	if free > 0 || len(q.classes) == 0 {
		return nil, withinPart
	}
	k := q.classes[len(q.classes)-1]
	longest := k.flows[0]
	for _, f := range k.flows {
		if f.waiting.Len() > longest.waiting.Len() {
			longest = f
		}
	}
	sameClass := k.class == t.class() && c.waiting+1 < longest.caller.waiting
	if !sameClass && (lessUrgent == 0 || !withinPart) {
		return nil, false
	}
	return longest.waiting.Back().Value.(*waiter), true
}

// expectedWait estimates how long a new ticket of the caller waits at the given
// capacity, from the tickets that would run before it. Zero means that it runs at
// once.
func (q *Queue) expectedWait(now time.Time, c *caller, t Ticket, p position, capacity int) time.Duration {
	if p.ownWaiting == 0 && len(q.running) < capacity && !c.atConcurrencyLimit() && !q.anyEligible() {
		return 0
	}
	ahead := p.ownWaiting
	for _, k := range q.classes {
		order := k.class.compare(t.class())
		if order > 0 {
			break
		}
		if order < 0 {
			ahead += k.waiting
			continue
		}
		window, account, at := q.window(k), t.Weight > 0, q.since(now)
		newTicket := waiter{ticket: t, targetStart: q.targetStart(t)}
		var newRank rank
		newRank.set(at, &newTicket, p.virtualStart-k.base(account), allowedLead(window, p.weight, account), account)
		for _, f := range k.flows {
			if f != p.flow {
				ahead += f.ticketsBefore(at, window, &newRank)
			}
		}
	}
	wait := float64(ahead+1) / float64(capacity)
	if c.policy.Concurrency > 0 {
		wait = max(wait, float64(c.waiting+1)/float64(c.policy.Concurrency))
	}
	var startInterval time.Duration
	if p.flow != nil {
		startInterval = p.flow.startInterval
	}
	return max(1, time.Duration(wait*float64(q.serviceTime)), time.Duration(p.ownWaiting+1)*startInterval)
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
// the deadline if that is earlier, as waiter.targetStart.
func (q *Queue) targetStart(t Ticket) int64 {
	if t.Target.IsZero() {
		return noTarget
	}
	if !t.Deadline.IsZero() && t.Deadline.Before(t.Target) {
		t.Target = t.Deadline
	}
	duration := t.ExpectedDuration
	if duration == 0 {
		duration = q.serviceTime
	}
	return q.since(t.Target.Add(-duration))
}

func (q *Queue) since(t time.Time) int64 { return int64(t.Sub(q.origin)) }

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
	w.flow.charge(now, q.window(w.flow.class))
	q.remove(w)
	q.start(now, w.ticket.ID, w.flow.caller)
	return w.ticket
}

// selectForReserve returns the ticket with the earliest latest start among those of the
// most urgent class that may use the reserve capacity, or nil.
func (q *Queue) selectForReserve(now time.Time) *waiter {
	for _, k := range q.classes {
		var first *waiter
		for _, f := range k.flows {
			if f.caller.atConcurrencyLimit() {
				continue
			}
			w := f.oldest
			mayUseReserve := !w.ticket.ReserveAfter.IsZero() && !now.Before(w.ticket.ReserveAfter)
			if mayUseReserve && (first == nil || w.startsBefore(first)) {
				first = w
			}
		}
		if first != nil {
			return first
		}
	}
	return nil
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

// add adds a waiting ticket at its position.
func (q *Queue) add(c *caller, p position, w *waiter) {
	q.enqueue(c, p, w)
	q.waiting[w.ticket.ID] = w
	q.addTarget(w)
	heap.Push(&q.expiries, w)
}

// remove removes a waiting ticket.
func (q *Queue) remove(w *waiter) {
	q.dequeue(w)
	q.removeTarget(w)
	delete(q.waiting, w.ticket.ID)
	if w.heapIndex >= 0 {
		heap.Remove(&q.expiries, w.heapIndex)
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
		inactive := c.running == 0 && c.waiting == 0
		if !c.idle(now) && (!inactive || !full) {
			q.lru.MoveToFront(oldest)
			return
		}
		q.lru.Remove(oldest)
		delete(q.callers, c.name)
	}
}
