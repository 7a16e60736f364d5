package limits

import (
	"cmp"
	"container/list"
	"math"
	"slices"
	"time"
)

// Weights outside these bounds are raised or lowered to them, so that virtual times stay
// finite and distinct.
const (
	minWeight = 1e-3
	maxWeight = 1e6
)

// class is what orders waiting tickets before the shares of callers.
type class struct{ accountPriority, priority int }

func (t *Ticket) class() class { return class{t.AccountPriority, t.Priority} }

// compare orders classes, the most urgent first.
func (c class) compare(o class) int {
	return cmp.Or(cmp.Compare(c.accountPriority, o.accountPriority), cmp.Compare(c.priority, o.priority))
}

// classQueue holds the flows of one class that have waiting tickets. It is discarded once
// it has none, after which all callers start even again.
type classQueue struct {
	class class
	flows []*flow
	// waiting is the number of waiting tickets, weight the sum of the weights of flows.
	waiting int
	weight  float64
	// virtualTime is the highest virtual start time of a ticket without an account that ran, and
	// at least fairTime once a ticket of an account ran. fairTime advances as if all flows got
	// exactly their shares: a flow that lags behind, because its tickets are late, does not
	// hold it back.
	virtualTime, fairTime float64
}

func (k *classQueue) active() bool { return k.waiting > 0 }

// flow holds the waiting tickets of one caller and class, and the caller's use of the
// capacity that its share in the class allows.
type flow struct {
	caller *caller
	class  *classQueue
	weight float64
	// account is true if the weight is that of an account, and not of the policy.
	account bool
	// nextStart is the virtual start time of the oldest waiting ticket. Only tickets
	// that run advance it: an expired or cancelled ticket costs no share.
	nextStart float64
	// startInterval is the mean interval between starts from the queue since the
	// flow began to wait; lastStart is the latest of these starts.
	startInterval time.Duration
	lastStart     time.Time
	waiting       list.List // of *waiter, oldest first
	oldest        *waiter   // the first of waiting, or nil
	index         int       // index in classQueue.flows, -1 without waiting tickets
}

// base returns the virtual time at which the flow starts when it begins to wait, and from
// which its lead counts.
func (k *classQueue) base(account bool) float64 {
	if account {
		return k.fairTime
	}
	return k.virtualTime
}

// lead returns how much more capacity than the others the flow has had, in virtual time.
func (f *flow) lead() float64 { return f.nextStart - f.class.base(f.account) }

// charge adds a ticket that runs to the flow's use of the capacity. An account may be behind
// its share by the window at most. It does not move the virtual time of callers without
// account beyond fairTime: an account with a small weight is far ahead of it after one
// ticket.
func (f *flow) charge(now time.Time, window float64) {
	if f.account {
		f.nextStart = max(f.nextStart, f.class.fairTime-window)
		f.class.virtualTime = max(f.class.virtualTime, f.class.fairTime)
	} else {
		f.class.virtualTime = max(f.class.virtualTime, f.nextStart)
	}
	f.class.fairTime += 1 / f.class.weight
	f.nextStart += 1 / f.weight
	if !f.lastStart.IsZero() {
		f.startInterval += time.Duration(startIntervalSmoothing * float64(now.Sub(f.lastStart)-f.startInterval))
	}
	f.lastStart = now
}

// ticketsBefore returns how many of the flow's waiting tickets run before a new ticket of
// another flow of the class.
func (f *flow) ticketsBefore(now int64, window float64, r *rank) int {
	var first rank
	if f.rank(now, window, &first); !first.before(r) {
		return 0
	}
	limit := max(r.lead, allowedLead(window, f.weight, f.account))
	return int(min(float64(f.waiting.Len()), max(1, math.Ceil((limit-f.lead())*f.weight))))
}

// classQueue returns the queue of a class, or nil.
func (q *Queue) classQueue(c class) *classQueue {
	if i, ok := slices.BinarySearchFunc(q.classes, c, compareClass); ok {
		return q.classes[i]
	}
	return nil
}

func compareClass(k *classQueue, c class) int { return k.class.compare(c) }

// flow returns the flow of a ticket, or nil if none of the caller's tickets of the class
// has waited since the class began to wait.
func (c *caller) flow(k *classQueue) *flow {
	for _, f := range c.flows {
		if f.class == k {
			return f
		}
	}
	return nil
}

// weight returns the weight of a ticket.
func (c *caller) weight(t Ticket) float64 {
	if t.Weight > 0 {
		return min(max(t.Weight, minWeight), maxWeight)
	}
	return min(max(c.policy.Weight, minWeight), maxWeight)
}

// position is the place of a new ticket in its class.
type position struct {
	class *classQueue // nil if no ticket of the class waits
	flow  *flow       // nil if the caller has none
	// ownWaiting is the number of the flow's waiting tickets.
	ownWaiting int
	// virtualStart is the virtual start time.
	virtualStart float64
	weight       float64
}

func (q *Queue) position(c *caller, t Ticket) position {
	p := position{class: q.classQueue(t.class()), weight: c.weight(t)}
	if p.class == nil {
		return p
	}
	p.virtualStart = p.class.base(t.Weight > 0)
	if p.flow = c.flow(p.class); p.flow != nil {
		p.ownWaiting = p.flow.waiting.Len()
		p.virtualStart = max(p.virtualStart, p.flow.nextStart) + float64(p.ownWaiting)/p.weight
	}
	return p
}

// enqueue adds a waiting ticket to its flow, which it creates if necessary.
func (q *Queue) enqueue(c *caller, p position, w *waiter) {
	if p.class == nil {
		p.class = &classQueue{class: w.ticket.class()}
		i, _ := slices.BinarySearchFunc(q.classes, p.class.class, compareClass)
		q.classes = slices.Insert(q.classes, i, p.class)
	}
	f := p.flow
	if f == nil {
		c.flows = slices.DeleteFunc(c.flows, func(f *flow) bool { return !f.class.active() })
		f = &flow{caller: c, class: p.class, index: -1}
		c.flows = append(c.flows, f)
	}
	if f.index >= 0 {
		p.class.weight -= f.weight
	}
	f.weight, f.account = p.weight, w.ticket.Weight > 0
	p.class.weight += f.weight
	if f.index < 0 {
		f.nextStart, f.oldest = p.virtualStart, w
		f.index = len(p.class.flows)
		p.class.flows = append(p.class.flows, f)
	}
	w.flow = f
	w.element = f.waiting.PushBack(w)
	c.waiting++
	p.class.waiting++
}

// dequeue removes a waiting ticket from its flow.
func (q *Queue) dequeue(w *waiter) {
	f := w.flow
	k := f.class
	f.waiting.Remove(w.element)
	f.caller.waiting--
	k.waiting--
	if f.waiting.Len() > 0 {
		f.oldest = f.waiting.Front().Value.(*waiter)
		return
	}
	k.weight -= f.weight
	last := len(k.flows) - 1
	k.flows[f.index] = k.flows[last]
	k.flows[f.index].index = f.index
	k.flows[last] = nil
	k.flows = k.flows[:last]
	f.index, f.oldest, f.startInterval, f.lastStart = -1, nil, 0, time.Time{}
	if !k.active() {
		i, _ := slices.BinarySearchFunc(q.classes, k.class, compareClass)
		q.classes = slices.Delete(q.classes, i, i+1)
	}
}
