package detector

import (
	"math"
	"slices"
)

// Alternative hypotheses that are tested against the baseline.
const (
	hypFewFailures = iota
	hypSomeFailures
	hypMostlyFailures
	hypSlow
	hypSlower
	hypVerySlow
	hypSometimesSlow
	numHypotheses
)

// Latency bins by distance from the service's median, in robust standard
// deviations of the logarithm of the latency.
const numBins = 5

var binEdges = [numBins - 1]float64{1, 2, 3, 5}

// Classes of request outcomes that follow the latency bins.
const (
	classFailure = numBins + iota
	classTimeout
	numClasses
)

const (
	// madToSigma converts a median absolute deviation to the standard deviation
	// of a normal distribution.
	madToSigma = 1.4826
	// minSpread prevents differences below about 10% from counting as slowness.
	minSpread = 0.15
	// minFailureShare is the minimum baseline failure share. It limits the
	// weight of one failure to 6.2 nats, so that reaching any threshold
	// requires at least three failures.
	minFailureShare = 0.002
	// minBinShare is the corresponding minimum for latency bins.
	minBinShare = 0.005
	// maxFailureShare bounds the baseline failure share to keep logarithms finite.
	maxFailureShare = 0.95
	// priorSpread is the initial spread of a service and has the weight of one
	// full window per upstream. Without it, the spread of the first few
	// latencies could be far too small. The estimate averages over the latest
	// spreadMemory windows.
	priorSpread  = 0.4
	spreadMemory = 8.0
	// stallShare is the additional share of very slow requests under hypSometimesSlow.
	stallShare = 0.2
)

// failureShares are the additional failure shares of the failure hypotheses.
// They are spaced so that testing the nearest share loses less than about a
// third of the evidence that the exact share would give.
var failureShares = [...]float64{hypFewFailures: 0.08, hypSomeFailures: 0.35, hypMostlyFailures: 0.95}

// slowBins holds the bin shares of the slowness hypotheses: shifts by two, by
// four and by more than six standard deviations.
var slowBins = [...][numBins]float64{
	{0.16, 0.34, 0.34, 0.155, 0.005},
	{0.01, 0.03, 0.14, 0.68, 0.14},
	{0.005, 0.01, 0.035, 0.15, 0.80},
}

// normalBins is the prior of a healthy upstream's bin shares.
var normalBins = [numBins]float64{0.82, 0.14, 0.025, 0.0075, 0.0075}

// baseline describes the behaviour of the median upstream of the service.
type baseline struct {
	ready            bool // location and spread are valid
	location, spread float64
	windows          float64 // full windows averaged in spread, at most spreadMemory
	latencyCount     int     // latencies at the last calibration
	// logRatios holds the log-likelihood ratio of every class under every
	// hypothesis, in nats. It is precomputed for Observe.
	logRatios [numClasses][numHypotheses]float64
	// Scratch space that avoids allocations during calibration.
	values, medians, spreads []float64
}

// calibrate recomputes the baseline from all upstreams.
func (b *baseline) calibrate(upstreams []*upstream) {
	b.estimateLatency(upstreams)
	fast := b.median(upstreams, func(u *upstream) float64 { return u.failFast })
	slow := b.median(upstreams, func(u *upstream) float64 { return u.failSlow })
	normal := min(max(max(fast, slow), minFailureShare), maxFailureShare)
	for h, share := range failureShares {
		alternative := normal + (1-normal)*share
		bad, good := math.Log(alternative/normal), math.Log((1-alternative)/(1-normal))
		for class := range numClasses {
			b.logRatios[class][h] = good
		}
		b.logRatios[classFailure][h], b.logRatios[classTimeout][h] = bad, bad
	}
	b.calibrateBins(upstreams)
}

// estimateLatency estimates the service's median latency and its spread. The
// spread includes the differences between upstreams, which makes detection more
// cautious for a service on unequal hosts.
func (b *baseline) estimateLatency(upstreams []*upstream) {
	b.medians, b.spreads = b.medians[:0], b.spreads[:0]
	latencyCount := 0
	for _, u := range upstreams {
		latencyCount += u.latencies.count
		if u.latencies.ready() {
			median, mad := u.latencies.estimate()
			b.medians, b.spreads = append(b.medians, median), append(b.spreads, mad)
		}
	}
	b.ready = len(b.medians) >= 2
	if !b.ready {
		return
	}
	b.location = lowerMedian(b.medians)
	for i := range b.medians {
		b.medians[i] = math.Abs(b.medians[i] - b.location)
	}
	within, between := madToSigma*lowerMedian(b.spreads), madToSigma*lowerMedian(b.medians)
	newWindows := float64(max(latencyCount-b.latencyCount, 0)) / float64(windowSize*len(upstreams))
	b.latencyCount = latencyCount
	b.updateSpread(max(minSpread, math.Hypot(within, between)), newWindows)
}

// updateSpread updates the average of the spread over the latest windows.
func (b *baseline) updateSpread(measured, newWindows float64) {
	if b.windows == 0 {
		b.spread, b.windows = priorSpread, 1
	}
	b.windows = min(b.windows+newWindows, spreadMemory)
	b.spread += (measured - b.spread) * min(newWindows/b.windows, 1)
}

// calibrateBins sets the likelihood ratios of the latency bins.
func (b *baseline) calibrateBins(upstreams []*upstream) {
	var normal [numBins]float64
	sum := 0.0
	for bin := range normal {
		share := b.median(upstreams, func(u *upstream) float64 { return u.bins[bin] })
		normal[bin] = max(share, minBinShare)
		sum += normal[bin]
	}
	for bin := range normal {
		normal[bin] /= sum
	}
	for bin := range normal {
		for i := range slowBins {
			b.logRatios[bin][hypSlow+i] = math.Log(slowBins[i][bin] / normal[bin])
		}
		b.logRatios[bin][hypSometimesSlow] = math.Log(1 - stallShare)
	}
	slowestBin := numBins - 1
	b.logRatios[slowestBin][hypSometimesSlow] = math.Log(1 - stallShare + stallShare/normal[slowestBin])
	for h := hypSlow; h < numHypotheses; h++ {
		b.logRatios[classFailure][h] = 0
		b.logRatios[classTimeout][h] = b.logRatios[slowestBin][h]
	}
}

// bin returns the bin of a latency, given as its logarithm.
func (b *baseline) bin(logLatency float64) int {
	z := (logLatency - b.location) / b.spread
	bin := 0
	for bin < len(binEdges) && z >= binEdges[bin] {
		bin++
	}
	return bin
}

// median returns the lower median of a value over the upstreams.
func (b *baseline) median(upstreams []*upstream, value func(*upstream) float64) float64 {
	b.values = b.values[:0]
	for _, u := range upstreams {
		b.values = append(b.values, value(u))
	}
	return lowerMedian(b.values)
}

// lowerMedian sorts values and returns the lower median, or 0 if there are none.
// The lower median is still that of a healthy upstream if half are unhealthy.
func lowerMedian(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
