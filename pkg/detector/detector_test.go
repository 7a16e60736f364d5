package detector

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"shallotglade/internal/testkit"
)

func TestDetector(t *testing.T) { testkit.RunSpecs(t, "detector") }

var epoch = time.Unix(1_800_000_000, 0)

// homeFixture drives one Group with six upstreams. Outcomes are 10 ms apart.
type homeFixture struct {
	*Group
	now time.Time
	rng *rand.Rand
}

func newHome(weight float64, seed uint64) *homeFixture {
	h := &homeFixture{Group: NewGroup(TuningForWeight(weight)), now: epoch, rng: rand.New(rand.NewPCG(testkit.Seed, seed))}
	h.SetUpstreams(h.now, []string{"u0", "u1", "u2", "u3", "u4", "u5"})
	return h
}

func (h *homeFixture) observe(id string, kind Kind, latency time.Duration) bool {
	h.now = h.now.Add(10 * time.Millisecond)
	return h.Observe(h.now, Outcome{Upstream: id, Kind: kind, Latency: latency})
}

// latency draws a log-normal latency with a median of 50 ms times the factor.
func (h *homeFixture) latency(factor float64) time.Duration {
	return time.Duration(factor * 50e6 * math.Exp(0.3*h.rng.NormFloat64()))
}

// observeHealthy observes n successes of every upstream except the named one.
func (h *homeFixture) observeHealthy(n int, except string) {
	for range n {
		for i := range 6 {
			if id := fmt.Sprintf("u%d", i); id != except {
				h.observe(id, Success, h.latency(1))
			}
		}
	}
}

// injectFault observes n outcomes of a kind at u3 while its peers are healthy.
func (h *homeFixture) injectFault(n int, kind Kind, latency time.Duration) {
	for range n {
		h.observeHealthy(1, "u3")
		h.observe("u3", kind, latency)
	}
}

func (h *homeFixture) assessment(id string) Assessment {
	for _, a := range h.Assess(h.now) {
		if a.Upstream == id {
			return a
		}
	}
	return Assessment{}
}

func (h *homeFixture) unhealthyCount() int {
	bad := 0
	for _, a := range h.Assess(h.now) {
		if a.Condition != Healthy {
			bad++
		}
	}
	return bad
}

