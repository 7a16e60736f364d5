package main

import (
	"math/rand/v2"
	"time"

	"shallotglade/pkg/detector"
)

const (
	healthyTick = 500 * time.Millisecond
	// day is a day of one upstream, in seconds.
	day = 86400.0
)

// falseRates are false events per upstream-day of a healthy service.
type falseRates struct {
	UpstreamDays float64 `json:"upstreamDays"`
	Outcomes     int     `json:"outcomes"`
	Demotions    float64 `json:"falseDemotionsPerUpstreamDay"`
	Ejections    float64 `json:"falseEjectionsPerUpstreamDay"`
}

// healthyRun gives several judges the same outcomes of a healthy service. Work
// does not depend on what the judges decide.
type healthyRun struct {
	service   service
	homes     int
	judges    []judge
	badProbes int
	rng       *rand.Rand
	queue     events
	stalls    []time.Time // next stall of each upstream
	outcomes  int
}

// runHealthy simulates a number of upstream-days.
func runHealthy(s service, homes int, judges []judge, days float64, badProbes int, seed uint64) []falseRates {
	r := &healthyRun{
		service: s, homes: homes, judges: judges, badProbes: badProbes,
		rng: rand.New(rand.NewPCG(seed, 3)), stalls: make([]time.Time, s.Upstreams),
	}
	for i := range r.stalls {
		r.stalls[i] = epoch.Add(time.Duration(r.rng.ExpFloat64() * float64(stallEvery)))
	}
	end := epoch.Add(time.Duration(days * day / float64(s.Upstreams) * 1e9))
	for _, kind := range []eventKind{arrival, tick, probes} {
		r.queue.push(event{at: epoch, kind: kind})
	}
	for e := r.queue.pop(); e.at.Before(end); e = r.queue.pop() {
		r.handle(e)
	}
	return rates(judges, days, r.outcomes)
}

func (r *healthyRun) handle(e event) {
	switch e.kind {
	case arrival:
		r.send(e.at)
		e.at = e.at.Add(time.Duration(r.rng.ExpFloat64() / r.service.rate() * 1e9))
		r.queue.push(e)
	case completion:
		r.outcomes++
		r.observe(e)
	case overdue:
		r.observe(e)
	case tick:
		for _, j := range r.judges {
			j.tick(e.at)
		}
		e.at = e.at.Add(healthyTick)
		r.queue.push(e)
	case probes:
		r.probe(e.at)
		e.at = e.at.Add(probeEvery)
		r.queue.push(e)
	}
}

func (r *healthyRun) observe(e event) {
	for _, j := range r.judges {
		j.observe(e.at, e.home, e.outcome)
	}
}

// send starts one request. The naive judges ignore reports of overdue requests,
// so those of the one judge that asks for them go to all.
func (r *healthyRun) send(now time.Time) {
	home, upstream := r.rng.IntN(r.homes), r.rng.IntN(r.service.Upstreams)
	work, kind := r.service.healthyWork(r.rng), detector.Success
	if work.failed {
		kind = detector.Failure
	}
	work.latency += stall(now, &r.stalls[upstream], r.rng)
	e := event{
		at: now.Add(work.latency), kind: completion, home: home,
		outcome: detector.Outcome{Upstream: names[upstream], Kind: kind, Latency: work.latency},
	}
	for _, j := range r.judges {
		if after := j.overdueAfter(home); after > 0 && work.latency > after {
			e.outcome.WasOverdue = true
			r.queue.push(event{
				at: now.Add(after), kind: overdue, home: home,
				outcome: detector.Outcome{Upstream: names[upstream], Kind: detector.Overdue, Latency: after},
			})
		}
	}
	r.queue.push(e)
}

// stall returns by how much a pause of the upstream prolongs a request.
func stall(now time.Time, next *time.Time, rng *rand.Rand) time.Duration {
	left := next.Add(stallFor).Sub(now)
	if left < 0 {
		*next = now.Add(time.Duration(rng.ExpFloat64() * float64(stallEvery)))
	}
	if now.Before(*next) {
		return 0
	}
	return max(left, 0)
}

// probe probes every upstream from every home; the first badProbes upstreams
// fail all probes although their work is good.
func (r *healthyRun) probe(now time.Time) {
	for home := range r.homes {
		for i := range r.service.Upstreams {
			kind := detector.ProbeSuccess
			if i < r.badProbes {
				kind = detector.ProbeFailure
			}
			r.observe(event{at: now, home: home, outcome: detector.Outcome{Upstream: names[i], Kind: kind}})
		}
	}
}

func rates(judges []judge, days float64, outcomes int) []falseRates {
	out := make([]falseRates, 0, len(judges))
	for _, j := range judges {
		r := falseRates{UpstreamDays: days, Outcomes: outcomes}
		c := j.counts()
		for i := range c.demotions {
			r.Demotions += float64(c.demotions[i]) / days
			r.Ejections += float64(c.ejections[i]) / days
		}
		out = append(out, r)
	}
	return out
}
