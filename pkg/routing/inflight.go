package routing

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Ages that determine the weight of another home's report, see ReportWeight.
const (
	// ReportFullWeightAge is the age up to which a report has full weight. It is two
	// report intervals, so that one lost report has no effect.
	ReportFullWeightAge = 500 * time.Millisecond
	// ReportMaxAge is the age at which a report is discarded. Between the two ages
	// its weight falls linearly.
	ReportMaxAge = 1500 * time.Millisecond
)

// Smoothing of the demand that a home reports. Quotas follow the demand, and during
// each change of a quota two homes may use the same slot. The demand measured over
// one report interval of 250 ms varies by a sixth by chance.
const (
	// demandSmoothing is the weight of the newest interval in the smoothed demand,
	// which follows small changes within about 5 s.
	demandSmoothing = 0.05
	// A shift of callers between homes must be followed within two seconds: if the demand
	// of demandShiftReports consecutive intervals differs from the smoothed one in the
	// same direction by more than demandShiftSigmas standard deviations of a Poisson
	// distribution, shiftedDemandSmoothing applies instead.
	shiftedDemandSmoothing = 0.4
	demandShiftSigmas      = 2
	demandShiftReports     = 2
	// minDemandChange is the relative change below which the last reported value is
	// repeated. At 0.25, the reports of two homes with equal demand could differ
	// enough to overload one of them at 90% load.
	minDemandChange = 0.1
)

// Report is the load that a home sends to the service's other homes four times a
// second.
type Report struct {
	Loads []Load `cbor:"1,keyasint"`
	// Demand is the smoothed number of requests in flight and waiting.
	Demand float64 `cbor:"2,keyasint"`
}

// Load is the mean number of requests that a home had in flight at an upstream.
type Load struct {
	Upstream string  `cbor:"1,keyasint"`
	Mean     float64 `cbor:"2,keyasint"`
	// Current is the number in flight at the time of the report.
	Current int `cbor:"3,keyasint,omitempty"`
}

// InFlight counts this home's requests in flight at each upstream and stores the
// reports of the service's other homes.
type InFlight struct {
	ownLoads    map[string]*inFlightIntegral
	homeReports map[string]receivedReport
	// homes holds the ids of the current homes.
	homes      map[string]bool
	meanTotals map[string]float64
	// currentTotals holds the sums of the counts at report time. currentKnown is true
	// if all these reports are recent enough for the counts to be current.
	currentTotals map[string]float64
	currentKnown  bool
	// smoothedDemand is this home's demand, reportedDemand the last value sent.
	smoothedDemand, reportedDemand float64
	reportCount                    int // since the reported demand was zero
	// shiftReports is the number of consecutive reports whose demand was far above the
	// smoothed one, or minus the number of those far below.
	shiftReports int
}

// inFlightIntegral integrates the number of requests in flight over time.
type inFlightIntegral struct {
	count   int
	sum     float64 // request-seconds since start
	start   time.Time
	changed time.Time
}

type receivedReport struct {
	receivedAt time.Time
	report     Report
}

// NewInFlight returns an InFlight without requests or reports.
func NewInFlight() *InFlight {
	return &InFlight{ownLoads: map[string]*inFlightIntegral{}, homeReports: map[string]receivedReport{}, meanTotals: map[string]float64{}, currentTotals: map[string]float64{}}
}

// Start records that a request was sent to the upstream.
func (f *InFlight) Start(now time.Time, upstream string) {
	a := f.ownLoads[upstream]
	if a == nil {
		a = &inFlightIntegral{start: now, changed: now}
		f.ownLoads[upstream] = a
	}
	a.add(now, 1)
}

// End records the end of a request that Start recorded.
func (f *InFlight) End(now time.Time, upstream string) {
	if a := f.ownLoads[upstream]; a != nil && a.count > 0 {
		a.add(now, -1)
	}
}

// Own returns the number of this home's requests in flight at the upstream.
func (f *InFlight) Own(upstream string) int {
	if a := f.ownLoads[upstream]; a != nil {
		return a.count
	}
	return 0
}

// Report returns the mean numbers in flight since the last report, sorted by
// upstream. Homes use the mean because a request takes a tenth of a report interval,
// so that a momentary count is noise when it arrives. waiting is the number of
// requests in the queue.
func (f *InFlight) Report(now time.Time, waiting int) Report {
	loads := make([]Load, 0, len(f.ownLoads))
	demand := float64(waiting)
	for _, id := range slices.Sorted(maps.Keys(f.ownLoads)) {
		a := f.ownLoads[id]
		if mean := a.reset(now); mean > 0 || a.count > 0 {
			loads = append(loads, Load{Upstream: id, Mean: mean, Current: a.count})
			demand += mean
		} else if a.count == 0 {
			delete(f.ownLoads, id)
		}
	}
	if f.reportedDemand == 0 {
		f.reportCount = 0
	}
	// A starting home needs its slots at once, so the first reports use the plain
	// mean.
	f.reportCount++
	f.smoothedDemand += max(f.demandWeight(demand), 1/float64(f.reportCount)) * (demand - f.smoothedDemand)
	if math.Abs(f.smoothedDemand-f.reportedDemand) > minDemandChange*f.reportedDemand {
		f.reportedDemand = f.smoothedDemand
	}
	return Report{Loads: loads, Demand: f.reportedDemand}
}

