// Package poison detects requests that crash the upstreams that run them, and
// limits how many upstreams one such request takes down.
//
// Each home keeps one Tracker per service, protected by the lock of the service.
// On the request path:
//
//	fp := poison.NewFingerprint(poison.Request{...})
//	d := tracker.Check(now, fp, usable, floor)  // Run, RunAlone, Wait, Forward, Refuse
//	tracker.Start(now, upstream, fp)            // before sending
//	tracker.Complete(now, upstream, fp)         // complete response with verdict ran
//	tracker.Abandon(upstream, fp)               // timeout, cancellation, shed
//	loss := tracker.Lost(now, upstream, fp)     // connection lost, no response
//	if loss.CheckDial { report := tracker.Dialed(now, upstream, refused) }
//
// For RunAlone, Place chooses the upstream instead of routing.Choose. Call Check,
// Place and Start without releasing the lock in between. Before a lost request is
// retried or answered, dial its upstream if CheckDial is set and report the
// result. The daemon must not retry a request for which IsSuspect is true. A
// forwarded request carries the summary from SummaryOf, which the receiving home
// merges before Check. Whenever a call sets Changed, send Summary to the service's
// other homes at once. Merge the summaries that they send.
//
// A fingerprint that was in flight at a crash is a suspect. Only one copy of it runs at
// a time, as a trial, only at the home chosen by rendezvous hashing, and at an upstream
// that did not crash with it. A trial that completes clears it. After a crash during a
// trial it is refused for a few seconds as not run. After crashes during two trials it is
// refused as poison for a limited time. docs/decisions/poison.md derives the
// bound on upstreams lost to one request.
package poison
