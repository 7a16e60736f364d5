package routing_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"shallotglade/internal/testkit"
	"shallotglade/pkg/routing"
)

type chooser func([]routing.Candidate, routing.Request, *rand.Rand) (routing.Choice, bool)

// randomChoice is a naive baseline: it chooses any upstream at random.
func randomChoice(cs []routing.Candidate, _ routing.Request, rng *rand.Rand) (routing.Choice, bool) {
	i := rng.IntN(len(cs))
	return routing.Choice{Index: i, ID: cs[i].ID}, cs[i].Share > 0
}

func drawCandidates(t *rapid.T) []routing.Candidate {
	cs := make([]routing.Candidate, rapid.IntRange(1, 12).Draw(t, "upstreams"))
	for i := range cs {
		slots := rapid.SampledFrom([]int{3, 6}).Draw(t, "slots")
		cs[i] = routing.Candidate{
			ID: fmt.Sprintf("u%d", i), Domain: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "domain"),
			Slots: slots, OwnInFlight: rapid.IntRange(0, slots).Draw(t, "own"), Quota: rapid.IntRange(0, slots).Draw(t, "quota"),
			OthersInFlight: rapid.SampledFrom([]float64{0, 0.4, 1, 2.5, 7}).Draw(t, "others"),
			Demoted:        rapid.IntRange(0, 3).Draw(t, "demoted") == 0,
			Trial:          rapid.IntRange(0, 5).Draw(t, "trial") == 0,
			Share:          rapid.SampledFrom([]float64{0, 0.3, 1, 1, 1}).Draw(t, "share"),
		}
		cs[i].Listed, cs[i].LastOutcomeAt = epoch.Add(-time.Minute), epoch.Add(-time.Second)
		cs[i].OthersOverdue = min(cs[i].OthersInFlight, rapid.SampledFrom([]float64{0, 0, 1, 7}).Draw(t, "overdue"))
		if rapid.IntRange(0, 4).Draw(t, "idle") == 0 {
			cs[i].LastOutcomeAt = epoch.Add(-2 * time.Second)
		}
		if rapid.IntRange(0, 4).Draw(t, "untried") == 0 {
			cs[i].Listed, cs[i].LastOutcomeAt = epoch.Add(-time.Duration(rapid.IntRange(0, 8000).Draw(t, "listed for ms"))*time.Millisecond), time.Time{}
		}
		if rapid.IntRange(0, 4).Draw(t, "paused") == 0 {
			cs[i].PausedUntil = epoch.Add(time.Millisecond)
		}
		if cs[i].Trial {
			cs[i].Share = min(cs[i].Share, 0.3)
		}
	}
	return cs
}

