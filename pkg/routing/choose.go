package routing

import (
	"math/rand/v2"
	"time"
)

// DemotedShare is the fraction of an equal share of the idempotent attempts that a
// demoted upstream receives, to detect its recovery.
const DemotedShare = 0.05

// Reason is why an upstream was chosen, or why none was.
type Reason uint8

// Reasons of a choice, in the order of preference.
const (
	// OwnDomain is the least loaded upstream in the home's failure domain with a free
	// slot of this home.
	OwnDomain Reason = iota
	// OtherDomain is the same in another failure domain.
	OtherDomain
	// Borrowed is an upstream with a slot that is assigned to another home and likely
	// free.
	Borrowed
	// LikelyFailing is an upstream that probably fails; no better one has a free
	// slot.
	LikelyFailing
	// DemotedFree is a demoted upstream; no healthy one has a free slot.
	DemotedFree
	// Untried is an upstream without any known outcome yet, or one that has been without
	// requests for too long.
	Untried
	// Contended is an upstream whose slots are probably all used by other homes. It
	// is chosen if this home has no free slot and no request in flight.
	Contended
	// Ramp is an upstream in ramp, within its share.
	Ramp
	// Trial is an ejected upstream on trial, within its share.
	Trial
	// Recovery is a demoted upstream that is probed for recovery.
	Recovery
	// NoUpstream means that no upstream may be used.
	NoUpstream
	// AllTried means that this request has already used every usable upstream.
	AllTried
	// AllBusy means that no usable upstream has a free slot.
	AllBusy
	// AwaitsHealthier means that the request waits for a slot at an upstream that is
	// less likely to fail.
	AwaitsHealthier
	// AllPaused means that every usable upstream has asked for a pause or has just shed a
	// request.
	AllPaused
)

var reasonNames = [...]string{
	OwnDomain: "own-domain", OtherDomain: "other-domain", Borrowed: "borrowed", LikelyFailing: "doubtful", DemotedFree: "demoted-free",
	Untried: "untried", Contended: "contended", Ramp: "ramp", Trial: "trial", Recovery: "recovery",
	NoUpstream: "no-upstream", AllTried: "all-tried", AllBusy: "all-busy", AwaitsHealthier: "awaits-healthier", AllPaused: "all-paused",
}

// String returns the form used in logs and metrics.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "unknown"
}

// Choice is the result of Choose.
type Choice struct {
	// Index is the position in the candidates, or -1.
	Index int
	// ID and Domain are those of the chosen candidate.
	ID, Domain string
	Reason     Reason
	// FailureProbability is the probability that an attempt at the candidate fails.
	FailureProbability float64
	// LastOutcomeAt is when the last outcome behind FailureProbability was seen, zero
	// if none was.
	LastOutcomeAt time.Time
	// IdleTime is the time since any home was known to use the candidate, zero if none
	// has used it yet.
	IdleTime time.Duration
	// HighFailureRate is that of the Request.
	HighFailureRate bool
	// AvailableAt is the end of the first pause if Reason is AllPaused.
	AvailableAt time.Time
	// Load is the expected part of the slots in use before this attempt.
	Load float64
}

// Costs of a choice besides the failure probability, in lost requests. They order the
// classes of candidates: a slot of this home, one in another domain, a borrowed slot,
// a demoted upstream, a contended one.
const (
	// otherDomainCost lets a request leave its failure domain if that saves about one
	// request in twenty-five, because traffic between domains is billed.
	otherDomainCost = 0.04
	// loadCost spreads requests over equally good upstreams. It stays below
	// otherDomainCost at any load.
	loadCost      = 0.03
	borrowedCost  = 0.5
	demotedCost   = 1.5
	contendedCost = 10
	// warmUpCost applies while an upstream is slow after its start, because late
	// responses are worth less.
	warmUpCost = 0.1
)

// Exploration sends requests to upstreams that no home has used. Without an outcome
// they look worse than those known to work and would stay idle.
const (
	// exploreAfter and exploreWarmUpAfter are the minimum times since listing: by
	// then all homes list the upstream, and one in warm-up has had some time.
	exploreAfter       = time.Second
	exploreWarmUpAfter = 3 * time.Second
	// exploreRetryableValue is the value of a retryable attempt, in lost requests. It
	// outweighs otherDomainCost, warmUpCost and the failure probability assumed for
	// an upstream without outcomes.
	exploreRetryableValue = 0.2
	// After exploreAnyAfter without an outcome, for example because no request can be
	// retried, any attempt is worth exploreAnyValue.
	exploreAnyAfter = 5 * time.Second
	exploreAnyValue = 0.4
)

