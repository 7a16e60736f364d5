package limits_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"shallotglade/internal/testkit"
	"shallotglade/pkg/limits"
)

func TestLimits(t *testing.T) { testkit.RunSpecs(t, "limits") }

var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func ticket(id uint64, caller string, within time.Duration) limits.Ticket {
	return limits.Ticket{ID: id, Caller: caller, Deadline: epoch.Add(within)}
}

var _ = Describe("Queue", func() {
	// Guards against a queue full of requests that end after their deadline.
	It("refuses at once a request that cannot start in time", func() {
		q := limits.NewQueue(limits.DefaultPolicy(), 1)
		Expect(q.Offer(epoch, ticket(1, "a", time.Second)).Action).To(Equal(limits.Run))
		d := q.Offer(epoch, ticket(2, "a", time.Second))
		Expect(d).To(Equal(limits.Decision{Action: limits.Wait, ExpectedWait: limits.DefaultServiceTime}))
		d = q.Offer(epoch, ticket(3, "a", 60*time.Millisecond))
		Expect(d.Reason).To(Equal(limits.TooLate))
		Expect(d.RetryAfter).To(BeNumerically(">=", limits.DefaultServiceTime))
		Expect(q.Done(epoch.Add(25*time.Millisecond), ticket(1, "a", 0))).To(Equal([]limits.Ticket{ticket(2, "a", time.Second)}))
	})

	It("expires and cancels tickets and limits each caller", func() {
		p := limits.DefaultPolicy()
		p.Callers = map[string]limits.CallerPolicy{
			"one":  {Concurrency: 1},
			"slow": {Rate: 2, Burst: 1},
		}
		q := limits.NewQueue(p, 2)
		q.Offer(epoch, ticket(1, "one", time.Second))
		Expect(q.Offer(epoch, ticket(2, "one", time.Second)).Action).To(Equal(limits.Wait))
		Expect(q.Offer(epoch, ticket(3, "slow", time.Second)).Action).To(Equal(limits.Run))
		d := q.Offer(epoch, ticket(4, "slow", time.Second))
		Expect(d.Reason).To(Equal(limits.RateLimit))
		Expect(d.RetryAfter).To(Equal(500 * time.Millisecond))
		// A ticket of "one" that waits for its concurrency limit must not block other callers.
		Expect(q.Offer(epoch, ticket(5, "other", time.Second)).Action).To(Equal(limits.Wait))
		Expect(q.Done(epoch, ticket(3, "slow", 0))).To(Equal([]limits.Ticket{ticket(5, "other", time.Second)}))
		Expect(q.Expire(epoch.Add(2 * time.Second))).To(Equal([]limits.Ticket{ticket(2, "one", time.Second)}))
		q.Offer(epoch, ticket(6, "other", time.Second))
		Expect(q.Cancel(ticket(6, "other", 0))).To(BeTrue())
		Expect(q.Waiting()).To(BeZero())
	})

	// Guards against one caller filling the queue, and against a queue that grows
	// without bound when deadlines are far away.
	It("reserves queue space for other callers", func() {
		p := limits.DefaultPolicy()
		p.MaxQueue = 8
		q := limits.NewQueue(p, 1)
		q.Offer(epoch, ticket(0, "a", time.Hour))
		waiting := map[string]int{}
		for id := uint64(1); id < 60; id++ {
			caller := string(rune('a' + id/20))
			if d := q.Offer(epoch, ticket(id, caller, time.Hour)); d.Action == limits.Wait {
				waiting[caller]++
			} else {
				Expect(d.Reason).To(Equal(limits.QueueFull))
			}
		}
		Expect(waiting).To(Equal(map[string]int{"a": 4, "b": 2, "c": 1}))
	})

	// Guards against callers with many waiting tickets, or many less urgent tickets, that
	// fill the queue and so keep all others out.
	It("gives places of a full queue to urgent tickets and to callers with few", func() {
		p := limits.DefaultPolicy()
		p.MaxQueue = 8
		q := limits.NewQueue(p, 1)
		offer := func(id uint64, caller string, priority int) limits.Action {
			t := ticket(id, caller, time.Hour)
			t.Priority = priority
			return q.Offer(epoch, t).Action
		}
		offer(0, "a", 2)
		for id := uint64(1); id <= 8; id++ {
			Expect(offer(id, []string{"a", "a", "a", "a", "b", "b", "c", "d"}[id-1], 2)).To(Equal(limits.Wait))
		}
		displaced := func() []uint64 {
			var ids []uint64
			for _, t := range q.Expire(epoch) {
				ids = append(ids, t.ID)
			}
			return ids
		}
		Expect(offer(10, "e", 2)).To(Equal(limits.Wait))
		Expect(displaced()).To(Equal([]uint64{4}), "the newest of the caller with most")
		Expect(offer(11, "b", 2)).To(Equal(limits.Refuse), "it would hold as many as the caller with most")
		Expect(offer(12, "f", 0)).To(Equal(limits.Wait))
		Expect(displaced()).To(Equal([]uint64{3}))
		Expect(offer(13, "f", 3)).To(Equal(limits.Refuse))
		Expect(q.Waiting()).To(Equal(8))
	})

	// Guards against refused callers that return together, or when it is too late.
	It("spreads the return of refused callers", func() {
		rng, firstHalf := newRand(), 0
		for range 1000 {
			d := limits.RetryAfter(time.Second, 0, rng)
			Expect(d).To(And(BeNumerically(">=", time.Second), BeNumerically("<=", 2*time.Second)))
			if d < 1500*time.Millisecond {
				firstHalf++
			}
			Expect(limits.RetryAfter(time.Second, 600*time.Millisecond, rng)).To(And(BeNumerically(">=", 300*time.Millisecond), BeNumerically("<=", 600*time.Millisecond)))
			Expect(limits.RetryAfter(0, -time.Second, rng)).To(BeNumerically(">", 10*time.Millisecond))
		}
		Expect(firstHalf).To(BeNumerically("~", 500, 100))
	})
})
