// Package routing picks the upstream for one attempt of a request.
//
// Build a []Candidate from the service's upstreams, refresh Own on every
// request and Others when a report of another home arrives (InFlight does the
// counting), and call Choose for each attempt:
//
//	choice, ok := routing.Choose(candidates, routing.Request{
//		Domain:     "rabat",
//		Idempotent: true,
//		Tried:      tried,
//	}, rng)
//	if !ok { /* choice.Reason says why: wait in the queue or refuse */ }
//
// Give Capacity(candidates) to the admission queue: while fewer requests run at
// this home than Capacity, Choose finds an upstream for a first attempt.
//
// The package is pure and allocates nothing in Choose. Its types are not safe
// for concurrent use; call them under the lock of the service's shard.
package routing