// Retesting bounds how long an upstream stays without requests. A failure probability
// depends on the last outcome, and an upstream without requests has no new outcome that
// could show its recovery. A bound for each upstream is needed: with a minimum share of
// upstreams in use, the same ones, those that failed last, stay unused.
const (
	// retestAfter is the idle time after which an upstream is due for a request. The
	// users' rule on the upstreams in use has a window of two seconds.
	retestAfter = 1400 * time.Millisecond
	// retestFailingAfter applies instead to upstreams at or above
	// retestFailingThreshold while a failure is expensive: few requests fail, and the
	// request cannot be retried, or retries are scarce. It varies between upstreams by
	// retestJitter of its length.
	retestFailingAfter = 4800 * time.Millisecond
	retestJitter       = 0.5
	// retestMissedRequests and retestMissedRequestsHighFailureRate lengthen the interval
	// of such upstreams in a service with few requests per upstream: each misses this
	// number of requests of an equal share before it is retested. Without them, most
	// requests of such a service would be retests, and those that fail would keep the
	// failure rate high.
	retestMissedRequests                = 14
	retestMissedRequestsHighFailureRate = 5
	retestFailingThreshold              = 0.4
	// justFailedThreshold is the failure probability at and above which an upstream
	// is not retested: it has just failed, or the path to it is bad.
	justFailedThreshold = 0.85
	// Requests that cannot be retried are delayed by retestOwnDomainDelay or
	// retestOtherDomainDelay, so that retryable ones and the homes of the upstream's
	// own domain go first and not all homes lose a request at the same moment.
	retestOwnDomainDelay   = 150 * time.Millisecond
	retestOtherDomainDelay = 350 * time.Millisecond
)

// waitMargin is how much lower the failure probability of another upstream must be
// for a request to wait for a slot there instead of using a free one that probably
// fails.
const waitMargin = 0.3

// Choose returns the upstream for one attempt: the one with the lowest cost among
// those with a free slot. If there is none, it returns false, and Choice.Reason is
// the cause.
func Choose(candidates []Candidate, req Request, rng *rand.Rand) (Choice, bool) {
	fullShareExists := hasFullShareUpstream(candidates, &req)
	if choice, ok := drawLimitedShare(candidates, &req, fullShareExists, rng); ok {
		return choice, true
	}
	if req.MayWait {
		req.lowestFailing = lowestFailureProbability(candidates, &req, fullShareExists)
	}
	best, ownInFlight := bestCandidate{index: -1}, 0
	for i := range candidates {
		c := &candidates[i]
		ownInFlight += c.OwnInFlight
		if c.unlimited(fullShareExists) && !req.excludes(c) {
			best.consider(candidates, i, &req, c.placementCost(req.Domain))
		}
	}
	return best.choice(candidates, &req, ownInFlight, fullShareExists)
}

// lowestFailureProbability returns the lowest failure probability of the upstreams that
// the request may use, with or without a free slot.
func lowestFailureProbability(candidates []Candidate, req *Request, fullShareExists bool) float64 {
	lowest := 1.0
	for i := range candidates {
		if c := &candidates[i]; c.unlimited(fullShareExists) && !req.excludes(c) {
			lowest = min(lowest, c.FailureProbability)
		}
	}
	return lowest
}

// awaitsHealthierThan reports whether the request waits for a healthier upstream rather
// than use the candidate, which will probably fail it. An upstream whose outcome is worth
// learning is not passed over: if all requests waited, none would reach it.
func (r *Request) awaitsHealthierThan(c *Candidate) bool {
	return r.MayWait && r.failsTooOften(c.FailureProbability) && c.explorationValue(r) == 0
}

// failsTooOften reports whether a request that may wait passes over an upstream with the
// failure probability.
func (r *Request) failsTooOften(probability float64) bool {
	return probability > LikelyFailingThreshold && r.lowestFailing < probability-waitMargin
}

