package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"shallotglade/internal/testkit"
	"shallotglade/pkg/retry"
	"shallotglade/pkg/verdict"
)

var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func TestRetry(t *testing.T) { testkit.RunSpecs(t, "retry") }

var _ = Describe("Budget", func() {
	fullBudget := func() *retry.Budget {
		b := retry.NewBudget(retry.DefaultPolicy())
		for range 100 {
			b.RecordRequest(epoch)
		}
		return b
	}

	// Guards against a non-idempotent request running twice.
	DescribeTable("decides on a retry", func(change func(*retry.Attempt), reason retry.Reason, wantRetry bool) {
		a := retry.Attempt{Verdict: verdict.MayHaveRun, Idempotent: true, Attempts: 1, TimeLeft: time.Second}
		change(&a)
		Expect(fullBudget().Decide(epoch, a)).To(Equal(retry.Decision{Retry: wantRetry, Reason: reason}))
	},
		Entry("idempotent", func(*retry.Attempt) {}, retry.Idempotent, true),
		Entry("may have run", func(a *retry.Attempt) { a.Idempotent = false }, retry.MayHaveRun, false),
		Entry("not run", func(a *retry.Attempt) { a.Idempotent, a.Verdict = false, verdict.NotRun }, retry.NotRun, true),
		Entry("not run after an attempt that may have run", func(a *retry.Attempt) {
			a.Idempotent, a.Verdict, a.EarlierMayHaveRun = false, verdict.NotRun, true
		}, retry.MayHaveRun, false),
		Entry("suspect", func(a *retry.Attempt) { a.Suspect = true }, retry.Suspected, false),
		Entry("third attempt", func(a *retry.Attempt) { a.Attempts = 3 }, retry.TooManyAttempts, false),
		Entry("too little time left", func(a *retry.Attempt) { a.TimeLeft = 24 * time.Millisecond }, retry.NoTime, false),
	)

	It("starts empty and saves at most the burst", func() {
		Expect(retry.NewBudget(retry.DefaultPolicy()).Available(epoch)).To(BeZero())
		b := fullBudget()
		for range 1000 {
			b.RecordRequest(epoch)
		}
		Expect(b.Available(epoch)).To(Equal(retry.DefaultBurst))
	})
})

// decider is implemented by Budget and by unlimited.
type decider interface {
	RecordRequest(time.Time)
	Decide(time.Time, retry.Attempt) retry.Decision
}

// unlimited retries every retryable request, up to three attempts.
type unlimited struct{}

func (unlimited) RecordRequest(time.Time) {}
func (unlimited) Decide(_ time.Time, a retry.Attempt) retry.Decision {
	return retry.Decision{Retry: a.Attempts < 3 && (a.Idempotent || a.Verdict == verdict.NotRun)}
}

var _ = Describe("Budget over many requests", func() {
	// simulate sends requests, some of which fail, and counts the attempts.
	simulate := func(t *rapid.T, d decider, requests int) (attempts int, ranTwice bool) {
		failureRate := float64(rapid.IntRange(0, 100).Draw(t, "failure rate")) / 100
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		for i := range requests {
			d.RecordRequest(epoch)
			idempotent, mayHaveRun := rng.IntN(2) == 0, false
			for n := 1; ; n++ {
				attempts++
				if i < requests/4 || rng.Float64() >= failureRate {
					break // success
				}
				v := verdict.Verdict(rng.IntN(3))
				a := retry.Attempt{Verdict: v, Idempotent: idempotent, Attempts: n, EarlierMayHaveRun: mayHaveRun, TimeLeft: time.Second}
				mayHaveRun = mayHaveRun || v != verdict.NotRun
				if !d.Decide(epoch, a).Retry {
					break
				}
				ranTwice = ranTwice || (mayHaveRun && !idempotent)
			}
		}
		return attempts, ranTwice
	}

	// Guards against a retry storm and against a non-idempotent request running twice.
	It("adds at most 10% to the load at any failure rate", func() {
		storms := 0
		testkit.Check(GinkgoT(), func(t *rapid.T) {
			n := rapid.IntRange(1, 2000).Draw(t, "requests")
			attempts, ranTwice := simulate(t, retry.NewBudget(retry.DefaultPolicy()), n)
			if float64(attempts) > 1.1*float64(n) || ranTwice {
				t.Fatalf("%d attempts for %d requests, run twice: %v", attempts, n, ranTwice)
			}
			if attempts, _ = simulate(t, unlimited{}, n); float64(attempts) > 1.1*float64(n) {
				storms++
			}
		})
		Expect(storms).To(BeNumerically(">", 30), "unlimited retries should exceed the bound")
	})
})
