package main

import (
	"math"
	"math/rand/v2"
	"time"
)

// service describes one service of a deployment and its assumed load.
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

// services lists the six services of the design page. Latencies, utilisation
// and floors are assumptions; the page does not state them.
var services = []service{
	{"atlas", "registre-steles", 0.8, 6, 3, 4, 0.60, 80 * time.Millisecond},
	{"atlas", "bons-chantier", 0.8, 8, 3, 5, 0.50, 120 * time.Millisecond},
	{"atlas", "tableau-equipes", 0.8, 10, 3, 7, 0.70, 60 * time.Millisecond},
	{"cooperative", "stone-catalogue", 0.3, 6, 6, 4, 0.60, 90 * time.Millisecond},
	{"cooperative", "wheel-roster", 0.3, 10, 6, 7, 0.50, 150 * time.Millisecond},
	{"cooperative", "batch-ledger", 0.3, 12, 6, 8, 0.70, 400 * time.Millisecond},
}

// Assumptions about requests at healthy upstreams, the same for every service.
const (
	homesPerService      = 3    // one per failure domain
	latencySigma         = 0.3  // standard deviation of log(latency)
	tailShare            = 0.01 // share of requests that take tailFactor times longer
	tailFactor           = 5.0
	baseFailureRate      = 0.001 // share of failed requests
	failureLatencyFactor = 0.3   // latency of a failure in medians; failures are fast
	timeoutFactor        = 12.0  // request timeout in medians
	idempotentShare      = 0.6
	dialTimeout          = 100 * time.Millisecond
	// Healthy upstreams stall for stallDuration, on average every
	// stallInterval, for example for a garbage collection.
	stallInterval = 10 * time.Minute
	stallDuration = 200 * time.Millisecond
)

// meanLatency returns the mean of the latency distribution.
func (s service) meanLatency() time.Duration {
	mean := math.Exp(latencySigma*latencySigma/2) * (1 - tailShare + tailShare*tailFactor)
	return time.Duration(float64(s.Median) * mean)
}

// requestRate returns the requests per second of the whole service.
func (s service) requestRate() float64 {
	return s.Utilisation * float64(s.Upstreams*s.Slots) / s.meanLatency().Seconds()
}

func (s service) timeout() time.Duration {
	return time.Duration(timeoutFactor * float64(s.Median))
}

// fault describes one kind of gray failure.
type fault struct {
	Name        string
	Slowdown    float64 // latency factor
	FailureRate float64 // share of requests that fail
	// FlapOn and FlapOff, if set, are the lengths of the alternating phases
	// with and without the fault.
	FlapOn, FlapOff time.Duration
	ProbesFail      bool
	// Unreachable makes dials fail from home 0 only.
	Unreachable bool
	// ColdStart, if set, is the time over which the latency factor decays from
	// Slowdown to about 1.
	ColdStart time.Duration
	// Harmless faults should not be detected.
	Harmless bool
}

// faults lists the simulated gray failures.
var faults = []fault{
	{Name: "slow (x4)", Slowdown: 4},
	{Name: "failing 40%", Slowdown: 1, FailureRate: 0.4},
	{Name: "probe-ok-work-bad (90%)", Slowdown: 1, FailureRate: 0.9},
	{Name: "work-ok-probe-bad", Slowdown: 1, ProbesFail: true, Harmless: true},
	{Name: "flapping 100ms/100ms", Slowdown: 1, FailureRate: 1, FlapOn: 100 * time.Millisecond, FlapOff: 100 * time.Millisecond},
	{Name: "reachable from one side", Slowdown: 1, Unreachable: true},
	{Name: "cold start (x6, 10s)", Slowdown: 6, ColdStart: 10 * time.Second, Harmless: true},
}

// active reports whether the fault is active at the given time since its onset.
func (f fault) active(since time.Duration) bool {
	if f.FlapOn == 0 {
		return true
	}
	return since%(f.FlapOn+f.FlapOff) < f.FlapOn
}

// slowdown returns the latency factor at the given time since the onset.
func (f fault) slowdown(since time.Duration) float64 {
	if f.ColdStart == 0 {
		return f.Slowdown
	}
	return 1 + (f.Slowdown-1)*math.Exp(-3*float64(since)/float64(f.ColdStart))
}

// result is the result of one request at an upstream.
type result struct {
	failed  bool
	latency time.Duration
}

// drawHealthyResult draws the result of a request at a healthy upstream.
func (s service) drawHealthyResult(rng *rand.Rand) result {
	latency := float64(s.Median) * math.Exp(latencySigma*rng.NormFloat64())
	if rng.Float64() < tailShare {
		latency *= tailFactor
	}
	if rng.Float64() < baseFailureRate {
		return result{failed: true, latency: time.Duration(failureLatencyFactor * float64(s.Median))}
	}
	return result{latency: time.Duration(latency)}
}

// drawResult draws the result of a request at an upstream with the fault.
func (s service) drawResult(f fault, since time.Duration, rng *rand.Rand) result {
	r := s.drawHealthyResult(rng)
	if !f.active(since) {
		return r
	}
	r.latency = time.Duration(float64(r.latency) * f.slowdown(since))
	if rng.Float64() < f.FailureRate {
		return result{failed: true, latency: time.Duration(failureLatencyFactor * float64(s.Median))}
	}
	return r
}
