// Package limits admits requests at one home of a service: a rate and a
// concurrency limit per caller, and a fair queue bounded by deadlines.
//
// Queue is the pure state machine. Offer says whether a request runs now,
// waits, or is refused; Done and SetCapacity return the waiting tickets that
// may run now; Expire returns those that can no longer start in time. Each
// ticket that runs, at once or later, ends with exactly one Done.
//
// Gate wraps a Queue for the request path:
//
//	permit, err := gate.Acquire(ctx, limits.Request{Caller: caller, Deadline: deadline})
//	if err != nil { /* *verdict.Error, not run */ }
//	defer permit.Release()
//
// The queue is start-time fair: callers take turns by weight whatever they
// offer. Within one caller the oldest request runs first. A request that, by
// its place in the queue and the measured service time, can't start before its
// deadline is refused at once, so that the queue never holds work that ends in
// vain. See docs/decisions/queueing.md.
package limits
