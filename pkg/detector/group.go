package detector

import (
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// outcomesPerCalibration is the mean number of outcomes per upstream after
	// which the baseline is recomputed without waiting for the next Assess.
	outcomesPerCalibration = 8
	// minCommonShare is the share of the threshold above which the evidence of
	// the median upstream counts as a fault of the whole service.
	minCommonShare = 0.25
	// commonFactor is the multiple of the median evidence that is subtracted
	// from every upstream in that case. It exceeds 1 because upstreams with more
	// requests collect evidence faster.
	commonFactor = 2
	// overdueDeviations is the distance from the service's median latency, in
	// robust standard deviations, at which a request in flight is overdue. It is
	// just above the lower edge of the slowest bin: a longer wait would add no
	// evidence.
	overdueDeviations = 5.2
)

// Delays returned by Redial.
const (
	firstRedialDelay      = 20 * time.Millisecond
	badPathRedialInterval = time.Second
)

// Group detects unhealthy upstreams of one service at one home.
type Group struct {
	tuning                   Tuning
	byID                     map[string]*upstream
	upstreams                []*upstream // sorted by id
	baseline                 baseline
	remoteHomes              map[string]*remoteHome
	totals                   tally // outcomes of upstreams not classified as unhealthy
	outcomesSinceCalibration int
}

// NewGroup returns a Group without upstreams.
func NewGroup(tuning Tuning) *Group {
	g := &Group{tuning: tuning, byID: map[string]*upstream{}, remoteHomes: map[string]*remoteHome{}}
	g.baseline.calibrate(nil)
	return g
}

// SetTuning replaces the tuning and keeps the evidence.
func (g *Group) SetTuning(tuning Tuning) { g.tuning = tuning }

// Tuning returns the tuning in force.
func (g *Group) Tuning() Tuning { return g.tuning }

// SetUpstreams sets the upstreams of the service. It adds new ones and drops those
// that are not in ids, with their evidence.
func (g *Group) SetUpstreams(now time.Time, ids []string) {
	keep := make(map[string]bool, len(ids))
	for _, id := range ids {
		keep[id] = true
		g.upstream(now, id)
	}
	g.upstreams = slices.DeleteFunc(g.upstreams, func(u *upstream) bool {
		if !keep[u.id] {
			delete(g.byID, u.id)
		}
		return !keep[u.id]
	})
}

// Add adds an upstream of the service.
func (g *Group) Add(now time.Time, id string) { g.upstream(now, id) }

// Remove drops an upstream with its evidence.
func (g *Group) Remove(id string) {
	delete(g.byID, id)
	g.upstreams = slices.DeleteFunc(g.upstreams, func(u *upstream) bool { return u.id == id })
}

// SetWarmUp marks the upstream as warming up. Until the given time its failures
// count as evidence and its latency does not.
func (g *Group) SetWarmUp(now time.Time, id string, until time.Time) {
	g.upstream(now, id).warmUpUntil = until
}

// Reset resets the condition of an upstream at the start of its trial. It
// keeps evidence of up to almost a third of the threshold, so that a relapse is
// detected sooner.
func (g *Group) Reset(now time.Time, id string) {
	u := g.upstream(now, id)
	u.decay(now)
	for h := range u.evidence {
		u.evidence[h] = min(u.evidence[h], g.tuning.Threshold*clearScore*0.9)
	}
	u.pathEvidence = [len(unreachableShares)]float64{}
	u.successes, u.failures, u.timeouts = 0, 0, 0
	u.unhealthy, u.pathBad, u.conditionSince, u.reason = false, false, now, ReasonNone
}

// OverdueAfter returns the time after which a request in flight at any upstream
// of the service is to be observed as Overdue, or 0 if it is not known yet.
func (g *Group) OverdueAfter() time.Duration {
	if !g.baseline.ready {
		return 0
	}
	return time.Duration(math.Exp(g.baseline.location + overdueDeviations*g.baseline.spread))
}

// Observe adds one outcome. It returns true if the evidence about the upstream
// has reached half of a threshold or the whole. The caller should then call
// Assess and send the Summary at once, so that homes that see the same fault
// combine their evidence. It does not allocate for a known upstream.
func (g *Group) Observe(now time.Time, o Outcome) bool {
	u := g.upstream(now, o.Upstream)
	before, _ := u.strongest()
	pathBefore := u.pathNats()
	g.addOutcome(now, u, o)
	g.outcomesSinceCalibration++
	if g.outcomesSinceCalibration >= outcomesPerCalibration*len(g.upstreams) {
		g.calibrate(now)
	}
	after, _ := u.strongest()
	threshold := g.tuning.Threshold
	return crosses(before, after, threshold) || crosses(pathBefore, u.pathNats(), pathThresholdShare*threshold)
}

// crosses reports whether a statistic has reached half or all of a threshold.
func crosses(before, after, threshold float64) bool {
	return before < threshold && after >= threshold || before < threshold/2 && after >= threshold/2
}

