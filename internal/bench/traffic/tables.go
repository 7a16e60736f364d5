package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"shallotglade/internal/bench/traffic/crashsim"
	"shallotglade/pkg/poison"
	"shallotglade/pkg/routing"
)

// services lists the services of the design page.
var services = []serviceConfig{
	{name: "registre-steles", upstreams: 6, slots: 3},
	{name: "bons-chantier", upstreams: 8, slots: 3},
	{name: "tableau-equipes", upstreams: 10, slots: 3},
	{name: "stone-catalogue", upstreams: 6, slots: 6},
	{name: "wheel-roster", upstreams: 10, slots: 6},
	{name: "batch-ledger", upstreams: 12, slots: 6},
}

const maxHomes = 12

var loads = []float64{0.5, 0.7, 0.9}

func homesTable(duration time.Duration) *table {
	t := &table{
		Title:  "Homes per service: time in the queue and all time but the service time in ms; percent of the requests refused by the queue, failed after being shed, and shed at least once because another home had the slot",
		Header: []string{"service", "slots", "load%", "homes", "queue p50", "p99", "added p50", "p99", "refused%", "failed%", "taken%", "attempts/request"},
	}
	for _, svc := range services {
		for _, utilisation := range loads {
			for homes := 1; homes <= maxHomes; homes++ {
				cfg := svc
				cfg.utilisation, cfg.homes, cfg.duration = utilisation, homes, duration
				cfg.reports, cfg.quotas, cfg.choose = reportMean, quotasDemand, routing.Choose
				t.jobs = append(t.jobs, func(rng *rand.Rand) []string { return homesRow(cfg, simulateService(cfg, rng)) })
			}
		}
	}
	return t
}

func homesRow(cfg serviceConfig, r serviceResult) []string {
	return []string{
		cfg.name, formatCount(cfg.upstreams * cfg.slots), fmt.Sprintf("%.0f", 100*cfg.utilisation), formatCount(cfg.homes),
		formatPercentile(r.queueWait, 50), formatPercentile(r.queueWait, 99), formatPercentile(r.addedLatency, 50), formatPercentile(r.addedLatency, 99),
		formatPercent(r.refused, r.offered), formatPercent(r.failed, r.offered),
		formatPercent(r.shedOnce, r.offered), formatRatio(r.attempts, r.dispatched),
	}
}

func formatRatio(a, b int) string {
	if b == 0 {
		return "-"
	}
	return fmt.Sprintf("%.3f", float64(a)/float64(b))
}

// chooseRandom is the naive chooser: it picks a random upstream at which this
// home's own requests leave a slot free.
func chooseRandom(cs []routing.Candidate, req routing.Request, rng *rand.Rand) (routing.Choice, bool) {
	first := rng.IntN(len(cs))
next:
	for i := range cs {
		c := cs[(first+i)%len(cs)]
		for _, id := range req.Tried {
			if id == c.ID {
				continue next
			}
		}
		if c.OwnInFlight < c.Slots {
			return routing.Choice{Index: (first + i) % len(cs), ID: c.ID}, true
		}
	}
	return routing.Choice{Index: -1}, false
}

// choiceTable compares ways of sharing slots among homes with the naive choice,
// with callers spread evenly and with 80% of them in one failure domain.
func choiceTable(duration time.Duration) *table {
	t := &table{
		Title:  "Sharing of slots among homes: percent as above, wait in ms",
		Header: []string{"service", "load%", "homes", "callers", "quotas", "reports", "p50", "p99", "refused%", "failed%", "taken%"},
	}
	for _, svc := range []serviceConfig{services[1], services[5]} {
		for _, utilisation := range loads[1:] {
			for _, homes := range []int{3, 6} {
				for _, skewed := range []bool{false, true} {
					cfg := svc
					cfg.utilisation, cfg.homes, cfg.duration, cfg.skewed, cfg.choose = utilisation, homes, duration, skewed, routing.Choose
					t.addChoiceRow(cfg, quotasDemand, reportMean)
					t.addChoiceRow(cfg, quotasDemand, reportCurrent)
					t.addChoiceRow(cfg, quotasEqual, reportMean)
					cfg.choose = chooseRandom
					t.addChoiceRow(cfg, quotasUnlimited, reportNone)
				}
			}
		}
	}
	return t
}

func (t *table) addChoiceRow(cfg serviceConfig, quotas quotaMode, reports reportMode) {
	cfg.quotas, cfg.reports = quotas, reports
	callers := "even"
	if cfg.skewed {
		callers = "80% in one"
	}
	t.jobs = append(t.jobs, func(rng *rand.Rand) []string {
		r := simulateService(cfg, rng)
		return []string{
			cfg.name, fmt.Sprintf("%.0f", 100*cfg.utilisation), formatCount(cfg.homes), callers, string(quotas), string(reports),
			formatPercentile(r.queueWait, 50), formatPercentile(r.queueWait, 99),
			formatPercent(r.refused, r.offered), formatPercent(r.failed, r.offered), formatPercent(r.shedOnce, r.offered),
		}
	})
}

