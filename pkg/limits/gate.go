package limits

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"shallotglade/pkg/verdict"
)

// Request holds the arguments of Gate.Acquire.
type Request struct {
	// Caller is the client account.
	Caller string
	// Deadline is when the response is due; zero means none.
	Deadline time.Time
	// Target is the time by which the response should be sent; zero means none.
	Target time.Time
	// ReserveAfter is the time from which the request may use the reserve capacity;
	// zero means never.
	ReserveAfter time.Time
	// ExpectedDuration is the expected duration of the request; zero means unknown.
	ExpectedDuration time.Duration
	// AccountPriority is the priority of the account, or Priority if the account has none.
	// It takes precedence over Priority; 0 is the highest.
	AccountPriority int
	// Priority is the priority of the request; 0 is the highest.
	Priority int
	// Weight is the relative share of the account under overload; 0 means that of the
	// policy.
	Weight float64
}

// Gate is a blocking wrapper around a Queue for the request path. It is safe for
// concurrent use.
type Gate struct {
	mu     sync.Mutex
	queue  *Queue
	clock  func() time.Time
	lastID uint64
	// pending maps ticket IDs to channels that receive Admitted, or the reason of a refusal.
	pending map[uint64]chan Reason
	rng     *rand.Rand
}

// NewGate returns a gate in front of a new queue. rng spreads the times after which
// refused callers return; the gate uses it under its own lock.
func NewGate(p Policy, capacity int, clock func() time.Time, rng *rand.Rand) *Gate {
	return &Gate{queue: NewQueue(p, capacity), clock: clock, pending: map[uint64]chan Reason{}, rng: rng}
}

// Permit allows one request to run. Call Release when the request has ended.
type Permit struct {
	gate   *Gate
	ticket Ticket
	// Waited is the time spent in the queue.
	Waited time.Duration
}

// Acquire blocks until the request may run. Errors are of type *verdict.Error with
// verdict not-run: status 429 if the caller exceeds its rate, 499 if ctx ended while
// the request waited, and 503 otherwise.
func (g *Gate) Acquire(ctx context.Context, r Request) (*Permit, error) {
	g.mu.Lock()
	now := g.clock()
	g.lastID++
	ticket := Ticket{
		ID: g.lastID, Caller: r.Caller, Deadline: r.Deadline, Target: r.Target, ReserveAfter: r.ReserveAfter, ExpectedDuration: r.ExpectedDuration,
		AccountPriority: r.AccountPriority, Priority: r.Priority, Weight: r.Weight,
	}
	d := g.queue.Offer(now, ticket)
	g.notify(nil, now)
	var result chan Reason
	if d.Action == Wait {
		result = make(chan Reason, 1)
		g.pending[ticket.ID] = result
	}
	latestStart := g.queue.latestStart(now, ticket)
	var details error
	if d.Action == Refuse {
		details = g.queue.refusalDetails(d, latestStart.Sub(now))
		if d.Reason != RateLimit {
			d.RetryAfter = RetryAfter(d.RetryAfter, latestStart.Sub(now), g.rng)
		}
	}
	g.mu.Unlock()
	switch d.Action {
	case Run:
		return &Permit{gate: g, ticket: ticket}, nil
	case Refuse:
		return nil, refusal(d.Reason, d.RetryAfter, details)
	}
	return g.wait(ctx, ticket, result, now, latestStart)
}

// Release ends the request and frees its slot.
func (p *Permit) Release() {
	g := p.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	g.notify(g.queue.Done(now, p.ticket), now)
}

// SetCapacity sets how many requests may run at once (capacity), and how many
// more may run of those that may use the reserve capacity (reserve).
func (g *Gate) SetCapacity(capacity, reserve int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	g.notify(g.queue.SetCapacity(now, capacity, reserve), now)
}

// SetPolicy replaces the limits.
func (g *Gate) SetPolicy(p Policy) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	g.notify(g.queue.SetPolicy(now, p), now)
}

// Stats is a snapshot of a gate's counters for metrics.
type Stats struct {
	Running, Waiting, Callers int
	ServiceTime               time.Duration
}

// Stats returns the current counters.
func (g *Gate) Stats() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Stats{
		Running: g.queue.Running(), Waiting: g.queue.Waiting(),
		Callers: g.queue.Callers(), ServiceTime: g.queue.ServiceTime(),
	}
}

// wait blocks until the ticket runs or is refused, or ctx ends.
func (g *Gate) wait(ctx context.Context, t Ticket, result chan Reason, enqueuedAt, latestStart time.Time) (*Permit, error) {
	timer := time.NewTimer(latestStart.Sub(enqueuedAt))
	defer timer.Stop()
	var reason Reason
	var cause error
	select {
	case reason = <-result:
	case <-timer.C:
		reason = g.withdraw(t, result)
	case <-ctx.Done():
		if g.withdraw(t, result) == Admitted {
			// The ticket was admitted at the same moment; free its slot.
			(&Permit{gate: g, ticket: t}).Release()
		}
		cause = ctx.Err()
	}
	if cause != nil {
		e := verdict.Refuse(statusClientClosedRequest, "cancelled", "The caller cancelled the request while it waited.")
		e.Cause = cause
		return nil, e
	}
	waited := g.clock().Sub(enqueuedAt)
	if reason == Admitted {
		return &Permit{gate: g, ticket: t, Waited: waited}, nil
	}
	g.mu.Lock()
	retryAfter := RetryAfter(g.queue.backlog(), latestStart.Sub(enqueuedAt)-waited, g.rng)
	g.mu.Unlock()
	return nil, refusal(reason, retryAfter, errors.Newf("waited %v in the queue", waited))
}

// withdraw removes a ticket from the queue and returns TooLate, or the earlier decision
// on the ticket.
func (g *Gate) withdraw(t Ticket, result chan Reason) Reason {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.queue.Cancel(t) {
		delete(g.pending, t.ID)
		return TooLate
	}
	return <-result
}

// notify wakes the goroutines of the admitted tickets and of those that were removed from
// the queue. The caller must hold g.mu.
func (g *Gate) notify(admitted []Ticket, now time.Time) {
	expired, displaced := g.queue.removed(now)
	g.send(admitted, Admitted)
	g.send(expired, TooLate)
	g.send(displaced, QueueFull)
}

func (g *Gate) send(tickets []Ticket, r Reason) {
	for _, t := range tickets {
		g.pending[t.ID] <- r
		delete(g.pending, t.ID)
	}
}

// statusClientClosedRequest is the non-standard but common status of a request
// whose client went away.
const statusClientClosedRequest = 499

// refusal returns the error of a refused request. The cause holds the inputs of the
// decision; it is only logged.
func refusal(r Reason, retryAfter time.Duration, cause error) *verdict.Error {
	status, detail := http.StatusServiceUnavailable, "The request cannot start before its deadline."
	switch r {
	case RateLimit:
		status, detail = http.StatusTooManyRequests, "The caller exceeds its rate limit."
	case QueueFull:
		detail = "The queue, or the caller's part of it, is full."
	case NoCapacity:
		detail = "The service has no usable upstream."
	}
	e := verdict.Refuse(status, r.String(), detail)
	e.RetryAfter, e.Cause = retryAfter, cause
	return e
}
