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

// ownPath is the key of this home's path in upstream.paths.
const ownPath = ""

// upstream holds the estimates for one upstream.
type upstream struct {
	// failing is the probability that the upstream is in the failing state.
	failing belief
	// paths holds, by home, the paths on which requests were lost or overdue.
	paths map[string]*path
	// failedAt is when the last failed response was seen.
	failedAt time.Time
	seenAt   time.Time
	// sentAt is when the latest request with a known outcome was sent.
	sentAt time.Time
}

// path holds the estimates for one home's path to an upstream.
type path struct {
	// bad is the probability that the path is bad.
	bad belief
	// lostAt is when the last request was lost on the path.
	lostAt time.Time
	// overdue is the number of overdue requests in flight on the path. Each took at least
	// overdueAge until it was reported, the last one at overdueAt.
	overdue    int
	overdueAge time.Duration
	overdueAt  time.Time
}

// maxOverdueTime is how long a request counts as overdue at most. The report of its end
// may be lost.
const maxOverdueTime = 10 * time.Second

// pathRetention is how long a path is kept after its last finding. Its probability has
// decayed to nearly 0 by then.
const pathRetention = time.Minute

// countOverdue updates the number of overdue requests in flight after a finding.
func (p *path) countOverdue(now time.Time, f Finding) {
	if now.Sub(p.overdueAt) > maxOverdueTime {
		p.overdue = 0
	}
	switch {
	case f.Kind == Overdue:
		if p.overdue == 0 || f.Age < p.overdueAge {
			p.overdueAge = f.Age
		}
		p.overdue, p.overdueAt = p.overdue+1, now
	case p.overdue > 0 && f.Age >= p.overdueAge:
		p.overdue--
	}
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
	return 1 - (1-failing)*(1-e.pathBad(now, u, ownPath))
}

// pathBad returns the probability that the path of a home to the upstream is bad.
func (e *Estimator) pathBad(now time.Time, u *upstream, home string) float64 {
	if p := u.paths[home]; p != nil {
		return e.decay(p.bad, now, 0)
	}
	return 0
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

// OverdueElsewhere returns the number of overdue requests that other homes have in flight
// at the upstream.
func (e *Estimator) OverdueElsewhere(now time.Time, id string) int {
	u, n := e.upstreams[id], 0
	if u == nil {
		return 0
	}
	for home, p := range u.paths {
		if home != ownPath && now.Sub(p.overdueAt) <= maxOverdueTime {
			n += p.overdue
		}
	}
	return n
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
	e.apply(now, ownPath, o.Upstream, f, 1)
	return f
}

// Merge applies a finding of another home, whose path to the upstream differs.
func (e *Estimator) Merge(now time.Time, home, id string, f Finding) {
	e.apply(now, home, id, f, remoteWeight)
}

// apply applies a finding of a home to the upstream and to the home's path to it.
func (e *Estimator) apply(now time.Time, home, id string, f Finding, weight float64) {
	u := e.upstream(now, id)
	e.applyFinding(now, u, home, f, weight)
	e.updatePath(now, u, home, f)
}

// upstream returns the entry of an upstream, decayed to now; it creates a missing
// one.
func (e *Estimator) upstream(now time.Time, id string) *upstream {
	u := e.upstreams[id]
	if u == nil {
		u = &upstream{failing: belief{e.model.InitialFailing, now}, paths: map[string]*path{}}
		e.upstreams[id] = u
	}
	u.seenAt = now
	u.failing = belief{e.decay(u.failing, now, e.model.longRunFailing()), now}
	return u
}

// applyFinding updates the probability that the upstream is in the failing state, and the
// time of its latest request. A request that was lost or is overdue on a path that is
// probably bad says little about the upstream.
func (e *Estimator) applyFinding(now time.Time, u *upstream, home string, f Finding, weight float64) {
	if sentAt := now.Add(-f.Age); sentAt.After(u.sentAt) {
		u.sentAt = sentAt
	}
	switch f.Kind {
	case Success:
		e.applySuccess(now, u, home, f, weight)
	case Failure:
		bad, good := e.model.FailingShare*(1-e.model.EarlyShare), e.model.ErrorShare*(1-e.model.EarlyErrorShare)
		if f.Early {
			bad, good = e.model.FailingShare*e.model.EarlyShare, e.model.ErrorShare*e.model.EarlyErrorShare
		}
		u.failing.update(bad, good, weight)
		u.failedAt = now
	case Lost, Unreachable:
		u.failing.update(e.model.FailingShare, max(e.model.ErrorShare, goodPathFailureShare), weight*lostConnectionWeight*(1-e.pathBad(now, u, home)))
	case Overdue:
		u.failing.update(e.model.SlowShare, e.model.SlowErrorShare, weight*(1-e.pathBad(now, u, home)))
	}
}

// applySuccess applies a complete response. It shows that the upstream worked when
// the request arrived there, so a failure seen since then takes precedence, as does a
// request that was lost on the same path.
func (e *Estimator) applySuccess(now time.Time, u *upstream, home string, f Finding, weight float64) {
	began := now.Add(-f.Age)
	if p := u.paths[home]; u.failedAt.After(began) || p != nil && p.lostAt.After(began) {
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

// forgetPaths drops paths without a finding for pathRetention, such as those of daemons
// that are no homes any more.
func (u *upstream) forgetPaths(now time.Time) {
	for home, p := range u.paths {
		if now.Sub(p.bad.at) > pathRetention {
			delete(u.paths, home)
		}
	}
}

// updatePath updates the probability that the path of a home to the upstream is bad.
func (e *Estimator) updatePath(now time.Time, u *upstream, home string, f Finding) {
	p := u.paths[home]
	bad, good := badPathFailureShare, goodPathFailureShare
	switch f.Kind {
	case Lost, Unreachable, Overdue:
		if p == nil {
			u.forgetPaths(now)
			p = &path{bad: belief{0, now}}
			u.paths[home] = p
		}
		if f.Kind == Overdue {
			good = e.model.SlowErrorShare
		} else {
			p.lostAt = now
		}
	case Success, Failure, Shed:
		if p == nil {
			return
		}
		bad, good = 1-bad, 1-good
	}
	p.countOverdue(now, f)
	p.bad = belief{max(e.decay(p.bad, now, 0), goodPathFailureShare), now}
	p.bad.update(bad, good, 1)
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
