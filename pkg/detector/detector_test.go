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

// home drives one Group with six upstreams, each outcome 10 ms after the last.
type home struct {
	*Group
	now time.Time
	rng *rand.Rand
}

func newHome(weight float64, seed uint64) *home {
	h := &home{Group: NewGroup(TuningFor(weight)), now: epoch, rng: rand.New(rand.NewPCG(testkit.Seed, seed))}
	h.Retain(h.now, []string{"u0", "u1", "u2", "u3", "u4", "u5"})
	return h
}

func (h *home) observe(id string, kind Kind, latency time.Duration) bool {
	h.now = h.now.Add(10 * time.Millisecond)
	return h.Observe(h.now, Outcome{Upstream: id, Kind: kind, Latency: latency})
}

// latency is log-normal around 50 ms.
func (h *home) latency(factor float64) time.Duration {
	return time.Duration(factor * 50e6 * math.Exp(0.3*h.rng.NormFloat64()))
}

// healthyWork gives every upstream but the named one n good outcomes.
func (h *home) healthyWork(n int, except string) {
	for range n {
		for i := range 6 {
			if id := fmt.Sprintf("u%d", i); id != except {
				h.observe(id, Success, h.latency(1))
			}
		}
	}
}

// fault gives u3 n outcomes of a kind while its peers work.
func (h *home) fault(n int, kind Kind, latency time.Duration) {
	for range n {
		h.healthyWork(1, "u3")
		h.observe("u3", kind, latency)
	}
}

func (h *home) of(id string) Assessment {
	for _, a := range h.Assess(h.now) {
		if a.Upstream == id {
			return a
		}
	}
	return Assessment{}
}

func (h *home) bad() int {
	bad := 0
	for _, a := range h.Assess(h.now) {
		if a.Condition != Healthy {
			bad++
		}
	}
	return bad
}

