package routing_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"shallotglade/internal/testkit"
	"shallotglade/pkg/routing"
)

var _ = Describe("Choose with failure probabilities", func() {
	candidate := func(id, domain string, failing float64) routing.Candidate {
		return routing.Candidate{
			ID: id, Domain: domain, Slots: 4, Share: 1, OthersCurrent: true, FailureProbability: failing,
			Listed: epoch.Add(-time.Minute), LastOutcomeAt: epoch.Add(-time.Second),
		}
	}
	nonRetryable := routing.Request{Domain: "a", Now: epoch}
	retryable := routing.Request{Domain: "a", Now: epoch, Idempotent: true, Retryable: true}

	// Guards against losing a request at a nearby upstream that probably fails while
	// one in another domain works.
	It("leaves the domain if its upstreams probably fail", func() {
		cs := []routing.Candidate{candidate("near", "a", 0.4), candidate("far", "b", 0.05)}
		c, ok := routing.Choose(cs, nonRetryable, newRand())
		Expect(ok).To(BeTrue())
		Expect(c.ID).To(Equal("far"))
	})

	// Guards against first attempts at failing upstreams that use up the last retries
	// of a service.
	It("avoids likely failing upstreams for retryable requests while retries are scarce", func() {
		cs := []routing.Candidate{candidate("near", "a", 0.3), candidate("far", "b", 0.05)}
		c, _ := routing.Choose(cs, retryable, newRand())
		Expect(c.ID).To(Equal("near"))
		scarce := retryable
		scarce.RetriesNearlyExhausted = true
		c, _ = routing.Choose(cs, scarce, newRand())
		Expect(c.ID).To(Equal("far"))
	})

	// Guards against billed traffic between domains that gains nothing.
	It("stays in the domain if its upstreams are nearly as good", func() {
		cs := []routing.Candidate{candidate("near", "a", 0.07), candidate("far", "b", 0.05)}
		for _, req := range []routing.Request{nonRetryable, retryable} {
			c, _ := routing.Choose(cs, req, newRand())
			Expect(c.ID).To(Equal("near"))
		}
	})

	// Guards against sending a non-retryable request to an upstream that probably
	// fails it, although it has time to wait for a better one.
	It("waits for a better upstream if there is time", func() {
		cs := []routing.Candidate{candidate("failing", "a", 0.9), candidate("busy", "a", 0.05)}
		cs[1].OwnInFlight = 4
		canWait := nonRetryable
		canWait.MayWait = true
		_, ok := routing.Choose(cs, canWait, newRand())
		Expect(ok).To(BeFalse())
		c, ok := routing.Choose(cs, nonRetryable, newRand())
		Expect(ok).To(BeTrue())
		Expect(c.Reason).To(Equal(routing.LikelyFailing))
	})

	// Guards against new upstreams that never get a request because those known to
	// work look better.
	Describe("an upstream without any outcome", func() {
		var cs []routing.Candidate
		BeforeEach(func() {
			cs = []routing.Candidate{candidate("known", "a", 0.05), candidate("new", "b", 0.25)}
			cs[1].LastOutcomeAt = time.Time{}
		})
		chosen := func(req routing.Request, age time.Duration) string {
			cs[1].Listed = epoch.Add(-age)
			c, _ := routing.Choose(cs, req, newRand())
			return c.ID
		}
		It("gets a retryable request within seconds", func() {
			Expect(chosen(retryable, 100*time.Millisecond)).To(Equal("known"))
			Expect(chosen(retryable, 2*time.Second)).To(Equal("new"))
			Expect(chosen(nonRetryable, 2*time.Second)).To(Equal("known"))
		})
		It("gets any request after a longer time", func() {
			Expect(chosen(nonRetryable, 6*time.Second)).To(Equal("new"))
		})
		It("gets one request at a time", func() {
			cs[1].OwnInFlight = 1
			Expect(chosen(retryable, 6*time.Second)).To(Equal("known"))
		})
		It("gets no early requests during warm-up", func() {
			cs[1].WarmUpUntil = epoch.Add(time.Minute)
			Expect(chosen(retryable, 2*time.Second)).To(Equal("known"))
			Expect(chosen(retryable, 4*time.Second)).To(Equal("new"))
		})
	})

	// Guards against a non-retryable request that is not sent to the best free
	// upstream.
	It("never sends a non-retryable request to a much worse upstream than the best free one", func() {
		testkit.Check(GinkgoT(), func(t *rapid.T) {
			n := rapid.IntRange(2, 12).Draw(t, "upstreams")
			cs := make([]routing.Candidate, n)
			lowestFailing := 2.0
			for i := range cs {
				cs[i] = candidate(fmt.Sprint(i), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "domain"), rapid.Float64Range(0, 1).Draw(t, "failing"))
				cs[i].OwnInFlight = rapid.IntRange(0, 4).Draw(t, "own")
				if cs[i].OwnInFlight < cs[i].Slots {
					lowestFailing = min(lowestFailing, cs[i].FailureProbability)
				}
			}
			c, ok := routing.Choose(cs, nonRetryable, newRand())
			if ok && c.FailureProbability > lowestFailing+0.1 {
				t.Fatalf("chose %s with failure probability %.2f, the best free one has %.2f", c.ID, c.FailureProbability, lowestFailing)
			}
			if !ok && lowestFailing < 2 {
				t.Fatal("no upstream chosen although a slot is free")
			}
		})
	})
})