var _ = Describe("Group", func() {
	// Guards against detection that needs consecutive errors or a full interval.
	DescribeTable("detects a gray failure within a bounded number of outcomes",
		func(weight, failing, slowdown float64, maxOutcomes int) {
			h := newHome(weight, 1)
			h.observeHealthy(100, "")
			outcomes := 0
			for h.assessment("u3").Condition != Unhealthy {
				h.observeHealthy(1, "u3")
				kind := Success
				if h.rng.Float64() < failing {
					kind = Failure
				}
				h.observe("u3", kind, h.latency(slowdown))
				outcomes++
				Expect(outcomes).To(BeNumerically("<=", maxOutcomes))
			}
			Expect(h.unhealthyCount()).To(Equal(1))
		},
		Entry("all fail, fast detection", 0.8, 1.0, 1.0, 4),
		Entry("all fail, cautious detection", 0.3, 1.0, 1.0, 5),
		Entry("half fail", 0.8, 0.5, 1.0, 25),
		Entry("a fifth fail", 0.8, 0.2, 1.0, 80),
		Entry("three times slower", 0.8, 0.0, 3.0, 10),
		Entry("twice slower, cautious detection", 0.3, 0.0, 2.0, 25),
	)

	// Guards against marking upstreams as unhealthy in a fault of the whole service.
	DescribeTable("marks no upstream when all of them change equally",
		func(failing, slowdown float64) {
			for seed := range uint64(20) {
				h := newHome(0.8, seed)
				h.observeHealthy(100, "")
				for range 1000 {
					id := fmt.Sprintf("u%d", h.rng.IntN(6))
					kind := Success
					if h.rng.Float64() < failing {
						kind = Failure
					}
					if h.observe(id, kind, h.latency(slowdown)) {
						Expect(h.unhealthyCount()).To(BeZero(), "seed %d", seed)
					}
				}
				Expect(h.unhealthyCount()).To(BeZero(), "seed %d", seed)
			}
		},
		Entry("all requests fail", 1.0, 1.0), Entry("half of all requests fail", 0.5, 1.0),
		Entry("a tenth of all requests fail", 0.1, 1.0),
		Entry("five times slower", 0.0, 5.0), Entry("twice slower", 0.0, 2.0),
		Entry("failing and slower", 0.3, 3.0),
	)

	// Guards against ejections caused by misleading probes or load shedding.
	It("ignores probes, shed requests and crashes attributed to the request", func() {
		testkit.Check(GinkgoT(), func(t *rapid.T) {
			h := newHome(1, 2)
			kinds := rapid.SampledFrom([]Kind{ProbeSuccess, ProbeFailure, Shed, ConnectionLost})
			for range rapid.IntRange(0, 200).Draw(t, "outcomes") {
				h.now = h.now.Add(10 * time.Millisecond)
				h.Observe(h.now, Outcome{
					Upstream: rapid.SampledFrom([]string{"u0", "u1"}).Draw(t, "upstream"),
					Kind:     kinds.Draw(t, "kind"), RequestSuspected: true,
				})
			}
			if bad := h.unhealthyCount(); bad != 0 {
				t.Fatalf("%d upstreams marked unhealthy without request outcomes", bad)
			}
		})
	})

	It("keeps an upstream unhealthy when its probes succeed", func() {
		h := newHome(0.8, 3)
		h.observeHealthy(20, "")
		h.injectFault(6, Failure, 0)
		Expect(h.assessment("u3").Condition).To(Equal(Unhealthy))
		before := h.assessment("u3").Score
		for range 1000 {
			h.Observe(h.now, Outcome{Upstream: "u3", Kind: ProbeSuccess})
		}
		Expect(h.assessment("u3").Score).To(Equal(before))
	})

	// Guards against an upstream that stays demoted forever or recovers at once.
	It("returns an unhealthy upstream to healthy by successes or by time, with hysteresis", func() {
		h := newHome(0.8, 4)
		h.observeHealthy(20, "")
		h.injectFault(6, Failure, 0)
		for h.assessment("u3").Score >= 1 {
			h.observe("u3", Success, h.latency(1))
		}
		Expect(h.assessment("u3").Condition).To(Equal(Unhealthy), "hysteresis")
		for h.assessment("u3").Score >= clearScore {
			h.observe("u3", Success, h.latency(1))
		}
		Expect(h.assessment("u3").Condition).To(Equal(Healthy), "successes")
		h.injectFault(6, Failure, 0)
		Expect(h.assessment("u3").Condition).To(Equal(Unhealthy))
		h.now = h.now.Add(5 * time.Minute)
		Expect(h.assessment("u3").Condition).To(Equal(Healthy), "time")
	})

	It("resets the condition on Reset and detects a relapse sooner", func() {
		h := newHome(0.8, 5)
		h.observeHealthy(20, "")
		h.injectFault(10, Failure, 0)
		Expect(h.assessment("u3").Condition).To(Equal(Unhealthy))
		h.Reset(h.now, "u3")
		Expect(h.assessment("u3").Condition).To(Equal(Healthy))
		h.injectFault(3, Failure, 0)
		Expect(h.assessment("u3").Condition).To(Equal(Unhealthy))
	})

	It("ignores latency but not failures during warm-up", func() {
		h := newHome(0.8, 6)
		h.observeHealthy(50, "")
		h.SetWarmUp(h.now, "u3", h.now.Add(time.Hour))
		for range 50 {
			h.observe("u3", Success, h.latency(10))
		}
		Expect(h.assessment("u3").Condition).To(Equal(Healthy))
		h.injectFault(8, Failure, 0)
		Expect(h.assessment("u3").Condition).To(Equal(Unhealthy))
	})

	// Guards against counting one late request twice, and against delaying
	// detection until the end of a response that is already late.
	It("counts an overdue request once, while it is in flight", func() {
		h := newHome(0.8, 7)
		h.observeHealthy(50, "")
		Expect(h.OverdueAfter()).To(BeNumerically(">", 100*time.Millisecond))
		for range 6 { // one after another
			h.now = h.now.Add(h.OverdueAfter())
			h.injectFault(1, Overdue, h.OverdueAfter())
		}
		a := h.assessment("u3")
		Expect(a.Condition).To(Equal(Unhealthy))
		Expect(a.Reason).To(Equal(ReasonSlow))
		h.Observe(h.now, Outcome{Upstream: "u3", Kind: Success, Latency: time.Minute, WasOverdue: true})
		Expect(h.assessment("u3").Score).To(BeNumerically("<=", a.Score))
	})

	// Guards against one stall of about 200 ms counting once per request in flight.
	It("keeps an upstream healthy after one short stall", func() {
		h := newHome(1, 16)
		h.observeHealthy(50, "")
		for range 6 { // all were in flight when the upstream stalled
			h.Observe(h.now, Outcome{Upstream: "u3", Kind: Success, Latency: 400 * time.Millisecond})
		}
		Expect(h.assessment("u3").Condition).To(Equal(Healthy))
	})

	It("requests another dial until the path is classified, and while it is bad", func() {
		h := newHome(0.8, 17)
		h.observeHealthy(20, "")
		wanted := func() bool { _, wanted := h.Redial("u3"); return wanted }
		Expect(wanted()).To(BeFalse())
		h.injectFault(1, Unreachable, 0)
		Expect(wanted()).To(BeTrue())
		h.injectFault(3, Reachable, 0)
		Expect(wanted()).To(BeFalse())
		h.injectFault(3, Unreachable, 0)
		a := h.assessment("u3")
		Expect(a.Condition).To(Equal(PathBad))
		Expect(a.EvidenceDuration).To(BeNumerically(">", 0))
		Expect(wanted()).To(BeTrue())
		for range 30 { // once a second
			h.now = h.now.Add(time.Second)
			h.observe("u3", Reachable, 0)
			h.assessment("u3")
		}
		Expect(h.assessment("u3").Condition).To(Equal(Healthy))
		Expect(wanted()).To(BeFalse())
	})

	// Guards against a fleet-wide ejection caused by one daemon's bad path or by
	// one daemon's false reports.
	It("distinguishes a bad path from an unhealthy upstream by the reports of other homes", func() {
		h := newHome(0.8, 8)
		h.observeHealthy(20, "")
		h.injectFault(6, Unreachable, 0)
		Expect(h.assessment("u3").Condition).To(Equal(PathBad))
		h.Merge(h.now, "b", Summary{Reports: []Evidence{{Upstream: "u3", Score: 0.7}}})
		Expect(h.assessment("u3").Condition).To(Equal(PathBad), "some slowness elsewhere")
		h.Merge(h.now, "b", Summary{Reports: []Evidence{{Upstream: "u3", Path: 1}}})
		Expect(h.assessment("u3").Condition).To(Equal(Unhealthy))
		h.Merge(h.now, "c", Summary{Reports: []Evidence{{Upstream: "u3", Successes: 9, Score: 0.3}}})
		Expect(h.assessment("u3").Condition).To(Equal(PathBad))
	})

	It("classifies timeouts that no other home observes as a bad path", func() {
		h := newHome(0.8, 9)
		h.observeHealthy(20, "")
		h.Merge(h.now, "b", Summary{Reports: []Evidence{{Upstream: "u3", Successes: 9}}})
		h.injectFault(6, Timeout, 0)
		Expect(h.assessment("u3").Condition).To(Equal(PathBad))
	})

	It("requires local evidence or two homes for a remote report, which decays", func() {
		h := newHome(0.8, 10)
		unhealthyReport := Summary{Reports: []Evidence{{Upstream: "u3", Score: 2}}}
		h.Merge(h.now, "b", unhealthyReport)
		Expect(h.assessment("u3").Condition).To(Equal(Healthy), "one home alone")
		h.injectFault(2, Failure, 0)
		Expect(h.assessment("u3").Condition).To(Equal(Unhealthy), "one home and local evidence")

		h = newHome(0.8, 10)
		h.Merge(h.now, "b", unhealthyReport)
		h.Merge(h.now, "c", unhealthyReport)
		Expect(h.assessment("u3").Condition).To(Equal(Unhealthy), "two homes")
		h.now = h.now.Add(time.Minute)
		Expect(h.assessment("u3").Condition).To(Equal(Healthy), "decayed")

		h = newHome(0.8, 10)
		h.observeHealthy(20, "")
		h.Merge(h.now, "b", unhealthyReport)
		h.Merge(h.now, "c", unhealthyReport)
		Expect(h.assessment("u3").Condition).To(Equal(Healthy), "contradicted by local successes")
	})

	// Guards against marking a healthy upstream as unhealthy because small evidence
	// from each of many homes adds up.
	It("ignores the usual noise of many homes", func() {
		h := newHome(0.8, 18)
		h.observeHealthy(20, "")
		for i := range 35 {
			h.Merge(h.now, fmt.Sprint(i), Summary{Reports: []Evidence{{Upstream: "u3", Score: 0.2}}})
		}
		h.injectFault(1, Failure, 0)
		Expect(h.assessment("u3").Condition).To(Equal(Healthy))
	})

	It("keeps scores finite for any input", func() {
		testkit.Check(GinkgoT(), func(t *rapid.T) {
			h := newHome(rapid.Float64().Draw(t, "weight"), 11)
			for range rapid.IntRange(0, 100).Draw(t, "steps") {
				h.now = h.now.Add(time.Duration(rapid.Int64Range(-1e9, 1e11).Draw(t, "step")))
				h.Observe(h.now, Outcome{
					Upstream: rapid.SampledFrom([]string{"u0", "u1", "new"}).Draw(t, "upstream"),
					Kind:     Kind(rapid.Uint8Range(0, 12).Draw(t, "kind")),
					Latency:  time.Duration(rapid.Int64().Draw(t, "latency")),
				})
				h.Merge(h.now, rapid.SampledFrom([]string{"b", "c"}).Draw(t, "home"), Summary{Reports: []Evidence{{
					Upstream: "u0", Score: rapid.Float32().Draw(t, "score"),
					Path: float32(math.NaN()), Successes: rapid.Float32().Draw(t, "successes"),
				}}})
			}
			for _, a := range h.Assess(h.now) {
				if math.IsNaN(a.Score) || math.IsInf(a.Score, 0) || a.Score < 0 {
					t.Fatalf("score %v", a.Score)
				}
			}
		})
	})

	// Differential test of the recursion against the definition of the CUSUM: the
	// largest sum of log-likelihood ratios over all possible change points.
	It("agrees with a detector that keeps the whole history", func() {
		testkit.Check(GinkgoT(), func(t *rapid.T) {
			h := newHome(0, 12)
			failed := rapid.SliceOfN(rapid.Bool(), 1, 100).Draw(t, "failed")
			for i, f := range failed {
				kind := Success
				if f {
					kind = Failure
				}
				h.Observe(h.now, Outcome{Upstream: "u0", Kind: kind, Latency: time.Millisecond})
				want := naiveScore(failed[:i+1])
				got, _ := h.byID["u0"].strongest()
				if want < maxScore*h.tuning.Threshold && math.Abs(got-want) > 1e-9 {
					t.Fatalf("after %d outcomes: %v, want %v", i+1, got, want)
				}
				if want >= maxScore*h.tuning.Threshold {
					return // the recursion is capped from here on
				}
			}
		})
	})

	It("observes without allocating", func() {
		h := newHome(0.8, 13)
		h.observeHealthy(50, "")
		i := 0
		Expect(testing.AllocsPerRun(1000, func() {
			i++
			h.Observe(h.now, Outcome{Upstream: "u3", Kind: Kind(i % 8), Latency: 50 * time.Millisecond})
		})).To(BeZero())
	})
})

