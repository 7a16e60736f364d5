package detector

import (
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// calibrateEvery is after how many outcomes per upstream the baseline is
	// derived again between two calls of Assess.
	calibrateEvery = 8
	// commonShare is the part of the threshold above which the median
	// upstream's evidence counts as a fault of the whole service.
	commonShare = 0.25
	// commonFactor is how much of the common evidence is taken from everyone:
	// twice the median, because upstreams with more work collect it faster.
	commonFactor = 2
	// overdueSpreads is how far above the service's median latency a request
	// in flight is reported as overdue, in robust standard deviations. It is
	// just inside the slowest bin, so that waiting longer adds no evidence.
	overdueSpreads = 5.2
)

// Intervals of Redial.
const (
	redialAtOnce = 20 * time.Millisecond
	redialBad    = time.Second
)

// Group judges the upstreams of one service at one home.
type Group struct {
	tuning    Tuning
	byID      map[string]*upstream
	upstreams []*upstream // sorted by id
	baseline  baseline
	homes     map[string]*remoteHome
	done      tally // outcomes of upstreams while they were not sick
	pending   int   // outcomes since the last calibration
}

// NewGroup returns a Group without upstreams.
func NewGroup(tuning Tuning) *Group {
	g := &Group{tuning: tuning, byID: map[string]*upstream{}, homes: map[string]*remoteHome{}}
	g.baseline.calibrate(nil)
	return g
}

// SetTuning replaces the tuning; the evidence stays.
func (g *Group) SetTuning(tuning Tuning) { g.tuning = tuning }

// Tuning returns the tuning in force.
func (g *Group) Tuning() Tuning { return g.tuning }

