package main

import (
	"math"
	"math/rand/v2"
)

// boundSamples is the size of the Monte Carlo estimate of a divergence.
const boundSamples = 20000

// divergence returns the Kullback-Leibler divergence, in nats per outcome, of
// the faulty upstream's outcomes from those of a healthy one. A flapping fault
// is taken for independent outcomes with the same share of failures.
func divergence(f fault) float64 {
	if f.Unreachable {
		return math.Log(1 / normalFailures) // every dial fails
	}
	failing := f.Failing
	if f.FlapOn > 0 {
		failing *= float64(f.FlapOn) / float64(f.FlapOn+f.FlapOff)
	}
	p1 := failing + (1-failing)*normalFailures
	d := 0.0
	if p1 > 0 {
		d += p1 * math.Log(p1/normalFailures)
	}
	if p1 < 1 {
		d += (1 - p1) * math.Log((1-p1)/(1-normalFailures))
	}
	return d + (1-p1)*latencyDivergence(f.Slowdown)
}

// latencyDivergence is the divergence of the latency distribution that is
// slowed down by a factor.
func latencyDivergence(slowdown float64) float64 {
	if slowdown == 1 {
		return 0
	}
	rng := rand.New(rand.NewPCG(1, 2))
	sum := 0.0
	for range boundSamples {
		x := sigma * rng.NormFloat64()
		if rng.Float64() < tailShare {
			x += math.Log(tailFactor)
		}
		sum += math.Log(density(x) / density(x+math.Log(slowdown)))
	}
	return sum / boundSamples
}

// density of the logarithm of the latency over the median, up to a constant.
func density(x float64) float64 {
	normal := func(z float64) float64 { return math.Exp(-z * z / (2 * sigma * sigma)) }
	return (1-tailShare)*normal(x) + tailShare*normal(x-math.Log(tailFactor))
}
