package claims

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"shallotglade/pkg/platform"
)

// goal is what an op wants to reach.
type goal uint8

const (
	// goalClaim wants the op's attempt to hold the key.
	goalClaim goal = iota
	// goalRelease wants that the attempt does not hold the key and that none
	// of its writes can still take effect.
	goalRelease
	// goalRecord wants that the entry of the attempt says that it ran.
	goalRecord
)

// op is something that one attempt waits for. A claim that is given up turns
// into a release and never back, so an attempt is not dispatched after its
// release has begun.
type op struct {
	key         digest
	attempt     AttemptID
	fingerprint Fingerprint
	goal        goal
	response    *Response // goalRecord only

	// after is the number of the cell's last call when the op arrived. Only
	// later calls show a state that is recent for this op.
	after uint64
	// inDoubt is set while a write with the claim of this attempt may still
	// take effect; such a write depends on the version doubtVersion or an
	// older one (0: on the object not existing).
	inDoubt      bool
	doubtVersion uint64

	// finished is called once for every op, or, for a claim that was given
	// up, not at all for the claim and once for the release.
	finished func(Result, error)
}

// callKind is a kind of platform call.
type callKind uint8

const (
	callGet callKind = iota
	callCreate
	callUpdate
)

// call is one platform call that a cell wants to be made.
type call struct {
	kind    callKind
	version uint64
	entries []*entry
}

// reply is the answer to a call: the version that a write gave the object, or
// the state that a read found, or an error. Version 0 means that the object
// does not exist.
type reply struct {
	version uint64
	entries []*entry
	err     error
}

// limits bounds what a cell stores.
type limits struct {
	// keep is how long an entry stays, by the clock of the daemon that prunes.
	keep time.Duration
	// maxBytes is the largest value written.
	maxBytes int
	// maxResponse is the largest response kept, in bytes.
	maxResponse int
	// responseRoom is the largest value that a response is added to, in bytes.
	responseRoom int
}

// cell is the state machine for one platform object of claims, as one daemon
// sees it. It has at most one call in flight: the driver takes the call from
// next, makes it and hands the reply to receive. Ops that arrive meanwhile
// share the next write. The type is pure; the driver holds a lock around it.
type cell struct {
	limits limits
	ops    []*op

	// known says that version and entries are the state seen last. version 0
	// means that the object does not exist.
	known   bool
	version uint64
	entries []*entry
	// seen is the number of the call that showed the state.
	seen uint64

	calls uint64
	// steady counts the reads since the last surprise that found the known
	// version unchanged. Below steadyReads a claim waits for a read before it
	// writes: a write that fails costs more of the platform's limit than a read.
	steady int
	// conflicted makes outcomes wait for a read as well. Normally they don't,
	// because the claim before them has just shown the state.
	conflicted bool

	inFlight bool
	current  call
	// included are the claims that the write in flight adds.
	included []*op
}

// steadyReads is how many reads in a row must find the known version before
// the daemon takes itself for the only one that writes the object. One would
// not do: a bucket shared by six daemons is found unchanged one time in six.
const steadyReads = 3

// newCell returns a cell. With assumeAbsent the first claim writes without
// reading, as suits an object that holds one key and rarely exists.
func newCell(l limits, assumeAbsent bool) *cell {
	c := &cell{limits: l, known: assumeAbsent}
	if assumeAbsent {
		c.steady = steadyReads
	}
	return c
}

// add queues an op. An outcome needs a state that was really seen.
func (c *cell) add(o *op) {
	if o.goal != goalClaim && c.seen == 0 {
		c.known = false
	}
	o.after = c.calls
	c.ops = append(c.ops, o)
}

// abandon turns a waiting claim into a release, whose end is reported to
// finished. It returns false when the claim has been answered already.
func (c *cell) abandon(o *op, finished func(Result, error)) bool {
	if o.goal != goalClaim || !slices.Contains(c.ops, o) {
		return false
	}
	o.goal, o.finished = goalRelease, finished
	if !o.inDoubt && !slices.Contains(c.included, o) {
		c.finish(o, Result{}, nil) // no write carries it, so there is nothing to release
	}
	return true
}

