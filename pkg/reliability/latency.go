package reliability

import (
	"math"
	"slices"
	"time"
)

const (
	// latencyWindow is how many of the latest latencies a route's median and
	// spread are taken from.
	latencyWindow = 64
	// leastLatencies is from how many latencies on they are known.
	leastLatencies = 5
	// measureEvery is after how many new latencies they are taken again.
	measureEvery = 8
	// madToSigma turns a median absolute deviation into the standard deviation
	// of a normal distribution.
	madToSigma = 1.4826
	// overdueSigmas is how many standard deviations of the logarithm of the
	// latency above the median a request is overdue: one in a hundred is.
	overdueSigmas = 2.33
	// leastOverdueFactor and mostOverdueFactor bound the result in medians. Few
	// latencies can show far too small a spread; a request that takes ten times
	// as long as usual is late whatever the spread.
	leastOverdueFactor, mostOverdueFactor = 3, 10
	// leastOverdue keeps routes with very short requests from reporting stalls of
	// the host as overdue requests.
	leastOverdue = 100 * time.Millisecond
)

// latencies holds the latest latencies of a route.
type latencies struct {
	values [latencyWindow]float32 // logarithms of seconds
	count  int
	// median and overdue are derived from the values; 0 means unknown.
	median, overdue time.Duration
}

func (l *latencies) add(d time.Duration) {
	l.values[l.count%latencyWindow] = float32(math.Log(max(d, time.Microsecond).Seconds()))
	l.count++
	if l.count >= leastLatencies && (l.count <= latencyWindow || l.count%measureEvery == 0) {
		l.measure()
	}
}

func (l *latencies) measure() {
	n := min(l.count, latencyWindow)
	var scratch [latencyWindow]float32
	sorted := scratch[:n]
	copy(sorted, l.values[:n])
	slices.Sort(sorted)
	middle := sorted[(n-1)/2]
	for i, v := range sorted {
		sorted[i] = float32(math.Abs(float64(v - middle)))
	}
	slices.Sort(sorted)
	sigma := madToSigma * float64(sorted[(n-1)/2])
	factor := min(max(math.Exp(overdueSigmas*sigma), leastOverdueFactor), mostOverdueFactor)
	seconds := math.Exp(float64(middle))
	l.median = time.Duration(seconds * float64(time.Second))
	l.overdue = max(time.Duration(factor*seconds*float64(time.Second)), leastOverdue)
}
