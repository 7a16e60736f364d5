package limits

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"shallotglade/pkg/verdict"
)

// Request asks a Gate for permission to run.
type Request struct {
	// Caller is the caller's account.
	Caller string
	// Deadline is when the response is due; zero means none.
	Deadline time.Time
	// Target is when the response earns most; zero means none.
	Target time.Time
	// Settle is from when on it runs at an upstream that probably fails it; zero
	// means never.
	Settle time.Time
	// Takes is how long a request of its kind usually runs; zero means unknown.
	Takes time.Duration
	// Priority ranks kinds of requests, 0 first.
	Priority int
}

// Gate is a Queue for the request path: Acquire blocks until the request may
// run. It is safe for concurrent use.
type Gate struct {
	mu    sync.Mutex
	queue *Queue
	clock func() time.Time
	next  uint64
	waits map[uint64]chan bool // true: run, false: expired
}

// NewGate returns a gate in front of a new queue.
func NewGate(p Policy, capacity int, clock func() time.Time) *Gate {
	return &Gate{queue: NewQueue(p, capacity), clock: clock, waits: map[uint64]chan bool{}}
}

// Permit is the permission to run one request; call Release once it has ended.
type Permit struct {
	gate   *Gate
	ticket Ticket
	// Waited is the time spent in the queue.
	Waited time.Duration
}

// Acquire waits until the request may run. The error is a *verdict.Error with
// verdict not-run: 429 for the caller's rate, 503 otherwise, and 499 when ctx
// ended first.
func (g *Gate) Acquire(ctx context.Context, r Request) (*Permit, error) {
	g.mu.Lock()
	now := g.clock()
	g.next++
	ticket := Ticket{
		ID: g.next, Caller: r.Caller, Deadline: r.Deadline, Target: r.Target, Settle: r.Settle, Takes: r.Takes, Priority: r.Priority,
	}
	d := g.queue.Offer(now, ticket)
	g.notify(nil, g.queue.Expire(now))
	var granted chan bool
	if d.Action == Wait {
		granted = make(chan bool, 1)
		g.waits[ticket.ID] = granted
	}
	latest := g.queue.latestStart(now, ticket)
	inputs := g.queue.inputs(d, latest.Sub(now))
	g.mu.Unlock()
	switch d.Action {
	case Run:
		return &Permit{gate: g, ticket: ticket}, nil
	case Refuse:
		return nil, refusal(d.Reason, d.RetryAfter, inputs)
	}
	return g.wait(ctx, ticket, granted, now, latest)
}

// Release ends the request that the permit was given for.
func (p *Permit) Release() {
	g := p.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	g.notify(g.queue.Done(now, p.ticket), g.queue.Expire(now))
}

// SetCapacity changes how many requests may run at once, and how many more of
// those that have waited until their Settle.
func (g *Gate) SetCapacity(capacity, reserve int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	g.notify(g.queue.SetCapacity(now, capacity, reserve), g.queue.Expire(now))
}

// SetPolicy changes the limits.
func (g *Gate) SetPolicy(p Policy) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	g.notify(g.queue.SetPolicy(now, p), g.queue.Expire(now))
}

// Stats is a snapshot for metrics.
type Stats struct {
	Running, Waiting, Callers int
	ServiceTime               time.Duration
}

// Stats returns the current numbers.
func (g *Gate) Stats() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Stats{
		Running: g.queue.Running(), Waiting: g.queue.Waiting(),
		Callers: g.queue.Callers(), ServiceTime: g.queue.ServiceTime(),
	}
}

// wait blocks until the ticket runs, expires, or ctx ends.
func (g *Gate) wait(ctx context.Context, t Ticket, granted chan bool, since, latest time.Time) (*Permit, error) {
	timer := time.NewTimer(latest.Sub(since))
	defer timer.Stop()
	var run bool
	var cause error
	select {
	case run = <-granted:
	case <-timer.C:
		run = g.withdraw(t, granted)
	case <-ctx.Done():
		if g.withdraw(t, granted) {
			// The ticket was granted at the same moment; the caller is gone.
			(&Permit{gate: g, ticket: t}).Release()
		}
		cause = ctx.Err()
	}
	if run {
		return &Permit{gate: g, ticket: t, Waited: g.clock().Sub(since)}, nil
	}
	if cause != nil {
		e := verdict.Refuse(statusCallerGone, "cancelled", "The caller cancelled the request while it waited.")
		e.Cause = cause
		return nil, e
	}
	return nil, refusal(TooLate, g.Stats().ServiceTime, errors.Newf("waited %v", g.clock().Sub(since)))
}

// withdraw takes a ticket out of the queue; true when it was granted already.
func (g *Gate) withdraw(t Ticket, granted chan bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.queue.Cancel(t) {
		delete(g.waits, t.ID)
		return false
	}
	return <-granted
}

// notify wakes waiters; called with the lock held.
func (g *Gate) notify(run, expired []Ticket) {
	for _, t := range run {
		g.waits[t.ID] <- true
		delete(g.waits, t.ID)
	}
	for _, t := range expired {
		g.waits[t.ID] <- false
		delete(g.waits, t.ID)
	}
}

// statusCallerGone is the usual non-standard status for a caller that left.
const statusCallerGone = 499

// refusal returns the error of a refused request; inputs is what decided it, for
// the log.
func refusal(r Reason, after time.Duration, inputs error) *verdict.Error {
	status, detail := http.StatusServiceUnavailable, "The request cannot start before its deadline."
	switch r {
	case RateLimit:
		status, detail = http.StatusTooManyRequests, "The caller exceeds its rate limit."
	case QueueFull:
		detail = "The caller's part of the queue is full."
	case NoCapacity:
		detail = "The service has no usable upstream."
	}
	e := verdict.Refuse(status, r.String(), detail)
	e.RetryAfter, e.Cause = after, inputs
	return e
}