var _ = Describe("Choose with unused upstreams", func() {
	candidates := func(n, unused int, idleTime time.Duration) []routing.Candidate {
		cs := make([]routing.Candidate, n)
		for i := range cs {
			cs[i] = routing.Candidate{
				ID: fmt.Sprint(i), Domain: "a", Slots: 4, Share: 1, OthersCurrent: true, FailureProbability: 0.05,
				Listed: epoch.Add(-time.Minute), LastOutcomeAt: epoch.Add(-100 * time.Millisecond), LastSentAt: epoch.Add(-100 * time.Millisecond),
			}
			if i < unused {
				cs[i].FailureProbability, cs[i].LastOutcomeAt, cs[i].LastSentAt = 0.5, epoch.Add(-idleTime), epoch.Add(-idleTime)
			}
		}
		return cs
	}
	chosenIndex := func(cs []routing.Candidate, req routing.Request) int {
		c, ok := routing.Choose(cs, req, newRand())
		Expect(ok).To(BeTrue())
		return c.Index
	}

	// Guards against outdated failure probabilities that leave the traffic to a few
	// upstreams while a part of the requests fails, and against requests lost at
	// upstreams that were tested a moment ago.
	It("retests each upstream that has not just failed, but not again after a second", func() {
		for _, retryable := range []bool{true, false} {
			req := routing.Request{Now: epoch, Domain: "a", Retryable: retryable, HighFailureRate: true}
			for unused := 1; unused < 6; unused++ {
				Expect(chosenIndex(candidates(6, unused, 3*time.Second), req)).To(BeNumerically("<", unused))
				Expect(chosenIndex(candidates(6, unused, time.Second), req)).To(BeNumerically(">=", unused), "tested a second ago")
			}
		}
	})

	// Guards against working upstreams that get no requests when a power failure
	// loses many requests at once, before any failure is seen, and against bookings
	// lost at upstreams that failed a moment ago.
	It("retests soon where a failure is cheap, and later where it is expensive", func() {
		req := routing.Request{Now: epoch, Domain: "a", Retryable: true}
		scarce := req
		scarce.RetriesNearlyExhausted = true
		single := routing.Request{Now: epoch, Domain: "a"}
		for unused := 1; unused < 6; unused++ {
			Expect(chosenIndex(candidates(6, unused, 3*time.Second), req)).To(BeNumerically("<", unused))
			Expect(chosenIndex(candidates(6, unused, time.Second), req)).To(BeNumerically(">=", unused), "tested a second ago")
			for _, expensive := range []routing.Request{scarce, single} {
				Expect(chosenIndex(candidates(6, unused, 3*time.Second), expensive)).To(BeNumerically(">=", unused), "failed 3 s ago")
				Expect(chosenIndex(candidates(6, unused, 5*time.Second), expensive)).To(BeNumerically("<", unused), "failed 5 s ago")
			}
		}
	})

	It("does not send requests to upstreams that have just failed", func() {
		cs := candidates(6, 4, 3*time.Second)
		for i := range 4 {
			cs[i].FailureProbability = 0.95
		}
		Expect(chosenIndex(cs, routing.Request{Now: epoch, Domain: "a", HighFailureRate: true})).To(BeNumerically(">=", 4))
	})
})
