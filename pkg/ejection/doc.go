// Package ejection decides which upstreams of a service are excluded from
// traffic. It never leaves fewer usable upstreams than the floor of the service.
//
// The package is pure. Demotion is local and immediate: Demotions lists the
// upstreams that this home chooses last. Ejection is agreed between homes: the
// platform object "ejections/<service>" holds a Record, and a home changes it
// only by a conditional update of the version that it read:
//
//	record, err := ejection.Decode(object.Value)
//	next, decisions := ejection.Propose(view, record, assessments, policy, now, rng)
//	if ejection.Changed(decisions) { value, err := next.Encode(); store.Update(ctx, key, object.Version, value) }
//
// On platform.ErrConflict and ErrUnknownOutcome the home reads the object and
// proposes again. Concurrent proposals thus result in their union, within the
// limits of the floor. A missing object is equivalent to the empty Record and is
// written with Create.
//
// Every daemon applies EffectiveExclusion to its latest record and its own list of
// upstreams. EffectiveExclusion readmits the least unhealthy upstreams if this list
// is shorter than the writer's. The floor therefore holds at every reader for any
// list and any record, even a stale one. A value that Decode rejects is treated
// like the empty Record and excludes nothing.
//
// An upstream returns in steps: Ejected until the end of the hold time, Trial
// (few idempotent requests), Ramp (a growing share) and Returned (full share; the
// record keeps the number of earlier rounds, which lengthens the next hold time).
// All states except Returned count as ejected for the floor. The number of
// upstreams that return at the same time is limited. When a record shows an
// upstream in Trial, the home calls detector.Group.Reset.
package ejection
