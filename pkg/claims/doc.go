// Package claims ensures that a request with an Idempotency-Key runs at most
// once.
//
// Before a daemon dispatches a keyed non-idempotent request, it claims the key:
//
//	ledger, err := claims.New(claims.Config{Store: store})
//	attempt := claims.Attempt{ID: claims.NewAttemptID(), Fingerprint: claims.FingerprintOf(method, path, body)}
//	result, err := ledger.Claim(ctx, key, attempt)
//	switch {
//	case err != nil: // refuse: this attempt did not and will not run
//	case result.State == claims.Won: // dispatch, then call RecordOutcome exactly once
//	default: // answer from result; do not dispatch
//	}
//	err = ledger.RecordOutcome(ctx, key, attempt, claims.Outcome{Verdict: verdict.NotRun})
//
// A claim is an entry in a platform object, added by a conditional write that
// only one attempt can win. The entry contains the attempt's id, so if the
// reply to the write is lost, a read shows whether the attempt won. An entry
// without an outcome is never taken over: its key stays in the state "may have
// run" until the retention period ends. The decision which attempt may dispatch
// does not depend on clocks or leases.
//
// Each attempt needs a new id from NewAttemptID. If Claim returned anything but
// Won, or after RecordOutcome was called, the attempt must not be dispatched. One
// claim covers several tries of an attempt at different upstreams, provided that
// each earlier try is known not to have run.
//
// # Errors of Claim
//
// An error of Claim means that this attempt does not run. It gives no
// information about earlier requests with the same key, because the platform
// did not answer or the object was full. A caller that sent the key before must
// retry with the same key, never a new one, until it gets an answer.
//
// # Retention
//
// A key is protected for Config.Retention (default 24 h) after it was claimed.
// A daemon removes entries that are older than Retention plus MaxClockSkew by
// its own clock. The protection therefore assumes that the clocks of any two
// daemons differ by at most MaxClockSkew, and that no daemon is paused for the
// whole retention period between its claim and its dispatch.
//
// # Layouts
//
// New uses the default layout, NewBuckets; docs/decisions/at-most-once.md has
// the reasons and measurements. NewObjects keeps one platform object per key
// (claims/<service>/<32 hex digits>) and needs a Sweeper. NewBuckets hashes the
// keys of a service to a fixed number of objects (claims/<service>/<4 hex
// digits>), removes expired entries as part of its other writes, and needs no
// sweeper. Both use the same state machine, claimObject. The layout and the
// number of buckets must not change while claims are retained: keys claimed
// under another layout would not be found.
package claims
