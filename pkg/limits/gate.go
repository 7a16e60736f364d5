package limits

import (
	"context"
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
	mu      sync.Mutex
	queue   *Queue
	clock   func() time.Time
	lastID  uint64
	pending map[uint64]chan bool // by ticket ID; receives true if admitted, false if expired
}

// NewGate returns a gate in front of a new queue.
func NewGate(p Policy, capacity int, clock func() time.Time) *Gate {
	return &Gate{queue: NewQueue(p, capacity), clock: clock, pending: map[uint64]chan bool{}}
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
	g.notify(nil, g.queue.Expire(now))
	var result chan bool
	if d.Action == Wait {
		result = make(chan bool, 1)
		g.pending[ticket.ID] = result
	}
	latestStart := g.queue.latestStart(now, ticket)
	details := g.queue.decisionDetails(d, latestStart.Sub(now))
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
	g.notify(g.queue.Done(now, p.ticket), g.queue.Expire(now))
}

// SetCapacity sets how many requests may run at once (capacity), and how many
// more may run of those that may use the reserve capacity (reserve).
func (g *Gate) SetCapacity(capacity, reserve int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	g.notify(g.queue.SetCapacity(now, capacity, reserve), g.queue.Expire(now))
}

// SetPolicy replaces the limits.
func (g *Gate) SetPolicy(p Policy) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	g.notify(g.queue.SetPolicy(now, p), g.queue.Expire(now))
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

// wait blocks until the ticket runs or expires, or ctx ends.
func (g *Gate) wait(ctx context.Context, t Ticket, result chan bool, enqueuedAt, latestStart time.Time) (*Permit, error) {
	timer := time.NewTimer(latestStart.Sub(enqueuedAt))
	defer timer.Stop()
	var admitted bool
	var cause error
	select {
	case admitted = <-result:
	case <-timer.C:
		admitted = g.withdraw(t, result)
	case <-ctx.Done():
		if g.withdraw(t, result) {
			// The ticket was admitted at the same moment; free its slot.
			(&Permit{gate: g, ticket: t}).Release()
		}
		cause = ctx.Err()
	}
	if admitted {
		return &Permit{gate: g, ticket: t, Waited: g.clock().Sub(enqueuedAt)}, nil
	}
	if cause != nil {
		e := verdict.Refuse(statusClientClosedRequest, "cancelled", "The caller cancelled the request while it waited.")
		e.Cause = cause
		return nil, e
	}
	return nil, refusal(TooLate, g.Stats().ServiceTime, errors.Newf("waited %v in the queue", g.clock().Sub(enqueuedAt)))
}

// withdraw removes a ticket from the queue. It returns true if the ticket was
// admitted before.
func (g *Gate) withdraw(t Ticket, result chan bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.queue.Cancel(t) {
		delete(g.pending, t.ID)
		return false
	}
	return <-result
}

// notify wakes the goroutines of the given tickets. The caller must hold g.mu.
func (g *Gate) notify(admitted, expired []Ticket) {
	for _, t := range admitted {
		g.pending[t.ID] <- true
		delete(g.pending, t.ID)
	}
	for _, t := range expired {
		g.pending[t.ID] <- false
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
		detail = "The caller's part of the queue is full."
	case NoCapacity:
		detail = "The service has no usable upstream."
	}
	e := verdict.Refuse(status, r.String(), detail)
	e.RetryAfter, e.Cause = retryAfter, cause
	return e
}
