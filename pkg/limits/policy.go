package limits

import "time"

// Defaults of Policy.
const (
	// DefaultMaxQueue is the maximum number of waiting requests of a service at one home.
	DefaultMaxQueue = 1024
	// DefaultServiceTime is used until requests have been measured. It is about the
	// duration of a request at an upstream.
	DefaultServiceTime = 25 * time.Millisecond
	// DefaultMaxWait applies to requests without a deadline.
	DefaultMaxWait = 2 * time.Second
)

// CallerPolicy limits one caller of a service at this home. Zero values mean
// no limit.
type CallerPolicy struct {
	// Rate is the sustained number of requests per second.
	Rate float64
	// Burst is the size of the token bucket; at least 1 if Rate is set.
	Burst float64
	// Concurrency is the maximum number of requests that run at once.
	Concurrency int
	// Weight is the relative share of the caller when the service is overloaded;
	// zero counts as 1.
	Weight float64
}

// Policy limits the requests of a service at this home.
type Policy struct {
	// Default applies to callers that are not in Callers.
	Default CallerPolicy
	Callers map[string]CallerPolicy
	// MaxQueue is the maximum number of waiting requests; zero means DefaultMaxQueue.
	MaxQueue int
	// MaxWait is the maximum waiting time of a request; zero means
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

func (p *Policy) forCaller(caller string) CallerPolicy {
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

// Ticket is a request in the queue.
type Ticket struct {
	// ID is unique among the tickets of a queue that have not ended.
	ID uint64
	// Caller is the client account.
	Caller string
	// Deadline is when the response is due; zero means none.
	Deadline time.Time
	// Target is the time by which the response should be sent; zero means that only
	// Deadline counts.
	Target time.Time
	// ReserveAfter is the time from which the ticket may use the reserve capacity,
	// that is, slots at upstreams that are likely to fail: an attempt there is
	// better than a refusal. Zero means never, as does a time that is not before
	// the latest start.
	ReserveAfter time.Time
	// ExpectedDuration is the expected duration of the request; zero means unknown,
	// and the measured service time is used instead.
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

// Action tells the caller of Offer what to do with the request.
type Action uint8

// Actions of a Decision.
const (
	// Refuse means that the request must not run.
	Refuse Action = iota
	// Run means that the request runs now. It must end with Done.
	Run
	// Wait means that the request waits until a later call returns its ticket or
	// it is cancelled.
	Wait
)

// Reason is the reason for a Decision.
type Reason uint8

// Reasons of a Decision.
const (
	// Admitted is the reason of Run and Wait.
	Admitted Reason = iota
	// RateLimit means that the caller exceeds its rate limit.
	RateLimit
	// TooLate means that the request cannot start before its deadline.
	TooLate
	// QueueFull means that the queue, or the caller's part of it, is full, or that the ticket
	// gave its place to another one.
	QueueFull
	// NoCapacity means that the service has no usable upstream.
	NoCapacity
)

var reasonNames = [...]string{
	Admitted: "admitted", RateLimit: "rate-limit", TooLate: "too-late",
	QueueFull: "queue-full", NoCapacity: "no-capacity",
}

// String returns the name used in responses, logs and metrics.
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
	// RetryAfter is the time in which what stands before a refused request drains, or in
	// which its caller may send again. See func RetryAfter.
	RetryAfter time.Duration
}
