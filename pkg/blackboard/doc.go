// Package blackboard is the state that the controllers of a daemon and its
// request path share.
//
// A Board holds one Service for each service, spread over shards that each have
// their own lock; each Service has its own lock too. Controllers write what they
// know (documents, upstreams, ejection records, reports of other homes), the
// request path reads it and adds outcomes:
//
//	route, service, ok := board.Route(name, host, path)
//	attempt, choice := service.Begin(now, attemptRequest)
//	... send ...
//	service.End(now, attempt, result)
//
// Nothing in this package waits for anything but locks, and no lock is held
// while something is sent.
package blackboard
