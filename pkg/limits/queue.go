package limits

import (
	"container/heap"
	"container/list"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// serviceTimeWeight is the part of the measured service time that one new
	// sample makes up: about the last 20 requests count.
	serviceTimeWeight = 0.05
	// evictionsPerOffer is how many of the least recently used callers are
	// looked at per request; more than one, so that eviction outruns arrival.
	evictionsPerOffer = 2
	// paceWeight is the part of a caller's pace that one new sample makes up.
	paceWeight = 0.05
	// admitShare is the part of the time until its latest start that a request
	// may be expected to wait. Requests of other callers that come later may run
	// first; without a margin many would be admitted and still expire.
	admitShare = 0.75
	// idleAfter is how long a caller stays remembered at least; it spares the
	// frequent callers from being forgotten and made anew.
	idleAfter = 10 * time.Second
	// maxCallers limits the callers remembered, more than the 62,000 accounts
	// there are. Beyond it the least recently used caller that neither waits
	// nor runs is forgotten with its rate state.
	maxCallers = 65536
)

// Queue admits the requests of one service at one home. It is not safe for
// concurrent use; Gate is.
type Queue struct {
	policy   Policy
	capacity int
	// reserve is how many more may run at upstreams that probably fail them.
	reserve int
	callers map[string]*caller
	used    list.List // of *caller, most recently used first
	// queued are the callers with waiting tickets.
	queued   map[*caller]struct{}
	expiries expiries
	waiting  map[uint64]*waiter
	running  map[uint64]run
	expired  []Ticket
	virtual  float64 // virtual start of the last ticket that ran
	// lastNext is the highest next of any caller. Once nobody waits, the
	// virtual time moves there, which makes all shares even again.
	lastNext  float64
	service   time.Duration // mean from start to Done
	deviation time.Duration // mean distance from that mean
}

type run struct {
	owner   *caller
	started time.Time
}

// NewQueue returns an empty queue. capacity is how many requests may run at
// once, see routing.Capacity.
func NewQueue(p Policy, capacity int) *Queue {
	return &Queue{
		policy: p.withDefaults(), capacity: capacity, service: DefaultServiceTime,
		callers: map[string]*caller{}, queued: map[*caller]struct{}{}, waiting: map[uint64]*waiter{}, running: map[uint64]run{},
	}
}

// Offer decides about a new request.
func (q *Queue) Offer(now time.Time, t Ticket) Decision {
	q.evict(now)
	q.expire(now)
	c := q.caller(now, t.Caller)
	if !t.Deadline.IsZero() && !now.Before(t.Deadline) {
		return Decision{Reason: TooLate, RetryAfter: q.service}
	}
	if q.capacity <= 0 {
		return Decision{Reason: NoCapacity, RetryAfter: q.policy.MaxWait}
	}
	wait := q.expectedWait(now, c, t, q.capacity)
	latest := q.latestStart(now, t)
	if wait > 0 {
		any := wait
		if q.reserve > 0 && !t.Settle.IsZero() && t.Settle.Before(latest) {
			any = q.expectedWait(now, c, t, q.capacity+q.reserve)
		}
		if late := any - time.Duration(admitShare*float64(latest.Sub(now))); late > 0 {
			return Decision{Reason: TooLate, ExpectedWait: wait, RetryAfter: max(late, q.service)}
		}
		if c.waiting.Len() >= q.policy.MaxQueue-len(q.waiting) {
			return Decision{Reason: QueueFull, ExpectedWait: wait, RetryAfter: max(wait, q.service)}
		}
	}
	// The token is taken last, so that a request refused for another reason
	// does not use up the caller's rate.
	if after, ok := c.take(now); !ok {
		return Decision{Reason: RateLimit, RetryAfter: after}
	}
	if wait == 0 {
		// Nobody waits, so this run is not charged to the caller's share.
		q.start(now, t.ID, c)
		return Decision{Action: Run}
	}
	q.enqueue(&waiter{ticket: t, owner: c, due: q.due(t), latest: latest})
	return Decision{Action: Wait, ExpectedWait: wait}
}

