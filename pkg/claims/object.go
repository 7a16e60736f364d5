package claims

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"shallotglade/pkg/platform"
)

// operationKind is the goal of an operation.
type operationKind uint8

const (
	// claimOperation claims the key for the attempt.
	claimOperation operationKind = iota
	// releaseOperation removes the claim of the attempt and ensures that
	// none of its writes can still take effect.
	releaseOperation
	// recordOperation records in the entry that the attempt ran.
	recordOperation
)

// operation is a pending change to the claim of one attempt. An abandoned claim
// becomes a release and never changes back, so an attempt is not dispatched
// after its release has begun.
type operation struct {
	key         digest
	attempt     AttemptID
	fingerprint Fingerprint
	kind        operationKind
	response    *Response // recordOperation only

	// queuedAtCall is the object's callCount when the operation was queued.
	// Only later calls return a state that is recent for this operation.
	queuedAtCall uint64
	// uncertainWrite is set while a write with the claim of this attempt may
	// still take effect. Such a write is conditional on uncertainVersion or an
	// older version; 0 means that the object must not exist.
	uncertainWrite   bool
	uncertainVersion uint64

	// onDone is called once per operation. If a claim is abandoned, only the
	// onDone of its release is called.
	onDone func(Result, error)
}

// callKind is the type of a platform call.
type callKind uint8

const (
	callGet callKind = iota
	callCreate
	callUpdate
)

// call is a platform call that a claimObject requests.
type call struct {
	kind    callKind
	version uint64
	entries []*entry
}

// reply is the result of a call: the new version after a write, the state
// returned by a read, or an error. Version 0 means that the object does not
// exist.
type reply struct {
	version uint64
	entries []*entry
	err     error
}

// limits bounds the contents of a platform object.
type limits struct {
	// entryTTL is the age at which an entry is removed, by the clock of the
	// daemon that removes it.
	entryTTL time.Duration
	// maxObjectBytes is the maximum size of a written value.
	maxObjectBytes int
	// maxResponseBytes is the maximum size of a stored response.
	maxResponseBytes int
	// maxBytesWithResponse is the maximum size of the object after a response is
	// added to it.
	maxBytesWithResponse int
}

// claimObject is a daemon's state machine for one platform object with claims.
// It has at most one call in flight: the driver gets the call from nextCall,
// makes it and passes the reply to handleReply. Operations that are queued in
// the meantime share the next write. The type makes no calls itself and is not
// safe for concurrent use; the driver holds a lock.
type claimObject struct {
	limits  limits
	pending []*operation

	// stateKnown is true if version and entries are the latest observed state.
	// Version 0 means that the object does not exist.
	stateKnown bool
	version    uint64
	entries    []*entry
	// stateCall is the number of the call that returned the state.
	stateCall uint64

	callCount uint64
	// unchangedReads counts consecutive reads that found the known version
	// unchanged. Below minUnchangedReads a claim reads before it writes, because
	// a failed write costs more of the platform's rate limit than a read.
	unchangedReads int
	// conflicted makes outcomes wait for a read too. Normally they don't,
	// because the claim before them has just returned the state.
	conflicted bool

	inFlight    bool
	currentCall call
	// addedClaims are the claims that the write in flight adds.
	addedClaims []*operation
}

// minUnchangedReads is the number of consecutive reads that must find the known
// version before the daemon assumes that it is the only writer of the object.
// One read is not enough: it finds a bucket shared by six daemons unchanged one
// time in six.
const minUnchangedReads = 3

// newClaimObject returns a claimObject. With assumeAbsent the first claim writes
// without reading, which suits an object that holds one key and rarely exists.
func newClaimObject(l limits, assumeAbsent bool) *claimObject {
	c := &claimObject{limits: l, stateKnown: assumeAbsent}
	if assumeAbsent {
		c.unchangedReads = minUnchangedReads
	}
	return c
}

// enqueue adds an operation. An outcome needs an observed state, not an assumed one.
func (c *claimObject) enqueue(o *operation) {
	if o.kind != claimOperation && c.stateCall == 0 {
		c.stateKnown = false
	}
	o.queuedAtCall = c.callCount
	c.pending = append(c.pending, o)
}