// idle reports whether nothing is left to do.
func (c *cell) idle() bool { return len(c.ops) == 0 && !c.inFlight }

// hasClaims reports whether a claim waits for an answer.
func (c *cell) hasClaims() bool {
	return slices.ContainsFunc(c.ops, func(o *op) bool { return o.goal == goalClaim })
}

// next returns the call to make, or false if there is none to make now. It
// answers the ops that need no call.
func (c *cell) next(now time.Time) (call, bool) {
	if c.inFlight || len(c.ops) == 0 {
		return call{}, false
	}
	if !c.known {
		return c.start(call{kind: callGet}), true
	}
	p := c.plan(now)
	if !p.write {
		// A write comes before a read, because it shows a recent state as well
		// and because a stream of new claims must not hold it up.
		if p.read {
			return c.start(call{kind: callGet}), true
		}
		return call{}, false
	}
	c.included = p.included
	if c.version == 0 {
		return c.start(call{kind: callCreate, entries: p.entries}), true
	}
	return c.start(call{kind: callUpdate, version: c.version, entries: p.entries}), true
}

func (c *cell) start(k call) call {
	c.calls++
	c.inFlight, c.current = true, k
	return k
}

// receive takes the reply to the call in flight. It returns false if the call
// failed for a reason that asks for a pause before the next one.
func (c *cell) receive(r reply) bool {
	c.inFlight = false
	if c.current.kind == callGet {
		return c.receiveRead(r)
	}
	included := c.included
	c.included = nil
	switch {
	case r.err == nil:
		c.conflicted = false
		c.learn(r.version, c.current.entries)
		c.answer(included)
		return true
	case errors.Is(r.err, platform.ErrConflict) && certainlyNoEffect(r.err):
		c.known, c.steady, c.conflicted = false, 0, true
		return true
	case certainlyNoEffect(r.err):
		c.failClaims(r.err)
		return false
	default:
		for _, o := range included {
			o.inDoubt, o.doubtVersion = true, max(o.doubtVersion, c.current.version)
		}
		c.known = false
		return true
	}
}

func (c *cell) receiveRead(r reply) bool {
	if r.err != nil {
		c.failClaims(r.err)
		return false
	}
	switch {
	case c.seen == 0: // nothing to compare with
	case r.version == c.version:
		c.steady++
		c.conflicted = false
	default:
		c.steady = 0
	}
	c.learn(r.version, r.entries)
	return true
}

// certainlyNoEffect reports whether a failed write cannot take effect any
// more. Any error that is not known to say so leaves doubt.
func certainlyNoEffect(err error) bool {
	return !errors.Is(err, platform.ErrUnknownOutcome) &&
		errors.IsAny(err, platform.ErrUnavailable, platform.ErrConflict, platform.ErrTooLarge)
}

func (c *cell) learn(version uint64, entries []*entry) {
	c.known, c.version, c.entries, c.seen = true, version, entries, c.calls
}

// answer finishes the ops of a write that took effect. A claim that was given
// up while the write was in flight stays, and is released next.
func (c *cell) answer(included []*op) {
	for _, o := range included {
		if o.goal == goalClaim {
			c.finish(o, Result{State: Won}, nil)
		}
	}
}

// failClaims refuses the waiting claims. Claims whose writes may still take
// effect stay, to be settled by reading back.
func (c *cell) failClaims(err error) {
	err = because(ErrUnavailable, err)
	for _, o := range slices.Clone(c.ops) {
		if o.goal == goalClaim && !o.inDoubt {
			c.finish(o, Result{}, err)
		}
	}
}

func (c *cell) finish(o *op, r Result, err error) {
	if i := slices.Index(c.ops, o); i >= 0 {
		c.ops = slices.Delete(c.ops, i, i+1)
		o.finished(r, err)
	}
}
