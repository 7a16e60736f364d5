package claims_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"shallotglade/internal/testkit"
	"shallotglade/pkg/claims"
	"shallotglade/pkg/platform"
	"shallotglade/pkg/platform/memstore"
	"shallotglade/pkg/verdict"
)

func TestClaims(t *testing.T) { testkit.RunSpecs(t, "claims") }

var order = claims.Key{Service: "bons-chantier", Caller: "tetouan-7", Key: "order-1"}

func attempt(body string) claims.Attempt {
	return claims.Attempt{ID: claims.NewAttemptID(), Fingerprint: claims.FingerprintOf("POST", "/orders", []byte(body))}
}

// cutStore loses the reply of the first Create that takes effect and takes the
// platform down with it.
type cutStore struct {
	*memstore.Store
	once sync.Once
	cut  chan struct{}
}

func (s *cutStore) Create(ctx context.Context, key string, value []byte) (platform.Object, error) {
	o, err := s.Store.Create(ctx, key, value)
	if err == nil {
		s.once.Do(func() {
			s.SetFaults(memstore.Faults{Down: true})
			close(s.cut)
			o, err = platform.Object{}, platform.ErrUnknownOutcome
		})
	}
	return o, err
}

func describeLedger(layout string, build func(claims.Config) (claims.Ledger, error)) bool {
	return Describe(layout, func() {
		var store *memstore.Store
		var a, b claims.Ledger
		open := func(c claims.Config) claims.Ledger {
			l, err := build(c)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(func(ctx context.Context) {
				ended, cancel := context.WithCancel(ctx)
				cancel()
				_ = l.Close(ended)
			})
			return l
		}
		claim := func(ctx context.Context, l claims.Ledger, at claims.Attempt) claims.Result {
			r, err := l.Claim(ctx, order, at)
			Expect(err).NotTo(HaveOccurred())
			return r
		}
		BeforeEach(func() {
			store = memstore.New()
			a, b = open(claims.Config{Store: store}), open(claims.Config{Store: store})
		})

		// Guards against a second daemon running an order that is in progress,
		// has run, or was sent with another body under the same key.
		It("lets one attempt win and tells the others its state", func(ctx SpecContext) {
			first := attempt("x")
			Expect(claim(ctx, a, first).State).To(Equal(claims.Won))
			Expect(claim(ctx, b, attempt("x")).State).To(Equal(claims.Unsettled))
			Expect(claim(ctx, b, attempt("y")).State).To(Equal(claims.Mismatch))
			answer := &claims.Response{Status: 201, Headers: []claims.Header{{Name: "Location", Value: "/orders/1"}}, Body: []byte("ok")}
			Expect(a.Settle(ctx, order, first, claims.Outcome{Verdict: verdict.Ran, Response: answer})).To(Succeed())
			Expect(a.Close(ctx)).To(Succeed())
			r := claim(ctx, b, attempt("x"))
			Expect(r.State).To(Equal(claims.Ran))
			Expect(r.Response).To(Equal(answer))
			Expect(claim(ctx, b, attempt("y")).State).To(Equal(claims.Mismatch))
		})

		// Guards against a key being lost for its caller after a refusal, and
		// against a second use of an attempt whose release has begun.
		It("lets a released key be won again, by another attempt", func(ctx SpecContext) {
			first := attempt("x")
			claim(ctx, a, first)
			Expect(a.Settle(ctx, order, first, claims.Outcome{Verdict: verdict.NotRun})).To(Succeed())
			Expect(a.Settle(ctx, order, first, claims.Outcome{Verdict: verdict.Ran})).To(MatchError(claims.ErrInvalid))
			Expect(claim(ctx, b, attempt("x")).State).To(Equal(claims.Won))
			Expect(claim(ctx, a, attempt("x")).State).To(Equal(claims.Unsettled))
		})

		// Guards against large responses filling the platform.
		It("keeps only the fact for a large response", func(ctx SpecContext) {
			first := attempt("x")
			claim(ctx, a, first)
			large := &claims.Response{Status: 200, Body: make([]byte, 8<<10)}
			Expect(a.Settle(ctx, order, first, claims.Outcome{Verdict: verdict.Ran, Response: large})).To(Succeed())
			Expect(a.Close(ctx)).To(Succeed())
			Expect(claim(ctx, b, attempt("x"))).To(Equal(claims.Result{State: claims.Ran}))
		})

		// Guards against both giving up and running twice after a lost reply.
		It("settles a lost reply by reading back", func(ctx SpecContext) {
			store.SetFaults(memstore.Faults{LoseReplies: 1})
			first := attempt("x")
			Expect(claim(ctx, a, first).State).To(Equal(claims.Won))
			store.SetFaults(memstore.Faults{LoseReplies: 1})
			Expect(a.Settle(ctx, order, first, claims.Outcome{Verdict: verdict.NotRun})).To(Succeed())
			Expect(claim(ctx, b, attempt("x")).State).To(Equal(claims.Won))
		})

		// Guards against "not run" being followed by a dispatch, and against a
		// stored claim that nobody releases after an outage.
		It("refuses when the platform goes down, and releases afterwards", func(ctx SpecContext) {
			cut := &cutStore{Store: store, cut: make(chan struct{})}
			c := open(claims.Config{Store: cut, ClaimTimeout: 20 * time.Millisecond, MaxAttempts: 2})
			first := attempt("x")
			_, err := c.Claim(ctx, order, first)
			Expect(err).To(MatchError(claims.ErrUnavailable))
			Expect(c.Settle(ctx, order, first, claims.Outcome{Verdict: verdict.Ran})).To(MatchError(claims.ErrInvalid))
			_, err = c.Claim(ctx, claims.Key{Service: "s", Key: "k"}, attempt("x"))
			Expect(err).To(MatchError(claims.ErrUnavailable))
			<-cut.cut
			store.SetFaults(memstore.Faults{})
			Expect(c.Close(ctx)).To(Succeed())
			Expect(claim(ctx, b, attempt("x")).State).To(Equal(claims.Won))
		})

		// Guards against a request that hangs through an outage.
		It("does not wait for the end of an outage to settle", func(ctx SpecContext) {
			c := open(claims.Config{Store: store, ClaimTimeout: time.Second})
			first := attempt("x")
			claim(ctx, c, first)
			store.SetFaults(memstore.Faults{Down: true})
			Expect(c.Settle(ctx, order, first, claims.Outcome{Verdict: verdict.NotRun})).To(MatchError(claims.ErrDeferred))
			store.SetFaults(memstore.Faults{})
			Expect(c.Close(ctx)).To(Succeed())
			Expect(claim(ctx, b, attempt("x")).State).To(Equal(claims.Won))
		})

		// Guards against memory that grows with the length of an outage.
		It("refuses attempts beyond its limit", func(ctx SpecContext) {
			c := open(claims.Config{Store: store, MaxAttempts: 1})
			first := attempt("x")
			Expect(claim(ctx, c, first).State).To(Equal(claims.Won))
			_, err := c.Claim(ctx, claims.Key{Service: "s", Key: "k"}, attempt("x"))
			Expect(err).To(MatchError(claims.ErrTooManyAttempts))
			Expect(c.Settle(ctx, order, first, claims.Outcome{})).To(Succeed())
			Expect(claim(ctx, c, attempt("x")).State).To(Equal(claims.Unsettled))
		})

		// Guards against orders being refused because outcomes of earlier ones
		// wait to be stored.
		It("gives up outcomes beyond its limit", func(ctx SpecContext) {
			c := open(claims.Config{Store: store, MaxAttempts: 4})
			first, second := attempt("x"), attempt("x")
			other := claims.Key{Service: "s", Key: "k"}
			claim(ctx, c, first)
			_, err := c.Claim(ctx, other, second)
			Expect(err).NotTo(HaveOccurred())
			store.SetFaults(memstore.Faults{Down: true})
			Expect(c.Settle(ctx, order, first, claims.Outcome{Verdict: verdict.Ran})).To(Succeed())
			Expect(c.Settle(ctx, other, second, claims.Outcome{Verdict: verdict.Ran})).To(MatchError(claims.ErrNotRecorded))
			calls := func() uint64 { return store.Counts().Reads + store.Counts().Writes }
			Eventually(calls).WithTimeout(time.Minute).Should(BeNumerically(">", calls()+3), "no tries in the background")
			store.SetFaults(memstore.Faults{})
			Expect(c.Close(ctx)).To(Succeed())
			Expect(claim(ctx, b, attempt("x")).State).To(Equal(claims.Ran))
			r, err := b.Claim(ctx, other, attempt("x"))
			Expect(err).NotTo(HaveOccurred())
			Expect(r.State).To(Equal(claims.Unsettled))
		})

		// Guards against data races, two runs of an order by concurrent daemons,
		// and releases that the driver forgets in an unsteady platform.
		It("runs each order once and releases the others in a storm", func(ctx SpecContext) {
			const keys, senders, rounds = 4, 16, 20
			key := func(k int) claims.Key { return claims.Key{Service: "s", Key: fmt.Sprint(k)} }
			var runs [keys]atomic.Int32
			var group sync.WaitGroup
			for sender := range senders {
				group.Go(func() {
					defer GinkgoRecover()
					ledger := []claims.Ledger{a, b}[sender%2]
					for round := range rounds {
						store.SetFaults(memstore.Faults{LoseReplies: round % 3, Down: (sender+round)%7 == 0})
						k, at := (sender+round)%keys, attempt("x")
						if r, err := ledger.Claim(ctx, key(k), at); err != nil || r.State != claims.Won {
							continue
						}
						outcome := claims.Outcome{Verdict: verdict.NotRun}
						if k%2 == 0 && round > rounds/2 {
							outcome.Verdict = verdict.Ran
							Expect(runs[k].Add(1)).To(Equal(int32(1)))
						}
						if err := ledger.Settle(ctx, key(k), at, outcome); err != nil {
							Expect(err).To(MatchError(claims.ErrDeferred))
						}
					}
				})
			}
			group.Wait()
			store.SetFaults(memstore.Faults{})
			Expect(a.Close(ctx)).To(Succeed())
			Expect(b.Close(ctx)).To(Succeed())
			c := open(claims.Config{Store: store})
			for k := range keys {
				r, err := c.Claim(ctx, key(k), attempt("x"))
				Expect(err).NotTo(HaveOccurred())
				if runs[k].Load() == 1 {
					Expect(r.State).To(Equal(claims.Ran))
				} else {
					Expect(r.State).To(Equal(claims.Won))
				}
			}
		})
	})
}

var _ = describeLedger("object per key", claims.NewObjects)
var _ = describeLedger("batched buckets", func(c claims.Config) (claims.Ledger, error) {
	c.Buckets = 2
	return claims.NewBuckets(c)
})
