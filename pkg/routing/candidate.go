package routing

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// ShedPause is how long an upstream that has shed a request is not chosen. A full
// upstream that sheds has the fewest requests of this home. Without the pause it
// would look least loaded and receive all following requests until the retry budget
// is spent. At least one of its slots is likely to become free during the pause.
const ShedPause = 20 * time.Millisecond

// Candidate is one upstream as this home sees it.
type Candidate struct {
	// ID is the upstream's member ID.
	ID string
	// Domain is the upstream's failure domain.
	Domain string
	// Slots is the number of requests that the upstream runs concurrently. Zero means
	// unknown and counts as one.
	Slots int
	// OwnInFlight is the number of this home's requests in flight at the upstream.
	OwnInFlight int
	// Quota is the number of slots assigned to this home, see Quotas.
	Quota int
	// OthersInFlight is the expected number of requests that other homes have in
	// flight there, see InFlight.Others.
	OthersInFlight float64
	// OthersOverdue is the number of overdue requests among them.
	OthersOverdue float64
	// OthersCurrent is true if OthersInFlight is a current count, so that any slot
	// beyond it is free. Otherwise it is a mean, and the quotas keep two homes from
	// using the same slot.
	OthersCurrent bool
	// FailureProbability is the probability that an attempt fails, see
	// pkg/reliability.
	FailureProbability float64
	// Listed is when the upstream was listed. LastOutcomeAt is when any home saw its
	// last outcome, zero if none was seen since it was listed.
	Listed, LastOutcomeAt time.Time
	// LastSentAt is when any home is known to have last sent it a request, zero if never.
	LastSentAt time.Time
	// WarmUpUntil is the end of the warm-up, during which the upstream is slow.
	WarmUpUntil time.Time
	// Demoted is true if this home considers the upstream unhealthy.
	Demoted bool
	// Trial is true for an ejected upstream on trial. It receives idempotent requests
	// only, and never more than Share allows.
	Trial bool
	// Share is the fraction of an equal share of the attempts that the upstream may
	// receive: 1 normally, less during ramp and trial, 0 for none.
	Share float64
	// PausedUntil is ShedPause after the upstream last shed a request of this home.
	// The upstream is not chosen before then.
	PausedUntil time.Time
	// Preference breaks ties; the higher value wins. See func Preference.
	Preference uint64
	// RetestJitter, in [0, 1), varies the time until the upstream is retested. See func
	// RetestJitter.
	RetestJitter float64
}

// Request describes the attempt that needs an upstream.
type Request struct {
	// Now is the time of the attempt.
	Now time.Time
	// Domain is the failure domain of this home.
	Domain string
	// Idempotent requests may be sent to upstreams on trial and to demoted ones, to
	// detect their recovery.
	Idempotent bool
	// Retryable is true if the request can be retried when the attempt fails.
	Retryable bool
	// RetriesNearlyExhausted is true if few retries of the service's budget remain.
	RetriesNearlyExhausted bool
	// MayWait is true if the request has time to wait for a slot at an upstream that
	// is less likely to fail.
	MayWait bool
	// HighFailureRate is true while many requests fail. Upstreams that failed are then
	// retested after a shorter time, because the failure probabilities that exclude
	// them may be wrong.
	HighFailureRate bool
	// RequestRate is the recent number of requests per second and upstream of the
	// service, 0 if it is unknown.
	RequestRate float64
	// Tried lists the upstreams that earlier attempts of this request used.
	Tried []string

	// lowestFailing is the lowest failure probability of the upstreams that the request
	// may use.
	lowestFailing float64
}

// MaxReserveFailureProbability is the failure probability at and above which an
// upstream does not count as reserve. Such an upstream has just failed. A refusal,
// which tells the caller that the request did not run, is better than an attempt
// there.
const MaxReserveFailureProbability = 0.93

// LikelyFailingThreshold is the failure probability above which an upstream is used
// only if no better one has a free slot.
const LikelyFailingThreshold = 0.5

// retryableFailureCost is the cost of a failed attempt of a request that can be
// retried: the time it takes, and the chance that the retry fails too.
const retryableFailureCost = 0.15

// scarceRetryFailureCost applies while few retries are left. A retry spent on an
// upstream that is likely to fail is missing for a request that fails by chance.
const scarceRetryFailureCost = 0.5

// failureCost returns the cost of a failed attempt, in lost requests.
func (r *Request) failureCost() float64 {
	switch {
	case !r.Retryable:
		return 1
	case r.RetriesNearlyExhausted:
		return scarceRetryFailureCost
	}
	return retryableFailureCost
}

