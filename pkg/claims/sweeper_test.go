package claims_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"shallotglade/pkg/claims"
	"shallotglade/pkg/platform/memstore"
)

var _ = Describe("Sweeper", func() {
	// Guards against clean-up that forgets a protected key, leaves objects for
	// ever, or costs more writes in a larger fleet.
	It("deletes each expired object once, whatever the fleet", func(ctx SpecContext) {
		store, now := memstore.New(), time.Unix(1_800_000_000, 0)
		for i := range 40 {
			claimed := now
			if i < 30 {
				claimed = now.Add(-2 * time.Hour)
			}
			ledger, err := claims.NewObjects(claims.Config{Store: store, Now: func() time.Time { return claimed }})
			Expect(err).NotTo(HaveOccurred())
			_, err = ledger.Claim(ctx, claims.Key{Service: "s", Key: fmt.Sprint(i)}, attempt("x"))
			Expect(err).NotTo(HaveOccurred())
		}
		hosts := []string{"a", "b", "c"}
		sweep := func(now time.Time) (deleted int) {
			for _, h := range hosts {
				s := claims.Sweeper{
					Store: store, Self: h, Hosts: func() []string { return hosts },
					Now: func() time.Time { return now }, Rate: 1e6,
				}
				for slice := range 256 {
					n, err := s.Sweep(ctx, "s", slice)
					Expect(err).NotTo(HaveOccurred())
					deleted += n
				}
			}
			return deleted
		}
		kept := claims.DefaultRetention + claims.ClockMargin
		Expect(sweep(now.Add(kept - 2*time.Hour))).To(BeZero())
		before := store.Counts()
		Expect(sweep(now.Add(kept))).To(Equal(30))
		after := store.Counts()
		Expect(after.Writes - before.Writes).To(Equal(uint64(30)))
		Expect(after.Reads - before.Reads).To(Equal(uint64(256)))
	})
})