// cost returns the cost of an attempt at the candidate, in lost requests. placementCost
// is that of the candidate in the domain of the request.
func (c *Candidate) cost(req *Request, placementCost float64) float64 {
	if c.onlyOverdueInFlight() && !c.hasOwnFreeSlot() && c.dueForRetest(req) {
		placementCost = c.freeSlotCost(req.Domain)
	}
	cost := placementCost + c.FailureProbability*req.failureCost()
	if placementCost >= contendedCost {
		return cost
	}
	if c.warmingUp(req) {
		cost += warmUpCost
	}
	return cost - c.explorationValue(req)
}

// placementCost returns the part of the cost that is the same for all requests of a home
// in the failure domain.
func (c *Candidate) placementCost(domain string) float64 {
	switch {
	case c.hasOwnFreeSlot():
		return c.freeSlotCost(domain)
	case c.mayBorrow(c.OwnInFlight):
		return borrowedCost + c.freeSlotCost(domain)
	default:
		// The request queues at the upstream for a time proportional to the load.
		return contendedCost + c.load()
	}
}

// freeSlotCost returns the placementCost of a candidate with a free slot of this home.
func (c *Candidate) freeSlotCost(domain string) float64 {
	load := c.load()
	cost := loadCost * load / (1 + load)
	if domain != "" && c.Domain != domain {
		cost += otherDomainCost
	}
	if c.Demoted {
		cost += demotedCost
	}
	return cost
}

// explorationValue returns the value of learning the outcome of an attempt, in lost
// requests.
func (c *Candidate) explorationValue(req *Request) float64 {
	if c.dueForRetest(req) {
		return req.retestValue()
	}
	if !c.LastOutcomeAt.IsZero() || c.OwnInFlight > 0 || c.OthersInFlight >= 0.5 {
		return 0
	}
	minAge := exploreAfter
	if c.warmingUp(req) {
		minAge = exploreWarmUpAfter
	}
	switch age := req.Now.Sub(c.Listed); {
	case age < minAge:
		return 0
	case age >= exploreAnyAfter:
		return exploreAnyValue
	case req.Retryable:
		return exploreRetryableValue
	}
	return 0
}

// retestValue returns the value of a request to an upstream that is due for one, in lost
// requests. It exceeds the cost of any upstream that may be retested, so that the most
// reliable of these gets the request.
func (r *Request) retestValue() float64 {
	return r.failureCost()*justFailedThreshold + otherDomainCost + loadCost
}

// dueForRetest reports whether the candidate has been without requests for too long. One
// without any outcome is left to explorationValue unless many requests fail. Overdue
// requests of other homes do not count as requests: they may never have arrived there.
func (c *Candidate) dueForRetest(req *Request) bool {
	if c.FailureProbability >= justFailedThreshold || c.OwnInFlight > 0 || c.othersActive() >= 0.5 {
		return false
	}
	if c.LastOutcomeAt.IsZero() && !req.HighFailureRate {
		return false
	}
	return c.idleTime(req) >= c.maxIdleTime(req)
}

// maxIdleTime returns the idle time after which the candidate is due for the request.
func (c *Candidate) maxIdleTime(req *Request) time.Duration {
	maxIdle := retestAfter
	failureIsCheap := req.Retryable && !req.RetriesNearlyExhausted
	switch {
	case failureIsCheap || c.FailureProbability < retestFailingThreshold:
	case req.HighFailureRate:
		maxIdle = max(retestAfter, req.timeToMiss(retestMissedRequestsHighFailureRate))
	default:
		jitter := 1 + retestJitter*(c.RetestJitter-0.5)
		maxIdle = time.Duration(jitter * float64(max(retestFailingAfter, req.timeToMiss(retestMissedRequests))))
	}
	switch {
	case req.Retryable:
		return maxIdle
	case c.sameDomain(req):
		return maxIdle + retestOwnDomainDelay
	default:
		return maxIdle + retestOtherDomainDelay
	}
}

// timeToMiss returns the time in which an unused upstream misses n requests of an equal
// share, 0 if the request rate is unknown.
func (r *Request) timeToMiss(n float64) time.Duration {
	if r.RequestRate <= 0 {
		return 0
	}
	return time.Duration(n / r.RequestRate * float64(time.Second))
}

