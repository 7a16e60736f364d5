package routing

import (
	"math/rand/v2"
	"time"
)

// DemotedShare is the part of an equal share of the idempotent attempts that a
// demoted upstream receives, so that its recovery is seen.
const DemotedShare = 0.05

// Reason says why an upstream was chosen, or why none was.
type Reason uint8

// Reasons of a choice, in the order of preference.
const (
	// OwnDomain is the least loaded upstream of the home's failure domain where
	// a slot of this home is free.
	OwnDomain Reason = iota
	// OtherDomain is the least loaded such upstream elsewhere.
	OtherDomain
	// Borrowed is an upstream with a slot that another home seems not to use.
	Borrowed
	// Doubtful is an upstream that probably fails; no better one has a free slot.
	Doubtful
	// DemotedFree is a demoted upstream; no healthy one has a free slot.
	DemotedFree
	// Untried is an upstream of which no outcome is known yet, or that got no work
	// while many requests fail.
	Untried
	// Contended is an upstream whose slots other homes seem to hold; this home
	// has no slot anywhere and no request in flight.
	Contended
	// Ramp is an upstream in ramp, within its share.
	Ramp
	// Trial is an ejected upstream on trial, within its share.
	Trial
	// Recovery is a demoted upstream chosen to see whether it has recovered.
	Recovery
	// NoUpstream means that no upstream may be used at all.
	NoUpstream
	// AllTried means that this request has used every usable upstream.
	AllTried
	// AllBusy means that no usable upstream has a free slot.
	AllBusy
)

var reasonNames = [...]string{
	OwnDomain: "own-domain", OtherDomain: "other-domain", Borrowed: "borrowed", Doubtful: "doubtful", DemotedFree: "demoted-free",
	Untried: "untried", Contended: "contended", Ramp: "ramp", Trial: "trial", Recovery: "recovery",
	NoUpstream: "no-upstream", AllTried: "all-tried", AllBusy: "all-busy",
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
	// Failing is the candidate's probability of failing.
	Failing float64
	// Seen is when the last outcome behind Failing was seen, zero if none was.
	Seen time.Time
	// Load is the expected part of the slots in use before this attempt.
	Load float64
}

// What a choice costs beyond its probability of failing, in lost answers. The
// order of the classes is fixed: an own slot, one elsewhere, a borrowed one, a
// demoted upstream, a contended one.
const (
	// farCost makes a request leave its failure domain when that saves about
	// one answer in twenty-five: the bytes between domains are paid for.
	farCost = 0.04
	// loadCost spreads requests over upstreams that are equally good; it is
	// below farCost at any load.
	loadCost      = 0.03
	borrowedCost  = 0.5
	demotedCost   = 1.5
	contendedCost = 10
	// coldCost is for an upstream that is slow after its start: an answer comes
	// late, and earns less.
	coldCost = 0.1
)

// An upstream that no home has used is worth an attempt: without an outcome it
// looks worse than those known to work, and would stay idle.
const (
	// exploreAfter and exploreColdAfter are how long after it was listed: by
	// then all homes list it, and a cold one has had some time.
	exploreAfter     = time.Second
	exploreColdAfter = 3 * time.Second
	// exploreValue is what a repeatable attempt at it is worth, in lost answers;
	// it outweighs farCost, coldCost and what is believed of an upstream without
	// outcomes.
	exploreValue = 0.2
	// After insistAfter without any outcome, as where no request can be
	// repeated, an attempt of any kind is worth insistValue.
	insistAfter = 5 * time.Second
	insistValue = 0.4
)

