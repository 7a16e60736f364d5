// Package claims is the ledger that lets a request with an Idempotency-Key run
// at most once.
//
// Before a daemon dispatches a keyed non-idempotent request, it claims the key:
//
//	ledger, err := claims.New(claims.Config{Store: store})
//	attempt := claims.Attempt{ID: claims.NewAttemptID(), Fingerprint: claims.FingerprintOf(method, path, body)}
//	result, err := ledger.Claim(ctx, key, attempt)
//	switch {
//	case err != nil: // refuse: this attempt did not and will not run
//	case result.State == claims.Won: // dispatch, then Settle exactly once
//	default: // answer from result; dispatch nothing
//	}
//	err = ledger.Settle(ctx, key, attempt, claims.Outcome{Verdict: verdict.NotRun})
//
// A claim is an entry in a platform object, added by a conditional write that
// exactly one attempt can win. The entry names the attempt, so that a lost
// reply is settled by reading back. An entry without an outcome is never taken
// over: the key stays at "may have run" until the end of its retention. No
// clock and no lease decides who may dispatch.
//
// Each attempt needs an id of its own from NewAttemptID. After Claim has
// returned anything but Won, or after Settle was called, the attempt must not
// be dispatched. Several tries of one attempt at different upstreams need one
// claim only, as long as each earlier try is known not to have run.
//
// # What a refusal says
//
// An error of Claim says that this attempt does not run. It says nothing about
// earlier requests with the same key, because the platform could not be asked
// or had no room. A caller that sent the key before must send the same key
// again, and never a new one, until it gets an answer about it.
//
// # Retention
//
// A key is protected for Config.Retention (default 24 h) after it was claimed.
// Entries are removed once they are older than Retention plus ClockMargin by
// the clock of the daemon that removes them, so the promise holds as long as
// no two daemons' clocks differ by more than ClockMargin, and no daemon is
// paused for the whole retention between its claim and its dispatch.
//
// # Layouts
//
// New takes the default, NewBuckets; docs/decisions/at-most-once.md has the
// reasons and figures. NewObjects keeps one platform object per key (claims/<service>/<32 hex
// digits>) and needs a Sweeper. NewBuckets hashes the keys of a service to a
// fixed number of objects (claims/<service>/<4 hex digits>), prunes expired
// entries in the writes that it makes anyway, and needs no sweeper. Both run
// the same state machine, cell. The layout, and the number of buckets, must
// not change while claims are kept: keys claimed under the other layout would
// not be found.
package claims