// Redial reports whether the home should dial the upstream again without a
// request, and after what delay. The result is to be observed as Reachable or
// Unreachable. After a failed dial this quickly determines whether the path is
// bad. While the path is bad, it detects recovery without risking requests.
func (g *Group) Redial(id string) (after time.Duration, wanted bool) {
	u, known := g.byID[id]
	switch {
	case !known || u.pathEvidence[hypMostlyUnreachable] == 0 && !u.pathBad:
		return 0, false
	case u.pathBad || u.unhealthy:
		return badPathRedialInterval, u.reason == ReasonUnreachable
	default:
		return firstRedialDelay, true
	}
}

// pathScore returns the evidence of failed dials, in thresholds.
func (g *Group) pathScore(u *upstream) float64 {
	return u.pathNats() / (pathThresholdShare * g.tuning.Threshold)
}

// count adds the outcome to the upstream's evidence.
func (g *Group) addOutcome(now time.Time, u *upstream, o Outcome) {
	limit := maxScore * g.tuning.Threshold
	switch o.Kind {
	case Success:
		u.successes++
		u.updateFailureShares(0)
		g.addLatency(now, u, o, limit)
	case Failure, Truncated:
		g.addFailure(now, u, classFailure, limit)
	case ConnectionLost:
		if !o.RequestSuspected {
			g.addFailure(now, u, classFailure, limit)
		}
	case Timeout:
		u.timeouts++
		class := classTimeout
		if o.WasOverdue {
			class = classFailure // its slowness is already counted
		}
		g.addFailure(now, u, class, limit)
	case Overdue:
		g.addLatency(now, u, o, limit)
	case Shed, Reachable:
		u.addPathEvidence(&dialSucceededRatios, limit)
	case Unreachable:
		if u.pathEvidence[hypMostlyUnreachable] == 0 {
			u.dialsFailingSince = now
		}
		u.lastBadAt = now
		u.addPathEvidence(&dialFailedRatios, limit)
	case ProbeSuccess:
		u.probeFailureShare -= u.probeFailureShare * probeWeight
	case ProbeFailure:
		u.probeFailureShare += (1 - u.probeFailureShare) * probeWeight
	}
}

// addTally counts an outcome for the comparison of an upstream with the others. It
// ignores unhealthy upstreams, whose outcomes are not the normal state of the service.
func (g *Group) addTally(u *upstream, t tally) {
	if u.unhealthy {
		return
	}
	u.totals.add(t)
	g.totals.add(t)
}

// addFailure adds the evidence of a failed request.
func (g *Group) addFailure(now time.Time, u *upstream, class int, limit float64) {
	u.failures++
	u.lastBadAt = now
	u.updateFailureShares(1)
	u.addPathEvidence(&dialSucceededRatios, limit)
	u.addEvidence(&g.baseline.logRatios[class], 1, 0, numHypotheses, limit, now, &g.totals)
	t := tally{requests: 1, failed: 1}
	if class == classTimeout {
		t.timed, t.slow = 1, 1
	}
	g.addTally(u, t)
}

// addLatency adds the evidence of a completed request, or of an overdue request
// that is still in flight.
func (g *Group) addLatency(now time.Time, u *upstream, o Outcome, limit float64) {
	logLatency := math.Log(max(float64(o.Latency), 1))
	if o.Kind == Success {
		u.addPathEvidence(&dialSucceededRatios, limit)
		u.addEvidence(&g.baseline.logRatios[0], 1, 0, hypSlow, limit, now, &g.totals) // failure hypotheses have the same ratio in every bin
		g.addTally(u, tally{requests: 1})
	}
	if o.WasOverdue || now.Before(u.warmUpUntil) {
		return
	}
	u.latencies.add(logLatency)
	if !g.baseline.ready {
		return
	}
	bin := g.baseline.bin(logLatency)
	u.updateBinShares(bin)
	weight, slow := 1.0, 0.0
	if bin >= slowBin {
		weight = u.recordSlow(now, o.Latency, time.Duration(math.Exp(g.baseline.location)))
		slow = weight
	}
	u.addEvidence(&g.baseline.logRatios[bin], weight, hypSlow, numHypotheses, limit, now, &g.totals)
	g.addTally(u, tally{timed: weight, slow: slow})
}

// calibrate decays the evidence, recomputes the baseline and subtracts evidence
// that is common to all upstreams.
func (g *Group) calibrate(now time.Time) {
	g.outcomesSinceCalibration = 0
	for _, u := range g.upstreams {
		u.decay(now)
	}
	g.baseline.calibrate(g.upstreams)
	common := g.baseline.median(g.upstreams, func(u *upstream) float64 {
		nats, _ := u.strongest()
		return nats
	})
	if len(g.upstreams) < 2 || common < minCommonShare*g.tuning.Threshold {
		return
	}
	for _, u := range g.upstreams {
		for h := range u.evidence {
			u.evidence[h] = max(0, u.evidence[h]-commonFactor*common)
		}
	}
}

// upstream returns the state of an upstream and adds it if it is new.
func (g *Group) upstream(now time.Time, id string) *upstream {
	if u, ok := g.byID[id]; ok {
		return u
	}
	id = strings.Clone(id) // the caller's string may alias a pooled buffer
	u := newUpstream(now, id)
	g.byID[id] = u
	index, _ := slices.BinarySearchFunc(g.upstreams, id, func(u *upstream, id string) int {
		return strings.Compare(u.id, id)
	})
	g.upstreams = slices.Insert(g.upstreams, index, u)
	return u
}
