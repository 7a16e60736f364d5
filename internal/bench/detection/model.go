package main

import (
	"math"
	"math/rand/v2"
	"time"
)

// service is one service of a deployment with its assumed load.
type service struct {
	Deployment  string        `json:"deployment"`
	Name        string        `json:"name"`
	Weight      float64       `json:"weight"`
	Upstreams   int           `json:"upstreams"`
	Slots       int           `json:"slots"`
	Floor       int           `json:"floor"`
	Utilisation float64       `json:"utilisation"`
	Median      time.Duration `json:"medianLatencyNs"`
}

// services are the six services of the design page. Latencies, utilisation and
// floors are assumptions; the page does not state them.
var services = []service{
	{"atlas", "registre-steles", 0.8, 6, 3, 4, 0.60, 80 * time.Millisecond},
	{"atlas", "bons-chantier", 0.8, 8, 3, 5, 0.50, 120 * time.Millisecond},
	{"atlas", "tableau-equipes", 0.8, 10, 3, 7, 0.70, 60 * time.Millisecond},
	{"cooperative", "stone-catalogue", 0.3, 6, 6, 4, 0.60, 90 * time.Millisecond},
	{"cooperative", "wheel-roster", 0.3, 10, 6, 7, 0.50, 150 * time.Millisecond},
	{"cooperative", "batch-ledger", 0.3, 12, 6, 8, 0.70, 400 * time.Millisecond},
}

// Assumptions about healthy work, the same for every service.
const (
	homesPerService = 3     // one per failure domain
	sigma           = 0.3   // of the logarithm of the latency
	tailShare       = 0.01  // of requests take tailFactor times longer
	tailFactor      = 5.0   //
	normalFailures  = 0.001 // share of failed requests
	failLatency     = 0.3   // of the median: failures are fast
	timeoutFactor   = 12.0  // request timeout in medians
	idempotentShare = 0.6
	dialTimeout     = 100 * time.Millisecond
	// stallEvery and stallFor are brief pauses of healthy upstreams, such as
	// garbage collections.
	stallEvery = 10 * time.Minute
	stallFor   = 200 * time.Millisecond
)

// meanLatency is the mean of the latency distribution.
func (s service) meanLatency() time.Duration {
	mean := math.Exp(sigma*sigma/2) * (1 - tailShare + tailShare*tailFactor)
	return time.Duration(float64(s.Median) * mean)
}

// rate is the requests per second of the whole service.
func (s service) rate() float64 {
	return s.Utilisation * float64(s.Upstreams*s.Slots) / s.meanLatency().Seconds()
}

func (s service) timeout() time.Duration {
	return time.Duration(timeoutFactor * float64(s.Median))
}

// fault is one gray failure.
type fault struct {
	Name     string
	Slowdown float64 // factor of the latency
	Failing  float64 // share of failed work
	// FlapOn and FlapOff alternate the fault if set.
	FlapOn, FlapOff time.Duration
	ProbesFail      bool
	// Unreachable makes dials fail from home 0 only.
	Unreachable bool
	// ColdStart multiplies the latency by Slowdown, which decays to 1 over this time.
	ColdStart time.Duration
	// Harmless faults should not be detected.
	Harmless bool
}

// faults are the gray fault kinds of the measurement.
var faults = []fault{
	{Name: "slow (x4)", Slowdown: 4},
	{Name: "failing 40%", Slowdown: 1, Failing: 0.4},
	{Name: "probe-ok-work-bad (90%)", Slowdown: 1, Failing: 0.9},
	{Name: "work-ok-probe-bad", Slowdown: 1, ProbesFail: true, Harmless: true},
	{Name: "flapping 100ms/100ms", Slowdown: 1, Failing: 1, FlapOn: 100 * time.Millisecond, FlapOff: 100 * time.Millisecond},
	{Name: "reachable from one side", Slowdown: 1, Unreachable: true},
	{Name: "cold start (x6, 10s)", Slowdown: 6, ColdStart: 10 * time.Second, Harmless: true},
}

// active tells whether the fault acts at a time after its onset.
func (f fault) active(since time.Duration) bool {
	if f.FlapOn == 0 {
		return true
	}
	return since%(f.FlapOn+f.FlapOff) < f.FlapOn
}

// slowdown is the latency factor at a time after the onset.
func (f fault) slowdown(since time.Duration) float64 {
	if f.ColdStart == 0 {
		return f.Slowdown
	}
	return 1 + (f.Slowdown-1)*math.Exp(-3*float64(since)/float64(f.ColdStart))
}

// result is what one request does at an upstream.
type result struct {
	failed  bool
	latency time.Duration
}

// healthyWork draws the result of a request at a healthy upstream.
func (s service) healthyWork(rng *rand.Rand) result {
	latency := float64(s.Median) * math.Exp(sigma*rng.NormFloat64())
	if rng.Float64() < tailShare {
		latency *= tailFactor
	}
	if rng.Float64() < normalFailures {
		return result{failed: true, latency: time.Duration(failLatency * float64(s.Median))}
	}
	return result{latency: time.Duration(latency)}
}

// work draws the result of a request at an upstream with the fault.
func (s service) work(f fault, since time.Duration, rng *rand.Rand) result {
	r := s.healthyWork(rng)
	if !f.active(since) {
		return r
	}
	r.latency = time.Duration(float64(r.latency) * f.slowdown(since))
	if rng.Float64() < f.Failing {
		return result{failed: true, latency: time.Duration(failLatency * float64(s.Median))}
	}
	return r
}