// Most upstreams must get work all the time, as the users rule for services of which
// many requests fail: those that got none for spreadAfter are chosen until spreadShare
// of them got some. Upstreams that have just failed do not count. Requests that can be
// repeated are spread at all times: a loss of many requests, as by a power failure of
// the hosts, cannot be foreseen, and old beliefs are corrected at the cost of a repeat.
// Other requests are spread too, since a service may have hardly any that can be
// repeated; while few requests fail they go only to upstreams that more likely work
// than fail them.
const (
	// spreadAfter is below the two seconds of the rule, and spreadShare above its
	// share of 0.7.
	spreadAfter = 1400 * time.Millisecond
	spreadShare = 0.75
	// spreadCertain is from which probability of failing on an upstream has just
	// failed.
	spreadCertain = 0.85
	// spreadValue and spreadOnceValue are what an attempt at an unused upstream is
	// worth, in lost answers, if it can be repeated and otherwise.
	spreadValue     = 0.3
	spreadOnceValue = 0.8
	// spreadAlwaysValue is that of a repeatable attempt while few requests fail. It
	// outweighs spreadCertain and farCost, and is below exploreValue.
	spreadAlwaysValue = 0.18
	// spreadOnceAlwaysValue is that of an attempt that cannot be repeated while few
	// requests fail. As much is believed of an upstream about ten seconds after a
	// failure; with 0.3, upstreams that work again stay without requests for longer.
	spreadOnceAlwaysValue = 0.4
	// spreadOnceAfter and spreadFarAfter are from when on attempts that cannot be
	// repeated are spread, from the upstream's own failure domain and from others.
	// Requests that can be repeated go first, and homes that all try an upstream at
	// the same moment would lose a request each.
	spreadOnceAfter = 1550 * time.Millisecond
	spreadFarAfter  = 1750 * time.Millisecond
)

// hopelessMargin is how much better an upstream must be for a request to wait
// for a slot there instead of using a free one that probably fails it.
const hopelessMargin = 0.3

// Choose returns the upstream for one attempt, or false with the reason: of
// those with a free slot, the one with the least cost.
func Choose(candidates []Candidate, req Request, rng *rand.Rand) (Choice, bool) {
	full := hasFull(candidates, &req)
	req.fewInUse = fewInUse(candidates, &req)
	if choice, ok := draw(candidates, &req, full, rng); ok {
		return choice, true
	}
	best, bestCost, own, surest := -1, 0.0, 0, 1.0
	for i := range candidates {
		c := &candidates[i]
		own += c.Own
		if !c.normal(full) || req.excludes(c) {
			continue
		}
		surest = min(surest, c.Failing)
		cost := c.cost(&req)
		if best < 0 || cost < bestCost || (cost == bestCost && c.Preference > candidates[best].Preference) {
			best, bestCost = i, cost
		}
	}
	if best < 0 || (bestCost >= contendedCost && own > 0) {
		return Choice{Index: -1, Reason: failure(candidates, &req, full)}, false
	}
	c := &candidates[best]
	if req.MayWait && c.Failing > Doubt && surest < c.Failing-hopelessMargin {
		return Choice{Index: -1, Reason: AllBusy}, false
	}
	return choose(candidates, best, c.reason(&req, bestCost)), true
}

// cost is what an attempt at the candidate costs, in lost answers.
func (c *Candidate) cost(req *Request) float64 {
	load := c.load()
	cost := c.Failing * req.loss()
	switch {
	case c.mine():
	case c.mayBorrow(c.Own):
		cost += borrowedCost
	default:
		// The request waits at the upstream for as long as the load there says.
		return contendedCost + cost + load
	}
	cost += loadCost * load / (1 + load)
	if !c.near(req) {
		cost += farCost
	}
	if c.Demoted {
		cost += demotedCost
	}
	if c.cold(req) {
		cost += coldCost
	}
	return cost - c.explorationValue(req)
}

// explorationValue is what the outcome of an attempt is worth, in lost answers.
func (c *Candidate) explorationValue(req *Request) float64 {
	if value := c.spreadingValue(req); value > 0 {
		return value
	}
	if !c.Seen.IsZero() || c.Own > 0 || c.Others >= 0.5 {
		return 0
	}
	due := exploreAfter
	if c.cold(req) {
		due = exploreColdAfter
	}
	switch age := req.Now.Sub(c.Listed); {
	case age < due:
		return 0
	case age >= insistAfter:
		return insistValue
	case req.Repeatable:
		return exploreValue
	}
	return 0
}