// abandon turns a pending claim into a release, which calls finished when it is
// complete. It returns false if the claim has already been answered.
func (c *claimObject) abandon(o *operation, finished func(Result, error)) bool {
	if o.kind != claimOperation || !slices.Contains(c.pending, o) {
		return false
	}
	o.kind, o.onDone = releaseOperation, finished
	if !o.uncertainWrite && !slices.Contains(c.addedClaims, o) {
		c.complete(o, Result{}, nil) // no write includes it, so there is nothing to release
	}
	return true
}

// idle reports whether there are no pending operations and no call in flight.
func (c *claimObject) idle() bool { return len(c.pending) == 0 && !c.inFlight }

// hasPendingClaims reports whether a claim waits for an answer.
func (c *claimObject) hasPendingClaims() bool {
	return slices.ContainsFunc(c.pending, func(o *operation) bool { return o.kind == claimOperation })
}

// nextCall returns the next call to make, or false if there is none. It
// completes the operations that need no call.
func (c *claimObject) nextCall(now time.Time) (call, bool) {
	if c.inFlight || len(c.pending) == 0 {
		return call{}, false
	}
	if !c.stateKnown {
		return c.startCall(call{kind: callGet}), true
	}
	p := c.planWrite(now)
	if !p.needsWrite {
		// A pending write takes precedence over a read, because it returns a recent
		// state too and must not be delayed by a stream of new claims.
		if p.needsRead {
			return c.startCall(call{kind: callGet}), true
		}
		return call{}, false
	}
	c.addedClaims = p.addedClaims
	if c.version == 0 {
		return c.startCall(call{kind: callCreate, entries: p.entries}), true
	}
	return c.startCall(call{kind: callUpdate, version: c.version, entries: p.entries}), true
}

func (c *claimObject) startCall(k call) call {
	c.callCount++
	c.inFlight, c.currentCall = true, k
	return k
}

// handleReply processes the reply to the call in flight. It returns false if the
// next call should be delayed because this one failed.
func (c *claimObject) handleReply(r reply) bool {
	c.inFlight = false
	if c.currentCall.kind == callGet {
		return c.handleReadReply(r)
	}
	included := c.addedClaims
	c.addedClaims = nil
	switch {
	case r.err == nil:
		c.conflicted = false
		c.setState(r.version, c.currentCall.entries)
		c.completeClaims(included)
		return true
	case errors.Is(r.err, platform.ErrConflict) && writeHadNoEffect(r.err):
		c.stateKnown, c.unchangedReads, c.conflicted = false, 0, true
		return true
	case writeHadNoEffect(r.err):
		c.failClaims(r.err)
		return false
	default:
		for _, o := range included {
			o.uncertainWrite, o.uncertainVersion = true, max(o.uncertainVersion, c.currentCall.version)
		}
		c.stateKnown = false
		return true
	}
}

func (c *claimObject) handleReadReply(r reply) bool {
	if r.err != nil {
		c.failClaims(r.err)
		return false
	}
	switch {
	case c.stateCall == 0: // nothing to compare with
	case r.version == c.version:
		c.unchangedReads++
		c.conflicted = false
	default:
		c.unchangedReads = 0
	}
	c.setState(r.version, r.entries)
	return true
}

// writeHadNoEffect reports whether a failed write cannot take effect any more.
// It returns false for errors that it does not know.
func writeHadNoEffect(err error) bool {
	return !errors.Is(err, platform.ErrUnknownOutcome) &&
		errors.IsAny(err, platform.ErrUnavailable, platform.ErrConflict, platform.ErrTooLarge)
}

func (c *claimObject) setState(version uint64, entries []*entry) {
	c.stateKnown, c.version, c.entries, c.stateCall = true, version, entries, c.callCount
}

// completeClaims answers the claims of a write that took effect. A claim that
// was abandoned while the write was in flight stays pending and is released next.
func (c *claimObject) completeClaims(included []*operation) {
	for _, o := range included {
		if o.kind == claimOperation {
			c.complete(o, Result{State: Won}, nil)
		}
	}
}

// failClaims refuses the pending claims. Claims whose writes may still take
// effect stay pending until a read shows whether they were stored.
func (c *claimObject) failClaims(err error) {
	err = withCause(ErrUnavailable, err)
	for _, o := range slices.Clone(c.pending) {
		if o.kind == claimOperation && !o.uncertainWrite {
			c.complete(o, Result{}, err)
		}
	}
}

func (c *claimObject) complete(o *operation, r Result, err error) {
	if i := slices.Index(c.pending, o); i >= 0 {
		c.pending = slices.Delete(c.pending, i, i+1)
		o.onDone(r, err)
	}
}
