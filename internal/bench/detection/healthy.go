package main

import (
	"math/rand/v2"
	"time"

	"shallotglade/pkg/detector"
)

const (
	healthyTickInterval = 500 * time.Millisecond
	secondsPerDay       = 86400.0
)

// falseRates holds the false events per upstream-day of a healthy service.
type falseRates struct {
	UpstreamDays float64 `json:"upstreamDays"`
	Outcomes     int     `json:"outcomes"`
	Demotions    float64 `json:"falseDemotionsPerUpstreamDay"`
	Ejections    float64 `json:"falseEjectionsPerUpstreamDay"`
}

// healthyRun feeds several detectors the same outcomes of a healthy service.
// Requests are distributed independently of the detectors' decisions.
type healthyRun struct {
	service          service
	homes            int
	detectors        []failureDetector
	misleadingProbes int
	rng              *rand.Rand
	queue            eventQueue
	nextStalls       []time.Time // by upstream
	outcomes         int
}

// runHealthy simulates a healthy service for the given number of upstream-days.
func runHealthy(s service, homes int, detectors []failureDetector, days float64, misleadingProbes int, seed uint64) []falseRates {
	r := &healthyRun{
		service: s, homes: homes, detectors: detectors, misleadingProbes: misleadingProbes,
		rng: rand.New(rand.NewPCG(seed, 3)), nextStalls: make([]time.Time, s.Upstreams),
	}
	for i := range r.nextStalls {
		r.nextStalls[i] = epoch.Add(time.Duration(r.rng.ExpFloat64() * float64(stallInterval)))
	}
	end := epoch.Add(time.Duration(days * secondsPerDay / float64(s.Upstreams) * 1e9))
	for _, kind := range []eventKind{arrival, tick, probeRound} {
		r.queue.push(event{at: epoch, kind: kind})
	}
	for e := r.queue.pop(); e.at.Before(end); e = r.queue.pop() {
		r.handle(e)
	}
	return computeFalseRates(detectors, days, r.outcomes)
}

func (r *healthyRun) handle(e event) {
	switch e.kind {
	case arrival:
		r.send(e.at)
		e.at = e.at.Add(time.Duration(r.rng.ExpFloat64() / r.service.requestRate() * 1e9))
		r.queue.push(e)
	case completion:
		r.outcomes++
		r.observe(e)
	case overdue:
		r.observe(e)
	case tick:
		for _, d := range r.detectors {
			d.tick(e.at)
		}
		e.at = e.at.Add(healthyTickInterval)
		r.queue.push(e)
	case probeRound:
		r.probeAll(e.at)
		e.at = e.at.Add(probeInterval)
		r.queue.push(e)
	}
}

func (r *healthyRun) observe(e event) {
	for _, d := range r.detectors {
		d.observe(e.at, e.home, e.outcome)
	}
}

// send starts one request. Only one detector asks for reports of overdue
// requests; they go to all detectors because the naive ones ignore them.
func (r *healthyRun) send(now time.Time) {
	home, upstream := r.rng.IntN(r.homes), r.rng.IntN(r.service.Upstreams)
	res, kind := r.service.drawHealthyResult(r.rng), detector.Success
	if res.failed {
		kind = detector.Failure
	}
	res.latency += stallDelay(now, &r.nextStalls[upstream], r.rng)
	e := event{
		at: now.Add(res.latency), kind: completion, home: home,
		outcome: detector.Outcome{Upstream: nodeIDs[upstream], Kind: kind, Latency: res.latency},
	}
	for _, d := range r.detectors {
		if threshold := d.overdueAfter(home); threshold > 0 && res.latency > threshold {
			e.outcome.WasOverdue = true
			r.queue.push(event{
				at: now.Add(threshold), kind: overdue, home: home,
				outcome: detector.Outcome{Upstream: nodeIDs[upstream], Kind: detector.Overdue, Latency: threshold},
			})
		}
	}
	r.queue.push(e)
}

// stallDelay returns the delay that a stall of the upstream adds to a request.
func stallDelay(now time.Time, next *time.Time, rng *rand.Rand) time.Duration {
	remaining := next.Add(stallDuration).Sub(now)
	if remaining < 0 {
		*next = now.Add(time.Duration(rng.ExpFloat64() * float64(stallInterval)))
	}
	if now.Before(*next) {
		return 0
	}
	return max(remaining, 0)
}

// probeAll probes every upstream from every home. The first misleadingProbes
// upstreams fail all probes although they serve requests well.
func (r *healthyRun) probeAll(now time.Time) {
	for home := range r.homes {
		for i := range r.service.Upstreams {
			kind := detector.ProbeSuccess
			if i < r.misleadingProbes {
				kind = detector.ProbeFailure
			}
			r.observe(event{at: now, home: home, outcome: detector.Outcome{Upstream: nodeIDs[i], Kind: kind}})
		}
	}
}

func computeFalseRates(detectors []failureDetector, days float64, outcomes int) []falseRates {
	out := make([]falseRates, 0, len(detectors))
	for _, d := range detectors {
		r := falseRates{UpstreamDays: days, Outcomes: outcomes}
		c := d.counts()
		for i := range c.demotions {
			r.Demotions += float64(c.demotions[i]) / days
			r.Ejections += float64(c.ejections[i]) / days
		}
		out = append(out, r)
	}
	return out
}
