// Package limits admits requests at one home of a service: a rate and a
// concurrency limit per caller, and a fair queue that respects deadlines.
//
// Queue is a state machine without locks, clocks or goroutines. Offer decides
// whether a request runs now, waits, or is refused; Done, SetCapacity and
// SetPolicy return the waiting tickets that may run now; Expire returns those
// that can no longer start in time. Each ticket that runs ends with exactly one
// Done.
//
// Gate wraps a Queue for the request path:
//
//	permit, err := gate.Acquire(ctx, limits.Request{Caller: caller, Deadline: deadline})
//	if err != nil { /* *verdict.Error, not run */ }
//	defer permit.Release()
//
// Tickets run by account priority, then by route priority, then by the shares of the
// callers, whose weights come with the tickets or the policy (start-time fair queueing),
// and then by age. Within one caller and priority the oldest request runs first. Requests
// that can still meet their target precede those that cannot, as long as the shares hold
// over some seconds, see rank. A request is refused at once if its position in the queue
// and the measured service time show that it cannot start before its deadline, so that
// the queue holds no work that would end too late. If the queue is full, more urgent
// tickets and those of callers with few take the places of others. See
// docs/decisions/queueing.md and docs/design/overload.md.
package limits
