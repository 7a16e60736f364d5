package routing

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// ShedPause is how long an upstream that has shed a request is left alone. A
// full upstream has the fewest requests of this home and would otherwise be the
// least loaded one for all that follow, until the retry budget is spent. In
// this time at least one of its slots is likely to become free.
const ShedPause = 20 * time.Millisecond

// Candidate is one upstream as this home sees it.
type Candidate struct {
	// ID is the upstream's member ID.
	ID string
	// Domain is the upstream's failure domain.
	Domain string
	// Slots is how many requests the upstream runs at a time. Zero means
	// unknown and counts as one.
	Slots int
	// Own is the number of this home's requests in flight at the upstream.
	Own int
	// Quota is how many of the slots are dealt to this home, see Quotas.
	Quota int
	// Others is the expected number of requests that other homes have in
	// flight there, see InFlight.Others.
	Others float64
	// OthersKnown means that Others is the number in flight a moment ago, so
	// that a slot beyond it is free. Otherwise Others is a mean, and quotas keep
	// homes from meeting at a slot.
	OthersKnown bool
	// Failing is the probability that an attempt fails, see pkg/reliability.
	Failing float64
	// Listed is when the upstream was listed, Seen when a home saw its last
	// outcome, zero if none was seen since.
	Listed, Seen time.Time
	// Used is when this home last sent it a request, zero if it did not.
	Used time.Time
	// ColdUntil is until when the upstream is slow after its start.
	ColdUntil time.Time
	// Demoted marks an upstream that this home judges unhealthy.
	Demoted bool
	// Trial marks an ejected upstream that is on trial: it receives idempotent
	// requests only, and never more than Share allows.
	Trial bool
	// Share is the part of an equal share of the attempts that the upstream
	// may receive: 1 for normal, less during ramp and trial, 0 for none.
	Share float64
	// PausedUntil is ShedPause after the last time that the upstream shed a
	// request of this home; until then it is not chosen.
	PausedUntil time.Time
	// Preference breaks ties, higher first; see Preference.
	Preference uint64
}

// Request is what Choose needs to know about the attempt.
type Request struct {
	// Now is the time of the attempt.
	Now time.Time
	// Domain is the failure domain of this home.
	Domain string
	// Idempotent requests may be sent to upstreams on trial and to demoted
	// ones, so that their recovery is seen.
	Idempotent bool
	// Repeatable means that the request can be sent again if the attempt fails.
	Repeatable bool
	// Scarce means that few further attempts are left in the service's budget.
	Scarce bool
	// MayWait means that the request has time to wait for a slot at an upstream
	// that is less likely to fail.
	MayWait bool
	// Spread asks for work at most upstreams, since many requests fail: a belief
	// that leaves few upstreams in use may be wrong. Without it, repeatable requests are
	// spread unless further attempts are scarce, and others over less doubtful upstreams.
	Spread bool
	// Tried lists the upstreams that earlier attempts of this request used.
	Tried []string

	// fewInUse means that spreadShare of the upstreams are not in use.
	fewInUse bool
}

// Hopeless is the probability of failing from which an upstream is no reserve: it
// has just failed, and a refusal that is certainly not run serves the caller better.
const Hopeless = 0.93

// Doubt is the probability of failing from which an upstream is used only when
// no better one has a free slot.
const Doubt = 0.5

// repeatLoss is what a failed attempt of a request that can be sent again costs:
// some time, and the chance that the next one fails too.
const repeatLoss = 0.15

// scarceLoss is the same while few repeats are left: each one that a doubtful
// upstream uses up is missing for a request that fails by chance.
const scarceLoss = 0.5

// loss is what a failed attempt costs, in lost answers.
func (r *Request) loss() float64 {
	switch {
	case !r.Repeatable:
		return 1
	case r.Scarce:
		return scarceLoss
	}
	return repeatLoss
}

// Preference is the tie-breaking value of an upstream at a home. It differs
// between homes, so that they don't all choose the same idle upstream.
func Preference(home, upstream string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(home)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(upstream)
	return d.Sum64()
}

// Capacity is how many requests this home may have in flight at once, its own
// slots and those it may borrow, and how many more at upstreams that probably fail
// them (reserve). The former is at least one while there is a healthy upstream,
// because a home that never starts a request would stay starved. Upstreams in ramp
// count only while no normal one exists, and upstreams that probably fail are no
// reserve only while there is no better one: a request that waits for a good slot
// is served, and one that gets a bad slot may be lost.
func Capacity(candidates []Candidate) (capacity, reserve int) {
	full := hasFull(candidates, nil)
	healthy, hopeless := false, 0
	for i := range candidates {
		c := &candidates[i]
		if !c.normal(full) {
			continue
		}
		healthy = healthy || !c.Demoted
		switch {
		case c.Failing <= Doubt:
			capacity += c.limit()
		case c.Failing < Hopeless:
			reserve += c.limit()
		default:
			hopeless += c.limit()
		}
	}
	if capacity == 0 {
		capacity, reserve = reserve, 0
	}
	if capacity == 0 {
		capacity = hopeless
	}
	if healthy {
		capacity = max(1, capacity)
	}
	return capacity, reserve
}

// limit is how many requests of this home the upstream may have in flight.
func (c *Candidate) limit() int {
	if c.OthersKnown {
		return max(c.slots()-int(c.Others+0.5), 0)
	}
	n := c.Quota
	for c.mayBorrow(n) {
		n++
	}
	return n
}

// normal reports whether the candidate is outside the share lottery. While no
// healthy upstream has its full share, those in ramp count as normal: limiting
// all of them would refuse requests that they could serve.
func (c *Candidate) normal(full bool) bool {
	return c.Share >= 1 || (c.Share > 0 && !c.Trial && !full)
}

func (c *Candidate) slots() int { return max(1, c.Slots) }

func (c *Candidate) load() float64 {
	return (float64(c.Own) + c.Others) / float64(c.slots())
}

func (c *Candidate) free() bool { return c.mine() || c.mayBorrow(c.Own) }

// excludes reports whether the request must not be sent to the candidate now.
func (r *Request) excludes(c *Candidate) bool {
	return r.tried(c.ID) || r.Now.Before(c.PausedUntil)
}

func (r *Request) tried(id string) bool {
	for _, t := range r.Tried {
		if t == id {
			return true
		}
	}
	return false
}

// hasFull reports whether a healthy upstream with its full share is left.
func hasFull(candidates []Candidate, req *Request) bool {
	for i := range candidates {
		c := &candidates[i]
		if c.Share >= 1 && !c.Demoted && (req == nil || !req.tried(c.ID)) {
			return true
		}
	}
	return false
}
