package reliability

import (
	"math"
	"time"
)

const (
	// remoteWeight is what another home's outcome weighs against an own one: a
	// fault may show on one path only.
	remoteWeight = 0.85
	// earlyPart is the part of the median latency before which a failure counts
	// as early: no answer comes that soon, so the upstream did not work on it.
	earlyPart = 0.2
	// certain bounds the probabilities, so that any upstream can recover by a few
	// outcomes.
	certain = 0.995
	// lostWeight is what a lost connection weighs as evidence about the upstream:
	// the path may be at fault as well.
	lostWeight = 0.5
	// meanWeight is the part of the smoothed latency that one answer makes up.
	meanWeight = 0.05
	// maxRoutes bounds the routes whose latencies are kept.
	maxRoutes = 1024
	// pathShare is the share of attempts that fail on a bad path, and
	// pathErrorShare that on a good one.
	pathShare, pathErrorShare = 0.8, 0.005
)

// Estimator keeps what is known of the upstreams of one service.
type Estimator struct {
	model     Model
	upstreams map[string]*upstream
	routes    map[string]*latencies
	// mean is the smoothed latency of all answers.
	mean time.Duration
}

// upstream is what is known of one upstream.
type upstream struct {
	// work is the probability that it fails requests, path that this home's
	// path to it fails.
	work, path belief
	// failedAt is when the last failure was seen.
	failedAt time.Time
	seenAt   time.Time
}

// belief is the probability of a bad state at a moment.
type belief struct {
	p  float64
	at time.Time
}

// New returns an Estimator without upstreams.
func New(m Model) *Estimator {
	return &Estimator{model: m, upstreams: map[string]*upstream{}, routes: map[string]*latencies{}}
}

// Retain makes ids the upstreams of the service; what is known of others is
// dropped.
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

// Forget drops what is known of an upstream that started again.
func (e *Estimator) Forget(id string) { delete(e.upstreams, id) }

// Failing returns the probability that the next attempt at the upstream fails
// because of its state or of the path to it.
func (e *Estimator) Failing(now time.Time, id string) float64 {
	u := e.upstreams[id]
	if u == nil {
		return e.model.Start
	}
	work := e.drift(u.work, now, e.model.failing())
	path := e.drift(u.path, now, 0)
	return 1 - (1-work)*(1-path)
}

// Seen returns when the last outcome of the upstream was seen, zero if none was.
func (e *Estimator) Seen(id string) time.Time {
	if u := e.upstreams[id]; u != nil {
		return u.seenAt
	}
	return time.Time{}
}

// Mean returns the smoothed latency of the service's answers, 0 while unknown.
func (e *Estimator) Mean() time.Duration { return e.mean }

// Median returns the median latency of a route's answers, 0 while unknown.
func (e *Estimator) Median(route string) time.Duration {
	if l := e.routes[route]; l != nil {
		return l.median
	}
	return 0
}

// OverdueAfter returns after which time a request in flight on a route is to be
// observed as Overdue, or 0 while that is unknown.
func (e *Estimator) OverdueAfter(route string) time.Duration {
	if l := e.routes[route]; l != nil {
		return l.overdue
	}
	return 0
}

// Observe takes an outcome of this home and returns the finding for the others.
func (e *Estimator) Observe(now time.Time, o Outcome) Finding {
	f := Finding{Kind: o.Kind, Age: o.Latency}
	median := e.Median(o.Route)
	switch o.Kind {
	case Success:
		limit := e.OverdueAfter(o.Route)
		f.Slow = limit > 0 && o.Latency > limit && !o.WasOverdue
		e.measure(o)
	case Failure:
		f.Early = median > 0 && float64(o.Latency) < earlyPart*float64(median)
	}
	u := e.upstream(now, o.Upstream)
	e.take(now, u, f, 1)
	e.takePath(u, o.Kind)
	return f
}

// Merge takes a finding of another home, whose path to the upstream differs.
func (e *Estimator) Merge(now time.Time, id string, f Finding) {
	e.take(now, e.upstream(now, id), f, remoteWeight)
}

// upstream returns the state of an upstream up to now.
func (e *Estimator) upstream(now time.Time, id string) *upstream {
	u := e.upstreams[id]
	if u == nil {
		u = &upstream{work: belief{e.model.Start, now}, path: belief{0, now}}
		e.upstreams[id] = u
	}
	u.seenAt = now
	u.work = belief{e.drift(u.work, now, e.model.failing()), now}
	u.path = belief{e.drift(u.path, now, 0), now}
	return u
}

// take changes what is believed of the upstream's work.
func (e *Estimator) take(now time.Time, u *upstream, f Finding, weight float64) {
	switch f.Kind {
	case Success:
		e.success(now, u, f, weight)
	case Failure:
		bad, good := e.model.FailingShare*(1-e.model.EarlyShare), e.model.ErrorShare*(1-e.model.EarlyErrorShare)
		if f.Early {
			bad, good = e.model.FailingShare*e.model.EarlyShare, e.model.ErrorShare*e.model.EarlyErrorShare
		}
		u.work.update(bad, good, weight)
		u.failedAt = now
	case Lost, Unreachable:
		u.work.update(e.model.FailingShare, max(e.model.ErrorShare, pathErrorShare), weight*lostWeight)
		u.failedAt = now
	case Overdue:
		u.work.update(e.model.SlowShare, e.model.SlowErrorShare, weight)
	}
}

// success takes a whole answer. It shows that the upstream worked when the
// request came to it; a failure seen since then counts for more.
func (e *Estimator) success(now time.Time, u *upstream, f Finding, weight float64) {
	began := now.Add(-f.Age)
	if u.failedAt.After(began) {
		return
	}
	bad, good := 1-e.model.FailingShare, 1-e.model.ErrorShare
	if f.Slow {
		bad, good = bad*e.model.SlowShare, good*e.model.SlowErrorShare
	}
	u.work.update(bad, good, weight)
	// The state may have changed since the request began.
	u.work.p = max(u.work.p, e.drift(belief{min(u.work.p, e.model.failing()), began}, now, e.model.failing()))
}

// takePath changes what is believed of this home's path to the upstream.
func (e *Estimator) takePath(u *upstream, kind Kind) {
	switch kind {
	case Lost, Unreachable:
		u.path.p = max(u.path.p, pathErrorShare)
		u.path.update(pathShare, pathErrorShare, 1)
	case Success, Failure, Shed:
		u.path.update(1-pathShare, 1-pathErrorShare, 1)
	}
}

// measure takes the latency of an answer.
func (e *Estimator) measure(o Outcome) {
	if e.mean == 0 {
		e.mean = o.Latency
	}
	e.mean += time.Duration(meanWeight * float64(o.Latency-e.mean))
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

// drift moves a probability towards its long-run value as time passes.
func (e *Estimator) drift(b belief, now time.Time, longRun float64) float64 {
	age := max(now.Sub(b.at), 0).Seconds()
	return longRun + (b.p-longRun)*math.Exp(-age*e.model.rate())
}

// update applies Bayes' rule for an observation of the given probabilities under
// the bad and the good state.
func (b *belief) update(bad, good, weight float64) {
	odds := b.p / (1 - b.p) * math.Pow(bad/good, weight)
	b.p = min(max(odds/(1+odds), 0), certain)
}
