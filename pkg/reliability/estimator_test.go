package reliability_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"shallotglade/internal/testkit"
	"shallotglade/pkg/reliability"
)

func TestReliability(t *testing.T) { testkit.RunSpecs(t, "reliability") }

var start = time.Unix(1_000_000, 0)

// answer observes a success of the usual latency.
func answer(e *reliability.Estimator, at time.Time, id string) {
	e.Observe(at, reliability.Outcome{Upstream: id, Kind: reliability.Success, Latency: 100 * time.Millisecond, Route: "r"})
}

func fail(e *reliability.Estimator, at time.Time, id string, after time.Duration) {
	e.Observe(at, reliability.Outcome{Upstream: id, Kind: reliability.Failure, Latency: after, Route: "r"})
}

// settled returns an estimator that has seen ten answers of each upstream.
func settled(ids ...string) (*reliability.Estimator, time.Time) {
	e := reliability.New(reliability.DefaultModel())
	at := start
	for range 10 {
		for _, id := range ids {
			answer(e, at, id)
			at = at.Add(50 * time.Millisecond)
		}
	}
	return e, at
}

var _ = Describe("Estimator", func() {
	// Guards against a second order lost at an upstream that has just failed one
	// at once, and against one chance error that counts as much.
	It("doubts an upstream after one early failure, and less after a late one", func() {
		e, at := settled("early", "late", "fine")
		fail(e, at, "early", 2*time.Millisecond)
		fail(e, at, "late", 100*time.Millisecond)
		Expect(e.Failing(at, "early")).To(BeNumerically(">", 0.5))
		Expect(e.Failing(at, "late")).To(BeNumerically("<", e.Failing(at, "early")))
		Expect(e.Failing(at, "late")).To(BeNumerically(">", e.Failing(at, "fine")))
	})

	// Guards against an upstream that stays unused for ever after failures, and
	// against answers that are trusted for ever.
	It("forgets towards the long-run share", func() {
		e, at := settled("failed", "fine")
		for range 5 {
			fail(e, at, "failed", time.Millisecond)
		}
		later := at.Add(5 * time.Minute)
		Expect(e.Failing(later, "failed")).To(BeNumerically("~", e.Failing(later, "fine"), 0.01))
		Expect(e.Failing(later, "fine")).To(BeNumerically(">", e.Failing(at, "fine")))
	})

	// Guards against an answer to a request from before a fault that clears the
	// upstream of it.
	It("does not take an answer that began before a failure as recovery", func() {
		e, at := settled("u")
		fail(e, at, "u", time.Millisecond)
		doubt := e.Failing(at, "u")
		e.Observe(at.Add(time.Millisecond), reliability.Outcome{Upstream: "u", Kind: reliability.Success, Latency: 100 * time.Millisecond, Route: "r"})
		Expect(e.Failing(at.Add(time.Millisecond), "u")).To(BeNumerically("~", doubt, 0.01))
	})

	// Guards against a bad path of one home that keeps all homes from an upstream.
	It("takes lost connections for a sign of the path, which is not reported as the upstream's", func() {
		own, at := settled("u")
		other, _ := settled("u")
		finding := own.Observe(at, reliability.Outcome{Upstream: "u", Kind: reliability.Unreachable, Route: "r"})
		other.Merge(at, "u", finding)
		Expect(own.Failing(at, "u")).To(BeNumerically(">", 2*other.Failing(at, "u")))
	})

	// Guards against a daemon that starts as a home and sends its first requests
	// to upstreams that the other homes know to be failing.
	It("gives a home that starts what another knows, unless it knows something later", func() {
		known, at := settled("good", "bad")
		fail(known, at, "bad", time.Millisecond)
		fail(known, at, "bad", time.Millisecond)
		fresh := reliability.New(reliability.DefaultModel())
		fresh.Retain([]string{"good", "bad"})
		for _, s := range known.Snapshots(at) {
			fresh.Adopt(at, s)
		}
		for _, id := range []string{"good", "bad"} {
			Expect(fresh.Failing(at, id)).To(BeNumerically("~", known.Failing(at, id), 0.001))
		}
		later := at.Add(time.Second)
		fail(fresh, later, "good", time.Millisecond)
		doubt := fresh.Failing(later, "good")
		for _, s := range known.Snapshots(later) {
			fresh.Adopt(later, s)
		}
		Expect(fresh.Failing(later, "good")).To(Equal(doubt))
	})

	// Guards against a quick route's requests that are called overdue by the
	// latency of a slow one.
	It("keeps latencies by route", func() {
		e := reliability.New(reliability.DefaultModel())
		for i := range 64 {
			at := start.Add(time.Duration(i) * 10 * time.Millisecond)
			e.Observe(at, reliability.Outcome{Upstream: "u", Kind: reliability.Success, Latency: 20 * time.Millisecond, Route: "quick"})
			e.Observe(at, reliability.Outcome{Upstream: "u", Kind: reliability.Success, Latency: 2 * time.Second, Route: "slow"})
		}
		Expect(e.Median("quick")).To(BeNumerically("~", 20*time.Millisecond, time.Millisecond))
		Expect(e.Median("slow")).To(BeNumerically("~", 2*time.Second, 10*time.Millisecond))
		Expect(e.OverdueAfter("slow")).To(BeNumerically(">", 10*e.OverdueAfter("quick")))
		Expect(e.OverdueAfter("never used")).To(BeZero())
	})

	// Guards against a choice that does no better than chance: over random spells
	// of failing upstreams, the least doubted one must fail far less often than
	// one chosen blindly.
	It("finds upstreams that work", func() {
		testkit.Check(GinkgoT(), func(t *rapid.T) {
			rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
			n := rapid.IntRange(6, 24).Draw(t, "upstreams")
			e := reliability.New(reliability.DefaultModel())
			until := make([]time.Time, n)
			sick := make([]bool, n)
			ids := make([]string, n)
			for i := range ids {
				ids[i] = fmt.Sprint(i)
				sick[i] = rng.Float64() < 0.3
				until[i] = start
			}
			const requests = 1200
			chosen, blind := 0, 0
			at := start
			for r := range requests {
				at = at.Add(25 * time.Millisecond)
				best := 0
				for i := range ids {
					for !until[i].After(at) {
						sick[i] = !sick[i]
						mean := 19.0
						if sick[i] {
							mean = 8
						}
						until[i] = until[i].Add(time.Duration(mean * rng.ExpFloat64() * float64(time.Second)))
					}
					if e.Failing(at, ids[i]) < e.Failing(at, ids[best]) {
						best = i
					}
				}
				share := 0.012
				if sick[best] {
					share = 0.85
				}
				if rng.Float64() < share {
					fail(e, at, ids[best], 3*time.Millisecond)
					chosen++
				} else {
					answer(e, at, ids[best])
				}
				if i := r % n; sick[i] && rng.Float64() < 0.85 {
					blind++
				}
			}
			if chosen > blind/2 {
				t.Fatalf("%d of %d failed, blindly %d", chosen, requests, blind)
			}
		})
	})
})
