// Package blackboard holds the state that a daemon's controllers share with its
// request path.
//
// A Board holds one Service per configured service, in a sharded map with one
// lock per shard; each Service has its own lock too. Controllers write documents,
// upstreams, ejection records and reports of other homes. The request path reads
// this state and adds outcomes:
//
//	route, service, ok := board.Route(name, host, path)
//	waiter := service.Await(now, waitRequest)
//	grant := <-waiter.Granted // or service.Withdraw(now, waiter)
//	... send ...
//	service.End(now, grant.Attempt, result)
//
// Functions of this package block only on locks, and no lock is held during
// network I/O.
package blackboard
