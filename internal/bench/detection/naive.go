package main

import (
	"math"
	"time"

	"shallotglade/pkg/detector"
)

// failureDetector detects and ejects failing upstreams for all homes of one
// service.
type failureDetector interface {
	// observe records an outcome that a home saw.
	observe(now time.Time, home int, o detector.Outcome)
	// tick is called at a fixed interval.
	tick(now time.Time)
	// standing returns how a home may use an upstream.
	standing(home, upstream int) standing
	// overdueAfter returns the age at which a request in flight counts as
	// overdue, or 0 for never.
	overdueAfter(home int) time.Duration
	// redial reports whether a home should dial an upstream again, and after
	// which delay.
	redial(home, upstream int) (time.Duration, bool)
	// joined records that an upstream has just started and is still warming up.
	joined(now time.Time, upstream int)
	counts() eventCounts
}

// standing describes how a home may use an upstream.
type standing struct {
	excluded, demoted, idempotentOnly bool
	share                             float64
}

// ordinary reports whether the upstream receives ordinary requests.
func (s standing) ordinary() bool { return !s.excluded && !s.demoted && !s.idempotentOnly }

// eventCounts counts the events of a detector, by upstream.
type eventCounts struct {
	demotions, ejections []int
}

// Settings of the naive detectors: common defaults of outlier detection.
const (
	consecutiveErrors   = 5
	outlierInterval     = 10 * time.Second
	outlierDeviations   = 1.9
	outlierMinRequests  = 10 // requests in an interval for an upstream to be compared
	outlierMinUpstreams = 3
	naiveEjectionTime   = 30 * time.Second // multiplied by the number of ejections
)

// isError reports whether the naive detectors count an outcome as an error.
func isError(k detector.Kind) bool {
	switch k {
	case detector.Failure, detector.Timeout, detector.Truncated, detector.Unreachable, detector.ConnectionLost:
		return true
	}
	return false
}

// naiveEjector ejects upstreams at each home independently. The floor applies
// per home.
type naiveEjector struct {
	service        service
	ejectedUntil   [][]time.Time // by home and upstream
	ejectionCounts [][]int
	now            time.Time
	events         eventCounts
}

func newNaive(s service, homes int) naiveEjector {
	n := naiveEjector{service: s, events: eventCounts{make([]int, s.Upstreams), make([]int, s.Upstreams)}}
	for range homes {
		n.ejectedUntil = append(n.ejectedUntil, make([]time.Time, s.Upstreams))
		n.ejectionCounts = append(n.ejectionCounts, make([]int, s.Upstreams))
	}
	return n
}

func (n *naiveEjector) eject(now time.Time, home, upstream int) {
	ejected := 0
	for _, until := range n.ejectedUntil[home] {
		if now.Before(until) {
			ejected++
		}
	}
	if now.Before(n.ejectedUntil[home][upstream]) || n.service.Upstreams-ejected <= n.service.Floor {
		return
	}
	n.ejectionCounts[home][upstream]++
	n.ejectedUntil[home][upstream] = now.Add(naiveEjectionTime * time.Duration(n.ejectionCounts[home][upstream]))
	n.events.ejections[upstream]++
	n.events.demotions[upstream]++
}

func (n *naiveEjector) standing(home, upstream int) standing {
	return standing{excluded: n.now.Before(n.ejectedUntil[home][upstream]), share: 1}
}

func (n *naiveEjector) overdueAfter(int) time.Duration        { return 0 }
func (n *naiveEjector) redial(int, int) (time.Duration, bool) { return 0, false }
func (n *naiveEjector) joined(time.Time, int)                 {}
func (n *naiveEjector) counts() eventCounts                   { return n.events }

// consecutive ejects an upstream at a home after 5 consecutive errors.
type consecutive struct {
	naiveEjector
	errorStreaks [][]int
}

func newConsecutive(s service, homes int) failureDetector {
	c := &consecutive{naiveEjector: newNaive(s, homes)}
	for range homes {
		c.errorStreaks = append(c.errorStreaks, make([]int, s.Upstreams))
	}
	return c
}

func (c *consecutive) observe(now time.Time, home int, o detector.Outcome) {
	c.now = now
	streak := &c.errorStreaks[home][nodeIndex(o.Upstream)]
	switch {
	case isError(o.Kind):
		*streak++
	case o.Kind == detector.Success:
		*streak = 0
	}
	if *streak >= consecutiveErrors {
		*streak = 0
		c.eject(now, home, nodeIndex(o.Upstream))
	}
}

func (c *consecutive) tick(now time.Time) { c.now = now }

// outlier ejects at each home, every 10 s, the upstreams whose success rate is
// more than 1.9 standard deviations below the mean.
type outlier struct {
	naiveEjector
	successes, totals [][]int
	nextCheck         time.Time
}

func newOutlier(s service, homes int) failureDetector {
	o := &outlier{naiveEjector: newNaive(s, homes)}
	for range homes {
		o.successes = append(o.successes, make([]int, s.Upstreams))
		o.totals = append(o.totals, make([]int, s.Upstreams))
	}
	return o
}

func (o *outlier) observe(now time.Time, home int, out detector.Outcome) {
	o.now = now
	i := nodeIndex(out.Upstream)
	switch {
	case isError(out.Kind):
		o.totals[home][i]++
	case out.Kind == detector.Success:
		o.totals[home][i]++
		o.successes[home][i]++
	}
}

func (o *outlier) tick(now time.Time) {
	o.now = now
	if now.Before(o.nextCheck) {
		return
	}
	if !o.nextCheck.IsZero() {
		for home := range o.totals {
			o.ejectOutliers(now, home)
		}
	}
	o.nextCheck = now.Add(outlierInterval)
}

func (o *outlier) ejectOutliers(now time.Time, home int) {
	rates := map[int]float64{}
	sum, squares := 0.0, 0.0
	for i, total := range o.totals[home] {
		if total >= outlierMinRequests {
			rate := float64(o.successes[home][i]) / float64(total)
			rates[i] = rate
			sum, squares = sum+rate, squares+rate*rate
		}
	}
	clear(o.successes[home])
	clear(o.totals[home])
	if len(rates) < outlierMinUpstreams {
		return
	}
	n := float64(len(rates))
	mean := sum / n
	deviation := math.Sqrt(max(squares/n-mean*mean, 0))
	for i := range o.service.Upstreams {
		if rate, ok := rates[i]; ok && rate < mean-outlierDeviations*deviation {
			o.eject(now, home, i)
		}
	}
}
