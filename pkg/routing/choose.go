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
	// Untried is an upstream without any known outcome yet, or one that is unused
	// while too few upstreams are in use.
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
)

var reasonNames = [...]string{
	OwnDomain: "own-domain", OtherDomain: "other-domain", Borrowed: "borrowed", LikelyFailing: "doubtful", DemotedFree: "demoted-free",
	Untried: "untried", Contended: "contended", Ramp: "ramp", Trial: "trial", Recovery: "recovery",
	NoUpstream: "no-upstream", AllTried: "all-tried", AllBusy: "all-busy", AwaitsHealthier: "awaits-healthier",
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

// Spreading keeps most upstreams in use, as the users require for services of which
// many requests fail. If less than spreadShare of the upstreams were in use during
// the last spreadAfter, the unused ones are preferred. Upstreams that have just
// failed do not count. Retryable requests are always spread: a sudden loss of many
// requests, such as a power failure of hosts, cannot be foreseen, and testing an
// outdated failure probability costs only a retry. Other requests are spread too,
// since a service may have hardly any retryable ones. While few requests fail, they
// are spread only to upstreams that are more likely to work than to fail.
const (
	// The users' rule requires that 0.7 of the upstreams get requests within two
	// seconds. spreadAfter is below that time, and spreadShare above that share.
	spreadAfter = 1400 * time.Millisecond
	spreadShare = 0.75
	// justFailedThreshold is the failure probability at and above which an upstream
	// counts as having just failed.
	justFailedThreshold = 0.85
	// spreadRetryableValue and spreadNonRetryableValue are the values of an attempt
	// at an unused upstream while many requests fail, in lost requests.
	spreadRetryableValue    = 0.3
	spreadNonRetryableValue = 0.8
	// spreadRetryableValueFewFailures applies to retryable attempts while few
	// requests fail. It outweighs the cost of a retryable attempt at
	// justFailedThreshold plus otherDomainCost, and is below exploreRetryableValue.
	spreadRetryableValueFewFailures = 0.18
	// spreadNonRetryableValueFewFailures applies to non-retryable attempts while few
	// requests fail. It equals the failure probability of an upstream about ten
	// seconds after a failure. With 0.3, recovered upstreams stay without requests
	// for longer.
	spreadNonRetryableValueFewFailures = 0.4
	// spreadNonRetryableAfter and spreadOtherDomainAfter are the idle times after
	// which non-retryable attempts are spread to upstreams in the home's failure
	// domain and in others. Retryable requests go first, after spreadAfter. The
	// delays keep all homes from trying an upstream at the same moment and losing a
	// request each.
	spreadNonRetryableAfter = 1550 * time.Millisecond
	spreadOtherDomainAfter  = 1750 * time.Millisecond
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
	req.tooFewInUse = tooFewInUse(candidates, &req)
	if choice, ok := drawLimitedShare(candidates, &req, fullShareExists, rng); ok {
		return choice, true
	}
	req.lowestFailing = lowestFailureProbability(candidates, &req, fullShareExists)
	bestIndex, bestCost, ownInFlight, awaitsHealthier := -1, 0.0, 0, false
	for i := range candidates {
		c := &candidates[i]
		ownInFlight += c.OwnInFlight
		if !c.unlimited(fullShareExists) || req.excludes(c) {
			continue
		}
		if req.awaitsHealthierThan(c) {
			awaitsHealthier = true
			continue
		}
		cost := c.cost(&req)
		if bestIndex < 0 || cost < bestCost || (cost == bestCost && c.Preference > candidates[bestIndex].Preference) {
			bestIndex, bestCost = i, cost
		}
	}
	switch {
	case awaitsHealthier && (bestIndex < 0 || bestCost >= contendedCost):
		return Choice{Index: -1, Reason: AwaitsHealthier}, false
	case bestIndex < 0 || (bestCost >= contendedCost && ownInFlight > 0):
		return Choice{Index: -1, Reason: noChoiceReason(candidates, &req, fullShareExists)}, false
	}
	return newChoice(candidates, bestIndex, candidates[bestIndex].reason(&req, bestCost), &req), true
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
	return r.MayWait && c.FailureProbability > LikelyFailingThreshold && r.lowestFailing < c.FailureProbability-waitMargin && c.explorationValue(r) == 0
}

// cost returns the cost of an attempt at the candidate, in lost requests.
func (c *Candidate) cost(req *Request) float64 {
	load := c.load()
	cost := c.FailureProbability * req.failureCost()
	switch {
	case c.hasOwnFreeSlot():
	case c.mayBorrow(c.OwnInFlight):
		cost += borrowedCost
	default:
		// The request queues at the upstream for a time proportional to the load.
		return contendedCost + cost + load
	}
	cost += loadCost * load / (1 + load)
	if !c.sameDomain(req) {
		cost += otherDomainCost
	}
	if c.Demoted {
		cost += demotedCost
	}
	if c.warmingUp(req) {
		cost += warmUpCost
	}
	return cost - c.explorationValue(req)
}

// explorationValue returns the value of learning the outcome of an attempt, in lost
// requests.
func (c *Candidate) explorationValue(req *Request) float64 {
	if value := c.spreadingValue(req); value > 0 {
		return value
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

// spreadingValue returns the value of having one more upstream in use, in lost
// requests. An upstream without any outcome is left to explorationValue unless many
// requests fail.
func (c *Candidate) spreadingValue(req *Request) float64 {
	switch {
	case !req.tooFewInUse || c.FailureProbability >= justFailedThreshold || !c.unused(req):
		return 0
	case req.HighFailureRate && req.Retryable:
		return spreadRetryableValue
	case req.Retryable && !req.RetriesNearlyExhausted && !c.LastOutcomeAt.IsZero():
		return spreadRetryableValueFewFailures
	case req.Retryable || c.idleTime(req) < spreadNonRetryableAfter || !c.sameDomain(req) && c.idleTime(req) < spreadOtherDomainAfter:
		return 0
	case req.HighFailureRate:
		return spreadNonRetryableValue
	case !c.LastOutcomeAt.IsZero():
		return spreadNonRetryableValueFewFailures
	}
	return 0
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

// unused reports whether no home has used the candidate during the last spreadAfter.
func (c *Candidate) unused(req *Request) bool {
	return c.OwnInFlight == 0 && c.OthersInFlight < 0.5 && c.idleTime(req) >= spreadAfter
}

// idleTime returns the time since the last known request to the candidate.
func (c *Candidate) idleTime(req *Request) time.Duration {
	if c.LastOutcomeAt.After(c.LastSentAt) {
		return req.Now.Sub(c.LastOutcomeAt)
	}
	return req.Now.Sub(c.LastSentAt)
}

// tooFewInUse reports whether too few of the upstreams that have not just failed are
// in use. It is false for a service without traffic, which has nothing to spread.
func tooFewInUse(candidates []Candidate, req *Request) bool {
	eligible, used := 0, 0
	for i := range candidates {
		c := &candidates[i]
		if c.FailureProbability >= justFailedThreshold {
			continue
		}
		eligible++
		if !c.unused(req) {
			used++
		}
	}
	return used > 0 && float64(used) < spreadShare*float64(eligible)
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

// noChoiceReason returns why no upstream was chosen.
func noChoiceReason(candidates []Candidate, req *Request, fullShareExists bool) Reason {
	reason := NoUpstream
	for i := range candidates {
		c := &candidates[i]
		switch {
		case !c.unlimited(fullShareExists):
		case req.tried(c.ID):
			reason = max(reason, AllTried)
		default:
			return AllBusy
		}
	}
	return reason
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
	if !c.LastOutcomeAt.IsZero() || !c.LastSentAt.IsZero() {
		choice.IdleTime = c.idleTime(req)
	}
	return choice
}
