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
	// slowPart is the multiple of the median latency from which a success
	// counts as slow, and a request in flight as overdue.
	slowPart = 3
	// leastOverdue keeps a service with very short requests from reporting
	// stalls of the host as overdue requests.
	leastOverdue = 100 * time.Millisecond
	// certain bounds the probabilities, so that any upstream can recover by a few
	// outcomes.
	certain = 0.995
	// pathShare is the share of attempts that fail on a bad path, and
	// pathErrorShare that on a good one.
	pathShare, pathErrorShare = 0.8, 0.005
)

// Estimator keeps what is known of the upstreams of one service.
type Estimator struct {
	model     Model
	upstreams map[string]*upstream
	latency   latencies
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
	return &Estimator{model: m, upstreams: map[string]*upstream{}}
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

// Age returns how long ago the last outcome of the upstream was seen, false if
// there was none.
func (e *Estimator) Age(now time.Time, id string) (time.Duration, bool) {
	u := e.upstreams[id]
	if u == nil {
		return 0, false
	}
	return now.Sub(u.seenAt), true
}

// Median returns the median latency of the service's successes, 0 while unknown.
func (e *Estimator) Median() time.Duration { return e.latency.median() }

// OverdueAfter returns after which time a request in flight is to be observed as
// Overdue, or 0 while that is unknown.
func (e *Estimator) OverdueAfter() time.Duration {
	median := e.latency.median()
	if median == 0 {
		return 0
	}
	return max(slowPart*median, leastOverdue)
}

// Observe takes an outcome.
func (e *Estimator) Observe(now time.Time, o Outcome) {
	u := e.upstreams[o.Upstream]
	if u == nil {
		u = &upstream{work: belief{e.model.Start, now}, path: belief{0, now}}
		e.upstreams[o.Upstream] = u
	}
	u.seenAt = now
	u.work = belief{e.drift(u.work, now, e.model.failing()), now}
	u.path = belief{e.drift(u.path, now, 0), now}
	weight := 1.0
	if o.Remote {
		weight = remoteWeight
	}
	switch o.Kind {
	case Success:
		e.success(now, u, o, weight)
	case Failure:
		early := e.isEarly(o.Latency)
		bad, good := e.model.FailingShare*(1-e.model.EarlyShare), e.model.ErrorShare*(1-e.model.EarlyErrorShare)
		if early {
			bad, good = e.model.FailingShare*e.model.EarlyShare, e.model.ErrorShare*e.model.EarlyErrorShare
		}
		u.work.update(bad, good, weight)
		u.failedAt = now
		e.reached(u, o)
	case Lost, Unreachable:
		if !o.Remote {
			u.path.p = max(u.path.p, pathErrorShare)
			u.path.update(pathShare, pathErrorShare, 1)
		}
		u.work.update(e.model.FailingShare, max(e.model.ErrorShare, pathErrorShare), weight/2)
		u.failedAt = now
	case Overdue:
		u.work.update(e.model.SlowShare, e.model.SlowErrorShare, weight)
	case Shed:
		e.reached(u, o)
	}
}

// success takes a whole answer. It shows that the upstream worked when the
// request came to it; a failure seen since then counts for more.
func (e *Estimator) success(now time.Time, u *upstream, o Outcome, weight float64) {
	e.reached(u, o)
	if !o.Remote {
		e.latency.add(o.Latency)
	}
	if u.failedAt.After(now.Add(-o.Latency)) {
		return
	}
	bad, good := 1-e.model.FailingShare, 1-e.model.ErrorShare
	if limit := e.OverdueAfter(); limit > 0 && o.Latency > limit && !o.WasOverdue {
		bad, good = bad*e.model.SlowShare, good*e.model.SlowErrorShare
	}
	u.work.update(bad, good, weight)
	// The state may have changed since the request began.
	age := belief{u.work.p, now.Add(-o.Latency)}
	u.work.p = max(u.work.p, min(e.drift(age, now, e.model.failing()), e.model.failing()))
}

// reached notes that this home's path to the upstream works.
func (e *Estimator) reached(u *upstream, o Outcome) {
	if !o.Remote {
		u.path.update(1-pathShare, 1-pathErrorShare, 1)
	}
}

func (e *Estimator) isEarly(latency time.Duration) bool {
	median := e.latency.median()
	return median > 0 && float64(latency) < earlyPart*float64(median)
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