// Preference returns the tie-breaking value of an upstream at a home. It differs
// between homes, so that they do not all choose the same idle upstream.
func Preference(home, upstream string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(home)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(upstream)
	return d.Sum64()
}

// RetestJitter returns the jitter of an upstream, which is the same at all homes. Without
// it, upstreams that failed at the same time are retested at the same time, and all of
// them are idle in between.
func RetestJitter(upstream string) float64 {
	const mantissaBits = 53
	return float64(xxhash.Sum64String(upstream)>>(64-mantissaBits)) / (1 << mantissaBits)
}

// Capacity returns how many requests this home may have in flight (capacity), and how
// many more at upstreams that will probably fail them (reserve). inFlight is the number
// of requests in flight now, also at upstreams that are not candidates. capacity is at
// least one while there is a healthy upstream: a home that never starts a request reports
// no demand and would never get a slot. Upstreams in ramp count only while no upstream
// has its full share. Upstreams that probably fail count as reserve, and as capacity only
// if there is no better one: a request that waits for a good slot is served, and one that
// gets a bad slot may be lost. Upstreams at or above MaxReserveFailureProbability do not
// even count as reserve.
//
// Requests in flight at upstreams that do not count are added to the capacity: they use
// none of its slots, and would keep other requests from these.
func Capacity(candidates []Candidate, inFlight int) (capacity, reserve int) {
	fullShareExists := hasFullShareUpstream(candidates, nil)
	healthy := false
	var working, likelyFailing, failing slotCount
	for i := range candidates {
		c := &candidates[i]
		if !c.unlimited(fullShareExists) {
			continue
		}
		healthy = healthy || !c.Demoted
		switch {
		case c.FailureProbability <= LikelyFailingThreshold:
			working.add(c)
		case c.FailureProbability < MaxReserveFailureProbability:
			likelyFailing.add(c)
		default:
			failing.add(c)
		}
	}
	if working.total == 0 {
		working, likelyFailing = likelyFailing, slotCount{}
	}
	if working.total == 0 {
		working = failing
	}
	capacity = working.total + max(inFlight-working.used, 0)
	if healthy {
		capacity = max(1, capacity)
	}
	return capacity, max(likelyFailing.total-likelyFailing.used, 0)
}

// slotCount counts the requests that this home may have in flight at some upstreams, and
// those that it has.
type slotCount struct{ total, used int }

func (s *slotCount) add(c *Candidate) {
	s.total += c.maxInFlight()
	s.used += c.OwnInFlight
}

// maxInFlight returns how many requests of this home the upstream may have in flight.
func (c *Candidate) maxInFlight() int {
	if c.OthersCurrent {
		return max(c.slots()-int(c.OthersInFlight+0.5), 0)
	}
	n := c.Quota
	for c.mayBorrow(n) {
		n++
	}
	return n
}

// unlimited reports whether the candidate is chosen by cost rather than by the
// weighted draw for limited shares. While no healthy upstream has its full share,
// upstreams in ramp are unlimited: limiting all of them would refuse requests that
// they could serve.
func (c *Candidate) unlimited(fullShareExists bool) bool {
	return c.Share >= 1 || (c.Share > 0 && !c.Trial && !fullShareExists)
}

func (c *Candidate) slots() int { return max(1, c.Slots) }

func (c *Candidate) load() float64 {
	return (float64(c.OwnInFlight) + c.OthersInFlight) / float64(c.slots())
}

// othersActive returns the expected number of requests of other homes in flight that are
// not overdue.
func (c *Candidate) othersActive() float64 { return max(c.OthersInFlight-c.OthersOverdue, 0) }

// onlyOverdueInFlight reports whether all requests in flight are overdue ones of other
// homes. They hold no slot if they never arrived at the upstream, which only a retest may
// assume: an upstream that is slow runs them.
func (c *Candidate) onlyOverdueInFlight() bool {
	return c.OwnInFlight == 0 && c.OthersOverdue > 0 && c.othersActive() < 0.5
}

func (c *Candidate) hasFreeSlot() bool { return c.hasOwnFreeSlot() || c.mayBorrow(c.OwnInFlight) }

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

// hasFullShareUpstream reports whether an untried healthy upstream has its full
// share.
func hasFullShareUpstream(candidates []Candidate, req *Request) bool {
	for i := range candidates {
		c := &candidates[i]
		if c.Share >= 1 && !c.Demoted && (req == nil || !req.tried(c.ID)) {
			return true
		}
	}
	return false
}