// retriesTable shows the load that retries add when attempts fail.
func retriesTable(duration time.Duration) *table {
	t := &table{
		Title:  "Retries: attempts per dispatched request, bons-chantier at 50% load, 3 homes, half of the requests idempotent",
		Header: []string{"failing", "retries", "attempts/request", "answered%"},
	}
	for _, c := range []struct {
		name        string
		failureRate float64
		shedAll     bool
	}{{"none", 0, false}, {"5%", 0.05, false}, {"30%", 0.3, false}, {"all fail", 1, false}, {"all shed", 0, true}} {
		for _, unlimited := range []bool{false, true} {
			cfg := services[1]
			cfg.utilisation, cfg.homes, cfg.duration = 0.5, 3, duration
			cfg.reports, cfg.quotas, cfg.choose = reportMean, quotasDemand, routing.Choose
			cfg.failureRate, cfg.shedAll, cfg.unlimitedRetries = c.failureRate, c.shedAll, unlimited
			retries := "budget"
			if unlimited {
				retries = "unlimited"
			}
			t.jobs = append(t.jobs, func(rng *rand.Rand) []string {
				r := simulateService(cfg, rng)
				return []string{c.name, retries, formatRatio(r.attempts, r.dispatched), formatPercent(r.answered, r.offered)}
			})
		}
	}
	return t
}

// poisonRuns is the number of simulated runs per row of the poison table.
const poisonRuns = 300

// poisonTable shows how many upstreams a single crashing request takes down.
func poisonTable() *table {
	t := &table{
		Title:  fmt.Sprintf("Poison: upstreams lost to one request, 12 upstreams of 3 slots, floor 6, 20 resends, gap 16 ms or more, %d runs a row", poisonRuns),
		Header: []string{"homes", "senders", "delay ms", "hold", "guard", "mean", "max", "max blind", "above blind+1", "neighbours lost", "refused"},
	}
	guards := map[string]func(string, []string) crashsim.Guard{"tracker": crashsim.NewTracker, "none": newNoGuard}
	for _, homes := range []int{1, 3, 6} {
		for _, senders := range []int{1, 4} {
			for _, delay := range []time.Duration{2 * time.Millisecond, 100 * time.Millisecond} {
				for _, hold := range []bool{false, true} {
					t.addPoisonRow(homes, senders, delay, hold, "tracker", guards["tracker"])
				}
			}
		}
		t.addPoisonRow(homes, 1, 0, false, "none", guards["none"])
	}
	return t
}

func (t *table) addPoisonRow(homes, senders int, delay time.Duration, hold bool, guardName string, newGuard func(string, []string) crashsim.Guard) {
	cfg := crashsim.Config{
		Homes: homes, Upstreams: 12, Slots: 3, Floor: 6, SummaryDelay: delay, DelayAnswers: hold,
		Senders: senders, Resends: 20, Gap: 16 * time.Millisecond, OtherRequests: 300, Span: 500 * time.Millisecond,
	}
	t.jobs = append(t.jobs, func(rng *rand.Rand) []string {
		var totalCrashes, maxCrashes, maxUnsuspected, aboveBound, othersLost, othersRefused int
		for range poisonRuns {
			r := crashsim.Run(cfg, rng, newGuard)
			totalCrashes += r.Crashes
			maxCrashes, maxUnsuspected = max(maxCrashes, r.Crashes), max(maxUnsuspected, r.UnsuspectedDispatches)
			othersLost += r.OthersLost
			othersRefused += r.OthersRefused
			if r.Crashes > r.UnsuspectedDispatches+1 {
				aboveBound++
			}
		}
		return []string{
			formatCount(homes), formatCount(senders), formatMs(delay), fmt.Sprint(hold), guardName,
			fmt.Sprintf("%.2f", float64(totalCrashes)/poisonRuns), formatCount(maxCrashes), formatCount(maxUnsuspected), formatCount(aboveBound), formatCount(othersLost), formatCount(othersRefused),
		}
	})
}

// noGuard runs every request, like a proxy without pkg/poison.
type noGuard struct{ *poison.Tracker }

func newNoGuard(self string, homes []string) crashsim.Guard {
	return noGuard{poison.NewTracker(self, homes)}
}

// Check implements crashsim.Guard.
func (noGuard) Check(time.Time, poison.Fingerprint, int, int) poison.Decision {
	return poison.Decision{Action: poison.Run}
}