// ruleViolation returns the rule of the design page that a choice breaks, or "". It
// checks the rules one by one.
func ruleViolation(cs []routing.Candidate, req routing.Request, got routing.Choice, ok bool) string {
	hasOwnFreeSlot := func(c routing.Candidate) bool { return c.OwnInFlight < c.Quota }
	// A borrowed slot is one of the upstream's slots, and the upstream is not full.
	hasFreeSlot := func(c routing.Candidate) bool {
		return hasOwnFreeSlot(c) || (c.OwnInFlight < c.Slots && float64(c.OwnInFlight)+c.OthersInFlight < float64(c.Slots))
	}
	// Overdue requests of other homes may never have arrived, so they do not prevent a
	// retest of an upstream that has had no request for too long.
	retest := func(c routing.Candidate) bool {
		return (got.Reason == routing.Untried || c.Demoted && got.Reason == routing.DemotedFree) && !c.LastOutcomeAt.IsZero() && req.Now.Sub(c.LastOutcomeAt) >= 1400*time.Millisecond &&
			c.OwnInFlight == 0 && c.OthersInFlight-c.OthersOverdue < 0.5
	}
	tried := func(c routing.Candidate) bool { return slices.Contains(req.Tried, c.ID) }
	healthy := func(c routing.Candidate) bool { return c.Share == 1 && !c.Demoted && !tried(c) }
	healthyFree := func(c routing.Candidate) bool { return healthy(c) && hasOwnFreeSlot(c) && c.PausedUntil.IsZero() }
	ownFree := func(c routing.Candidate) bool { return healthyFree(c) && c.Domain == req.Domain }
	if !ok {
		if slices.ContainsFunc(cs, healthyFree) {
			return "no choice although a healthy upstream is free"
		}
		return ""
	}
	c := cs[got.Index]
	limited := got.Reason == routing.Trial || got.Reason == routing.Ramp || got.Reason == routing.Recovery
	switch {
	case c.Share == 0:
		return "share is zero"
	case tried(c):
		return "already tried by this request"
	case !c.PausedUntil.IsZero():
		return "upstream has just shed a request"
	case !hasFreeSlot(c) && !retest(c) && (got.Reason != routing.Contended || slices.ContainsFunc(cs, func(o routing.Candidate) bool { return o.OwnInFlight > 0 })):
		return "no free slot"
	case got.Reason == routing.Borrowed && slices.ContainsFunc(cs, healthyFree):
		return "borrowed although an own slot is free"
	case !req.Idempotent && c.Trial:
		return "non-idempotent request sent to an upstream on trial"
	case c.Share < 1 && !limited && slices.ContainsFunc(cs, healthy):
		return "upstream received more than its share"
	case limited:
		return ""
	case retest(c):
		if c.Demoted && slices.ContainsFunc(cs, healthyFree) {
			return "retested upstream is demoted although a healthy one is free"
		}
		return ""
	case got.Reason == routing.Untried:
		listed := req.Now.Sub(c.Listed)
		if !c.LastOutcomeAt.IsZero() || c.OwnInFlight > 0 || c.OthersInFlight >= 0.5 || listed < time.Second || (!req.Retryable && listed < 5*time.Second) {
			return "upstream without outcomes explored too early"
		}
		if (c.Demoted || !hasOwnFreeSlot(c)) && slices.ContainsFunc(cs, healthyFree) {
			return "explored upstream is demoted or has no own free slot although a healthy one is free"
		}
		return ""
	case c.Demoted && slices.ContainsFunc(cs, healthyFree):
		return "demoted upstream chosen although a healthy one is free"
	case c.Domain != req.Domain && slices.ContainsFunc(cs, ownFree):
		return "upstream in another domain chosen although one in the own domain is free"
	case got.Reason == routing.OwnDomain && slices.ContainsFunc(cs, func(o routing.Candidate) bool {
		return ownFree(o) && (float64(o.OwnInFlight)+o.OthersInFlight)/float64(o.Slots) < got.Load
	}):
		return "chosen upstream is not the least loaded"
	}
	return ""
}

