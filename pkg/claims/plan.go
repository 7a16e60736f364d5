package claims

import (
	"bytes"
	"slices"
	"time"
)

// writePlan collects the changes of the next write of an object.
type writePlan struct {
	entries []*entry
	size    int
	// addedClaims are the claims whose entries the write adds.
	addedClaims []*operation
	// needsWrite is true if there are changes to write, needsRead if an
	// operation needs a recent state first.
	needsWrite, needsRead bool
}

// planWrite applies the pending operations to a copy of the known state. It
// completes the operations that need no write.
func (c *claimObject) planWrite(now time.Time) *writePlan {
	p := &writePlan{entries: c.liveEntries(now), size: objectOverheadBytes}
	for _, e := range p.entries {
		p.size += e.maxEncodedSize()
	}
	for _, o := range slices.Clone(c.pending) {
		switch o.kind {
		case claimOperation:
			c.planClaim(p, o, now)
		case releaseOperation:
			c.planRelease(p, o)
		case recordOperation:
			c.planRecord(p, o)
		}
	}
	return p
}

// shouldRead reports whether the known state is probably out of date, so that it
// should be read again before a write for the operation.
func (c *claimObject) shouldRead(o *operation) bool {
	if c.stateCall > o.queuedAtCall {
		return false
	}
	return c.conflicted || o.kind == claimOperation && c.unchangedReads < minUnchangedReads
}

// liveEntries returns a copy of the entries without the expired ones. Expired
// entries of attempts with a pending operation are kept.
func (c *claimObject) liveEntries(now time.Time) []*entry {
	live := make([]*entry, 0, len(c.entries)+len(c.pending))
	for _, e := range c.entries {
		if !e.expired(now, c.limits.entryTTL) || slices.ContainsFunc(c.pending, func(o *operation) bool { return e.heldBy(o.attempt) }) {
			live = append(live, e)
		}
	}
	return live
}

func (c *claimObject) planClaim(p *writePlan, o *operation, now time.Time) {
	i := p.indexOf(o.key)
	if i < 0 {
		c.planNewEntry(p, o, now)
		return
	}
	e := p.entries[i]
	recent := c.stateCall > o.queuedAtCall
	switch {
	case e.heldBy(o.attempt):
		c.complete(o, Result{State: Won}, nil)
	case p.addsEntry(e):
		// Another operation of this daemon claims the key in the same write;
		// wait for its result.
	case e.Ran || recent:
		c.complete(o, e.result(o.fingerprint), nil)
	default:
		p.needsRead = true
	}
}

// planNewEntry adds the entry of a claim to the write, unless the object is full
// or the state should be read first.
func (c *claimObject) planNewEntry(p *writePlan, o *operation, now time.Time) {
	if c.shouldRead(o) {
		p.needsRead = true
		return
	}
	e := &entry{Key: o.key, Attempt: bytes.Clone(o.attempt[:]), Fingerprint: o.fingerprint, ClaimedAt: now.Unix()}
	if p.size+e.maxEncodedSize() > c.limits.maxObjectBytes {
		c.refuseFull(o)
		return
	}
	p.entries = append(p.entries, e)
	p.size += e.maxEncodedSize()
	p.addedClaims = append(p.addedClaims, o)
	p.needsWrite = true
}

// refuseFull refuses a claim that would make the object too large. If an earlier
// write with the claim may still take effect, the claim stays pending until its
// caller abandons it.
func (c *claimObject) refuseFull(o *operation) {
	if !o.uncertainWrite {
		c.complete(o, Result{}, ErrFull)
	}
}

func (c *claimObject) planRelease(p *writePlan, o *operation) {
	if i := p.indexOf(o.key); i >= 0 && p.entries[i].heldBy(o.attempt) {
		if c.shouldRead(o) {
			p.needsRead = true
			return
		}
		p.size -= p.entries[i].maxEncodedSize()
		p.entries = slices.Delete(p.entries, i, i+1)
		p.needsWrite = true
		return
	}
	if o.uncertainWrite && c.version <= o.uncertainVersion {
		// The uncertain write is conditional on a version that is still current.
		// Any write that takes effect changes the version, and the uncertain one
		// then fails.
		p.needsWrite = true
		return
	}
	c.complete(o, Result{}, nil)
}

func (c *claimObject) planRecord(p *writePlan, o *operation) {
	i := p.indexOf(o.key)
	if i < 0 || !p.entries[i].heldBy(o.attempt) {
		c.complete(o, Result{}, nil) // stored by a write whose reply was lost, or expired
		return
	}
	if c.shouldRead(o) {
		p.needsRead = true
		return
	}
	e := *p.entries[i]
	p.size -= e.maxEncodedSize()
	e.Ran, e.Attempt = true, nil
	if o.response.maxEncodedSize() <= c.limits.maxResponseBytes && p.size+e.maxEncodedSize()+o.response.maxEncodedSize() <= c.limits.maxBytesWithResponse {
		e.Response = o.response
	}
	p.size += e.maxEncodedSize()
	p.entries[i] = &e
	p.needsWrite = true
}

func (p *writePlan) indexOf(key digest) int {
	return slices.IndexFunc(p.entries, func(e *entry) bool { return e.Key == key })
}

// addsEntry reports whether the entry is added by this write and not stored yet.
func (p *writePlan) addsEntry(e *entry) bool {
	return slices.ContainsFunc(p.addedClaims, func(o *operation) bool { return e.heldBy(o.attempt) })
}
