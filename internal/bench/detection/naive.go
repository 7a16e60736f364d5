package main

import (
	"math"
	"time"

	"shallotglade/pkg/detector"
)

// judge is a detector with its ejector, for all homes of one service.
type judge interface {
	// observe takes an outcome at a home.
	observe(now time.Time, home int, o detector.Outcome)
	// tick is called at a fixed interval.
	tick(now time.Time)
	// standing tells how a home may use an upstream.
	standing(home, upstream int) standing
	// overdueAfter is when a request in flight counts as overdue; 0 is never.
	overdueAfter(home int) time.Duration
	// redial tells whether and when a home should dial an upstream again.
	redial(home, upstream int) (time.Duration, bool)
	// joined tells that an upstream has just started, cold.
	joined(now time.Time, upstream int)
	counts() counts
}

// standing is how a home may use an upstream.
type standing struct {
	excluded, demoted, idempotentOnly bool
	share                             float64
}

// ordinary tells whether the upstream gets ordinary work.
func (s standing) ordinary() bool { return !s.excluded && !s.demoted && !s.idempotentOnly }

// counts are the events of a judge, by upstream.
type counts struct {
	demotions, ejections []int
}

// Settings of the naive detectors, the usual ones of outlier detection.
const (
	consecutiveErrors = 5
	outlierInterval   = 10 * time.Second
	outlierSigmas     = 1.9
	outlierLeastWork  = 10 // requests per interval for an upstream to be judged
	outlierLeastHosts = 3
	naiveHold         = 30 * time.Second // doubled by the number of ejections
)

// isError tells whether the naive detectors count an outcome as an error.
func isError(k detector.Kind) bool {
	switch k {
	case detector.Failure, detector.Timeout, detector.Truncated, detector.Unreachable, detector.ConnectionLost:
		return true
	}
	return false
}

// naive holds per-home ejections with a per-home floor.
type naive struct {
	service service
	until   [][]time.Time // by home and upstream
	times   [][]int
	now     time.Time
	events  counts
}

func newNaive(s service, homes int) naive {
	n := naive{service: s, events: counts{make([]int, s.Upstreams), make([]int, s.Upstreams)}}
	for range homes {
		n.until = append(n.until, make([]time.Time, s.Upstreams))
		n.times = append(n.times, make([]int, s.Upstreams))
	}
	return n
}

func (n *naive) eject(now time.Time, home, upstream int) {
	out := 0
	for _, until := range n.until[home] {
		if now.Before(until) {
			out++
		}
	}
	if now.Before(n.until[home][upstream]) || n.service.Upstreams-out <= n.service.Floor {
		return
	}
	n.times[home][upstream]++
	n.until[home][upstream] = now.Add(naiveHold * time.Duration(n.times[home][upstream]))
	n.events.ejections[upstream]++
	n.events.demotions[upstream]++
}

func (n *naive) standing(home, upstream int) standing {
	return standing{excluded: n.now.Before(n.until[home][upstream]), share: 1}
}

func (n *naive) overdueAfter(int) time.Duration        { return 0 }
func (n *naive) redial(int, int) (time.Duration, bool) { return 0, false }
func (n *naive) joined(time.Time, int)                 {}
func (n *naive) counts() counts                        { return n.events }

// consecutive ejects at a home after 5 errors in a row.
type consecutive struct {
	naive
	run [][]int
}

func newConsecutive(s service, homes int) judge {
	c := &consecutive{naive: newNaive(s, homes)}
	for range homes {
		c.run = append(c.run, make([]int, s.Upstreams))
	}
	return c
}

func (c *consecutive) observe(now time.Time, home int, o detector.Outcome) {
	c.now = now
	run := &c.run[home][index(o.Upstream)]
	switch {
	case isError(o.Kind):
		*run++
	case o.Kind == detector.Success:
		*run = 0
	}
	if *run >= consecutiveErrors {
		*run = 0
		c.eject(now, home, index(o.Upstream))
	}
}

func (c *consecutive) tick(now time.Time) { c.now = now }

// outlier ejects at a home, every 10 s, what is below the mean success rate by
// 1.9 standard deviations.
type outlier struct {
	naive
	good, all [][]int
	next      time.Time
}

func newOutlier(s service, homes int) judge {
	o := &outlier{naive: newNaive(s, homes)}
	for range homes {
		o.good = append(o.good, make([]int, s.Upstreams))
		o.all = append(o.all, make([]int, s.Upstreams))
	}
	return o
}

func (o *outlier) observe(now time.Time, home int, out detector.Outcome) {
	o.now = now
	i := index(out.Upstream)
	switch {
	case isError(out.Kind):
		o.all[home][i]++
	case out.Kind == detector.Success:
		o.all[home][i]++
		o.good[home][i]++
	}
}

func (o *outlier) tick(now time.Time) {
	o.now = now
	if now.Before(o.next) {
		return
	}
	if !o.next.IsZero() {
		for home := range o.all {
			o.judge(now, home)
		}
	}
	o.next = now.Add(outlierInterval)
}

func (o *outlier) judge(now time.Time, home int) {
	rates := map[int]float64{}
	sum, squares := 0.0, 0.0
	for i, all := range o.all[home] {
		if all >= outlierLeastWork {
			rate := float64(o.good[home][i]) / float64(all)
			rates[i] = rate
			sum, squares = sum+rate, squares+rate*rate
		}
	}
	clear(o.good[home])
	clear(o.all[home])
	if len(rates) < outlierLeastHosts {
		return
	}
	n := float64(len(rates))
	mean := sum / n
	deviation := math.Sqrt(max(squares/n-mean*mean, 0))
	for i := range o.service.Upstreams {
		if rate, judged := rates[i]; judged && rate < mean-outlierSigmas*deviation {
			o.eject(now, home, i)
		}
	}
}