var _ = Describe("Choose with random candidates", func() {
	check := func(t *rapid.T, choose chooser) string {
		cs := drawCandidates(t)
		req := routing.Request{Now: epoch, Domain: "a", Idempotent: rapid.Bool().Draw(t, "idempotent")}
		req.Retryable = req.Idempotent && rapid.Bool().Draw(t, "repeatable")
		if rapid.Bool().Draw(t, "retry") {
			req.Tried = []string{cs[0].ID}
		}
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		got, ok := choose(cs, req, rng)
		return ruleViolation(cs, req, got, ok)
	}
	// Guards against violations of any rule of the choice. The naive baseline must
	// break several of them.
	It("follows the rules", func() {
		testkit.Check(GinkgoT(), func(t *rapid.T) {
			if f := check(t, routing.Choose); f != "" {
				t.Fatal(f)
			}
		})
		naive := map[string]bool{}
		testkit.Check(GinkgoT(), func(t *rapid.T) { naive[check(t, randomChoice)] = true })
		Expect(len(naive)).To(BeNumerically(">", 5), "violations by a random choice: %v", naive)
	})

	// Guards against a request that passed the queue but finds no upstream.
	It("finds an upstream while fewer requests run than Capacity", func() {
		testkit.Check(GinkgoT(), func(t *rapid.T) {
			cs := drawCandidates(t)
			capacity, reserve := routing.Capacity(cs, 0)
			running := 0
			for i := range cs {
				cs[i].OwnInFlight, cs[i].PausedUntil = 0, time.Time{}
				cs[i].FailureProbability = rapid.SampledFrom([]float64{0.05, 0.3, 0.7, 0.99}).Draw(t, "failing")
			}
			rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
			for running < capacity+reserve {
				c, ok := routing.Choose(cs, routing.Request{Domain: "a"}, rng)
				if !ok {
					t.Fatalf("Choose returned %v with %d of %d requests running: %+v", c.Reason, running, capacity, cs)
				}
				cs[c.Index].OwnInFlight++
				running++
			}
		})
	})

	// Guards against upstreams on trial that get no traffic in an idle service, and
	// against an upstream in ramp that gets a full share.
	It("gives upstreams with a limited share their fraction of the attempts", func() {
		cs := []routing.Candidate{
			{ID: "n1", Quota: 3, Slots: 3, Share: 1, Preference: 9}, {ID: "n2", Quota: 3, Slots: 3, Share: 1},
			{ID: "r", Quota: 3, Slots: 3, Share: 0.5}, {ID: "t", Quota: 3, Slots: 3, Share: 0.2, Trial: true},
			{ID: "d", Quota: 3, Slots: 3, Share: 1, Demoted: true},
		}
		const n = 20000
		count := func(idempotent bool) map[string]float64 {
			got, rng := map[string]float64{}, newRand()
			for range n {
				c, _ := routing.Choose(cs, routing.Request{Idempotent: idempotent}, rng)
				got[c.ID] += 1.0 / n
			}
			return got
		}
		got := count(true)
		Expect(got["r"]).To(BeNumerically("~", 0.5/5, 0.01))
		Expect(got["t"]).To(BeNumerically("~", 0.2/5, 0.01))
		Expect(got["d"]).To(BeNumerically("~", routing.DemotedShare/5, 0.005))
		got = count(false)
		Expect(got["t"] + got["d"]).To(BeZero())
	})

	// Guards against all homes sending their first request to the same upstream.
	It("breaks ties differently at different homes", func() {
		first := map[string]int{}
		for h := range 12 {
			cs := make([]routing.Candidate, 12)
			for i := range cs {
				id := fmt.Sprintf("u%d", i)
				cs[i] = routing.Candidate{ID: id, Slots: 3, Quota: 1, Share: 1, Preference: routing.Preference(fmt.Sprintf("h%d", h), id)}
			}
			c, _ := routing.Choose(cs, routing.Request{}, newRand())
			first[c.ID]++
		}
		Expect(len(first)).To(BeNumerically(">=", 6))
	})

	// Guards against a slot that is assigned to two homes or to none.
	It("assigns each slot once, in proportion to demand", func() {
		testkit.Check(GinkgoT(), func(t *rapid.T) {
			cs := drawCandidates(t)
			homes := make([]routing.Home, rapid.IntRange(1, 6).Draw(t, "homes"))
			totalSlots, assigned, demand := 0, make([]int, len(cs)), 0.0
			for i := range homes {
				homes[i] = routing.Home{
					ID: fmt.Sprintf("h%d", i), Domain: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "domain"),
					Demand: rapid.Float64Range(1, 3).Draw(t, "demand"),
				}
				demand += homes[i].Demand
			}
			for i := range cs {
				if cs[i].Share < 1 {
					cs[i].Share = 0
					continue
				}
				totalSlots += cs[i].Slots
			}
			for i, h := range homes {
				reversed := slices.Clone(homes)
				slices.Reverse(reversed)
				got := 0
				for j, q := range routing.Quotas(h.ID, reversed, cs) {
					assigned[j] += q
					got += q
				}
				if want := float64(totalSlots) * homes[i].Demand / demand; float64(got) < want-1 || float64(got) > want+1 {
					t.Fatalf("assigned %d of %d slots to home %v", got, totalSlots, h)
				}
			}
			for j := range cs {
				if want := int(cs[j].Share) * cs[j].Slots; assigned[j] != want {
					t.Fatalf("assigned %d of %d slots of %s", assigned[j], cs[j].Slots, cs[j].ID)
				}
			}
		})
	})

	// Guards against quotas that change with every report, which makes homes use the
	// same slot, and against ignoring a lasting change of demand.
	It("reports a smoothed demand", func() {
		f, rng := routing.NewInFlight(), newRand()
		now, last, changes := epoch, 0.0, 0
		report := func(waiting int) {
			now = now.Add(250 * time.Millisecond)
			if d := f.Report(now, waiting).Demand; d != last {
				last, changes = d, changes+1
			}
		}
		for range 40 {
			report(5 + rng.IntN(6))
		}
		changes = 0
		for range 400 {
			report(5 + rng.IntN(6))
		}
		Expect(changes).To(BeNumerically("<=", 2))
		for range 20 {
			report(20)
		}
		Expect(last).To(BeNumerically(">", 14))
	})

	// Guards against slots that stay with a home for many seconds after its callers moved
	// to another failure domain, and against quotas that follow chance.
	It("follows a shift of the demand between homes within two seconds", func() {
		rng := newRand()
		poisson := func(mean float64) (n int) {
			for limit := rng.ExpFloat64(); limit < mean; limit += rng.ExpFloat64() {
				n++
			}
			return n
		}
		var homes [2]*routing.InFlight
		for i := range homes {
			homes[i] = routing.NewInFlight()
		}
		now := epoch
		// share returns the share of the first home after some reports, and how often the
		// reported demand changed.
		share := func(reports int, demand ...float64) (share float64, changes int) {
			var last [2]float64
			for range reports {
				now = now.Add(250 * time.Millisecond)
				for i, f := range homes {
					if d := f.Report(now, poisson(demand[i])).Demand; d != last[i] {
						last[i], changes = d, changes+1
					}
				}
			}
			return last[0] / (last[0] + last[1]), changes
		}
		share(40, 30, 10)
		steady, changes := share(400, 30, 10)
		Expect(steady).To(BeNumerically("~", 0.75, 0.08))
		Expect(changes).To(BeNumerically("<", 40), "in 800 reports")
		shifted, _ := share(8, 10, 30)
		GinkgoWriter.Println("share before, changes, share after 2 s:", steady, changes, shifted)
		Expect(shifted).To(BeNumerically("~", 0.25, 0.1))
	})

	It("does not allocate", func() {
		cs, rng := candidates42(), newRand()
		req := routing.Request{Domain: "a", Idempotent: true, Tried: []string{"u3", "u7"}}
		Expect(testing.AllocsPerRun(100, func() { routing.Choose(cs, req, rng) })).To(BeZero())
	})
})

func candidates42() []routing.Candidate {
	cs := make([]routing.Candidate, 42)
	for i := range cs {
		cs[i] = routing.Candidate{
			ID: fmt.Sprintf("u%d", i), Domain: string(rune('a' + i%3)), Slots: 3, Quota: 1, OwnInFlight: i % 4, OthersInFlight: float64(i%3) / 2, Share: 1,
		}
	}
	cs[5].Share, cs[9].Demoted = 0.3, true
	return cs
}

func BenchmarkChoose42(b *testing.B) {
	cs, rng := candidates42(), newRand()
	req := routing.Request{Domain: "a", Idempotent: true, Tried: []string{"u3"}}
	b.ReportAllocs()
	for b.Loop() {
		routing.Choose(cs, req, rng)
	}
}