// spreadingValue is what it is worth, in lost answers, to have one more upstream in
// use. One without any outcome is left to explorationValue unless many requests fail.
func (c *Candidate) spreadingValue(req *Request) float64 {
	switch {
	case !req.fewInUse || c.Failing >= spreadCertain || !c.unused(req):
		return 0
	case req.Spread && req.Repeatable:
		return spreadValue
	case req.Repeatable && !req.Scarce && !c.Seen.IsZero():
		return spreadAlwaysValue
	case req.Repeatable || c.rest(req) < spreadOnceAfter || !c.near(req) && c.rest(req) < spreadFarAfter:
		return 0
	case req.Spread:
		return spreadOnceValue
	case !c.Seen.IsZero():
		return spreadOnceAlwaysValue
	}
	return 0
}

// reason says which class the candidate was chosen from.
func (c *Candidate) reason(req *Request, cost float64) Reason {
	switch {
	case cost >= contendedCost:
		return Contended
	case c.Demoted:
		return DemotedFree
	case c.explorationValue(req) > 0:
		return Untried
	case c.Failing > Doubt:
		return Doubtful
	case !c.mine():
		return Borrowed
	case c.near(req):
		return OwnDomain
	default:
		return OtherDomain
	}
}

// unused reports whether no home has work there, or had some a moment ago.
func (c *Candidate) unused(req *Request) bool {
	return c.Own == 0 && c.Others < 0.5 && c.rest(req) >= spreadAfter
}

// rest is for how long no request is known to have been sent to the candidate.
func (c *Candidate) rest(req *Request) time.Duration {
	if c.Seen.After(c.Used) {
		return req.Now.Sub(c.Seen)
	}
	return req.Now.Sub(c.Used)
}

// fewInUse reports whether too few of the upstreams that have not just failed are
// in use. A service without work has none to spread.
func fewInUse(candidates []Candidate, req *Request) bool {
	sound, used := 0, 0
	for i := range candidates {
		c := &candidates[i]
		if c.Failing >= spreadCertain {
			continue
		}
		sound++
		if !c.unused(req) {
			used++
		}
	}
	return used > 0 && float64(used) < spreadShare*float64(sound)
}

func (c *Candidate) cold(req *Request) bool { return req.Now.Before(c.ColdUntil) }

func (c *Candidate) near(req *Request) bool { return c.Domain == req.Domain || req.Domain == "" }

// mine reports whether a slot is free for this home without borrowing.
func (c *Candidate) mine() bool {
	if c.OthersKnown {
		return float64(c.Own)+c.Others < float64(c.slots())
	}
	return c.Own < c.Quota
}

// failure says why no upstream was chosen.
func failure(candidates []Candidate, req *Request, full bool) Reason {
	reason := NoUpstream
	for i := range candidates {
		c := &candidates[i]
		switch {
		case !c.normal(full):
		case req.tried(c.ID):
			reason = max(reason, AllTried)
		default:
			return AllBusy
		}
	}
	return reason
}

// draw gives each upstream with a limited share its part of the attempts: one
// of n candidates with share s is drawn with probability s/n. Without this
// lottery an idle service would send every request to the preferred upstream,
// and trials would never see traffic.
func draw(candidates []Candidate, req *Request, full bool, rng *rand.Rand) (Choice, bool) {
	usable, total := 0, 0.0
	for i := range candidates {
		c := &candidates[i]
		if c.Share <= 0 {
			continue
		}
		usable++
		if share, _ := c.limitedShare(req, full); share > 0 && !req.excludes(c) {
			total += share
		}
	}
	if total == 0 {
		return Choice{}, false
	}
	ticket := rng.Float64() * float64(usable)
	if ticket >= total {
		return Choice{}, false
	}
	for i := range candidates {
		c := &candidates[i]
		share, reason := c.limitedShare(req, full)
		if share <= 0 || req.excludes(c) {
			continue
		}
		if ticket < share {
			return choose(candidates, i, reason), c.free()
		}
		ticket -= share
	}
	return Choice{}, false
}

// limitedShare is the candidate's share in the lottery, zero when it takes no
// part in it.
func (c *Candidate) limitedShare(req *Request, full bool) (float64, Reason) {
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
	case c.normal(full):
		return 0, NoUpstream
	default:
		return c.Share, Ramp
	}
}

func choose(candidates []Candidate, i int, reason Reason) Choice {
	c := &candidates[i]
	return Choice{Index: i, ID: c.ID, Domain: c.Domain, Reason: reason, Load: c.load(), Failing: c.Failing, Seen: c.Seen}
}
