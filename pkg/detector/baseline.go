package detector

import (
	"math"
	"slices"
)

// Hypotheses that are tested against the baseline.
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

// Classes of outcomes of real work.
const (
	classFailure = numBins + iota
	classTimeout
	numClasses
)

const (
	// madToSigma turns a median absolute deviation into the standard
	// deviation of a normal distribution.
	madToSigma = 1.4826
	// minSpread keeps differences below about 10% from counting as slowness.
	minSpread = 0.15
	// minFailureShare is the least failure share that counts as normal. With it
	// one failure weighs at most 6.2 nats, so that no threshold is reached by
	// fewer than three.
	minFailureShare = 0.002
	// minBinShare does the same for latency bins.
	minBinShare = 0.005
	// maxFailureShare bounds the normal failure share, so that logarithms stay finite.
	maxFailureShare = 0.95
	// priorSpread is assumed for a new service; it weighs like one full window
	// of every upstream. Without it, the first few latencies could show far too
	// small a spread. The estimate remembers spreadMemory windows.
	priorSpread  = 0.4
	spreadMemory = 8.0
	// stallShare is the additional share of very slow work under hypSometimesSlow.
	stallShare = 0.2
)

// failureShares are the additional failure shares of the failure hypotheses.
// Their spacing keeps the loss against the exact share below about a third.
var failureShares = [...]float64{hypFewFailures: 0.08, hypSomeFailures: 0.35, hypMostlyFailures: 0.95}

// slowBins are the bin shares of the hypotheses of slowness: shifts by two, by
// four and by more than six standard deviations.
var slowBins = [...][numBins]float64{
	{0.16, 0.34, 0.34, 0.155, 0.005},
	{0.01, 0.03, 0.14, 0.68, 0.14},
	{0.005, 0.01, 0.035, 0.15, 0.80},
}

// normalBins is the prior of a healthy upstream's bin shares.
var normalBins = [numBins]float64{0.82, 0.14, 0.025, 0.0075, 0.0075}

// baseline is what the median upstream of the service does.
type baseline struct {
	ready            bool // location and spread are known
	location, spread float64
	windows          float64 // full windows behind spread, at most spreadMemory
	counted          int     // latencies at the last calibration
	// ratio holds the log-likelihood ratio of every class under every
	// hypothesis, in nats, so that Observe only looks it up.
	ratio [numClasses][numHypotheses]float64
	// scratch space, so that calibration does not allocate
	values, medians, spreads []float64
}

// calibrate derives the baseline from all upstreams.
func (b *baseline) calibrate(upstreams []*upstream) {
	b.locate(upstreams)
	fast := b.median(upstreams, func(u *upstream) float64 { return u.failFast })
	slow := b.median(upstreams, func(u *upstream) float64 { return u.failSlow })
	normal := min(max(max(fast, slow), minFailureShare), maxFailureShare)
	for h, share := range failureShares {
		alternative := normal + (1-normal)*share
		bad, good := math.Log(alternative/normal), math.Log((1-alternative)/(1-normal))
		for class := range numClasses {
			b.ratio[class][h] = good
		}
		b.ratio[classFailure][h], b.ratio[classTimeout][h] = bad, bad
	}
	b.calibrateBins(upstreams)
}

// locate estimates the service's median latency and its spread. The spread
// includes the differences between upstreams, so that a service on unequal
// hosts is judged more cautiously.
func (b *baseline) locate(upstreams []*upstream) {
	b.medians, b.spreads = b.medians[:0], b.spreads[:0]
	counted := 0
	for _, u := range upstreams {
		counted += u.latencies.count
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
	fresh := float64(max(counted-b.counted, 0)) / float64(windowSize*len(upstreams))
	b.counted = counted
	b.learnSpread(max(minSpread, math.Hypot(within, between)), fresh)
}

// learnSpread averages the spread over the latest windows of latencies.
func (b *baseline) learnSpread(measured, fresh float64) {
	if b.windows == 0 {
		b.spread, b.windows = priorSpread, 1
	}
	b.windows = min(b.windows+fresh, spreadMemory)
	b.spread += (measured - b.spread) * min(fresh/b.windows, 1)
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
			b.ratio[bin][hypSlow+i] = math.Log(slowBins[i][bin] / normal[bin])
		}
		b.ratio[bin][hypSometimesSlow] = math.Log(1 - stallShare)
	}
	top := numBins - 1
	b.ratio[top][hypSometimesSlow] = math.Log(1 - stallShare + stallShare/normal[top])
	for h := hypSlow; h < numHypotheses; h++ {
		b.ratio[classFailure][h] = 0
		b.ratio[classTimeout][h] = b.ratio[top][h]
	}
}

// bin returns the latency bin of a logarithm of a latency.
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

// lowerMedian sorts values and returns the lower median, or 0 of none. The
// lower one is still that of a healthy upstream when exactly half are unhealthy.
func lowerMedian(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
