package retry_test

import (
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"shallotglade/internal/testkit"
	"shallotglade/pkg/retry"
	"shallotglade/pkg/verdict"
)

var _ = Describe("Budget of a sliding span", func() {
	const (
		span      = 10 * time.Second
		ratio     = 0.2
		allowance = 56.0
		homes     = 3
	)
	policy := func() retry.Policy {
		p := retry.DefaultPolicy()
		p.Ratio, p.Window, p.Allowance = ratio, span, 0.8*allowance/homes
		return p
	}
	again := retry.Attempt{Verdict: verdict.MayHaveRun, Idempotent: true, Attempts: 1, MaxAttempts: 10, TimeLeft: time.Second}

	// checkSpans compares the repeats of each span with what the users allow.
	checkSpans := func(t *rapid.T, requests, repeats []time.Duration) {
		within := func(list []time.Duration, from time.Duration) (n int) {
			for _, x := range list {
				if x >= from && x < from+span {
					n++
				}
			}
			return n
		}
		for from := time.Duration(0); from < 50*time.Second; from += 250 * time.Millisecond {
			most := max(within(requests, from), within(requests, from-span), within(requests, from-span/2))
			if n := within(repeats, from); float64(n) > ratio*float64(most)+allowance {
				t.Fatalf("%d repeats from %v for %d requests", n, from, most)
			}
		}
	}

	// Guards against more repeated attempts in some span than the users allow, over
	// all homes together and whatever the load does: saved-up retries would allow a
	// second span's worth at its start.
	It("is kept in every span by all homes together", func() {
		testkit.Check(GinkgoT(), func(t *rapid.T) {
			rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
			budgets := make([]*retry.Budget, homes)
			for i := range budgets {
				budgets[i] = retry.NewBudget(policy())
			}
			var requests, repeats []time.Duration
			rate := 100.0
			for at := time.Duration(0); at < time.Minute; {
				if rng.IntN(200) == 0 {
					rate = rapid.SampledFrom([]float64{1, 20, 100, 400}).Draw(t, "rate")
				}
				at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
				now := epoch.Add(at)
				b := budgets[rng.IntN(homes)]
				b.Request(now)
				requests = append(requests, at)
				for range rng.IntN(4) {
					if b.Decide(now, again).Retry {
						repeats = append(repeats, at)
					}
				}
			}
			checkSpans(t, requests, repeats)
		})
	})

	// Guards against an allowance that is spent by the homes before and by those that
	// take over, whichever daemons they are and however often they change: after a
	// change of all homes 206 attempts were repeated where 185 were allowed.
	It("is kept in every span when homes change and hand over", func() {
		testkit.Check(GinkgoT(), func(t *rapid.T) {
			const daemons = 8
			rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
			budgets := make([]*retry.Budget, daemons)
			for i := range budgets {
				budgets[i] = retry.NewBudget(retry.Policy{Ratio: ratio, Window: span, MaxAttempts: 10})
			}
			placed := []int{}
			place := func(now time.Time, next []int) {
				for _, i := range placed {
					if slices.Contains(next, i) {
						continue
					}
					h := budgets[i].HandOver(now, len(next), rng.IntN(5))
					for _, j := range next {
						budgets[j].TakeOver(now, h)
					}
				}
				for i, b := range budgets {
					p := policy()
					p.Allowance = 0
					if slices.Contains(next, i) {
						p.Allowance = 0.8 * allowance / float64(len(next))
					}
					b.SetPolicy(now, p)
				}
				placed = next
			}
			place(epoch.Add(-span), []int{0, 1, 2})
			var requests, repeats []time.Duration
			rate := 100.0
			for at := time.Duration(0); at < time.Minute; {
				if rng.IntN(200) == 0 {
					rate = rapid.SampledFrom([]float64{1, 20, 100, 400}).Draw(t, "rate")
				}
				at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
				now := epoch.Add(at)
				if rng.IntN(400) == 0 {
					place(now, rng.Perm(daemons)[:1+rng.IntN(4)])
				}
				b := budgets[placed[rng.IntN(len(placed))]]
				b.Request(now)
				requests = append(requests, at)
				for range rng.IntN(4) {
					if b.Decide(now, again).Retry {
						repeats = append(repeats, at)
					}
				}
			}
			checkSpans(t, requests, repeats)
		})
	})

	// Guards against a span whose repeats are paid by requests before and within it,
	// when the users count only one or the other: two short bursts 9 s apart paid for
	// 244 repeats in 10 s where 156 are allowed.
	It("is kept between two bursts", func() {
		const burst = 500
		p := policy()
		p.Allowance = 0.8 * allowance
		b := retry.NewBudget(p)
		repeats := 0
		for _, at := range []time.Duration{8 * time.Second, 17 * time.Second} {
			now := epoch.Add(at)
			for range burst {
				b.Request(now)
			}
			for at > span && b.Decide(now, again).Retry {
				repeats++
			}
		}
		Expect(repeats).To(BeNumerically("<=", ratio*burst+allowance))
		Expect(repeats).To(BeNumerically(">=", int(ratio*burst+p.Allowance)))
	})

	// Guards against requests that count for longer than the span: at 300 a second half
	// a second more pays for 30 repeats too many, and a service got 783 where 777 were
	// allowed.
	It("is kept exactly at a high rate", func() {
		p := policy()
		p.Allowance = allowance
		b := retry.NewBudget(p)
		const rate = 300
		var repeats []time.Duration
		for i := range 40 * rate {
			at := time.Duration(i) * time.Second / rate
			b.Request(epoch.Add(at))
			for at >= span && b.Decide(epoch.Add(at), again).Retry {
				repeats = append(repeats, at)
			}
		}
		for from := time.Duration(0); from < 30*time.Second; from += 50 * time.Millisecond {
			n := 0
			for _, at := range repeats {
				if at >= from && at < from+span {
					n++
				}
			}
			Expect(float64(n)).To(BeNumerically("<=", ratio*rate*span.Seconds()+allowance), "from %v", from)
		}
	})

	// Guards against a budget that stays spent, and against one that a clock that
	// goes back gives away twice.
	It("comes back after the span, and not by a clock that goes back", func() {
		b := retry.NewBudget(policy())
		spend := func(now time.Time) (n int) {
			for b.Decide(now, again).Retry {
				n++
			}
			return n
		}
		first := spend(epoch)
		Expect(first).To(BeNumerically(">", 0))
		Expect(b.Scarce(epoch)).To(BeTrue())
		Expect(spend(epoch.Add(span / 2))).To(BeZero())
		Expect(spend(epoch.Add(-time.Second))).To(BeZero())
		Expect(spend(epoch.Add(span + time.Second))).To(Equal(first))
	})

	// Guards against requests that no longer pay for repeats, because a goroutine took the
	// time just before a part of the span began and another one was faster.
	It("keeps what it counted when a time comes late", func() {
		const before, requests = 500, 250
		spend := func(late time.Duration) (n int) {
			b := retry.NewBudget(policy())
			for i := range before {
				b.Request(epoch.Add(time.Duration(i) * span / before))
			}
			for range requests {
				b.Request(epoch.Add(span))
			}
			for b.Decide(epoch.Add(span-late), again).Retry {
				n++
			}
			return n
		}
		Expect(spend(time.Millisecond)).To(Equal(spend(0)))
	})

	// Guards against repeats of one span that are paid for twice, since the time of day
	// has jumped forward and the first ones seem to have left the span.
	It("is not given away twice by a time of day that jumps", func() {
		b := retry.NewBudget(policy())
		spend := func(now time.Time) (n int) {
			for b.Decide(now, again).Retry {
				n++
			}
			return n
		}
		now := time.Now()
		Expect(spend(now)).To(BeNumerically(">", 0))
		for _, jump := range []time.Duration{span / 2, 2 * span, time.Hour, -span, -time.Hour} {
			jumped := testkit.JumpTimeOfDay(now.Add(time.Second), jump)
			Expect(jumped.Sub(now)).To(Equal(time.Second))
			Expect(jumped.Round(0).Sub(now.Round(0))).To(Equal(time.Second + jump))
			Expect(spend(jumped)).To(BeZero(), "jump of %v", jump)
		}
	})
})
