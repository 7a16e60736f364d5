package main

import (
	"math"
	"math/rand/v2"
)

// boundSamples is the size of the Monte Carlo estimate of a divergence.
const boundSamples = 20000

// divergence returns the Kullback-Leibler divergence, in nats per outcome, of
// the faulty upstream's outcomes from those of a healthy one. A flapping fault
// is modelled as independent outcomes with the same failure rate.
func divergence(f fault) float64 {
	if f.Unreachable {
		return math.Log(1 / baseFailureRate) // every dial fails
	}
	failing := f.FailureRate
	if f.FlapOn > 0 {
		failing *= float64(f.FlapOn) / float64(f.FlapOn+f.FlapOff)
	}
	p1 := failing + (1-failing)*baseFailureRate
	d := 0.0
	if p1 > 0 {
		d += p1 * math.Log(p1/baseFailureRate)
	}
	if p1 < 1 {
		d += (1 - p1) * math.Log((1-p1)/(1-baseFailureRate))
	}
	return d + (1-p1)*latencyDivergence(f.Slowdown)
}

// latencyDivergence estimates the divergence of the latency distribution that
// is slowed down by the given factor.
func latencyDivergence(slowdown float64) float64 {
	if slowdown == 1 {
		return 0
	}
	rng := rand.New(rand.NewPCG(1, 2))
	sum := 0.0
	for range boundSamples {
		x := latencySigma * rng.NormFloat64()
		if rng.Float64() < tailShare {
			x += math.Log(tailFactor)
		}
		sum += math.Log(density(x) / density(x+math.Log(slowdown)))
	}
	return sum / boundSamples
}

// density returns the probability density of log(latency/median), up to a
// constant factor.
func density(x float64) float64 {
	normal := func(z float64) float64 { return math.Exp(-z * z / (2 * latencySigma * latencySigma)) }
	return (1-tailShare)*normal(x) + tailShare*normal(x-math.Log(tailFactor))
}