// inputs states what a decision followed from, or nil for a request that runs.
func (q *Queue) inputs(d Decision, left time.Duration) error {
	if d.Action == Run {
		return nil
	}
	return errors.Newf("expected wait %v, latest start in %v, %d running of %d and %d in reserve, %d waiting, service time %v",
		d.ExpectedWait, left, len(q.running), q.capacity, q.reserve, len(q.waiting), q.service)
}

// Done ends a running ticket and returns the tickets that may run now.
func (q *Queue) Done(now time.Time, t Ticket) []Ticket {
	r, ok := q.running[t.ID]
	if !ok {
		return nil
	}
	delete(q.running, t.ID)
	r.owner.running--
	q.measure(now.Sub(r.started))
	return q.dispatch(now)
}

// SetCapacity changes how many requests may run at once, and how many more of
// those that have waited until their Settle, and returns the tickets that may run
// now. Running requests are not affected.
func (q *Queue) SetCapacity(now time.Time, capacity, reserve int) []Ticket {
	q.capacity, q.reserve = capacity, reserve
	return q.dispatch(now)
}

// SetPolicy changes the limits; waiting and running requests are kept.
func (q *Queue) SetPolicy(now time.Time, p Policy) []Ticket {
	q.policy = p.withDefaults()
	for _, c := range q.callers {
		c.refill(now)
		c.policy = p.of(c.name)
		c.tokens = min(c.tokens, c.policy.Burst)
	}
	return q.dispatch(now)
}

// Expire returns the tickets that can no longer start in time. They have left
// the queue and are refused.
func (q *Queue) Expire(now time.Time) []Ticket {
	q.expire(now)
	out := q.expired
	q.expired = nil
	return out
}

// Cancel removes a waiting ticket; false when it is not waiting.
func (q *Queue) Cancel(t Ticket) bool {
	w, ok := q.waiting[t.ID]
	if ok {
		q.remove(w)
	}
	return ok
}

// Waiting is the number of waiting tickets.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Running is the number of tickets that run.
func (q *Queue) Running() int { return len(q.running) }

// Callers is the number of callers remembered.
func (q *Queue) Callers() int { return len(q.callers) }

// ServiceTime is the measured time from start to Done.
func (q *Queue) ServiceTime() time.Duration { return q.service }

// expectedWait estimates the time until a new ticket of the caller runs where
// capacity requests may run; zero means at once. The tickets count that would run
// before it.
func (q *Queue) expectedWait(now time.Time, c *caller, t Ticket, capacity int) time.Duration {
	blocked := c.policy.Concurrency > 0 && c.running >= c.policy.Concurrency
	if !blocked && c.waiting.Len() == 0 && !q.anyEligible() && len(q.running) < capacity {
		return 0
	}
	own := float64(c.waiting.Len())
	mine := rank{
		priority: t.Priority, tag: max(q.virtual, c.next) + own/c.policy.Weight,
		due: q.due(t), id: t.ID,
	}
	mine.late = mine.isLate(now)
	ahead := 0.0
	for _, w := range q.waiting {
		if w.owner != c && w.rank(now).before(mine) {
			ahead++
		}
	}
	wait := (ahead + own + 1) / float64(capacity)
	if c.policy.Concurrency > 0 {
		wait = max(wait, (own+1)/float64(c.policy.Concurrency))
	}
	return max(1, time.Duration(wait*float64(q.service)), time.Duration((own+1)*float64(c.pace)))
}

// latestStart is when the request must start for its response to be in time.
// Where it is not known how long a request of the kind takes, it allows for the
// mean and twice the mean deviation: under overload every request that waits
// starts close to this time, and by the mean alone half would end late.
func (q *Queue) latestStart(now time.Time, t Ticket) time.Time {
	latest := now.Add(q.policy.MaxWait)
	if !t.Deadline.IsZero() {
		margin := q.service + 2*q.deviation
		if t.Takes > 0 {
			margin = t.Takes
		}
		if d := t.Deadline.Add(-margin); d.Before(latest) {
			latest = d
		}
	}
	return latest
}

// due is when the request must start to meet its target, and its deadline if
// that is earlier; zero without a target.
func (q *Queue) due(t Ticket) time.Time {
	if t.Target.IsZero() {
		return time.Time{}
	}
	if !t.Deadline.IsZero() && t.Deadline.Before(t.Target) {
		t.Target = t.Deadline
	}
	takes := t.Takes
	if takes == 0 {
		takes = q.service
	}
	return t.Target.Add(-takes)
}