// reason returns the reason that applies to a candidate chosen at this cost.
func (c *Candidate) reason(req *Request, cost float64) Reason {
	switch {
	case cost >= contendedCost:
		return Contended
	case c.Demoted:
		return DemotedFree
	case c.explorationValue(req) > 0:
		return Untried
	case c.FailureProbability > LikelyFailingThreshold:
		return LikelyFailing
	case !c.hasOwnFreeSlot():
		return Borrowed
	case c.sameDomain(req):
		return OwnDomain
	default:
		return OtherDomain
	}
}

// idleTime returns the time since the last known request to the candidate. A home that
// has just started knows only the times of outcomes.
func (c *Candidate) idleTime(req *Request) time.Duration {
	if c.LastSentAt.IsZero() {
		return req.Now.Sub(c.LastOutcomeAt)
	}
	return req.Now.Sub(c.LastSentAt)
}

func (c *Candidate) warmingUp(req *Request) bool { return req.Now.Before(c.WarmUpUntil) }

func (c *Candidate) sameDomain(req *Request) bool { return c.Domain == req.Domain || req.Domain == "" }

// hasOwnFreeSlot reports whether this home has a free slot without borrowing.
func (c *Candidate) hasOwnFreeSlot() bool {
	if c.OthersCurrent {
		return float64(c.OwnInFlight)+c.OthersInFlight < float64(c.slots())
	}
	return c.OwnInFlight < c.Quota
}

// noChoice returns why no upstream was chosen.
func noChoice(candidates []Candidate, req *Request, fullShareExists bool) Choice {
	choice := Choice{Index: -1, Reason: NoUpstream}
	for i := range candidates {
		c := &candidates[i]
		switch {
		case !c.unlimited(fullShareExists):
		case req.tried(c.ID):
			choice.Reason = max(choice.Reason, AllTried)
		case req.Now.Before(c.PausedUntil):
			if choice.AvailableAt.IsZero() || c.PausedUntil.Before(choice.AvailableAt) {
				choice.AvailableAt = c.PausedUntil
			}
			choice.Reason = AllPaused
		default:
			return Choice{Index: -1, Reason: AllBusy}
		}
	}
	return choice
}

// drawLimitedShare selects among the upstreams with a limited share at random: of n
// candidates, one with share s is drawn with probability s/n. Without the draw, an
// idle service would send every request to the preferred upstream, and upstreams on
// trial would never receive traffic.
func drawLimitedShare(candidates []Candidate, req *Request, fullShareExists bool, rng *rand.Rand) (Choice, bool) {
	usable, totalShare := 0, 0.0
	for i := range candidates {
		c := &candidates[i]
		if c.Share <= 0 {
			continue
		}
		usable++
		if share, _ := c.limitedShare(req, fullShareExists); share > 0 && !req.excludes(c) {
			totalShare += share
		}
	}
	if totalShare == 0 {
		return Choice{}, false
	}
	point := rng.Float64() * float64(usable)
	if point >= totalShare {
		return Choice{}, false
	}
	for i := range candidates {
		c := &candidates[i]
		share, reason := c.limitedShare(req, fullShareExists)
		if share <= 0 || req.excludes(c) {
			continue
		}
		if point < share {
			return newChoice(candidates, i, reason, req), c.hasFreeSlot()
		}
		point -= share
	}
	return Choice{}, false
}

// limitedShare returns the candidate's share in the random draw, or zero if it takes
// no part.
func (c *Candidate) limitedShare(req *Request, fullShareExists bool) (float64, Reason) {
	switch {
	case c.Share <= 0:
		return 0, NoUpstream
	case c.Demoted:
		if !req.Idempotent {
			return 0, NoUpstream
		}
		return min(c.Share, DemotedShare), Recovery
	case c.Trial:
		if !req.Idempotent {
			return 0, NoUpstream
		}
		return min(c.Share, 1), Trial
	case c.unlimited(fullShareExists):
		return 0, NoUpstream
	default:
		return c.Share, Ramp
	}
}

func newChoice(candidates []Candidate, i int, reason Reason, req *Request) Choice {
	c := &candidates[i]
	choice := Choice{
		Index: i, ID: c.ID, Domain: c.Domain, Reason: reason, Load: c.load(), FailureProbability: c.FailureProbability,
		LastOutcomeAt: c.LastOutcomeAt, HighFailureRate: req.HighFailureRate,
	}
	if !c.LastSentAt.IsZero() {
		choice.IdleTime = c.idleTime(req)
	}
	return choice
}
