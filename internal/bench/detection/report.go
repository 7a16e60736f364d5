package main

import (
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"

	"shallotglade/pkg/detector"
)

// Goals of the measurement.
const (
	speedGoal = 3.0 // times faster than the better naive detector
	boundGoal = 1.5 // times the bound
)

// report is everything that was measured.
type report struct {
	Options  options         `json:"options"`
	Services []service       `json:"services"`
	Faults   []string        `json:"faults"`
	Healthy  []healthyResult `json:"healthy"`
	// Cells are indexed by service, fault and detector.
	Cells  [][][]cell     `json:"cells"`
	Probes [2]probeResult `json:"misleadingProbes"`
}

type healthyResult struct {
	Service string       `json:"service"`
	Rates   []falseRates `json:"rates"` // by detector
}

type probeResult struct {
	Service string     `json:"service"`
	Weight  float64    `json:"weight"`
	Daemons int        `json:"daemons"`
	Hours   float64    `json:"hours"`
	Rates   falseRates `json:"rates"`
}

// cell is one service, fault and detector.
type cell struct {
	Service  string `json:"service"`
	Fault    string `json:"fault"`
	Detector string `json:"detector"`
	Trials   int    `json:"trials"`
	// Void trials, in which a false alarm preceded the fault, have no
	// detection time.
	Void int `json:"voidTrials"`
	// Detected is the share of trials with a detection within 40 s.
	Detected float64 `json:"detected"`
	// Ejected is the share of trials in which the upstream was also ejected,
	// not only demoted.
	Ejected float64 `json:"ejected"`
	// P50 and P99 are detection times in seconds; undetected trials count as 40 s.
	P50 float64 `json:"p50Seconds"`
	P99 float64 `json:"p99Seconds"`
	// Lost and Late are shares of all requests within 40 s of the onset.
	Lost float64 `json:"lostPerMille"`
	Late float64 `json:"latePerMille"`
	// FalseDemotions and FalseEjections are per upstream-day.
	FalseDemotions float64 `json:"falseDemotionsPerUpstreamDay"`
	FalseEjections float64 `json:"falseEjectionsPerUpstreamDay"`
	// Outcomes is the mean number of outcomes that a home saw until it
	// stopped; Bound is |log alpha| / KL divergence; Ratio is their quotient.
	Outcomes float64 `json:"meanOutcomes"`
	Bound    float64 `json:"boundOutcomes"`
	Ratio    float64 `json:"boundRatio"`
}

func newReport(o options) *report {
	r := &report{Options: o, Services: services, Healthy: make([]healthyResult, len(services))}
	for _, f := range faults {
		r.Faults = append(r.Faults, f.Name)
	}
	for range services {
		byFault := make([][]cell, len(faults))
		for i := range byFault {
			byFault[i] = make([]cell, len(judgeNames))
		}
		r.Cells = append(r.Cells, byFault)
	}
	return r
}

// summarise turns the trials of a cell into its figures.
func summarise(s service, f fault, name string, trials []trial) cell {
	c := cell{Service: s.Name, Fault: f.Name, Detector: name, Trials: len(trials)}
	var times, outcomes []float64
	all, lost, late, demotions, ejections := 0, 0, 0, 0, 0
	for _, t := range trials {
		after := horizon
		if t.detected {
			c.Detected++
			after = t.after
		}
		if t.ejected {
			c.Ejected += 1 / float64(len(trials))
		}
		if t.void {
			c.Void++
		} else {
			times = append(times, after.Seconds())
		}
		for _, n := range t.outcomes {
			outcomes = append(outcomes, float64(n))
		}
		all, lost, late = all+t.all, lost+t.lost, late+t.late
		demotions, ejections = demotions+t.falseDemotions, ejections+t.falseEjections
	}
	c.Detected /= max(float64(len(times)), 1)
	c.P50, c.P99 = quantile(times, 0.5), quantile(times, 0.99)
	c.Lost, c.Late = 1000*float64(lost)/float64(all), 1000*float64(late)/float64(all)
	days := float64(len(trials)*s.Upstreams) * (warmUp + outlierInterval/2 + horizon).Seconds() / day
	c.FalseDemotions, c.FalseEjections = float64(demotions)/days, float64(ejections)/days
	if !f.Harmless {
		c.Bound = -math.Log(detector.TuningForWeight(s.Weight).FalseAlarmRate) / divergence(f)
		c.Outcomes = mean(outcomes)
		c.Ratio = c.Outcomes / c.Bound
	}
	return c
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / max(float64(len(values)), 1)
}

