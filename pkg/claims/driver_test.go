package claims

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"shallotglade/pkg/platform/memstore"
	"shallotglade/pkg/verdict"
)

var _ = Describe("ledger", func() {
	objectCount := func(l *ledger) (n int) {
		l.mu.Lock()
		defer l.mu.Unlock()
		return len(l.drivers)
	}

	// Guards against memory that grows with the number of keys used so far.
	It("keeps a bounded number of objects in memory", func(ctx SpecContext) {
		store := memstore.New()
		config, err := Config{Store: store}.withDefaults(0)
		Expect(err).NotTo(HaveOccurred())
		l := newLedger(config, layout{maxCachedEntries: 10 * (objectEntryCost + 1), path: func(_ string, key digest) string { return fmt.Sprint(key) }})
		claimAndForget := func(ctx context.Context, i int) error {
			key, attempt := Key{Service: "s", Key: fmt.Sprint(i)}, Attempt{ID: NewAttemptID()}
			if _, err := l.Claim(ctx, key, attempt); err != nil {
				return err
			}
			return l.RecordOutcome(ctx, key, attempt, Outcome{Verdict: verdict.MayHaveRun})
		}
		for i := range 100 {
			Expect(claimAndForget(ctx, i)).To(Succeed())
		}
		Eventually(objectCount).WithArguments(l).WithTimeout(time.Minute).Should(BeNumerically("<=", 10))
		store.SetFaults(memstore.Faults{Down: true})
		before := objectCount(l)
		for i := range 100 {
			Expect(claimAndForget(ctx, 1000+i)).To(MatchError(ErrUnavailable))
		}
		Eventually(objectCount).WithArguments(l).WithTimeout(time.Minute).Should(BeNumerically("<=", before))
	})
})
