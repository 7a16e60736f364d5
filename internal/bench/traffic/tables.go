package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"shallotglade/internal/bench/traffic/crashsim"
	"shallotglade/pkg/poison"
	"shallotglade/pkg/routing"
)

// services are those of the design page.
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

func homesTable(span time.Duration) *table {
	t := &table{
		Title:  "Homes per service: time in the queue and all time but the service time in ms; percent of the requests refused by the queue, failed after being shed, and shed at least once because another home had the slot",
		Header: []string{"service", "slots", "load%", "homes", "queue p50", "p99", "added p50", "p99", "refused%", "failed%", "taken%", "attempts/request"},
	}
	for _, svc := range services {
		for _, load := range loads {
			for homes := 1; homes <= maxHomes; homes++ {
				cfg := svc
				cfg.load, cfg.homes, cfg.span = load, homes, span
				cfg.reports, cfg.quotas, cfg.choose = reportMean, quotasDemand, routing.Choose
				t.jobs = append(t.jobs, func(rng *rand.Rand) []string { return homesRow(cfg, simulate(cfg, rng)) })
			}
		}
	}
	return t
}

func homesRow(cfg serviceConfig, r serviceResult) []string {
	return []string{
		cfg.name, count(cfg.upstreams * cfg.slots), fmt.Sprintf("%.0f", 100*cfg.load), count(cfg.homes),
		at(r.wait, 50), at(r.wait, 99), at(r.added, 50), at(r.added, 99),
		percent(r.refused, r.offered), percent(r.failed, r.offered),
		percent(r.collided, r.offered), ratio(r.attempts, r.dispatched),
	}
}

func ratio(a, b int) string {
	if b == 0 {
		return "-"
	}
	return fmt.Sprintf("%.3f", float64(a)/float64(b))
}

// randomChoice is the naive chooser: a random upstream with a slot free of this
// home's own requests.
func randomChoice(cs []routing.Candidate, req routing.Request, rng *rand.Rand) (routing.Choice, bool) {
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

// choiceTable compares how slots are shared, with callers spread evenly and with
// eight of ten in one failure domain, and the naive choice.
func choiceTable(span time.Duration) *table {
	t := &table{
		Title:  "Sharing of slots among homes: percent as above, wait in ms",
		Header: []string{"service", "load%", "homes", "callers", "quotas", "reports", "p50", "p99", "refused%", "failed%", "taken%"},
	}
	for _, svc := range []serviceConfig{services[1], services[5]} {
		for _, load := range loads[1:] {
			for _, homes := range []int{3, 6} {
				for _, skewed := range []bool{false, true} {
					cfg := svc
					cfg.load, cfg.homes, cfg.span, cfg.skewed, cfg.choose = load, homes, span, skewed, routing.Choose
					t.addChoice(cfg, quotasDemand, reportMean)
					t.addChoice(cfg, quotasDemand, reportLast)
					t.addChoice(cfg, quotasEqual, reportMean)
					cfg.choose = randomChoice
					t.addChoice(cfg, quotasAll, reportNone)
				}
			}
		}
	}
	return t
}

func (t *table) addChoice(cfg serviceConfig, quotas quotaMode, reports reportMode) {
	cfg.quotas, cfg.reports = quotas, reports
	callers := "even"
	if cfg.skewed {
		callers = "80% in one"
	}
	t.jobs = append(t.jobs, func(rng *rand.Rand) []string {
		r := simulate(cfg, rng)
		return []string{
			cfg.name, fmt.Sprintf("%.0f", 100*cfg.load), count(cfg.homes), callers, string(quotas), string(reports),
			at(r.wait, 50), at(r.wait, 99),
			percent(r.refused, r.offered), percent(r.failed, r.offered), percent(r.collided, r.offered),
		}
	})
}

// retriesTable shows what retries add when attempts fail.
func retriesTable(span time.Duration) *table {
	t := &table{
		Title:  "Retries: attempts per dispatched request, bons-chantier at 50% load, 3 homes, half of the requests idempotent",
		Header: []string{"failing", "retries", "attempts/request", "answered%"},
	}
	for _, c := range []struct {
		name     string
		failing  float64
		shedding bool
	}{{"none", 0, false}, {"5%", 0.05, false}, {"30%", 0.3, false}, {"all fail", 1, false}, {"all shed", 0, true}} {
		for _, unlimited := range []bool{false, true} {
			cfg := services[1]
			cfg.load, cfg.homes, cfg.span = 0.5, 3, span
			cfg.reports, cfg.quotas, cfg.choose = reportMean, quotasDemand, routing.Choose
			cfg.failing, cfg.shedding, cfg.unlimited = c.failing, c.shedding, unlimited
			name := "budget"
			if unlimited {
				name = "unlimited"
			}
			t.jobs = append(t.jobs, func(rng *rand.Rand) []string {
				r := simulate(cfg, rng)
				return []string{c.name, name, ratio(r.attempts, r.dispatched), percent(r.answered, r.offered)}
			})
		}
	}
	return t
}

// poisonRuns is the number of runs per row.
const poisonRuns = 300

// poisonTable shows how many upstreams one request takes down.
func poisonTable() *table {
	t := &table{
		Title:  fmt.Sprintf("Poison: upstreams lost to one request, 12 upstreams of 3 slots, floor 6, 20 resends, gap 16 ms or more, %d runs a row", poisonRuns),
		Header: []string{"homes", "senders", "delay ms", "hold", "guard", "mean", "max", "max blind", "above blind+1", "neighbours lost", "refused"},
	}
	guards := map[string]func(string, []string) crashsim.Guard{"tracker": crashsim.Tracker, "none": newNoGuard}
	for _, homes := range []int{1, 3, 6} {
		for _, senders := range []int{1, 4} {
			for _, delay := range []time.Duration{2 * time.Millisecond, 100 * time.Millisecond} {
				for _, hold := range []bool{false, true} {
					t.addPoison(homes, senders, delay, hold, "tracker", guards["tracker"])
				}
			}
		}
		t.addPoison(homes, 1, 0, false, "none", guards["none"])
	}
	return t
}

func (t *table) addPoison(homes, senders int, delay time.Duration, hold bool, name string, guard func(string, []string) crashsim.Guard) {
	cfg := crashsim.Config{
		Homes: homes, Upstreams: 12, Slots: 3, Floor: 6, SummaryDelay: delay, Hold: hold,
		Senders: senders, Resends: 20, Gap: 16 * time.Millisecond, Innocents: 300, Span: 500 * time.Millisecond,
	}
	t.jobs = append(t.jobs, func(rng *rand.Rand) []string {
		var sum, most, blind, above, lost, refused int
		for range poisonRuns {
			r := crashsim.Run(cfg, rng, guard)
			sum += r.Crashes
			most, blind = max(most, r.Crashes), max(blind, r.Blind)
			lost += r.InnocentLost
			refused += r.InnocentRefused
			if r.Crashes > r.Blind+1 {
				above++
			}
		}
		return []string{
			count(homes), count(senders), ms(delay), fmt.Sprint(hold), name,
			fmt.Sprintf("%.2f", float64(sum)/poisonRuns), count(most), count(blind), count(above), count(lost), count(refused),
		}
	})
}

// noGuard runs everything, as a proxy without pkg/poison does.
type noGuard struct{ *poison.Tracker }

func newNoGuard(self string, homes []string) crashsim.Guard {
	return noGuard{poison.NewTracker(self, homes)}
}

// Check implements crashsim.Guard.
func (noGuard) Check(time.Time, poison.Fingerprint, int, int) poison.Decision {
	return poison.Decision{Action: poison.Run}
}
