// Package poison finds requests that crash the upstreams that run them, and
// limits how many upstreams one such request takes down.
//
// Each home keeps one Tracker per service, under the lock of the service's
// shard. On the request path:
//
//	fp := poison.Of(poison.Request{...})
//	d := tracker.Check(now, fp, usable, floor)  // Run, RunAlone, Wait, Forward, Refuse
//	tracker.Start(now, upstream, fp)            // before sending
//	tracker.Complete(now, upstream, fp)         // whole response with verdict ran
//	tracker.Abandon(upstream, fp)               // timeout, cancellation, shed
//	loss := tracker.Lost(now, upstream, fp)     // connection lost, no response
//	if loss.CheckDial { report := tracker.Dialed(now, upstream, refused) }
//
// For RunAlone, Place picks the upstream in place of routing.Choose; Check,
// Place and Start belong under one hold of the lock. Before a
// request that was lost is retried or answered, dial its upstream if CheckDial
// says so and report the result; a Suspected request must not be retried by
// the daemon. A forward carries About, which the home merges before Check. Whenever a call reports Changed, send Summary to the service's
// other homes at once, and Merge what they send.
//
// A fingerprint in flight at one crash is a suspect: it runs one copy at a
// time, only at the home named by rendezvous hashing, and not at an upstream
// where it was seen at a crash. Completing elsewhere clears it. Seen at crashes
// of two different upstreams, it is refused for a time. The bound on upstreams
// lost to one request is derived in docs/decisions/poison.md.
package poison
