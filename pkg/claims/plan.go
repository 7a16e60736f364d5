package claims

import (
	"bytes"
	"slices"
	"time"
)

// plan is the next write of a cell under construction.
type plan struct {
	entries []*entry
	size    int
	// included are the claims whose entries the write adds.
	included []*op
	// write says that there is something to write, read that an op needs a
	// recent state first.
	write, read bool
}

// plan works out what the pending ops do to the known state. It finishes the
// ops that the known state answers.
func (c *cell) plan(now time.Time) *plan {
	p := &plan{entries: c.unexpired(now), size: cellOverheadBytes}
	for _, e := range p.entries {
		p.size += e.size()
	}
	for _, o := range slices.Clone(c.ops) {
		switch o.goal {
		case goalClaim:
			c.planClaim(p, o, now)
		case goalRelease:
			c.planRelease(p, o)
		case goalRecord:
			c.planRecord(p, o)
		}
	}
	return p
}

// shouldRead reports whether the state should be read again before a write for
// the op, because the known state is probably out of date.
func (c *cell) shouldRead(o *op) bool {
	if c.seen > o.after {
		return false
	}
	return c.conflicted || o.goal == goalClaim && c.steady < steadyReads
}

// unexpired returns a copy of the entries without the expired ones, but with
// those that a pending op is about.
func (c *cell) unexpired(now time.Time) []*entry {
	kept := make([]*entry, 0, len(c.entries)+len(c.ops))
	for _, e := range c.entries {
		if !e.expired(now, c.limits.keep) || slices.ContainsFunc(c.ops, func(o *op) bool { return e.heldBy(o.attempt) }) {
			kept = append(kept, e)
		}
	}
	return kept
}

func (c *cell) planClaim(p *plan, o *op, now time.Time) {
	i := p.find(o.key)
	if i < 0 {
		c.planEntry(p, o, now)
		return
	}
	e := p.entries[i]
	recent := c.seen > o.after
	switch {
	case e.heldBy(o.attempt):
		c.finish(o, Result{State: Won}, nil)
	case p.adds(e):
		// Another op of this daemon claims the key in the same write; wait for
		// what becomes of it.
	case e.Ran || recent:
		c.finish(o, e.result(o.fingerprint), nil)
	default:
		p.read = true
	}
}

// planEntry adds the entry of a claim to the write, unless the object is full
// or the state should be read first.
func (c *cell) planEntry(p *plan, o *op, now time.Time) {
	if c.shouldRead(o) {
		p.read = true
		return
	}
	e := &entry{Key: o.key, Attempt: bytes.Clone(o.attempt[:]), Fingerprint: o.fingerprint, At: now.Unix()}
	if p.size+e.size() > c.limits.maxBytes {
		c.refuse(o)
		return
	}
	p.entries = append(p.entries, e)
	p.size += e.size()
	p.included = append(p.included, o)
	p.write = true
}

// refuse answers a claim that has no room. If it is in doubt, the caller gets
// its answer when it stops waiting, as for any claim that stays unknown.
func (c *cell) refuse(o *op) {
	if !o.inDoubt {
		c.finish(o, Result{}, ErrFull)
	}
}

func (c *cell) planRelease(p *plan, o *op) {
	if i := p.find(o.key); i >= 0 && p.entries[i].heldBy(o.attempt) {
		if c.shouldRead(o) {
			p.read = true
			return
		}
		p.size -= p.entries[i].size()
		p.entries = slices.Delete(p.entries, i, i+1)
		p.write = true
		return
	}
	if o.inDoubt && c.version <= o.doubtVersion {
		// The doubtful write depends on a version that is still current. Any
		// write that takes effect moves the version and so rules it out.
		p.write = true
		return
	}
	c.finish(o, Result{}, nil)
}

func (c *cell) planRecord(p *plan, o *op) {
	i := p.find(o.key)
	if i < 0 || !p.entries[i].heldBy(o.attempt) {
		c.finish(o, Result{}, nil) // stored by a write whose reply was lost, or expired
		return
	}
	if c.shouldRead(o) {
		p.read = true
		return
	}
	e := *p.entries[i]
	p.size -= e.size()
	e.Ran, e.Attempt = true, nil
	if o.response.size() <= c.limits.maxResponse && p.size+e.size()+o.response.size() <= c.limits.responseRoom {
		e.Response = o.response
	}
	p.size += e.size()
	p.entries[i] = &e
	p.write = true
}

func (p *plan) find(key digest) int {
	return slices.IndexFunc(p.entries, func(e *entry) bool { return e.Key == key })
}

// adds reports whether the entry is not stored yet, but part of this write.
func (p *plan) adds(e *entry) bool {
	return slices.ContainsFunc(p.included, func(o *op) bool { return e.heldBy(o.attempt) })
}
