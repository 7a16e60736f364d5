// Package allowance limits the requests of client accounts over the whole fleet
// (docs/design/allowances.md).
//
// One daemon of the fleet, the grantor, holds a lease in the platform and a token bucket
// for each account. The daemon that a caller reached, the entry daemon, takes a token for
// each request and asks the grantor for more in batches.
//
//	c := &allowance.Controller{Self: self, Limits: limits, Store: store, Transport: node, ...}
//	c.Provision()
//	node.Handle(allowance.Kind, ...)  // calls c.Handle
//	go c.Run(ctx)
//	release, refusal := c.Admit(ctx, account, deadline)
//	c.Release(ctx)                    // at the start of a graceful shutdown
//
// The decisions are made by types that use no network, clock or goroutine. All their times
// are those of a clock that counts while the host is suspended, because a lease must end
// then too.
//
//   - Wallet decides at the entry daemon: wallet.go has the requests, wallet_account.go the
//     tokens of one account, wallet_messages.go what is asked of the grantor, link.go which
//     daemon is asked.
//   - Shard decides whether a daemon is the grantor, by the state machine in lease.go.
//   - Grantor decides how many tokens an entry daemon gets: bucket.go has the token buckets,
//     reserve.go the reserve tokens, limits.go the sizes that keep the sum within the limit.
//
// Controller divides the accounts by shard. The runner of each shard holds the lock of these
// types, sends the messages (runner.go) and calls the platform (maintain.go).
package allowance
