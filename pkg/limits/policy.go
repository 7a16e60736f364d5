package limits

import "time"

// Defaults of Policy.
const (
	// DefaultMaxQueue limits the waiting requests of a service at one home.
	DefaultMaxQueue = 1024
	// DefaultServiceTime is assumed until requests have been measured; it is
	// about what a request takes at an upstream.
	DefaultServiceTime = 25 * time.Millisecond
	// DefaultMaxWait applies to requests without a deadline.
	DefaultMaxWait = 2 * time.Second
)

// CallerPolicy limits one caller of a service at this home. Zero values mean
// no limit.
type CallerPolicy struct {
	// Rate is the sustained number of requests per second.
	Rate float64
	// Burst is how many requests may come at once; at least 1 when Rate is set.
	Burst float64
	// Concurrency is the most requests that run at once.
	Concurrency int
	// Weight is the caller's part of a contended service relative to others;
	// zero counts as 1.
	Weight float64
}

// Policy limits the requests of a service at this home.
type Policy struct {
	// Default applies to callers that are not in Callers.
	Default CallerPolicy
	Callers map[string]CallerPolicy
	// MaxQueue limits the waiting requests; zero means DefaultMaxQueue.
	MaxQueue int
	// MaxWait limits the waiting time of every request; zero means
	// DefaultMaxWait.
	MaxWait time.Duration
}

// DefaultPolicy returns the policy of a service whose document sets no limits.
func DefaultPolicy() Policy {
	return Policy{MaxQueue: DefaultMaxQueue, MaxWait: DefaultMaxWait}
}

func (p Policy) withDefaults() Policy {
	if p.MaxQueue <= 0 {
		p.MaxQueue = DefaultMaxQueue
	}
	if p.MaxWait <= 0 {
		p.MaxWait = DefaultMaxWait
	}
	return p
}

func (p *Policy) of(caller string) CallerPolicy {
	c, ok := p.Callers[caller]
	if !ok {
		c = p.Default
	}
	if c.Weight <= 0 {
		c.Weight = 1
	}
	if c.Rate > 0 {
		c.Burst = max(1, c.Burst)
	}
	return c
}

// Ticket is one request in the queue.
type Ticket struct {
	// ID is unique among the tickets of the queue that have not ended.
	ID uint64
	// Caller is the caller's account.
	Caller string
	// Deadline is when the response is due; zero means none.
	Deadline time.Time
	// Target is when the response earns most; zero means that only Deadline
	// counts.
	Target time.Time
	// Settle is from when on it runs at an upstream that probably fails it, if
	// no other one has a free slot: an attempt there is worth more than a refusal.
	// Zero means never, as does a time that is not before the latest start.
	Settle time.Time
	// Takes is how long a request of its kind usually runs; zero means unknown,
	// and the measured service time counts.
	Takes time.Duration
	// Priority ranks kinds of requests, 0 first.
	Priority int
}

// Action is what happens to an offered request.
type Action uint8

// Actions of a decision.
const (
	// Refuse means that the request is not run.
	Refuse Action = iota
	// Run means that the request runs now and ends with Done.
	Run
	// Wait means that a later call returns the ticket, or it is cancelled.
	Wait
)

// Reason says why a request was refused.
type Reason uint8

// Reasons of a refusal.
const (
	// Admitted is the reason of Run and Wait.
	Admitted Reason = iota
	// RateLimit means that the caller exceeds its rate.
	RateLimit
	// TooLate means that the request can't start before its deadline.
	TooLate
	// QueueFull means that the caller's part of the queue is full.
	QueueFull
	// NoCapacity means that the service has no usable upstream.
	NoCapacity
)

var reasonNames = [...]string{
	Admitted: "admitted", RateLimit: "rate-limit", TooLate: "too-late",
	QueueFull: "queue-full", NoCapacity: "no-capacity",
}

// String returns the form used in answers, logs and metrics.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "unknown"
}

// Decision is the result of Offer.
type Decision struct {
	Action Action
	Reason Reason
	// ExpectedWait is the estimated time in the queue.
	ExpectedWait time.Duration
	// RetryAfter is when a refused request may be worth sending again.
	RetryAfter time.Duration
}
