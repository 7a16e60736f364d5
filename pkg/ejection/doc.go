// Package ejection decides which upstreams of a service are excluded, so that
// the service never has fewer usable upstreams than its floor.
//
// It is pure. Demotion is local and immediate: Demotions lists the upstreams
// that this home chooses last. Ejection is agreed: the value of the platform
// object "ejections/<service>" is a Record, and a home changes it only with a
// conditional update of the version that it read:
//
//	record, err := ejection.Decode(object.Value)
//	next, decisions := ejection.Propose(view, record, assessments, policy, now, rng)
//	if ejection.Changed(decisions) { value, err := next.Encode(); store.Update(ctx, key, object.Version, value) }
//
// On platform.ErrConflict, and after ErrUnknownOutcome, the home reads the
// object again and proposes again, so that concurrent proposals end in their
// union as far as the floor allows. A missing object is the empty Record, made
// with Create.
//
// Every daemon applies Effective to the latest record that it holds and to its
// own list of upstreams. Effective re-admits the least unhealthy upstreams if
// its list is smaller than the writer's, so the floor holds at every reader for
// any list and any record, however old. A value that Decode rejects is treated
// like the empty Record: it excludes nothing.
//
// An upstream returns in steps: Ejected until the hold time has passed, Trial
// (few idempotent requests), Ramp (a growing share), Returned (full share, with
// a memory of the earlier rounds that lengthens the next hold). All but
// Returned count as ejected for the floor. Few upstreams return at a time. When
// a record shows an upstream in Trial, the home calls detector.Group.Restart.
package ejection