// Retain makes ids the upstreams of the service: new ones are added, and the
// evidence about all others is dropped.
func (g *Group) Retain(now time.Time, ids []string) {
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

// SetWarmUp tells that the upstream is starting cold: until the given time its
// latency is not evidence, while failures are.
func (g *Group) SetWarmUp(now time.Time, id string, until time.Time) {
	g.upstream(now, id).warmUntil = until
}

// Restart begins a new judgement of an upstream whose trial begins. A third of
// the threshold stays as a head start, so that a relapse is found sooner.
func (g *Group) Restart(now time.Time, id string) {
	u := g.upstream(now, id)
	u.fade(now)
	for h := range u.evidence {
		u.evidence[h] = min(u.evidence[h], g.tuning.Threshold*clearScore*0.9)
	}
	u.path = [len(unreachableShares)]float64{}
	u.successes, u.failures, u.timeouts = 0, 0, 0
	u.sick, u.pathBad, u.since, u.reason = false, false, now, ReasonNone
}

// OverdueAfter returns after which time a request in flight at any upstream of
// the service should be observed as Overdue, or 0 while that is unknown.
func (g *Group) OverdueAfter() time.Duration {
	if !g.baseline.ready {
		return 0
	}
	return time.Duration(math.Exp(g.baseline.location + overdueSpreads*g.baseline.spread))
}

// Observe takes one outcome. It returns true when the outcome raised an
// upstream's evidence to half or the whole of a threshold: then Assess should be
// called and the Summary sent at once, so that several homes which see the same
// fault pool their evidence. It does not allocate for a known upstream.
func (g *Group) Observe(now time.Time, o Outcome) bool {
	u := g.upstream(now, o.Upstream)
	before, _ := u.strongest()
	pathBefore := u.pathNats()
	g.count(now, u, o)
	g.pending++
	if g.pending >= calibrateEvery*len(g.upstreams) {
		g.calibrate(now)
	}
	after, _ := u.strongest()
	threshold := g.tuning.Threshold
	return crosses(before, after, threshold) || crosses(pathBefore, u.pathNats(), pathShare*threshold)
}

// crosses tells whether a statistic reached half or the whole of a threshold.
func crosses(before, after, threshold float64) bool {
	return before < threshold && after >= threshold || before < threshold/2 && after >= threshold/2
}

// Redial tells whether the home should dial the upstream once more without a
// request, after which time, and observe Reachable or Unreachable. After a
// failed dial this settles at once whether the path is bad. While the path is
// bad, it finds the end of the fault without risking requests.
func (g *Group) Redial(id string) (after time.Duration, wanted bool) {
	u, known := g.byID[id]
	switch {
	case !known || u.path[mostlyUnreachable] == 0 && !u.pathBad:
		return 0, false
	case u.pathBad || u.sick:
		return redialBad, u.reason == ReasonUnreachable
	default:
		return redialAtOnce, true
	}
}

// pathScore is the evidence of failed dials, in thresholds.
func (g *Group) pathScore(u *upstream) float64 {
	return u.pathNats() / (pathShare * g.tuning.Threshold)
}

// count adds the outcome to the upstream's evidence.
func (g *Group) count(now time.Time, u *upstream, o Outcome) {
	limit := maxScore * g.tuning.Threshold
	switch o.Kind {
	case Success:
		u.successes++
		u.countFailure(0)
		g.countLatency(now, u, o, limit)
	case Failure, Truncated:
		g.countFailure(now, u, classFailure, limit)
	case Crash:
		if !o.BlameWithheld {
			g.countFailure(now, u, classFailure, limit)
		}
	case Timeout:
		u.timeouts++
		class := classTimeout
		if o.WasOverdue {
			class = classFailure // its slowness is counted already
		}
		g.countFailure(now, u, class, limit)
	case Overdue:
		g.countLatency(now, u, o, limit)
	case Shed, Reachable:
		u.addContact(&dialWorked, limit)
	case Unreachable:
		if u.path[mostlyUnreachable] == 0 {
			u.pathAt = now
		}
		u.badAt = now
		u.addContact(&dialFailed, limit)
	case ProbeSuccess:
		u.probeFailing -= u.probeFailing * probeWeight
	case ProbeFailure:
		u.probeFailing += (1 - u.probeFailing) * probeWeight
	}
}

// tally counts an outcome for contrasts. Those of a sick upstream are left out,
// so that it does not pass for the normal state of the service.
func (g *Group) tally(u *upstream, t tally) {
	if u.sick {
		return
	}
	u.done.plus(t)
	g.done.plus(t)
}

// countFailure counts failed work.
func (g *Group) countFailure(now time.Time, u *upstream, class int, limit float64) {
	u.failures++
	u.badAt = now
	u.countFailure(1)
	u.addContact(&dialWorked, limit)
	u.add(&g.baseline.ratio[class], 1, 0, numHypotheses, limit, now, &g.done)
	t := tally{work: 1, failed: 1}
	if class == classTimeout {
		t.timed, t.slow = 1, 1
	}
	g.tally(u, t)
}

// countLatency counts complete work, or the lateness of work still in flight.
func (g *Group) countLatency(now time.Time, u *upstream, o Outcome, limit float64) {
	logLatency := math.Log(max(float64(o.Latency), 1))
	if o.Kind == Success {
		u.addContact(&dialWorked, limit)
		u.add(&g.baseline.ratio[0], 1, 0, hypSlow, limit, now, &g.done) // failure hypotheses ignore the bin
		g.tally(u, tally{work: 1})
	}
	if o.WasOverdue || now.Before(u.warmUntil) {
		return
	}
	u.latencies.add(logLatency)
	if !g.baseline.ready {
		return
	}
	bin := g.baseline.bin(logLatency)
	u.countBin(bin)
	weight, slow := 1.0, 0.0
	if bin >= slowBin {
		weight = u.slowWeight(now, o.Latency, time.Duration(math.Exp(g.baseline.location)))
		slow = weight
	}
	u.add(&g.baseline.ratio[bin], weight, hypSlow, numHypotheses, limit, now, &g.done)
	g.tally(u, tally{timed: weight, slow: slow})
}

// calibrate ages the evidence, derives the baseline and takes common evidence
// from everyone.
func (g *Group) calibrate(now time.Time) {
	g.pending = 0
	for _, u := range g.upstreams {
		u.fade(now)
	}
	g.baseline.calibrate(g.upstreams)
	common := g.baseline.median(g.upstreams, func(u *upstream) float64 {
		nats, _ := u.strongest()
		return nats
	})
	if len(g.upstreams) < 2 || common < commonShare*g.tuning.Threshold {
		return
	}
	for _, u := range g.upstreams {
		for h := range u.evidence {
			u.evidence[h] = max(0, u.evidence[h]-commonFactor*common)
		}
	}
}

// upstream returns the state of an upstream, which it adds if it is new.
func (g *Group) upstream(now time.Time, id string) *upstream {
	if u, ok := g.byID[id]; ok {
		return u
	}
	id = strings.Clone(id) // the caller's string may alias a pooled buffer
	u := newUpstream(now, id)
	g.byID[id] = u
	at, _ := slices.BinarySearchFunc(g.upstreams, id, func(u *upstream, id string) int {
		return strings.Compare(u.id, id)
	})
	g.upstreams = slices.Insert(g.upstreams, at, u)
	return u
}