var _ = Describe("Group", func() {
	// Guards against detection that needs a run of errors or a full interval.
	DescribeTable("finds a gray failure within a bounded number of outcomes",
		func(weight, failing, slowdown float64, most int) {
			h := newHome(weight, 1)
			h.healthyWork(100, "")
			outcomes := 0
			for h.of("u3").Condition != Sick {
				h.healthyWork(1, "u3")
				kind := Success
				if h.rng.Float64() < failing {
					kind = Failure
				}
				h.observe("u3", kind, h.latency(slowdown))
				outcomes++
				Expect(outcomes).To(BeNumerically("<=", most))
			}
			Expect(h.bad()).To(Equal(1))
		},
		Entry("dead, fast", 0.8, 1.0, 1.0, 4),
		Entry("dead, cautious", 0.3, 1.0, 1.0, 5),
		Entry("half fails", 0.8, 0.5, 1.0, 25),
		Entry("a fifth fails", 0.8, 0.2, 1.0, 80),
		Entry("three times slower", 0.8, 0.0, 3.0, 10),
		Entry("twice slower, cautious", 0.3, 0.0, 2.0, 25),
	)

	// Guards against blaming upstreams for a fault of the whole service.
	DescribeTable("blames nobody when every upstream changes alike",
		func(failing, slowdown float64) {
			for seed := range uint64(20) {
				h := newHome(0.8, seed)
				h.healthyWork(100, "")
				for range 1000 {
					id := fmt.Sprintf("u%d", h.rng.IntN(6))
					kind := Success
					if h.rng.Float64() < failing {
						kind = Failure
					}
					if h.observe(id, kind, h.latency(slowdown)) {
						Expect(h.bad()).To(BeZero(), "seed %d", seed)
					}
				}
				Expect(h.bad()).To(BeZero(), "seed %d", seed)
			}
		},
		Entry("all fail", 1.0, 1.0), Entry("half of all work fails", 0.5, 1.0),
		Entry("a tenth of all work fails", 0.1, 1.0),
		Entry("five times slower", 0.0, 5.0), Entry("twice slower", 0.0, 2.0),
		Entry("failing and slower", 0.3, 3.0),
	)

	// Guards against ejections caused by misleading probes or load shedding.
	It("never judges by probes, sheds or withheld crashes", func() {
		testkit.Check(GinkgoT(), func(t *rapid.T) {
			h := newHome(1, 2)
			kinds := rapid.SampledFrom([]Kind{ProbeSuccess, ProbeFailure, Shed, Crash})
			for range rapid.IntRange(0, 200).Draw(t, "outcomes") {
				h.now = h.now.Add(10 * time.Millisecond)
				h.Observe(h.now, Outcome{
					Upstream: rapid.SampledFrom([]string{"u0", "u1"}).Draw(t, "upstream"),
					Kind:     kinds.Draw(t, "kind"), BlameWithheld: true,
				})
			}
			if bad := h.bad(); bad != 0 {
				t.Fatalf("%d upstreams judged without real work", bad)
			}
		})
	})

	It("keeps an upstream sick whose probes succeed", func() {
		h := newHome(0.8, 3)
		h.healthyWork(20, "")
		h.fault(6, Failure, 0)
		Expect(h.of("u3").Condition).To(Equal(Sick))
		before := h.of("u3").Score
		for range 1000 {
			h.Observe(h.now, Outcome{Upstream: "u3", Kind: ProbeSuccess})
		}
		Expect(h.of("u3").Score).To(Equal(before))
	})

	// Guards against an upstream staying demoted for good, or cleared at once.
	It("clears a sick upstream by good work or by time, with hysteresis", func() {
		h := newHome(0.8, 4)
		h.healthyWork(20, "")
		h.fault(6, Failure, 0)
		for h.of("u3").Score >= 1 {
			h.observe("u3", Success, h.latency(1))
		}
		Expect(h.of("u3").Condition).To(Equal(Sick), "hysteresis")
		for h.of("u3").Score >= clearScore {
			h.observe("u3", Success, h.latency(1))
		}
		Expect(h.of("u3").Condition).To(Equal(Healthy), "good work")
		h.fault(6, Failure, 0)
		Expect(h.of("u3").Condition).To(Equal(Sick))
		h.now = h.now.Add(5 * time.Minute)
		Expect(h.of("u3").Condition).To(Equal(Healthy), "time")
	})

	It("judges anew after Restart and finds a relapse sooner", func() {
		h := newHome(0.8, 5)
		h.healthyWork(20, "")
		h.fault(10, Failure, 0)
		Expect(h.of("u3").Condition).To(Equal(Sick))
		h.Restart(h.now, "u3")
		Expect(h.of("u3").Condition).To(Equal(Healthy))
		h.fault(3, Failure, 0)
		Expect(h.of("u3").Condition).To(Equal(Sick))
	})

	It("ignores the latency of a cold start but not its failures", func() {
		h := newHome(0.8, 6)
		h.healthyWork(50, "")
		h.SetWarmUp(h.now, "u3", h.now.Add(time.Hour))
		for range 50 {
			h.observe("u3", Success, h.latency(10))
		}
		Expect(h.of("u3").Condition).To(Equal(Healthy))
		h.fault(8, Failure, 0)
		Expect(h.of("u3").Condition).To(Equal(Sick))
	})

	// Guards against counting one late request twice, and against waiting for
	// the end of a response that is already known to be late.
	It("counts an overdue request once, while it is in flight", func() {
		h := newHome(0.8, 7)
		h.healthyWork(50, "")
		Expect(h.OverdueAfter()).To(BeNumerically(">", 100*time.Millisecond))
		for range 6 { // one after another
			h.now = h.now.Add(h.OverdueAfter())
			h.fault(1, Overdue, h.OverdueAfter())
		}
		a := h.of("u3")
		Expect(a.Condition).To(Equal(Sick))
		Expect(a.Reason).To(Equal(ReasonSlow))
		h.Observe(h.now, Outcome{Upstream: "u3", Kind: Success, Latency: time.Minute, WasOverdue: true})
		Expect(h.of("u3").Score).To(BeNumerically("<=", a.Score))
	})

	// Guards against one stall of some 200 ms counting once per request in flight.
	It("does not blame an upstream for one short stall", func() {
		h := newHome(1, 16)
		h.healthyWork(50, "")
		for range 6 { // all were in flight when the upstream stalled
			h.Observe(h.now, Outcome{Upstream: "u3", Kind: Success, Latency: 400 * time.Millisecond})
		}
		Expect(h.of("u3").Condition).To(Equal(Healthy))
	})

	It("asks for another dial until the path is settled, and while it is bad", func() {
		h := newHome(0.8, 17)
		h.healthyWork(20, "")
		wanted := func() bool { _, wanted := h.Redial("u3"); return wanted }
		Expect(wanted()).To(BeFalse())
		h.fault(1, Unreachable, 0)
		Expect(wanted()).To(BeTrue())
		h.fault(3, Reachable, 0)
		Expect(wanted()).To(BeFalse())
		h.fault(3, Unreachable, 0)
		a := h.of("u3")
		Expect(a.Condition).To(Equal(PathBad))
		Expect(a.Lasting).To(BeNumerically(">", 0))
		Expect(wanted()).To(BeTrue())
		for range 30 { // once a second
			h.now = h.now.Add(time.Second)
			h.observe("u3", Reachable, 0)
			h.of("u3")
		}
		Expect(h.of("u3").Condition).To(Equal(Healthy))
		Expect(wanted()).To(BeFalse())
	})

	// Guards against a daemon's bad path or a lying daemon ejecting for all.
	It("tells a bad path from a sick upstream by the other homes", func() {
		h := newHome(0.8, 8)
		h.healthyWork(20, "")
		h.fault(6, Unreachable, 0)
		Expect(h.of("u3").Condition).To(Equal(PathBad))
		h.Merge(h.now, "b", Summary{Reports: []Evidence{{Upstream: "u3", Score: 0.7}}})
		Expect(h.of("u3").Condition).To(Equal(PathBad), "some slowness elsewhere")
		h.Merge(h.now, "b", Summary{Reports: []Evidence{{Upstream: "u3", Path: 1}}})
		Expect(h.of("u3").Condition).To(Equal(Sick))
		h.Merge(h.now, "c", Summary{Reports: []Evidence{{Upstream: "u3", Successes: 9, Score: 0.3}}})
		Expect(h.of("u3").Condition).To(Equal(PathBad))
	})

	It("takes time-outs that no other home sees for a bad path", func() {
		h := newHome(0.8, 9)
		h.healthyWork(20, "")
		h.Merge(h.now, "b", Summary{Reports: []Evidence{{Upstream: "u3", Successes: 9}}})
		h.fault(6, Timeout, 0)
		Expect(h.of("u3").Condition).To(Equal(PathBad))
	})

	It("needs own evidence or two homes beside a summary, which fades", func() {
		h := newHome(0.8, 10)
		accuse := Summary{Reports: []Evidence{{Upstream: "u3", Score: 2}}}
		h.Merge(h.now, "b", accuse)
		Expect(h.of("u3").Condition).To(Equal(Healthy), "one home alone")
		h.fault(2, Failure, 0)
		Expect(h.of("u3").Condition).To(Equal(Sick), "one home and own evidence")

		h = newHome(0.8, 10)
		h.Merge(h.now, "b", accuse)
		h.Merge(h.now, "c", accuse)
		Expect(h.of("u3").Condition).To(Equal(Sick), "two homes")
		h.now = h.now.Add(time.Minute)
		Expect(h.of("u3").Condition).To(Equal(Healthy), "faded")

		h = newHome(0.8, 10)
		h.healthyWork(20, "")
		h.Merge(h.now, "b", accuse)
		h.Merge(h.now, "c", accuse)
		Expect(h.of("u3").Condition).To(Equal(Healthy), "contradicted by own work")
	})

	// Guards against the small evidence that a healthy upstream has at each of
	// many homes adding up to a judgement.
	It("ignores the usual noise of many homes", func() {
		h := newHome(0.8, 18)
		h.healthyWork(20, "")
		for i := range 35 {
			h.Merge(h.now, fmt.Sprint(i), Summary{Reports: []Evidence{{Upstream: "u3", Score: 0.2}}})
		}
		h.fault(1, Failure, 0)
		Expect(h.of("u3").Condition).To(Equal(Healthy))
	})

	It("stays finite whatever it is given", func() {
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

	// Differential test: the recursion against the definition of the CUSUM, the
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
		h.healthyWork(50, "")
		i := 0
		Expect(testing.AllocsPerRun(1000, func() {
			i++
			h.Observe(h.now, Outcome{Upstream: "u3", Kind: Kind(i % 8), Latency: 50 * time.Millisecond})
		})).To(BeZero())
	})
})

