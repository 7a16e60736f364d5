package routing

import (
	"maps"
	"math"
	"slices"
	"time"
)

// How long the report of another home counts.
const (
	// ReportFresh is the age up to which a report counts in full. It is two
	// report intervals, so that one lost report changes nothing.
	ReportFresh = 500 * time.Millisecond
	// ReportStale is the age from which a report no longer counts; between the
	// two ages its weight falls linearly.
	ReportStale = 1500 * time.Millisecond
)

// Steadying of the demand that a home reports. Quotas follow the demand, and
// each change of a quota lets two homes meet at a slot for a moment; reports of
// 250 ms vary by a sixth from chance alone.
const (
	// demandWeight is the part of the demand that the newest interval makes
	// up: changes are followed in about 5 s.
	demandWeight = 0.05
	// demandStep is the relative change below which the last value is repeated.
	// With a quarter, two homes of equal demand could differ so far that one was
	// overloaded at 90% load.
	demandStep = 0.1
)

// Report is what a home tells the service's other homes four times a second.
type Report struct {
	Loads []Load `cbor:"1,keyasint"`
	// Demand is the steadied number of requests in flight and waiting.
	Demand float64 `cbor:"2,keyasint"`
}

// Load is the mean number of requests that a home had in flight at an upstream.
type Load struct {
	Upstream string  `cbor:"1,keyasint"`
	Mean     float64 `cbor:"2,keyasint"`
	// Now is the number at the time of the report.
	Now int `cbor:"3,keyasint,omitempty"`
}

// InFlight counts this home's requests in flight at each upstream and holds the
// reports of the service's other homes.
type InFlight struct {
	own    map[string]*area
	homes  map[string]received
	totals map[string]float64
	// present holds the sums of the numbers at the time of the reports; known
	// means that all these reports are young.
	present map[string]float64
	known   bool
	// demand is the smoothed demand of this home, told the last value reported.
	demand, told float64
	reports      int // since the demand was zero
}

// area integrates the number in flight over time.
type area struct {
	count   int
	sum     float64 // request-seconds since start
	start   time.Time
	changed time.Time
}

type received struct {
	at     time.Time
	report Report
}

// NewInFlight returns an empty count.
func NewInFlight() *InFlight {
	return &InFlight{own: map[string]*area{}, homes: map[string]received{}, totals: map[string]float64{}, present: map[string]float64{}}
}

// Start counts a request sent to the upstream.
func (f *InFlight) Start(now time.Time, upstream string) {
	a := f.own[upstream]
	if a == nil {
		a = &area{start: now, changed: now}
		f.own[upstream] = a
	}
	a.add(now, 1)
}

// End counts the end of a request that Start counted.
func (f *InFlight) End(now time.Time, upstream string) {
	if a := f.own[upstream]; a != nil && a.count > 0 {
		a.add(now, -1)
	}
}

// Own is the number of this home's requests in flight at the upstream.
func (f *InFlight) Own(upstream string) int {
	if a := f.own[upstream]; a != nil {
		return a.count
	}
	return 0
}

// Report returns the mean numbers in flight since the last report, sorted by
// upstream. The mean is sent rather than the current number because requests
// take a tenth of a report interval: a momentary number is noise when it
// arrives. waiting is the number of requests in the queue.
func (f *InFlight) Report(now time.Time, waiting int) Report {
	loads := make([]Load, 0, len(f.own))
	demand := float64(waiting)
	for _, id := range slices.Sorted(maps.Keys(f.own)) {
		a := f.own[id]
		if mean := a.reset(now); mean > 0 || a.count > 0 {
			loads = append(loads, Load{Upstream: id, Mean: mean, Now: a.count})
			demand += mean
		} else if a.count == 0 {
			delete(f.own, id)
		}
	}
	if f.told == 0 {
		f.reports = 0
	}
	// A home that starts needs its slots at once: at first the plain mean counts.
	f.reports++
	f.demand += max(demandWeight, 1/float64(f.reports)) * (demand - f.demand)
	if math.Abs(f.demand-f.told) > demandStep*f.told {
		f.told = f.demand
	}
	return Report{Loads: loads, Demand: f.told}
}

// Homes fills in the Demand of the homes from their last reports, and of the
// home self from its own, for Quotas.
func (f *InFlight) Homes(self string, homes []Home) {
	for i := range homes {
		homes[i].Demand = f.homes[homes[i].ID].report.Demand
		if homes[i].ID == self {
			homes[i].Demand = f.told
		}
	}
}

// Merge replaces the last report of another home. A demand that is no number
// within reason counts as none.
func (f *InFlight) Merge(now time.Time, home string, r Report) {
	if !(r.Demand >= 0 && r.Demand < maxMean) {
		r.Demand = 0
	}
	f.homes[home] = received{at: now, report: r}
}

// Refresh recomputes what Others returns; call it after Merge and four times a
// second, so that the reports of silent homes fade. presentFor is how long the
// numbers of a report stand for the present ones: less than a request takes, or 0
// for never. A home reports the first request after a pause at once, so that a report without
// requests stands until the next.
func (f *InFlight) Refresh(now time.Time, presentFor time.Duration) {
	clear(f.totals)
	clear(f.present)
	f.known = presentFor > 0
	// A fixed order keeps the sums, and with them the choices, the same in
	// every run.
	for _, home := range slices.Sorted(maps.Keys(f.homes)) {
		r := f.homes[home]
		weight := Fade(now.Sub(r.at))
		if weight == 0 {
			delete(f.homes, home)
			continue
		}
		busy := false
		for _, l := range r.report.Loads {
			if l.Mean > 0 && l.Mean < maxMean {
				f.totals[l.Upstream] += weight * l.Mean
			}
			if l.Now > 0 && l.Now < maxMean {
				busy = true
				f.present[l.Upstream] += float64(l.Now)
			}
		}
		if busy && now.Sub(r.at) > presentFor {
			f.known = false
		}
	}
}

// maxMean is far above the slots of any upstream; larger values are errors.
const maxMean = 1e6

// Others is the number of requests that other homes have in flight at the
// upstream, as of the last Refresh: the present one if known, else a mean.
func (f *InFlight) Others(upstream string) (n float64, known bool) {
	if f.known {
		return f.present[upstream], true
	}
	return f.totals[upstream], false
}

// Fade is the weight of a report of that age.
func Fade(age time.Duration) float64 {
	switch {
	case age <= ReportFresh:
		return 1
	case age >= ReportStale:
		return 0
	default:
		return float64(ReportStale-age) / float64(ReportStale-ReportFresh)
	}
}

func (a *area) add(now time.Time, delta int) {
	a.sum += float64(a.count) * now.Sub(a.changed).Seconds()
	a.count += delta
	a.changed = now
}

// reset returns the mean since the last reset and starts again.
func (a *area) reset(now time.Time) float64 {
	a.add(now, 0)
	span := now.Sub(a.start).Seconds()
	mean := float64(a.count)
	if span > 0 {
		mean = a.sum / span
	}
	a.sum, a.start = 0, now
	return mean
}