// naiveScore returns the largest sum of ratios over all possible change points.
func naiveScore(failed []bool) float64 {
	largest := 0.0
	for _, share := range failureShares {
		alternative := minFailureShare + (1-minFailureShare)*share
		for start := range failed {
			sum := 0.0
			for _, f := range failed[start:] {
				if f {
					sum += math.Log(alternative / minFailureShare)
				} else {
					sum += math.Log((1 - alternative) / (1 - minFailureShare))
				}
			}
			largest = max(largest, sum)
		}
	}
	return largest
}

var _ = Describe("TuningForWeight", func() {
	It("maps the weight to a rising target rate and a falling threshold", func() {
		Expect(TuningForWeight(0).FalseAlarmRate).To(BeNumerically("~", 1e-9, 1e-15))
		Expect(TuningForWeight(1).FalseAlarmRate).To(BeNumerically("~", 1e-6, 1e-12))
		Expect(TuningForWeight(0.3).Threshold).To(BeNumerically(">", TuningForWeight(0.8).Threshold))
		Expect(TuningForWeight(math.NaN())).To(Equal(TuningForWeight(0)))
		Expect(TuningForWeight(7)).To(Equal(TuningForWeight(1)))
	})
})

func BenchmarkObserve(b *testing.B) {
	h := newHome(0.8, 14)
	h.observeHealthy(50, "")
	ids := []string{"u0", "u1", "u2", "u3", "u4", "u5"}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		h.Observe(h.now, Outcome{Upstream: ids[i%6], Kind: Success, Latency: 50 * time.Millisecond})
	}
}

func BenchmarkAssess(b *testing.B) {
	h := newHome(0.8, 15)
	h.observeHealthy(50, "")
	b.ReportAllocs()
	for b.Loop() {
		h.Assess(h.now)
	}
}
