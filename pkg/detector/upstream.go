package detector

import (
	"math"
	"time"
)

const (
	// failFastWeight and failSlowWeight are the weights of one outcome in the
	// two averages of the failure share: the fast one follows a service-wide
	// failure within some ten outcomes, the slow one measures the usual share.
	failFastWeight = 1.0 / 16
	failSlowWeight = 1.0 / 512
	binWeight      = 1.0 / 256
	probeWeight    = 1.0 / 4
	// leastShare keeps averages from becoming denormal numbers, on which
	// arithmetic is ten times slower.
	leastShare = 1e-9

	// evidenceHalfLife fades evidence below the threshold, so that an
	// upstream with little work is not judged by yesterday's outcomes.
	evidenceHalfLife = 60 * time.Second
	// sickHalfLife fades the evidence of a sick upstream, which gets too
	// little work to be cleared by outcomes alone. It doubles per relapse.
	sickHalfLife      = 20 * time.Second
	maxRelapses       = 3
	relapseForgotten  = 5 * time.Minute
	recentHalfLife    = 5 * time.Second
	maxScore          = 2.0     // in thresholds; bounds the time to clear
	clearScore        = 1.0 / 3 // hysteresis: a sick upstream is cleared below it
	normalUnreachable = 0.001   // share of failed dials on a good path
	// pathShare is the part of the threshold that failed dials need: a bad path
	// only demotes at this home and ejects for nobody.
	pathShare = 0.75
	// pathLimit is the part of the limit of evidence that failed dials reach.
	// It is just above their threshold, so that a path that works again is
	// used again after few dials.
	pathLimit = 0.6 * pathShare
	// overlapWeight is the weight of a slow outcome whose request overlapped one
	// that was counted in full, and that ended within the service's median
	// latency of it. One short stall makes all requests in flight slow, so they
	// are not independent evidence.
	overlapWeight = 0.25
)

// unreachableShares are the shares of failed dials that are tested for.
var unreachableShares = [...]float64{0.3, mostlyUnreachable: 0.95}

const mostlyUnreachable = 1

// Log-likelihood ratios of a failed dial and of any contact, in nats.
var dialFailed, dialWorked = pathRatios()

func pathRatios() (failed, worked [len(unreachableShares)]float64) {
	for i, share := range unreachableShares {
		failed[i] = math.Log(share / normalUnreachable)
		worked[i] = math.Log((1 - share) / (1 - normalUnreachable))
	}
	return failed, worked
}

// upstream is what a home knows from its own outcomes about one upstream.
type upstream struct {
	id       string
	evidence [numHypotheses]float64 // CUSUM statistics, nats
	began    [numHypotheses]span    // when each statistic last was zero
	done     tally                  // own part of Group.done
	path     [len(unreachableShares)]float64

	failFast, failSlow float64
	bins               [numBins]float64
	latencies          window
	probeFailing       float64 // moving share of failed probes

	// Recent outcomes, fading with recentHalfLife.
	successes, failures, timeouts float64

	badAt     time.Time // last failed or slow outcome
	pathAt    time.Time // when dials began to fail
	slowAt    time.Time // last slow outcome that counted in full
	fadedAt   time.Time
	warmUntil time.Time

	sick, pathBad bool
	since         time.Time // when the condition began
	relapses      int
	relapsedAt    time.Time
	reason        Reason
}

func newUpstream(now time.Time, id string) *upstream {
	return &upstream{id: id, bins: normalBins, fadedAt: now, since: now}
}

// add counts one outcome of real work, with a weight in 0..1, under the
// hypotheses in from..to-1. It must come before the outcome's tally, so that a
// span that begins includes it.
func (u *upstream) add(ratio *[numHypotheses]float64, weight float64, from, to int, limit float64, now time.Time, all *tally) {
	for h := from; h < to; h++ {
		before := u.evidence[h]
		after := min(max(before+weight*ratio[h], 0), limit)
		if before == 0 && after > 0 {
			u.began[h] = span{own: u.done, all: *all, at: now}
		}
		u.evidence[h] = after
	}
}

// addContact counts a dial that failed or any sign that the path works.
func (u *upstream) addContact(ratio *[len(unreachableShares)]float64, limit float64) {
	limit *= pathLimit
	for i := range u.path {
		u.path[i] = min(max(u.path[i]+ratio[i], 0), limit)
	}
}

func (u *upstream) countFailure(failed float64) {
	u.failFast = max(u.failFast+(failed-u.failFast)*failFastWeight, leastShare)
	u.failSlow = max(u.failSlow+(failed-u.failSlow)*failSlowWeight, leastShare)
}

func (u *upstream) countBin(bin int) {
	for i := range u.bins {
		u.bins[i] = max(u.bins[i]-u.bins[i]*binWeight, leastShare)
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

func (u *upstream) pathNats() float64 { return max(u.path[0], u.path[1]) }

// slowWeight returns the weight of an outcome in a slow bin.
func (u *upstream) slowWeight(now time.Time, latency, median time.Duration) float64 {
	u.badAt = now
	if now.Add(-latency).Before(u.slowAt) && now.Sub(u.slowAt) < median {
		return overlapWeight
	}
	u.slowAt = now
	return 1
}

// fade ages the evidence up to now. A clock that goes backwards ages nothing.
func (u *upstream) fade(now time.Time) {
	age := now.Sub(u.fadedAt)
	if age <= 0 {
		return
	}
	u.fadedAt = now
	if u.relapses > 0 && now.Sub(u.relapsedAt) > relapseForgotten {
		u.relapses--
		u.relapsedAt = now
	}
	half := evidenceHalfLife
	if u.sick || u.pathBad {
		half = sickHalfLife << min(u.relapses, maxRelapses)
	}
	keep, recent := remaining(age, half), remaining(age, recentHalfLife)
	for h := range u.evidence {
		u.evidence[h] *= keep
	}
	for i := range u.path {
		u.path[i] *= keep
	}
	u.successes, u.failures, u.timeouts = u.successes*recent, u.failures*recent, u.timeouts*recent
}

// remaining returns the share that is left after an age.
func remaining(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}
