package reliability

import (
	"slices"
	"time"
)

const (
	// latencyWindow is how many of the latest latencies the median is taken from.
	latencyWindow = 64
	// leastLatencies is from how many latencies on the median is known.
	leastLatencies = 5
	// medianEvery is after how many new latencies the median is taken again.
	medianEvery = 8
)

// latencies holds the latest latencies of a service.
type latencies struct {
	values [latencyWindow]time.Duration
	count  int
	known  time.Duration
}

func (l *latencies) add(d time.Duration) {
	l.values[l.count%latencyWindow] = d
	l.count++
	if l.count < leastLatencies || (l.count > latencyWindow && l.count%medianEvery != 0) {
		return
	}
	n := min(l.count, latencyWindow)
	var scratch [latencyWindow]time.Duration
	sorted := scratch[:n]
	copy(sorted, l.values[:n])
	slices.Sort(sorted)
	l.known = sorted[(n-1)/2]
}

func (l *latencies) median() time.Duration { return l.known }