// demandWeight returns the weight of the demand of the newest interval. A shift ends with
// the first interval whose demand is on the other side of the smoothed one.
func (f *InFlight) demandWeight(demand float64) float64 {
	change := demand - f.smoothedDemand
	direction := 1
	if change < 0 {
		direction = -1
	}
	shifting := f.shiftReports*direction >= demandShiftReports
	switch {
	case math.Abs(change) > demandShiftSigmas*math.Sqrt(max(f.smoothedDemand, 1)):
		f.shiftReports = max(f.shiftReports*direction, 0)*direction + direction
	case !shifting:
		f.shiftReports = 0
	}
	if f.shiftReports*direction >= demandShiftReports {
		return shiftedDemandSmoothing
	}
	return demandSmoothing
}

// FillDemand fills in the Demand of the homes for Quotas: the last reported value of
// each, and for self the last value that this home sent.
func (f *InFlight) FillDemand(self string, homes []Home) {
	for i := range homes {
		homes[i].Demand = f.homeReports[homes[i].ID].report.Demand
		if homes[i].ID == self {
			homes[i].Demand = f.reportedDemand
		}
	}
}

// Merge replaces the last report of another home. An invalid demand (negative, NaN or
// implausibly large) counts as zero.
func (f *InFlight) Merge(now time.Time, home string, r Report) {
	if !(r.Demand >= 0 && r.Demand < maxReportedValue) {
		r.Demand = 0
	}
	f.homeReports[home] = receivedReport{receivedAt: now, report: r}
}

// SetHomes sets the ids of the service's homes. The last report of a daemon that is no
// longer a home counts only as long as the requests in it last: nothing replaces it.
func (f *InFlight) SetHomes(ids []string) {
	f.homes = make(map[string]bool, len(ids))
	for _, id := range ids {
		f.homes[id] = true
	}
}

// reportExpired reports whether the report of a home no longer counts. meanLatency is the
// service's mean latency.
func (f *InFlight) reportExpired(home string, age, meanLatency time.Duration) bool {
	formerHome := f.homes != nil && !f.homes[home]
	return ReportWeight(age) == 0 || formerHome && age > max(ReportFullWeightAge, meanLatency)
}

// Refresh recomputes the results of Others. Call it after Merge and four times a
// second, so that the reports of homes that stop reporting lose weight. The counts of
// a report are taken as current for maxCurrentAge, which must be shorter than a
// request takes; 0 means never. A report without requests stays current until the
// next one, because a home reports its first request after a pause at once.
func (f *InFlight) Refresh(now time.Time, maxCurrentAge time.Duration) {
	clear(f.meanTotals)
	clear(f.currentTotals)
	f.currentKnown = maxCurrentAge > 0
	// A fixed order makes the sums, and so the choices, reproducible.
	for _, home := range slices.Sorted(maps.Keys(f.homeReports)) {
		r := f.homeReports[home]
		age := now.Sub(r.receivedAt)
		weight := ReportWeight(age)
		if f.reportExpired(home, age, maxCurrentAge) {
			delete(f.homeReports, home)
			continue
		}
		hasRequests := false
		for _, l := range r.report.Loads {
			if l.Mean > 0 && l.Mean < maxReportedValue {
				f.meanTotals[l.Upstream] += weight * l.Mean
			}
			if l.Current > 0 && l.Current < maxReportedValue {
				hasRequests = true
				f.currentTotals[l.Upstream] += float64(l.Current)
			}
		}
		if hasRequests && now.Sub(r.receivedAt) > maxCurrentAge {
			f.currentKnown = false
		}
	}
}

// maxReportedValue is far above the slots of any upstream; larger values are invalid.
const maxReportedValue = 1e6

// Others returns the number of requests that other homes have in flight at the
// upstream, as of the last Refresh. It is the current count if known is true and a
// mean otherwise.
func (f *InFlight) Others(upstream string) (n float64, known bool) {
	if f.currentKnown {
		return f.currentTotals[upstream], true
	}
	return f.meanTotals[upstream], false
}

// ReportWeight returns the weight of a report of the given age.
func ReportWeight(age time.Duration) float64 {
	switch {
	case age <= ReportFullWeightAge:
		return 1
	case age >= ReportMaxAge:
		return 0
	default:
		return float64(ReportMaxAge-age) / float64(ReportMaxAge-ReportFullWeightAge)
	}
}

func (a *inFlightIntegral) add(now time.Time, delta int) {
	a.sum += float64(a.count) * now.Sub(a.changed).Seconds()
	a.count += delta
	a.changed = now
}

// reset returns the mean since the last reset and starts a new interval.
func (a *inFlightIntegral) reset(now time.Time) float64 {
	a.add(now, 0)
	elapsed := now.Sub(a.start).Seconds()
	mean := float64(a.count)
	if elapsed > 0 {
		mean = a.sum / elapsed
	}
	a.sum, a.start = 0, now
	return mean
}
