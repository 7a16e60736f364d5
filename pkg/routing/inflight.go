package routing

import (
	"sort"
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

// Load is the mean number of requests that a home had in flight at an upstream.
type Load struct {
	Upstream string  `cbor:"1,keyasint"`
	Mean     float64 `cbor:"2,keyasint"`
}

// InFlight counts this home's requests in flight at each upstream and holds the
// reports of the service's other homes.
type InFlight struct {
	own    map[string]*area
	homes  map[string]report
	totals map[string]float64
}

// area integrates the number in flight over time.
type area struct {
	count   int
	sum     float64 // request-seconds since start
	start   time.Time
	changed time.Time
}

type report struct {
	at    time.Time
	loads []Load
}

// NewInFlight returns an empty count.
func NewInFlight() *InFlight {
	return &InFlight{own: map[string]*area{}, homes: map[string]report{}, totals: map[string]float64{}}
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
// take a tenth of a report interval: a momentary number is noise when it arrives.
func (f *InFlight) Report(now time.Time) []Load {
	loads := make([]Load, 0, len(f.own))
	for id, a := range f.own {
		if mean := a.reset(now); mean > 0 {
			loads = append(loads, Load{Upstream: id, Mean: mean})
		} else if a.count == 0 {
			delete(f.own, id)
		}
	}
	sort.Slice(loads, func(i, j int) bool { return loads[i].Upstream < loads[j].Upstream })
	return loads
}

// Merge replaces the last report of another home. Negative and absurd values
// are ignored.
func (f *InFlight) Merge(now time.Time, home string, loads []Load) {
	f.homes[home] = report{at: now, loads: loads}
}

// Refresh recomputes what Others returns; call it after Merge and four times a
// second, so that the reports of silent homes fade.
func (f *InFlight) Refresh(now time.Time) {
	clear(f.totals)
	for home, r := range f.homes {
		weight := Fade(now.Sub(r.at))
		if weight == 0 {
			delete(f.homes, home)
			continue
		}
		for _, l := range r.loads {
			if l.Mean > 0 && l.Mean < maxMean {
				f.totals[l.Upstream] += weight * l.Mean
			}
		}
	}
}

// maxMean is far above the slots of any upstream; larger values are errors.
const maxMean = 1e6

// Others is the expected number of requests that other homes have in flight at
// the upstream, as of the last Refresh.
func (f *InFlight) Others(upstream string) float64 { return f.totals[upstream] }

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
