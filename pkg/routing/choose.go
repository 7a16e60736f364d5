package routing

import "math/rand/v2"

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
	// DemotedFree is a demoted upstream; no healthy one has a free slot.
	DemotedFree
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
	OwnDomain: "own-domain", OtherDomain: "other-domain", Borrowed: "borrowed", DemotedFree: "demoted-free",
	Contended: "contended", Ramp: "ramp", Trial: "trial", Recovery: "recovery",
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
	// Load is the expected part of the slots in use before this attempt.
	Load float64
}

// Choose returns the upstream for one attempt, or false with the reason.
func Choose(candidates []Candidate, req Request, rng *rand.Rand) (Choice, bool) {
	full := hasFull(candidates, &req)
	if choice, ok := draw(candidates, &req, full, rng); ok {
		return choice, true
	}
	best, bestClass, own := -1, AllBusy, 0
	for i := range candidates {
		c := &candidates[i]
		own += c.Own
		if !c.normal(full) {
			continue
		}
		class, ok := c.class(&req, bestClass)
		if !ok || class > bestClass || (best >= 0 && class == bestClass && !better(c, &candidates[best])) {
			continue
		}
		// Last, as it compares strings.
		if !req.excludes(c) {
			best, bestClass = i, class
		}
	}
	if best < 0 || (bestClass == Contended && own > 0) {
		return Choice{Index: -1, Reason: failure(candidates, &req, full)}, false
	}
	return choose(candidates, best, bestClass), true
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

// class ranks a normal candidate; false when it must not be used now, or when
// it ranks below the class found already.
func (c *Candidate) class(req *Request, found Reason) (Reason, bool) {
	near := c.Domain == req.Domain || req.Domain == ""
	switch mine := c.Own < c.Quota; {
	case mine && !c.Demoted && near:
		return OwnDomain, true
	case mine && !c.Demoted:
		return OtherDomain, true
	case found < Borrowed:
		return AllBusy, false // spares the computation of mayBorrow
	case mine || c.mayBorrow(c.Own):
		if c.Demoted {
			return DemotedFree, true
		}
		return Borrowed, true
	default:
		return Contended, !c.Demoted
	}
}

// better compares two candidates of one class.
func better(a, b *Candidate) bool {
	la, lb := a.load(), b.load()
	if la != lb {
		return la < lb
	}
	return a.Preference > b.Preference
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
	return Choice{Index: i, ID: c.ID, Domain: c.Domain, Reason: reason, Load: c.load()}
}
