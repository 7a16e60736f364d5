package reliability

import (
	"math"
	"time"
)

const (
	// remoteWeight is the weight of another home's outcome relative to an own one,
	// because a fault may affect one network path only.
	remoteWeight = 0.85
	// earlyFraction is the fraction of the median latency below which a failure
	// counts as early: no response arrives that soon, so the upstream did not process
	// the request.
	earlyFraction = 0.2
	// maxProbability bounds the failure probability, so that a few outcomes are
	// enough for any upstream to recover.
	maxProbability = 0.995
	// lostConnectionWeight is the weight of a lost connection as evidence about the
	// upstream, because the path may be at fault as well.
	lostConnectionWeight = 0.5
	// meanSmoothing is the weight of one response in the smoothed latency.
	meanSmoothing = 0.05
	// maxRoutes bounds the number of routes whose latencies are kept.
	maxRoutes = 1024
	// badPathFailureShare is the share of attempts that fail on a bad path,
	// goodPathFailureShare that on a good one.
	badPathFailureShare, goodPathFailureShare = 0.8, 0.005
)

// Estimator estimates the failure probabilities of the upstreams of one service.
type Estimator struct {
	model     Model
	upstreams map[string]*upstream
	routes    map[string]*latencies
	// meanLatency is the smoothed latency of all responses.
	meanLatency time.Duration
}

// upstream holds the estimates for one upstream.
type upstream struct {
	// failing is the probability that the upstream is in the failing state,
	// pathFailing that this home's path to it is bad.
	failing, pathFailing belief
	// failedAt is when the last failure was seen.
	failedAt time.Time
	seenAt   time.Time
	// sentAt is when the latest request with a known outcome was sent.
	sentAt time.Time
}

// belief is the probability of a bad state at a point in time.
type belief struct {
	p  float64
	at time.Time
}

// New returns an Estimator without upstreams.
func New(m Model) *Estimator {
	return &Estimator{model: m, upstreams: map[string]*upstream{}, routes: map[string]*latencies{}}
}

// Retain makes ids the upstreams of the service and drops the data of all others.
func (e *Estimator) Retain(ids []string) {
	keep := make(map[string]bool, len(ids))
	for _, id := range ids {
		keep[id] = true
	}
	for id := range e.upstreams {
		if !keep[id] {
			delete(e.upstreams, id)
		}
	}
}

// Forget drops the data of an upstream that was restarted.
func (e *Estimator) Forget(id string) { delete(e.upstreams, id) }

// FailureProbability returns the probability that the next attempt at the upstream
// fails because of its state or of the path to it.
func (e *Estimator) FailureProbability(now time.Time, id string) float64 {
	u := e.upstreams[id]
	if u == nil {
		return e.model.InitialFailing
	}
	failing := e.decay(u.failing, now, e.model.longRunFailing())
	pathFailing := e.decay(u.pathFailing, now, 0)
	return 1 - (1-failing)*(1-pathFailing)
}

// LastOutcomeAt returns when the last outcome of the upstream was seen, zero if none
// was.
func (e *Estimator) LastOutcomeAt(id string) time.Time {
	if u := e.upstreams[id]; u != nil {
		return u.seenAt
	}
	return time.Time{}
}

// LastSentAt returns when the latest request with a known outcome, of any home, was sent
// to the upstream, zero if none was.
func (e *Estimator) LastSentAt(id string) time.Time {
	if u := e.upstreams[id]; u != nil {
		return u.sentAt
	}
	return time.Time{}
}

// MeanLatency returns the smoothed latency of the service's responses, 0 while unknown.
func (e *Estimator) MeanLatency() time.Duration { return e.meanLatency }

// MedianLatency returns the median latency of a route's responses, 0 while unknown.
func (e *Estimator) MedianLatency(route string) time.Duration {
	if l := e.routes[route]; l != nil {
		return l.median
	}
	return 0
}

// OverdueAfter returns the time after which a request in flight on a route should be
// observed as Overdue, or 0 while it is unknown.
func (e *Estimator) OverdueAfter(route string) time.Duration {
	if l := e.routes[route]; l != nil {
		return l.overdue
	}
	return 0
}

// Observe records an outcome of this home and returns the finding to send to other
// homes.
func (e *Estimator) Observe(now time.Time, o Outcome) Finding {
	f := Finding{Kind: o.Kind, Age: o.Latency}
	median := e.MedianLatency(o.Route)
	switch o.Kind {
	case Success:
		limit := e.OverdueAfter(o.Route)
		f.Slow = limit > 0 && o.Latency > limit && !o.WasOverdue
		e.recordLatency(o)
	case Failure:
		f.Early = median > 0 && float64(o.Latency) < earlyFraction*float64(median)
	}
	u := e.upstream(now, o.Upstream)
	e.applyFinding(now, u, f, 1)
	e.updatePath(u, o.Kind)
	return f
}

