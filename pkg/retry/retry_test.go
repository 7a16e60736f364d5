package retry_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"shallotglade/internal/testkit"
	"shallotglade/pkg/retry"
	"shallotglade/pkg/verdict"
)

func TestRetry(t *testing.T) { testkit.RunSpecs(t, "retry") }

var _ = Describe("Budget", func() {
	full := func() *retry.Budget {
		b := retry.NewBudget(retry.DefaultPolicy())
		for range 100 {
			b.Request()
		}
		return b
	}

	// Guards against a non-idempotent request running twice.
	DescribeTable("decides", func(change func(*retry.Attempt), reason retry.Reason, again bool) {
		a := retry.Attempt{Verdict: verdict.MayHaveRun, Idempotent: true, Attempts: 1, TimeLeft: time.Second}
		change(&a)
		Expect(full().Decide(a)).To(Equal(retry.Decision{Retry: again, Reason: reason}))
	},
		Entry("idempotent", func(*retry.Attempt) {}, retry.Idempotent, true),
		Entry("may have run", func(a *retry.Attempt) { a.Idempotent = false }, retry.MayHaveRun, false),
		Entry("not run", func(a *retry.Attempt) { a.Idempotent, a.Verdict = false, verdict.NotRun }, retry.NotRun, true),
		Entry("not run after an attempt that may have", func(a *retry.Attempt) {
			a.Idempotent, a.Verdict, a.EarlierMayHaveRun = false, verdict.NotRun, true
		}, retry.MayHaveRun, false),
		Entry("suspect", func(a *retry.Attempt) { a.Suspect = true }, retry.Suspected, false),
		Entry("third attempt", func(a *retry.Attempt) { a.Attempts = 3 }, retry.TooManyAttempts, false),
		Entry("late", func(a *retry.Attempt) { a.TimeLeft = 24 * time.Millisecond }, retry.NoTime, false),
	)

	It("is empty at first and saves no more than the burst", func() {
		Expect(retry.NewBudget(retry.DefaultPolicy()).Available()).To(BeZero())
		b := full()
		for range 1000 {
			b.Request()
		}
		Expect(b.Available()).To(Equal(retry.DefaultBurst))
	})
})
