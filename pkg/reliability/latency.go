package reliability

import (
	"math"
	"slices"
	"time"
)

const (
	// latencyWindow is the number of recent latencies used for a route's median and
	// spread.
	latencyWindow = 64
	// minLatencies is the number of latencies required before median and spread are
	// known.
	minLatencies = 5
	// recomputeEvery is the number of new latencies after which they are recomputed.
	recomputeEvery = 8
	// madToSigma converts a median absolute deviation to the standard deviation of a
	// normal distribution.
	madToSigma = 1.4826
	// overdueSigmas is the number of standard deviations above the median, in log
	// latency, at which a request is overdue. One in a hundred requests is.
	overdueSigmas = 2.33
	// minOverdueFactor and maxOverdueFactor bound the threshold, in multiples of the
	// median. Few latencies can show far too small a spread, and a request that takes
	// ten times as long as usual is late whatever the spread.
	minOverdueFactor, maxOverdueFactor = 3, 10
	// minOverdue prevents stalls of the host from being reported as overdue requests
	// on routes with very short requests.
	minOverdue = 100 * time.Millisecond
)

// latencies holds the most recent latencies of a route.
type latencies struct {
	values [latencyWindow]float32 // natural logarithms of seconds
	count  int
	// median and overdue are derived from the values; 0 means unknown.
	median, overdue time.Duration
}

func (l *latencies) add(d time.Duration) {
	l.values[l.count%latencyWindow] = float32(math.Log(max(d, time.Microsecond).Seconds()))
	l.count++
	if l.count >= minLatencies && (l.count <= latencyWindow || l.count%recomputeEvery == 0) {
		l.recompute()
	}
}

func (l *latencies) recompute() {
	n := min(l.count, latencyWindow)
	var scratch [latencyWindow]float32
	sorted := scratch[:n]
	copy(sorted, l.values[:n])
	slices.Sort(sorted)
	logMedian := sorted[(n-1)/2]
	for i, v := range sorted {
		sorted[i] = float32(math.Abs(float64(v - logMedian)))
	}
	slices.Sort(sorted)
	sigma := madToSigma * float64(sorted[(n-1)/2])
	factor := min(max(math.Exp(overdueSigmas*sigma), minOverdueFactor), maxOverdueFactor)
	seconds := math.Exp(float64(logMedian))
	l.median = time.Duration(seconds * float64(time.Second))
	l.overdue = max(time.Duration(factor*seconds*float64(time.Second)), minOverdue)
}