// Merge applies a finding of another home, whose path to the upstream differs.
func (e *Estimator) Merge(now time.Time, id string, f Finding) {
	e.applyFinding(now, e.upstream(now, id), f, remoteWeight)
}

// upstream returns the entry of an upstream, decayed to now; it creates a missing
// one.
func (e *Estimator) upstream(now time.Time, id string) *upstream {
	u := e.upstreams[id]
	if u == nil {
		u = &upstream{failing: belief{e.model.InitialFailing, now}, pathFailing: belief{0, now}}
		e.upstreams[id] = u
	}
	u.seenAt = now
	u.failing = belief{e.decay(u.failing, now, e.model.longRunFailing()), now}
	u.pathFailing = belief{e.decay(u.pathFailing, now, 0), now}
	return u
}

// applyFinding updates the probability that the upstream is in the failing state, and the
// time of its latest request.
func (e *Estimator) applyFinding(now time.Time, u *upstream, f Finding, weight float64) {
	if sentAt := now.Add(-f.Age); sentAt.After(u.sentAt) {
		u.sentAt = sentAt
	}
	switch f.Kind {
	case Success:
		e.applySuccess(now, u, f, weight)
	case Failure:
		bad, good := e.model.FailingShare*(1-e.model.EarlyShare), e.model.ErrorShare*(1-e.model.EarlyErrorShare)
		if f.Early {
			bad, good = e.model.FailingShare*e.model.EarlyShare, e.model.ErrorShare*e.model.EarlyErrorShare
		}
		u.failing.update(bad, good, weight)
		u.failedAt = now
	case Lost, Unreachable:
		u.failing.update(e.model.FailingShare, max(e.model.ErrorShare, goodPathFailureShare), weight*lostConnectionWeight)
		u.failedAt = now
	case Overdue:
		u.failing.update(e.model.SlowShare, e.model.SlowErrorShare, weight)
	}
}

// applySuccess applies a complete response. It shows that the upstream worked when
// the request arrived there, so a failure seen since then takes precedence.
func (e *Estimator) applySuccess(now time.Time, u *upstream, f Finding, weight float64) {
	began := now.Add(-f.Age)
	if u.failedAt.After(began) {
		return
	}
	bad, good := 1-e.model.FailingShare, 1-e.model.ErrorShare
	if f.Slow {
		bad, good = bad*e.model.SlowShare, good*e.model.SlowErrorShare
	}
	u.failing.update(bad, good, weight)
	// The state may have changed since the request began.
	u.failing.p = max(u.failing.p, e.decay(belief{min(u.failing.p, e.model.longRunFailing()), began}, now, e.model.longRunFailing()))
}

// updatePath updates the probability that this home's path to the upstream is bad.
func (e *Estimator) updatePath(u *upstream, kind Kind) {
	switch kind {
	case Lost, Unreachable:
		u.pathFailing.p = max(u.pathFailing.p, goodPathFailureShare)
		u.pathFailing.update(badPathFailureShare, goodPathFailureShare, 1)
	case Success, Failure, Shed:
		u.pathFailing.update(1-badPathFailureShare, 1-goodPathFailureShare, 1)
	}
}

// recordLatency adds the latency of a response.
func (e *Estimator) recordLatency(o Outcome) {
	if e.meanLatency == 0 {
		e.meanLatency = o.Latency
	}
	e.meanLatency += time.Duration(meanSmoothing * float64(o.Latency-e.meanLatency))
	l := e.routes[o.Route]
	if l == nil {
		if len(e.routes) >= maxRoutes {
			return
		}
		l = &latencies{}
		e.routes[o.Route] = l
	}
	l.add(o.Latency)
}

// decay moves a probability towards its long-run value as time passes.
func (e *Estimator) decay(b belief, now time.Time, longRun float64) float64 {
	age := max(now.Sub(b.at), 0).Seconds()
	return longRun + (b.p-longRun)*math.Exp(-age*e.model.decayRate())
}

// update applies Bayes' rule to an observation with the given probabilities in the
// bad and the good state.
func (b *belief) update(bad, good, weight float64) {
	odds := b.p / (1 - b.p) * math.Pow(bad/good, weight)
	b.p = min(max(odds/(1+odds), 0), maxProbability)
}
