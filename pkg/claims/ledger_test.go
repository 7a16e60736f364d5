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

var orderKey = claims.Key{Service: "bons-chantier", Caller: "tetouan-7", Key: "order-1"}

func newAttempt(body string) claims.Attempt {
	return claims.Attempt{ID: claims.NewAttemptID(), Fingerprint: claims.FingerprintOf("POST", "/orders", []byte(body))}
}

// outageStore loses the reply of the first Create that takes effect and starts
// an outage of the platform.
type outageStore struct {
	*memstore.Store
	once          sync.Once
	outageStarted chan struct{}
}

func (s *outageStore) Create(ctx context.Context, key string, value []byte) (platform.Object, error) {
	o, err := s.Store.Create(ctx, key, value)
	if err == nil {
		s.once.Do(func() {
			s.SetFaults(memstore.Faults{Down: true})
			close(s.outageStarted)
			o, err = platform.Object{}, platform.ErrUnknownOutcome
		})
	}
	return o, err
}

func describeLedger(layout string, build func(claims.Config) (claims.Ledger, error)) bool {
	return Describe(layout, func() {
		var store *memstore.Store
		var a, b claims.Ledger
		openLedger := func(c claims.Config) claims.Ledger {
			l, err := build(c)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(func(ctx context.Context) {
				canceled, cancel := context.WithCancel(ctx)
				cancel()
				_ = l.Close(canceled)
			})
			return l
		}
		claim := func(ctx context.Context, l claims.Ledger, at claims.Attempt) claims.Result {
			r, err := l.Claim(ctx, orderKey, at)
			Expect(err).NotTo(HaveOccurred())
			return r
		}
		BeforeEach(func() {
			store = memstore.New()
			a, b = openLedger(claims.Config{Store: store}), openLedger(claims.Config{Store: store})
		})

		// Guards against a second daemon running a request that is in progress,
		// has run, or was sent with the same key and a different body.
		It("lets one attempt win the key and returns its state to the others", func(ctx SpecContext) {
			first := newAttempt("x")
			Expect(claim(ctx, a, first).State).To(Equal(claims.Won))
			Expect(claim(ctx, b, newAttempt("x")).State).To(Equal(claims.Unresolved))
			Expect(claim(ctx, b, newAttempt("y")).State).To(Equal(claims.Mismatch))
			answer := &claims.Response{Status: 201, Headers: []claims.Header{{Name: "Location", Value: "/orders/1"}}, Body: []byte("ok")}
			Expect(a.RecordOutcome(ctx, orderKey, first, claims.Outcome{Verdict: verdict.Ran, Response: answer})).To(Succeed())
			Expect(a.Close(ctx)).To(Succeed())
			r := claim(ctx, b, newAttempt("x"))
			Expect(r.State).To(Equal(claims.Ran))
			Expect(r.Response).To(Equal(answer))
			Expect(claim(ctx, b, newAttempt("y")).State).To(Equal(claims.Mismatch))
		})

		// Guards against a key that its caller cannot use again after a refusal,
		// and against reuse of an attempt whose release has begun.
		It("lets another attempt win a released key", func(ctx SpecContext) {
			first := newAttempt("x")
			claim(ctx, a, first)
			Expect(a.RecordOutcome(ctx, orderKey, first, claims.Outcome{Verdict: verdict.NotRun})).To(Succeed())
			Expect(a.RecordOutcome(ctx, orderKey, first, claims.Outcome{Verdict: verdict.Ran})).To(MatchError(claims.ErrInvalid))
			Expect(claim(ctx, b, newAttempt("x")).State).To(Equal(claims.Won))
			Expect(claim(ctx, a, newAttempt("x")).State).To(Equal(claims.Unresolved))
		})

		// Guards against large responses filling the platform's storage.
		It("does not store a large response", func(ctx SpecContext) {
			first := newAttempt("x")
			claim(ctx, a, first)
			large := &claims.Response{Status: 200, Body: make([]byte, 8<<10)}
			Expect(a.RecordOutcome(ctx, orderKey, first, claims.Outcome{Verdict: verdict.Ran, Response: large})).To(Succeed())
			Expect(a.Close(ctx)).To(Succeed())
			Expect(claim(ctx, b, newAttempt("x"))).To(Equal(claims.Result{State: claims.Ran}))
		})

		// Guards against a refusal, and against a second run, after a lost reply.
		It("reads the state back after a lost reply", func(ctx SpecContext) {
			store.SetFaults(memstore.Faults{LoseReplies: 1})
			first := newAttempt("x")
			Expect(claim(ctx, a, first).State).To(Equal(claims.Won))
			store.SetFaults(memstore.Faults{LoseReplies: 1})
			Expect(a.RecordOutcome(ctx, orderKey, first, claims.Outcome{Verdict: verdict.NotRun})).To(Succeed())
			Expect(claim(ctx, b, newAttempt("x")).State).To(Equal(claims.Won))
		})

		// Guards against a dispatch after the answer "not run", and against a
		// stored claim that is never released after an outage.
		It("refuses a claim in an outage and releases it afterwards", func(ctx SpecContext) {
			failing := &outageStore{Store: store, outageStarted: make(chan struct{})}
			c := openLedger(claims.Config{Store: failing, ClaimTimeout: 20 * time.Millisecond, MaxAttempts: 2})
			first := newAttempt("x")
			_, err := c.Claim(ctx, orderKey, first)
			Expect(err).To(MatchError(claims.ErrUnavailable))
			Expect(c.RecordOutcome(ctx, orderKey, first, claims.Outcome{Verdict: verdict.Ran})).To(MatchError(claims.ErrInvalid))
			_, err = c.Claim(ctx, claims.Key{Service: "s", Key: "k"}, newAttempt("x"))
			Expect(err).To(MatchError(claims.ErrUnavailable))
			<-failing.outageStarted
			store.SetFaults(memstore.Faults{})
			Expect(c.Close(ctx)).To(Succeed())
			Expect(claim(ctx, b, newAttempt("x")).State).To(Equal(claims.Won))
		})

		// Guards against a request that hangs during an outage.
		It("returns without waiting for the end of an outage", func(ctx SpecContext) {
			c := openLedger(claims.Config{Store: store, ClaimTimeout: time.Second})
			first := newAttempt("x")
			claim(ctx, c, first)
			store.SetFaults(memstore.Faults{Down: true})
			Expect(c.RecordOutcome(ctx, orderKey, first, claims.Outcome{Verdict: verdict.NotRun})).To(MatchError(claims.ErrDeferred))
			store.SetFaults(memstore.Faults{})
			Expect(c.Close(ctx)).To(Succeed())
			Expect(claim(ctx, b, newAttempt("x")).State).To(Equal(claims.Won))
		})

		// Guards against memory that grows with the length of an outage.
		It("refuses attempts above MaxAttempts", func(ctx SpecContext) {
			c := openLedger(claims.Config{Store: store, MaxAttempts: 1})
			first := newAttempt("x")
			Expect(claim(ctx, c, first).State).To(Equal(claims.Won))
			_, err := c.Claim(ctx, claims.Key{Service: "s", Key: "k"}, newAttempt("x"))
			Expect(err).To(MatchError(claims.ErrTooManyAttempts))
			Expect(c.RecordOutcome(ctx, orderKey, first, claims.Outcome{})).To(Succeed())
			Expect(claim(ctx, c, newAttempt("x")).State).To(Equal(claims.Unresolved))
		})

		// Guards against requests that are refused because outcomes of earlier
		// requests wait to be stored.
		It("drops outcomes above its limit", func(ctx SpecContext) {
			c := openLedger(claims.Config{Store: store, MaxAttempts: 4})
			first, second := newAttempt("x"), newAttempt("x")
			other := claims.Key{Service: "s", Key: "k"}
			claim(ctx, c, first)
			_, err := c.Claim(ctx, other, second)
			Expect(err).NotTo(HaveOccurred())
			store.SetFaults(memstore.Faults{Down: true})
			Expect(c.RecordOutcome(ctx, orderKey, first, claims.Outcome{Verdict: verdict.Ran})).To(Succeed())
			Expect(c.RecordOutcome(ctx, other, second, claims.Outcome{Verdict: verdict.Ran})).To(MatchError(claims.ErrNotRecorded))
			calls := func() uint64 { return store.Counts().Reads + store.Counts().Writes }
			Eventually(calls).WithTimeout(time.Minute).Should(BeNumerically(">", calls()+3), "no retries in the background")
			store.SetFaults(memstore.Faults{})
			Expect(c.Close(ctx)).To(Succeed())
			Expect(claim(ctx, b, newAttempt("x")).State).To(Equal(claims.Ran))
			r, err := b.Claim(ctx, other, newAttempt("x"))
			Expect(err).NotTo(HaveOccurred())
			Expect(r.State).To(Equal(claims.Unresolved))
		})

		// Guards against data races, two runs of a request by concurrent daemons,
		// and lost releases while the platform fails intermittently.
		It("runs each request at most once under concurrent faults", func(ctx SpecContext) {
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
						k, at := (sender+round)%keys, newAttempt("x")
						if r, err := ledger.Claim(ctx, key(k), at); err != nil || r.State != claims.Won {
							continue
						}
						outcome := claims.Outcome{Verdict: verdict.NotRun}
						if k%2 == 0 && round > rounds/2 {
							outcome.Verdict = verdict.Ran
							Expect(runs[k].Add(1)).To(Equal(int32(1)))
						}
						if err := ledger.RecordOutcome(ctx, key(k), at, outcome); err != nil {
							Expect(err).To(MatchError(claims.ErrDeferred))
						}
					}
				})
			}
			group.Wait()
			store.SetFaults(memstore.Faults{})
			Expect(a.Close(ctx)).To(Succeed())
			Expect(b.Close(ctx)).To(Succeed())
			c := openLedger(claims.Config{Store: store})
			for k := range keys {
				r, err := c.Claim(ctx, key(k), newAttempt("x"))
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
var _ = describeLedger("buckets", func(c claims.Config) (claims.Ledger, error) {
	c.Buckets = 2
	return claims.NewBuckets(c)
})