// naiveScore sums the ratios from every possible change point on.
func naiveScore(failed []bool) float64 {
	best := 0.0
	for _, share := range failureShares {
		alternative := minFailureShare + (1-minFailureShare)*share
		for from := range failed {
			sum := 0.0
			for _, f := range failed[from:] {
				if f {
					sum += math.Log(alternative / minFailureShare)
				} else {
					sum += math.Log((1 - alternative) / (1 - minFailureShare))
				}
			}
			best = max(best, sum)
		}
	}
	return best
}

var _ = Describe("TuningFor", func() {
	It("maps the weight to a rising target rate and a falling threshold", func() {
		Expect(TuningFor(0).FalseAlarms).To(BeNumerically("~", 1e-9, 1e-15))
		Expect(TuningFor(1).FalseAlarms).To(BeNumerically("~", 1e-6, 1e-12))
		Expect(TuningFor(0.3).Threshold).To(BeNumerically(">", TuningFor(0.8).Threshold))
		Expect(TuningFor(math.NaN())).To(Equal(TuningFor(0)))
		Expect(TuningFor(7)).To(Equal(TuningFor(1)))
	})
})

func BenchmarkObserve(b *testing.B) {
	h := newHome(0.8, 14)
	h.healthyWork(50, "")
	ids := []string{"u0", "u1", "u2", "u3", "u4", "u5"}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		h.Observe(h.now, Outcome{Upstream: ids[i%6], Kind: Success, Latency: 50 * time.Millisecond})
	}
}

func BenchmarkAssess(b *testing.B) {
	h := newHome(0.8, 15)
	h.healthyWork(50, "")
	b.ReportAllocs()
	for b.Loop() {
		h.Assess(h.now)
	}
}
