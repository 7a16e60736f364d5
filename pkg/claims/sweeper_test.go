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
	// Guards against a sweep that deletes a protected key, never deletes an
	// expired object, or makes more writes in a larger fleet.
	It("deletes each expired object once in the whole fleet", func(ctx SpecContext) {
		store, now := memstore.New(), time.Unix(1_800_000_000, 0)
		for i := range 40 {
			claimedAt := now
			if i < 30 {
				claimedAt = now.Add(-2 * time.Hour)
			}
			ledger, err := claims.NewObjects(claims.Config{Store: store, Now: func() time.Time { return claimedAt }})
			Expect(err).NotTo(HaveOccurred())
			_, err = ledger.Claim(ctx, claims.Key{Service: "s", Key: fmt.Sprint(i)}, newAttempt("x"))
			Expect(err).NotTo(HaveOccurred())
		}
		daemons := []string{"a", "b", "c"}
		sweep := func(now time.Time) (deleted int) {
			for _, daemon := range daemons {
				s := claims.Sweeper{
					Store: store, Self: daemon, Daemons: func() []string { return daemons },
					Now: func() time.Time { return now }, Rate: 1e6,
				}
				for partition := range 256 {
					n, err := s.Sweep(ctx, "s", partition)
					Expect(err).NotTo(HaveOccurred())
					deleted += n
				}
			}
			return deleted
		}
		keptFor := claims.DefaultRetention + claims.MaxClockSkew
		Expect(sweep(now.Add(keptFor - 2*time.Hour))).To(BeZero())
		before := store.Counts()
		Expect(sweep(now.Add(keptFor))).To(Equal(30))
		after := store.Counts()
		Expect(after.Writes - before.Writes).To(Equal(uint64(30)))
		Expect(after.Reads - before.Reads).To(Equal(uint64(256)))
	})
})
