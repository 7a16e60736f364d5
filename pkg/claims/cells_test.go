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

var _ = Describe("cells", func() {
	held := func(l *cells) (n int) {
		l.mu.Lock()
		defer l.mu.Unlock()
		return len(l.cells)
	}

	// Guards against memory that grows with the number of keys ever seen.
	It("keeps a bounded number of cells", func(ctx SpecContext) {
		store := memstore.New()
		config, err := Config{Store: store}.withDefaults(0)
		Expect(err).NotTo(HaveOccurred())
		l := newCells(config, layout{cached: 10 * (cellWeight + 1), path: func(_ string, key digest) string { return fmt.Sprint(key) }})
		claimAndForget := func(ctx context.Context, i int) error {
			key, attempt := Key{Service: "s", Key: fmt.Sprint(i)}, Attempt{ID: NewAttemptID()}
			if _, err := l.Claim(ctx, key, attempt); err != nil {
				return err
			}
			return l.Settle(ctx, key, attempt, Outcome{Verdict: verdict.MayHaveRun})
		}
		for i := range 100 {
			Expect(claimAndForget(ctx, i)).To(Succeed())
		}
		Eventually(held).WithArguments(l).WithTimeout(time.Minute).Should(BeNumerically("<=", 10))
		store.SetFaults(memstore.Faults{Down: true})
		before := held(l)
		for i := range 100 {
			Expect(claimAndForget(ctx, 1000+i)).To(MatchError(ErrUnavailable))
		}
		Eventually(held).WithArguments(l).WithTimeout(time.Minute).Should(BeNumerically("<=", before))
	})
})