func (q *Queue) measure(took time.Duration) {
	off := took - q.service
	q.service += time.Duration(serviceTimeWeight * float64(off))
	q.deviation += time.Duration(serviceTimeWeight * float64(max(off, -off)-q.deviation))
}

// dispatch starts waiting tickets while there is capacity.
func (q *Queue) dispatch(now time.Time) []Ticket {
	q.expire(now)
	var out []Ticket
	for len(q.running) < q.capacity {
		w := q.next(now)
		if w == nil {
			break
		}
		out = append(out, q.admit(now, w))
	}
	for len(q.running) < q.capacity+q.reserve {
		w := q.nextSettled(now)
		if w == nil {
			break
		}
		out = append(out, q.admit(now, w))
	}
	return out
}

// admit starts a waiting ticket.
func (q *Queue) admit(now time.Time, w *waiter) Ticket {
	c := w.owner
	q.virtual = max(q.virtual, c.next)
	c.next += 1 / c.policy.Weight
	c.ran(now)
	q.lastNext = max(q.lastNext, c.next)
	q.remove(w)
	q.start(now, w.ticket.ID, c)
	return w.ticket
}

// nextSettled returns the ticket that must start first of those that have waited
// until their Settle, or nil.
func (q *Queue) nextSettled(now time.Time) *waiter {
	var first *waiter
	for c := range q.queued {
		if !c.eligible() {
			continue
		}
		w := c.head()
		settled := !w.ticket.Settle.IsZero() && !now.Before(w.ticket.Settle)
		if settled && (first == nil || w.before(first)) {
			first = w
		}
	}
	return first
}

// before orders tickets by when they must start at the latest.
func (w *waiter) before(o *waiter) bool {
	if !w.latest.Equal(o.latest) {
		return w.latest.Before(o.latest)
	}
	return w.ticket.ID < o.ticket.ID
}

func (q *Queue) start(now time.Time, id uint64, c *caller) {
	c.running++
	q.running[id] = run{owner: c, started: now}
}

func (q *Queue) enqueue(w *waiter) {
	c := w.owner
	if c.waiting.Len() == 0 {
		c.next = max(q.virtual, c.next)
		q.queued[c] = struct{}{}
	}
	w.place = c.waiting.PushBack(w)
	q.waiting[w.ticket.ID] = w
	heap.Push(&q.expiries, w)
}

func (q *Queue) remove(w *waiter) {
	c := w.owner
	c.waiting.Remove(w.place)
	delete(q.waiting, w.ticket.ID)
	if w.expiry >= 0 {
		heap.Remove(&q.expiries, w.expiry)
	}
	if c.waiting.Len() == 0 {
		delete(q.queued, c)
		c.pace, c.ranAt = 0, time.Time{}
	}
	if len(q.waiting) == 0 {
		q.virtual = max(q.virtual, q.lastNext)
	}
}

func (q *Queue) expire(now time.Time) {
	for len(q.expiries) > 0 && q.expiries[0].latest.Before(now) {
		w := q.expiries[0]
		q.remove(w)
		q.expired = append(q.expired, w.ticket)
	}
}

func (q *Queue) caller(now time.Time, name string) *caller {
	c := q.callers[name]
	if c == nil {
		c = &caller{name: name, policy: q.policy.of(name), filled: now, seen: now}
		c.tokens = c.policy.Burst
		c.used = q.used.PushFront(c)
		q.callers[name] = c
		return c
	}
	q.used.MoveToFront(c.used)
	c.seen = now
	return c
}

// evict forgets callers that are idle.
func (q *Queue) evict(now time.Time) {
	for range evictionsPerOffer {
		last := q.used.Back()
		if last == nil {
			return
		}
		c := last.Value.(*caller)
		crowded := len(q.callers) >= maxCallers
		if now.Sub(c.seen) < idleAfter && !crowded {
			return // all others were seen later
		}
		quiet := c.running == 0 && c.waiting.Len() == 0
		if !c.idle(now, q.virtual) && (!quiet || !crowded) {
			q.used.MoveToFront(last)
			return
		}
		q.used.Remove(last)
		delete(q.callers, c.name)
	}
}
