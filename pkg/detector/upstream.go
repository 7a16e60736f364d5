package detector

import (
	"math"
	"time"
)

const (
	// failFastWeight and failSlowWeight are the weights of one outcome in two
	// moving averages of the failure share. The fast one follows a service-wide
	// failure within about ten outcomes, the slow one tracks the usual share.
	failFastWeight = 1.0 / 16
	failSlowWeight = 1.0 / 512
	binWeight      = 1.0 / 256
	probeWeight    = 1.0 / 4
	// minAverage prevents averages from becoming denormal numbers, on which
	// arithmetic is ten times slower.
	minAverage = 1e-9

	// evidenceHalfLife is the half-life of the evidence about an upstream that is not
	// classified as unhealthy. Without decay, old outcomes would decide the condition
	// of an upstream with few requests.
	evidenceHalfLife = 60 * time.Second
	// unhealthyHalfLife is the half-life of the evidence about an unhealthy upstream,
	// which gets too few requests to recover by outcomes alone. It doubles per relapse.
	unhealthyHalfLife      = 20 * time.Second
	maxRelapses            = 3
	relapseMemory          = 5 * time.Minute
	recentHalfLife         = 5 * time.Second
	maxScore               = 2.0     // in thresholds; bounds the time to recover
	clearScore             = 1.0 / 3 // in thresholds; an unhealthy upstream recovers below it
	normalUnreachableShare = 0.001   // share of failed dials on a working path
	// pathThresholdShare is the share of the threshold that applies to failed
	// dials. It is below 1 because a bad path only demotes the upstream at this
	// home and never ejects it.
	pathThresholdShare = 0.75
	// pathEvidenceCap is the share of the evidence limit at which evidence of
	// failed dials is capped. The cap is just above their threshold, so that a
	// path that recovers is used again after few dials.
	pathEvidenceCap = 0.6 * pathThresholdShare
	// overlapWeight is the weight of a slow outcome whose request overlapped a
	// fully counted slow one and ended less than the service's median latency
	// after it. One short stall makes all requests in flight slow, so they are
	// not independent evidence.
	overlapWeight = 0.25
)

// unreachableShares are the shares of failed dials under the path hypotheses.
var unreachableShares = [...]float64{0.3, hypMostlyUnreachable: 0.95}

const hypMostlyUnreachable = 1

// Log-likelihood ratios of a failed dial and of any successful contact, in nats.
var dialFailedRatios, dialSucceededRatios = pathRatios()

func pathRatios() (failed, worked [len(unreachableShares)]float64) {
	for i, share := range unreachableShares {
		failed[i] = math.Log(share / normalUnreachableShare)
		worked[i] = math.Log((1 - share) / (1 - normalUnreachableShare))
	}
	return failed, worked
}

// upstream is the state of one upstream from the outcomes at this home.
type upstream struct {
	id           string
	evidence     [numHypotheses]float64     // CUSUM statistics, nats
	changePoints [numHypotheses]changePoint // last rise of each statistic from zero
	totals       tally                      // part of Group.totals
	pathEvidence [len(unreachableShares)]float64

	failFast, failSlow float64
	bins               [numBins]float64
	latencies          window
	probeFailureShare  float64 // moving average

	// Recent outcomes, which decay with recentHalfLife.
	successes, failures, timeouts float64

	lastBadAt         time.Time // latest failed or slow outcome
	dialsFailingSince time.Time
	lastSlowAt        time.Time // latest slow outcome with full weight
	decayedAt         time.Time
	warmUpUntil       time.Time

	unhealthy, pathBad bool
	conditionSince     time.Time
	relapses           int
	lastRelapseAt      time.Time
	reason             Reason
}

func newUpstream(now time.Time, id string) *upstream {
	return &upstream{id: id, bins: normalBins, decayedAt: now, conditionSince: now}
}

// addEvidence updates the statistics of the hypotheses first..end-1 with one
// request outcome of a weight in 0..1. It must be called before addTally, so that
// a new change point precedes the outcome.
func (u *upstream) addEvidence(ratio *[numHypotheses]float64, weight float64, first, end int, limit float64, now time.Time, groupTotals *tally) {
	for h := first; h < end; h++ {
		before := u.evidence[h]
		after := min(max(before+weight*ratio[h], 0), limit)
		if before == 0 && after > 0 {
			u.changePoints[h] = changePoint{upstreamTally: u.totals, groupTally: *groupTotals, at: now}
		}
		u.evidence[h] = after
	}
}

// addPathEvidence adds the evidence of a failed dial or of successful contact.
func (u *upstream) addPathEvidence(ratio *[len(unreachableShares)]float64, limit float64) {
	limit *= pathEvidenceCap
	for i := range u.pathEvidence {
		u.pathEvidence[i] = min(max(u.pathEvidence[i]+ratio[i], 0), limit)
	}
}

func (u *upstream) updateFailureShares(failed float64) {
	u.failFast = max(u.failFast+(failed-u.failFast)*failFastWeight, minAverage)
	u.failSlow = max(u.failSlow+(failed-u.failSlow)*failSlowWeight, minAverage)
}

func (u *upstream) updateBinShares(bin int) {
	for i := range u.bins {
		u.bins[i] = max(u.bins[i]-u.bins[i]*binWeight, minAverage)
	}
	u.bins[bin] += binWeight
}

// strongest returns the largest statistic and its hypothesis.
func (u *upstream) strongest() (nats float64, hypothesis int) {
	for h, e := range u.evidence {
		if e > nats {
			nats, hypothesis = e, h
		}
	}
	return nats, hypothesis
}

func (u *upstream) pathNats() float64 { return max(u.pathEvidence[0], u.pathEvidence[1]) }

// recordSlow records an outcome in a slow bin and returns its weight.
func (u *upstream) recordSlow(now time.Time, latency, median time.Duration) float64 {
	u.lastBadAt = now
	if now.Add(-latency).Before(u.lastSlowAt) && now.Sub(u.lastSlowAt) < median {
		return overlapWeight
	}
	u.lastSlowAt = now
	return 1
}

// decay reduces the evidence by its age. It has no effect if the clock goes
// backwards.
func (u *upstream) decay(now time.Time) {
	age := now.Sub(u.decayedAt)
	if age <= 0 {
		return
	}
	u.decayedAt = now
	if u.relapses > 0 && now.Sub(u.lastRelapseAt) > relapseMemory {
		u.relapses--
		u.lastRelapseAt = now
	}
	halfLife := evidenceHalfLife
	if u.unhealthy || u.pathBad {
		halfLife = unhealthyHalfLife << min(u.relapses, maxRelapses)
	}
	factor, recentFactor := decayFactor(age, halfLife), decayFactor(age, recentHalfLife)
	for h := range u.evidence {
		u.evidence[h] *= factor
	}
	for i := range u.pathEvidence {
		u.pathEvidence[i] *= factor
	}
	u.successes, u.failures, u.timeouts = u.successes*recentFactor, u.failures*recentFactor, u.timeouts*recentFactor
}

// decayFactor returns the share that remains at an age.
func decayFactor(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}