func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return horizon.Seconds()
	}
	slices.Sort(values)
	return values[min(int(math.Ceil(q*float64(len(values))))-1, len(values)-1)]
}

// speedUp is how many times faster ours is than the better naive detector, by
// the median.
func speedUp(cells []cell) float64 {
	return min(cells[0].P50, cells[1].P50) / cells[2].P50
}

// table aligns columns that are separated by tabs.
type table struct{ *tabwriter.Writer }

func (t table) row(format string, values ...any) { _, _ = fmt.Fprintf(t, format, values...) }

// print writes the tables.
func (r *report) print(w io.Writer) {
	t := table{tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)}
	t.row("service\tweight\tupstreams\tslots\tfloor\tutilisation\tmedian\trequests/s\tper upstream and home/s\ttarget false alarms/outcome\tthreshold nats\n")
	for _, s := range services {
		tuning := detector.TuningForWeight(s.Weight)
		t.row("%s\t%.1f\t%d\t%d\t%d\t%.0f%%\t%v\t%.0f\t%.1f\t%.1e\t%.1f\n", s.Name, s.Weight, s.Upstreams, s.Slots,
			s.Floor, 100*s.Utilisation, s.Median, s.rate(), s.rate()/float64(s.Upstreams*homesPerService),
			tuning.FalseAlarmRate, tuning.Threshold)
	}
	t.row("\nservice\tfault\tdetector\tdetected\tejected\tp50 s\tp99 s\tlost ‰\tlate ‰\tfalse dem./d\tfalse ej./d\toutcomes\tbound\tratio\ttimes faster\n")
	for si := range r.Cells {
		for fi, cells := range r.Cells[si] {
			for ji, c := range cells {
				r.printCell(t, c, faults[fi], cells, ji)
			}
		}
	}
	t.row("\nhealthy service\tdetector\tupstream-days\toutcomes\tfalse dem./d\tfalse ej./d\n")
	for _, h := range r.Healthy {
		for ji, rates := range h.Rates {
			t.row("%s\t%s\t%.0f\t%d\t%.3f\t%.3f\n", h.Service, judgeNames[ji], rates.UpstreamDays,
				rates.Outcomes, rates.Demotions, rates.Ejections)
		}
	}
	t.row("\nmisleading probes at 2 upstreams\tweight\tdaemons\thours\toutcomes\tfalse dem./d\tfalse ej./d\n")
	for _, p := range r.Probes {
		t.row("%s\t%.1f\t%d\t%.1f\t%d\t%.3f\t%.3f\n", p.Service, p.Weight, p.Daemons, p.Hours,
			p.Rates.Outcomes, p.Rates.Demotions, p.Rates.Ejections)
	}
	_ = t.Flush() // the reader of the terminal sees what is missing
	r.printGoals(w)
}

func (r *report) printCell(t table, c cell, f fault, cells []cell, ji int) {
	t.row("%s\t%s\t%s\t%.0f%%\t%.0f%%\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f", c.Service, c.Fault, c.Detector,
		100*c.Detected, 100*c.Ejected, c.P50, c.P99, c.Lost, c.Late, c.FalseDemotions, c.FalseEjections)
	if f.Harmless {
		t.row("\t-\t-\t-\t-\n")
		return
	}
	t.row("\t%.1f\t%.1f\t%.2f", c.Outcomes, c.Bound, c.Ratio)
	if ji < len(cells)-1 {
		t.row("\t\n")
		return
	}
	t.row("\t%.1f\n", speedUp(cells))
}

// printGoals says which goals were reached.
func (r *report) printGoals(w io.Writer) {
	out := table{tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)}
	defer func() { _ = out.Flush() }()
	out.row("\n")
	for fi, f := range faults {
		if f.Harmless {
			continue
		}
		least, most := math.Inf(1), 0.0
		for si := range r.Cells {
			cells := r.Cells[si][fi]
			least, most = min(least, speedUp(cells)), max(most, cells[2].Ratio)
		}
		out.row("%-26s least speed-up %5.1f (goal %.0f: %s), largest bound ratio %4.2f (goal %.1f: %s)\n",
			f.Name, least, speedGoal, verdict(least >= speedGoal), most, boundGoal, verdict(most <= boundGoal))
	}
	for _, p := range r.Probes {
		out.row("misleading probes, weight %.1f, %d daemons: %.0f false ejections (goal 0: %s)\n", p.Weight, p.Daemons,
			p.Rates.Ejections*p.Rates.UpstreamDays, verdict(p.Rates.Ejections == 0))
	}
}

func verdict(reached bool) string {
	if reached {
		return "reached"
	}
	return "NOT reached"
}
