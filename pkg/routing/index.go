package routing

import (
	"math"
	"math/rand/v2"
	"time"
)

// Index makes repeated choices among the same candidates cheap. It keeps a compact
// record of each candidate with the parts of its cost that are the same for all
// requests. Its choices equal those of func Choose.
type Index struct {
	candidates  []Candidate
	domain      string
	entries     []indexEntry
	ownInFlight int
	// limited is the number of candidates that are demoted, on trial or have a limited
	// share. While there are any, Index leaves the choice to func Choose.
	limited int
	// origin is the time from which the times of the entries count.
	origin time.Time
}

// indexEntry is the record of one candidate. Times are nanoseconds since Index.origin.
type indexEntry struct {
	failureProbability float64
	// placementCost is that of the candidate.
	placementCost float64
	pausedUntil   int64
	// exactBefore and exactFrom bound the time in which placementCost and
	// failureProbability determine the cost: the candidate is not warming up and has
	// had a request within retestAfter.
	exactBefore, exactFrom int64
	ownInFlight            int32
	usable, limited        bool
}

// Reset replaces the candidates. The index keeps the slice; call Update after each
// change of an element. domain is the failure domain of this home.
func (x *Index) Reset(candidates []Candidate, domain string, now time.Time) {
	x.candidates, x.domain, x.origin = candidates, domain, now
	x.ownInFlight, x.limited = 0, 0
	x.entries = append(x.entries[:0], make([]indexEntry, len(candidates))...)
	for i := range candidates {
		x.Update(i)
	}
}

// Update recomputes the record of the candidate at index i.
func (x *Index) Update(i int) {
	c, e := &x.candidates[i], &x.entries[i]
	x.ownInFlight += c.OwnInFlight - int(e.ownInFlight)
	if e.limited {
		x.limited--
	}
	*e = indexEntry{
		failureProbability: c.FailureProbability, placementCost: c.placementCost(x.domain), ownInFlight: int32(c.OwnInFlight),
		pausedUntil: x.since(c.PausedUntil), exactBefore: x.since(c.WarmUpUntil), exactFrom: math.MinInt64,
		usable: c.Share > 0, limited: c.Share > 0 && (c.Share < 1 || c.Demoted || c.Trial),
	}
	if !c.LastOutcomeAt.IsZero() {
		lastUse := c.LastSentAt
		if lastUse.IsZero() {
			lastUse = c.LastOutcomeAt
		}
		e.exactFrom = x.since(lastUse.Add(retestAfter))
	}
	if e.limited {
		x.limited++
	}
}

// since converts a time for an indexEntry; the zero time is before all others.
func (x *Index) since(t time.Time) int64 {
	if t.IsZero() {
		return math.MinInt64
	}
	return int64(t.Sub(x.origin))
}

// Choose returns what func Choose returns for the candidates.
func (x *Index) Choose(req Request, rng *rand.Rand) (Choice, bool) {
	if x.limited > 0 || req.Domain != x.domain {
		return Choose(x.candidates, req, rng)
	}
	now := x.since(req.Now)
	if req.MayWait {
		req.lowestFailing = x.lowestFailureProbability(now, &req)
	}
	best := bestCandidate{index: -1}
	failureCost := req.failureCost()
	for i := range x.entries {
		e := &x.entries[i]
		if x.excludes(i, now, &req) {
			continue
		}
		if now < e.exactBefore || now >= e.exactFrom {
			best.consider(x.candidates, i, &req, e.placementCost)
			continue
		}
		if req.MayWait && req.failsTooOften(e.failureProbability) {
			best.awaitsHealthier = true
			continue
		}
		best.take(x.candidates, i, e.placementCost+e.failureProbability*failureCost)
	}
	return best.choice(x.candidates, &req, x.ownInFlight, true)
}

// excludes reports whether the request must not be sent to the candidate now.
func (x *Index) excludes(i int, now int64, req *Request) bool {
	e := &x.entries[i]
	return !e.usable || now < e.pausedUntil || len(req.Tried) > 0 && req.tried(x.candidates[i].ID)
}

func (x *Index) lowestFailureProbability(now int64, req *Request) float64 {
	lowest := 1.0
	for i := range x.entries {
		if !x.excludes(i, now, req) {
			lowest = min(lowest, x.entries[i].failureProbability)
		}
	}
	return lowest
}

// bestCandidate tracks the candidate with the lowest cost.
type bestCandidate struct {
	index           int
	cost            float64
	awaitsHealthier bool
}

// consider compares an upstream that the request may use and whose placementCost is
// given.
func (b *bestCandidate) consider(candidates []Candidate, i int, req *Request, placementCost float64) {
	c := &candidates[i]
	if req.awaitsHealthierThan(c) {
		b.awaitsHealthier = true
		return
	}
	b.take(candidates, i, c.cost(req, placementCost))
}

// take makes the candidate at index i the best one if its cost is lower. Of equal costs,
// the higher Preference wins.
func (b *bestCandidate) take(candidates []Candidate, i int, cost float64) {
	if b.index < 0 || cost < b.cost || (cost == b.cost && candidates[i].Preference > candidates[b.index].Preference) {
		b.index, b.cost = i, cost
	}
}

// choice returns the result of Choose. ownInFlight is the number of requests that this
// home has in flight at the candidates.
func (b *bestCandidate) choice(candidates []Candidate, req *Request, ownInFlight int, fullShareExists bool) (Choice, bool) {
	switch {
	case b.awaitsHealthier && (b.index < 0 || b.cost >= contendedCost):
		return Choice{Index: -1, Reason: AwaitsHealthier}, false
	case b.index < 0 || (b.cost >= contendedCost && ownInFlight > 0):
		return noChoice(candidates, req, fullShareExists), false
	}
	return newChoice(candidates, b.index, candidates[b.index].reason(req, b.cost), req), true
}
