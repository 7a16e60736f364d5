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
// The decisions are made by types that use no network, clock or goroutine: Wallet for the
// entry daemon, Shard (a lease and a Grantor) for the grantor. All their times are those
// of a clock that counts while the host is suspended, because a lease must end then too.
package allowance
